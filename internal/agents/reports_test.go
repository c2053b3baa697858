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

// newMirrorWithAttempt puts a job with the given requirements into a mirror, with its one task assigned to
// the machine i-1 of n-0's under testClaim.
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

// cancelJob gives the job of newMirrorWithAttempt its final result.
func cancelJob(replica *mirror.Mirror) {
	replica.ApplyPut(
		storage.JobResultKey(testTask.Job),
		protocol.MustMarshal(&storage.JobResult{State: storage.JobCancelled}),
		8,
	)
}

// TestReportsProveAttemptsEnded: what a report proves, and what must not be said to a worker.
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
		killToken  uint64 // token of an earlier kill
		hasOutcome bool
		commands   protocol.CommandOp // the commands that follow, if any
	}{
		{"exited", testBase, []protocol.TaskStatus{exited}, false, 0, true, ""},
		{
			"exited, by a report from before our claim",
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
		{"cancelled, absent, kill not seen", testBase + 4, nil, true, testBase + 5, false, protocol.CmdKill},
		{"cancelled, absent after the kill", testBase + 5, nil, true, testBase + 5, true, ""},
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
			t.Errorf("%s: settled %v", tc.name, got)
		}
		sent := protocol.CommandOp("")
		for _, command := range agent.NextCommands(machine, replica.Jobs, monotime.Second) {
			sent += command.Op
		}
		if sent != tc.commands {
			t.Errorf("%s: commands %q, want %q", tc.name, sent, tc.commands)
		}
		// Once a release is on its way the attempt must not be started again,
		// though the worker, in a new incarnation, does not have it.
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
				t.Errorf("%s: started again while its release is on its way", tc.name)
			}
		}
	}
}
