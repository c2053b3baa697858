package standin

import (
	"fmt"
	"sort"
	"strings"

	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// Rule names an invariant that the checker watches.
type Rule string

// The invariants. The first six have the protocol's names.
const (
	RanTwice     Rule = "ran_twice"     // two live attempts of a task
	OverLimit    Rule = "quota"         // a team uses more than its limit
	WrongPlace   Rule = "wrong_place"   // a start where the job doesn't allow it
	RanCancelled Rule = "ran_cancelled" // a task of a cancelled job after its time
	WentBack     Rule = "went_back"     // an answer older than one that was given before
	NotDone      Rule = "not_done"      // done before all tasks were
	Forgotten    Rule = "forgotten"     // an accepted job that isn't known
	Invented     Rule = "invented"      // a job that nobody submitted is known
	Unfit        Rule = "unfit"         // malformed, or can never run, and accepted
	LeftWaiting  Rule = "left_waiting"  // a task waits beside room that it may use
)

// Violation is an invariant that was broken.
type Violation struct {
	At   micros.T
	Rule Rule
	What string
}

// String gives the time in seconds, the rule and what broke it.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f: %s: %s", v.At.Seconds(), v.Rule, v.What)
}

const (
	// ForgottenAfter is how long an accepted job may go unanswered once all troubles are over.
	ForgottenAfter = 75 * micros.Second
	// WaitingAtMost is how long a task may wait beside room that it may use.
	WaitingAtMost = 90 * micros.Second
	waitingEvery  = 5 * micros.Second
)

// Checker watches a simulated deployment from outside: what machines run, and what
// users are told. It never reads a controller's state.
type Checker struct {
	Sim      *Sim
	CancelIn micros.T           // tasks of a cancelled job must be gone within this time
	Limits   map[string]float64 // CPUs a team may use; none: no limit
	Broken   []Violation
	// LateStarts counts starts after a confirmed cancellation, within the time allowed.
	LateStarts int

	jobs  map[string]*watched
	tasks map[string]map[string]*Rented // by job and task: where each live attempt is
	use   map[string]float64            // CPUs by team
	done  map[string]bool               // completed tasks

	completed   map[string]int      // by task: how often
	completedAt map[string]micros.T // by job: when a task of it last did
}

// watched is a job as its users know it.
type watched struct {
	id          string
	spec        protocol.Submission
	submitted   bool
	wellFormed  bool // at least once
	unrunnable  bool // it fits no machine, or not into its team's limit
	cancelSent  bool
	acceptedAt  micros.T // when a user was first told so; 0: not yet
	finalAt     micros.T // when a user was first told how it ended
	final       string
	cancelledAt micros.T
	waiting     map[int]micros.T // tasks that wait beside room, and since when
}

// NewChecker begins to watch.
func NewChecker(sim *Sim, cancelIn micros.T) *Checker {
	return &Checker{Sim: sim, CancelIn: cancelIn, Limits: map[string]float64{}, jobs: map[string]*watched{},
		tasks: map[string]map[string]*Rented{}, use: map[string]float64{}, done: map[string]bool{},
		completed: map[string]int{}, completedAt: map[string]micros.T{}}
}

func (k *Checker) broke(rule Rule, format string, args ...any) {
	k.Broken = append(k.Broken, Violation{k.Sim.Now(), rule, fmt.Sprintf(format, args...)})
}

func (k *Checker) job(id string) *watched {
	j := k.jobs[id]
	if j == nil {
		j = &watched{id: id, waiting: map[int]micros.T{}}
		k.jobs[id] = j
	}
	return j
}

// Begin notes that a task has started on a machine.
func (k *Checker) Begin(task string, m *Rented, team string, cpus float64) {
	id := jobOf(task)
	if at := k.tasks[id][task]; at != nil {
		k.broke(RanTwice, "%s starts on %s while on %s", task, m.ID, at.ID)
	}
	if k.tasks[id] == nil {
		k.tasks[id] = map[string]*Rented{}
	}
	k.tasks[id][task] = m
	k.use[team] += cpus
	if limit := k.Limits[team]; limit > 0 && k.use[team] > limit+1e-6 {
		k.broke(OverLimit, "team %s uses %v", team, k.use[team])
	}
	j := k.job(id)
	k.checkPlace(j, task, m)
	switch {
	case j.cancelledAt == 0:
	case k.Sim.Now() > j.cancelledAt+k.CancelIn:
		k.broke(RanCancelled, "%s starts", task)
	default:
		k.LateStarts++
	}
}

// End notes that a task has left a machine.
func (k *Checker) End(task string, m *Rented, team string, cpus float64) {
	live := k.tasks[jobOf(task)]
	if live[task] != m {
		return
	}
	delete(live, task)
	k.use[team] -= cpus
}

// Finish notes that a task has completed.
func (k *Checker) Finish(task string) {
	k.done[task] = true
	k.completed[task]++
	k.completedAt[jobOf(task)] = k.Sim.Now()
}

// Complete tells whether all tasks of a job have completed and none runs again, and when the last
// did. A result is lost with its machine, so a task may have to run again.
func (k *Checker) Complete(job string) (at micros.T, complete bool) {
	j := k.jobs[job]
	if j == nil || !j.submitted || len(k.tasks[job]) > 0 {
		return 0, false
	}
	for i := range j.spec.Tasks {
		if !k.done[fmt.Sprintf("%s/%d", job, i)] {
			return 0, false
		}
	}
	return k.completedAt[job], true
}

// Repeated tells how often the task of a job that has completed most often has.
func (k *Checker) Repeated(job string) int {
	most := 0
	for i := range k.job(job).spec.Tasks {
		most = max(most, k.completed[fmt.Sprintf("%s/%d", job, i)])
	}
	return most
}

// Finished tells whether a task has completed.
func (k *Checker) Finished(task string) bool { return k.done[task] }

// Running counts a job's live attempts.
func (k *Checker) Running(job string) int { return len(k.tasks[job]) }

func (k *Checker) checkPlace(j *watched, task string, m *Rented) {
	s := &j.spec
	if !j.submitted {
		return
	}
	if !allows(s, m) {
		k.broke(WrongPlace, "%s starts on %s in %s, spot %v", task, m.Type, m.Zone, m.Spot)
	}
	same, others := 0, 0
	for other, at := range k.tasks[j.id] {
		if other == task {
			continue
		}
		if at.Zone == m.Zone {
			same++
		} else {
			others++
		}
	}
	if s.OneZone && others > 0 {
		k.broke(WrongPlace, "%s starts in zone %s beside tasks in another", task, m.Zone)
	}
	if s.Spread && same+1 > (s.Tasks+1)/2 {
		k.broke(WrongPlace, "%s is the %dth of %d in zone %s", task, same+1, s.Tasks, m.Zone)
	}
}

// allows tells whether a machine's type, zone and kind are allowed.
func allows(s *protocol.Submission, m *Rented) bool {
	typed := len(s.Types) == 0
	for _, t := range s.Types {
		typed = typed || t == m.Type
	}
	return typed && (s.Zone == "" || s.Zone == m.Zone) && (s.Spot || !m.Spot)
}

// Question is a user's request on its way.
type Question struct {
	k      *Checker
	job    string
	method string
	abort  bool
	sentAt micros.T
}

// Observe notes that a user sends a request; nil for a request that is no user's.
func (k *Checker) Observe(method, target string, body []byte) *Question {
	if !strings.HasPrefix(target, protocol.JobsPath) {
		return nil
	}
	q := &Question{k: k, method: method, sentAt: k.Sim.Now()}
	id, cancel, ok := protocol.ParseJobPath(target)
	if !ok {
		id = target
	}
	q.job, q.abort = id, cancel
	if method == "POST" && target == protocol.JobsPath {
		q.job = k.noteSubmission(body)
	}
	if q.abort {
		k.job(q.job).cancelSent = true // it may be on its way before the submission arrives
	}
	return q
}

func (k *Checker) noteSubmission(body []byte) string {
	spec, bad := protocol.ParseSubmission(body)
	if spec.ID == "" {
		return ""
	}
	j := k.job(spec.ID)
	if !j.submitted {
		j.submitted, j.spec = true, *spec
	}
	j.wellFormed = j.wellFormed || bad == nil
	return j.id
}

// NeverRuns says of a job that it can never run, so that it must not be accepted.
func (k *Checker) NeverRuns(job string) { k.job(job).unrunnable = true }

// Answer notes what a user was told.
func (q *Question) Answer(status int, body []byte) {
	k, j := q.k, q.k.jobs[q.job]
	if q.job == "" || status >= 429 || status == 405 {
		return
	}
	if j == nil || !j.submitted {
		if status == 200 || status == 201 {
			k.broke(Invented, "%s %s is answered %d", q.method, q.job, status)
		}
		return
	}
	switch status {
	case 200, 201:
		var told protocol.JobStatus
		if err := protocol.Unmarshal(body, &told); err != nil {
			k.broke(WentBack, "%s: no status: %v", j.id, err)
			return
		}
		q.told(j, told.Status)
	default:
		if j.acceptedAt != 0 && j.acceptedAt <= q.sentAt {
			k.broke(Forgotten, "%s is answered %d", j.id, status)
		}
	}
}

// told checks a state that a user was told against what was told before the question.
func (q *Question) told(j *watched, state string) {
	k, now := q.k, q.k.Sim.Now()
	if j.unrunnable || !j.wellFormed {
		k.broke(Unfit, "%s is accepted", j.id)
	}
	over := state == protocol.JobDone || state == protocol.JobCancelled
	switch {
	case !over && j.final != "" && j.finalAt <= q.sentAt, over && j.final != "" && j.final != state:
		k.broke(WentBack, "%s was %s, is called %s", j.id, j.final, state)
	case state == protocol.JobCancelled && !j.cancelSent:
		k.broke(WentBack, "%s is called cancelled, nobody cancelled it", j.id)
	case state == protocol.JobDone:
		k.checkDone(j)
	}
	if j.acceptedAt == 0 {
		j.acceptedAt = max(now, 1)
	}
	if over && j.final == "" {
		j.final, j.finalAt = state, now
		if state == protocol.JobCancelled {
			k.Cancelled(j.id)
		}
	}
}

func (k *Checker) checkDone(j *watched) {
	for i := range j.spec.Tasks {
		if !k.done[fmt.Sprintf("%s/%d", j.id, i)] {
			k.broke(NotDone, "%s is called done, task %d isn't", j.id, i)
			return
		}
	}
}

// Cancelled notes that a user was told that a job is cancelled: its tasks must be gone
// in time.
func (k *Checker) Cancelled(job string) {
	j := k.job(job)
	if j.cancelledAt != 0 {
		return
	}
	j.cancelledAt = max(k.Sim.Now(), 1)
	k.Sim.After(k.CancelIn+1, func() {
		for _, task := range k.live(job) {
			k.broke(RanCancelled, "%s is still on %s", task, k.tasks[job][task].ID)
		}
	})
}

func (k *Checker) live(job string) []string {
	var out []string
	for task := range k.tasks[job] {
		out = append(out, task)
	}
	sort.Strings(out)
	return out
}

// Accepted lists the jobs that users were told are accepted and that aren't over.
func (k *Checker) Accepted() []string {
	var out []string
	for id, j := range k.jobs {
		if j.acceptedAt != 0 && j.final == "" {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// Unanswered notes that no question about an accepted job was answered for too long.
func (k *Checker) Unanswered(job string) { k.broke(Forgotten, "%s: no question is answered", job) }

// Room is a machine with what is free on it.
type Room struct {
	Machine      *Rented
	CPUs, Memory float64
}

// WatchWaiting looks from now on, at times when there are no troubles, for tasks that
// wait beside room that they may use.
func (k *Checker) WatchWaiting(rooms func() []Room) {
	free := rooms()
	for _, id := range k.Accepted() {
		k.checkWaiting(k.jobs[id], free)
	}
	k.Sim.After(waitingEvery, func() { k.WatchWaiting(rooms) })
}

func (k *Checker) checkWaiting(j *watched, free []Room) {
	now := k.Sim.Now()
	for i := range j.spec.Tasks {
		task := fmt.Sprintf("%s/%d", j.id, i)
		if k.tasks[j.id][task] != nil || k.done[task] || j.cancelSent || !k.hasRoom(j, free) {
			delete(j.waiting, i)
			continue
		}
		since, waits := j.waiting[i]
		if !waits {
			j.waiting[i] = now
		} else if now-since >= WaitingAtMost {
			k.broke(LeftWaiting, "%s", task)
			j.waiting[i] = now
		}
	}
}

// hasRoom tells whether a task of a job could start somewhere.
func (k *Checker) hasRoom(j *watched, free []Room) bool {
	s := &j.spec
	if limit := k.Limits[s.Team]; limit > 0 && k.use[s.Team]+s.CPUs > limit+1e-6 {
		return false
	}
	zones := map[string]int{}
	for _, at := range k.tasks[j.id] {
		zones[at.Zone]++
	}
	for _, r := range free {
		fits := r.CPUs+1e-6 >= s.CPUs && r.Memory+1e-6 >= s.MemoryGB && allows(s, r.Machine)
		alone := !s.OneZone || len(zones) == 0 || zones[r.Machine.Zone] > 0
		spread := !s.Spread || zones[r.Machine.Zone]+1 <= (s.Tasks+1)/2
		if fits && alone && spread {
			return true
		}
	}
	return false
}
