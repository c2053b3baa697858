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

// The controller whose Manager is under test.
const (
	ownNode        = "n-0"
	ownIncarnation = 7
)

// harness contains a Manager and fakes of all its dependencies. Tests set the state that the fakes report and
// check the calls that they record.
type harness struct {
	stubs.HeldCommits
	t        *testing.T
	m        *Manager
	mirror   *mirror.Mirror
	clock    monotime.Micros
	revision uint64 // newest revision in the mirror

	throttled           bool
	watchOverdue        bool
	liveControllers     []string
	members             map[string]bool // controllers that IsMember reports as members
	recentPeers         map[string]bool // peers with a recent status message
	reachWorkers        map[string]bool // peers that report reachable workers
	ownMachines         map[string]bool
	endedAttempts       map[mirror.TaskID]bool // tasks with an ended attempt; true if completed
	states              map[string]storage.MachineState
	startingMarksChange bool
	drainsHaveWork      bool
	quotaInFlight       bool
	quotaTransfers      int

	completedJobs []string // jobs passed to CompleteIfDone
	synced        []string // machines passed to SyncCommands
	probed        []string // machines passed to Probe
	lostTasks     []mirror.TaskID
	passRequests  int // number of requested passes
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{
		t:               t,
		mirror:          mirror.New(),
		clock:           100 * monotime.Second,
		liveControllers: []string{ownNode, "n-1", "n-2"},
		members:         map[string]bool{},
		recentPeers:     map[string]bool{},
		reachWorkers:    map[string]bool{},
		ownMachines:     map[string]bool{},
		endedAttempts:   map[mirror.TaskID]bool{},
		states:          map[string]storage.MachineState{},
	}
	h.m = NewManager(
		Config{Node: ownNode, Incarnation: ownIncarnation, MaxTxnOps: 20, MaxValueBytes: 16 << 10},
		Dependencies{
			Mirror: h.mirror, Store: h, Membership: h, Peers: h, Quota: h, Agents: h, Drains: h, Jobs: h, Passes: h,
			MachineType: func(string) protocol.MachineType { return protocol.MachineType{CPUs: 8} },
			Now:         func() monotime.Micros { return h.clock },
			Log:         slog.New(slog.DiscardHandler),
		},
	)
	h.mirror.Observe(func(kind storage.Kind, name string, _ bool) {
		if kind == storage.KindShard {
			h.m.HandleShardChange(name)
		}
	}, func(string) {})
	h.put(
		storage.MemberKey(ownNode),
		protocol.MustMarshal(&storage.Member{Incarnation: ownIncarnation}),
	)
	return h
}

// put writes a record into the mirror at the next revision, and returns that revision.
func (h *harness) put(key string, value protocol.Raw) uint64 {
	h.revision++
	h.mirror.ApplyEvents([]protocol.Event{{Put: key, Value: value, Version: h.revision}}, h.revision)
	return h.revision
}

// putShard writes a shard with the given machines into the mirror. Each machine runs one task of job j-1.
func (h *harness) putShard(name, owner string, incarnation uint64, machines ...string) *mirror.Shard {
	record := emptyShard(owner, incarnation)
	for i, id := range machines {
		record.AddMachine(id, storage.ShardMachine{Type: "m8", Zone: "a", State: storage.MachineOpen})
		record.Assign("j-1", storage.Attempt{Task: i, Machine: id, Number: 1})
	}
	encoded, _ := record.Encode()
	h.put(storage.ShardKey(name), encoded)
	return h.mirror.Shards[name]
}

// putJob writes an open job with a number of tasks into the mirror.
func (h *harness) putJob(id string, tasks int) *mirror.Job {
	h.put(storage.OpenJobKey(id), protocol.MustMarshal(&storage.OpenJob{
		Spec: storage.JobSpec{Team: "team", Tasks: tasks, CPUs: 2},
	}))
	return h.mirror.Jobs[id]
}

// putScaleOut writes a scale-out request into the mirror.
func (h *harness) putScaleOut(name string, record *storage.ScaleOutRequest) {
	h.put(storage.ScaleOutKey(name), protocol.MustMarshal(record))
}

// completeCommit calls back the oldest commit with a result. Like the real store, it first applies a successful
// commit to the mirror.
func (h *harness) completeCommit(result protocol.StoreResult) {
	h.t.Helper()
	commit := h.TakeOldest(h.t)
	if result.Outcome == protocol.OK {
		h.revision++
		h.mirror.ApplyCommit(&commit.Transaction, h.revision)
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

func (h *harness) Unavailable() bool                      { return false }
func (h *harness) WatchOverdue(monotime.Micros) bool      { return h.watchOverdue }
func (h *harness) ThrottledWithin(_ monotime.Micros) bool { return h.throttled }

func (h *harness) HoldsLease(monotime.Micros) bool { return true }
func (h *harness) IsMember(node string) bool       { return h.members[node] }

func (h *harness) IncarnationCompare() (protocol.Compare, bool) {
	member := h.mirror.Members[ownNode]
	compare := protocol.Compare{Key: storage.MemberKey(ownNode), Version: member.Version}
	return compare, member.Record.Incarnation == ownIncarnation
}

// fence returns the condition that the member record of the Manager under test is unchanged.
func (h *harness) fence() protocol.Compare {
	compare, _ := h.IncarnationCompare()
	return compare
}

func (h *harness) AbsentSince(string, monotime.Micros) monotime.Micros { return 0 }

func (h *harness) LiveControllers() []string      { return h.liveControllers }
func (h *harness) ConnectedControllers() []string { return h.liveControllers }

func (h *harness) HasRecentStatus(node string, _ monotime.Micros) bool { return h.recentPeers[node] }
func (h *harness) ReachesWorkers(node string) bool                     { return h.reachWorkers[node] }

func (h *harness) WriteInFlight() bool { return h.quotaInFlight }
func (h *harness) BeginWrite()         { h.quotaInFlight = true }
func (h *harness) EndWrite()           { h.quotaInFlight = false }

func (h *harness) Transfer(
	*protocol.Transaction,
	map[string]bool,
	string, string,
	map[string]resources.Vector,
) {
	h.quotaTransfers++
}

func (h *harness) Has(machine *mirror.Machine) bool { return h.ownMachines[machine.ID] }

func (h *harness) ForEachEndedAttempt(
	machine *mirror.Machine,
	release func(task mirror.TaskID, completed bool),
) {
	for task, completed := range h.endedAttempts {
		if machine.Attempts[task] != 0 {
			release(task, completed)
		}
	}
}

func (h *harness) DesiredState(machine *mirror.Machine) storage.MachineState {
	if state, ok := h.states[machine.ID]; ok {
		return state
	}
	return storage.MachineOpen
}

func (h *harness) UpdateOwnership(machine *mirror.Machine) {
	h.ownMachines[machine.ID] = machine.Shard != nil && h.m.Owns(machine.Shard)
}

func (h *harness) SyncCommands(machine *mirror.Machine) { h.synced = append(h.synced, machine.ID) }

func (h *harness) Probe(machine *mirror.Machine, _ bool) { h.probed = append(h.probed, machine.ID) }

func (h *harness) DesignatedController(request *mirror.ScaleOutEntry, machine string) string {
	return request.Record.DesignatedControllers[machine]
}

func (h *harness) HasWork() bool { return h.drainsHaveWork }

func (h *harness) UpdateStartingMarks(*storage.Shard, *mirror.Machine, monotime.Micros) bool {
	return h.startingMarksChange
}

func (h *harness) NewLosses() Losses { return &recordedLosses{harness: h} }

// recordedLosses counts every released task as a loss.
type recordedLosses struct {
	harness *harness
	tasks   []mirror.TaskID
}

func (l *recordedLosses) Record(_ *mirror.Machine, task mirror.TaskID) {
	l.tasks = append(l.tasks, task)
}
func (l *recordedLosses) Count() { l.harness.lostTasks = append(l.harness.lostTasks, l.tasks...) }

func (h *harness) CompleteIfDone(job string) { h.completedJobs = append(h.completedJobs, job) }

func (h *harness) Request() { h.passRequests++ }

func (h *harness) HandleCommitResult(protocol.StoreResult, int) { h.passRequests++ }
