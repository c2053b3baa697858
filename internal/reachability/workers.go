package reachability

import (
	"pipitgap/internal/durations"
	"pipitgap/internal/logging"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peers"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
)

const (
	// silenceProbeCount is the maximum number of machines that this controller probes before it considers
	// itself cut off from its workers.
	silenceProbeCount = 3
	// silenceProbeValidity is how long after a successful probe this controller sends no further probes and
	// does not consider itself cut off.
	silenceProbeValidity = 3 * monotime.Second
	// reconnectProbeInterval is the interval between probes while the workers are unreachable.
	reconnectProbeInterval = 2 * monotime.Second
)

// WorkersUnreachable reports whether this controller is known not to reach its workers.
func (r *Reachability) WorkersUnreachable() bool { return r.workersUnreachableSince != 0 }

// WorkerReach returns whether this controller reaches its workers, as its status to the peers states it.
func (r *Reachability) WorkerReach() peers.WorkerReach {
	switch {
	case r.WorkersUnreachable():
		return peers.WorkersUnreachable
	case r.mostWorkersResponsive:
		return peers.WorkersReachable
	}
	return peers.WorkersUnknown
}

// UpdateReachability determines from the silence of this controller's machines whether the controller is cut
// off from them. Callers must ensure that the mirror is fresh and that no process pause has just ended;
// otherwise the silence of machines has no significance.
func (r *Reachability) UpdateReachability(overall SilenceCount, now monotime.Micros) {
	r.mostWorkersResponsive = overall.mostResponsive()
	switch {
	case overall.IsUnreachable() && !r.WorkersUnreachable():
		r.probeSilentMachines(now)
	case r.WorkersUnreachable() && r.mostWorkersResponsive:
		r.markWorkersReachable()
	}
	if !r.WorkersUnreachable() {
		return
	}
	r.options.HandOffShards(now)
	r.probeForReconnect(now)
}

// probeSilentMachines probes up to silenceProbeCount random machines of this controller. If none responds, it
// marks the workers unreachable. Silence alone is not sufficient: after several controllers have crashed,
// workers try one controller after another and wait for seconds at each unresponsive one. A handoff at that
// time would transfer machines again that this controller has just claimed.
func (r *Reachability) probeSilentMachines(now monotime.Micros) {
	if r.silenceProbesInFlight > 0 || now-r.lastProbeSuccessAt < silenceProbeValidity {
		return
	}
	machines := r.ownMachines()
	probes := min(len(machines), silenceProbeCount)
	r.silenceProbesInFlight = probes
	reachedAny := false
	for i := range probes {
		k := i + r.env.Rand().IntN(len(machines)-i)
		machines[i], machines[k] = machines[k], machines[i]
		r.probe(machines[i], func(reached bool) {
			r.silenceProbesInFlight--
			if reached {
				reachedAny, r.lastProbeSuccessAt = true, r.env.Now()
			}
			if r.silenceProbesInFlight == 0 && !reachedAny {
				r.markWorkersUnreachable(len(machines))
			}
		})
	}
}

// ownMachines returns the machines that this controller has claimed, sorted by ID.
func (r *Reachability) ownMachines() []*mirror.Machine {
	var machines []*mirror.Machine
	for _, id := range sortedmap.Keys(r.mirror.Machines) {
		if machine := r.mirror.Machines[id]; machine.Record != nil && r.options.HasAgent(machine) {
			machines = append(machines, machine)
		}
	}
	return machines
}

// probe requests the heartbeat of a machine and reports whether that machine responded. A response from
// another machine at the same endpoint counts as a failure.
func (r *Reachability) probe(machine *mirror.Machine, callback func(reached bool)) {
	r.env.SendCommands(
		machine.Record.Endpoint,
		nil,
		durations.WorkerProbeTimeout,
		func(result protocol.CommandResult) {
			callback(result.OK() && result.Heartbeat.Machine == machine.ID)
		},
	)
}

// probeForReconnect probes a random machine of any controller to detect that workers are reachable again.
// Incoming heartbeats are no evidence of that, because delayed copies of heartbeats may arrive late.
func (r *Reachability) probeForReconnect(now monotime.Micros) {
	if now < r.nextProbeAt {
		return
	}
	r.nextProbeAt = now + reconnectProbeInterval
	ids := sortedmap.Keys(r.mirror.Machines)
	if len(ids) == 0 {
		r.markWorkersReachable()
		return
	}
	machine := r.mirror.Machines[ids[r.env.Rand().IntN(len(ids))]]
	if machine.Record == nil { // known only from a scale-out request
		r.nextProbeAt = now
		return
	}
	since := r.workersUnreachableSince
	r.probe(machine, func(reached bool) {
		if reached && r.WorkersUnreachable() && r.workersUnreachableSince == since {
			r.markWorkersReachable()
		}
	})
}

// markWorkersUnreachable records that this controller is cut off from its workers and hands off its shards.
func (r *Reachability) markWorkersUnreachable(machines int) {
	if r.WorkersUnreachable() {
		return
	}
	r.workersUnreachableSince = r.env.Now()
	r.log.Info("workers unreachable", "state", logging.ConditionBegin, "machines", machines)
	r.options.HandOffShards(r.env.Now())
}

// markWorkersReachable records that workers respond again and requests a scheduling pass, which may place
// tasks on them.
func (r *Reachability) markWorkersReachable() {
	r.workersUnreachableSince = 0
	r.options.RequestPass()
	r.log.Info("workers unreachable", "state", logging.ConditionEnd)
}
