package agents

import (
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

const (
	testClaim = 3
	testBase  = testClaim << 32 // lowest token of that claim
	testLease = 15 * monotime.Second
)

var (
	testTask    = mirror.TaskID{Job: "j-1", Index: 0}
	testAttempt = AttemptID{testTask, 1}
)

// newMirrorWithAttempt returns a mirror with one job of the given requirements. Its only task is assigned to
// the machine i-1 of n-0, which is claimed under testClaim.
func newMirrorWithAttempt(t *testing.T, spec storage.JobSpec) (*mirror.Mirror, *mirror.Machine) {
	t.Helper()
	spec.Tasks, spec.CPUs = 1, 1
	replica := mirror.New()
	replica.ApplyPut(storage.OpenJobKey(testTask.Job), protocol.MustMarshal(&storage.OpenJob{
		Spec:       spec,
		TaskRanges: []storage.TaskRange{{First: 0, End: 1, Partition: "n-0"}},
	}), 5)
	shard := &storage.Shard{
		Owner:       "n-0",
		Incarnation: 1,
		Claim:       testClaim,
		Machines:    map[string]*storage.ShardMachine{},
		Jobs:        map[string]*storage.ShardJob{},
	}
	shard.AddMachine("i-1", storage.ShardMachine{
		Type:     "m8",
		Zone:     "a",
		Endpoint: "10.1.0.1:9000",
		State:    storage.MachineOpen,
	})
	shard.Assign(
		testTask.Job,
		storage.Attempt{Task: testTask.Index, Machine: "i-1", Number: testAttempt.Attempt},
	)
	encoded, _ := shard.Encode()
	replica.ApplyPut(storage.ShardKey("p"), encoded, 7)
	return replica, replica.Machines["i-1"]
}

// cancelJob stores a cancellation as the final result of the job of newMirrorWithAttempt.
func cancelJob(replica *mirror.Mirror) {
	replica.ApplyPut(
		storage.JobResultKey(testTask.Job),
		protocol.MustMarshal(&storage.JobResult{State: storage.JobCancelled}),
		8,
	)
}

// TestReportsProveAttemptsEnded checks which reports prove that an attempt has ended, and which commands
// follow.
func TestReportsProveAttemptsEnded(t *testing.T) {
	exited := protocol.TaskStatus{
		Task:    "j-1/0",
		Attempt: 1,
		State:   protocol.StateExited,
		Cause:   protocol.CauseDone,
	}
	running := protocol.TaskStatus{Task: "j-1/0", Attempt: 1, State: protocol.StateRunning}
	cases := []struct {
		name       string
		token      uint64
		tasks      []protocol.TaskStatus
		cancelled  bool
		killToken  uint64 // fencing token of an earlier kill; 0: none
		hasOutcome bool
		commands   protocol.CommandOp // commands that follow, concatenated; empty: none
	}{
		{"exited", testBase, []protocol.TaskStatus{exited}, false, 0, true, ""},
		{
			"exited, in a report without a token of this claim",
			testBase - 1,
			[]protocol.TaskStatus{exited},
			false,
			0,
			false,
			"",
		},
		{"running", testBase, []protocol.TaskStatus{running}, false, 0, false, ""},
		{"absent", testBase, nil, false, 0, false, protocol.CmdRun},
		{"cancelled, running", testBase, []protocol.TaskStatus{running}, true, 0, false, protocol.CmdKill},
		{"cancelled, absent, kill not sent yet", testBase, nil, true, 0, false, protocol.CmdKill},
		{"cancelled, absent, kill not acknowledged", testBase + 4, nil, true, testBase + 5, false, protocol.CmdKill},
		{"cancelled, absent, kill acknowledged", testBase + 5, nil, true, testBase + 5, true, ""},
	}
	for _, tc := range cases {
		replica, machine := newMirrorWithAttempt(t, storage.JobSpec{})
		if tc.cancelled {
			cancelJob(replica)
		}
		agent := New(testClaim, 0)
		if tc.killToken != 0 {
			agent.recordOf(testAttempt).killToken = tc.killToken
		}
		agent.ApplyReport(
			machine,
			replica.Jobs,
			&protocol.Heartbeat{
				Machine:      "i-1",
				Incarnation:  1,
				Sequence:     1,
				FencingToken: tc.token,
				Tasks:        tc.tasks,
			},
			0,
			testLease,
		)
		if got := agent.HasOutcome(testAttempt); got != tc.hasOutcome {
			t.Errorf("%s: got HasOutcome %v, want %v", tc.name, got, tc.hasOutcome)
		}
		sent := protocol.CommandOp("")
		for _, command := range agent.NextCommands(machine, replica.Jobs, monotime.Second) {
			sent += command.Op
		}
		if sent != tc.commands {
			t.Errorf("%s: got commands %q, want %q", tc.name, sent, tc.commands)
		}
		// While a release is in flight, the attempt must not be started again, even if a new incarnation of
		// the worker does not report it.
		agent.RecordOutcome(testAttempt, OutcomeRetry)
		agent.ApplyReport(
			machine,
			replica.Jobs,
			&protocol.Heartbeat{Machine: "i-1", Incarnation: 2, Sequence: 1, FencingToken: testBase + 9},
			0,
			testLease,
		)
		for _, command := range agent.NextCommands(machine, replica.Jobs, 10*monotime.Second) {
			if command.Op == protocol.CmdRun {
				t.Errorf("%s: got a run while the release is in flight, want none", tc.name)
			}
		}
	}
}
