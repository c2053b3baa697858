package agents

import (
	"fmt"
	"strings"
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// formatCommands gives a batch as text: each command with its task, attempt and seconds of grace.
func formatCommands(commands []protocol.Command) string {
	var parts []string
	for _, command := range commands {
		part := fmt.Sprintf("%s %s %d", command.Op, command.Task, command.Attempt)
		if command.GraceS != nil {
			part += fmt.Sprintf(" grace %g", *command.GraceS)
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ", ")
}

// TestNextCommands: what a report leads to, beside what TestReportsProveAttemptsEnded shows.
func TestNextCommands(t *testing.T) {
	kill, reap, run := string(protocol.CmdKill), string(protocol.CmdReap), string(protocol.CmdRun)
	status := func(task string, attempt uint64, state protocol.TaskState) protocol.TaskStatus {
		return protocol.TaskStatus{Task: task, Attempt: attempt, State: state, Cause: protocol.CauseError}
	}
	cases := []struct {
		name     string
		spec     storage.JobSpec
		tasks    []protocol.TaskStatus
		prepare  func(agent *Agent, machine *mirror.Machine)
		commands string
	}{
		{
			name:     "another attempt runs than the one assigned",
			tasks:    []protocol.TaskStatus{status("j-1/0", 2, protocol.StateRunning)},
			commands: kill + " j-1/0 2 grace 0, " + run + " j-1/0 1",
		},
		{
			name: "unexpected attempts in order, exited ones reaped",
			tasks: []protocol.TaskStatus{
				status("j-9/0", 1, protocol.StateRunning),
				status("j-2/1", 1, protocol.StateExited),
				status("j-2/0", 1, protocol.StateExited),
				status("j-1/0", 1, protocol.StateRunning),
			},
			commands: reap + " j-2/0 1, " + reap + " j-2/1 1, " + kill + " j-9/0 1 grace 0",
		},
		{
			name:  "preempted without checkpoints",
			tasks: []protocol.TaskStatus{status("j-1/0", 1, protocol.StateRunning)},
			prepare: func(agent *Agent, _ *mirror.Machine) {
				agent.StopAttempt(testAttempt)
			},
			commands: kill + " j-1/0 1 grace 0",
		},
		{
			name:  "preempted, its progress is saved",
			spec:  storage.JobSpec{CheckpointS: 60, SaveS: 7},
			tasks: []protocol.TaskStatus{status("j-1/0", 1, protocol.StateRunning)},
			prepare: func(agent *Agent, _ *mirror.Machine) {
				agent.StopAttempt(testAttempt)
			},
			commands: kill + " j-1/0 1 grace 7",
		},
		{
			name:     "nothing starts once the lease has ended",
			prepare:  func(agent *Agent, machine *mirror.Machine) { agent.leaseExpired = true },
			commands: "",
		},
	}
	for _, tc := range cases {
		replica, machine := newMirrorWithAttempt(t, tc.spec)
		agent := New(testClaim, 0)
		report := testReport(1, 1, testBase)
		report.Tasks = tc.tasks
		agent.ApplyReport(machine, replica.Jobs, report, 0, testLease)
		if tc.prepare != nil {
			tc.prepare(agent, machine)
		}
		before := agent.Token()
		got := formatCommands(agent.NextCommands(machine, replica.Jobs, monotime.Second))
		if got != tc.commands {
			t.Errorf("%s: %s", tc.name, got)
		}
		if raised := agent.Token() > before; raised != (tc.commands != "") {
			t.Errorf("%s: token raised %v", tc.name, raised)
		}
	}
}

// TestCommandsAreRepeated: a command whose effect doesn't show is sent again after a pause, or at once if its
// request failed.
func TestCommandsAreRepeated(t *testing.T) {
	replica, machine := newMirrorWithAttempt(t, storage.JobSpec{})
	agent := New(testClaim, 0)
	next := func(at monotime.Micros) []protocol.Command { return agent.NextCommands(machine, replica.Jobs, at) }
	first := next(0)
	if len(first) != 1 {
		t.Fatalf("commands %s", formatCommands(first))
	}
	if again := next(commandRepeatInterval - 1); len(again) != 0 {
		t.Errorf("repeated too soon: %s", formatCommands(again))
	}
	if again := next(commandRepeatInterval + 1); len(again) != 1 {
		t.Errorf("not repeated: %s", formatCommands(again))
	}
	agent.RepeatCommands(first)
	if again := next(commandRepeatInterval + 2); len(again) != 1 {
		t.Errorf("not repeated after a failure: %s", formatCommands(again))
	}
}

// TestBatchIsBounded: no batch has more commands than fit; the rest follows in the next.
func TestBatchIsBounded(t *testing.T) {
	replica, machine := newMirrorWithAttempt(t, storage.JobSpec{})
	agent := New(testClaim, 0)
	report := testReport(1, 1, testBase)
	for i := range maxCommandsPerBatch + 5 {
		report.Tasks = append(report.Tasks, protocol.TaskStatus{
			Task:    fmt.Sprintf("j-2/%d", i),
			Attempt: 1,
			State:   protocol.StateExited,
		})
	}
	agent.ApplyReport(machine, replica.Jobs, report, 0, testLease)
	for i, want := range []int{maxCommandsPerBatch, 5, 0} {
		if got := len(agent.NextCommands(machine, replica.Jobs, 1)); got != want {
			t.Errorf("batch %d has %d commands, want %d", i, got, want)
		}
	}
}

// TestCommandRequestsAreSerialized: direct requests go one at a time, and what has come up meanwhile follows.
func TestCommandRequestsAreSerialized(t *testing.T) {
	f := newFixture(t)
	f.SyncCommands(f.machine)
	if len(f.workerRequests) != 0 {
		t.Fatal("commands were sent to an agent that hasn't reported")
	}
	report := testReport(1, 1, testBase)
	report.Tasks = nil
	f.applyReport(f.machine, report)
	f.SyncCommands(f.machine)
	if len(f.workerRequests) != 1 || f.workerRequests[0].request.Incarnation != 1 ||
		f.workerRequests[0].request.FencingToken != testBase+1 {
		t.Fatalf("requests %+v", f.workerRequests)
	}
	cancelJob(f.replica)
	f.SyncCommands(f.machine)
	if len(f.workerRequests) != 1 {
		t.Fatal("a second request while the first is in flight")
	}
	f.workerRequests[0].callback(protocol.CommandResult{Status: 200, Heartbeat: *testReport(1, 2, testBase+1)})
	if len(f.workerRequests) != 2 || formatCommands(f.workerRequests[1].request.Commands) != string(protocol.CmdKill)+" j-1/0 1 grace 0" {
		t.Fatalf("after the answer: requests %+v", f.workerRequests)
	}
	f.machine.Shard.Record.Claim++
	f.UpdateOwnership(f.machine)
	f.workerRequests[1].callback(protocol.CommandResult{Status: 200, Heartbeat: *testReport(1, 3, testBase+2)})
	if f.Of(f.machine).HasReported() {
		t.Error("an answer to a request under an earlier claim was applied")
	}
}
