package autoscaling

import (
	"testing"

	"pipitgap/internal/monotime"
)

// TestBackoffsPauseAndSuspend checks that a job is excluded after several unsuccessful passes, that the delay
// doubles with each further one, and that a job whose delay reaches the maximum is excluded until an offer
// recovers.
func TestBackoffsPauseAndSuspend(t *testing.T) {
	b := NewBackoffs(BackoffPolicy{Passes: 2, First: 4, Max: 16})
	demands := []*Demand{{JobID: "j", Tasks: 1}}
	isExcluded := func(now monotime.Micros) bool { return len(b.Eligible(demands, now)) == 0 }
	for _, step := range []struct {
		name          string
		now           monotime.Micros
		wantSuspended bool
		excludedUntil monotime.Micros // 0: the job isn't excluded; 1 << 40: until an offer recovers
	}{
		{"first pass", 0, false, 0},
		{"second pass", 1, false, 5},
		{"third pass", 5, false, 13},
		{"at the maximum delay", 13, true, 1 << 40},
	} {
		if got := b.Update("j", false, step.now); got != step.wantSuspended {
			t.Errorf("%s: got suspended %v, want %v", step.name, got, step.wantSuspended)
		}
		if until := step.excludedUntil; until == 0 && isExcluded(step.now) {
			t.Errorf("%s: job is excluded at %d, want eligible", step.name, step.now)
		} else if until != 0 && (!isExcluded(until-1) || until < 1<<40 && isExcluded(until)) {
			t.Errorf("%s: job isn't excluded until exactly %d", step.name, until)
		}
	}
	b.NoteOfferRecovery()
	if isExcluded(14) {
		t.Error("job is excluded after an offer recovered, want eligible")
	}
	if b.Update("j", false, 14) || !isExcluded(15) {
		t.Error("unsuccessful pass after a recovery: job was suspended anew or is eligible, want excluded")
	}
	b.NoteOfferRecovery()
	if b.Update("j", true, 16); isExcluded(17) || len(b.jobs) != 0 {
		t.Errorf("successful pass: got state %v, excluded %v, want neither", b.jobs, isExcluded(17))
	}
}

// TestBackoffsForgetMet checks that ForgetMet deletes the state of jobs without unmet demand, and keeps the
// state of jobs whose demand is met only in part.
func TestBackoffsForgetMet(t *testing.T) {
	b := NewBackoffs(BackoffPolicy{Passes: 1, First: 10, Max: 100})
	for _, id := range []string{"met", "unmet", "in part", "ended"} {
		b.Update(id, false, 0)
	}
	b.ForgetMet([]*Demand{
		{JobID: "met"}, {JobID: "unmet", Tasks: 1}, {JobID: "in part", Tasks: 1}, {JobID: "in part"},
	})
	if len(b.jobs) != 2 || b.jobs["unmet"] == nil || b.jobs["in part"] == nil {
		t.Errorf("got backoff state for %v, want it for \"unmet\" and \"in part\" only", b.jobs)
	}
}
