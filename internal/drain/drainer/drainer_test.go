package drainer

import (
	"io"
	"log/slog"
	"maps"
	"slices"
	"testing"

	"pipitgap/internal/agents"
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/config"
	"pipitgap/internal/drain"
	"pipitgap/internal/fake/stubs"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// The fleet of these tests: two machines of the controller, one with a replica and an array task, one empty.
const (
	ownNode      = "n-0"
	fullMachine  = "i-1"
	emptyMachine = "i-2"
	serviceJob   = "j-service"
	arrayJob     = "j-array"
	team         = "web"
	heldAttempt  = 7

	ownShard        = "n-0.1"
	ownShardVersion = 90

	workerLease = 30 * monotime.Second
	testNow     = 100 * monotime.Second
)

// controllerStub implements the drainer's dependencies. Commits succeed at once and change the mirror.
type controllerStub struct {
	stubs.AppliedCommits
	records      *mirror.Mirror
	drainer      *Drainer
	agents       map[string]*agents.Agent
	now          monotime.Micros
	nextWriteAt  monotime.Micros
	synced       []string // machines whose agents were sent commands
	crashLooping bool     // the service fails wherever it runs
	runSeconds   float64  // expected run time of a task
}

func newControllerStub() *controllerStub {
	s := &controllerStub{
		records: mirror.New(), now: testNow, runSeconds: 1000,
		agents: map[string]*agents.Agent{},
	}
	s.AppliedCommits = stubs.AppliedCommits{Mirror: s.records, Revision: 100}
	reserve := 0
	settings := &config.DrainSettings{
		DefaultMaxUnavailable: 1, DefaultReserveMachines: &reserve, MaxParallel: 1,
		ArrayWait: config.Duration(30 * monotime.Second), MinReady: config.Duration(10 * monotime.Second),
	}
	s.drainer = New(ownNode, settings, Dependencies{
		Mirror: s.records, Clock: s, Membership: s, Store: s, Agents: s, Jobs: s, Machines: s,
		NotePermitWrite: func() {}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	shard := &mirror.Shard{Name: ownShard, Record: &storage.Shard{Owner: ownNode}, Version: ownShardVersion}
	s.records.Shards[ownShard] = shard
	for _, id := range []string{fullMachine, emptyMachine} {
		s.records.Machines[id] = &mirror.Machine{
			ID: id, Shard: shard, Attempts: map[mirror.TaskID]uint64{},
			Record: &storage.ShardMachine{Type: "m8", Zone: "a", State: storage.MachineOpen},
		}
		s.agents[id] = agents.New(1, 0)
	}
	s.addJob(serviceJob, true)
	s.addJob(arrayJob, false)
	return s
}

// addJob adds a job with one task, whose attempt is on fullMachine.
func (s *controllerStub) addJob(id string, isService bool) {
	s.records.Jobs[id] = &mirror.Job{
		ID: id, TaskStates: []uint8{1}, TaskResources: resources.Vector{CPUs: 2}, AssignedTasks: 1,
		Record: storage.OpenJob{Spec: storage.JobSpec{Team: team, Tasks: 1, CPUs: 2, Service: isService}},
	}
	s.records.Machines[fullMachine].Attempts[mirror.TaskID{Job: id}] = heldAttempt
}

// report applies a heartbeat with the fencing token, in which the agent of fullMachine reports all its
// attempts as running.
func (s *controllerStub) report(token uint64) {
	machine, agent := s.records.Machines[fullMachine], s.agents[fullMachine]
	heartbeat := &protocol.Heartbeat{Incarnation: 1, Sequence: uint64(s.now), FencingToken: token}
	for task, attempt := range machine.Attempts {
		heartbeat.Tasks = append(heartbeat.Tasks,
			protocol.TaskStatus{Task: task.String(), Attempt: attempt, State: protocol.StateRunning})
	}
	agent.ApplyReport(machine, s.records.Jobs, heartbeat, s.now, workerLease)
}

func (s *controllerStub) Now() monotime.Micros                         { return s.now }
func (s *controllerStub) WallClock() int64                             { return int64(s.now) }
func (s *controllerStub) HoldsLease(monotime.Micros) bool              { return true }
func (s *controllerStub) IsLeader(monotime.Micros) bool                { return true }
func (s *controllerStub) IsMember(string) bool                         { return true }
func (s *controllerStub) LiveControllers() []string                    { return []string{ownNode} }
func (s *controllerStub) Unavailable() bool                            { return false }
func (s *controllerStub) IsMirrorStale(monotime.Micros) bool           { return false }
func (s *controllerStub) UserCallsWaiting(monotime.Micros) bool        { return false }
func (s *controllerStub) HasSpareWrites(monotime.Micros, float64) bool { return true }
func (s *controllerStub) NextWriteAllowedAt(float64) monotime.Micros   { return s.nextWriteAt }
func (s *controllerStub) MaxValueBytes() int                           { return 1000 }
func (s *controllerStub) Of(machine *mirror.Machine) *agents.Agent     { return s.agents[machine.ID] }
func (s *controllerStub) SyncCommands(machine *mirror.Machine) {
	s.synced = append(s.synced, machine.ID)
}

func (s *controllerStub) IsCrashLooping(
	job *mirror.Job,
) bool {
	return s.crashLooping && job.ID == serviceJob
}
func (s *controllerStub) ExpectedRunSeconds(*storage.JobSpec) float64           { return s.runSeconds }
func (s *controllerStub) ZoneConstraint(*mirror.Job) autoscaling.ZoneConstraint { return nil }
func (s *controllerStub) AssignmentShardBytes() int                             { return 1000 }
func (s *controllerStub) MachineTypes() map[string]protocol.MachineType {
	return map[string]protocol.MachineType{}
}
func (s *controllerStub) ScaleInDelay(*storage.ShardMachine) monotime.Micros {
	return 20 * monotime.Second
}

func (s *controllerStub) CommitAsLeader(
	priority ratelimit.Priority,
	_ string,
	txn protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	s.Commit(priority, txn, callback)
}

// servicePermit returns a permit for the service's replica.
func servicePermit() storage.Permit {
	return storage.Permit{Drain: "d", Job: serviceJob, Attempt: heldAttempt, From: fullMachine, To: emptyMachine}
}

// putPermits writes the permits of the team to the records.
func (s *controllerStub) putPermits(permits ...storage.Permit) {
	record := storage.Permits{Permits: permits}
	s.Revision++
	s.records.ApplyPut(storage.PermitsKey(team), protocol.MustMarshal(&record), s.Revision)
}

// permits returns the team's permits.
func (s *controllerStub) permits() []storage.Permit {
	return s.records.PermitsByTeam[team].Record.Permits
}

// TestRevokedPermitsAreRemovedOnlyUnused guards against removing a revoked permit while its replica may still
// be stopped under it.
func TestRevokedPermitsAreRemovedOnlyUnused(t *testing.T) {
	for _, tc := range []struct {
		name     string
		setup    func(*controllerStub)
		wantKept bool
	}{
		{"unused", func(s *controllerStub) { s.report(s.agents[fullMachine].BaseToken()) }, false},
		{"no report yet", func(*controllerStub) {}, true},
		{"report from before the claim", func(s *controllerStub) { s.report(s.agents[fullMachine].BaseToken() - 1) },
			true},
		{"no longer running", func(s *controllerStub) {
			delete(s.records.Machines[fullMachine].Attempts, attemptOf(servicePermit()).Task)
			s.report(s.agents[fullMachine].BaseToken())
		}, true},
		{"being stopped", func(s *controllerStub) {
			s.report(s.agents[fullMachine].BaseToken())
			s.agents[fullMachine].StopAttempt(attemptOf(servicePermit()))
		}, true},
		{"outcome pending", func(s *controllerStub) {
			s.report(s.agents[fullMachine].BaseToken())
			s.agents[fullMachine].RecordOutcome(attemptOf(servicePermit()), agents.OutcomeRetry)
		}, true},
		{"another controller's machine", func(s *controllerStub) { delete(s.agents, fullMachine) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newControllerStub()
			s.putPermits(servicePermit())
			tc.setup(s)
			s.drainer.writePermits(&drain.Decision{Revoked: []storage.Permit{servicePermit()}}, s.now)
			if kept := len(s.permits()) == 1; kept != tc.wantKept {
				t.Errorf("got permits %+v, want the permit kept: %v", s.permits(), tc.wantKept)
			}
		})
	}
}

// heldStore is the store of a controllerStub, but its commits wait for the test.
type heldStore struct {
	*controllerStub
	held *stubs.HeldCommits
}

// Commit queues a commit.
func (s heldStore) Commit(
	priority ratelimit.Priority,
	txn protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	s.held.Commit(priority, txn, callback)
}

// TestPermitIsNotUsedWhileItsRemovalIsInDoubt guards against a replica that is stopped under a permit whose
// removal, decided a moment before, is applied later. Other controllers then count the replica as available and
// grant another permit. The removal must also fail if another controller, or a later incarnation, owns the machine
// by then, because these don't know of it.
func TestPermitIsNotUsedWhileItsRemovalIsInDoubt(t *testing.T) {
	permit := servicePermit()
	for _, tc := range []struct {
		name    string
		outcome protocol.Outcome
		answer  bool
		stops   bool
	}{
		{"in flight", protocol.OK, false, false},
		{"no answer", protocol.Unknown, true, false},
		{"refused", protocol.Conflict, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newControllerStub()
			held := &stubs.HeldCommits{}
			s.drainer.deps.Store = heldStore{s, held}
			s.putPermits(permit)
			s.report(s.agents[fullMachine].BaseToken())
			s.drainer.writePermits(&drain.Decision{Revoked: []storage.Permit{permit}}, s.now)
			removal := held.TakeOldest(t)
			shard := protocol.Compare{Key: storage.ShardKey(ownShard), Version: ownShardVersion}
			if !slices.Contains(removal.Transaction.If, shard) {
				t.Errorf("removal: got conditions %+v, want one on the shard of the machine", removal.Transaction.If)
			}
			if tc.answer {
				removal.Callback(protocol.StoreResult{Outcome: tc.outcome})
			}
			stopping := func() bool { return s.agents[fullMachine].IsStopping(attemptOf(permit)) }
			s.drainer.usePermits([]storage.Permit{permit})
			if got := stopping(); got != tc.stops {
				t.Errorf("got replica stopped %t, want %t", got, tc.stops)
			}
			if tc.outcome != protocol.Unknown {
				return
			}
			s.drainer.writePermits(&drain.Decision{}, s.now)
			held.TakeOldest(t).Callback(protocol.StoreResult{Outcome: protocol.OK})
			s.putPermits(permit) // the record has a new version, so the removal can't be applied any more
			s.drainer.usePermits([]storage.Permit{permit})
			if !stopping() {
				t.Error("after the record was written again: got replica not stopped, want it stopped")
			}
			s.drainer.writePermits(&drain.Decision{}, s.now)
			if len(held.Commits) > 0 {
				t.Errorf("nothing in doubt: got %d commits, want none", len(held.Commits))
			}
		})
	}
}

// TestPermitsAreWrittenWithinTheirRate guards against permit writes above their rate limit: the changes of a
// team are one commit, and the next commit waits until the limit allows it.
func TestPermitsAreWrittenWithinTheirRate(t *testing.T) {
	s := newControllerStub()
	s.putPermits(servicePermit())
	granted := storage.Permit{
		Drain:   "d",
		Job:     serviceJob,
		Task:    1,
		Attempt: heldAttempt,
		From:    fullMachine,
		To:      emptyMachine,
	}
	decision := &drain.Decision{
		Completed: map[string][]storage.Permit{team: {servicePermit()}},
		Granted:   map[string][]storage.Permit{team: {granted}, "zebra": {granted}},
	}
	s.nextWriteAt = s.now + 1
	s.drainer.writePermits(decision, s.now)
	if got := s.permits(); s.Count != 1 || !slices.Equal(got, []storage.Permit{granted}) {
		t.Errorf("got %d commits and permits %+v, want 1 commit and the granted permit only", s.Count, got)
	}
	s.drainer.writePermits(&drain.Decision{Granted: map[string][]storage.Permit{"zebra": {granted}}}, s.now)
	if s.Count != 1 {
		t.Errorf("before the next write is allowed: got %d commits, want 1", s.Count)
	}
	s.drainer.writePermits(&drain.Decision{Completed: map[string][]storage.Permit{team: {granted}}}, s.now+1)
	if entry, ok := s.records.PermitsByTeam[team]; !ok || len(entry.Record.Permits) != 0 || s.Count != 2 {
		t.Errorf("after the last permit ended: got record %+v (exists: %v), %d commits; want an empty one, 2 commits",
			entry, ok, s.Count)
	}
}

// TestEvictions: tasks that need no permit are stopped, except array tasks that are expected to end soon. A
// wrong estimate must not delay the eviction forever.
func TestEvictions(t *testing.T) {
	for _, tc := range []struct {
		name         string
		runSeconds   float64
		crashLooping bool
		retryAfter   monotime.Micros // time from the first eviction to the second
		want         []string
	}{
		{"array task", 1000, false, 0, []string{arrayJob}},
		{"service that fails everywhere", 1000, true, 0, []string{arrayJob, serviceJob}},
		{"array task that ends within the wait", 35, false, 0, nil},
		{"array task that ends after the wait", 36, false, 0, []string{arrayJob}},
		{"overdue array task, twice the wait not exceeded", 35, false, 60 * monotime.Second, nil},
		{"overdue array task, twice the wait exceeded", 35, false, 61 * monotime.Second, []string{arrayJob}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newControllerStub()
			s.runSeconds, s.crashLooping = tc.runSeconds, tc.crashLooping
			s.report(s.agents[fullMachine].BaseToken())
			s.now += 5 * monotime.Second // the run time of the tasks so far
			s.drainer.evictWithoutPermits([]string{fullMachine}, s.now)
			s.drainer.evictWithoutPermits([]string{fullMachine}, s.now+tc.retryAfter)
			var stopped []string
			for _, id := range []string{arrayJob, serviceJob} {
				attempt := agents.AttemptID{Task: mirror.TaskID{Job: id}, Attempt: heldAttempt}
				if s.agents[fullMachine].IsStopping(attempt) {
					stopped = append(stopped, id)
				}
			}
			if !slices.Equal(stopped, tc.want) || (len(s.synced) > 0) != (len(tc.want) > 0) {
				t.Errorf("stopped tasks of %v, want %v; commands were sent to %v", stopped, tc.want, s.synced)
			}
		})
	}
}

// TestLosses: a released replica counts as a loss with its cause, unless it was under a permit or its job has
// ended. Losses count only once their update is committed.
func TestLosses(t *testing.T) {
	notice := 10.0
	for _, tc := range []struct {
		name  string
		job   string
		setup func(*controllerStub)
		want  map[LossCause]int
	}{
		{"task exit", serviceJob, func(*controllerStub) {}, map[LossCause]int{LossByTaskExit: 1}},
		{"array task", arrayJob, func(*controllerStub) {}, nil},
		{"replica under a permit", serviceJob, func(s *controllerStub) { s.putPermits(servicePermit()) }, nil},
		{"job cancelled", serviceJob, func(s *controllerStub) {
			s.records.Jobs[serviceJob].FinalState = storage.JobCancelled
		}, nil},
		{"no agent", serviceJob, func(s *controllerStub) { delete(s.agents, fullMachine) },
			map[LossCause]int{LossByMachine: 1}},
		{"scale-in", serviceJob, func(s *controllerStub) { s.records.ScaleInOfMachine[fullMachine] = "x" },
			map[LossCause]int{LossByMachine: 1}},
		{"spot interruption", serviceJob, func(s *controllerStub) {
			s.records.ScaleInOfMachine[fullMachine] = "x"
			s.agents[fullMachine].ApplyReport(s.records.Machines[fullMachine], s.records.Jobs,
				&protocol.Heartbeat{Incarnation: 1, InterruptionNoticeS: &notice}, s.now, workerLease)
		}, map[LossCause]int{LossBySpotInterruption: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newControllerStub()
			tc.setup(s)
			losses := s.drainer.NewLosses()
			losses.Record(s.records.Machines[fullMachine], mirror.TaskID{Job: tc.job})
			if len(s.drainer.lossCounts) != 0 {
				t.Errorf("before Count: got losses %v, want none", s.drainer.lossCounts)
			}
			losses.Count()
			if !maps.Equal(s.drainer.lossCounts, tc.want) {
				t.Errorf("got losses %v, want %v", s.drainer.lossCounts, tc.want)
			}
		})
	}
}

// TestStartingMarks: a replica counts as starting until it has been running for MinReady. A replica that once
// counted as available doesn't become starting again while it runs.
func TestStartingMarks(t *testing.T) {
	for _, tc := range []struct {
		name        string
		running     bool
		wasStarting bool
		runningFor  monotime.Micros
		want        bool
	}{
		{"not reported as running", false, false, 0, true},
		{"running for less than MinReady", true, true, 9 * monotime.Second, true},
		{"running for MinReady", true, true, 10 * monotime.Second, false},
		{"running and already available", true, false, 0, false},
	} {
		s := newControllerStub()
		if tc.running {
			s.report(s.agents[fullMachine].BaseToken())
		}
		attempt := attemptOf(servicePermit())
		got := s.drainer.countsAsStarting(s.agents[fullMachine], attempt, tc.wasStarting, s.now+tc.runningFor)
		if got != tc.want {
			t.Errorf("%s: starting is %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestReservations: a permit reserves the resources of its replica on the destination until the replica has a
// new attempt.
func TestReservations(t *testing.T) {
	task := mirror.TaskID{Job: serviceJob}
	for _, tc := range []struct {
		name  string
		setup func(*controllerStub)
		want  bool
	}{
		{"replica still running", func(*controllerStub) {}, true},
		{"replica stopped", func(s *controllerStub) {
			delete(s.records.Machines[fullMachine].Attempts, task)
			s.records.Jobs[serviceJob].TaskStates[0] = 0
		}, true},
		{"new attempt assigned", func(s *controllerStub) {
			s.records.Machines[fullMachine].Attempts[task] = heldAttempt + 1
		}, false},
		{"job ended", func(s *controllerStub) {
			s.records.Jobs[serviceJob].FinalState = storage.JobDone
		}, false},
		{"job unknown", func(s *controllerStub) { delete(s.records.Jobs, serviceJob) }, false},
	} {
		s := newControllerStub()
		s.putPermits(servicePermit())
		tc.setup(s)
		got := s.drainer.ReservedByMachine()
		if reserved := got[emptyMachine].CPUs == 2; reserved != tc.want || !tc.want && len(got) != 0 {
			t.Errorf("%s: got reservations %v, want one on %s: %v", tc.name, got, emptyMachine, tc.want)
		}
	}
}

// TestMayScaleIn: an empty machine of a drain may be removed after the scale-in delay, or at once with
// DeleteImmediately, but not while the drain is paused or after it was aborted.
func TestMayScaleIn(t *testing.T) {
	for _, tc := range []struct {
		name     string
		drain    storage.Drain
		emptyFor monotime.Micros
		want     bool
	}{
		{"before the delay", storage.Drain{State: storage.DrainActive}, 19 * monotime.Second, false},
		{"after the delay", storage.Drain{State: storage.DrainActive}, 20 * monotime.Second, true},
		{"at once", storage.Drain{State: storage.DrainActive, DeleteImmediately: true}, 0, true},
		{"paused drain", storage.Drain{State: storage.DrainPaused, DeleteImmediately: true}, monotime.Minute, false},
		{"aborted drain", storage.Drain{State: storage.DrainAborted, DeleteImmediately: true}, monotime.Minute, false},
	} {
		s := newControllerStub()
		record := tc.drain
		record.Selector.Zone = "a"
		s.records.ApplyPut(storage.DrainKey("d"), protocol.MustMarshal(&record), 1)
		if got := s.drainer.MayScaleIn(s.records.Machines[emptyMachine], tc.emptyFor); got != tc.want {
			t.Errorf("%s: MayScaleIn = %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestDrainsTurnedOff guards against work for drains without settings: New returns nil, and the methods of a
// nil drainer do nothing.
func TestDrainsTurnedOff(t *testing.T) {
	s := newControllerStub()
	disabled := New(ownNode, nil, Dependencies{})
	machine, job := s.records.Machines[fullMachine], s.records.Jobs[serviceJob]
	disabled.Reconcile(testNow)
	disabled.ForEachReservation(func(*storage.Permit, *mirror.Job) { t.Error("got a reservation, want none") })
	losses := disabled.NewLosses()
	losses.Record(machine, mirror.TaskID{Job: serviceJob})
	losses.Count()
	if disabled != nil || disabled.HasWork() || disabled.IsCordoned(machine) ||
		disabled.MayScaleIn(machine, monotime.Minute) ||
		disabled.ClosesOffer(autoscaling.Offer{}) || disabled.TracksStart(&job.Record.Spec) ||
		disabled.ProtectsFromPreemption(job) || disabled.UpdateStartingMarks(&storage.Shard{}, machine, testNow) ||
		len(disabled.ReservedByMachine()) != 0 || len(disabled.ReplacementDemands()) != 0 {
		t.Errorf("got drainer %v or work for drains, want a nil drainer that does nothing", disabled)
	}
}
