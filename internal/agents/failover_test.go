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

// TestOrphanedWorkers checks the answer to a worker whose machine another controller owns.
func TestOrphanedWorkers(t *testing.T) {
	const membershipTTL = 6 * second // follows from testWorkers
	cases := []struct {
		name           string
		owner          string
		member         uint64          // incarnation in the owner's member record; 0: no member
		silence        monotime.Micros // time since the owner's last status
		pause          monotime.Micros // between two heartbeats; 0: only one heartbeat
		token          uint64
		status         int // 0: not answered immediately
		redirected     string
		lease          float64 // worker lease in seconds; 0: that of testWorkers
		successor      string
		claims         int // claim requests made immediately
		workerRequests int
		timersSet      int
		claimAge       monotime.Micros // time since the owner's claim was observed
	}{
		{name: "owner is an earlier incarnation", owner: "n-0", claims: 1},
		{name: "owner not a member, other successor", owner: "n-1", successor: "n-2", status: 421, redirected: "n-2"},
		{name: "owner not a member, this controller is the successor", owner: "n-1", successor: "n-0", claims: 1},
		{name: "owner has restarted", owner: "n-1", member: 2, silence: 2 * second, status: 421, redirected: "n-1"},
		{name: "owner alive", owner: "n-1", member: 1, status: 421, redirected: "n-1"},
		{name: "owner alive, worker returns", owner: "n-1", member: 1, pause: 5 * second, timersSet: 1},
		{
			name:      "owner alive, long-standing claim",
			owner:     "n-1",
			member:    1,
			token:     testBase,
			claimAge:  13 * second,
			timersSet: 1,
		},
		{
			name:       "owner alive, recent claim",
			owner:      "n-1",
			member:     1,
			token:      testBase,
			claimAge:   second,
			status:     421,
			redirected: "n-1",
		},
		{
			name: "owner alive, long-standing claim, not acknowledged by the worker", owner: "n-1", member: 1,
			token: testBase - 1, claimAge: 13 * second, status: 421, redirected: "n-1",
		},
		{
			name: "owner silent for longer than the membership TTL, long lease", owner: "n-1", member: 1,
			silence: 9 * second, lease: 60, workerRequests: 1,
		},
		{name: "owner silent, long lease", owner: "n-1", member: 1, silence: 7 * second, lease: 60, status: 421},
		{name: "owner silent", owner: "n-1", member: 1, silence: 2 * second, status: 421},
		{
			name: "owner silent for longer than the membership TTL", owner: "n-1", member: 1,
			silence: membershipTTL + second, workerRequests: 1,
		},
	}
	for _, tc := range cases {
		f := newFixture(t)
		f.now = 100 * second
		if tc.lease != 0 {
			f.durations = durations.Derive(config.Workers{HeartbeatIntervalS: 2, LeaseS: tc.lease, CancelTimeoutS: 90})
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
			t.Errorf("%s: got status %d and redirect to %q, want %d and %q",
				tc.name, status, redirected, tc.status, tc.redirected)
		}
		if len(f.claimRequests) != tc.claims || len(f.workerRequests) != tc.workerRequests || len(f.timers) != tc.timersSet {
			t.Errorf("%s: got %d claim requests, %d probes and %d timers, want %d, %d and %d", tc.name,
				len(f.claimRequests), len(f.workerRequests), len(f.timers),
				tc.claims, tc.workerRequests, tc.timersSet)
		}
	}
}

// TestTakeoverRequiresConfirmedReport checks that another controller's machine is claimed only if its worker
// confirms the report that led to the claim.
func TestTakeoverRequiresConfirmedReport(t *testing.T) {
	cases := []struct {
		name        string
		probeResult protocol.CommandResult
		claimed     bool
	}{
		{"no answer", protocol.CommandResult{}, false},
		{"next sequence number", protocol.CommandResult{Status: 200, Heartbeat: *testReport(1, 6, 0)}, true},
		{"same sequence number", protocol.CommandResult{Status: 200, Heartbeat: *testReport(1, 5, 0)}, false},
		{
			"another heartbeat in between",
			protocol.CommandResult{Status: 200, Heartbeat: *testReport(1, 7, 0)},
			false,
		},
		{"new incarnation", protocol.CommandResult{Status: 200, Heartbeat: *testReport(2, 6, 0)}, false},
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
			t.Errorf("%s: got claim requested %v and status %d, want %v and status 0 when requested",
				tc.name, claimed, answered, tc.claimed)
		}
		if !tc.claimed && answered != 421 {
			t.Errorf("%s: got status %d, want 421", tc.name, answered)
		}
		if tc.claimed && f.claimRequests[0].fromShard != f.machine.Shard {
			t.Errorf("%s: got a claim request without the machine's shard, want it as fromShard", tc.name)
		}
	}
}

// TestWorkerResponseAfterClaimRequest checks the answer to a worker after its claim request succeeds or
// fails.
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
		{"refused, machine has a live owner", false, "n-1", true, 421, "n-1"},
		{"refused, owner not a member", false, "n-1", false, 503, ""},
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
			t.Errorf("%s: got status %d and redirect to %q, want %d and %q",
				tc.name, response.Status, redirect.Leader, tc.status, tc.redirected)
		}
	}
}

// TestUpdateOwnership checks that an Agent is kept exactly as long as the claim for which it was created.
func TestUpdateOwnership(t *testing.T) {
	f := newFixture(t)
	before := f.Of(f.machine)
	f.UpdateOwnership(f.machine)
	if f.Of(f.machine) != before {
		t.Error("same claim: got a new Agent, want the existing one")
	}
	f.machine.Shard.Record.Claim++
	f.UpdateOwnership(f.machine)
	if agent := f.Of(f.machine); agent == before || agent.ClaimNumber() != testClaim+1 {
		t.Errorf("new claim: got an Agent of claim %d, same as before: %v; want a new one of claim %d",
			agent.ClaimNumber(), agent == before, testClaim+1)
	}
	f.RetainMachinesOf(f.replica)
	if !f.Has(f.machine) {
		t.Error("RetainMachinesOf with the machine in the mirror: got its Agent deleted, want it kept")
	}
	f.RetainMachinesOf(mirror.New())
	if f.Has(f.machine) {
		t.Error("RetainMachinesOf without the machine in the mirror: got its Agent kept, want it deleted")
	}
}

// TestNewOrphanContact checks when a heartbeat from another controller's worker starts a new contact.
func TestNewOrphanContact(t *testing.T) {
	cases := []struct {
		name       string
		claim      uint64
		pause      monotime.Micros
		checks     bool // CheckMachines runs during the pause
		newContact bool
	}{
		{"pause of the maximum gap", 1, maxContactGap, false, false},
		{"longer pause", 1, maxContactGap + 1, false, true},
		{"new claim", 2, second, false, true},
		{"CheckMachines within the retention time", 1, maxContactGap, true, false},
	}
	for _, tc := range cases {
		f := newFixture(t)
		first := f.recordOrphanContact("i-9", 1, f.now)
		f.now += tc.pause
		if tc.checks {
			f.CheckMachines(f.now)
		}
		if newContact := f.recordOrphanContact("i-9", tc.claim, f.now) != first; newContact != tc.newContact {
			t.Errorf("%s: got new contact %v, want %v", tc.name, newContact, tc.newContact)
		}
	}
	f := newFixture(t)
	f.recordOrphanContact("i-9", 1, f.now)
	f.CheckMachines(f.now + contactRetention + 1)
	if len(f.orphanContacts) != 0 {
		t.Errorf("after contactRetention: got %d contacts, want 0", len(f.orphanContacts))
	}
}

// TestTakeoverAfterOwnerStatusWait checks how a worker that has lost a live owner is answered when the
// owner's next status is due.
func TestTakeoverAfterOwnerStatusWait(t *testing.T) {
	cases := []struct {
		name           string
		whileWaiting   func(f *fixture)
		workerRequests int
		status         int
	}{
		{"owner sends its status", func(f *fixture) { f.lastHeardAt["n-1"] = f.now + 1 }, 1, 0},
		{"owner becomes silent", func(*fixture) {}, 0, 421},
		{"owner has a new claim", func(f *fixture) {
			f.lastHeardAt["n-1"] = f.now + 1
			f.machine.Shard.Record.Claim++
		}, 0, 421},
		{"another controller has the claim", func(f *fixture) {
			f.lastHeardAt["n-1"] = f.now + 1
			f.machine.Shard.Record.Owner = "n-2"
		}, 0, 421},
		{"this controller has the claim", func(f *fixture) {
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
			t.Errorf("%s: got %d probes and status %d, want %d and %d",
				tc.name, len(f.workerRequests), status, tc.workerRequests, tc.status)
		}
	}
}
