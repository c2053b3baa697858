//go:build review

package main

import (
	"fmt"
	"strings"
	"time"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/fake/loopback"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

func init() { cases["restart"] = playRestart }

// Times of the disruption. A transaction that gets no answer is carried out 2 to 12 s later.
const (
	lateAssignment = 5 * monotime.Second
	lateClaim      = 11 * monotime.Second
	downtime       = 300 * time.Millisecond
)

// guestTeam is the guest team of the site kingston-logger-grid-ops, which has no limit.
const guestTeam = "uwi-hydro-lab"

// Jobs and machines. A machine has room for one large service and one small one.
const (
	machines   = 76
	largeCPUs  = 14
	smallCPUs  = 2
	firstLate  = 900 // number of the first job that is submitted in the window
	lateJobs   = 2
	settleTime = 3 * time.Second
)

// restartPlan decides which transactions are late. All fields are used inside Clock.Do only.
type restartPlan struct {
	l           *lab
	open        bool            // transactions may be late
	controllers map[string]bool // controllers with two shards or more
	victim      string          // the controller whose assignment is late
	shard       string          // the key of the shard of that assignment
	all, late   int             // transactions in the window, and those of them that are late
	chosen      chan string
}

// delay returns how late a transaction is carried out; 0: it is carried out and answered at once.
func (p *restartPlan) delay(txn *protocol.Transaction) monotime.Micros {
	if !p.open {
		return 0
	}
	p.all++
	for _, op := range txn.Then {
		kind, _, _ := storage.SplitKey(op.Put)
		if kind != storage.KindShard {
			continue
		}
		shard, err := storage.DecodeShard(op.Value, nil)
		if err != nil {
			continue
		}
		switch {
		case p.shard == "" && p.controllers[shard.Owner] && assignsLateJob(shard):
			p.victim, p.shard = shard.Owner, op.Put
			p.late++
			go p.l.note("state service: an assignment of %s in %s gets no answer and is carried out in %v",
				p.victim, p.shard, lateAssignment.Duration())
			p.chosen <- p.victim
			return lateAssignment
		case p.shard != "" && op.Put == p.shard:
			p.late++
			go p.l.note("state service: a transaction of %s on %s gets no answer and is carried out in %v",
				shard.Owner, op.Put, lateClaim.Duration())
			return lateClaim
		}
	}
	return 0
}

// assignsLateJob reports whether a shard holds an attempt of a job that was submitted in the window.
func assignsLateJob(shard *storage.Shard) bool {
	for id, entry := range shard.Jobs {
		if id >= jobID(firstLate) && len(entry.Attempts) > 0 {
			return true
		}
	}
	return false
}

// playRestart: a controller ends while the transaction with which it assigns a task has no answer yet, and is
// back at once. The transaction, and those with which the new process claims that shard, are carried out late.
func playRestart(l *lab) {
	zones := []string{"kingston-rack", "mobay-rack"}
	l.deploy(loopback.Options{
		Controllers: 3,
		Zones:       zones,
		Types: []protocol.MachineType{{
			Name: "mango16", CPUs: 16, MemoryGB: 128, OnDemandPrice: 1.06, SpotPrice: 0.43, Zones: zones, BootS: 5,
		}},
		Teams:             append([]config.Team{{Name: guestTeam}}, kingstonTeams...),
		BootTime:          5 * monotime.Second,
		HeartbeatInterval: 2 * monotime.Second,
		LeaseTime:         12 * monotime.Second,
		CancelWithin:      32 * monotime.Second,
		StateRPS:          200,
		StateWriteRPS:     50,
		LogLevel:          "debug",
	}, 4, 12)
	l.Clock.Do(func() {
		for _, zone := range zones {
			l.Cloud.Capacity[fake.OfferKey("mango16", zone, false)] = machines / len(zones)
		}
	})
	l.fill(1, largeCPUs, false)
	l.fill(1+machines, smallCPUs, false)
	time.Sleep(settleTime)

	plan := &restartPlan{l: l, controllers: map[string]bool{}, chosen: make(chan string, 1)}
	target := ""
	owners := l.shardsByOwner()
	for _, owner := range l.Controllers {
		l.note("plan: %s owns %v", owner, owners[owner])
		if target == "" || len(owners[owner]) > len(owners[target]) {
			target = owner
		}
	}
	if len(owners[target]) < 2 {
		panic(notRun{"no controller owns two shards"})
	}
	plan.controllers[target] = true
	l.makeRoom(target)
	time.Sleep(settleTime)
	if l.trouble {
		l.Clock.Do(func() { plan.open, l.Store.DelayCommit = true, plan.delay })
	}
	accepted := make(chan bool, lateJobs)
	for i := range lateJobs {
		go func() {
			accepted <- l.submit(target, service(jobID(firstLate+i), guestTeam, 1, smallCPUs), 30*time.Second)
		}()
	}
	if l.trouble {
		select {
		case victim := <-plan.chosen:
			held := time.Now()
			l.Process(victim).Kill()
			l.note("%s is killed", victim)
			time.Sleep(downtime)
			l.StartController(victim)
			l.note("%s is started again", victim)
			time.Sleep(time.Until(held.Add(lateAssignment.Duration())))
		case <-time.After(15 * time.Second):
			panic(notRun{"no task was assigned"})
		}
		l.Clock.Do(func() { plan.open = false })
		l.note("the state service is as before: %d of %d transactions were late", plan.late, plan.all)
	}
	for range lateJobs {
		if !<-accepted {
			panic(notRun{"a service was not accepted"})
		}
	}
	time.Sleep(25 * time.Second)
	for i := range lateJobs {
		l.ask(l.Controllers[0], "GET", protocol.JobPath(jobID(firstLate+i)), jobID(firstLate+i), nil)
	}
}

func jobID(number int) string { return fmt.Sprintf("j-%06d", number) }

// fill submits a service for each machine, which may use spot machines or not, and waits until all run.
func (l *lab) fill(first int, cpus float64, spot bool) {
	for i := range machines {
		node := l.Controllers[i%len(l.Controllers)]
		filler := service(jobID(first+i), guestTeam, 1, cpus)
		filler.Spot = spot
		if !l.submit(node, filler, 30*time.Second) {
			panic(notRun{"a service was not accepted"})
		}
	}
	running := l.Eventually(30*time.Second, func() bool {
		n := 0
		for i := range machines {
			n += l.Fleet.Running(jobID(first + i))
		}
		return n == machines
	})
	if !running {
		panic(notRun{"the services do not run"})
	}
}

// makeRoom cancels the small services on the machines of a controller.
func (l *lab) makeRoom(owner string) {
	var ids []string
	machinesOf := l.machinesOf(owner)
	l.Clock.Do(func() {
		for id, worker := range l.Fleet.Workers {
			for task := range worker.Attempts {
				if job, _, _ := strings.Cut(task, "/"); machinesOf[id] && job > jobID(machines) {
					ids = append(ids, job)
				}
			}
		}
	})
	for _, id := range ids {
		l.ask(owner, "POST", protocol.CancelPath(id), id, nil)
	}
}
