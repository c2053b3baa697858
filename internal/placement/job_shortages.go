package placement

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/quota"
)

// The methods in this file handle a job whose tasks found no room or no quota.

// stolenTasksRoomTimeout is how long room stays reserved for tasks that are being taken over.
const stolenTasksRoomTimeout = monotime.Second

// reportQuotaShortage reports that this partition's share of the team's limit keeps the job's tasks waiting.
func (p *jobPlacement) reportQuotaShortage() {
	if _, known := p.hasRoomFor[p.shape]; !known {
		p.hasRoomFor[p.shape] = tasksThatFit(p.job, p.candidates) > 0
	}
	p.scheduler.deps.Quota.RecordShortage(p.spec.Team, quota.UnmetDemand{
		TaskResources:  p.job.TaskResources,
		Tasks:          p.pendingTasks,
		RemainingShare: p.remainingQuota,
		HasMachineRoom: p.hasRoomFor[p.shape],
	})
}

// urgentInOtherPartition reports whether the job waits only at other partitions and can still meet an
// objective. Such a job goes before less urgent tasks of this partition. Otherwise jobs with a few large
// tasks miss their deadlines in a partition without room, while other partitions give their room to tasks
// that can wait.
func (p *jobPlacement) urgentInOtherPartition() bool {
	return p.pendingTasks == 0 && !p.spec.Service && !p.oneCommitAtATime && !p.reassignedThisPass &&
		!p.noRoomFor[p.shape] &&
		p.job.UnassignedTasks() > 0 &&
		p.scheduler.SlackOf(p.job, p.wallNow).CanMeetObjective()
}

// stealUrgentTasks takes over tasks of a job that is urgent in another partition, as many as there is room
// for, and reserves the room for them. A pass does this for one job only, because each takeover costs a
// write.
func (p *jobPlacement) stealUrgentTasks() {
	sc, job := p.scheduler, p.job
	if tasksThatFit(job, p.candidates) == 0 {
		p.noRoomFor[p.shape] = true
		p.holdMachinesFor(job.UnassignedTasks())
		return
	}
	if p.now < sc.nextWorkStealAt {
		return // until the next write is allowed, other tasks may use the room
	}
	tasks := sc.stealTasksOfJob(job, workStealing{
		candidates:      p.candidates,
		quotaLeftByTeam: p.quotaLeft,
		capacities:      p.freePartitionCapacity(),
		wallNow:         p.wallNow,
	})
	reassignment := &p.tracking.reassignment
	reassignment.stolenTasks, reassignment.roomReservedUntil = tasks, p.now+stolenTasksRoomTimeout
	p.reassignedThisPass = tasks > 0
	reserveRoom(job.TaskResources, p.spec, p.candidates, min(tasks, job.UnassignedTasks()))
}

// holdMachinesFor holds back machines for this partition's fraction of the given number of the job's tasks.
func (p *jobPlacement) holdMachinesFor(tasks int) {
	partitions := len(p.scheduler.config.Controllers)
	fraction := (tasks + partitions - 1) / partitions
	p.scheduler.holdMachinesFor(p.job, p.candidates, p.zoneConstraint, fraction)
}

// preemptionRequest returns a request to make room for the given number of the job's tasks by preemption.
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

// makeRoomByPreemption stops tasks of other jobs to make room for a service, or for an array that has found
// none. An array first preempts preemptible tasks; after guaranteePreemptionDelay it also reclaims its team's
// guarantee. If this partition cannot make room, the job's tasks go to a partition that can.
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
	// A handover costs a write, and so does work stealing later in the pass. handedOverAt changes only if a
	// handover was submitted, so that a service is handed over as soon as a write is allowed.
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

// preemptScavengers stops preemptible tasks to make room for the waiting tasks that the quota allows, and
// reports whether room is being made.
func (p *jobPlacement) preemptScavengers() bool {
	tasks := min(p.pendingTasks, p.job.TaskResources.CountIn(p.remainingQuota))
	return tasks > 0 && p.anyPreemptible() &&
		p.scheduler.preemptScavengers(p.preemptionRequest(tasks, false))
}

// mayReclaimGuarantee reports whether an array may stop tasks that other teams run beyond their guarantees.
func (p *jobPlacement) mayReclaimGuarantee() bool {
	return p.wallNow-p.job.Record.AcceptedAt > int64(guaranteePreemptionDelay) &&
		p.scheduler.entitledToGuarantee(p.job)
}
