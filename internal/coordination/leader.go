package coordination

import (
	"fmt"
	"reflect"
	"slices"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// Bounds of the leader's work.
const (
	listEvery    = 10 * micros.Second
	cloudTimeout = 4 * micros.Second
	cloudPause   = 1 * micros.Second
	mostARent    = 50  // machines a request
	mostADelete  = 100 // machines a deletion
	removeEvery  = 1 * micros.Second
	ghostsFor    = 10 * micros.Minute // late reports of deleted machines are expected for so long
)

// leaderState is what a leader knows beside the store. A new term starts anew:
// first the picture is rebuilt, only then is anything rented.
type leaderState struct {
	term     uint64
	rebuilt  bool
	passAt   micros.T
	listAt   micros.T
	listing  bool
	sequence int
	probing  map[string]bool
	rentAt   map[string]micros.T
	deleting map[string]bool     // removals whose call is in flight
	deleteAt map[string]micros.T // when a removal may be tried again
	removeAt micros.T
	unready  map[string]string // machines to be removed that are in no shard, and why
	found    map[string]*protocol.Listed
	busy     map[string]bool // keys with a commit of the leader in flight
	unplaced map[string]*unplaced
	recover  int             // grows whenever an offer recovers from unmet
	cut      map[string]bool // zones that have fallen silent
	trouble  bool
}

// unplaced follows a job whose demand no offer can meet.
type unplaced struct {
	passes  int
	until   micros.T
	step    micros.T
	out     bool // out of demand until an offer recovers
	recover int
}

func newLeaderState(term uint64) leaderState {
	return leaderState{
		term: term, probing: map[string]bool{}, rentAt: map[string]micros.T{}, deleting: map[string]bool{},
		deleteAt: map[string]micros.T{}, unready: map[string]string{}, found: map[string]*protocol.Listed{},
		busy: map[string]bool{}, unplaced: map[string]*unplaced{}, cut: map[string]bool{},
	}
}

// lead does the leader's share; it is called every slow tick.
func (c *Core) lead(now micros.T) {
	if now >= c.closeAt {
		c.closeAt = now + c.set.PassInterval.T()
		c.closeEmpty(now)
	}
	if !c.leading(now) || c.storeDown {
		return
	}
	l := &c.leader
	if l.term != c.view.leadVer {
		c.leader = newLeaderState(c.view.leadVer)
	}
	c.keepTypes()
	c.removals(now)
	if now >= l.listAt && !l.listing {
		c.listMachines(now)
	}
	if !l.rebuilt {
		return
	}
	c.rentals(now)
	if now >= l.passAt {
		c.pass(now)
		l.passAt = pace(now, c.now(), c.set.PassInterval.T())
	}
}

// leaderCommit makes a change conditional on our lead, one at a time a key.
func (c *Core) leaderCommit(rank bookkeeping.Rank, busyKey string, t protocol.Txn, back func(protocol.StoreResult)) {
	if c.leader.busy[busyKey] {
		return
	}
	c.leader.busy[busyKey] = true
	term := c.leader.term
	t.If = append(t.If, c.leadCond())
	c.commit(rank, t, func(r protocol.StoreResult) {
		if term != c.leader.term {
			return
		}
		delete(c.leader.busy, busyKey)
		if back != nil {
			back(r)
		}
	})
}

// keepTypes keeps the cloud's catalogue in the store, so that a controller that
// starts during an outage of the cloud can accept and place. Prices move all the
// time and are not worth a write.
func (c *Core) keepTypes() {
	if c.catalogAt == 0 {
		return
	}
	for _, name := range sortedKeys(c.types) {
		t := c.types[name]
		have := c.view.types[name]
		rec := bookkeeping.Type{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, CacheGB: t.CacheGB, FetchGBPerS: t.FetchGBPerS,
			Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, Zones: t.Zones}
		same := rec
		same.Price, same.SpotPrice = have.rec.Price, have.rec.SpotPrice
		if have.version != 0 && reflect.DeepEqual(same, have.rec) || !protocol.ValidKeyPart(name) {
			continue
		}
		key := bookkeeping.Key(bookkeeping.KindType, name)
		c.leaderCommit(bookkeeping.RankRest, key, protocol.Txn{
			If:   []protocol.Cond{{Key: key, Version: have.version}},
			Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&rec)}},
		}, nil)
	}
}

// ---- removals ----

// removals has machines deleted: those that their parts want to be rid of, and
// such as nobody has. Many go by one record and one call; the record is written
// before the call, and says afterwards that they are gone.
func (c *Core) removals(now micros.T) {
	l := &c.leader
	if now >= l.removeAt {
		var due []string
		for _, id := range sortedKeys(c.view.machines) {
			if m := c.view.machines[id]; m.rec != nil && m.rec.State == bookkeeping.MachineRemoving && c.view.removal[id] == "" {
				due = append(due, id)
			}
		}
		for _, id := range sortedKeys(l.unready) {
			if c.view.removal[id] != "" {
				delete(l.unready, id)
				continue
			}
			due = append(due, id)
		}
		if len(due) > 0 {
			l.removeAt = now + removeEvery
			c.writeRemoval(due)
		}
	}
	for _, name := range sortedKeys(c.view.removals) {
		r := c.view.removals[name]
		if r.rec.Gone {
			c.forgetRemoval(name, r)
			continue
		}
		if l.deleting[name] || now < l.deleteAt[name] || c.cloudGate.Ready(now, 1) > 0 {
			continue
		}
		c.delete(name, r)
	}
}

// writeRemoval writes the record of a removal, as many machines as it can hold.
func (c *Core) writeRemoval(ids []string) {
	size, n := 64, 0
	for n < len(ids) && n < mostADelete && size+len(ids[n])+3 < c.valueBytes() {
		size += len(ids[n]) + 3
		n++
	}
	c.leader.sequence++
	name := fmt.Sprintf("%d-%d", c.leader.term, c.leader.sequence)
	key := bookkeeping.Key(bookkeeping.KindRemoval, name)
	rec := bookkeeping.Removal{Machines: ids[:n], At: c.env.Wall()}
	c.leaderCommit(bookkeeping.RankRest, "removals", protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: 0}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&rec)}},
	}, func(r protocol.StoreResult) {
		if r.Outcome == protocol.OK {
			c.removals(c.now())
		}
	})
}

func (c *Core) delete(name string, r *removalView) {
	l := &c.leader
	c.cloudGate.Take(1)
	l.deleting[name] = true
	term := l.term
	c.env.Cloud(&protocol.CloudCall{Op: protocol.CloudDelete, Delete: r.rec.Machines, Within: cloudTimeout}, func(res protocol.CloudResult) {
		if term != c.leader.term {
			return
		}
		c.noteCloud(res.Outcome)
		delete(c.leader.deleting, name)
		c.leader.deleteAt[name] = c.now() + cloudPause
		key := bookkeeping.Key(bookkeeping.KindRemoval, name)
		rec := r.rec
		switch res.Outcome {
		case protocol.OK:
			// The proof that they and all on them are gone.
			rec.Gone, rec.At = true, c.env.Wall()
		case protocol.Throttled, protocol.Unavailable:
			return // the cloud's own trouble counts for nothing
		default:
			// A few quick tries, then it is flagged and tried on a long back-off.
			rec.Tries++
			if rec.Tries >= c.set.RemovalTries {
				rec.Failed = true
				c.leader.deleteAt[name] = c.now() + c.set.RemovalPause.T()
				c.log.Error("machine deletion failed", "scale_in", name, "machines", len(rec.Machines),
					"tries", rec.Tries, "outcome", res.Outcome.String())
			}
		}
		c.leaderCommit(bookkeeping.RankShard, key, protocol.Txn{
			If:   []protocol.Cond{{Key: key, Version: r.version}},
			Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&rec)}},
		}, func(cr protocol.StoreResult) {
			if cr.Outcome == protocol.OK && rec.Gone {
				c.log.Info("machines deleted", "scale_in", name, "machines", len(rec.Machines))
			}
		})
	})
}

// forgetRemoval drops a record whose machines are in no shard any more, once no
// late report of theirs is to be expected.
func (c *Core) forgetRemoval(name string, r *removalView) {
	if micros.T(c.env.Wall()-r.rec.At) < ghostsFor {
		return
	}
	for _, id := range r.rec.Machines {
		if m := c.view.machines[id]; m != nil {
			return
		}
	}
	key := bookkeeping.Key(bookkeeping.KindRemoval, name)
	c.leaderCommit(bookkeeping.RankRest, key, protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: r.version}},
		Then: []protocol.Op{{Delete: key}},
	}, nil)
}

// noteCloud logs the beginning and the end of the cloud's trouble.
func (c *Core) noteCloud(o protocol.Outcome) {
	bad := o == protocol.Unavailable || o == protocol.Unknown
	if bad != c.leader.trouble && o != protocol.Throttled {
		c.leader.trouble = bad
		if bad {
			c.log.Info("cloud unavailable", "state", conditionBegin, "outcome", o.String())
		} else {
			c.log.Info("cloud unavailable", "state", conditionEnd)
		}
	}
}

// ---- the machine list ----

// listMachines reads the cloud's list to its end. It finds failed machines and
// such as nobody expected; an absent machine proves nothing, the list lags.
func (c *Core) listMachines(now micros.T) {
	l := &c.leader
	l.listing = true
	term := l.term
	var shard func(after string)
	shard = func(after string) {
		if term != c.leader.term {
			return
		}
		if !c.leading(c.now()) { // what was listed is another leader's by now
			c.leader.listing = false
			return
		}
		if wait := c.cloudGate.Ready(c.now(), 1); wait > 0 {
			c.env.After(wait, func() { shard(after) })
			return
		}
		c.cloudGate.Take(1)
		c.env.Cloud(&protocol.CloudCall{Op: protocol.CloudList, After: after, Within: cloudTimeout}, func(r protocol.CloudResult) {
			if term != c.leader.term {
				return
			}
			c.noteCloud(r.Outcome)
			if r.Outcome != protocol.OK {
				c.leader.listing = false
				c.leader.listAt = c.now() + cloudPause
				return
			}
			if !c.leading(c.now()) {
				c.leader.listing = false
				return
			}
			for i := range r.Listed {
				c.listed(&r.Listed[i])
			}
			if r.More && len(r.Listed) > 0 {
				shard(r.Listed[len(r.Listed)-1].ID)
				return
			}
			c.leader.listing = false
			c.leader.listAt = c.now() + listEvery
			c.takeFound()
			if !c.leader.rebuilt {
				c.leader.rebuilt = true
				c.log.Info("inventory rebuilt, scale-out enabled", "machines", len(c.view.machines),
					"scale_outs", len(c.view.rentals))
			}
		})
	}
	shard("")
}

// listed looks at one machine of the list.
func (c *Core) listed(e *protocol.Listed) {
	l := &c.leader
	if !protocol.ValidKeyPart(e.ID) || c.view.removal[e.ID] != "" {
		return
	}
	if m := c.view.machines[e.ID]; m != nil && m.rec != nil {
		if e.State == "failed" {
			l.unready[e.ID] = "failed"
		}
		return
	}
	lag := micros.FromSeconds(2*c.cfg.Facts.Cloud.ListLagS) + 5*micros.Second
	switch {
	case e.State == "failed":
		l.unready[e.ID] = "failed before it was up"
	case c.view.rentalOf[e.ID] == "" && micros.FromSeconds(e.AgeS) > lag:
		l.found[e.ID] = e
	}
}

// takeFound writes requests for machines that nobody asked for, so that they are
// claimed like any other when they are up, or given back when they don't come up.
func (c *Core) takeFound() {
	l := &c.leader
	for _, id := range sortedKeys(l.found) {
		e := l.found[id]
		delete(l.found, id)
		if c.view.rentalOf[id] != "" || c.view.removal[id] != "" {
			continue
		}
		l.sequence++
		name := fmt.Sprintf("r-%d-%d", l.term, l.sequence)
		key := bookkeeping.Key(bookkeeping.KindRental, name)
		rec := bookkeeping.Rental{Phase: bookkeeping.RentalProvisioning, Type: e.Type, Zone: e.Zone, Spot: e.Spot, Count: 1,
			Machines: []string{id}, Live: c.able(), At: c.env.Wall()}
		c.log.Info("unrequested machine found", "machine", id, "machine_type", e.Type, "zone", e.Zone)
		c.leaderCommit(bookkeeping.RankRest, key, protocol.Txn{
			If:   []protocol.Cond{{Key: key, Version: 0}},
			Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&rec)}},
		}, nil)
	}
}

// ---- requests ----

// rentals moves rental requests on.
func (c *Core) rentals(now micros.T) {
	l := &c.leader
	wall := c.env.Wall()
	for _, name := range sortedKeys(c.view.rentals) {
		a := c.view.rentals[name]
		key := bookkeeping.Key(bookkeeping.KindRental, name)
		age := micros.T(wall - a.rec.At)
		drop := protocol.Txn{If: []protocol.Cond{{Key: key, Version: a.version}}, Then: []protocol.Op{{Delete: key}}}
		switch a.rec.Phase {
		case bookkeeping.RentalPending:
			if !l.probing[name] && now >= l.rentAt[name] && c.cloudGate.Ready(now, 1) == 0 {
				c.rent(name, a)
			}
		case bookkeeping.RentalUnmet:
			if age > c.set.UnmetTTL.T() {
				l.recover++
				c.leaderCommit(bookkeeping.RankRest, key, drop, nil)
			}
		case bookkeeping.RentalProvisioning:
			missing := c.missing(a)
			able := c.able()
			orphans := false
			for _, id := range missing {
				if !slices.Contains(able, c.designated(a, id)) {
					orphans = true
				}
			}
			switch {
			case len(missing) == 0 && c.view.watched >= a.version:
				c.leaderCommit(bookkeeping.RankRest, key, drop, nil)
			case age > c.set.ReadinessWait.T():
				// With the request goes the right to claim them.
				l.sequence++
				removal := bookkeeping.Key(bookkeeping.KindRemoval, fmt.Sprintf("%d-%d", l.term, l.sequence))
				drop.If = append(drop.If, protocol.Cond{Key: removal, Version: 0})
				drop.Then = append(drop.Then, protocol.Op{Put: removal,
					Value: protocol.MustMarshal(&bookkeeping.Removal{Machines: missing, At: wall})})
				c.leaderCommit(bookkeeping.RankRest, key, drop, func(r protocol.StoreResult) {
					if r.Outcome == protocol.OK {
						c.log.Info("machines not ready in time, scale-in requested", "scale_out", name,
							"machines", len(missing), "machine_type", a.rec.Type, "zone", a.rec.Zone)
					}
				})
			case orphans && len(able) > 0:
				// Those who were to claim them have gone, or can't: name others.
				rec := a.rec
				rec.Live, rec.Own = able, nil
				c.leaderCommit(bookkeeping.RankShard, key, protocol.Txn{
					If:   []protocol.Cond{{Key: key, Version: a.version}},
					Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&rec)}},
				}, nil)
			}
		}
	}
}

// missing lists the machines of a request that haven't come up.
func (c *Core) missing(a *rentalView) []string {
	var out []string
	for _, id := range a.rec.Machines {
		if m := c.view.machines[id]; (m == nil || m.rec == nil) && c.view.removal[id] == "" {
			out = append(out, id)
		}
	}
	return out
}

// rent makes the cloud call of a request. Its name was written before, so a new
// leader repeats the very same call and the cloud gives the same answer.
func (c *Core) rent(name string, a *rentalView) {
	l := &c.leader
	l.probing[name] = true
	c.cloudGate.Take(1)
	term := l.term
	call := &protocol.CloudCall{Op: protocol.CloudRent, Within: cloudTimeout, Rent: protocol.RentRequest{
		Name: name, Type: a.rec.Type, Zone: a.rec.Zone, Spot: a.rec.Spot, Count: a.rec.Count}}
	c.env.Cloud(call, func(r protocol.CloudResult) {
		if term != c.leader.term {
			return
		}
		delete(c.leader.probing, name)
		c.leader.rentAt[name] = c.now() + cloudPause
		c.noteCloud(r.Outcome)
		rec := a.rec
		switch {
		case r.Outcome == protocol.OK && len(r.Rented) > 0:
			rec.Phase, rec.Machines, rec.Live = bookkeeping.RentalProvisioning, r.Rented, c.able()
			c.log.Info("scale-out completed", "scale_out", name, "machine_type", rec.Type, "zone", rec.Zone,
				"spot", rec.Spot, "requested", rec.Count, "machines", len(r.Rented))
		case r.Outcome == protocol.OK, r.Outcome == protocol.NoCapacity:
			rec.Phase = bookkeeping.RentalUnmet
			c.log.Info("insufficient capacity, offer quarantined", "machine_type", rec.Type,
				"zone", rec.Zone, "spot", rec.Spot)
		case r.Outcome == protocol.Rejected:
			c.log.Error("scale-out request rejected", "scale_out", name, "machine_type", rec.Type)
			rec.Phase = bookkeeping.RentalUnmet
		default:
			// Throttled, troubled or unknown: says nothing about the offer. The
			// same name is asked again.
			return
		}
		rec.At = c.env.Wall()
		key := bookkeeping.Key(bookkeeping.KindRental, name)
		t := protocol.Txn{
			If:   []protocol.Cond{{Key: key, Version: a.version}},
			Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&rec)}},
		}
		if rec.Phase == bookkeeping.RentalProvisioning && len(r.Rented) < rec.Count {
			// Partly filled: the rest isn't to be had for now.
			un := bookkeeping.Rental{Phase: bookkeeping.RentalUnmet, Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot, At: rec.At}
			t.Then = append(t.Then, protocol.Op{Put: key + "-rest", Value: protocol.MustMarshal(&un)})
		}
		c.leaderCommit(bookkeeping.RankShard, key, t, nil)
	})
}

// rental writes a request; its cloud call follows once it is written. The name
// holds the term, so no other leader ever uses it.
func (c *Core) rental(o offer, n int) {
	l := &c.leader
	l.sequence++
	name := fmt.Sprintf("r-%d-%d", l.term, l.sequence)
	key := bookkeeping.Key(bookkeeping.KindRental, name)
	rec := bookkeeping.Rental{Phase: bookkeeping.RentalPending, Type: o.typ, Zone: o.zone, Spot: o.spot, Count: n, At: c.env.Wall()}
	c.leaderCommit(bookkeeping.RankShard, key, protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: 0}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&rec)}},
	}, func(r protocol.StoreResult) {
		if r.Outcome == protocol.OK {
			c.rentals(c.now())
		}
	})
}
