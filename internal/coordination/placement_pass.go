package coordination

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/quota"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/shards"
	"pipitgap/internal/storage"
)

// scheduler orders the open jobs, places their tasks on machines and preempts what must give way.
type scheduler struct {
	c *Controller

	nextPassAt                  monotime.Micros
	serviceCPUsAssigned         float64 // CPUs that all services hold
	nextOrphanedTasksTakeoverAt monotime.Micros
	jobsInPass                  map[string]bool // jobs with tasks assigned by the pass under way
	nextWorkStealAt             monotime.Micros // when tasks may change their part again
	passNeeded                  bool            // a pass may find something to do
	jobStates                   map[string]*jobTracking
	estimates                   *scheduling.RuntimeEstimates
	preemptions                 map[string]*pendingPreemption
	acceptedRevisions           map[string]uint64 // jobs that this controller accepted, at these revisions
}

// requestPass has a pass run at the next fast tick that one is due: something has changed that it may act on.
func (sc *scheduler) requestPass() { sc.passNeeded = true }

// passDue tells whether a pass has been requested and may run now.
func (sc *scheduler) passDue(now monotime.Micros) bool { return sc.passNeeded && now >= sc.nextPassAt }

// delayPassUntil lets no pass run before an instant.
func (sc *scheduler) delayPassUntil(at monotime.Micros) { sc.nextPassAt = max(sc.nextPassAt, at) }

// Bounds of one placement pass.
const (
	sampleAboveMachines    = 48    // with more machines than this, and
	sampleAboveComparisons = 20000 // more jobs times machines than this, a sample is looked at
	reassignmentInterval   = 1 * monotime.Second
	// guaranteePreemptionDelay is how long a job within a guarantee looks for free room first.
	guaranteePreemptionDelay = 5 * monotime.Second / 2
	// guaranteePreemptionBatch is how many tasks of a job get room by its team's guarantee at a time.
	guaranteePreemptionBatch = 4
)

// placement is the part of a scheduling pass that gives waiting tasks to machines.
type placement struct {
	core       *Controller
	now        monotime.Micros
	wallNow    int64
	candidates []*candidateMachine
	// the candidates of each update
	candidatesByUpdate map[*shards.Update][]*candidateMachine
	// look at some of the candidates only
	sampling bool
	// if so, those with room for a task, as last looked at: room only shrinks in a pass
	fittingByShape map[scheduling.TaskShape][]*candidateMachine
	// tasks that a commit in doubt may have assigned
	tasksInDoubt map[mirror.TaskID]bool
	quotaLeft    map[string]resources.Vector
	// what no machine has room for: room only shrinks in a pass
	noRoomFor map[scheduling.TaskShape]bool
	// of what lacks a share of its team's limit: whether it could start here
	hasRoomFor map[scheduling.TaskShape]bool
	// of all partitions, made when it is first needed
	partitionCapacity                      *partitionCapacity
	preemptibleRunning, preemptibleChecked bool               // whether any running work gives way to arrays
	reassignedThisPass                     bool               // a job that waits elsewhere has room kept here
	reservations                           *drainReservations // room held for replicas that are being moved
}

// jobPlacement is what a placement does for one job.
type jobPlacement struct {
	*placement
	job              *mirror.Job
	spec             *storage.JobSpec
	tracking         *jobTracking
	limits           quota.Limits
	spotOnly         bool // held to spot machines, see bound
	crashLooping     bool
	oneCommitAtATime bool             // its tasks go out by one commit at a time
	preempting       bool             // machines are kept for it
	hasReservation   bool             // room is held for replicas of it that are being moved
	quotaRoom        resources.Vector // of our share of its team's limit
	maxTasks         int              // tasks that it may be given
	zoneConstraint   *scheduling.ZoneConstraint
	shape            scheduling.TaskShape // what is like its tasks,
	teamShape        scheduling.TaskShape // and within the same team's limit
	noRoom           bool                 // no machine has room for a task
	quotaShort       bool                 // the share of the team's limit doesn't take one
	pendingTasks     int                  // tasks of ours that wait
	shardBytesLimit  int                  // bytes that a shard may come to take

	fittingAtStart []*candidateMachine // those with room for a task when it was first looked for

	request       *scheduling.MachineRequest // its Fence: the update that takes a fenced job's tasks
	chosenMachine *candidateMachine
	preferred     []*candidateMachine // those of the shard that its last task went to
	lastAssigned  storage.Attempt
}

// placeTasks gives pending tasks of our shares to machines of the updates; where
// nothing has room it makes some, or looks who could.
func (sc *scheduler) placeTasks(updates []*shards.Update, now monotime.Micros) {
	if sc.c.catalog.MachineTypes() == nil || !sc.c.membership.HoldsLease(now) {
		return
	}
	jobs := sc.orderedQueue()
	if len(jobs) == 0 {
		return
	}
	sc.jobsInPass = map[string]bool{}
	sc.serviceCPUsAssigned = sc.totalServiceCPUs()
	p := &placement{
		core:           sc.c,
		now:            now,
		wallNow:        sc.c.env.WallClock(),
		candidates:     sc.candidateMachines(updates, now),
		tasksInDoubt:   sc.c.shards.TasksInDoubt(),
		quotaLeft:      map[string]resources.Vector{},
		noRoomFor:      map[scheduling.TaskShape]bool{},
		hasRoomFor:     map[scheduling.TaskShape]bool{},
		fittingByShape: map[scheduling.TaskShape][]*candidateMachine{},
	}
	p.candidatesByUpdate = candidatesByUpdate(p.candidates)
	sc.reservePreemptedRoom(p.candidates, now)
	p.reservations = sc.reserveOnCandidates(p.candidates, updates)
	p.sampling = len(p.candidates) > sampleAboveMachines &&
		len(p.candidates)*len(jobs) > sampleAboveComparisons
	for _, job := range jobs {
		p.reservations.release(job)
		p.placeJob(job)
		p.reservations.reserveAgain(job)
	}
	sc.adoptOrphanedTasks(jobs, now)
	sc.stealWork(jobs, p.candidates, p.reservations, p.quotaLeft, now)
}

// candidatesByUpdate groups candidates by the update of their shard, in their order.
func candidatesByUpdate(candidates []*candidateMachine) map[*shards.Update][]*candidateMachine {
	grouped := map[*shards.Update][]*candidateMachine{}
	for _, candidate := range candidates {
		grouped[candidate.update] = append(grouped[candidate.update], candidate)
	}
	return grouped
}

// totalServiceCPUs is what all services hold.
func (sc *scheduler) totalServiceCPUs() float64 {
	served := 0.0
	for _, job := range sc.c.mirror.Jobs {
		if job.Record.Spec.Service && job.IsOpen() {
			served += float64(job.AssignedTasks) * job.TaskResources.CPUs
		}
	}
	return served
}

// placeJob places a job's tasks, and sees to room for those that find none.
func (p *placement) placeJob(job *mirror.Job) {
	jobPlan := p.beginJob(job)
	if jobPlan == nil {
		return
	}
	jobPlan.assignTasks()
	p.quotaLeft[jobPlan.spec.Team] = jobPlan.quotaRoom
	if jobPlan.crashLooping {
		return // nothing is held, stopped or fetched for it
	}
	if jobPlan.quotaShort {
		jobPlan.noteQuotaShortage()
	}
	switch {
	case jobPlan.urgentInOtherPartition():
		jobPlan.stealUrgentTasks()
	case jobPlan.noRoom && jobPlan.pendingTasks > 0:
		jobPlan.makeRoomByPreemption()
	}
}

// beginJob prepares the placement of a job's tasks; nil if it isn't its time.
func (p *placement) beginJob(job *mirror.Job) *jobPlacement {
	c := p.core
	spec, tracking := &job.Record.Spec, c.scheduler.trackingOf(job.ID)
	jobPlan := &jobPlacement{
		placement:        p,
		job:              job,
		spec:             spec,
		tracking:         tracking,
		spotOnly:         c.scheduler.spotOnly(job),
		crashLooping:     c.scheduler.isCrashLooping(job),
		oneCommitAtATime: spec.OneZone || spec.Spread,
		maxTasks:         spec.Tasks,
	}
	tries := 0
	if jobPlan.crashLooping {
		if tries = c.scheduler.crashLoopTrials(job, p.now); tries == 0 {
			return nil
		}
	}
	if p.now < tracking.placeNotBefore || c.recordWritesInFlight[job.ID] ||
		c.mirror.WatchedRevision < job.Version && c.scheduler.acceptedRevisions[job.ID] != job.Version {
		if p.now < tracking.reassignment.stolenUntil { // on its way to us: its room is still its own
			reserveRoom(job.TaskResources, spec, p.candidates, tracking.reassignment.stolenTasks)
		}
		return nil
	}
	jobPlan.limits, _ = c.quota.Limits(spec.Team)
	available, known := p.quotaLeft[spec.Team]
	if !known {
		available = c.quota.Left(spec.Team)
	}
	jobPlan.quotaRoom = available
	if c.scheduler.isStarved(job, p.now) {
		jobPlan.maxTasks = tracking.progress.Missing(job.DoneTasks + job.AssignedTasks)
	}
	if jobPlan.crashLooping {
		jobPlan.maxTasks = tries
	}
	jobPlan.zoneConstraint = zoneConstraintOf(c.mirror, job)
	jobPlan.shape, jobPlan.teamShape = scheduling.ShapeOf(spec, mirror.TaskResources(spec), ""),
		scheduling.ShapeOf(spec, mirror.TaskResources(spec), spec.Team)
	jobPlan.request = c.scheduler.machineRequest(job, jobPlan.zoneConstraint)
	jobPlan.request.SpotOnly = jobPlan.spotOnly
	jobPlan.preempting = c.scheduler.isPreempting(job.ID, p.now)
	// Without a share of the team's limit only what a shard gives back counts.
	within := job.TaskResources.FitsIn(available)
	jobPlan.hasReservation = p.reservations.hasReservationFor(job)
	jobPlan.noRoom = p.noRoomFor[jobPlan.shape] && within && !jobPlan.preempting && !jobPlan.hasReservation
	jobPlan.quotaShort = p.noRoomFor[jobPlan.teamShape] && !within && !jobPlan.preempting &&
		!jobPlan.hasReservation
	jobPlan.shardBytesLimit = c.scheduler.shardBytesFor(spec)
	return jobPlan
}

// searchSpace lists the candidates that a machine for the job's next task is looked for among.
func (p *jobPlacement) searchSpace() []*candidateMachine {
	if !p.sampling || p.hasReservation {
		return p.candidates
	}
	if p.fittingAtStart == nil {
		p.fittingAtStart = p.fittingCandidates(p.shape, p.job.TaskResources)
	}
	return p.fittingAtStart
}

// fittingCandidates lists the candidates with room for a task of a kind. Where samples are looked
// at, most of which are full, each task would have all machines looked at again: with a
// thousand of them 270 for each task that was placed.
func (p *placement) fittingCandidates(kind scheduling.TaskShape, taskResources resources.Vector) []*candidateMachine {
	searched, seen := p.fittingByShape[kind]
	if !seen {
		searched = p.candidates
	}
	var fitting []*candidateMachine
	for _, candidate := range searched {
		if taskResources.FitsIn(candidate.Free) {
			fitting = append(fitting, candidate)
		}
	}
	p.core.counters.machinesExamined += len(searched)
	p.fittingByShape[kind] = fitting
	return fitting
}

// assignTasks gives the tasks of our shares of the job to machines, as far as there is room.
func (p *jobPlacement) assignTasks() {
	job := p.job
	for _, taskRange := range job.Record.TaskRanges {
		if taskRange.Partition != p.core.node {
			continue
		}
		for i := taskRange.First; i < taskRange.End; i++ {
			if job.TaskStates[i] != 0 {
				continue
			}
			if p.tasksInDoubt[mirror.TaskID{Job: job.ID, Index: i}] {
				if p.oneCommitAtATime {
					return
				}
				continue
			}
			p.pendingTasks++
			if !p.noRoom && !p.quotaShort && p.maxTasks > 0 {
				p.assignTask(i)
			}
		}
	}
}

// assignTask gives one task to a machine, or notes why it can't.
func (p *jobPlacement) assignTask(task int) {
	c, job := p.core, p.job
	// What a shard's own attempts give back can be used by the same write.
	freedQuotaOnly := !job.TaskResources.FitsIn(p.quotaRoom)
	if p.needsNewMachine(task, freedQuotaOnly) {
		p.request.FreedQuotaOnly = freedQuotaOnly
		p.chosenMachine = c.scheduler.chooseMachine(p.request, machineSearch{
			candidates: p.searchSpace(),
			preferred:  p.preferred,
			sampled:    p.sampling,
		})
	}
	if p.chosenMachine == nil {
		p.noteNoMachine(freedQuotaOnly)
		return
	}
	withImage := p.chosenMachine.machine.CachedImages[p.spec.Image]
	if p.spec.Service && !withImage && !waitedForImage(job, p.wallNow) &&
		c.scheduler.preemptFor(p.preemptionRequest(1, true)) {
		// Room is being made beside the image: sooner than a fetch.
		p.maxTasks = 0
		return
	}
	p.assignToChosen(task)
	p.pendingTasks--
	p.maxTasks--
}

// needsNewMachine tells whether a task can't just follow the one before.
func (p *jobPlacement) needsNewMachine(task int, freedQuotaOnly bool) bool {
	candidate, taskResources := p.chosenMachine, p.job.TaskResources
	return candidate == nil ||
		freedQuotaOnly && !taskResources.FitsIn(candidate.update.FreedQuota(p.spec.Team)) ||
		p.spec.Service ||
		!taskResources.FitsIn(candidate.Free) ||
		!p.zoneConstraint.Allows(candidate.Record.Zone) ||
		candidate.TaskCount >= scheduling.MaxTasksPerMachine ||
		candidate.update.MaxBytes()+2*storage.MaxTaskBytes(task) > p.shardBytesLimit
}

// noteNoMachine notes that no machine takes a task of the job, also for others like it.
func (p *jobPlacement) noteNoMachine(freedQuotaOnly bool) {
	p.quotaShort, p.noRoom = freedQuotaOnly, !freedQuotaOnly
	if p.oneCommitAtATime || p.preempting || p.hasReservation || p.spotOnly ||
		p.tracking.failures.ExcludesAny() {
		return
	}
	p.noRoomFor[p.shape] = p.noRoomFor[p.shape] || p.noRoom
	p.noRoomFor[p.teamShape] = p.noRoomFor[p.teamShape] || p.quotaShort
}

// assignToChosen writes a task into the update of the chosen machine's shard.
func (p *jobPlacement) assignToChosen(task int) {
	c, job, candidate := p.core, p.job, p.chosenMachine
	update, machine := candidate.update, candidate.MachineID
	p.preferred = p.candidatesByUpdate[update]
	update.BeginJob(job)
	if p.limits.Limited() {
		sharesKey := storage.Key(storage.KindPartition, c.node)
		update.AddCompare(sharesKey, c.mirror.VersionOf(sharesKey))
	}
	joinsRange := p.lastAssigned.Machine == machine && p.lastAssigned.Task == task-1
	p.lastAssigned = storage.Attempt{
		Task:     task,
		Machine:  machine,
		Number:   c.mirror.NewestRevision,
		Starting: c.drains.TracksStart(p.spec),
	}
	c.scheduler.jobsInPass[job.ID] = true
	update.Assign(job, p.lastAssigned, joinsRange)
	c.emptyMachines.reopen(machine)
	candidate.Closing = false
	candidate.Free = candidate.Free.AddScaled(job.TaskResources, -1)
	candidate.TaskCount++
	if p.spec.Service {
		candidate.ServiceCPUs += job.TaskResources.CPUs
	}
	candidate.machine.CachedImages[p.spec.Image] = true
	if !p.limits.Limited() || !update.UseFreedQuota(p.spec.Team, job.TaskResources) {
		p.quotaRoom = p.quotaRoom.AddScaled(job.TaskResources, -1)
	}
	p.zoneConstraint.AddTasks(candidate.Record.Zone, 1)
	if p.oneCommitAtATime {
		p.request.Fence = update
	}
}

// noteQuotaShortage notes that our share of the team's limit keeps the job's tasks waiting.
func (p *jobPlacement) noteQuotaShortage() {
	if _, asked := p.hasRoomFor[p.shape]; !asked {
		p.hasRoomFor[p.shape] = tasksThatFit(p.job, p.candidates) > 0
	}
	p.core.quota.NoteShortage(p.spec.Team, quota.UnmetDemand{
		TaskResources:  p.job.TaskResources,
		Tasks:          p.pendingTasks,
		ShareLeft:      p.quotaRoom,
		HasMachineRoom: p.hasRoomFor[p.shape],
	})
}

// urgentInOtherPartition tells whether the job waits at other partitions only and has an aim that it
// can still meet. It goes before what is less urgent here: small jobs of large tasks sat out
// their deadlines in a partition without a gap while others gave theirs to tasks that had time.
func (p *jobPlacement) urgentInOtherPartition() bool {
	return p.pendingTasks == 0 && !p.spec.Service && !p.oneCommitAtATime && !p.reassignedThisPass &&
		!p.noRoomFor[p.shape] &&
		p.job.UnassignedTasks() > 0 &&
		p.core.scheduler.slackOf(p.job, p.wallNow).CanMeetObjective()
}

// stealUrgentTasks takes such a job's tasks over, as many as there is room for, and keeps the room
// for them. One job a pass: that costs a change.
func (p *jobPlacement) stealUrgentTasks() {
	c, job := p.core, p.job
	if tasksThatFit(job, p.candidates) == 0 {
		p.noRoomFor[p.shape] = true
		p.holdMachinesFor(job.UnassignedTasks())
		return
	}
	if p.now < c.scheduler.nextWorkStealAt {
		return // others use the room until a change may be spent
	}
	n := c.scheduler.stealTasksOfJob(job, workStealing{
		candidates:      p.candidates,
		quotaLeftByTeam: p.quotaLeft,
		capacities:      p.freePartitionCapacity(),
		wall:            p.wallNow,
	})
	moves := &p.tracking.reassignment
	moves.stolenTasks, moves.stolenUntil = n, p.now+monotime.Second
	p.reassignedThisPass = n > 0
	reserveRoom(job.TaskResources, p.spec, p.candidates, min(n, job.UnassignedTasks()))
}

// holdMachinesFor keeps machines for our part of so many waiting tasks of the job.
func (p *jobPlacement) holdMachinesFor(tasks int) {
	all := len(p.core.controllers)
	p.core.scheduler.holdMachinesFor(p.job, p.candidates, p.zoneConstraint, (tasks+all-1)/all)
}

// freePartitionCapacity is the free room of all partitions.
func (p *placement) freePartitionCapacity() *partitionCapacity {
	if p.partitionCapacity == nil {
		p.partitionCapacity = p.core.scheduler.capacityByPartition()
	}
	return p.partitionCapacity
}

// anyPreemptible tells whether any running work gives way to arrays.
func (p *placement) anyPreemptible() bool {
	if !p.preemptibleChecked {
		p.preemptibleChecked = true
		for _, job := range p.core.mirror.Jobs {
			if job.AssignedTasks > 0 && p.core.scheduler.isPreemptible(job) {
				p.preemptibleRunning = true
				break
			}
		}
	}
	return p.preemptibleRunning
}

// preemptionRequest asks for room for so many tasks of the job by stopping others.
func (p *jobPlacement) preemptionRequest(tasks int, besideImage bool) preemptionRequest {
	return preemptionRequest{
		job:         p.job,
		tasks:       tasks,
		zones:       p.zoneConstraint,
		candidates:  p.candidates,
		now:         p.now,
		besideImage: besideImage,
	}
}

// makeRoomByPreemption stops others' work for a service, and for what a team's guarantee owes to a job
// that found no room for a while; where that can't be done here, a partition gets the job's
// tasks that can.
func (p *jobPlacement) makeRoomByPreemption() {
	c, job := p.core, p.job
	want := p.pendingTasks
	if !p.spec.Service {
		p.holdMachinesFor(p.pendingTasks)
		if n := min(p.pendingTasks, job.TaskResources.CountIn(p.quotaRoom)); n > 0 && p.anyPreemptible() &&
			c.scheduler.preemptScavengers(p.preemptionRequest(n, false)) {
			return
		}
		if p.wallNow-job.Record.AcceptedAt <= int64(guaranteePreemptionDelay) ||
			!c.scheduler.entitledToGuarantee(job) {
			return
		}
		want = min(p.pendingTasks, guaranteePreemptionBatch)
	}
	// Each hand-over costs a change, and so does taking tasks over, which comes
	// after: a service that only tried its turn in between never had it.
	if c.scheduler.preemptFor(p.preemptionRequest(want, false)) ||
		p.now-p.tracking.reassignment.handedOverAt <= reassignmentInterval ||
		p.now < c.scheduler.nextWorkStealAt {
		return
	}
	if to := c.scheduler.bestPreemptionTarget(p.freePartitionCapacity(), job); to != "" &&
		c.scheduler.handOverTasks(job, to) {
		p.tracking.reassignment.handedOverAt = p.now
	}
}

func newScheduler(c *Controller) *scheduler {
	return &scheduler{
		c:                 c,
		jobStates:         map[string]*jobTracking{},
		estimates:         scheduling.NewRuntimeEstimates(),
		preemptions:       map[string]*pendingPreemption{},
		acceptedRevisions: map[string]uint64{},
	}
}
