package main

import (
	"fmt"
	"time"
)

func runsFor(seconds float64) func(int) float64 { return func(int) float64 { return seconds } }

// payout is a service of tipshare, as its page describes the class.
func payout(id string) *job {
	return &job{
		id: id, lane: "payout-api", crew: "platform-ops", shape: "daemon", rank: "prod", pips: 1, cores: 4, memoryGB: 6.1,
		plumage: "img-payout", pullGB: 0.3,
	}
}

// tally is a small array of tipshare.
func tally(id string, seconds float64) *job {
	return &job{
		id: id, lane: "shift-tally", crew: "platform-ops", shape: "sweep", rank: "standard", pips: 1, cores: 2,
		memoryGB: 3.1, plumage: "img-tally", pullGB: 0.2, borrowed: true, guessS: seconds, runS: runsFor(seconds),
	}
}

// startPayout submits a service and returns the machine that runs it.
func startPayout(r *rig) *machine {
	service := payout("j-000001")
	r.submit(service, 0)
	r.await(25*time.Second, "machine with the service", func() bool { return r.machineOf("j-000001/0") != "" })
	id := r.machineOf("j-000001/0")
	time.Sleep(2 * time.Second) // the report that it runs
	return r.anyWorker(func(m *machine) bool { return m.id == id })
}

// failOnce submits jobs while a machine fails every task that it starts, and ends that as soon as each has failed
// once. Without the disruption it only submits them.
func failOnce(r *rig, host *machine, trouble bool, jobs ...*job) {
	if trouble {
		r.event("TROUBLE: %s fails every task that it starts", host.id)
		host.worker.setSick(true)
	}
	for i, j := range jobs {
		r.submit(j, i)
	}
	for _, j := range jobs {
		pip := j.id + "/0"
		r.await(15*time.Second, "start of "+pip, func() bool { return r.startsOf(pip) > 0 })
		if trouble {
			r.await(5*time.Second, "end of "+pip, func() bool { return r.machineOf(pip) == "" })
		}
	}
	if trouble {
		host.worker.setSick(false)
		r.event("TROUBLE is over: %s fails no more tasks", host.id)
	}
}

// playOneFailure: a machine fails one task that it starts, and is sound again at once.
func playOneFailure(r *rig, trouble bool) string {
	host := startPayout(r)
	first, next := tally("j-000002", 4), tally("j-000003", 4)
	failOnce(r, host, trouble, first)
	time.Sleep(time.Second)
	r.submit(next, 1)
	check := &waitCheck{r: r}
	check.watch(first, 0)
	check.watch(next, 0)
	return check.run(longestWait+5*time.Second, r.isDone)
}

// playTwoFailures: a machine fails the two tasks that it starts, and is sound again at once.
func playTwoFailures(r *rig, trouble bool) string {
	host := startPayout(r)
	first, second, next := tally("j-000002", 4), tally("j-000003", 4), tally("j-000004", 4)
	first.cores, second.cores, next.cores = 1, 1, 1
	failOnce(r, host, trouble, first, second)
	time.Sleep(time.Second)
	r.submit(next, 1)
	check := &waitCheck{r: r}
	check.watch(next, 0)
	return check.run(longestWait+5*time.Second, r.isDone)
}

// playZoneRule: a job bound to one zone loses the machine that runs it; two machines have room for one of its two
// tasks each, and belong to two other controllers.
func playZoneRule(r *rig, trouble bool) string {
	rented := 0
	r.cloud.nextName = func(atLeast int) int {
		rented++
		if rented > len(r.settings.nodes) {
			return atLeast
		}
		return nextOwnedBy(r.settings.nodes[rented-1], r.settings.nodes, atLeast)
	}
	bound := &job{
		id: "j-000001", lane: "catchment-sweep", crew: "uwi-hydro-lab", shape: "sweep", rank: "standard", pips: 2, cores: 7,
		memoryGB: 23, plumage: "img-catchment", pullGB: 0.2, grove: "kingston-rack", oneZone: true, guessS: 300,
		runS: runsFor(300),
	}
	r.submit(bound, 0)
	r.await(20*time.Second, "machine with both tasks of the job", func() bool {
		return r.machineOf("j-000001/0") != "" && r.machineOf("j-000001/0") == r.machineOf("j-000001/1")
	})
	host := r.machineOf("j-000001/0")
	for i := range 2 {
		other := *bound
		other.id, other.pips, other.cores, other.oneZone = fmt.Sprintf("j-00000%d", 2+i), 1, 9, false
		r.submit(&other, i)
	}
	r.await(20*time.Second, "machines with the other jobs", func() bool {
		return r.machineOf("j-000002/0") != "" && r.machineOf("j-000003/0") != ""
	})
	time.Sleep(time.Second)
	for _, m := range r.cloud.running() {
		r.event("%s reports to %s", m.id, m.worker.ownerNow())
	}
	check := &waitCheck{r: r}
	check.watch(bound, 0)
	check.watch(bound, 1)
	if trouble {
		r.cloud.die(host)
	}
	return check.run(longestWait+2*time.Second, func(string) bool { return false })
}

// playScavenger: the cloud takes back the cheap machine that runs a job of the lowest priority; an ordinary machine
// has room for it.
func playScavenger(r *rig, trouble bool) string {
	guest := &job{
		id: "j-000001", lane: "menu-trend-mining", crew: "bayanihan-analytics", shape: "sweep", rank: "best_effort", pips: 2,
		cores: 3, memoryGB: 4, plumage: "img-trend", pullGB: 0.2, borrowed: true, guessS: 300,
		runS: func(pip int) float64 { return []float64{2, 300}[pip] },
	}
	r.submit(guest, 0)
	r.await(20*time.Second, "end of the job's first task", func() bool {
		return r.isDone("j-000001/0") && r.machineOf("j-000001/1") != ""
	})
	host := r.machineOf("j-000001/1")
	cheap := tally("j-000003", 300) // a second cheap machine, so that the wave takes half of them
	cheap.cores, cheap.memoryGB = 8, 6
	r.submit(cheap, 2)
	r.await(20*time.Second, "second cheap machine", func() bool { return r.machineOf("j-000003/0") != "" })
	long := tally("j-000002", 300)
	long.cores, long.memoryGB, long.borrowed = 4, 6, false
	r.submit(long, 1)
	r.await(20*time.Second, "ordinary machine with the other job", func() bool { return r.machineOf("j-000002/0") != "" })
	time.Sleep(2 * time.Second)
	check := &waitCheck{r: r}
	check.watch(guest, 1)
	if trouble {
		r.cloud.takeBack(host)
	}
	return check.run(longestWait+2*time.Second, func(string) bool { return false })
}

// playHeldBack: the cloud takes back the cheap machine that runs a large task and a small service; an ordinary machine
// has room for the service, not for the task.
func playHeldBack(r *rig, trouble bool) string {
	rented := 0
	r.cloud.nextName = func(atLeast int) int {
		rented++
		if rented > 2 {
			return atLeast
		}
		return nextOwnedBy(r.settings.nodes[0], r.settings.nodes, atLeast)
	}
	long := tally("j-000001", 300)
	long.cores, long.memoryGB, long.borrowed, long.breeds, long.grove = 20, 20, false, []string{"barge32"}, "manila-east"
	r.submit(long, 0)
	r.await(20*time.Second, "ordinary machine with the first job", func() bool { return r.machineOf("j-000001/0") != "" })
	large := *long
	large.id, large.rank, large.borrowed = "j-000002", "high", true
	r.submit(&large, 0)
	r.await(20*time.Second, "cheap machine with the large task", func() bool { return r.machineOf("j-000002/0") != "" })
	host := r.machineOf("j-000002/0")
	service := payout("j-000003")
	service.lane, service.rank, service.cores, service.memoryGB, service.borrowed = "tip-watch", "standard", 2, 3, true
	r.submit(service, 0)
	cheap := tally("j-000004", 300) // a second cheap machine, so that the wave takes half of them
	cheap.cores, cheap.memoryGB, cheap.breeds = 8, 6, []string{"sari8"}
	r.submit(cheap, 2)
	r.await(20*time.Second, "service on the cheap machine, and a second one", func() bool {
		return r.machineOf("j-000003/0") == host && r.machineOf("j-000004/0") != ""
	})
	time.Sleep(time.Second)
	check := &waitCheck{r: r}
	check.watch(service, 0)
	if trouble {
		r.cloud.takeBack(host)
	}
	return check.run(longestWait+2*time.Second, func(string) bool { return false })
}

// drained is the wastewater side with drains, as docs/operators/drains.md enables them.
func drained() *settings {
	s := sewer()
	s.extraSettings = []string{"deploy/drains.yaml"}
	return s
}

// playDrainCrash: a drain with replacements waits for room; one controller after the other is refused by the state
// service alone, and while it is, a user cancels a service on the drained machine.
func playDrainCrash(r *rig, trouble bool) string {
	r.state.slowShare = 0.1
	r.cloud.fullZones = []string{"mandeville-rack"}
	const rounds, perRound = 13, 3
	for i := range rounds * perRound {
		service := payout(fmt.Sprintf("j-%06d", i+1))
		service.lane, service.crew, service.cores, service.memoryGB = "overflow-watch", "wastewater-ops", 0.25, 1
		r.submit(service, i)
	}
	r.await(30*time.Second, "machine with all services", func() bool {
		for i := range rounds * perRound {
			if r.machineOf(fmt.Sprintf("j-%06d/0", i+1)) == "" {
				return false
			}
		}
		return true
	})
	r.operate("drain", "start", "rack", "--zone", "spanish-town-rack", "--replace")
	time.Sleep(3 * time.Second)
	for round := range rounds {
		first := round * perRound
		owner := ""
		for _, m := range r.cloud.running() {
			if m.id == r.machineOf(fmt.Sprintf("j-%06d/0", first+1)) {
				owner = m.worker.ownerNow()
			}
		}
		var others []string
		for _, node := range r.settings.nodes {
			if node != owner {
				others = append(others, node)
			}
		}
		refused := others[round%2]
		if trouble {
			r.event("TROUBLE: the state service refuses %s alone", refused)
			r.state.refuse(refused, true)
		}
		for i := range perRound {
			id := fmt.Sprintf("j-%06d", first+i+1)
			r.eventually(3*time.Second, func() bool { return r.cancel(id, owner) })
		}
		time.Sleep(5700 * time.Millisecond)
		if trouble {
			r.state.endRefusal(refused)
			r.event("TROUBLE is over: the state service serves %s again", refused)
		}
		time.Sleep(time.Second)
		for _, node := range r.settings.nodes {
			if why, ended := r.hasEnded(node); ended {
				return fmt.Sprintf("%s ended by itself: %s", node, why)
			}
		}
	}
	return ""
}

// playZoneLarge: a job bound to one zone needs four machines. There is no disruption; for comparison with playZoneRule.
func playZoneLarge(r *rig, _ bool) string {
	bound := &job{
		id: "j-000001", lane: "catchment-sweep", crew: "uwi-hydro-lab", shape: "sweep", rank: "standard", pips: 8, cores: 8,
		memoryGB: 23, plumage: "img-catchment", pullGB: 0.2, oneZone: true, guessS: 300, runS: runsFor(300),
	}
	r.submit(bound, 0)
	check := &waitCheck{r: r}
	for pip := range bound.pips {
		check.watch(bound, pip)
	}
	return check.run(longestWait+20*time.Second, func(string) bool { return false })
}
