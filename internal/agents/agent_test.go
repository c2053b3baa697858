package agents

import (
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/storage"
)

// TestAcceptsTasks: every single reason for which a machine gets no new tasks.
func TestAcceptsTasks(t *testing.T) {
	const silenceLimit = 5 * second
	cases := []struct {
		name    string
		prepare func(agent *Agent)
		want    bool
	}{
		{"nothing against it", func(*Agent) {}, true},
		{"never reported", func(a *Agent) { a.incarnation = 0 }, false},
		{"claim not acknowledged", func(a *Agent) { a.tokens.claimAcknowledged = false }, false},
		{"lease expired", func(a *Agent) { a.leaseExpired = true }, false},
		{"a token is awaited", func(a *Agent) { a.tokens.required++ }, false},
		{"interrupted", func(a *Agent) { a.interruptionNoticed = true }, false},
		{"to be removed", func(a *Agent) { a.removalReason = RemovalIdle }, false},
		{"silent", func(a *Agent) { a.tokens.lastReachedAt = -silenceLimit }, false},
		{"silent for a bit less", func(a *Agent) { a.tokens.lastReachedAt = 1 - silenceLimit }, true},
	}
	for _, tc := range cases {
		replica, machine := newMirrorWithAttempt(t, storage.JobSpec{})
		agent := New(testClaim, 0)
		agent.ApplyReport(machine, replica.Jobs, testReport(1, 1, testBase), 0, testLease)
		tc.prepare(agent)
		if got := agent.AcceptsTasks(0, silenceLimit); got != tc.want {
			t.Errorf("%s: accepts tasks %v", tc.name, got)
		}
	}
}

// TestFirstOutcomeIsKept: an attempt's outcome isn't replaced by a later one, and is kept for as long as the store
// holds the attempt.
func TestFirstOutcomeIsKept(t *testing.T) {
	_, machine := newMirrorWithAttempt(t, storage.JobSpec{})
	agent := New(testClaim, 0)
	agent.RecordOutcome(testAttempt, OutcomeCompleted)
	agent.RecordOutcome(testAttempt, OutcomeRetry)
	ended := func() (tasks, completed int) {
		agent.EachEndedAttempt(machine, func(_ mirror.TaskID, done bool) {
			tasks++
			if done {
				completed++
			}
		})
		return tasks, completed
	}
	for range 2 {
		if tasks, completed := ended(); tasks != 1 || completed != 1 {
			t.Errorf("%d tasks ended, %d of them completed", tasks, completed)
		}
	}
	machine.Attempts[testTask] = 2
	if tasks, _ := ended(); tasks != 0 || agent.HasOutcome(testAttempt) {
		t.Errorf("after the release: %d tasks ended", tasks)
	}
}

// TestReceiveRejectsStaleHeartbeats: a copy of a heartbeat is never answered, nor one of an incarnation that is over.
func TestReceiveRejectsStaleHeartbeats(t *testing.T) {
	cases := []struct {
		name                  string
		incarnation, sequence uint64
		want                  bool
	}{
		{"the next", 2, 6, true},
		{"the same", 2, 5, false},
		{"an earlier one", 2, 4, false},
		{"of an earlier incarnation", 1, 9, false},
		{"of the next incarnation", 3, 1, true},
	}
	for _, tc := range cases {
		agent := New(testClaim, 0)
		agent.Receive(testReport(2, 5, testBase), 0)
		if _, ok := agent.Receive(testReport(tc.incarnation, tc.sequence, testBase), 0); ok != tc.want {
			t.Errorf("%s: received %v", tc.name, ok)
		}
	}
	replica, machine := newMirrorWithAttempt(t, storage.JobSpec{})
	agent := New(testClaim, 0)
	agent.ApplyReport(machine, replica.Jobs, testReport(2, 1, testBase), 0, testLease) // of a direct answer
	if _, ok := agent.Receive(testReport(1, 9, testBase), 0); ok {
		t.Error("received though a direct answer has shown a later incarnation")
	}
}
