package placement

import (
	"math"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/scheduling"
	"pipitgap/internal/shards"
	"pipitgap/internal/storage"
)

// candidateSampleSize is the number of candidates that a search samples.
const candidateSampleSize = 24

// imageWaitLimit is how long after its acceptance a service waits for a machine that has its image.
const imageWaitLimit = 2 * monotime.Second

const (
	// newJobBytes is the maximum size in bytes that a job's first task adds to its shard, without the job's
	// id.
	newJobBytes = 32
	// The state service allows comparesPerTxnOp compares for each operation of a transaction. A shard's write
	// takes no other job once fewer than reservedCompares and one more are left: the job adds up to three (its
	// record, its result and the quota shares), and the commit itself adds the shard's version.
	comparesPerTxnOp = 4
	reservedCompares = 3
)

// machineSearch describes where to search for a task's machine.
type machineSearch struct {
	candidates []*candidateMachine
	preferred  []*candidateMachine // candidates of the shard that got the job's last task; tried first
	sampled    bool                // try a sample first, and all candidates if the sample has no room
}

// machineChoice is the best candidate that a search has found so far.
type machineChoice struct {
	request  *scheduling.MachineRequest
	best     *candidateMachine
	score    float64
	examined int
}

// consider makes a candidate the best one if the request accepts it and it has a lower score.
func (choice *machineChoice) consider(candidate *candidateMachine) {
	choice.examined++
	if !choice.request.Accepts(&candidate.Candidate) {
		return
	}
	if score := choice.request.Score(&candidate.Candidate); score < choice.score {
		choice.best, choice.score = candidate, score
	}
}

// imageWaitExceeded reports whether a job has waited too long to keep waiting for a machine with its image.
func imageWaitExceeded(job *mirror.Job, wallNow int64) bool {
	return wallNow-job.Record.AcceptedAt > int64(imageWaitLimit)
}

// machineRequest returns the requirements that a machine for a job's task must meet.
func (sc *Scheduler) machineRequest(
	job *mirror.Job,
	zones *scheduling.ZoneConstraint,
) *scheduling.MachineRequest {
	spec := &job.Record.Spec
	return &scheduling.MachineRequest{
		JobID:            job.ID,
		Spec:             spec,
		Need:             job.TaskResources,
		Zones:            zones,
		Failures:         sc.failuresOf(job.ID),
		MaxShardBytes:    sc.shardBytesFor(spec) - len(job.ID) - newJobBytes,
		MaxShardCompares: comparesPerTxnOp*sc.config.MaxTxnOps - reservedCompares,
		RecordBytes:      rewrittenBytes(job),
		MaxShardWrites:   sc.config.MaxTxnOps,
		MaxOtherBytes:    shards.MaxOtherBytes(sc.config.MaxValueBytes),
		FleetServiceCPUs: sc.serviceCPUsAssigned,
	}
}

// rewrittenBytes returns the size of the job's record if the commit of an assignment writes it again, and otherwise
// 0; see shards.Update.BeginJob.
func rewrittenBytes(job *mirror.Job) int {
	if !job.Record.Spec.HasZoneRule() {
		return 0
	}
	return storage.StoredSize(protocol.MustMarshal(&job.Record))
}

// chooseMachine returns the best machine for a task, or nil if no machine has room. It prefers spot machines
// if the job may use them, machines that have the image, and the tightest fit. Under overload it examines a
// random sample, and all candidates before it returns nil.
func (sc *Scheduler) chooseMachine(
	request *scheduling.MachineRequest,
	search machineSearch,
) *candidateMachine {
	choice := machineChoice{request: request, score: math.Inf(1)}
	defer func() { sc.counters.MachinesExamined += choice.examined }()
	if !request.Spec.Service {
		// Keep a job's tasks in few shards. Each shard with tasks of the job stores the job's id, its write
		// compares two more records, and task numbers that form no ranges take more bytes.
		for _, candidate := range search.preferred {
			choice.consider(candidate)
		}
		if choice.best != nil && choice.score < scheduling.LessPreferredPenalty {
			return choice.best
		}
	}
	if search.sampled && len(search.candidates) > candidateSampleSize {
		for range candidateSampleSize {
			choice.consider(search.candidates[sc.deps.Environment.Rand().IntN(len(search.candidates))])
		}
		if choice.best != nil {
			return choice.best
		}
	}
	for _, candidate := range search.candidates {
		choice.consider(candidate)
	}
	return choice.best
}
