package quotashares

import (
	"log/slog"
	"slices"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/fake/stubs"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/quota"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// controllerStub stands for what a manager needs of its controller. Commits are held until they are answered.
type controllerStub struct {
	stubs.HeldCommits
	mirror             *mirror.Mirror
	members            map[string]bool
	holdsLease         bool
	unavailable        bool
	commitInFlight     bool
	useInDoubt         resources.Vector
	shortageReportedAt map[string]monotime.Micros
	unreachable        bool
	successor          string
	passes             int
	revision           uint64
}

func (s *controllerStub) HoldsLease(monotime.Micros) bool { return s.holdsLease }

func (s *controllerStub) IsMember(node string) bool { return s.members[node] }

func (s *controllerStub) AbsentSince(string, monotime.Micros) monotime.Micros { return 0 }

func (s *controllerStub) Unavailable() bool { return s.unavailable }

func (s *controllerStub) BudgetSharers() int { return 2 }

func (s *controllerStub) CommitInFlight() bool { return s.commitInFlight }

func (s *controllerStub) UseInDoubt(string) resources.Vector { return s.useInDoubt }

func (s *controllerStub) QuotaLackReportedAt(team string) (monotime.Micros, bool) {
	at, ok := s.shortageReportedAt[team]
	return at, ok
}

func (s *controllerStub) WorkersUnreachable() bool { return s.unreachable }

func (s *controllerStub) SuccessorOf(string) string { return s.successor }

// answer gives the oldest commit its outcome; one that is OK is applied to the mirror first.
func (s *controllerStub) answer(t *testing.T, outcome protocol.Outcome) protocol.Transaction {
	t.Helper()
	commit := s.TakeOldest(t)
	if outcome == protocol.OK {
		s.revision++
		s.mirror.ApplyCommit(&commit.Transaction, s.revision)
	}
	commit.Callback(protocol.StoreResult{Outcome: outcome, Revision: s.revision})
	return commit.Transaction
}

// putShares sets a controller's record of shares of the team "tight", in CPUs.
func (s *controllerStub) putShares(node string, cpus float64) {
	s.revision++
	record := storage.Partition{QuotaShares: map[string]storage.QuotaShare{"tight": {CPUs: cpus}}}
	s.mirror.ApplyPut(storage.PartitionKey(node), protocol.MustMarshal(&record), s.revision)
}

// putShard sets the shard "s" with tasks of the team "tight", of 2 CPUs each.
func (s *controllerStub) putShard(t *testing.T, owner string, tasks int) {
	t.Helper()
	s.revision++
	job := storage.OpenJob{
		Spec:       storage.JobSpec{Team: "tight", Tasks: 20, CPUs: 2},
		TaskRanges: []storage.TaskRange{{First: 0, End: 20, Partition: owner}},
	}
	s.mirror.ApplyPut(storage.OpenJobKey("j-1"), protocol.MustMarshal(&job), s.revision)
	shard := &storage.Shard{Owner: owner, Incarnation: 7, Claim: 1,
		Machines: map[string]*storage.ShardMachine{}, Jobs: map[string]*storage.ShardJob{}}
	shard.AddMachine("i-1", storage.ShardMachine{
		Type: "m8", Zone: "a", Endpoint: "10.1.0.1:9000", State: storage.MachineOpen,
	})
	for task := range tasks {
		shard.Assign("j-1", storage.Attempt{Task: task, Machine: "i-1", Number: 1})
	}
	encoded, _ := shard.Encode()
	s.revision++
	s.mirror.ApplyPut(storage.ShardKey("s"), encoded, s.revision)
}

// newManager makes the manager of n-0, one of three controllers, of which n-0 and n-1 are members. The team "tight"
// has a limit of 20 CPUs.
func newManager() (*Manager, *controllerStub) {
	stub := &controllerStub{
		mirror:             mirror.New(),
		members:            map[string]bool{"n-0": true, "n-1": true},
		holdsLease:         true,
		shortageReportedAt: map[string]monotime.Micros{},
		successor:          "n-0",
		revision:           1,
	}
	return New(
		Config{
			Node:               "n-0",
			Controllers:        []string{"n-0", "n-1", "n-2"},
			Teams:              []config.Team{{Name: "free"}, {Name: "tight", CPUsMax: 20}},
			PeerStatusInterval: monotime.Second,
		},
		Dependencies{
			Mirror:      stub.mirror,
			Membership:  stub,
			Store:       stub,
			Shards:      stub,
			Peers:       stub,
			RequestPass: func() { stub.passes++ },
			Log:         slog.New(slog.DiscardHandler),
		},
	), stub
}

// short is a task of the team "tight" that finds nothing left of the share but room on a machine.
func unmetDemand(cpus float64) quota.UnmetDemand {
	return quota.UnmetDemand{
		TaskResources:  resources.Vector{CPUs: cpus},
		Tasks:          1,
		ShareLeft:      resources.Vector{},
		HasMachineRoom: true,
	}
}

// comparedVersions gives the versions that a transaction asks for, by key.
func comparedVersions(txn protocol.Transaction) map[string]uint64 {
	versions := map[string]uint64{}
	for _, compare := range txn.If {
		versions[compare.Key] = compare.Version
	}
	return versions
}

// TestLeft: what is left of a share, by whose shards hold the tasks and what is in doubt.
func TestLeft(t *testing.T) {
	cases := []struct {
		name       string
		owner      string
		useInDoubt float64
		left       float64
	}{
		{"own shard, of whatever incarnation", "n-0", 0, 6},
		{"own shard and an update in doubt", "n-0", 2, 4},
		{"another controller's shard", "n-1", 0, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m, stub := newManager()
			stub.putShares("n-0", 10)
			stub.putShares("n-1", 8)
			stub.putShard(t, c.owner, 2)
			stub.useInDoubt = resources.Vector{CPUs: c.useInDoubt}
			if got := m.Left("tight").CPUs; got != c.left {
				t.Errorf("%v CPUs left, want %v", got, c.left)
			}
			if got := m.Unallocated("tight").CPUs; got != 2 {
				t.Errorf("%v CPUs unallocated, want 2", got)
			}
			if got := m.Left("free"); got != quota.Unlimited() {
				t.Errorf("%+v left of no limit", got)
			}
		})
	}
}

// TestRaiseIsConditionalOnAllRecords: a raise asks for the record of every controller, of those that have left the
// deployment too; a lowering asks for the own record alone.
func TestRaiseIsConditionalOnAllRecords(t *testing.T) {
	m, stub := newManager()
	stub.putShares("n-1", 4)
	stub.putShares("left", 1)
	m.NoteShortage("tight", unmetDemand(4))
	m.Adjust(0)
	if !m.WriteInFlight() {
		t.Fatal("no write in flight")
	}
	m.Adjust(0)
	if len(stub.Commits) != 1 {
		t.Fatalf("%d commits in flight", len(stub.Commits))
	}
	versions := comparedVersions(stub.answer(t, protocol.OK))
	want := map[string]uint64{
		storage.PartitionKey("n-0"):  0,
		storage.PartitionKey("n-1"):  2,
		storage.PartitionKey("n-2"):  0,
		storage.PartitionKey("left"): 3,
	}
	for key, version := range want {
		if got, ok := versions[key]; !ok || got != version {
			t.Errorf("%s: asks for version %v (%v), want %v", key, got, ok, version)
		}
	}
	if len(versions) != len(want) || m.WriteInFlight() || stub.passes != 1 {
		t.Errorf("asks for %v; write in flight: %v; %d passes", versions, m.WriteInFlight(), stub.passes)
	}
	if got := m.ShareOf("n-0", "tight").CPUs; got < 4 {
		t.Errorf("the share is %v CPUs", got)
	}

	stub.shortageReportedAt["tight"] = 0
	m.Adjust(monotime.Second)
	versions = comparedVersions(stub.answer(t, protocol.OK))
	if _, ok := versions[storage.PartitionKey("n-0")]; !ok || len(versions) != 1 {
		t.Errorf("a lowering asks for %v", versions)
	}
	if got := m.ShareOf("n-0", "tight").CPUs; got != 0 {
		t.Errorf("the unused share is %v CPUs", got)
	}
}

// TestAdjustWaits: no share is changed while that could go wrong.
func TestAdjustWaits(t *testing.T) {
	cases := map[string]func(*controllerStub, *Manager){
		"a commit of a shard is in flight": func(s *controllerStub, _ *Manager) { s.commitInFlight = true },
		"the state service is unavailable": func(s *controllerStub, _ *Manager) { s.unavailable = true },
		"the lease may have expired":       func(s *controllerStub, _ *Manager) { s.holdsLease = false },
		"another subject writes shares":    func(_ *controllerStub, m *Manager) { m.BeginWrite() },
	}
	for name, block := range cases {
		t.Run(name, func(t *testing.T) {
			m, stub := newManager()
			m.NoteShortage("tight", unmetDemand(4))
			block(stub, m)
			m.Adjust(0)
			if len(stub.Commits) > 0 {
				t.Error("a share was changed")
			}
		})
	}
}

// TestShareInDoubt: after a commit without an outcome the lesser share counts, until the record is written anew.
func TestShareInDoubt(t *testing.T) {
	m, stub := newManager()
	stub.putShares("n-0", 8)
	stub.shortageReportedAt["tight"] = 0
	m.Adjust(0) // lowers it to nothing
	stub.answer(t, protocol.Unknown)
	if got := m.Left("tight").CPUs; got != 0 {
		t.Errorf("%v CPUs left while the lowering is in doubt", got)
	}
	delete(stub.shortageReportedAt, "tight")
	m.Adjust(monotime.Second) // nothing to change, but the doubt to settle
	stub.answer(t, protocol.OK)
	if got := m.Left("tight").CPUs; got != 8 {
		t.Errorf("%v CPUs left once the record was written anew, want 8", got)
	}
	m.Adjust(2 * monotime.Second)
	if len(stub.Commits) > 0 {
		t.Error("the record is written again")
	}
}

// TestTeamsLacking: a lack is reported once it has lasted, and no more once it is over.
func TestTeamsLacking(t *testing.T) {
	m, stub := newManager()
	stub.putShares("n-1", 20)
	for _, step := range []struct {
		at      monotime.Micros
		lacking bool
		want    []string
	}{
		{monotime.Second, true, nil},
		{monotime.Second + shortageReportDelay - 1, true, nil},
		{monotime.Second + shortageReportDelay, true, []string{"tight"}},
		{2*monotime.Second + shortageReportDelay, false, nil},
	} {
		if step.lacking {
			m.NoteShortage("tight", unmetDemand(1))
		}
		m.Adjust(step.at)
		if got := m.TeamsLacking(step.at); !slices.Equal(got, step.want) {
			t.Errorf("at %v: %v, want %v", step.at, got, step.want)
		}
	}
}

// TestPeerReportExpires: a peer's report of a lack counts for three of the intervals of the peers' status.
func TestPeerReportExpires(t *testing.T) {
	for _, c := range []struct {
		now     monotime.Micros
		lowered bool
	}{{3*monotime.Second - 1, true}, {3 * monotime.Second, false}} {
		m, stub := newManager()
		stub.putShares("n-0", 8)
		stub.shortageReportedAt["tight"] = 0
		m.Adjust(c.now)
		if lowered := len(stub.Commits) > 0; lowered != c.lowered {
			t.Errorf("at %v: lowered %v, want %v", c.now, lowered, c.lowered)
		}
	}
}

// TestReleaseDeparted: the record of a controller is deleted only once it has departed with all of its shards taken
// over, by its successor, on the condition that it is still the same and no member.
func TestReleaseDeparted(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*testing.T, *controllerStub)
		now     monotime.Micros
		want    bool
	}{
		{"departed", func(*testing.T, *controllerStub) {}, departureGracePeriod + 1, true},
		{"just departed", func(*testing.T, *controllerStub) {}, departureGracePeriod, false},
		{
			"a member",
			func(_ *testing.T, s *controllerStub) { s.members["n-2"] = true },
			departureGracePeriod + 1,
			false,
		},
		{
			"left to its successor",
			func(_ *testing.T, s *controllerStub) { s.successor = "n-1" },
			departureGracePeriod + 1,
			false,
		},
		{
			"it owns a shard",
			func(t *testing.T, s *controllerStub) { s.putShard(t, "n-2", 0) },
			departureGracePeriod + 1,
			false,
		},
		{
			"the watch is behind",
			func(_ *testing.T, s *controllerStub) { s.mirror.WatchedRevision = 0 },
			departureGracePeriod + 1,
			false,
		},
		{
			"the lease may have expired",
			func(_ *testing.T, s *controllerStub) { s.holdsLease = false },
			departureGracePeriod + 1,
			false,
		},
		{
			"the state service is unavailable",
			func(_ *testing.T, s *controllerStub) { s.unavailable = true },
			departureGracePeriod + 1,
			false,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m, stub := newManager()
			stub.putShares("n-2", 8)
			stub.mirror.WatchedRevision = stub.revision
			c.prepare(t, stub)
			m.ReleaseDeparted(c.now)
			m.ReleaseDeparted(c.now)
			if _, ok := stub.Only(t, c.want); !ok {
				return
			}
			versions := comparedVersions(stub.answer(t, protocol.OK))
			member, asked := versions[storage.MemberKey("n-2")]
			if versions[storage.PartitionKey("n-2")] != 2 || !asked || member != 0 {
				t.Errorf("asks for %v", versions)
			}
			if stub.mirror.Partitions["n-2"] != nil || m.Unallocated("tight").CPUs != 20 {
				t.Error("the shares are still there")
			}
		})
	}
}

// TestTransfer: two transfers in one transaction change each record once, and sum up; a team without a limit
// changes nothing.
func TestTransfer(t *testing.T) {
	m, stub := newManager()
	stub.putShares("n-2", 9)
	var txn protocol.Transaction
	compared := map[string]bool{}
	for _, use := range []map[string]resources.Vector{
		{"free": {CPUs: 3}}, {"tight": {CPUs: 4}}, {"tight": {CPUs: 2}, "free": {CPUs: 1}},
	} {
		m.Transfer(&txn, compared, "n-2", "n-0", use)
	}
	m.Transfer(&txn, compared, "unknown", "n-0", map[string]resources.Vector{"tight": {CPUs: 1}})
	if len(txn.Then) != 2 || len(txn.If) != 2 || len(compared) != 2 {
		t.Fatalf("%d changes, asks for %v", len(txn.Then), comparedVersions(txn))
	}
	versions := comparedVersions(txn)
	if versions[storage.PartitionKey("n-2")] != 2 || versions[storage.PartitionKey("n-0")] != 0 {
		t.Errorf("asks for %v", versions)
	}
	stub.mirror.ApplyCommit(&txn, stub.revision+1)
	if from, to := m.ShareOf("n-2", "tight").CPUs, m.ShareOf("n-0", "tight").CPUs; from != 3 || to != 6 {
		t.Errorf("shares of %v and %v CPUs, want 3 and 6", from, to)
	}
}
