package agents

import "math"

// FailureHistory records the failures and the relative run times of tasks on a machine: which jobs failed
// there, and how much longer than expected tasks ran.
type FailureHistory struct {
	byJob           map[string]int // failures by job since a task last completed on the machine
	logSlowdown     float64        // smoothed logarithm of actual by expected run time
	slowdownSamples int
	failureProne    bool
}

// Thresholds above which a machine counts as slow.
const (
	slowdownWeightSamples = 8   // number of samples that the moving average covers
	minSlowdownSamples    = 6   // minimum number of samples for a verdict
	slowLogThreshold      = 1.1 // about the logarithm of 3: three times the expected run time
)

// RecordFailure counts a failed task of a job.
func (h *FailureHistory) RecordFailure(job string) { h.byJob[job]++ }

// RecordCompletion resets the failure counts after a task has completed.
func (h *FailureHistory) RecordCompletion() { clear(h.byJob) }

// ByJob returns the failures by job since a task last completed on the machine. The caller must not modify
// it.
func (h *FailureHistory) ByJob() map[string]int { return h.byJob }

// RecordSpeed updates the machine's smoothed slowdown with the actual and the expected run time of a task, in
// seconds. Single estimates are wrong by half or more; the smoothed ratio of several tasks is not.
func (h *FailureHistory) RecordSpeed(ran, expected float64) {
	if ran <= 0 || expected <= 0 {
		return
	}
	h.slowdownSamples++
	h.logSlowdown += (math.Log(ran/expected) - h.logSlowdown) / float64(
		min(h.slowdownSamples, slowdownWeightSamples),
	)
}

// IsSlow reports whether tasks on the machine consistently run far longer than expected.
func (h *FailureHistory) IsSlow() bool {
	return h.slowdownSamples >= minSlowdownSamples && h.logSlowdown > slowLogThreshold
}

// FailureProne reports whether the machine receives no more tasks because too many tasks failed there.
func (h *FailureHistory) FailureProne() bool { return h.failureProne }

// SetFailureProne records whether the machine receives no more tasks, and reports whether that is a change.
func (h *FailureHistory) SetFailureProne(prone bool) (changed bool) {
	changed = prone != h.failureProne
	h.failureProne = prone
	return changed
}
