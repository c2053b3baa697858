package scheduling

import (
	"slices"
	"testing"

	"pipitgap/internal/storage"
)

func TestDivideTasks(t *testing.T) {
	for _, tc := range []struct {
		name  string
		tasks int
		rooms []PartitionRoom
		want  []storage.TaskRange
	}{
		{"all fit: each partition gets what it has room for",
			10, []PartitionRoom{{"a", 6}, {"b", 5}}, []storage.TaskRange{
				{First: 0, End: 6, Partition: "a"}, {First: 6, End: 10, Partition: "b"},
			}},
		{"none has room: few tasks go to one partition",
			30, []PartitionRoom{{"a", 0}, {"b", -5}}, []storage.TaskRange{
				{First: 0, End: 30, Partition: "a"},
			}},
		{"none has room: many tasks go to all partitions",
			49, []PartitionRoom{{"a", 0}, {"b", -5}}, []storage.TaskRange{
				{First: 0, End: 25, Partition: "a"}, {First: 25, End: 49, Partition: "b"},
			}},
		{"more tasks than room: the first partition gets the remaining tasks",
			20, []PartitionRoom{{"a", 6}, {"b", 4}}, []storage.TaskRange{
				{First: 0, End: 16, Partition: "a"}, {First: 16, End: 20, Partition: "b"},
			}},
		{"a partition without tasks gets no range", 8, []PartitionRoom{{"a", 8}, {"b", 1}}, []storage.TaskRange{
			{First: 0, End: 8, Partition: "a"},
		}},
	} {
		if got := DivideTasks(tc.tasks, tc.rooms); !slices.Equal(got, tc.want) {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestSortByRoom(t *testing.T) {
	rooms := []PartitionRoom{{"a", -3}, {"b", 4}, {"c", 4}, {"d", -1}}
	SortByRoom(rooms)
	if want := []PartitionRoom{{"b", 4}, {"c", 4}, {"d", -1}, {"a", -3}}; !slices.Equal(rooms, want) {
		t.Errorf("got %v, want %v", rooms, want)
	}
}

func TestWaitingTail(t *testing.T) {
	states := []uint8{0, 0, 1, 0, 1, 0, 0}
	for _, tc := range []struct {
		name  string
		tasks int
		want  Tail
	}{
		{"0 tasks wanted", 0, Tail{First: 6}},
		{"1 task wanted", 1, Tail{First: 5, Waiting: 1}},
		{"tail includes a task that isn't waiting", 2, Tail{First: 3, Waiting: 2}},
		{"more tasks wanted than are waiting: whole range", 99, Tail{First: 1, Waiting: 3}},
	} {
		if got := WaitingTail(storage.TaskRange{First: 1, End: 6}, states, tc.tasks); got != tc.want {
			t.Errorf("%s: got %+v, want %+v", tc.name, got, tc.want)
		}
	}
}
