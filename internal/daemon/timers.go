package daemon

import (
	"container/heap"

	"pipitgap/internal/monotime"
)

// timerHeap holds the controller's timers on its own goroutine, so that one runtime timer serves them all.
// Timers that are due at the same time run in the order in which they were set.
type timerHeap struct {
	items timerItems
	seq   uint64
}

// timerItem is a timer; seq orders those that are due at the same time.
type timerItem struct {
	due      monotime.Micros
	seq      uint64
	callback func()
}

// timerItems is the heap of the timers, see heap.Interface.
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

// Pop takes off the last item and clears its place, so that the callback can be collected.
func (t *timerItems) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timerItem{}
	*t = old[:len(old)-1]
	return x
}

// schedule sets a timer.
func (h *timerHeap) schedule(at monotime.Micros, f func()) {
	h.seq++
	heap.Push(&h.items, timerItem{at, h.seq, f})
}

// idleWait is how long the loop waits without any timer.
const idleWait = monotime.Minute

// untilNext returns how long until the next timer is due.
func (h *timerHeap) untilNext(now monotime.Micros) monotime.Micros {
	if len(h.items) == 0 {
		return idleWait
	}
	return max(0, h.items[0].due-now)
}

// runDue runs what is due now. What that adds runs the next time, even if it is due:
// a timer that sets itself anew for now must not keep the mailbox waiting.
func (h *timerHeap) runDue(now monotime.Micros) {
	var due []func()
	for len(h.items) > 0 && h.items[0].due <= now {
		due = append(due, heap.Pop(&h.items).(timerItem).callback)
	}
	for _, f := range due {
		f()
	}
}
