package placement

import (
	"log/slog"
	"math/rand/v2"

	"pipitgap/internal/agents"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/quota"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/resources"
	"pipitgap/internal/shards"
	"pipitgap/internal/storage"
)

// testController stubs the other components of controller n-0, one of three connected controllers. Its time
// changes only when a test sets it, and its commits never get an outcome.
type testController struct {
	scheduler     *Scheduler
	mirror        *mirror.Mirror
	now           monotime.Micros
	random        *rand.Rand
	machineTypes  map[string]protocol.MachineType
	limits        map[string]quota.Limits
	failedAtPeers map[string]int
	recordWrites  testRecordWrites

	leaseLost, storeUnavailable, commitAwaited, quotaWriteInFlight bool
	recordNotCurrent                                               bool            // the member record
	absent, cutOff                                                 map[string]bool // by controller
	passes                                                         int             // that prepared updates
	reassigned                                                     []storage.OpenJob
}

// testFence is the condition that the member record of controller n-0 is unchanged.
var testFence = protocol.Compare{Key: storage.MemberKey("n-0"), Version: 2}

var testControllers = []string{"n-0", "n-1", "n-2"}

func newTestController() *testController {
	c := &testController{
		mirror:       mirror.New(),
		now:          500 * monotime.Second,
		random:       rand.New(rand.NewPCG(23, 23)),
		machineTypes: map[string]protocol.MachineType{"m8": {Name: "m8", CPUs: 8, MemoryGB: 64}},
		recordWrites: testRecordWrites{},
	}
	c.mirror.WatchedRevision = 10
	c.scheduler = New(
		Config{
			Node:                  "n-0",
			Controllers:           testControllers,
			MaxTxnOps:             64,
			MaxValueBytes:         64 << 10,
			PlacementSilenceLimit: monotime.Second,
		},
		Dependencies{
			Mirror: c.mirror, Environment: testEnvironment{c}, Membership: testMembership{c},
			Reachability: testReachability{
				c,
			}, Catalog: testCatalog{c}, Quota: testQuota{c}, Agents: testAgents{},
			Shards: testShards{c}, Store: testStore{c}, Replica: testReplica{c}, Drains: testDrains{},
			Peers: testPeers{c}, RecordWrites: c.recordWrites, ScaleIn: testScaleIn{},
			Log: slog.New(slog.DiscardHandler),
		},
	)
	return c
}

// wallClockOffset is how far the time of day is ahead of the monotonic clock.
const wallClockOffset = 1_000_000 * monotime.Second

// WallClock returns the time of day in microseconds.
func (c *testController) WallClock() int64 { return int64(c.now + wallClockOffset) }

type testEnvironment struct{ c *testController }

func (e testEnvironment) Now() monotime.Micros { return e.c.now }
func (e testEnvironment) WallClock() int64     { return e.c.WallClock() }
func (e testEnvironment) Rand() *rand.Rand     { return e.c.random }

type testMembership struct{ c *testController }

func (m testMembership) HoldsLease(monotime.Micros) bool { return !m.c.leaseLost }
func (m testMembership) IsMember(node string) bool       { return !m.c.absent[node] }
func (m testMembership) IncarnationCompare() (protocol.Compare, bool) {
	return testFence, !m.c.recordNotCurrent
}
func (testMembership) LiveControllers() []string { return testControllers }
func (testMembership) AbsentSince(_ string, now monotime.Micros) monotime.Micros {
	return now - 2*monotime.Second
}

type testReachability struct{ c *testController }

func (testReachability) ConnectedControllers() []string { return testControllers }
func (r testReachability) IsCutOffFromWorkers(node string, _ monotime.Micros) bool {
	return r.c.cutOff[node]
}

type testCatalog struct{ c *testController }

func (t testCatalog) MachineTypes() map[string]protocol.MachineType { return t.c.machineTypes }

type testQuota struct{ c *testController }

func (q testQuota) Limits(team string) (quota.Limits, bool) {
	limits, ok := q.c.limits[team]
	return limits, ok
}
func (testQuota) RemainingQuota(string) resources.Vector   { return quota.Unlimited() }
func (testQuota) RecordShortage(string, quota.UnmetDemand) {}
func (q testQuota) WriteInFlight() bool                    { return q.c.quotaWriteInFlight }

type testAgents struct{}

func (testAgents) Of(*mirror.Machine) *agents.Agent { return nil }
func (testAgents) SyncCommands(*mirror.Machine)     {}

type testShards struct{ c *testController }

func (s testShards) ShouldAwaitCommit(monotime.Micros) bool { return s.c.commitAwaited }
func (s testShards) PrepareUpdates(monotime.Micros) []*shards.Update {
	s.c.passes++
	return nil
}

func (testShards) Commit(*shards.Update, monotime.Micros) {}
func (testShards) TasksInDoubt() map[mirror.TaskID]bool   { return nil }
func (testShards) AdmitClaimRequests(updates []*shards.Update, _ monotime.Micros) []*shards.Update {
	return updates
}

type testStore struct{ c *testController }

func (s testStore) Unavailable() bool                          { return s.c.storeUnavailable }
func (testStore) WatchInterval() monotime.Micros               { return 100 * monotime.Millisecond }
func (testStore) ShardWritesPerSecond() float64                { return 100 }
func (s testStore) NextWriteAllowedAt(float64) monotime.Micros { return s.c.now + monotime.Second }

type testReplica struct{ c *testController }

func (r testReplica) Commit(
	_ ratelimit.Priority,
	txn protocol.Transaction,
	_ func(protocol.StoreResult),
) {
	for _, op := range txn.Then {
		var record storage.OpenJob
		if err := protocol.Unmarshal(op.Value, &record); err != nil {
			panic(err)
		}
		r.c.reassigned = append(r.c.reassigned, record)
	}
}

type testDrains struct{}

func (testDrains) ReservedByMachine() map[string]resources.Vector        { return nil }
func (testDrains) ForEachReservation(func(*storage.Permit, *mirror.Job)) {}
func (testDrains) ProtectsFromPreemption(*mirror.Job) bool               { return false }
func (testDrains) TracksStart(*storage.JobSpec) bool                     { return false }

type testPeers struct{ c *testController }

func (p testPeers) FailedMachines(job string) int { return p.c.failedAtPeers[job] }

type testRecordWrites map[string]bool

func (w testRecordWrites) Contains(job string) bool { return w[job] }
func (w testRecordWrites) Begin(job string)         { w[job] = true }
func (w testRecordWrites) End(job string)           { delete(w, job) }

type testScaleIn struct{}

func (testScaleIn) IsClosed(string) bool { return false }
func (testScaleIn) Reopen(string)        {}
