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

// TestOverloadAnswersImmediately: if users send more requests than the rate limits of the state service
// allow, each request gets an answer within 3 s, and each rejection contains a time to retry. The number of
// waiting calls and readers remains bounded.
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
				t.Errorf(
					"job %s: got status %d with Retry-After %d, want at least 1",
					id,
					response.Status,
					response.RetryAfter,
				)
			}
			if c.sim.Now()-sentAt > 3*second {
				late++
			}
		}
		c.sendRequest("n-0", "POST", protocol.JobsPath, protocol.MustMarshal(submission), callback)
		c.sendRequest("n-0", "GET", protocol.JobPath(id), nil, callback)
		if n := controller.store.QueuedCalls(ratelimit.PriorityUserRequest); n >
			controller.api.MaxQueuedUserCalls()+1 {
			t.Fatalf(
				"got %d queued user calls, want at most %d",
				n,
				controller.api.MaxQueuedUserCalls()+1,
			)
		}
		if controller.replica.PendingReads() > api.MaxWaitingReaders {
			t.Fatalf(
				"got %d waiting readers, want at most %d",
				controller.replica.PendingReads(),
				api.MaxWaitingReaders,
			)
		}
	}
	c.sim.Run(10 * second)
	total := 0
	for _, n := range statusCounts {
		total += n
	}
	if total != 6000 || statusCounts[201] == 0 || statusCounts[429] == 0 || late > 0 {
		t.Errorf(
			"got answers by status %v, %d of them after more than 3 s; "+
				"want 6000 in total, some 201 and 429, none late",
			statusCounts,
			late,
		)
	}
}

// TestStoreOutageIsReportedAtOnce: during an outage of the state service users get an immediate answer. All
// controllers remain healthy, because the outage affects all of them. A controller is unhealthy if the state
// service rejects only its calls.
func TestStoreOutageIsReportedAtOnce(t *testing.T) {
	c := newCluster(t, 14).startWithLeader()
	_, submission := c.newSubmission()
	body := protocol.MustMarshal(submission)
	c.store.Outage(20 * second)
	c.sim.Run(5 * second)
	for _, node := range c.nodeNames {
		if response := c.requestAndWait(node, "POST", protocol.JobsPath, body); response.Status != 503 ||
			response.RetryAfter < 1 {
			t.Errorf(
				"submission to %s during an outage: got %+v, want status 503 and Retry-After of at least 1",
				node,
				response,
			)
		}
		if response := c.requestAndWait(node, "GET", "/healthz", nil); response.Status != 200 {
			t.Errorf("%s: got status %d for a health check in a general outage, want 200", node, response.Status)
		}
	}
	c.sim.Run(20 * second)
	c.store.RefusedCallers["n-1"] = true
	c.sim.Run(6 * second)
	for node, want := range map[string]int{"n-0": 200, "n-1": 503, "n-2": 200} {
		if response := c.requestAndWait(node, "GET", "/healthz", nil); response.Status != want {
			t.Errorf("%s: got status %d for a health check, want %d", node, response.Status, want)
		}
	}
}

// TestLateCommitOfRepeatedSubmissionIsOneJob: a submission whose commit is delayed and gets no answer, and
// its repetition at another controller, result in one job.
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
		t.Errorf("submission whose commit gets no answer: got status %d, want 503", response.Status)
	}
	if response := c.requestAndWait("n-1", "POST", protocol.JobsPath, body); response.Status != 201 {
		t.Errorf("repeated submission: got status %d, want 201", response.Status)
	}
	c.sim.Run(8 * second)
	c.requireFinished(id, 60*second)
	if n := c.fleet.Starts[id+"/0"]; n != 1 {
		t.Errorf("task %s/0: got %d starts, want 1", id, n)
	}
	c.requireNoViolations()
}
