package scheduling

import (
	"sort"

	"pipitgap/internal/storage"
)

// minTasksPerRange is the minimum number of tasks that a partition gets when tasks without room are divided
// among several partitions. The minimum limits the number of records, since each partition with tasks of a
// job holds a record of the job.
const minTasksPerRange = 24

// PartitionRoom is a partition's room for tasks of a job.
type PartitionRoom struct {
	Partition string
	Tasks     int // tasks that fit minus those that already wait there; negative if more wait than fit
}

// SortByRoom sorts partitions by room, largest first. Partitions without room come last, those with the
// fewest excess waiting tasks first.
func SortByRoom(rooms []PartitionRoom) {
	sort.SliceStable(rooms, func(a, b int) bool { return rooms[a].Tasks > rooms[b].Tasks })
}

// DivideTasks divides a job's tasks among partitions in the given order. Each partition gets the tasks that
// it has room for. The first partitions get the remaining tasks in equal parts of at least minTasksPerRange.
// This spreads a job that is too large for any partition over all of them.
func DivideTasks(tasks int, rooms []PartitionRoom) []storage.TaskRange {
	sizes := make([]int, len(rooms))
	unplaced := tasks
	for i, room := range rooms {
		sizes[i] = min(unplaced, max(0, room.Tasks))
		unplaced -= sizes[i]
	}
	recipients := min(len(rooms), max(1, unplaced/minTasksPerRange))
	for i := range recipients {
		recipientsLeft := recipients - i
		overflow := (unplaced + recipientsLeft - 1) / recipientsLeft
		sizes[i] += overflow
		unplaced -= overflow
	}
	var ranges []storage.TaskRange
	first := 0
	for i, size := range sizes {
		if size > 0 {
			ranges = append(
				ranges,
				storage.TaskRange{First: first, End: first + size, Partition: rooms[i].Partition},
			)
			first += size
		}
	}
	return ranges
}

// Tail is the last part of a task range.
type Tail struct {
	First   int // index of the first task
	Waiting int // number of waiting tasks in the tail
}

// WaitingTail returns the shortest tail of a range that contains the given number of waiting tasks, or the
// whole range if it contains fewer. A task is waiting if its state is zero.
func WaitingTail(taskRange storage.TaskRange, taskStates []uint8, tasks int) Tail {
	tail := Tail{First: taskRange.End}
	for tail.First > taskRange.First && tail.Waiting < tasks {
		tail.First--
		if taskStates[tail.First] == 0 {
			tail.Waiting++
		}
	}
	return tail
}
