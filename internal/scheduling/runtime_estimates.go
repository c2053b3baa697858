package scheduling

import (
	"math"

	"pipitgap/internal/storage"
)

const (
	// estimateBiasWeight is the weight of the latest run in the moving average of a class.
	estimateBiasWeight = 0.05
	// maxEstimateBias bounds the correction: estimates are changed by a factor of e at most, either way.
	maxEstimateBias = 1.0
)

// RuntimeEstimates corrects the owners' estimates of run times by what tasks of the same class have lately
// taken: the estimates of a class can be mostly too high, or mostly too low, for a while.
type RuntimeEstimates struct {
	biasByClass map[string]float64 // moving average of the logarithm of run time over estimate
}

// NewRuntimeEstimates returns estimates without any correction yet.
func NewRuntimeEstimates() *RuntimeEstimates {
	return &RuntimeEstimates{biasByClass: map[string]float64{}}
}

// Observe learns from a completed task that ran for so many seconds.
func (r *RuntimeEstimates) Observe(spec *storage.JobSpec, ranSeconds float64) {
	if spec.EstimateS <= 0 || ranSeconds <= 0 {
		return
	}
	r.biasByClass[spec.Class] += estimateBiasWeight *
		(math.Log(ranSeconds/spec.EstimateS) - r.biasByClass[spec.Class])
}

// ExpectedSeconds is how long a task of a job is expected to run, in seconds.
func (r *RuntimeEstimates) ExpectedSeconds(spec *storage.JobSpec) float64 {
	return spec.EstimateS * math.Exp(min(max(r.biasByClass[spec.Class], -maxEstimateBias), maxEstimateBias))
}
