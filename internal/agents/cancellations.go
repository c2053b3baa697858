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

// Cancellations is the only place where a controller learns of committed cancellations and decides what
// follows from that knowledge: whether a user may be told of a cancellation, and whether worker leases may be
// renewed. It keeps the mirror and the exchange between controllers in step.
type Cancellations struct {
	mirror        *mirror.Mirror
	relay         *cancellation.Relay
	freshAt       func() monotime.Micros
	renewalWindow monotime.Micros
	log           *slog.Logger

	renewalSuspended bool // the state in the last log line
	learned          map[cancellation.Source]int
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
		learned:       map[cancellation.Source]int{},
	}
}

// SuspendsLeaseRenewal reports whether heartbeats must go unanswered. Another controller may have confirmed a
// cancellation that is unknown here, so long ago that the job's tasks would outlive the cancellation deadline
// if their workers' leases were renewed now.
func (cs *Cancellations) SuspendsLeaseRenewal(now monotime.Micros) bool {
	knowledge := cs.relay.Knowledge(cs.freshAt(), now)
	suspended := now-knowledge.Until >= cs.renewalWindow
	if suspended != cs.renewalSuspended {
		cs.renewalSuspended = suspended
		cs.log.Info("worker lease renewal suspended",
			"state", logging.ConditionState(suspended),
			"mirror_age_ms", (now - knowledge.MirrorFreshAt).Milliseconds(),
			"exchange_age_ms", (now - knowledge.PeersUntil).Milliseconds(),
			"node", knowledge.EarliestPeer)
	}
	return suspended
}

// KnowledgeAge returns how old this controller's knowledge of cancellations is.
func (cs *Cancellations) KnowledgeAge(now monotime.Micros) monotime.Micros {
	return now - cs.relay.Knowledge(cs.freshAt(), now).Until
}

// RenewalWindow returns the age of that knowledge from which on leases are not renewed.
func (cs *Cancellations) RenewalWindow() monotime.Micros { return cs.renewalWindow }

// MessagesFor returns the messages of one round for a peer. recordsLoaded says whether this incarnation of
// the controller has read all records.
func (cs *Cancellations) MessagesFor(
	peer string, now monotime.Micros, recordsLoaded bool,
) []cancellation.RoundMessage {
	return cs.relay.MessagesFor(peer, now, cs.mirror.WatchedRevision, recordsLoaded)
}

// Learn takes in a committed cancellation: the peers receive it, the workers of this controller get commands to
// stop the job's tasks, and users see the result. It must be called before any user receives an answer that
// confirms the cancellation.
func (cs *Cancellations) Learn(committed cancellation.Committed, source cancellation.Source) {
	job, ahead := cs.mirror.Jobs[committed.Job], committed.Revision > cs.mirror.WatchedRevision
	if job == nil && !ahead {
		return // the mirror has passed the cancellation and the end of everything that the job had on machines
	}
	if cs.relay.Add(committed) {
		cs.note(committed, source)
	}
	if ahead && (job == nil || job.IsOpen()) && !cs.appliedWithoutJob(committed.Job, job) {
		cs.apply(committed)
	}
}

// appliedWithoutJob reports whether the mirror already contains the result of a job that it has no open record
// of.
func (cs *Cancellations) appliedWithoutJob(id string, job *mirror.Job) bool {
	_, cached := cs.mirror.Results.Get(id)
	return job == nil && cached
}

// ApplyTo gives a job whose open record has just reached the mirror the cancellation that became known before.
func (cs *Cancellations) ApplyTo(job *mirror.Job) {
	if revision, known := cs.relay.RevisionOf(job.ID); known && job.IsOpen() {
		cs.apply(cancellation.Committed{Job: job.ID, Revision: revision})
	}
}

// note counts and logs a cancellation that has just become known.
func (cs *Cancellations) note(committed cancellation.Committed, source cancellation.Source) {
	cs.learned[source]++
	cs.log.Debug("cancellation known",
		"job", committed.Job, "revision", committed.Revision, "source", string(source))
}

// Learned returns how many cancellations have become known from a source.
func (cs *Cancellations) Learned(source cancellation.Source) int { return cs.learned[source] }

// Holds reports whether a job's cancellation is part of the exchange.
func (cs *Cancellations) Holds(job string) bool {
	_, known := cs.relay.RevisionOf(job)
	return known
}

// MayConfirm reports whether a user may be told that a job is cancelled: the exchange holds the cancellation,
// or nothing of the job is left on any machine, so that no open record of it is in the mirror.
func (cs *Cancellations) MayConfirm(job string) bool {
	return cs.Holds(job) || cs.mirror.Jobs[job] == nil
}

// Receive applies the cancellations in a peer's message that the mirror lacks. They are committed and
// therefore final.
func (cs *Cancellations) Receive(peer string, message cancellation.RoundMessage) {
	var ahead []cancellation.Committed
	for _, cancelled := range cs.relay.Receive(peer, message) {
		cs.note(cancelled, cancellation.SourcePeer)
		if cancelled.Revision > cs.mirror.WatchedRevision {
			ahead = append(ahead, cancelled)
		}
	}
	cs.apply(ahead...)
}

// Record learns the cancellation of a job if the mirror contains one.
func (cs *Cancellations) Record(job *mirror.Job, source cancellation.Source) {
	if job != nil && job.FinalState == storage.JobCancelled && job.FinalRevision != 0 {
		cs.Learn(cancellation.Committed{Job: job.ID, Revision: job.FinalRevision}, source)
	}
}

// Forget drops the cancellation of a job that has no tasks left on any machine.
func (cs *Cancellations) Forget(job string) { cs.relay.Forget(job) }

// Reconcile synchronizes the mirror and the exchange after all records have been read again. The mirror
// receives the cancellations that were committed after the read, and the exchange drops those of jobs that no
// longer exist.
func (cs *Cancellations) Reconcile() {
	for _, id := range sortedmap.Keys(cs.mirror.Jobs) {
		cs.Record(cs.mirror.Jobs[id], cancellation.SourceLoad)
	}
	cs.relay.Prune(cs.mirror.WatchedRevision, func(id string) bool {
		job := cs.mirror.Jobs[id]
		return job != nil && !job.IsOpen()
	})
	cs.apply(cs.relay.CommittedAfter(cs.mirror.WatchedRevision)...)
}

// apply writes committed cancellations into the mirror ahead of the watch. All of them are in the mirror before
// any worker gets commands, so that the kill of one job's task never comes with the start of another's.
func (cs *Cancellations) apply(cancelled ...cancellation.Committed) {
	value := protocol.MustMarshal(&storage.JobResult{State: storage.JobCancelled})
	var events []protocol.Event
	for _, committed := range cancelled {
		events = append(events, protocol.Event{
			Put:     storage.JobResultKey(committed.Job),
			Value:   value,
			Version: committed.Revision,
		})
	}
	cs.mirror.ApplyPutsAhead(events)
}
