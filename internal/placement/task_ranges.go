package placement

import (
	"fmt"
	"math"
	"slices"

	"pipitgap/internal/membership"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/storage"
)

const (
	// maxTaskRangesPerJob is how many ranges of one job a stored record holds.
	maxTaskRangesPerJob = 40
	// minBacklogCPUs bounds the need of a task by which the backlog is converted into tasks.
	minBacklogCPUs = 0.01
	// orphanedRangeDelay is how long a controller must be gone until others place the tasks of its ranges.
	orphanedRangeDelay = 1 * monotime.Second
	// Fractions of the state service's writes that all controllers together may spend on reassignments.
	orphanedRangeWrites = 0.4
	workStealingWrites  = 0.1
)

// AssignTaskRanges divides a new job among the partitions: whole to the one with most room, or what each has
// room for, and the rest evenly. What binds the tasks of a divided job together stands in its own record.
func (sc *Scheduler) AssignTaskRanges(spec *storage.JobSpec) []storage.TaskRange {
	controllers := sc.deps.Reachability.ConnectedControllers()
	if spec.Tasks == 1 || spec.Service || spec.OneZone || spec.Spread || len(controllers) == 0 {
		return sc.wholeJobRange(spec)
	}
	rooms := sc.partitionRooms(spec, controllers)
	scheduling.SortByRoom(rooms)
	if spec.Tasks <= rooms[0].Tasks {
		return sc.wholeJobRange(spec)
	}
	return scheduling.DivideTasks(spec.Tasks, rooms)
}

// wholeJobRange assigns all tasks of a new job to one partition.
func (sc *Scheduler) wholeJobRange(spec *storage.JobSpec) []storage.TaskRange {
	return []storage.TaskRange{{First: 0, End: spec.Tasks, Partition: sc.partitionForNewJob(spec)}}
}

// partitionRooms counts how many of a job's tasks each partition has room for beside what waits there.
func (sc *Scheduler) partitionRooms(spec *storage.JobSpec, partitions []string) []scheduling.PartitionRoom {
	capacities := sc.CapacityByPartition()
	backlog := sc.backlogCPUs()
	rooms := make([]scheduling.PartitionRoom, 0, len(partitions))
	for _, partition := range partitions {
		waiting := int(math.Ceil(backlog[partition] / max(spec.CPUs, minBacklogCPUs)))
		rooms = append(rooms, scheduling.PartitionRoom{
			Partition: partition,
			Tasks:     capacities.tasksFitting(spec, partition) - waiting,
		})
	}
	return rooms
}

// backlogCPUs is the CPUs that each partition's waiting tasks will take.
func (sc *Scheduler) backlogCPUs() map[string]float64 {
	backlog := map[string]float64{}
	for _, job := range sc.deps.Mirror.Jobs {
		if !job.IsOpen() || job.UnassignedTasks() == 0 || sc.IsCrashLooping(job) {
			continue
		}
		for _, taskRange := range job.Record.TaskRanges {
			if len(job.Record.TaskRanges) == 1 {
				backlog[taskRange.Partition] += float64(job.UnassignedTasks()) * job.TaskResources.CPUs
				break
			}
			for i := taskRange.First; i < taskRange.End; i++ {
				if job.TaskStates[i] == 0 {
					backlog[taskRange.Partition] += job.TaskResources.CPUs
				}
			}
		}
	}
	return backlog
}

// ReassignTaskRanges changes which partitions place a job's tasks, and reports whether the write is under
// way. Whatever a range's owner assigned before stands in the shards by then, whatever it would assign after
// fails on the record's version; so the new owner may begin once its mirror has come that far.
func (sc *Scheduler) ReassignTaskRanges(job *mirror.Job, ranges []storage.TaskRange) bool {
	// Both this and an assignment change or compare the job's record: with one of the
	// same turn on its way, one of the two would fail, and two partitions could go on
	// handing a job to and fro without ever starting it.
	if sc.deps.RecordWrites.Contains(job.ID) || sc.jobsAssignedInPass[job.ID] || len(ranges) > maxTaskRangesPerJob {
		return false
	}
	record := job.Record
	record.TaskRanges = ranges
	value := protocol.MustMarshal(&record)
	if storage.StoredSize(value) > sc.config.MaxValueBytes {
		return false
	}
	sc.deps.RecordWrites.Begin(job.ID)
	key := storage.OpenJobKey(job.ID)
	sc.deps.Replica.Commit(ratelimit.PriorityShardUpdate, protocol.Transaction{
		If:   []protocol.Compare{{Key: key, Version: job.Version}},
		Then: []protocol.Op{{Put: key, Value: value}},
	}, func(result protocol.StoreResult) {
		sc.deps.RecordWrites.End(job.ID)
		sc.RequestPass()
		if result.Outcome == protocol.OK {
			sc.deps.Log.Debug("task ranges reassigned", "job", job.ID, "ranges", fmt.Sprint(ranges))
		}
	})
	return true
}

// handOverTasks transfers the waiting tasks that this partition has of a job to one that can make room, and
// tells whether the write is under way.
func (sc *Scheduler) handOverTasks(job *mirror.Job, to string) bool {
	for _, taskRange := range job.Record.TaskRanges {
		if taskRange.Partition != sc.config.Node {
			continue
		}
		if !sc.ReassignTaskRanges(
			job,
			storage.AssignRange(job.Record.TaskRanges, taskRange.First, taskRange.End, to),
		) {
			return false
		}
		sc.nextWorkStealAt = sc.deps.Store.NextWriteAllowedAt(workStealingWrites)
		return true
	}
	return false
}

// adoptOrphanedTasks takes over the waiting tasks of partitions whose controller has gone, or doesn't reach
// its machines. Each job has one successor for that, whether it has room for them or not: only their owner
// makes room for services by preemption, or requests machines that nobody else would.
func (sc *Scheduler) adoptOrphanedTasks(jobs []*mirror.Job, now monotime.Micros) {
	controllers := sc.deps.Reachability.ConnectedControllers()
	for _, job := range jobs {
		if now < sc.nextOrphanAdoptionAt {
			return
		}
		if sc.deps.RecordWrites.Contains(job.ID) || sc.deps.Mirror.WatchedRevision < job.Version ||
			membership.RendezvousOwner(job.ID, controllers) != sc.config.Node {
			continue
		}
		ranges := sc.reassignOrphanedRanges(job.Record.TaskRanges, now)
		if !slices.Equal(ranges, job.Record.TaskRanges) && sc.ReassignTaskRanges(job, ranges) {
			sc.nextOrphanAdoptionAt = sc.deps.Store.NextWriteAllowedAt(orphanedRangeWrites)
		}
	}
}

// reassignOrphanedRanges assigns the orphaned ones among a job's ranges to this partition.
func (sc *Scheduler) reassignOrphanedRanges(
	ranges []storage.TaskRange,
	now monotime.Micros,
) []storage.TaskRange {
	adopted := ranges
	for _, taskRange := range ranges {
		partition := taskRange.Partition
		departed := !sc.deps.Membership.IsMember(partition) &&
			now-sc.deps.Membership.AbsentSince(partition, now) > orphanedRangeDelay
		if departed || sc.deps.Reachability.IsCutOffFromWorkers(partition, now) {
			adopted = storage.AssignRange(adopted, taskRange.First, taskRange.End, sc.config.Node)
		}
	}
	return adopted
}
