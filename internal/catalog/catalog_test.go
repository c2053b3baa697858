package catalog

import (
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// testEnvironment keeps the callbacks of pending calls until a test answers them.
type testEnvironment struct {
	now   monotime.Micros
	calls []func(protocol.CloudResult)
}

func (e *testEnvironment) Now() monotime.Micros { return e.now }

func (e *testEnvironment) CallCloud(_ *protocol.CloudCall, callback func(protocol.CloudResult)) {
	e.calls = append(e.calls, callback)
}

// answer answers the oldest pending call.
func (e *testEnvironment) answer(result protocol.CloudResult) {
	callback := e.calls[0]
	e.calls = e.calls[1:]
	callback(result)
}

// TestFetchResult checks the effect of each kind of fetch result on a catalog that has machine types from the
// records. A failed fetch or one without usable types must not replace them.
func TestFetchResult(t *testing.T) {
	usable := protocol.MachineType{Name: "m8", CPUs: 8, OnDemandPrice: 1}
	unnamed, noCPUs, noPrice := usable, usable, usable
	unnamed.Name, noCPUs.CPUs, noPrice.OnDemandPrice = "", 0, 0
	cases := []struct {
		name    string
		result  protocol.CloudResult
		fetched bool
		changed bool
	}{
		{
			"usable and unusable types",
			protocol.CloudResult{Outcome: protocol.OK, Types: []protocol.MachineType{noPrice, usable}},
			true,
			true,
		},
		{"no types", protocol.CloudResult{Outcome: protocol.OK}, false, false},
		{
			"failure",
			protocol.CloudResult{Outcome: protocol.Unavailable, Types: []protocol.MachineType{usable}},
			false,
			false,
		},
		{"only unusable types", protocol.CloudResult{
			Outcome: protocol.OK, Types: []protocol.MachineType{unnamed, noCPUs, noPrice},
		}, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			env := &testEnvironment{now: monotime.Second}
			changes := 0
			c := New(Options{Environment: env, RequestsPerSecond: 5, Changed: func() { changes++ }})
			c.SetStoredTypes(map[string]protocol.MachineType{"old": {Name: "old"}})
			c.Fetch()
			env.answer(tc.result)
			want := "old"
			if tc.changed {
				want = "m8"
			}
			if _, ok := c.MachineTypes()[want]; !ok || len(c.MachineTypes()) != 1 {
				t.Errorf("got types %v, want only %s", c.MachineTypes(), want)
			}
			if c.IsFetched() != tc.fetched || (changes > 0) != tc.changed {
				t.Errorf("got fetched %v, want %v; got Changed called %v, want %v",
					c.IsFetched(), tc.fetched, changes > 0, tc.changed)
			}
		})
	}
}

// TestUseStored checks that machine types from the records are used only if the catalog has none, and that an
// empty set of records doesn't count as known types.
func TestUseStored(t *testing.T) {
	c := New(Options{Environment: &testEnvironment{}, RequestsPerSecond: 5, Changed: func() {}})
	c.SetStoredTypes(map[string]protocol.MachineType{})
	if c.MachineTypes() != nil {
		t.Errorf("after SetStoredTypes without types: got types %v, want nil", c.MachineTypes())
	}
	c.SetStoredTypes(map[string]protocol.MachineType{"a": {}})
	c.SetStoredTypes(map[string]protocol.MachineType{"b": {}})
	if _, ok := c.MachineTypes()["a"]; !ok {
		t.Errorf("after SetStoredTypes with a, then b: got types %v, want a", c.MachineTypes())
	}
}

// TestRefresh checks that Refresh fetches the types again after refreshInterval, with at most one fetch in
// flight and within the rate budget.
func TestRefresh(t *testing.T) {
	env := &testEnvironment{now: monotime.Second}
	c := New(Options{Environment: env, RequestsPerSecond: 1, Changed: func() {}})
	requireFetchesInFlight := func(want int) {
		t.Helper()
		c.Refresh(env.now)
		if len(env.calls) != want {
			t.Fatalf("at %d us: got %d fetches in flight, want %d", env.now, len(env.calls), want)
		}
	}
	types := []protocol.MachineType{{Name: "m8", CPUs: 8, OnDemandPrice: 1}}
	requireFetchesInFlight(1)
	env.now += 10 * monotime.Second
	requireFetchesInFlight(1)
	env.answer(protocol.CloudResult{Outcome: protocol.Unavailable})
	requireFetchesInFlight(1)
	env.answer(protocol.CloudResult{Outcome: protocol.Unavailable})
	requireFetchesInFlight(0) // the rate budget is exhausted
	env.now += 2 * monotime.Second
	requireFetchesInFlight(1)
	env.answer(protocol.CloudResult{Outcome: protocol.OK, Types: types})
	env.now += refreshInterval
	requireFetchesInFlight(0)
	env.now++
	requireFetchesInFlight(1)
}
