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

// Each small job costs as many writes as a large one. A team that submits them as fast as it can would take
// most of the writes, and the other teams' jobs would be neither accepted nor placed. So the calls of such a
// burst are queued last, in a class of their own, and it is the burst that is rejected under overload.
const (
	// submissionRateWindow is the time in which a counted submission decays to about a third.
	submissionRateWindow = 10 * monotime.Second
	// minBurstSubmissions is the count from which a team's submissions may be a burst.
	minBurstSubmissions = 8
	// burstFraction is the part of all teams' submissions above which they are one.
	burstFraction = 0.6
	// contendedQueueAge is how long writes wait when there are too few for all.
	contendedQueueAge = 1200 * monotime.Millisecond
)

// submissionRate counts a team's submissions, older ones less.
type submissionRate struct {
	decayingCount float64
	updatedAt     monotime.Micros
}

// decayedCount returns the count of this moment.
func (r *submissionRate) decayedCount(now monotime.Micros) float64 {
	if now > r.updatedAt {
		r.decayingCount *= math.Exp(-(now - r.updatedAt).Seconds() / submissionRateWindow.Seconds())
		r.updatedAt = now
	}
	return r.decayingCount
}

// burstLimiter finds the submissions that must not crowd out those of other teams.
type burstLimiter struct {
	environment Environment
	service     StateService
	rates       map[string]*submissionRate // by team
}

// newBurstLimiter makes a limiter without any submission counted.
func newBurstLimiter(environment Environment, service StateService) burstLimiter {
	return burstLimiter{environment: environment, service: service, rates: map[string]*submissionRate{}}
}

// countSubmission counts a submission for its team.
func (b *burstLimiter) countSubmission(spec *storage.JobSpec) {
	rate := mapentry.GetOrNew(b.rates, spec.Team)
	rate.decayedCount(b.environment.Now())
	rate.decayingCount++
}

// isLimited reports that a job goes after the others while writes are short: one of many that its team
// submitted lately, and either of the lowest priority or while other teams submit too.
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

// writesContended reports that writes are short: users' calls wait, or those of shards and of results have
// waited for longer than a moment's load explains.
func (b *burstLimiter) writesContended() bool {
	now := b.environment.Now()
	return b.service.UserCallsWaiting() ||
		b.service.OldestWait(ratelimit.PriorityShardUpdate, now) > contendedQueueAge ||
		b.service.OldestWait(ratelimit.PriorityJobResult, now) > contendedQueueAge ||
		b.service.QueuedCalls(ratelimit.PriorityBurst) > 0
}

// priorityClass is the class for changes of a job's records.
func (b *burstLimiter) priorityClass(
	spec *storage.JobSpec,
	defaultClass ratelimit.Priority,
) ratelimit.Priority {
	if b.isLimited(spec) {
		return ratelimit.PriorityBurst
	}
	return defaultClass
}
