package coordination

import (
	"math"
	"sort"

	"pipitgap/internal/autoscaling"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// autoscaler requests machines from the cloud and has them removed while this controller is the leader.
type autoscaler struct {
	c *Controller

	term                    leaderTermState
	emptySince              map[string]monotime.Micros // own machines, since when they are empty
	nextEmptyMachineCheckAt monotime.Micros
}

func newAutoscaler(c *Controller) *autoscaler {
	return &autoscaler{c: c, term: newLeaderState(0, &c.settings), emptySince: map[string]monotime.Micros{}}
}

// snapshot is what demand and supply are read from.
func (as *autoscaler) snapshot(now monotime.Micros) *autoscaling.Snapshot {
	return &autoscaling.Snapshot{
		Records:           as.c.mirror,
		MachineTypes:      as.c.catalog.machineTypes,
		Jobs:              jobPolicy{as.c},
		Now:               now,
		WallClock:         as.c.env.WallClock(),
		ServiceHeadroom:   as.c.settings.ServiceHeadroom,
		OverdueBootFactor: as.c.settings.OverdueBootFactor,
	}
}

// demandAndSupply lists the tasks without room that the quotas let run, those that drains want replaced among them,
// and the machines that are up or requested.
func (as *autoscaler) demandAndSupply(snapshot *autoscaling.Snapshot) ([]*autoscaling.Demand, []*autoscaling.Bin) {
	waiting := append(
		snapshot.UnplacedDemand(as.c.scheduler.orderedQueue()),
		as.c.drains.replacementDemands()...,
	)
	return waiting, snapshot.Bins()
}

// autoscalingPass requests machines for the demand that neither the machines nor the open requests can take.
func (as *autoscaler) autoscalingPass(now monotime.Micros) {
	if as.c.catalog.machineTypes == nil {
		return
	}
	snapshot := as.snapshot(now)
	plan := as.newPlan(snapshot)
	unmet := plan.Unmet()
	as.term.backoffs.ForgetMet(unmet)
	wanted := as.term.backoffs.Eligible(unmet, now)
	tasksBefore := map[string]int{}
	for _, demand := range wanted {
		tasksBefore[demand.JobID] = demand.Tasks
	}
	scaleOuts := plan.ScaleOuts(wanted, as.availableOffers(snapshot))
	for _, demand := range wanted {
		met := demand.Tasks < tasksBefore[demand.JobID]
		if as.term.backoffs.Update(demand.JobID, met, now) {
			as.c.log.Info("job removed from demand, insufficient capacity",
				"job", demand.JobID, "tasks", demand.Tasks)
		}
	}
	for _, scaleOut := range scaleOuts {
		for n := scaleOut.Machines; n > 0; n -= maxMachinesPerScaleOut {
			as.requestScaleOut(scaleOut.Offer, min(n, maxMachinesPerScaleOut))
		}
	}
}

// newPlan reads the inputs of a pass, and notes for which jobs that fail everywhere a trial is planned.
func (as *autoscaler) newPlan(snapshot *autoscaling.Snapshot) *autoscaling.Plan {
	demands, bins := as.demandAndSupply(snapshot)
	for _, demand := range demands {
		if demand.CrashLoopTrial {
			as.c.scheduler.recordTrialDemand(demand.JobID, snapshot.Now)
		}
	}
	return &autoscaling.Plan{
		Waiting:                  demands,
		Headroom:                 snapshot.HeadroomDemand(),
		Bins:                     bins,
		MachineTypes:             as.c.catalog.machineTypes,
		ExpectedCapacity:         as.c.settings.ExpectedCapacity,
		ExpectedOnDemandCapacity: as.c.settings.ExpectedOnDemandCapacity,
	}
}

// availableOffers lists what may be requested now. What is requested in a zone that is unreachable as a whole would
// wait, at a cost, until the zone is back.
func (as *autoscaler) availableOffers(snapshot *autoscaling.Snapshot) []*autoscaling.PricedOffer {
	as.updateUnreachableZones(as.zoneReachability())
	return snapshot.Offers(func(offer autoscaling.Offer) bool {
		return as.term.unreachableZones[offer.Zone] || as.c.drains.closesOffer(offer)
	})
}

// zoneReachability counts each zone's machines, and how many of them are silent.
func (as *autoscaler) zoneReachability() map[string]*silenceCount {
	heard := map[string]*silenceCount{}
	for _, machine := range as.c.mirror.Machines {
		if machine.Record == nil {
			continue
		}
		if heard[machine.Record.Zone] == nil {
			heard[machine.Record.Zone] = &silenceCount{}
		}
		heard[machine.Record.Zone].add(
			machine.Record.State == storage.MachineUnreachable,
			machine.Record.State != storage.MachineOpen,
		)
	}
	return heard
}

// updateUnreachableZones follows which zones are unreachable as a whole.
func (as *autoscaler) updateUnreachableZones(heard map[string]*silenceCount) {
	for zone := range as.term.unreachableZones {
		if !heard[zone].isUnreachable() {
			delete(as.term.unreachableZones, zone)
			as.term.backoffs.NoteOfferRecovery()
			as.c.log.Info("zone unreachable", "state", conditionEnd, "zone", zone)
		}
	}
	for _, zone := range sortedmap.Keys(heard) {
		if zoneSilence := heard[zone]; zoneSilence.isUnreachable() && !as.term.unreachableZones[zone] {
			as.term.unreachableZones[zone] = true
			as.c.log.Info("zone unreachable", "state", conditionBegin, "zone", zone,
				"machines", zoneSilence.machines, "machines_unreachable", zoneSilence.silent)
		}
	}
}

// latestStarts are the times by which the users' aims would have a job's tasks begin, in
// seconds from its submission, the shortest first: multiples of its deadline and the
// times within which its class is to be finished, less its run; the times within
// which its class is to have started. Without any of them it has no such time.
func (as *autoscaler) latestStarts(spec *storage.JobSpec) []float64 {
	run := autoscaling.EstimateMargin * as.c.scheduler.expectedRunSeconds(spec)
	var out []float64
	due := false
	for _, o := range as.c.cfg.Facts.Objectives {
		switch {
		case o.Class != spec.Class || spec.Service:
		case o.Kind == "finished":
			out = append(out, o.WithinS-run)
		case o.Kind == "wait":
			out = append(out, o.WithinS)
		case o.Kind == "deadline" && spec.DeadlineS > 0 && o.Times > 0:
			out = append(out, o.Times*spec.DeadlineS-run)
			due = true
		}
	}
	if !due && spec.DeadlineS > 0 {
		out = append(out, spec.DeadlineS-run)
	}
	if len(out) == 0 {
		return []float64{math.Inf(1)}
	}
	sort.Float64s(out)
	return out
}

// slackOf tells how many seconds a job's waiting tasks may still wait and meet the
// first of its aims that can still be met, and how many can't.
func (as *autoscaler) slackOf(job *mirror.Job, wall int64) (seconds float64, missed int) {
	age := monotime.Micros(wall - job.Record.AcceptedAt).Seconds()
	begins := as.latestStarts(&job.Record.Spec)
	for missed < len(begins) && begins[missed] < age {
		missed++
	}
	return begins[min(missed, len(begins)-1)] - age, missed
}

// scaleInDelay is how long an empty machine stays closed before it is removed.
func (as *autoscaler) scaleInDelay(record *storage.ShardMachine) monotime.Micros {
	machineType := as.c.catalog.machineTypes[record.Type]
	return autoscaling.ScaleInDelay(machineType, record.Spot, as.c.settings.ScaleDownDelay.Micros())
}

// scaleInEmpty closes our empty machines, and has them given back after the delay if
// they are still empty; headroom that all partitions together keep is left. Closing is
// only a matter of the part that places on them: a waiting task reopens one
// without a write. Each part does so for its own machines, as it alone writes its
// shards, and the leader deletes them.
func (as *autoscaler) scaleInEmpty(now monotime.Micros) {
	if as.c.catalog.machineTypes == nil {
		return
	}
	needed := map[string]bool{}
	moving := as.c.drains.replacementDemands()
	if as.c.settings.ServiceHeadroom > 0 || len(moving) > 0 {
		snapshot := as.snapshot(now)
		// Computing the demand too is not for nothing: the queue's order follows which jobs are starved.
		_, bins := as.demandAndSupply(snapshot)
		needed = autoscaling.MachinesNeeded(append(snapshot.HeadroomDemand(), moving...), bins)
	}
	for id := range as.c.drains.reservations() {
		needed[id] = true
	}
	synced := map[string]bool{}
	for _, id := range sortedmap.Keys(as.c.mirror.Machines) {
		machine := as.c.mirror.Machines[id]
		if as.c.agents.agentOf(machine) == nil || machine.Record == nil || len(machine.Attempts) > 0 ||
			needed[id] && machine.Record.State == storage.MachineOpen &&
				!as.c.agents.agentOf(machine).Failures().FailureProne() ||
			as.c.agents.agentOf(machine).RemovalReason() != "" {
			continue
		}
		switch machine.Record.State {
		case storage.MachineOpen:
			synced[id] = true
			at, ok := as.emptySince[id]
			if !ok {
				as.emptySince[id] = now
				continue
			}
			closed, ok := as.c.api.jobsClosedAt[id]
			if !ok && now-at >= 2*as.c.settings.AutoscalingInterval.Micros() {
				as.c.api.jobsClosedAt[id] = now
			} else if ok && now-closed >= as.scaleInDelay(machine.Record) {
				as.c.agents.requestRemoval(machine, removalReasonIdle)
			}
		case storage.MachineCordoned:
			synced[id] = true
			if _, ok := as.emptySince[id]; !ok {
				as.emptySince[id] = now
			}
			if as.c.drains.mayScaleIn(machine, now-as.emptySince[id]) {
				as.c.agents.requestRemoval(machine, removalReasonDrained)
			}
		case storage.MachineDraining:
			as.c.agents.requestRemoval(machine, removalReasonDrained)
		}
	}
	for id := range as.emptySince {
		if !synced[id] {
			delete(as.emptySince, id)
			delete(as.c.api.jobsClosedAt, id)
		}
	}
}
