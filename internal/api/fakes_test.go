package api

import (
	"log/slog"
	"math/rand/v2"
	"testing"

	"pipitgap/internal/cancellation"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/quota"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

const (
	knownTeam   = "home"
	limitedTeam = "tight"
	newJobID    = "j-1"
)

// fakeWorld is all that a handler depends on. Calls of the state service are answered at once from records.
type fakeWorld struct {
	now    monotime.Micros
	random *rand.Rand
	queue  *ratelimit.Queue
	mirror *mirror.Mirror

	notReady, unavailable, unreachableOnlyHere, isolated, stale bool
	waitingReaders                                              int
	types                                                       map[string]protocol.MachineType
	commitOutcome                                               protocol.Outcome
	callOutcome                                                 protocol.Outcome // of a read, unless it is OK
	records                                                     map[string]protocol.Raw
	onRead                                                      func(key string)
	onCommit                                                    func()

	reads     []string
	commits   []protocol.Transaction
	classes   []ratelimit.Priority
	accepted  map[string]uint64
	cancelled []cancellation.Committed
	placed    int
}

func newFakeWorld() *fakeWorld {
	w := &fakeWorld{
		now:           100 * monotime.Second,
		random:        rand.New(rand.NewPCG(1, 2)),
		queue:         ratelimit.NewQueue(0),
		mirror:        mirror.New(),
		commitOutcome: protocol.OK,
		callOutcome:   protocol.OK,
		records:       map[string]protocol.Raw{},
		accepted:      map[string]uint64{},
		types: map[string]protocol.MachineType{
			"m8": {Name: "m8", CPUs: 8, MemoryGB: 32, OnDemandPrice: 1, Zones: []string{"a", "b"}},
		},
	}
	w.queue.SetRates(ratelimit.Rates{}, ratelimit.Rates{PerSecond: 20})
	return w
}

// newChangedWorld is a world with what a test changes about it, if it does.
func newChangedWorld(change func(*fakeWorld)) *fakeWorld {
	w := newFakeWorld()
	if change != nil {
		change(w)
	}
	return w
}

// expectAnswer makes a request of a new handler and checks its one answer.
func (w *fakeWorld) expectAnswer(t *testing.T, want answer, request func(*Handler, Respond)) {
	t.Helper()
	respond, got := once(t)
	request(w.handler(), respond)
	if got() != want {
		t.Errorf("got %+v, want %+v", got(), want)
	}
}

func (w *fakeWorld) handler() *Handler {
	return NewHandler(Config{
		Log:           slog.New(slog.DiscardHandler),
		Environment:   w,
		Mirror:        w.mirror,
		StateService:  w,
		Replica:       w,
		Reachability:  w,
		Catalog:       w,
		Quota:         w,
		Scheduler:     w,
		Cancellations: w,
		PlaceNow:      w.PlaceNow,
		MaxValueBytes: 4096,
	})
}

func (w *fakeWorld) Now() monotime.Micros { return w.now }
func (w *fakeWorld) WallClock() int64     { return int64(w.now) }
func (w *fakeWorld) Rand() *rand.Rand     { return w.random }

func (w *fakeWorld) Call(
	_ ratelimit.Priority,
	call *protocol.StoreCall,
	callback func(protocol.StoreResult),
) {
	w.reads = append(w.reads, call.Key)
	if w.onRead != nil {
		w.onRead(call.Key)
	}
	value, ok := w.records[call.Key]
	switch {
	case w.callOutcome != protocol.OK:
		callback(protocol.StoreResult{Outcome: w.callOutcome})
	case ok:
		callback(protocol.StoreResult{Outcome: protocol.OK, Item: protocol.KeyValue{Value: value}})
	default:
		callback(protocol.StoreResult{Outcome: protocol.NotFound})
	}
}

func (w *fakeWorld) Unavailable() bool                           { return w.unavailable }
func (w *fakeWorld) QueuedCalls(priority ratelimit.Priority) int { return w.queue.Len(priority) }
func (w *fakeWorld) WritesPerSecond() float64                    { return w.queue.WritesPerSecond() }

func (w *fakeWorld) UserCallsWaiting() bool          { return w.queue.Len(ratelimit.PriorityUserRequest) > 2 }
func (w *fakeWorld) Ready() bool                     { return !w.notReady }
func (w *fakeWorld) PendingReads() int               { return w.waitingReaders }
func (w *fakeWorld) WhenCurrent(callback func(bool)) { callback(!w.stale) }

func (w *fakeWorld) IsIsolated(monotime.Micros) bool { return w.isolated }

func (w *fakeWorld) StoreUnreachableOnlyHere(monotime.Micros) (peer string, onlyHere bool) {
	return "n-1", w.unreachableOnlyHere
}

func (w *fakeWorld) OldestWait(priority ratelimit.Priority, now monotime.Micros) monotime.Micros {
	return w.queue.OldestWait(priority, now)
}

func (w *fakeWorld) Commit(
	class ratelimit.Priority,
	transaction protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	if w.onCommit != nil {
		w.onCommit()
	}
	w.commits, w.classes = append(w.commits, transaction), append(w.classes, class)
	callback(protocol.StoreResult{Outcome: w.commitOutcome, Revision: 7})
}

func (w *fakeWorld) MachineTypes() map[string]protocol.MachineType { return w.types }

func (w *fakeWorld) Limits(team string) (quota.Limits, bool) {
	switch team {
	case knownTeam:
		return quota.Limits{}, true
	case limitedTeam:
		return quota.Limits{MaxCPUs: 12}, true
	}
	return quota.Limits{}, false
}

func (w *fakeWorld) AssignTaskRanges(spec *storage.JobSpec) []storage.TaskRange {
	return []storage.TaskRange{{End: spec.Tasks, Partition: "n-0"}}
}

func (w *fakeWorld) JobAccepted(job string, revision uint64) { w.accepted[job] = revision }
func (w *fakeWorld) PlaceNow()                               { w.placed++ }
func (w *fakeWorld) Add(cancelled cancellation.Committed) {
	w.cancelled = append(w.cancelled, cancelled)
}
func (w *fakeWorld) putRecord(kind storage.Kind, id string, value any) {
	w.records[storage.Key(kind, id)] = protocol.MustMarshal(value)
}
func (w *fakeWorld) cacheResult(id string, state storage.JobState) { w.mirror.Results.Add(id, state) }

// cacheResultOnCommit has a job end while a commit is under way.
func (w *fakeWorld) cacheResultOnCommit(id string, state storage.JobState) {
	w.onCommit = func() { w.cacheResult(id, state) }
}

// mirrorJob puts a job into the mirror.
func (w *fakeWorld) mirrorJob(id string, change func(*mirror.Job)) {
	job := &mirror.Job{
		ID:         id,
		Version:    3,
		TaskStates: make([]uint8, 4),
		Record:     storage.OpenJob{Spec: storage.JobSpec{Team: knownTeam, Tasks: 4}},
	}
	if change != nil {
		change(job)
	}
	w.mirror.Jobs[id] = job
}

// fillQueue has so many calls of a class wait since a moment.
func (w *fakeWorld) fillQueue(class ratelimit.Priority, calls int, since monotime.Micros) {
	for range calls {
		w.queue.Add(ratelimit.Call{StoreCall: &protocol.StoreCall{}, Priority: class, QueuedAt: since})
	}
}

// newSubmission is a submission that is accepted, with changes.
func newSubmission(change func(*protocol.Submission)) []byte {
	submission := &protocol.Submission{
		ID: newJobID, Class: "batch", Team: knownTeam, Priority: protocol.Standard, Tasks: 4,
		CPUs: 2, MemoryGB: 4, Image: "img", ImageGB: 0.5, EstimateS: 5,
	}
	if change != nil {
		change(submission)
	}
	return protocol.MustMarshal(submission)
}

// answer is what a user learns.
type answer struct {
	status     int
	retryAfter bool
	text       string // the job's status, or the reason of a rejection
}

// answerOf decodes a response.
func answerOf(t *testing.T, response transport.Response) answer {
	t.Helper()
	var body struct {
		Status string `msgpack:"status"`
		Error  string `msgpack:"error"`
	}
	if len(response.Body) > 0 {
		if err := protocol.Unmarshal(response.Body, &body); err != nil {
			t.Fatal(err)
		}
	}
	return answer{response.Status, response.RetryAfter > 0, body.Status + body.Error}
}

// once gives a Respond, and a function that returns the answer; none or a second answer is a fault.
func once(t *testing.T) (Respond, func() answer) {
	t.Helper()
	var responses []transport.Response
	respond := func(response transport.Response) { responses = append(responses, response) }
	return respond, func() answer {
		t.Helper()
		if len(responses) != 1 {
			t.Fatalf("%d answers", len(responses))
		}
		return answerOf(t, responses[0])
	}
}
