package autoscaling

import (
	"testing"

	"pipitgap/internal/monotime"
)

// TestBackoffsPauseAndSuspend: a job is left out after several passes without success, for twice as long each
// time, and at the ceiling until an offer recovers.
func TestBackoffsPauseAndSuspend(t *testing.T) {
	b := NewBackoffs(BackoffPolicy{Passes: 2, First: 4, Max: 16})
	demands := []*Demand{{JobID: "j", Tasks: 1}}
	isExcluded := func(now monotime.Micros) bool { return len(b.Eligible(demands, now)) == 0 }
	for _, step := range []struct {
		name          string
		now           monotime.Micros
		wantSuspended bool
		excludedUntil monotime.Micros // 0: it isn't left out
	}{
		{"first pass", 0, false, 0},
		{"second pass", 1, false, 5},
		{"third pass", 5, false, 13},
		{"at the ceiling", 13, true, 1 << 40},
	} {
		if got := b.Update("j", false, step.now); got != step.wantSuspended {
			t.Errorf("%s: suspended %v", step.name, got)
		}
		if until := step.excludedUntil; until == 0 && isExcluded(step.now) {
			t.Errorf("%s: it is left out", step.name)
		} else if until != 0 && (!isExcluded(until-1) || until < 1<<40 && isExcluded(until)) {
			t.Errorf("%s: it isn't left out until %d only", step.name, until)
		}
	}
	b.NoteOfferRecovery()
	if isExcluded(14) {
		t.Error("an offer has recovered, and the job is left out")
	}
	if b.Update("j", false, 14) || !isExcluded(15) {
		t.Error("without success it isn't left out until the next recovery")
	}
	b.NoteOfferRecovery()
	if b.Update("j", true, 16); isExcluded(17) || len(b.jobs) != 0 {
		t.Error("success doesn't end the back-off")
	}
}

// TestBackoffsForgetMet: the state of a job without unmet demand is dropped, that of one whose demand is met
// in part only stays.
func TestBackoffsForgetMet(t *testing.T) {
	b := NewBackoffs(BackoffPolicy{Passes: 1, First: 10, Max: 100})
	for _, id := range []string{"met", "unmet", "in part", "ended"} {
		b.Update(id, false, 0)
	}
	b.ForgetMet([]*Demand{
		{JobID: "met"}, {JobID: "unmet", Tasks: 1}, {JobID: "in part", Tasks: 1}, {JobID: "in part"},
	})
	if len(b.jobs) != 2 || b.jobs["unmet"] == nil || b.jobs["in part"] == nil {
		t.Errorf("kept: %v", b.jobs)
	}
}
