package autoscaling

import (
	"pipitgap/internal/mapentry"
	"pipitgap/internal/monotime"
)

// Backoffs follows the jobs whose demand no offer can meet. After several passes such a job is left out for a
// pause, longer each time; at the ceiling it is left out until an offer that was unavailable recovers.
type Backoffs struct {
	policy          BackoffPolicy
	jobs            map[string]*backoff
	offerRecoveries int // grows whenever an offer recovers
}

// BackoffPolicy sets the pauses.
type BackoffPolicy struct {
	Passes     int // passes without success before the first pause
	First, Max monotime.Micros
}

// backoff is the state of one job.
type backoff struct {
	unmetPasses     int
	retryAt         monotime.Micros
	delay           monotime.Micros
	suspended       bool // left out until an offer recovers
	offerRecoveries int  // as counted when it was last tried
}

// NewBackoffs makes a Backoffs without any job.
func NewBackoffs(policy BackoffPolicy) *Backoffs {
	return &Backoffs{policy: policy, jobs: map[string]*backoff{}}
}

// NoteOfferRecovery lets jobs that are left out try once more.
func (b *Backoffs) NoteOfferRecovery() { b.offerRecoveries++ }

// ForgetMet drops the state of jobs that have no unmet demand.
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

// Eligible lists the demands with tasks left whose jobs aren't left out.
func (b *Backoffs) Eligible(demands []*Demand, now monotime.Micros) []*Demand {
	var eligible []*Demand
	for _, demand := range demands {
		if demand.Tasks > 0 && !b.isExcluded(demand.JobID, now) {
			eligible = append(eligible, demand)
		}
	}
	return eligible
}

// isExcluded reports whether nothing is requested for a job for now.
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

// Update follows a job after a pass that met some of its demand, or none. It reports whether the job has just
// come to the ceiling.
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
