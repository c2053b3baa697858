//go:build review

package main

import (
	"strings"
	"time"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/fake/loopback"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

func init() { cases["zone"] = playZone }

// Times of the disruption. A transaction that gets no answer is carried out 2 to 12 s later.
const (
	lateSecondTask = 6 * monotime.Second
	lateRewrite    = 11 * monotime.Second
)

// The job with a zone rule, and the service of higher priority.
const (
	pairJob   = "j-000900"
	urgentJob = "j-000901"
)

// zonePlan watches the assignments of the job and decides which transactions are late. All fields are used inside
// Clock.Do only.
type zonePlan struct {
	l         *lab
	trouble   bool
	closed    bool
	first     string // the shard that got the first task
	second    string // the shard whose transaction assigns the second task
	all, late int
	events    chan string // "first" and "second" when these transactions arrive
}

func (p *zonePlan) delay(txn *protocol.Transaction) monotime.Micros {
	if p.closed {
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
		if op.Put == p.second && p.trouble {
			p.late++
			go p.l.note("state service: a transaction of %s on %s gets no answer and is carried out in %v",
				shard.Owner, op.Put, lateRewrite.Duration())
			return lateRewrite
		}
		entry := shard.Jobs[pairJob]
		switch {
		case entry == nil || len(entry.Attempts) == 0 || p.second != "":
		case p.first == "":
			p.first = op.Put
			p.events <- "first"
		case op.Put != p.first:
			p.second = op.Put
			p.events <- "second"
			if p.trouble {
				p.late++
				go p.l.note("state service: the assignment of the second task in %s gets no answer and is carried out in %v",
					op.Put, lateSecondTask.Duration())
				return lateSecondTask
			}
		}
	}
	return 0
}

// place is a machine in a shard.
type place struct{ shard, machine, zone string }

// placesOf returns the machines of a controller.
func (l *lab) placesOf(owner string) []place {
	var places []place
	l.eachShard(func(key string, shard *storage.Shard) {
		for id, machine := range shard.Machines {
			if shard.Owner == owner {
				places = append(places, place{key, id, machine.Zone})
			}
		}
	})
	return places
}

// smallServiceOn returns the small service that runs on a machine.
func (l *lab) smallServiceOn(machine string) (id string) {
	l.Clock.Do(func() {
		for task := range l.Fleet.Workers[machine].Attempts {
			if job, _, _ := strings.Cut(task, "/"); job > jobID(machines) {
				id = job
			}
		}
	})
	return id
}

// playZone: the transaction that assigns the second task of a job with `one_zone` has no answer yet when the first
// task is preempted and is assigned again.
func playZone(l *lab) {
	const zoneA, zoneB = "kingston-rack", "mobay-rack"
	zones := []string{zoneA, zoneB}
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
		l.Cloud.Capacity[fake.OfferKey("mango16", zoneA, false)] = machines / 2
		l.Cloud.Capacity[fake.OfferKey("mango16", zoneB, true)] = machines / 2
	})
	l.fill(1, largeCPUs, true)
	l.fill(1+machines, smallCPUs, true)
	time.Sleep(settleTime)

	owner, first, second, other := l.choosePlaces(zoneA, zoneB)
	l.note("plan: %s owns %v, %v and %v", owner, first, second, other)
	cancel := func(id string) { l.ask(owner, "POST", protocol.CancelPath(id), id, nil) }
	cancel(l.smallServiceOn(first.machine))
	later := []string{l.smallServiceOn(other.machine), l.smallServiceOn(second.machine)}
	time.Sleep(settleTime)

	plan := &zonePlan{l: l, trouble: l.trouble, events: make(chan string, 2)}
	l.Clock.Do(func() { l.Store.DelayCommit = plan.delay })
	pair := service(pairJob, guestTeam, 2, smallCPUs)
	pair.Priority, pair.OneZone, pair.Spot = protocol.Standard, true, true
	if !l.submit(owner, pair, 10*time.Second) {
		panic(notRun{"the job was not accepted"})
	}
	plan.await("first")
	for _, id := range later {
		go cancel(id)
	}
	plan.await("second")
	urgent := service(urgentJob, guestTeam, 1, smallCPUs)
	urgent.Priority, urgent.Zone = protocol.Production, zoneA
	go l.submit(owner, urgent, 10*time.Second)
	time.Sleep(lateSecondTask.Duration() + 100*time.Millisecond)
	l.Clock.Do(func() { plan.closed = true })
	l.note("the state service is as before: %d of %d transactions were late", plan.late, plan.all)
	time.Sleep(20 * time.Second)
	l.ask(owner, "GET", protocol.JobPath(pairJob), pairJob, nil)
	l.ask(owner, "GET", protocol.JobPath(urgentJob), urgentJob, nil)
}

// await waits for a transaction.
func (p *zonePlan) await(event string) {
	select {
	case got := <-p.events:
		p.l.note("plan: the transaction that assigns the %s task", got)
	case <-time.After(15 * time.Second):
		panic(notRun{"no transaction assigns the " + event + " task"})
	}
}

// choosePlaces returns a controller with a machine of zone a in one shard, another one in a second shard, and a
// machine of zone b that is not in the second shard.
func (l *lab) choosePlaces(a, b string) (owner string, first, second, other place) {
	for _, owner := range l.Controllers {
		places := l.placesOf(owner)
		for _, first := range places {
			for _, second := range places {
				for _, other := range places {
					if first.zone == a && second.zone == a && other.zone == b &&
						first.shard != second.shard && other.shard != second.shard {
						return owner, first, second, other
					}
				}
			}
		}
	}
	panic(notRun{"no controller has fitting shards"})
}
