package coordination

import (
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// networkFaults holds the faults that a test injects into the network and into controller processes.
type networkFaults struct {
	disconnectedPairs   map[string]bool // keys "machine-node" and "node-node": neither side reaches the other
	unreachableMachines map[string]bool // machines that send heartbeats, but receive no answers or commands
	mutedMachines       map[string]bool // machines that receive commands, but whose heartbeats are lost
	zonesPartitioned    bool            // no messages pass between machines or controllers of different zones
	refuseConnections   bool            // controllers that are down refuse connections instead of not answering
	// connectionReset, if not nil, contains the machines for which a controller that is down has already
	// reset a connection. It resets only the first connection of each machine. Later ones get no answer,
	// unless refuseConnections is set.
	connectionReset map[string]bool
	// disconnectionSeen, if not nil, contains the machines of which a network fault has already dropped a
	// heartbeat. Their later connections to a controller that they can't reach are refused.
	disconnectionSeen map[string]bool
	// pausedControllers contains the callbacks that each paused controller process runs when it resumes.
	pausedControllers map[string]*[]func()
}

// networkLatency is the time that a message takes between a worker and a controller, or between two
// controllers.
const networkLatency = 2 * monotime.Millisecond

// sendHeartbeat delivers a worker's heartbeat to a controller, subject to the network faults. If the
// connection is refused or reset, the callback gets status 0 after networkLatency. If there is no answer, it
// is not called.
func (c *cluster) sendHeartbeat(worker *fake.Worker, node string, body []byte, callback func(int, []byte)) {
	machine := worker.Machine.ID
	if c.cannotReach(worker, node) && c.disconnectionSeen[machine] {
		c.sim.After(networkLatency, func() { callback(0, nil) })
		return
	}
	if c.cannotReach(worker, node) || c.mutedMachines[machine] {
		if c.disconnectionSeen != nil {
			// The open connection gets no answer. New connections are refused.
			c.disconnectionSeen[machine] = true
		}
		return
	}
	if c.onHeartbeat != nil {
		c.onHeartbeat(worker, node, body)
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

// refusesConnection reports whether a controller that is down refuses or resets a machine's connection
// instead of not answering. It records the reset.
func (c *cluster) refusesConnection(machine string) bool {
	if c.connectionReset != nil && !c.connectionReset[machine] {
		c.connectionReset[machine] = true
		return true
	}
	return c.refuseConnections
}

// commandIsLost reports whether a fault prevents a controller's commands from reaching a worker.
func (c *cluster) commandIsLost(worker *fake.Worker, node string) bool {
	return worker.Partitioned || c.cannotReach(worker, node) || c.unreachableMachines[worker.Machine.ID]
}

// zoneOfController returns the zone of a controller.
func zoneOfController(node string) string {
	if node == "n-0" {
		return "a"
	}
	return "b"
}

// cannotReach reports whether a fault separates a machine and a controller from each other.
func (c *cluster) cannotReach(worker *fake.Worker, node string) bool {
	return c.disconnectedPairs[worker.Machine.ID+"-"+node] ||
		c.zonesPartitioned && worker.Machine.Zone != zoneOfController(node)
}

// runWhenResumed runs a callback immediately, or when the controller's process resumes if it is paused.
func (c *cluster) runWhenResumed(node string, callback func()) {
	if deferred := c.pausedControllers[node]; deferred != nil {
		*deferred = append(*deferred, callback)
		return
	}
	callback()
}

// pause suspends a controller's process for the given duration. The clocks keep running. Messages, answers
// and timers wait until the process resumes.
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
