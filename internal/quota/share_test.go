package quota

import (
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

func cpus(amount float64) resources.Vector { return resources.Vector{CPUs: amount} }

// sharesEqual tells whether two shares are the same but for the rounding of amounts.
func sharesEqual(a, b storage.QuotaShare) bool {
	within := func(x, y float64) bool { return x-y < resources.Tolerance && y-x < resources.Tolerance }
	return within(a.CPUs, b.CPUs) && within(a.GPUs, b.GPUs)
}

// TestDecideShare: a share of a limit of 100 CPUs, of which this controller has 20 and uses 10, one of five.
func TestDecideShare(t *testing.T) {
	shortage := func(perTask, total float64, room bool) *Shortage {
		return &Shortage{PerTask: cpus(perTask), Total: cpus(total), HasMachineRoom: room}
	}
	cases := []struct {
		name        string
		unallocated float64
		shortage    *Shortage
		peerLacks   bool
		unreachable bool
		want        float64
		lacking     bool
	}{
		{"nothing is short, much is unallocated", 16, nil, false, false, 20, false},
		{"nothing is short, little is unallocated: down to use and margin", 15, nil, false, false, 14, false},
		{
			"a shortage takes it all, and a tenth of what is left then",
			30,
			shortage(1, 10, true),
			false,
			false,
			32,
			false,
		},
		{"a shortage takes no more than there is", 4, shortage(1, 10, true), false, false, 24, false},
		{"a shortage without room on machines", 30, shortage(1, 10, false), false, false, 32, false},
		{
			"not enough for a task: what isn't used is given up",
			3,
			shortage(4, 10, true),
			false,
			false,
			10,
			true,
		},
		{"not enough for a task, nor room on a machine", 3, shortage(4, 10, false), false, false, 10, false},
		{"just enough for a task", 4, shortage(4, 4, true), false, false, 24, false},
		{"a peer lacks some: what isn't used is given up", 16, nil, true, false, 10, false},
		{"a peer lacks some, and this one has no room", 30, shortage(1, 10, false), true, false, 10, false},
		{"a peer lacks some, and this one has room", 30, shortage(1, 10, true), true, false, 32, false},
		{"its workers are unreachable", 30, shortage(1, 10, true), false, true, 10, false},
		{
			"its workers are unreachable and too little is left",
			3,
			shortage(4, 10, true),
			false,
			true,
			10,
			true,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := DecideShare(ShareInputs{
				Limits:             Limits{MaxCPUs: 100},
				Current:            storage.QuotaShare{CPUs: 20},
				Use:                cpus(10),
				Unallocated:        cpus(c.unallocated),
				Shortage:           c.shortage,
				ReportedByPeer:     c.peerLacks,
				WorkersUnreachable: c.unreachable,
				Controllers:        5,
			})
			if want := (storage.QuotaShare{CPUs: c.want}); !sharesEqual(got.Share, want) ||
				got.ShortOfQuota != c.lacking {
				t.Errorf("got %+v, want %v CPUs, lacking %v", got, c.want, c.lacking)
			}
		})
	}
}

// TestDecideShareKeepsSmallSurplus: a share within twice the margin of what is used stays as it is.
func TestDecideShareKeepsSmallSurplus(t *testing.T) {
	in := ShareInputs{Limits: Limits{MaxCPUs: 100}, Use: cpus(10), Controllers: 5} // a margin of 4 CPUs
	for _, c := range []struct{ current, want float64 }{{10, 10}, {14, 14}, {18, 18}, {18.1, 14}, {4, 4}} {
		in.Current = storage.QuotaShare{CPUs: c.current}
		if got := DecideShare(in).Share; !sharesEqual(got, storage.QuotaShare{CPUs: c.want}) {
			t.Errorf("of %v CPUs it keeps %v, want %v", c.current, got.CPUs, c.want)
		}
	}
}

// TestDecideShareTreatsResourcesSeparately: each resource with a limit is raised for itself, one without a limit never.
func TestDecideShareTreatsResourcesSeparately(t *testing.T) {
	got := DecideShare(ShareInputs{
		Limits:      Limits{MaxGPUs: 8},
		Unallocated: Limits{MaxGPUs: 8}.Remaining(resources.Vector{}),
		Shortage:    &Shortage{Total: resources.Vector{CPUs: 16, GPUs: 2}, HasMachineRoom: true},
		Controllers: 1,
	})
	if want := (storage.QuotaShare{GPUs: 5}); !sharesEqual(got.Share, want) {
		t.Errorf("got %+v, want %+v", got.Share, want)
	}
}

// TestAddDemand: a shortage sums what is lacking, and keeps the least that helps a task.
func TestAddDemand(t *testing.T) {
	left := Limits{MaxCPUs: 1}.Remaining(cpus(0)) // one CPU, any number of GPUs
	var shortage *Shortage
	for i, step := range []struct {
		demand UnmetDemand
		want   Shortage
	}{
		{UnmetDemand{cpus(8), 2, left, false}, Shortage{cpus(7), cpus(16), false}},
		{UnmetDemand{cpus(4), 1, left, true}, Shortage{cpus(3), cpus(20), true}},
		{UnmetDemand{cpus(16), 1, left, false}, Shortage{cpus(3), cpus(36), true}},
		{UnmetDemand{resources.Vector{CPUs: 1, GPUs: 4}, 1, left, false},
			Shortage{cpus(0), resources.Vector{CPUs: 37, GPUs: 4}, true}},
	} {
		before := shortage
		shortage = AddDemand(before, step.demand)
		if *shortage != step.want {
			t.Errorf("step %d: got %+v, want %+v", i, *shortage, step.want)
		}
		if before == shortage {
			t.Errorf("step %d: the shortage before is changed", i)
		}
	}
}

// TestMoveShares: shares of teams with a limit follow what is used, none below zero; others stay.
func TestMoveShares(t *testing.T) {
	from := storage.Partition{
		QuotaShares: map[string]storage.QuotaShare{"a": {CPUs: 10, GPUs: 1}, "b": {CPUs: 2}},
	}
	to := storage.Partition{QuotaShares: map[string]storage.QuotaShare{"a": {CPUs: 3}}}
	limited := func(team string) bool { return team != "free" }
	use := map[string]resources.Vector{"a": {CPUs: 4, GPUs: 1}, "b": {CPUs: 3}, "free": {CPUs: 5}}
	if !MoveShares(&from, &to, use, limited) {
		t.Fatal("nothing was moved")
	}
	for team, want := range map[string][2]storage.QuotaShare{
		"a": {{CPUs: 6}, {CPUs: 7, GPUs: 1}}, "b": {{}, {CPUs: 3}}, "free": {{}, {}},
	} {
		if got := [2]storage.QuotaShare{from.QuotaShares[team], to.QuotaShares[team]}; got != want {
			t.Errorf("%s: got %+v, want %+v", team, got, want)
		}
	}
	if MoveShares(&from, &to, map[string]resources.Vector{"free": {CPUs: 5}}, limited) {
		t.Error("a team without a limit was moved")
	}
}

// TestLimits: limits at their bound, guarantees, and teams that aren't configured.
func TestLimits(t *testing.T) {
	teams := []config.Team{{Name: "a", CPUs: 4, CPUsMax: 8, GPUs: 1, GPUsMax: 2}, {Name: "free"}}
	limits, ok := LimitsOf(teams, "a")
	if want := (Limits{GuaranteedCPUs: 4, MaxCPUs: 8, GuaranteedGPUs: 1, MaxGPUs: 2}); !ok || limits != want {
		t.Fatalf("got %+v, %v", limits, ok)
	}
	free, ok := LimitsOf(teams, "free")
	if !ok || free.Limited() || free.Guaranteed() {
		t.Errorf("free: got %+v, %v", free, ok)
	}
	if _, ok := LimitsOf(teams, "unknown"); ok {
		t.Error("a team that isn't configured has limits")
	}
	if left := free.Remaining(cpus(100)); left != Unlimited() {
		t.Errorf("a team without a limit has %+v left", left)
	}
	if left := limits.Remaining(resources.Vector{CPUs: 9, GPUs: 2}); left.CPUs != -1 || left.GPUs != 0 {
		t.Errorf("got %+v left", left)
	}
	for _, c := range []struct {
		cpus, gpus         float64
		permitted, covered bool
	}{
		{4, 1, true, true}, {4.1, 1, true, false}, {4, 1.1, true, false}, {8, 2, true, false},
		{8.1, 2, false, false}, {8, 2.1, false, false},
	} {
		if got := limits.Permits(c.cpus, c.gpus); got != c.permitted {
			t.Errorf("%v CPUs, %v GPUs: permitted %v", c.cpus, c.gpus, got)
		}
		if got := limits.GuaranteeCovers(resources.Vector{CPUs: c.cpus, GPUs: c.gpus}); got != c.covered {
			t.Errorf("%v CPUs, %v GPUs: covered %v", c.cpus, c.gpus, got)
		}
		if !free.Permits(c.cpus, c.gpus) {
			t.Errorf("%v CPUs, %v GPUs: not permitted without a limit", c.cpus, c.gpus)
		}
	}
}
