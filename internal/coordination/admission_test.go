package coordination

import (
	"testing"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
)

// TestFlood: past what the store lets through, every request has an immediate
// answer with a time to come back, and what waits stays bounded.
func TestFlood(t *testing.T) {
	c := newCluster(t, 13).steady()
	core := c.nodes["n-0"].core
	answers := map[int]int{}
	late := 0
	for i := 0; i < 3000; i++ {
		id, j := c.spec()
		begun := c.sim.Now()
		back := func(r Reply) {
			answers[r.Status]++
			if (r.Status == 429 || r.Status == 503) && r.RetryAfter < 1 {
				t.Error("no time to come back")
			}
			if c.sim.Now()-begun > 3*sec {
				late++
			}
		}
		c.request("n-0", "POST", protocol.JobsPath, protocol.MustMarshal(j), back)
		c.request("n-0", "GET", protocol.JobPath(id), nil, back)
		if n := core.queue.Waiting(bookkeeping.RankUser); n > core.mostUserCalls()+1 {
			t.Fatalf("%d calls wait", n)
		}
		if len(core.waitingReaders) > mostReaders {
			t.Fatalf("%d polls wait", len(core.waitingReaders))
		}
	}
	c.sim.Run(10 * sec)
	total := 0
	for _, n := range answers {
		total += n
	}
	if total != 6000 || answers[201] == 0 || answers[429] == 0 || late > 0 {
		t.Errorf("answers %v, %d late", answers, late)
	}
}

// TestOutageAnswers: in an outage of the store users are told at once, a common
// outage leaves every node healthy, one that is refused alone says so.
func TestOutageAnswers(t *testing.T) {
	c := newCluster(t, 14).steady()
	_, j := c.spec()
	body := protocol.MustMarshal(j)
	c.store.Outage(20 * sec)
	c.sim.Run(5 * sec)
	for _, n := range c.names {
		if r := c.ask(n, "POST", protocol.JobsPath, body); r.Status != 503 || r.RetryAfter < 1 {
			t.Errorf("submission to %s in an outage: %+v", n, r)
		}
		if r := c.ask(n, "GET", "/healthz", nil); r.Status != 200 {
			t.Errorf("%s is unhealthy in a common outage", n)
		}
	}
	c.sim.Run(20 * sec)
	c.store.Refused["n-1"] = true
	c.sim.Run(6 * sec)
	for n, want := range map[string]int{"n-0": 200, "n-1": 503, "n-2": 200} {
		if r := c.ask(n, "GET", "/healthz", nil); r.Status != want {
			t.Errorf("%s: %d, want %d", n, r.Status, want)
		}
	}
}

// TestLateAcceptance: a submission repeated on another node while the first one's
// commit is applied late is one job.
func TestLateAcceptance(t *testing.T) {
	c := newCluster(t, 15).steady()
	id, j := c.spec()
	c.fleet.Jobs[id] = standin.JobInfo{Team: "free", CPUs: 2, Run: 2 * sec}
	body := protocol.MustMarshal(j)
	first := true
	c.store.Delay = func(txn *protocol.Txn) micros.T {
		for _, op := range txn.Then {
			if first && op.Put == bookkeeping.Key(bookkeeping.KindOpen, id) {
				first = false
				return 6 * sec
			}
		}
		return 0
	}
	if r := c.ask("n-0", "POST", protocol.JobsPath, body); r.Status != 503 {
		t.Errorf("a commit without an answer is told as %d", r.Status)
	}
	if r := c.ask("n-1", "POST", protocol.JobsPath, body); r.Status != 201 {
		t.Errorf("the retry: %d", r.Status)
	}
	c.sim.Run(8 * sec)
	c.finished(id, 60*sec)
	if n := c.fleet.Starts[id+"/0"]; n != 1 {
		t.Errorf("started %d times", n)
	}
	c.rules()
}
