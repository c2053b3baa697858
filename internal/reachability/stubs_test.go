package reachability

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/durations"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

const (
	testNode  = "n-1"
	testStart = 100 * monotime.Second
)

// probe is a pending request to a worker, recorded by harness.SendCommands.
type probe struct {
	endpoint string
	callback func(protocol.CommandResult)
}

// harness implements all dependencies of a Reachability. Probes stay pending until the test answers them.
type harness struct {
	now            monotime.Micros
	random         *rand.Rand
	live           []string
	leaseRenewedAt monotime.Micros
	unavailable    bool
	lastSuccessAt  monotime.Micros
	probes         []probe
	handOffs       int
	passes         int

	durations    durations.Platform
	mirror       *mirror.Mirror
	peerStatuses *peers.Table
	reachability *Reachability
}

// newHarness creates a harness with this controller, two peers that have not sent a status, and the given
// number of machines, all claimed by this controller.
func newHarness(t *testing.T, machines int) *harness {
	t.Helper()
	h := &harness{
		now: testStart, random: rand.New(rand.NewPCG(1, 2)), live: []string{"n-0", testNode, "n-2"},
		lastSuccessAt: testStart, leaseRenewedAt: testStart,
		durations: durations.Derive(config.Workers{HeartbeatIntervalS: 2, LeaseS: 12, CancelTimeoutS: 32}),
		mirror:    mirror.New(), peerStatuses: peers.NewTable(2),
	}
	for i := range machines {
		id := fmt.Sprint("i-", i)
		h.mirror.Machines[id] = &mirror.Machine{
			ID: id, Record: &storage.ShardMachine{Endpoint: "to " + id},
		}
	}
	h.reachability = New(Options{
		Node: testNode, Peers: []string{"n-0", "n-2"}, Durations: h.durations,
		Mirror: h.mirror, PeerStatuses: h.peerStatuses, Membership: h, Store: h, Environment: h,
		Log:           slog.New(slog.DiscardHandler),
		HasAgent:      func(*mirror.Machine) bool { return true },
		HandOffShards: func(monotime.Micros) { h.handOffs++ },
		RequestPass:   func() { h.passes++ },
	})
	return h
}

func (h *harness) LiveControllers() []string       { return h.live }
func (h *harness) LeaseRenewedAt() monotime.Micros { return h.leaseRenewedAt }
func (h *harness) Unavailable() bool               { return h.unavailable }
func (h *harness) LastSuccessAt() monotime.Micros  { return h.lastSuccessAt }
func (h *harness) Now() monotime.Micros            { return h.now }
func (h *harness) Rand() *rand.Rand                { return h.random }

func (h *harness) SendCommands(
	endpoint string, _ *protocol.CommandRequest, _ monotime.Micros, callback func(protocol.CommandResult),
) {
	h.probes = append(h.probes, probe{endpoint, callback})
}

// answerProbe ends the oldest probe with a response from the probed machine, a response from another machine,
// or no response.
func (h *harness) answerProbe(answer probeAnswer) {
	oldest := h.probes[0]
	h.probes = h.probes[1:]
	result := protocol.CommandResult{}
	if answer != noAnswer {
		result.Status = 200
		result.Heartbeat.Machine = oldest.endpoint[len("to "):]
	}
	if answer == otherMachineAnswer {
		result.Heartbeat.Machine += "0"
	}
	oldest.callback(result)
}

// probeAnswer is the outcome of a probe.
type probeAnswer int

const (
	noAnswer probeAnswer = iota
	probedMachineAnswer
	otherMachineAnswer // another machine now uses the endpoint
)

// receivePeerStatus records a status of a peer, received now.
func (h *harness) receivePeerStatus(node string, storeReachable bool, reach peers.WorkerReach) {
	h.peerStatuses.Update(
		&peers.Status{Node: node, StateServiceReachable: storeReachable, WorkerReach: reach}, h.now,
	)
}
