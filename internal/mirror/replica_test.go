package mirror

import (
	"slices"
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
	"pipitgap/internal/storage/storagetest"
)

// TestLoadIsReadyAtItsNewestRevision checks when a loaded mirror becomes ready. If records change during the
// load, its lists have different revisions; the mirror is then complete only once the watch has reached the
// newest of them.
func TestLoadIsReadyAtItsNewestRevision(t *testing.T) {
	cases := []struct {
		name    string
		last    uint64
		watched uint64 // 0: no watch
		want    bool
	}{
		{"all lists of one revision", 5, 0, true},
		{"changes between the lists", 8, 0, false},
		{"watch behind the newest list", 8, 7, false},
		{"watch at the newest list", 8, 8, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rt := newReplicaTest(t)
			rt.Load()
			rt.Load() // no effect while a load is in progress
			rt.answerLists(5, tc.last)
			if tc.watched > 0 {
				rt.MaintainWatch(rt.Now())
				watch := rt.nextCall(protocol.StoreWatch)
				if watch.call.FromRevision != 5 {
					t.Errorf("got watch from revision %d, want 5", watch.call.FromRevision)
				}
				watch.callback(protocol.StoreResult{Outcome: protocol.OK, Revision: tc.watched})
			}
			want := []string{"before", "replaced"}
			if tc.want {
				want = append(want, "ready")
			}
			if !slices.Equal(rt.events, want) {
				t.Errorf("got observer calls %v, want %v", rt.events, want)
			}
			if rt.Ready() != tc.want || !rt.Loaded() {
				t.Errorf("got ready %v, want %v; got loaded %v, want true", rt.Ready(), tc.want, rt.Loaded())
			}
			rt.requireNoCall()
		})
	}
}

// TestLoadIsNotReadyBeforeOwnCommits guards against a second assignment of a task: a commit that succeeds after
// the lists are read, and before they replace the mirror, is in the replaced mirror only. The new mirror must
// not be ready before the watch has brought that commit.
func TestLoadIsNotReadyBeforeOwnCommits(t *testing.T) {
	rt := newReplicaTest(t)
	rt.loadEmptyStore(5)
	key := storage.ShardKey("p")
	put := protocol.Op{Put: key, Value: storagetest.Shard("i-1", "a", 1, 0)}
	rt.Commit(ratelimit.PriorityShardUpdate, protocol.Transaction{Then: []protocol.Op{put}},
		func(protocol.StoreResult) {})
	commit := rt.nextCall(protocol.StoreCommit)
	rt.Load()
	rt.answerLists(5, 5, openJob("a", 3))
	commit.callback(protocol.StoreResult{Outcome: protocol.OK, Revision: 9})
	rt.nextCall(protocol.StoreCommit).callback(protocol.StoreResult{Outcome: protocol.OK}) // no result of job a
	for _, step := range []struct {
		watched uint64
		ready   bool
	}{{0, false}, {8, false}, {9, true}} {
		if step.watched > 0 {
			var events []protocol.Event
			if step.watched >= 9 {
				events = []protocol.Event{{Put: key, Value: put.Value, Version: 9}}
			}
			rt.clock.Run(testWatchInterval)
			rt.MaintainWatch(rt.Now())
			rt.nextCall(protocol.StoreWatch).callback(protocol.StoreResult{
				Outcome: protocol.OK, Events: events, Revision: step.watched,
			})
		}
		if rt.Ready() != step.ready || rt.Ready() && rt.mirror.VersionOf(key) != 9 {
			t.Errorf("watched revision %d: got ready %t with the shard at version %d, want %t, and version 9 when ready",
				step.watched, rt.Ready(), rt.mirror.VersionOf(key), step.ready)
		}
	}
}

// TestLoadPages checks that a load reads the next page of a list after the last key of the previous page, and
// that it retries a failed page after a delay.
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
		t.Errorf("second page: got list %s after %q, want %s after %q",
			secondPage.call.Key, secondPage.call.After, firstPage.call.Key, item.Key)
	}
	secondPage.callback(protocol.StoreResult{Outcome: protocol.Unavailable})
	rt.clock.Run(loadRetryDelay - 1)
	rt.requireNoCall()
	rt.clock.Run(loadRetrySpread)
	retriedPage := rt.nextCall(protocol.StoreList)
	if retriedPage.call.Key != firstPage.call.Key || retriedPage.call.After != item.Key {
		t.Errorf("retry of the second page: got list %s after %q, want %s after %q",
			retriedPage.call.Key, retriedPage.call.After, firstPage.call.Key, item.Key)
	}
	retriedPage.callback(protocol.StoreResult{Outcome: protocol.OK, Revision: 6})
	if nextList := rt.nextCall(protocol.StoreList); nextList.call.Key == firstPage.call.Key ||
		nextList.call.After != "" {
		t.Errorf("next list: got %s after %q, want a list other than %s after \"\"",
			nextList.call.Key, nextList.call.After, firstPage.call.Key)
	}
}

// TestLoadResults checks how a load reads the results of the listed jobs. It compares the result keys in
// batches of comparesPerOp times TransactionOps and reads the results that exist. If a read fails, it
// compares the same batch again.
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
			t.Fatalf("result read %v: got %d keys in the first batch, want %d", outcome, n, comparesPerOp*2)
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
			t.Fatalf("result read %v: got loaded before the last batch, want not loaded", outcome)
		}
		rt.clock.Run(loadRetryDelay + loadRetrySpread)
	}
	lastCompare := rt.nextCall(protocol.StoreCommit)
	if n := len(lastCompare.call.Transaction.If); n != 1 {
		t.Errorf("got %d keys in the last batch, want 1", n)
	}
	lastCompare.callback(protocol.StoreResult{Outcome: protocol.OK})
	if !rt.Ready() {
		t.Error("got not ready after the last batch, want ready")
	}
	for _, id := range []string{"a", "b"} {
		if got, want := rt.mirror.Jobs[id].IsOpen(), id == "a"; got != want {
			t.Errorf("job %s: got open %v, want %v", id, got, want)
		}
	}
}

// TestWatchOutcomes checks the effect of each outcome of a watch: whether the pending read completes, when
// the next watch is sent, whether the mirror is reloaded and whether the outcome is recorded.
func TestWatchOutcomes(t *testing.T) {
	const waiting, failed, served = "waiting", "failed", "served"
	cases := []struct {
		name     string
		outcome  protocol.Outcome
		reader   string
		reload   bool
		recorded bool
		earliest monotime.Micros // minimum delay from the response to the next watch
	}{
		{"ok", protocol.OK, served, false, true, 0},
		{"compacted", protocol.Compacted, failed, true, false, 0},
		{"throttled", protocol.Throttled, waiting, false, false, throttledWatchDelay},
		{"unavailable", protocol.Unavailable, failed, false, true, watchRetryDelay},
		{"no response", protocol.Unknown, failed, false, true, watchRetryDelay},
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
				t.Errorf("watch for a pending read: got long poll of %d us and at once %v, want 0 and true",
					watch.call.MaxBlock, watch.atOnce)
			}
			rt.clock.Run(testWatchInterval)
			watch.callback(protocol.StoreResult{Outcome: tc.outcome, Revision: 5})
			if reader != tc.reader {
				t.Errorf("outcome %v: got reader %s, want %s", tc.outcome, reader, tc.reader)
			}
			if got := len(rt.recordedOutcomes) > 0; got != tc.recorded {
				t.Errorf("outcome %v: got outcome recorded %v, want %v", tc.outcome, got, tc.recorded)
			}
			if tc.reload {
				rt.nextCall(protocol.StoreList)
				if rt.Ready() {
					t.Errorf("outcome %v: got ready during the reload, want not ready", tc.outcome)
				}
				return
			}
			if got := rt.watch.nextAt - rt.Now(); got < tc.earliest || got > tc.earliest+watchRetrySpread {
				t.Errorf("outcome %v: got next watch after %d us, want %d to %d us",
					tc.outcome, got, tc.earliest, tc.earliest+watchRetrySpread)
			}
		})
	}
}

// TestWhenCurrent checks that a read completes only with a watch that was sent at or after the read's request
// time. If the watch in flight was sent earlier, the replica sends one more watch, which doesn't block.
func TestWhenCurrent(t *testing.T) {
	rt := newReplicaTest(t)
	rt.loadEmptyStore(5)
	rt.MaintainWatch(rt.Now())
	longPoll := rt.nextCall(protocol.StoreWatch)
	if longPoll.call.MaxBlock != watchLongPoll {
		t.Errorf("got long poll of %d us, want %d us", longPoll.call.MaxBlock, watchLongPoll)
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
		t.Errorf("catch-up watch: got long poll of %d us, want 0", catchUp.call.MaxBlock)
	}
	rt.requireNoCall()
	longPoll.callback(protocol.StoreResult{Outcome: protocol.OK, Revision: 5})
	if served != 0 || rt.PendingReads() != 2 {
		t.Errorf("after a watch sent before the reads: got %d served and %d pending, want 0 and 2",
			served, rt.PendingReads())
	}
	catchUp.callback(protocol.StoreResult{Outcome: protocol.OK, Revision: 6})
	if served != 2 || rt.PendingReads() != 0 {
		t.Errorf("after the catch-up watch: got %d served and %d pending, want 2 and 0",
			served, rt.PendingReads())
	}
	if want := rt.Now(); rt.FreshAt() != want {
		t.Errorf("got fresh at %d us, want %d us", rt.FreshAt(), want)
	}
}

// TestCatchUpInterval checks that two catch-up watches for pending reads are at least WatchInterval apart.
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

// TestBacklog checks that the replica measures the backlog before it sends a watch if the last response is
// too old. It must reload all records if the watch could return more than MaxWatchChanges: the response might
// be too large to read.
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
				t.Errorf("backlog measurement: got list of %s, want %s", backlogCall.call.Key, storage.LeaderKey)
			}
			backlogCall.callback(protocol.StoreResult{Outcome: protocol.OK, Revision: 5 + tc.behind})
			if followUp := rt.nextCall(tc.want); followUp.call.Key != tc.key {
				t.Errorf("%d revisions behind: got request for %s, want %s", tc.behind, followUp.call.Key, tc.key)
			}
		})
	}
}

// TestStaleWatchResultIsDropped checks that the replica ignores the response of a watch that was sent before
// a load and arrives after it: the response belongs to an earlier generation of the mirror.
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
		t.Errorf("got watched revision %d with %d jobs, want revision 9 with 0 jobs",
			rt.mirror.WatchedRevision, len(rt.mirror.Jobs))
	}
}

// TestWatchOverdue checks that the watch is overdue if none has succeeded for longer than the long poll and
// its margin. A response that may have waited during a process pause counts from the time its watch was sent.
func TestWatchOverdue(t *testing.T) {
	for _, paused := range []bool{false, true} {
		rt := newReplicaTest(t)
		rt.loadEmptyStore(5)
		rt.MaintainWatch(rt.Now())
		watch := rt.nextCall(protocol.StoreWatch)
		rt.clock.Run(watchLongPoll + watchOverdueMargin)
		if rt.WatchOverdue(rt.Now()) || !rt.WatchOverdue(rt.Now()+1) {
			t.Errorf("paused %v: got overdue %v at the end of the margin and %v 1 us later, want false and true",
				paused, rt.WatchOverdue(rt.Now()), rt.WatchOverdue(rt.Now()+1))
		}
		rt.clock.Run(1)
		if paused {
			rt.resumedAt = rt.Now()
		}
		watch.callback(protocol.StoreResult{
			Outcome: protocol.OK, Revision: 6, Events: []protocol.Event{putEvent(openJob("a", 6))},
		})
		if got := rt.WatchOverdue(rt.Now()); got != paused {
			t.Errorf("paused %v: got overdue %v after a response, want %v", paused, got, paused)
		}
		if want := []string{"changed"}; !slices.Equal(rt.events, want) {
			t.Errorf("paused %v: got observer calls %v, want %v", paused, rt.events, want)
		}
	}
}

// TestCommit checks that a successful commit is in the mirror before its callback runs, and that a conflict
// is counted and expedites the next watch.
func TestCommit(t *testing.T) {
	cases := []struct {
		name      string
		outcome   protocol.Outcome
		jobs      int // jobs in the mirror when the callback runs
		conflicts int
		expedited bool
	}{
		{"success", protocol.OK, 1, 0, false},
		{"conflict", protocol.Conflict, 0, 1, true},
		{"no response", protocol.Unknown, 0, 0, false},
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
				t.Errorf("outcome %v: got %d jobs when the callback ran, want %d", tc.outcome, jobs, tc.jobs)
			}
			if rt.CommitConflicts() != tc.conflicts {
				t.Errorf("outcome %v: got %d conflicts, want %d", tc.outcome, rt.CommitConflicts(), tc.conflicts)
			}
			if got := rt.watch.nextAt-rt.Now() == conflictWatchInterval; got != tc.expedited {
				t.Errorf("outcome %v: got next watch after %d us; got expedited %v, want %v",
					tc.outcome, rt.watch.nextAt-rt.Now(), got, tc.expedited)
			}
		})
	}
}
