package coordination

import (
	"context"
	"log/slog"

	"pipitgap/internal/agents"
	"pipitgap/internal/durations"
	"pipitgap/internal/membership"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
)

// orphanContact is a worker of another partition that came to us.
type orphanContact struct {
	firstAt, lastAt monotime.Micros
	claimNumber     uint64 // under which its owner held it
}

func (am *agentManager) redirectResponse(to string) Response {
	return Response{Status: 421, Body: protocol.MustMarshal(&protocol.Redirect{Leader: to})}
}

// handleHeartbeat answers a worker's report.
func (am *agentManager) handleHeartbeat(body []byte, respond func(Response)) {
	var report protocol.Heartbeat
	if err := protocol.Unmarshal(body, &report); err != nil {
		respond(protocol.ErrorResponse(400, err.Error()))
		return
	}
	if !report.Valid() {
		respond(protocol.ErrorResponse(400, "report lacks a field"))
		return
	}
	now := am.c.now()
	if peer, alone := am.c.reachability.StoreUnreachableOnlyHere(now); alone {
		respond(am.redirectResponse(peer))
		return
	}
	if !am.c.replica.Ready() {
		respond(protocol.ErrorResponse(503, "records not read yet"))
		return
	}
	if am.c.mirrorStale(now) {
		// It may have waited here for as long as we stood still.
		respond(protocol.ErrorResponse(503, "stood still"))
		return
	}
	if am.c.cancellations.mustSuspendLeaseRenewal(now) {
		respond(protocol.ErrorResponse(503, "cut off from the state service"))
		return
	}
	machine := am.c.mirror.Machines[report.Machine]
	if am.c.log.Enabled(context.Background(), slog.LevelDebug) {
		reply := respond
		respond = func(response Response) {
			am.c.log.Debug(
				"heartbeat",
				"machine",
				report.Machine,
				"agent_incarnation",
				report.Incarnation,
				"seq",
				report.Sequence,
				"fencing_token",
				report.FencingToken,
				"tasks",
				len(report.Tasks),
				"status",
				response.Status,
				"waited_ms",
				(am.c.now() - now).Milliseconds(),
			)
			reply(response)
		}
	}
	switch {
	case machine != nil && am.agentOf(machine) != nil && am.shouldRedirectAway(am.agentOf(machine), now):
		respond(protocol.ErrorResponse(503, "cut off from all others"))
	case machine != nil && am.agentOf(machine) != nil:
		respond(am.answerHeartbeat(machine, &report))
	case am.c.mirror.ScaleInOfMachine[report.Machine] != "":
		// Deleted, or about to be: a report that was held back on its way must not
		// bring it to life again. Tasks were assigned to such ghosts.
		respond(protocol.ErrorResponse(503, "machine is being given back"))
	case machine != nil && machine.Record != nil:
		am.handleOrphanedWorker(machine, &report, respond, now)
	default:
		am.handleUnclaimedWorker(&report, respond, now)
	}
}

// recordOrphanContact notes a worker of another partition, and tells when this run of visits began. A
// new claim begins it anew: an owner that was gone for a moment and has claimed its
// machines again must have the time to be found by them.
func (am *agentManager) recordOrphanContact(
	id string,
	claimNumber uint64,
	now monotime.Micros,
) monotime.Micros {
	contact := am.orphanContacts[id]
	if contact == nil || now-contact.lastAt > 20*monotime.Second || contact.claimNumber != claimNumber {
		contact = &orphanContact{firstAt: now, claimNumber: claimNumber}
		am.orphanContacts[id] = contact
	}
	contact.lastAt = now
	return contact.firstAt
}

// handleOrphanedWorker answers a worker whose machine is another partition's. A worker stays with a
// node that answers; one that comes to us has lost its owner, unless this is a
// copy of an old report. We take the machine over if its owner can't be the one
// who will be back for it in a moment, and the worker itself confirms its report.
func (am *agentManager) handleOrphanedWorker(
	machine *mirror.Machine,
	report *protocol.Heartbeat,
	respond func(Response),
	now monotime.Micros,
) {
	owner := machine.Owner()
	member, live := am.c.mirror.Members[owner]
	firstContactAt := am.recordOrphanContact(machine.ID, machine.Claim(), now)
	adopt := false
	switch {
	case owner == am.c.node:
		am.c.shards.ClaimOrphaned(now) // an earlier life of ours
		am.requestClaim(report, nil, respond)
		return
	case !live:
		if destination := membership.RendezvousOwner(machine.Shard.Name, am.c.reachability.ConnectedControllers()); destination != am.c.node {
			respond(am.redirectResponse(destination))
			return
		}
		am.c.shards.ClaimOrphaned(now)
		am.requestClaim(report, nil, respond)
		return
	case member.Record.Incarnation != machine.Shard.Record.Incarnation:
		respond(am.redirectResponse(owner)) // it has just come back and claims its shards
		return
	case am.c.peerStatuses.HeardRecently(owner, now):
		// It lives, or did a moment ago. A worker that had it for long and lost it
		// needn't be sent there again, its lease may not last for another round. One
		// that goes round because its owner was gone for a moment must find it: that
		// the owner has spoken to it since doesn't tell that it reports there.
		if now-firstContactAt > am.c.durations.AdoptionDelay ||
			report.FencingToken >= machine.Claim()<<32 &&
				now-am.c.shards.ClaimObservedAt(machine.Shard.Name) > am.c.durations.WorkerLease {
			// If it crashed just now, all its machines come, and it is back before they
			// would all have changed their shards: so its next word is waited for.
			claimNumber := machine.Claim()
			am.c.env.After(durations.SlowTickInterval+2*durations.FastTickInterval, func() {
				machine := am.c.mirror.Machines[report.Machine]
				silent := am.c.peerStatuses.LastHeardAt(owner) <= now
				if silent && !am.mustAdoptBeforeLeaseEnds(owner, am.c.now()) || machine == nil ||
					machine.Record == nil ||
					am.agentOf(machine) != nil ||
					machine.Claim() != claimNumber ||
					machine.Owner() != owner {
					respond(am.redirectResponse(""))
					return
				}
				am.takeOverMachine(machine, report, respond)
			})
			return
		}
	default:
		// Crashed, perhaps back in a moment; or cut off, then its membership ends.
		adopt = now-firstContactAt > am.c.durations.AdoptionDelay || am.mustAdoptBeforeLeaseEnds(owner, now)
	}
	if !adopt {
		if am.c.peerStatuses.HeardRecently(owner, now) {
			respond(am.redirectResponse(owner))
		} else {
			respond(am.redirectResponse(""))
		}
		return
	}
	am.takeOverMachine(machine, report, respond)
}

// takeOverMachine has a machine of another partition claimed by us, if its worker itself confirms
// its report.
func (am *agentManager) takeOverMachine(
	machine *mirror.Machine,
	report *protocol.Heartbeat,
	respond func(Response),
) {
	fromShard, owner := machine.Shard, machine.Owner()
	am.verifyReport(report, true, func(ok bool) {
		if !ok {
			respond(am.redirectResponse(owner))
			return
		}
		am.requestClaim(report, fromShard, respond)
	})
}

// shouldRedirectAway tells whether a worker of this controller is to look for another one: this one is cut off and
// has most likely been superseded. A worker that comes back within its lease has found nobody: then this
// controller is the one that is left, or the zone is cut off with it, and it answers as before.
func (am *agentManager) shouldRedirectAway(agent *agents.Agent, now monotime.Micros) bool {
	return am.c.reachability.IsSuperseded(now) && agent.RedirectOnce(now, am.c.durations.WorkerLease)
}

// mustAdoptBeforeLeaseEnds tells whether a worker that has lost a silent owner must be adopted now: if it
// goes round all controllers once more, waiting at each that says nothing, its lease may
// end on the way. Whoever is still a member for longer than that takes lives, but won't be
// found on another round either.
func (am *agentManager) mustAdoptBeforeLeaseEnds(owner string, now monotime.Micros) bool {
	round := durations.WorkerRetryPause
	for _, peer := range am.c.cfg.Peers {
		round += durations.WorkerRetryPause
		if !am.c.peerStatuses.HeardRecently(peer.Node, now) {
			round += durations.WorkerAnswerTimeout
		}
	}
	unheard := now - am.c.peerStatuses.LastHeardAt(owner)
	return unheard > am.c.durations.MembershipTTL ||
		unheard+round > am.c.durations.WorkerLease-am.c.durations.HeartbeatInterval
}

// verifyReport asks a worker itself whether it stands where a report says. Copies of
// reports come late, and a machine may be heard that can't be reached: neither may
// cause a claim. exact: nothing may have passed since.
func (am *agentManager) verifyReport(
	report *protocol.Heartbeat,
	requireNextSequence bool,
	callback func(ok bool),
) {
	am.c.env.SendCommands(report.Endpoint, nil, durations.WorkerProbeTimeout, func(result protocol.CommandResult) {
		current := &result.Heartbeat
		callback(
			result.Status == 200 && current.Machine == report.Machine && current.Incarnation == report.Incarnation && current.Sequence > report.Sequence &&
				(!requireNextSequence || current.Sequence <= report.Sequence+1),
		)
	})
}

// requestClaim has a machine taken into our shards by the next pass; from is the shard of
// another partition that it stands in. Without one, and in a shard already, it waits for
// the claim that is on its way.
func (am *agentManager) requestClaim(
	report *protocol.Heartbeat,
	fromShard *mirror.Shard,
	respond func(Response),
) {
	am.c.shards.RequestClaim(report, fromShard, func(ok bool) {
		if machine := am.c.mirror.Machines[report.Machine]; ok && machine != nil &&
			am.agentOf(machine) != nil {
			respond(am.answerHeartbeat(machine, report))
			return
		}
		if machine := am.c.mirror.Machines[report.Machine]; machine != nil && machine.Record != nil &&
			machine.Owner() != am.c.node &&
			am.c.membership.IsMember(machine.Owner()) {
			respond(am.redirectResponse(machine.Owner()))
			return
		}
		respond(protocol.ErrorResponse(503, "claim not made"))
	})
}

// designatedController names the controller that may claim a machine that comes up.
func (am *agentManager) designatedController(request *mirror.ScaleOutEntry, id string) string {
	if to := request.Record.Own[id]; to != "" {
		return to
	}
	return membership.RendezvousOwner(id, request.Record.Live)
}

// handleUnclaimedWorker answers a worker whose machine no part has claimed yet.
func (am *agentManager) handleUnclaimedWorker(
	report *protocol.Heartbeat,
	respond func(Response),
	now monotime.Micros,
) {
	name := am.c.mirror.ScaleOutOfMachine[report.Machine]
	request := am.c.mirror.ScaleOuts[name]
	if request == nil {
		// Its request isn't written yet, or it is one that nobody expects: the
		// leader finds it in the cloud's list.
		respond(am.redirectResponse(""))
		return
	}
	to := am.designatedController(request, report.Machine)
	if to == am.c.node {
		if am.c.mirror.WatchedRevision < request.Version {
			respond(am.redirectResponse(""))
			return
		}
		am.verifyReport(report, false, func(ok bool) {
			if !ok {
				respond(am.redirectResponse(""))
				return
			}
			am.requestClaim(report, nil, respond)
		})
		return
	}
	// It has nothing on it yet, so there is no hurry; a request that is rewritten
	// makes the claims of all its other machines fail.
	if firstContactAt := am.recordOrphanContact(report.Machine, 0, now); now-firstContactAt < am.c.durations.WorkerLease/2 {
		if am.c.membership.IsMember(to) && !am.c.reachability.IsCutOffFromWorkers(to, now) {
			respond(am.redirectResponse(to))
		} else {
			respond(am.redirectResponse("")) // the leader is about to name another
		}
		return
	}
	// It was sent there and has come back: it can't reach it. Say in the request
	// that it is ours; once that is written, nobody else's claim can follow.
	respond(am.redirectResponse(""))
	key := storage.Key(storage.KindScaleOut, name)
	if am.c.recordWritesInFlight[key] || now < am.nextDesignationChangeAt {
		return
	}
	am.nextDesignationChangeAt = now + 2*monotime.Second
	am.c.recordWritesInFlight[key] = true
	id := report.Machine
	am.verifyReport(report, false, func(ok bool) {
		request := am.c.mirror.ScaleOuts[name]
		if !ok || request == nil {
			delete(am.c.recordWritesInFlight, key)
			return
		}
		record := request.Record
		record.Own = map[string]string{id: am.c.node}
		for k, v := range request.Record.Own {
			if k != id {
				record.Own[k] = v
			}
		}
		am.c.replica.Commit(ratelimit.PriorityBackground, protocol.Transaction{
			If:   []protocol.Compare{{Key: key, Version: request.Version}},
			Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&record)}},
		}, func(protocol.StoreResult) { delete(am.c.recordWritesInFlight, key) })
	})
}

// answerHeartbeat applies a heartbeat of a worker on a machine of ours and gives the answer.
func (am *agentManager) answerHeartbeat(machine *mirror.Machine, report *protocol.Heartbeat) Response {
	agent := am.agentOf(machine)
	arrival, ok := agent.Receive(report, am.c.now())
	if !ok {
		return protocol.ErrorResponse(503, "seen before") // a late copy
	}
	if agent.IsNewer(report) {
		am.applyReport(machine, report)
	}
	reply := agent.Reply(arrival, machine, am.c.mirror.Jobs, am.c.durations.PlacementSilenceLimit)
	return Response{Status: 200, Body: protocol.MustMarshal(reply)}
}

// applyReport takes over a report that is newer than what is known.
func (am *agentManager) applyReport(machine *mirror.Machine, report *protocol.Heartbeat) {
	agent := am.agentOf(machine)
	result := agent.ApplyReport(machine, am.c.mirror.Jobs, report, am.c.now(), am.c.durations.WorkerLease)
	if result.LeaseRegained {
		am.c.log.Info("machines lost", "state", conditionEnd, "machine", machine.ID)
	}
	for _, exit := range result.Exits {
		am.c.scheduler.recordExit(machine, am.c.mirror.Jobs[exit.Task.Job], exit)
	}
	if result.HasPendingOutcomes {
		am.c.scheduler.requestPass()
	}
}
