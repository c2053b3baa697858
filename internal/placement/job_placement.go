package placement

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/quota"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/storage"
)

// jobPlacement is the placement of one job in a placement pass.
type jobPlacement struct {
	*placementPass
	job      *mirror.Job
	spec     *storage.JobSpec
	tracking *jobTracking

	spotOnly          bool // restricted to spot machines, see Scheduler.IsSpotOnly
	crashLooping      bool // placed only for an occasional trial
	oneCommitAtATime  bool // only one commit at a time assigns its tasks
	preemptionPending bool // a preemption is making room for it
	hasReservation    bool // room is reserved for replicas that drains move

	limits         quota.Limits
	remainingQuota resources.Vector // rest of this partition's share of its team's limit
	zoneConstraint *scheduling.ZoneConstraint
	request        *scheduling.MachineRequest
	shape          scheduling.TaskShape // determines where its tasks may run
	teamShape      scheduling.TaskShape // also determines the team's limit that applies

	assignableTasks int  // number of its tasks that the pass may still assign
	pendingTasks    int  // waiting tasks in this partition's ranges
	noRoom          bool // no machine has room for another task
	quotaShort      bool // the share of the team's limit does not allow another task
	shardBytesLimit int  // size up to which its tasks may fill a shard

	fittingAtStart []*candidateMachine // candidates with room for a task at the first search
	chosenMachine  *candidateMachine
	preferred      []*candidateMachine // candidates of the shard that got its last task
	lastAssigned   storage.Attempt
}

// beginJob prepares the placement of a job's tasks. It returns nil if the pass cannot place them.
func (p *placementPass) beginJob(job *mirror.Job) *jobPlacement {
	sc, spec := p.scheduler, &job.Record.Spec
	jobPlan := &jobPlacement{
		placementPass:    p,
		job:              job,
		spec:             spec,
		tracking:         sc.trackingOf(job.ID),
		spotOnly:         sc.IsSpotOnly(job),
		crashLooping:     sc.IsCrashLooping(job),
		oneCommitAtATime: spec.HasZoneRule(),
		assignableTasks:  spec.Tasks,
	}
	trials := 0
	if jobPlan.crashLooping {
		if trials = sc.crashLoopTrials(job, p.now); trials == 0 {
			return nil
		}
	}
	if !jobPlan.recordIsUpToDate() {
		jobPlan.reserveRoomForStolenTasks()
		return nil
	}
	if sc.isStarved(job, p.now) {
		jobPlan.assignableTasks = jobPlan.tracking.progress.TasksToCatchUp(job.DoneTasks + job.AssignedTasks)
	}
	if jobPlan.crashLooping {
		jobPlan.assignableTasks = trials
	}
	jobPlan.zoneConstraint = ZoneConstraintOf(sc.deps.Mirror, job)
	jobPlan.request = sc.machineRequest(job, jobPlan.zoneConstraint)
	jobPlan.request.SpotOnly = jobPlan.spotOnly
	jobPlan.shardBytesLimit = sc.shardBytesFor(spec)
	jobPlan.preemptionPending = sc.isPreempting(job.ID, p.now)
	jobPlan.hasReservation = p.reservations.hasReservationFor(job)
	jobPlan.loadRemainingQuota()
	jobPlan.loadKnownShortages()
	return jobPlan
}

// recordIsUpToDate reports whether the job record in the mirror is current, so that its task ranges say which
// partitions place the tasks. The watch must have reached the record's version, unless this controller
// committed the new job at that version. The record is not current while placement of the job is delayed or a
// write of the record is in flight.
func (p *jobPlacement) recordIsUpToDate() bool {
	sc, job := p.scheduler, p.job
	if p.now < p.tracking.placeNotBefore || sc.deps.RecordWrites.Contains(job.ID) {
		return false
	}
	return sc.deps.Mirror.WatchedRevision >= job.Version || sc.acceptedRevisions[job.ID] == job.Version
}

// reserveRoomForStolenTasks reserves room for tasks that this partition is taking over from other partitions.
func (p *jobPlacement) reserveRoomForStolenTasks() {
	if stolen := &p.tracking.reassignment; p.now < stolen.roomReservedUntil {
		reserveRoom(p.job.TaskResources, p.spec, p.candidates, stolen.stolenTasks)
	}
}

// loadRemainingQuota looks up the limits of the job's team and the rest of this partition's share of them.
func (p *jobPlacement) loadRemainingQuota() {
	p.limits, _ = p.scheduler.deps.Quota.Limits(p.spec.Team)
	left, known := p.quotaLeft[p.spec.Team]
	if !known {
		left = p.scheduler.deps.Quota.RemainingQuota(p.spec.Team)
	}
	p.remainingQuota = left
}

// loadKnownShortages sets noRoom and quotaShort from what the pass has already found for tasks of the same
// shape. A job with reserved room is excluded, since it may still find some. If the rest of the team's share
// does not allow a task, only quota that a shard update frees counts.
func (p *jobPlacement) loadKnownShortages() {
	need := mirror.TaskResources(p.spec)
	p.shape = scheduling.ShapeOf(p.spec, need, "")
	p.teamShape = scheduling.ShapeOf(p.spec, need, p.spec.Team)
	if p.preemptionPending || p.hasReservation {
		return
	}
	withinQuota := p.job.TaskResources.FitsIn(p.remainingQuota)
	p.noRoom = withinQuota && p.noRoomFor[p.shape]
	p.quotaShort = !withinQuota && p.noRoomFor[p.teamShape]
}

// searchSpace returns the candidates among which a machine for the job's next task is searched.
func (p *jobPlacement) searchSpace() []*candidateMachine {
	if !p.sampling || p.hasReservation {
		return p.candidates
	}
	if p.fittingAtStart == nil {
		p.fittingAtStart = p.fittingCandidates(p.shape, p.job.TaskResources)
	}
	return p.fittingAtStart
}

// assignTasks assigns the job's waiting tasks in this partition's ranges to machines while there is room.
func (p *jobPlacement) assignTasks() {
	job := p.job
	for _, taskRange := range job.Record.TaskRanges {
		if taskRange.Partition != p.scheduler.config.Node {
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
			if !p.noRoom && !p.quotaShort && p.assignableTasks > 0 {
				p.assignTask(i)
			}
		}
	}
}

// assignTask assigns one task to a machine, or records why it cannot.
func (p *jobPlacement) assignTask(task int) {
	sc, job := p.scheduler, p.job
	// An update that frees quota can assign the freed quota again in the same write.
	freedQuotaOnly := !job.TaskResources.FitsIn(p.remainingQuota)
	if p.needsMachineChoice(task, freedQuotaOnly) {
		p.request.FreedQuotaOnly = freedQuotaOnly
		p.chosenMachine = sc.chooseMachine(p.request, machineSearch{
			candidates: p.searchSpace(),
			preferred:  p.preferred,
			sampled:    p.sampling,
		})
	}
	if p.chosenMachine == nil {
		p.recordNoMachine(freedQuotaOnly)
		return
	}
	withImage := p.chosenMachine.machine.CachedImages[p.spec.Image]
	if p.spec.Service && !withImage && !imageWaitExceeded(job, p.wallNow) &&
		sc.preemptFor(p.preemptionRequest(1, true)) {
		// The service waits for room on a machine that has the image. That is faster than fetching the image.
		p.assignableTasks = 0
		return
	}
	p.assignToChosenMachine(task)
	p.pendingTasks--
	p.assignableTasks--
}

// needsMachineChoice reports whether a new machine must be chosen for a task, because it cannot go to the
// machine of the previous task.
func (p *jobPlacement) needsMachineChoice(task int, freedQuotaOnly bool) bool {
	candidate, taskResources := p.chosenMachine, p.job.TaskResources
	return candidate == nil ||
		freedQuotaOnly && !taskResources.FitsIn(candidate.update.FreedQuota(p.spec.Team)) ||
		p.spec.Service ||
		!taskResources.FitsIn(candidate.Free) ||
		!p.zoneConstraint.Allows(candidate.Record.Zone) ||
		candidate.TaskCount >= scheduling.MaxTasksPerMachine ||
		candidate.update.MaxBytes()+2*storage.MaxTaskBytes(task) > p.shardBytesLimit
}

// recordNoMachine records that no machine takes a task of the job. It also records this for other jobs with
// tasks of the same shape, unless the search depended on conditions of this job.
func (p *jobPlacement) recordNoMachine(freedQuotaOnly bool) {
	p.quotaShort, p.noRoom = freedQuotaOnly, !freedQuotaOnly
	if p.oneCommitAtATime || p.preemptionPending || p.hasReservation || p.spotOnly ||
		p.tracking.failures.ExcludesAny() {
		return
	}
	p.noRoomFor[p.shape] = p.noRoomFor[p.shape] || p.noRoom
	p.noRoomFor[p.teamShape] = p.noRoomFor[p.teamShape] || p.quotaShort
}

// assignToChosenMachine adds the assignment of a task to the update of the chosen machine's shard.
func (p *jobPlacement) assignToChosenMachine(task int) {
	sc, job, candidate := p.scheduler, p.job, p.chosenMachine
	update, machine := candidate.update, candidate.MachineID
	p.preferred = p.candidatesByUpdate[update]
	update.BeginJob(job)
	if p.limits.Limited() {
		sharesKey := storage.PartitionKey(sc.config.Node)
		update.AddCompare(sharesKey, sc.deps.Mirror.VersionOf(sharesKey))
	}
	joinsRange := p.lastAssigned.Machine == machine && p.lastAssigned.Task == task-1
	p.lastAssigned = storage.Attempt{
		Task:     task,
		Machine:  machine,
		Number:   sc.deps.Mirror.NewestRevision,
		Starting: sc.deps.Drains.TracksStart(p.spec),
	}
	sc.jobsAssignedInPass[job.ID] = true
	update.Assign(job, p.lastAssigned, joinsRange)
	sc.deps.ScaleIn.Reopen(machine)
	candidate.Closing = false
	candidate.Free = candidate.Free.AddScaled(job.TaskResources, -1)
	candidate.TaskCount++
	if p.spec.Service {
		candidate.ServiceCPUs += job.TaskResources.CPUs
	}
	candidate.machine.CachedImages[p.spec.Image] = true
	if !p.limits.Limited() || !update.UseFreedQuota(p.spec.Team, job.TaskResources) {
		p.remainingQuota = p.remainingQuota.AddScaled(job.TaskResources, -1)
	}
	p.zoneConstraint.AddTasks(candidate.Record.Zone, 1)
	if p.oneCommitAtATime {
		p.request.OnlyWrite = update
	}
}
