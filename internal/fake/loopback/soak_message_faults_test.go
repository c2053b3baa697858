package loopback

import (
	"fmt"
	"net/http"
	"time"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

func (p *soakPlanner) loseCommitAnswers(at time.Duration) {
	share := p.rnd.Float64()
	p.addSimulated(at, p.between(2*time.Second, 10*time.Second), fmt.Sprintf("%.2f of commit answers are lost", share),
		func() {
			p.run.Store.LoseResponse = func(*protocol.Transaction) bool { return p.run.random.chance(share) }
		},
		func() { p.run.Store.LoseResponse = nil })
}

func (p *soakPlanner) delayCommits(at time.Duration) {
	share := p.rnd.Float64() / 4
	p.addSimulated(at, p.between(2*time.Second, 10*time.Second), fmt.Sprintf("%.2f of commits are late", share),
		func() {
			p.run.Store.DelayCommit = func(*protocol.Transaction) monotime.Micros {
				if p.run.random.chance(share) {
					return monotime.FromDuration(p.run.random.between(2*time.Second, 6*time.Second))
				}
				return 0
			}
		}, func() { p.run.Store.DelayCommit = nil })
}

func (p *soakPlanner) slowReplies(at time.Duration) {
	most := p.between(100*time.Millisecond, time.Second)
	p.addSimulated(at, p.between(2*time.Second, 12*time.Second), "slow replies of the state service, up to "+most.String(),
		func() {
			p.run.Store.DelayResponse = func(string, *protocol.StoreCall) monotime.Micros {
				return monotime.FromDuration(p.run.random.between(0, most))
			}
		}, func() { p.run.Store.DelayResponse = nil })
}

func (p *soakPlanner) delayCommands(at time.Duration) {
	share := p.rnd.Float64()
	p.add(at, p.between(5*time.Second, 25*time.Second), fmt.Sprintf("%.2f of direct commands are late", share), func() {
		p.run.SetFaults(func(caller string, r *http.Request) Fault {
			if caller == "worker" && r.URL.Path == protocol.WorkerCommandsPath && p.run.random.chance(share) {
				return Fault{Delay: p.run.random.between(time.Second, 8*time.Second)}
			}
			return Fault{}
		})
	}, func() { p.run.SetFaults(nil) })
}

// copyReports delivers copies of heartbeats to all controllers later, some after more than a lease.
func (p *soakPlanner) copyReports(at time.Duration) {
	share := p.rnd.Float64() / 2
	most := 2 * p.run.timing.lease
	copyLater := func(_ *fake.Worker, _ string, body []byte) bool {
		if p.run.random.chance(share) {
			p.run.SimClock.After(monotime.FromDuration(p.run.random.between(time.Second, most.Duration())), func() {
				p.run.postCopies([][]byte{body})
			})
		}
		return false
	}
	p.add(at, p.between(5*time.Second, 20*time.Second), fmt.Sprintf("copies of %.2f of the heartbeats come late", share),
		func() { p.run.SetHeartbeatFaults(copyLater) }, func() { p.run.SetHeartbeatFaults(nil) })
}

// copyReportsToNextLeader keeps copies of heartbeats until another controller leads.
func (p *soakPlanner) copyReportsToNextLeader(at time.Duration) {
	var copies [][]byte
	leader := ""
	keep := func(_ *fake.Worker, _ string, body []byte) bool {
		var current storage.Leader
		p.run.Store.Read(storage.LeaderKey, &current)
		if current.Node != "" && current.Node != leader {
			p.run.postCopies(copies)
			copies, leader = nil, current.Node
		}
		if p.run.random.chance(0.3) && len(copies) < 200 {
			copies = append(copies, body)
		}
		return false
	}
	p.add(at, p.between(5*time.Second, 20*time.Second), "copies of heartbeats reach the next leader",
		func() { leader = p.run.leader(); p.run.SetHeartbeatFaults(keep) }, func() { p.run.SetHeartbeatFaults(nil) })
}
