package agents

import (
	"context"
	"log/slog"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

// designationPause is the minimum time between two changes of designated controllers. Each change rewrites
// the scale-out request, which makes the claims of all other machines of that request fail.
const designationPause = 2 * monotime.Second

// redirectResponse redirects a worker to a controller, or to any other controller if the name is empty.
func redirectResponse(controller string) transport.Response {
	return transport.Response{
		Status: transport.StatusMisdirected,
		Body:   protocol.MustMarshal(&protocol.Redirect{Leader: controller}),
	}
}

// HandleHeartbeat answers a worker's heartbeat, either immediately or after its machine has been claimed.
func (m *Manager) HandleHeartbeat(body []byte, respond func(transport.Response)) {
	var report protocol.Heartbeat
	if err := protocol.Unmarshal(body, &report); err != nil {
		respond(protocol.ErrorResponse(transport.StatusBadRequest, err.Error()))
		return
	}
	if !report.Valid() {
		respond(protocol.ErrorResponse(transport.StatusBadRequest, "report lacks a field"))
		return
	}
	now := m.env.Now()
	if refusal := m.leaseRefusal(now); refusal != nil {
		m.counters.LeasesRefused++
		m.log.Debug("heartbeat refused", "machine", report.Machine, "reason", refusal.reason)
		respond(refusal.response)
		return
	}
	m.dispatchHeartbeat(&report, m.logResponse(&report, respond, now), now)
}

// leaseRefusal is why this controller may renew no lease at present.
type leaseRefusal struct {
	reason   string
	response transport.Response
}

// unavailableRefusal returns a refusal with status 503.
func unavailableRefusal(reason string) *leaseRefusal {
	return &leaseRefusal{reason, protocol.ErrorResponse(transport.StatusUnavailable, reason)}
}

// leaseRefusal decides whether this controller may renew leases now. It returns nil if it may.
func (m *Manager) leaseRefusal(now monotime.Micros) *leaseRefusal {
	if peer, onlyHere := m.reachability.StoreUnreachableOnlyHere(now); onlyHere {
		return &leaseRefusal{"state service unreachable only here", redirectResponse(peer)}
	}
	if !m.replica.Ready() {
		return unavailableRefusal("records not read yet")
	}
	if m.pauses.IsStale(m.replica.FreshAt(), now) {
		// The heartbeat may have waited in this process for as long as the process was paused.
		return unavailableRefusal("stood still")
	}
	if m.cancellations.SuspendsLeaseRenewal(now) {
		return unavailableRefusal("cut off from the state service")
	}
	return nil
}

// dispatchHeartbeat answers a heartbeat according to which controller has claimed its machine.
func (m *Manager) dispatchHeartbeat(
	report *protocol.Heartbeat,
	respond func(transport.Response),
	now monotime.Micros,
) {
	machine := m.mirror.Machines[report.Machine]
	switch {
	case machine != nil && m.Has(machine) && m.shouldFailOver(m.Of(machine), now):
		respond(protocol.ErrorResponse(transport.StatusUnavailable, "cut off from all others"))
	case machine != nil && m.Has(machine):
		respond(m.answerHeartbeat(machine, report))
	case m.mirror.ScaleInOfMachine[report.Machine] != "":
		// The machine is deleted or about to be: a delayed report must not cause a new claim.
		respond(protocol.ErrorResponse(transport.StatusUnavailable, "machine is being given back"))
	case machine != nil && machine.Record != nil:
		m.handleOrphanedWorker(machine, report, respond, now)
	default:
		m.handleUnclaimedWorker(report, respond, now)
	}
}

// logResponse wraps respond so that it logs the response first, if debug logging is enabled.
func (m *Manager) logResponse(
	report *protocol.Heartbeat,
	respond func(transport.Response),
	receivedAt monotime.Micros,
) func(transport.Response) {
	if !m.log.Enabled(context.Background(), slog.LevelDebug) {
		return respond
	}
	return func(response transport.Response) {
		m.log.Debug(
			"heartbeat",
			"machine", report.Machine,
			"agent_incarnation", report.Incarnation,
			"seq", report.Sequence,
			"fencing_token", report.FencingToken,
			"tasks", len(report.Tasks),
			"status", response.Status,
			"waited_ms", (m.env.Now() - receivedAt).Milliseconds(),
		)
		respond(response)
	}
}

// shouldFailOver reports whether a worker of this controller's machine must look for another controller,
// because this one is cut off and the other controllers, if there are any, have claimed its machines. A
// worker that returns within its lease has found no other controller: this one is the only one left, or the
// zone is cut off together with it. It then answers the worker as before.
func (m *Manager) shouldFailOver(agent *Agent, now monotime.Micros) bool {
	return m.reachability.IsSuperseded(now) && agent.RedirectOnce(now, m.durations.WorkerLease)
}

// answerHeartbeat applies a heartbeat from a machine of this controller and returns the response.
func (m *Manager) answerHeartbeat(machine *mirror.Machine, report *protocol.Heartbeat) transport.Response {
	agent := m.Of(machine)
	received, ok := agent.Receive(report, m.env.Now())
	if !ok {
		return protocol.ErrorResponse(transport.StatusUnavailable, "seen before") // a delayed duplicate
	}
	if agent.IsNewer(report) {
		m.applyReport(machine, report)
	}
	reply := agent.Reply(received, machine, m.mirror.Jobs, m.durations.PlacementSilenceLimit)
	m.counters.LeasesRenewed++
	m.recordCommands(machine.ID, reply.FencingToken, reply.Commands, routeHeartbeat)
	m.checkRenewal(machine, agent, reply)
	return transport.Response{Status: transport.StatusOK, Body: protocol.MustMarshal(reply)}
}

// handleUnclaimedWorker answers a worker whose machine no controller has claimed yet.
func (m *Manager) handleUnclaimedWorker(
	report *protocol.Heartbeat,
	respond func(transport.Response),
	now monotime.Micros,
) {
	name := m.mirror.ScaleOutOfMachine[report.Machine]
	request := m.mirror.ScaleOuts[name]
	if request == nil {
		// The machine's scale-out request is not written yet, or there is none. In the latter case the leader
		// finds the machine in the cloud's list.
		respond(redirectResponse(""))
		return
	}
	designated := m.DesignatedController(request, report.Machine)
	if designated == m.node {
		m.claimNewMachine(request, report, respond)
		return
	}
	// The machine runs no task yet, so the designated controller has time to claim it.
	firstContactAt := m.recordOrphanContact(report.Machine, 0, now)
	if now-firstContactAt >= m.durations.WorkerLease/2 {
		// The worker was redirected and has returned: it cannot reach the designated controller.
		respond(redirectResponse(""))
		m.designateThisController(name, report, now)
		return
	}
	if m.membership.IsMember(designated) && !m.reachability.IsCutOffFromWorkers(designated, now) {
		respond(redirectResponse(designated))
	} else {
		respond(redirectResponse("")) // the leader is about to designate another controller
	}
}

// claimNewMachine claims a new machine that this controller is designated to claim.
func (m *Manager) claimNewMachine(
	request *mirror.ScaleOutEntry,
	report *protocol.Heartbeat,
	respond func(transport.Response),
) {
	if m.mirror.WatchedRevision < request.Version {
		respond(redirectResponse(""))
		return
	}
	m.verifyReport(report, false, func(ok bool) {
		if !ok {
			respond(redirectResponse(""))
			return
		}
		m.requestClaim(report, nil, respond)
	})
}

// designateThisController records in a scale-out request that this controller may claim a machine. Once that
// is committed, no other controller's claim of the machine can succeed.
func (m *Manager) designateThisController(
	requestName string,
	report *protocol.Heartbeat,
	now monotime.Micros,
) {
	key := storage.ScaleOutKey(requestName)
	if m.recordWrites.Contains(key) || now < m.nextDesignationChangeAt {
		return
	}
	m.recordWrites.Begin(key)
	m.nextDesignationChangeAt = now + designationPause
	m.verifyReport(report, false, func(ok bool) {
		request := m.mirror.ScaleOuts[requestName]
		if !ok || request == nil {
			m.recordWrites.End(key)
			return
		}
		record := request.Record
		record.DesignatedControllers = map[string]string{report.Machine: m.node}
		for machine, controller := range request.Record.DesignatedControllers {
			if machine != report.Machine {
				record.DesignatedControllers[machine] = controller
			}
		}
		txn := protocol.PutIfUnchanged(key, request.Version, &record)
		m.replica.Commit(ratelimit.PriorityBackground, txn, func(protocol.StoreResult) {
			m.recordWrites.End(key)
		})
	})
}
