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
	// ownerGracePeriod is how long the owner of a new job's tasks that seems to have room has to use it.
	ownerGracePeriod = 3 * monotime.Second
	// reassignmentGracePeriod is the same for an owner that has just taken tasks over: without it tasks could
	// be stolen in turn by several partitions without ever starting.
	reassignmentGracePeriod = 1 * monotime.Second
)

// workStealing is what a partition may take waiting tasks of others for.
type workStealing struct {
	candidates      []*candidateMachine
	quotaLeftByTeam map[string]resources.Vector // filled as teams are looked at
	capacities      *PartitionCapacity
	wall            int64 // time of day, microseconds
}

// stealWork looks for waiting tasks of other partitions that this one has room for: of partitions whose
// controller has gone, that have no room for them, or that haven't used what they seem to have. That hands
// tasks on in one write, at the time when there is room, and lets each partition's room go to the most urgent
// tasks of all.
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
		wall:            sc.deps.Environment.WallClock(),
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

// tasksThatFit counts the tasks of a job that the room not kept for others can take.
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

// stealTasksOfJob takes over as many of a job's tasks that wait at other partitions as there is room
// for, and tells how many.
func (sc *Scheduler) stealTasksOfJob(job *mirror.Job, work workStealing) int {
	if !sc.mayStealTasksOf(job) {
		return 0
	}
	room := sc.roomForStolenTasks(job, work)
	if room == 0 {
		return 0
	}
	spec, ranges := &job.Record.Spec, job.Record.TaskRanges
	keepTogether, maxTasks := spec.OneZone || spec.Spread, room
	if keepTogether { // its tasks stay together
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

// mayStealTasksOf reports whether a job has tasks at other partitions, and may be reassigned now.
func (sc *Scheduler) mayStealTasksOf(job *mirror.Job) bool {
	ranges := job.Record.TaskRanges
	allHere := len(ranges) == 1 && ranges[0].Partition == sc.config.Node
	return !allHere && !sc.deps.RecordWrites.Contains(job.ID) &&
		!sc.PlacementDelayed(job.ID, sc.deps.Environment.Now()) &&
		sc.deps.Mirror.WatchedRevision >= job.Version &&
		!sc.IsCrashLooping(job)
}

// roomForStolenTasks counts the tasks of a job that fit here and into what is left of the team's share. A
// partition with machines but without a share of the team's limit would leave the tasks for ever to one with
// a share but without machines: it notes the shortage.
func (sc *Scheduler) roomForStolenTasks(job *mirror.Job, work workStealing) int {
	room := tasksThatFit(job, work.candidates)
	if room == 0 {
		return 0
	}
	team := job.Record.Spec.Team
	shareLeft, ok := work.quotaLeftByTeam[team]
	if !ok {
		shareLeft = sc.deps.Quota.Left(team)
		work.quotaLeftByTeam[team] = shareLeft
	}
	tasksInShare := job.TaskResources.CountIn(shareLeft)
	if tasksInShare >= room {
		return room
	}
	sc.deps.Quota.NoteShortage(team, quota.UnmetDemand{
		TaskResources:  job.TaskResources,
		Tasks:          min(room-tasksInShare, job.UnassignedTasks()),
		ShareLeft:      shareLeft,
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
	return work.wall-job.Record.AcceptedAt < int64(ownerGracePeriod) ||
		sc.deps.Environment.Now()-recordChangedAt < reassignmentGracePeriod
}

// reserveRoom keeps room for tasks that are about to be placed here from what is less urgent.
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
