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

// controllerStub implements the dependencies of a Manager. It holds commits until answer completes them.
type controllerStub struct {
	stubs.HeldCommits
	mirror             *mirror.Mirror
	members            map[string]bool
	holdsLease         bool
	recordNotCurrent   bool // the member record
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

func (s *controllerStub) IncarnationCompare() (protocol.Compare, bool) {
	return protocol.Compare{Key: storage.MemberKey("n-0"), Version: 1}, !s.recordNotCurrent
}

func (s *controllerStub) IsMember(node string) bool { return s.members[node] }

func (s *controllerStub) AbsentSince(string, monotime.Micros) monotime.Micros { return 0 }

func (s *controllerStub) Unavailable() bool { return s.unavailable }

func (s *controllerStub) LiveControllerCount() int { return 2 }

func (s *controllerStub) CommitInFlight() bool { return s.commitInFlight }

func (s *controllerStub) UseInDoubt(string) resources.Vector { return s.useInDoubt }

func (s *controllerStub) QuotaShortageReportedAt(team string) (monotime.Micros, bool) {
	at, ok := s.shortageReportedAt[team]
	return at, ok
}

func (s *controllerStub) WorkersUnreachable() bool { return s.unreachable }

func (s *controllerStub) SuccessorOf(string) string { return s.successor }

// answer completes the oldest commit with the given outcome. It first applies a successful commit to the
// mirror.
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

// putShares sets a controller's share of the limit of team "tight", in CPUs.
func (s *controllerStub) putShares(node string, cpus float64) {
	s.revision++
	record := storage.Partition{QuotaShares: map[string]storage.QuotaShare{"tight": {CPUs: cpus}}}
	s.mirror.ApplyPut(storage.PartitionKey(node), protocol.MustMarshal(&record), s.revision)
}

// putShard stores shard "s" with the given number of tasks of team "tight", each of which uses 2 CPUs.
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

// newManager returns the Manager of n-0 and its stub. There are three controllers, of which n-0 and n-1 are
// members. Team "tight" has a limit of 20 CPUs, and team "free" has none.
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

// unmetDemand returns the demand of one waiting task. Nothing of the share is left, but a machine has room.
func unmetDemand(cpus float64) quota.UnmetDemand {
	return quota.UnmetDemand{
		TaskResources:  resources.Vector{CPUs: cpus},
		Tasks:          1,
		RemainingShare: resources.Vector{},
		HasMachineRoom: true,
	}
}

// comparedVersions returns the versions that a transaction is conditional on, by key.
func comparedVersions(txn protocol.Transaction) map[string]uint64 {
	versions := map[string]uint64{}
	for _, compare := range txn.If {
		versions[compare.Key] = compare.Version
	}
	return versions
}

// TestLeft checks that the remaining share deducts tasks in this controller's own shards and assignments by
// commits in doubt, but not tasks in another controller's shards.
func TestLeft(t *testing.T) {
	cases := []struct {
		name       string
		owner      string
		useInDoubt float64
		left       float64
	}{
		{"own shard of any incarnation", "n-0", 0, 6},
		{"own shard and a commit in doubt", "n-0", 2, 4},
		{"another controller's shard", "n-1", 0, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m, stub := newManager()
			stub.putShares("n-0", 10)
			stub.putShares("n-1", 8)
			stub.putShard(t, c.owner, 2)
			stub.useInDoubt = resources.Vector{CPUs: c.useInDoubt}
			if got := m.RemainingQuota("tight").CPUs; got != c.left {
				t.Errorf("got %v CPUs left, want %v", got, c.left)
			}
			if got := m.Unallocated("tight").CPUs; got != 2 {
				t.Errorf("got %v CPUs unallocated, want 2", got)
			}
			if got := m.RemainingQuota("free"); got != quota.Unlimited() {
				t.Errorf("team without a limit: got %+v left, want an unlimited amount", got)
			}
		})
	}
}

// TestRaiseIsConditionalOnAllRecords checks that a raise is conditional on the records of all controllers,
// including one that is no longer part of the deployment, and that a lowering is conditional on the own record
// only. Without these conditions, concurrent raises could allocate more than the limit.
func TestRaiseIsConditionalOnAllRecords(t *testing.T) {
	m, stub := newManager()
	stub.putShares("n-1", 4)
	stub.putShares("decommissioned", 1)
	m.RecordShortage("tight", unmetDemand(4))
	m.Adjust(0)
	if !m.WriteInFlight() {
		t.Fatal("after a shortage: no write in flight, want one")
	}
	m.Adjust(0)
	if len(stub.Commits) != 1 {
		t.Fatalf("got %d commits in flight, want 1", len(stub.Commits))
	}
	versions := comparedVersions(stub.answer(t, protocol.OK))
	want := map[string]uint64{
		storage.PartitionKey("n-0"):            0,
		storage.PartitionKey("n-1"):            2,
		storage.PartitionKey("n-2"):            0,
		storage.PartitionKey("decommissioned"): 3,
	}
	for key, version := range want {
		if got, ok := versions[key]; !ok || got != version {
			t.Errorf("raise, key %s: got version %v (compared: %v), want version %v", key, got, ok, version)
		}
	}
	if len(versions) != len(want) || m.WriteInFlight() || stub.passes != 1 {
		t.Errorf("raise: got compared versions %v, write in flight %v, %d requested passes; want %v, false, 1",
			versions, m.WriteInFlight(), stub.passes, want)
	}
	if got := m.ShareOf("n-0", "tight").CPUs; got < 4 {
		t.Errorf("share after the raise: got %v CPUs, want at least 4", got)
	}

	stub.shortageReportedAt["tight"] = 0
	m.Adjust(monotime.Second)
	versions = comparedVersions(stub.answer(t, protocol.OK))
	if _, ok := versions[storage.PartitionKey("n-0")]; !ok || len(versions) != 1 {
		t.Errorf("lowering: got compared versions %v, want only the record of n-0", versions)
	}
	if got := m.ShareOf("n-0", "tight").CPUs; got != 0 {
		t.Errorf("unused share after the lowering: got %v CPUs, want 0", got)
	}
}

// TestAdjustWaits checks that Adjust commits nothing while its inputs may be outdated or its commit may be
// unsafe. The case of the member record guards against a share that is lowered below its use, because an
// assignment of an earlier incarnation is applied while the new one decides.
func TestAdjustWaits(t *testing.T) {
	cases := map[string]func(*controllerStub, *Manager){
		"a commit of a shard is in flight": func(s *controllerStub, _ *Manager) { s.commitInFlight = true },
		"the state service is unavailable": func(s *controllerStub, _ *Manager) { s.unavailable = true },
		"the lease may have expired":       func(s *controllerStub, _ *Manager) { s.holdsLease = false },
		"the member record is not current": func(s *controllerStub, _ *Manager) { s.recordNotCurrent = true },
		"another component writes shares":  func(_ *controllerStub, m *Manager) { m.BeginWrite() },
	}
	for name, block := range cases {
		t.Run(name, func(t *testing.T) {
			m, stub := newManager()
			m.RecordShortage("tight", unmetDemand(4))
			block(stub, m)
			m.Adjust(0)
			if len(stub.Commits) > 0 {
				t.Errorf("got %d commits, want none", len(stub.Commits))
			}
		})
	}
}

// TestShareInDoubt checks that after a commit with an unknown outcome the smaller share counts until the record
// is written again. Otherwise tasks could be assigned to a share that the commit has already lowered.
func TestShareInDoubt(t *testing.T) {
	m, stub := newManager()
	stub.putShares("n-0", 8)
	stub.shortageReportedAt["tight"] = 0
	m.Adjust(0) // lowers the share to 0
	stub.answer(t, protocol.Unknown)
	if got := m.RemainingQuota("tight").CPUs; got != 0 {
		t.Errorf("got %v CPUs left while the lowering is in doubt, want 0", got)
	}
	delete(stub.shortageReportedAt, "tight")
	m.Adjust(monotime.Second) // changes no share, but writes the record to resolve the commit in doubt
	stub.answer(t, protocol.OK)
	if got := m.RemainingQuota("tight").CPUs; got != 8 {
		t.Errorf("got %v CPUs left after the record was written again, want 8", got)
	}
	m.Adjust(2 * monotime.Second)
	if len(stub.Commits) > 0 {
		t.Errorf("no commit in doubt and no share to change: got %d commits, want none", len(stub.Commits))
	}
}

// TestTeamsLacking checks that a shortage is reported after shortageReportDelay, and no longer once it is
// over.
func TestTeamsLacking(t *testing.T) {
	m, stub := newManager()
	stub.putShares("n-1", 20)
	for _, step := range []struct {
		at           monotime.Micros
		shortOfQuota bool
		want         []string
	}{
		{monotime.Second, true, nil},
		{monotime.Second + shortageReportDelay - 1, true, nil},
		{monotime.Second + shortageReportDelay, true, []string{"tight"}},
		{2*monotime.Second + shortageReportDelay, false, nil},
	} {
		if step.shortOfQuota {
			m.RecordShortage("tight", unmetDemand(1))
		}
		m.Adjust(step.at)
		if got := m.TeamsShortOfQuota(step.at); !slices.Equal(got, step.want) {
			t.Errorf("at %v: got teams %v, want %v", step.at, got, step.want)
		}
	}
}

// TestPeerReportExpires checks that a peer's shortage report is valid for three peer status intervals.
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
			t.Errorf("at %v: got lowered %v, want %v", c.now, lowered, c.lowered)
		}
	}
}

// TestReleaseDeparted checks that only the successor of a departed controller deletes its record, and only after
// all of its shards are taken over. The deletion is conditional on the record's version and on the absence of a
// member record.
func TestReleaseDeparted(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*testing.T, *controllerStub)
		now     monotime.Micros
		want    bool
	}{
		{
			"departed for longer than the grace period",
			func(*testing.T, *controllerStub) {},
			departureGracePeriod + 1,
			true,
		},
		{
			"departed for exactly the grace period",
			func(*testing.T, *controllerStub) {},
			departureGracePeriod,
			false,
		},
		{
			"still a member",
			func(_ *testing.T, s *controllerStub) { s.members["n-2"] = true },
			departureGracePeriod + 1,
			false,
		},
		{
			"another controller is the successor",
			func(_ *testing.T, s *controllerStub) { s.successor = "n-1" },
			departureGracePeriod + 1,
			false,
		},
		{
			"still owns a shard",
			func(t *testing.T, s *controllerStub) { s.putShard(t, "n-2", 0) },
			departureGracePeriod + 1,
			false,
		},
		{
			"watch is behind the record's version",
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
			if _, ok := stub.SingleCommit(t, c.want); !ok {
				return
			}
			versions := comparedVersions(stub.answer(t, protocol.OK))
			member, compared := versions[storage.MemberKey("n-2")]
			if versions[storage.PartitionKey("n-2")] != 2 || !compared || member != 0 {
				t.Errorf("got compared versions %v, want 2 for the record and 0 for the member record of n-2", versions)
			}
			if stub.mirror.Partitions["n-2"] != nil || m.Unallocated("tight").CPUs != 20 {
				t.Errorf("got record %v and %v CPUs unallocated, want no record and 20 CPUs",
					stub.mirror.Partitions["n-2"], m.Unallocated("tight").CPUs)
			}
		})
	}
}

// TestTransfer checks that several transfers in one transaction add up and write each record once, and that
// teams without a limit change nothing.
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
		t.Fatalf("got %d operations, compared versions %v and compared keys %v, want 2 of each",
			len(txn.Then), comparedVersions(txn), compared)
	}
	versions := comparedVersions(txn)
	if versions[storage.PartitionKey("n-2")] != 2 || versions[storage.PartitionKey("n-0")] != 0 {
		t.Errorf("got compared versions %v, want 2 for n-2 and 0 for n-0", versions)
	}
	stub.mirror.ApplyCommit(&txn, stub.revision+1)
	if from, to := m.ShareOf("n-2", "tight").CPUs, m.ShareOf("n-0", "tight").CPUs; from != 3 || to != 6 {
		t.Errorf("got shares of %v CPUs for n-2 and %v CPUs for n-0, want 3 and 6", from, to)
	}
}
