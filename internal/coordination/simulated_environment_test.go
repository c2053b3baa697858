package coordination

import (
	"encoding/json"
	"math/rand/v2"

	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
	"pipitgap/internal/protocol"
)

// simEnv is the Environment of one incarnation of a simulated controller.
type simEnv struct {
	node        *simController
	incarnation int
	random      *rand.Rand
}

// alive reports whether this incarnation of the controller is running.
func (e *simEnv) alive() bool { return e.node.incarnation == e.incarnation && e.node.controller != nil }

// whileAlive wraps a callback so that it runs only while this incarnation is running. If the controller's
// process is paused, the callback runs when the process resumes.
func (e *simEnv) whileAlive(f func()) func() {
	return func() {
		if e.alive() {
			e.node.cluster.runWhenResumed(e.node.name, func() {
				if e.alive() {
					f()
				}
			})
		}
	}
}

// reportCall passes a call to the test as JSON.
func (e *simEnv) reportCall(target string, v any) {
	if e.node.cluster.onCall != nil {
		raw, _ := json.Marshal(v)
		e.node.cluster.onCall(e.node.name + " " + target + " " + string(raw))
	}
}

// record passes a call to the recorder of a course, if a course is being recorded. See courses_test.go.
func (e *simEnv) record(kind string, text func() string) {
	if e.node.cluster.wire != nil {
		e.node.cluster.wire(e.node.name, kind, text())
	}
}

func (e *simEnv) Now() monotime.Micros { return e.node.cluster.sim.Now() }

func (e *simEnv) WallClock() int64 { return int64(e.node.cluster.sim.Now()) + 1_000_000_000_000 }

func (e *simEnv) Rand() *rand.Rand { return e.random }

func (e *simEnv) After(duration monotime.Micros, f func()) {
	e.node.cluster.sim.After(duration, e.whileAlive(f))
}

func (e *simEnv) CallStore(c *protocol.StoreCall, callback func(protocol.StoreResult)) {
	e.reportCall("store", c)
	e.record("store", func() string { return wireStoreCall(c) })
	e.node.cluster.store.Call(
		e.node.name,
		c,
		func(result protocol.StoreResult) { e.whileAlive(func() { callback(result) })() },
	)
}

func (e *simEnv) CallCloud(c *protocol.CloudCall, callback func(protocol.CloudResult)) {
	e.reportCall("cloud", c)
	e.record("cloud", func() string { return wireCloudCall(c) })
	e.node.cluster.cloud.Call(
		c,
		func(result protocol.CloudResult) { e.whileAlive(func() { callback(result) })() },
	)
}

func (e *simEnv) SendCommands(
	endpoint string,
	request *protocol.CommandRequest,
	timeout monotime.Micros,
	callback func(protocol.CommandResult),
) {
	c := e.node.cluster
	c.commandCount++
	e.reportCall(endpoint, request)
	e.record("command", func() string { return wireCommand(endpoint, request, timeout) })
	answered := false
	answer := func(result protocol.CommandResult) {
		if !answered {
			answered = true
			e.whileAlive(func() { callback(result) })()
		}
	}
	c.sim.After(timeout, func() { answer(protocol.CommandResult{}) })
	worker := c.fleet.ByEndpoint[endpoint]
	if worker == nil || worker.Machine.Gone {
		return
	}
	delay := networkLatency
	if c.commandDelay != nil {
		delay += c.commandDelay(worker, request)
	}
	execute := func() {
		result := protocol.CommandResult{Status: 200}
		if request == nil {
			result.Heartbeat = *worker.Heartbeat()
		} else {
			result = worker.Execute(request)
		}
		c.sim.After(networkLatency, func() { answer(result) })
	}
	c.sim.After(delay, func() {
		switch {
		case worker.Machine.Gone || c.commandIsLost(worker, e.node.name):
		case worker.Paused:
			worker.DeferCommand(execute)
		default:
			execute()
		}
	})
}

func (e *simEnv) SendPeerStatus(node string, status peers.Status) {
	c := e.node.cluster
	e.record("hint", func() string { return node + " " + wirePeerStatus(&status) })
	if c.disconnectedPairs[e.node.name+"-"+node] || c.disconnectedPairs[node+"-"+e.node.name] ||
		c.zonesPartitioned && zoneOfController(e.node.name) != zoneOfController(node) {
		return
	}
	frame := peers.ToFrame(&status)
	c.sim.After(networkLatency, func() {
		if receiver := c.nodes[node]; receiver.controller != nil {
			c.runWhenResumed(node, func() {
				if receiver.controller != nil {
					receiver.controller.OnPeerStatus(peers.StatusFromFrame(&frame))
				}
			})
		}
	})
}
