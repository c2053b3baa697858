// Package fake holds stand-ins for the state service, the cloud and the
// workers, written from the protocol, under a simulated clock. Tests drive the
// coordination with them; nothing here is part of the service.
package fake

import (
	"container/heap"
	"math/rand/v2"

	"pipitgap/internal/monotime"
)

// SimClock is a simulated clock with events in order of time, then of their making.
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
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// NewSimClock starts a clock with seeded randomness.
func NewSimClock(seed uint64) *SimClock { return &SimClock{Rand: rand.New(rand.NewPCG(seed, 7))} }

// Now reads the clock.
func (s *SimClock) Now() monotime.Micros { return s.now }

// After has f called d later.
func (s *SimClock) After(d monotime.Micros, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + max(d, 0), s.seq, f})
}

// Run plays the events of the next d.
func (s *SimClock) Run(d monotime.Micros) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.callback()
	}
	s.now = end
}

// RunUntil plays events until ok or until d has passed, and tells which.
func (s *SimClock) RunUntil(d monotime.Micros, ok func() bool) bool {
	for end := s.now + d; s.now < end; s.Run(50 * monotime.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// AfterCondition has f called as soon as ok holds, or not at all if that takes longer than d. Unlike
// RunUntil it may be called from an event.
func (s *SimClock) AfterCondition(ok func() bool, d monotime.Micros, f func()) {
	const look = 50 * monotime.Millisecond
	if ok() {
		f()
		return
	}
	if d > look {
		s.After(look, func() { s.AfterCondition(ok, d-look, f) })
	}
}
