package daemon

import (
	"container/heap"

	"pipitgap/internal/micros"
)

// timerHeap holds the core's timers on the core's own goroutine, so that one
// runtime timer serves them all.
type timerHeap struct {
	items timerItems
	seq   uint64
}

type timerItem struct {
	at  micros.T
	seq uint64
	f   func()
}

type timerItems []timerItem

func (t timerItems) Len() int { return len(t) }
func (t timerItems) Less(a, b int) bool {
	if t[a].at != t[b].at {
		return t[a].at < t[b].at
	}
	return t[a].seq < t[b].seq
}
func (t timerItems) Swap(a, b int) { t[a], t[b] = t[b], t[a] }
func (t *timerItems) Push(x any)   { *t = append(*t, x.(timerItem)) }
func (t *timerItems) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timerItem{}
	*t = old[:len(old)-1]
	return x
}

func (h *timerHeap) add(at micros.T, f func()) {
	h.seq++
	heap.Push(&h.items, timerItem{at, h.seq, f})
}

// wait tells how long until the next timer is due.
func (h *timerHeap) wait(now micros.T) micros.T {
	if len(h.items) == 0 {
		return micros.Minute
	}
	return max(0, h.items[0].at-now)
}

// run runs what is due now. What that adds runs the next time, even if it is due:
// a timer that sets itself anew for now must not keep the mailbox waiting.
func (h *timerHeap) run(now micros.T) {
	var due []func()
	for len(h.items) > 0 && h.items[0].at <= now {
		due = append(due, heap.Pop(&h.items).(timerItem).f)
	}
	for _, f := range due {
		f()
	}
}
