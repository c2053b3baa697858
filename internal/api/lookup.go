package api

import (
	"pipitgap/internal/cancellation"
	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

// MaxWaitingReaders is the maximum number of requests that wait for the mirror to catch up.
const MaxWaitingReaders = 2048

// lookupOutcome tells where a lookup found a job, or why it did not find one.
type lookupOutcome int

const (
	jobNotFound     lookupOutcome = iota // no such job was ever accepted
	foundInMirror                        // found in the mirror; lookup.job is set
	foundResult                          // found its result; lookup.state is set
	foundOpenRecord                      // found an open record that isn't in the mirror
	lookupFailed                         // the lookup could not be completed; lookup.rejection is set
)

// requestKind is the kind of a user's request, as logged.
type requestKind string

const (
	requestSubmission   requestKind = "submission"
	requestStatus       requestKind = "status"
	requestCancellation requestKind = "cancellation"
)

// lookup is the result of looking up a job.
type lookup struct {
	id        string
	outcome   lookupOutcome
	job       *mirror.Job
	state     storage.JobState
	rejection *Rejection
}

// accepted reports whether the lookup found that the job was accepted.
func (l lookup) accepted() bool {
	return l.outcome == foundInMirror || l.outcome == foundResult || l.outcome == foundOpenRecord
}

// cancelled reports whether the lookup found that the job is cancelled.
func (l lookup) cancelled() bool {
	return l.outcome == foundResult && l.state == storage.JobCancelled ||
		l.outcome == foundInMirror && l.job.FinalState == storage.JobCancelled
}

// answer returns the response to a request from a lookup.
func (h *Handler) answer(l lookup, request requestKind) transport.Response {
	if l.cancelled() {
		if rejection := h.confirmCancellation(l.id, request); rejection != nil {
			return rejection.response()
		}
	}
	return l.response()
}

// response returns the response to a status request.
func (l lookup) response() transport.Response {
	switch l.outcome {
	case foundInMirror:
		return statusResponse(mirroredStatus(l.job))
	case foundResult:
		return statusResponse(protocol.JobStatusReply{ID: l.id, Status: wireStatus(l.state)})
	case foundOpenRecord:
		return statusResponse(protocol.JobStatusReply{ID: l.id, Status: protocol.JobPending})
	case lookupFailed:
		return l.rejection.response()
	default:
		return errNoSuchJob.response()
	}
}

// mirroredStatus returns the status of a job from its entry in the mirror.
func mirroredStatus(job *mirror.Job) protocol.JobStatusReply {
	if !job.IsOpen() {
		return protocol.JobStatusReply{ID: job.ID, Status: wireStatus(job.FinalState)}
	}
	reply := protocol.JobStatusReply{
		ID:      job.ID,
		Status:  protocol.JobPending,
		Done:    job.DoneTasks,
		Running: job.AssignedTasks,
	}
	if job.AssignedTasks > 0 {
		reply.Status = protocol.JobRunning
	}
	return reply
}

// cachedResult returns a job's result from the result cache.
func (h *Handler) cachedResult(id string) (storage.JobState, bool) {
	result, ok := h.mirror.Results.Get(id)
	return result.State, ok
}

// lookUp waits until the mirror is as new as the request, and then looks up the job there and in the result
// cache. A job that is in neither has ended or was never accepted; lookUp then reads the state service.
func (h *Handler) lookUp(id string, callback func(lookup)) {
	if h.replica.PendingReads() >= MaxWaitingReaders {
		callback(failedLookup(id, h.deferRequest(transport.StatusTooManyRequests, reasonTooManyRequests)))
		return
	}
	h.replica.WhenCurrent(func(ok bool) {
		if !ok {
			callback(failedLookup(id, h.deferUnreachable()))
			return
		}
		if job := h.mirror.Jobs[id]; job != nil {
			callback(lookup{id: id, outcome: foundInMirror, job: job})
			return
		}
		if state, ok := h.cachedResult(id); ok {
			callback(lookup{id: id, outcome: foundResult, state: state})
			return
		}
		if h.userQueueFull() {
			callback(failedLookup(id, h.deferRequest(transport.StatusTooManyRequests, reasonTooManyRequests)))
			return
		}
		h.readJob(id, callback)
	})
}

// readJob reads a job's result from the state service and then its open record. Reading the open record also
// finds a job whose record this mirror can't decode. Last, it reads the result again, because the job may
// have ended between the first two reads.
func (h *Handler) readJob(id string, callback func(lookup)) {
	h.readResult(id, callback, func() {
		h.readOpenRecord(id, callback, func() {
			h.readResult(id, callback, func() { callback(lookup{id: id, outcome: jobNotFound}) })
		})
	})
}

// readResult reads a job's result from the state service, or calls missing if there is none.
func (h *Handler) readResult(id string, callback func(lookup), missing func()) {
	h.readRecord(storage.KindJobResult, id, callback, missing, func(item protocol.KeyValue) {
		var result storage.JobResult
		if protocol.Unmarshal(item.Value, &result) != nil {
			rejection := h.deferRequest(transport.StatusUnavailable, "final state can't be read")
			callback(failedLookup(id, rejection))
			return
		}
		if result.State == storage.JobCancelled {
			h.cancellations.Learn(cancellation.Committed{Job: id, Revision: item.Version}, cancellation.SourceRead)
		}
		h.mirror.Results.Add(id, mirror.Result{State: result.State, Revision: item.Version})
		callback(lookup{id: id, outcome: foundResult, state: result.State})
	})
}

// readOpenRecord reads a job's open record from the state service, or calls missing if there is none.
func (h *Handler) readOpenRecord(id string, callback func(lookup), missing func()) {
	h.readRecord(storage.KindOpenJob, id, callback, missing, func(protocol.KeyValue) {
		callback(lookup{id: id, outcome: foundOpenRecord})
	})
}

// readRecord reads a job's record of a kind from the state service and calls found or missing. If the state
// service doesn't answer, it calls callback with a failed lookup.
func (h *Handler) readRecord(
	kind storage.Kind,
	id string,
	callback func(lookup),
	missing func(),
	found func(protocol.KeyValue),
) {
	call := &protocol.StoreCall{Op: protocol.StoreGet, Key: storage.Key(kind, id)}
	h.store.Call(ratelimit.PriorityUserRequest, call, func(result protocol.StoreResult) {
		switch result.Outcome {
		case protocol.OK:
			found(result.Item)
		case protocol.NotFound:
			missing()
		default:
			callback(failedLookup(id, h.deferUnreachable()))
		}
	})
}

// failedLookup returns a lookup that could not determine whether the job exists.
func failedLookup(id string, rejection *Rejection) lookup {
	return lookup{id: id, outcome: lookupFailed, rejection: rejection}
}
