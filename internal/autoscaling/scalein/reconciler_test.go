package scalein

import (
	"testing"

	"pipitgap/internal/agents"
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/config"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

const (
	second   = monotime.Second
	interval = 2 * second  // AutoscalingInterval
	delay    = 20 * second // ScaleDownDelay
	machine  = "i-1"
)

// controllerStub stands in for the other parts of a controller that owns one machine.
type controllerStub struct {
	records    *mirror.Mirror
	reconciler *Reconciler
	agent      *agents.Agent
	removals   []agents.RemovalReason // reasons of the requested removals
	reserved   map[string]resources.Vector
	mayScaleIn func(empty monotime.Micros) bool
	types      map[string]protocol.MachineType
}

func newControllerStub() *controllerStub {
	s := &controllerStub{
		records:    mirror.New(),
		agent:      agents.New(1, 0),
		mayScaleIn: func(monotime.Micros) bool { return false },
		types:      map[string]protocol.MachineType{"m8": {Name: "m8", CPUs: 8, OnDemandPrice: 1}},
	}
	s.records.Machines[machine] = &mirror.Machine{
		ID: machine, Attempts: map[mirror.TaskID]uint64{},
		Record: &storage.ShardMachine{Type: "m8", State: storage.MachineOpen},
	}
	settings := config.Defaults()
	settings.AutoscalingInterval = config.Duration(interval)
	settings.ScaleDownDelay = config.Duration(delay)
	settings.ServiceHeadroom = 0
	s.reconciler = New(settings, Dependencies{Mirror: s.records, Agents: s, Drains: s, Workload: s, Catalog: s})
	return s
}

func (s *controllerStub) Of(*mirror.Machine) *agents.Agent               { return s.agent }
func (s *controllerStub) ReservedByMachine() map[string]resources.Vector { return s.reserved }
func (s *controllerStub) ReplacementDemands() []*autoscaling.Demand      { return nil }
func (s *controllerStub) Snapshot(monotime.Micros) *autoscaling.Snapshot {
	panic("Snapshot called without headroom or replacement demand")
}
func (s *controllerStub) MachineTypes() map[string]protocol.MachineType { return s.types }

func (s *controllerStub) RequestRemoval(_ *mirror.Machine, reason agents.RemovalReason) {
	s.removals = append(s.removals, reason)
}

func (s *controllerStub) MayScaleIn(_ *mirror.Machine, empty monotime.Micros) bool {
	return s.mayScaleIn(empty)
}

func (s *controllerStub) DemandAndSupply(*autoscaling.Snapshot) ([]*autoscaling.Demand, []*autoscaling.Bin) {
	panic("DemandAndSupply called without headroom or replacement demand")
}

// TestDelayByPrice checks how long an empty machine is kept for the next burst: an expensive machine for a
// shorter time than a cheap machine of the same type.
func TestDelayByPrice(t *testing.T) {
	s := newControllerStub()
	s.types = map[string]protocol.MachineType{
		"both":    {Name: "both", CPUs: 8, OnDemandPrice: 1, SpotPrice: 0.25},
		"no spot": {Name: "no spot", CPUs: 8, OnDemandPrice: 1},
		"no gain": {Name: "no gain", CPUs: 8, OnDemandPrice: 1, SpotPrice: 1.5},
	}
	for _, tc := range []struct {
		machineType string
		spot        bool
		want        monotime.Micros
	}{
		{"both", true, 20 * second}, {"both", false, 5 * second}, {"no spot", false, 20 * second},
		{"no gain", false, 20 * second}, {"no gain", true, 20 * second}, {"unknown", false, 20 * second},
	} {
		if got := s.reconciler.Delay(&storage.ShardMachine{Type: tc.machineType, Spot: tc.spot}); got != tc.want {
			t.Errorf("%s, spot %v: got delay %v s, want %v s",
				tc.machineType, tc.spot, got.Seconds(), tc.want.Seconds())
		}
	}
}

// TestEmptyMachineIsClosedThenRemoved checks that an empty machine is closed after two intervals and removed
// after the delay, and that running a task restarts both.
func TestEmptyMachineIsClosedThenRemoved(t *testing.T) {
	s := newControllerStub()
	s.reconciler.Reconcile(0)
	for _, step := range []struct {
		at           monotime.Micros
		wantClosed   bool
		wantRemovals int
	}{
		{interval, false, 0}, {2*interval - 1, false, 0}, {2 * interval, true, 0},
		{2*interval + delay - interval, true, 0}, {2*interval + delay, true, 1},
	} {
		s.reconciler.Reconcile(step.at)
		if got := s.reconciler.IsClosed(machine); got != step.wantClosed || len(s.removals) != step.wantRemovals {
			t.Errorf("at %v s: got closed %v, removals %v, want closed %v, %d removals",
				step.at.Seconds(), got, s.removals, step.wantClosed, step.wantRemovals)
		}
	}
	task := mirror.TaskID{Job: "j"}
	s.records.Machines[machine].Attempts[task] = 1
	s.reconciler.Reconcile(2 * delay)
	delete(s.records.Machines[machine].Attempts, task)
	s.reconciler.Reconcile(3 * delay)
	if s.reconciler.IsClosed(machine) || len(s.removals) != 1 {
		t.Errorf("empty again: got closed %v, removals %v, want open, 1 removal",
			s.reconciler.IsClosed(machine), s.removals)
	}
}

// TestWhichMachinesAreRemoved checks which empty machines are removed, by their state and by what needs them.
func TestWhichMachinesAreRemoved(t *testing.T) {
	afterInterval := func(empty monotime.Micros) bool { return empty >= interval }
	for _, tc := range []struct {
		name  string
		setup func(*controllerStub)
		want  agents.RemovalReason // removal reason; empty: the machine is kept
	}{
		{"idle", func(*controllerStub) {}, agents.RemovalIdle},
		{"reserved", func(s *controllerStub) { s.reserved = map[string]resources.Vector{machine: {}} }, ""},
		{"not owned by this controller", func(s *controllerStub) { s.agent = nil }, ""},
		{"being removed already", func(s *controllerStub) { s.agent.SetRemovalReason("x") }, ""},
		{"unreachable", func(s *controllerStub) { s.setState(storage.MachineUnreachable) }, ""},
		{"draining", func(s *controllerStub) { s.setState(storage.MachineDraining) }, agents.RemovalDrained},
		{"draining, reserved", func(s *controllerStub) {
			s.setState(storage.MachineDraining)
			s.reserved = map[string]resources.Vector{machine: {}}
		}, agents.RemovalDrained},
		{"cordoned", func(s *controllerStub) { s.setState(storage.MachineCordoned) }, ""},
		{"cordoned by a drain", func(s *controllerStub) {
			s.setState(storage.MachineCordoned)
			s.mayScaleIn = afterInterval
		}, agents.RemovalDrained},
		{"machine types unknown", func(s *controllerStub) { s.types = nil }, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newControllerStub()
			tc.setup(s)
			for now := monotime.Micros(0); now <= 2*delay && len(s.removals) == 0; now += interval {
				s.reconciler.Reconcile(now)
			}
			if len(s.removals) == 0 && tc.want != "" || len(s.removals) > 0 && s.removals[0] != tc.want {
				t.Errorf("got removals %v, want reason %q", s.removals, tc.want)
			}
		})
	}
}

// setState sets the state in the machine's record.
func (s *controllerStub) setState(state storage.MachineState) {
	s.records.Machines[machine].Record.State = state
}

// TestReopenedMachineRestartsScaleInDelay checks that the time for which a machine was closed before it was
// reopened doesn't count towards its removal.
func TestReopenedMachineRestartsScaleInDelay(t *testing.T) {
	s := newControllerStub()
	for now := monotime.Micros(0); now < delay; now += interval {
		s.reconciler.Reconcile(now)
	}
	if !s.reconciler.IsClosed(machine) {
		t.Fatal("before Reopen: got closed false, want true")
	}
	s.reconciler.Reopen(machine)
	s.reconciler.Reconcile(2 * delay)
	if len(s.removals) != 0 || !s.reconciler.IsClosed(machine) {
		t.Errorf("after Reopen: got closed %v, removals %v, want closed, no removals",
			s.reconciler.IsClosed(machine), s.removals)
	}
}
