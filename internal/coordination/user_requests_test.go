package coordination

import (
	"fmt"
	"strings"
	"testing"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// TestJobsRunToCompletion: jobs are accepted, machines rented, tasks run, jobs reported done, machines
// returned.
func TestJobsRunToCompletion(t *testing.T) {
	cases := []struct {
		name    string
		job     jobOption
		runTime monotime.Micros
	}{
		{"one task", jobWith(), 3 * second},
		{"more tasks than a row", jobWith(withTasks(70), withCPUs(1)), 3 * second},
		{"more rows than a commit drops", jobWith(withTasks(420), withCPUs(1), withMemoryGB(1),
			withSpot(true)), second},
		{"one zone", jobWith(withTasks(12), withOneZone(true)), 5 * second},
		{"spread", jobWith(withTasks(9), withSpread(true)), 5 * second},
		{"a team's limit", jobWith(withTasks(20), withTeam("tight")), 2 * second},
		{"a type", jobWith(withTasks(3), withTypes("m16"), withZone("b")), 2 * second},
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
				t.Errorf("%d machines were not given back", c.cloud.MachineCount())
			}
			c.sim.Run(60 * second)
			for _, kind := range []storage.Kind{storage.KindOpenJob, storage.KindShard, storage.KindScaleOut} {
				if keys := c.store.Keys(storage.KeyPrefix + string(kind)); len(keys) > 0 {
					t.Errorf("records left behind: %v", keys)
				}
			}
		})
	}
}

// TestPlacementRespectsConstraints: starts only where the job allows.
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
		{"spot only by permission", jobWith(withTasks(6)), func(c *cluster, id string) string {
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
					return "on " + worker.Machine.Type + " in " + worker.Machine.Zone
				}
			}
			return ""
		}},
	}
	for i, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(100+i)).startWithLeader()
			for k := 0; k < 4; k++ { // what is there needn't be what is allowed
				c.cloud.AddMachine("m8", []string{"a", "b"}[k%2], k < 2)
			}
			c.sim.Run(15 * second)
			id := c.submit(0, tc.job)
			want := newSubmission(tc.job).Tasks
			if !c.sim.RunUntil(120*second, func() bool { return c.fleet.Running(id) == want }) {
				t.Fatalf("%d of %d run", c.fleet.Running(id), want)
			}
			if violation := tc.check(c, id); violation != "" {
				t.Error(violation)
			}
			c.requireNoViolations()
		})
	}
}

// TestUserRequestStatusCodes: the answers of the users' interface.
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
		{"abort of an unknown job", "POST", protocol.CancelPath("j-none"), nil, 404},
		{"not MessagePack", "POST", protocol.JobsPath, []byte{0xc1}, 400},
		{"not a map", "POST", protocol.JobsPath, protocol.MustMarshal([]int{1}), 400},
		{"bad id", "POST", protocol.JobsPath, withField(protocol.FieldID, "x 1"), 400},
		{"no tasks", "POST", protocol.JobsPath, withField(protocol.FieldTasks, 0), 400},
		{"too many tasks", "POST", protocol.JobsPath, withField(protocol.FieldTasks, 100001), 400},
		{"tasks not whole", "POST", protocol.JobsPath, withField(protocol.FieldTasks, 1.5), 400},
		{"negative amount", "POST", protocol.JobsPath, withField(protocol.FieldCPUs, -1.0), 400},
		{"unknown shape", "POST", protocol.JobsPath, withField(protocol.FieldShape, "ring"), 400},
		{"unknown rank", "POST", protocol.JobsPath, withField(protocol.FieldPriority, "top"), 400},
		{"unknown team", "POST", protocol.JobsPath, withField(protocol.FieldTeam, "nobody"), 422},
		{"fits no machine", "POST", protocol.JobsPath, withField(protocol.FieldCPUs, 17.0), 422},
		{"type that isn't", "POST", protocol.JobsPath, withField(protocol.FieldTypes, []any{"m99"}), 422},
		{"zone that isn't", "POST", protocol.JobsPath, withField(protocol.FieldZone, "z"), 422},
		{"known id, invalid now", "POST", protocol.JobsPath, withField(protocol.FieldID, knownID)[:0], 400},
		{"malformed heartbeat", "POST", protocol.HeartbeatPath, []byte{0x80}, 400},
	}
	for _, tc := range cases {
		if response := c.requestAndWait("n-1", tc.method, tc.target, tc.body); response.Status != tc.want {
			t.Errorf("%s: %d, want %d: %s", tc.name, response.Status, tc.want, response.Body)
		}
	}
	// A known job is known whatever its repeated submission looks like, on any node.
	for _, node := range c.nodeNames {
		repeated := *valid
		repeated.ID, repeated.Team = knownID, "nobody"
		response := c.requestAndWait(node, "POST", protocol.JobsPath, protocol.MustMarshal(&repeated))
		if response.Status != 200 {
			t.Errorf("repeated submission on %s: %d", node, response.Status)
		}
	}
	// A team's limit: all replicas of a service, one task of an array.
	for _, tc := range []struct {
		service bool
		tasks   int
		want    int
	}{{true, 7, 422}, {true, 6, 201}, {false, 7, 201}} {
		_, submission := c.newSubmission(withTeam("tight"), withService(tc.service), withTasks(tc.tasks))
		response := c.requestAndWait("n-0", "POST", protocol.JobsPath, protocol.MustMarshal(submission))
		if response.Status != tc.want {
			t.Errorf("service %v of %d: %d, want %d", tc.service, tc.tasks, response.Status, tc.want)
		}
	}
}

// TestCancelInEveryState: a job cancelled in any state is gone in time and never reported otherwise.
func TestCancelInEveryState(t *testing.T) {
	cases := []struct {
		name    string
		delay   monotime.Micros // before the abort
		runTime monotime.Micros
	}{
		{"at once", 0, 0},
		{"racing the start", 13 * second, 0},
		{"running", 30 * second, 0},
		{"racing done", 14500 * monotime.Millisecond, second},
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
				t.Fatalf("%d %+v", response.Status, reply)
			}
			if reply.Status == protocol.JobCancelled {
				c.checker.CancellationConfirmed(id)
			}
			for k := 0; k < 12; k++ {
				c.sim.Run(5 * second)
				if code, jobStatus := c.jobStatus(c.nodeNames[k%3], id); code != 200 ||
					jobStatus.Status != reply.Status {
					t.Fatalf("answered %s, then %d %s", reply.Status, code, jobStatus.Status)
				}
			}
			if n := c.fleet.Running(id); n > 0 {
				t.Errorf("%d tasks of a job that is over", n)
			}
			if keys := c.store.Keys(storage.KeyPrefix + string(storage.KindOpenJob)); len(keys) > 0 {
				t.Errorf("left behind: %v", keys)
			}
			c.requireNoViolations()
		})
	}
}

// TestAbortDoesNotCancelDoneJob: an abort decided on an outdated mirror must not cancel a job
// that has been called done.
func TestAbortDoesNotCancelDoneJob(t *testing.T) {
	c := newCluster(t, 18).startWithLeader()
	id := c.submit(second)
	controller := c.nodes["n-0"].controller
	c.requireFinished(id, 60*second)
	controller.api.CommitCancellation(id, func(response Response) {
		var reply protocol.AcceptedReply
		_ = protocol.Unmarshal(response.Body, &reply)
		if reply.Status != protocol.JobDone {
			t.Errorf("answered %+v", reply)
		}
	})
	c.sim.Run(2 * second)
	var result storage.JobResult
	if !c.store.Read(storage.Key(storage.KindJobResult, id), &result) || result.State != storage.JobDone {
		t.Errorf("the store holds %+v", result)
	}
}
