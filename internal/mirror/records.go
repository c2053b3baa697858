package mirror

import (
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// The mirror's records but for the shards.

// PartitionEntry is a partition's record and its version.
type PartitionEntry struct {
	Record  storage.Partition
	Version uint64
}

// ScaleOutEntry is the record of a scale-out request and its version.
type ScaleOutEntry struct {
	Record  storage.ScaleOutRequest
	Version uint64
}

// ScaleInEntry is the record of a scale-in request and its version.
type ScaleInEntry struct {
	Record  storage.ScaleInRequest
	Version uint64
}

// MachineTypeEntry is the record of a machine type and its version.
type MachineTypeEntry struct {
	Record  storage.MachineType
	Version uint64
}

// MemberEntry is a controller's member record and its version.
type MemberEntry struct {
	Record  storage.Member
	Version uint64
}

// DrainEntry is the record of a drain and its version.
type DrainEntry struct {
	Record  storage.Drain
	Version uint64
}

// PermitsEntry is the record of a team's permits and its version.
type PermitsEntry struct {
	Record  storage.Permits
	Version uint64
}

// VersionOf gives the version of a key in the mirror, 0 if it has none.
func (v *Mirror) VersionOf(key string) uint64 {
	kind, name, ok := storage.SplitKey(key)
	if !ok {
		return 0
	}
	switch kind {
	case storage.KindOpenJob:
		if job := v.Jobs[name]; job != nil {
			return job.Version
		}
	case storage.KindShard:
		if shard := v.Shards[name]; shard != nil {
			return shard.Version
		}
	case storage.KindPartition:
		if partition := v.Partitions[name]; partition != nil {
			return partition.Version
		}
	case storage.KindScaleOut:
		if request := v.ScaleOuts[name]; request != nil {
			return request.Version
		}
	case storage.KindScaleIn:
		if removal := v.ScaleIns[name]; removal != nil {
			return removal.Version
		}
	case storage.KindMember:
		return v.Members[name].Version
	case storage.KindMachineType:
		return v.MachineTypes[name].Version
	case storage.KindLeader:
		return v.LeaderVersion
	case storage.KindDrain:
		return v.Drains[name].Version
	case storage.KindPermits:
		return v.PermitsByTeam[name].Version
	}
	return 0
}

// applyRecordPut applies a put of any record but a shard.
func (v *Mirror) applyRecordPut(kind, name string, event protocol.Event) {
	switch kind {
	case storage.KindJobResult:
		var result storage.JobResult
		if protocol.Unmarshal(event.Value, &result) == nil {
			v.Results.Add(name, result.State)
			if job := v.Jobs[name]; job != nil {
				job.FinalStatus, job.FinalRevision = result.State, event.Version
			}
		}
	case storage.KindOpenJob:
		job := v.Jobs[name]
		var record storage.OpenJob
		if protocol.Unmarshal(event.Value, &record) != nil || record.Spec.Tasks <= 0 ||
			record.Spec.Tasks > protocol.MaxTasks ||
			job != nil && record.Spec.Tasks != job.Record.Spec.Tasks {
			return
		}
		if job != nil {
			job.Record, job.Version = record, event.Version
			return
		}
		job = &Job{
			ID:            name,
			Record:        record,
			Version:       event.Version,
			TaskStates:    make([]uint8, record.Spec.Tasks),
			TaskResources: TaskResources(&record.Spec),
		}
		job.FinalStatus, _ = v.Results.Get(name)
		v.Jobs[name] = job
		for _, shard := range v.Shards { // it may have been seen before its job
			v.countJobOfShard(shard, name, 1)
		}
	case storage.KindPartition:
		partition := &PartitionEntry{Version: event.Version}
		if protocol.Unmarshal(event.Value, &partition.Record) == nil {
			v.Partitions[name] = partition
		}
	case storage.KindScaleOut:
		request := &ScaleOutEntry{Version: event.Version}
		if protocol.Unmarshal(event.Value, &request.Record) == nil {
			v.applyRecordDelete(kind, name)
			v.ScaleOuts[name] = request
			for _, id := range request.Record.Machines {
				v.ScaleOutOfMachine[id] = name
			}
		}
	case storage.KindScaleIn:
		removal := &ScaleInEntry{Version: event.Version}
		if protocol.Unmarshal(event.Value, &removal.Record) == nil {
			v.applyRecordDelete(kind, name)
			v.ScaleIns[name] = removal
			for _, id := range removal.Record.Machines {
				v.ScaleInOfMachine[id] = name
			}
		}
	case storage.KindMachineType:
		entry := MachineTypeEntry{Version: event.Version}
		if protocol.Unmarshal(event.Value, &entry.Record) == nil {
			v.MachineTypes[name] = entry
		}
	case storage.KindMember:
		member := MemberEntry{Version: event.Version}
		if protocol.Unmarshal(event.Value, &member.Record) == nil {
			v.Members[name] = member
		}
	case storage.KindLeader:
		var lead storage.Leader
		if protocol.Unmarshal(event.Value, &lead) == nil {
			v.Leader, v.LeaderVersion = lead, event.Version
		}
	case storage.KindDrain:
		drainEntry := DrainEntry{Version: event.Version}
		if protocol.Unmarshal(event.Value, &drainEntry.Record) == nil {
			v.Drains[name] = drainEntry
		}
	case storage.KindPermits:
		permits := PermitsEntry{Version: event.Version}
		if protocol.Unmarshal(event.Value, &permits.Record) == nil {
			v.PermitsByTeam[name] = permits
		}
	}
}

// applyRecordDelete applies a deletion of any record but a shard.
func (v *Mirror) applyRecordDelete(kind, name string) {
	switch kind {
	case storage.KindOpenJob:
		for _, shard := range v.Shards {
			v.countJobOfShard(shard, name, -1)
		}
		delete(v.Jobs, name)
	case storage.KindPartition:
		delete(v.Partitions, name)
	case storage.KindScaleOut:
		if request := v.ScaleOuts[name]; request != nil {
			for _, id := range request.Record.Machines {
				if v.ScaleOutOfMachine[id] == name {
					delete(v.ScaleOutOfMachine, id)
				}
			}
		}
		delete(v.ScaleOuts, name)
	case storage.KindScaleIn:
		if removal := v.ScaleIns[name]; removal != nil {
			for _, id := range removal.Record.Machines {
				if v.ScaleInOfMachine[id] == name {
					delete(v.ScaleInOfMachine, id)
				}
			}
		}
		delete(v.ScaleIns, name)
	case storage.KindMachineType:
		delete(v.MachineTypes, name)
	case storage.KindMember:
		delete(v.Members, name)
	case storage.KindLeader:
		v.Leader, v.LeaderVersion = storage.Leader{}, 0
	case storage.KindDrain:
		delete(v.Drains, name)
	case storage.KindPermits:
		delete(v.PermitsByTeam, name)
	}
}

// Catalog gives the machine types as the store has them.
func (v *Mirror) Catalog() map[string]protocol.MachineType {
	types := map[string]protocol.MachineType{}
	for name, entry := range v.MachineTypes {
		r := entry.Record
		types[name] = protocol.MachineType{
			Name:          name,
			CPUs:          r.CPUs,
			GPUs:          r.GPUs,
			MemoryGB:      r.MemoryGB,
			CacheGB:       r.CacheGB,
			FetchGBPerS:   r.FetchGBPerS,
			OnDemandPrice: r.OnDemandPrice,
			SpotPrice:     r.SpotPrice,
			BootS:         r.BootS,
			Zones:         r.Zones,
		}
	}
	return types
}
