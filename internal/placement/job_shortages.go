package placement

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/quota"
)

// What a placement does for a job whose tasks found no room or no quota.

// stolenTasksRoomTimeout is how long room is kept for tasks that are being taken over.
const stolenTasksRoomTimeout = monotime.Second

// reportQuotaShortage notes that the partition's share of the team's limit keeps the job's tasks waiting.
func (p *jobPlacement) reportQuotaShortage() {
	if _, known := p.hasRoomFor[p.shape]; !known {
		p.hasRoomFor[p.shape] = tasksThatFit(p.job, p.candidates) > 0
	}
	p.scheduler.deps.Quota.NoteShortage(p.spec.Team, quota.UnmetDemand{
		TaskResources:  p.job.TaskResources,
		Tasks:          p.pendingTasks,
		ShareLeft:      p.remainingQuota,
		HasMachineRoom: p.hasRoomFor[p.shape],
	})
}

// urgentInOtherPartition reports whether the job waits at other partitions only and has an objective that it
// can still meet. It goes before what is less urgent here: otherwise small jobs of large tasks miss their
// deadlines in a partition without a gap while others give theirs to tasks that have time.
func (p *jobPlacement) urgentInOtherPartition() bool {
	return p.pendingTasks == 0 && !p.spec.Service && !p.oneCommitAtATime && !p.reassignedThisPass &&
		!p.noRoomFor[p.shape] &&
		p.job.UnassignedTasks() > 0 &&
		p.scheduler.SlackOf(p.job, p.wallNow).CanMeetObjective()
}

// stealUrgentTasks takes such a job's tasks over, as many as there is room for, and keeps the room for them.
// One job a pass, because each costs a write.
func (p *jobPlacement) stealUrgentTasks() {
	sc, job := p.scheduler, p.job
	if tasksThatFit(job, p.candidates) == 0 {
		p.noRoomFor[p.shape] = true
		p.holdMachinesFor(job.UnassignedTasks())
		return
	}
	if p.now < sc.nextWorkStealAt {
		return // until a write is allowed, other tasks use the room
	}
	tasks := sc.stealTasksOfJob(job, workStealing{
		candidates:      p.candidates,
		quotaLeftByTeam: p.quotaLeft,
		capacities:      p.freePartitionCapacity(),
		wall:            p.wallNow,
	})
	reassignment := &p.tracking.reassignment
	reassignment.stolenTasks, reassignment.roomReservedUntil = tasks, p.now+stolenTasksRoomTimeout
	p.reassignedThisPass = tasks > 0
	reserveRoom(job.TaskResources, p.spec, p.candidates, min(tasks, job.UnassignedTasks()))
}

// holdMachinesFor keeps machines for this partition's fraction of so many waiting tasks of the job.
func (p *jobPlacement) holdMachinesFor(tasks int) {
	partitions := len(p.scheduler.config.Controllers)
	fraction := (tasks + partitions - 1) / partitions
	p.scheduler.holdMachinesFor(p.job, p.candidates, p.zoneConstraint, fraction)
}

// preemptionRequest requests room for so many tasks of the job by stopping others.
func (p *jobPlacement) preemptionRequest(tasks int, cachedImageOnly bool) preemptionRequest {
	return preemptionRequest{
		job:             p.job,
		tasks:           tasks,
		zones:           p.zoneConstraint,
		candidates:      p.candidates,
		now:             p.now,
		cachedImageOnly: cachedImageOnly,
	}
}

// makeRoomByPreemption stops others' work for a service, and for a job within its team's guarantee that found
// no room for a while; where that can't be done here, the job's tasks go to a partition that can.
func (p *jobPlacement) makeRoomByPreemption() {
	sc, job := p.scheduler, p.job
	tasks := p.pendingTasks
	if !p.spec.Service {
		p.holdMachinesFor(p.pendingTasks)
		if p.preemptScavengers() || !p.mayReclaimGuarantee() {
			return
		}
		tasks = min(p.pendingTasks, guaranteePreemptionBatch)
	}
	// A hand-over costs a write, and so does work stealing later in the pass. The time of the last hand-over
	// is only noted if one was made, so that a service is handed over as soon as a write is allowed.
	if sc.preemptFor(p.preemptionRequest(tasks, false)) ||
		p.now-p.tracking.reassignment.handedOverAt <= handOverInterval ||
		p.now < sc.nextWorkStealAt {
		return
	}
	if to := sc.bestPreemptionTarget(p.freePartitionCapacity(), job); to != "" &&
		sc.handOverTasks(job, to) {
		p.tracking.reassignment.handedOverAt = p.now
	}
}

// preemptScavengers stops preemptible work for the tasks that the quota allows, and reports whether room is
// being made.
func (p *jobPlacement) preemptScavengers() bool {
	tasks := min(p.pendingTasks, p.job.TaskResources.CountIn(p.remainingQuota))
	return tasks > 0 && p.anyPreemptible() &&
		p.scheduler.preemptScavengers(p.preemptionRequest(tasks, false))
}

// mayReclaimGuarantee reports whether an array may stop what other teams run beyond their guarantees.
func (p *jobPlacement) mayReclaimGuarantee() bool {
	return p.wallNow-p.job.Record.AcceptedAt > int64(guaranteePreemptionDelay) &&
		p.scheduler.entitledToGuarantee(p.job)
}
