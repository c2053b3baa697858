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
	// maxTaskRangesPerJob is the maximum number of task ranges in a job record.
	maxTaskRangesPerJob = 40
	// minBacklogCPUs is the lower bound on the CPUs per task with which partitionRooms converts a backlog of
	// CPUs into a number of tasks.
	minBacklogCPUs = 0.01
	// orphanedRangeDelay is how long a controller must be absent before another one adopts its task ranges.
	orphanedRangeDelay = 1 * monotime.Second
	// Fractions of the state service's writes that all controllers together may use to reassign task ranges.
	// orphanedRangeWrites is for adopting orphaned ranges, workStealingWrites for work stealing and
	// handovers.
	orphanedRangeWrites = 0.4
	workStealingWrites  = 0.1
)

// AssignTaskRanges divides a new job's tasks among the partitions. A job that fits into the partition with
// the most room stays whole, and so do single tasks, services and jobs with a zone rule. Otherwise each
// partition gets as many tasks as it has room for, and the rest is divided evenly. What the parts of a
// divided job share is in the job's own record.
func (sc *Scheduler) AssignTaskRanges(spec *storage.JobSpec) []storage.TaskRange {
	controllers := sc.deps.Reachability.ConnectedControllers()
	if spec.Tasks == 1 || spec.Service || spec.HasZoneRule() || len(controllers) == 0 {
		return sc.wholeJobRange(spec)
	}
	rooms := sc.partitionRooms(spec, controllers)
	scheduling.SortByRoom(rooms)
	if spec.Tasks <= rooms[0].Tasks {
		return sc.wholeJobRange(spec)
	}
	return scheduling.DivideTasks(spec.Tasks, rooms)
}

// wholeJobRange returns a single range that assigns all tasks of a new job to one partition.
func (sc *Scheduler) wholeJobRange(spec *storage.JobSpec) []storage.TaskRange {
	return []storage.TaskRange{{First: 0, End: spec.Tasks, Partition: sc.partitionForNewJob(spec)}}
}

// partitionRooms counts for each partition how many of a job's tasks it has room for in addition to the tasks
// that already wait there.
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

// backlogCPUs returns by partition the CPUs that its waiting tasks need. Jobs in a crash loop do not count.
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

// ReassignTaskRanges changes which partitions place a job's tasks, and reports whether it submitted the
// write. The write is a compare-and-swap on the version of the job record. Assignments that the old owner of
// a range committed earlier are in the shards; later ones fail because they compare the same version. So the
// new owner may assign tasks as soon as its mirror contains the write.
func (sc *Scheduler) ReassignTaskRanges(job *mirror.Job, ranges []storage.TaskRange) bool {
	// A reassignment changes the job's record, and an assignment compares its version. If one pass submitted
	// both, one of the two would fail, and two partitions could hand a job back and forth without ever
	// starting it.
	if sc.deps.RecordWrites.Contains(job.ID) || sc.jobsAssignedInPass[job.ID] ||
		len(ranges) > maxTaskRangesPerJob {
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

// handOverTasks hands this partition's waiting tasks of a job over to a partition that can make room, one
// task range per call. It reports whether it submitted the write.
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

// adoptOrphanedTasks adopts the waiting tasks of partitions whose controller is gone or does not reach its
// machines. Rendezvous hashing selects one adopting controller for each job, whether or not that controller
// has room: only the owner of the tasks preempts others for services, and only the owner requests machines
// that no other controller would request.
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

// reassignOrphanedRanges returns a job's ranges with the orphaned ones assigned to this partition.
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
