package scheduling

import (
	"sort"

	"pipitgap/internal/storage"
)

// minTasksPerRange is how many of the tasks without room a partition gets at least: each partition that has
// some of a job holds a record of it.
const minTasksPerRange = 24

// PartitionRoom is how many tasks of a job a partition has room for, less what already waits there; negative
// where more waits than there is room for.
type PartitionRoom struct {
	Partition string
	Tasks     int
}

// SortByRoom puts the partition with the most room first, or the least burdened where none has any.
func SortByRoom(rooms []PartitionRoom) {
	sort.SliceStable(rooms, func(a, b int) bool { return rooms[a].Tasks > rooms[b].Tasks })
}

// DivideTasks divides a job's tasks among partitions in their order: to each what it has room for, and the
// rest evenly to the first ones. A job too large for any partition is so spread over all of them.
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

// Tail is the end of a task range.
type Tail struct {
	First   int // index of its first task
	Waiting int // tasks in it that wait
}

// WaitingTail is the shortest tail of a range with so many waiting tasks, or the whole range if there are
// fewer. A task waits whose state is zero.
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
