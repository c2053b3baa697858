package daemon

import (
	"container/heap"

	"pipitgap/internal/monotime"
)

// timerHeap is the priority queue of the controller's timers, ordered by due time. Only the controller's
// goroutine uses it, so that one runtime timer is enough for all of them. Timers with the same due time run
// in the order in which they were scheduled.
type timerHeap struct {
	items timerItems
	seq   uint64 // sequence number of the last scheduled timer
}

// timerItem is a timer. seq orders the timers with the same due time.
type timerItem struct {
	due      monotime.Micros
	seq      uint64
	callback func()
}

// timerItems implements heap.Interface.
type timerItems []timerItem

func (t timerItems) Len() int { return len(t) }
func (t timerItems) Less(a, b int) bool {
	if t[a].due != t[b].due {
		return t[a].due < t[b].due
	}
	return t[a].seq < t[b].seq
}
func (t timerItems) Swap(a, b int) { t[a], t[b] = t[b], t[a] }
func (t *timerItems) Push(x any)   { *t = append(*t, x.(timerItem)) }

// Pop removes the last item. It clears the item's slot so that the callback can be garbage collected.
func (t *timerItems) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timerItem{}
	*t = old[:len(old)-1]
	return x
}

// schedule adds a timer that calls f at the given time.
func (h *timerHeap) schedule(at monotime.Micros, f func()) {
	h.seq++
	heap.Push(&h.items, timerItem{at, h.seq, f})
}

// idleWait is how long the loop waits if there is no timer.
const idleWait = monotime.Minute

// untilNext returns the time until the next timer is due, or idleWait if there is no timer.
func (h *timerHeap) untilNext(now monotime.Micros) monotime.Micros {
	if len(h.items) == 0 {
		return idleWait
	}
	return max(0, h.items[0].due-now)
}

// runDue runs the timers that are due. A timer that one of them adds runs on the next call at the earliest,
// even if it is already due, so that a timer that reschedules itself without a delay can't starve the
// mailbox.
func (h *timerHeap) runDue(now monotime.Micros) {
	var due []func()
	for len(h.items) > 0 && h.items[0].due <= now {
		due = append(due, heap.Pop(&h.items).(timerItem).callback)
	}
	for _, f := range due {
		f()
	}
}
