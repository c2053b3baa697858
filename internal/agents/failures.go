package agents

import "math"

// FailureHistory is what tasks on a machine have shown of it: which jobs failed there, and how much longer
// than expected tasks ran.
type FailureHistory struct {
	byJob           map[string]int // failures by job since a task last completed on the machine
	logSlowdown     float64        // smoothed logarithm of actual by expected run time
	slowdownSamples int
	failureProne    bool
}

// Bounds from which a machine counts as slow.
const (
	slowdownWeightSamples = 8   // samples that the smoothing averages over
	minSlowdownSamples    = 6   // samples needed for a judgement
	slowLogThreshold      = 1.1 // three times as long as expected
)

// RecordFailure counts a failed task of a job.
func (h *FailureHistory) RecordFailure(job string) { h.byJob[job]++ }

// RecordCompletion forgets the failures before a task that completed.
func (h *FailureHistory) RecordCompletion() { clear(h.byJob) }

// ByJob returns the failures by job since a task last completed on the machine; it must not be changed.
func (h *FailureHistory) ByJob() map[string]int { return h.byJob }

// RecordSpeed follows how fast the machine is, from a task's actual and expected run time in seconds. Single
// estimates are wrong by half or more; a smoothed ratio of several tasks is not.
func (h *FailureHistory) RecordSpeed(ran, expected float64) {
	if ran <= 0 || expected <= 0 {
		return
	}
	h.slowdownSamples++
	h.logSlowdown += (math.Log(ran/expected) - h.logSlowdown) / float64(
		min(h.slowdownSamples, slowdownWeightSamples),
	)
}

// IsSlow reports whether tasks run far longer than expected on the machine, again and again.
func (h *FailureHistory) IsSlow() bool {
	return h.slowdownSamples >= minSlowdownSamples && h.logSlowdown > slowLogThreshold
}

// FailureProne reports whether the machine gets no more tasks because too much failed there.
func (h *FailureHistory) FailureProne() bool { return h.failureProne }

// SetFailureProne notes whether the machine gets no more tasks, and reports whether that is a change.
func (h *FailureHistory) SetFailureProne(prone bool) (changed bool) {
	changed = prone != h.failureProne
	h.failureProne = prone
	return changed
}
