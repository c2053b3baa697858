package coordination

import (
	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/protocol"
)

// The mirror's records but for the shards.

type PartitionEntry struct {
	Record  bookkeeping.Partition
	Version uint64
}

type ScaleOutEntry struct {
	Record  bookkeeping.ScaleOutRequest
	Version uint64
}

type ScaleInEntry struct {
	Record  bookkeeping.ScaleInRequest
	Version uint64
}

type MachineTypeEntry struct {
	Record  bookkeeping.MachineType
	Version uint64
}

type MemberEntry struct {
	Record  bookkeeping.Member
	Version uint64
}

type DrainEntry struct {
	Record  bookkeeping.Drain
	Version uint64
}

type PermitsEntry struct {
	Record  bookkeeping.Permits
	Version uint64
}

// VersionOf gives the version of a key in the mirror, 0 if it has none.
func (v *Mirror) VersionOf(key string) uint64 {
	kind, name, ok := bookkeeping.SplitKey(key)
	if !ok {
		return 0
	}
	switch kind {
	case bookkeeping.KindOpenJob:
		if job := v.Jobs[name]; job != nil {
			return job.Version
		}
	case bookkeeping.KindShard:
		if shard := v.Shards[name]; shard != nil {
			return shard.Version
		}
	case bookkeeping.KindPartition:
		if partition := v.Partitions[name]; partition != nil {
			return partition.Version
		}
	case bookkeeping.KindScaleOut:
		if request := v.ScaleOuts[name]; request != nil {
			return request.Version
		}
	case bookkeeping.KindScaleIn:
		if removal := v.ScaleIns[name]; removal != nil {
			return removal.Version
		}
	case bookkeeping.KindMember:
		return v.Members[name].Version
	case bookkeeping.KindMachineType:
		return v.MachineTypes[name].Version
	case bookkeeping.KindLeader:
		return v.LeaderVersion
	case bookkeeping.KindDrain:
		return v.Drains[name].Version
	case bookkeeping.KindPermits:
		return v.PermitsByTeam[name].Version
	}
	return 0
}

// applyRecordPut applies a put of any record but a shard.
func (v *Mirror) applyRecordPut(kind, name string, event protocol.Event) {
	switch kind {
	case bookkeeping.KindJobResult:
		var result bookkeeping.JobResult
		if protocol.Unmarshal(event.Value, &result) == nil {
			v.Results.Add(name, result.State)
			if job := v.Jobs[name]; job != nil {
				job.FinalStatus, job.FinalRevision = result.State, event.Version
			}
		}
	case bookkeeping.KindOpenJob:
		job := v.Jobs[name]
		var record bookkeeping.OpenJob
		if protocol.Unmarshal(event.Value, &record) != nil || record.Spec.Tasks <= 0 || record.Spec.Tasks > protocol.MaxTasks ||
			job != nil && record.Spec.Tasks != job.Record.Spec.Tasks {
			return
		}
		if job != nil {
			job.Record, job.Version = record, event.Version
			return
		}
		job = &Job{ID: name, Record: record, Version: event.Version, TaskStates: make([]uint8, record.Spec.Tasks),
			TaskResources: TaskResources(&record.Spec)}
		job.FinalStatus, _ = v.Results.Get(name)
		v.Jobs[name] = job
		for _, shard := range v.Shards { // it may have been seen before its job
			v.countJobOfShard(shard, name, 1)
		}
	case bookkeeping.KindPartition:
		partition := &PartitionEntry{Version: event.Version}
		if protocol.Unmarshal(event.Value, &partition.Record) == nil {
			v.Partitions[name] = partition
		}
	case bookkeeping.KindScaleOut:
		request := &ScaleOutEntry{Version: event.Version}
		if protocol.Unmarshal(event.Value, &request.Record) == nil {
			v.applyRecordDelete(kind, name)
			v.ScaleOuts[name] = request
			for _, id := range request.Record.Machines {
				v.ScaleOutOfMachine[id] = name
			}
		}
	case bookkeeping.KindScaleIn:
		removal := &ScaleInEntry{Version: event.Version}
		if protocol.Unmarshal(event.Value, &removal.Record) == nil {
			v.applyRecordDelete(kind, name)
			v.ScaleIns[name] = removal
			for _, id := range removal.Record.Machines {
				v.ScaleInOfMachine[id] = name
			}
		}
	case bookkeeping.KindMachineType:
		entry := MachineTypeEntry{Version: event.Version}
		if protocol.Unmarshal(event.Value, &entry.Record) == nil {
			v.MachineTypes[name] = entry
		}
	case bookkeeping.KindMember:
		member := MemberEntry{Version: event.Version}
		if protocol.Unmarshal(event.Value, &member.Record) == nil {
			v.Members[name] = member
		}
	case bookkeeping.KindLeader:
		var lead bookkeeping.Leader
		if protocol.Unmarshal(event.Value, &lead) == nil {
			v.Leader, v.LeaderVersion = lead, event.Version
		}
	case bookkeeping.KindDrain:
		drainEntry := DrainEntry{Version: event.Version}
		if protocol.Unmarshal(event.Value, &drainEntry.Record) == nil {
			v.Drains[name] = drainEntry
		}
	case bookkeeping.KindPermits:
		permits := PermitsEntry{Version: event.Version}
		if protocol.Unmarshal(event.Value, &permits.Record) == nil {
			v.PermitsByTeam[name] = permits
		}
	}
}

// applyRecordDelete applies a deletion of any record but a shard.
func (v *Mirror) applyRecordDelete(kind, name string) {
	switch kind {
	case bookkeeping.KindOpenJob:
		for _, shard := range v.Shards {
			v.countJobOfShard(shard, name, -1)
		}
		delete(v.Jobs, name)
	case bookkeeping.KindPartition:
		delete(v.Partitions, name)
	case bookkeeping.KindScaleOut:
		if request := v.ScaleOuts[name]; request != nil {
			for _, id := range request.Record.Machines {
				if v.ScaleOutOfMachine[id] == name {
					delete(v.ScaleOutOfMachine, id)
				}
			}
		}
		delete(v.ScaleOuts, name)
	case bookkeeping.KindScaleIn:
		if removal := v.ScaleIns[name]; removal != nil {
			for _, id := range removal.Record.Machines {
				if v.ScaleInOfMachine[id] == name {
					delete(v.ScaleInOfMachine, id)
				}
			}
		}
		delete(v.ScaleIns, name)
	case bookkeeping.KindMachineType:
		delete(v.MachineTypes, name)
	case bookkeeping.KindMember:
		delete(v.Members, name)
	case bookkeeping.KindLeader:
		v.Leader, v.LeaderVersion = bookkeeping.Leader{}, 0
	case bookkeeping.KindDrain:
		delete(v.Drains, name)
	case bookkeeping.KindPermits:
		delete(v.PermitsByTeam, name)
	}
}

// Catalog gives the machine types as the store has them.
func (v *Mirror) Catalog() map[string]protocol.MachineType {
	types := map[string]protocol.MachineType{}
	for name, entry := range v.MachineTypes {
		r := entry.Record
		types[name] = protocol.MachineType{Name: name, CPUs: r.CPUs, GPUs: r.GPUs, MemoryGB: r.MemoryGB, CacheGB: r.CacheGB,
			FetchGBPerS: r.FetchGBPerS, OnDemandPrice: r.OnDemandPrice, SpotPrice: r.SpotPrice, BootS: r.BootS, Zones: r.Zones}
	}
	return types
}
