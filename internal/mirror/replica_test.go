package mirror

import (
	"slices"
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// TestLoadIsReadyAtItsNewestRevision: a load whose lists are of several revisions is complete once the watch
// has passed the newest.
func TestLoadIsReadyAtItsNewestRevision(t *testing.T) {
	cases := []struct {
		name    string
		last    uint64
		watched uint64 // 0: no watch
		want    bool
	}{
		{"one revision", 5, 0, true},
		{"changes between the lists", 8, 0, false},
		{"watch behind the newest list", 8, 7, false},
		{"watch at the newest list", 8, 8, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rt := newReplicaTest(t)
			rt.Load()
			rt.Load() // one load at a time
			rt.answerLists(5, tc.last)
			if tc.watched > 0 {
				rt.MaintainWatch(rt.Now())
				watch := rt.nextCall(protocol.StoreWatch)
				if watch.call.FromRevision != 5 {
					t.Errorf("the watch continues from %d, want 5", watch.call.FromRevision)
				}
				watch.callback(protocol.StoreResult{Outcome: protocol.OK, Revision: tc.watched})
			}
			want := []string{"before", "replaced"}
			if tc.want {
				want = append(want, "ready")
			}
			if !slices.Equal(rt.events, want) {
				t.Errorf("observed %v, want %v", rt.events, want)
			}
			if rt.Ready() != tc.want || !rt.Loaded() {
				t.Errorf("ready %v, want %v; loaded %v", rt.Ready(), tc.want, rt.Loaded())
			}
			rt.requireNoCall()
		})
	}
}

// TestLoadPages: a list continues after the last key of a page, and a failed page is read again after a
// delay.
func TestLoadPages(t *testing.T) {
	rt := newReplicaTest(t)
	rt.Load()
	firstPage := rt.nextCall(protocol.StoreList)
	item := protocol.KeyValue{Key: firstPage.call.Key + "a", Version: 1}
	firstPage.callback(protocol.StoreResult{
		Outcome: protocol.OK, Revision: 5, Items: []protocol.KeyValue{item}, More: true,
	})
	secondPage := rt.nextCall(protocol.StoreList)
	if secondPage.call.Key != firstPage.call.Key || secondPage.call.After != item.Key {
		t.Errorf("%s continues after %q", secondPage.call.Key, secondPage.call.After)
	}
	secondPage.callback(protocol.StoreResult{Outcome: protocol.Unavailable})
	rt.clock.Run(loadRetryDelay - 1)
	rt.requireNoCall()
	rt.clock.Run(loadRetrySpread)
	retriedPage := rt.nextCall(protocol.StoreList)
	if retriedPage.call.Key != firstPage.call.Key || retriedPage.call.After != item.Key {
		t.Errorf("%s is read again after %q", retriedPage.call.Key, retriedPage.call.After)
	}
	retriedPage.callback(protocol.StoreResult{Outcome: protocol.OK, Revision: 6})
	if nextList := rt.nextCall(protocol.StoreList); nextList.call.Key == firstPage.call.Key || nextList.call.After != "" {
		t.Errorf("the next list is %s after %q", nextList.call.Key, nextList.call.After)
	}
}

// TestLoadResults: the results of listed jobs are compared so many at a time, and those that exist are
// read; where that fails the same are compared again.
func TestLoadResults(t *testing.T) {
	rt := newReplicaTest(t)
	var jobs []protocol.KeyValue
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		jobs = append(jobs, openJob(id, 3))
	}
	rt.Load()
	rt.answerLists(5, 5, jobs...)
	key := storage.JobResultKey("b")
	for _, outcome := range []protocol.Outcome{protocol.Unavailable, protocol.OK} {
		compareCall := rt.nextCall(protocol.StoreCommit)
		if n := len(compareCall.call.Transaction.If); n != comparesPerOp*2 {
			t.Fatalf("%d compared at a time, want %d", n, comparesPerOp*2)
		}
		compareCall.callback(protocol.StoreResult{Outcome: protocol.Conflict, Failed: []string{key}})
		value, err := protocol.Marshal(&storage.JobResult{State: storage.JobCancelled})
		if err != nil {
			t.Fatal(err)
		}
		rt.nextCall(protocol.StoreGet).callback(protocol.StoreResult{
			Outcome: outcome, Item: protocol.KeyValue{Key: key, Value: value, Version: 4},
		})
		if rt.Loaded() {
			t.Fatal("loaded before all results are compared")
		}
		rt.clock.Run(loadRetryDelay + loadRetrySpread)
	}
	lastCompare := rt.nextCall(protocol.StoreCommit)
	if n := len(lastCompare.call.Transaction.If); n != 1 {
		t.Errorf("%d compared at last, want 1", n)
	}
	lastCompare.callback(protocol.StoreResult{Outcome: protocol.OK})
	if !rt.Ready() {
		t.Error("not ready")
	}
	for _, id := range []string{"a", "b"} {
		if got, want := rt.mirror.Jobs[id].IsOpen(), id == "a"; got != want {
			t.Errorf("%s is open: %v, want %v", id, got, want)
		}
	}
}

// TestWatchOutcomes: what each outcome of a watch does to the reader that waits, to the next watch and to the
// mirror.
func TestWatchOutcomes(t *testing.T) {
	const waiting, failed, served = "waiting", "failed", "served"
	cases := []struct {
		name     string
		outcome  protocol.Outcome
		reader   string
		reload   bool
		recorded bool
		earliest monotime.Micros // of the next watch, after the answer
	}{
		{"answer", protocol.OK, served, false, true, 0},
		{"compacted", protocol.Compacted, failed, true, false, 0},
		{"throttled", protocol.Throttled, waiting, false, false, throttledWatchDelay},
		{"unavailable", protocol.Unavailable, failed, false, true, watchRetryDelay},
		{"no answer", protocol.Unknown, failed, false, true, watchRetryDelay},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rt := newReplicaTest(t)
			rt.loadEmptyStore(5)
			reader := waiting
			rt.WhenCurrent(func(ok bool) {
				reader = failed
				if ok {
					reader = served
				}
			})
			rt.MaintainWatch(rt.Now())
			watch := rt.nextCall(protocol.StoreWatch)
			if watch.call.MaxBlock != 0 || !watch.atOnce {
				t.Errorf("a watch for a reader waits for %d, at once: %v", watch.call.MaxBlock, watch.atOnce)
			}
			rt.clock.Run(testWatchInterval)
			watch.callback(protocol.StoreResult{Outcome: tc.outcome, Revision: 5})
			if reader != tc.reader {
				t.Errorf("reader %s, want %s", reader, tc.reader)
			}
			if got := len(rt.recordedOutcomes) > 0; got != tc.recorded {
				t.Errorf("outcome recorded: %v, want %v", got, tc.recorded)
			}
			if tc.reload {
				rt.nextCall(protocol.StoreList)
				if rt.Ready() {
					t.Error("ready while it loads")
				}
				return
			}
			if got := rt.watch.nextAt - rt.Now(); got < tc.earliest || got > tc.earliest+watchRetrySpread {
				t.Errorf("next watch in %d, want %d at least", got, tc.earliest)
			}
		})
	}
}

// TestWhenCurrent: a reader is served by a watch that was sent at its request or later; one that was sent
// before is joined by a watch that doesn't wait.
func TestWhenCurrent(t *testing.T) {
	rt := newReplicaTest(t)
	rt.loadEmptyStore(5)
	rt.MaintainWatch(rt.Now())
	longPoll := rt.nextCall(protocol.StoreWatch)
	if longPoll.call.MaxBlock != watchLongPoll {
		t.Errorf("the watch waits for %d, want %d", longPoll.call.MaxBlock, watchLongPoll)
	}
	rt.clock.Run(monotime.Millisecond)
	served := 0
	for range 2 {
		rt.WhenCurrent(func(ok bool) {
			if ok {
				served++
			}
		})
	}
	catchUp := rt.nextCall(protocol.StoreWatch)
	if catchUp.call.MaxBlock != 0 {
		t.Errorf("the watch for readers waits for %d", catchUp.call.MaxBlock)
	}
	rt.requireNoCall()
	longPoll.callback(protocol.StoreResult{Outcome: protocol.OK, Revision: 5})
	if served != 0 || rt.PendingReads() != 2 {
		t.Errorf("%d served by a watch that was sent before", served)
	}
	catchUp.callback(protocol.StoreResult{Outcome: protocol.OK, Revision: 6})
	if served != 2 || rt.PendingReads() != 0 {
		t.Errorf("%d served, want 2", served)
	}
	if want := rt.Now(); rt.FreshAt() != want {
		t.Errorf("fresh at %d, want %d", rt.FreshAt(), want)
	}
}

// TestCatchUpInterval: watches for readers keep their interval.
func TestCatchUpInterval(t *testing.T) {
	rt := newReplicaTest(t)
	rt.loadEmptyStore(5)
	rt.MaintainWatch(rt.Now())
	rt.nextCall(protocol.StoreWatch)
	rt.clock.Run(monotime.Millisecond)
	rt.WhenCurrent(func(bool) {})
	rt.nextCall(protocol.StoreWatch).callback(protocol.StoreResult{Outcome: protocol.OK, Revision: 5})
	rt.clock.Run(monotime.Millisecond)
	rt.WhenCurrent(func(bool) {})
	rt.MaintainWatch(rt.Now())
	rt.requireNoCall()
	rt.clock.Run(testWatchInterval)
	rt.MaintainWatch(rt.Now())
	rt.nextCall(protocol.StoreWatch)
}

// TestBacklog: after a long time without an answer the newest revision is read before a watch is sent, and
// all records are read anew if the watch could bring too much.
func TestBacklog(t *testing.T) {
	cases := []struct {
		name   string
		behind uint64
		want   protocol.StoreOp
		key    string
	}{
		{"few changes", 256, protocol.StoreWatch, storage.KeyPrefix},
		{"too many changes", 257, protocol.StoreList, storage.Key(recordKinds[0], "")},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rt := newReplicaTest(t)
			rt.loadEmptyStore(5)
			rt.clock.Run(2*watchLongPoll + 1)
			rt.MaintainWatch(rt.Now())
			backlogCall := rt.nextCall(protocol.StoreList)
			if backlogCall.call.Key != storage.LeaderKey {
				t.Errorf("the backlog is measured by %s", backlogCall.call.Key)
			}
			backlogCall.callback(protocol.StoreResult{Outcome: protocol.OK, Revision: 5 + tc.behind})
			if followUp := rt.nextCall(tc.want); followUp.call.Key != tc.key {
				t.Errorf("then %s is read, want %s", followUp.call.Key, tc.key)
			}
		})
	}
}

// TestStaleWatchResultIsDropped: the answer of a watch that was sent before a load isn't applied after it.
func TestStaleWatchResultIsDropped(t *testing.T) {
	rt := newReplicaTest(t)
	rt.loadEmptyStore(5)
	rt.MaintainWatch(rt.Now())
	staleWatch := rt.nextCall(protocol.StoreWatch)
	rt.Load()
	rt.answerLists(9, 9)
	staleWatch.callback(protocol.StoreResult{
		Outcome: protocol.OK, Revision: 10, Events: []protocol.Event{putEvent(openJob("a", 10))},
	})
	if rt.mirror.WatchedRevision != 9 || len(rt.mirror.Jobs) != 0 {
		t.Errorf("watched %d with %d jobs, want 9 without", rt.mirror.WatchedRevision, len(rt.mirror.Jobs))
	}
}

// TestWatchOverdue: a watch is overdue some time after its last answer; one that was answered while the
// process was paused counts from when it was sent.
func TestWatchOverdue(t *testing.T) {
	for _, paused := range []bool{false, true} {
		rt := newReplicaTest(t)
		rt.loadEmptyStore(5)
		rt.MaintainWatch(rt.Now())
		watch := rt.nextCall(protocol.StoreWatch)
		rt.clock.Run(watchLongPoll + watchOverdueMargin)
		if rt.WatchOverdue(rt.Now()) || !rt.WatchOverdue(rt.Now()+1) {
			t.Error("overdue at another time than the long poll and its margin")
		}
		rt.clock.Run(1)
		if paused {
			rt.resumedAt = rt.Now()
		}
		watch.callback(protocol.StoreResult{
			Outcome: protocol.OK, Revision: 6, Events: []protocol.Event{putEvent(openJob("a", 6))},
		})
		if got := rt.WatchOverdue(rt.Now()); got != paused {
			t.Errorf("overdue after an answer: %v, paused: %v", got, paused)
		}
		if want := []string{"changed"}; !slices.Equal(rt.events, want) {
			t.Errorf("observed %v, want %v", rt.events, want)
		}
	}
}

// TestCommit: a commit is in the mirror before its callback; a conflict is counted, and hastens the watch.
func TestCommit(t *testing.T) {
	cases := []struct {
		name      string
		outcome   protocol.Outcome
		jobs      int
		conflicts int
		hastened  bool
	}{
		{"success", protocol.OK, 1, 0, false},
		{"conflict", protocol.Conflict, 0, 1, true},
		{"no answer", protocol.Unknown, 0, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rt := newReplicaTest(t)
			rt.loadEmptyStore(5)
			rt.MaintainWatch(rt.Now())
			rt.nextCall(protocol.StoreWatch).callback(protocol.StoreResult{Outcome: protocol.OK, Revision: 5})
			job := openJob("a", 0)
			txn := protocol.Transaction{Then: []protocol.Op{{Put: job.Key, Value: job.Value}}}
			jobs := -1
			rt.Commit(ratelimit.PriorityUserRequest, txn, func(protocol.StoreResult) {
				jobs = len(rt.mirror.Jobs)
			})
			rt.nextCall(protocol.StoreCommit).callback(protocol.StoreResult{Outcome: tc.outcome, Revision: 6})
			if jobs != tc.jobs {
				t.Errorf("%d jobs at the callback, want %d", jobs, tc.jobs)
			}
			if rt.CommitConflicts() != tc.conflicts {
				t.Errorf("%d conflicts, want %d", rt.CommitConflicts(), tc.conflicts)
			}
			if got := rt.watch.nextAt-rt.Now() == conflictWatchInterval; got != tc.hastened {
				t.Errorf("next watch in %d", rt.watch.nextAt-rt.Now())
			}
		})
	}
}
