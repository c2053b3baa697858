package agents

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// TestSilentMachinesAreRemoved checks when and for which reason a silent machine is removed.
func TestSilentMachinesAreRemoved(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *fixture)
		silence monotime.Micros // since the last heartbeat
		reason  RemovalReason
	}{
		{"silent for less than the suspicion timeout", func(*fixture) {}, 6 * second, ""},
		{"silent for longer than the suspicion timeout", func(*fixture) {}, 7 * second, removalUnreachable},
		{"the mirror may be outdated", func(f *fixture) { f.watchOverdue = true }, 60 * second, ""},
		{"state service unavailable", func(f *fixture) { f.unavailable = true }, 60 * second, ""},
		{
			"only another controller reaches the state service",
			func(f *fixture) { f.unavailableOnlyHere = "n-1" },
			60 * second,
			"",
		},
		{
			"spot interruption",
			func(f *fixture) { f.Of(f.machine).interruptionNoticed = true },
			6 * second,
			removalInterrupted,
		},
		{
			"spot interruption, silent for less than the placement limit",
			func(f *fixture) { f.Of(f.machine).interruptionNoticed = true },
			4 * second,
			"",
		},
		{
			"task of a cancelled job",
			func(f *fixture) { cancelJob(f.replica) },
			7 * second,
			removalCancelledUnreachable,
		},
		{
			"claim not acknowledged",
			func(f *fixture) { f.Of(f.machine).tokens.claimAcknowledged = false },
			16 * second,
			"",
		},
		{
			"claim not acknowledged, silent for longer than the lease proof and two heartbeats",
			func(f *fixture) { f.Of(f.machine).tokens.claimAcknowledged = false },
			18 * second,
			removalUnreachable,
		},
	}
	for _, tc := range cases {
		f := newFixture(t)
		f.now = 40 * second
		f.UpdateOwnership(f.machine)
		f.answerHeartbeat(f.machine, testReport(1, 1, testBase))
		tc.prepare(f)
		f.now += tc.silence
		f.CheckMachines(f.now)
		if got := f.Of(f.machine).RemovalReason(); got != tc.reason {
			t.Errorf("%s: got removal reason %q, want %q", tc.name, got, tc.reason)
		}
	}
}

// TestDesiredState checks the desired state of a machine's record.
func TestDesiredState(t *testing.T) {
	cases := []struct {
		name     string
		recorded storage.MachineState
		prepare  func(agent *Agent)
		empty    bool
		want     storage.MachineState
	}{
		{"open machine", storage.MachineOpen, func(*Agent) {}, false, storage.MachineOpen},
		{"reachable again", storage.MachineUnreachable, func(*Agent) {}, false, storage.MachineOpen},
		{
			"suspect",
			storage.MachineOpen,
			func(a *Agent) { a.SetSuspect(true) },
			false,
			storage.MachineUnreachable,
		},
		{
			"interrupted", storage.MachineOpen, func(a *Agent) { a.interruptionNoticed = true }, false,
			storage.MachineDraining,
		},
		{"draining is kept", storage.MachineDraining, func(*Agent) {}, false, storage.MachineDraining},
		{"removing is kept", storage.MachineRemoving, func(*Agent) {}, false, storage.MachineRemoving},
		{
			"idle", storage.MachineOpen, func(a *Agent) { a.SetRemovalReason(RemovalIdle) }, true,
			storage.MachineRemoving,
		},
		{
			"idle, then occupied", storage.MachineOpen, func(a *Agent) { a.SetRemovalReason(RemovalIdle) }, false,
			storage.MachineOpen,
		},
		{
			"faulty", storage.MachineOpen, func(a *Agent) { a.SetRemovalReason(removalFaulty) }, false,
			storage.MachineRemoving,
		},
	}
	for _, tc := range cases {
		f := newFixture(t)
		f.machine.Record.State = tc.recorded
		if tc.empty {
			clear(f.machine.Attempts)
		}
		tc.prepare(f.Of(f.machine))
		if got := f.DesiredState(f.machine); got != tc.want {
			t.Errorf("%s: got state %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestInterruptedMachineIsVacated checks that services on a machine with an interruption notice are stopped,
// so that they can start elsewhere before the cloud reclaims the machine.
func TestInterruptedMachineIsVacated(t *testing.T) {
	f := newFixture(t)
	notice := 120.0
	report := testReport(1, 1, testBase)
	report.InterruptionNoticeS = &notice
	f.answerHeartbeat(f.machine, report)
	f.CheckMachines(f.now)
	if !f.Of(f.machine).IsStopping(testAttempt) {
		t.Fatal("got no stop of the service's attempt, want one")
	}
	if len(f.workerRequests) != 1 ||
		formatCommands(f.workerRequests[0].request.Commands) != string(protocol.CmdKill)+" j-1/0 1 grace 0" {
		t.Errorf("got requests %+v, want one with a kill of the service's attempt", f.workerRequests)
	}
}
