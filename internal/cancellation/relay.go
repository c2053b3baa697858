package cancellation

import (
	"cmp"
	"slices"

	"pipitgap/internal/micros"
)

// maxPerMessage bounds a message to well under the size of a peer frame: a job's name
// has at most a hundred bytes.
const maxPerMessage = 1000

// Committed is a cancellation that the state service holds. It is final.
type Committed struct {
	Job      string
	Revision uint64
}

// Message is one of the messages of a round: together they carry every committed
// cancellation that the sender knows and the receiver's mirror had not reached.
type Message struct {
	Incarnation     uint64   // of the sender
	Clock           micros.T // the sender's clock when the round was made
	EchoIncarnation uint64   // the latest incarnation and clock that the sender has
	EchoClock       micros.T // received from the receiver
	Watched         uint64   // the revision that the sender's mirror has reached
	Complete        bool     // the sender knows what its earlier lives had committed
	Round           uint64
	Parts           int // messages of this round
	Committed       []Committed
}

// peer is what is known of another controller.
type peer struct {
	incarnation uint64
	clock       micros.T // the latest clock reading of that incarnation
	watched     uint64
	round       uint64
	received    int      // messages of that round
	knownUntil  micros.T // by our clock
}

// Relay is one controller's side of the exchange.
type Relay struct {
	incarnation uint64
	round       uint64
	committed   map[string]uint64
	peers       map[string]*peer
}

// NewRelay begins the exchange of a controller's present life with the named peers.
func NewRelay(incarnation uint64, peers []string) *Relay {
	r := &Relay{incarnation: incarnation, committed: map[string]uint64{}, peers: map[string]*peer{}}
	for _, name := range peers {
		r.peers[name] = &peer{}
	}
	return r
}

// Note adds a committed cancellation. It must be called before any user is told of it.
func (r *Relay) Note(c Committed) { r.committed[c.Job] = c.Revision }

// Forget drops the cancellation of a job of which nothing is left on any machine.
func (r *Relay) Forget(job string) { delete(r.committed, job) }

// Since lists the known cancellations above a revision, in the order of their commits.
func (r *Relay) Since(revision uint64) []Committed {
	var out []Committed
	for job, at := range r.committed {
		if at > revision {
			out = append(out, Committed{job, at})
		}
	}
	slices.SortFunc(out, func(a, b Committed) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Job, b.Job))
	})
	return out
}

// KeepOnly drops every cancellation up to a revision except those of the given jobs.
// It is called when all records have been read anew: a job that is over and has left the
// records has nothing left on any machine.
func (r *Relay) KeepOnly(revision uint64, keep func(job string) bool) {
	for job, at := range r.committed {
		if at <= revision && !keep(job) {
			delete(r.committed, job)
		}
	}
}

// Messages makes a round for a peer. watched is the revision that our mirror has
// reached; complete tells whether all records have been read in this life.
func (r *Relay) Messages(name string, now micros.T, watched uint64, complete bool) []Message {
	p := r.peers[name]
	if p == nil {
		return nil
	}
	r.round++
	list := r.Since(p.watched)
	parts := max(1, (len(list)+maxPerMessage-1)/maxPerMessage)
	out := make([]Message, 0, parts)
	for i := range parts {
		begin, end := i*maxPerMessage, min(len(list), (i+1)*maxPerMessage)
		out = append(out, Message{
			Incarnation: r.incarnation, Clock: now,
			EchoIncarnation: p.incarnation, EchoClock: p.clock,
			Watched: watched, Complete: complete,
			Round: r.round, Parts: parts, Committed: list[begin:end],
		})
	}
	return out
}

// Receive takes a peer's message and returns the cancellations in it that were not
// known yet. The caller must act on them before it asks for KnownUntil again.
func (r *Relay) Receive(name string, m Message) []Committed {
	p := r.peers[name]
	if p == nil {
		return nil
	}
	p.noteSender(m)
	var fresh []Committed
	for _, c := range m.Committed {
		if _, known := r.committed[c.Job]; !known {
			r.Note(c)
			fresh = append(fresh, c)
		}
	}
	if p.roundComplete(m) && m.Complete && m.EchoIncarnation == r.incarnation {
		p.knownUntil = max(p.knownUntil, m.EchoClock)
	}
	return fresh
}

// noteSender keeps the newest of what a peer says of itself. A message of an earlier
// life may come late; what is echoed of it moves nothing in the peer's present life.
func (p *peer) noteSender(m Message) {
	if m.Incarnation != p.incarnation {
		p.incarnation, p.clock, p.watched = m.Incarnation, m.Clock, m.Watched
		return
	}
	p.clock = max(p.clock, m.Clock)
	p.watched = max(p.watched, m.Watched)
}

// roundComplete counts a round's messages and tells whether all have come. Messages on
// one connection keep their order; a lost one leaves its round incomplete.
func (p *peer) roundComplete(m Message) bool {
	if m.Round != p.round {
		p.round, p.received = m.Round, 0
	}
	p.received++
	return p.received == m.Parts
}

// KnownUntil tells the moment, by our clock, up to which every cancellation that any
// controller has confirmed to a user is known here. mirrored is when the question was
// sent that last brought the mirror up to date: it holds all that was committed before.
// A peer's complete round holds all that it had confirmed when it made the round, which
// was after it had received the clock reading that it echoes.
func (r *Relay) KnownUntil(mirrored, now micros.T) micros.T {
	heard := now
	for _, p := range r.peers {
		heard = min(heard, p.knownUntil)
	}
	return max(mirrored, heard)
}
