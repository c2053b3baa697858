package placement

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/shards"
)

// Limits of one placement pass.
const (
	// A pass examines a sample of the candidates if there are more than sampleAboveMachines of them, and if
	// the number of jobs times the number of candidates exceeds sampleAboveComparisons.
	sampleAboveMachines    = 48
	sampleAboveComparisons = 20000
	// handOverInterval is the minimum time between two handovers of a job's tasks to other partitions.
	handOverInterval = 1 * monotime.Second
	// guaranteePreemptionDelay is how long after its acceptance an array within its team's guarantee waits
	// for free room before it preempts tasks that other teams run beyond their guarantees.
	guaranteePreemptionDelay = 5 * monotime.Second / 2
	// guaranteePreemptionBatch is the maximum number of an array's tasks for which one preemption reclaims
	// the guarantee of its team.
	guaranteePreemptionBatch = 4
)

// placementPass is the part of a scheduling pass that assigns waiting tasks to machines.
type placementPass struct {
	scheduler *Scheduler
	now       monotime.Micros
	wallNow   int64 // time of day, microseconds

	candidates         []*candidateMachine
	candidatesByUpdate map[*shards.Update][]*candidateMachine
	sampling           bool                        // each search examines a sample of the candidates first
	tasksInDoubt       map[mirror.TaskID]bool      // tasks that an unresolved commit may have assigned
	reservations       *drainReservations          // room reserved for replicas that drains move
	quotaLeft          map[string]resources.Vector // by team: rest of this partition's quota share
	reassignedThisPass bool                        // the pass has stolen tasks of an urgent job

	// Results of earlier searches of this pass, by task shape. They stay valid because free room only shrinks
	// during a pass. noRoomFor holds the shapes for which no machine has room. A shape with a team is for
	// tasks that exceed the rest of the team's quota: no shard update frees enough of that quota for them.
	noRoomFor  map[scheduling.TaskShape]bool
	hasRoomFor map[scheduling.TaskShape]bool // whether a machine has room for tasks that wait for quota
	// when sampling: the candidates that had room for the shape at the last search
	fittingByShape map[scheduling.TaskShape][]*candidateMachine

	// Computed on first use.
	partitionCapacity  *PartitionCapacity
	preemptibleChecked bool // preemptibleRunning has been computed
	preemptibleRunning bool // arrays of higher priority may preempt some running tasks
}

// placeTasks assigns the waiting tasks of this partition's task ranges to machines of the updates. If no
// machine has room for a task, it makes room by preemption or hands tasks over to a partition that can. It
// also adopts orphaned tasks and steals waiting tasks of other partitions.
func (sc *Scheduler) placeTasks(updates []*shards.Update, now monotime.Micros) {
	if sc.deps.Catalog.MachineTypes() == nil || !sc.deps.Membership.HoldsLease(now) {
		return
	}
	if _, current := sc.deps.Membership.IncarnationCompare(); !current {
		// An assignment of an earlier incarnation may still be applied. The watch usually shows the member record
		// a moment after its write, so the pass stays due.
		sc.RequestPass()
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

// newPlacementPass prepares a pass over the given number of jobs. The machines of the updates become its
// candidates. Room that preemptions have made and room that drain permits hold is reserved on them.
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

// candidatesByUpdate groups candidates by the update of their shard and keeps their order.
func candidatesByUpdate(candidates []*candidateMachine) map[*shards.Update][]*candidateMachine {
	grouped := map[*shards.Update][]*candidateMachine{}
	for _, candidate := range candidates {
		grouped[candidate.update] = append(grouped[candidate.update], candidate)
	}
	return grouped
}

// placeJob assigns a job's tasks to machines. If tasks remain without a machine, it reports a quota shortage,
// steals the tasks of an urgent job that waits at other partitions, or makes room by preemption.
func (p *placementPass) placeJob(job *mirror.Job) {
	jobPlan := p.beginJob(job)
	if jobPlan == nil {
		return
	}
	jobPlan.assignTasks()
	p.quotaLeft[jobPlan.spec.Team] = jobPlan.remainingQuota
	if jobPlan.crashLooping {
		return // no reserved room, preemption or work stealing for a job in a crash loop
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

// totalServiceCPUs returns the CPUs that the assigned tasks of all open services hold.
func (sc *Scheduler) totalServiceCPUs() float64 {
	totalCPUs := 0.0
	for _, job := range sc.deps.Mirror.Jobs {
		if job.Record.Spec.Service && job.IsOpen() {
			totalCPUs += float64(job.AssignedTasks) * job.TaskResources.CPUs
		}
	}
	return totalCPUs
}

// fittingCandidates returns the candidates with room for a task of a shape. It keeps the result by shape, and
// the next search for the shape examines only these candidates. Without that, a sampling pass would examine
// all candidates again for each task while most machines are full.
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

// freePartitionCapacity returns the free capacity of all partitions, computed once per pass.
func (p *placementPass) freePartitionCapacity() *PartitionCapacity {
	if p.partitionCapacity == nil {
		p.partitionCapacity = p.scheduler.CapacityByPartition()
	}
	return p.partitionCapacity
}

// anyPreemptible reports whether arrays of higher priority may preempt any running tasks. It is computed once
// per pass.
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
