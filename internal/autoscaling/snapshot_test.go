package autoscaling

import (
	"maps"
	"slices"
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// second is one second in microseconds, the time unit of the records.
const second = int64(1e6)

// testTypes returns a catalog with one machine type, which boots in 10 s.
func testTypes() map[string]protocol.MachineType {
	return map[string]protocol.MachineType{"m8": {
		Name: "m8", CPUs: 8, MemoryGB: 64, OnDemandPrice: 1, SpotPrice: 0.4, BootS: 10, Zones: []string{"a", "b"},
	}}
}

// addRequest adds a scale-out request for m8 in zone a to the records.
func addRequest(records *mirror.Mirror, name string, record storage.ScaleOutRequest) {
	record.MachineType, record.Zone = "m8", "a"
	records.ScaleOuts[name] = &mirror.ScaleOutEntry{Record: record, Version: 1}
}

// TestRequestedBins checks how many machines of an open request count as supply: all of them until the cloud
// answers, then those that aren't up yet, and none after 1.5 times the overdue time. A factor of 0 means that
// machines never become overdue.
func TestRequestedBins(t *testing.T) {
	provisioning := storage.ScaleOutRequest{
		Phase: storage.ScaleOutProvisioning, Count: 3, Machines: []string{"i-up", "i-removed", "i-missing"},
	}
	for _, tc := range []struct {
		name        string
		record      storage.ScaleOutRequest
		age         int64
		factor      float64
		want        int
		wantOverdue bool
	}{
		{"pending", storage.ScaleOutRequest{Phase: storage.ScaleOutPending, Count: 2}, 99 * second, 1, 2, false},
		{"no capacity", storage.ScaleOutRequest{Phase: storage.ScaleOutNoCapacity, Count: 2}, 0, 1, 0, false},
		{"booting", provisioning, 10 * second, 1, 1, false},
		{"overdue", provisioning, 11 * second, 1, 1, true},
		{"long overdue", provisioning, 16 * second, 1, 0, false},
		{"never overdue", provisioning, 99 * second, 0, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			records := mirror.New()
			records.Machines["i-up"] = &mirror.Machine{ID: "i-up", Record: &storage.ShardMachine{}}
			records.ScaleInOfMachine["i-removed"] = "d"
			addRequest(records, "r", tc.record)
			snapshot := &Snapshot{
				Records: records, MachineTypes: testTypes(), WallClock: tc.age, OverdueBootFactor: tc.factor,
			}
			bins := snapshot.Bins()
			if len(bins) != tc.want {
				t.Fatalf("got %d bins, want %d", len(bins), tc.want)
			}
			for _, bin := range bins {
				if bin.Overdue != tc.wantOverdue || bin.Free != bin.Capacity || bin.MachineID != "" {
					t.Errorf("got bin %+v, want overdue %v, all capacity free, no machine ID", bin, tc.wantOverdue)
				}
			}
		})
	}
}

// TestOffers checks that every offer with a price is listed, except offers that are quarantined or that the
// caller excludes, and that each states the number of machines in its zone.
func TestOffers(t *testing.T) {
	records := mirror.New()
	addRequest(records, "quarantined", storage.ScaleOutRequest{Phase: storage.ScaleOutNoCapacity, Count: 5})
	addRequest(records, "pending", storage.ScaleOutRequest{Phase: storage.ScaleOutPending, Count: 2})
	types := testTypes()
	types["no spot"] = protocol.MachineType{Name: "no spot", CPUs: 8, OnDemandPrice: 1, Zones: []string{"b"}}
	snapshot := &Snapshot{Records: records, MachineTypes: types}
	got := map[Offer]int{}
	for _, offer := range snapshot.Offers(func(o Offer) bool { return o == Offer{"m8", "b", true} }) {
		got[offer.Offer] = offer.ZoneMachines
	}
	want := map[Offer]int{{"m8", "a", true}: 2, {"m8", "b", false}: 0, {"no spot", "b", false}: 0}
	if !maps.Equal(got, want) {
		t.Errorf("got machines by zone of offers %v, want %v", got, want)
	}
}

// TestScaleOutsInTwoSteps checks that spot tasks get on-demand machines only if no spot machine is offered,
// and that spot-only tasks never do.
func TestScaleOutsInTwoSteps(t *testing.T) {
	offers := func(spot ...bool) (out []*PricedOffer) {
		for _, s := range spot {
			out = append(
				out,
				&PricedOffer{Offer: Offer{"m8", "a", s}, Capacity: newBin("a", s, 8).Capacity, Price: 1},
			)
		}
		return out
	}
	spotOnly := newDemand(8, 2, true, false)
	spotOnly.SpotOnly = true
	for _, tc := range []struct {
		name   string
		demand *Demand
		offers []*PricedOffer
		want   []ScaleOut
	}{
		{"spot tasks", newDemand(8, 2, true, false), offers(false, true), []ScaleOut{{Offer{"m8", "a", true}, 2}}},
		{"no spot offer", newDemand(8, 2, true, false), offers(false), []ScaleOut{{Offer{"m8", "a", false}, 2}}},
		{"no spot offer, spot only", spotOnly, offers(false), nil},
		{
			"on-demand tasks",
			newDemand(8, 2, false, true),
			offers(false, true),
			[]ScaleOut{{Offer{"m8", "a", false}, 2}},
		},
	} {
		plan := &Plan{Waiting: []*Demand{tc.demand}, MachineTypes: testTypes()}
		if got := plan.ScaleOuts(plan.PlaceDemand(), tc.offers); !slices.Equal(got, tc.want) {
			t.Errorf("%s: got scale-outs %v, want %v", tc.name, got, tc.want)
		}
	}
}
