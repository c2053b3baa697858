package cancellation

import (
	"fmt"
	"slices"
	"testing"

	"pipitgap/internal/monotime"
)

// relayPair is the relays of two controllers: renewer renews worker leases, confirmer confirms cancellations
// to users.
type relayPair struct{ renewer, confirmer *Relay }

func newPair() *relayPair {
	return &relayPair{NewRelay(11, []string{"confirmer"}), NewRelay(22, []string{"renewer"})}
}

// deliverToConfirmer delivers a round of the renewer to the confirmer.
func (p *relayPair) deliverToConfirmer(now monotime.Micros, mirrorRevision uint64) {
	for _, m := range p.renewer.MessagesFor("confirmer", now, mirrorRevision, true) {
		p.confirmer.Receive("renewer", m)
	}
}

// deliverToRenewer delivers a round of the confirmer to the renewer, except for the messages with the indexes
// lostMessages. It returns the cancellations that the renewer didn't know.
func (p *relayPair) deliverToRenewer(recordsLoaded bool, lostMessages ...int) []Committed {
	var newlyKnown []Committed
	for i, m := range p.confirmer.MessagesFor("renewer", 1_000_000, 0, recordsLoaded) {
		if !slices.Contains(lostMessages, i) {
			newlyKnown = append(newlyKnown, p.renewer.Receive("confirmer", m)...)
		}
	}
	return newlyKnown
}

// TestConfirmedOnlyAfterRoundTrip guards against a confirmed time that is too late: a peer's round counts
// only if it is complete, the peer has read its records and the round echoes the receiver's current
// incarnation.
func TestConfirmedOnlyAfterRoundTrip(t *testing.T) {
	const roundSentAt, now = monotime.Micros(500), monotime.Micros(900)
	addCancellations := func(r *Relay) {
		for i := range 2*maxCommittedPerMessage + 1 {
			r.Add(Committed{fmt.Sprintf("j-%d", i), uint64(100 + i)})
		}
	}
	cases := []struct {
		name         string
		exchange     func(p *relayPair) int // returns the cancellations that reached the renewer
		wantUntil    monotime.Micros
		wantReceived int
	}{
		{"no message received", func(*relayPair) int { return 0 }, 0, 0},
		{
			"one round trip",
			func(p *relayPair) int { p.deliverToConfirmer(roundSentAt, 50); return len(p.deliverToRenewer(true)) },
			roundSentAt,
			0,
		},
		{"round without an echo", func(p *relayPair) int { return len(p.deliverToRenewer(true)) }, 0, 0},
		{
			"peer has not read its records",
			func(p *relayPair) int { p.deliverToConfirmer(roundSentAt, 50); return len(p.deliverToRenewer(false)) },
			0,
			0,
		},
		{"round with one cancellation", func(p *relayPair) int {
			p.deliverToConfirmer(roundSentAt, 50)
			p.confirmer.Add(Committed{"j-1", 60})
			return len(p.deliverToRenewer(true))
		}, roundSentAt, 1},
		{"cancellation in the receiver's mirror is left out", func(p *relayPair) int {
			p.deliverToConfirmer(roundSentAt, 60)
			p.confirmer.Add(Committed{"j-1", 60})
			return len(p.deliverToRenewer(true))
		}, roundSentAt, 0},
		{"round of three messages", func(p *relayPair) int {
			p.deliverToConfirmer(roundSentAt, 50)
			addCancellations(p.confirmer)
			return len(p.deliverToRenewer(true))
		}, roundSentAt, 2*maxCommittedPerMessage + 1},
		{"first of three messages lost", func(p *relayPair) int {
			p.deliverToConfirmer(roundSentAt, 50)
			addCancellations(p.confirmer)
			return len(p.deliverToRenewer(true, 0))
		}, 0, maxCommittedPerMessage + 1},
		{"last of three messages lost", func(p *relayPair) int {
			p.deliverToConfirmer(roundSentAt, 50)
			addCancellations(p.confirmer)
			return len(p.deliverToRenewer(true, 2))
		}, 0, 2 * maxCommittedPerMessage},
		{"complete round after an incomplete one", func(p *relayPair) int {
			p.deliverToConfirmer(roundSentAt, 50)
			addCancellations(p.confirmer)
			n := len(p.deliverToRenewer(true, 1))
			return n + len(p.deliverToRenewer(true))
		}, roundSentAt, 2*maxCommittedPerMessage + 1},
		{"echo of an earlier incarnation of the renewer", func(p *relayPair) int {
			p.deliverToConfirmer(roundSentAt, 50)
			p.renewer = NewRelay(12, []string{"confirmer"})
			return len(p.deliverToRenewer(true))
		}, 0, 0},
		{"late round of an earlier incarnation of the renewer", func(p *relayPair) int {
			lateRound := p.renewer.MessagesFor("confirmer", roundSentAt, 50, true)
			p.renewer = NewRelay(12, []string{"confirmer"})
			p.deliverToConfirmer(100, 0)
			p.confirmer.Receive("renewer", lateRound[0])
			return len(p.deliverToRenewer(true))
		}, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPair()
			if n := tc.exchange(p); n != tc.wantReceived {
				t.Errorf("the renewer got %d cancellations, want %d", n, tc.wantReceived)
			}
			if got := p.renewer.ConfirmedUntil(0, now); got != tc.wantUntil {
				t.Errorf("ConfirmedUntil without a mirror = %d, want %d", got, tc.wantUntil)
			}
			if got := p.renewer.ConfirmedUntil(700, now); got != 700 {
				t.Errorf("ConfirmedUntil with a mirror fresh at 700 = %d, want 700", got)
			}
		})
	}
	if got := NewRelay(1, nil).ConfirmedUntil(0, now); got != now {
		t.Errorf("ConfirmedUntil without peers = %d, want %d", got, now)
	}
}

// TestConfirmedUntilIsMinimumOverPeers: the peer with the oldest confirmed time decides. A peer that has sent
// no round keeps the result at zero.
func TestConfirmedUntilIsMinimumOverPeers(t *testing.T) {
	renewer := NewRelay(1, []string{"a", "b"})
	for _, name := range []string{"a", "b"} {
		if got := renewer.ConfirmedUntil(0, 900); got != 0 {
			t.Errorf("before a round from %s: ConfirmedUntil = %d, want 0", name, got)
		}
		peer := NewRelay(2, []string{"renewer"})
		peer.Receive("renewer", renewer.MessagesFor(name, 500, 0, true)[0])
		renewer.Receive(name, peer.MessagesFor("renewer", 7, 0, true)[0])
	}
	if got := renewer.ConfirmedUntil(0, 900); got != 500 {
		t.Errorf("after rounds from all peers: ConfirmedUntil = %d, want 500", got)
	}
	if renewer.Receive(
		"unknown",
		RoundMessage{RecordsLoaded: true, MessagesInRound: 1, EchoedIncarnation: 1, EchoedClock: 800},
	) != nil {
		t.Error("a message of an unknown controller returned cancellations, want nil")
	}
}

// TestReceivedCancellationsAreRelayed: a third controller relays the cancellations that it received from the
// confirmer, so they reach the renewer even if the confirmer is gone. Forget and Prune remove cancellations
// of jobs that have no tasks left.
func TestReceivedCancellationsAreRelayed(t *testing.T) {
	third := NewRelay(3, []string{"confirmer", "renewer"})
	third.Receive(
		"confirmer",
		RoundMessage{MessagesInRound: 1, Committed: []Committed{{"j-1", 60}, {"j-2", 61}}},
	)
	third.Forget("j-2")
	messages := third.MessagesFor("renewer", 5, 0, true)
	if len(messages) != 1 || !slices.Equal(messages[0].Committed, []Committed{{"j-1", 60}}) {
		t.Errorf("relayed %+v, want one message with the cancellation of j-1", messages)
	}
	third.Prune(59, func(string) bool { return false })
	if len(third.CommittedAfter(0)) != 1 {
		t.Errorf("after Prune up to revision 59: cancellations %+v, want the one of revision 60", third.CommittedAfter(0))
	}
	third.Prune(60, func(string) bool { return false })
	if len(third.CommittedAfter(0)) != 0 {
		t.Errorf("after Prune up to revision 60: cancellations %+v, want none", third.CommittedAfter(0))
	}
}

// TestRoundsOfTwoIncarnationsAreNotCompletedTogether guards against a round that counts as complete with a
// message of an earlier incarnation's round of the same number.
func TestRoundsOfTwoIncarnationsAreNotCompletedTogether(t *testing.T) {
	p := newPair()
	p.deliverToConfirmer(500, 50)
	for i := range maxCommittedPerMessage + 1 {
		p.confirmer.Add(Committed{fmt.Sprintf("j-%d", i), uint64(100 + i)})
	}
	p.deliverToRenewer(true, 1) // the second message of round 1 is lost
	p.confirmer = NewRelay(23, []string{"renewer"})
	p.deliverToConfirmer(600, 50)
	for i := range maxCommittedPerMessage + 1 {
		p.confirmer.Add(Committed{fmt.Sprintf("k-%d", i), uint64(5000 + i)})
	}
	p.deliverToRenewer(true, 0) // the first message of round 1 is lost
	if got := p.renewer.ConfirmedUntil(0, 900); got != 0 {
		t.Errorf("after half a round of each incarnation: ConfirmedUntil = %d, want 0", got)
	}
}
