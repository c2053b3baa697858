package cancellation

import (
	"fmt"
	"slices"
	"testing"

	"pipitgap/internal/monotime"
)

// relayPair is two controllers' relays, and the messages of a round that are delivered.
type relayPair struct{ holder, confirmer *Relay }

func newPair() *relayPair {
	return &relayPair{NewRelay(11, []string{"confirmer"}), NewRelay(22, []string{"holder"})}
}

// deliverToConfirmer delivers the holder's round to the confirmer.
func (p *relayPair) deliverToConfirmer(now monotime.Micros, watched uint64) {
	for _, m := range p.holder.MessagesFor("confirmer", now, watched, true) {
		p.confirmer.Receive("holder", m)
	}
}

// deliverToHolder delivers the confirmer's round to the holder, without the messages in lost.
func (p *relayPair) deliverToHolder(complete bool, lost ...int) []Committed {
	var fresh []Committed
	for i, m := range p.confirmer.MessagesFor("holder", 1_000_000, 0, complete) {
		if !slices.Contains(lost, i) {
			fresh = append(fresh, p.holder.Receive("confirmer", m)...)
		}
	}
	return fresh
}

func TestConfirmedOnlyAfterRoundTrip(t *testing.T) {
	const told, now = monotime.Micros(500), monotime.Micros(900)
	many := func(r *Relay) {
		for i := range 2*maxCommittedPerMessage + 1 {
			r.Add(Committed{fmt.Sprintf("j-%d", i), uint64(100 + i)})
		}
	}
	cases := []struct {
		name     string
		do       func(p *relayPair) int // returns the cancellations that reached the holder
		until    monotime.Micros
		received int
	}{
		{"nothing heard", func(*relayPair) int { return 0 }, 0, 0},
		{
			"one round trip",
			func(p *relayPair) int { p.deliverToConfirmer(told, 50); return len(p.deliverToHolder(true)) },
			told,
			0,
		},
		{"a word that echoes nothing", func(p *relayPair) int { return len(p.deliverToHolder(true)) }, 0, 0},
		{
			"a peer that hasn't read its records",
			func(p *relayPair) int { p.deliverToConfirmer(told, 50); return len(p.deliverToHolder(false)) },
			0,
			0,
		},
		{"a cancellation goes along", func(p *relayPair) int {
			p.deliverToConfirmer(told, 50)
			p.confirmer.Add(Committed{"j-1", 60})
			return len(p.deliverToHolder(true))
		}, told, 1},
		{"what the mirror has is left out", func(p *relayPair) int {
			p.deliverToConfirmer(told, 60)
			p.confirmer.Add(Committed{"j-1", 60})
			return len(p.deliverToHolder(true))
		}, told, 0},
		{"many cancellations", func(p *relayPair) int {
			p.deliverToConfirmer(told, 50)
			many(p.confirmer)
			return len(p.deliverToHolder(true))
		}, told, 2*maxCommittedPerMessage + 1},
		{"many, the first message lost", func(p *relayPair) int {
			p.deliverToConfirmer(told, 50)
			many(p.confirmer)
			return len(p.deliverToHolder(true, 0))
		}, 0, maxCommittedPerMessage + 1},
		{"many, the last message lost", func(p *relayPair) int {
			p.deliverToConfirmer(told, 50)
			many(p.confirmer)
			return len(p.deliverToHolder(true, 2))
		}, 0, 2 * maxCommittedPerMessage},
		{"many, the next round whole", func(p *relayPair) int {
			p.deliverToConfirmer(told, 50)
			many(p.confirmer)
			n := len(p.deliverToHolder(true, 1))
			return n + len(p.deliverToHolder(true))
		}, told, 2*maxCommittedPerMessage + 1},
		{"an echo of an earlier life of the holder", func(p *relayPair) int {
			p.deliverToConfirmer(told, 50)
			p.holder = NewRelay(12, []string{"confirmer"})
			return len(p.deliverToHolder(true))
		}, 0, 0},
		{"a late round of an earlier life of the holder", func(p *relayPair) int {
			late := p.holder.MessagesFor("confirmer", told, 50, true)
			p.holder = NewRelay(12, []string{"confirmer"})
			p.deliverToConfirmer(100, 0)
			p.confirmer.Receive("holder", late[0])
			return len(p.deliverToHolder(true))
		}, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := newPair()
			if n := tc.do(p); n != tc.received {
				t.Errorf("%d cancellations reach the holder, not %d", n, tc.received)
			}
			if got := p.holder.ConfirmedUntil(0, now); got != tc.until {
				t.Errorf("known until %d, not %d", got, tc.until)
			}
			if got := p.holder.ConfirmedUntil(700, now); got != 700 {
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
	holder := NewRelay(1, []string{"a", "b"})
	for _, name := range []string{"a", "b"} {
		if got := holder.ConfirmedUntil(0, 900); got != 0 {
			t.Errorf("before %s is heard: known until %d", name, got)
		}
		other := NewRelay(2, []string{"holder"})
		other.Receive("holder", holder.MessagesFor(name, 500, 0, true)[0])
		holder.Receive(name, other.MessagesFor("holder", 7, 0, true)[0])
	}
	if got := holder.ConfirmedUntil(0, 900); got != 500 {
		t.Errorf("known until %d", got)
	}
	if holder.Receive(
		"stranger",
		RoundMessage{RecordsLoaded: true, MessagesInRound: 1, EchoedIncarnation: 1, EchoedClock: 800},
	) != nil {
		t.Error("a stranger is listened to")
	}
}

// TestReceivedCancellationsAreRelayed: a third controller passes on what the confirmer told it, also when the
// confirmer is gone; what is over everywhere is forgotten.
func TestReceivedCancellationsAreRelayed(t *testing.T) {
	third := NewRelay(3, []string{"confirmer", "holder"})
	third.Receive(
		"confirmer",
		RoundMessage{MessagesInRound: 1, Committed: []Committed{{"j-1", 60}, {"j-2", 61}}},
	)
	third.Forget("j-2")
	ms := third.MessagesFor("holder", 5, 0, true)
	if len(ms) != 1 || !slices.Equal(ms[0].Committed, []Committed{{"j-1", 60}}) {
		t.Errorf("passed on: %+v", ms)
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
