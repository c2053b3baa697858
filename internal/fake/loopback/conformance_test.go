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

// stateService is a state service under test, simulated or on loopback.
type stateService struct {
	name string
	call func(*protocol.StoreCall) protocol.StoreResult
	// advance has time pass.
	advance func(monotime.Micros)
	// setOutage begins or ends an outage.
	setOutage func(bool)
	// setHistory sets how many changes are kept.
	setHistory func(int)
}

// simulatedState is the fake as the simulated tests use it.
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

// loopbackState is the same over HTTP, as controllers on loopback reach it.
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

// resultSummary says what is to be compared of an answer.
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

// callStep is a call with the answer that the protocol asks for.
type callStep struct {
	name        string
	call        *protocol.StoreCall
	wantSummary string
	advanceBy   monotime.Micros // time to pass before
	down        int             // 1: an outage begins before, 2: it ends
}

// conformanceSteps is the protocol of the state service, call by call.
var conformanceSteps = []callStep{
	{name: "a key that isn't there", call: get("a/1"), wantSummary: "not found revision 0"},
	{name: "a list of nothing", call: list("a/", "", 10), wantSummary: "ok revision 0"},
	{
		name: "creating two keys",
		call: commit(
			protocol.Transaction{
				If:   []protocol.Compare{{Key: "a/1"}},
				Then: []protocol.Op{put("a/1", "x", 0), put("a/2", "y", 0)},
			},
		),
		wantSummary: "ok revision 1 failed [] more false",
	},
	{
		name: "creating one that is there",
		call: commit(
			protocol.Transaction{
				If:   []protocol.Compare{{Key: "a/1"}, {Key: "a/3"}},
				Then: []protocol.Op{put("a/3", "z", 0)},
			},
		),
		wantSummary: "conflict revision 1 failed [a/1] more false",
	},
	{
		name:        "reading",
		call:        get("a/1"),
		wantSummary: "ok revision 0 failed [] more false item a/1@1 lease 0 a178",
	},
	{
		name: "a condition on the version",
		call: commit(
			protocol.Transaction{
				If:   []protocol.Compare{{Key: "a/1", Version: 1}},
				Then: []protocol.Op{put("a/1", "w", 0)},
			},
		),
		wantSummary: "ok revision 2 failed [] more false",
	},
	{
		name:        "comparing alone",
		call:        commit(protocol.Transaction{If: []protocol.Compare{{Key: "a/1", Version: 2}}}),
		wantSummary: "ok revision 2 failed [] more false",
	},
	{
		name:        "the first part of a list",
		call:        list("a/", "", 1),
		wantSummary: "ok revision 2 failed [] more true a/1@2",
	},
	{
		name:        "the next part of a list",
		call:        list("a/", "a/1", 1),
		wantSummary: "ok revision 2 failed [] more false a/2@1",
	},
	{
		name:        "changes since a revision",
		call:        watch("a/", 1, 0),
		wantSummary: "ok revision 2 failed [] more false +a/1-@2",
	},
	{
		name:        "no changes in time",
		call:        watch("a/", 2, 100*monotime.Millisecond),
		wantSummary: "ok revision 2 failed [] more false",
	},
	{
		name:        "a deletion",
		call:        commit(protocol.Transaction{Then: []protocol.Op{{Delete: "a/2"}}}),
		wantSummary: "ok revision 3 failed [] more false",
	},
	{
		name:        "the deletion is seen",
		call:        watch("a/", 2, 0),
		wantSummary: "ok revision 3 failed [] more false +-a/2@3",
	},
	{
		name: "too many changes",
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
		name: "a large value",
		call: commit(
			protocol.Transaction{Then: []protocol.Op{put("b/1", strings.Repeat("x", 9000), 0)}},
		),
		wantSummary: "ok revision 4 failed [] more false",
	},
	{
		name:        "a large answer",
		call:        list("b/", "", 10),
		wantSummary: "ok revision 4 failed [] more false b/1@4",
	},
	{
		name: "a lease",
		call: &protocol.StoreCall{
			Op:      protocol.StoreGrantLease,
			TTL:     5 * monotime.Second,
			Timeout: monotime.Second,
		},
		wantSummary: "ok revision 0 failed [] more false lease 1",
	},
	{
		name:        "a key with a lease",
		call:        commit(protocol.Transaction{Then: []protocol.Op{put("l/1", "x", 1)}}),
		wantSummary: "ok revision 5 failed [] more false",
	},
	{
		name:        "a lease that there isn't",
		call:        commit(protocol.Transaction{Then: []protocol.Op{put("l/2", "x", 9)}}),
		wantSummary: "rejected",
	},
	{
		name:        "a renewal",
		call:        &protocol.StoreCall{Op: protocol.StoreKeepAlive, Lease: 1, Timeout: monotime.Second},
		advanceBy:   3 * monotime.Second,
		wantSummary: "ok",
	},
	{
		name:        "the key stays",
		call:        get("l/1"),
		advanceBy:   3 * monotime.Second,
		wantSummary: "ok revision 0 failed [] more false item l/1@5 lease 1 a178",
	},
	{
		name:        "the key goes with its lease",
		call:        get("l/1"),
		advanceBy:   4 * monotime.Second,
		wantSummary: "not found",
	},
	{
		name:        "its end is a change",
		call:        watch("l/", 5, 0),
		wantSummary: "ok revision 6 failed [] more false +-l/1@6",
	},
	{
		name:        "a lease that has ended",
		call:        &protocol.StoreCall{Op: protocol.StoreKeepAlive, Lease: 1, Timeout: monotime.Second},
		wantSummary: "not found",
	},
	{name: "an outage", call: get("a/1"), down: 1, wantSummary: "unavailable"},
	{
		name:        "a commit in an outage",
		call:        commit(protocol.Transaction{Then: []protocol.Op{put("a/9", "x", 0)}}),
		wantSummary: "unavailable",
	},
	{name: "after the outage", call: get("a/9"), down: 2, wantSummary: "not found"},
}

// TestStateServicesConformToProtocol: the simulated state service and the one on loopback answer alike, and
// as the protocol says.
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

// TestCompactedWatchIsReported: a watch that begins before the history that is kept is answered so.
func TestCompactedWatchIsReported(t *testing.T) {
	for _, service := range []*stateService{simulatedState(), loopbackState(t)} {
		service.setHistory(5)
		for i := range 10 {
			txn := protocol.Transaction{Then: []protocol.Op{put("a/1", fmt.Sprint(i), 0)}}
			if result := service.call(commit(txn)); result.Outcome != protocol.OK {
				t.Fatalf("%s: %v", service.name, result.Outcome)
			}
		}
		if r := service.call(watch("a/", 2, 0)); r.Outcome != protocol.Compacted {
			t.Errorf("%s: %v", service.name, r.Outcome)
		}
	}
}
