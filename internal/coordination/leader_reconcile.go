package coordination

import (
	"fmt"
	"reflect"
	"slices"

	"pipitgap/internal/autoscaling"
	"pipitgap/internal/config"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Bounds of the leader's work.
const (
	listInterval           = 10 * monotime.Second
	cloudTimeout           = 4 * monotime.Second
	cloudRetryDelay        = 1 * monotime.Second
	maxMachinesPerScaleOut = 50  // machines a request
	maxMachinesPerScaleIn  = 100 // machines a deletion
	scaleInInterval        = 1 * monotime.Second
	// late reports of deleted machines are expected for so long
	deletedMachineRetention = 10 * monotime.Minute
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
	commitInFlight   map[string]bool       // keys with a commit of the leader in flight
	backoffs         *autoscaling.Backoffs // jobs that no offer can take
	unreachableZones map[string]bool
	cloudTrouble     bool
}

func newLeaderState(term uint64, settings *config.Settings) leaderTermState {
	return leaderTermState{
		term: term, scaleOutInFlight: map[string]bool{}, scaleOutRetryAt: map[string]monotime.Micros{}, scaleInInFlight: map[string]bool{},
		scaleInRetryAt: map[string]monotime.Micros{}, failedMachines: map[string]string{}, unknownMachines: map[string]*protocol.ListedMachine{},
		commitInFlight: map[string]bool{}, unreachableZones: map[string]bool{},
		backoffs: autoscaling.NewBackoffs(autoscaling.BackoffPolicy{
			Passes: settings.BackoffPasses,
			First:  settings.BackoffFirst.Micros(),
			Max:    settings.BackoffMax.Micros(),
		}),
	}
}

// reconcileAsLeader does the leader's share; it is called every slow tick.
func (as *autoscaler) reconcileAsLeader(now monotime.Micros) {
	if now >= as.nextEmptyMachineCheckAt {
		as.nextEmptyMachineCheckAt = now + as.c.settings.AutoscalingInterval.Micros()
		as.scaleInEmpty(now)
	}
	if !as.c.membership.isLeader(now) || as.c.store.Unavailable() {
		return
	}
	leader := &as.term
	if leader.term != as.c.mirror.LeaderVersion {
		as.term = newLeaderState(as.c.mirror.LeaderVersion, &as.c.settings)
	}
	as.persistCatalog()
	as.reconcileScaleIns(now)
	if now >= leader.nextListAt && !leader.listInFlight {
		as.listMachines(now)
	}
	if !leader.inventoryRebuilt {
		return
	}
	as.reconcileScaleOuts(now)
	if now >= leader.nextPassAt {
		as.autoscalingPass(now)
		leader.nextPassAt = nextDue(now, as.c.now(), as.c.settings.AutoscalingInterval.Micros())
	}
}

// commitAsLeader makes a change conditional on our lead, one at a time a key.
func (as *autoscaler) commitAsLeader(
	priority ratelimit.Priority,
	busyKey string,
	txn protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	if as.term.commitInFlight[busyKey] {
		return
	}
	as.term.commitInFlight[busyKey] = true
	term := as.term.term
	txn.If = append(txn.If, as.c.membership.leadershipCompare())
	as.c.replica.Commit(priority, txn, func(result protocol.StoreResult) {
		if term != as.term.term {
			return
		}
		delete(as.term.commitInFlight, busyKey)
		if callback != nil {
			callback(result)
		}
	})
}

// persistCatalog keeps the cloud's catalogue in the store, so that a controller that
// starts during an outage of the cloud can accept and place. Prices move all the
// time and are not worth a write.
func (as *autoscaler) persistCatalog() {
	if as.c.catalog.fetchedAt == 0 {
		return
	}
	for _, name := range sortedmap.Keys(as.c.catalog.machineTypes) {
		machineType := as.c.catalog.machineTypes[name]
		have := as.c.mirror.MachineTypes[name]
		record := storage.MachineType{
			CPUs:          machineType.CPUs,
			GPUs:          machineType.GPUs,
			MemoryGB:      machineType.MemoryGB,
			CacheGB:       machineType.CacheGB,
			FetchGBPerS:   machineType.FetchGBPerS,
			OnDemandPrice: machineType.OnDemandPrice,
			SpotPrice:     machineType.SpotPrice,
			BootS:         machineType.BootS,
			Zones:         machineType.Zones,
		}
		same := record
		same.OnDemandPrice, same.SpotPrice = have.Record.OnDemandPrice, have.Record.SpotPrice
		if have.Version != 0 && reflect.DeepEqual(same, have.Record) || !protocol.ValidKeyPart(name) {
			continue
		}
		key := storage.Key(storage.KindMachineType, name)
		as.commitAsLeader(ratelimit.PriorityBackground, key, protocol.Transaction{
			If:   []protocol.Compare{{Key: key, Version: have.Version}},
			Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&record)}},
		}, nil)
	}
}

// ---- removals ----

// reconcileScaleIns has machines deleted: those that their parts want to be rid of, and
// such as nobody has. Many go by one record and one call; the record is written
// before the call, and says afterwards that they are gone.
func (as *autoscaler) reconcileScaleIns(now monotime.Micros) {
	leader := &as.term
	if now >= leader.nextScaleInAt {
		var removable []string
		for _, id := range sortedmap.Keys(as.c.mirror.Machines) {
			if machine := as.c.mirror.Machines[id]; machine.Record != nil &&
				machine.Record.State == storage.MachineRemoving &&
				as.c.mirror.ScaleInOfMachine[id] == "" {
				removable = append(removable, id)
			}
		}
		for _, id := range sortedmap.Keys(leader.failedMachines) {
			if as.c.mirror.ScaleInOfMachine[id] != "" {
				delete(leader.failedMachines, id)
				continue
			}
			removable = append(removable, id)
		}
		if len(removable) > 0 {
			leader.nextScaleInAt = now + scaleInInterval
			as.requestScaleIn(removable)
		}
	}
	for _, name := range sortedmap.Keys(as.c.mirror.ScaleIns) {
		removal := as.c.mirror.ScaleIns[name]
		if removal.Record.Gone {
			as.forgetScaleIn(name, removal)
			continue
		}
		if leader.scaleInInFlight[name] || now < leader.scaleInRetryAt[name] ||
			as.c.catalog.rateLimiter.WaitTime(now, 1) > 0 {
			continue
		}
		as.deleteMachines(name, removal)
	}
}

// requestScaleIn writes the record of a removal, as many machines as it can hold.
func (as *autoscaler) requestScaleIn(ids []string) {
	size, n := 64, 0
	for n < len(ids) && n < maxMachinesPerScaleIn && size+len(ids[n])+3 < as.c.maxValueBytes() {
		size += len(ids[n]) + 3
		n++
	}
	as.term.requestSequence++
	name := fmt.Sprintf("%d-%d", as.term.term, as.term.requestSequence)
	key := storage.Key(storage.KindScaleIn, name)
	record := storage.ScaleInRequest{Machines: ids[:n], StateSince: as.c.env.WallClock()}
	as.commitAsLeader(ratelimit.PriorityBackground, "removals", protocol.Transaction{
		If:   []protocol.Compare{{Key: key, Version: 0}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&record)}},
	}, func(result protocol.StoreResult) {
		if result.Outcome == protocol.OK {
			as.reconcileScaleIns(as.c.now())
		}
	})
}

func (as *autoscaler) deleteMachines(name string, removal *mirror.ScaleInEntry) {
	leader := &as.term
	as.c.catalog.rateLimiter.Take(1)
	leader.scaleInInFlight[name] = true
	term := leader.term
	as.c.env.CallCloud(
		&protocol.CloudCall{Op: protocol.CloudDelete, Delete: removal.Record.Machines, Timeout: cloudTimeout},
		func(result protocol.CloudResult) {
			if term != as.term.term {
				return
			}
			as.noteCloudOutcome(result.Outcome)
			delete(as.term.scaleInInFlight, name)
			as.term.scaleInRetryAt[name] = as.c.now() + cloudRetryDelay
			key := storage.Key(storage.KindScaleIn, name)
			record := removal.Record
			switch result.Outcome {
			case protocol.OK:
				// The proof that they and all on them are gone.
				record.Gone, record.StateSince = true, as.c.env.WallClock()
			case protocol.Throttled, protocol.Unavailable:
				return // the cloud's own trouble counts for nothing
			default:
				// A few quick tries, then it is flagged and tried on a long back-off.
				record.Attempts++
				if record.Attempts >= as.c.settings.ScaleInAttempts {
					record.Failed = true
					as.term.scaleInRetryAt[name] = as.c.now() + as.c.settings.ScaleInRetryInterval.Micros()
					as.c.log.Error(
						"machine deletion failed",
						"scale_in",
						name,
						"machines",
						len(record.Machines),
						"tries",
						record.Attempts,
						"outcome",
						result.Outcome.String(),
					)
				}
			}
			as.commitAsLeader(ratelimit.PriorityShardUpdate, key, protocol.Transaction{
				If:   []protocol.Compare{{Key: key, Version: removal.Version}},
				Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&record)}},
			}, func(result protocol.StoreResult) {
				if result.Outcome == protocol.OK && record.Gone {
					as.c.log.Info("machines deleted", "scale_in", name, "machines", len(record.Machines))
				}
			})
		},
	)
}

// forgetScaleIn drops a record whose machines are in no shard any more, once no
// late report of theirs is to be expected.
func (as *autoscaler) forgetScaleIn(name string, removal *mirror.ScaleInEntry) {
	if monotime.Micros(as.c.env.WallClock()-removal.Record.StateSince) < deletedMachineRetention {
		return
	}
	for _, id := range removal.Record.Machines {
		if machine := as.c.mirror.Machines[id]; machine != nil {
			return
		}
	}
	key := storage.Key(storage.KindScaleIn, name)
	as.commitAsLeader(ratelimit.PriorityBackground, key, protocol.Transaction{
		If:   []protocol.Compare{{Key: key, Version: removal.Version}},
		Then: []protocol.Op{{Delete: key}},
	}, nil)
}

// noteCloudOutcome logs the beginning and the end of the cloud's trouble.
func (as *autoscaler) noteCloudOutcome(outcome protocol.Outcome) {
	bad := outcome == protocol.Unavailable || outcome == protocol.Unknown
	if bad != as.term.cloudTrouble && outcome != protocol.Throttled {
		as.term.cloudTrouble = bad
		if bad {
			as.c.log.Info("cloud unavailable", "state", conditionBegin, "outcome", outcome.String())
		} else {
			as.c.log.Info("cloud unavailable", "state", conditionEnd)
		}
	}
}

// ---- the machine list ----

// listMachines reads the cloud's list to its end. It finds failed machines and
// such as nobody expected; an absent machine proves nothing, the list lags.
func (as *autoscaler) listMachines(now monotime.Micros) {
	leader := &as.term
	leader.listInFlight = true
	term := leader.term
	var listPage func(after string)
	listPage = func(after string) {
		if term != as.term.term {
			return
		}
		if !as.c.membership.isLeader(as.c.now()) { // what was listed is another leader's by now
			as.term.listInFlight = false
			return
		}
		if delay := as.c.catalog.rateLimiter.WaitTime(as.c.now(), 1); delay > 0 {
			as.c.env.After(delay, func() { listPage(after) })
			return
		}
		as.c.catalog.rateLimiter.Take(1)
		as.c.env.CallCloud(
			&protocol.CloudCall{Op: protocol.CloudList, After: after, Timeout: cloudTimeout},
			func(result protocol.CloudResult) {
				if term != as.term.term {
					return
				}
				as.noteCloudOutcome(result.Outcome)
				if result.Outcome != protocol.OK {
					as.term.listInFlight = false
					as.term.nextListAt = as.c.now() + cloudRetryDelay
					return
				}
				if !as.c.membership.isLeader(as.c.now()) {
					as.term.listInFlight = false
					return
				}
				for i := range result.Listed {
					as.inspectListed(&result.Listed[i])
				}
				if result.More && len(result.Listed) > 0 {
					listPage(result.Listed[len(result.Listed)-1].ID)
					return
				}
				as.term.listInFlight = false
				as.term.nextListAt = as.c.now() + listInterval
				as.adoptUnknownMachines()
				if !as.term.inventoryRebuilt {
					as.term.inventoryRebuilt = true
					as.c.log.Info(
						"inventory rebuilt, scale-out enabled",
						"machines",
						len(as.c.mirror.Machines),
						"scale_outs",
						len(as.c.mirror.ScaleOuts),
					)
				}
			},
		)
	}
	listPage("")
}

// inspectListed looks at one machine of the list.
func (as *autoscaler) inspectListed(listed *protocol.ListedMachine) {
	leader := &as.term
	if !protocol.ValidKeyPart(listed.ID) || as.c.mirror.ScaleInOfMachine[listed.ID] != "" {
		return
	}
	if machine := as.c.mirror.Machines[listed.ID]; machine != nil && machine.Record != nil {
		if listed.State == "failed" {
			leader.failedMachines[listed.ID] = "failed"
		}
		return
	}
	lag := monotime.FromSeconds(2*as.c.cfg.Facts.Cloud.ListLagS) + 5*monotime.Second
	switch {
	case listed.State == "failed":
		leader.failedMachines[listed.ID] = "failed before it was up"
	case as.c.mirror.ScaleOutOfMachine[listed.ID] == "" && monotime.FromSeconds(listed.AgeS) > lag:
		leader.unknownMachines[listed.ID] = listed
	}
}

// adoptUnknownMachines writes requests for machines that nobody asked for, so that they are
// claimed like any other when they are up, or given back when they don't come up.
func (as *autoscaler) adoptUnknownMachines() {
	leader := &as.term
	for _, id := range sortedmap.Keys(leader.unknownMachines) {
		listed := leader.unknownMachines[id]
		delete(leader.unknownMachines, id)
		if as.c.mirror.ScaleOutOfMachine[id] != "" || as.c.mirror.ScaleInOfMachine[id] != "" {
			continue
		}
		leader.requestSequence++
		name := fmt.Sprintf("r-%d-%d", leader.term, leader.requestSequence)
		key := storage.Key(storage.KindScaleOut, name)
		record := storage.ScaleOutRequest{
			Phase:       storage.ScaleOutProvisioning,
			MachineType: listed.Type,
			Zone:        listed.Zone,
			Spot:        listed.Spot,
			Count:       1,
			Machines: []string{
				id,
			},
			Live:       as.c.reachability.connectedControllers(),
			PhaseSince: as.c.env.WallClock(),
		}
		as.c.log.Info(
			"unrequested machine found",
			"machine",
			id,
			"machine_type",
			listed.Type,
			"zone",
			listed.Zone,
		)
		as.commitAsLeader(ratelimit.PriorityBackground, key, protocol.Transaction{
			If:   []protocol.Compare{{Key: key, Version: 0}},
			Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&record)}},
		}, nil)
	}
}

// ---- requests ----

// reconcileScaleOuts moves rental requests on.
func (as *autoscaler) reconcileScaleOuts(now monotime.Micros) {
	leader := &as.term
	wall := as.c.env.WallClock()
	for _, name := range sortedmap.Keys(as.c.mirror.ScaleOuts) {
		request := as.c.mirror.ScaleOuts[name]
		key := storage.Key(storage.KindScaleOut, name)
		age := monotime.Micros(wall - request.Record.PhaseSince)
		drop := protocol.Transaction{
			If:   []protocol.Compare{{Key: key, Version: request.Version}},
			Then: []protocol.Op{{Delete: key}},
		}
		switch request.Record.Phase {
		case storage.ScaleOutPending:
			if !leader.scaleOutInFlight[name] && now >= leader.scaleOutRetryAt[name] &&
				as.c.catalog.rateLimiter.WaitTime(now, 1) == 0 {
				as.callScaleOut(name, request)
			}
		case storage.ScaleOutNoCapacity:
			if age > as.c.settings.OfferQuarantine.Micros() {
				leader.backoffs.NoteOfferRecovery()
				as.commitAsLeader(ratelimit.PriorityBackground, key, drop, nil)
			}
		case storage.ScaleOutProvisioning:
			missing := autoscaling.MissingMachines(as.c.mirror, request)
			connected := as.c.reachability.connectedControllers()
			orphans := false
			for _, id := range missing {
				if !slices.Contains(connected, as.c.agents.designatedController(request, id)) {
					orphans = true
				}
			}
			switch {
			case len(missing) == 0 && as.c.mirror.WatchedRevision >= request.Version:
				as.commitAsLeader(ratelimit.PriorityBackground, key, drop, nil)
			case age > as.c.settings.ReadinessTimeout.Micros():
				// With the request goes the right to claim them.
				leader.requestSequence++
				removal := storage.Key(
					storage.KindScaleIn,
					fmt.Sprintf("%d-%d", leader.term, leader.requestSequence),
				)
				drop.If = append(drop.If, protocol.Compare{Key: removal, Version: 0})
				drop.Then = append(drop.Then, protocol.Op{Put: removal,
					Value: protocol.MustMarshal(
						&storage.ScaleInRequest{Machines: missing, StateSince: wall},
					)})
				as.commitAsLeader(ratelimit.PriorityBackground, key, drop, func(result protocol.StoreResult) {
					if result.Outcome == protocol.OK {
						as.c.log.Info(
							"machines not ready in time, scale-in requested",
							"scale_out",
							name,
							"machines",
							len(missing),
							"machine_type",
							request.Record.MachineType,
							"zone",
							request.Record.Zone,
						)
					}
				})
			case orphans && len(connected) > 0:
				// Those who were to claim them have gone, or can't: name others.
				record := request.Record
				record.Live, record.Own = connected, nil
				as.commitAsLeader(ratelimit.PriorityShardUpdate, key, protocol.Transaction{
					If:   []protocol.Compare{{Key: key, Version: request.Version}},
					Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&record)}},
				}, nil)
			}
		}
	}
}

// callScaleOut makes the cloud call of a request. Its name was written before, so a new
// leader repeats the very same call and the cloud gives the same answer.
func (as *autoscaler) callScaleOut(name string, request *mirror.ScaleOutEntry) {
	leader := &as.term
	leader.scaleOutInFlight[name] = true
	as.c.catalog.rateLimiter.Take(1)
	term := leader.term
	call := &protocol.CloudCall{Op: protocol.CloudRent, Timeout: cloudTimeout, Rent: protocol.RentRequest{
		Name: name, Type: request.Record.MachineType, Zone: request.Record.Zone, Spot: request.Record.Spot, Count: request.Record.Count}}
	as.c.env.CallCloud(call, func(result protocol.CloudResult) {
		if term != as.term.term {
			return
		}
		delete(as.term.scaleOutInFlight, name)
		as.term.scaleOutRetryAt[name] = as.c.now() + cloudRetryDelay
		as.noteCloudOutcome(result.Outcome)
		record := request.Record
		switch {
		case result.Outcome == protocol.OK && len(result.Rented) > 0:
			record.Phase, record.Machines, record.Live = storage.ScaleOutProvisioning, result.Rented, as.c.reachability.connectedControllers()
			as.c.log.Info(
				"scale-out completed",
				"scale_out",
				name,
				"machine_type",
				record.MachineType,
				"zone",
				record.Zone,
				"spot",
				record.Spot,
				"requested",
				record.Count,
				"machines",
				len(result.Rented),
			)
		case result.Outcome == protocol.OK, result.Outcome == protocol.NoCapacity:
			record.Phase = storage.ScaleOutNoCapacity
			as.c.log.Info("insufficient capacity, offer quarantined", "machine_type", record.MachineType,
				"zone", record.Zone, "spot", record.Spot)
		case result.Outcome == protocol.Rejected:
			as.c.log.Error(
				"scale-out request rejected",
				"scale_out",
				name,
				"machine_type",
				record.MachineType,
			)
			record.Phase = storage.ScaleOutNoCapacity
		default:
			// Throttled, troubled or unknown: says nothing about the offer. The
			// same name is asked again.
			return
		}
		record.PhaseSince = as.c.env.WallClock()
		key := storage.Key(storage.KindScaleOut, name)
		txn := protocol.Transaction{
			If:   []protocol.Compare{{Key: key, Version: request.Version}},
			Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&record)}},
		}
		if record.Phase == storage.ScaleOutProvisioning && len(result.Rented) < record.Count {
			// Partly filled: the rest isn't to be had for now.
			unmetRequest := storage.ScaleOutRequest{
				Phase:       storage.ScaleOutNoCapacity,
				MachineType: record.MachineType,
				Zone:        record.Zone,
				Spot:        record.Spot,
				PhaseSince:  record.PhaseSince,
			}
			txn.Then = append(
				txn.Then,
				protocol.Op{Put: key + "-rest", Value: protocol.MustMarshal(&unmetRequest)},
			)
		}
		as.commitAsLeader(ratelimit.PriorityShardUpdate, key, txn, nil)
	})
}

// requestScaleOut writes a request; its cloud call follows once it is written. The name
// holds the term, so no other leader ever uses it.
func (as *autoscaler) requestScaleOut(offer autoscaling.Offer, machines int) {
	leader := &as.term
	leader.requestSequence++
	name := fmt.Sprintf("r-%d-%d", leader.term, leader.requestSequence)
	key := storage.Key(storage.KindScaleOut, name)
	record := storage.ScaleOutRequest{
		Phase:       storage.ScaleOutPending,
		MachineType: offer.MachineType,
		Zone:        offer.Zone,
		Spot:        offer.Spot,
		Count:       machines,
		PhaseSince:  as.c.env.WallClock(),
	}
	as.commitAsLeader(ratelimit.PriorityShardUpdate, key, protocol.Transaction{
		If:   []protocol.Compare{{Key: key, Version: 0}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&record)}},
	}, func(result protocol.StoreResult) {
		if result.Outcome == protocol.OK {
			as.reconcileScaleOuts(as.c.now())
		}
	})
}
