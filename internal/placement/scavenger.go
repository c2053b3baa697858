package placement

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
)

// The scavenger class is work without an objective: arrays of the lowest priority that may use spot machines,
// of a team without a guarantee, with no deadline and no objective for their class. Scavenger jobs use spare
// room and cost-effective spot machines, and are preempted immediately. Otherwise a single long array could
// hold half of the machines, including on-demand machines requested for it, while urgent work waits for gaps.

// scavengerStartDelay is how long a scavenger job waits for such room before one on-demand machine may be
// requested for it. The job must start eventually, even where no other room becomes available.
const scavengerStartDelay = monotime.Minute

// IsScavenger reports whether a job is of the scavenger class.
func (sc *Scheduler) IsScavenger(job *mirror.Job) bool {
	spec := &job.Record.Spec
	if !scheduling.MayBeScavenger(spec) {
		return false
	}
	limits, _ := sc.deps.Quota.Limits(spec.Team)
	return !limits.Guaranteed() && !sc.hasObjective(spec)
}

// IsSpotOnly reports whether a job is restricted to spot machines and to on-demand machines that services
// keep in any case. A scavenger job is restricted once it has started, and before that until
// scavengerStartDelay has passed.
func (sc *Scheduler) IsSpotOnly(job *mirror.Job) bool {
	if !sc.IsScavenger(job) {
		return false
	}
	return job.DoneTasks+job.AssignedTasks > 0 ||
		monotime.Micros(sc.deps.Environment.WallClock()-job.Record.AcceptedAt) <= scavengerStartDelay
}

// IsPreemptible reports whether a job's tasks may be stopped for arrays of higher priority: the job has no
// objective, it saves its work, and its team uses more than its guarantee. A stopped job with an objective
// would miss it, and would restart only when as much room is free at once.
func (sc *Scheduler) IsPreemptible(job *mirror.Job) bool {
	spec := &job.Record.Spec
	return scheduling.MayBePreemptible(spec) && job.IsOpen() && !sc.hasObjective(spec) &&
		sc.exceedsGuarantee(spec.Team, resources.Vector{})
}

// preemptibleBy reports whether job may stop tasks of victim because of its higher priority.
func (sc *Scheduler) preemptibleBy(job, victim *mirror.Job) bool {
	return victim.Record.Spec.Priority < job.Record.Spec.Priority && sc.IsPreemptible(victim)
}

// preemptScavengers stops preemptible tasks so that up to request.tasks tasks of a job get room on this
// partition's machines. It examines each machine once and makes room there for as many tasks as possible. It
// reports whether room is being made.
func (sc *Scheduler) preemptScavengers(request preemptionRequest) bool {
	job := request.job
	if sc.isPreempting(job.ID, request.now) {
		return true
	}
	tasksWithRoom, machines, saveSeconds := 0, map[string]bool{}, 0.0
	for _, candidate := range request.candidates {
		if tasksWithRoom >= request.tasks {
			break
		}
		if candidate.HeldBack || !sc.mayPreemptOn(candidate, job, request.zones) {
			continue
		}
		victims := sc.victimsOn(candidate.machine, request.now, func(victim *mirror.Job) bool {
			return sc.preemptibleBy(job, victim)
		})
		selection := scheduling.SelectScavengers(
			victims, job.TaskResources, candidate.Free, request.tasks-tasksWithRoom,
		)
		if len(selection.Victims) == 0 {
			continue
		}
		tasksWithRoom += selection.Tasks
		saveSeconds = max(saveSeconds, selection.SaveSeconds())
		sc.stopVictims("scavenger task preempted", candidate, selection.Victims, job)
		machines[candidate.MachineID] = true
	}
	return sc.recordPreemption(job, machines, request.now+preemptionTimeout+monotime.FromSeconds(saveSeconds))
}
