package api

import (
	"math"

	"pipitgap/internal/mapentry"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// A small job costs as many writes as a large one. A team that submits small jobs as fast as it can would
// use most of the writes, and the jobs of other teams would be neither accepted nor placed. Therefore the
// calls of such a burst are queued last, in the separate class PriorityBurst, and under overload the burst is
// rejected.
const (
	// submissionRateWindow is the time constant of the exponential decay of submission counts: within this
	// time a count decays to 1/e, about a third.
	submissionRateWindow = 10 * monotime.Second
	// minBurstSubmissions is the minimum decayed count at which a team's submissions can be a burst.
	minBurstSubmissions = 8
	// burstFraction is the fraction of all teams' submissions above which a team's submissions are a burst.
	burstFraction = 0.6
	// contendedQueueAge is the waiting time above which a queued write indicates that the write rate is too
	// low for all pending writes.
	contendedQueueAge = 1200 * monotime.Millisecond
)

// submissionRate is an exponentially decaying count of a team's submissions.
type submissionRate struct {
	decayingCount float64
	updatedAt     monotime.Micros
}

// decayedCount updates the count to the given time and returns it.
func (r *submissionRate) decayedCount(now monotime.Micros) float64 {
	if now > r.updatedAt {
		r.decayingCount *= math.Exp(-(now - r.updatedAt).Seconds() / submissionRateWindow.Seconds())
		r.updatedAt = now
	}
	return r.decayingCount
}

// burstLimiter identifies jobs of a burst, so that they don't crowd out the jobs of other teams.
type burstLimiter struct {
	environment Environment
	service     StateService
	rates       map[string]*submissionRate // by team
}

// newBurstLimiter returns a limiter that has not counted any submissions yet.
func newBurstLimiter(environment Environment, service StateService) burstLimiter {
	return burstLimiter{environment: environment, service: service, rates: map[string]*submissionRate{}}
}

// countSubmission adds a submission to its team's count.
func (b *burstLimiter) countSubmission(spec *storage.JobSpec) {
	rate := mapentry.GetOrNew(b.rates, spec.Team)
	rate.decayedCount(b.environment.Now())
	rate.decayingCount++
}

// isLimited reports whether a job's calls are queued as burst calls. That is the case while writes are
// contended, if the job's priority is at most Standard and the decayed count of its team's submissions is at
// least minBurstSubmissions. In addition, either the job has the lowest priority, or other teams submit jobs
// too and the team's fraction of all submissions exceeds burstFraction.
func (b *burstLimiter) isLimited(spec *storage.JobSpec) bool {
	if spec.Priority > int(protocol.Standard) || !b.writesContended() {
		return false
	}
	now := b.environment.Now()
	teamCount, totalCount := 0.0, 0.0
	for _, team := range sortedmap.Keys(b.rates) {
		count := b.rates[team].decayedCount(now)
		totalCount += count
		if team == spec.Team {
			teamCount = count
		}
	}
	if teamCount < minBurstSubmissions {
		return false
	}
	othersSubmit := teamCount < totalCount-1
	return spec.Priority == int(protocol.BestEffort) || othersSubmit && teamCount > burstFraction*totalCount
}

// writesContended reports whether the write rate is too low for all pending writes: user calls or burst
// calls are waiting, or shard updates or job results have waited longer than momentary load explains.
func (b *burstLimiter) writesContended() bool {
	now := b.environment.Now()
	return b.service.UserCallsWaiting() ||
		b.service.OldestWait(ratelimit.PriorityShardUpdate, now) > contendedQueueAge ||
		b.service.OldestWait(ratelimit.PriorityJobResult, now) > contendedQueueAge ||
		b.service.QueuedCalls(ratelimit.PriorityBurst) > 0
}

// priorityClass returns the priority class for calls that change a job's records.
func (b *burstLimiter) priorityClass(
	spec *storage.JobSpec,
	defaultClass ratelimit.Priority,
) ratelimit.Priority {
	if b.isLimited(spec) {
		return ratelimit.PriorityBurst
	}
	return defaultClass
}
