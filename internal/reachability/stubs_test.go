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

// probe is a request to a worker that a stub has taken and not answered yet.
type probe struct {
	endpoint string
	callback func(protocol.CommandResult)
}

// world stands for all that a Reachability depends on. Probes wait until the test answers them.
type world struct {
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

// newWorld has this controller, two peers that have said nothing, and machines of this controller.
func newWorld(t *testing.T, machines int) *world {
	t.Helper()
	w := &world{
		now: testStart, random: rand.New(rand.NewPCG(1, 2)), live: []string{"n-0", testNode, "n-2"},
		lastSuccessAt: testStart, leaseRenewedAt: testStart,
		durations: durations.Derive(config.Workers{HeartbeatIntervalS: 2, LeaseS: 12, CancelWithinS: 32}),
		mirror:    mirror.New(), peerStatuses: peers.NewTable(2),
	}
	for i := range machines {
		id := fmt.Sprint("i-", i)
		w.mirror.Machines[id] = &mirror.Machine{
			ID: id, Record: &storage.ShardMachine{Endpoint: "to " + id},
		}
	}
	w.reachability = New(Options{
		Node: testNode, Peers: []string{"n-0", "n-2"}, Durations: w.durations,
		Mirror: w.mirror, PeerStatuses: w.peerStatuses, Membership: w, Store: w, Environment: w,
		Log:           slog.New(slog.DiscardHandler),
		HasAgent:      func(*mirror.Machine) bool { return true },
		HandOffShards: func(monotime.Micros) { w.handOffs++ },
		RequestPass:   func() { w.passes++ },
	})
	return w
}

func (w *world) LiveControllers() []string       { return w.live }
func (w *world) LeaseRenewedAt() monotime.Micros { return w.leaseRenewedAt }
func (w *world) Unavailable() bool               { return w.unavailable }
func (w *world) LastSuccessAt() monotime.Micros  { return w.lastSuccessAt }
func (w *world) Now() monotime.Micros            { return w.now }
func (w *world) Rand() *rand.Rand                { return w.random }

func (w *world) SendCommands(
	endpoint string, _ *protocol.CommandRequest, _ monotime.Micros, callback func(protocol.CommandResult),
) {
	w.probes = append(w.probes, probe{endpoint, callback})
}

// answerProbe answers the oldest probe: as the machine that was asked, as another, or not at all.
func (w *world) answerProbe(answer probeAnswer) {
	oldest := w.probes[0]
	w.probes = w.probes[1:]
	result := protocol.CommandResult{}
	if answer != noAnswer {
		result.Status = 200
		result.Heartbeat.Machine = oldest.endpoint[len("to "):]
	}
	if answer == anothersAnswer {
		result.Heartbeat.Machine += "0"
	}
	oldest.callback(result)
}

// probeAnswer is how a probe ends.
type probeAnswer int

const (
	noAnswer probeAnswer = iota
	ownAnswer
	anothersAnswer // another machine has the endpoint by now
)

// peerReports has a status of a peer come in now.
func (w *world) peerReports(node string, storeReachable bool, reach peers.WorkerReach) {
	w.peerStatuses.Update(
		&peers.Status{Node: node, StateServiceReachable: storeReachable, WorkerReach: reach}, w.now,
	)
}
