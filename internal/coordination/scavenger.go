package coordination

import (
	"math"
	"sort"

	"pipitgap/internal/agents"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
)

// Idle-time work is what nobody has an aim for: arrays of the lowest priority that may
// use spot machines, of a team without a guarantee, with no deadline and no aim of their
// class. It uses room that is there and spot machines that pay, and gives way at once:
// a swarm's array of hours held half of the machines, ordinary ones rented for it, while
// leak-scan waited minutes for gaps.

// scavengerStartDelay is how long idle-time work waits for such room before one ordinary machine
// may be rented for it: it must begin at some time, wherever nothing else is to be had.
const scavengerStartDelay = monotime.Minute

// isScavenger tells whether a job is idle-time work.
func (sc *scheduler) isScavenger(job *mirror.Job) bool {
	spec := &job.Record.Spec
	if !scheduling.MayBeScavenger(spec) {
		return false
	}
	limits, _ := sc.c.quota.Limits(spec.Team)
	return !limits.Guaranteed() &&
		math.IsInf(sc.c.autoscaler.latestStarts(spec)[0], 1)
}

// spotOnly tells whether a job is held to spot machines and to what is there in any case:
// idle-time work, once it has begun or as long as it needn't have.
func (sc *scheduler) spotOnly(job *mirror.Job) bool {
	return sc.isScavenger(job) &&
		(job.DoneTasks+job.AssignedTasks > 0 || monotime.Micros(sc.c.env.WallClock()-job.Record.AcceptedAt) <= scavengerStartDelay)
}

// isPreemptible tells whether a job's tasks give way to arrays of higher priority: nobody has an aim
// for them, their work can be saved, and their team uses more than it is owed. Work with an
// aim of its own is late for it if it is stopped, and begins again only when as much room is
// free at once: small urgent tasks had stopped tasks of whole machines hundreds of times.
func (sc *scheduler) isPreemptible(job *mirror.Job) bool {
	spec := &job.Record.Spec
	return scheduling.MayBePreemptible(spec) && job.IsOpen() &&
		math.IsInf(sc.c.autoscaler.latestStarts(spec)[0], 1) &&
		sc.exceedsGuarantee(spec.Team, resources.Vector{})
}

// preemptibleBy tells whether a running task may be stopped for any of higher priority.
func (sc *scheduler) preemptibleBy(job, victim *mirror.Job) bool {
	return victim.Record.Spec.Priority < job.Record.Spec.Priority && sc.isPreemptible(victim)
}

// preemptScavengers stops work that gives way, so that up to want tasks of a job get room on
// our machines: one look at each, as many tasks on each as it can make room for. It
// tells whether room is being made.
func (sc *scheduler) preemptScavengers(
	job *mirror.Job,
	want int,
	zones *scheduling.ZoneConstraint,
	candidates []*candidateMachine,
	now monotime.Micros,
) bool {
	if pending := sc.preemptions[job.ID]; pending != nil && now < pending.expiresAt {
		return true
	}
	made, on, save := 0, map[string]bool{}, 0.0
	for _, candidate := range candidates {
		if made >= want {
			break
		}
		machine := candidate.machine
		if candidate.HeldBack || !candidate.AvailableTo(job.ID) ||
			sc.c.agents.agentOf(machine).IsStoppingAny() ||
			!scheduling.MachineAllowed(&job.Record.Spec, candidate.Record) ||
			!zones.Allows(candidate.Record.Zone) {
			continue
		}
		var victims []preemptionVictim
		for task, attempt := range machine.Attempts {
			key := agents.AttemptID{Task: task, Attempt: attempt}
			victim := sc.c.mirror.Jobs[task.Job]
			if victim == nil || !sc.preemptibleBy(job, victim) ||
				sc.c.agents.agentOf(machine).HasOutcome(key) {
				continue
			}
			if sc.c.agents.agentOf(machine).HasExited(key) {
				continue
			}
			victims = append(victims, preemptionVictim{key, victim.TaskResources, victim.Record.Spec.SaveS})
		}
		sort.Slice(victims, func(a, b int) bool {
			x, y := victims[a].attempt.Task, victims[b].attempt.Task
			return x.Job < y.Job || x.Job == y.Job && x.Index > y.Index // the last begun
		})
		free, taken := candidate.Free, 0
		for made < want {
			k, available := taken, free
			for k < len(victims) && !job.TaskResources.FitsIn(available) {
				available = available.AddScaled(victims[k].need, 1)
				k++
			}
			if k == taken || !job.TaskResources.FitsIn(available) {
				break
			}
			taken, free = k, available.AddScaled(job.TaskResources, -1)
			made++
		}
		if taken == 0 {
			continue
		}
		for _, victim := range victims[:taken] {
			sc.c.agents.agentOf(machine).StopAttempt(victim.attempt)
			save = max(save, victim.lostCPUSeconds)
			sc.c.log.Debug(
				"scavenger task preempted",
				"task",
				victim.attempt.Task.String(),
				"attempt",
				victim.attempt.Attempt,
				"machine",
				machine.ID,
				"for_job",
				job.ID,
			)
		}
		candidate.ReservedForJob, on[machine.ID] = job.ID, true
		sc.c.agents.syncCommands(machine)
	}
	if made == 0 {
		return false
	}
	sc.requestPass()
	sc.preemptions[job.ID] = &pendingPreemption{
		made,
		now + preemptionTimeout + monotime.FromSeconds(save),
		on,
	}
	return true
}
