package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/sortedmap"
)

// BenchmarkSchedulingPasses measures the parts of the passes that grow with the fleet, in a full
// fleet with jobs that wait.
func BenchmarkSchedulingPasses(b *testing.B) {
	for _, machines := range []int{1000, 4200} {
		c := newClusterOfSize(b, machines)
		c.start(c.nodeNames...)
		c.sim.Run(3 * second)
		c.submitLongArrays(machines)
		c.submitOpeningLoad(machines/2, machines/100, machines/20)
		c.sim.Run(45 * second)
		core := c.leaderNode().controller
		now := c.sim.Now()
		var own []*mirror.Shard
		for _, name := range sortedmap.Keys(core.mirror.Shards) {
			if shard := core.mirror.Shards[name]; core.shards.Owns(shard) {
				own = append(own, shard)
			}
		}
		for _, part := range []struct {
			name string
			run  func()
		}{
			{"order of jobs", func() { core.scheduler.OrderedQueue() }},
			{"demand and room", func() { core.autoscaler.demandAndSupply(core.autoscaler.snapshot(now)) }},
			{"offers", func() { core.autoscaler.snapshot(now).Offers(core.drains.ClosesOffer) }},
			{"free capacity", func() { core.scheduler.CapacityByPartition() }},
			{"shard updates", func() { core.shards.PrepareUpdates(now) }},
			{"encoding shards", func() {
				for _, shard := range own {
					shard.Record.Encode()
				}
			}},
		} {
			b.Run(fmt.Sprintf("%s/%d", part.name, machines), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					part.run()
				}
			})
		}
	}
}
