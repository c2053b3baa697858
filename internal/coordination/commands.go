package coordination

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
)

// syncCommandsOfJob tells every worker of ours that has tasks of a job.
func (am *agentManager) syncCommandsOfJob(job *mirror.Job) {
	synced := map[string]bool{}
	for _, name := range sortedmap.Keys(am.c.mirror.Shards) {
		shard := am.c.mirror.Shards[name]
		entry := shard.Record.Jobs[job.ID]
		if entry == nil || !am.c.shards.Owns(shard) {
			continue
		}
		for _, held := range entry.Attempts {
			if machine := am.c.mirror.Machines[held.Machine]; !synced[held.Machine] && machine != nil &&
				am.agentOf(machine) != nil {
				synced[held.Machine] = true
				am.syncCommands(machine)
			}
		}
	}
}

// syncCommands sends a worker directly what the answer to its next heartbeat would bring.
func (am *agentManager) syncCommands(machine *mirror.Machine) {
	agent := am.agentOf(machine)
	if agent == nil || machine.Record == nil {
		return
	}
	request := agent.BeginCommandRequest(machine, am.c.mirror.Jobs, am.c.now())
	if request == nil {
		return
	}
	am.c.env.SendCommands(machine.Record.Endpoint, request, commandTimeout, func(result protocol.CommandResult) {
		agent.EndCommandRequest()
		if am.agentOf(machine) != agent {
			return // the claim has moved on
		}
		if result.Status != 200 {
			agent.RepeatCommands(request.Commands)
		}
		report := &result.Heartbeat
		if result.Status != 0 && report.Machine == machine.ID && report.Valid() && agent.IsNewer(report) {
			am.applyReport(machine, report)
		}
		if result.Status == 200 && agent.TakeResync() {
			am.syncCommands(machine)
		}
	})
}

// probeAgent asks a worker for its report. What it says is taken like any report: it
// proves nothing before the worker has seen our token. It isn't told anything yet
// if its machine was another controller's, who may still be answering it: a
// higher token would have it drop those answers and its lease would end.
func (am *agentManager) probeAgent(machine *mirror.Machine, syncAfterwards bool) {
	if machine == nil || am.agentOf(machine) == nil || machine.Record == nil {
		return
	}
	agent := am.agentOf(machine)
	am.c.env.SendCommands(machine.Record.Endpoint, nil, commandTimeout, func(result protocol.CommandResult) {
		report := &result.Heartbeat
		if am.agentOf(machine) != agent || result.Status != 200 || report.Machine != machine.ID || !report.Valid() ||
			!agent.IsNewer(report) {
			return
		}
		am.applyReport(machine, report)
		if syncAfterwards {
			am.syncCommands(machine)
		}
		am.c.scheduler.requestPass()
	})
}
