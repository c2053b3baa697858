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

// formatCommands formats a batch: each command with its task, attempt and grace period in seconds.
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

// TestNextCommands checks the commands that follow from a report, in cases that TestReportsProveAttemptsEnded
// does not cover.
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
			name:     "running attempt differs from the assigned one",
			tasks:    []protocol.TaskStatus{status("j-1/0", 2, protocol.StateRunning)},
			commands: kill + " j-1/0 2 grace 0, " + run + " j-1/0 1",
		},
		{
			name: "unexpected attempts are sorted, and reaped when exited",
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
			name:  "preempted with checkpoints",
			spec:  storage.JobSpec{CheckpointS: 60, SaveS: 7},
			tasks: []protocol.TaskStatus{status("j-1/0", 1, protocol.StateRunning)},
			prepare: func(agent *Agent, _ *mirror.Machine) {
				agent.StopAttempt(testAttempt)
			},
			commands: kill + " j-1/0 1 grace 7",
		},
		{
			name:     "no run after lease expiry",
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
			t.Errorf("%s: got commands %q, want %q", tc.name, got, tc.commands)
		}
		if raised := agent.Token() > before; raised != (tc.commands != "") {
			t.Errorf("%s: got token raised %v, want %v", tc.name, raised, tc.commands != "")
		}
	}
}

// TestCommandsAreRepeated checks that a command without a visible effect is sent again after
// commandRepeatInterval, or immediately if its request failed.
func TestCommandsAreRepeated(t *testing.T) {
	replica, machine := newMirrorWithAttempt(t, storage.JobSpec{})
	agent := New(testClaim, 0)
	next := func(at monotime.Micros) []protocol.Command { return agent.NextCommands(machine, replica.Jobs, at) }
	first := next(0)
	if len(first) != 1 {
		t.Fatalf("first batch: got commands %q, want one", formatCommands(first))
	}
	if again := next(commandRepeatInterval - 1); len(again) != 0 {
		t.Errorf("before commandRepeatInterval: got commands %q, want none", formatCommands(again))
	}
	if again := next(commandRepeatInterval + 1); len(again) != 1 {
		t.Errorf("after commandRepeatInterval: got commands %q, want one", formatCommands(again))
	}
	agent.RepeatCommands(first)
	if again := next(commandRepeatInterval + 2); len(again) != 1 {
		t.Errorf("after a failed request: got commands %q, want one", formatCommands(again))
	}
}

// TestLeaseRenewalRepeatsKillJustSent guards against an answer that renews a lease without the kill of a task
// that must end, because the same kill was sent moments before.
func TestLeaseRenewalRepeatsKillJustSent(t *testing.T) {
	kill := string(protocol.CmdKill)
	cases := []struct {
		name    string
		prepare func(replica *mirror.Mirror, agent *Agent, report *protocol.Heartbeat)
		renewal string
	}{
		{"cancelled job", func(replica *mirror.Mirror, _ *Agent, _ *protocol.Heartbeat) {
			cancelJob(replica)
		}, kill + " j-1/0 1 grace 0"},
		{"cancelled job, more reaps than fit", func(replica *mirror.Mirror, _ *Agent, report *protocol.Heartbeat) {
			cancelJob(replica)
			for i := range 2*maxCommandsPerBatch + 5 {
				report.Tasks = append(report.Tasks, protocol.TaskStatus{
					Task: fmt.Sprintf("j-2/%d", i), Attempt: 1, State: protocol.StateExited,
				})
			}
		}, kill + " j-1/0 1 grace 0"},
		{"attempt that the records do not contain", func(_ *mirror.Mirror, _ *Agent, report *protocol.Heartbeat) {
			report.Tasks = append(report.Tasks,
				protocol.TaskStatus{Task: "j-2/0", Attempt: 1, State: protocol.StateRunning})
		}, kill + " j-2/0 1 grace 0"},
		{"preempted job continues", func(_ *mirror.Mirror, agent *Agent, _ *protocol.Heartbeat) {
			agent.StopAttempt(testAttempt)
		}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			replica, machine := newMirrorWithAttempt(t, storage.JobSpec{})
			agent := New(testClaim, 0)
			report := testReport(1, 1, testBase)
			report.Tasks = []protocol.TaskStatus{{Task: "j-1/0", Attempt: 1, State: protocol.StateRunning}}
			tc.prepare(replica, agent, report)
			agent.ApplyReport(machine, replica.Jobs, report, 0, testLease)
			direct := agent.BeginCommandRequest(machine, replica.Jobs, monotime.Second)
			if direct == nil || !strings.HasPrefix(formatCommands(direct.Commands), kill) {
				t.Fatalf("direct request %+v, want one that begins with a kill", direct)
			}
			received, ok := agent.Receive(testReport(1, 2, testBase), monotime.Second+1)
			if !ok {
				t.Fatal("the heartbeat is not answered")
			}
			reply := agent.Reply(received, machine, replica.Jobs, 10*monotime.Second)
			got, _, _ := strings.Cut(formatCommands(reply.Commands), ",")
			if got != tc.renewal {
				t.Errorf("first command of the answer: got %q, want %q", got, tc.renewal)
			}
		})
	}
}

// TestBatchIsBounded checks that a batch has at most maxCommandsPerBatch commands and that the next batch
// carries the remaining ones.
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
			t.Errorf("batch %d: got %d commands, want %d", i, got, want)
		}
	}
}

// TestCommandRequestsAreSerialized checks that only one direct request is in flight at a time, and that the
// commands that become due meanwhile are sent after it.
func TestCommandRequestsAreSerialized(t *testing.T) {
	f := newFixture(t)
	f.SyncCommands(f.machine)
	if len(f.workerRequests) != 0 {
		t.Fatalf("before the first report: got %d command requests, want 0", len(f.workerRequests))
	}
	report := testReport(1, 1, testBase)
	report.Tasks = nil
	f.applyReport(f.machine, report)
	f.SyncCommands(f.machine)
	if len(f.workerRequests) != 1 || f.workerRequests[0].request.Incarnation != 1 ||
		f.workerRequests[0].request.FencingToken != testBase+1 {
		t.Fatalf("after the first report: got requests %+v, want one of incarnation 1 with token %d",
			f.workerRequests, testBase+1)
	}
	cancelJob(f.replica)
	f.SyncCommands(f.machine)
	if len(f.workerRequests) != 1 {
		t.Fatalf("with a request in flight: got %d requests in total, want 1", len(f.workerRequests))
	}
	f.workerRequests[0].callback(protocol.CommandResult{Status: 200, Heartbeat: *testReport(1, 2, testBase+1)})
	if len(f.workerRequests) != 2 ||
		formatCommands(f.workerRequests[1].request.Commands) != string(protocol.CmdKill)+" j-1/0 1 grace 0" {
		t.Fatalf("after the answer: got requests %+v, want two, the second with a kill", f.workerRequests)
	}
	f.machine.Shard.Record.Claim++
	f.UpdateOwnership(f.machine)
	f.workerRequests[1].callback(protocol.CommandResult{Status: 200, Heartbeat: *testReport(1, 3, testBase+2)})
	if f.Of(f.machine).HasReported() {
		t.Error("got the answer to a request of an earlier claim applied, want it dropped")
	}
}
