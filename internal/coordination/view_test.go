package coordination

import (
	"fmt"
	"runtime"
	"testing"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/protocol"
)

func (v *View) putJob(id string, tasks int, version uint64) {
	v.put(bookkeeping.Key(bookkeeping.KindOpen, id), protocol.MustMarshal(&bookkeeping.OpenJob{
		Spec:   bookkeeping.Spec{Team: "t", Tasks: tasks, CPUs: 2, MemoryGB: 4, Image: "img", Class: "batch"},
		Status: bookkeeping.Open, Owner: "n-0", Chunk: 32}), version)
}

func rowOn(machine string, tasks int) protocol.Raw {
	r := &bookkeeping.Row{Owner: "n-0", Tasks: make([]bookkeeping.Task, tasks)}
	for i := range r.Tasks {
		r.Tasks[i] = bookkeeping.Task{State: bookkeeping.TaskAssigned, Attempt: 1, Machine: machine}
	}
	return r.Encode()
}

// TestViewOrder: changes in any order, own commits ahead of the watch, rows before
// their job: the sums end up the same, and nothing goes back.
func TestViewOrder(t *testing.T) {
	open, row := bookkeeping.Key(bookkeeping.KindOpen, "j-1"), bookkeeping.RowKey("j-1", 0)
	steps := map[string]func(v *View){
		"job":     func(v *View) { v.putJob("j-1", 4, 5) },
		"row":     func(v *View) { v.put(row, rowOn("i-1", 4), 6) },
		"old row": func(v *View) { v.put(row, rowOn("i-2", 4), 4) },
		"drops":   func(v *View) { v.drop(row, 9, true); v.drop(open, 9, true) },
		"late":    func(v *View) { v.applyEvents([]protocol.Event{{Put: row, Value: rowOn("i-1", 4), Version: 6}}, 8) },
	}
	cases := []struct {
		order []string
		cpus  float64
	}{
		{[]string{"job", "row"}, 8},
		{[]string{"row", "job"}, 8},
		{[]string{"row", "job", "old row"}, 8},
		{[]string{"row", "old row", "job"}, 8},
		{[]string{"job", "row", "row", "job"}, 8},
		{[]string{"job", "row", "drops"}, 0},
		{[]string{"job", "row", "drops", "late"}, 0},
	}
	for _, tc := range cases {
		v := newView(func(string, string) {})
		for _, s := range tc.order {
			steps[s](v)
		}
		machine := 0.0
		if m := v.machines["i-1"]; m != nil {
			machine = m.used.cpus
		}
		if v.teamUse["t"].cpus != tc.cpus || machine != tc.cpus || v.machines["i-2"] != nil {
			t.Errorf("%v: team %v, machine %v", tc.order, v.teamUse["t"], machine)
		}
		if tc.cpus == 0 && len(v.jobs) > 0 && v.jobs["j-1"].version != 0 {
			t.Errorf("%v: a dropped job is back", tc.order)
		}
	}
}

// TestMemory: the most jobs that are taken at once, with their rows, and the
// answers remembered, stay well within the smaller deployment's 98 MB.
func TestMemory(t *testing.T) {
	measure := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := measure()
	v := newView(func(string, string) {})
	for i := 0; i < mostOpenJobs; i++ {
		id := fmt.Sprintf("j-%06d", i)
		v.putJob(id, 64, uint64(3*i+1))
		for c := 0; c < 2; c++ {
			v.put(bookkeeping.RowKey(id, c), rowOn(fmt.Sprintf("i-%06d", i%100), 32), uint64(3*i+2+c))
		}
	}
	for i := 0; i < 200_000; i++ {
		v.finals.add(fmt.Sprintf("j-%09d", i), bookkeeping.Done)
	}
	if used := measure() - before; used > 64<<20 {
		t.Errorf("%d MB", used>>20)
	}
	if n := len(v.finals.m); n > v.finals.most*9/8 || len(v.finals.order) != n {
		t.Errorf("%d answers remembered", n)
	}
	runtime.KeepAlive(v)
}
