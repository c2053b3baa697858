package coordination

import (
	"pipitgap/internal/agents"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
)

// agentManager owns what is known of the workers whose machines this controller has claimed.
type agentManager struct {
	c *Controller

	byMachine               map[string]*agents.Agent   // of the machines that this controller has claimed
	nextDesignationChangeAt monotime.Micros            // when a machine's claimant may be changed again
	orphanContacts          map[string]*orphanContact  // workers of other partitions that came to us
	zoneUnreachableAt       map[string]monotime.Micros // when a zone had last fallen silent as a whole
	manySilentLogged        bool                       // many silent machines have been logged
	unloggedRemovals        map[string][]string        // machines to be removed, by reason, not yet logged
}

// updateAgentOwnership follows a change of the shard that a machine stands in.
func (am *agentManager) updateAgentOwnership(machine *mirror.Machine) {
	mine := machine.Shard != nil && am.c.shards.Owns(machine.Shard)
	switch {
	case !mine:
		delete(am.byMachine, machine.ID)
	case am.agentOf(machine) == nil || am.agentOf(machine).ClaimNumber() != machine.Claim():
		am.byMachine[machine.ID] = agents.New(machine.Claim(), am.c.now())
	}
}

func newAgentManager(c *Controller) *agentManager {
	return &agentManager{
		c:                 c,
		byMachine:         map[string]*agents.Agent{},
		orphanContacts:    map[string]*orphanContact{},
		zoneUnreachableAt: map[string]monotime.Micros{},
		unloggedRemovals:  map[string][]string{},
	}
}

// agentOf gives what is known of a machine's worker, or nil if the machine isn't claimed by this controller.
func (am *agentManager) agentOf(machine *mirror.Machine) *agents.Agent {
	return am.byMachine[machine.ID]
}

// release forgets the worker of a machine that no longer stands in a shard.
func (am *agentManager) release(machine string) { delete(am.byMachine, machine) }

// keepOnly forgets the workers of machines that a newly loaded mirror hasn't.
func (am *agentManager) keepOnly(loaded *mirror.Mirror) {
	for id := range am.byMachine {
		if loaded.Machines[id] == nil {
			delete(am.byMachine, id)
		}
	}
}
