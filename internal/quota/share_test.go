package quota

import (
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

func cpus(amount float64) resources.Vector { return resources.Vector{CPUs: amount} }

// sharesEqual reports whether two shares are equal within the rounding tolerance.
func sharesEqual(a, b storage.QuotaShare) bool {
	within := func(x, y float64) bool { return x-y < resources.Tolerance && y-x < resources.Tolerance }
	return within(a.CPUs, b.CPUs) && within(a.GPUs, b.GPUs)
}

// TestDecideShare checks the new share of one of five controllers. The team's limit is 100 CPUs; the
// controller's current share is 20 CPUs, of which it uses 10.
func TestDecideShare(t *testing.T) {
	shortage := func(perTask, total float64, room bool) *Shortage {
		return &Shortage{PerTask: cpus(perTask), Total: cpus(total), HasMachineRoom: room}
	}
	cases := []struct {
		name         string
		unallocated  float64
		shortage     *Shortage
		peerShortage bool
		unreachable  bool
		want         float64
		shortOfQuota bool
	}{
		{"no shortage, much is unallocated: share is unchanged", 16, nil, false, false, 20, false},
		{
			"no shortage, little is unallocated: share is lowered to usage plus margin",
			15, nil, false, false, 14, false,
		},
		{
			"shortage: share grows by the whole shortage plus a tenth of the remaining unallocated CPUs",
			30,
			shortage(1, 10, true),
			false,
			false,
			32,
			false,
		},
		{
			"shortage larger than the unallocated CPUs: share grows by all of them",
			4, shortage(1, 10, true), false, false, 24, false,
		},
		{"shortage without room on machines", 30, shortage(1, 10, false), false, false, 32, false},
		{
			"unallocated CPUs too few for one task: share is lowered to usage",
			3,
			shortage(4, 10, true),
			false,
			false,
			10,
			true,
		},
		{
			"unallocated CPUs too few for one task, no room on machines",
			3, shortage(4, 10, false), false, false, 10, false,
		},
		{"unallocated CPUs exactly enough for one task", 4, shortage(4, 4, true), false, false, 24, false},
		{"a peer reports a shortage: share is lowered to usage", 16, nil, true, false, 10, false},
		{
			"a peer reports a shortage, this controller has one without room on machines",
			30, shortage(1, 10, false), true, false, 10, false,
		},
		{
			"a peer reports a shortage, this controller has one with room on machines",
			30, shortage(1, 10, true), true, false, 32, false,
		},
		{"workers are unreachable", 30, shortage(1, 10, true), false, true, 10, false},
		{
			"workers are unreachable, unallocated CPUs too few for one task",
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
				PeerShortage:       c.peerShortage,
				WorkersUnreachable: c.unreachable,
				Controllers:        5,
			})
			if want := (storage.QuotaShare{CPUs: c.want}); !sharesEqual(got.Share, want) ||
				got.ShortOfQuota != c.shortOfQuota {
				t.Errorf("got %+v, want %v CPUs and ShortOfQuota %v", got, c.want, c.shortOfQuota)
			}
		})
	}
}

// TestDecideShareKeepsSmallSurplus checks that a share is lowered only if it exceeds the usage by more than
// twice the margin.
func TestDecideShareKeepsSmallSurplus(t *testing.T) {
	in := ShareInputs{Limits: Limits{MaxCPUs: 100}, Use: cpus(10), Controllers: 5} // the margin is 4 CPUs
	for _, c := range []struct{ current, want float64 }{{10, 10}, {14, 14}, {18, 18}, {18.1, 14}, {4, 4}} {
		in.Current = storage.QuotaShare{CPUs: c.current}
		if got := DecideShare(in).Share; !sharesEqual(got, storage.QuotaShare{CPUs: c.want}) {
			t.Errorf("current share of %v CPUs: got new share of %v CPUs, want %v", c.current, got.CPUs, c.want)
		}
	}
}

// TestDecideShareTreatsResourcesSeparately checks that a share grows in each limited resource independently
// and never in a resource without a limit.
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

// TestAddDemand checks that AddDemand sums the demand of all tasks, keeps the smallest shortfall of a single
// task and doesn't modify the previous shortage.
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
			t.Errorf("step %d: AddDemand returned the previous shortage, want a copy", i)
		}
	}
}

// TestMoveShares checks that the shares of limited teams move by what the tasks use, that no share becomes
// negative, and that the shares of teams without a limit don't change.
func TestMoveShares(t *testing.T) {
	from := storage.Partition{
		QuotaShares: map[string]storage.QuotaShare{"a": {CPUs: 10, GPUs: 1}, "b": {CPUs: 2}},
	}
	to := storage.Partition{QuotaShares: map[string]storage.QuotaShare{"a": {CPUs: 3}}}
	limited := func(team string) bool { return team != "free" }
	use := map[string]resources.Vector{"a": {CPUs: 4, GPUs: 1}, "b": {CPUs: 3}, "free": {CPUs: 5}}
	if !MoveShares(&from, &to, use, limited) {
		t.Fatal("MoveShares returned false for limited teams, want true")
	}
	for team, want := range map[string][2]storage.QuotaShare{
		"a": {{CPUs: 6}, {CPUs: 7, GPUs: 1}}, "b": {{}, {CPUs: 3}}, "free": {{}, {}},
	} {
		if got := [2]storage.QuotaShare{from.QuotaShares[team], to.QuotaShares[team]}; got != want {
			t.Errorf("team %s: got shares %+v, want %+v", team, got, want)
		}
	}
	if MoveShares(&from, &to, map[string]resources.Vector{"free": {CPUs: 5}}, limited) {
		t.Error("MoveShares returned true for a team without a limit, want false")
	}
}

// TestLimits covers amounts at and just above limits and guarantees, a team without limits and a team that
// isn't configured.
func TestLimits(t *testing.T) {
	teams := []config.Team{{Name: "a", CPUs: 4, CPUsMax: 8, GPUs: 1, GPUsMax: 2}, {Name: "free"}}
	limits, ok := LimitsOf(teams, "a")
	if want := (Limits{GuaranteedCPUs: 4, MaxCPUs: 8, GuaranteedGPUs: 1, MaxGPUs: 2}); !ok || limits != want {
		t.Fatalf("team a: got limits %+v, found %v, want %+v, found true", limits, ok, want)
	}
	free, ok := LimitsOf(teams, "free")
	if !ok || free.Limited() || free.Guaranteed() {
		t.Errorf("team free: got limits %+v, found %v, want no limits or guarantees, found true", free, ok)
	}
	if _, ok := LimitsOf(teams, "unknown"); ok {
		t.Error("LimitsOf found a team that isn't configured")
	}
	if left := free.Remaining(cpus(100)); left != Unlimited() {
		t.Errorf("team without limits: got %+v remaining, want an unlimited amount", left)
	}
	if left := limits.Remaining(resources.Vector{CPUs: 9, GPUs: 2}); left.CPUs != -1 || left.GPUs != 0 {
		t.Errorf("team a: got %+v remaining, want -1 CPUs and 0 GPUs", left)
	}
	for _, c := range []struct {
		cpus, gpus         float64
		permitted, covered bool
	}{
		{4, 1, true, true}, {4.1, 1, true, false}, {4, 1.1, true, false}, {8, 2, true, false},
		{8.1, 2, false, false}, {8, 2.1, false, false},
	} {
		if got := limits.Permits(c.cpus, c.gpus); got != c.permitted {
			t.Errorf("%v CPUs, %v GPUs: got permitted %v, want %v", c.cpus, c.gpus, got, c.permitted)
		}
		if got := limits.GuaranteeCovers(resources.Vector{CPUs: c.cpus, GPUs: c.gpus}); got != c.covered {
			t.Errorf("%v CPUs, %v GPUs: got covered %v, want %v", c.cpus, c.gpus, got, c.covered)
		}
		if !free.Permits(c.cpus, c.gpus) {
			t.Errorf("%v CPUs, %v GPUs: team without limits: got permitted false, want true", c.cpus, c.gpus)
		}
	}
}
