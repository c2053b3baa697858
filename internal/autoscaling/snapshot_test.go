package autoscaling

import (
	"maps"
	"slices"
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// second in the records' microseconds.
const second = int64(1e6)

// testTypes is a catalog with one type that boots in 10 s.
func testTypes() map[string]protocol.MachineType {
	return map[string]protocol.MachineType{"m8": {
		Name: "m8", CPUs: 8, MemoryGB: 64, OnDemandPrice: 1, SpotPrice: 0.4, BootS: 10, Zones: []string{"a", "b"},
	}}
}

// addRequest puts a scale-out request for m8 in zone a into the records.
func addRequest(records *mirror.Mirror, name string, record storage.ScaleOutRequest) {
	record.MachineType, record.Zone = "m8", "a"
	records.ScaleOuts[name] = &mirror.ScaleOutEntry{Record: record, Version: 1}
}

// TestRequestedBins: what an open request counts for as supply: all of it until the cloud has answered, then
// the machines that are missing, until they are long overdue.
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
		{"overdue machines count", provisioning, 99 * second, 0, 1, false},
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
				t.Fatalf("%d bins, want %d", len(bins), tc.want)
			}
			for _, bin := range bins {
				if bin.Overdue != tc.wantOverdue || bin.Free != bin.Capacity || bin.MachineID != "" {
					t.Errorf("%+v", bin)
				}
			}
		})
	}
}

// TestOffers: what the cloud has at a price, but for quarantined offers and those that the caller excludes.
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
		t.Errorf("%v, want %v", got, want)
	}
}

// TestScaleOutsInTwoSteps: spot tasks get spot machines first; on-demand machines follow only where spot ones
// can't be had, unless the job is for spot machines only.
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
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
