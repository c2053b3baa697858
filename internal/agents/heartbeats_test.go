package agents

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

const second = monotime.Second

// TestLeaseExpiryPerIncarnation: when a lease is taken to have ended. What was wrong once: tasks
// that a direct command started in a new incarnation, whose heartbeats never arrived,
// were taken to have ended with the lease of the incarnation before, and ran twice.
func TestLeaseExpiryPerIncarnation(t *testing.T) {
	cases := []struct {
		name    string
		event   func(f *fixture) // 10 s after the last answered heartbeat
		expired bool             // 14 s after that heartbeat
	}{
		{"silence", func(*fixture) {}, true},
		{"a newer heartbeat", func(f *fixture) {
			f.answerHeartbeat(f.machine, testReport(1, 9, testBase+9))
		}, false},
		{"a late copy of an older heartbeat", func(f *fixture) {
			f.answerHeartbeat(f.machine, testReport(1, 4, testBase))
		}, true},
		{"a late copy of the last heartbeat", func(f *fixture) {
			f.answerHeartbeat(f.machine, testReport(1, 5, testBase))
		}, true},
		{"a direct answer of the same incarnation", func(f *fixture) {
			f.applyReport(f.machine, testReport(1, 9, testBase))
		}, true},
		{"a direct answer of a new incarnation", func(f *fixture) {
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
			t.Errorf("%s: lost %v", tc.name, agent.LeaseExpired())
		}
		f.advance(13 * second)
		if !agent.LeaseExpired() || !agent.HasOutcome(testAttempt) {
			t.Errorf("%s: never lost", tc.name)
		}
	}
}

// TestAcceptsTasksOnlyAfterTokenAcknowledged: what shows that a machine may get tasks. A machine that is heard
// needn't be reached: a token that only our answer can have brought must come back.
func TestAcceptsTasksOnlyAfterTokenAcknowledged(t *testing.T) {
	const base = testBase
	type step struct {
		incarnation, sequence, token uint64
		pause                        monotime.Micros // seconds before it
	}
	cases := []struct {
		name    string
		steps   []step
		accepts bool
	}{
		{"has seen our claim", []step{{1, 5, base, 0}}, true},
		{"hasn't seen our claim", []step{{1, 5, 7, 0}, {1, 6, 7, 1}}, false},
		{"a copy after silence", []step{{1, 5, base, 0}, {1, 5, base, 6}}, false},
		{"away for long, token not yet taken up", []step{{1, 5, base, 0}, {1, 6, base, 8}}, false},
		{
			"away for long, then reached again",
			[]step{{1, 5, base, 0}, {1, 6, base, 8}, {1, 7, base + 1, 1}},
			true,
		},
		{"a new incarnation though we answered", []step{{1, 5, base, 0}, {2, 1, base, 2}}, false},
		{
			"a new incarnation, then reached",
			[]step{{1, 5, base, 0}, {2, 1, base, 2}, {2, 2, base + 8, 1}},
			true,
		},
		{"an older incarnation", []step{{2, 5, base, 0}, {1, 9, base, 6}}, false},
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
			t.Errorf("%s: usable %v", tc.name, got)
		}
	}
}

// TestHeartbeatsAreRefused: what keeps this controller from answering any heartbeat, and where workers go
// then.
func TestHeartbeatsAreRefused(t *testing.T) {
	cases := []struct {
		name       string
		prepare    func(f *fixture)
		status     int
		redirected string
	}{
		{"nothing", func(*fixture) {}, 200, ""},
		{"records not read", func(f *fixture) { f.notReady = true }, 503, ""},
		{"just resumed from a pause", func(f *fixture) { f.mirrorStale = true }, 503, ""},
		{"cancellations unknown for too long", func(f *fixture) { f.suspended = true }, 503, ""},
		{
			"only others reach the state service",
			func(f *fixture) { f.unavailableOnlyHere = "n-1" },
			421,
			"n-1",
		},
		{"nobody reaches the state service", func(f *fixture) { f.unavailable = true }, 200, ""},
		{"cut off from all others", func(f *fixture) { f.superseded = true }, 503, ""},
	}
	for _, tc := range cases {
		f := newFixture(t)
		tc.prepare(f)
		if status, redirected := f.send(testReport(1, 1, testBase)); status != tc.status ||
			redirected != tc.redirected {
			t.Errorf("%s: answered %d, to %q", tc.name, status, redirected)
		}
	}
}

// TestInvalidHeartbeatsAreRejected: a heartbeat that can't be read, or lacks a field.
func TestInvalidHeartbeatsAreRejected(t *testing.T) {
	withoutMachine := testReport(1, 1, testBase)
	withoutMachine.Machine = ""
	for name, body := range map[string][]byte{
		"not msgpack": []byte("\xc1"),
		"no machine":  protocol.MustMarshal(withoutMachine),
	} {
		status := 0
		newFixture(t).HandleHeartbeat(body, func(response transport.Response) { status = response.Status })
		if status != 400 {
			t.Errorf("%s: answered %d", name, status)
		}
	}
}

// TestReturningWorkerIsAnswered: a worker that was sent away while this controller is cut
// off, and comes back within its lease, has found no other.
func TestReturningWorkerIsAnswered(t *testing.T) {
	f := newFixture(t)
	f.superseded = true
	for i, want := range []int{503, 200, 200} {
		if status, _ := f.send(testReport(1, uint64(i+1), testBase)); status != want {
			t.Errorf("heartbeat %d: answered %d, want %d", i, status, want)
		}
		f.advance(2 * second)
	}
	f.advance(12 * second)
	if status, _ := f.send(testReport(1, 9, testBase)); status != 503 {
		t.Errorf("after a lease elsewhere: answered %d", status)
	}
}

// TestUnclaimedWorkers: who claims a machine that has come up.
func TestUnclaimedWorkers(t *testing.T) {
	cases := []struct {
		name           string
		live           string // the only controller that rendezvous hashing may name
		designated     string
		member         bool
		pause          monotime.Micros // before a second heartbeat
		redirected     string
		workerRequests int // 1: the worker is asked itself, before a claim or a new designation
	}{
		{"falls to this controller", "n-0", "", false, 0, "", 1},
		{"falls to another", "n-1", "", true, 0, "n-1", 0},
		{"falls to one that is gone", "n-1", "", false, 0, "", 0},
		{"designated to this controller", "n-1", "n-0", true, 0, "", 1},
		{"comes back for too long", "n-1", "", true, 6 * second, "", 1},
	}
	for _, tc := range cases {
		f := newFixture(t)
		f.members["n-1"] = tc.member
		request := storage.ScaleOutRequest{
			MachineType: "m8",
			Zone:        "a",
			Count:       1,
			Machines:    []string{"i-2"},
			Live:        []string{tc.live},
		}
		if tc.designated != "" {
			request.Own = map[string]string{"i-2": tc.designated}
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
			t.Errorf("%s: redirected to %q, %d probes", tc.name, redirected, len(f.workerRequests))
		}
	}
}
