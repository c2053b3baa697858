package coordination

import (
	"fmt"
	"math"
	"sort"

	"pipitgap/internal/membership"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/quota"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/resources"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/storage"
)

// Bounds of how tasks move between parts.
const (
	minTasksPerRange    = 24                  // tasks
	maxTaskRangesPerJob = 40                  // of one job; what a value holds
	ownerGracePeriod    = 3 * monotime.Second // an owner that seems to have room gets so long to use it
	// and one that has just taken tasks over: they went round without a start
	reassignmentGracePeriod = 1 * monotime.Second
)

// assignTaskRanges divides a new job among the partitions: whole to the one with most room, or
// what the parts have room for, and the rest evenly. A job too large for any part
// is so spread over all of them, and what binds stays in its own record.
func (sc *scheduler) assignTaskRanges(spec *storage.JobSpec) []storage.TaskRange {
	n := spec.Tasks
	controllers := sc.c.reachability.ConnectedControllers()
	if n == 1 || spec.OneZone || spec.Spread || len(controllers) == 0 {
		return []storage.TaskRange{{First: 0, End: n, Partition: sc.partitionForNewJob(spec)}}
	}
	capacities := sc.capacityByPartition()
	backlog := sc.backlogCPUs()
	type partition struct {
		name       string
		room, size int
	}
	var partitions []partition
	for _, p := range controllers {
		r := capacities.tasksFitting(spec, p) - int(math.Ceil(backlog[p]/max(spec.CPUs, 0.01)))
		partitions = append(partitions, partition{name: p, room: r})
	}
	// The least burdened first where none has room.
	sort.SliceStable(partitions, func(a, b int) bool { return partitions[a].room > partitions[b].room })
	for i := range partitions {
		partitions[i].room = max(0, partitions[i].room)
	}
	if n <= partitions[0].room || spec.Service {
		return []storage.TaskRange{{First: 0, End: n, Partition: sc.partitionForNewJob(spec)}}
	}
	left := n
	for i := range partitions {
		partitions[i].size = min(left, partitions[i].room)
		left -= partitions[i].size
	}
	// What has no room anywhere yet goes to no more parts than is worth it: each
	// part that has some of a job holds a record of it.
	among := min(len(partitions), max(1, left/minTasksPerRange))
	for i := range partitions[:among] {
		k := (left + among - i - 1) / (among - i)
		partitions[i].size += k
		left -= k
	}
	var out []storage.TaskRange
	at := 0
	for _, p := range partitions {
		if p.size > 0 {
			out = append(out, storage.TaskRange{First: at, End: at + p.size, Partition: p.name})
			at += p.size
		}
	}
	return out
}

// backlogCPUs is the CPUs that each partition's waiting tasks will take.
func (sc *scheduler) backlogCPUs() map[string]float64 {
	out := map[string]float64{}
	for _, job := range sc.c.mirror.Jobs {
		if !job.IsOpen() || job.UnassignedTasks() == 0 || sc.isCrashLooping(job) {
			continue
		}
		for _, taskRange := range job.Record.TaskRanges {
			if len(job.Record.TaskRanges) == 1 {
				out[taskRange.Partition] += float64(job.UnassignedTasks()) * job.TaskResources.CPUs
				break
			}
			for i := taskRange.First; i < taskRange.End; i++ {
				if job.TaskStates[i] == 0 {
					out[taskRange.Partition] += job.TaskResources.CPUs
				}
			}
		}
	}
	return out
}

// reassignTaskRanges changes which parts place a job's tasks. Whatever a range's owner assigned
// before stands in the shards by then, whatever it would assign after fails on the
// record's version; so the new owner may begin once its mirror has come that far.
func (sc *scheduler) reassignTaskRanges(job *mirror.Job, ranges []storage.TaskRange) bool {
	// Both this and an assignment change or ask for the job's record: with one of the
	// same turn on its way, one of the two would fail, and two partitions could go on
	// handing a job to and fro without ever starting it.
	if sc.c.recordWritesInFlight[job.ID] || sc.jobsInPass[job.ID] || len(ranges) > maxTaskRangesPerJob {
		return false
	}
	record := job.Record
	record.TaskRanges = ranges
	value := protocol.MustMarshal(&record)
	if 2*len(value) > sc.c.maxValueBytes() {
		return false
	}
	sc.c.recordWritesInFlight[job.ID] = true
	key := storage.Key(storage.KindOpenJob, job.ID)
	sc.c.replica.Commit(ratelimit.PriorityShardUpdate, protocol.Transaction{
		If:   []protocol.Compare{{Key: key, Version: job.Version}},
		Then: []protocol.Op{{Put: key, Value: value}},
	}, func(result protocol.StoreResult) {
		delete(sc.c.recordWritesInFlight, job.ID)
		sc.requestPass()
		if result.Outcome == protocol.OK {
			sc.c.log.Debug("task ranges reassigned", "job", job.ID, "ranges", fmt.Sprint(ranges))
		}
	})
	return true
}

// adoptOrphanedTasks takes over the waiting tasks of parts that have gone, or don't reach
// their machines. Each job has
// one successor for that, whether it has room for them or not: only their owner makes
// room for services by stopping others' work, or rents for nobody else to place.
func (sc *scheduler) adoptOrphanedTasks(jobs []*mirror.Job, now monotime.Micros) {
	controllers := sc.c.reachability.ConnectedControllers()
	for _, job := range jobs {
		if now < sc.nextOrphanedTasksTakeoverAt {
			return
		}
		if sc.c.recordWritesInFlight[job.ID] || sc.c.mirror.WatchedRevision < job.Version ||
			membership.RendezvousOwner(job.ID, controllers) != sc.c.node {
			continue
		}
		ranges := job.Record.TaskRanges
		for _, taskRange := range job.Record.TaskRanges {
			if !sc.c.membership.IsMember(taskRange.Partition) &&
				now-sc.c.membership.AbsentSince(taskRange.Partition, now) > monotime.Second ||
				sc.c.reachability.IsCutOffFromWorkers(taskRange.Partition, now) {
				ranges = storage.AssignRange(ranges, taskRange.First, taskRange.End, sc.c.node)
			}
		}
		if len(ranges) != len(job.Record.TaskRanges) || !sameTaskRanges(ranges, job.Record.TaskRanges) {
			if sc.reassignTaskRanges(job, ranges) {
				sc.nextOrphanedTasksTakeoverAt = sc.c.store.NextWriteAllowedAt(0.4)
			}
		}
	}
}

func sameTaskRanges(a, b []storage.TaskRange) bool {
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// stealWork looks for waiting tasks of other partitions that ours has room for: of parts
// that have gone, have no room for them, or haven't used what they seem to have.
// That hands tasks on in one write, at the time when there is room, and lets each
// part's room go to the most urgent tasks of all.
func (sc *scheduler) stealWork(
	jobs []*mirror.Job,
	candidates []*candidateMachine,
	reserved *drainReservations,
	quotaLeftByTeam map[string]resources.Vector,
	now monotime.Micros,
) {
	freeCPUs := reserved.totalCPUs()
	for _, candidate := range candidates {
		if !candidate.HeldBack && candidate.ReservedForJob == "" {
			freeCPUs += max(0, candidate.Free.CPUs)
		}
	}
	if freeCPUs < resources.Tolerance || now < sc.nextWorkStealAt {
		return
	}
	capacities := sc.capacityByPartition()
	wall := sc.c.env.WallClock()
	for _, job := range jobs {
		if now < sc.nextWorkStealAt {
			return
		}
		if job.TaskResources.CPUs <= freeCPUs+resources.Tolerance {
			reserved.release(job)
			sc.stealTasksOfJob(job, candidates, quotaLeftByTeam, capacities, wall)
			reserved.reserveAgain(job)
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

// stealTasksOfJob takes over as many of a job's tasks that wait at other partitions as we have room
// for, and tells how many.
func (sc *scheduler) stealTasksOfJob(
	job *mirror.Job,
	candidates []*candidateMachine,
	quotaLeftByTeam map[string]resources.Vector,
	capacities *partitionCapacity,
	wall int64,
) int {
	spec := &job.Record.Spec
	if len(job.Record.TaskRanges) == 1 && job.Record.TaskRanges[0].Partition == sc.c.node ||
		sc.c.recordWritesInFlight[job.ID] || sc.c.now() < sc.trackingOf(job.ID).placeNotBefore || sc.c.mirror.WatchedRevision < job.Version || sc.isCrashLooping(job) {
		return 0
	}
	room := tasksThatFit(job, candidates)
	if room == 0 {
		return 0
	}
	shareLeft, ok := quotaLeftByTeam[spec.Team]
	if !ok {
		shareLeft = sc.c.quota.Left(spec.Team)
		quotaLeftByTeam[spec.Team] = shareLeft
	}
	if n := job.TaskResources.CountIn(shareLeft); n < room {
		// A part with machines but without a share of the team's limit would leave
		// the tasks for ever to one with a share but without machines.
		sc.c.quota.NoteShortage(spec.Team, quota.UnmetDemand{
			TaskResources:  job.TaskResources,
			Tasks:          min(room-n, job.UnassignedTasks()),
			ShareLeft:      shareLeft,
			HasMachineRoom: true,
		})
		room = n
	}
	if room == 0 {
		return 0
	}
	whole := spec.OneZone || spec.Spread
	for k := len(job.Record.TaskRanges) - 1; k >= 0; k-- {
		taskRange := job.Record.TaskRanges[k]
		if taskRange.Partition == sc.c.node ||
			sc.c.membership.IsMember(taskRange.Partition) && capacities.tasksFitting(spec, taskRange.Partition) > 0 &&
				(wall-job.Record.AcceptedAt < int64(ownerGracePeriod) || sc.c.now()-sc.trackingOf(job.ID).reassignment.recordChangedAt < reassignmentGracePeriod) {
			continue
		}
		n, first := 0, taskRange.End
		for first > taskRange.First && (n < room || whole) {
			first--
			if job.TaskStates[first] == 0 {
				n++
			}
		}
		if n == 0 || whole && n > room && sc.c.membership.IsMember(taskRange.Partition) {
			continue
		}
		if !sc.reassignTaskRanges(
			job,
			storage.AssignRange(job.Record.TaskRanges, first, taskRange.End, sc.c.node),
		) {
			return 0
		}
		sc.nextWorkStealAt = sc.c.store.NextWriteAllowedAt(0.1)
		return n
	}
	return 0
}

// reserveRoom keeps room for tasks that are about to be ours from what is less urgent.
func reserveRoom(
	taskResources resources.Vector,
	spec *storage.JobSpec,
	candidates []*candidateMachine,
	n int,
) {
	for _, candidate := range candidates {
		if n <= 0 {
			return
		}
		if !candidate.HeldBack && candidate.ReservedForJob == "" && scheduling.MachineAllowed(spec, candidate.Record) {
			k := min(n, taskResources.CountIn(candidate.Free))
			candidate.Free = candidate.Free.AddScaled(taskResources, -float64(k))
			n -= k
		}
	}
}

// handOverTasks gives our waiting tasks of a job to a partition that can make room.
func (sc *scheduler) handOverTasks(job *mirror.Job, to string) bool {
	for _, taskRange := range job.Record.TaskRanges {
		if taskRange.Partition != sc.c.node {
			continue
		}
		if !sc.reassignTaskRanges(
			job,
			storage.AssignRange(job.Record.TaskRanges, taskRange.First, taskRange.End, to),
		) {
			return false
		}
		sc.nextWorkStealAt = sc.c.store.NextWriteAllowedAt(0.1)
		return true
	}
	return false
}
