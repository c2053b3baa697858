package placement

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/shards"
)

// Bounds of one placement pass.
const (
	sampleAboveMachines    = 48    // with more machines than this, and
	sampleAboveComparisons = 20000 // more jobs times machines than this, a sample is looked at
	handOverInterval       = 1 * monotime.Second
	// guaranteePreemptionDelay is how long a job within a guarantee looks for free room first.
	guaranteePreemptionDelay = 5 * monotime.Second / 2
	// guaranteePreemptionBatch is how many tasks of a job get room by its team's guarantee at a time.
	guaranteePreemptionBatch = 4
)

// placementPass is the part of a scheduling pass that gives waiting tasks to machines.
type placementPass struct {
	scheduler *Scheduler
	now       monotime.Micros
	wallNow   int64 // time of day, microseconds

	candidates         []*candidateMachine
	candidatesByUpdate map[*shards.Update][]*candidateMachine
	sampling           bool                        // only a sample of the candidates is looked at
	tasksInDoubt       map[mirror.TaskID]bool      // tasks that a commit in doubt may have assigned
	reservations       *drainReservations          // room held for replicas that are being moved
	quotaLeft          map[string]resources.Vector // by team, of this partition's share of its limit
	reassignedThisPass bool                        // room is kept for a job whose tasks are being taken over

	// What was found for shapes of tasks. Room only shrinks in a pass.
	noRoomFor  map[scheduling.TaskShape]bool // no machine has room for them
	hasRoomFor map[scheduling.TaskShape]bool // whether what lacks quota could start here
	// when sampling: candidates last seen with room
	fittingByShape map[scheduling.TaskShape][]*candidateMachine

	// Made when they are first needed.
	partitionCapacity  *PartitionCapacity
	preemptibleChecked bool // preemptibleRunning is known:
	preemptibleRunning bool // whether any running work is preemptible by arrays
}

// placeTasks assigns the waiting tasks of this partition's ranges to machines of the updates; where nothing
// has room it makes some, or looks for the partition that could.
func (sc *Scheduler) placeTasks(updates []*shards.Update, now monotime.Micros) {
	if sc.deps.Catalog.MachineTypes() == nil || !sc.deps.Membership.HoldsLease(now) {
		return
	}
	jobs := sc.OrderedQueue()
	if len(jobs) == 0 {
		return
	}
	sc.jobsAssignedInPass = map[string]bool{}
	sc.serviceCPUsAssigned = sc.totalServiceCPUs()
	p := sc.newPlacementPass(updates, len(jobs), now)
	for _, job := range jobs {
		p.reservations.release(job)
		p.placeJob(job)
		p.reservations.restore(job)
	}
	sc.adoptOrphanedTasks(jobs, now)
	sc.stealWork(jobs, p.candidates, p.reservations, p.quotaLeft, now)
}

// newPlacementPass takes the machines of the updates as candidates, less the room that is kept on them, for so
// many jobs.
func (sc *Scheduler) newPlacementPass(updates []*shards.Update, jobs int, now monotime.Micros) *placementPass {
	p := &placementPass{
		scheduler:      sc,
		now:            now,
		wallNow:        sc.deps.Environment.WallClock(),
		candidates:     sc.candidateMachines(updates, now),
		tasksInDoubt:   sc.deps.Shards.TasksInDoubt(),
		quotaLeft:      map[string]resources.Vector{},
		noRoomFor:      map[scheduling.TaskShape]bool{},
		hasRoomFor:     map[scheduling.TaskShape]bool{},
		fittingByShape: map[scheduling.TaskShape][]*candidateMachine{},
	}
	p.candidatesByUpdate = candidatesByUpdate(p.candidates)
	sc.reservePreemptedRoom(p.candidates, now)
	p.reservations = sc.reserveOnCandidates(p.candidates, updates)
	p.sampling = len(p.candidates) > sampleAboveMachines &&
		len(p.candidates)*jobs > sampleAboveComparisons
	return p
}

// candidatesByUpdate groups candidates by the update of their shard, in their order.
func candidatesByUpdate(candidates []*candidateMachine) map[*shards.Update][]*candidateMachine {
	grouped := map[*shards.Update][]*candidateMachine{}
	for _, candidate := range candidates {
		grouped[candidate.update] = append(grouped[candidate.update], candidate)
	}
	return grouped
}

// placeJob places a job's tasks, and sees to room for those that find none.
func (p *placementPass) placeJob(job *mirror.Job) {
	jobPlan := p.beginJob(job)
	if jobPlan == nil {
		return
	}
	jobPlan.assignTasks()
	p.quotaLeft[jobPlan.spec.Team] = jobPlan.remainingQuota
	if jobPlan.crashLooping {
		return // no room is kept or made for it, and no tasks are taken over
	}
	if jobPlan.quotaShort {
		jobPlan.reportQuotaShortage()
	}
	switch {
	case jobPlan.urgentInOtherPartition():
		jobPlan.stealUrgentTasks()
	case jobPlan.noRoom && jobPlan.pendingTasks > 0:
		jobPlan.makeRoomByPreemption()
	}
}

// totalServiceCPUs is what all services hold.
func (sc *Scheduler) totalServiceCPUs() float64 {
	totalCPUs := 0.0
	for _, job := range sc.deps.Mirror.Jobs {
		if job.Record.Spec.Service && job.IsOpen() {
			totalCPUs += float64(job.AssignedTasks) * job.TaskResources.CPUs
		}
	}
	return totalCPUs
}

// fittingCandidates lists the candidates with room for a task of a shape. Where samples are looked at and
// most machines are full, all of them would be looked at again for each task.
func (p *placementPass) fittingCandidates(
	shape scheduling.TaskShape,
	taskResources resources.Vector,
) []*candidateMachine {
	searched, seen := p.fittingByShape[shape]
	if !seen {
		searched = p.candidates
	}
	var fitting []*candidateMachine
	for _, candidate := range searched {
		if taskResources.FitsIn(candidate.Free) {
			fitting = append(fitting, candidate)
		}
	}
	p.scheduler.counters.MachinesExamined += len(searched)
	p.fittingByShape[shape] = fitting
	return fitting
}

// freePartitionCapacity is the free room of all partitions.
func (p *placementPass) freePartitionCapacity() *PartitionCapacity {
	if p.partitionCapacity == nil {
		p.partitionCapacity = p.scheduler.CapacityByPartition()
	}
	return p.partitionCapacity
}

// anyPreemptible reports whether any running work is preemptible by arrays.
func (p *placementPass) anyPreemptible() bool {
	if !p.preemptibleChecked {
		p.preemptibleChecked = true
		for _, job := range p.scheduler.deps.Mirror.Jobs {
			if job.AssignedTasks > 0 && p.scheduler.IsPreemptible(job) {
				p.preemptibleRunning = true
				break
			}
		}
	}
	return p.preemptibleRunning
}
