package fleet

import (
	"io"
	"log/slog"
	"slices"
	"testing"

	"pipitgap/internal/autoscaling"
	"pipitgap/internal/config"
	"pipitgap/internal/fake/stubs"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// testTerm is the version of the leader record, which numbers the term.
const testTerm = 7

// cloudCall is a call to the cloud that waits for a test to answer it.
type cloudCall struct {
	protocol.CloudCall
	answer func(protocol.CloudResult)
}

// controllerStub stands in for the other parts of a controller. Commits succeed at once and change the
// mirror. Calls to the cloud wait for the test to answer them.
type controllerStub struct {
	stubs.AppliedCommits
	t          *testing.T
	records    *mirror.Mirror
	reconciler *Reconciler
	now        monotime.Micros
	leader     bool
	calls      []cloudCall
	connected  []string
	demand     func() []*autoscaling.Demand
	zones      map[string]ZoneReachability
}

func newControllerStub(t *testing.T) *controllerStub {
	s := &controllerStub{
		t: t, records: mirror.New(), now: monotime.Second, leader: true,
		connected: []string{"n-0"}, demand: func() []*autoscaling.Demand { return nil },
	}
	s.AppliedCommits = stubs.AppliedCommits{Mirror: s.records, Revision: 100}
	s.records.LeaderVersion = testTerm
	settings := config.Defaults()
	settings.ScaleInAttempts = 2
	s.reconciler = New(Config{Settings: settings, MaxValueBytes: 1000, ListLagSeconds: 1}, Dependencies{
		Mirror: s.records, Environment: s, Membership: s, Store: s, Catalog: s, Controllers: s, Workload: s,
		CloudCalls: &ratelimit.TokenBucket{Rate: 100, Burst: 100},
		Log:        slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	return s
}

func (s *controllerStub) Now() monotime.Micros                            { return s.now }
func (s *controllerStub) WallClock() int64                                { return int64(s.now) }
func (s *controllerStub) After(_ monotime.Micros, f func())               { f() }
func (s *controllerStub) IsLeader(monotime.Micros) bool                   { return s.leader }
func (s *controllerStub) LeadershipCompare() protocol.Compare             { return protocol.Compare{Key: "leader"} }
func (s *controllerStub) Unavailable() bool                               { return false }
func (s *controllerStub) IsFetched() bool                                 { return false }
func (s *controllerStub) Connected() []string                             { return s.connected }
func (s *controllerStub) ZoneReachabilities() map[string]ZoneReachability { return s.zones }
func (s *controllerStub) RecordTrialDemand(string, monotime.Micros)       {}
func (s *controllerStub) IsClosedByDrain(autoscaling.Offer) bool          { return false }

func (s *controllerStub) DesignatedController(request *mirror.ScaleOutEntry, _ string) string {
	return request.Record.LiveControllers[0]
}

func (s *controllerStub) MachineTypes() map[string]protocol.MachineType {
	return map[string]protocol.MachineType{
		"m8": {Name: "m8", CPUs: 8, MemoryGB: 64, OnDemandPrice: 1, Zones: []string{"a", "b"}},
	}
}

func (s *controllerStub) Snapshot(now monotime.Micros) *autoscaling.Snapshot {
	return &autoscaling.Snapshot{
		Records: s.records, MachineTypes: s.MachineTypes(), Now: now, WallClock: s.WallClock(),
	}
}

func (s *controllerStub) DemandAndSupply(
	snapshot *autoscaling.Snapshot,
) ([]*autoscaling.Demand, []*autoscaling.Bin) {
	return s.demand(), snapshot.Bins()
}

func (s *controllerStub) CallCloud(call *protocol.CloudCall, answer func(protocol.CloudResult)) {
	s.calls = append(s.calls, cloudCall{*call, answer})
}

func (s *controllerStub) Commit(
	priority ratelimit.Priority,
	txn protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	s.t.Helper()
	if !slices.ContainsFunc(txn.If, func(c protocol.Compare) bool { return c.Key == "leader" }) {
		s.t.Errorf("got a commit with conditions %+v, want one on the leadership", txn.If)
	}
	s.AppliedCommits.Commit(priority, txn, callback)
}

// reconcile advances the clock and runs the reconciliation.
func (s *controllerStub) reconcile(after monotime.Micros) {
	s.now += after
	s.reconciler.Reconcile(s.now)
}

// nextCall removes and returns the oldest unanswered call. The test fails unless the call has the given
// operation.
func (s *controllerStub) nextCall(op protocol.CloudOp) cloudCall {
	s.t.Helper()
	if len(s.calls) == 0 || s.calls[0].Op != op {
		s.t.Fatalf("got calls %+v, want first one with operation %v", s.calls, op)
	}
	call := s.calls[0]
	s.calls = s.calls[1:]
	return call
}

// rebuildInventory answers the machine list request of a new term with an empty list.
func (s *controllerStub) rebuildInventory() {
	s.t.Helper()
	s.reconcile(0)
	s.nextCall(protocol.CloudList).answer(protocol.CloudResult{Outcome: protocol.OK})
}

// scaleOut returns the only scale-out request. The test fails if there are more or none.
func (s *controllerStub) scaleOut() storage.ScaleOutRequest {
	s.t.Helper()
	if len(s.records.ScaleOuts) != 1 {
		s.t.Fatalf("got %d scale-out requests, want 1", len(s.records.ScaleOuts))
	}
	for _, request := range s.records.ScaleOuts {
		return request.Record
	}
	panic("unreachable")
}

// addScaleOut adds a scale-out request to the records.
func (s *controllerStub) addScaleOut(name string, record storage.ScaleOutRequest) {
	record.MachineType, record.Zone = "m8", "a"
	s.records.ApplyPut(storage.ScaleOutKey(name), protocol.MustMarshal(&record), 1)
}

func serviceDemand(cpus float64, tasks int) func() []*autoscaling.Demand {
	return func() []*autoscaling.Demand {
		spec := &storage.JobSpec{CPUs: cpus, Service: true}
		need := mirror.MachineCapacity(&protocol.MachineType{CPUs: cpus})
		return []*autoscaling.Demand{{Spec: spec, Need: need, Tasks: tasks, JobID: "j"}}
	}
}

// TestNoScaleOutBeforeInventoryIsRebuilt checks that a new leader requests no machines before it has read the
// cloud's machine list to its end, and that each term reads the list again.
func TestNoScaleOutBeforeInventoryIsRebuilt(t *testing.T) {
	s := newControllerStub(t)
	s.demand = serviceDemand(8, 1)
	s.reconcile(0)
	page := s.nextCall(protocol.CloudList)
	page.answer(protocol.CloudResult{
		Outcome: protocol.OK, More: true, Listed: []protocol.ListedMachine{{ID: "i-1", State: "booting"}},
	})
	s.reconcile(monotime.Second)
	if len(s.records.ScaleOuts) != 0 {
		t.Fatalf("got scale-out requests %+v before the end of the list, want none", s.records.ScaleOuts)
	}
	last := s.nextCall(protocol.CloudList)
	if last.After != "i-1" {
		t.Errorf("got next page after %q, want after %q", last.After, "i-1")
	}
	last.answer(protocol.CloudResult{Outcome: protocol.OK})
	s.reconcile(monotime.Second)
	if got := s.scaleOut(); got.Phase != storage.ScaleOutPending || got.Count != 1 {
		t.Errorf("got request %+v, want a pending one for 1 machine", got)
	}
	s.records.LeaderVersion++ // a new term begins
	s.reconcile(monotime.Second)
	if s.reconciler.term.inventoryRebuilt {
		t.Error("a new term uses the inventory of the previous term")
	}
}

// TestResultsOfEarlierTermAreIgnored checks that the result of a cloud call from an earlier term has no
// effect.
func TestResultsOfEarlierTermAreIgnored(t *testing.T) {
	s := newControllerStub(t)
	s.reconcile(0)
	staleCall := s.nextCall(protocol.CloudList)
	s.records.LeaderVersion++
	s.reconcile(monotime.Second)
	staleCall.answer(protocol.CloudResult{Outcome: protocol.OK})
	if s.reconciler.term.inventoryRebuilt {
		t.Error("the machine list of an earlier term rebuilt the inventory")
	}
}

// TestOnlyTheLeaderReconciles checks that a controller that isn't the leader, or no longer is, makes no cloud
// calls and writes no requests.
func TestOnlyTheLeaderReconciles(t *testing.T) {
	s := newControllerStub(t)
	s.leader = false
	s.reconcile(0)
	if len(s.calls) != 0 {
		t.Errorf("not yet leader: got calls %+v, want none", s.calls)
	}
	s.leader = true
	s.rebuildInventory()
	s.leader = false
	s.demand = serviceDemand(8, 1)
	s.reconcile(monotime.Minute)
	if len(s.calls) != 0 || len(s.records.ScaleOuts) != 0 {
		t.Errorf("no longer leader: got calls %+v and scale-out requests %+v, want none",
			s.calls, s.records.ScaleOuts)
	}
}

// TestScaleOutOutcomes checks the phase of a scale-out request, the quarantine of its offer and the retry of
// its call after each outcome of the call.
func TestScaleOutOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name            string
		result          protocol.CloudResult
		want            storage.ScaleOutPhase
		wantQuarantined bool
	}{
		{"filled", protocol.CloudResult{Outcome: protocol.OK, Created: []string{"i-1", "i-2"}},
			storage.ScaleOutProvisioning, false},
		{"partly filled", protocol.CloudResult{Outcome: protocol.OK, Created: []string{"i-1"}},
			storage.ScaleOutProvisioning, true},
		{"no machines created", protocol.CloudResult{Outcome: protocol.OK}, storage.ScaleOutNoCapacity, true},
		{"no capacity", protocol.CloudResult{Outcome: protocol.NoCapacity}, storage.ScaleOutNoCapacity, true},
		{"rejected", protocol.CloudResult{Outcome: protocol.Rejected}, storage.ScaleOutNoCapacity, true},
		{"throttled", protocol.CloudResult{Outcome: protocol.Throttled}, storage.ScaleOutPending, false},
		{"unknown", protocol.CloudResult{Outcome: protocol.Unknown}, storage.ScaleOutPending, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newControllerStub(t)
			s.rebuildInventory()
			s.addScaleOut("r-7-9", storage.ScaleOutRequest{Phase: storage.ScaleOutPending, Count: 2})
			s.reconcile(0)
			call := s.nextCall(protocol.CloudCreateMachines)
			if call.Create.Name != "r-7-9" || call.Create.Count != 2 {
				t.Errorf("got cloud request %+v, want name r-7-9 and count 2", call.Create)
			}
			call.answer(tc.result)
			if got := s.records.ScaleOuts["r-7-9"].Record.Phase; got != tc.want {
				t.Errorf("got phase %s, want %s", got, tc.want)
			}
			if got := len(autoscaling.QuarantinedOffers(s.records)) > 0; got != tc.wantQuarantined {
				t.Errorf("got quarantined %v, want %v", got, tc.wantQuarantined)
			}
			s.reconcile(cloudRetryDelay)
			if repeated := len(s.calls) > 0; repeated != (tc.want == storage.ScaleOutPending) {
				t.Errorf("got cloud request repeated %v, want %v", repeated, tc.want == storage.ScaleOutPending)
			}
		})
	}
}

// TestProvisioning checks that a scale-out request is deleted when all its machines are up, is replaced with
// a scale-in request for machines that aren't up in time, and names the connected controllers if the
// designated controller isn't connected.
func TestProvisioning(t *testing.T) {
	for _, tc := range []struct {
		name        string
		upMachines  []string
		age         monotime.Micros
		designated  string
		wantLive    []string // nil: the request is deleted
		wantRemoved []string
	}{
		{"all up", []string{"i-1", "i-2"}, 0, "n-0", nil, nil},
		{"one machine isn't up yet", []string{"i-1"}, 0, "n-0", []string{"n-0"}, nil},
		{"one machine isn't up in time", []string{"i-1"}, 91 * monotime.Second, "n-0", nil, []string{"i-2"}},
		{"designated controller isn't connected", []string{"i-1"}, 0, "n-1", []string{"n-0"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newControllerStub(t)
			s.rebuildInventory()
			s.addScaleOut("r", storage.ScaleOutRequest{
				Phase: storage.ScaleOutProvisioning, Count: 2, Machines: []string{"i-1", "i-2"},
				LiveControllers: []string{tc.designated}, PhaseSince: int64(s.now),
			})
			s.records.WatchedRevision = 1
			for _, id := range tc.upMachines {
				s.records.Machines[id] = &mirror.Machine{ID: id, Record: &storage.ShardMachine{}}
			}
			s.reconcile(tc.age)
			request := s.records.ScaleOuts["r"]
			if (request != nil) != (tc.wantLive != nil) {
				t.Fatalf("got request %+v, want kept %v", request, tc.wantLive != nil)
			}
			if request != nil && !slices.Equal(request.Record.LiveControllers, tc.wantLive) {
				t.Errorf("got controllers %v, want %v", request.Record.LiveControllers, tc.wantLive)
			}
			for _, id := range tc.wantRemoved {
				if s.records.ScaleInOfMachine[id] == "" {
					t.Errorf("got no scale-in request for %s, want one", id)
				}
			}
			if len(s.records.ScaleInOfMachine) != len(tc.wantRemoved) {
				t.Errorf("got scale-in requests by machine %v, want machines %v",
					s.records.ScaleInOfMachine, tc.wantRemoved)
			}
		})
	}
}

// TestFailedDeletionsAreFlagged checks that the outcomes Throttled and Unavailable don't count as failed
// attempts. After the last quick attempt the request is flagged as failed and retried at long intervals.
func TestFailedDeletionsAreFlagged(t *testing.T) {
	s := newControllerStub(t)
	s.rebuildInventory()
	s.records.Machines["i-1"] = &mirror.Machine{
		ID: "i-1", Record: &storage.ShardMachine{State: storage.MachineRemoving},
	}
	s.reconcile(0)
	record := func() storage.ScaleInRequest { return s.records.ScaleIns[s.records.ScaleInOfMachine["i-1"]].Record }
	for _, step := range []struct {
		outcome      protocol.Outcome
		wantAttempts int
		wantFailed   bool
	}{
		{protocol.Throttled, 0, false},
		{protocol.Unavailable, 0, false},
		{protocol.Rejected, 1, false},
		{protocol.Unknown, 2, true},
	} {
		call := s.nextCall(protocol.CloudDelete)
		if !slices.Equal(call.Delete, []string{"i-1"}) {
			t.Fatalf("got deletion of %v, want i-1", call.Delete)
		}
		call.answer(protocol.CloudResult{Outcome: step.outcome})
		if got := record(); got.FailedCalls != step.wantAttempts || got.Failed != step.wantFailed || got.Deleted {
			t.Errorf("after %s: got %+v, want %d attempts, failed %v, not deleted",
				step.outcome, got, step.wantAttempts, step.wantFailed)
		}
		s.reconcile(cloudRetryDelay)
	}
	if len(s.calls) != 0 {
		t.Fatalf("got calls %+v right after the request was flagged, want none", s.calls)
	}
	s.reconcile(monotime.Minute)
	s.nextCall(protocol.CloudDelete).answer(protocol.CloudResult{Outcome: protocol.OK})
	if !record().Deleted {
		t.Errorf("after a successful deletion: got record %+v, want it marked deleted", record())
	}
}

// TestListedMachinesWithoutRecord checks that a listed machine without a record is adopted if it is old
// enough, and terminated if it failed.
func TestListedMachinesWithoutRecord(t *testing.T) {
	s := newControllerStub(t)
	s.reconcile(0)
	s.nextCall(protocol.CloudList).
		answer(protocol.CloudResult{Outcome: protocol.OK, Listed: []protocol.ListedMachine{
			{ID: "i-new", Type: "m8", Zone: "a", AgeS: 7},
			{ID: "i-old", Type: "m8", Zone: "a", AgeS: 7.1},
			{ID: "i-failed", Type: "m8", Zone: "a", State: "failed"},
		}})
	if got := s.scaleOut(); got.Phase != storage.ScaleOutProvisioning ||
		!slices.Equal(got.Machines, []string{"i-old"}) || !slices.Equal(got.LiveControllers, []string{"n-0"}) {
		t.Errorf("got request %+v, want a provisioning one for i-old, to be claimed by n-0", got)
	}
	s.reconcile(scaleInInterval)
	if got := s.nextCall(protocol.CloudDelete).Delete; !slices.Equal(got, []string{"i-failed"}) {
		t.Errorf("got deletion of %v, want i-failed", got)
	}
}

// TestNoScaleOutInUnreachableZones checks that machines are requested only in reachable zones.
func TestNoScaleOutInUnreachableZones(t *testing.T) {
	s := newControllerStub(t)
	s.demand = serviceDemand(8, 1)
	s.zones = map[string]ZoneReachability{"a": {Machines: 3, UnreachableMachines: 3, Unreachable: true}}
	s.rebuildInventory()
	s.reconcile(monotime.Second)
	if got := s.scaleOut(); got.Zone != "b" {
		t.Errorf("got request in zone %s, want b", got.Zone)
	}
}
