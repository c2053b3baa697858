package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The soak is no case: it looks for faults with random jobs and random disruptions. SEED sets the plan.

// rules checks the rules of the protocol.
type rules struct {
	r         *rig
	limits    map[string]float64
	zoneOf    map[string]string
	broken    []string
	told      map[string]time.Time // when a user was told that a job is cancelled
	final     map[string]string
	finalAt   map[string]time.Time
	accepted  map[string]time.Time
	cancelled map[string]bool
}

func (k *rules) violate(format string, args ...any) {
	k.broken = append(k.broken, fmt.Sprintf(format, args...))
}

// started is called with the rig's lock held, before the attempt counts as live.
func (k *rules) started(machine string, a *attempt) {
	used, sameZone, otherZones := a.job.cores, 0, 0
	zone := k.zoneOf[machine]
	for other, attempts := range k.r.live {
		for pip, live := range attempts {
			if pip == a.pip {
				k.violate("ran_twice: %s starts on %s and is on %s", pip, machine, other)
			}
			if live.job.crew == a.job.crew {
				used += live.job.cores
			}
			if live.job == a.job && pip != a.pip {
				if k.zoneOf[other] == zone {
					sameZone++
				} else {
					otherZones++
				}
			}
		}
	}
	if limit := k.limits[a.job.crew]; limit > 0 && used > limit+1e-6 {
		k.violate("quota: %s uses %g", a.job.crew, used)
	}
	if a.job.grove != "" && a.job.grove != zone || a.job.oneZone && otherZones > 0 ||
		a.job.apart && sameZone+1 > (a.job.pips+1)/2 {
		k.violate("wrong_place: %s on %s", a.pip, machine)
	}
	if at := k.told[a.job.id]; !at.IsZero() && time.Since(at).Seconds() > k.r.settings.cancelS {
		k.violate("ran_cancelled: %s starts on %s", a.pip, machine)
	}
}

// checkLive looks for tasks of cancelled jobs that are still on a machine.
func (k *rules) checkLive() {
	k.r.mu.Lock()
	defer k.r.mu.Unlock()
	for machine, attempts := range k.r.live {
		for pip, a := range attempts {
			if at := k.told[a.job.id]; !at.IsZero() && time.Since(at).Seconds() > k.r.settings.cancelS+0.2 {
				k.violate("ran_cancelled: %s is on %s", pip, machine)
				delete(k.told, a.job.id)
			}
		}
	}
}

// answered checks an answer about a job that was asked for at a time.
func (k *rules) answered(j *job, sentAt time.Time, status int, answer object, what string) {
	k.r.mu.Lock()
	defer k.r.mu.Unlock()
	at := k.accepted[j.id]
	if status == 404 || status == 400 || status == 422 {
		if !at.IsZero() && at.Before(sentAt) {
			k.violate("forgotten: %s of %s is answered %d", what, j.id, status)
		}
		return
	}
	if status != 200 && status != 201 {
		return
	}
	if at.IsZero() {
		k.accepted[j.id] = time.Now()
	}
	state := textOf(answer, "status")
	final := state == "done" || state == "cancelled"
	before := k.final[j.id]
	if before != "" && state != before && (final || k.finalAt[j.id].Before(sentAt)) {
		k.violate("went_back: %s was %s, %s is answered %s", j.id, before, what, state)
	}
	if state == "cancelled" && !k.cancelled[j.id] {
		k.violate("went_back: %s is called cancelled, nobody cancelled it", j.id)
	}
	if state == "done" {
		for pip := range j.pips {
			if k.r.doneAt[fmt.Sprintf("%s/%d", j.id, pip)].IsZero() {
				k.violate("not_done: %s/%d", j.id, pip)
			}
		}
	}
	if final && before == "" {
		k.final[j.id], k.finalAt[j.id] = state, time.Now()
		if state == "cancelled" {
			k.told[j.id] = time.Now()
		}
	}
}

func soakSeed() uint64 {
	n, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	return n
}

func soakSettings() *settings {
	rnd := rand.New(rand.NewPCG(soakSeed(), 1))
	s := kingston()
	if rnd.IntN(2) == 0 {
		s = tipshare()
		s.reportS, s.leaseS, s.cancelS = 0.8, 10, 30
	}
	s.teams += team("tight", 8, 24)
	if os.Getenv("DRAINS") != "" {
		s.extraSettings = []string{"deploy/drains.yaml"}
	}
	return s
}

type soak struct {
	r      *rig
	rnd    *rand.Rand
	rules  *rules
	mu     sync.Mutex
	jobs   []*job
	stop   chan struct{}
	number int
	kinds  string
}

func (s *soak) newJob() *job {
	s.number++
	crew := s.r.settings.nodes[0]
	switch {
	case s.rnd.IntN(3) == 0:
		crew = "tight"
	case s.r.settings.leaseS == 12:
		crew = []string{"field-crew", "network-modelling", "data-desk", "uwi-hydro-lab"}[s.rnd.IntN(4)]
	default:
		crew = "platform-ops"
	}
	ranks := []string{"prod", "high", "standard", "best_effort"}
	j := &job{
		id: fmt.Sprintf("j-%06d", s.number), lane: "leak-scan", crew: crew, shape: "sweep", rank: ranks[s.rnd.IntN(4)],
		pips: 1 + s.rnd.IntN(6), cores: float64(1 + s.rnd.IntN(5)), memoryGB: 2, plumage: fmt.Sprintf("img-%d", s.rnd.IntN(3)),
		pullGB: 0.3, borrowed: s.rnd.IntN(2) == 0,
	}
	seconds := 1 + 8*s.rnd.Float64()
	if s.rnd.IntN(6) == 0 {
		seconds = 30
	}
	j.guessS, j.runS = seconds, runsFor(seconds)
	if os.Getenv("ZONES") != "" && s.rnd.IntN(3) == 0 && j.pips > 1 {
		j.oneZone, j.apart = true, false
		if s.rnd.IntN(2) == 0 {
			j.oneZone, j.apart = false, true
		}
	}
	if j.crew != "tight" && s.rnd.IntN(5) == 0 {
		j.shape, j.lane, j.guessS, j.pips, j.borrowed = "daemon", "logger-intake", 0, 1+s.rnd.IntN(2), false
		if j.rank == "best_effort" {
			j.rank = "high"
		}
	}
	if j.rank == "best_effort" && j.borrowed { // no scavengers
		j.borrowed = false
	}
	return j
}

func (s *soak) user(j *job) {
	r := s.r
	body := j.body()
	node := rand.IntN(len(r.settings.nodes))
	accepted := false
	for ends := time.Now().Add(60 * time.Second); time.Now().Before(ends); {
		sent := time.Now()
		status, answer := r.user.call("POST", r.public[r.settings.nodes[node]], "/v2/runs", body)
		reply, _ := decodeObject(answer)
		s.rules.answered(j, sent, status, reply, "submission")
		if status == 200 || status == 201 {
			accepted = true
			break
		}
		node = (node + 1) % len(r.settings.nodes)
		time.Sleep(time.Second)
	}
	if !accepted {
		return
	}
	cancelAt := time.Time{}
	if rand.IntN(4) == 0 {
		cancelAt = time.Now().Add(rand.N(20 * time.Second))
	}
	confirmed := false
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Second + rand.N(2*time.Second)):
		}
		if !cancelAt.IsZero() && time.Now().After(cancelAt) && !confirmed {
			r.mu.Lock()
			s.rules.cancelled[j.id] = true
			r.mu.Unlock()
			sent := time.Now()
			status, answer := r.user.call("POST", r.public[r.settings.nodes[rand.IntN(len(r.settings.nodes))]], "/v2/runs/"+j.id+"/abort", nil)
			reply, _ := decodeObject(answer)
			s.rules.answered(j, sent, status, reply, "abort")
			confirmed = status == 200
		}
		for k := range r.settings.nodes {
			if k > 0 && rand.IntN(3) > 0 {
				continue
			}
			sent := time.Now()
			status, answer := r.user.call("GET", r.public[r.settings.nodes[(node+k)%len(r.settings.nodes)]], "/v2/runs/"+j.id, nil)
			reply, _ := decodeObject(answer)
			s.rules.answered(j, sent, status, reply, "poll")
		}
		node = rand.IntN(len(r.settings.nodes))
	}
}

func (s *soak) workers(share float64, set func(w *worker, on bool), wait time.Duration) {
	var picked []*worker
	for _, m := range s.r.cloud.running() {
		if rand.Float64() < share {
			picked = append(picked, m.worker)
		}
	}
	each := func(on bool) {
		for _, w := range picked {
			w.mu.Lock()
			set(w, on)
			w.mu.Unlock()
		}
	}
	each(true)
	time.Sleep(wait)
	each(false)
}

func (s *soak) trouble(wg *sync.WaitGroup) {
	defer wg.Done()
	r := s.r
	time.Sleep(time.Duration(s.rnd.Float64() * 10 * float64(time.Second)))
	node := r.settings.nodes[s.rnd.IntN(len(r.settings.nodes))]
	length := time.Duration((3 + 20*s.rnd.Float64()) * float64(time.Second))
	kind := s.rnd.IntN(18)
	if r.links != nil && s.rnd.IntN(3) != 0 {
		kind = 18 + s.rnd.IntN(5)
	}
	reset := s.rnd.IntN(2) == 0
	r.event("TROUBLE %d at %s for %v begins", kind, node, length)
	defer r.event("TROUBLE %d at %s ends", kind, node)
	switch kind {
	case 0, 1:
		s.mu.Lock()
		r.kill(node)
		time.Sleep([]time.Duration{100 * time.Millisecond, 3 * time.Second}[kind])
		r.start(node)
		s.mu.Unlock()
	case 2:
		s.mu.Lock()
		for _, node := range r.settings.nodes {
			r.kill(node)
		}
		time.Sleep(3 * time.Second)
		for _, node := range r.settings.nodes {
			r.start(node)
		}
		s.mu.Unlock()
	case 3:
		s.mu.Lock()
		_ = r.process[node].Process.Signal(syscall.SIGSTOP)
		time.Sleep(length)
		_ = r.process[node].Process.Signal(syscall.SIGCONT)
		s.mu.Unlock()
	case 4:
		r.state.outage(true)
		time.Sleep(length)
		r.state.outage(false)
	case 5:
		r.state.refuse(node, true)
		time.Sleep(length)
		r.state.refuse(node, false)
	case 6:
		s.workers(0.4, func(w *worker, on bool) { w.cut = on }, length)
	case 7:
		s.workers(0.4, func(w *worker, on bool) { w.deaf = on }, length)
	case 8:
		s.workers(0.4, func(w *worker, on bool) { w.mute = on }, length)
	case 9:
		s.workers(0.4, func(w *worker, on bool) { w.hang = on }, length/2)
	case 10:
		up := r.cloud.running()
		if len(up) > 0 {
			r.cloud.die(up[rand.IntN(len(up))].id)
		}
	case 11:
		for _, m := range r.cloud.running() {
			if m.borrowed && rand.IntN(2) == 0 {
				r.cloud.takeBack(m.id)
			}
		}
	case 12:
		r.state.mu.Lock()
		r.state.late = func() time.Duration {
			if rand.IntN(4) == 0 {
				return 2*time.Second + rand.N(10*time.Second)
			}
			return 0
		}
		r.state.mu.Unlock()
		time.Sleep(length)
		r.state.mu.Lock()
		r.state.late = nil
		r.state.mu.Unlock()
	case 14:
		r.lateReports.Store(true)
		time.Sleep(length)
		r.lateReports.Store(false)
	case 15:
		r.lateCommands.Store(true)
		time.Sleep(length)
		r.lateCommands.Store(false)
	case 16:
		for _, node := range r.settings.nodes {
			s.mu.Lock()
			r.kill(node)
			time.Sleep(3 * time.Second)
			r.start(node)
			s.mu.Unlock()
			time.Sleep(8 * time.Second)
		}
	case 17:
		s.workers(0.3, func(w *worker, on bool) { w.cut, w.hang = false, false; w.mute = on }, length)
	case 18: // the whole network
		r.cut(node, true, true, true, reset, length)
	case 19: // the state service
		r.cut(node, true, false, false, reset, length)
	case 20: // the workers
		r.cut(node, false, true, false, reset, length)
	case 21: // the peers
		r.cut(node, false, false, true, reset, length)
	case 22: // the state service and the peers
		r.cut(node, true, false, true, reset, length)
	case 13:
		r.state.mu.Lock()
		r.state.lost = func() bool { return rand.IntN(4) == 0 }
		r.state.mu.Unlock()
		time.Sleep(length)
		r.state.mu.Lock()
		r.state.lost = nil
		r.state.mu.Unlock()
	}
}

func playSoak(r *rig, trouble bool) string {
	s := &soak{r: r, rnd: rand.New(rand.NewPCG(soakSeed(), 2)), stop: make(chan struct{})}
	s.rules = &rules{
		r: r, limits: map[string]float64{"tight": 24, "field-crew": 208, "network-modelling": 250, "data-desk": 152},
		zoneOf: map[string]string{}, told: map[string]time.Time{}, final: map[string]string{}, finalAt: map[string]time.Time{},
		accepted: map[string]time.Time{}, cancelled: map[string]bool{},
	}
	r.mu.Lock()
	r.rules = s.rules
	r.mu.Unlock()
	go func() {
		for range time.Tick(200 * time.Millisecond) {
			for _, m := range r.cloud.running() {
				r.mu.Lock()
				s.rules.zoneOf[m.id] = m.zone
				r.mu.Unlock()
			}
			s.rules.checkLive()
		}
	}()
	go func() {
		for range time.Tick(300 * time.Millisecond) {
			s.mu.Lock()
			for node := range r.process {
				if why, ended := r.hasEnded(node); ended {
					r.mu.Lock()
					s.rules.violate("%s ended by itself: %s", node, why)
					r.mu.Unlock()
				}
			}
			s.mu.Unlock()
		}
	}()
	if len(r.settings.extraSettings) > 0 {
		go s.drainAtRandom()
	}
	var wg sync.WaitGroup
	began := time.Now()
	count := 2 + s.rnd.IntN(3)
	started := false
	for time.Since(began) < 60*time.Second {
		j := s.newJob()
		r.mu.Lock()
		r.jobs[j.id] = j
		r.mu.Unlock()
		s.jobs = append(s.jobs, j)
		go s.user(j)
		time.Sleep(time.Duration(s.rnd.Float64() * 1.6 * float64(time.Second)))
		if !started && trouble && time.Since(began) > 15*time.Second {
			started = true
			for range count {
				wg.Add(1)
				go s.trouble(&wg)
			}
		}
	}
	wg.Wait()
	r.event("TROUBLE is over")
	check := &waitCheck{r: r}
	watched := map[string]bool{}
	ends := time.Now().Add(125 * time.Second)
	for time.Now().Before(ends) && len(s.rules.broken) == 0 {
		time.Sleep(200 * time.Millisecond)
		check.watched = nil
		r.mu.Lock()
		for _, j := range s.jobs {
			if s.rules.accepted[j.id].IsZero() || s.rules.cancelled[j.id] || j.oneZone || j.apart {
				continue
			}
			for pip := range j.pips {
				name := fmt.Sprintf("%s/%d", j.id, pip)
				if s.rules.limits[j.crew] > 0 {
					used := j.cores
					for _, attempts := range r.live {
						for _, a := range attempts {
							if a.job.crew == j.crew {
								used += a.job.cores
							}
						}
					}
					if used > s.rules.limits[j.crew] {
						delete(watched, name)
						delete(soakTasks, name)
						continue
					}
				}
				if soakTasks[name] == nil {
					soakTasks[name] = &watchedTask{job: j, pip: pip}
				}
				check.watched = append(check.watched, soakTasks[name])
			}
		}
		r.mu.Unlock()
		if late := check.step(); late != nil {
			return fmt.Sprintf("left waiting: %s beside %s", late.name(), late.machine)
		}
	}
	close(s.stop)
	if len(s.rules.broken) > 0 {
		for _, b := range s.rules.broken {
			r.event("BROKEN: %s", b)
		}
		return s.rules.broken[0]
	}
	return ""
}

var soakTasks = map[string]*watchedTask{}

// drainAtRandom starts, pauses, resumes and aborts drains.
func (s *soak) drainAtRandom() {
	time.Sleep(10 * time.Second)
	for n := 0; n < 12; n++ {
		name := fmt.Sprintf("d-%d", n)
		zone := s.r.settings.zones[rand.IntN(len(s.r.settings.zones))]
		args := []string{"drain", "start", name, "--zone", zone}
		if rand.IntN(3) > 0 {
			args = append(args, "--replace")
		}
		if rand.IntN(2) == 0 {
			args = append(args, "--allow-same")
		}
		s.r.tryOperate(args...)
		time.Sleep(rand.N(8 * time.Second))
		for _, action := range []string{"pause", "resume"} {
			if rand.IntN(3) == 0 {
				s.r.tryOperate("drain", action, name)
				time.Sleep(rand.N(3 * time.Second))
			}
		}
		s.r.tryOperate("drain", "abort", name)
	}
}
