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
	"machines of the fleet an eighth of which is drained; 4000 in the long form",
)

// submissionIntervalPerMachine spaces the submissions: 12.5 a second for a thousand machines and a hundred
// changes of the state service a second.
const submissionIntervalPerMachine = 80

// drainCosts is what users and the state service notice of a drain.
type drainCosts struct {
	accepted     int
	p99Latency   monotime.Micros // of the submissions
	meanLatency  monotime.Micros
	changes      int
	permitWrites int
	moved        int
	machinesLeft int // machines of the drain at the end
	wallTime     time.Duration
}

// playDrainSize simulates two minutes of a full fleet with a steady rate of one-task jobs, with or without a
// drain of an eighth of its machines.
func playDrainSize(t *testing.T, machines int, draining bool) *drainCosts {
	c := newClusterOfSize(t, machines)
	none := 0
	c.settings.Drains = &config.DrainSettings{
		DefaultMaxUnavailable:  1,
		DefaultReserveMachines: &none,
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

	got := &drainCosts{}
	sentAt := map[string]monotime.Micros{}
	var waits []monotime.Micros
	c.onAccepted = func(id string) {
		if at, ok := sentAt[id]; ok {
			waits = append(waits, c.sim.Now()-at)
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
		c.sim.After(submissionIntervalPerMachine*second/monotime.Micros(machines), submit)
	}
	submit()
	ids := sortedmap.Keys(c.cloud.Machines)
	through := ids[len(ids)/4] // of the zone's, half of all: an eighth of the fleet
	before, begun := c.store.Changes, time.Now()
	if draining {
		rec := storage.Drain{
			State:        storage.DrainActive,
			Selector:     storage.Selector{Zone: "a"},
			LastMachine:  through,
			Replace:      true,
			RemoveAtOnce: true,
			MaxParallel:  machines / 16,
			StartedAt:    1,
		}
		s := &drainScenario{cluster: c}
		s.putDrain("eighth", rec)
	}
	c.sim.Run(120 * second)
	got.wallTime = time.Since(begun)
	got.changes = c.store.Changes - before
	got.accepted = len(waits)
	for _, w := range waits {
		got.meanLatency += w / monotime.Micros(len(waits))
	}
	slices.Sort(waits)
	got.p99Latency = waits[len(waits)*99/100]
	for _, node := range c.nodeNames {
		got.permitWrites += c.nodes[node].controller.counters.permitWrites
	}
	for id, j := range c.fleet.Jobs {
		if j.RunTime == 0 {
			got.moved += c.fleet.Starts[id+"/0"] - 1
		}
	}
	for _, id := range ids {
		if rented := c.cloud.Machines[id]; rented.Zone == "a" && id <= through && !rented.Gone {
			got.machinesLeft++
		}
	}
	c.requireNoViolations()
	return got
}

// TestLargeDrainLeavesSubmissionsUnharmed: beside a drain of an eighth of a fleet users' submissions are
// accepted as many and as fast as without it, and its writes stay within what drains may spend.
func TestLargeDrainLeavesSubmissionsUnharmed(t *testing.T) {
	without, with := playDrainSize(t, *drainFleetSize, false), playDrainSize(t, *drainFleetSize, true)
	t.Logf("%d machines without a drain: %+v", *drainFleetSize, *without)
	t.Logf("with one: %+v", *with)
	if with.accepted < without.accepted*95/100 || with.p99Latency > 2*without.p99Latency+second/2 {
		t.Errorf(
			"%d submissions, 99%% within %.3f s; without a drain %d, %.3f s",
			with.accepted,
			with.p99Latency.Seconds(),
			without.accepted,
			without.p99Latency.Seconds(),
		)
	}
	// A tenth of the changes of all controllers together, and a fifth more for those that are uneven.
	most := int(drainer.PermitWriteFraction * 1.2 * 100 * float64(*drainFleetSize) / 1000 * 120)
	if with.permitWrites > most || with.permitWrites == 0 || without.permitWrites > 0 {
		t.Errorf("%d writes of permits, at most %d", with.permitWrites, most)
	}
	if with.moved == 0 {
		t.Error("nothing was moved")
	}
}
