package scheduling

import (
	"testing"

	"pipitgap/internal/storage"
)

// TestQueueOrder: higher priority, then what can still meet its objectives, the least work
// first; starved ones before any of that.
func TestQueueOrder(t *testing.T) {
	makeJob := func(id string, priority int, at int64) QueuedJob {
		return QueuedJob{ID: id, AcceptedAt: at, Spec: &storage.JobSpec{Priority: priority}}
	}
	cases := []struct {
		name string
		a, b QueueEntry
	}{
		{
			"priority",
			QueueEntry{Job: makeJob("b", 3, 9), SlackSeconds: 90},
			QueueEntry{Job: makeJob("a", 2, 1), SlackSeconds: 1},
		},
		{
			"priority, though late",
			QueueEntry{Job: makeJob("b", 3, 9), MissedObjectives: 2},
			QueueEntry{Job: makeJob("a", 2, 1)},
		},
		{
			"least work",
			QueueEntry{Job: makeJob("b", 1, 9), SlackSeconds: 9, WaitingCPUSeconds: 1},
			QueueEntry{Job: makeJob("a", 1, 1), SlackSeconds: 2, WaitingCPUSeconds: 2},
		},
		{
			"in time before late",
			QueueEntry{Job: makeJob("b", 1, 9), WaitingCPUSeconds: 9},
			QueueEntry{Job: makeJob("a", 1, 1), WaitingCPUSeconds: 1, MissedObjectives: 1},
		},
		{
			"starved before the like of higher priority",
			QueueEntry{Job: makeJob("b", 0, 9), Starved: true},
			QueueEntry{Job: makeJob("a", 1, 1)},
		},
		{
			"just late before long late",
			QueueEntry{Job: makeJob("b", 1, 9), SlackSeconds: -5},
			QueueEntry{Job: makeJob("a", 1, 1), SlackSeconds: -50, MissedObjectives: 2},
		},
		{
			"oldest of the long late",
			QueueEntry{Job: makeJob("b", 1, 1), SlackSeconds: -5, MissedObjectives: 2},
			QueueEntry{Job: makeJob("a", 1, 2), SlackSeconds: -50, MissedObjectives: 2},
		},
		{
			"urgent before in time",
			QueueEntry{
				Job:               makeJob("b", 1, 9),
				DeadlineBoost:     true,
				MissedObjectives:  2,
				WaitingCPUSeconds: 9,
			},
			QueueEntry{Job: makeJob("a", 1, 1), WaitingCPUSeconds: 1},
		},
		{
			"priority before urgent",
			QueueEntry{Job: makeJob("b", 2, 9)},
			QueueEntry{Job: makeJob("a", 1, 1), DeadlineBoost: true, MissedObjectives: 2},
		},
		{"id at last", QueueEntry{Job: makeJob("a", 1, 1)}, QueueEntry{Job: makeJob("b", 1, 1)}},
	}
	for _, tc := range cases {
		if !tc.a.Before(&tc.b) || tc.b.Before(&tc.a) {
			t.Error(tc.name)
		}
	}
}

// TestDeadlineBoostLimit: of each team's boosted entries those with the least work keep the boost, until its
// late jobs hold more than the fraction of what the team can use.
func TestDeadlineBoostLimit(t *testing.T) {
	entry := func(id, team string, cpus, work float64) QueueEntry {
		return QueueEntry{
			Job: QueuedJob{
				ID:              id,
				Spec:            &storage.JobSpec{Team: team},
				UnassignedTasks: 1,
				TaskCPUs:        cpus,
			},
			WaitingCPUSeconds: work,
			DeadlineBoost:     true,
		}
	}
	plain := QueueEntry{Job: QueuedJob{ID: "plain", Spec: &storage.JobSpec{Team: "free"}}}
	entries := []QueueEntry{
		entry("large", "free", 30, 300), entry("small", "free", 31, 10), entry("tight", "tight", 1, 10),
		entry("other", "other", 1, 10), plain,
	}
	if !AnyDeadlineBoost(entries) || AnyDeadlineBoost([]QueueEntry{plain}) {
		t.Error("what has the boost isn't found")
	}
	LimitDeadlineBoost(entries, LateUsage{
		FleetCPUs:  100,
		CPUsByTeam: map[string]float64{"tight": 4},
		TeamMax:    func(team string) float64 { return map[string]float64{"tight": 12}[team] },
	})
	want := map[string]bool{"small": true, "other": true}
	for _, e := range entries {
		if e.DeadlineBoost != want[e.Job.ID] {
			t.Errorf("%s: boosted %v", e.Job.ID, e.DeadlineBoost)
		}
	}
}

func TestNeedsDeadlineBoost(t *testing.T) {
	for _, tc := range []struct {
		slack  float64
		missed int
		want   bool
	}{
		{0, 2, true}, {39.9, 3, true}, {40, 2, false}, {-0.1, 2, false}, {10, 1, false},
	} {
		if got := NeedsDeadlineBoost(Slack{tc.slack, tc.missed}); got != tc.want {
			t.Errorf("slack %v, %d missed: %v", tc.slack, tc.missed, got)
		}
	}
}
