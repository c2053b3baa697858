package agents

import (
	"testing"

	"pipitgap/internal/config"
	"pipitgap/internal/durations"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
	"pipitgap/internal/transport"
)

// TestOrphanedWorkers: what happens to a worker whose machine is another controller's.
func TestOrphanedWorkers(t *testing.T) {
	const membershipTTL = 6 * second // of the durations in these tests
	cases := []struct {
		name           string
		owner          string
		member         uint64          // incarnation of the owner's member record; 0: it has none
		silence        monotime.Micros // of the owner
		pause          monotime.Micros // between two heartbeats; 0: there is one
		token          uint64
		status         int // 0: not answered at once
		redirected     string
		lease          float64 // of workers in seconds; 0: that of testWorkers
		successor      string
		claims         int // requests for a claim that were made at once
		workerRequests int
		timersSet      int
		claimAge       monotime.Micros // since when the owner's claim is known
	}{
		{name: "of an earlier incarnation", owner: "n-0", claims: 1},
		{name: "owner gone, other successor", owner: "n-1", successor: "n-2", status: 421, redirected: "n-2"},
		{name: "owner gone, this successor", owner: "n-1", successor: "n-0", claims: 1},
		{name: "owner has restarted", owner: "n-1", member: 2, silence: 2 * second, status: 421, redirected: "n-1"},
		{name: "owner alive", owner: "n-1", member: 1, status: 421, redirected: "n-1"},
		{name: "owner alive, comes back", owner: "n-1", member: 1, pause: 5 * second, timersSet: 1},
		{
			name:      "owner alive, had it for long",
			owner:     "n-1",
			member:    1,
			token:     testBase,
			claimAge:  13 * second,
			timersSet: 1,
		},
		{
			name:       "owner alive, had it shortly",
			owner:      "n-1",
			member:     1,
			token:      testBase,
			claimAge:   second,
			status:     421,
			redirected: "n-1",
		},
		{
			name: "owner alive, had it for long, not seen by the worker", owner: "n-1", member: 1,
			token: testBase - 1, claimAge: 13 * second, status: 421, redirected: "n-1",
		},
		{
			name: "owner silent for longer than memberships last", owner: "n-1", member: 1,
			silence: 9 * second, lease: 60, workerRequests: 1,
		},
		{name: "owner silent, long lease", owner: "n-1", member: 1, silence: 7 * second, lease: 60, status: 421},
		{name: "owner silent", owner: "n-1", member: 1, silence: 2 * second, status: 421},
		{name: "owner silent for long", owner: "n-1", member: 1, silence: membershipTTL + second, workerRequests: 1},
	}
	for _, tc := range cases {
		f := newFixture(t)
		f.now = 100 * second
		if tc.lease != 0 {
			f.durations = durations.Derive(config.Workers{HeartbeatIntervalS: 2, LeaseS: tc.lease, CancelWithinS: 90})
		}
		f.replica.Shards["p"].Record.Owner = tc.owner
		f.ownedBy = "none"
		f.connected = []string{tc.successor}
		f.UpdateOwnership(f.machine)
		f.claimObservedAt = f.now - tc.claimAge
		f.lastHeardAt[tc.owner] = f.now - tc.silence
		if tc.member != 0 {
			f.members[tc.owner] = true
			f.replica.ApplyPut(storage.MemberKey(tc.owner),
				protocol.MustMarshal(&storage.Member{Incarnation: tc.member}), 20)
		}
		status, redirected := f.send(testReport(1, 1, tc.token))
		if tc.pause > 0 {
			f.now += tc.pause
			f.lastHeardAt[tc.owner] = f.now
			status, redirected = f.send(testReport(1, 2, tc.token))
		}
		if status != tc.status || redirected != tc.redirected {
			t.Errorf("%s: answered %d, to %q", tc.name, status, redirected)
		}
		if len(f.claimRequests) != tc.claims || len(f.workerRequests) != tc.workerRequests || len(f.timers) != tc.timersSet {
			t.Errorf("%s: %d claims, %d probes, %d timers", tc.name,
				len(f.claimRequests), len(f.workerRequests), len(f.timers))
		}
	}
}

// TestTakeoverRequiresConfirmedReport: a machine of another controller is claimed only if its worker itself confirms
// the report on which it is.
func TestTakeoverRequiresConfirmedReport(t *testing.T) {
	cases := []struct {
		name        string
		probeResult protocol.CommandResult
		claimed     bool
	}{
		{"no answer", protocol.CommandResult{}, false},
		{"the next report", protocol.CommandResult{Status: 200, Heartbeat: *testReport(1, 6, 0)}, true},
		{"the same report", protocol.CommandResult{Status: 200, Heartbeat: *testReport(1, 5, 0)}, false},
		{
			"a heartbeat lies between",
			protocol.CommandResult{Status: 200, Heartbeat: *testReport(1, 7, 0)},
			false,
		},
		{"a new incarnation", protocol.CommandResult{Status: 200, Heartbeat: *testReport(2, 6, 0)}, false},
		{"refused", protocol.CommandResult{Status: 409, Heartbeat: *testReport(1, 6, 0)}, false},
	}
	for _, tc := range cases {
		f := newFixture(t)
		answered := 0
		f.takeOverMachine(
			f.machine,
			testReport(1, 5, 0),
			func(response transport.Response) { answered = response.Status },
		)
		f.workerRequests[0].callback(tc.probeResult)
		if claimed := len(f.claimRequests) == 1; claimed != tc.claimed || claimed && answered != 0 {
			t.Errorf("%s: claimed %v, answered %d", tc.name, claimed, answered)
		}
		if !tc.claimed && answered != 421 {
			t.Errorf("%s: answered %d", tc.name, answered)
		}
		if tc.claimed && f.claimRequests[0].fromShard != f.machine.Shard {
			t.Errorf("%s: not claimed out of its shard", tc.name)
		}
	}
}

// TestWorkerResponseAfterClaimRequest: what a worker is answered once its claim is made, or isn't.
func TestWorkerResponseAfterClaimRequest(t *testing.T) {
	cases := []struct {
		name       string
		claimed    bool
		owner      string
		member     bool
		status     int
		redirected string
	}{
		{"claimed", true, "n-0", true, 200, ""},
		{"not claimed, and another's", false, "n-1", true, 421, "n-1"},
		{"not claimed, its owner gone", false, "n-1", false, 503, ""},
	}
	for _, tc := range cases {
		f := newFixture(t)
		f.members["n-1"] = tc.member
		f.replica.Shards["p"].Record.Owner = tc.owner
		f.UpdateOwnership(f.machine)
		var response transport.Response
		f.requestClaim(testReport(1, 1, 0), nil, func(r transport.Response) { response = r })
		f.claimRequests[0].callback(tc.claimed)
		var redirect protocol.Redirect
		if response.Status == 421 {
			if err := protocol.Unmarshal(response.Body, &redirect); err != nil {
				t.Fatal(err)
			}
		}
		if response.Status != tc.status || redirect.Leader != tc.redirected {
			t.Errorf("%s: answered %d, to %q", tc.name, response.Status, redirect.Leader)
		}
	}
}

// TestUpdateOwnership: an Agent lasts as long as the claim under which it was made.
func TestUpdateOwnership(t *testing.T) {
	f := newFixture(t)
	before := f.Of(f.machine)
	f.UpdateOwnership(f.machine)
	if f.Of(f.machine) != before {
		t.Error("a new Agent under the same claim")
	}
	f.machine.Shard.Record.Claim++
	f.UpdateOwnership(f.machine)
	if agent := f.Of(f.machine); agent == before || agent.ClaimNumber() != testClaim+1 {
		t.Error("the same Agent under a new claim")
	}
	f.KeepOnly(f.replica)
	if !f.Has(f.machine) {
		t.Error("forgotten though the mirror has its machine")
	}
	f.KeepOnly(mirror.New())
	if f.Has(f.machine) {
		t.Error("kept though the mirror hasn't its machine")
	}
}

// TestOrphanContactRuns: when a run of heartbeats from another controller's worker begins.
func TestOrphanContactRuns(t *testing.T) {
	cases := []struct {
		name   string
		claim  uint64
		pause  monotime.Micros
		checks bool // the controller checks its machines in the pause
		newRun bool
	}{
		{"goes on", 1, maxContactGap, false, false},
		{"after a pause", 1, maxContactGap + 1, false, true},
		{"under a new claim", 2, second, false, true},
		{"a check forgets nothing so soon", 1, maxContactGap, true, false},
	}
	for _, tc := range cases {
		f := newFixture(t)
		first := f.recordOrphanContact("i-9", 1, f.now)
		f.now += tc.pause
		if tc.checks {
			f.CheckMachines(f.now)
		}
		if newRun := f.recordOrphanContact("i-9", tc.claim, f.now) != first; newRun != tc.newRun {
			t.Errorf("%s: begins anew %v", tc.name, newRun)
		}
	}
	f := newFixture(t)
	f.recordOrphanContact("i-9", 1, f.now)
	f.CheckMachines(f.now + contactRetention + 1)
	if len(f.orphanContacts) != 0 {
		t.Error("a contact is never forgotten")
	}
}

// TestTakeoverAfterOwnerStatusWait: what becomes of a worker that has lost a live owner, once the owner's next status is due.
func TestTakeoverAfterOwnerStatusWait(t *testing.T) {
	cases := []struct {
		name           string
		whileWaiting   func(f *fixture)
		workerRequests int
		status         int
	}{
		{"the owner is heard", func(f *fixture) { f.lastHeardAt["n-1"] = f.now + 1 }, 1, 0},
		{"the owner falls silent", func(*fixture) {}, 0, 421},
		{"claimed anew", func(f *fixture) {
			f.lastHeardAt["n-1"] = f.now + 1
			f.machine.Shard.Record.Claim++
		}, 0, 421},
		{"claimed by another", func(f *fixture) {
			f.lastHeardAt["n-1"] = f.now + 1
			f.machine.Shard.Record.Owner = "n-2"
		}, 0, 421},
		{"claimed here", func(f *fixture) {
			f.lastHeardAt["n-1"] = f.now + 1
			f.ownedBy = "n-1"
			f.UpdateOwnership(f.machine)
		}, 0, 421},
	}
	for _, tc := range cases {
		f := newFixture(t)
		f.now = 100 * second
		f.machine.Shard.Record.Owner = "n-1"
		f.UpdateOwnership(f.machine)
		f.lastHeardAt["n-1"] = f.now
		status := 0
		f.takeOverAfterOwnerStatus(f.machine, testReport(1, 1, testBase),
			func(response transport.Response) { status = response.Status }, f.now)
		tc.whileWaiting(f)
		f.now += ownerStatusWait
		f.fireTimers()
		if len(f.workerRequests) != tc.workerRequests || status != tc.status {
			t.Errorf("%s: %d probes, answered %d", tc.name, len(f.workerRequests), status)
		}
	}
}
