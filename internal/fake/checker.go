package fake

import (
	"fmt"
	"sort"
	"strings"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// Invariant names an invariant that the checker watches.
type Invariant string

// The invariants. The first six have the protocol's names.
const (
	RanTwice           Invariant = "ran_twice"     // two live attempts of a task
	QuotaExceeded      Invariant = "quota"         // a team uses more than its limit
	WrongPlace         Invariant = "wrong_place"   // a start where the job doesn't allow it
	RanCancelled       Invariant = "ran_cancelled" // a task of a cancelled job after its time
	StaleAnswer        Invariant = "went_back"     // an answer older than one that was given before
	DoneTooEarly       Invariant = "not_done"      // done before all tasks were
	JobLost            Invariant = "forgotten"     // an accepted job that isn't known
	UnknownJobReported Invariant = "invented"      // a job that nobody submitted is known
	InvalidAccepted    Invariant = "unfit"         // malformed, or can never run, and accepted
	TaskStarved        Invariant = "left_waiting"  // a task waits beside room that it may use
)

// Violation is an invariant that was broken.
type Violation struct {
	At        monotime.Micros
	Invariant Invariant
	Detail    string
}

// String gives the time in seconds, the rule and what broke it.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f: %s: %s", v.At.Seconds(), v.Invariant, v.Detail)
}

const (
	// MaxUnanswered is how long an accepted job may go unanswered once all troubles are over.
	MaxUnanswered = 75 * monotime.Second
	// MaxWaitBesideRoom is how long a task may wait beside room that it may use.
	MaxWaitBesideRoom = 90 * monotime.Second
	waitCheckInterval = 5 * monotime.Second
)

// Checker watches a simulated deployment from outside: what machines run, and what
// users are told. It never reads a controller's state.
type Checker struct {
	Clock        *SimClock
	CancelWithin monotime.Micros    // tasks of a cancelled job must be gone within this time
	Limits       map[string]float64 // CPUs a team may use; none: no limit
	Violations   []Violation
	// LateStarts counts starts after a confirmed cancellation, within the time allowed.
	LateStarts int

	jobs           map[string]*observedJob
	liveAttempts   map[string]map[string]*Machine // by job and task: where each live attempt is
	usedCPUs       map[string]float64             // CPUs by team
	completedTasks map[string]bool                // completed tasks

	completions    map[string]int             // by task: how often
	lastCompletion map[string]monotime.Micros // by job: when a task of it last did
}

// observedJob is a job as its users know it.
type observedJob struct {
	id           string
	spec         protocol.Submission
	submitted    bool
	wellFormed   bool // at least once
	unrunnable   bool // it fits no machine, or not into its team's limit
	cancelSent   bool
	acceptedAt   monotime.Micros // when a user was first told so; 0: not yet
	finalAt      monotime.Micros // when a user was first told how it ended
	finalState   string
	cancelledAt  monotime.Micros
	waitingSince map[int]monotime.Micros // tasks that wait beside room, and since when
}

// NewChecker begins to watch.
func NewChecker(sim *SimClock, cancelIn monotime.Micros) *Checker {
	return &Checker{
		Clock:          sim,
		CancelWithin:   cancelIn,
		Limits:         map[string]float64{},
		jobs:           map[string]*observedJob{},
		liveAttempts:   map[string]map[string]*Machine{},
		usedCPUs:       map[string]float64{},
		completedTasks: map[string]bool{},
		completions:    map[string]int{},
		lastCompletion: map[string]monotime.Micros{},
	}
}

func (k *Checker) violate(rule Invariant, format string, args ...any) {
	k.Violations = append(k.Violations, Violation{k.Clock.Now(), rule, fmt.Sprintf(format, args...)})
}

func (k *Checker) job(id string) *observedJob {
	job := k.jobs[id]
	if job == nil {
		job = &observedJob{id: id, waitingSince: map[int]monotime.Micros{}}
		k.jobs[id] = job
	}
	return job
}

// TaskStarted notes that a task has started on a machine.
func (k *Checker) TaskStarted(task string, machine *Machine, team string, cpus float64) {
	id := jobOf(task)
	if host := k.liveAttempts[id][task]; host != nil {
		k.violate(RanTwice, "%s starts on %s while on %s", task, machine.ID, host.ID)
	}
	if k.liveAttempts[id] == nil {
		k.liveAttempts[id] = map[string]*Machine{}
	}
	k.liveAttempts[id][task] = machine
	k.usedCPUs[team] += cpus
	if limit := k.Limits[team]; limit > 0 && k.usedCPUs[team] > limit+1e-6 {
		k.violate(QuotaExceeded, "team %s uses %v", team, k.usedCPUs[team])
	}
	job := k.job(id)
	k.checkPlace(job, task, machine)
	switch {
	case job.cancelledAt == 0:
	case k.Clock.Now() > job.cancelledAt+k.CancelWithin:
		k.violate(RanCancelled, "%s starts", task)
	default:
		k.LateStarts++
	}
}

// TaskEnded notes that a task has left a machine.
func (k *Checker) TaskEnded(task string, machine *Machine, team string, cpus float64) {
	live := k.liveAttempts[jobOf(task)]
	if live[task] != machine {
		return
	}
	delete(live, task)
	k.usedCPUs[team] -= cpus
}

// TaskCompleted notes that a task has completed.
func (k *Checker) TaskCompleted(task string) {
	k.completedTasks[task] = true
	k.completions[task]++
	k.lastCompletion[jobOf(task)] = k.Clock.Now()
}

// IsJobCompleted tells whether all tasks of a job have completed and none runs again, and when the last
// did. A result is lost with its machine, so a task may have to run again.
func (k *Checker) IsJobCompleted(job string) (at monotime.Micros, complete bool) {
	j := k.jobs[job]
	if j == nil || !j.submitted || len(k.liveAttempts[job]) > 0 {
		return 0, false
	}
	for i := range j.spec.Tasks {
		if !k.completedTasks[fmt.Sprintf("%s/%d", job, i)] {
			return 0, false
		}
	}
	return k.lastCompletion[job], true
}

// MaxCompletions tells how often the task of a job that has completed most often has.
func (k *Checker) MaxCompletions(job string) int {
	most := 0
	for i := range k.job(job).spec.Tasks {
		most = max(most, k.completions[fmt.Sprintf("%s/%d", job, i)])
	}
	return most
}

// IsTaskCompleted tells whether a task has completed.
func (k *Checker) IsTaskCompleted(task string) bool { return k.completedTasks[task] }

// LiveAttempts counts a job's live attempts.
func (k *Checker) LiveAttempts(job string) int { return len(k.liveAttempts[job]) }

func (k *Checker) checkPlace(job *observedJob, task string, machine *Machine) {
	spec := &job.spec
	if !job.submitted {
		return
	}
	if !offerAllowed(spec, machine) {
		k.violate(
			WrongPlace,
			"%s starts on %s in %s, spot %v",
			task,
			machine.Type,
			machine.Zone,
			machine.Spot,
		)
	}
	same, others := 0, 0
	for other, host := range k.liveAttempts[job.id] {
		if other == task {
			continue
		}
		if host.Zone == machine.Zone {
			same++
		} else {
			others++
		}
	}
	if spec.OneZone && others > 0 {
		k.violate(WrongPlace, "%s starts in zone %s beside tasks in another", task, machine.Zone)
	}
	if spec.Spread && same+1 > (spec.Tasks+1)/2 {
		k.violate(WrongPlace, "%s is the %dth of %d in zone %s", task, same+1, spec.Tasks, machine.Zone)
	}
}

// offerAllowed tells whether a machine's type, zone and kind are allowed.
func offerAllowed(spec *protocol.Submission, machine *Machine) bool {
	typed := len(spec.Types) == 0
	for _, t := range spec.Types {
		typed = typed || t == machine.Type
	}
	return typed && (spec.Zone == "" || spec.Zone == machine.Zone) && (spec.Spot || !machine.Spot)
}

// PendingRequest is a user's request on its way.
type PendingRequest struct {
	checker *Checker
	job     string
	method  string
	cancels bool
	sentAt  monotime.Micros
}

// UserRequest notes that a user sends a request; nil for a request that is no user's.
func (k *Checker) UserRequest(method, target string, body []byte) *PendingRequest {
	if !strings.HasPrefix(target, protocol.JobsPath) {
		return nil
	}
	q := &PendingRequest{checker: k, method: method, sentAt: k.Clock.Now()}
	id, cancel, ok := protocol.ParseJobPath(target)
	if !ok {
		id = target
	}
	q.job, q.cancels = id, cancel
	if method == "POST" && target == protocol.JobsPath {
		q.job = k.noteSubmission(body)
	}
	if q.cancels {
		k.job(q.job).cancelSent = true // it may be on its way before the submission arrives
	}
	return q
}

func (k *Checker) noteSubmission(body []byte) string {
	spec, bad := protocol.ParseSubmission(body)
	if spec.ID == "" {
		return ""
	}
	job := k.job(spec.ID)
	if !job.submitted {
		job.submitted, job.spec = true, *spec
	}
	job.wellFormed = job.wellFormed || bad == nil
	return job.id
}

// MarkUnrunnable says of a job that it can never run, so that it must not be accepted.
func (k *Checker) MarkUnrunnable(job string) { k.job(job).unrunnable = true }

// Answered notes what a user was told.
func (q *PendingRequest) Answered(status int, body []byte) {
	k, job := q.checker, q.checker.jobs[q.job]
	if q.job == "" || status >= 429 || status == 405 {
		return
	}
	if job == nil || !job.submitted {
		if status == 200 || status == 201 {
			k.violate(UnknownJobReported, "%s %s is answered %d", q.method, q.job, status)
		}
		return
	}
	switch status {
	case 200, 201:
		var told protocol.JobStatusReply
		if err := protocol.Unmarshal(body, &told); err != nil {
			k.violate(StaleAnswer, "%s: no status: %v", job.id, err)
			return
		}
		q.checkState(job, told.Status)
	default:
		if job.acceptedAt != 0 && job.acceptedAt <= q.sentAt {
			k.violate(JobLost, "%s is answered %d", job.id, status)
		}
	}
}

// checkState checks a state that a user was told against what was told before the question.
func (q *PendingRequest) checkState(job *observedJob, state string) {
	k, now := q.checker, q.checker.Clock.Now()
	if job.unrunnable || !job.wellFormed {
		k.violate(InvalidAccepted, "%s is accepted", job.id)
	}
	over := state == protocol.JobDone || state == protocol.JobCancelled
	switch {
	case !over && job.finalState != "" && job.finalAt <= q.sentAt,
		over && job.finalState != "" && job.finalState != state:
		k.violate(StaleAnswer, "%s was %s, is called %s", job.id, job.finalState, state)
	case state == protocol.JobCancelled && !job.cancelSent:
		k.violate(StaleAnswer, "%s is called cancelled, nobody cancelled it", job.id)
	case state == protocol.JobDone:
		k.checkDone(job)
	}
	if job.acceptedAt == 0 {
		job.acceptedAt = max(now, 1)
	}
	if over && job.finalState == "" {
		job.finalState, job.finalAt = state, now
		if state == protocol.JobCancelled {
			k.CancellationConfirmed(job.id)
		}
	}
}

func (k *Checker) checkDone(job *observedJob) {
	for i := range job.spec.Tasks {
		if !k.completedTasks[fmt.Sprintf("%s/%d", job.id, i)] {
			k.violate(DoneTooEarly, "%s is called done, task %d isn't", job.id, i)
			return
		}
	}
}

// CancellationConfirmed notes that a user was told that a job is cancelled: its tasks must be gone
// in time.
func (k *Checker) CancellationConfirmed(job string) {
	j := k.job(job)
	if j.cancelledAt != 0 {
		return
	}
	j.cancelledAt = max(k.Clock.Now(), 1)
	k.Clock.After(k.CancelWithin+1, func() {
		for _, task := range k.liveTasks(job) {
			k.violate(RanCancelled, "%s is still on %s", task, k.liveAttempts[job][task].ID)
		}
	})
}

func (k *Checker) liveTasks(job string) []string {
	var out []string
	for task := range k.liveAttempts[job] {
		out = append(out, task)
	}
	sort.Strings(out)
	return out
}

// Accepted lists the jobs that users were told are accepted and that aren't over.
func (k *Checker) Accepted() []string {
	var out []string
	for id, job := range k.jobs {
		if job.acceptedAt != 0 && job.finalState == "" {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// ReportUnanswered notes that no question about an accepted job was answered for too long.
func (k *Checker) ReportUnanswered(job string) {
	k.violate(JobLost, "%s: no question is answered", job)
}

// FreeMachine is a machine with what is free on it.
type FreeMachine struct {
	Machine        *Machine
	CPUs, MemoryGB float64
}

// WatchWaiting looks from now on, at times when there are no troubles, for tasks that
// wait beside room that they may use.
func (k *Checker) WatchWaiting(freeMachines func() []FreeMachine) {
	free := freeMachines()
	for _, id := range k.Accepted() {
		k.checkWaiting(k.jobs[id], free)
	}
	k.Clock.After(waitCheckInterval, func() { k.WatchWaiting(freeMachines) })
}

func (k *Checker) checkWaiting(job *observedJob, free []FreeMachine) {
	now := k.Clock.Now()
	for i := range job.spec.Tasks {
		task := fmt.Sprintf("%s/%d", job.id, i)
		if k.liveAttempts[job.id][task] != nil || k.completedTasks[task] || job.cancelSent ||
			!k.hasCapacity(job, free) {
			delete(job.waitingSince, i)
			continue
		}
		since, waits := job.waitingSince[i]
		if !waits {
			job.waitingSince[i] = now
		} else if now-since >= MaxWaitBesideRoom {
			k.violate(TaskStarved, "%s", task)
			job.waitingSince[i] = now
		}
	}
}

// hasCapacity tells whether a task of a job could start somewhere.
func (k *Checker) hasCapacity(job *observedJob, free []FreeMachine) bool {
	spec := &job.spec
	if limit := k.Limits[spec.Team]; limit > 0 && k.usedCPUs[spec.Team]+spec.CPUs > limit+1e-6 {
		return false
	}
	zones := map[string]int{}
	for _, host := range k.liveAttempts[job.id] {
		zones[host.Zone]++
	}
	for _, r := range free {
		fits := r.CPUs+1e-6 >= spec.CPUs && r.MemoryGB+1e-6 >= spec.MemoryGB && offerAllowed(spec, r.Machine)
		alone := !spec.OneZone || len(zones) == 0 || zones[r.Machine.Zone] > 0
		spread := !spec.Spread || zones[r.Machine.Zone]+1 <= (spec.Tasks+1)/2
		if fits && alone && spread {
			return true
		}
	}
	return false
}
