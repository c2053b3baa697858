package cancellation

import (
	"cmp"
	"slices"

	"pipitgap/internal/monotime"
)

// maxCommittedPerMessage bounds a message to well under the size of a peer frame: a job's name
// has at most a hundred bytes.
const maxCommittedPerMessage = 1000

// Committed is a cancellation that the state service holds. It is final.
type Committed struct {
	Job      string // id
	Revision uint64 // of the commit
}

// RoundMessage is one of the messages of a round: together they carry every committed
// cancellation that the sender knows and the receiver's mirror had not reached.
type RoundMessage struct {
	Incarnation       uint64          // of the sender
	Clock             monotime.Micros // the sender's clock when the round was made
	EchoedIncarnation uint64          // the latest incarnation and clock that the sender has
	EchoedClock       monotime.Micros // received from the receiver
	MirrorRevision    uint64          // the revision that the sender's mirror has reached
	RecordsLoaded     bool            // the sender knows what its earlier incarnations had committed
	Round             uint64          // counts the rounds of the sender
	MessagesInRound   int             // the round is complete with so many
	Committed         []Committed
}

// peerState is what is known of another controller.
type peerState struct {
	incarnation     uint64
	clock           monotime.Micros // the latest clock reading of that incarnation
	mirrorRevision  uint64
	round           uint64
	receivedInRound int             // messages of that round
	knownUntil      monotime.Micros // by this controller's clock
}

// Relay is one controller's side of the exchange.
type Relay struct {
	incarnation     uint64
	round           uint64
	commitRevisions map[string]uint64
	peers           map[string]*peerState
}

// NewRelay begins the exchange of a controller's present incarnation with the named peers.
func NewRelay(incarnation uint64, peers []string) *Relay {
	r := &Relay{incarnation: incarnation, commitRevisions: map[string]uint64{}, peers: map[string]*peerState{}}
	for _, name := range peers {
		r.peers[name] = &peerState{}
	}
	return r
}

// Add adds a committed cancellation. It must be called before any user gets an answer that confirms it.
func (r *Relay) Add(c Committed) { r.commitRevisions[c.Job] = c.Revision }

// Forget drops the cancellation of a job of which nothing is left on any machine.
func (r *Relay) Forget(job string) { delete(r.commitRevisions, job) }

// Since lists the known cancellations above a revision, in the order of their commits.
func (r *Relay) Since(revision uint64) []Committed {
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

// Prune drops every cancellation up to a revision except those of the given jobs.
// It is called when all records have been read anew: a job that is over and has left the
// records has nothing left on any machine.
func (r *Relay) Prune(revision uint64, keep func(job string) bool) {
	for job, commitRevision := range r.commitRevisions {
		if commitRevision <= revision && !keep(job) {
			delete(r.commitRevisions, job)
		}
	}
}

// MessagesFor makes a round for a peer. mirrorRevision is the revision that the own mirror has
// reached; recordsLoaded says whether all records have been read by this incarnation.
func (r *Relay) MessagesFor(
	peerName string, now monotime.Micros, mirrorRevision uint64, recordsLoaded bool,
) []RoundMessage {
	peer := r.peers[peerName]
	if peer == nil {
		return nil
	}
	r.round++
	cancellations := r.Since(peer.mirrorRevision)
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

// Receive takes a peer's message and returns the cancellations in it that were not
// known yet. The caller must act on them before it calls ConfirmedUntil again.
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

// updateSenderState keeps the newest of what a peer says of itself. A message of an earlier
// incarnation may come late; what is echoed of it moves nothing in the present one.
func (p *peerState) updateSenderState(m RoundMessage) {
	if m.Incarnation != p.incarnation {
		p.incarnation, p.clock, p.mirrorRevision = m.Incarnation, m.Clock, m.MirrorRevision
		return
	}
	p.clock = max(p.clock, m.Clock)
	p.mirrorRevision = max(p.mirrorRevision, m.MirrorRevision)
}

// completesRound counts a round's messages and reports whether all have come. Messages on
// one connection keep their order; a lost one leaves its round incomplete.
func (p *peerState) completesRound(m RoundMessage) bool {
	if m.Round != p.round {
		p.round, p.receivedInRound = m.Round, 0
	}
	p.receivedInRound++
	return p.receivedInRound == m.MessagesInRound
}

// ConfirmedUntil returns the moment, by this controller's clock, up to which every cancellation that any
// controller has confirmed to a user is known here. mirrorFreshAt is when the request was
// sent that last brought the mirror up to date: it holds all that was committed before.
// A peer's complete round holds all that it had confirmed when it made the round, which
// was after it had received the clock reading that it echoes.
func (r *Relay) ConfirmedUntil(mirrorFreshAt, now monotime.Micros) monotime.Micros {
	knownFromPeers := now
	for _, peer := range r.peers {
		knownFromPeers = min(knownFromPeers, peer.knownUntil)
	}
	return max(mirrorFreshAt, knownFromPeers)
}
