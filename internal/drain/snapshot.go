package drain

import (
	"cmp"
	"slices"

	"pipitgap/internal/sortedmap"

	"github.com/benbjohnson/immutable"

	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// Replica is an attempt of a service's task on a machine.
type Replica struct {
	Job         string // id
	Task        int    // index
	Attempt     uint64 // number
	Starting    bool   // not known to be running yet
	UnderPermit bool   // a permit allows a drain to stop it
}

// Machine is a machine with the tasks on it.
type Machine struct {
	ID, Type, Zone string
	Spot           bool // spot instance
	State          storage.MachineState
	Owner          string           // the controller that owns its shard
	Free           resources.Vector // neither used by a task nor reserved by a permit
	Replicas       []Replica
	ArrayUsage     []ArrayUsage // resources of array tasks, by priority
}

// ArrayUsage is the resource usage of the array tasks of one priority on a machine.
type ArrayUsage struct {
	Priority  int
	Tasks     int // number of tasks
	Resources resources.Vector
}

// reachable reports whether running replicas on a machine count as available.
func (m *Machine) reachable() bool {
	return m.State == storage.MachineOpen || m.State == storage.MachineCordoned
}

// freeWithPreemption returns the resources that are free on a machine once array tasks of lower priority are
// preempted.
func (m *Machine) freeWithPreemption(priority int) resources.Vector {
	free := m.Free
	for _, usage := range m.ArrayUsage {
		if usage.Priority < priority {
			free = free.Plus(usage.Resources)
		}
	}
	return free
}

// Job is an unfinished service.
type Job struct {
	ID, Team, Class string
	Replicas        int // desired
	PerTask         resources.Vector
	Priority        int
	Types           []string // allowed machine types; nil: any
	Zone            string   // the only allowed zone; "": any
	OneZone, Spread bool     // all replicas in one zone; at most half of them (rounded up) in each zone
	Spot            bool     // may run on spot machines
	// Failing says that the job fails wherever it runs, so it has no availability that a budget could
	// protect.
	Failing bool
}

// allows reports whether a job's replicas may run on a machine. It doesn't check OneZone and Spread.
func (j *Job) allows(machine *Machine) bool {
	typeAllowed := j.Types == nil || slices.Contains(j.Types, machine.Type)
	return typeAllowed && (j.Zone == "" || j.Zone == machine.Zone) && (j.Spot || !machine.Spot)
}

// TypeCapacity is a machine type of the cloud's catalog, with the resources of one machine.
type TypeCapacity struct {
	Name     string
	Capacity resources.Vector
	Zones    []string
}

// DrainRecord is a drain and the version of its record.
type DrainRecord struct {
	storage.Drain
	Name    string
	Version uint64
}

// TeamPermits are a team's permits and the version of their record. Version is 0 if there is no record yet.
type TeamPermits struct {
	Permits []storage.Permit
	Version uint64
}

// Snapshot is the state of the fleet at one revision of the state service. It is immutable: simulating a
// change returns a new snapshot, which shares nearly all data with the old one.
type Snapshot struct {
	Revision   uint64 // of the state service
	WallMicros int64  // wall clock, microseconds
	machines   *immutable.SortedMap[string, *Machine]
	jobs       map[string]*Job
	types      map[string]TypeCapacity
	drains     []DrainRecord // sorted by name
	permits    map[string]TeamPermits
	machineOf  map[replicaKey]string // the machine that each replica is on
}

// Machine returns a machine by its id.
func (s *Snapshot) Machine(id string) (*Machine, bool) { return s.machines.Get(id) }

// Job returns an unfinished service by its id.
func (s *Snapshot) Job(id string) (*Job, bool) {
	job, ok := s.jobs[id]
	return job, ok
}

// Drains lists all drains, sorted by name.
func (s *Snapshot) Drains() []DrainRecord { return s.drains }

// Drain returns a drain by its name.
func (s *Snapshot) Drain(name string) (*DrainRecord, bool) {
	for i := range s.drains {
		if s.drains[i].Name == name {
			return &s.drains[i], true
		}
	}
	return nil, false
}

// Permits returns a team's permits.
func (s *Snapshot) Permits(team string) TeamPermits { return s.permits[team] }

// replicaOf returns the current attempt of a replica and the machine that it is on.
func (s *Snapshot) replicaOf(job string, task int) (machine *Machine, replica Replica, found bool) {
	machine, ok := s.Machine(s.machineOf[replicaKey{job, task}])
	if !ok {
		return nil, Replica{}, false
	}
	for _, replica := range machine.Replicas {
		if replica.Job == job && replica.Task == task {
			return machine, replica, true
		}
	}
	return nil, Replica{}, false
}

// ForEachMachine calls visit for each machine, in ascending order of ids, until visit returns false.
func (s *Snapshot) ForEachMachine(visit func(*Machine) bool) {
	for it := s.machines.Iterator(); !it.Done(); {
		if _, machine, ok := it.Next(); ok && !visit(machine) {
			return
		}
	}
}

// withMachine returns a snapshot with one machine added or replaced. The receiver stays unchanged.
func (s *Snapshot) withMachine(machine *Machine) *Snapshot {
	next := *s
	next.machines = s.machines.Set(machine.ID, machine)
	return &next
}

// withoutMachine returns a snapshot without the machine. The receiver stays unchanged.
func (s *Snapshot) withoutMachine(id string) *Snapshot {
	next := *s
	next.machines = s.machines.Delete(id)
	return &next
}

// withPermit returns a snapshot with one more permit applied: its replica is marked as under a permit, and
// resources for the next attempt are reserved on the destination.
func (s *Snapshot) withPermit(permit storage.Permit) *Snapshot {
	next := s
	if from, ok := s.Machine(permit.From); ok {
		marked := *from
		marked.Replicas = slices.Clone(from.Replicas)
		for i := range marked.Replicas {
			if replica := &marked.Replicas[i]; replica.Job == permit.Job && replica.Task == permit.Task &&
				replica.Attempt == permit.Attempt {
				replica.UnderPermit = true
			}
		}
		next = next.withMachine(&marked)
	}
	job, known := s.jobs[permit.Job]
	if to, ok := next.Machine(permit.To); ok && known {
		destination := *to
		destination.Free = to.Free.Minus(job.PerTask)
		next = next.withMachine(&destination)
	}
	return next
}

// Builder collects the contents of a snapshot.
type Builder struct {
	snapshot Snapshot
	machines *immutable.SortedMapBuilder[string, *Machine]
}

// replicaKey identifies a replica of a service.
type replicaKey struct {
	job  string
	task int
}

// NewBuilder starts a snapshot of a revision. wall is the wall clock in microseconds.
func NewBuilder(revision uint64, wall int64) *Builder {
	return &Builder{
		snapshot: Snapshot{
			Revision: revision, WallMicros: wall, jobs: map[string]*Job{},
			types:   map[string]TypeCapacity{},
			permits: map[string]TeamPermits{}, machineOf: map[replicaKey]string{}},
		machines: immutable.NewSortedMapBuilder[string, *Machine](nil),
	}
}

// AddMachine adds a machine. The caller must not change the machine afterwards.
func (b *Builder) AddMachine(machine *Machine) {
	b.machines.Set(machine.ID, machine)
	for _, replica := range machine.Replicas {
		b.snapshot.machineOf[replicaKey{replica.Job, replica.Task}] = machine.ID
	}
}

// AddJob adds an unfinished service.
func (b *Builder) AddJob(job *Job) { b.snapshot.jobs[job.ID] = job }

// AddType adds a machine type.
func (b *Builder) AddType(machineType TypeCapacity) { b.snapshot.types[machineType.Name] = machineType }

// AddDrain adds a drain.
func (b *Builder) AddDrain(name string, version uint64, record storage.Drain) {
	b.snapshot.drains = append(b.snapshot.drains, DrainRecord{Drain: record, Name: name, Version: version})
}

// AddPermits adds a team's permits.
func (b *Builder) AddPermits(team string, version uint64, record storage.Permits) {
	b.snapshot.permits[team] = TeamPermits{Permits: record.Permits, Version: version}
}

// Build returns the snapshot. It applies each permit whose replica has no other attempt on a machine yet. The
// builder must not be used afterwards.
func (b *Builder) Build() *Snapshot {
	s := b.snapshot
	s.machines = b.machines.Map()
	slices.SortFunc(s.drains, func(x, y DrainRecord) int { return cmp.Compare(x.Name, y.Name) })
	snapshot := &s
	for _, team := range sortedmap.Keys(s.permits) {
		for _, permit := range s.permits[team].Permits {
			_, replica, found := snapshot.replicaOf(permit.Job, permit.Task)
			if !found || replica.Attempt == permit.Attempt {
				snapshot = snapshot.withPermit(permit)
			}
		}
	}
	return snapshot
}
