package fake

import (
	"fmt"
	"sort"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// Invariant identifies an invariant that the checker verifies.
type Invariant string

// The invariants, each named after its violation. The first six values are the names that the protocol uses.
const (
	RanTwice                    Invariant = "ran_twice"     // two attempts of a task are live at once
	QuotaExceeded               Invariant = "quota"         // a team uses more than its limit
	PlacementConstraintViolated Invariant = "wrong_place"   // a task starts where its job doesn't allow it
	RanCancelled                Invariant = "ran_cancelled" // a task runs or starts too late after a cancellation
	InconsistentAnswer          Invariant = "went_back"     // an answer is older than or contradicts another
	DoneTooEarly                Invariant = "not_done"      // a job is reported done before its last task completes
	JobLost                     Invariant = "forgotten"     // an accepted job is unknown, refused or unanswered
	UnknownJobReported          Invariant = "invented"      // a request about an unsubmitted job succeeds
	InvalidAccepted             Invariant = "unfit"         // a malformed or unrunnable job is accepted
	TaskStarved                 Invariant = "left_waiting"  // a task waits too long despite free capacity
)

// Violation is one observed violation of an invariant.
type Violation struct {
	At        monotime.Micros
	Invariant Invariant
	Detail    string
}

// String returns the time in seconds, the invariant and the details.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f: %s: %s", v.At.Seconds(), v.Invariant, v.Detail)
}

const (
	// MaxUnanswered is how long requests about an accepted job may go unanswered after all faults have ended.
	MaxUnanswered = 75 * monotime.Second
	// MaxTaskStarvation is how long a task may wait while a machine has capacity for it.
	MaxTaskStarvation       = 90 * monotime.Second
	starvationCheckInterval = 5 * monotime.Second
	// roundingTolerance is the rounding error allowed in sums of CPUs or memory.
	roundingTolerance = 1e-6
)

// Checker verifies the invariants of a simulated deployment by its external behavior: which tasks the
// machines run, and which answers users get. It never reads a controller's state.
type Checker struct {
	Clock        *SimClock
	CancelWithin monotime.Micros    // deadline for ending the tasks of a cancelled job
	Limits       map[string]float64 // CPUs that a team may use; no entry: no limit
	Violations   []Violation
	// LateStarts counts the task starts after the confirmed cancellation of their job, but within CancelWithin.
	LateStarts int

	jobs           map[string]*observedJob
	liveAttempts   map[string]map[string]*Machine // by job and task: the machine of the live attempt
	usedCPUs       map[string]float64             // by team
	completedTasks map[string]bool                // by task

	completions    map[string]int             // by task: how often the task completed
	lastCompletion map[string]monotime.Micros // by job: when a task of the job last completed
}

// observedJob is what users know about a job from their requests and the answers.
type observedJob struct {
	id           string
	spec         protocol.Submission
	submitted    bool
	wellFormed   bool // at least one submission was well-formed
	unrunnable   bool // the job fits no machine or exceeds its team's limit
	cancelSent   bool
	acceptedAt   monotime.Micros // when a user first got a successful answer; 0: not yet
	finalAt      monotime.Micros // when a user first got the final state
	finalState   string
	cancelledAt  monotime.Micros
	starvedSince map[int]monotime.Micros // by task index: when a machine first had capacity
}

// NewChecker returns a checker that requires the tasks of a cancelled job to end within cancelWithin.
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

// MarkUnrunnable declares that a job can never run, so a controller must not accept it.
func (k *Checker) MarkUnrunnable(job string) { k.job(job).unrunnable = true }

// Accepted lists the jobs whose users have been told that they are accepted, but not that they are finished.
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

// ReportUnanswered records the violation that requests about an accepted job got no answer within
// MaxUnanswered.
func (k *Checker) ReportUnanswered(job string) {
	k.violate(JobLost, "%s: no request was answered within the time allowed", job)
}
