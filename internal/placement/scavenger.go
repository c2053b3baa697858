package placement

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
)

// The scavenger class is work that has no objective: arrays of the lowest priority that may use spot
// machines, of a team without a guarantee, with no deadline and no objective of their class. It uses spare
// room and spot machines that pay, and is preempted at once: otherwise a single long array could hold half of
// the machines, ordinary ones requested for it, while urgent work waits for gaps.

// scavengerStartDelay is how long a scavenger job waits for such room before one ordinary machine
// may be requested for it: it must begin at some time, wherever nothing else is to be had.
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

// IsSpotOnly reports whether a job is held to spot machines and to what is there in any case:
// a scavenger job, once it has begun or as long as it needn't have.
func (sc *Scheduler) IsSpotOnly(job *mirror.Job) bool {
	if !sc.IsScavenger(job) {
		return false
	}
	return job.DoneTasks+job.AssignedTasks > 0 ||
		monotime.Micros(sc.deps.Environment.WallClock()-job.Record.AcceptedAt) <= scavengerStartDelay
}

// IsPreemptible reports whether a job's tasks may be stopped for arrays of higher priority: they have no
// objective, their work can be saved, and their team uses more than its guarantee. Work with an objective
// would miss it if it were stopped, and begins again only when as much room is free at once.
func (sc *Scheduler) IsPreemptible(job *mirror.Job) bool {
	spec := &job.Record.Spec
	return scheduling.MayBePreemptible(spec) && job.IsOpen() && !sc.hasObjective(spec) &&
		sc.exceedsGuarantee(spec.Team, resources.Vector{})
}

// preemptibleBy reports whether a running task may be stopped for any of higher priority.
func (sc *Scheduler) preemptibleBy(job, victim *mirror.Job) bool {
	return victim.Record.Spec.Priority < job.Record.Spec.Priority && sc.IsPreemptible(victim)
}

// preemptScavengers stops preemptible work, so that up to as many tasks of a job as requested get room on the
// partition's machines: one look at each, as many tasks on each as it can make room for. It tells whether
// room is being made.
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
