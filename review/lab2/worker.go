package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// job is what the users submit, and how its tasks run.
type job struct {
	id, lane, crew, shape, rank string
	pips                        int
	cores, memoryGB             float64
	breeds                      []string
	grove                       string
	oneZone, apart, borrowed    bool
	guessS                      float64
	plumage                     string
	pullGB                      float64
	runS                        func(pip int) float64 // run time of a task; sweeps only
}

func (j *job) body() []byte {
	fields := object{
		"id": j.id, "lane": j.lane, "crew": j.crew, "shape": j.shape, "rank": j.rank, "pips": j.pips,
		"cores": j.cores, "accelerators": 0.0, "memory_gb": j.memoryGB, "plumage": j.plumage, "pull_gb": j.pullGB,
		"breeds": nil, "grove": nil, "one_zone": j.oneZone, "apart": j.apart, "borrowed": j.borrowed,
		"guess_s": j.guessS, "perch_s": 0.0, "stash_s": 0.0, "due_s": nil,
	}
	if j.breeds != nil {
		fields["breeds"] = j.breeds
	}
	if j.grove != "" {
		fields["grove"] = j.grove
	}
	return encode(fields)
}

// attempt is a task on a machine.
type attempt struct {
	pip    string
	try    uint64
	job    *job
	status string // pulling, running, exited
	cause  string
}

type attemptKey struct {
	pip string
	try uint64
}

// worker is a stand-in for the worker of a machine.
type worker struct {
	mu                    sync.Mutex
	r                     *rig
	machine               *machine
	endpoint              string
	server                *http.Server
	ended                 bool
	done                  chan struct{}
	roost                 uint64
	chirp                 uint64
	baton                 uint64
	leaseFrom             time.Time
	attempts              map[attemptKey]*attempt
	images                map[string]bool
	sick                  bool   // every task that starts fails
	cut, deaf, mute, hang bool   // see soak.go
	owner                 string // the controller whose report answer was last accepted
	change                chan struct{}
	lastToken             time.Time
	completed             map[string]bool
}

func startWorker(r *rig, m *machine) *worker {
	w := &worker{
		r: r, machine: m, roost: 1, leaseFrom: time.Now(), attempts: map[attemptKey]*attempt{},
		images: map[string]bool{}, change: make(chan struct{}, 1), done: make(chan struct{}), completed: map[string]bool{},
	}
	w.server, w.endpoint = serve(w.ServeHTTP)
	go w.reportLoop()
	go w.watchLease()
	return w
}

// end ends the machine: it answers nothing more, and its tasks are gone.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	close(w.done)
	go func() { _ = w.server.Close() }()
	w.forgetAll("its machine is gone")
}

func (w *worker) forgetAll(why string) {
	for key, a := range w.attempts {
		if a.status != "exited" {
			w.r.taskEvent(w.machine.id, a, "ends: "+why)
		}
		a.status = "forgotten"
		delete(w.attempts, key)
	}
}

func (w *worker) watchLease() {
	lease := w.r.settings.lease()
	for {
		select {
		case <-w.done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		w.mu.Lock()
		if !w.ended && time.Since(w.leaseFrom) > lease {
			w.r.event("%s: its lease has ended", w.machine.id)
			w.forgetAll("lease ended")
			w.roost++
			w.leaseFrom = time.Now()
			w.noteChange()
		}
		w.mu.Unlock()
	}
}

func (w *worker) noteChange() {
	select {
	case w.change <- struct{}{}:
	default:
	}
}

// report returns the worker's report; every report has a new chirp.
func (w *worker) report() object {
	w.chirp++
	keys := make([]attemptKey, 0, len(w.attempts))
	for key := range w.attempts {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(a, b int) bool {
		return keys[a].pip < keys[b].pip || keys[a].pip == keys[b].pip && keys[a].try < keys[b].try
	})
	pips := []any{}
	for _, key := range keys {
		a := w.attempts[key]
		entry := object{"pip": a.pip, "try_no": a.try, "status": a.status}
		if a.status == "exited" {
			entry["cause"] = a.cause
		}
		pips = append(pips, entry)
	}
	return object{
		"tree": w.machine.id, "endpoint": w.endpoint, "breed": w.machine.breed.name, "grove": w.machine.zone,
		"borrowed": w.machine.borrowed, "roost": w.roost, "chirp": w.chirp, "baton": w.baton, "warning_s": nil, "pips": pips,
	}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /show":
		if !w.reached() {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		reply(rw, 200, w.report())
	case "POST /do":
		request, ok := readObject(r)
		_, hasBaton := request["baton"]
		_, hasRoost := request["roost"]
		if !w.reached() {
			return
		}
		if w.r.lateCommands.Load() && rand.IntN(2) == 0 {
			time.Sleep(2*time.Second + rand.N(14*time.Second))
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case !ok || !hasBaton || !hasRoost:
			replyError(rw, 400, "malformed")
		case uintOf(request, "baton") < w.baton || uintOf(request, "roost") != w.roost:
			reply(rw, 409, w.report())
		default:
			w.adoptToken(uintOf(request, "baton"))
			w.execute(listField(request, "calls"))
			reply(rw, 200, w.report())
		}
	default:
		replyError(rw, 404, "no such path")
	}
}

func (w *worker) adoptToken(token uint64) {
	if token <= w.baton {
		return
	}
	w.baton = token
	if time.Since(w.lastToken) > w.r.settings.lease()/2 {
		w.lastToken = time.Now()
		w.noteChange()
	}
}

func (w *worker) execute(calls []any) {
	for _, c := range calls {
		call, _ := c.(object)
		key := attemptKey{textOf(call, "pip"), uintOf(call, "try_no")}
		a := w.attempts[key]
		switch textOf(call, "call") {
		case "run":
			if a == nil {
				w.run(key)
			}
		case "kill":
			if a != nil && a.status != "exited" {
				w.exit(a, "stopped")
			}
		case "reap":
			if a != nil && a.status == "exited" {
				delete(w.attempts, key)
				w.noteChange()
			}
		}
	}
}

func (w *worker) run(key attemptKey) {
	id, _, _ := strings.Cut(key.pip, "/")
	pip := 0
	_, _ = fmt.Sscanf(key.pip[len(id):], "/%d", &pip)
	a := &attempt{pip: key.pip, try: key.try, job: w.r.jobOf(id), status: "pulling"}
	used, memory, busy := 0.0, 0.0, false
	for _, other := range w.attempts {
		if other.status != "exited" {
			used, memory = used+other.job.cores, memory+other.job.memoryGB
			busy = busy || other.pip == key.pip
		}
	}
	w.attempts[key] = a
	switch {
	case a.job == nil || pip >= a.job.pips:
		a.job = &job{}
		w.exit(a, "unknown")
		return
	case busy:
		w.exit(a, "busy")
		return
	case used+a.job.cores > w.machine.breed.cores+1e-6 || memory+a.job.memoryGB > w.machine.breed.memoryGB+1e-6:
		w.exit(a, "full")
		return
	}
	w.noteChange()
	fetch := time.Duration(0)
	if !w.images[a.job.plumage] {
		fetch = time.Duration(a.job.pullGB / w.machine.breed.pullRate * float64(time.Second))
	}
	w.after(a, fetch, "pulling", func() { w.start(a, pip) })
}

// after calls f after a time if the attempt is then still in a state.
func (w *worker) after(a *attempt, wait time.Duration, state string, f func()) {
	time.AfterFunc(wait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.ended && a.status == state {
			f()
		}
	})
}

func (w *worker) start(a *attempt, pip int) {
	w.images[a.job.plumage] = true
	a.status = "running"
	w.r.taskEvent(w.machine.id, a, "starts")
	w.noteChange()
	switch {
	case w.sick:
		w.after(a, 300*time.Millisecond, "running", func() { w.exit(a, "error") })
	case w.completed[a.pip]:
		w.exit(a, "done")
	case a.job.shape == "sweep":
		run := time.Duration(a.job.runS(pip) * float64(time.Second))
		w.after(a, run, "running", func() { w.completed[a.pip] = true; w.exit(a, "done") })
	}
}

func (w *worker) exit(a *attempt, cause string) {
	a.status, a.cause = "exited", cause
	w.r.taskEvent(w.machine.id, a, "exits: "+cause)
	w.noteChange()
}

// setSick begins or ends that every task which starts on the machine fails.
func (w *worker) setSick(sick bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sick = sick
}

// free returns what no task on the machine takes.
func (w *worker) free() (cores, memoryGB float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cores, memoryGB = w.machine.breed.cores, w.machine.breed.memoryGB
	for _, a := range w.attempts {
		if a.status != "exited" {
			cores, memoryGB = cores-a.job.cores, memoryGB-a.job.memoryGB
		}
	}
	return cores, memoryGB
}

func (w *worker) ownerNow() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owner
}

const (
	reportTimeout = 4 * time.Second
	minReportGap  = 500 * time.Millisecond
	nextNodePause = time.Second
)

// reportLoop sends the reports, one at a time, to one controller at a time.
func (w *worker) reportLoop() {
	caller := newCaller(reportTimeout)
	nodes := w.r.settings.nodes
	node := rand.IntN(len(nodes))
	for {
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		select {
		case <-w.change: // what changed until now is in this report
		default:
		}
		body, roost, sentAt := encode(w.report()), w.roost, time.Now()
		silent := w.cut || w.mute || w.hang
		w.mu.Unlock()
		status, answer := 0, []byte(nil)
		if silent {
			if !w.sleep(reportTimeout) {
				return
			}
		} else {
			status, answer = caller.call("POST", w.r.publicAddr(nodes[node]), "/checkin", body)
			if w.r.lateReports.Load() && rand.IntN(4) == 0 {
				for _, other := range nodes {
					time.AfterFunc(2*time.Second+rand.N(20*time.Second), func() {
						caller.call("POST", w.r.publicAddr(other), "/checkin", body)
					})
				}
			}
			w.mu.Lock()
			if w.deaf || w.cut || w.hang {
				status = 0
			}
			w.mu.Unlock()
		}
		wait := time.Duration(0)
		switch status {
		case 200:
			w.accept(nodes[node], answer, roost, sentAt)
		case 421:
			redirect, _ := decodeObject(answer)
			next := w.r.nodeIndex(textOf(redirect, "flock_lead"))
			if next >= 0 && next != node {
				node, wait = next, rand.N(500*time.Millisecond)
			} else {
				node, wait = (node+1)%len(nodes), nextNodePause
			}
		default:
			node, wait = (node+1)%len(nodes), nextNodePause
		}
		if status != 200 {
			if !w.sleep(wait) {
				return
			}
			continue
		}
		interval := time.Duration(w.r.settings.reportS * (0.75 + rand.Float64()/2) * float64(time.Second))
		if !w.sleep(minReportGap) {
			return
		}
		select {
		case <-w.done:
			return
		case <-w.change:
		case <-time.After(max(0, interval-time.Since(sentAt))):
		}
	}
}

func (w *worker) sleep(d time.Duration) bool {
	select {
	case <-w.done:
		return false
	case <-time.After(d):
		return true
	}
}

// accept executes an answer to a report, unless its token is lower than the highest one seen.
func (w *worker) accept(node string, body []byte, roost uint64, sentAt time.Time) {
	answer, err := decodeObject(body)
	w.mu.Lock()
	defer w.mu.Unlock()
	token, given := answer["baton"]
	if err != nil || !given || token == nil || uintOf(answer, "baton") < w.baton || roost != w.roost || w.ended {
		return
	}
	if w.owner != node {
		w.r.event("%s reports to %s", w.machine.id, node)
	}
	w.owner = node
	w.adoptToken(uintOf(answer, "baton"))
	w.leaseFrom = sentAt
	w.execute(listField(answer, "calls"))
}

// reached waits while messages to the machine are held back, and reports whether a direct command reaches it then.
func (w *worker) reached() bool {
	for {
		w.mu.Lock()
		held, lost, ended := w.cut || w.hang, w.deaf, w.ended
		w.mu.Unlock()
		if ended || lost {
			return false
		}
		if !held {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
}
