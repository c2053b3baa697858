package cancellation

import (
	"fmt"
	"slices"
	"testing"

	"pipitgap/internal/monotime"
)

// relayPair is two controllers' relays, and the messages of a round that are delivered.
type relayPair struct{ renewer, confirmer *Relay }

func newPair() *relayPair {
	return &relayPair{NewRelay(11, []string{"confirmer"}), NewRelay(22, []string{"renewer"})}
}

// deliverToConfirmer delivers the renewer's round to the confirmer.
func (p *relayPair) deliverToConfirmer(now monotime.Micros, mirrorRevision uint64) {
	for _, m := range p.renewer.MessagesFor("confirmer", now, mirrorRevision, true) {
		p.confirmer.Receive("renewer", m)
	}
}

// deliverToRenewer delivers the confirmer's round to the renewer, without the messages in lostMessages.
func (p *relayPair) deliverToRenewer(recordsLoaded bool, lostMessages ...int) []Committed {
	var newlyKnown []Committed
	for i, m := range p.confirmer.MessagesFor("renewer", 1_000_000, 0, recordsLoaded) {
		if !slices.Contains(lostMessages, i) {
			newlyKnown = append(newlyKnown, p.renewer.Receive("confirmer", m)...)
		}
	}
	return newlyKnown
}

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
		{"nothing heard", func(*relayPair) int { return 0 }, 0, 0},
		{
			"one round trip",
			func(p *relayPair) int { p.deliverToConfirmer(roundSentAt, 50); return len(p.deliverToRenewer(true)) },
			roundSentAt,
			0,
		},
		{"a word that echoes nothing", func(p *relayPair) int { return len(p.deliverToRenewer(true)) }, 0, 0},
		{
			"a peer that hasn't read its records",
			func(p *relayPair) int { p.deliverToConfirmer(roundSentAt, 50); return len(p.deliverToRenewer(false)) },
			0,
			0,
		},
		{"a cancellation goes along", func(p *relayPair) int {
			p.deliverToConfirmer(roundSentAt, 50)
			p.confirmer.Add(Committed{"j-1", 60})
			return len(p.deliverToRenewer(true))
		}, roundSentAt, 1},
		{"what the mirror has is left out", func(p *relayPair) int {
			p.deliverToConfirmer(roundSentAt, 60)
			p.confirmer.Add(Committed{"j-1", 60})
			return len(p.deliverToRenewer(true))
		}, roundSentAt, 0},
		{"many cancellations", func(p *relayPair) int {
			p.deliverToConfirmer(roundSentAt, 50)
			addCancellations(p.confirmer)
			return len(p.deliverToRenewer(true))
		}, roundSentAt, 2*maxCommittedPerMessage + 1},
		{"many, the first message lost", func(p *relayPair) int {
			p.deliverToConfirmer(roundSentAt, 50)
			addCancellations(p.confirmer)
			return len(p.deliverToRenewer(true, 0))
		}, 0, maxCommittedPerMessage + 1},
		{"many, the last message lost", func(p *relayPair) int {
			p.deliverToConfirmer(roundSentAt, 50)
			addCancellations(p.confirmer)
			return len(p.deliverToRenewer(true, 2))
		}, 0, 2 * maxCommittedPerMessage},
		{"many, the next round whole", func(p *relayPair) int {
			p.deliverToConfirmer(roundSentAt, 50)
			addCancellations(p.confirmer)
			n := len(p.deliverToRenewer(true, 1))
			return n + len(p.deliverToRenewer(true))
		}, roundSentAt, 2*maxCommittedPerMessage + 1},
		{"an echo of an earlier life of the renewer", func(p *relayPair) int {
			p.deliverToConfirmer(roundSentAt, 50)
			p.renewer = NewRelay(12, []string{"confirmer"})
			return len(p.deliverToRenewer(true))
		}, 0, 0},
		{"a late round of an earlier life of the renewer", func(p *relayPair) int {
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
				t.Errorf("%d cancellations reach the renewer, not %d", n, tc.wantReceived)
			}
			if got := p.renewer.ConfirmedUntil(0, now); got != tc.wantUntil {
				t.Errorf("known until %d, not %d", got, tc.wantUntil)
			}
			if got := p.renewer.ConfirmedUntil(700, now); got != 700 {
				t.Errorf("a newer mirror doesn't count: %d", got)
			}
		})
	}
	if got := NewRelay(1, nil).ConfirmedUntil(0, now); got != now {
		t.Errorf("alone everything is known, not until %d", got)
	}
}

// TestConfirmedUntilIsMinimumOverPeers: one peer that isn't heard leaves all in doubt.
func TestConfirmedUntilIsMinimumOverPeers(t *testing.T) {
	renewer := NewRelay(1, []string{"a", "b"})
	for _, name := range []string{"a", "b"} {
		if got := renewer.ConfirmedUntil(0, 900); got != 0 {
			t.Errorf("before %s is heard: known until %d", name, got)
		}
		peer := NewRelay(2, []string{"renewer"})
		peer.Receive("renewer", renewer.MessagesFor(name, 500, 0, true)[0])
		renewer.Receive(name, peer.MessagesFor("renewer", 7, 0, true)[0])
	}
	if got := renewer.ConfirmedUntil(0, 900); got != 500 {
		t.Errorf("known until %d", got)
	}
	if renewer.Receive(
		"stranger",
		RoundMessage{RecordsLoaded: true, MessagesInRound: 1, EchoedIncarnation: 1, EchoedClock: 800},
	) != nil {
		t.Error("a stranger is listened to")
	}
}

// TestReceivedCancellationsAreRelayed: a third controller passes on what the confirmer told it, also when the
// confirmer is gone; what is over everywhere is forgotten.
func TestReceivedCancellationsAreRelayed(t *testing.T) {
	third := NewRelay(3, []string{"confirmer", "renewer"})
	third.Receive(
		"confirmer",
		RoundMessage{MessagesInRound: 1, Committed: []Committed{{"j-1", 60}, {"j-2", 61}}},
	)
	third.Forget("j-2")
	messages := third.MessagesFor("renewer", 5, 0, true)
	if len(messages) != 1 || !slices.Equal(messages[0].Committed, []Committed{{"j-1", 60}}) {
		t.Errorf("passed on: %+v", messages)
	}
	third.Prune(59, func(string) bool { return false })
	if len(third.Since(0)) != 1 {
		t.Error("what the records haven't reached is dropped")
	}
	third.Prune(60, func(string) bool { return false })
	if len(third.Since(0)) != 0 {
		t.Error("what has left the records is kept")
	}
}
