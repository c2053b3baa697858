package storage

import (
	"fmt"
	"strconv"
	"strings"
)

// Interval is the range of task numbers [First, End).
type Interval struct{ First, End int }

// TaskSet is a set of task numbers, represented as ordered intervals that neither overlap nor adjoin.
type TaskSet []Interval

// Count returns the number of tasks in the set.
func (t TaskSet) Count() int {
	n := 0
	for _, interval := range t {
		n += interval.End - interval.First
	}
	return n
}

// Each calls f for every task in ascending order.
func (t TaskSet) Each(f func(int)) {
	for _, interval := range t {
		for i := interval.First; i < interval.End; i++ {
			f(i)
		}
	}
}

// With returns a set that also contains the given task. It does not modify t.
func (t TaskSet) With(task int) TaskSet {
	k := 0
	for k < len(t) && t[k].End < task {
		k++
	}
	if k < len(t) && t[k].First <= task && task < t[k].End {
		return t
	}
	out := make(TaskSet, 0, len(t)+1)
	out = append(out, t[:k]...)
	joined := Interval{task, task + 1}
	if k < len(t) && t[k].End == task {
		joined.First = t[k].First
		k++
	}
	if k < len(t) && t[k].First == joined.End {
		joined.End = t[k].End
		k++
	}
	return append(append(out, joined), t[k:]...)
}

// appendText appends the set's text form to text, for example "0-31,40".
func (t TaskSet) appendText(text []byte) []byte {
	for i, interval := range t {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendInt(text, int64(interval.First), 10)
		if interval.End-interval.First > 1 {
			text = append(text, '-')
			text = strconv.AppendInt(text, int64(interval.End-1), 10)
		}
	}
	return text
}

// parseTaskSet parses the text form of a set. It rejects task numbers of limit or more, because the tasks of
// a malformed record could otherwise exhaust the memory.
func parseTaskSet(text string, limit int) (TaskSet, error) {
	var out TaskSet
	previousLast := -1
	for len(text) > 0 {
		var interval string
		interval, text, _ = strings.Cut(text, ",")
		firstText, lastText, isRange := strings.Cut(interval, "-")
		first, err := strconv.Atoi(firstText)
		end := first
		if err == nil && isRange {
			end, err = strconv.Atoi(lastText)
		}
		if err != nil || first <= previousLast || end < first || end >= limit {
			return nil, fmt.Errorf("tasks %q out of order or bounds", interval)
		}
		previousLast = end
		out = append(out, Interval{first, end + 1})
	}
	return out, nil
}
