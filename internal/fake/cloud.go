package fake

import (
	"fmt"
	"sort"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// Cloud is a stand-in for the cloud. Capacity is per type, zone and kind.
type Cloud struct {
	Clock      *SimClock
	Types      []protocol.MachineType
	Capacity   map[string]int // "type/zone/spot"
	ListLag    monotime.Micros
	BootTime   monotime.Micros
	NeverBoots map[string]bool

	Unavailable bool
	Throttling  bool // 429 for all
	// LoseRentReply has rentals carried out and their answers lost.
	LoseRentReply bool

	Machines      map[string]*Machine
	Calls         map[protocol.CloudOp]int
	RentedByName  map[string][]string
	RepeatedRents int // rentals under a name that had been answered
	machinesMade  int
	// NextEndpoint, if set, gives the address of the next machine's worker.
	NextEndpoint  func() string
	OnMachineUp   func(*Machine)
	OnMachineGone func(*Machine)
}

// Machine is a machine of the stand-in cloud.
type Machine struct {
	ID, Endpoint, Type, Zone string
	Spot                     bool
	RentedAt                 monotime.Micros
	Up, Gone                 bool
	GoneAt                   monotime.Micros
}

// NewCloud starts a cloud without machines.
func NewCloud(sim *SimClock, types []protocol.MachineType) *Cloud {
	return &Cloud{Clock: sim, Types: types, Capacity: map[string]int{}, ListLag: 3 * monotime.Second,
		BootTime: 10 * monotime.Second, NeverBoots: map[string]bool{}, Machines: map[string]*Machine{},
		Calls: map[protocol.CloudOp]int{}, RentedByName: map[string][]string{}}
}

// OfferKey names what capacity is counted by.
func OfferKey(typ, zone string, spot bool) string { return fmt.Sprintf("%s/%s/%v", typ, zone, spot) }

// Call performs a call.
func (c *Cloud) Call(call *protocol.CloudCall, back func(protocol.CloudResult)) {
	c.Clock.After(50*monotime.Millisecond, func() {
		result, lost := c.handle(call)
		if lost {
			c.Clock.After(call.Timeout, func() { back(protocol.CloudResult{}) })
			return
		}
		c.Clock.After(50*monotime.Millisecond, func() { back(result) })
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
	case protocol.CloudRent:
		request := &call.Rent
		if ids, ok := c.RentedByName[request.Name]; ok {
			c.RepeatedRents++
			return protocol.CloudResult{Outcome: protocol.OK, Rented: ids}, false
		}
		key := OfferKey(request.Type, request.Zone, request.Spot)
		n := min(request.Count, c.Capacity[key])
		if n == 0 {
			return protocol.CloudResult{Outcome: protocol.NoCapacity}, false
		}
		c.Capacity[key] -= n
		for i := 0; i < n; i++ {
			result.Rented = append(result.Rented, c.AddMachine(request.Type, request.Zone, request.Spot).ID)
		}
		c.RentedByName[request.Name] = result.Rented
		result.Outcome = protocol.OK
		return result, c.LoseRentReply
	case protocol.CloudDelete:
		for _, id := range call.Delete {
			c.RemoveMachine(id)
		}
		return protocol.CloudResult{Outcome: protocol.OK}, false
	case protocol.CloudList:
		result.Outcome = protocol.OK
		seen := c.Clock.Now() - c.ListLag
		var ids []string
		for id := range c.Machines {
			ids = append(ids, id)
		}
		sort.Strings(ids)
		for _, id := range ids {
			machine := c.Machines[id]
			if machine.RentedAt > seen || machine.Gone && machine.GoneAt <= seen {
				continue
			}
			state := "starting"
			if machine.Up {
				state = "running"
			}
			result.Listed = append(
				result.Listed,
				protocol.ListedMachine{
					ID:       id,
					Endpoint: machine.Endpoint,
					Type:     machine.Type,
					Zone:     machine.Zone,
					Spot:     machine.Spot,
					State:    state,
					AgeS:     (seen - machine.RentedAt).Seconds(),
				},
			)
		}
	}
	return result, false
}

// AddMachine rents a machine, whoever asked for it.
func (c *Cloud) AddMachine(typ, zone string, spot bool) *Machine {
	c.machinesMade++
	machine := &Machine{
		ID:       fmt.Sprintf("i-%06d", c.machinesMade),
		Type:     typ,
		Zone:     zone,
		Spot:     spot,
		RentedAt: c.Clock.Now(),
	}
	machine.Endpoint = fmt.Sprintf("10.1.%d.%d:9000", c.machinesMade/256, c.machinesMade%256)
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

// RemoveMachine takes a machine away with all that is on it.
func (c *Cloud) RemoveMachine(id string) {
	if machine := c.Machines[id]; machine != nil && !machine.Gone {
		machine.Gone, machine.GoneAt = true, c.Clock.Now()
		c.Capacity[OfferKey(machine.Type, machine.Zone, machine.Spot)]++
		c.OnMachineGone(machine)
	}
}

// MachineCount counts the machines that are there.
func (c *Cloud) MachineCount() int {
	n := 0
	for _, machine := range c.Machines {
		if !machine.Gone {
			n++
		}
	}
	return n
}
