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
	// maxContactGap ends a run of contacts: a worker that comes again after longer has been elsewhere.
	maxContactGap = 20 * monotime.Second
	// contactRetention is how long a contact is kept after its last heartbeat.
	contactRetention = monotime.Minute
	// ownerStatusWait is how long a worker that has lost an owner just heard is held: until the owner's next
	// status. If it has crashed just now all its machines come here, and it is back before all could be
	// moved.
	ownerStatusWait = durations.SlowTickInterval + 2*durations.FastTickInterval
)

// orphanContact is a run of heartbeats from a worker whose machine is another controller's.
type orphanContact struct {
	firstAt, lastAt monotime.Micros
	claimNumber     uint64 // under which its owner held the machine
}

// recordOrphanContact notes a heartbeat from another controller's worker, and tells when this run of them
// began. A new claim begins it anew: an owner that was gone for a moment and has claimed its machines again
// must have the time to be found by their workers.
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

// expireOrphanContacts forgets workers of other controllers that haven't come for long.
func (m *Manager) expireOrphanContacts(now monotime.Micros) {
	for id, contact := range m.orphanContacts {
		if now-contact.lastAt > contactRetention {
			delete(m.orphanContacts, id)
		}
	}
}

// handleOrphanedWorker answers a worker whose machine is another controller's. A worker stays with a
// controller that answers; one that comes here has lost its owner, unless this is a copy of an old report.
// The machine is taken over if its owner can't be the one that is back for it in a moment, and the worker
// itself confirms its report.
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
		respond(redirectResponse(owner)) // it has just come back and claims its shards
	case m.peers.HeardRecently(owner, now):
		if m.hasLostLiveOwner(machine, report, firstContactAt, now) {
			m.takeOverAfterOwnerStatus(machine, report, respond, now)
			return
		}
		respond(redirectResponse(owner))
	case now-firstContactAt > m.durations.AdoptionDelay || m.mustAdoptBeforeLeaseEnds(owner, now):
		m.takeOverMachine(machine, report, respond)
	default:
		// The owner has crashed and may be back soon, or it is cut off and its membership will end.
		respond(redirectResponse(""))
	}
}

// claimWithShard claims the shards whose owner is gone, and answers a worker once its machine came with them.
func (m *Manager) claimWithShard(
	report *protocol.Heartbeat,
	respond func(transport.Response),
	now monotime.Micros,
) {
	m.shards.ClaimOrphaned(now)
	m.requestClaim(report, nil, respond)
}

// hasLostLiveOwner reports whether a worker has lost an owner that is alive, or was a moment ago. A worker
// that has come here for long, or was the owner's for longer than a lease, isn't sent back: its lease may not
// last for another attempt. A worker that tries all controllers because its owner was gone for a moment must
// find it again. A token of the owner's new claim alone doesn't show that it did: direct commands bring one
// too.
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

// takeOverAfterOwnerStatus waits for the next status of a machine's owner, and takes the machine over if
// the owner is alive, and so has lost its worker, or if the lease leaves no time for the worker to go
// elsewhere.
func (m *Manager) takeOverAfterOwnerStatus(
	machine *mirror.Machine,
	report *protocol.Heartbeat,
	respond func(transport.Response),
	now monotime.Micros,
) {
	owner, claimNumber := machine.Owner(), machine.Claim()
	m.env.After(ownerStatusWait, func() {
		silent := m.peers.LastHeardAt(owner) <= now
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

// mustAdoptBeforeLeaseEnds reports whether a worker that has lost a silent owner must be adopted now: if it
// tries all controllers once more, waiting at each that is silent, its lease may end on the way. An owner
// that is silent for longer than memberships last and is a member all the same won't answer the worker the
// next time either.
func (m *Manager) mustAdoptBeforeLeaseEnds(owner string, now monotime.Micros) bool {
	fullRetryTime := durations.WorkerRetryPause
	for _, peer := range m.peerNames {
		fullRetryTime += durations.WorkerRetryPause
		if !m.peers.HeardRecently(peer, now) {
			fullRetryTime += durations.WorkerAnswerTimeout
		}
	}
	silence := now - m.peers.LastHeardAt(owner)
	return silence > m.durations.MembershipTTL ||
		silence+fullRetryTime > m.durations.WorkerLease-m.durations.HeartbeatInterval
}

// takeOverMachine claims a machine of another controller if its worker itself confirms its report.
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

// verifyReport probes a worker to confirm that it is where a report says. Copies of reports come late, and a
// machine may be heard that can't be reached: neither may cause a claim. requireNextSequence: no heartbeat
// may lie between.
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

// requestClaim has a machine claimed by the next pass and answers its worker after that. fromShard is the
// shard of another controller that the machine is taken from; without one, a machine that is in a shard waits
// for the claim that is on its way.
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
