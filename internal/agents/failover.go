package agents

import (
	"pipitgap/internal/durations"
	"pipitgap/internal/membership"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/transport"
)

const (
	// maxContactGap is the longest gap between two heartbeats of one contact. After a longer gap, the worker
	// has been with another controller in the meantime.
	maxContactGap = 20 * monotime.Second
	// contactRetention is how long a contact is kept after its last heartbeat.
	contactRetention = monotime.Minute
	// ownerStatusWait is how long the answer to a worker is delayed if the worker has lost an owner that was
	// heard recently: until the owner's next status is due. If the owner has just crashed, the workers of all
	// its machines contact this controller, and the owner is back before all of the machines could be
	// claimed.
	ownerStatusWait = durations.SlowTickInterval + 2*durations.FastTickInterval
)

// orphanContact is a series of heartbeats that a worker sends to this controller because the owner of its
// machine does not seem to answer. If the machine is unclaimed, it is a series of heartbeats from a worker
// whose machine another controller is designated to claim.
type orphanContact struct {
	firstAt, lastAt monotime.Micros
	claimNumber     uint64 // claim under which the owner held the machine; 0: unclaimed
}

// recordOrphanContact records a heartbeat from another controller's worker, and returns when the current
// contact started. A new claim starts a new contact: an owner that failed briefly and has claimed its
// machines again must have time to be found by their workers.
func (m *Manager) recordOrphanContact(
	machine string,
	claimNumber uint64,
	now monotime.Micros,
) monotime.Micros {
	contact := m.orphanContacts[machine]
	if contact == nil || now-contact.lastAt > maxContactGap || contact.claimNumber != claimNumber {
		contact = &orphanContact{firstAt: now, claimNumber: claimNumber}
		m.orphanContacts[machine] = contact
	}
	contact.lastAt = now
	return contact.firstAt
}

// expireOrphanContacts deletes the contacts whose last heartbeat is older than contactRetention.
func (m *Manager) expireOrphanContacts(now monotime.Micros) {
	for id, contact := range m.orphanContacts {
		if now-contact.lastAt > contactRetention {
			delete(m.orphanContacts, id)
		}
	}
}

// handleOrphanedWorker answers a worker whose machine another controller owns. A worker stays with a
// controller that answers it. A worker that contacts this controller has therefore lost its owner, unless its
// heartbeat is a delayed duplicate. This controller claims the machine if the owner cannot be expected to
// return within moments, and if the worker itself confirms its report.
func (m *Manager) handleOrphanedWorker(
	machine *mirror.Machine,
	report *protocol.Heartbeat,
	respond func(transport.Response),
	now monotime.Micros,
) {
	owner := machine.Owner()
	member, isMember := m.mirror.Members[owner]
	firstContactAt := m.recordOrphanContact(machine.ID, machine.Claim(), now)
	switch {
	case owner == m.node: // an earlier incarnation of this controller
		m.claimWithShard(report, respond, now)
	case !isMember:
		successor := membership.RendezvousOwner(machine.Shard.Name, m.reachability.ConnectedControllers())
		if successor != m.node {
			respond(redirectResponse(successor))
			return
		}
		m.claimWithShard(report, respond, now)
	case member.Record.Incarnation != machine.Shard.Record.Incarnation:
		respond(redirectResponse(owner)) // the owner has just restarted and is claiming its shards
	case m.peers.HasRecentStatus(owner, now):
		if m.hasLostLiveOwner(machine, report, firstContactAt, now) {
			m.takeOverAfterOwnerStatus(machine, report, respond, now)
			return
		}
		respond(redirectResponse(owner))
	case now-firstContactAt > m.durations.AdoptionDelay || m.mustAdoptBeforeLeaseEnds(owner, now):
		m.takeOverMachine(machine, report, respond)
	default:
		// The owner has crashed and may restart soon, or it is cut off and its membership will end.
		respond(redirectResponse(""))
	}
}

// claimWithShard claims the shards of failed owners, and answers a worker once its machine is claimed with
// them.
func (m *Manager) claimWithShard(
	report *protocol.Heartbeat,
	respond func(transport.Response),
	now monotime.Micros,
) {
	m.shards.ClaimOrphaned(now)
	m.requestClaim(report, nil, respond)
}

// hasLostLiveOwner reports whether a worker has lost an owner whose status was received recently. This holds
// if the worker has contacted this controller for longer than AdoptionDelay, or if the owner's claim, which
// the worker has acknowledged, is older than a worker lease. Such a worker is not sent back to the owner,
// because its lease may expire before another attempt. Otherwise the worker may be trying all controllers
// because its owner failed briefly, and it must find the owner again. The token of the owner's new claim
// alone does not prove that it has: direct commands carry that token too.
func (m *Manager) hasLostLiveOwner(
	machine *mirror.Machine,
	report *protocol.Heartbeat,
	firstContactAt, now monotime.Micros,
) bool {
	if now-firstContactAt > m.durations.AdoptionDelay {
		return true
	}
	return report.FencingToken >= baseToken(machine.Claim()) &&
		now-m.shards.ClaimObservedAt(machine.Shard.Name) > m.durations.WorkerLease
}

// takeOverAfterOwnerStatus waits for the next status of a machine's owner. It then takes the machine over if
// the owner is alive, and so has lost its worker, or if the worker's lease leaves no time to try another
// controller.
func (m *Manager) takeOverAfterOwnerStatus(
	machine *mirror.Machine,
	report *protocol.Heartbeat,
	respond func(transport.Response),
	now monotime.Micros,
) {
	owner, claimNumber := machine.Owner(), machine.Claim()
	m.env.After(ownerStatusWait, func() {
		silent := m.peers.LastStatusAt(owner) <= now
		machine := m.mirror.Machines[report.Machine]
		if silent && !m.mustAdoptBeforeLeaseEnds(owner, m.env.Now()) ||
			machine == nil || machine.Record == nil || m.Has(machine) ||
			machine.Claim() != claimNumber || machine.Owner() != owner {
			respond(redirectResponse(""))
			return
		}
		m.takeOverMachine(machine, report, respond)
	})
}

// mustAdoptBeforeLeaseEnds reports whether a worker that has lost a silent owner must be adopted now. If the
// worker tried all controllers once more, and waited for a timeout at each silent one, its lease could expire
// on the way. An owner that has been silent for longer than MembershipTTL and is still a member will not
// answer the worker's next attempt either.
func (m *Manager) mustAdoptBeforeLeaseEnds(owner string, now monotime.Micros) bool {
	fullRetryTime := durations.WorkerRetryPause
	for _, peer := range m.peerNames {
		fullRetryTime += durations.WorkerRetryPause
		if !m.peers.HasRecentStatus(peer, now) {
			fullRetryTime += durations.WorkerResponseTimeout
		}
	}
	silence := now - m.peers.LastStatusAt(owner)
	return silence > m.durations.MembershipTTL ||
		silence+fullRetryTime > m.durations.WorkerLease-m.durations.HeartbeatInterval
}

// takeOverMachine claims another controller's machine if the machine's worker itself confirms its report.
func (m *Manager) takeOverMachine(
	machine *mirror.Machine,
	report *protocol.Heartbeat,
	respond func(transport.Response),
) {
	fromShard, owner := machine.Shard, machine.Owner()
	m.verifyReport(report, true, func(ok bool) {
		if !ok {
			respond(redirectResponse(owner))
			return
		}
		m.requestClaim(report, fromShard, respond)
	})
}

// verifyReport probes a worker to confirm a report and the endpoint in it. Duplicates of a report may arrive
// late, and a machine whose heartbeats arrive may still be unreachable; neither may cause a claim. If
// requireNextSequence is true, the worker must not have sent another heartbeat in between.
func (m *Manager) verifyReport(report *protocol.Heartbeat, requireNextSequence bool, callback func(ok bool)) {
	m.env.SendCommands(
		report.Endpoint,
		nil,
		durations.WorkerProbeTimeout,
		func(result protocol.CommandResult) {
			current := &result.Heartbeat
			callback(result.OK() &&
				current.Machine == report.Machine &&
				current.Incarnation == report.Incarnation &&
				current.Sequence > report.Sequence &&
				(!requireNextSequence || current.Sequence <= report.Sequence+1))
		},
	)
}

// requestClaim requests that the next pass claims a machine, and then answers the machine's worker. fromShard
// is the shard of another controller that the machine is taken from. If it is nil, a machine that already
// belongs to a shard waits for the claim that is in progress.
func (m *Manager) requestClaim(
	report *protocol.Heartbeat,
	fromShard *mirror.Shard,
	respond func(transport.Response),
) {
	m.shards.RequestClaim(report, fromShard, func(claimed bool) {
		machine := m.mirror.Machines[report.Machine]
		switch {
		case claimed && machine != nil && m.Has(machine):
			respond(m.answerHeartbeat(machine, report))
		case machine != nil && machine.Record != nil &&
			machine.Owner() != m.node && m.membership.IsMember(machine.Owner()):
			respond(redirectResponse(machine.Owner()))
		default:
			respond(protocol.ErrorResponse(transport.StatusUnavailable, "claim not made"))
		}
	})
}
