package coordination

import (
	"fmt"
	"strings"
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// TestJobsRunToCompletion: accepted jobs run on rented machines and are reported done. Afterwards all
// machines are deleted, and no records of open jobs, shards and scale-out requests remain.
func TestJobsRunToCompletion(t *testing.T) {
	cases := []struct {
		name    string
		job     jobOption
		runTime monotime.Micros
	}{
		{"one task", jobWith(), 3 * second},
		{"70 tasks", jobWith(withTasks(70), withCPUs(1)), 3 * second},
		{"420 tasks that may use spot machines", jobWith(withTasks(420), withCPUs(1), withMemoryGB(1),
			withSpot(true)), second},
		{"one zone", jobWith(withTasks(12), withOneZone(true)), 5 * second},
		{"spread", jobWith(withTasks(9), withSpread(true)), 5 * second},
		{"more tasks than the team's limit allows at once", jobWith(withTasks(20), withTeam("tight")), 2 * second},
		{"machine type and zone", jobWith(withTasks(3), withTypes("m16"), withZone("b")), 2 * second},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(i))
			c.settings.ScaleDownDelay = 0
			c.startWithLeader()
			id := c.submit(tc.runTime, tc.job)
			c.requireFinished(id, 300*second)
			c.requireNoViolations()
			if !c.sim.RunUntil(120*second, func() bool { return c.cloud.MachineCount() == 0 }) {
				t.Errorf("got %d machines 120 s after the end of the job, want 0", c.cloud.MachineCount())
			}
			c.sim.Run(60 * second)
			for _, kind := range []storage.Kind{storage.KindOpenJob, storage.KindShard, storage.KindScaleOut} {
				if keys := c.store.Keys(storage.KeyPrefix + string(kind)); len(keys) > 0 {
					t.Errorf("got remaining records %v, want none", keys)
				}
			}
		})
	}
}

// TestPlacementRespectsConstraints: tasks start only on machines that the job's constraints allow.
func TestPlacementRespectsConstraints(t *testing.T) {
	zonesOf := func(c *cluster, id string) map[string]int {
		zones := map[string]int{}
		for _, worker := range c.fleet.Workers {
			for task := range worker.Attempts {
				if strings.HasPrefix(task, id+"/") && !worker.Machine.Gone {
					zones[worker.Machine.Zone]++
				}
			}
		}
		return zones
	}
	cases := []struct {
		name  string
		job   jobOption
		check func(c *cluster, id string) string
	}{
		{"no spot machines without permission", jobWith(withTasks(6)), func(c *cluster, id string) string {
			for _, worker := range c.fleet.Workers {
				if worker.Machine.Spot && len(worker.Attempts) > 0 {
					return "a task runs on a spot machine"
				}
			}
			return ""
		}},
		{"one zone", jobWith(withTasks(30), withOneZone(true)), func(c *cluster, id string) string {
			if zones := zonesOf(c, id); len(zones) != 1 {
				return fmt.Sprint(zones)
			}
			return ""
		}},
		{"spread", jobWith(withTasks(9), withSpread(true)), func(c *cluster, id string) string {
			if zones := zonesOf(c, id); zones["a"] > 5 || zones["b"] > 5 || zones["a"]+zones["b"] != 9 {
				return fmt.Sprint(zones)
			}
			return ""
		}},
		{"zone and type", jobWith(withTasks(4), withZone("b"),
			withTypes("m16")), func(c *cluster, id string) string {
			for _, worker := range c.fleet.Workers {
				if len(worker.Attempts) > 0 && (worker.Machine.Zone != "b" || worker.Machine.Type != "m16") {
					return "a task runs on type " + worker.Machine.Type + " in zone " + worker.Machine.Zone
				}
			}
			return ""
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(100+i)).startWithLeader()
			for k := 0; k < 4; k++ { // some of these machines violate the constraints
				c.cloud.AddMachine("m8", []string{"a", "b"}[k%2], k < 2)
			}
			c.sim.Run(15 * second)
			id := c.submit(0, tc.job)
			want := newSubmission(tc.job).Tasks
			if !c.sim.RunUntil(120*second, func() bool { return c.fleet.Running(id) == want }) {
				t.Fatalf("got %d running tasks after 120 s, want %d", c.fleet.Running(id), want)
			}
			if violation := tc.check(c, id); violation != "" {
				t.Errorf("constraint violated: %s", violation)
			}
			c.requireNoViolations()
		})
	}
}

// TestUserRequestStatusCodes: the status codes of the answers to valid and invalid user requests.
func TestUserRequestStatusCodes(t *testing.T) {
	c := newCluster(t, 5).startWithLeader()
	knownID := c.submit(0, withService(true))
	_, valid := c.newSubmission()
	withField := func(field string, value any) []byte {
		fields := valid.Fields()
		fields[field] = value
		return protocol.MustMarshal(fields)
	}
	cases := []struct {
		name, method, target string
		body                 []byte
		want                 int
	}{
		{"healthy", "GET", "/healthz", nil, 200},
		{"no such path", "GET", "/v3", nil, 404},
		{"wrong method", "GET", protocol.JobsPath, nil, 405},
		{"wrong method on a job", "POST", protocol.JobPath("j-1"), nil, 405},
		{"unknown job", "GET", protocol.JobPath("j-none"), nil, 404},
		{"cancellation of an unknown job", "POST", protocol.CancelPath("j-none"), nil, 404},
		{"not MessagePack", "POST", protocol.JobsPath, []byte{0xc1}, 400},
		{"not a map", "POST", protocol.JobsPath, protocol.MustMarshal([]int{1}), 400},
		{"bad id", "POST", protocol.JobsPath, withField(protocol.FieldID, "x 1"), 400},
		{"no tasks", "POST", protocol.JobsPath, withField(protocol.FieldTasks, 0), 400},
		{"too many tasks", "POST", protocol.JobsPath, withField(protocol.FieldTasks, 100001), 400},
		{"number of tasks not an integer", "POST", protocol.JobsPath, withField(protocol.FieldTasks, 1.5), 400},
		{"negative amount", "POST", protocol.JobsPath, withField(protocol.FieldCPUs, -1.0), 400},
		{"unknown shape", "POST", protocol.JobsPath, withField(protocol.FieldShape, "ring"), 400},
		{"unknown priority", "POST", protocol.JobsPath, withField(protocol.FieldPriority, "top"), 400},
		{"unknown team", "POST", protocol.JobsPath, withField(protocol.FieldTeam, "nobody"), 422},
		{"fits no machine", "POST", protocol.JobsPath, withField(protocol.FieldCPUs, 17.0), 422},
		{"unknown machine type", "POST", protocol.JobsPath, withField(protocol.FieldTypes, []any{"m99"}), 422},
		{"unknown zone", "POST", protocol.JobsPath, withField(protocol.FieldZone, "z"), 422},
		{"empty body", "POST", protocol.JobsPath, withField(protocol.FieldID, knownID)[:0], 400},
		{"malformed heartbeat", "POST", protocol.HeartbeatPath, []byte{0x80}, 400},
	}
	for _, tc := range cases {
		if response := c.requestAndWait("n-1", tc.method, tc.target, tc.body); response.Status != tc.want {
			t.Errorf("%s: got status %d, want %d; body %s", tc.name, response.Status, tc.want, response.Body)
		}
	}
	// Every controller accepts a repeated submission with a known job ID, even if its other fields are
	// invalid.
	for _, node := range c.nodeNames {
		repeated := *valid
		repeated.ID, repeated.Team = knownID, "nobody"
		response := c.requestAndWait(node, "POST", protocol.JobsPath, protocol.MustMarshal(&repeated))
		if response.Status != 200 {
			t.Errorf("repeated submission to %s: got status %d, want 200", node, response.Status)
		}
	}
	// A team's limit must allow all replicas of a service, but only one task of an array.
	for _, tc := range []struct {
		service bool
		tasks   int
		want    int
	}{{true, 7, 422}, {true, 6, 201}, {false, 7, 201}} {
		_, submission := c.newSubmission(withTeam("tight"), withService(tc.service), withTasks(tc.tasks))
		response := c.requestAndWait("n-0", "POST", protocol.JobsPath, protocol.MustMarshal(submission))
		if response.Status != tc.want {
			t.Errorf(
				"service %v with %d tasks: got status %d, want %d",
				tc.service,
				tc.tasks,
				response.Status,
				tc.want,
			)
		}
	}
}

// TestCancelInEveryState: a job may be cancelled in any state. Its tasks end before the cancellation
// deadline, and later answers always contain the same final status as the answer to the cancellation.
func TestCancelInEveryState(t *testing.T) {
	cases := []struct {
		name    string
		delay   monotime.Micros // from the submission to the cancellation
		runTime monotime.Micros
	}{
		{"immediately", 0, 0},
		{"at about the start", 13 * second, 0},
		{"running", 30 * second, 0},
		{"at about the completion", 14500 * monotime.Millisecond, second},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(200+i)).startWithLeader()
			id := c.submit(tc.runTime, withTasks(8))
			c.sim.Run(tc.delay)
			response := c.requestAndWait("n-2", "POST", protocol.CancelPath(id), nil)
			var reply protocol.AcceptedReply
			_ = protocol.Unmarshal(response.Body, &reply)
			if response.Status != 200 ||
				reply.Status != protocol.JobCancelled && reply.Status != protocol.JobDone {
				t.Fatalf("got status %d and %+v, want 200 and cancelled or done", response.Status, reply)
			}
			if reply.Status == protocol.JobCancelled {
				c.checker.CancellationConfirmed(id)
			}
			for k := 0; k < 12; k++ {
				c.sim.Run(5 * second)
				if code, jobStatus := c.jobStatus(c.nodeNames[k%3], id); code != 200 ||
					jobStatus.Status != reply.Status {
					t.Fatalf("got status %d and %s, want 200 and %s", code, jobStatus.Status, reply.Status)
				}
			}
			if n := c.fleet.Running(id); n > 0 {
				t.Errorf("got %d running tasks of the ended job, want 0", n)
			}
			if keys := c.store.Keys(storage.KeyPrefix + string(storage.KindOpenJob)); len(keys) > 0 {
				t.Errorf("got remaining records %v, want none", keys)
			}
			c.requireNoViolations()
		})
	}
}

// TestAbortDoesNotCancelDoneJob: a cancellation that a controller commits based on an outdated mirror must
// not cancel a job that has been reported done. The commit conflicts with the job's result.
func TestAbortDoesNotCancelDoneJob(t *testing.T) {
	c := newCluster(t, 18).startWithLeader()
	id := c.submit(second)
	controller := c.nodes["n-0"].controller
	c.requireFinished(id, 60*second)
	controller.api.CommitCancellation(id, func(response Response) {
		var reply protocol.AcceptedReply
		_ = protocol.Unmarshal(response.Body, &reply)
		if reply.Status != protocol.JobDone {
			t.Errorf("got answer %+v, want status done", reply)
		}
	})
	c.sim.Run(2 * second)
	var result storage.JobResult
	if !c.store.Read(storage.Key(storage.KindJobResult, id), &result) || result.State != storage.JobDone {
		t.Errorf("got stored result %+v, want done", result)
	}
}
