package scheduling

import (
	"math"

	"pipitgap/internal/storage"
)

const (
	// estimateBiasWeight is the weight of the latest run in the exponential moving average of a class.
	estimateBiasWeight = 0.05
	// maxEstimateBias bounds the logarithm of the correction: it changes estimates by a factor of at most e.
	maxEstimateBias = 1.0
)

// RuntimeEstimates corrects the owners' run time estimates with the recent run times of tasks of the same
// class. The estimates of a class can be consistently too high or too low for a while.
type RuntimeEstimates struct {
	biasByClass map[string]float64 // moving average of log(run time / estimate)
}

// NewRuntimeEstimates returns estimates without corrections.
func NewRuntimeEstimates() *RuntimeEstimates {
	return &RuntimeEstimates{biasByClass: map[string]float64{}}
}

// Observe updates the correction of a job's class with the run time of a completed task.
func (r *RuntimeEstimates) Observe(spec *storage.JobSpec, ranSeconds float64) {
	if spec.EstimateS <= 0 || ranSeconds <= 0 {
		return
	}
	r.biasByClass[spec.Class] += estimateBiasWeight *
		(math.Log(ranSeconds/spec.EstimateS) - r.biasByClass[spec.Class])
}

// ExpectedSeconds returns the expected run time of a job's task in seconds.
func (r *RuntimeEstimates) ExpectedSeconds(spec *storage.JobSpec) float64 {
	return spec.EstimateS * math.Exp(min(max(r.biasByClass[spec.Class], -maxEstimateBias), maxEstimateBias))
}
