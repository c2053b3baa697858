package api

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

// MaxWaitingReaders bounds the requests that wait for the mirror to catch up.
const MaxWaitingReaders = 2048

// lookupOutcome is where a job was found.
type lookupOutcome int

const (
	jobNotFound     lookupOutcome = iota // the job was never accepted
	foundInMirror                        // lookup.job
	foundResult                          // lookup.result
	foundOpenRecord                      // an open record that the mirror doesn't hold
	lookupFailed                         // lookup.rejection
)

// lookup is what is known of a job.
type lookup struct {
	id        string
	outcome   lookupOutcome
	job       *mirror.Job
	state     storage.JobState
	rejection *Rejection
}

// accepted reports that the job has been accepted.
func (l lookup) accepted() bool {
	return l.outcome == foundInMirror || l.outcome == foundResult || l.outcome == foundOpenRecord
}

// response is the answer to a status request.
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

// mirroredStatus is the status of a job that the mirror holds.
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

// cachedResult is the result of a job that this controller remembers.
func (h *Handler) cachedResult(id string) (storage.JobState, bool) { return h.mirror.Results.Get(id) }

// lookUp finds a job in a mirror as new as the request. A job that the mirror doesn't hold is over, or was
// never accepted: then the state service is read.
func (h *Handler) lookUp(id string, callback func(lookup)) {
	if h.replica.PendingReads() >= MaxWaitingReaders {
		callback(failedLookup(id, h.deferRequest(transport.StatusThrottled, reasonTooManyRequests)))
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
			callback(failedLookup(id, h.deferRequest(transport.StatusThrottled, reasonTooManyRequests)))
			return
		}
		h.readJob(id, callback)
	})
}

// readJob reads a job's result from the state service, then its open record, so that a record which this
// mirror can't read is still known, and then the result again: the job may have ended between the two.
func (h *Handler) readJob(id string, callback func(lookup)) {
	h.readResult(id, callback, func() {
		h.readOpenRecord(id, callback, func() {
			h.readResult(id, callback, func() { callback(lookup{id: id, outcome: jobNotFound}) })
		})
	})
}

// readResult reads a job's result, or goes on with missing if the state service has none.
func (h *Handler) readResult(id string, callback func(lookup), missing func()) {
	h.readRecord(storage.KindJobResult, id, callback, missing, func(value protocol.Raw) {
		var result storage.JobResult
		if protocol.Unmarshal(value, &result) != nil {
			rejection := h.deferRequest(transport.StatusUnavailable, "final state can't be read")
			callback(failedLookup(id, rejection))
			return
		}
		h.mirror.Results.Add(id, result.State)
		callback(lookup{id: id, outcome: foundResult, state: result.State})
	})
}

// readOpenRecord reads a job's open record, or goes on with missing if the state service has none.
func (h *Handler) readOpenRecord(id string, callback func(lookup), missing func()) {
	h.readRecord(storage.KindOpenJob, id, callback, missing, func(protocol.Raw) {
		callback(lookup{id: id, outcome: foundOpenRecord})
	})
}

// readRecord reads a job's record of a kind and goes on with found or missing; if the state service gives no
// answer the lookup has failed.
func (h *Handler) readRecord(
	kind storage.Kind,
	id string,
	callback func(lookup),
	missing func(),
	found func(protocol.Raw),
) {
	call := &protocol.StoreCall{Op: protocol.StoreGet, Key: storage.Key(kind, id)}
	h.store.Call(ratelimit.PriorityUserRequest, call, func(result protocol.StoreResult) {
		switch result.Outcome {
		case protocol.OK:
			found(result.Item.Value)
		case protocol.NotFound:
			missing()
		default:
			callback(failedLookup(id, h.deferUnreachable()))
		}
	})
}

// failedLookup is a lookup that gave no answer about the job.
func failedLookup(id string, rejection *Rejection) lookup {
	return lookup{id: id, outcome: lookupFailed, rejection: rejection}
}
