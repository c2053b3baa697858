package scheduling

import (
	"testing"

	"pipitgap/internal/storage"
)

// TestQueueOrder checks that a goes before b and not vice versa. Among the criteria of Before, it covers
// starvation, priority, boost, missed objectives, waiting work and age.
func TestQueueOrder(t *testing.T) {
	makeJob := func(id string, priority int, at int64) QueuedJob {
		return QueuedJob{ID: id, AcceptedAt: at, Spec: &storage.JobSpec{Priority: priority}}
	}
	cases := []struct {
		name string
		a, b QueueEntry
	}{
		{
			"higher priority",
			QueueEntry{Job: makeJob("b", 3, 9), SlackSeconds: 90},
			QueueEntry{Job: makeJob("a", 2, 1), SlackSeconds: 1},
		},
		{
			"higher priority, although late",
			QueueEntry{Job: makeJob("b", 3, 9), MissedObjectives: 2},
			QueueEntry{Job: makeJob("a", 2, 1)},
		},
		{
			"least waiting work",
			QueueEntry{Job: makeJob("b", 1, 9), SlackSeconds: 9, WaitingCPUSeconds: 1},
			QueueEntry{Job: makeJob("a", 1, 1), SlackSeconds: 2, WaitingCPUSeconds: 2},
		},
		{
			"no missed objective before one missed objective",
			QueueEntry{Job: makeJob("b", 1, 9), WaitingCPUSeconds: 9},
			QueueEntry{Job: makeJob("a", 1, 1), WaitingCPUSeconds: 1, MissedObjectives: 1},
		},
		{
			"starved array before an array of higher priority",
			QueueEntry{Job: makeJob("b", 0, 9), Starved: true},
			QueueEntry{Job: makeJob("a", 1, 1)},
		},
		{
			"fewer missed objectives, neither can meet another one",
			QueueEntry{Job: makeJob("b", 1, 9), SlackSeconds: -5},
			QueueEntry{Job: makeJob("a", 1, 1), SlackSeconds: -50, MissedObjectives: 2},
		},
		{
			"oldest of two that can't meet any objective",
			QueueEntry{Job: makeJob("b", 1, 1), SlackSeconds: -5, MissedObjectives: 2},
			QueueEntry{Job: makeJob("a", 1, 2), SlackSeconds: -50, MissedObjectives: 2},
		},
		{
			"boosted before in time",
			QueueEntry{
				Job:               makeJob("b", 1, 9),
				DeadlineBoost:     true,
				MissedObjectives:  2,
				WaitingCPUSeconds: 9,
			},
			QueueEntry{Job: makeJob("a", 1, 1), WaitingCPUSeconds: 1},
		},
		{
			"higher priority before boosted",
			QueueEntry{Job: makeJob("b", 2, 9)},
			QueueEntry{Job: makeJob("a", 1, 1), DeadlineBoost: true, MissedObjectives: 2},
		},
		{"smaller ID when all else is equal",
			QueueEntry{Job: makeJob("a", 1, 1)}, QueueEntry{Job: makeJob("b", 1, 1)}},
	}
	for _, tc := range cases {
		if !tc.a.Before(&tc.b) || tc.b.Before(&tc.a) {
			t.Errorf("%s: got a before b %v, b before a %v; want true, false",
				tc.name, tc.a.Before(&tc.b), tc.b.Before(&tc.a))
		}
	}
}

// TestDeadlineBoostLimit checks that each team's boosted entries with the least waiting work keep the boost,
// and that no more do once the team's late jobs hold more than deadlineBoostMaxFraction of the CPUs that the
// team can use.
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
		t.Errorf("AnyDeadlineBoost: got %v for boosted entries and %v without, want true and false",
			AnyDeadlineBoost(entries), AnyDeadlineBoost([]QueueEntry{plain}))
	}
	LimitDeadlineBoost(entries, LateUsage{
		FleetCPUs:  100,
		CPUsByTeam: map[string]float64{"tight": 4},
		TeamMax:    func(team string) float64 { return map[string]float64{"tight": 12}[team] },
	})
	want := map[string]bool{"small": true, "other": true}
	for _, e := range entries {
		if e.DeadlineBoost != want[e.Job.ID] {
			t.Errorf("%s: got boosted %v, want %v", e.Job.ID, e.DeadlineBoost, want[e.Job.ID])
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
			t.Errorf("slack %v s, %d missed objectives: got %v, want %v", tc.slack, tc.missed, got, tc.want)
		}
	}
}
