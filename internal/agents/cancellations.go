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

// Cancellations keeps the mirror and the exchange of committed cancellations between controllers in step, and
// decides from that whether leases may be renewed.
type Cancellations struct {
	mirror        *mirror.Mirror
	relay         *cancellation.Relay
	freshAt       func() monotime.Micros
	renewalWindow monotime.Micros
	log           *slog.Logger

	renewalSuspended bool // as logged last
}

// NewCancellations begins the exchange of a controller's present incarnation with its peers. freshAt gives
// when the request was sent that last brought the mirror up to date; renewalWindow is up to which age of what
// is known leases are renewed.
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

// SuspendsLeaseRenewal reports whether heartbeats must go unanswered: another controller may have confirmed a
// cancellation that isn't known here, so long ago that its tasks would outlast their time if their lease were
// renewed now.
func (cs *Cancellations) SuspendsLeaseRenewal(now monotime.Micros) bool {
	suspended := now-cs.relay.ConfirmedUntil(cs.freshAt(), now) >= cs.renewalWindow
	if suspended != cs.renewalSuspended {
		cs.renewalSuspended = suspended
		cs.log.Info("worker lease renewal suspended", "state", logging.ConditionState(suspended))
	}
	return suspended
}

// MessagesFor makes a round of messages for a peer. recordsLoaded says whether all records have been read by
// this incarnation of the controller.
func (cs *Cancellations) MessagesFor(
	peer string, now monotime.Micros, recordsLoaded bool,
) []cancellation.RoundMessage {
	return cs.relay.MessagesFor(peer, now, cs.mirror.WatchedRevision, recordsLoaded)
}

// Receive takes over the cancellations in a peer's message that the mirror hasn't yet. They are committed, so
// nothing can undo them: own workers get commands to stop the tasks, and users get the result.
func (cs *Cancellations) Receive(peer string, message cancellation.RoundMessage) {
	for _, cancelled := range cs.relay.Receive(peer, message) {
		if cancelled.Revision > cs.mirror.WatchedRevision {
			cs.apply(cancelled)
		}
	}
}

// Add keeps a cancellation for the peers that this controller has committed itself. It must be called before
// any user gets an answer that confirms it.
func (cs *Cancellations) Add(committed cancellation.Committed) { cs.relay.Add(committed) }

// Record keeps a job's cancellation for the peers if the mirror holds one.
func (cs *Cancellations) Record(job *mirror.Job) {
	if job != nil && job.FinalState == storage.JobCancelled && job.FinalRevision != 0 {
		cs.Add(cancellation.Committed{Job: job.ID, Revision: job.FinalRevision})
	}
}

// Forget drops the cancellation of a job of which nothing is left on any machine.
func (cs *Cancellations) Forget(job string) { cs.relay.Forget(job) }

// Reconcile brings mirror and exchange together when all records were read anew: the mirror gets what was
// committed after they were, the exchange keeps nothing of jobs that are gone.
func (cs *Cancellations) Reconcile() {
	for _, id := range sortedmap.Keys(cs.mirror.Jobs) {
		cs.Record(cs.mirror.Jobs[id])
	}
	cs.relay.Prune(cs.mirror.WatchedRevision, func(id string) bool {
		job := cs.mirror.Jobs[id]
		return job != nil && !job.IsOpen()
	})
	for _, cancelled := range cs.relay.Since(cs.mirror.WatchedRevision) {
		cs.apply(cancelled)
	}
}

// apply brings a committed cancellation into the mirror ahead of the watch.
func (cs *Cancellations) apply(cancelled cancellation.Committed) {
	cs.mirror.ApplyPut(
		storage.JobResultKey(cancelled.Job),
		protocol.MustMarshal(&storage.JobResult{State: storage.JobCancelled}),
		cancelled.Revision,
	)
}
