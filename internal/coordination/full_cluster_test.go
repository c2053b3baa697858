package coordination

import (
	"slices"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// Machines of a full cluster, each with 8 CPUs. On each runs a large service and a small one, so that
// none has room until a small one is cancelled.
const (
	fullClusterMachines = 36
	largeServiceCPUs    = 6
	smallServiceCPUs    = 2
	// tightLimit is less than twice what a service of two small tasks uses, and leaves enough unallocated that
	// no controller lowers its share.
	tightLimit = 7
)

// newFullCluster starts a cluster without room. Values are limited to 1 KiB, so that some controller owns several
// shards. It returns the small services.
func newFullCluster(t *testing.T, seed uint64) (c *cluster, small []string) {
	c = newCluster(t, seed)
	c.teams = []config.Team{{Name: "free"}, {Name: "tight", CPUs: tightLimit, CPUsMax: tightLimit}}
	c.checker.Limits["tight"] = tightLimit
	c.adjustFacts = func(cfg *config.Config) { cfg.Facts.State.ValueKB = 1 }
	clear(c.cloud.Capacity)
	for _, zone := range []string{"a", "b"} {
		c.cloud.Capacity[fake.OfferKey("m8", zone, false)] = fullClusterMachines / 2
	}
	c.startWithLeader()
	c.fillMachines(largeServiceCPUs)
	small = c.fillMachines(smallServiceCPUs)
	c.sim.Run(second)
	return c, small
}

// fillMachines submits a service for each machine, waits until all run, and returns the services.
func (c *cluster) fillMachines(cpus float64) []string {
	c.t.Helper()
	var services []string
	for range fullClusterMachines {
		services = append(services,
			c.submit(0, withService(true), withTasks(1), withCPUs(cpus), withMemoryGB(1),
				withPriority(protocol.Production)))
	}
	running := func() bool {
		return !slices.ContainsFunc(services, func(id string) bool { return c.fleet.Running(id) == 0 })
	}
	if !c.sim.RunUntil(90*second, running) {
		c.t.Fatalf("services of %v CPUs: not all run after 90 s", cpus)
	}
	return services
}

// placeOf returns the recorded attempt of a service's only replica.
func (c *cluster) placeOf(service string) mirror.RecordedAttempt {
	c.t.Helper()
	attempts := c.nodes[c.nodeNames[0]].controller.mirror.AttemptsOf(mirror.TaskID{Job: service})
	if len(attempts) != 1 {
		c.t.Fatalf("service %s: got %d attempts, want 1", service, len(attempts))
	}
	return attempts[0]
}

// cancelAndWait cancels services and waits until none of them runs.
func (c *cluster) cancelAndWait(services ...string) {
	c.t.Helper()
	for _, id := range services {
		if status := c.requestAndWait(c.nodeNames[0], "POST", protocol.CancelPath(id), nil).Status; status != 200 {
			c.t.Fatalf("cancellation of %s: got status %d, want 200", id, status)
		}
	}
	ended := func() bool {
		return !slices.ContainsFunc(services, func(id string) bool { return c.fleet.Running(id) > 0 })
	}
	if !c.sim.RunUntil(30*second, ended) {
		c.t.Fatal("got cancelled services that still run after 30 s, want none")
	}
}

// storedShard returns the state service's version of a shard, or nil if there is none.
func (c *cluster) storedShard(key string) *storage.Shard {
	var raw protocol.Raw
	if !c.store.Read(key, &raw) {
		return nil
	}
	shard, err := storage.DecodeShard(raw, nil)
	if err != nil {
		c.t.Fatalf("shard %s: %v", key, err)
	}
	return shard
}

// shardsOf returns the number of shards that a controller owns, by the records in the state service.
func (c *cluster) shardsOf(owner string) int {
	count := 0
	for _, key := range c.store.Keys(storage.KeyPrefix + string(storage.KindShard) + "/") {
		if shard := c.storedShard(key); shard != nil && shard.Owner == owner {
			count++
		}
	}
	return count
}
