package placement

import (
	"math"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/quota"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/storage"
)

const (
	// ownerGracePeriod is how long after a job's acceptance other partitions leave its tasks to an owner that
	// seems to have room for them.
	ownerGracePeriod = 3 * monotime.Second
	// reassignmentGracePeriod is the same for an owner that has just taken over tasks. Without it, several
	// partitions could steal tasks from each other in turn, and the tasks would never start.
	reassignmentGracePeriod = 1 * monotime.Second
)

// workStealing holds what this partition has available for waiting tasks of other partitions.
type workStealing struct {
	candidates      []*candidateMachine
	quotaLeftByTeam map[string]resources.Vector // looked up at the first job of a team
	capacities      *PartitionCapacity
	wallNow         int64 // time of day, microseconds
}

// stealWork takes over waiting tasks of other partitions for which this partition has room. It steals from
// partitions whose controller is gone, that have no room for the tasks, or that have not used the room that
// they seem to have. One write moves the tasks when there is room for them, and the free room of every
// partition goes to the most urgent tasks of all partitions.
func (sc *Scheduler) stealWork(
	jobs []*mirror.Job,
	candidates []*candidateMachine,
	reservations *drainReservations,
	quotaLeftByTeam map[string]resources.Vector,
	now monotime.Micros,
) {
	freeCPUs := reservations.totalCPUs()
	for _, candidate := range candidates {
		if !candidate.HeldBack && candidate.ReservedForJob == "" {
			freeCPUs += max(0, candidate.Free.CPUs)
		}
	}
	if freeCPUs < resources.Tolerance || now < sc.nextWorkStealAt {
		return
	}
	work := workStealing{
		candidates:      candidates,
		quotaLeftByTeam: quotaLeftByTeam,
		capacities:      sc.CapacityByPartition(),
		wallNow:         sc.deps.Environment.WallClock(),
	}
	for _, job := range jobs {
		if now < sc.nextWorkStealAt {
			return
		}
		if job.TaskResources.CPUs <= freeCPUs+resources.Tolerance {
			reservations.release(job)
			sc.stealTasksOfJob(job, work)
			reservations.restore(job)
		}
	}
}

// tasksThatFit counts the tasks of a job that fit into free room that is not held back or reserved for
// others.
func tasksThatFit(job *mirror.Job, candidates []*candidateMachine) int {
	room := 0
	for _, candidate := range candidates {
		if !candidate.HeldBack && candidate.AvailableTo(job.ID) &&
			scheduling.MachineAllowed(&job.Record.Spec, candidate.Record) {
			room += job.TaskResources.CountIn(candidate.Free)
		}
	}
	return room
}

// stealTasksOfJob takes over waiting tasks of a job from one range of another partition, as many as there is
// room for, and returns their number. The tasks of a job with a zone rule move together.
func (sc *Scheduler) stealTasksOfJob(job *mirror.Job, work workStealing) int {
	if !sc.mayStealTasksOf(job) {
		return 0
	}
	room := sc.roomForStolenTasks(job, work)
	if room == 0 {
		return 0
	}
	spec, ranges := &job.Record.Spec, job.Record.TaskRanges
	keepTogether, maxTasks := spec.HasZoneRule(), room
	if keepTogether { // a job with a zone rule moves a whole range
		maxTasks = math.MaxInt
	}
	for k := len(ranges) - 1; k >= 0; k-- {
		taskRange := ranges[k]
		if taskRange.Partition == sc.config.Node || sc.ownerInGracePeriod(job, taskRange.Partition, work) {
			continue
		}
		tail := scheduling.WaitingTail(taskRange, job.TaskStates, maxTasks)
		if tail.Waiting == 0 ||
			keepTogether && tail.Waiting > room && sc.deps.Membership.IsMember(taskRange.Partition) {
			continue
		}
		if !sc.ReassignTaskRanges(
			job,
			storage.AssignRange(ranges, tail.First, taskRange.End, sc.config.Node),
		) {
			return 0
		}
		sc.nextWorkStealAt = sc.deps.Store.NextWriteAllowedAt(workStealingWrites)
		return tail.Waiting
	}
	return 0
}

// mayStealTasksOf reports whether other partitions own task ranges of a job and its tasks may be reassigned
// now.
func (sc *Scheduler) mayStealTasksOf(job *mirror.Job) bool {
	ranges := job.Record.TaskRanges
	allHere := len(ranges) == 1 && ranges[0].Partition == sc.config.Node
	return !allHere && !sc.deps.RecordWrites.Contains(job.ID) &&
		!sc.PlacementDelayed(job.ID, sc.deps.Environment.Now()) &&
		sc.deps.Mirror.WatchedRevision >= job.Version &&
		!sc.IsCrashLooping(job)
}

// roomForStolenTasks counts the tasks of a job that fit on this partition's machines and within the rest of
// its share of the team's limit. If only the share is too small, it reports the shortage: otherwise a
// partition with machines but without a share would forever leave the tasks to a partition with a share but
// without machines.
func (sc *Scheduler) roomForStolenTasks(job *mirror.Job, work workStealing) int {
	room := tasksThatFit(job, work.candidates)
	if room == 0 {
		return 0
	}
	team := job.Record.Spec.Team
	shareLeft, ok := work.quotaLeftByTeam[team]
	if !ok {
		shareLeft = sc.deps.Quota.RemainingQuota(team)
		work.quotaLeftByTeam[team] = shareLeft
	}
	tasksInShare := job.TaskResources.CountIn(shareLeft)
	if tasksInShare >= room {
		return room
	}
	sc.deps.Quota.RecordShortage(team, quota.UnmetDemand{
		TaskResources:  job.TaskResources,
		Tasks:          min(room-tasksInShare, job.UnassignedTasks()),
		RemainingShare: shareLeft,
		HasMachineRoom: true,
	})
	return tasksInShare
}

// ownerInGracePeriod reports whether a live partition that seems to have room for a job's tasks still has
// time to place them.
func (sc *Scheduler) ownerInGracePeriod(job *mirror.Job, partition string, work workStealing) bool {
	if !sc.deps.Membership.IsMember(partition) ||
		work.capacities.tasksFitting(&job.Record.Spec, partition) == 0 {
		return false
	}
	recordChangedAt := sc.trackingOf(job.ID).reassignment.recordChangedAt
	return work.wallNow-job.Record.AcceptedAt < int64(ownerGracePeriod) ||
		sc.deps.Environment.Now()-recordChangedAt < reassignmentGracePeriod
}

// reserveRoom reserves free room for tasks that this partition is about to place, so that less urgent jobs do
// not take it.
func reserveRoom(
	taskResources resources.Vector,
	spec *storage.JobSpec,
	candidates []*candidateMachine,
	tasks int,
) {
	for _, candidate := range candidates {
		if tasks <= 0 {
			return
		}
		if !candidate.HeldBack && candidate.ReservedForJob == "" &&
			scheduling.MachineAllowed(spec, candidate.Record) {
			fitting := min(tasks, taskResources.CountIn(candidate.Free))
			candidate.Free = candidate.Free.AddScaled(taskResources, -float64(fitting))
			tasks -= fitting
		}
	}
}
