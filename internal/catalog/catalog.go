// Package catalog holds the machine types that the cloud offers and refreshes them periodically within the
// rate limit of the cloud's API.
package catalog

import (
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
)

const (
	// refreshInterval is the age above which the machine types are fetched again.
	refreshInterval = 60 * monotime.Second
	// fetchTimeout is the timeout of a call that fetches the machine types.
	fetchTimeout = 3 * monotime.Second
	// rateFraction is the fraction of the cloud's rate limit that a controller uses. Controllers other than
	// the leader only fetch the catalog.
	rateFraction = 0.8
)

// Environment makes the calls and provides the clock.
type Environment interface {
	// Now reads the monotonic clock.
	Now() monotime.Micros
	// CallCloud makes a call to the cloud's API. It calls callback once, with the result.
	CallCloud(call *protocol.CloudCall, callback func(protocol.CloudResult))
}

// Options configures a Catalog.
type Options struct {
	Environment       Environment
	RequestsPerSecond float64 // the rate limit of the cloud's API
	Changed           func()  // called after usable machine types have been fetched
}

// Catalog holds the machine types. All methods and callbacks run on one goroutine.
type Catalog struct {
	env     Environment
	changed func()

	machineTypes  map[string]protocol.MachineType // by name; nil until known
	fetchedAt     monotime.Micros                 // when a fetch last returned machine types, 0 if none has
	fetchInFlight bool
	cloudCalls    ratelimit.TokenBucket
}

// New returns a catalog without machine types.
func New(options Options) *Catalog {
	rps := options.RequestsPerSecond
	return &Catalog{
		env:        options.Environment,
		changed:    options.Changed,
		cloudCalls: ratelimit.TokenBucket{Rate: rps * rateFraction, Burst: max(1, rps)},
	}
}

// MachineTypes returns the machine types by name; nil until they are known. The catalog never modifies the
// returned map.
func (c *Catalog) MachineTypes() map[string]protocol.MachineType { return c.machineTypes }

// IsFetched reports whether a fetch has returned machine types. If none of those was usable, MachineTypes still
// returns the previous types, which may be from the records.
func (c *Catalog) IsFetched() bool { return c.fetchedAt != 0 }

// CloudCalls returns the token bucket that all of this controller's calls to the cloud's API share.
func (c *Catalog) CloudCalls() *ratelimit.TokenBucket { return &c.cloudCalls }

// SetStoredTypes sets the machine types from the records if the catalog has none. Stored types remain valid while
// the cloud is unavailable.
func (c *Catalog) SetStoredTypes(machineTypes map[string]protocol.MachineType) {
	if c.machineTypes == nil && len(machineTypes) > 0 {
		c.machineTypes = machineTypes
	}
}

// Refresh fetches the machine types if no fetch has returned any yet or the last one is older than
// refreshInterval.
func (c *Catalog) Refresh(now monotime.Micros) {
	if !c.IsFetched() || now-c.fetchedAt > refreshInterval {
		c.Fetch()
	}
}

// Fetch starts to fetch the machine types unless a fetch is in flight or the rate budget is exhausted.
func (c *Catalog) Fetch() {
	if c.fetchInFlight || c.cloudCalls.WaitTime(c.env.Now(), 1) > 0 {
		return
	}
	c.fetchInFlight = true
	c.cloudCalls.Take(1)
	call := &protocol.CloudCall{Op: protocol.CloudCatalog, Timeout: fetchTimeout}
	c.env.CallCloud(call, c.handleResult)
}

// handleResult replaces the machine types by the usable ones of a fetch. If there are none, it keeps the
// previous types.
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

// isUsable reports whether a machine type has the values that decisions need: a name, CPUs and a price.
func isUsable(machineType *protocol.MachineType) bool {
	return machineType.Name != "" && machineType.CPUs > 0 && machineType.OnDemandPrice > 0
}
