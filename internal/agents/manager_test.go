package agents

import (
	"log/slog"
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/durations"
	"pipitgap/internal/invariant"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/reachability"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

// timer is a callback that is due at an instant.
type timer struct {
	at       monotime.Micros
	callback func()
}

// workerRequest is a request to a worker that has not been answered yet.
type workerRequest struct {
	endpoint string
	request  *protocol.CommandRequest
	callback func(protocol.CommandResult)
}

// claimRequest is a call of Shards.RequestClaim.
type claimRequest struct {
	machine   string
	fromShard *mirror.Shard
	callback  func(claimed bool)
}

// stubs implements the dependencies of the controller n-0 with results that a test sets.
type stubs struct {
	now            monotime.Micros
	timers         []timer
	workerRequests []workerRequest

	notReady, mirrorStale, watchOverdue, unavailable bool
	unavailableOnlyHere                              string // the controller that reaches the state service
	recordWrites                                     map[string]bool
	commits                                          []protocol.Transaction

	members     map[string]bool
	lastHeardAt map[string]monotime.Micros
	superseded  bool
	connected   []string

	ownedBy         string
	claimObservedAt monotime.Micros
	claimRequests   []claimRequest
	claimedOrphaned int

	passes    int
	exits     []Exit
	suspended bool
	cancelled map[string]bool // jobs that the exchange knows to be cancelled
}

func (s *stubs) Now() monotime.Micros { return s.now }

func (s *stubs) After(delay monotime.Micros, callback func()) {
	s.timers = append(s.timers, timer{s.now + delay, callback})
}

func (s *stubs) SendCommands(
	endpoint string,
	request *protocol.CommandRequest,
	_ monotime.Micros,
	callback func(protocol.CommandResult),
) {
	s.workerRequests = append(s.workerRequests, workerRequest{endpoint, request, callback})
}

func (s *stubs) Ready() bool                       { return !s.notReady }
func (s *stubs) FreshAt() monotime.Micros          { return s.now }
func (s *stubs) WatchOverdue(monotime.Micros) bool { return s.watchOverdue }
func (s *stubs) Unavailable() bool                 { return s.unavailable }

func (s *stubs) IsStale(_, _ monotime.Micros) bool { return s.mirrorStale }

func (s *stubs) StoreUnreachableOnlyHere(monotime.Micros) (peer string, onlyHere bool) {
	return s.unavailableOnlyHere, s.unavailableOnlyHere != ""
}

func (s *stubs) Contains(key string) bool { return s.recordWrites[key] }
func (s *stubs) Begin(key string)         { s.recordWrites[key] = true }
func (s *stubs) End(key string)           { delete(s.recordWrites, key) }

func (s *stubs) Commit(
	_ ratelimit.Priority,
	txn protocol.Transaction,
	callback func(protocol.StoreResult),
) {
	s.commits = append(s.commits, txn)
	callback(protocol.StoreResult{Outcome: protocol.OK})
}

func (s *stubs) IsMember(node string) bool                                     { return s.members[node] }
func (s *stubs) ConnectedControllers() []string                                { return s.connected }
func (s *stubs) IsCutOffFromWorkers(string, monotime.Micros) bool              { return false }
func (s *stubs) LastStatusAt(node string) monotime.Micros                      { return s.lastHeardAt[node] }
func (s *stubs) IsSuperseded(monotime.Micros) bool                             { return s.superseded }
func (s *stubs) LastPauseEndedAt() monotime.Micros                             { return 0 }
func (s *stubs) UpdateReachability(reachability.SilenceCount, monotime.Micros) {}

func (s *stubs) HasRecentStatus(node string, now monotime.Micros) bool {
	return s.lastHeardAt[node] != 0 && now-s.lastHeardAt[node] < 3*durations.SlowTickInterval
}

func (s *stubs) Owns(shard *mirror.Shard) bool          { return shard.Record.Owner == s.ownedBy }
func (s *stubs) ClaimObservedAt(string) monotime.Micros { return s.claimObservedAt }
func (s *stubs) ClaimOrphaned(monotime.Micros)          { s.claimedOrphaned++ }
func (s *stubs) ExpireClaimRequests(monotime.Micros)    {}

func (s *stubs) RequestClaim(
	report *protocol.Heartbeat,
	fromShard *mirror.Shard,
	callback func(claimed bool),
) {
	s.claimRequests = append(s.claimRequests, claimRequest{report.Machine, fromShard, callback})
}

func (s *stubs) RequestPass() { s.passes++ }

func (s *stubs) RecordExit(_ *mirror.Machine, _ *mirror.Job, exit Exit) {
	s.exits = append(s.exits, exit)
}

func (s *stubs) MachineFault(*Agent) (faulty, failureProne bool) { return false, false }
func (s *stubs) WithdrawFailuresOn(*mirror.Machine)              {}
func (s *stubs) FinalResultSeenAt(string) monotime.Micros        { return 0 }
func (s *stubs) SuspendsLeaseRenewal(monotime.Micros) bool       { return s.suspended }
func (s *stubs) KnowledgeAge(monotime.Micros) monotime.Micros    { return 0 }
func (s *stubs) RenewalWindow() monotime.Micros                  { return 10 * second }
func (s *stubs) Holds(job string) bool                           { return s.cancelled[job] }

// testWorkers are the platform's durations in these tests.
var testWorkers = config.Workers{HeartbeatIntervalS: 2, LeaseS: 12, CancelTimeoutS: 32}

// fixture is the Manager of the controller n-0 with stubs for its dependencies.
type fixture struct {
	t *testing.T
	*stubs
	replica *mirror.Mirror
	machine *mirror.Machine // the machine i-1
	*Manager
}

// newFixture returns a Manager whose mirror contains a service assigned to the machine i-1 of n-0.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	s := &stubs{
		now:          3 * monotime.Second,
		recordWrites: map[string]bool{},
		members:      map[string]bool{},
		lastHeardAt:  map[string]monotime.Micros{},
		ownedBy:      "n-0",
	}
	replica, machine := newMirrorWithAttempt(t, storage.JobSpec{Service: true})
	f := &fixture{t: t, stubs: s, replica: replica, machine: machine}
	f.Manager = NewManager(
		Config{Node: "n-0", Peers: []string{"n-1"}, Durations: durations.Derive(testWorkers)},
		Dependencies{
			Mirror:        replica,
			Environment:   s,
			Store:         s,
			Replica:       s,
			RecordWrites:  s,
			Pauses:        s,
			Membership:    s,
			Reachability:  s,
			Peers:         s,
			Shards:        s,
			Scheduler:     s,
			Cancellations: s,
			Invariants:    invariant.NewRecorder(slog.New(slog.DiscardHandler)),
			IsCordoned:    func(*mirror.Machine) bool { return false },
			Log:           slog.New(slog.DiscardHandler),
		},
	)
	f.UpdateOwnership(machine)
	return f
}

// advance moves the clock forward and runs the controller's timers and machine checks on the way.
func (f *fixture) advance(duration monotime.Micros) {
	for end := f.now + duration; f.now < end; {
		f.now = min(end, f.now+durations.SlowTickInterval)
		f.fireTimers()
		f.CheckMachines(f.now)
	}
}

func (f *fixture) fireTimers() {
	due := f.timers
	f.timers = nil
	for _, timer := range due {
		if timer.at <= f.now {
			timer.callback()
		} else {
			f.timers = append(f.timers, timer)
		}
	}
}

// testReport returns a report of the machine i-1 with its only task running.
func testReport(incarnation, sequence, token uint64) *protocol.Heartbeat {
	return &protocol.Heartbeat{
		Machine:      "i-1",
		Endpoint:     "10.1.0.1:9000",
		Type:         "m8",
		Zone:         "a",
		Incarnation:  incarnation,
		Sequence:     sequence,
		FencingToken: token,
		Tasks:        []protocol.TaskStatus{{Task: "j-1/0", Attempt: 1, State: protocol.StateRunning}},
	}
}

// send sends a heartbeat. It returns the status of the answer, or 0 if there is none yet, and the controller
// that the answer redirects to.
func (f *fixture) send(report *protocol.Heartbeat) (status int, redirectedTo string) {
	f.t.Helper()
	f.HandleHeartbeat(protocol.MustMarshal(report), func(response transport.Response) {
		status = response.Status
		var redirect protocol.Redirect
		if status == 421 {
			if err := protocol.Unmarshal(response.Body, &redirect); err != nil {
				f.t.Fatal(err)
			}
			redirectedTo = redirect.Leader
		}
	})
	return status, redirectedTo
}
