package coordination

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pipitgap/internal/config"
	"pipitgap/internal/drain/drainer"
	"pipitgap/internal/monotime"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

var drainFleetSize = flag.Int(
	"drain-fleet",
	200,
	"number of machines in the fleet, of which an eighth is drained; the long form of the test uses 4000",
)

// machineSecondsPerSubmission, divided by the number of machines, is the interval between submissions in
// seconds. A fleet of 1,000 machines gets 12.5 submissions a second, and its state service allows 100 changes
// a second.
const machineSecondsPerSubmission = 80

// drainCosts holds what users and the state service notice of a drain.
type drainCosts struct {
	accepted     int             // submissions
	p99Latency   monotime.Micros // from a submission to its acceptance
	meanLatency  monotime.Micros
	changes      int // of the state service
	permitWrites int
	moved        int // restarts of replicas
	machinesLeft int // drained machines that are not removed at the end
	wallTime     time.Duration
}

// measureDrainCosts simulates two minutes of a full fleet that gets one-task jobs at a constant rate, with or
// without a drain of an eighth of its machines.
func measureDrainCosts(t *testing.T, machines int, draining bool) *drainCosts {
	c := newClusterOfSize(t, machines)
	noReserve := 0
	c.settings.Drains = &config.DrainSettings{
		DefaultMaxUnavailable:  1,
		DefaultReserveMachines: &noReserve,
		MaxParallel:            machines / 16,
		ArrayWait:              config.Duration(10 * second),
		MinReady:               config.Duration(3 * second),
	}
	for i := range 6 {
		c.settings.Drains.Budgets = append(
			c.settings.Drains.Budgets,
			config.DisruptionBudget{
				Team:         fmt.Sprint("team", i),
				MinAvailable: &config.CountOrPercent{Value: 70, Percent: true},
			},
		)
	}
	c.start(c.nodeNames...)
	c.sim.Run(3 * second)
	c.submitOpeningLoad(machines/2, machines/100, machines/100)
	c.submitLongArrays(machines)
	c.sim.Run(90 * second)

	costs := &drainCosts{}
	sentAt := map[string]monotime.Micros{}
	var latencies []monotime.Micros
	c.onAccepted = func(id string) {
		if at, ok := sentAt[id]; ok {
			latencies = append(latencies, c.sim.Now()-at)
		}
	}
	var submit func()
	submit = func() {
		id := c.submitWithRetry(
			10*second,
			withTeam(fmt.Sprint("team", len(sentAt)%6)),
			withCPUs(1),
			withEstimateS(10),
		)
		sentAt[id] = c.sim.Now()
		c.sim.After(machineSecondsPerSubmission*second/monotime.Micros(machines), submit)
	}
	submit()
	ids := sortedmap.Keys(c.cloud.Machines)
	lastMachine := ids[len(ids)/4] // zone a has half of the machines up to this one: an eighth of the fleet
	before, startedAt := c.store.Changes, time.Now()
	if draining {
		record := storage.Drain{
			State:             storage.DrainActive,
			Selector:          storage.Selector{Zone: "a"},
			LastMachine:       lastMachine,
			Replace:           true,
			DeleteImmediately: true,
			MaxParallel:       machines / 16,
			StartedAt:         1,
		}
		s := &drainScenario{cluster: c}
		s.putDrain("eighth", record)
	}
	c.sim.Run(120 * second)
	costs.wallTime = time.Since(startedAt)
	costs.changes = c.store.Changes - before
	costs.accepted = len(latencies)
	for _, latency := range latencies {
		costs.meanLatency += latency / monotime.Micros(len(latencies))
	}
	slices.Sort(latencies)
	costs.p99Latency = latencies[len(latencies)*99/100]
	for _, node := range c.nodeNames {
		costs.permitWrites += c.nodes[node].controller.counters.permitWrites
	}
	for id, j := range c.fleet.Jobs {
		if j.RunTime == 0 {
			costs.moved += c.fleet.Starts[id+"/0"] - 1
		}
	}
	for _, id := range ids {
		if rented := c.cloud.Machines[id]; rented.Zone == "a" && id <= lastMachine && !rented.Gone {
			costs.machinesLeft++
		}
	}
	c.requireNoViolations()
	return costs
}

// TestLargeDrainDoesNotDelaySubmissions checks that a drain of an eighth of a fleet neither reduces nor
// delays accepted submissions, and that its permit writes stay within the limit for drains.
func TestLargeDrainDoesNotDelaySubmissions(t *testing.T) {
	without, with := measureDrainCosts(t, *drainFleetSize, false), measureDrainCosts(t, *drainFleetSize, true)
	t.Logf("%d machines without a drain: %+v", *drainFleetSize, *without)
	t.Logf("with a drain: %+v", *with)
	if with.accepted < without.accepted*95/100 || with.p99Latency > 2*without.p99Latency+second/2 {
		t.Errorf(
			"with a drain: got %d submissions accepted, 99%% of them within %.3f s; without: %d, %.3f s; "+
				"want at least 95%% as many, within twice the time and 0.5 s",
			with.accepted,
			with.p99Latency.Seconds(),
			without.accepted,
			without.p99Latency.Seconds(),
		)
	}
	// Permits may use a tenth of the changes of all controllers together. A fifth is added because the
	// controllers use them unevenly.
	maxWrites := int(drainer.PermitWriteFraction * 1.2 * 100 * float64(*drainFleetSize) / 1000 * 120)
	if with.permitWrites > maxWrites || with.permitWrites == 0 || without.permitWrites > 0 {
		t.Errorf("got %d permit writes with a drain and %d without, want 1 to %d and 0",
			with.permitWrites, without.permitWrites, maxWrites)
	}
	if with.moved == 0 {
		t.Error("got no replica moved, want at least 1")
	}
}
