package coordination

import (
	"hash/fnv"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// agentManager owns what is known of the workers whose machines this controller has claimed.
type agentManager struct {
	c *Controller

	byMachine               map[string]*Agent          // of the machines that this controller has claimed
	nextDesignationChangeAt monotime.Micros            // when a machine's claimant may be changed again
	orphanContacts          map[string]*orphanContact  // workers of other partitions that came to us
	zoneUnreachableAt       map[string]monotime.Micros // when a zone had last fallen silent as a whole
	manySilentLogged        bool                       // many silent machines have been logged
	unloggedRemovals        map[string][]string        // machines to be removed, by reason, not yet logged
}

// AttemptID names an attempt on a machine.
type AttemptID struct {
	Task    mirror.TaskID
	Attempt uint64
}

// CommandRecord is what we have told a worker about an attempt.
type CommandRecord struct {
	RunSentAt, KillSentAt, ReapSentAt monotime.Micros
	KillToken                         uint64 // token of the first kill batch
}

// AttemptOutcome is what became of an attempt.
type AttemptOutcome uint8

const (
	OutcomeCompleted AttemptOutcome = iota // completed
	OutcomeRetry                           // gone, the task is to be run again
)

// Agent is what we know of a machine that we hold the claim on.
type Agent struct {
	ClaimNumber           uint64
	TokenCounter          uint64
	Incarnation, Sequence uint64
	ReportedAttempts      map[AttemptID]protocol.TaskStatus
	AcknowledgedToken     uint64
	ClaimAcknowledged     bool // it has seen our claim's token

	// What came as a check-in, and when. A copy of one that came before is never
	// answered: it says nothing, and its answer would renew no lease.
	LastHeartbeatIncarnation, LastHeartbeatSequence uint64
	LastHeartbeatAt                                 monotime.Micros
	// when we last answered one: its lease may run from there
	LastAnsweredAt monotime.Micros
	// when we learned of its session: that may have begun then
	IncarnationSeenAt monotime.Micros
	// when it last showed that our answers reach it
	LastReachedAt monotime.Micros
	// when it was last told to look for another controller, see shouldRedirectAway
	RedirectedAt             monotime.Micros
	RequestedToken           uint64 // the token that it must show for that
	LastAnsweredToken        uint64 // the token of our last answer
	UnacknowledgedHeartbeats int    // check-ins in a row without it
	// its lease has surely ended since LastAnsweredAt
	LeaseExpired bool

	PendingOutcomes     map[AttemptID]AttemptOutcome // not yet in the store
	SentCommands        map[AttemptID]*CommandRecord
	CommandInFlight     bool // a direct batch is in flight
	ResyncNeeded        bool // and there is more to say afterwards
	InterruptionNoticed bool
	Suspect             bool
	RemovalReason       string                        // why it is to be given back
	StoppingAttempts    map[AttemptID]bool            // preempted: to be stopped
	RunningSince        map[AttemptID]monotime.Micros // first seen running
	FailureProne        bool                          // too much failed here, see blame
	FailuresByJob       map[string]int                // by job, since something last completed here
	// how much longer than expected tasks run here: log, smoothed
	LogSlowdown     float64
	SlowdownSamples int
}

// BaseToken is the lowest fencing token of the claim under which the machine is held.
func (w *Agent) BaseToken() uint64 { return w.ClaimNumber << 32 }

// Token is the fencing token of the last batch of commands.
func (w *Agent) Token() uint64 { return w.ClaimNumber<<32 | w.TokenCounter }

// IsReachable tells whether the worker's last report showed that it takes up our
// answers. A machine that is heard needn't be one that hears.
func (w *Agent) IsReachable() bool { return w.AcknowledgedToken >= w.RequestedToken }

// CommandRecordOf gives the notes about an attempt.
func (w *Agent) CommandRecordOf(key AttemptID) *CommandRecord {
	record := w.SentCommands[key]
	if record == nil {
		record = &CommandRecord{}
		w.SentCommands[key] = record
	}
	return record
}

// RecordOutcome notes what became of an attempt until the store has it. It must not be
// forgotten before: a release that may still be applied must keep its attempt from
// being started again.
func (w *Agent) RecordOutcome(key AttemptID, outcome AttemptOutcome) {
	if _, ok := w.PendingOutcomes[key]; !ok {
		w.PendingOutcomes[key] = outcome
	}
}

// HasOutcome tells whether an attempt has an outcome on its way to the store.
func (w *Agent) HasOutcome(key AttemptID) bool {
	_, ok := w.PendingOutcomes[key]
	return ok
}

// rendezvousOwner is the live controller that a machine belongs to by rendezvous hashing.
func rendezvousOwner(machine string, controllers []string) string {
	best, node := uint64(0), ""
	for _, n := range controllers {
		h := fnv.New64a()
		_, _ = h.Write([]byte(n + "\x00" + machine))
		v := h.Sum64()
		// FNV's last bytes stir the high bits too little; finish the mix.
		v ^= v >> 33
		v *= 0xff51afd7ed558ccd
		v ^= v >> 33
		if node == "" || v > best {
			best, node = v, n
		}
	}
	return node
}

// updateAgentOwnership follows a change of the shard that a machine stands in.
func (am *agentManager) updateAgentOwnership(machine *mirror.Machine) {
	mine := machine.Shard != nil && am.c.shards.ownsShard(machine.Shard)
	switch {
	case !mine:
		delete(am.byMachine, machine.ID)
	case am.agentOf(machine) == nil || am.agentOf(machine).ClaimNumber != machine.Claim():
		now := am.c.now()
		am.byMachine[machine.ID] = &Agent{
			ClaimNumber: machine.Claim(), RequestedToken: machine.Claim() << 32, LastHeartbeatAt: now, LastAnsweredAt: now, LastReachedAt: now,
			ReportedAttempts: map[AttemptID]protocol.TaskStatus{}, PendingOutcomes: map[AttemptID]AttemptOutcome{}, SentCommands: map[AttemptID]*CommandRecord{},
			StoppingAttempts: map[AttemptID]bool{}, RunningSince: map[AttemptID]monotime.Micros{}, FailuresByJob: map[string]int{},
		}
	}
}

func newAgentManager(c *Controller) *agentManager {
	return &agentManager{
		c:                 c,
		byMachine:         map[string]*Agent{},
		orphanContacts:    map[string]*orphanContact{},
		zoneUnreachableAt: map[string]monotime.Micros{},
		unloggedRemovals:  map[string][]string{},
	}
}

// agentOf gives what is known of a machine's worker, or nil if the machine isn't claimed by this controller.
func (am *agentManager) agentOf(machine *mirror.Machine) *Agent { return am.byMachine[machine.ID] }

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
