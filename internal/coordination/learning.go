package coordination

import (
	"math"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/config"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// noteExit learns from how an attempt ended.
func (c *Core) noteExit(m *machine, j *job, ref taskRef, t *protocol.TaskReport) {
	w := m.w
	if w.settled(attemptKey{ref, t.Attempt}) {
		return
	}
	switch t.Cause {
	case protocol.CauseDone:
		if at, ok := w.since[attemptKey{ref, t.Attempt}]; ok && !j.rec.Spec.Service {
			w.measure((c.now() - at).Seconds(), c.expected(&j.rec.Spec))
			c.learn(&j.rec.Spec, (c.now() - at).Seconds())
		}
		clear(w.failures)
		if js := c.jobState[j.id]; js != nil {
			js.fails, js.step, js.retryAt = 0, 0, 0
			clear(js.failedOn)
		}
	case protocol.CauseError:
		c.stats.failed++
		c.noteFailure(m, j)
		c.log.Debug("task failed", "task", ref.String(), "attempt", t.Attempt, "machine", m.id)
	case protocol.CauseUnknown, protocol.CauseFull, protocol.CauseBusy:
		js := c.jobNotes(j.id)
		js.until = max(js.until, c.now()+500*micros.Millisecond)
		c.log.Debug("task start refused", "task", ref.String(), "attempt", t.Attempt,
			"machine", m.id, "reason", t.Cause)
	}
}

// learn follows how far the owners' estimates of a class are off just now: on
// some days they are mostly too high or mostly too low.
func (c *Core) learn(s *bookkeeping.Spec, ran float64) {
	if s.EstimateS <= 0 || ran <= 0 {
		return
	}
	const weight = 0.05
	c.bias[s.Class] += weight * (math.Log(ran/s.EstimateS) - c.bias[s.Class])
}

// expected is a task's estimate, corrected by what was learned.
func (c *Core) expected(s *bookkeeping.Spec) float64 {
	return s.EstimateS * math.Exp(min(max(c.bias[s.Class], -1), 1))
}

// jobState is what a controller notes about a job beside the store.
type jobState struct {
	fails      int             // machines of ours that it has failed on, with nothing completed since
	failedOn   map[string]bool // those that it isn't tried on again
	failedAt   micros.T
	retryAt    micros.T // if it fails everywhere: its next try
	step       micros.T // the pause before that
	askedAt    micros.T // when it was last demand, for a try, see mayAsk
	until      micros.T // not to be placed before
	most       int      // tasks that it had begun when it last got on
	due        int      // tasks that it is to have begun before it is starved no more
	movedAt    micros.T // when that was
	sharedAt   micros.T // when its record last changed: who is to place its tasks
	handedAt   micros.T // when its tasks were last handed to another partition
	overAt     micros.T // when its answer was seen; 0: before we looked
	taken      int      // tasks that we have just taken over from other partitions
	takenUntil micros.T
}

func (c *Core) jobNotes(id string) *jobState {
	s := c.jobState[id]
	if s == nil {
		s = &jobState{failedOn: map[string]bool{}}
		c.jobState[id] = s
	}
	return s
}

// pause backs a job that fails everywhere off, longer each time.
func (s *jobState) pause(now micros.T, set config.Settings) {
	if s.step == 0 {
		s.step = set.BackoffFirst.T()
	} else {
		s.step = min(2*s.step, set.BackoffMost.T())
	}
	s.retryAt = now + s.step
}

// measure follows how fast the machine is. Single estimates are wrong by half
// or more; a smoothed ratio of several tasks is not.
func (w *worker) measure(ran, expected float64) {
	if ran <= 0 || expected <= 0 {
		return
	}
	w.samples++
	w.drag += (math.Log(ran/expected) - w.drag) / float64(min(w.samples, 8))
}
