package mirror

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// TaskID identifies a task.
type TaskID struct {
	Job   string // job id
	Index int    // task index, from 0
}

// String returns the form that messages to workers use: the job id, a slash and the task index.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskID parses the form that String returns; ok is false for any other text.
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

// SortedTaskIDs returns the tasks of a machine's attempts in the order of Compare.
func SortedTaskIDs(attempts map[TaskID]uint64) []TaskID {
	return slices.SortedFunc(maps.Keys(attempts), TaskID.Compare)
}

// Compare orders tasks by job id, then by index. The result is negative if t sorts before other, 0 if they
// are equal and positive otherwise.
func (t TaskID) Compare(other TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, other.Job), cmp.Compare(t.Index, other.Index))
}
