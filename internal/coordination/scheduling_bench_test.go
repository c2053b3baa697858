package coordination

import (
	"fmt"
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/sortedmap"
)

// BenchmarkSchedulingPasses measures the parts of scheduling and autoscaling passes whose cost grows with the
// fleet. All machines of the fleet are full, and jobs are waiting.
func BenchmarkSchedulingPasses(b *testing.B) {
	for _, machines := range []int{1000, 4200} {
		c := newClusterOfSize(b, machines)
		c.start(c.nodeNames...)
		c.sim.Run(3 * second)
		c.submitLongArrays(machines)
		c.submitOpeningLoad(machines/2, machines/100, machines/20)
		c.sim.Run(45 * second)
		controller := c.leaderNode().controller
		now := c.sim.Now()
		var ownShards []*mirror.Shard
		for _, name := range sortedmap.Keys(controller.mirror.Shards) {
			if shard := controller.mirror.Shards[name]; controller.shards.Owns(shard) {
				ownShards = append(ownShards, shard)
			}
		}
		for _, part := range []struct {
			name string
			run  func()
		}{
			{"job queue order", func() { controller.scheduler.OrderedQueue() }},
			{"demand and supply", func() {
				controller.autoscaler.demandAndSupply(controller.autoscaler.snapshot(now))
			}},
			{"offers", func() { controller.autoscaler.snapshot(now).Offers(controller.drains.ClosesOffer) }},
			{"free capacity", func() { controller.scheduler.CapacityByPartition() }},
			{"shard updates", func() { controller.shards.PrepareUpdates(now) }},
			{"encoding shards", func() {
				for _, shard := range ownShards {
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
