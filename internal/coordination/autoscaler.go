package coordination

import (
	"fmt"
	"math"
	"sort"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// Bounds of a pass.
const (
	maxMachinesPerPass = 600 // machines rented in a pass
	bootPenaltySeconds = 60  // seconds: boot time that makes an offer look twice as dear
)

// quarantinedOffers lists the offers that are sidelined.
func (c *Controller) quarantinedOffers() map[offer]bool {
	out := map[offer]bool{}
	for _, request := range c.mirror.ScaleOuts {
		if request.Record.Phase == storage.ScaleOutNoCapacity {
			out[offer{request.Record.MachineType, request.Record.Zone, request.Record.Spot}] = true
		}
	}
	return out
}

// demandAndSupply lists the unplaced tasks that teams' limits let run, and the room
// there is for them: machines that are there, and open requests.
func (c *Controller) demandAndSupply(now monotime.Micros) ([]*taskDemand, []*machineBin) {
	waiting := append(c.unplacedDemand(now), c.drains.replacementDemands()...)
	return waiting, append(c.machineBins(), c.requestedBins()...)
}

// unplacedDemand lists the tasks without room that teams' limits let run.
func (c *Controller) unplacedDemand(now monotime.Micros) []*taskDemand {
	var out []*taskDemand
	teamLeft := map[string]Resources{}
	for i, job := range c.orderedQueue() {
		spec := &job.Record.Spec
		if s := c.jobStates[job.ID]; s != nil && now < s.placeNotBefore {
			continue
		}
		mistaken := c.isCrashLooping(job)
		if mistaken && !c.mayScaleOutForTrial(job, now) {
			continue // it is tried in what room there is
		}
		left, ok := teamLeft[spec.Team]
		if !ok {
			team, _ := c.teamLimits(spec.Team)
			left = team.remaining(c.mirror.UseByTeam[spec.Team])
		}
		n := min(job.UnassignedTasks(), job.TaskResources.CountIn(left))
		teamLeft[spec.Team] = left.AddScaled(job.TaskResources, -float64(n))
		if n == 0 {
			continue
		}
		slack, _ := c.slackOf(job, c.env.WallClock())
		demand := &taskDemand{spec: spec, need: job.TaskResources, tasks: n, jobID: job.ID, queueIndex: i, zoneConstraint: newZoneConstraint(c.mirror, job),
			slackSeconds: slack, expectedSeconds: c.expectedRunSeconds(spec), spotOnly: c.spotOnly(job)}
		if !demand.spotOnly && c.isScavenger(job) || mistaken {
			demand.tasks, demand.crashLoopTrial = 1, mistaken
		}
		out = append(out, demand)
	}
	return out
}

// machineBins lists the machines that may get tasks.
func (c *Controller) machineBins() []*machineBin {
	var out []*machineBin
	for _, id := range sortedKeys(c.mirror.Machines) {
		machine := c.mirror.Machines[id]
		if machine.Record == nil || machine.Record.State != storage.MachineOpen {
			continue
		}
		machineType, ok := c.machineTypes[machine.Record.Type]
		if !ok {
			continue
		}
		size := machineCapacity(&machineType)
		bin := &machineBin{machineType: machine.Record.Type, zone: machine.Record.Zone, spot: machine.Record.Spot, capacity: size, free: size.AddScaled(machine.Used, -1), machineID: id}
		c.estimateRoom(bin, machine)
		out = append(out, bin)
	}
	return out
}

// requestedBins lists the machines that open requests will bring: they are supply.
func (c *Controller) requestedBins() []*machineBin {
	var out []*machineBin
	for _, name := range sortedKeys(c.mirror.ScaleOuts) {
		request := c.mirror.ScaleOuts[name]
		machineType, ok := c.machineTypes[request.Record.MachineType]
		if !ok || request.Record.Phase == storage.ScaleOutNoCapacity {
			continue
		}
		coming, late := c.expectedMachines(request, machineType.BootS)
		for range coming {
			out = append(out, &machineBin{machineType: request.Record.MachineType, zone: request.Record.Zone, spot: request.Record.Spot, capacity: machineCapacity(&machineType), free: machineCapacity(&machineType),
				arrayCPUs: machineType.CPUs, bootSeconds: machineType.BootS, overdue: late})
		}
	}
	return out
}

// expectedMachines tells how many machines a request may be relied on to bring, and whether they
// are late already.
func (c *Controller) expectedMachines(request *ScaleOutEntry, bootS float64) (machines int, late bool) {
	if request.Record.Phase != storage.ScaleOutProvisioning {
		return request.Record.Count, false
	}
	if c.settings.OverdueBootFactor > 0 {
		boots := monotime.Micros(c.env.WallClock()-request.Record.PhaseSince).Seconds() / max(bootS, 1)
		if boots > 1.5*c.settings.OverdueBootFactor {
			return 0, false // those that are missing are slow or dead: no longer to be relied on
		}
		late = boots > c.settings.OverdueBootFactor
	}
	return len(c.missingMachines(request)), late
}

// estimateRoom estimates what a machine can give to waiting tasks: what its
// services hold is out, and its other tasks are taken to be half through.
func (c *Controller) estimateRoom(bin *machineBin, machine *Machine) {
	machineType := c.machineTypes[bin.machineType]
	bin.arrayCPUs, bin.bootSeconds = machineType.CPUs, machineType.BootS
	for task := range machine.Attempts {
		job := c.mirror.Jobs[task.Job]
		if job == nil {
			continue
		}
		if job.Record.Spec.Service {
			bin.arrayCPUs -= job.TaskResources.CPUs
		} else {
			bin.preemptibleByServices = bin.preemptibleByServices.AddScaled(job.TaskResources, 1)
			if c.isPreemptible(job) {
				if bin.preemptibleByPriority == nil {
					bin.preemptibleByPriority = map[int]Resources{}
				}
				priority := job.Record.Spec.Priority
				bin.preemptibleByPriority[priority] = bin.preemptibleByPriority[priority].AddScaled(job.TaskResources, 1)
				continue // it isn't waited for, it gives way
			}
			lasts := c.expectedRunSeconds(&job.Record.Spec)
			bin.committedCPUSeconds += roundToUnit(job.TaskResources.CPUs * lasts / 2)
			bin.running = append(bin.running, runningTask{roundToUnit(job.TaskResources.CPUs), roundToUnit(lasts)})
		}
	}
}

// estimateMargin stretches estimates: they are wrong, and images must be fetched.
const estimateMargin = 1.2

// latestStarts are the times by which the users' aims would have a job's tasks begin, in
// seconds from its submission, the shortest first: multiples of its deadline and the
// times within which its class is to be finished, less its run; the times within
// which its class is to have started. Without any of them it has no such time.
func (c *Controller) latestStarts(spec *storage.JobSpec) []float64 {
	run := estimateMargin * c.expectedRunSeconds(spec)
	var out []float64
	due := false
	for _, o := range c.cfg.Facts.Objectives {
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
func (c *Controller) slackOf(job *Job, wall int64) (seconds float64, missed int) {
	age := monotime.Micros(wall - job.Record.AcceptedAt).Seconds()
	begins := c.latestStarts(&job.Record.Spec)
	for missed < len(begins) && begins[missed] < age {
		missed++
	}
	return begins[min(missed, len(begins)-1)] - age, missed
}

// availableOffers lists what may be rented now.
func (c *Controller) availableOffers() []*pricedOffer {
	heard := c.zoneReachability()
	c.updateUnreachableZones(heard)
	unmet, inZone := c.quarantinedOffers(), c.machinesByZone()
	var out []*pricedOffer
	for _, name := range sortedKeys(c.machineTypes) {
		machineType := c.machineTypes[name]
		for _, zone := range machineType.Zones {
			if c.leader.unreachableZones[zone] {
				continue // what is rented there would wait, paid for, until it is back
			}
			for _, spot := range []bool{true, false} {
				o := offer{name, zone, spot}
				price := effectivePrice(&machineType, spot)
				if unmet[o] || price <= 0 || c.drains.closesOffer(o) {
					continue
				}
				out = append(out, &pricedOffer{offer: o, capacity: machineCapacity(&machineType), price: price, zoneMachines: inZone[zone]})
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
func (c *Controller) zoneReachability() map[string]*silenceCount {
	heard := map[string]*silenceCount{}
	for _, machine := range c.mirror.Machines {
		if machine.Record == nil {
			continue
		}
		if heard[machine.Record.Zone] == nil {
			heard[machine.Record.Zone] = &silenceCount{}
		}
		heard[machine.Record.Zone].add(machine.Record.State == storage.MachineUnreachable, machine.Record.State != storage.MachineOpen)
	}
	return heard
}

// machinesByZone counts the machines that are there or requested.
func (c *Controller) machinesByZone() map[string]int {
	count := map[string]int{}
	for _, machine := range c.mirror.Machines {
		if machine.Record != nil {
			count[machine.Record.Zone]++
		}
	}
	for _, request := range c.mirror.ScaleOuts {
		if request.Record.Phase != storage.ScaleOutNoCapacity {
			count[request.Record.Zone] += request.Record.Count
		}
	}
	return count
}

// updateUnreachableZones follows which zones have fallen silent as a whole.
func (c *Controller) updateUnreachableZones(heard map[string]*silenceCount) {
	for zone := range c.leader.unreachableZones {
		if !heard[zone].isUnreachable() {
			delete(c.leader.unreachableZones, zone)
			c.leader.offerRecoveries++
			c.log.Info("zone unreachable", "state", conditionEnd, "zone", zone)
		}
	}
	for _, zone := range sortedKeys(heard) {
		if zoneSilence := heard[zone]; zoneSilence.isUnreachable() && !c.leader.unreachableZones[zone] {
			c.leader.unreachableZones[zone] = true
			c.log.Info("zone unreachable", "state", conditionBegin, "zone", zone,
				"machines", zoneSilence.machines, "machines_unreachable", zoneSilence.silent)
		}
	}
}

// autoscalingPass is the design's: demand net of room and open requests, then rentals,
// then empty machines.
func (c *Controller) autoscalingPass(now monotime.Micros) {
	if c.machineTypes == nil {
		return
	}
	demands, bins := c.unmetDemand(now)
	c.forgetPlacedJobs(demands)
	wanted := c.eligibleDemand(demands, now)
	before := map[string]int{}
	for _, demand := range wanted {
		before[demand.jobID] = demand.tasks
	}
	chosen := c.planScaleOut(wanted, bins)
	for _, demand := range wanted {
		c.updateBackoff(demand, demand.tasks < before[demand.jobID], now)
	}
	for _, o := range sortedOffers(chosen) {
		for n := chosen[o]; n > 0; n -= maxMachinesPerScaleOut {
			c.requestScaleOut(o, min(n, maxMachinesPerScaleOut))
		}
	}
}

// unmetDemand is what finds no room in the machines that are there or requested, headroom
// included.
func (c *Controller) unmetDemand(now monotime.Micros) ([]*taskDemand, []*machineBin) {
	demands, bins := c.demandAndSupply(now)
	for _, demand := range demands {
		if demand.crashLoopTrial {
			c.trackingOf(demand.jobID).trialDemandAt = max(now, 1)
		}
	}
	largestFirst(demands)
	fillBins(demands, bins)
	absorbByPreemption(demands, bins)
	reserve := c.serviceHeadroom()
	reserveHeadroom(reserve, bins, map[string]bool{})
	absorbDemand(demands, bins, c.settings.ExpectedCapacity, false)
	return append(demands, reserve...), bins
}

// eligibleDemand leaves out what is met, and jobs that have backed off.
func (c *Controller) eligibleDemand(demands []*taskDemand, now monotime.Micros) []*taskDemand {
	var wanted []*taskDemand
	for _, demand := range demands {
		if demand.tasks > 0 && !c.inBackoff(demand.jobID, now) {
			wanted = append(wanted, demand)
		}
	}
	return wanted
}

// inBackoff tells whether nothing is rented for a job for now.
func (c *Controller) inBackoff(job string, now monotime.Micros) bool {
	backoff := c.leader.unplaceableJobs[job]
	if backoff == nil {
		return false
	}
	if backoff.suspended {
		return backoff.offerRecoveries == c.leader.offerRecoveries
	}
	return now < backoff.retryAt
}

// forgetPlacedJobs drops the notes about jobs that wait no more.
func (c *Controller) forgetPlacedJobs(demands []*taskDemand) {
	waiting := map[string]bool{}
	for _, demand := range demands {
		waiting[demand.jobID] = waiting[demand.jobID] || demand.tasks > 0
	}
	for id := range c.leader.unplaceableJobs {
		if !waiting[id] {
			delete(c.leader.unplaceableJobs, id)
		}
	}
}

// serviceHeadroom is room that is kept for services yet to come: a partition of what each
// class of services uses now. A service that finds room starts within its image
// fetch, one that doesn't waits for a boot.
func (c *Controller) serviceHeadroom() []*taskDemand {
	if c.settings.ServiceHeadroom == 0 {
		return nil
	}
	count := map[string]int{}
	like := map[string]*Job{}
	for _, id := range sortedKeys(c.mirror.Jobs) {
		if job := c.mirror.Jobs[id]; job.IsOpen() && job.Record.Spec.Service && !c.isCrashLooping(job) {
			k := job.Record.Spec.Class
			count[k] += job.Record.Spec.Tasks
			like[k] = job
		}
	}
	var out []*taskDemand
	for _, k := range sortedKeys(like) {
		spec := like[k].Record.Spec
		spec.OneZone, spec.Spread, spec.Zone, spec.MachineTypes = false, false, "", nil
		n := int(math.Ceil(float64(count[k]) * c.settings.ServiceHeadroom))
		out = append(out, &taskDemand{spec: &spec, need: like[k].TaskResources, tasks: n, jobID: "headroom " + k, queueIndex: math.MaxInt32})
	}
	return out
}

// planScaleOut plans in two steps: first spot machines for the tasks that may use
// them, and what the others need; then, for spot tasks that are left and would
// wait beyond the longer horizon, ordinary machines.
func (c *Controller) planScaleOut(wanted []*taskDemand, bins []*machineBin) map[offer]int {
	chosen := map[offer]int{}
	offers := c.availableOffers()
	planOffers(wanted, offers, maxMachinesPerPass, func(demand *taskDemand, o *pricedOffer) bool { return o.spot == demand.spec.Spot }, chosen)
	for _, o := range sortedOffers(chosen) {
		machineType := c.machineTypes[o.machineType]
		for n := chosen[o]; n > 0; n-- {
			bins = append(bins, &machineBin{machineType: o.machineType, zone: o.zone, spot: o.spot, capacity: machineCapacity(&machineType), arrayCPUs: machineType.CPUs, bootSeconds: machineType.BootS})
		}
	}
	absorbDemand(wanted, bins, c.settings.ExpectedOnDemandCapacity, true)
	planOffers(wanted, offers, maxMachinesPerPass, func(demand *taskDemand, o *pricedOffer) bool { return o.spot || !demand.spotOnly }, chosen)
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
func (c *Controller) updateBackoff(demand *taskDemand, met bool, now monotime.Micros) {
	leader := &c.leader
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
	if backoff.unmetPasses < c.settings.BackoffPasses {
		return
	}
	if backoff.delay == 0 {
		backoff.delay = c.settings.BackoffFirst.Micros()
	} else {
		backoff.delay *= 2
	}
	if backoff.delay >= c.settings.BackoffMax.Micros() {
		backoff.suspended, backoff.offerRecoveries = true, leader.offerRecoveries
		c.log.Info("job removed from demand, insufficient capacity", "job", demand.jobID, "tasks", demand.tasks)
		return
	}
	backoff.retryAt = now + backoff.delay
}

// scaleInDelay is how long an empty machine stays closed before it is given back: the delay
// for what is cheapest, less for a dearer kind of the same type, by its price. What is
// kept for the next burst is better kept where it costs least.
func (c *Controller) scaleInDelay(record *storage.ShardMachine) monotime.Micros {
	delay := c.settings.ScaleDownDelay.Micros()
	if machineType := c.machineTypes[record.Type]; !record.Spot && machineType.SpotPrice > 0 && machineType.SpotPrice < machineType.OnDemandPrice {
		return monotime.Micros(float64(delay) * machineType.SpotPrice / machineType.OnDemandPrice)
	}
	return delay
}

// scaleInEmpty closes our empty machines, and has them given back after the delay if
// they are still empty; headroom that all partitions together keep is left. Closing is
// only a matter of the part that places on them: a waiting task reopens one
// without a write. Each part does so for its own machines, as it alone writes its
// shards, and the leader deletes them.
func (c *Controller) scaleInEmpty(now monotime.Micros) {
	if c.machineTypes == nil {
		return
	}
	needed := map[string]bool{}
	moving := c.drains.replacementDemands()
	if c.settings.ServiceHeadroom > 0 || len(moving) > 0 {
		_, bins := c.demandAndSupply(now)
		reserveHeadroom(append(c.serviceHeadroom(), moving...), bins, needed)
	}
	for id := range c.drains.reservations() {
		needed[id] = true
	}
	synced := map[string]bool{}
	for _, id := range sortedKeys(c.mirror.Machines) {
		machine := c.mirror.Machines[id]
		if machine.Agent == nil || machine.Record == nil || len(machine.Attempts) > 0 || needed[id] && machine.Record.State == storage.MachineOpen && !machine.Agent.FailureProne || machine.Agent.RemovalReason != "" {
			continue
		}
		switch machine.Record.State {
		case storage.MachineOpen:
			synced[id] = true
			at, ok := c.emptySince[id]
			if !ok {
				c.emptySince[id] = now
				continue
			}
			closed, ok := c.jobsClosedAt[id]
			if !ok && now-at >= 2*c.settings.AutoscalingInterval.Micros() {
				c.jobsClosedAt[id] = now
			} else if ok && now-closed >= c.scaleInDelay(machine.Record) {
				c.requestRemoval(machine, removalReasonIdle)
			}
		case storage.MachineCordoned:
			synced[id] = true
			if _, ok := c.emptySince[id]; !ok {
				c.emptySince[id] = now
			}
			if c.drains.mayScaleIn(machine, now-c.emptySince[id]) {
				c.requestRemoval(machine, removalReasonDrained)
			}
		case storage.MachineDraining:
			c.requestRemoval(machine, removalReasonDrained)
		}
	}
	for id := range c.emptySince {
		if !synced[id] {
			delete(c.emptySince, id)
			delete(c.jobsClosedAt, id)
		}
	}
}
