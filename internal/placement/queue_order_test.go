package placement

import (
	"fmt"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/quota"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// TestDeadlineBoostIsLimitedPerTeam: of each team's late jobs those with least work are urgent before their
// next objective, up to a fraction of what the team can run.
func TestDeadlineBoostIsLimitedPerTeam(t *testing.T) {
	c := newTestController()
	c.limits = map[string]quota.Limits{"tight": {MaxCPUs: 12}}
	c.scheduler.config.Objectives = []config.Objective{
		{Kind: "deadline", Class: "x", Times: 1},
		{Kind: "deadline", Class: "x", Times: 1.5},
		{Kind: "wait", Class: "x", WithinS: 150},
		{Kind: "finished", Class: "x", WithinS: 250},
	}
	c.machineTypes = map[string]protocol.MachineType{"m16": {Name: "m16", CPUs: 16}}
	c.mirror.Machines["i-1"] = &mirror.Machine{
		ID:     "i-1",
		Record: &storage.ShardMachine{Type: "m16", State: storage.MachineOpen},
	}
	add := func(team string, age, cpus float64, tasks int) string {
		id := fmt.Sprintf("j-%06d", len(c.mirror.Jobs))
		c.mirror.Jobs[id] = &mirror.Job{
			ID:            id,
			TaskStates:    make([]uint8, tasks),
			TaskResources: resources.Vector{CPUs: cpus},
			Record: storage.OpenJob{
				AcceptedAt: c.WallClock() - int64(age*float64(monotime.Second)),
				Spec: storage.JobSpec{
					Class:     "x",
					Team:      team,
					Tasks:     tasks,
					CPUs:      cpus,
					EstimateS: 10,
					DeadlineS: 30,
				},
			},
		}
		c.scheduler.trackingOf(id).progress.Begin(0, 0, c.now) // not starved
		return id
	}
	notLate := add("free", 5, 2, 1)
	smallLate := add("free", 120, 2, 4)        // 8 of the machine's 16 CPUs
	largeLate := add("free", 120, 2, 40)       // 80
	limitedTeamLate := add("tight", 130, 2, 8) // another late one of its team holds 8 of 12 CPUs
	c.mirror.Jobs[add("tight", 130, 2, 8)].AssignedTasks = 4
	allMissed, nextObjectiveFar := add("free", 249, 1, 1), add("free", 80, 1, 1)
	nearFinish := add("free", 215, 1, 2) // its start is missed, not its end
	place := map[string]int{}
	for i, job := range c.scheduler.OrderedQueue() {
		place[job.ID] = i
	}
	for _, tc := range []struct{ first, then string }{
		{smallLate, notLate},
		{nearFinish, notLate},
		{notLate, largeLate},
		{notLate, limitedTeamLate},
		{notLate, allMissed},
		{notLate, nextObjectiveFar},
	} {
		if place[tc.first] > place[tc.then] {
			t.Errorf("%s stands behind %s: %v", tc.first, tc.then, place)
		}
	}
}
