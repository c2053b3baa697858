package coordination

import (
	"fmt"
	"math"
	"sort"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// Bounds of how tasks move between parts.
const (
	minTasksPerRange        = 24                  // tasks
	maxTaskRangesPerJob     = 40                  // of one job; what a value holds
	ownerGracePeriod        = 3 * monotime.Second // an owner that seems to have room gets so long to use it
	reassignmentGracePeriod = 1 * monotime.Second // and one that has just taken tasks over: they went round without a start
)

// assignTaskRanges divides a new job among the partitions: whole to the one with most room, or
// what the parts have room for, and the rest evenly. A job too large for any part
// is so spread over all of them, and what binds stays in its own record.
func (c *Controller) assignTaskRanges(spec *storage.JobSpec) []storage.TaskRange {
	n := spec.Tasks
	controllers := c.connectedControllers()
	if n == 1 || spec.OneZone || spec.Spread || len(controllers) == 0 {
		return []storage.TaskRange{{First: 0, End: n, Partition: c.partitionForNewJob(spec)}}
	}
	capacities := c.capacityByPartition()
	backlog := c.backlogCPUs()
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
		return []storage.TaskRange{{First: 0, End: n, Partition: c.partitionForNewJob(spec)}}
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
func (c *Controller) backlogCPUs() map[string]float64 {
	out := map[string]float64{}
	for _, job := range c.mirror.Jobs {
		if !job.IsOpen() || job.UnassignedTasks() == 0 || c.isCrashLooping(job) {
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
func (c *Controller) reassignTaskRanges(job *Job, ranges []storage.TaskRange) bool {
	// Both this and an assignment change or ask for the job's record: with one of the
	// same turn on its way, one of the two would fail, and two partitions could go on
	// handing a job to and fro without ever starting it.
	if c.recordWritesInFlight[job.ID] || c.jobsInPass[job.ID] || len(ranges) > maxTaskRangesPerJob {
		return false
	}
	record := job.Record
	record.TaskRanges = ranges
	value := protocol.MustMarshal(&record)
	if 2*len(value) > c.maxValueBytes() {
		return false
	}
	c.recordWritesInFlight[job.ID] = true
	key := storage.Key(storage.KindOpenJob, job.ID)
	c.commitTxn(ratelimit.PriorityShardUpdate, protocol.Transaction{
		If:   []protocol.Compare{{Key: key, Version: job.Version}},
		Then: []protocol.Op{{Put: key, Value: value}},
	}, func(result protocol.StoreResult) {
		delete(c.recordWritesInFlight, job.ID)
		c.schedulingNeeded = true
		if result.Outcome == protocol.OK {
			c.log.Debug("task ranges reassigned", "job", job.ID, "ranges", fmt.Sprint(ranges))
		}
	})
	return true
}

// nextAllowedAt tells when something that costs a change may be done again, if all
// controllers together may spend that partition of the store's changes on it: what is
// spent here the shards lack.
func (c *Controller) nextAllowedAt(fraction float64) monotime.Micros {
	return c.now() + monotime.FromSeconds(float64(c.budgetSharers)/(fraction*c.cfg.Facts.State.WriteRPS))
}

// adoptOrphanedTasks takes over the waiting tasks of parts that have gone, or don't reach
// their machines. Each job has
// one successor for that, whether it has room for them or not: only their owner makes
// room for services by stopping others' work, or rents for nobody else to place.
func (c *Controller) adoptOrphanedTasks(jobs []*Job, now monotime.Micros) {
	controllers := c.connectedControllers()
	for _, job := range jobs {
		if now < c.nextOrphanedTasksTakeoverAt {
			return
		}
		if c.recordWritesInFlight[job.ID] || c.mirror.WatchedRevision < job.Version || rendezvousOwner(job.ID, controllers) != c.node {
			continue
		}
		ranges := job.Record.TaskRanges
		for _, taskRange := range job.Record.TaskRanges {
			if !c.isMember(taskRange.Partition) && now-c.absentSince(taskRange.Partition, now) > monotime.Second || c.isCutOffFromWorkers(taskRange.Partition, now) {
				ranges = storage.AssignRange(ranges, taskRange.First, taskRange.End, c.node)
			}
		}
		if len(ranges) != len(job.Record.TaskRanges) || !sameTaskRanges(ranges, job.Record.TaskRanges) {
			if c.reassignTaskRanges(job, ranges) {
				c.nextOrphanedTasksTakeoverAt = c.nextAllowedAt(0.4)
			}
		}
	}
}

// absentSince tells since when a controller is missed.
func (c *Controller) absentSince(node string, now monotime.Micros) monotime.Micros {
	at, ok := c.missingSince[node]
	if !ok {
		c.missingSince[node], at = now, now
	}
	return at
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
func (c *Controller) stealWork(jobs []*Job, candidates []*candidateMachine, reserved *drainReservations, quotaLeftByTeam map[string]Resources, now monotime.Micros) {
	freeCPUs := reserved.totalCPUs()
	for _, candidate := range candidates {
		if !candidate.heldBack && candidate.reservedForJob == "" {
			freeCPUs += max(0, candidate.freeResources.CPUs)
		}
	}
	if freeCPUs < resourceTolerance || now < c.nextWorkStealAt {
		return
	}
	capacities := c.capacityByPartition()
	wall := c.env.WallClock()
	for _, job := range jobs {
		if now < c.nextWorkStealAt {
			return
		}
		if job.TaskResources.CPUs <= freeCPUs+resourceTolerance {
			reserved.release(job)
			c.stealTasksOfJob(job, candidates, quotaLeftByTeam, capacities, wall)
			reserved.reserveAgain(job)
		}
	}
}

// tasksThatFit counts the tasks of a job that the room not kept for others can take.
func tasksThatFit(job *Job, candidates []*candidateMachine) int {
	room := 0
	for _, candidate := range candidates {
		if !candidate.heldBack && candidate.availableTo(job) && machineAllowed(&job.Record.Spec, candidate.record) {
			room += job.TaskResources.CountIn(candidate.freeResources)
		}
	}
	return room
}

// stealTasksOfJob takes over as many of a job's tasks that wait at other partitions as we have room
// for, and tells how many.
func (c *Controller) stealTasksOfJob(job *Job, candidates []*candidateMachine, quotaLeftByTeam map[string]Resources, capacities *partitionCapacity, wall int64) int {
	spec := &job.Record.Spec
	if len(job.Record.TaskRanges) == 1 && job.Record.TaskRanges[0].Partition == c.node ||
		c.recordWritesInFlight[job.ID] || c.now() < c.trackingOf(job.ID).placeNotBefore || c.mirror.WatchedRevision < job.Version || c.isCrashLooping(job) {
		return 0
	}
	room := tasksThatFit(job, candidates)
	if room == 0 {
		return 0
	}
	quota, ok := quotaLeftByTeam[spec.Team]
	if !ok {
		quota = c.quotaLeft(spec.Team)
		quotaLeftByTeam[spec.Team] = quota
	}
	if n := job.TaskResources.CountIn(quota); n < room {
		// A part with machines but without a share of the team's limit would leave
		// the tasks for ever to one with a share but without machines.
		c.noteQuotaShortage(spec.Team, job.TaskResources, min(room-n, job.UnassignedTasks()), quota, true)
		room = n
	}
	if room == 0 {
		return 0
	}
	whole := spec.OneZone || spec.Spread
	for k := len(job.Record.TaskRanges) - 1; k >= 0; k-- {
		taskRange := job.Record.TaskRanges[k]
		if taskRange.Partition == c.node || c.isMember(taskRange.Partition) && capacities.tasksFitting(spec, taskRange.Partition) > 0 &&
			(wall-job.Record.AcceptedAt < int64(ownerGracePeriod) || c.now()-c.trackingOf(job.ID).recordChangedAt < reassignmentGracePeriod) {
			continue
		}
		n, first := 0, taskRange.End
		for first > taskRange.First && (n < room || whole) {
			first--
			if job.TaskStates[first] == 0 {
				n++
			}
		}
		if n == 0 || whole && n > room && c.isMember(taskRange.Partition) {
			continue
		}
		if !c.reassignTaskRanges(job, storage.AssignRange(job.Record.TaskRanges, first, taskRange.End, c.node)) {
			return 0
		}
		c.nextWorkStealAt = c.nextAllowedAt(0.1)
		return n
	}
	return 0
}

// reserveRoom keeps room for tasks that are about to be ours from what is less urgent.
func reserveRoom(taskResources Resources, spec *storage.JobSpec, candidates []*candidateMachine, n int) {
	for _, candidate := range candidates {
		if n <= 0 {
			return
		}
		if !candidate.heldBack && candidate.reservedForJob == "" && machineAllowed(spec, candidate.record) {
			k := min(n, taskResources.CountIn(candidate.freeResources))
			candidate.freeResources = candidate.freeResources.AddScaled(taskResources, -float64(k))
			n -= k
		}
	}
}

// handOverTasks gives our waiting tasks of a job to a partition that can make room.
func (c *Controller) handOverTasks(job *Job, to string) bool {
	for _, taskRange := range job.Record.TaskRanges {
		if taskRange.Partition != c.node {
			continue
		}
		if !c.reassignTaskRanges(job, storage.AssignRange(job.Record.TaskRanges, taskRange.First, taskRange.End, to)) {
			return false
		}
		c.nextWorkStealAt = c.nextAllowedAt(0.1)
		return true
	}
	return false
}
