package agents

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

const second = monotime.Second

// TestLeaseExpiryPerIncarnation guards against a lease counted as expired too early. A direct command started
// tasks in a new incarnation whose heartbeats never arrived. The controller counted the tasks as ended with
// the lease of the previous incarnation, and they ran twice.
func TestLeaseExpiryPerIncarnation(t *testing.T) {
	cases := []struct {
		name    string
		event   func(f *fixture) // 10 s after the last answered heartbeat
		expired bool             // 14 s after that heartbeat
	}{
		{"no contact", func(*fixture) {}, true},
		{"newer heartbeat", func(f *fixture) {
			f.answerHeartbeat(f.machine, testReport(1, 9, testBase+9))
		}, false},
		{"delayed duplicate of an older heartbeat", func(f *fixture) {
			f.answerHeartbeat(f.machine, testReport(1, 4, testBase))
		}, true},
		{"delayed duplicate of the last heartbeat", func(f *fixture) {
			f.answerHeartbeat(f.machine, testReport(1, 5, testBase))
		}, true},
		{"direct answer of the same incarnation", func(f *fixture) {
			f.applyReport(f.machine, testReport(1, 9, testBase))
		}, true},
		{"direct answer of a new incarnation", func(f *fixture) {
			f.applyReport(f.machine, testReport(2, 1, testBase))
		}, false},
	}
	for _, tc := range cases {
		f := newFixture(t)
		agent := f.Of(f.machine)
		f.answerHeartbeat(f.machine, testReport(1, 5, testBase))
		f.advance(10 * second)
		tc.event(f)
		f.advance(4 * second)
		if agent.LeaseExpired() != tc.expired {
			t.Errorf("%s: got lease expired %v, want %v", tc.name, agent.LeaseExpired(), tc.expired)
		}
		f.advance(13 * second)
		if !agent.LeaseExpired() || !agent.HasOutcome(testAttempt) {
			t.Errorf("%s: 27 s after the heartbeat: got lease expired %v and HasOutcome %v, want both true",
				tc.name, agent.LeaseExpired(), agent.HasOutcome(testAttempt))
		}
	}
}

// TestAcceptsTasksOnlyAfterTokenAcknowledged checks when a machine may receive tasks. Receiving its
// heartbeats does not prove that answers reach it: it must show a token that only this controller's answer
// can deliver.
func TestAcceptsTasksOnlyAfterTokenAcknowledged(t *testing.T) {
	const base = testBase
	type step struct {
		incarnation, sequence, token uint64
		pause                        monotime.Micros // seconds before this heartbeat
	}
	cases := []struct {
		name    string
		steps   []step
		accepts bool
	}{
		{"claim acknowledged", []step{{1, 5, base, 0}}, true},
		{"claim not acknowledged", []step{{1, 5, 7, 0}, {1, 6, 7, 1}}, false},
		{"duplicate after silence", []step{{1, 5, base, 0}, {1, 5, base, 6}}, false},
		{"long silence, new token not acknowledged", []step{{1, 5, base, 0}, {1, 6, base, 8}}, false},
		{
			"long silence, new token acknowledged",
			[]step{{1, 5, base, 0}, {1, 6, base, 8}, {1, 7, base + 1, 1}},
			true,
		},
		{"new incarnation although heartbeats were answered", []step{{1, 5, base, 0}, {2, 1, base, 2}}, false},
		{
			"new incarnation, new token acknowledged",
			[]step{{1, 5, base, 0}, {2, 1, base, 2}, {2, 2, base + 8, 1}},
			true,
		},
		{"older incarnation", []step{{2, 5, base, 0}, {1, 9, base, 6}}, false},
	}
	for _, tc := range cases {
		f := newFixture(t)
		agent := f.Of(f.machine)
		for _, s := range tc.steps {
			f.advance(s.pause * second)
			f.answerHeartbeat(f.machine, testReport(s.incarnation, s.sequence, s.token))
		}
		agent.removalReason = ""
		if got := agent.AcceptsTasks(f.now, f.durations.PlacementSilenceLimit); got != tc.accepts {
			t.Errorf("%s: got AcceptsTasks %v, want %v", tc.name, got, tc.accepts)
		}
	}
}

// TestHeartbeatsAreRefused checks in which states a controller refuses all heartbeats, and where it redirects
// the workers.
func TestHeartbeatsAreRefused(t *testing.T) {
	cases := []struct {
		name       string
		prepare    func(f *fixture)
		status     int
		redirected string
	}{
		{"no obstacle", func(*fixture) {}, 200, ""},
		{"records not read", func(f *fixture) { f.notReady = true }, 503, ""},
		{"just resumed from a pause", func(f *fixture) { f.mirrorStale = true }, 503, ""},
		{"lease renewal suspended", func(f *fixture) { f.suspended = true }, 503, ""},
		{
			"only another controller reaches the state service",
			func(f *fixture) { f.unavailableOnlyHere = "n-1" },
			421,
			"n-1",
		},
		{"no controller reaches the state service", func(f *fixture) { f.unavailable = true }, 200, ""},
		{"cut off from the state service and all controllers", func(f *fixture) { f.superseded = true }, 503, ""},
	}
	for _, tc := range cases {
		f := newFixture(t)
		tc.prepare(f)
		if status, redirected := f.send(testReport(1, 1, testBase)); status != tc.status ||
			redirected != tc.redirected {
			t.Errorf("%s: got status %d and redirect to %q, want %d and %q",
				tc.name, status, redirected, tc.status, tc.redirected)
		}
	}
}

// TestInvalidHeartbeatsAreRejected checks the answer to a heartbeat that cannot be decoded or lacks a field.
func TestInvalidHeartbeatsAreRejected(t *testing.T) {
	withoutMachine := testReport(1, 1, testBase)
	withoutMachine.Machine = ""
	for name, body := range map[string][]byte{
		"not MessagePack": []byte("\xc1"),
		"no machine name": protocol.MustMarshal(withoutMachine),
	} {
		status := 0
		newFixture(t).HandleHeartbeat(body, func(response transport.Response) { status = response.Status })
		if status != 400 {
			t.Errorf("%s: got status %d, want 400", name, status)
		}
	}
}

// TestReturningWorkerIsAnswered checks that a controller that is cut off answers a worker that returns within
// its lease after a refusal: the worker has found no other controller.
func TestReturningWorkerIsAnswered(t *testing.T) {
	f := newFixture(t)
	f.superseded = true
	for i, want := range []int{503, 200, 200} {
		if status, _ := f.send(testReport(1, uint64(i+1), testBase)); status != want {
			t.Errorf("heartbeat %d: got status %d, want %d", i, status, want)
		}
		f.advance(2 * second)
	}
	f.advance(12 * second)
	if status, _ := f.send(testReport(1, 9, testBase)); status != 503 {
		t.Errorf("more than a lease after the last heartbeat: got status %d, want 503", status)
	}
}

// TestUnclaimedWorkers checks the answer to a worker whose machine no controller has claimed yet.
func TestUnclaimedWorkers(t *testing.T) {
	cases := []struct {
		name           string
		live           string // the only live controller in the scale-out request
		designated     string
		member         bool
		pause          monotime.Micros // before a second heartbeat; 0: only one heartbeat
		redirected     string
		workerRequests int // 1: the worker is probed before a claim or a new designation
	}{
		{"this controller is designated by rendezvous hashing", "n-0", "", false, 0, "", 1},
		{"another member is designated by rendezvous hashing", "n-1", "", true, 0, "n-1", 0},
		{"designated controller is no member", "n-1", "", false, 0, "", 0},
		{"this controller is designated by the record", "n-1", "n-0", true, 0, "", 1},
		{"worker returns after half a lease", "n-1", "", true, 6 * second, "", 1},
	}
	for _, tc := range cases {
		f := newFixture(t)
		f.members["n-1"] = tc.member
		request := storage.ScaleOutRequest{
			MachineType:     "m8",
			Zone:            "a",
			Count:           1,
			Machines:        []string{"i-2"},
			LiveControllers: []string{tc.live},
		}
		if tc.designated != "" {
			request.DesignatedControllers = map[string]string{"i-2": tc.designated}
		}
		f.replica.ApplyPut(storage.ScaleOutKey("r-1"), protocol.MustMarshal(&request), 9)
		f.replica.WatchedRevision = 9
		report := testReport(1, 1, 0)
		report.Machine, report.Tasks = "i-2", nil
		_, redirected := f.send(report)
		if tc.pause > 0 {
			f.now += tc.pause
			_, redirected = f.send(report)
		}
		if redirected != tc.redirected || len(f.workerRequests) != tc.workerRequests {
			t.Errorf("%s: got redirect to %q and %d probes, want %q and %d",
				tc.name, redirected, len(f.workerRequests), tc.redirected, tc.workerRequests)
		}
	}
}
