package loopback

import (
	"fmt"
	"strings"
	"testing"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/transport"
)

// stateService is a state service under test: the simulated one or the one on loopback.
type stateService struct {
	name string
	call func(*protocol.StoreCall) protocol.StoreResult
	// advance lets simulated time pass.
	advance func(monotime.Micros)
	// setOutage starts (true) or ends (false) an outage.
	setOutage func(bool)
	// setHistory sets how many changes the service keeps for watches.
	setHistory func(int)
}

// simulatedState returns the fake state service as the simulated tests call it.
func simulatedState() *stateService {
	sim := fake.NewSimClock(1)
	store := fake.NewStateStore(sim, 1000, 1000, 4)
	return &stateService{
		name: "simulated",
		call: func(c *protocol.StoreCall) protocol.StoreResult {
			var result *protocol.StoreResult
			store.Call("n-0", c, func(r protocol.StoreResult) { result = &r })
			sim.RunUntil(20*monotime.Second, func() bool { return result != nil })
			return *result
		},
		advance:    sim.Run,
		setOutage:  func(down bool) { store.Down = down },
		setHistory: func(n int) { store.WatchHistory = n },
	}
}

// loopbackState returns the fake state service behind HTTP, as controller processes on loopback call it.
func loopbackState(t *testing.T) *stateService {
	sim := fake.NewSimClock(1)
	store := fake.NewStateStore(sim, 1000, 1000, 4)
	clock := NewRealTimeClock(sim)
	server, err := newServer("n-0", &stateHandler{clock, store, "n-0"}, &faultInjector{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close(); clock.Stop() })
	client := transport.NewClient(server.Addr, 2, 1<<20)
	return &stateService{
		name:       "loopback",
		call:       func(c *protocol.StoreCall) protocol.StoreResult { return protocol.CallStore(client, c) },
		advance:    clock.Advance,
		setOutage:  func(down bool) { clock.Do(func() { store.Down = down }) },
		setHistory: func(n int) { clock.Do(func() { store.WatchHistory = n }) },
	}
}

func get(key string) *protocol.StoreCall {
	return &protocol.StoreCall{Op: protocol.StoreGet, Key: key, Timeout: 2 * monotime.Second}
}

func list(prefix, after string, limit int) *protocol.StoreCall {
	return &protocol.StoreCall{
		Op:      protocol.StoreList,
		Key:     prefix,
		After:   after,
		Limit:   limit,
		Timeout: 2 * monotime.Second,
	}
}

func commit(txn protocol.Transaction) *protocol.StoreCall {
	return &protocol.StoreCall{Op: protocol.StoreCommit, Transaction: txn, Timeout: 2 * monotime.Second}
}

func watch(prefix string, from uint64, block monotime.Micros) *protocol.StoreCall {
	return &protocol.StoreCall{
		Op:           protocol.StoreWatch,
		Key:          prefix,
		FromRevision: from,
		MaxBlock:     block,
		Timeout:      block + 2*monotime.Second,
	}
}

func put(key, value string, lease uint64) protocol.Op {
	return protocol.Op{Put: key, Value: protocol.MustMarshal(value), Lease: lease}
}

// resultSummary formats the parts of a result that the test compares.
func resultSummary(r protocol.StoreResult) string {
	s := fmt.Sprintf("%v revision %d failed %v more %v", r.Outcome, r.Revision, r.Failed, r.More)
	if r.Item.Key != "" {
		s += fmt.Sprintf(
			" item %s@%d lease %d %x",
			r.Item.Key,
			r.Item.Version,
			r.Item.Lease,
			[]byte(r.Item.Value),
		)
	}
	for _, i := range r.Items {
		s += fmt.Sprintf(" %s@%d", i.Key, i.Version)
	}
	for _, e := range r.Events {
		s += fmt.Sprintf(" +%s-%s@%d", e.Put, e.Delete, e.Version)
	}
	if r.Lease != 0 {
		s += fmt.Sprintf(" lease %d", r.Lease)
	}
	return s
}

// callStep is a call and the summary prefix of the result that the protocol requires.
type callStep struct {
	name        string
	call        *protocol.StoreCall
	wantSummary string
	advanceBy   monotime.Micros // time that passes before the call
	down        int             // before the call, 1: an outage starts, 2: the outage ends
}

// conformanceSteps exercises the protocol of the state service. Each step depends on the earlier ones.
var conformanceSteps = []callStep{
	{name: "get of an absent key", call: get("a/1"), wantSummary: "not found revision 0"},
	{name: "list of an empty prefix", call: list("a/", "", 10), wantSummary: "ok revision 0"},
	{
		name: "commit that creates two keys",
		call: commit(
			protocol.Transaction{
				If:   []protocol.Compare{{Key: "a/1"}},
				Then: []protocol.Op{put("a/1", "x", 0), put("a/2", "y", 0)},
			},
		),
		wantSummary: "ok revision 1 failed [] more false",
	},
	{
		name: "commit that creates an existing key",
		call: commit(
			protocol.Transaction{
				If:   []protocol.Compare{{Key: "a/1"}, {Key: "a/3"}},
				Then: []protocol.Op{put("a/3", "z", 0)},
			},
		),
		wantSummary: "conflict revision 1 failed [a/1] more false",
	},
	{
		name:        "get of an existing key",
		call:        get("a/1"),
		wantSummary: "ok revision 0 failed [] more false item a/1@1 lease 0 a178",
	},
	{
		name: "commit with a comparison of the version",
		call: commit(
			protocol.Transaction{
				If:   []protocol.Compare{{Key: "a/1", Version: 1}},
				Then: []protocol.Op{put("a/1", "w", 0)},
			},
		),
		wantSummary: "ok revision 2 failed [] more false",
	},
	{
		name:        "commit with a comparison and no operation",
		call:        commit(protocol.Transaction{If: []protocol.Compare{{Key: "a/1", Version: 2}}}),
		wantSummary: "ok revision 2 failed [] more false",
	},
	{
		name:        "first page of a list",
		call:        list("a/", "", 1),
		wantSummary: "ok revision 2 failed [] more true a/1@2",
	},
	{
		name:        "second page of a list",
		call:        list("a/", "a/1", 1),
		wantSummary: "ok revision 2 failed [] more false a/2@1",
	},
	{
		name:        "watch with a change since its revision",
		call:        watch("a/", 1, 0),
		wantSummary: "ok revision 2 failed [] more false +a/1-@2",
	},
	{
		name:        "watch without a change within its block time",
		call:        watch("a/", 2, 100*monotime.Millisecond),
		wantSummary: "ok revision 2 failed [] more false",
	},
	{
		name:        "commit that deletes a key",
		call:        commit(protocol.Transaction{Then: []protocol.Op{{Delete: "a/2"}}}),
		wantSummary: "ok revision 3 failed [] more false",
	},
	{
		name:        "watch of the deletion",
		call:        watch("a/", 2, 0),
		wantSummary: "ok revision 3 failed [] more false +-a/2@3",
	},
	{
		name: "commit with more operations than the limit",
		call: commit(
			protocol.Transaction{
				Then: []protocol.Op{
					put("b", "1", 0),
					put("c", "1", 0),
					put("d", "1", 0),
					put("e", "1", 0),
					put("f", "1", 0),
				},
			},
		),
		wantSummary: "rejected",
	},
	{
		name: "commit with a large value",
		call: commit(
			protocol.Transaction{Then: []protocol.Op{put("b/1", strings.Repeat("x", 9000), 0)}},
		),
		wantSummary: "ok revision 4 failed [] more false",
	},
	{
		name:        "list with a large response",
		call:        list("b/", "", 10),
		wantSummary: "ok revision 4 failed [] more false b/1@4",
	},
	{
		name: "grant of a lease",
		call: &protocol.StoreCall{
			Op:      protocol.StoreGrantLease,
			TTL:     5 * monotime.Second,
			Timeout: monotime.Second,
		},
		wantSummary: "ok revision 0 failed [] more false lease 1",
	},
	{
		name:        "commit of a key with a lease",
		call:        commit(protocol.Transaction{Then: []protocol.Op{put("l/1", "x", 1)}}),
		wantSummary: "ok revision 5 failed [] more false",
	},
	{
		name:        "commit of a key with a lease that does not exist",
		call:        commit(protocol.Transaction{Then: []protocol.Op{put("l/2", "x", 9)}}),
		wantSummary: "rejected",
	},
	{
		name:        "keep-alive of the lease",
		call:        &protocol.StoreCall{Op: protocol.StoreKeepAlive, Lease: 1, Timeout: monotime.Second},
		advanceBy:   3 * monotime.Second,
		wantSummary: "ok",
	},
	{
		name:        "get of the key after the original TTL of the renewed lease",
		call:        get("l/1"),
		advanceBy:   3 * monotime.Second,
		wantSummary: "ok revision 0 failed [] more false item l/1@5 lease 1 a178",
	},
	{
		name:        "get of the key after the expiry of its lease",
		call:        get("l/1"),
		advanceBy:   4 * monotime.Second,
		wantSummary: "not found",
	},
	{
		name:        "watch of the deletion by lease expiry",
		call:        watch("l/", 5, 0),
		wantSummary: "ok revision 6 failed [] more false +-l/1@6",
	},
	{
		name:        "keep-alive of an expired lease",
		call:        &protocol.StoreCall{Op: protocol.StoreKeepAlive, Lease: 1, Timeout: monotime.Second},
		wantSummary: "not found",
	},
	{name: "get during an outage", call: get("a/1"), down: 1, wantSummary: "unavailable"},
	{
		name:        "commit during an outage",
		call:        commit(protocol.Transaction{Then: []protocol.Op{put("a/9", "x", 0)}}),
		wantSummary: "unavailable",
	},
	{
		name:        "get after the outage of the key whose commit failed",
		call:        get("a/9"),
		down:        2,
		wantSummary: "not found",
	},
}

// TestStateServicesConformToProtocol guards against fakes that deviate from the protocol or from each other:
// it makes the same calls to the simulated state service and to the one on loopback, and expects the same
// answers.
func TestStateServicesConformToProtocol(t *testing.T) {
	for _, service := range []*stateService{simulatedState(), loopbackState(t)} {
		for _, s := range conformanceSteps {
			if s.advanceBy > 0 {
				service.advance(s.advanceBy)
			}
			if s.down > 0 {
				service.setOutage(s.down == 1)
			}
			got := resultSummary(service.call(s.call))
			if len(got) < len(s.wantSummary) || got[:len(s.wantSummary)] != s.wantSummary {
				t.Errorf("%s, %s:\n got  %s\n want %s", service.name, s.name, got, s.wantSummary)
			}
		}
	}
}

// TestCompactedWatchIsReported guards against silently skipped changes: a watch from a revision older than
// the history must fail with the outcome Compacted.
func TestCompactedWatchIsReported(t *testing.T) {
	for _, service := range []*stateService{simulatedState(), loopbackState(t)} {
		service.setHistory(5)
		for i := range 10 {
			txn := protocol.Transaction{Then: []protocol.Op{put("a/1", fmt.Sprint(i), 0)}}
			if result := service.call(commit(txn)); result.Outcome != protocol.OK {
				t.Fatalf("%s: commit %d: got outcome %v, want ok", service.name, i, result.Outcome)
			}
		}
		if r := service.call(watch("a/", 2, 0)); r.Outcome != protocol.Compacted {
			t.Errorf("%s: got outcome %v, want %v", service.name, r.Outcome, protocol.Compacted)
		}
	}
}
