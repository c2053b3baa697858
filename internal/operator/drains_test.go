package operator

import (
	"errors"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/drain"
	"pipitgap/internal/fake"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// fixture is a simulated state service with the records of a small fleet.
type fixture struct {
	t          *testing.T
	sim        *fake.SimClock
	store      *fake.StateStore
	beforeCall func(*protocol.StoreCall) // called before each call to the state service
}

func newFixture(t *testing.T) *fixture {
	b := &fixture{t: t, sim: fake.NewSimClock(1)}
	b.store = fake.NewStateStore(b.sim, 1000, 1000, 12)
	shard := &storage.Shard{
		Owner:       "n-0",
		Incarnation: 1,
		Claim:       1,
		Machines:    map[string]*storage.ShardMachine{},
		Jobs:        map[string]*storage.ShardJob{},
	}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		shard.AddMachine(
			id,
			storage.ShardMachine{
				Type:     "m8",
				Zone:     "a",
				Endpoint: "10.0.0.1:9000",
				State:    storage.MachineOpen,
			},
		)
	}
	shard.AddMachine(
		"i-4",
		storage.ShardMachine{
			Type:     "m8",
			Zone:     "b",
			Endpoint: "10.0.0.1:9000",
			State:    storage.MachineOpen,
			Spot:     true,
		},
	)
	raw, _ := shard.Encode()
	b.put(storage.ShardKey("s"), raw)
	b.put(
		storage.MachineTypeKey("m8"),
		protocol.MustMarshal(&storage.MachineType{CPUs: 8, MemoryGB: 64, Zones: []string{"a", "b"}}),
	)
	return b
}

func (b *fixture) call(c *protocol.StoreCall) protocol.StoreResult {
	if b.beforeCall != nil {
		b.beforeCall(c)
	}
	return b.callStore(c)
}

func (b *fixture) callStore(c *protocol.StoreCall) protocol.StoreResult {
	var result *protocol.StoreResult
	b.store.Call("operator", c, func(r protocol.StoreResult) { result = &r })
	b.sim.RunUntil(20*monotime.Second, func() bool { return result != nil })
	return *result
}

func (b *fixture) put(key string, value protocol.Raw) {
	b.t.Helper()
	r := b.callStore(
		&protocol.StoreCall{
			Op:          protocol.StoreCommit,
			Timeout:     monotime.Second,
			Transaction: protocol.Transaction{Then: []protocol.Op{{Put: key, Value: value}}},
		},
	)
	if r.Outcome != protocol.OK {
		b.t.Fatalf("%s: got outcome %v, want %v", key, r.Outcome, protocol.OK)
	}
}

func (b *fixture) drains() *DrainOperator {
	reserve := 1
	return &DrainOperator{
		Operator: &Operator{
			Call:              b.call,
			Sleep:             b.sim.Run,
			WallClock:         func() int64 { return int64(b.sim.Now()) + 1 },
			MaxTransactionOps: 12,
			MaxValueBytes:     4096,
			Zones:             []string{"a", "b"},
		},
		Policy: drain.NewPolicy(
			&config.DrainSettings{DefaultMaxUnavailable: 1, DefaultReserveMachines: &reserve, MaxParallel: 3},
		),
	}
}

func zoneRequest(name, zone string) StartRequest {
	return StartRequest{Name: name, Selector: storage.Selector{Zone: zone}, MaxParallel: 2}
}

// isCommit reports whether a call commits a change.
func isCommit(c *protocol.StoreCall) bool {
	return c.Op == protocol.StoreCommit && len(c.Transaction.Then) > 0
}

// TestConcurrentStartsOverlap starts two drains of the same machines concurrently: the second one commits
// between the read and the commit of the first one. The first one must fail.
func TestConcurrentStartsOverlap(t *testing.T) {
	b := newFixture(t)
	other := b.drains()
	other.Call = b.callStore
	otherStarted := false
	b.beforeCall = func(c *protocol.StoreCall) {
		if isCommit(c) && !otherStarted {
			otherStarted = true
			if _, err := other.Start(zoneRequest("theirs", "a")); err != nil {
				t.Errorf("concurrent start: got error %v, want none", err)
			}
		}
	}
	if _, err := b.drains().Start(zoneRequest("ours", "a")); !otherStarted || !errors.Is(err, ErrDrainsOverlap) {
		t.Errorf("got concurrent start %v and error %v, want true and %v", otherStarted, err, ErrDrainsOverlap)
	}
}

// TestStartIsIdempotentAfterLostAnswer loses the response to the commit of a start. The start must recognize
// its own record in the state service and must not write it again.
func TestStartIsIdempotentAfterLostAnswer(t *testing.T) {
	b := newFixture(t)
	commits := 0
	b.store.LoseResponse = func(*protocol.Transaction) bool { commits++; return commits == 1 }
	started, err := b.drains().Start(zoneRequest("rack", "a"))
	if err != nil || started.AlreadyStarted || len(started.Machines) != 3 {
		t.Errorf("got result %+v, error %v, want a new drain of 3 machines", started, err)
	}
	again, err := b.drains().Start(zoneRequest("rack", "a"))
	if err != nil || !again.AlreadyStarted {
		t.Errorf("repeated start: got result %+v, error %v, want AlreadyStarted", again, err)
	}
	if b.store.ChangesByKind["+drain"] != 1 {
		t.Errorf("got %d writes of the drain, want 1", b.store.ChangesByKind["+drain"])
	}
}

// TestRefusedRequestsWriteNothing checks the error of each kind of rejected request, and that a rejected
// request writes nothing.
func TestRefusedRequestsWriteNothing(t *testing.T) {
	b := newFixture(t)
	if _, err := b.drains().Start(zoneRequest("rack", "a")); err != nil {
		t.Fatal(err)
	}
	modified := func(r StartRequest, change func(*StartRequest)) StartRequest { change(&r); return r }
	cases := []struct {
		name    string
		request StartRequest
		want    error
	}{
		{"no name", zoneRequest("", "a"), ErrBadRequest},
		{"nothing selected", StartRequest{Name: "x", MaxParallel: 1}, ErrBadRequest},
		{
			"by name and zone",
			modified(zoneRequest("x", "b"), func(r *StartRequest) { r.Selector.Machines = []string{"i-4"} }),
			ErrBadRequest,
		},
		{
			"no machine at a time",
			modified(zoneRequest("x", "b"), func(r *StartRequest) { r.MaxParallel = 0 }),
			ErrBadRequest,
		},
		{
			"deadline in the past",
			modified(zoneRequest("x", "b"), func(r *StartRequest) { r.Deadline = -1 }),
			ErrBadRequest,
		},
		{"unknown zone", zoneRequest("x", "c"), ErrNotFound},
		{
			"unknown type",
			modified(zoneRequest("x", "b"), func(r *StartRequest) { r.Selector.Type = "m9" }),
			ErrNotFound,
		},
		{
			"unknown machine",
			StartRequest{Name: "x", MaxParallel: 1, Selector: storage.Selector{Machines: []string{"i-9"}}},
			ErrNotFound,
		},
		{
			"no on-demand machine in the zone",
			modified(
				zoneRequest("x", "b"),
				func(r *StartRequest) { r.Selector.CapacityType = storage.OnDemandCapacity },
			),
			ErrNothingSelected,
		},
		{"name in use", zoneRequest("rack", "b"), ErrNameInUse},
		{
			"overlap",
			StartRequest{Name: "x", MaxParallel: 1, Selector: storage.Selector{Machines: []string{"i-1"}}},
			ErrDrainsOverlap,
		},
	}
	revision := b.store.Revision
	for _, tc := range cases {
		if _, err := b.drains().Start(tc.request); !errors.Is(err, tc.want) {
			t.Errorf("%s: got error %v, want %v", tc.name, err, tc.want)
		}
	}
	for _, f := range []func() error{
		func() error { _, err := b.drains().Pause("nothing"); return err },
		func() error { _, err := b.drains().Abort("nothing"); return err },
		func() error { _, _, err := b.drains().Status("nothing"); return err },
	} {
		if err := f(); !errors.Is(err, ErrNotFound) {
			t.Errorf("unknown drain: got error %v, want %v", err, ErrNotFound)
		}
	}
	if b.store.Revision != revision {
		t.Errorf("after rejected requests: got revision %d, want %d", b.store.Revision, revision)
	}
	b.store.Down = true
	if _, err := b.drains().List(); !errors.Is(err, mirror.ErrStoreUnavailable) {
		t.Errorf("state service down: got error %v, want %v", err, mirror.ErrStoreUnavailable)
	}
}

// TestDrainStateTransitions checks the state changes of a drain by commands.
func TestDrainStateTransitions(t *testing.T) {
	b := newFixture(t)
	d := b.drains()
	request := zoneRequest("rack", "a")
	request.Deadline = 5 * monotime.Second
	if _, err := d.Start(request); err != nil {
		t.Fatal(err)
	}
	if changed, err := d.Pause("rack"); !changed || err != nil {
		t.Errorf("pause: got changed %v, error %v, want true, no error", changed, err)
	}
	b.sim.Run(10 * monotime.Second)
	if _, err := d.Resume("rack", 0); !errors.Is(err, ErrBadRequest) {
		t.Errorf("resume after the deadline: got error %v, want %v", err, ErrBadRequest)
	}
	if changed, err := d.Resume("rack", 5*monotime.Second); !changed || err != nil {
		t.Errorf("resume with a new deadline: got changed %v, error %v, want true, no error", changed, err)
	}
	if changed, err := d.Resume("rack", 0); changed || err != nil {
		t.Errorf("second resume: got changed %v, error %v, want false, no error", changed, err)
	}
	if changed, err := d.Abort("rack"); !changed || err != nil {
		t.Errorf("abort: got changed %v, error %v, want true, no error", changed, err)
	}
	if _, err := d.Pause("rack"); !errors.Is(err, ErrDrainEnded) {
		t.Errorf("pause of an ended drain: got error %v, want %v", err, ErrDrainEnded)
	}
	if _, err := d.Start(zoneRequest("rack", "b")); err != nil {
		t.Errorf("start with the name of an ended drain: got error %v, want none", err)
	}
	progress, teams, err := d.Status("rack")
	if err != nil || progress.State != storage.DrainActive || len(progress.Machines) != 1 || len(teams) != 0 {
		t.Errorf("got progress %+v, teams %v, error %v, want an active drain of 1 machine and no teams",
			progress, teams, err)
	}
	list, err := d.List()
	if err != nil || len(list) != 1 || list[0].Selection != "zone b" || list[0].MachinesLeft != 1 {
		t.Errorf("got drains %+v, error %v, want 1 drain of zone b with 1 machine left", list, err)
	}
}

// TestListReadsOneConsistentRevision changes the records while the command reads its lists. The result must
// contain each transaction completely or not at all.
func TestListReadsOneConsistentRevision(t *testing.T) {
	b := newFixture(t)
	renames := 0
	b.beforeCall = func(c *protocol.StoreCall) {
		if c.Op != protocol.StoreList {
			return
		}
		// Renames the drain before each list call: one transaction writes the new name and deletes the old
		// one.
		renames++
		old := storage.DrainKey(string(rune('a' + renames - 1)))
		renamed := storage.DrainKey(string(rune('a' + renames)))
		drain := storage.Drain{State: storage.DrainActive, Selector: storage.Selector{Zone: "a"}}
		b.callStore(&protocol.StoreCall{
			Op:      protocol.StoreCommit,
			Timeout: monotime.Second,
			Transaction: protocol.Transaction{Then: []protocol.Op{
				{Put: renamed, Value: protocol.MustMarshal(&drain)},
				{Delete: old},
			}},
		})
	}
	for range 3 {
		renames = 0
		list, err := b.drains().List()
		if err != nil || len(list) != 1 {
			t.Errorf("got drains %+v, error %v, want exactly 1 drain", list, err)
		}
	}
}
