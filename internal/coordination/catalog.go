package coordination

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
)

// machineCatalog holds the machine types that the cloud offers.
type machineCatalog struct {
	c *Controller

	machineTypes  map[string]protocol.MachineType
	fetchedAt     monotime.Micros
	fetchInFlight bool
	rateLimiter   ratelimit.TokenBucket
}

// fetch reads the machine types.
func (mc *machineCatalog) fetch() {
	if mc.fetchInFlight || mc.rateLimiter.WaitTime(mc.c.now(), 1) > 0 {
		return
	}
	mc.fetchInFlight = true
	mc.rateLimiter.Take(1)
	mc.c.env.CallCloud(
		&protocol.CloudCall{Op: protocol.CloudCatalog, Timeout: 3 * monotime.Second},
		func(result protocol.CloudResult) {
			mc.fetchInFlight = false
			if result.Outcome != protocol.OK || len(result.Types) == 0 {
				return
			}
			mc.fetchedAt = mc.c.now()
			types := map[string]protocol.MachineType{}
			for _, machineType := range result.Types {
				if machineType.Name != "" && machineType.CPUs > 0 && machineType.OnDemandPrice > 0 {
					types[machineType.Name] = machineType
				}
			}
			if len(types) > 0 {
				mc.machineTypes = types
				mc.c.scheduler.requestPass()
			}
		},
	)
}

// MachineTypes are the types by name; nil until they are known.
func (mc *machineCatalog) MachineTypes() map[string]protocol.MachineType { return mc.machineTypes }

// IsFetched tells whether the types are from the cloud itself, not from the records.
func (mc *machineCatalog) IsFetched() bool { return mc.fetchedAt != 0 }

// cloudRateFraction is the part of the cloud's rate limit that is used: the leader alone calls the cloud, but
// for the catalog.
const cloudRateFraction = 0.8

func newMachineCatalog(c *Controller) *machineCatalog {
	rps := c.cfg.Facts.Cloud.RPS
	return &machineCatalog{
		c:           c,
		rateLimiter: ratelimit.TokenBucket{Rate: rps * cloudRateFraction, Burst: max(1, rps)},
	}
}
