package cancellation

import (
	"cmp"
	"slices"

	"pipitgap/internal/monotime"
)

// maxCommittedPerMessage keeps a message well below the size limit of a peer frame: a job's name has at most
// 100 bytes.
const maxCommittedPerMessage = 1000

// Committed is a cancellation that is committed in the state service. It is final.
type Committed struct {
	Job      string // id
	Revision uint64 // of the commit
}

// Source is how a controller learned of a committed cancellation, as logged.
type Source string

// The sources of knowledge about cancellations.
const (
	SourceOwnCommit Source = "own commit"
	SourceWatch     Source = "watch"
	SourceLoad      Source = "load"
	SourceRead      Source = "single read"
	SourcePeer      Source = "peer round"
)

// RoundMessage is one message of a round. The messages of a round together contain every committed
// cancellation that the sender knows, above the mirror revision that the receiver last reported.
type RoundMessage struct {
	Incarnation       uint64          // of the sender
	Clock             monotime.Micros // the sender's clock when it created the round
	EchoedIncarnation uint64          // the receiver's incarnation, as last received by the sender
	EchoedClock       monotime.Micros // the latest clock reading received from that incarnation
	MirrorRevision    uint64          // the revision that the sender's mirror has reached
	RecordsLoaded     bool            // the sender knows what its earlier incarnations committed
	Round             uint64          // increases with every round of the sender
	MessagesInRound   int             // number of messages of the complete round
	Committed         []Committed
}

// peerState is what this controller knows about a peer.
type peerState struct {
	incarnation     uint64
	clock           monotime.Micros // latest clock reading of that incarnation
	mirrorRevision  uint64
	round           uint64
	receivedInRound int             // messages received of that round
	knownUntil      monotime.Micros // what the peer confirmed up to here is known; by this controller's clock
}

// Relay is one controller's side of the exchange of committed cancellations.
type Relay struct {
	incarnation     uint64
	round           uint64
	commitRevisions map[string]uint64 // of the known cancellations, by job id
	peers           map[string]*peerState
	peerNames       []string
}

// NewRelay starts the exchange between a controller's current incarnation and the named peers.
func NewRelay(incarnation uint64, peers []string) *Relay {
	r := &Relay{
		incarnation:     incarnation,
		commitRevisions: map[string]uint64{},
		peers:           map[string]*peerState{},
		peerNames:       peers,
	}
	for _, name := range peers {
		r.peers[name] = &peerState{}
	}
	return r
}

// Add adds a committed cancellation, and reports whether it was unknown. The caller must add it before any
// user gets an answer that confirms it.
func (r *Relay) Add(c Committed) (added bool) {
	_, known := r.commitRevisions[c.Job]
	r.commitRevisions[c.Job] = c.Revision
	return !known
}

// RevisionOf returns the commit revision of a job's cancellation; known is false if the relay doesn't hold it.
func (r *Relay) RevisionOf(job string) (revision uint64, known bool) {
	revision, known = r.commitRevisions[job]
	return revision, known
}

// Forget removes the cancellation of a job that has no tasks left on any machine.
func (r *Relay) Forget(job string) { delete(r.commitRevisions, job) }

// CommittedAfter lists the known cancellations with a commit revision above the given one, in commit order.
func (r *Relay) CommittedAfter(revision uint64) []Committed {
	var cancellations []Committed
	for job, commitRevision := range r.commitRevisions {
		if commitRevision > revision {
			cancellations = append(cancellations, Committed{job, commitRevision})
		}
	}
	slices.SortFunc(cancellations, func(a, b Committed) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Job, b.Job))
	})
	return cancellations
}

// Prune removes the cancellations with a commit revision up to the given one, except those of jobs for which
// keep returns true. It is called after all records have been read again: a job that is over and no longer in
// the records has no tasks left on any machine.
func (r *Relay) Prune(revision uint64, keep func(job string) bool) {
	for job, commitRevision := range r.commitRevisions {
		if commitRevision <= revision && !keep(job) {
			delete(r.commitRevisions, job)
		}
	}
}

// MessagesFor creates a round of messages for a peer. mirrorRevision is the revision that this controller's
// mirror has reached. recordsLoaded says whether this incarnation has read all records.
func (r *Relay) MessagesFor(
	peerName string, now monotime.Micros, mirrorRevision uint64, recordsLoaded bool,
) []RoundMessage {
	peer := r.peers[peerName]
	if peer == nil {
		return nil
	}
	r.round++
	cancellations := r.CommittedAfter(peer.mirrorRevision)
	messageCount := max(1, (len(cancellations)+maxCommittedPerMessage-1)/maxCommittedPerMessage)
	messages := make([]RoundMessage, 0, messageCount)
	for i := range messageCount {
		begin, end := i*maxCommittedPerMessage, min(len(cancellations), (i+1)*maxCommittedPerMessage)
		messages = append(messages, RoundMessage{
			Incarnation: r.incarnation, Clock: now,
			EchoedIncarnation: peer.incarnation, EchoedClock: peer.clock,
			MirrorRevision: mirrorRevision, RecordsLoaded: recordsLoaded,
			Round: r.round, MessagesInRound: messageCount, Committed: cancellations[begin:end],
		})
	}
	return messages
}

// Receive processes a peer's message and returns the cancellations in it that were unknown before. The caller
// must act on them before it calls Knowledge again.
func (r *Relay) Receive(peerName string, m RoundMessage) []Committed {
	peer := r.peers[peerName]
	if peer == nil {
		return nil
	}
	peer.updateSenderState(m)
	var newlyKnown []Committed
	for _, c := range m.Committed {
		if _, known := r.commitRevisions[c.Job]; !known {
			r.Add(c)
			newlyKnown = append(newlyKnown, c)
		}
	}
	if peer.completesRound(m) && m.RecordsLoaded && m.EchoedIncarnation == r.incarnation {
		peer.knownUntil = max(peer.knownUntil, m.EchoedClock)
	}
	return newlyKnown
}

// updateSenderState stores the newest values that a peer reports about itself. A message from an earlier
// incarnation of the peer may arrive late and replace them. The peer's current incarnation then ignores the
// echoes of that message, because they name the earlier incarnation.
func (p *peerState) updateSenderState(m RoundMessage) {
	if m.Incarnation != p.incarnation {
		p.incarnation, p.clock, p.mirrorRevision = m.Incarnation, m.Clock, m.MirrorRevision
		return
	}
	p.clock = max(p.clock, m.Clock)
	p.mirrorRevision = max(p.mirrorRevision, m.MirrorRevision)
}

// completesRound counts a message and reports whether all messages of its round have now arrived. Messages on
// one connection keep their order; a lost message leaves its round incomplete.
func (p *peerState) completesRound(m RoundMessage) bool {
	if m.Round != p.round {
		p.round, p.receivedInRound = m.Round, 0
	}
	p.receivedInRound++
	return p.receivedInRound == m.MessagesInRound
}

// Knowledge is the time up to which a controller knows every confirmed cancellation, and where it comes from.
// All times are by this controller's clock.
type Knowledge struct {
	Until         monotime.Micros // the later one of MirrorFreshAt and PeersUntil
	MirrorFreshAt monotime.Micros // when the request was sent that last brought the mirror up to date
	PeersUntil    monotime.Micros // the earliest time over all peers
	EarliestPeer  string          // the peer with that time; "" without peers
}

// Knowledge returns up to which time this controller knows every cancellation that any controller has
// confirmed to a user.
//
// mirrorFreshAt is when this controller sent the request that last brought its mirror up to date: the mirror
// contains everything that was committed before. A peer's complete round contains everything that the peer
// had confirmed when it created the round. The peer created the round after it received the clock reading
// that the round echoes.
func (r *Relay) Knowledge(mirrorFreshAt, now monotime.Micros) Knowledge {
	known := Knowledge{MirrorFreshAt: mirrorFreshAt, PeersUntil: now}
	for _, name := range r.peerNames {
		if peer := r.peers[name]; known.EarliestPeer == "" || peer.knownUntil < known.PeersUntil {
			known.PeersUntil, known.EarliestPeer = peer.knownUntil, name
		}
	}
	known.Until = max(mirrorFreshAt, known.PeersUntil)
	return known
}

// ConfirmedUntil returns the time of Knowledge.
func (r *Relay) ConfirmedUntil(mirrorFreshAt, now monotime.Micros) monotime.Micros {
	return r.Knowledge(mirrorFreshAt, now).Until
}
