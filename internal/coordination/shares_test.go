package coordination

import (
	"testing"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/config"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
)

// TestShareLeft: what a partition may still assign within a team's limit.
func TestShareLeft(t *testing.T) {
	cases := []struct {
		name           string
		owner          string
		incarnation    uint64 // 0: ours
		inDoubtUpdates bool
		left           float64
	}{
		{"our page", "n-0", 0, false, 6},
		{"our page, and a commit in doubt", "n-0", 0, true, 4},
		// Once counted as free: after a restart of four controllers a team ran more
		// than its limit allows.
		{"a page of an earlier life, not claimed yet", "n-0", 7, false, 6},
		{"another part's page", "n-1", 7, false, 10},
	}
	for _, tc := range cases {
		c := newCluster(t, 33)
		c.start("n-0")
		core := c.nodes["n-0"].core
		core.view.put(bookkeeping.Key(bookkeeping.KindPartition, "n-0"), protocol.MustMarshal(&bookkeeping.Partition{
			Shares: map[string]bookkeeping.Amount{"tight": {CPUs: 10}}}), 3)
		core.view.put(bookkeeping.Key(bookkeeping.KindOpen, "j-1"), protocol.MustMarshal(&bookkeeping.OpenJob{
			Spec: bookkeeping.Spec{Team: "tight", Tasks: 4, CPUs: 2}, Shares: []bookkeeping.Share{{First: 0, End: 4, Partition: "n-0"}}}), 4)
		inc := tc.incarnation
		if inc == 0 {
			inc = core.inc
		}
		shard := &bookkeeping.Shard{Owner: tc.owner, Incarnation: inc, Claim: 1,
			Machines: map[string]*bookkeeping.ShardMachine{}, Jobs: map[string]*bookkeeping.ShardJob{}}
		shard.Add("i-1", bookkeeping.ShardMachine{Type: "m8", Zone: "a", Endpoint: "10.1.0.1:9000", State: bookkeeping.MachineOpen})
		shard.Assign("j-1", bookkeeping.Held{Task: 0, Machine: "i-1", Attempt: 1})
		shard.Assign("j-1", bookkeeping.Held{Task: 1, Machine: "i-1", Attempt: 1})
		raw, _ := shard.Encode()
		core.view.put(bookkeeping.Key(bookkeeping.KindShard, "p"), raw, 5)
		if tc.inDoubtUpdates {
			d := newShardUpdate("p", core.view.shards["p"], shard)
			addUse(d.use, "tight", amount{cpus: 2}, 1)
			core.shardNotes("p").inDoubtUpdates = []*shardUpdate{d}
		}
		if got := core.shareLeft("tight").cpus; got != tc.left {
			t.Errorf("%s: %v left, want %v", tc.name, got, tc.left)
		}
		if got := core.pool("tight").cpus; got != 2 {
			t.Errorf("%s: %v in the pool", tc.name, got)
		}
	}
}

// TestLimitThroughRestarts: a team at its limit, controllers killed at any moment:
// never more than the limit runs, and what is left of it is found again.
func TestLimitThroughRestarts(t *testing.T) {
	for seed := uint64(0); seed < 6; seed++ {
		c := newCluster(t, 600+seed).steady()
		var ids []string
		for i := 0; i < 8; i++ {
			ids = append(ids, c.submit(4*sec, withTasks(14), withCPUs(1), withTeam("tight"), withSpot(true)))
		}
		for i := 0; i < 6; i++ {
			c.sim.Run(2*sec + c.jitter(6*sec))
			down := c.names[:1+c.sim.Rand.IntN(3)]
			c.kill(down...)
			c.sim.Run(c.jitter(3 * sec))
			c.start(down...)
		}
		for _, id := range ids {
			c.finished(id, 300*sec)
		}
		c.rules()
	}
}

// TestOrphans: a service whose part has gone gets room by stopping lesser work,
// though no part has any free. Left to whoever has room, it waited for a minute.
func TestOrphans(t *testing.T) {
	c := newCluster(t, 34)
	clear(c.cloud.Capacity)
	c.cloud.Capacity[standin.Offer("m8", "a", false)] = 6
	c.steady()
	array := c.submit(400*sec, withTasks(90)) // more than fits: no room stays free
	if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(array) == 24 }) {
		t.Fatalf("array: %d run", c.fleet.Running(array))
	}
	var services []string
	for i := 0; i < 3; i++ {
		services = append(services, c.submit(0, withService(true), withPriority(protocol.Prod), withCPUs(4)))
	}
	all := func() bool {
		for _, id := range services {
			if c.fleet.Running(id) != 1 {
				return false
			}
		}
		return true
	}
	if !c.sim.RunUntil(20*sec, all) {
		t.Fatal("services not started")
	}
	// A controller goes, and the machines with those services that it placed.
	hit := 0
	for _, id := range services {
		j := c.nodes["n-0"].core.view.jobs[id]
		if j.rec.Shares[0].Partition != "n-1" {
			continue
		}
		for _, w := range c.fleet.Workers {
			if w.Tasks[id+"/0"] != nil {
				hit++
				w.Silent = true
				c.fleet.Down(w.Machine)
			}
		}
	}
	if hit == 0 {
		t.Fatal("no service was placed by n-1")
	}
	c.kill("n-1")
	c.cloud.Capacity[standin.Offer("m8", "a", false)] = -100
	if !c.sim.RunUntil(60*sec, all) {
		t.Error("a service of the part that has gone is still down")
	}
	c.rules()
}

// TestHandOverHasItsTurn: a service that its partition has no room for is handed on as
// soon as that may be written again, however often the part takes tasks of others:
// a try in between doesn't cost it its turn.
func TestHandOverIsNotStarved(t *testing.T) {
	c := newCluster(t, 5).steady()
	core := c.nodes["n-0"].core
	now := c.sim.Now()
	id, array := "j-900000", "j-900001"
	for name, spec := range map[string]bookkeeping.Spec{
		id:    {Team: "free", Service: true, Priority: 2, Tasks: 1, CPUs: 4},
		array: {Team: "free", Priority: 1, Tasks: 4, CPUs: 2, Spot: true},
	} {
		core.view.jobs[name] = &job{id: name, version: 1, state: make([]uint8, spec.Tasks), need: amount{cpus: spec.CPUs},
			rec: bookkeeping.OpenJob{Spec: spec, Shares: []bookkeeping.Share{{First: 0, End: spec.Tasks, Partition: "n-0"}}}}
	}
	core.accepted[id] = 1
	other := &shard{name: "n-1.1", rec: &bookkeeping.Shard{Owner: "n-1"}, use: map[string]amount{}}
	core.view.machines["i-9"] = &machine{id: "i-9", shard: other, used: amount{cpus: 8}, tasks: map[taskRef]uint64{},
		rec: &bookkeeping.ShardMachine{Type: "m8", Zone: "a", State: bookkeeping.MachineOpen}}
	for i := 0; i < 4; i++ {
		core.view.machines["i-9"].tasks[taskRef{array, i}] = 1
	}
	core.takeAt = now + sec
	core.place(nil, now)
	if core.jobBusy[id] {
		t.Error("handed on before a change may be spent on it")
	}
	core.place(nil, now+sec/2)
	c.sim.Run(sec)
	core.takeAt = c.sim.Now()
	core.place(nil, c.sim.Now())
	if !core.jobBusy[id] {
		t.Error("not handed on at the first turn that may")
	}
}

// TestUrgentElsewhere: a small job of large tasks begins soon though nothing ends on
// the machines of the part that it was given to, while the others' gaps would go to
// tasks that have more time: the most urgent of all goes first, wherever it waits.
func TestUrgentElsewhere(t *testing.T) {
	c := newCluster(t, 300)
	clear(c.cloud.Capacity)
	c.cloud.Capacity[standin.Offer("m8", "a", false)] = 9
	c.facts = func(cfg *config.Config) {
		cfg.Facts.Objectives = []config.Objective{{Kind: "deadline", Class: "batch", Times: 1}}
	}
	c.steady()
	give := func(id string, partitions ...string) {
		core := c.nodes["n-0"].core
		var shares []bookkeeping.Share
		n := core.view.jobs[id].rec.Spec.Tasks
		for i, p := range partitions {
			shares = append(shares, bookkeeping.Share{First: n * i / len(partitions), End: n * (i + 1) / len(partitions), Partition: p})
		}
		if !c.sim.RunUntil(5*sec, func() bool { return core.reshare(core.view.jobs[id], shares) }) {
			t.Fatalf("%s can't be given to %v", id, partitions)
		}
		c.sim.Run(sec / 10)
	}
	give(c.submit(400*sec, withTasks(4), withDeadlineS(500), withEstimateS(400)), "n-2")
	give(c.submit(6*sec, withTasks(300), withDeadlineS(600)), "n-0", "n-1")
	c.sim.Run(40 * sec)
	id := c.submit(6*sec, withTasks(3), withCPUs(4), withDeadlineS(30))
	give(id, "n-2")
	at := c.sim.Now()
	begun := func() bool {
		return c.fleet.Starts[id+"/0"] > 0 && c.fleet.Starts[id+"/1"] > 0 && c.fleet.Starts[id+"/2"] > 0
	}
	if !c.sim.RunUntil(9*sec, begun) {
		t.Error("not begun after 9 s") // 12 when only room left over went to others' tasks
	}
	t.Logf("begun after %.1f s", (c.sim.Now() - at).Seconds())
	c.rules()
}

// TestRoomMadeIsKept: what is free on a machine where tasks are being stopped for a
// job is that job's until they are gone, and nobody else's.
func TestRoomMadeIsKept(t *testing.T) {
	c := newCluster(t, 9).steady()
	core := c.nodes["n-0"].core
	now := c.sim.Now()
	mk := func(id string, service bool, cpus float64) *job {
		j := &job{id: id, version: 1, state: make([]uint8, 1), need: amount{cpus: cpus},
			rec: bookkeeping.OpenJob{Spec: bookkeeping.Spec{Team: "free", Service: service, Tasks: 1, CPUs: cpus}}}
		core.view.jobs[id] = j
		return j
	}
	service, array := mk("j-900000", true, 4), mk("j-900001", false, 2)
	cand := func(id string) *candidate {
		return &candidate{m: &machine{id: id, images: map[string]bool{}}, rec: &bookkeeping.ShardMachine{Type: "m8", Zone: "a"},
			d: newShardUpdate("n-0.1", nil, &bookkeeping.Shard{Jobs: map[string]*bookkeeping.ShardJob{}}), free: amount{cpus: 2}}
	}
	cands := []*candidate{cand("i-1"), cand("i-2")}
	core.preempting[service.id] = &preemption{1, now + sec, map[string]bool{"i-1": true}}
	core.keepMade(cands, now)
	zones := newZoneRule(core.view, array)
	for i := 0; i < 4; i++ {
		if cd := core.choose(array, cands, zones, nil, nil, false, false, false); cd != cands[1] {
			t.Fatal("an array's task goes where room is being made for a service, or nowhere")
		}
	}
	if n := roomFor(array, cands); n != 1 {
		t.Errorf("room for %d tasks of others, want 1", n)
	}
	cands[0].free = amount{cpus: 4} // the stopped ones are gone
	if cd := core.choose(service, cands, zones, nil, nil, false, false, false); cd != cands[0] {
		t.Error("the service doesn't get the room that was made for it")
	}
	core.keepMade(cands, now+2*sec)
	if cands[0].keep != "" {
		t.Error("room is kept for longer than it takes to be made")
	}
}

// TestLateDropOfShares: what an absent controller has of the limits is dropped, but not
// once it has been back: it may have assigned tasks under its record by then, though it is
// gone again when the drop is carried out.
func TestLateDropOfShares(t *testing.T) {
	const late = 20 * sec
	for _, tc := range []struct {
		name        string
		back, again bool // it comes back, and is gone again
	}{{"away", false, false}, {"back", true, false}, {"back and gone again", true, true}} {
		t.Run(tc.name, func(t *testing.T) {
			s := newScenario(t, 3300)
			s.start(s.names...)
			s.sim.Run(3 * sec)
			fullTeams(s)
			s.sim.Run(40 * sec)
			gone := following(1)(s)
			key := partitionKey(gone)
			if len(s.store.Keys(key)) == 0 {
				t.Fatalf("%s has no share", gone)
			}
			sent := 0
			s.store.Delay = func(t *protocol.Txn) micros.T {
				if !changesShares(t, true) {
					return 0
				}
				if sent++; sent > 1 {
					return 1000 * sec // only the first is looked at
				}
				return late
			}
			s.kill(gone)
			if !s.sim.RunUntil(30*sec, func() bool { return sent > 0 }) {
				t.Fatal("nobody drops the shares of the one that has gone")
			}
			member := func() bool { return s.nodes[s.names[0]].core.isLive(gone) }
			if tc.back {
				s.start(gone)
				s.sim.RunUntil(4*sec, member)
			}
			if tc.again {
				s.kill(gone)
				s.sim.RunUntil(10*sec, func() bool { return !member() })
			}
			if member() != (tc.back && !tc.again) {
				t.Fatal("membership is not as the case wants it")
			}
			s.sim.Run(late)
			if left := len(s.store.Keys(key)) > 0; left != tc.back {
				t.Errorf("its record is left: %v", left)
			}
			s.rules()
		})
	}
}
