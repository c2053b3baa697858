package mirror

import (
	"pipitgap/internal/drain"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// DrainSnapshotBuilder returns a builder for a drain snapshot that holds everything except the machines; the
// caller adds those. wall is the wall clock time in microseconds; failing reports whether a job fails
// wherever it runs.
func (m *Mirror) DrainSnapshotBuilder(
	wall int64,
	types map[string]protocol.MachineType,
	failing func(*Job) bool,
) *drain.Builder {
	builder := drain.NewBuilder(m.WatchedRevision, wall)
	for id, job := range m.Jobs {
		if spec := &job.Record.Spec; spec.Service && job.IsOpen() {
			builder.AddJob(
				&drain.Job{
					ID:       id,
					Team:     spec.Team,
					Class:    spec.Class,
					Replicas: spec.Tasks,
					PerTask:  job.TaskResources,
					Priority: spec.Priority,
					Types:    spec.MachineTypes,
					Zone:     spec.Zone,
					OneZone:  spec.OneZone,
					Spread:   spec.Spread,
					Spot:     spec.Spot,
					Failing:  failing(job),
				},
			)
		}
	}
	for name, machineType := range types {
		builder.AddType(
			drain.TypeCapacity{Name: name, Capacity: MachineCapacity(&machineType), Zones: machineType.Zones},
		)
	}
	for name, drainEntry := range m.Drains {
		builder.AddDrain(name, drainEntry.Version, drainEntry.Record)
	}
	for team, permits := range m.PermitsByTeam {
		builder.AddPermits(team, permits.Version, permits.Record)
	}
	return builder
}

// DrainSnapshotMachine converts a machine, its service replicas and its array tasks to the form of a drain
// snapshot. A machine that a scale-in request names is in state removing.
func (m *Mirror) DrainSnapshotMachine(
	machine *Machine,
	types map[string]protocol.MachineType,
) *drain.Machine {
	snapshotMachine := &drain.Machine{
		ID:    machine.ID,
		Type:  machine.Record.Type,
		Zone:  machine.Record.Zone,
		Spot:  machine.Record.Spot,
		State: machine.Record.State,
		Owner: machine.Owner(),
	}
	if m.ScaleInOfMachine[machine.ID] != "" {
		snapshotMachine.State = storage.MachineRemoving
	}
	if machineType, ok := types[machine.Record.Type]; ok {
		snapshotMachine.Free = MachineCapacity(&machineType).AddScaled(machine.Used, -1)
	}
	for _, task := range SortedTaskIDs(machine.Attempts) {
		job := m.Jobs[task.Job]
		switch {
		case job == nil || !job.IsOpen():
		case job.Record.Spec.Service:
			attempt, _ := machine.Shard.Record.FindAttempt(task.Job, task.Index)
			snapshotMachine.Replicas = append(
				snapshotMachine.Replicas,
				drain.Replica{
					Job:      task.Job,
					Task:     task.Index,
					Attempt:  machine.Attempts[task],
					Starting: attempt.Starting,
				},
			)
		default:
			addArrayTask(snapshotMachine, job)
		}
	}
	return snapshotMachine
}

// addArrayTask adds one array task of a job to the machine's usage at the job's priority.
func addArrayTask(m *drain.Machine, job *Job) {
	priority := job.Record.Spec.Priority
	for i := range m.ArrayUsage {
		if m.ArrayUsage[i].Priority == priority {
			m.ArrayUsage[i].Tasks++
			m.ArrayUsage[i].Resources = m.ArrayUsage[i].Resources.Plus(job.TaskResources)
			return
		}
	}
	m.ArrayUsage = append(
		m.ArrayUsage,
		drain.ArrayUsage{Priority: priority, Tasks: 1, Resources: job.TaskResources},
	)
}

// MachineCapacity returns the total resources of a machine of a type.
func MachineCapacity(machineType *protocol.MachineType) resources.Vector {
	return resources.New(machineType.CPUs, machineType.GPUs, machineType.MemoryGB)
}
