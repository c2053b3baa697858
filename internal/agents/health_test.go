package agents

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// TestSilentMachinesAreRemoved: why and when a machine that has fallen silent is given back.
func TestSilentMachinesAreRemoved(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *fixture)
		silence monotime.Micros // since its last heartbeat
		reason  RemovalReason
	}{
		{"heard lately", func(*fixture) {}, 6 * second, ""},
		{"silent for three heartbeats", func(*fixture) {}, 7 * second, removalUnreachable},
		{"the mirror may be outdated", func(f *fixture) { f.watchOverdue = true }, 60 * second, ""},
		{"state service unavailable", func(f *fixture) { f.unavailable = true }, 60 * second, ""},
		{
			"only others reach the state service",
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
			"spot interruption, heard",
			func(f *fixture) { f.Of(f.machine).interruptionNoticed = true },
			4 * second,
			"",
		},
		{
			"cancelled tasks",
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
			"claim not acknowledged for long",
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
			t.Errorf("%s: removed for %q, want %q", tc.name, got, tc.reason)
		}
	}
}

// TestDesiredState: the state that a machine's record should have.
func TestDesiredState(t *testing.T) {
	cases := []struct {
		name     string
		recorded storage.MachineState
		prepare  func(agent *Agent)
		empty    bool
		want     storage.MachineState
	}{
		{"nothing", storage.MachineOpen, func(*Agent) {}, false, storage.MachineOpen},
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
		{"draining stays", storage.MachineDraining, func(*Agent) {}, false, storage.MachineDraining},
		{"removing stays", storage.MachineRemoving, func(*Agent) {}, false, storage.MachineRemoving},
		{
			"idle", storage.MachineOpen, func(a *Agent) { a.SetRemovalReason(RemovalIdle) }, true,
			storage.MachineRemoving,
		},
		{
			"idle, got tasks meanwhile", storage.MachineOpen, func(a *Agent) { a.SetRemovalReason(RemovalIdle) }, false,
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
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestInterruptedMachineIsVacated: before the cloud takes a machine back, services on it are stopped so that they
// start elsewhere.
func TestInterruptedMachineIsVacated(t *testing.T) {
	f := newFixture(t)
	notice := 120.0
	report := testReport(1, 1, testBase)
	report.InterruptionNoticeS = &notice
	f.answerHeartbeat(f.machine, report)
	f.CheckMachines(f.now)
	if !f.Of(f.machine).IsStopping(testAttempt) {
		t.Fatal("the service isn't stopped")
	}
	if len(f.workerRequests) != 1 || formatCommands(f.workerRequests[0].request.Commands) != string(protocol.CmdKill)+" j-1/0 1 grace 0" {
		t.Errorf("requests %+v", f.workerRequests)
	}
}
