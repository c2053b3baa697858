// Package catalog holds the machine types that the cloud offers, and fetches them from time to time within
// the rate limit of the cloud's API.
package catalog

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
)

const (
	// refreshInterval is the age at which the machine types are fetched again.
	refreshInterval = 60 * monotime.Second
	// fetchTimeout is the timeout of a fetch.
	fetchTimeout = 3 * monotime.Second
	// rateFraction is the part of the cloud's rate limit that a controller uses. Only the leader makes calls
	// other than those of the catalog.
	rateFraction = 0.8
)

// Environment makes the calls and measures the time.
type Environment interface {
	// Now reads the steady clock.
	Now() monotime.Micros
	// CallCloud makes a call of the cloud's API; the callback gets its result once.
	CallCloud(call *protocol.CloudCall, callback func(protocol.CloudResult))
}

// Options are what a Catalog is made of.
type Options struct {
	Environment       Environment
	RequestsPerSecond float64 // the rate limit of the cloud's API
	Changed           func()  // called when machine types were fetched
}

// Catalog holds the machine types. All methods and callbacks run on one goroutine.
type Catalog struct {
	env     Environment
	changed func()

	machineTypes  map[string]protocol.MachineType // by name; nil until known
	fetchedAt     monotime.Micros                 // last fetch, 0 before the first
	fetchInFlight bool
	cloudCalls    ratelimit.TokenBucket
}

// New makes a catalog that knows no machine types.
func New(options Options) *Catalog {
	rps := options.RequestsPerSecond
	return &Catalog{
		env:        options.Environment,
		changed:    options.Changed,
		cloudCalls: ratelimit.TokenBucket{Rate: rps * rateFraction, Burst: max(1, rps)},
	}
}

// MachineTypes are the types by name; nil until they are known. The map isn't changed later.
func (c *Catalog) MachineTypes() map[string]protocol.MachineType { return c.machineTypes }

// IsFetched reports whether the types are from the cloud itself, not from the records.
func (c *Catalog) IsFetched() bool { return c.fetchedAt != 0 }

// CloudCalls is the budget of all calls of the cloud's API.
func (c *Catalog) CloudCalls() *ratelimit.TokenBucket { return &c.cloudCalls }

// UseStored takes over machine types from the records if none are known: what they say still holds while the
// cloud is unavailable.
func (c *Catalog) UseStored(machineTypes map[string]protocol.MachineType) {
	if c.machineTypes == nil && len(machineTypes) > 0 {
		c.machineTypes = machineTypes
	}
}

// Refresh fetches the machine types if they are too old.
func (c *Catalog) Refresh(now monotime.Micros) {
	if !c.IsFetched() || now-c.fetchedAt > refreshInterval {
		c.Fetch()
	}
}

// Fetch fetches the machine types, unless a fetch is in flight or the budget is used up.
func (c *Catalog) Fetch() {
	if c.fetchInFlight || c.cloudCalls.WaitTime(c.env.Now(), 1) > 0 {
		return
	}
	c.fetchInFlight = true
	c.cloudCalls.Take(1)
	call := &protocol.CloudCall{Op: protocol.CloudCatalog, Timeout: fetchTimeout}
	c.env.CallCloud(call, c.handleResult)
}

// handleResult takes over the machine types that were fetched. Without a usable one the earlier stay.
func (c *Catalog) handleResult(result protocol.CloudResult) {
	c.fetchInFlight = false
	if result.Outcome != protocol.OK || len(result.Types) == 0 {
		return
	}
	c.fetchedAt = c.env.Now()
	machineTypes := map[string]protocol.MachineType{}
	for _, machineType := range result.Types {
		if isUsable(&machineType) {
			machineTypes[machineType.Name] = machineType
		}
	}
	if len(machineTypes) > 0 {
		c.machineTypes = machineTypes
		c.changed()
	}
}

// isUsable reports whether a machine type has what decisions need.
func isUsable(machineType *protocol.MachineType) bool {
	return machineType.Name != "" && machineType.CPUs > 0 && machineType.OnDemandPrice > 0
}
