package coordination

import (
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// TestScaleInDelayByPrice: how long an empty machine is kept for the next burst: a dear one less
// long than a cheap one of the same type.
func TestScaleInDelayByPrice(t *testing.T) {
	core := newCluster(t, 12).startWithLeader().nodes["n-0"].controller
	core.settings.ScaleDownDelay = config.Duration(20 * second)
	core.catalog = fixedCatalog(map[string]protocol.MachineType{
		"both":    {Name: "both", CPUs: 8, OnDemandPrice: 1, SpotPrice: 0.25},
		"no spot": {Name: "no spot", CPUs: 8, OnDemandPrice: 1},
		"no gain": {Name: "no gain", CPUs: 8, OnDemandPrice: 1, SpotPrice: 1.5},
	})
	for _, tc := range []struct {
		typ  string
		spot bool
		want monotime.Micros
	}{
		{"both", true, 20 * second}, {"both", false, 5 * second}, {"no spot", false, 20 * second},
		{"no gain", false, 20 * second}, {"no gain", true, 20 * second}, {"unknown", false, 20 * second},
	} {
		if got := core.emptyMachines.scaleInDelay(&storage.ShardMachine{Type: tc.typ, Spot: tc.spot}); got != tc.want {
			t.Errorf("%s, spot %v: %v s", tc.typ, tc.spot, got.Seconds())
		}
	}
}
