package placement

import (
	"math"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/scheduling"
)

// candidateSampleSize is how many candidates a sample looks at.
const candidateSampleSize = 24

// imageWaitLimit is how long a service waits for a machine that has its image.
const imageWaitLimit = 2 * monotime.Second

const (
	// newJobBytes is what a job's first task adds to its shard at most, beside the job's id.
	newJobBytes = 32
	// comparesPerTxnOp and reservedCompares bound how many records a shard's write is conditional on: the
	// rest is for what the commit itself adds.
	comparesPerTxnOp = 4
	reservedCompares = 4
)

// machineSearch is where a machine for a task is looked for.
type machineSearch struct {
	candidates []*candidateMachine
	preferred  []*candidateMachine // those of the shard that the job's last task went to: tried first
	sampled    bool                // a sample first, and all before there is no room
}

// machineChoice is the best candidate found so far.
type machineChoice struct {
	request  *scheduling.MachineRequest
	best     *candidateMachine
	score    float64
	examined int
}

// consider takes a candidate that is better than the best so far.
func (choice *machineChoice) consider(candidate *candidateMachine) {
	choice.examined++
	if !choice.request.Accepts(&candidate.Candidate) {
		return
	}
	if score := choice.request.Score(&candidate.Candidate); score < choice.score {
		choice.best, choice.score = candidate, score
	}
}

// imageWaitExceeded reports whether a job has waited too long to go on looking for a machine with its image.
func imageWaitExceeded(job *mirror.Job, wall int64) bool {
	return wall-job.Record.AcceptedAt > int64(imageWaitLimit)
}

// machineRequest is what a machine for a task of a job must meet.
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
		FleetServiceCPUs: sc.serviceCPUsAssigned,
	}
}

// chooseMachine picks the machine for a task: spot before ordinary where the job may, one that has the image,
// the tightest fit. Under overload it looks at a sample, and at all before it says that there is no room.
func (sc *Scheduler) chooseMachine(
	request *scheduling.MachineRequest,
	search machineSearch,
) *candidateMachine {
	choice := machineChoice{request: request, score: math.Inf(1)}
	defer func() { sc.counters.MachinesExamined += choice.examined }()
	if !request.Spec.Service {
		// A job that stands in few shards takes little of each: every shard that names
		// it spends its id, two conditions, and numbers of tasks that are no ranges.
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
