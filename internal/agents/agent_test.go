package agents

import (
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/storage"
)

// TestAcceptsTasks guards against placing tasks on a machine that must not get any: it checks each reason for
// a refusal alone.
func TestAcceptsTasks(t *testing.T) {
	const silenceLimit = 5 * second
	cases := []struct {
		name    string
		prepare func(agent *Agent)
		want    bool
	}{
		{"all conditions hold", func(*Agent) {}, true},
		{"never reported", func(a *Agent) { a.incarnation = 0 }, false},
		{"claim not acknowledged", func(a *Agent) { a.tokens.claimAcknowledged = false }, false},
		{"lease expired", func(a *Agent) { a.leaseExpired = true }, false},
		{"required token not acknowledged", func(a *Agent) { a.tokens.required++ }, false},
		{"interruption notice", func(a *Agent) { a.interruptionNoticed = true }, false},
		{"marked for removal", func(a *Agent) { a.removalReason = RemovalIdle }, false},
		{"silent for the limit", func(a *Agent) { a.tokens.lastReachedAt = -silenceLimit }, false},
		{"silent for 1 µs less than the limit", func(a *Agent) { a.tokens.lastReachedAt = 1 - silenceLimit }, true},
	}
	for _, tc := range cases {
		replica, machine := newMirrorWithAttempt(t, storage.JobSpec{})
		agent := New(testClaim, 0)
		agent.ApplyReport(machine, replica.Jobs, testReport(1, 1, testBase), 0, testLease)
		tc.prepare(agent)
		if got := agent.AcceptsTasks(0, silenceLimit); got != tc.want {
			t.Errorf("%s: got AcceptsTasks %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestFirstOutcomeIsKept guards against a later outcome that replaces the first one of an attempt, and
// against an outcome that is dropped while the records still contain the attempt.
func TestFirstOutcomeIsKept(t *testing.T) {
	_, machine := newMirrorWithAttempt(t, storage.JobSpec{})
	agent := New(testClaim, 0)
	agent.RecordOutcome(testAttempt, OutcomeCompleted)
	agent.RecordOutcome(testAttempt, OutcomeRetry)
	ended := func() (tasks, completed int) {
		agent.ForEachEndedAttempt(machine, func(_ mirror.TaskID, done bool) {
			tasks++
			if done {
				completed++
			}
		})
		return tasks, completed
	}
	for range 2 {
		if tasks, completed := ended(); tasks != 1 || completed != 1 {
			t.Errorf("got %d ended tasks with %d completed, want 1 with 1 completed", tasks, completed)
		}
	}
	machine.Attempts[testTask] = 2
	if tasks, _ := ended(); tasks != 0 || agent.HasOutcome(testAttempt) {
		t.Errorf("after the release: got %d ended tasks and HasOutcome %v, want 0 and false", tasks,
			agent.HasOutcome(testAttempt))
	}
}

// TestReceiveRejectsStaleHeartbeats guards against answers to duplicate heartbeats and to heartbeats of an
// earlier incarnation.
func TestReceiveRejectsStaleHeartbeats(t *testing.T) {
	cases := []struct {
		name                  string
		incarnation, sequence uint64
		want                  bool
	}{
		{"next sequence number", 2, 6, true},
		{"same sequence number", 2, 5, false},
		{"earlier sequence number", 2, 4, false},
		{"earlier incarnation", 1, 9, false},
		{"next incarnation", 3, 1, true},
	}
	for _, tc := range cases {
		agent := New(testClaim, 0)
		agent.Receive(testReport(2, 5, testBase), 0)
		if _, ok := agent.Receive(testReport(tc.incarnation, tc.sequence, testBase), 0); ok != tc.want {
			t.Errorf("%s: got accepted %v, want %v", tc.name, ok, tc.want)
		}
	}
	replica, machine := newMirrorWithAttempt(t, storage.JobSpec{})
	agent := New(testClaim, 0)
	// This report is the answer to a direct request.
	agent.ApplyReport(machine, replica.Jobs, testReport(2, 1, testBase), 0, testLease)
	if _, ok := agent.Receive(testReport(1, 9, testBase), 0); ok {
		t.Error("got a heartbeat of incarnation 1 accepted after a direct answer of incarnation 2, want it rejected")
	}
}
