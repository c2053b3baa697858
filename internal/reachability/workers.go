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
	// silenceProbeCount is how many silent machines are probed before this controller takes itself for cut off.
	silenceProbeCount = 3
	// silenceProbeValidity is how long one answer shows that it isn't.
	silenceProbeValidity = 3 * monotime.Second
	// reconnectProbeInterval is the time between probes while the workers are unreachable.
	reconnectProbeInterval = 2 * monotime.Second
)

// WorkersUnreachable reports whether this controller is known not to reach its workers.
func (r *Reachability) WorkersUnreachable() bool { return r.workersUnreachableSince != 0 }

// WorkerReach returns whether this controller reaches its workers, as it tells its peers.
func (r *Reachability) WorkerReach() peers.WorkerReach {
	switch {
	case r.WorkersUnreachable():
		return peers.WorkersUnreachable
	case r.mostWorkersResponsive:
		return peers.WorkersReachable
	}
	return peers.WorkersUnknown
}

// UpdateReachability judges from the silence of this controller's machines whether it is cut off from them.
// The mirror must be fresh, and no pause of the process have just ended, or silence says nothing.
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

// probeSilentMachines probes a few of this controller's machines; if none answers, its workers are
// unreachable. Machines are silent too while their workers look for a controller after several have crashed,
// and each waits for seconds at one that hangs: handed over then, those just claimed again would move once
// more.
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

// ownMachines lists the machines that this controller has claimed, in the order of their names.
func (r *Reachability) ownMachines() []*mirror.Machine {
	var machines []*mirror.Machine
	for _, id := range sortedmap.Keys(r.mirror.Machines) {
		if machine := r.mirror.Machines[id]; machine.Record != nil && r.options.HasAgent(machine) {
			machines = append(machines, machine)
		}
	}
	return machines
}

// probe requests the heartbeat of a machine and reports whether it has answered.
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

// probeForReconnect probes some machine, whichever controller has claimed it, to see whether workers are
// reached again. Heartbeats that come in don't show that: copies of them come late.
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
	if machine.Record == nil { // known from a scale-out request only
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

// markWorkersUnreachable notes that this controller is cut off from its workers, and hands its shards over.
func (r *Reachability) markWorkersUnreachable(machines int) {
	if r.WorkersUnreachable() {
		return
	}
	r.workersUnreachableSince = r.env.Now()
	r.log.Info("workers unreachable", "state", logging.ConditionBegin, "machines", machines)
	r.options.HandOffShards(r.env.Now())
}

// markWorkersReachable notes that workers answer again; a pass may place tasks on them.
func (r *Reachability) markWorkersReachable() {
	r.workersUnreachableSince = 0
	r.options.RequestPass()
	r.log.Info("workers unreachable", "state", logging.ConditionEnd)
}
