package shards

import (
	"log/slog"
	"testing"

	"pipitgap/internal/fake/stubs"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// A controller and its incarnation, for all tests.
const (
	ownNode        = "n-0"
	ownIncarnation = 7
)

// world is a Manager with all that it depends on: facts that a test sets, and what the manager has done.
type world struct {
	stubs.HeldCommits
	t        *testing.T
	m        *Manager
	mirror   *mirror.Mirror
	clock    monotime.Micros
	revision uint64 // the newest one in the mirror

	throttled      bool
	watchSilent    bool
	live           []string        // controllers
	members        map[string]bool // that are in the mirror too
	heard          map[string]bool // peers
	reachWorkers   map[string]bool // peers
	ownMachines    map[string]bool
	ended          map[mirror.TaskID]bool // attempts, with whether they were completed
	states         map[string]storage.MachineState
	marksChange    bool
	drainsWaiting  bool
	quotaInFlight  bool
	quotaTransfers int

	completed []string // jobs
	synced    []string // machines
	probed    []string // machines
	lost      []mirror.TaskID
	requests  int // of passes
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{
		t:            t,
		mirror:       mirror.New(),
		clock:        100 * monotime.Second,
		live:         []string{ownNode, "n-1", "n-2"},
		members:      map[string]bool{},
		heard:        map[string]bool{},
		reachWorkers: map[string]bool{},
		ownMachines:  map[string]bool{},
		ended:        map[mirror.TaskID]bool{},
		states:       map[string]storage.MachineState{},
	}
	w.m = NewManager(
		Config{Node: ownNode, Incarnation: ownIncarnation, MaxTxnOps: 20, MaxValueBytes: 16 << 10},
		Dependencies{
			Mirror: w.mirror, Store: w, Membership: w, Peers: w, Quota: w, Agents: w, Drains: w, Jobs: w, Passes: w,
			MachineType: func(string) protocol.MachineType { return protocol.MachineType{CPUs: 8} },
			Now:         func() monotime.Micros { return w.clock },
			Log:         slog.New(slog.DiscardHandler),
		},
	)
	w.mirror.Observe(func(kind storage.Kind, name string) {
		if kind == storage.KindShard {
			w.m.HandleShardChange(name)
		}
	}, func(string) {})
	w.put(
		storage.MemberKey(ownNode),
		protocol.MustMarshal(&storage.Member{Incarnation: ownIncarnation}),
	)
	return w
}

// put writes a record into the mirror, with the next revision.
func (w *world) put(key string, value protocol.Raw) uint64 {
	w.revision++
	w.mirror.ApplyEvents([]protocol.Event{{Put: key, Value: value, Version: w.revision}}, w.revision)
	return w.revision
}

// putShard writes a shard with some machines into the mirror, on which the tasks of job j-1 run, one on each.
func (w *world) putShard(name, owner string, incarnation uint64, machines ...string) *mirror.Shard {
	record := emptyShard(owner, incarnation)
	for i, id := range machines {
		record.AddMachine(id, storage.ShardMachine{Type: "m8", Zone: "a", State: storage.MachineOpen})
		record.Assign("j-1", storage.Attempt{Task: i, Machine: id, Number: 1})
	}
	encoded, _ := record.Encode()
	w.put(storage.ShardKey(name), encoded)
	return w.mirror.Shards[name]
}

// putJob writes an open job of some tasks into the mirror.
func (w *world) putJob(id string, tasks int) *mirror.Job {
	w.put(storage.OpenJobKey(id), protocol.MustMarshal(&storage.OpenJob{
		Spec: storage.JobSpec{Team: "team", Tasks: tasks, CPUs: 2},
	}))
	return w.mirror.Jobs[id]
}

// putScaleOut writes a scale-out request that has brought a machine into the mirror.
func (w *world) putScaleOut(name string, record *storage.ScaleOutRequest) {
	w.put(storage.ScaleOutKey(name), protocol.MustMarshal(record))
}

// answer gives the oldest commit its outcome; a successful one is in the mirror before, as the store's.
func (w *world) answer(result protocol.StoreResult) {
	w.t.Helper()
	commit := w.TakeOldest(w.t)
	if result.Outcome == protocol.OK {
		w.revision++
		w.mirror.ApplyCommit(&commit.Transaction, w.revision)
	}
	commit.Callback(result)
}

func emptyShard(owner string, incarnation uint64) *storage.Shard {
	return &storage.Shard{
		Owner:       owner,
		Incarnation: incarnation,
		Claim:       1,
		Machines:    map[string]*storage.ShardMachine{},
		Jobs:        map[string]*storage.ShardJob{},
	}
}

func (w *world) Unavailable() bool                      { return false }
func (w *world) WatchOverdue(monotime.Micros) bool      { return w.watchSilent }
func (w *world) ThrottledWithin(_ monotime.Micros) bool { return w.throttled }

func (w *world) HoldsLease(monotime.Micros) bool { return true }
func (w *world) IsMember(node string) bool       { return w.members[node] }

func (w *world) AbsentSince(string, monotime.Micros) monotime.Micros { return 0 }

func (w *world) LiveControllers() []string      { return w.live }
func (w *world) ConnectedControllers() []string { return w.live }

func (w *world) HeardFromRecently(node string, _ monotime.Micros) bool { return w.heard[node] }
func (w *world) ReachesWorkers(node string) bool                       { return w.reachWorkers[node] }

func (w *world) WriteInFlight() bool { return w.quotaInFlight }
func (w *world) BeginWrite()         { w.quotaInFlight = true }
func (w *world) EndWrite()           { w.quotaInFlight = false }

func (w *world) Transfer(
	*protocol.Transaction,
	map[string]bool,
	string, string,
	map[string]resources.Vector,
) {
	w.quotaTransfers++
}

func (w *world) Has(machine *mirror.Machine) bool { return w.ownMachines[machine.ID] }

func (w *world) EachEndedAttempt(
	machine *mirror.Machine,
	release func(task mirror.TaskID, completed bool),
) {
	for task, completed := range w.ended {
		if machine.Attempts[task] != 0 {
			release(task, completed)
		}
	}
}

func (w *world) DesiredState(machine *mirror.Machine) storage.MachineState {
	if state, ok := w.states[machine.ID]; ok {
		return state
	}
	return storage.MachineOpen
}

func (w *world) UpdateOwnership(machine *mirror.Machine) {
	w.ownMachines[machine.ID] = machine.Shard != nil && w.m.Owns(machine.Shard)
}

func (w *world) SyncCommands(machine *mirror.Machine) { w.synced = append(w.synced, machine.ID) }

func (w *world) Probe(machine *mirror.Machine, _ bool) { w.probed = append(w.probed, machine.ID) }

func (w *world) DesignatedController(request *mirror.ScaleOutEntry, machine string) string {
	return request.Record.Own[machine]
}

func (w *world) HasWork() bool { return w.drainsWaiting }

func (w *world) UpdateStartingMarks(*storage.Shard, *mirror.Machine, monotime.Micros) bool {
	return w.marksChange
}

func (w *world) NewLosses() Losses { return &recordedLosses{world: w} }

// recordedLosses takes every release for a loss.
type recordedLosses struct {
	world *world
	tasks []mirror.TaskID
}

func (l *recordedLosses) Record(_ *mirror.Machine, task mirror.TaskID) {
	l.tasks = append(l.tasks, task)
}
func (l *recordedLosses) Count() { l.world.lost = append(l.world.lost, l.tasks...) }

func (w *world) CompleteIfDone(job string) { w.completed = append(w.completed, job) }

func (w *world) Request() { w.requests++ }

func (w *world) HandleCommitResult(protocol.StoreResult, int) { w.requests++ }
