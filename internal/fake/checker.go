package fake

import (
	"fmt"
	"sort"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// Invariant names an invariant that the checker watches.
type Invariant string

// The invariants. The first six have the protocol's names.
const (
	RanTwice                    Invariant = "ran_twice"     // two live attempts of a task
	QuotaExceeded               Invariant = "quota"         // a team uses more than its limit
	PlacementConstraintViolated Invariant = "wrong_place"   // a start where the job doesn't allow it
	RanCancelled                Invariant = "ran_cancelled" // a task of a cancelled job after its time
	InconsistentAnswer          Invariant = "went_back"     // an answer older than one that was given before
	DoneTooEarly                Invariant = "not_done"      // done before all tasks were
	JobLost                     Invariant = "forgotten"     // an accepted job that isn't known
	UnknownJobReported          Invariant = "invented"      // a job that nobody submitted is known
	InvalidAccepted             Invariant = "unfit"         // malformed, or can never run, and accepted
	TaskStarved                 Invariant = "left_waiting"  // a task waits while there is room that it may use
)

// Violation is an invariant that was broken.
type Violation struct {
	At        monotime.Micros
	Invariant Invariant
	Detail    string
}

// String gives the time in seconds, the invariant and what broke it.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f: %s: %s", v.At.Seconds(), v.Invariant, v.Detail)
}

const (
	// MaxUnanswered is how long requests about an accepted job may go unanswered once all faults are over.
	MaxUnanswered = 75 * monotime.Second
	// MaxTaskStarvation is how long a task may wait while a machine has room that it may use.
	MaxTaskStarvation       = 90 * monotime.Second
	starvationCheckInterval = 5 * monotime.Second
	// roundingTolerance is how far sums of CPUs or memory may be off by rounding.
	roundingTolerance = 1e-6
)

// Checker watches a simulated deployment from outside: what machines run, and what users are answered. It
// never reads a controller's state.
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

// observedJob is a job as its users know it from requests and answers.
type observedJob struct {
	id           string
	spec         protocol.Submission
	submitted    bool
	wellFormed   bool // at least once
	unrunnable   bool // it fits no machine, or not into its team's limit
	cancelSent   bool
	acceptedAt   monotime.Micros // when a user first got an answer that says so; 0: not yet
	finalAt      monotime.Micros // when a user first got its final state
	finalState   string
	cancelledAt  monotime.Micros
	starvedSince map[int]monotime.Micros // tasks that wait beside room, and since when
}

// NewChecker makes a checker by which tasks of a cancelled job must be gone within cancelWithin.
func NewChecker(sim *SimClock, cancelWithin monotime.Micros) *Checker {
	return &Checker{
		Clock:          sim,
		CancelWithin:   cancelWithin,
		Limits:         map[string]float64{},
		jobs:           map[string]*observedJob{},
		liveAttempts:   map[string]map[string]*Machine{},
		usedCPUs:       map[string]float64{},
		completedTasks: map[string]bool{},
		completions:    map[string]int{},
		lastCompletion: map[string]monotime.Micros{},
	}
}

func (k *Checker) violate(invariant Invariant, format string, args ...any) {
	k.Violations = append(k.Violations, Violation{k.Clock.Now(), invariant, fmt.Sprintf(format, args...)})
}

func (k *Checker) job(id string) *observedJob {
	job := k.jobs[id]
	if job == nil {
		job = &observedJob{id: id, starvedSince: map[int]monotime.Micros{}}
		k.jobs[id] = job
	}
	return job
}

// MarkUnrunnable notes that a job can never run, so that it must not be accepted.
func (k *Checker) MarkUnrunnable(job string) { k.job(job).unrunnable = true }

// Accepted lists the jobs that users know to be accepted and not finished.
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

// ReportUnanswered notes that no request about an accepted job was answered for too long.
func (k *Checker) ReportUnanswered(job string) {
	k.violate(JobLost, "%s: no request is answered", job)
}
