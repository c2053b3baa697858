package coordination

import (
	"testing"

	"pipitgap/internal/api"
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// TestOverloadAnswersImmediately: past what the store lets through, every request has an immediate
// answer with a time to come back, and what waits stays bounded.
func TestOverloadAnswersImmediately(t *testing.T) {
	c := newCluster(t, 13).startWithLeader()
	controller := c.nodes["n-0"].controller
	statusCounts := map[int]int{}
	late := 0
	for i := 0; i < 3000; i++ {
		id, submission := c.newSubmission()
		sentAt := c.sim.Now()
		callback := func(response Response) {
			statusCounts[response.Status]++
			if (response.Status == 429 || response.Status == 503) && response.RetryAfter < 1 {
				t.Error("no time to come back")
			}
			if c.sim.Now()-sentAt > 3*second {
				late++
			}
		}
		c.sendRequest("n-0", "POST", protocol.JobsPath, protocol.MustMarshal(submission), callback)
		c.sendRequest("n-0", "GET", protocol.JobPath(id), nil, callback)
		if n := controller.store.QueuedCalls(ratelimit.PriorityUserRequest); n >
			controller.api.MaxQueuedUserCalls()+1 {
			t.Fatalf("%d calls wait", n)
		}
		if controller.replica.PendingReads() > api.MaxWaitingReaders {
			t.Fatalf("%d polls wait", controller.replica.PendingReads())
		}
	}
	c.sim.Run(10 * second)
	total := 0
	for _, n := range statusCounts {
		total += n
	}
	if total != 6000 || statusCounts[201] == 0 || statusCounts[429] == 0 || late > 0 {
		t.Errorf("answers %v, %d late", statusCounts, late)
	}
}

// TestStoreOutageIsReportedAtOnce: in an outage of the store users are answered at once, a common
// outage leaves every node healthy, one that is refused alone says so.
func TestStoreOutageIsReportedAtOnce(t *testing.T) {
	c := newCluster(t, 14).startWithLeader()
	_, submission := c.newSubmission()
	body := protocol.MustMarshal(submission)
	c.store.Outage(20 * second)
	c.sim.Run(5 * second)
	for _, node := range c.nodeNames {
		if response := c.requestAndWait(node, "POST", protocol.JobsPath, body); response.Status != 503 ||
			response.RetryAfter < 1 {
			t.Errorf("submission to %s in an outage: %+v", node, response)
		}
		if response := c.requestAndWait(node, "GET", "/healthz", nil); response.Status != 200 {
			t.Errorf("%s is unhealthy in a common outage", node)
		}
	}
	c.sim.Run(20 * second)
	c.store.RefusedCallers["n-1"] = true
	c.sim.Run(6 * second)
	for node, want := range map[string]int{"n-0": 200, "n-1": 503, "n-2": 200} {
		if response := c.requestAndWait(node, "GET", "/healthz", nil); response.Status != want {
			t.Errorf("%s: %d, want %d", node, response.Status, want)
		}
	}
}

// TestLateCommitOfRepeatedSubmissionIsOneJob: a submission repeated on another node while the first one's
// commit is applied late is one job.
func TestLateCommitOfRepeatedSubmissionIsOneJob(t *testing.T) {
	c := newCluster(t, 15).startWithLeader()
	id, submission := c.newSubmission()
	c.fleet.Jobs[id] = fake.JobBehavior{Team: "free", CPUs: 2, RunTime: 2 * second}
	body := protocol.MustMarshal(submission)
	first := true
	c.store.DelayCommit = func(txn *protocol.Transaction) monotime.Micros {
		for _, operation := range txn.Then {
			if first && operation.Put == storage.Key(storage.KindOpenJob, id) {
				first = false
				return 6 * second
			}
		}
		return 0
	}
	if response := c.requestAndWait("n-0", "POST", protocol.JobsPath, body); response.Status != 503 {
		t.Errorf("a commit without an answer is answered %d", response.Status)
	}
	if response := c.requestAndWait("n-1", "POST", protocol.JobsPath, body); response.Status != 201 {
		t.Errorf("the retry: %d", response.Status)
	}
	c.sim.Run(8 * second)
	c.requireFinished(id, 60*second)
	if n := c.fleet.Starts[id+"/0"]; n != 1 {
		t.Errorf("started %d times", n)
	}
	c.requireNoViolations()
}
