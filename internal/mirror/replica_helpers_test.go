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

// pendingCall is a call that has no answer yet.
type pendingCall struct {
	call     *protocol.StoreCall
	callback func(protocol.StoreResult)
	atOnce   bool
}

// replicaTest is a replica whose calls are answered by the test. It serves as the replica's store,
// environment, observer and pause detector.
type replicaTest struct {
	*Replica
	t                *testing.T
	clock            *fake.SimClock
	calls            []pendingCall
	recordedOutcomes []protocol.Outcome // outcomes recorded
	events           []string           // calls of the observer
	resumedAt        monotime.Micros    // end of the last pause
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
func (rt *replicaTest) WatchInterval() monotime.Micros      { return testWatchInterval }
func (rt *replicaTest) BeforeReplace(*Mirror)               { rt.events = append(rt.events, "before") }
func (rt *replicaTest) Replaced()                           { rt.events = append(rt.events, "replaced") }
func (rt *replicaTest) Changed()                            { rt.events = append(rt.events, "changed") }
func (rt *replicaTest) DetectPause(monotime.Micros)         {}
func (rt *replicaTest) ResumedFromPauseAt() monotime.Micros { return rt.resumedAt }
func (rt *replicaTest) CallAtOnce(call *protocol.StoreCall, f func(protocol.StoreResult)) {
	rt.calls = append(rt.calls, pendingCall{call, f, true})
}

func (rt *replicaTest) Call(_ ratelimit.Priority, call *protocol.StoreCall, f func(protocol.StoreResult)) {
	rt.calls = append(rt.calls, pendingCall{call, f, false})
}

// readyObserver keeps the observer's method Ready apart from the replica's.
type readyObserver struct{ *replicaTest }

func (o readyObserver) Ready() { o.events = append(o.events, "ready") }

// nextCall takes the first call that has no answer and checks its kind.
func (rt *replicaTest) nextCall(op protocol.StoreOp) pendingCall {
	rt.t.Helper()
	if len(rt.calls) == 0 {
		rt.t.Fatalf("nothing sent, want %v", op)
	}
	pending := rt.calls[0]
	rt.calls = rt.calls[1:]
	if pending.call.Op != op {
		rt.t.Fatalf("sent %v, want %v", pending.call.Op, op)
	}
	return pending
}

func (rt *replicaTest) requireNoCall() {
	rt.t.Helper()
	if len(rt.calls) > 0 {
		rt.t.Fatalf("sent %+v, want nothing", rt.calls[0].call)
	}
}

// answerLists answers the lists of a load with one page each, at the revisions given for the first and for
// all the others; items belong to the list of open jobs.
func (rt *replicaTest) answerLists(first, others uint64, jobs ...protocol.KeyValue) {
	rt.t.Helper()
	for i, kind := range listedKinds(false) {
		pending := rt.nextCall(protocol.StoreList)
		if want := storage.Key(kind, ""); pending.call.Key != want {
			rt.t.Fatalf("list %d is of %s, want %s", i, pending.call.Key, want)
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

// loadEmptyStore loads an empty store at a revision; the mirror is ready then.
func (rt *replicaTest) loadEmptyStore(revision uint64) {
	rt.t.Helper()
	rt.Load()
	rt.answerLists(revision, revision)
	if !rt.Ready() {
		rt.t.Fatal("not ready after a load")
	}
	rt.events = nil
}

// openJob is the record of a job in a list.
func openJob(id string, version uint64) protocol.KeyValue {
	return protocol.KeyValue{
		Key: storage.OpenJobKey(id), Value: storagetest.OpenJob(2), Version: version,
	}
}

// putEvent is the change that wrote a record.
func putEvent(item protocol.KeyValue) protocol.Event {
	return protocol.Event{Put: item.Key, Value: item.Value, Version: item.Version}
}
