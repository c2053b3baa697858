package coordination

import (
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// networkFaults are the faults between machines, controllers and users that a test injects.
type networkFaults struct {
	disconnectedPairs   map[string]bool // "machine-node" or "node-node" pairs that can't reach each other
	unreachableMachines map[string]bool // machines whose heartbeats arrive, but nothing reaches them
	mutedMachines       map[string]bool // machines that are reached, but whose heartbeats don't arrive
	zonesPartitioned    bool            // the zones can't reach each other
	refuseConnections   bool            // controllers that are down refuse connections
	// controllerDownSeen, if set, has the machines whose connection a controller that is down has reset:
	// their next connections to it get no answer.
	connectionReset map[string]bool
	// disconnectionSeen, if set, has the machines that got no answer through a cut: their next connections
	// are refused.
	disconnectionSeen map[string]bool
	// pausedWork has the controllers whose process is paused, with what waits for them.
	pausedControllers map[string]*[]func()
}

// networkLatency is how long a message takes between workers and controllers.
const networkLatency = 2 * monotime.Millisecond

// sendHeartbeat carries a worker's heartbeat to a controller through the network faults. back gets status 0
// at once when the connection is refused or reset, and nothing when there is no answer.
func (c *cluster) sendHeartbeat(worker *fake.Worker, node string, body []byte, callback func(int, []byte)) {
	machine := worker.Machine.ID
	if c.cannotReach(worker, node) && c.disconnectionSeen[machine] {
		c.sim.After(networkLatency, func() { callback(0, nil) })
		return
	}
	if c.cannotReach(worker, node) || c.mutedMachines[machine] {
		if c.disconnectionSeen != nil {
			// The open connection brings no answer, new ones are refused.
			c.disconnectionSeen[machine] = true
		}
		return
	}
	if c.onReport != nil {
		c.onReport(worker, node, body)
	}
	if c.nodes[node].controller == nil && c.refusesConnection(machine) {
		c.sim.After(networkLatency, func() { callback(0, nil) })
		return
	}
	c.sim.After(networkLatency, func() {
		c.sendRequest(node, "POST", protocol.HeartbeatPath, body, func(response Response) {
			if c.unreachableMachines[machine] {
				return
			}
			c.sim.After(networkLatency, func() { callback(response.Status, response.Body) })
		})
	})
}

// refusesConnection tells whether a controller that is down refuses or resets a machine's connection, rather
// than not answer.
func (c *cluster) refusesConnection(machine string) bool {
	if c.connectionReset != nil && !c.connectionReset[machine] {
		c.connectionReset[machine] = true
		return true
	}
	return c.refuseConnections
}

// commandIsLost tells whether a fault keeps a controller's commands from a worker.
func (c *cluster) commandIsLost(worker *fake.Worker, node string) bool {
	return worker.Partitioned || c.cannotReach(worker, node) || c.unreachableMachines[worker.Machine.ID]
}

// zoneOfController is the zone of a controller.
func zoneOfController(node string) string {
	if node == "n-0" {
		return "a"
	}
	return "b"
}

// cannotReach tells whether a machine and a controller can't reach each other.
func (c *cluster) cannotReach(worker *fake.Worker, node string) bool {
	return c.disconnectedPairs[worker.Machine.ID+"-"+node] ||
		c.zonesPartitioned && worker.Machine.Zone != zoneOfController(node)
}

// runWhenResumed calls f now, or when the controller's process resumes if it is paused.
func (c *cluster) runWhenResumed(node string, callback func()) {
	if deferred := c.pausedControllers[node]; deferred != nil {
		*deferred = append(*deferred, callback)
		return
	}
	callback()
}

// pause suspends a controller's process for a while: its clocks run on, and all that comes to it waits.
func (c *cluster) pause(node string, duration monotime.Micros) {
	deferred := &[]func(){}
	c.pausedControllers[node] = deferred
	c.sim.After(duration, func() {
		delete(c.pausedControllers, node)
		for _, callback := range *deferred {
			callback()
		}
	})
}
