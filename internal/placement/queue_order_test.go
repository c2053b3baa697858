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

// TestDeadlineBoostIsLimitedPerTeam guards against late jobs that delay all jobs in time. Of each team's late
// jobs, only those with the least work go first shortly before their next objective, and only up to a
// fraction of what the team can run.
func TestDeadlineBoostIsLimitedPerTeam(t *testing.T) {
	c := newTestController()
	c.limits = map[string]quota.Limits{"tight": {MaxCPUs: 12}}
	c.scheduler.config.Objectives = []config.Objective{
		{Kind: "deadline", Class: "x", DeadlineMultiple: 1},
		{Kind: "deadline", Class: "x", DeadlineMultiple: 1.5},
		{Kind: "wait", Class: "x", LimitS: 150},
		{Kind: "finished", Class: "x", LimitS: 250},
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
	smallLate := add("free", 120, 2, 4)        // needs 8 of the machine's 16 CPUs
	largeLate := add("free", 120, 2, 40)       // needs 80 CPUs
	limitedTeamLate := add("tight", 130, 2, 8) // another late job of the team holds 8 of its 12 CPUs
	c.mirror.Jobs[add("tight", 130, 2, 8)].AssignedTasks = 4
	allMissed, nextObjectiveFar := add("free", 249, 1, 1), add("free", 80, 1, 1)
	nearFinish := add("free", 215, 1, 2) // missed the wait objective, can still meet the finished objective
	position := map[string]int{}
	for i, job := range c.scheduler.OrderedQueue() {
		position[job.ID] = i
	}
	for _, tc := range []struct{ first, then string }{
		{smallLate, notLate},
		{nearFinish, notLate},
		{notLate, largeLate},
		{notLate, limitedTeamLate},
		{notLate, allMissed},
		{notLate, nextObjectiveFar},
	} {
		if position[tc.first] > position[tc.then] {
			t.Errorf("job %s is at position %d, want it before job %s at position %d; positions: %v",
				tc.first, position[tc.first], tc.then, position[tc.then], position)
		}
	}
}
