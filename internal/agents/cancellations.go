package agents

import (
	"log/slog"

	"pipitgap/internal/cancellation"
	"pipitgap/internal/logging"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Cancellations synchronizes the mirror with the committed cancellations that controllers exchange, and
// decides whether that knowledge is recent enough to renew worker leases.
type Cancellations struct {
	mirror        *mirror.Mirror
	relay         *cancellation.Relay
	freshAt       func() monotime.Micros
	renewalWindow monotime.Micros
	log           *slog.Logger

	renewalSuspended bool // the state in the last log line
}

// NewCancellations starts the exchange between a controller's current incarnation and its peers. freshAt
// returns when the request was sent that last brought the mirror up to date. Leases are renewed while the
// knowledge of cancellations is younger than renewalWindow.
func NewCancellations(
	replica *mirror.Mirror,
	relay *cancellation.Relay,
	freshAt func() monotime.Micros,
	renewalWindow monotime.Micros,
	log *slog.Logger,
) *Cancellations {
	return &Cancellations{
		mirror:        replica,
		relay:         relay,
		freshAt:       freshAt,
		renewalWindow: renewalWindow,
		log:           log,
	}
}

// SuspendsLeaseRenewal reports whether heartbeats must go unanswered. Another controller may have confirmed a
// cancellation that is unknown here, so long ago that the job's tasks would outlive the cancellation deadline
// if their workers' leases were renewed now.
func (cs *Cancellations) SuspendsLeaseRenewal(now monotime.Micros) bool {
	suspended := now-cs.relay.ConfirmedUntil(cs.freshAt(), now) >= cs.renewalWindow
	if suspended != cs.renewalSuspended {
		cs.renewalSuspended = suspended
		cs.log.Info("worker lease renewal suspended", "state", logging.ConditionState(suspended))
	}
	return suspended
}

// MessagesFor returns the messages of one round for a peer. recordsLoaded says whether this incarnation of
// the controller has read all records.
func (cs *Cancellations) MessagesFor(
	peer string, now monotime.Micros, recordsLoaded bool,
) []cancellation.RoundMessage {
	return cs.relay.MessagesFor(peer, now, cs.mirror.WatchedRevision, recordsLoaded)
}

// Receive applies the cancellations in a peer's message that the mirror lacks. They are committed and
// therefore final: the workers of this controller receive commands to stop the tasks, and users see the
// result.
func (cs *Cancellations) Receive(peer string, message cancellation.RoundMessage) {
	for _, cancelled := range cs.relay.Receive(peer, message) {
		if cancelled.Revision > cs.mirror.WatchedRevision {
			cs.apply(cancelled)
		}
	}
}

// Add stores a cancellation that this controller has committed, to send it to the peers. It must be called
// before any user receives an answer that confirms the cancellation.
func (cs *Cancellations) Add(committed cancellation.Committed) { cs.relay.Add(committed) }

// Record stores the cancellation of a job, to send it to the peers, if the mirror contains one.
func (cs *Cancellations) Record(job *mirror.Job) {
	if job != nil && job.FinalState == storage.JobCancelled && job.FinalRevision != 0 {
		cs.Add(cancellation.Committed{Job: job.ID, Revision: job.FinalRevision})
	}
}

// Forget drops the cancellation of a job that has no tasks left on any machine.
func (cs *Cancellations) Forget(job string) { cs.relay.Forget(job) }

// Reconcile synchronizes the mirror and the exchange after all records have been read again. The mirror
// receives the cancellations that were committed after the read, and the exchange drops those of jobs that no
// longer exist.
func (cs *Cancellations) Reconcile() {
	for _, id := range sortedmap.Keys(cs.mirror.Jobs) {
		cs.Record(cs.mirror.Jobs[id])
	}
	cs.relay.Prune(cs.mirror.WatchedRevision, func(id string) bool {
		job := cs.mirror.Jobs[id]
		return job != nil && !job.IsOpen()
	})
	for _, cancelled := range cs.relay.CommittedAfter(cs.mirror.WatchedRevision) {
		cs.apply(cancelled)
	}
}

// apply writes a committed cancellation into the mirror ahead of the watch.
func (cs *Cancellations) apply(cancelled cancellation.Committed) {
	cs.mirror.ApplyPut(
		storage.JobResultKey(cancelled.Job),
		protocol.MustMarshal(&storage.JobResult{State: storage.JobCancelled}),
		cancelled.Revision,
	)
}
