package coordination

import (
	"fmt"
	"math"
	"sort"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// autoscaler rents and returns machines while this controller is the leader.
type autoscaler struct {
	c *Controller

	term                    leaderTermState
	emptySince              map[string]monotime.Micros // own machines, since when they are empty
	nextEmptyMachineCheckAt monotime.Micros
}

// Bounds of a pass.
const (
	maxMachinesPerPass = 600 // machines rented in a pass
	bootPenaltySeconds = 60  // seconds: boot time that makes an offer look twice as dear
)

// quarantinedOffers lists the offers that are sidelined.
func (as *autoscaler) quarantinedOffers() map[offer]bool {
	out := map[offer]bool{}
	for _, request := range as.c.mirror.ScaleOuts {
		if request.Record.Phase == storage.ScaleOutNoCapacity {
			out[offer{request.Record.MachineType, request.Record.Zone, request.Record.Spot}] = true
		}
	}
	return out
}

// demandAndSupply lists the unplaced tasks that teams' limits let run, and the room
// there is for them: machines that are there, and open requests.
func (as *autoscaler) demandAndSupply(now monotime.Micros) ([]*taskDemand, []*machineBin) {
	waiting := append(as.unplacedDemand(now), as.c.drains.replacementDemands()...)
	return waiting, append(as.machineBins(), as.requestedBins()...)
}

// unplacedDemand lists the tasks without room that teams' limits let run.
func (as *autoscaler) unplacedDemand(now monotime.Micros) []*taskDemand {
	var out []*taskDemand
	teamLeft := map[string]resources.Vector{}
	for i, job := range as.c.scheduler.orderedQueue() {
		spec := &job.Record.Spec
		if s := as.c.scheduler.jobStates[job.ID]; s != nil && now < s.placeNotBefore {
			continue
		}
		mistaken := as.c.scheduler.isCrashLooping(job)
		if mistaken && !as.c.scheduler.mayScaleOutForTrial(job, now) {
			continue // it is tried in what room there is
		}
		left, ok := teamLeft[spec.Team]
		if !ok {
			limits, _ := as.c.quota.Limits(spec.Team)
			left = limits.Remaining(as.c.mirror.UseByTeam[spec.Team])
		}
		n := min(job.UnassignedTasks(), job.TaskResources.CountIn(left))
		teamLeft[spec.Team] = left.AddScaled(job.TaskResources, -float64(n))
		if n == 0 {
			continue
		}
		slack, _ := as.slackOf(job, as.c.env.WallClock())
		demand := &taskDemand{
			spec:            spec,
			need:            job.TaskResources,
			tasks:           n,
			jobID:           job.ID,
			queueIndex:      i,
			zoneConstraint:  newZoneConstraint(as.c.mirror, job),
			slackSeconds:    slack,
			expectedSeconds: as.c.scheduler.expectedRunSeconds(spec),
			spotOnly:        as.c.scheduler.spotOnly(job),
		}
		if !demand.spotOnly && as.c.scheduler.isScavenger(job) || mistaken {
			demand.tasks, demand.crashLoopTrial = 1, mistaken
		}
		out = append(out, demand)
	}
	return out
}

// machineBins lists the machines that may get tasks.
func (as *autoscaler) machineBins() []*machineBin {
	var out []*machineBin
	for _, id := range sortedmap.Keys(as.c.mirror.Machines) {
		machine := as.c.mirror.Machines[id]
		if machine.Record == nil || machine.Record.State != storage.MachineOpen {
			continue
		}
		machineType, ok := as.c.catalog.machineTypes[machine.Record.Type]
		if !ok {
			continue
		}
		size := mirror.MachineCapacity(&machineType)
		bin := &machineBin{
			machineType: machine.Record.Type,
			zone:        machine.Record.Zone,
			spot:        machine.Record.Spot,
			capacity:    size,
			free:        size.AddScaled(machine.Used, -1),
			machineID:   id,
		}
		as.estimateRoom(bin, machine)
		out = append(out, bin)
	}
	return out
}

// requestedBins lists the machines that open requests will bring: they are supply.
func (as *autoscaler) requestedBins() []*machineBin {
	var out []*machineBin
	for _, name := range sortedmap.Keys(as.c.mirror.ScaleOuts) {
		request := as.c.mirror.ScaleOuts[name]
		machineType, ok := as.c.catalog.machineTypes[request.Record.MachineType]
		if !ok || request.Record.Phase == storage.ScaleOutNoCapacity {
			continue
		}
		coming, late := as.expectedMachines(request, machineType.BootS)
		for range coming {
			out = append(
				out,
				&machineBin{
					machineType: request.Record.MachineType,
					zone:        request.Record.Zone,
					spot:        request.Record.Spot,
					capacity:    mirror.MachineCapacity(&machineType),
					free:        mirror.MachineCapacity(&machineType),
					arrayCPUs:   machineType.CPUs,
					bootSeconds: machineType.BootS,
					overdue:     late,
				},
			)
		}
	}
	return out
}

// expectedMachines tells how many machines a request may be relied on to bring, and whether they
// are late already.
func (as *autoscaler) expectedMachines(
	request *mirror.ScaleOutEntry,
	bootS float64,
) (machines int, late bool) {
	if request.Record.Phase != storage.ScaleOutProvisioning {
		return request.Record.Count, false
	}
	if as.c.settings.OverdueBootFactor > 0 {
		boots := monotime.Micros(as.c.env.WallClock()-request.Record.PhaseSince).Seconds() / max(bootS, 1)
		if boots > 1.5*as.c.settings.OverdueBootFactor {
			return 0, false // those that are missing are slow or dead: no longer to be relied on
		}
		late = boots > as.c.settings.OverdueBootFactor
	}
	return len(as.missingMachines(request)), late
}

// estimateRoom estimates what a machine can give to waiting tasks: what its
// services hold is out, and its other tasks are taken to be half through.
func (as *autoscaler) estimateRoom(bin *machineBin, machine *mirror.Machine) {
	machineType := as.c.catalog.machineTypes[bin.machineType]
	bin.arrayCPUs, bin.bootSeconds = machineType.CPUs, machineType.BootS
	for task := range machine.Attempts {
		job := as.c.mirror.Jobs[task.Job]
		if job == nil {
			continue
		}
		if job.Record.Spec.Service {
			bin.arrayCPUs -= job.TaskResources.CPUs
		} else {
			bin.preemptibleByServices = bin.preemptibleByServices.AddScaled(job.TaskResources, 1)
			if as.c.scheduler.isPreemptible(job) {
				if bin.preemptibleByPriority == nil {
					bin.preemptibleByPriority = map[int]resources.Vector{}
				}
				priority := job.Record.Spec.Priority
				bin.preemptibleByPriority[priority] = bin.preemptibleByPriority[priority].AddScaled(job.TaskResources, 1)
				continue // it isn't waited for, it gives way
			}
			lasts := as.c.scheduler.expectedRunSeconds(&job.Record.Spec)
			bin.committedCPUSeconds += resources.Round(job.TaskResources.CPUs * lasts / 2)
			bin.running = append(bin.running, runningTask{resources.Round(job.TaskResources.CPUs), resources.Round(lasts)})
		}
	}
}

// estimateMargin stretches estimates: they are wrong, and images must be fetched.
const estimateMargin = 1.2

// latestStarts are the times by which the users' aims would have a job's tasks begin, in
// seconds from its submission, the shortest first: multiples of its deadline and the
// times within which its class is to be finished, less its run; the times within
// which its class is to have started. Without any of them it has no such time.
func (as *autoscaler) latestStarts(spec *storage.JobSpec) []float64 {
	run := estimateMargin * as.c.scheduler.expectedRunSeconds(spec)
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

// availableOffers lists what may be rented now.
func (as *autoscaler) availableOffers() []*pricedOffer {
	heard := as.zoneReachability()
	as.updateUnreachableZones(heard)
	unmet, inZone := as.quarantinedOffers(), as.machinesByZone()
	var out []*pricedOffer
	for _, name := range sortedmap.Keys(as.c.catalog.machineTypes) {
		machineType := as.c.catalog.machineTypes[name]
		for _, zone := range machineType.Zones {
			if as.term.unreachableZones[zone] {
				continue // what is rented there would wait, paid for, until it is back
			}
			for _, spot := range []bool{true, false} {
				o := offer{name, zone, spot}
				price := effectivePrice(&machineType, spot)
				if unmet[o] || price <= 0 || as.c.drains.closesOffer(o) {
					continue
				}
				out = append(
					out,
					&pricedOffer{
						offer:        o,
						capacity:     mirror.MachineCapacity(&machineType),
						price:        price,
						zoneMachines: inZone[zone],
					},
				)
			}
		}
	}
	return out
}

// effectivePrice is an offer's price, with the boot time on top: that is paid for too, and keeps
// tasks waiting.
func effectivePrice(machineType *protocol.MachineType, spot bool) float64 {
	price := machineType.OnDemandPrice
	if spot {
		price = machineType.SpotPrice
	}
	return price * (1 + machineType.BootS/bootPenaltySeconds)
}

// zoneReachability counts each zone's machines, and which of them are silent.
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

// machinesByZone counts the machines that are there or requested.
func (as *autoscaler) machinesByZone() map[string]int {
	count := map[string]int{}
	for _, machine := range as.c.mirror.Machines {
		if machine.Record != nil {
			count[machine.Record.Zone]++
		}
	}
	for _, request := range as.c.mirror.ScaleOuts {
		if request.Record.Phase != storage.ScaleOutNoCapacity {
			count[request.Record.Zone] += request.Record.Count
		}
	}
	return count
}

// updateUnreachableZones follows which zones have fallen silent as a whole.
func (as *autoscaler) updateUnreachableZones(heard map[string]*silenceCount) {
	for zone := range as.term.unreachableZones {
		if !heard[zone].isUnreachable() {
			delete(as.term.unreachableZones, zone)
			as.term.offerRecoveries++
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

// autoscalingPass is the design's: demand net of room and open requests, then rentals,
// then empty machines.
func (as *autoscaler) autoscalingPass(now monotime.Micros) {
	if as.c.catalog.machineTypes == nil {
		return
	}
	demands, bins := as.unmetDemand(now)
	as.forgetPlacedJobs(demands)
	wanted := as.eligibleDemand(demands, now)
	before := map[string]int{}
	for _, demand := range wanted {
		before[demand.jobID] = demand.tasks
	}
	chosen := as.planScaleOut(wanted, bins)
	for _, demand := range wanted {
		as.updateBackoff(demand, demand.tasks < before[demand.jobID], now)
	}
	for _, o := range sortedOffers(chosen) {
		for n := chosen[o]; n > 0; n -= maxMachinesPerScaleOut {
			as.requestScaleOut(o, min(n, maxMachinesPerScaleOut))
		}
	}
}

// unmetDemand is what finds no room in the machines that are there or requested, headroom
// included.
func (as *autoscaler) unmetDemand(now monotime.Micros) ([]*taskDemand, []*machineBin) {
	demands, bins := as.demandAndSupply(now)
	for _, demand := range demands {
		if demand.crashLoopTrial {
			as.c.scheduler.trackingOf(demand.jobID).trialDemandAt = max(now, 1)
		}
	}
	largestFirst(demands)
	fillBins(demands, bins)
	absorbByPreemption(demands, bins)
	reserve := as.serviceHeadroom()
	reserveHeadroom(reserve, bins, map[string]bool{})
	absorbDemand(demands, bins, as.c.settings.ExpectedCapacity, false)
	return append(demands, reserve...), bins
}

// eligibleDemand leaves out what is met, and jobs that have backed off.
func (as *autoscaler) eligibleDemand(demands []*taskDemand, now monotime.Micros) []*taskDemand {
	var wanted []*taskDemand
	for _, demand := range demands {
		if demand.tasks > 0 && !as.inBackoff(demand.jobID, now) {
			wanted = append(wanted, demand)
		}
	}
	return wanted
}

// inBackoff tells whether nothing is rented for a job for now.
func (as *autoscaler) inBackoff(job string, now monotime.Micros) bool {
	backoff := as.term.unplaceableJobs[job]
	if backoff == nil {
		return false
	}
	if backoff.suspended {
		return backoff.offerRecoveries == as.term.offerRecoveries
	}
	return now < backoff.retryAt
}

// forgetPlacedJobs drops the notes about jobs that wait no more.
func (as *autoscaler) forgetPlacedJobs(demands []*taskDemand) {
	waiting := map[string]bool{}
	for _, demand := range demands {
		waiting[demand.jobID] = waiting[demand.jobID] || demand.tasks > 0
	}
	for id := range as.term.unplaceableJobs {
		if !waiting[id] {
			delete(as.term.unplaceableJobs, id)
		}
	}
}

// serviceHeadroom is room that is kept for services yet to come: a partition of what each
// class of services uses now. A service that finds room starts within its image
// fetch, one that doesn't waits for a boot.
func (as *autoscaler) serviceHeadroom() []*taskDemand {
	if as.c.settings.ServiceHeadroom == 0 {
		return nil
	}
	count := map[string]int{}
	like := map[string]*mirror.Job{}
	for _, id := range sortedmap.Keys(as.c.mirror.Jobs) {
		if job := as.c.mirror.Jobs[id]; job.IsOpen() && job.Record.Spec.Service &&
			!as.c.scheduler.isCrashLooping(job) {
			k := job.Record.Spec.Class
			count[k] += job.Record.Spec.Tasks
			like[k] = job
		}
	}
	var out []*taskDemand
	for _, k := range sortedmap.Keys(like) {
		spec := like[k].Record.Spec
		spec.OneZone, spec.Spread, spec.Zone, spec.MachineTypes = false, false, "", nil
		n := int(math.Ceil(float64(count[k]) * as.c.settings.ServiceHeadroom))
		out = append(
			out,
			&taskDemand{
				spec:       &spec,
				need:       like[k].TaskResources,
				tasks:      n,
				jobID:      "headroom " + k,
				queueIndex: math.MaxInt32,
			},
		)
	}
	return out
}

// planScaleOut plans in two steps: first spot machines for the tasks that may use
// them, and what the others need; then, for spot tasks that are left and would
// wait beyond the longer horizon, ordinary machines.
func (as *autoscaler) planScaleOut(wanted []*taskDemand, bins []*machineBin) map[offer]int {
	chosen := map[offer]int{}
	offers := as.availableOffers()
	planOffers(
		wanted,
		offers,
		maxMachinesPerPass,
		func(demand *taskDemand, o *pricedOffer) bool { return o.spot == demand.spec.Spot },
		chosen,
	)
	for _, o := range sortedOffers(chosen) {
		machineType := as.c.catalog.machineTypes[o.machineType]
		for n := chosen[o]; n > 0; n-- {
			bins = append(
				bins,
				&machineBin{
					machineType: o.machineType,
					zone:        o.zone,
					spot:        o.spot,
					capacity:    mirror.MachineCapacity(&machineType),
					arrayCPUs:   machineType.CPUs,
					bootSeconds: machineType.BootS,
				},
			)
		}
	}
	absorbDemand(wanted, bins, as.c.settings.ExpectedOnDemandCapacity, true)
	planOffers(
		wanted,
		offers,
		maxMachinesPerPass,
		func(demand *taskDemand, o *pricedOffer) bool { return o.spot || !demand.spotOnly },
		chosen,
	)
	return chosen
}

// sortedOffers lists what was chosen always in the same order.
func sortedOffers(chosen map[offer]int) []offer {
	var out []offer
	for o := range chosen {
		out = append(out, o)
	}
	sort.Slice(out, func(a, b int) bool { return fmt.Sprint(out[a]) < fmt.Sprint(out[b]) })
	return out
}

// updateBackoff follows a job whose tasks no offer can take: after several passes it
// pauses, longer each time, and at the ceiling it leaves the demand until an
// offer recovers.
func (as *autoscaler) updateBackoff(demand *taskDemand, met bool, now monotime.Micros) {
	leader := &as.term
	if met {
		delete(leader.unplaceableJobs, demand.jobID)
		return
	}
	backoff := leader.unplaceableJobs[demand.jobID]
	if backoff == nil {
		backoff = &unplacedBackoff{}
		leader.unplaceableJobs[demand.jobID] = backoff
	}
	backoff.unmetPasses++
	if backoff.suspended {
		backoff.offerRecoveries = leader.offerRecoveries
		return
	}
	if backoff.unmetPasses < as.c.settings.BackoffPasses {
		return
	}
	if backoff.delay == 0 {
		backoff.delay = as.c.settings.BackoffFirst.Micros()
	} else {
		backoff.delay *= 2
	}
	if backoff.delay >= as.c.settings.BackoffMax.Micros() {
		backoff.suspended, backoff.offerRecoveries = true, leader.offerRecoveries
		as.c.log.Info(
			"job removed from demand, insufficient capacity",
			"job",
			demand.jobID,
			"tasks",
			demand.tasks,
		)
		return
	}
	backoff.retryAt = now + backoff.delay
}

// scaleInDelay is how long an empty machine stays closed before it is given back: the delay
// for what is cheapest, less for a dearer kind of the same type, by its price. What is
// kept for the next burst is better kept where it costs least.
func (as *autoscaler) scaleInDelay(record *storage.ShardMachine) monotime.Micros {
	delay := as.c.settings.ScaleDownDelay.Micros()
	if machineType := as.c.catalog.machineTypes[record.Type]; !record.Spot && machineType.SpotPrice > 0 &&
		machineType.SpotPrice < machineType.OnDemandPrice {
		return monotime.Micros(float64(delay) * machineType.SpotPrice / machineType.OnDemandPrice)
	}
	return delay
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
		_, bins := as.demandAndSupply(now)
		reserveHeadroom(append(as.serviceHeadroom(), moving...), bins, needed)
	}
	for id := range as.c.drains.reservations() {
		needed[id] = true
	}
	synced := map[string]bool{}
	for _, id := range sortedmap.Keys(as.c.mirror.Machines) {
		machine := as.c.mirror.Machines[id]
		if as.c.agents.agentOf(machine) == nil || machine.Record == nil || len(machine.Attempts) > 0 ||
			needed[id] && machine.Record.State == storage.MachineOpen &&
				!as.c.agents.agentOf(machine).FailureProne ||
			as.c.agents.agentOf(machine).RemovalReason != "" {
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

func newAutoscaler(c *Controller) *autoscaler {
	return &autoscaler{c: c, term: newLeaderState(0), emptySince: map[string]monotime.Micros{}}
}
