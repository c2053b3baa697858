package mirror

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// TaskID names a task.
type TaskID struct {
	Job   string // id
	Index int    // from 0
}

// String returns the form in which messages to workers name a task: the job, a slash and the index.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskID reads the form that String gives; ok is false for anything else.
func ParseTaskID(s string) (TaskID, bool) {
	job, index, ok := strings.Cut(s, "/")
	if !ok {
		return TaskID{}, false
	}
	i, err := strconv.Atoi(index)
	if err != nil || i < 0 {
		return TaskID{}, false
	}
	return TaskID{job, i}, true
}

// SortedTaskIDs returns the tasks of a machine in order.
func SortedTaskIDs(attempts map[TaskID]uint64) []TaskID {
	return slices.SortedFunc(maps.Keys(attempts), TaskID.Compare)
}

// Compare orders tasks by job, then by index: negative if t comes before other, 0 if they are the same.
func (t TaskID) Compare(other TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, other.Job), cmp.Compare(t.Index, other.Index))
}
