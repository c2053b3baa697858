package autoscaling

import (
	"pipitgap/internal/mapentry"
	"pipitgap/internal/monotime"
)

// Backoffs applies exponential backoff to jobs whose demand no offer can meet. After several unsuccessful
// passes it excludes such a job from scale-out for a delay that doubles with each further unsuccessful pass.
// Once the delay reaches the maximum, the job is suspended: it stays excluded until an unavailable offer
// recovers.
type Backoffs struct {
	policy          BackoffPolicy
	jobs            map[string]*backoff // by job ID
	offerRecoveries int                 // number of offer recoveries so far
}

// BackoffPolicy sets when backoff begins and how long its delays are.
type BackoffPolicy struct {
	Passes     int             // consecutive unsuccessful passes until the first delay
	First, Max monotime.Micros // first delay, and the delay at which a job is suspended
}

// backoff is the state of one job.
type backoff struct {
	unmetPasses     int // consecutive unsuccessful passes so far
	retryAt         monotime.Micros
	delay           monotime.Micros
	suspended       bool // excluded until an offer recovers
	offerRecoveries int  // value of Backoffs.offerRecoveries at the last pass that tried the suspended job
}

// NewBackoffs returns a Backoffs in which no job backs off.
func NewBackoffs(policy BackoffPolicy) *Backoffs {
	return &Backoffs{policy: policy, jobs: map[string]*backoff{}}
}

// NoteOfferRecovery records that an unavailable offer recovered. Each suspended job becomes eligible for one
// more pass.
func (b *Backoffs) NoteOfferRecovery() { b.offerRecoveries++ }

// ForgetMet deletes the backoff state of jobs that have no unmet demand.
func (b *Backoffs) ForgetMet(demands []*Demand) {
	unmet := map[string]bool{}
	for _, demand := range demands {
		unmet[demand.JobID] = unmet[demand.JobID] || demand.Tasks > 0
	}
	for id := range b.jobs {
		if !unmet[id] {
			delete(b.jobs, id)
		}
	}
}

// Eligible lists the demands that have unplaced tasks and whose jobs aren't excluded.
func (b *Backoffs) Eligible(demands []*Demand, now monotime.Micros) []*Demand {
	var eligible []*Demand
	for _, demand := range demands {
		if demand.Tasks > 0 && !b.isExcluded(demand.JobID, now) {
			eligible = append(eligible, demand)
		}
	}
	return eligible
}

// isExcluded reports whether no machine may be requested for a job now: its delay hasn't passed, or it is
// suspended and no offer has recovered since its last pass.
func (b *Backoffs) isExcluded(jobID string, now monotime.Micros) bool {
	state := b.jobs[jobID]
	if state == nil {
		return false
	}
	if state.suspended {
		return state.offerRecoveries == b.offerRecoveries
	}
	return now < state.retryAt
}

// Update records whether a pass met any of a job's demand. It returns true if this pass suspended the job.
func (b *Backoffs) Update(jobID string, met bool, now monotime.Micros) (suspended bool) {
	if met {
		delete(b.jobs, jobID)
		return false
	}
	state := mapentry.GetOrNew(b.jobs, jobID)
	state.unmetPasses++
	if state.suspended {
		state.offerRecoveries = b.offerRecoveries
		return false
	}
	if state.unmetPasses < b.policy.Passes {
		return false
	}
	if state.delay == 0 {
		state.delay = b.policy.First
	} else {
		state.delay *= 2
	}
	if state.delay >= b.policy.Max {
		state.suspended, state.offerRecoveries = true, b.offerRecoveries
		return true
	}
	state.retryAt = now + state.delay
	return false
}
