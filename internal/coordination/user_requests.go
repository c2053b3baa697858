package coordination

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"strings"

	"pipitgap/internal/cancellation"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// Bounds of what waits for the store on behalf of users; past them the answer
// is an immediate 429.
const (
	maxWaitingReaders = 2048
	maxOpenJobs       = 5000
)

// maxQueuedUserCalls bounds what waits in the queue to well under the time that a user
// waits for an answer.
func (c *Controller) maxQueuedUserCalls() int { return max(4, int(c.storeQueue.Writes.Rate*0.75)) }

func errorResponse(status int, text string) Response {
	return Response{Status: status, Body: protocol.MustMarshal(&protocol.ErrorBody{Error: text})}
}

// retryLater is the immediate answer to what can't be taken now.
func (c *Controller) retryLater(status int, text string) Response {
	c.counters.requestsDeferred++
	if c.log.Enabled(context.Background(), slog.LevelDebug) {
		c.log.Debug("request deferred", "status", status, "reason", text,
			"user_calls", c.storeQueue.Len(ratelimit.PriorityUserRequest),
			"shard_calls", c.storeQueue.Len(ratelimit.PriorityShardUpdate),
			"waiting_readers", len(c.pendingReads))
	}
	response := errorResponse(status, text)
	response.RetryAfter = 1
	if c.storeUnavailable {
		// Spread over a few seconds: the return must not be a stampede.
		response.RetryAfter = 1 + int(c.env.Rand().Int64N(3))
	}
	return response
}

// HandleRequest answers a request of a user or a worker. The answer may come later,
// but never because it is held back: only as long as the store takes.
func (c *Controller) HandleRequest(method, target string, body []byte, respond func(Response)) {
	c.detectPause(c.now())
	path, query, _ := strings.Cut(target, "?")
	if query != "" && path != "/healthz" {
		respond(errorResponse(400, "no parameters are known here"))
		return
	}
	only := func(m string) bool {
		if method != m {
			respond(errorResponse(405, "use "+m))
		}
		return method == m
	}
	switch {
	case path == "/healthz":
		if only("GET") {
			respond(c.healthResponse())
		}
	case path == protocol.HeartbeatPath:
		if only("POST") {
			c.handleHeartbeat(body, respond)
		}
	case path == protocol.JobsPath:
		if only("POST") {
			c.handleSubmit(body, respond)
		}
	case strings.HasPrefix(path, protocol.JobsPath+"/"):
		id, cancel, _ := protocol.ParseJobPath(path)
		if cancel {
			if only("POST") {
				c.handleAbort(id, respond)
			}
			return
		}
		if strings.Contains(id, "/") {
			respond(errorResponse(404, "no such path"))
			return
		}
		if only("GET") {
			c.handleStatus(id, respond)
		}
	default:
		respond(errorResponse(404, "no such path"))
	}
}

// healthResponse: a node that can't take requests while others can says so. In an
// outage that all share it stays healthy, so that no time is lost afterwards.
func (c *Controller) healthResponse() Response {
	if !c.mirrorReady {
		return c.retryLater(503, "records not read yet")
	}
	now := c.now()
	_, alone := c.storeUnreachableOnlyHere(now)
	if alone || c.isIsolated(now) {
		return c.retryLater(503, "state service out of reach")
	}
	return Response{Status: 200}
}

func acceptedResponse(id string, status storage.JobState) Response {
	w := protocol.JobDone
	if status == storage.JobCancelled {
		w = protocol.JobCancelled
	}
	return Response{Status: 200, Body: protocol.MustMarshal(&protocol.AcceptedReply{ID: id, Status: w})}
}

// jobStatusResponse is the answer about a job that the mirror holds.
func (c *Controller) jobStatusResponse(job *Job) Response {
	if !job.IsOpen() {
		return c.finalStatusResponse(job.ID, job.FinalStatus)
	}
	jobStatus := protocol.JobStatusReply{ID: job.ID, Status: protocol.JobPending, Done: job.DoneTasks, Running: job.AssignedTasks}
	if job.AssignedTasks > 0 {
		jobStatus.Status = protocol.JobRunning
	}
	return Response{Status: 200, Body: protocol.MustMarshal(&jobStatus)}
}

func (c *Controller) finalStatusResponse(id string, status storage.JobState) Response {
	jobStatus := protocol.JobStatusReply{ID: id, Status: protocol.JobDone}
	if status == storage.JobCancelled {
		jobStatus.Status = protocol.JobCancelled
	}
	return Response{Status: 200, Body: protocol.MustMarshal(&jobStatus)}
}

// rejectIfUnavailable tells whether the store can't be asked for users at all; then the
// answer is immediate.
func (c *Controller) rejectIfUnavailable() (Response, bool) {
	switch {
	case !c.mirrorReady:
		return c.retryLater(503, "records not read yet"), true
	case c.storeUnavailable:
		return c.retryLater(503, "state service out of reach"), true
	}
	return Response{}, false
}

// rejectIfOverloaded tells whether the store can't take more for users.
func (c *Controller) rejectIfOverloaded() (Response, bool) {
	if response, rejected := c.rejectIfUnavailable(); rejected {
		return response, true
	}
	if c.storeQueue.Len(ratelimit.PriorityUserRequest) >= c.maxQueuedUserCalls() {
		return c.retryLater(429, "too many requests"), true
	}
	return Response{}, false
}

func (c *Controller) handleSubmit(body []byte, respond func(Response)) {
	submission, bad := protocol.ParseSubmission(body)
	if submission.ID == "" {
		respond(errorResponse(400, bad.Error()))
		return
	}
	if status, ok := c.mirror.Results.Get(submission.ID); ok {
		respond(c.finalStatusResponse(submission.ID, status))
		return
	}
	if bad != nil {
		// A known job is known, whatever its repeated submission looks like. Only
		// a node that can't ask gives the verdict on the text alone.
		if _, rejected := c.rejectIfOverloaded(); rejected {
			if !c.mirrorReady || c.mirror.Jobs[submission.ID] != nil {
				respond(c.retryLater(503, "state service out of reach"))
				return
			}
			respond(errorResponse(400, bad.Error()))
			return
		}
		c.lookUpJobOr(submission.ID, errorResponse(400, bad.Error()), respond)
		return
	}
	if response, rejected := c.rejectIfOverloaded(); rejected {
		respond(response)
		return
	}
	if c.mirror.Jobs[submission.ID] != nil {
		c.handleStatus(submission.ID, respond)
		return
	}
	if c.machineTypes == nil {
		respond(c.retryLater(503, "machine types not known yet"))
		return
	}
	spec := storage.JobSpecOf(submission)
	if why := c.unsatisfiableReason(&spec); why != "" {
		c.lookUpJobOr(submission.ID, errorResponse(422, why), respond)
		return
	}
	if len(c.mirror.Jobs) >= maxOpenJobs {
		respond(c.retryLater(429, "too many unfinished jobs"))
		return
	}
	c.countSubmission(&spec)
	if c.isRateLimited(&spec) && c.storeQueue.Len(ratelimit.PriorityBurst) >= c.maxQueuedBurstCalls() {
		response := c.retryLater(429, "too many jobs of this team")
		response.RetryAfter += 1 + int(c.env.Rand().Int64N(3))
		respond(response)
		return
	}
	c.acceptJob(submission.ID, spec, respond)
}

// lookUpJobOr answers with the job's state if the store knows it, else with other.
func (c *Controller) lookUpJobOr(id string, other Response, respond func(Response)) {
	c.lookUpJob(id, func(response Response) {
		if response.Status == 404 {
			response = other
		}
		respond(response)
	})
}

// unsatisfiableReason tells why a job can never run, or "".
func (c *Controller) unsatisfiableReason(spec *storage.JobSpec) string {
	team, ok := c.teamLimits(spec.Team)
	if !ok {
		return "unknown team"
	}
	n := 1.0
	if spec.Service {
		n = float64(spec.Tasks)
	}
	if team.maxCPUs > 0 && spec.CPUs*n > team.maxCPUs+resourceTolerance || team.maxGPUs > 0 && spec.GPUs*n > team.maxGPUs+resourceTolerance {
		return "needs more than the team's limit"
	}
	taskResources := TaskResources(spec)
	for _, name := range sortedKeys(c.machineTypes) {
		machineType := c.machineTypes[name]
		if typeAndZoneAllowed(spec, machineType.Name, spec.Zone) && taskResources.FitsIn(machineCapacity(&machineType)) && (spec.Zone == "" || slices.Contains(machineType.Zones, spec.Zone)) {
			return ""
		}
	}
	return "a task fits no allowed machine type"
}

func (c *Controller) teamLimits(name string) (team teamLimits, ok bool) {
	for i := range c.cfg.Facts.Teams {
		teamConfig := &c.cfg.Facts.Teams[i]
		if teamConfig.Name == name {
			return teamLimits{guaranteedCPUs: teamConfig.CPUs, maxCPUs: teamConfig.CPUsMax, guaranteedGPUs: teamConfig.GPUs, maxGPUs: teamConfig.GPUsMax}, true
		}
	}
	return teamLimits{}, false
}

type teamLimits struct{ guaranteedCPUs, maxCPUs, guaranteedGPUs, maxGPUs float64 }

func (t teamLimits) hasLimit() bool { return t.maxCPUs > 0 || t.maxGPUs > 0 }

// remaining tells what the team may still use.
func (t teamLimits) remaining(used Resources) Resources {
	available := Resources{math.Inf(1), math.Inf(1), math.Inf(1)}
	if t.maxCPUs > 0 {
		available.CPUs = roundToUnit(t.maxCPUs) - used.CPUs
	}
	if t.maxGPUs > 0 {
		available.GPUs = roundToUnit(t.maxGPUs) - used.GPUs
	}
	return available
}

func (c *Controller) acceptJob(id string, spec storage.JobSpec, respond func(Response)) {
	record := storage.OpenJob{Spec: spec, AcceptedAt: c.env.WallClock(), TaskRanges: c.assignTaskRanges(&spec)}
	value := protocol.MustMarshal(&record)
	// The stored form is counted as JSON: about twice the packed one here.
	if len(value)*2 > c.maxValueBytes() {
		c.lookUpJobOr(id, errorResponse(400, "names too long to be kept"), respond)
		return
	}
	openKey := storage.Key(storage.KindOpenJob, id)
	txn := protocol.Transaction{
		If:   []protocol.Compare{{Key: openKey, Version: 0}, {Key: storage.Key(storage.KindJobResult, id), Version: 0}},
		Then: []protocol.Op{{Put: openKey, Value: value}},
	}
	c.commitTxn(c.priorityClassOf(&spec, ratelimit.PriorityUserRequest), txn, func(result protocol.StoreResult) {
		switch result.Outcome {
		case protocol.OK:
			c.counters.jobsAccepted++
			// Nobody can have placed any of it yet.
			c.acceptedRevisions[id] = result.Revision
			c.log.Debug("job accepted", "job", id, "class", spec.Class, "tasks", spec.Tasks,
				"estimate_s", spec.EstimateS, "ranges", len(record.TaskRanges))
			respond(Response{Status: 201, Body: protocol.MustMarshal(&protocol.AcceptedReply{ID: id, Status: protocol.JobPending})})
			c.runFastTick(c.now())
		case protocol.Conflict:
			c.lookUpJob(id, respond)
		case protocol.Rejected:
			c.log.Error("job acceptance rejected by state service", "job", id)
			respond(c.retryLater(503, "not kept"))
		default:
			// Unknown: perhaps accepted, perhaps not. The user asks again.
			respond(c.retryLater(503, "state service out of reach"))
		}
	})
}

// lookUpJob answers from a mirror as new as the question. What it doesn't hold is over, or
// was never accepted: the store itself is asked.
func (c *Controller) lookUpJob(id string, respond func(Response)) {
	if len(c.pendingReads) >= maxWaitingReaders {
		respond(c.retryLater(429, "too many requests"))
		return
	}
	c.whenMirrorCurrent(func(ok bool) {
		if !ok {
			respond(c.retryLater(503, "state service out of reach"))
			return
		}
		if job := c.mirror.Jobs[id]; job != nil {
			respond(c.jobStatusResponse(job))
			return
		}
		if status, ok := c.mirror.Results.Get(id); ok {
			respond(c.finalStatusResponse(id, status))
			return
		}
		if c.storeQueue.Len(ratelimit.PriorityUserRequest) >= c.maxQueuedUserCalls() {
			respond(c.retryLater(429, "too many requests"))
			return
		}
		c.readJob(id, respond)
	})
}

// readJob asks the store for a job's final answer, then for its open record, so that a
// record which this mirror can't read is still known, and once more for the final
// answer: the job may have ended between the two.
func (c *Controller) readJob(id string, respond func(Response)) {
	c.readFinalStatus(id, respond, func() {
		c.readOpenRecord(id, respond, func() {
			c.readFinalStatus(id, respond, func() { respond(errorResponse(404, "no such job")) })
		})
	})
}

// readFinalStatus answers with a job's final state, or goes on if the store has none.
func (c *Controller) readFinalStatus(id string, respond func(Response), none func()) {
	c.readRecord(storage.KindJobResult, id, respond, none, func(value protocol.Raw) {
		var result storage.JobResult
		if protocol.Unmarshal(value, &result) != nil {
			respond(c.retryLater(503, "final state can't be read"))
			return
		}
		c.mirror.Results.Add(id, result.State)
		respond(c.finalStatusResponse(id, result.State))
	})
}

// readOpenRecord answers for a job that has an open record, or goes on if it has none.
func (c *Controller) readOpenRecord(id string, respond func(Response), none func()) {
	c.readRecord(storage.KindOpenJob, id, respond, none, func(protocol.Raw) {
		respond(Response{Status: 200, Body: protocol.MustMarshal(&protocol.JobStatusReply{ID: id, Status: protocol.JobPending})})
	})
}

// readRecord reads a job's record of a kind; without the store it answers at once.
func (c *Controller) readRecord(kind, id string, respond func(Response), none func(), found func(protocol.Raw)) {
	call := &protocol.StoreCall{Op: protocol.StoreGet, Key: storage.Key(kind, id)}
	c.callStore(ratelimit.PriorityUserRequest, call, func(result protocol.StoreResult) {
		switch result.Outcome {
		case protocol.OK:
			found(result.Item.Value)
		case protocol.NotFound:
			none()
		default:
			respond(c.retryLater(503, "state service out of reach"))
		}
	})
}

func (c *Controller) handleStatus(id string, respond func(Response)) {
	if !protocol.ValidJobID(id) {
		respond(errorResponse(404, "no such job"))
		return
	}
	if status, ok := c.mirror.Results.Get(id); ok {
		respond(c.finalStatusResponse(id, status))
		return
	}
	if job := c.mirror.Jobs[id]; job != nil && !job.IsOpen() {
		respond(c.finalStatusResponse(id, job.FinalStatus))
		return
	}
	if response, rejected := c.rejectIfUnavailable(); rejected {
		respond(response)
		return
	}
	c.lookUpJob(id, respond)
}

func (c *Controller) handleAbort(id string, respond func(Response)) {
	if !protocol.ValidJobID(id) {
		respond(errorResponse(404, "no such job"))
		return
	}
	if status, ok := c.mirror.Results.Get(id); ok {
		respond(acceptedResponse(id, status))
		return
	}
	if response, rejected := c.rejectIfUnavailable(); rejected {
		respond(response)
		return
	}
	if c.mirror.Jobs[id] != nil {
		c.cancelJob(id, respond)
		return
	}
	// The mirror doesn't hold it: it is over, was never accepted, or is new.
	c.lookUpJob(id, func(response Response) {
		switch status, over := c.mirror.Results.Get(id); {
		case over:
			respond(acceptedResponse(id, status))
		case response.Status == 200 && c.mirror.Jobs[id] != nil:
			c.cancelJob(id, respond)
		case response.Status == 200:
			respond(c.retryLater(503, "changing just now"))
		default:
			respond(response)
		}
	})
}

// cancelJob writes the answer of a job that has been accepted, unless it has one: done
// and cancelled exclude each other by that, and every assignment asks for it.
func (c *Controller) cancelJob(id string, respond func(Response)) {
	key := storage.Key(storage.KindJobResult, id)
	c.commitTxn(ratelimit.PriorityCancellation, protocol.Transaction{
		If:   []protocol.Compare{{Key: key}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&storage.JobResult{State: storage.JobCancelled})}},
	}, func(result protocol.StoreResult) {
		switch result.Outcome {
		case protocol.OK:
			c.log.Debug("job cancelled", "job", id)
			c.cancellations.Add(cancellation.Committed{Job: id, Revision: result.Revision})
			respond(acceptedResponse(id, storage.JobCancelled))
		case protocol.Conflict:
			c.lookUpJob(id, func(rep Response) {
				if status, ok := c.mirror.Results.Get(id); ok {
					rep = acceptedResponse(id, status)
				} else if rep.Status == 200 {
					rep = c.retryLater(503, "changing just now")
				}
				respond(rep)
			})
		default:
			respond(c.retryLater(503, "state service out of reach"))
		}
	})
}

// typeAndZoneAllowed tells whether a job's tasks may run on a type in a zone; a zone of ""
// leaves the zone open.
func typeAndZoneAllowed(spec *storage.JobSpec, typeName, zone string) bool {
	if spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, typeName) {
		return false
	}
	return spec.Zone == "" || zone == "" || spec.Zone == zone
}

func machineCapacity(machineType *protocol.MachineType) Resources {
	return NewResources(machineType.CPUs, machineType.GPUs, machineType.MemoryGB)
}
