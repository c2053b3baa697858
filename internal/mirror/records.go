package mirror

import (
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// This file holds the mirror's records except the shards, see shard_sums.go.

// PartitionEntry is the record of a partition and its version.
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

// MemberEntry is the member record of a controller and its version.
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

// VersionOf returns the version of a key's record in the mirror; 0 if the mirror doesn't hold the key.
func (m *Mirror) VersionOf(key string) uint64 {
	kind, name, ok := storage.SplitKey(key)
	if !ok {
		return 0
	}
	switch kind {
	case storage.KindOpenJob:
		if job := m.Jobs[name]; job != nil {
			return job.Version
		}
	case storage.KindShard:
		if shard := m.Shards[name]; shard != nil {
			return shard.Version
		}
	case storage.KindPartition:
		if partition := m.Partitions[name]; partition != nil {
			return partition.Version
		}
	case storage.KindScaleOut:
		if request := m.ScaleOuts[name]; request != nil {
			return request.Version
		}
	case storage.KindScaleIn:
		if request := m.ScaleIns[name]; request != nil {
			return request.Version
		}
	case storage.KindMember:
		return m.Members[name].Version
	case storage.KindMachineType:
		return m.MachineTypes[name].Version
	case storage.KindLeader:
		return m.LeaderVersion
	case storage.KindDrain:
		return m.Drains[name].Version
	case storage.KindPermits:
		return m.PermitsByTeam[name].Version
	}
	return 0
}

// decode decodes the value of a record; ok is false if the value is malformed.
func decode[Record any](value protocol.Raw) (record Record, ok bool) {
	err := protocol.Unmarshal(value, &record)
	return record, err == nil
}

// applyRecordPut applies the put of a record of any kind except shards. A malformed record changes nothing.
func (m *Mirror) applyRecordPut(kind storage.Kind, name string, event protocol.Event) {
	switch kind {
	case storage.KindJobResult:
		m.putJobResult(name, event)
	case storage.KindOpenJob:
		m.putOpenJob(name, event)
	case storage.KindPartition:
		if record, ok := decode[storage.Partition](event.Value); ok {
			m.Partitions[name] = &PartitionEntry{record, event.Version}
		}
	case storage.KindScaleOut:
		m.putScaleOut(name, event)
	case storage.KindScaleIn:
		m.putScaleIn(name, event)
	case storage.KindMachineType:
		if record, ok := decode[storage.MachineType](event.Value); ok {
			m.MachineTypes[name] = MachineTypeEntry{record, event.Version}
		}
	case storage.KindMember:
		if record, ok := decode[storage.Member](event.Value); ok {
			m.Members[name] = MemberEntry{record, event.Version}
		}
	case storage.KindLeader:
		if record, ok := decode[storage.Leader](event.Value); ok {
			m.Leader, m.LeaderVersion = record, event.Version
		}
	case storage.KindDrain:
		if record, ok := decode[storage.Drain](event.Value); ok {
			m.Drains[name] = DrainEntry{record, event.Version}
		}
	case storage.KindPermits:
		if record, ok := decode[storage.Permits](event.Value); ok {
			m.PermitsByTeam[name] = PermitsEntry{record, event.Version}
		}
	}
}

// putJobResult applies the final result of a job. The result cache keeps it even if the job has no open
// record.
func (m *Mirror) putJobResult(id string, event protocol.Event) {
	result, ok := decode[storage.JobResult](event.Value)
	if !ok {
		return
	}
	m.Results.Add(id, Result{result.State, event.Version})
	if job := m.Jobs[id]; job != nil {
		job.FinalState, job.FinalRevision = result.State, event.Version
	}
}

// putOpenJob applies the open record of a job. A job's number of tasks never changes: a record with a
// different number is ignored.
func (m *Mirror) putOpenJob(id string, event protocol.Event) {
	record, ok := decode[storage.OpenJob](event.Value)
	tasks := record.Spec.Tasks
	if !ok || tasks <= 0 || tasks > protocol.MaxTasks {
		return
	}
	if job := m.Jobs[id]; job != nil {
		if tasks == job.Record.Spec.Tasks {
			job.Record, job.Version = record, event.Version
		}
		return
	}
	job := &Job{
		ID:            id,
		Record:        record,
		Version:       event.Version,
		TaskStates:    make([]uint8, tasks),
		TaskResources: TaskResources(&record.Spec),
	}
	if result, ok := m.Results.Get(id); ok {
		job.FinalState, job.FinalRevision = result.State, result.Revision
	}
	m.Jobs[id] = job
	for _, shard := range m.Shards { // shards with tasks of the job may have been applied before this record
		m.countJobOfShard(shard, id, 1)
	}
}

// putScaleOut applies the record of a scale-out request and indexes the request by its machines.
func (m *Mirror) putScaleOut(name string, event protocol.Event) {
	record, ok := decode[storage.ScaleOutRequest](event.Value)
	if !ok {
		return
	}
	m.deleteScaleOut(name)
	m.ScaleOuts[name] = &ScaleOutEntry{record, event.Version}
	for _, id := range record.Machines {
		m.ScaleOutOfMachine[id] = name
	}
}

// putScaleIn applies the record of a scale-in request and indexes the request by its machines.
func (m *Mirror) putScaleIn(name string, event protocol.Event) {
	record, ok := decode[storage.ScaleInRequest](event.Value)
	if !ok {
		return
	}
	m.deleteScaleIn(name)
	m.ScaleIns[name] = &ScaleInEntry{record, event.Version}
	for _, id := range record.Machines {
		m.ScaleInOfMachine[id] = name
	}
}

// deleteScaleOut removes a scale-out request and its entries in the index by machine.
func (m *Mirror) deleteScaleOut(name string) {
	if request := m.ScaleOuts[name]; request != nil {
		deleteRequestReferences(m.ScaleOutOfMachine, name, request.Record.Machines)
	}
	delete(m.ScaleOuts, name)
}

// deleteScaleIn removes a scale-in request and its entries in the index by machine.
func (m *Mirror) deleteScaleIn(name string) {
	if request := m.ScaleIns[name]; request != nil {
		deleteRequestReferences(m.ScaleInOfMachine, name, request.Record.Machines)
	}
	delete(m.ScaleIns, name)
}

// deleteRequestReferences removes the machines of a request from the index, except those whose entry refers
// to another, later request.
func deleteRequestReferences(requestOfMachine map[string]string, requestName string, machines []string) {
	for _, id := range machines {
		if requestOfMachine[id] == requestName {
			delete(requestOfMachine, id)
		}
	}
}

// applyRecordDelete applies the deletion of a record of any kind except shards.
func (m *Mirror) applyRecordDelete(kind storage.Kind, name string) {
	switch kind {
	case storage.KindOpenJob:
		for _, shard := range m.Shards {
			m.countJobOfShard(shard, name, -1)
		}
		delete(m.Jobs, name)
	case storage.KindPartition:
		delete(m.Partitions, name)
	case storage.KindScaleOut:
		m.deleteScaleOut(name)
	case storage.KindScaleIn:
		m.deleteScaleIn(name)
	case storage.KindMachineType:
		delete(m.MachineTypes, name)
	case storage.KindMember:
		delete(m.Members, name)
	case storage.KindLeader:
		m.Leader, m.LeaderVersion = storage.Leader{}, 0
	case storage.KindDrain:
		delete(m.Drains, name)
	case storage.KindPermits:
		delete(m.PermitsByTeam, name)
	}
}

// Catalog converts the machine type records to the cloud's form, by name.
func (m *Mirror) Catalog() map[string]protocol.MachineType {
	types := map[string]protocol.MachineType{}
	for name, entry := range m.MachineTypes {
		r := entry.Record
		types[name] = protocol.MachineType{
			Name:           name,
			CPUs:           r.CPUs,
			GPUs:           r.GPUs,
			MemoryGB:       r.MemoryGB,
			LocalStorageGB: r.CacheGB,
			FetchGBPerS:    r.FetchGBPerS,
			OnDemandPrice:  r.OnDemandPrice,
			SpotPrice:      r.SpotPrice,
			BootS:          r.BootS,
			Zones:          r.Zones,
		}
	}
	return types
}
