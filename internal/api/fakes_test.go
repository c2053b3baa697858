package api

import (
	"log/slog"
	"math/rand/v2"
	"testing"

	"pipitgap/internal/cancellation"
	"pipitgap/internal/invariant"
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
	limitedTeam = "tight" // its limit is 12 CPUs
	newJobID    = "j-1"
)

// fakeDependencies implements all dependencies of a handler. It answers calls to the state service
// immediately from records.
type fakeDependencies struct {
	now    monotime.Micros
	random *rand.Rand
	queue  *ratelimit.Queue
	mirror *mirror.Mirror

	notReady, unavailable, unreachableOnlyHere, isolated, stale bool
	waitingReaders                                              int
	types                                                       map[string]protocol.MachineType
	commitOutcome                                               protocol.Outcome
	callOutcome                                                 protocol.Outcome // of all reads; if OK, records decide
	records                                                     map[string]protocol.Raw
	onRead                                                      func(key string)
	onCommit                                                    func()

	reads     []string
	commits   []protocol.Transaction
	classes   []ratelimit.Priority
	accepted  map[string]uint64
	cancelled []cancellation.Committed
	sources   []cancellation.Source // of cancelled
	// no cancellation is part of the exchange between controllers
	unexchanged bool
	placed      int
}

func newFakeDependencies() *fakeDependencies {
	d := &fakeDependencies{
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
	d.queue.SetRates(ratelimit.Rates{}, ratelimit.Rates{PerSecond: 20})
	return d
}

// newModifiedDependencies returns new dependencies with a change applied; change may be nil.
func newModifiedDependencies(change func(*fakeDependencies)) *fakeDependencies {
	d := newFakeDependencies()
	if change != nil {
		change(d)
	}
	return d
}

// expectAnswer sends a request to a new handler and checks that it responds exactly once, with the wanted
// answer.
func (d *fakeDependencies) expectAnswer(t *testing.T, want answer, request func(*Handler, Respond)) {
	t.Helper()
	respond, got := recordResponse(t)
	request(d.handler(), respond)
	if got() != want {
		t.Errorf("got answer %+v, want %+v", got(), want)
	}
}

func (d *fakeDependencies) handler() *Handler {
	return NewHandler(Config{
		Log:           slog.New(slog.DiscardHandler),
		Environment:   d,
		Mirror:        d.mirror,
		StateService:  d,
		Replica:       d,
		Reachability:  d,
		Catalog:       d,
		Quota:         d,
		Scheduler:     d,
		Cancellations: d,
		Invariants:    invariant.NewRecorder(slog.New(slog.DiscardHandler)),
		PlaceNow:      d.PlaceNow,
		MaxValueBytes: 4096,
	})
}

// recordVersion is the version of the records that reads return.
const recordVersion = 11

func (d *fakeDependencies) Now() monotime.Micros { return d.now }
func (d *fakeDependencies) WallClock() int64     { return int64(d.now) }
func (d *fakeDependencies) Rand() *rand.Rand     { return d.random }

func (d *fakeDependencies) Call(
	_ ratelimit.Priority,
	call *protocol.StoreCall,
	callback func(protocol.StoreResult),
) {
	d.reads = append(d.reads, call.Key)
	if d.onRead != nil {
		d.onRead(call.Key)
	}
	value, ok := d.records[call.Key]
	switch {
	case d.callOutcome != protocol.OK:
		callback(protocol.StoreResult{Outcome: d.callOutcome})
	case ok:
		item := protocol.KeyValue{Value: value, Version: recordVersion}
		callback(protocol.StoreResult{Outcome: protocol.OK, Item: item})
	default:
		callback(protocol.StoreResult{Outcome: protocol.NotFound})
	}
}

func (d *fakeDependencies) Unavailable() bool                           { return d.unavailable }
func (d *fakeDependencies) QueuedCalls(priority ratelimit.Priority) int { return d.queue.Len(priority) }
func (d *fakeDependencies) WritesPerSecond() float64                    { return d.queue.WritesPerSecond() }

func (d *fakeDependencies) UserCallsWaiting() bool {
	return d.queue.Len(ratelimit.PriorityUserRequest) > 2
}
func (d *fakeDependencies) Ready() bool                     { return !d.notReady }
func (d *fakeDependencies) PendingReads() int               { return d.waitingReaders }
func (d *fakeDependencies) WhenCurrent(callback func(bool)) { callback(!d.stale) }

func (d *fakeDependencies) IsIsolated(monotime.Micros) bool { return d.isolated }

func (d *fakeDependencies) StoreUnreachableOnlyHere(monotime.Micros) (peer string, onlyHere bool) {
	return "n-1", d.unreachableOnlyHere
}

func (d *fakeDependencies) OldestWait(priority ratelimit.Priority, now monotime.Micros) monotime.Micros {
	return d.queue.OldestWait(priority, now)
}

func (d *fakeDependencies) Commit(
	class ratelimit.Priority,
	transaction protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	if d.onCommit != nil {
		d.onCommit()
	}
	d.commits, d.classes = append(d.commits, transaction), append(d.classes, class)
	callback(protocol.StoreResult{Outcome: d.commitOutcome, Revision: 7})
}

func (d *fakeDependencies) MachineTypes() map[string]protocol.MachineType { return d.types }

func (d *fakeDependencies) Limits(team string) (quota.Limits, bool) {
	switch team {
	case knownTeam:
		return quota.Limits{}, true
	case limitedTeam:
		return quota.Limits{MaxCPUs: 12}, true
	}
	return quota.Limits{}, false
}

func (d *fakeDependencies) AssignTaskRanges(spec *storage.JobSpec) []storage.TaskRange {
	return []storage.TaskRange{{End: spec.Tasks, Partition: "n-0"}}
}

func (d *fakeDependencies) JobAccepted(job string, revision uint64) { d.accepted[job] = revision }
func (d *fakeDependencies) PlaceNow()                               { d.placed++ }
func (d *fakeDependencies) Learn(cancelled cancellation.Committed, source cancellation.Source) {
	d.cancelled, d.sources = append(d.cancelled, cancelled), append(d.sources, source)
}
func (d *fakeDependencies) MayConfirm(string) bool { return !d.unexchanged }
func (d *fakeDependencies) putRecord(kind storage.Kind, id string, value any) {
	d.records[storage.Key(kind, id)] = protocol.MustMarshal(value)
}
func (d *fakeDependencies) cacheResult(id string, state storage.JobState) {
	d.mirror.Results.Add(id, mirror.Result{State: state})
}

// cacheResultOnCommit adds a job's result to the cache during a commit, as if the job ended at that time.
func (d *fakeDependencies) cacheResultOnCommit(id string, state storage.JobState) {
	d.onCommit = func() { d.cacheResult(id, state) }
}

// mirrorJob adds a job of four tasks to the mirror, with a change applied; change may be nil.
func (d *fakeDependencies) mirrorJob(id string, change func(*mirror.Job)) {
	job := &mirror.Job{
		ID:         id,
		Version:    3,
		TaskStates: make([]uint8, 4),
		Record:     storage.OpenJob{Spec: storage.JobSpec{Team: knownTeam, Tasks: 4}},
	}
	if change != nil {
		change(job)
	}
	d.mirror.Jobs[id] = job
}

// fillQueue adds a number of calls of a priority class to the queue, with the given queuing time.
func (d *fakeDependencies) fillQueue(class ratelimit.Priority, calls int, since monotime.Micros) {
	for range calls {
		d.queue.Add(ratelimit.Call{StoreCall: &protocol.StoreCall{}, Priority: class, QueuedAt: since})
	}
}

// newSubmission returns an encoded, acceptable submission with a change applied; change may be nil.
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

// answer is the content of a response to a user.
type answer struct {
	status     int    // HTTP status code
	retryAfter bool   // whether the response has a retry delay
	text       string // the job's status, or the reason for a rejection
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

// recordResponse returns a Respond function and a function that returns the recorded answer. The latter
// fails the test unless Respond was called exactly once.
func recordResponse(t *testing.T) (Respond, func() answer) {
	t.Helper()
	var responses []transport.Response
	respond := func(response transport.Response) { responses = append(responses, response) }
	return respond, func() answer {
		t.Helper()
		if len(responses) != 1 {
			t.Fatalf("got %d responses, want 1", len(responses))
		}
		return answerOf(t, responses[0])
	}
}
