package placement

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/quota"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/storage"
)

// jobPlacement is what a placement does for one job.
type jobPlacement struct {
	*placementPass
	job      *mirror.Job
	spec     *storage.JobSpec
	tracking *jobTracking

	spotOnly          bool // held to spot machines, see Scheduler.IsSpotOnly
	crashLooping      bool // placed for an occasional trial only
	oneCommitAtATime  bool // its tasks go out by one commit at a time
	preemptionPending bool // machines are kept for it
	hasReservation    bool // room is held for replicas of it that are being moved

	limits         quota.Limits
	remainingQuota resources.Vector // left of this partition's share of its team's limit
	zoneConstraint *scheduling.ZoneConstraint
	request        *scheduling.MachineRequest
	shape          scheduling.TaskShape // what decides where its tasks may run,
	teamShape      scheduling.TaskShape // and within which team's limit

	assignableTasks int  // tasks that it may be given
	pendingTasks    int  // tasks of this partition's ranges that wait
	noRoom          bool // no machine has room for a task
	quotaShort      bool // the share of the team's limit doesn't allow one
	shardBytesLimit int  // bytes that a shard may come to take

	fittingAtStart []*candidateMachine // those with room for a task when it was first looked for
	chosenMachine  *candidateMachine
	preferred      []*candidateMachine // those of the shard that its last task went to
	lastAssigned   storage.Attempt
}

// beginJob prepares the placement of a job's tasks; nil if they can't be placed in this pass.
func (p *placementPass) beginJob(job *mirror.Job) *jobPlacement {
	sc, spec := p.scheduler, &job.Record.Spec
	jobPlan := &jobPlacement{
		placementPass:    p,
		job:              job,
		spec:             spec,
		tracking:         sc.trackingOf(job.ID),
		spotOnly:         sc.IsSpotOnly(job),
		crashLooping:     sc.IsCrashLooping(job),
		oneCommitAtATime: spec.OneZone || spec.Spread,
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
		jobPlan.assignableTasks = jobPlan.tracking.progress.Missing(job.DoneTasks + job.AssignedTasks)
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

// recordIsUpToDate reports whether the job's record, as the mirror has it, says who places its tasks.
func (p *jobPlacement) recordIsUpToDate() bool {
	sc, job := p.scheduler, p.job
	if p.now < p.tracking.placeNotBefore || sc.deps.RecordWrites.Contains(job.ID) {
		return false
	}
	return sc.deps.Mirror.WatchedRevision >= job.Version || sc.acceptedRevisions[job.ID] == job.Version
}

// reserveRoomForStolenTasks keeps the room of tasks that are being taken over from other partitions.
func (p *jobPlacement) reserveRoomForStolenTasks() {
	if stolen := &p.tracking.reassignment; p.now < stolen.roomReservedUntil {
		reserveRoom(p.job.TaskResources, p.spec, p.candidates, stolen.stolenTasks)
	}
}

// loadRemainingQuota finds what is left of the partition's share of the team's limit.
func (p *jobPlacement) loadRemainingQuota() {
	p.limits, _ = p.scheduler.deps.Quota.Limits(p.spec.Team)
	left, known := p.quotaLeft[p.spec.Team]
	if !known {
		left = p.scheduler.deps.Quota.Left(p.spec.Team)
	}
	p.remainingQuota = left
}

// loadKnownShortages recalls what was found in this pass for tasks of the same shape. A job for which room is
// kept may still find some. Without a share of the team's limit only what a shard gives back counts.
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

// assignTasks assigns the job's tasks of this partition's ranges to machines, as far as there is room.
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

// assignTask assigns one task to a machine, or notes why it can't.
func (p *jobPlacement) assignTask(task int) {
	sc, job := p.scheduler, p.job
	// Quota that a shard's write releases can be used again by the same write.
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
		// Room is being made on a machine that has the image, which is sooner than a fetch.
		p.assignableTasks = 0
		return
	}
	p.assignToChosenMachine(task)
	p.pendingTasks--
	p.assignableTasks--
}

// needsMachineChoice reports whether a task can't just follow the one before.
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

// recordNoMachine notes that no machine takes a task of the job, also for others like it.
func (p *jobPlacement) recordNoMachine(freedQuotaOnly bool) {
	p.quotaShort, p.noRoom = freedQuotaOnly, !freedQuotaOnly
	if p.oneCommitAtATime || p.preemptionPending || p.hasReservation || p.spotOnly ||
		p.tracking.failures.ExcludesAny() {
		return
	}
	p.noRoomFor[p.shape] = p.noRoomFor[p.shape] || p.noRoom
	p.noRoomFor[p.teamShape] = p.noRoomFor[p.teamShape] || p.quotaShort
}

// assignToChosenMachine writes a task into the update of the chosen machine's shard.
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
