package fake

import (
	"fmt"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
)

// Cloud is a fake of the cloud provider. It has a separate capacity for each offer: a machine type in a zone,
// as spot or on demand.
type Cloud struct {
	Clock    *SimClock
	Types    []protocol.MachineType
	Capacity map[string]int  // machines that can still be created, by OfferKey
	ListLag  monotime.Micros // how far a list lags behind the creation and deletion of machines
	BootTime monotime.Micros
	Machines map[string]*Machine // all machines ever created, by ID
	CloudFaults
	CloudCounters

	// NextEndpoint, if set, returns the address of the worker of the next machine.
	NextEndpoint  func() string
	OnMachineUp   func(*Machine)
	OnMachineGone func(*Machine)
}

// CloudFaults are the faults that a test injects into a Cloud.
type CloudFaults struct {
	Unavailable     bool            // the cloud answers all calls with 503
	Throttling      bool            // the cloud answers all calls with 429
	LoseCreateReply bool            // the cloud creates the requested machines, but the response is lost
	NeverBoots      map[string]bool // machines that never boot, by ID
}

// CloudCounters record the calls that a Cloud has received.
type CloudCounters struct {
	Calls                  map[protocol.CloudOp]int
	CreatedByRequest       map[string][]string // IDs of the machines created, by the name of the request
	RepeatedCreateRequests int                 // requests with the name of an earlier request that created machines
}

// Machine is a machine of the fake cloud.
type Machine struct {
	ID, Endpoint, Type, Zone string
	Spot                     bool
	CreatedAt                monotime.Micros
	Up, Gone                 bool
	GoneAt                   monotime.Micros
}

// cloudLatency is the simulated one-way latency of a call to the cloud and of its response.
const cloudLatency = 50 * monotime.Millisecond

// NewCloud returns a cloud without machines and without capacity.
func NewCloud(sim *SimClock, types []protocol.MachineType) *Cloud {
	return &Cloud{
		Clock:       sim,
		Types:       types,
		Capacity:    map[string]int{},
		ListLag:     3 * monotime.Second,
		BootTime:    10 * monotime.Second,
		Machines:    map[string]*Machine{},
		CloudFaults: CloudFaults{NeverBoots: map[string]bool{}},
		CloudCounters: CloudCounters{
			Calls:            map[protocol.CloudOp]int{},
			CreatedByRequest: map[string][]string{},
		},
	}
}

// OfferKey returns the key of an offer in Cloud.Capacity: the machine type, the zone and whether it is spot.
func OfferKey(typ, zone string, spot bool) string { return fmt.Sprintf("%s/%s/%v", typ, zone, spot) }

// Call executes a call. It invokes callback exactly once. If the response is lost, callback gets a zero
// result after the call's timeout.
func (c *Cloud) Call(call *protocol.CloudCall, callback func(protocol.CloudResult)) {
	c.Clock.After(cloudLatency, func() {
		result, lost := c.handle(call)
		if lost {
			c.Clock.After(call.Timeout, func() { callback(protocol.CloudResult{}) })
			return
		}
		c.Clock.After(cloudLatency, func() { callback(result) })
	})
}

func (c *Cloud) handle(call *protocol.CloudCall) (result protocol.CloudResult, lost bool) {
	c.Calls[call.Op]++
	if c.Throttling {
		return protocol.CloudResult{Outcome: protocol.Throttled}, false
	}
	if c.Unavailable {
		return protocol.CloudResult{Outcome: protocol.Unavailable}, false
	}
	switch call.Op {
	case protocol.CloudCatalog:
		return protocol.CloudResult{Outcome: protocol.OK, Types: c.Types}, false
	case protocol.CloudCreateMachines:
		return c.createMachines(&call.Create)
	case protocol.CloudDelete:
		for _, id := range call.Delete {
			c.RemoveMachine(id)
		}
		return protocol.CloudResult{Outcome: protocol.OK}, false
	case protocol.CloudList:
		return protocol.CloudResult{Outcome: protocol.OK, Listed: c.list()}, false
	}
	return protocol.CloudResult{}, false
}

// createMachines creates the requested machines, limited by the capacity of the offer. It is idempotent: a
// request with the name of an earlier one returns the machines of the earlier one.
func (c *Cloud) createMachines(request *protocol.CreateMachinesRequest) (result protocol.CloudResult, lost bool) {
	if ids, ok := c.CreatedByRequest[request.Name]; ok {
		c.RepeatedCreateRequests++
		return protocol.CloudResult{Outcome: protocol.OK, Created: ids}, false
	}
	offer := OfferKey(request.Type, request.Zone, request.Spot)
	count := min(request.Count, c.Capacity[offer])
	if count == 0 {
		return protocol.CloudResult{Outcome: protocol.NoCapacity}, false
	}
	c.Capacity[offer] -= count
	for range count {
		result.Created = append(result.Created, c.AddMachine(request.Type, request.Zone, request.Spot).ID)
	}
	c.CreatedByRequest[request.Name] = result.Created
	result.Outcome = protocol.OK
	return result, c.LoseCreateReply
}

// list returns the machines that existed ListLag ago, in order of their IDs. Their states are the current
// ones.
func (c *Cloud) list() []protocol.ListedMachine {
	asOf := c.Clock.Now() - c.ListLag
	var listed []protocol.ListedMachine
	for _, id := range sortedmap.Keys(c.Machines) {
		machine := c.Machines[id]
		if machine.CreatedAt > asOf || machine.Gone && machine.GoneAt <= asOf {
			continue
		}
		state := "starting"
		if machine.Up {
			state = "running"
		}
		listed = append(listed, protocol.ListedMachine{
			ID:       id,
			Endpoint: machine.Endpoint,
			Type:     machine.Type,
			Zone:     machine.Zone,
			Spot:     machine.Spot,
			State:    state,
			AgeS:     (asOf - machine.CreatedAt).Seconds(),
		})
	}
	return listed
}

// AddMachine creates a machine, requested or not. The machine boots after BootTime unless NeverBoots contains
// it. AddMachine leaves Capacity unchanged.
func (c *Cloud) AddMachine(typ, zone string, spot bool) *Machine {
	number := len(c.Machines) + 1
	machine := &Machine{
		ID:        fmt.Sprintf("i-%06d", number),
		Type:      typ,
		Zone:      zone,
		Spot:      spot,
		CreatedAt: c.Clock.Now(),
	}
	machine.Endpoint = fmt.Sprintf("10.1.%d.%d:9000", number/256, number%256)
	if c.NextEndpoint != nil {
		machine.Endpoint = c.NextEndpoint()
	}
	c.Machines[machine.ID] = machine
	if !c.NeverBoots[machine.ID] {
		c.Clock.After(c.BootTime, func() {
			if !machine.Gone {
				machine.Up = true
				c.OnMachineUp(machine)
			}
		})
	}
	return machine
}

// RemoveMachine deletes a machine with all tasks on it and adds it back to the capacity of its offer.
func (c *Cloud) RemoveMachine(id string) {
	if machine := c.Machines[id]; machine != nil && !machine.Gone {
		machine.Gone, machine.GoneAt = true, c.Clock.Now()
		c.Capacity[OfferKey(machine.Type, machine.Zone, machine.Spot)]++
		c.OnMachineGone(machine)
	}
}

// MachineCount returns the number of machines that have not been deleted.
func (c *Cloud) MachineCount() int {
	n := 0
	for _, machine := range c.Machines {
		if !machine.Gone {
			n++
		}
	}
	return n
}
