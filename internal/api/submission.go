package api

import (
	"slices"

	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/quota"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

// Submit handles a job submission: it decodes, validates, admits and commits the submission, and then
// responds. If the job is already known, the response is the job's status, regardless of the content of the
// repeated submission.
func (h *Handler) Submit(body []byte, respond Respond) {
	submission, malformed := protocol.ParseSubmission(body)
	if submission.ID == "" {
		respond(protocol.ErrorResponse(transport.StatusBadRequest, malformed.Error()))
		return
	}
	id := submission.ID
	if state, ok := h.cachedResult(id); ok {
		respond(h.answer(lookup{id: id, outcome: foundResult, state: state}, requestSubmission))
		return
	}
	if malformed != nil {
		h.answerMalformed(id, malformed, respond)
		return
	}
	if rejection := h.rejectIfOverloaded(); rejection != nil {
		respond(rejection.response())
		return
	}
	if h.mirror.Jobs[id] != nil {
		h.Status(id, respond)
		return
	}
	if h.catalog.MachineTypes() == nil {
		respond(h.deferRequest(transport.StatusUnavailable, "machine types not known yet").response())
		return
	}
	spec := storage.JobSpecOf(submission)
	if rejection := h.validate(&spec); rejection != nil {
		h.statusOrFallback(id, rejection.response(), respond)
		return
	}
	if rejection := h.admit(&spec); rejection != nil {
		respond(rejection.response())
		return
	}
	h.commit(id, spec, respond)
}

// answerMalformed responds to a malformed submission. If the job can be looked up and is known, the response
// is the job's status. A controller that can't look up the job rejects the submission as malformed, unless
// its mirror isn't ready or contains the job; in these cases the user must retry later.
func (h *Handler) answerMalformed(id string, malformed error, respond Respond) {
	invalid := protocol.ErrorResponse(transport.StatusBadRequest, malformed.Error())
	if h.rejectIfOverloaded() == nil {
		h.statusOrFallback(id, invalid, respond)
		return
	}
	if !h.replica.Ready() || h.mirror.Jobs[id] != nil {
		respond(h.deferUnreachable().response())
		return
	}
	respond(invalid)
}

// statusOrFallback responds with the job's status if the job is known, and with fallback otherwise.
func (h *Handler) statusOrFallback(id string, fallback transport.Response, respond Respond) {
	h.lookUp(id, func(l lookup) {
		if l.outcome == jobNotFound {
			respond(fallback)
			return
		}
		respond(h.answer(l, requestSubmission))
	})
}

// validate returns a rejection if the job can never run.
func (h *Handler) validate(spec *storage.JobSpec) *Rejection {
	unsatisfiable := func(reason string) *Rejection {
		return &Rejection{Status: transport.StatusUnprocessable, Reason: reason}
	}
	limits, ok := h.quota.Limits(spec.Team)
	if !ok {
		return unsatisfiable("unknown team")
	}
	if !withinLimits(limits, spec) {
		return unsatisfiable("needs more than the team's limit")
	}
	if !fitsSomeMachineType(spec, h.catalog.MachineTypes()) {
		return unsatisfiable("a task fits no allowed machine type")
	}
	return nil
}

// withinLimits reports whether the resources that a job needs at the same time are within its team's limits:
// those of all replicas of a service, or those of one task of an array.
func withinLimits(limits quota.Limits, spec *storage.JobSpec) bool {
	concurrentTasks := 1.0
	if spec.Service {
		concurrentTasks = float64(spec.Tasks)
	}
	return limits.Permits(spec.CPUs*concurrentTasks, spec.GPUs*concurrentTasks)
}

// fitsSomeMachineType reports whether a task fits on an empty machine of a type and zone that the job allows.
func fitsSomeMachineType(spec *storage.JobSpec, types map[string]protocol.MachineType) bool {
	taskResources := mirror.TaskResources(spec)
	for _, name := range sortedmap.Keys(types) {
		machineType := types[name]
		if !spec.AllowsMachine(machineType.Name, spec.Zone) {
			continue
		}
		if spec.Zone != "" && !slices.Contains(machineType.Zones, spec.Zone) {
			continue
		}
		if taskResources.FitsIn(mirror.MachineCapacity(&machineType)) {
			return true
		}
	}
	return false
}

// admit returns a rejection if there are too many open jobs or if the job belongs to a burst and too many
// burst calls wait. Unless there are too many open jobs, it counts the submission for the burst limit.
func (h *Handler) admit(spec *storage.JobSpec) *Rejection {
	if len(h.mirror.Jobs) >= mirror.MaxOpenJobs {
		return h.deferRequest(transport.StatusTooManyRequests, "too many unfinished jobs")
	}
	h.bursts.countSubmission(spec)
	if h.bursts.isLimited(spec) &&
		h.store.QueuedCalls(ratelimit.PriorityBurst) >= h.maxQueuedBurstCalls() {
		rejection := h.deferRequest(transport.StatusTooManyRequests, "too many jobs of this team")
		rejection.RetryAfter += minRetryAfter + h.jitterSeconds()
		return rejection
	}
	return nil
}

// commit writes the job's open record, on the condition that the job has neither an open record nor a
// result, and responds.
func (h *Handler) commit(id string, spec storage.JobSpec, respond Respond) {
	record := storage.OpenJob{
		Spec:       spec,
		AcceptedAt: h.environment.WallClock(),
		TaskRanges: h.scheduler.AssignTaskRanges(&spec),
	}
	value := protocol.MustMarshal(&record)
	if storage.StoredSize(value) > h.maxValueBytes {
		tooLarge := protocol.ErrorResponse(transport.StatusBadRequest, "names too long to be kept")
		h.statusOrFallback(id, tooLarge, respond)
		return
	}
	key := storage.OpenJobKey(id)
	transaction := protocol.Transaction{
		If: []protocol.Compare{
			{Key: key, Version: 0},
			{Key: storage.JobResultKey(id), Version: 0},
		},
		Then: []protocol.Op{{Put: key, Value: value}},
	}
	class := h.PriorityClass(&spec, ratelimit.PriorityUserRequest)
	h.replica.Commit(class, transaction, func(result protocol.StoreResult) {
		h.answerCommit(id, &record, result, respond)
	})
}

// answerCommit responds to a submission according to the result of its commit.
func (h *Handler) answerCommit(
	id string,
	record *storage.OpenJob,
	result protocol.StoreResult,
	respond Respond,
) {
	switch result.Outcome {
	case protocol.OK:
		h.counters.JobsAccepted++
		h.scheduler.JobAccepted(id, result.Revision)
		h.log.Debug("job accepted", "job", id, "class", record.Spec.Class, "tasks", record.Spec.Tasks,
			"estimate_s", record.Spec.EstimateS, "ranges", len(record.TaskRanges))
		respond(acceptedResponse(id))
		h.placeNow()
	case protocol.Conflict:
		h.lookUp(id, func(l lookup) { respond(h.answer(l, requestSubmission)) })
	case protocol.Rejected:
		h.log.Error("job acceptance rejected by state service", "job", id)
		respond(h.deferRequest(transport.StatusUnavailable, "not kept").response())
	default:
		// The outcome is unknown: the job may or may not have been accepted. The user retries, and a repeated
		// submission doesn't create a second job.
		respond(h.deferUnreachable().response())
	}
}
