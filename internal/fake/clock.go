package fake

import (
	"container/heap"
	"math/rand/v2"

	"pipitgap/internal/monotime"
)

// SimClock is a simulated clock. It runs scheduled events in order of their time; events of the same time run
// in the order in which they were scheduled.
type SimClock struct {
	now   monotime.Micros
	seq   uint64
	queue eventHeap
	Rand  *rand.Rand
}

type event struct {
	at       monotime.Micros
	seq      uint64
	callback func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }

func (e eventHeap) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].seq < e[b].seq
}

func (e eventHeap) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// conditionPollInterval is the simulated time between two evaluations of a condition by RunUntil and
// AfterCondition.
const conditionPollInterval = 50 * monotime.Millisecond

// NewSimClock returns a clock at time zero whose random source uses the given seed.
func NewSimClock(seed uint64) *SimClock { return &SimClock{Rand: rand.New(rand.NewPCG(seed, 7))} }

// Now returns the simulated time.
func (s *SimClock) Now() monotime.Micros { return s.now }

// After schedules a call of f after d. A negative d counts as 0.
func (s *SimClock) After(d monotime.Micros, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + max(d, 0), s.seq, f})
}

// Run advances the clock by d and runs the events that are due on the way, including those that they
// schedule.
func (s *SimClock) Run(d monotime.Micros) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.callback()
	}
	s.now = end
}

// RunUntil runs events until ok returns true or d has passed, and returns the last result of ok. It evaluates
// ok every conditionPollInterval.
func (s *SimClock) RunUntil(d monotime.Micros, ok func() bool) bool {
	for end := s.now + d; s.now < end; s.Run(conditionPollInterval) {
		if ok() {
			return true
		}
	}
	return ok()
}

// AfterCondition calls f once ok returns true. It evaluates ok now and then every conditionPollInterval, and
// gives up without calling f after d. Unlike RunUntil it may be called from an event.
func (s *SimClock) AfterCondition(ok func() bool, d monotime.Micros, f func()) {
	if ok() {
		f()
		return
	}
	if d > conditionPollInterval {
		s.After(conditionPollInterval, func() { s.AfterCondition(ok, d-conditionPollInterval, f) })
	}
}
