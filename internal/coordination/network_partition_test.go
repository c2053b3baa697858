package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// TestIsolatedControllersAnswerUsersAndDiscardState: controllers that are cut off from the state service and
// their peers, but not from their workers, reject user requests immediately with a time to retry, and keep
// their services running for a while. After they reconnect, they apply nothing from their outdated state. The
// leader may be one of them.
func TestIsolatedControllersAnswerUsersAndDiscardState(t *testing.T) {
	for i, nodes := range [][]string{{"n-0"}, {"n-1"}, {"n-2"}, {"n-0", "n-1"}, {"n-1", "n-2"}} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			c := newCluster(t, uint64(800+i)).startWithLeader()
			service := c.submit(
				0,
				withService(true),
				withTasks(6),
				withPriority(protocol.Production),
				withCPUs(4),
			)
			array := c.submit(10*second, withTasks(40), withSpot(true))
			if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(service) == 6 }) {
				t.Fatalf("got %d running replicas of the service after 60 s, want 6", c.fleet.Running(service))
			}
			for _, node := range nodes {
				c.store.RefusedCallers[node] = true
				for _, other := range c.nodeNames {
					c.disconnectedPairs[node+"-"+other] = true
				}
			}
			c.sim.Run(5 * second)
			for _, node := range nodes {
				if response := c.requestAndWait(node, "GET", "/healthz", nil); response.Status != 503 {
					t.Errorf("%s: got status %d for a health check, want 503", node, response.Status)
				}
				_, submission := c.newSubmission()
				for _, request := range []struct {
					method, target string
					body           []byte
				}{
					{"POST", protocol.JobsPath, protocol.MustMarshal(submission)},
					{"GET", protocol.JobPath(service), nil},
					{"POST", protocol.CancelPath(service), nil},
				} {
					startedAt := c.sim.Now()
					response := c.requestAndWait(node, request.method, request.target, request.body)
					if response.Status != 503 || response.RetryAfter < 1 ||
						c.sim.Now()-startedAt > second/2 {
						t.Errorf(
							"%s: %s %s: got status %d, Retry-After %d, after %d µs, "+
								"want status 503, Retry-After of at least 1, within %d µs",
							node,
							request.method,
							request.target,
							response.Status,
							response.RetryAfter,
							c.sim.Now()-startedAt,
							second/2,
						)
					}
				}
			}
			c.sim.Run(40 * second)
			clear(c.store.RefusedCallers)
			clear(c.disconnectedPairs)
			c.requireFinished(array, 200*second)
			if !c.sim.RunUntil(60*second, func() bool { return c.fleet.Running(service) == 6 }) {
				t.Errorf("after the reconnection: got %d running replicas, want 6", c.fleet.Running(service))
			}
			c.requireNoViolations()
		})
	}
}

// TestLongWatchGapReloadsMirror: a controller that reaches the state service again after many changes reloads
// all records in bounded responses. It does not request all missed changes in one watch response, which has
// no size limit. A controller that missed few changes continues its watch.
func TestLongWatchGapReloadsMirror(t *testing.T) {
	for _, tc := range []struct {
		name   string
		jobs   int
		reload bool
	}{{"few changes", 3, false}, {"many changes", 60, true}} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 41)
			c.adjustFacts = func(cfg *config.Config) { cfg.Facts.State.ValueKB = 64 }
			c.startWithLeader()
			c.store.RefusedCallers["n-2"] = true
			for i := 0; i < tc.jobs; i++ {
				_, submission := c.newSubmission(withCPUs(0.1))
				c.requestAndWait("n-0", "POST", protocol.JobsPath, protocol.MustMarshal(submission))
			}
			c.sim.Run(15 * second)
			listsBefore := c.store.Calls[protocol.StoreList]
			c.store.LargestWatchReply = 0
			c.store.RefusedCallers["n-2"] = false
			c.sim.Run(5 * second)
			controller := c.nodes["n-2"].controller
			maxChanges := controller.replica.MaxWatchChanges()
			if got := c.store.LargestWatchReply; got > maxChanges {
				t.Errorf("largest watch response: got %d changes, want at most %d", got, maxChanges)
			}
			if reload := c.store.Calls[protocol.StoreList] > listsBefore+3; reload != tc.reload {
				t.Errorf("mirror reloaded: got %v, want %v", reload, tc.reload)
			}
			want := len(c.store.Keys(storage.Key(storage.KindOpenJob, "")))
			if got := len(controller.mirror.Jobs); got != want || want == 0 {
				t.Errorf("got %d jobs in the mirror, want %d as in the state service (not 0)", got, want)
			}
		})
	}
}

// TestUnreachableZoneKeepsMachines: the controllers keep the machines of an unreachable zone, because the
// zone may be reachable again within their leases. Machines with services are an exception: they are deleted,
// which proves that the services have ended. No machines are rented in the zone during that time, and its
// tasks continue when it is reachable again. Single unreachable machines are replaced as usual.
func TestUnreachableZoneKeepsMachines(t *testing.T) {
	for _, tc := range []struct {
		name         string
		isCutOff     func(rented *fake.Machine, i int) bool
		machinesKept bool
	}{
		{"a zone", func(rented *fake.Machine, _ int) bool { return rented.Zone == "a" }, true},
		{"two machines", func(_ *fake.Machine, i int) bool { return i < 2 }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 77)
			for k := range c.cloud.Capacity {
				c.cloud.Capacity[k] = 12
			}
			// With two controllers, each owns enough machines in the zone to judge the zone unreachable.
			c.nodeNames = c.nodeNames[:2]
			c.fleet.Controllers = c.nodeNames
			c.startWithLeader()
			jobInZoneA := map[string]bool{}
			for i := 0; i < 8; i++ {
				id := c.submitWithRetry(600*second, withTasks(8), withCPUs(4), withMemoryGB(8),
					withZone([]string{"a", "b"}[i%2]))
				jobInZoneA[id] = i%2 == 0
			}
			c.sim.Run(40 * second)
			var cutOff []*fake.Worker
			for i, id := range sortedmap.Keys(c.fleet.Workers) {
				if worker := c.fleet.Workers[id]; tc.isCutOff(worker.Machine, i) {
					cutOff = append(cutOff, worker)
					worker.Partitioned = true
					for _, node := range c.nodeNames {
						c.disconnectedPairs[id+"-"+node] = true
					}
				}
			}
			machinesBefore := map[string]bool{}
			for id := range c.cloud.Machines {
				machinesBefore[id] = true
			}
			c.sim.Run(16 * second)
			for i := 0; i < 4; i++ {
				c.submitWithRetry(5*second, withTasks(20), withCPUs(4), withMemoryGB(8))
			}
			c.sim.Run(14 * second)
			deleted, rentedInZoneA := 0, 0
			for _, worker := range cutOff {
				if worker.Machine.Gone {
					deleted++
				}
			}
			for id, rented := range c.cloud.Machines {
				if !machinesBefore[id] && rented.Zone == "a" {
					rentedInZoneA++
				}
			}
			if len(cutOff) < 2 ||
				tc.machinesKept && (deleted > 0 || rentedInZoneA > 0) ||
				!tc.machinesKept && deleted < len(cutOff) {
				t.Errorf(
					"got %d machines cut off, %d of them deleted, %d machines rented in zone a; "+
						"want at least 2 cut off, and with machines kept (%v): none deleted, none rented, "+
						"else all deleted",
					len(cutOff),
					deleted,
					rentedInZoneA,
					tc.machinesKept,
				)
			}
			for _, worker := range cutOff {
				worker.Partitioned = false
			}
			clear(c.disconnectedPairs)
			c.sim.Run(15 * second)
			for id, inZoneA := range jobInZoneA {
				if n := c.fleet.Running(id); inZoneA && tc.machinesKept && n != 8 {
					t.Errorf("job %s: got %d running tasks after the reconnection, want 8", id, n)
				}
			}
			c.requireNoViolations()
		})
	}
}
