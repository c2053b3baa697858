package coordination

import (
	"context"
	"log/slog"
	"slices"
	"strings"

	"pipitgap/internal/cancellation"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// userAPI answers users: submissions, status requests and cancellations.
type userAPI struct {
	c *Controller

	submissionRates   map[string]*submissionRate // by team, its submissions of late
	acceptedRevisions map[string]uint64
	jobsClosedAt      map[string]monotime.Micros
}

// Bounds of what waits for the store on behalf of users; past them the answer
// is an immediate 429.
const (
	maxWaitingReaders = 2048
)

// maxQueuedUserCalls bounds what waits in the queue to well under the time that a user
// waits for an answer.
func (u *userAPI) maxQueuedUserCalls() int { return max(4, int(u.c.store.WritesPerSecond()*0.75)) }

func errorResponse(status int, text string) Response {
	return Response{Status: status, Body: protocol.MustMarshal(&protocol.ErrorBody{Error: text})}
}

// retryLater is the immediate answer to what can't be taken now.
func (u *userAPI) retryLater(status int, text string) Response {
	u.c.counters.requestsDeferred++
	if u.c.log.Enabled(context.Background(), slog.LevelDebug) {
		u.c.log.Debug("request deferred", "status", status, "reason", text,
			"user_calls", u.c.store.QueuedCalls(ratelimit.PriorityUserRequest),
			"shard_calls", u.c.store.QueuedCalls(ratelimit.PriorityShardUpdate),
			"waiting_readers", u.c.replica.PendingReads())
	}
	response := errorResponse(status, text)
	response.RetryAfter = 1
	if u.c.store.Unavailable() {
		// Spread over a few seconds: the return must not be a stampede.
		response.RetryAfter = 1 + int(u.c.env.Rand().Int64N(3))
	}
	return response
}

// HandleRequest answers a request of a user or a worker. The answer may come later,
// but never because it is held back: only as long as the store takes.
func (c *Controller) HandleRequest(method, target string, body []byte, respond func(Response)) {
	c.reachability.detectPause(c.now())
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
			respond(c.api.healthResponse())
		}
	case path == protocol.HeartbeatPath:
		if only("POST") {
			c.agents.handleHeartbeat(body, respond)
		}
	case path == protocol.JobsPath:
		if only("POST") {
			c.api.handleSubmit(body, respond)
		}
	case strings.HasPrefix(path, protocol.JobsPath+"/"):
		id, cancel, _ := protocol.ParseJobPath(path)
		if cancel {
			if only("POST") {
				c.api.handleAbort(id, respond)
			}
			return
		}
		if strings.Contains(id, "/") {
			respond(errorResponse(404, "no such path"))
			return
		}
		if only("GET") {
			c.api.handleStatus(id, respond)
		}
	default:
		respond(errorResponse(404, "no such path"))
	}
}

// healthResponse: a node that can't take requests while others can says so. In an
// outage that all share it stays healthy, so that no time is lost afterwards.
func (u *userAPI) healthResponse() Response {
	if !u.c.replica.Ready() {
		return u.retryLater(503, "records not read yet")
	}
	now := u.c.now()
	_, alone := u.c.reachability.storeUnreachableOnlyHere(now)
	if alone || u.c.reachability.isIsolated(now) {
		return u.retryLater(503, "state service out of reach")
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
func (u *userAPI) jobStatusResponse(job *mirror.Job) Response {
	if !job.IsOpen() {
		return u.finalStatusResponse(job.ID, job.FinalStatus)
	}
	jobStatus := protocol.JobStatusReply{
		ID:      job.ID,
		Status:  protocol.JobPending,
		Done:    job.DoneTasks,
		Running: job.AssignedTasks,
	}
	if job.AssignedTasks > 0 {
		jobStatus.Status = protocol.JobRunning
	}
	return Response{Status: 200, Body: protocol.MustMarshal(&jobStatus)}
}

func (u *userAPI) finalStatusResponse(id string, status storage.JobState) Response {
	jobStatus := protocol.JobStatusReply{ID: id, Status: protocol.JobDone}
	if status == storage.JobCancelled {
		jobStatus.Status = protocol.JobCancelled
	}
	return Response{Status: 200, Body: protocol.MustMarshal(&jobStatus)}
}

// rejectIfUnavailable tells whether the store can't be asked for users at all; then the
// answer is immediate.
func (u *userAPI) rejectIfUnavailable() (Response, bool) {
	switch {
	case !u.c.replica.Ready():
		return u.retryLater(503, "records not read yet"), true
	case u.c.store.Unavailable():
		return u.retryLater(503, "state service out of reach"), true
	}
	return Response{}, false
}

// rejectIfOverloaded tells whether the store can't take more for users.
func (u *userAPI) rejectIfOverloaded() (Response, bool) {
	if response, rejected := u.rejectIfUnavailable(); rejected {
		return response, true
	}
	if u.c.store.QueuedCalls(ratelimit.PriorityUserRequest) >= u.maxQueuedUserCalls() {
		return u.retryLater(429, "too many requests"), true
	}
	return Response{}, false
}

func (u *userAPI) handleSubmit(body []byte, respond func(Response)) {
	submission, bad := protocol.ParseSubmission(body)
	if submission.ID == "" {
		respond(errorResponse(400, bad.Error()))
		return
	}
	if status, ok := u.c.mirror.Results.Get(submission.ID); ok {
		respond(u.finalStatusResponse(submission.ID, status))
		return
	}
	if bad != nil {
		// A known job is known, whatever its repeated submission looks like. Only
		// a node that can't ask gives the verdict on the text alone.
		if _, rejected := u.rejectIfOverloaded(); rejected {
			if !u.c.replica.Ready() || u.c.mirror.Jobs[submission.ID] != nil {
				respond(u.retryLater(503, "state service out of reach"))
				return
			}
			respond(errorResponse(400, bad.Error()))
			return
		}
		u.lookUpJobOr(submission.ID, errorResponse(400, bad.Error()), respond)
		return
	}
	if response, rejected := u.rejectIfOverloaded(); rejected {
		respond(response)
		return
	}
	if u.c.mirror.Jobs[submission.ID] != nil {
		u.handleStatus(submission.ID, respond)
		return
	}
	if u.c.catalog.machineTypes == nil {
		respond(u.retryLater(503, "machine types not known yet"))
		return
	}
	spec := storage.JobSpecOf(submission)
	if why := u.unsatisfiableReason(&spec); why != "" {
		u.lookUpJobOr(submission.ID, errorResponse(422, why), respond)
		return
	}
	if len(u.c.mirror.Jobs) >= mirror.MaxOpenJobs {
		respond(u.retryLater(429, "too many unfinished jobs"))
		return
	}
	u.countSubmission(&spec)
	if u.isRateLimited(&spec) && u.c.store.QueuedCalls(ratelimit.PriorityBurst) >= u.maxQueuedBurstCalls() {
		response := u.retryLater(429, "too many jobs of this team")
		response.RetryAfter += 1 + int(u.c.env.Rand().Int64N(3))
		respond(response)
		return
	}
	u.acceptJob(submission.ID, spec, respond)
}

// lookUpJobOr answers with the job's state if the store knows it, else with other.
func (u *userAPI) lookUpJobOr(id string, other Response, respond func(Response)) {
	u.lookUpJob(id, func(response Response) {
		if response.Status == 404 {
			response = other
		}
		respond(response)
	})
}

// unsatisfiableReason tells why a job can never run, or "".
func (u *userAPI) unsatisfiableReason(spec *storage.JobSpec) string {
	limits, ok := u.c.quota.Limits(spec.Team)
	if !ok {
		return "unknown team"
	}
	n := 1.0
	if spec.Service {
		n = float64(spec.Tasks)
	}
	if !limits.Permits(spec.CPUs*n, spec.GPUs*n) {
		return "needs more than the team's limit"
	}
	taskResources := mirror.TaskResources(spec)
	for _, name := range sortedmap.Keys(u.c.catalog.machineTypes) {
		machineType := u.c.catalog.machineTypes[name]
		if spec.AllowsMachine(machineType.Name, spec.Zone) &&
			taskResources.FitsIn(mirror.MachineCapacity(&machineType)) &&
			(spec.Zone == "" || slices.Contains(machineType.Zones, spec.Zone)) {
			return ""
		}
	}
	return "a task fits no allowed machine type"
}

func (u *userAPI) acceptJob(id string, spec storage.JobSpec, respond func(Response)) {
	record := storage.OpenJob{
		Spec:       spec,
		AcceptedAt: u.c.env.WallClock(),
		TaskRanges: u.c.scheduler.assignTaskRanges(&spec),
	}
	value := protocol.MustMarshal(&record)
	// The stored form is counted as JSON: about twice the packed one here.
	if len(value)*2 > u.c.maxValueBytes() {
		u.lookUpJobOr(id, errorResponse(400, "names too long to be kept"), respond)
		return
	}
	openKey := storage.Key(storage.KindOpenJob, id)
	txn := protocol.Transaction{
		If: []protocol.Compare{
			{Key: openKey, Version: 0},
			{Key: storage.Key(storage.KindJobResult, id), Version: 0},
		},
		Then: []protocol.Op{{Put: openKey, Value: value}},
	}
	u.c.replica.Commit(
		u.priorityClassOf(&spec, ratelimit.PriorityUserRequest),
		txn,
		func(result protocol.StoreResult) {
			switch result.Outcome {
			case protocol.OK:
				u.c.counters.jobsAccepted++
				// Nobody can have placed any of it yet.
				u.acceptedRevisions[id] = result.Revision
				u.c.log.Debug("job accepted", "job", id, "class", spec.Class, "tasks", spec.Tasks,
					"estimate_s", spec.EstimateS, "ranges", len(record.TaskRanges))
				respond(
					Response{
						Status: 201,
						Body: protocol.MustMarshal(
							&protocol.AcceptedReply{ID: id, Status: protocol.JobPending},
						),
					},
				)
				u.c.runFastTick(u.c.now())
			case protocol.Conflict:
				u.lookUpJob(id, respond)
			case protocol.Rejected:
				u.c.log.Error("job acceptance rejected by state service", "job", id)
				respond(u.retryLater(503, "not kept"))
			default:
				// Unknown: perhaps accepted, perhaps not. The user asks again.
				respond(u.retryLater(503, "state service out of reach"))
			}
		},
	)
}

// lookUpJob answers from a mirror as new as the question. What it doesn't hold is over, or
// was never accepted: the store itself is asked.
func (u *userAPI) lookUpJob(id string, respond func(Response)) {
	if u.c.replica.PendingReads() >= maxWaitingReaders {
		respond(u.retryLater(429, "too many requests"))
		return
	}
	u.c.replica.WhenCurrent(func(ok bool) {
		if !ok {
			respond(u.retryLater(503, "state service out of reach"))
			return
		}
		if job := u.c.mirror.Jobs[id]; job != nil {
			respond(u.jobStatusResponse(job))
			return
		}
		if status, ok := u.c.mirror.Results.Get(id); ok {
			respond(u.finalStatusResponse(id, status))
			return
		}
		if u.c.store.QueuedCalls(ratelimit.PriorityUserRequest) >= u.maxQueuedUserCalls() {
			respond(u.retryLater(429, "too many requests"))
			return
		}
		u.readJob(id, respond)
	})
}

// readJob asks the store for a job's final answer, then for its open record, so that a
// record which this mirror can't read is still known, and once more for the final
// answer: the job may have ended between the two.
func (u *userAPI) readJob(id string, respond func(Response)) {
	u.readFinalStatus(id, respond, func() {
		u.readOpenRecord(id, respond, func() {
			u.readFinalStatus(id, respond, func() { respond(errorResponse(404, "no such job")) })
		})
	})
}

// readFinalStatus answers with a job's final state, or goes on if the store has none.
func (u *userAPI) readFinalStatus(id string, respond func(Response), none func()) {
	u.readRecord(storage.KindJobResult, id, respond, none, func(value protocol.Raw) {
		var result storage.JobResult
		if protocol.Unmarshal(value, &result) != nil {
			respond(u.retryLater(503, "final state can't be read"))
			return
		}
		u.c.mirror.Results.Add(id, result.State)
		respond(u.finalStatusResponse(id, result.State))
	})
}

// readOpenRecord answers for a job that has an open record, or goes on if it has none.
func (u *userAPI) readOpenRecord(id string, respond func(Response), none func()) {
	u.readRecord(storage.KindOpenJob, id, respond, none, func(protocol.Raw) {
		respond(
			Response{
				Status: 200,
				Body:   protocol.MustMarshal(&protocol.JobStatusReply{ID: id, Status: protocol.JobPending}),
			},
		)
	})
}

// readRecord reads a job's record of a kind; without the store it answers at once.
func (u *userAPI) readRecord(kind, id string, respond func(Response), none func(), found func(protocol.Raw)) {
	call := &protocol.StoreCall{Op: protocol.StoreGet, Key: storage.Key(kind, id)}
	u.c.store.Call(ratelimit.PriorityUserRequest, call, func(result protocol.StoreResult) {
		switch result.Outcome {
		case protocol.OK:
			found(result.Item.Value)
		case protocol.NotFound:
			none()
		default:
			respond(u.retryLater(503, "state service out of reach"))
		}
	})
}

func (u *userAPI) handleStatus(id string, respond func(Response)) {
	if !protocol.ValidJobID(id) {
		respond(errorResponse(404, "no such job"))
		return
	}
	if status, ok := u.c.mirror.Results.Get(id); ok {
		respond(u.finalStatusResponse(id, status))
		return
	}
	if job := u.c.mirror.Jobs[id]; job != nil && !job.IsOpen() {
		respond(u.finalStatusResponse(id, job.FinalStatus))
		return
	}
	if response, rejected := u.rejectIfUnavailable(); rejected {
		respond(response)
		return
	}
	u.lookUpJob(id, respond)
}

func (u *userAPI) handleAbort(id string, respond func(Response)) {
	if !protocol.ValidJobID(id) {
		respond(errorResponse(404, "no such job"))
		return
	}
	if status, ok := u.c.mirror.Results.Get(id); ok {
		respond(acceptedResponse(id, status))
		return
	}
	if response, rejected := u.rejectIfUnavailable(); rejected {
		respond(response)
		return
	}
	if u.c.mirror.Jobs[id] != nil {
		u.cancelJob(id, respond)
		return
	}
	// The mirror doesn't hold it: it is over, was never accepted, or is new.
	u.lookUpJob(id, func(response Response) {
		switch status, over := u.c.mirror.Results.Get(id); {
		case over:
			respond(acceptedResponse(id, status))
		case response.Status == 200 && u.c.mirror.Jobs[id] != nil:
			u.cancelJob(id, respond)
		case response.Status == 200:
			respond(u.retryLater(503, "changing just now"))
		default:
			respond(response)
		}
	})
}

// cancelJob writes the answer of a job that has been accepted, unless it has one: done
// and cancelled exclude each other by that, and every assignment asks for it.
func (u *userAPI) cancelJob(id string, respond func(Response)) {
	key := storage.Key(storage.KindJobResult, id)
	u.c.replica.Commit(ratelimit.PriorityCancellation, protocol.Transaction{
		If: []protocol.Compare{{Key: key}},
		Then: []protocol.Op{
			{Put: key, Value: protocol.MustMarshal(&storage.JobResult{State: storage.JobCancelled})},
		},
	}, func(result protocol.StoreResult) {
		switch result.Outcome {
		case protocol.OK:
			u.c.log.Debug("job cancelled", "job", id)
			u.c.cancellations.relay.Add(cancellation.Committed{Job: id, Revision: result.Revision})
			respond(acceptedResponse(id, storage.JobCancelled))
		case protocol.Conflict:
			u.lookUpJob(id, func(rep Response) {
				if status, ok := u.c.mirror.Results.Get(id); ok {
					rep = acceptedResponse(id, status)
				} else if rep.Status == 200 {
					rep = u.retryLater(503, "changing just now")
				}
				respond(rep)
			})
		default:
			respond(u.retryLater(503, "state service out of reach"))
		}
	})
}

func newUserAPI(c *Controller) *userAPI {
	return &userAPI{
		c:                 c,
		submissionRates:   map[string]*submissionRate{},
		acceptedRevisions: map[string]uint64{},
		jobsClosedAt:      map[string]monotime.Micros{},
	}
}
