package mirror

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
	"pipitgap/internal/storage/storagetest"
)

const testWatchInterval = 100 * monotime.Millisecond

// pendingCall is a call to the state service that the test hasn't answered yet.
type pendingCall struct {
	call     *protocol.StoreCall
	callback func(protocol.StoreResult)
	atOnce   bool
}

// replicaTest is a replica whose calls the test answers. It implements the replica's store, environment,
// observer (through readyObserver) and pause detector.
type replicaTest struct {
	*Replica
	t                *testing.T
	clock            *fake.SimClock
	calls            []pendingCall
	recordedOutcomes []protocol.Outcome // arguments of RecordOutcome
	events           []string           // observer callbacks, in the order of the calls
	resumedAt        monotime.Micros    // when the last pause ended
}

func newReplicaTest(t *testing.T) *replicaTest {
	t.Helper()
	rt := &replicaTest{t: t, clock: fake.NewSimClock(1)}
	rt.clock.Run(monotime.Minute)
	rt.Replica = NewReplica(ReplicaOptions{
		Mirror: New(), Store: rt, Environment: rt, Observer: readyObserver{rt}, Pauses: rt,
		Log:             slog.New(slog.NewTextHandler(io.Discard, nil)),
		WritesPerSecond: 100, MaxValueBytes: 16 << 10, TransactionOps: 2,
	})
	return rt
}

func (rt *replicaTest) Now() monotime.Micros                  { return rt.clock.Now() }
func (rt *replicaTest) After(delay monotime.Micros, f func()) { rt.clock.After(delay, f) }
func (rt *replicaTest) Rand() *rand.Rand                      { return rt.clock.Rand }
func (rt *replicaTest) RecordOutcome(outcome protocol.Outcome) {
	rt.recordedOutcomes = append(rt.recordedOutcomes, outcome)
}
func (rt *replicaTest) WatchInterval() monotime.Micros    { return testWatchInterval }
func (rt *replicaTest) BeforeReplace(*Mirror)             { rt.events = append(rt.events, "before") }
func (rt *replicaTest) Replaced()                         { rt.events = append(rt.events, "replaced") }
func (rt *replicaTest) Changed()                          { rt.events = append(rt.events, "changed") }
func (rt *replicaTest) DetectPause(monotime.Micros)       {}
func (rt *replicaTest) LastPauseEndedAt() monotime.Micros { return rt.resumedAt }
func (rt *replicaTest) CallUnqueued(call *protocol.StoreCall, f func(protocol.StoreResult)) {
	rt.calls = append(rt.calls, pendingCall{call, f, true})
}

func (rt *replicaTest) Call(_ ratelimit.Priority, call *protocol.StoreCall, f func(protocol.StoreResult)) {
	rt.calls = append(rt.calls, pendingCall{call, f, false})
}

// readyObserver implements Observer. It exists because replicaTest can't: Ready of the embedded Replica has
// another signature.
type readyObserver struct{ *replicaTest }

func (o readyObserver) Ready() { o.events = append(o.events, "ready") }

// nextCall removes and returns the first pending call and requires that it is of the given operation.
func (rt *replicaTest) nextCall(op protocol.StoreOp) pendingCall {
	rt.t.Helper()
	if len(rt.calls) == 0 {
		rt.t.Fatalf("got no pending request, want operation %v", op)
	}
	pending := rt.calls[0]
	rt.calls = rt.calls[1:]
	if pending.call.Op != op {
		rt.t.Fatalf("got request of operation %v, want %v", pending.call.Op, op)
	}
	return pending
}

func (rt *replicaTest) requireNoCall() {
	rt.t.Helper()
	if len(rt.calls) > 0 {
		rt.t.Fatalf("got %d pending calls, the first %+v, want none", len(rt.calls), rt.calls[0].call)
	}
}

// answerLists answers each list call of a load with one page. The first page has revision first, the others
// have revision others. jobs are the items of the list of open jobs.
func (rt *replicaTest) answerLists(first, others uint64, jobs ...protocol.KeyValue) {
	rt.t.Helper()
	for i, kind := range listedKinds(false) {
		pending := rt.nextCall(protocol.StoreList)
		if want := storage.Key(kind, ""); pending.call.Key != want {
			rt.t.Fatalf("list %d: got key %s, want %s", i, pending.call.Key, want)
		}
		page := protocol.StoreResult{Outcome: protocol.OK, Revision: others}
		if i == 0 {
			page.Revision = first
		}
		if kind == storage.KindOpenJob {
			page.Items = jobs
		}
		pending.callback(page)
	}
}

// loadEmptyStore loads an empty store at a revision and requires that the mirror is then ready.
func (rt *replicaTest) loadEmptyStore(revision uint64) {
	rt.t.Helper()
	rt.Load()
	rt.answerLists(revision, revision)
	if !rt.Ready() {
		rt.t.Fatalf("load at revision %d: got not ready, want ready", revision)
	}
	rt.events = nil
}

// openJob returns the record of an open job as a list item.
func openJob(id string, version uint64) protocol.KeyValue {
	return protocol.KeyValue{
		Key: storage.OpenJobKey(id), Value: storagetest.OpenJob(2), Version: version,
	}
}

// putEvent returns the watch event for the put of a record.
func putEvent(item protocol.KeyValue) protocol.Event {
	return protocol.Event{Put: item.Key, Value: item.Value, Version: item.Version}
}
