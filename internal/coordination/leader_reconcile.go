package coordination

import (
	"fmt"
	"reflect"
	"slices"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// Bounds of the leader's work.
const (
	listInterval            = 10 * monotime.Second
	cloudTimeout            = 4 * monotime.Second
	cloudRetryDelay         = 1 * monotime.Second
	maxMachinesPerScaleOut  = 50  // machines a request
	maxMachinesPerScaleIn   = 100 // machines a deletion
	scaleInInterval         = 1 * monotime.Second
	deletedMachineRetention = 10 * monotime.Minute // late reports of deleted machines are expected for so long
)

// leaderTermState is what a leader knows beside the store. A new term starts anew:
// first the picture is rebuilt, only then is anything rented.
type leaderTermState struct {
	term             uint64
	inventoryRebuilt bool
	nextPassAt       monotime.Micros
	nextListAt       monotime.Micros
	listInFlight     bool
	requestSequence  int
	scaleOutInFlight map[string]bool
	scaleOutRetryAt  map[string]monotime.Micros
	scaleInInFlight  map[string]bool            // removals whose call is in flight
	scaleInRetryAt   map[string]monotime.Micros // when a removal may be tried again
	nextScaleInAt    monotime.Micros
	failedMachines   map[string]string // machines to be removed that are in no shard, and why
	unknownMachines  map[string]*protocol.ListedMachine
	commitInFlight   map[string]bool // keys with a commit of the leader in flight
	unplaceableJobs  map[string]*unplacedBackoff
	offerRecoveries  int             // grows whenever an offer recovers from unmet
	unreachableZones map[string]bool // zones that have fallen silent
	cloudTrouble     bool
}

// unplacedBackoff follows a job whose demand no offer can meet.
type unplacedBackoff struct {
	unmetPasses     int
	retryAt         monotime.Micros
	delay           monotime.Micros
	suspended       bool // out of demand until an offer recovers
	offerRecoveries int
}

func newLeaderState(term uint64) leaderTermState {
	return leaderTermState{
		term: term, scaleOutInFlight: map[string]bool{}, scaleOutRetryAt: map[string]monotime.Micros{}, scaleInInFlight: map[string]bool{},
		scaleInRetryAt: map[string]monotime.Micros{}, failedMachines: map[string]string{}, unknownMachines: map[string]*protocol.ListedMachine{},
		commitInFlight: map[string]bool{}, unplaceableJobs: map[string]*unplacedBackoff{}, unreachableZones: map[string]bool{},
	}
}

// reconcileAsLeader does the leader's share; it is called every slow tick.
func (c *Controller) reconcileAsLeader(now monotime.Micros) {
	if now >= c.nextEmptyMachineCheckAt {
		c.nextEmptyMachineCheckAt = now + c.settings.AutoscalingInterval.Micros()
		c.scaleInEmpty(now)
	}
	if !c.isLeader(now) || c.storeUnavailable {
		return
	}
	leader := &c.leader
	if leader.term != c.mirror.LeaderVersion {
		c.leader = newLeaderState(c.mirror.LeaderVersion)
	}
	c.persistCatalog()
	c.reconcileScaleIns(now)
	if now >= leader.nextListAt && !leader.listInFlight {
		c.listMachines(now)
	}
	if !leader.inventoryRebuilt {
		return
	}
	c.reconcileScaleOuts(now)
	if now >= leader.nextPassAt {
		c.autoscalingPass(now)
		leader.nextPassAt = nextDue(now, c.now(), c.settings.AutoscalingInterval.Micros())
	}
}

// commitAsLeader makes a change conditional on our lead, one at a time a key.
func (c *Controller) commitAsLeader(priority ratelimit.Priority, busyKey string, txn protocol.Transaction, callback func(protocol.StoreResult)) {
	if c.leader.commitInFlight[busyKey] {
		return
	}
	c.leader.commitInFlight[busyKey] = true
	term := c.leader.term
	txn.If = append(txn.If, c.leadershipCompare())
	c.commitTxn(priority, txn, func(result protocol.StoreResult) {
		if term != c.leader.term {
			return
		}
		delete(c.leader.commitInFlight, busyKey)
		if callback != nil {
			callback(result)
		}
	})
}

// persistCatalog keeps the cloud's catalogue in the store, so that a controller that
// starts during an outage of the cloud can accept and place. Prices move all the
// time and are not worth a write.
func (c *Controller) persistCatalog() {
	if c.catalogFetchedAt == 0 {
		return
	}
	for _, name := range sortedKeys(c.machineTypes) {
		machineType := c.machineTypes[name]
		have := c.mirror.MachineTypes[name]
		record := storage.MachineType{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB, CacheGB: machineType.CacheGB, FetchGBPerS: machineType.FetchGBPerS,
			OnDemandPrice: machineType.OnDemandPrice, SpotPrice: machineType.SpotPrice, BootS: machineType.BootS, Zones: machineType.Zones}
		same := record
		same.OnDemandPrice, same.SpotPrice = have.Record.OnDemandPrice, have.Record.SpotPrice
		if have.Version != 0 && reflect.DeepEqual(same, have.Record) || !protocol.ValidKeyPart(name) {
			continue
		}
		key := storage.Key(storage.KindMachineType, name)
		c.commitAsLeader(ratelimit.PriorityBackground, key, protocol.Transaction{
			If:   []protocol.Compare{{Key: key, Version: have.Version}},
			Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&record)}},
		}, nil)
	}
}

// ---- removals ----

// reconcileScaleIns has machines deleted: those that their parts want to be rid of, and
// such as nobody has. Many go by one record and one call; the record is written
// before the call, and says afterwards that they are gone.
func (c *Controller) reconcileScaleIns(now monotime.Micros) {
	leader := &c.leader
	if now >= leader.nextScaleInAt {
		var removable []string
		for _, id := range sortedKeys(c.mirror.Machines) {
			if machine := c.mirror.Machines[id]; machine.Record != nil && machine.Record.State == storage.MachineRemoving && c.mirror.ScaleInOfMachine[id] == "" {
				removable = append(removable, id)
			}
		}
		for _, id := range sortedKeys(leader.failedMachines) {
			if c.mirror.ScaleInOfMachine[id] != "" {
				delete(leader.failedMachines, id)
				continue
			}
			removable = append(removable, id)
		}
		if len(removable) > 0 {
			leader.nextScaleInAt = now + scaleInInterval
			c.requestScaleIn(removable)
		}
	}
	for _, name := range sortedKeys(c.mirror.ScaleIns) {
		removal := c.mirror.ScaleIns[name]
		if removal.Record.Gone {
			c.forgetScaleIn(name, removal)
			continue
		}
		if leader.scaleInInFlight[name] || now < leader.scaleInRetryAt[name] || c.cloudRateLimiter.WaitTime(now, 1) > 0 {
			continue
		}
		c.deleteMachines(name, removal)
	}
}

// requestScaleIn writes the record of a removal, as many machines as it can hold.
func (c *Controller) requestScaleIn(ids []string) {
	size, n := 64, 0
	for n < len(ids) && n < maxMachinesPerScaleIn && size+len(ids[n])+3 < c.maxValueBytes() {
		size += len(ids[n]) + 3
		n++
	}
	c.leader.requestSequence++
	name := fmt.Sprintf("%d-%d", c.leader.term, c.leader.requestSequence)
	key := storage.Key(storage.KindScaleIn, name)
	record := storage.ScaleInRequest{Machines: ids[:n], StateSince: c.env.WallClock()}
	c.commitAsLeader(ratelimit.PriorityBackground, "removals", protocol.Transaction{
		If:   []protocol.Compare{{Key: key, Version: 0}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&record)}},
	}, func(result protocol.StoreResult) {
		if result.Outcome == protocol.OK {
			c.reconcileScaleIns(c.now())
		}
	})
}

func (c *Controller) deleteMachines(name string, removal *ScaleInEntry) {
	leader := &c.leader
	c.cloudRateLimiter.Take(1)
	leader.scaleInInFlight[name] = true
	term := leader.term
	c.env.CallCloud(&protocol.CloudCall{Op: protocol.CloudDelete, Delete: removal.Record.Machines, Timeout: cloudTimeout}, func(result protocol.CloudResult) {
		if term != c.leader.term {
			return
		}
		c.noteCloudOutcome(result.Outcome)
		delete(c.leader.scaleInInFlight, name)
		c.leader.scaleInRetryAt[name] = c.now() + cloudRetryDelay
		key := storage.Key(storage.KindScaleIn, name)
		record := removal.Record
		switch result.Outcome {
		case protocol.OK:
			// The proof that they and all on them are gone.
			record.Gone, record.StateSince = true, c.env.WallClock()
		case protocol.Throttled, protocol.Unavailable:
			return // the cloud's own trouble counts for nothing
		default:
			// A few quick tries, then it is flagged and tried on a long back-off.
			record.Attempts++
			if record.Attempts >= c.settings.ScaleInAttempts {
				record.Failed = true
				c.leader.scaleInRetryAt[name] = c.now() + c.settings.ScaleInRetryInterval.Micros()
				c.log.Error("machine deletion failed", "scale_in", name, "machines", len(record.Machines),
					"tries", record.Attempts, "outcome", result.Outcome.String())
			}
		}
		c.commitAsLeader(ratelimit.PriorityShardUpdate, key, protocol.Transaction{
			If:   []protocol.Compare{{Key: key, Version: removal.Version}},
			Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&record)}},
		}, func(result protocol.StoreResult) {
			if result.Outcome == protocol.OK && record.Gone {
				c.log.Info("machines deleted", "scale_in", name, "machines", len(record.Machines))
			}
		})
	})
}

// forgetScaleIn drops a record whose machines are in no shard any more, once no
// late report of theirs is to be expected.
func (c *Controller) forgetScaleIn(name string, removal *ScaleInEntry) {
	if monotime.Micros(c.env.WallClock()-removal.Record.StateSince) < deletedMachineRetention {
		return
	}
	for _, id := range removal.Record.Machines {
		if machine := c.mirror.Machines[id]; machine != nil {
			return
		}
	}
	key := storage.Key(storage.KindScaleIn, name)
	c.commitAsLeader(ratelimit.PriorityBackground, key, protocol.Transaction{
		If:   []protocol.Compare{{Key: key, Version: removal.Version}},
		Then: []protocol.Op{{Delete: key}},
	}, nil)
}

// noteCloudOutcome logs the beginning and the end of the cloud's trouble.
func (c *Controller) noteCloudOutcome(outcome protocol.Outcome) {
	bad := outcome == protocol.Unavailable || outcome == protocol.Unknown
	if bad != c.leader.cloudTrouble && outcome != protocol.Throttled {
		c.leader.cloudTrouble = bad
		if bad {
			c.log.Info("cloud unavailable", "state", conditionBegin, "outcome", outcome.String())
		} else {
			c.log.Info("cloud unavailable", "state", conditionEnd)
		}
	}
}

// ---- the machine list ----

// listMachines reads the cloud's list to its end. It finds failed machines and
// such as nobody expected; an absent machine proves nothing, the list lags.
func (c *Controller) listMachines(now monotime.Micros) {
	leader := &c.leader
	leader.listInFlight = true
	term := leader.term
	var listPage func(after string)
	listPage = func(after string) {
		if term != c.leader.term {
			return
		}
		if !c.isLeader(c.now()) { // what was listed is another leader's by now
			c.leader.listInFlight = false
			return
		}
		if delay := c.cloudRateLimiter.WaitTime(c.now(), 1); delay > 0 {
			c.env.After(delay, func() { listPage(after) })
			return
		}
		c.cloudRateLimiter.Take(1)
		c.env.CallCloud(&protocol.CloudCall{Op: protocol.CloudList, After: after, Timeout: cloudTimeout}, func(result protocol.CloudResult) {
			if term != c.leader.term {
				return
			}
			c.noteCloudOutcome(result.Outcome)
			if result.Outcome != protocol.OK {
				c.leader.listInFlight = false
				c.leader.nextListAt = c.now() + cloudRetryDelay
				return
			}
			if !c.isLeader(c.now()) {
				c.leader.listInFlight = false
				return
			}
			for i := range result.Listed {
				c.inspectListed(&result.Listed[i])
			}
			if result.More && len(result.Listed) > 0 {
				listPage(result.Listed[len(result.Listed)-1].ID)
				return
			}
			c.leader.listInFlight = false
			c.leader.nextListAt = c.now() + listInterval
			c.adoptUnknownMachines()
			if !c.leader.inventoryRebuilt {
				c.leader.inventoryRebuilt = true
				c.log.Info("inventory rebuilt, scale-out enabled", "machines", len(c.mirror.Machines),
					"scale_outs", len(c.mirror.ScaleOuts))
			}
		})
	}
	listPage("")
}

// inspectListed looks at one machine of the list.
func (c *Controller) inspectListed(listed *protocol.ListedMachine) {
	leader := &c.leader
	if !protocol.ValidKeyPart(listed.ID) || c.mirror.ScaleInOfMachine[listed.ID] != "" {
		return
	}
	if machine := c.mirror.Machines[listed.ID]; machine != nil && machine.Record != nil {
		if listed.State == "failed" {
			leader.failedMachines[listed.ID] = "failed"
		}
		return
	}
	lag := monotime.FromSeconds(2*c.cfg.Facts.Cloud.ListLagS) + 5*monotime.Second
	switch {
	case listed.State == "failed":
		leader.failedMachines[listed.ID] = "failed before it was up"
	case c.mirror.ScaleOutOfMachine[listed.ID] == "" && monotime.FromSeconds(listed.AgeS) > lag:
		leader.unknownMachines[listed.ID] = listed
	}
}

// adoptUnknownMachines writes requests for machines that nobody asked for, so that they are
// claimed like any other when they are up, or given back when they don't come up.
func (c *Controller) adoptUnknownMachines() {
	leader := &c.leader
	for _, id := range sortedKeys(leader.unknownMachines) {
		listed := leader.unknownMachines[id]
		delete(leader.unknownMachines, id)
		if c.mirror.ScaleOutOfMachine[id] != "" || c.mirror.ScaleInOfMachine[id] != "" {
			continue
		}
		leader.requestSequence++
		name := fmt.Sprintf("r-%d-%d", leader.term, leader.requestSequence)
		key := storage.Key(storage.KindScaleOut, name)
		record := storage.ScaleOutRequest{Phase: storage.ScaleOutProvisioning, MachineType: listed.Type, Zone: listed.Zone, Spot: listed.Spot, Count: 1,
			Machines: []string{id}, Live: c.connectedControllers(), PhaseSince: c.env.WallClock()}
		c.log.Info("unrequested machine found", "machine", id, "machine_type", listed.Type, "zone", listed.Zone)
		c.commitAsLeader(ratelimit.PriorityBackground, key, protocol.Transaction{
			If:   []protocol.Compare{{Key: key, Version: 0}},
			Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&record)}},
		}, nil)
	}
}

// ---- requests ----

// reconcileScaleOuts moves rental requests on.
func (c *Controller) reconcileScaleOuts(now monotime.Micros) {
	leader := &c.leader
	wall := c.env.WallClock()
	for _, name := range sortedKeys(c.mirror.ScaleOuts) {
		request := c.mirror.ScaleOuts[name]
		key := storage.Key(storage.KindScaleOut, name)
		age := monotime.Micros(wall - request.Record.PhaseSince)
		drop := protocol.Transaction{If: []protocol.Compare{{Key: key, Version: request.Version}}, Then: []protocol.Op{{Delete: key}}}
		switch request.Record.Phase {
		case storage.ScaleOutPending:
			if !leader.scaleOutInFlight[name] && now >= leader.scaleOutRetryAt[name] && c.cloudRateLimiter.WaitTime(now, 1) == 0 {
				c.callScaleOut(name, request)
			}
		case storage.ScaleOutNoCapacity:
			if age > c.settings.OfferQuarantine.Micros() {
				leader.offerRecoveries++
				c.commitAsLeader(ratelimit.PriorityBackground, key, drop, nil)
			}
		case storage.ScaleOutProvisioning:
			missing := c.missingMachines(request)
			connected := c.connectedControllers()
			orphans := false
			for _, id := range missing {
				if !slices.Contains(connected, c.designatedController(request, id)) {
					orphans = true
				}
			}
			switch {
			case len(missing) == 0 && c.mirror.WatchedRevision >= request.Version:
				c.commitAsLeader(ratelimit.PriorityBackground, key, drop, nil)
			case age > c.settings.ReadinessTimeout.Micros():
				// With the request goes the right to claim them.
				leader.requestSequence++
				removal := storage.Key(storage.KindScaleIn, fmt.Sprintf("%d-%d", leader.term, leader.requestSequence))
				drop.If = append(drop.If, protocol.Compare{Key: removal, Version: 0})
				drop.Then = append(drop.Then, protocol.Op{Put: removal,
					Value: protocol.MustMarshal(&storage.ScaleInRequest{Machines: missing, StateSince: wall})})
				c.commitAsLeader(ratelimit.PriorityBackground, key, drop, func(result protocol.StoreResult) {
					if result.Outcome == protocol.OK {
						c.log.Info("machines not ready in time, scale-in requested", "scale_out", name,
							"machines", len(missing), "machine_type", request.Record.MachineType, "zone", request.Record.Zone)
					}
				})
			case orphans && len(connected) > 0:
				// Those who were to claim them have gone, or can't: name others.
				record := request.Record
				record.Live, record.Own = connected, nil
				c.commitAsLeader(ratelimit.PriorityShardUpdate, key, protocol.Transaction{
					If:   []protocol.Compare{{Key: key, Version: request.Version}},
					Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&record)}},
				}, nil)
			}
		}
	}
}

// missingMachines lists the machines of a request that haven't come up.
func (c *Controller) missingMachines(request *ScaleOutEntry) []string {
	var out []string
	for _, id := range request.Record.Machines {
		if machine := c.mirror.Machines[id]; (machine == nil || machine.Record == nil) && c.mirror.ScaleInOfMachine[id] == "" {
			out = append(out, id)
		}
	}
	return out
}

// callScaleOut makes the cloud call of a request. Its name was written before, so a new
// leader repeats the very same call and the cloud gives the same answer.
func (c *Controller) callScaleOut(name string, request *ScaleOutEntry) {
	leader := &c.leader
	leader.scaleOutInFlight[name] = true
	c.cloudRateLimiter.Take(1)
	term := leader.term
	call := &protocol.CloudCall{Op: protocol.CloudRent, Timeout: cloudTimeout, Rent: protocol.RentRequest{
		Name: name, Type: request.Record.MachineType, Zone: request.Record.Zone, Spot: request.Record.Spot, Count: request.Record.Count}}
	c.env.CallCloud(call, func(result protocol.CloudResult) {
		if term != c.leader.term {
			return
		}
		delete(c.leader.scaleOutInFlight, name)
		c.leader.scaleOutRetryAt[name] = c.now() + cloudRetryDelay
		c.noteCloudOutcome(result.Outcome)
		record := request.Record
		switch {
		case result.Outcome == protocol.OK && len(result.Rented) > 0:
			record.Phase, record.Machines, record.Live = storage.ScaleOutProvisioning, result.Rented, c.connectedControllers()
			c.log.Info("scale-out completed", "scale_out", name, "machine_type", record.MachineType, "zone", record.Zone,
				"spot", record.Spot, "requested", record.Count, "machines", len(result.Rented))
		case result.Outcome == protocol.OK, result.Outcome == protocol.NoCapacity:
			record.Phase = storage.ScaleOutNoCapacity
			c.log.Info("insufficient capacity, offer quarantined", "machine_type", record.MachineType,
				"zone", record.Zone, "spot", record.Spot)
		case result.Outcome == protocol.Rejected:
			c.log.Error("scale-out request rejected", "scale_out", name, "machine_type", record.MachineType)
			record.Phase = storage.ScaleOutNoCapacity
		default:
			// Throttled, troubled or unknown: says nothing about the offer. The
			// same name is asked again.
			return
		}
		record.PhaseSince = c.env.WallClock()
		key := storage.Key(storage.KindScaleOut, name)
		txn := protocol.Transaction{
			If:   []protocol.Compare{{Key: key, Version: request.Version}},
			Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&record)}},
		}
		if record.Phase == storage.ScaleOutProvisioning && len(result.Rented) < record.Count {
			// Partly filled: the rest isn't to be had for now.
			unmetRequest := storage.ScaleOutRequest{Phase: storage.ScaleOutNoCapacity, MachineType: record.MachineType, Zone: record.Zone, Spot: record.Spot, PhaseSince: record.PhaseSince}
			txn.Then = append(txn.Then, protocol.Op{Put: key + "-rest", Value: protocol.MustMarshal(&unmetRequest)})
		}
		c.commitAsLeader(ratelimit.PriorityShardUpdate, key, txn, nil)
	})
}

// requestScaleOut writes a request; its cloud call follows once it is written. The name
// holds the term, so no other leader ever uses it.
func (c *Controller) requestScaleOut(o offer, n int) {
	leader := &c.leader
	leader.requestSequence++
	name := fmt.Sprintf("r-%d-%d", leader.term, leader.requestSequence)
	key := storage.Key(storage.KindScaleOut, name)
	record := storage.ScaleOutRequest{Phase: storage.ScaleOutPending, MachineType: o.machineType, Zone: o.zone, Spot: o.spot, Count: n, PhaseSince: c.env.WallClock()}
	c.commitAsLeader(ratelimit.PriorityShardUpdate, key, protocol.Transaction{
		If:   []protocol.Compare{{Key: key, Version: 0}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&record)}},
	}, func(result protocol.StoreResult) {
		if result.Outcome == protocol.OK {
			c.reconcileScaleOuts(c.now())
		}
	})
}
