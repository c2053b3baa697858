package fake

import (
	"fmt"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
)

// Cloud is a fake of the cloud. Its capacity is per machine type, zone and kind (spot or on demand).
type Cloud struct {
	Clock    *SimClock
	Types    []protocol.MachineType
	Capacity map[string]int  // by OfferKey
	ListLag  monotime.Micros // how old the answers of lists are
	BootTime monotime.Micros
	Machines map[string]*Machine // all that there have been, by ID
	CloudFaults
	CloudCounters

	// NextEndpoint, if set, gives the address of the next machine's worker.
	NextEndpoint  func() string
	OnMachineUp   func(*Machine)
	OnMachineGone func(*Machine)
}

// CloudFaults are the faults that a test injects into a Cloud.
type CloudFaults struct {
	Unavailable   bool            // all calls are answered 503
	Throttling    bool            // all calls are answered 429
	LoseRentReply bool            // rentals are carried out and their answers lost
	NeverBoots    map[string]bool // machines that never come up
}

// CloudCounters record what a Cloud has been asked for.
type CloudCounters struct {
	Calls         map[protocol.CloudOp]int
	RentedByName  map[string][]string // machines by the name of the rental
	RepeatedRents int                 // rentals under a name that had been answered
}

// Machine is a machine of the fake cloud.
type Machine struct {
	ID, Endpoint, Type, Zone string
	Spot                     bool
	CreatedAt                monotime.Micros
	Up, Gone                 bool
	GoneAt                   monotime.Micros
}

// cloudLatency is how long a call takes to the cloud, and its answer back.
const cloudLatency = 50 * monotime.Millisecond

// NewCloud makes a cloud without machines and without capacity.
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
			Calls:        map[protocol.CloudOp]int{},
			RentedByName: map[string][]string{},
		},
	}
}

// OfferKey names what capacity is counted by.
func OfferKey(typ, zone string, spot bool) string { return fmt.Sprintf("%s/%s/%v", typ, zone, spot) }

// Call performs a call. callback is called once, with a zero result at the call's timeout if the answer is lost.
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

// createMachines adds as many machines as there is capacity for; a repeated request gets the machines of the first.
func (c *Cloud) createMachines(request *protocol.CreateMachinesRequest) (result protocol.CloudResult, lost bool) {
	if ids, ok := c.RentedByName[request.Name]; ok {
		c.RepeatedRents++
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
	c.RentedByName[request.Name] = result.Created
	result.Outcome = protocol.OK
	return result, c.LoseRentReply
}

// list gives the machines as they were ListLag ago, by ID.
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

// AddMachine adds a machine, rented or not, which boots.
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

// RemoveMachine ends a machine with all that is on it and returns its capacity.
func (c *Cloud) RemoveMachine(id string) {
	if machine := c.Machines[id]; machine != nil && !machine.Gone {
		machine.Gone, machine.GoneAt = true, c.Clock.Now()
		c.Capacity[OfferKey(machine.Type, machine.Zone, machine.Spot)]++
		c.OnMachineGone(machine)
	}
}

// MachineCount counts the machines that have not gone.
func (c *Cloud) MachineCount() int {
	n := 0
	for _, machine := range c.Machines {
		if !machine.Gone {
			n++
		}
	}
	return n
}
