package fake

import (
	"container/heap"
	"math/rand/v2"

	"pipitgap/internal/monotime"
)

// SimClock is a simulated clock that runs scheduled events in order of their time, then of their scheduling.
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

// conditionPollInterval is how often RunUntil and AfterCondition evaluate their condition.
const conditionPollInterval = 50 * monotime.Millisecond

// NewSimClock starts a clock at zero with a seeded random source.
func NewSimClock(seed uint64) *SimClock { return &SimClock{Rand: rand.New(rand.NewPCG(seed, 7))} }

// Now is the simulated time.
func (s *SimClock) Now() monotime.Micros { return s.now }

// After schedules f to be called d later.
func (s *SimClock) After(d monotime.Micros, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + max(d, 0), s.seq, f})
}

// Run runs the events of the next d.
func (s *SimClock) Run(d monotime.Micros) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.callback()
	}
	s.now = end
}

// RunUntil runs events until ok holds, or until d has passed, and tells whether ok holds. It looks every
// conditionPollInterval.
func (s *SimClock) RunUntil(d monotime.Micros, ok func() bool) bool {
	for end := s.now + d; s.now < end; s.Run(conditionPollInterval) {
		if ok() {
			return true
		}
	}
	return ok()
}

// AfterCondition schedules f to be called as soon as ok holds, or not at all if that takes longer than d.
// Unlike RunUntil it may be called from an event.
func (s *SimClock) AfterCondition(ok func() bool, d monotime.Micros, f func()) {
	if ok() {
		f()
		return
	}
	if d > conditionPollInterval {
		s.After(conditionPollInterval, func() { s.AfterCondition(ok, d-conditionPollInterval, f) })
	}
}
