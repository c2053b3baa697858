package coordination

import (
	"testing"

	"pipitgap/internal/monotime"
)

// rejectedLeaderThenStoreOutage returns the combination of faults that violated the most invariants. The state
// service first rejects only the leader's calls, and users cancel jobs through other controllers. After
// outageDelay an outage for all controllers starts, which lasts longer than the tasks of a cancelled job may
// keep running. The additional faults are appended.
func rejectedLeaderThenStoreOutage(outageDelay monotime.Micros, additional ...fault) []fault {
	return append([]fault{
		storeRejectsController(70*second, leaderController, 14*second),
		cancelRunningJobs(70*second+second/10, 4, 0),
		cancelRunningJobs(70*second+outageDelay*8/10, 4, 0),
		storeOutage(70*second+outageDelay, 54*second),
	}, additional...)
}

// TestCancellationReachesControllerThrottledAlone: a controller whose calls alone the state service rejects
// learns of cancellations from its peers, or lets the leases of its workers expire before the cancellation
// deadline. The workers report to the old leader throughout.
func TestCancellationReachesControllerThrottledAlone(t *testing.T) {
	cases := []struct {
		name   string
		leases leaseDurations
		faults []fault
	}{
		{"outage 2 s later", defaultLeases, rejectedLeaderThenStoreOutage(2 * second)},
		{"outage 1 s later", defaultLeases, rejectedLeaderThenStoreOutage(second)},
		{
			"longer leases",
			leaseDurations{4 * second, 22 * second, 42 * second},
			rejectedLeaderThenStoreOutage(2 * second),
		},
		{
			"longest leases",
			leaseDurations{5 * second, 28 * second, 53 * second},
			rejectedLeaderThenStoreOutage(2 * second),
		},
		{
			"short leases and frequent heartbeats",
			leaseDurations{8 * second / 10, 10 * second, 30 * second},
			rejectedLeaderThenStoreOutage(2 * second),
		},
		{
			"just after an election",
			defaultLeases,
			rejectedLeaderThenStoreOutage(2*second, crashController(64*second, leaderController, 3*second)),
		},
		{
			"during an election",
			defaultLeases,
			rejectedLeaderThenStoreOutage(2*second, crashController(69*second, leaderController, second/2)),
		},
		{
			"the store rejects two controllers",
			defaultLeases,
			rejectedLeaderThenStoreOutage(
				2*second,
				storeRejectsController(70*second, followerController(1), 14*second),
			),
		},
		{
			"the other controllers restart as the outage begins",
			defaultLeases,
			rejectedLeaderThenStoreOutage(
				2*second,
				crashController(72*second, followerController(1), 3*second),
				crashController(72*second, followerController(2), 3*second),
			),
		},
		{
			"a controller restarts before all peers know the cancellations",
			defaultLeases,
			rejectedLeaderThenStoreOutage(second, crashController(71*second, followerController(1), second/2)),
		},
		{
			"the owner is cut off from its peers",
			defaultLeases,
			rejectedLeaderThenStoreOutage(2*second, peerPartition(71*second, leaderController, 60*second)),
		},
		{
			"another controller is cut off from its peers",
			defaultLeases,
			rejectedLeaderThenStoreOutage(2*second, peerPartition(71*second, followerController(1), 60*second)),
		},
		{
			"the owner is cut off from its peers only before the outage and at its start",
			defaultLeases,
			rejectedLeaderThenStoreOutage(2*second, peerPartition(70*second, leaderController, 10*second)),
		},
		{
			"machines hang",
			defaultLeases,
			rejectedLeaderThenStoreOutage(2*second, cancelRunningJobs(71*second, 4, 10*second)),
		},
		{
			"machines change owners",
			defaultLeases,
			rejectedLeaderThenStoreOutage(
				2*second,
				storeRejectsController(60*second, followerController(1), 9*second),
				crashController(66*second, followerController(2), 20*second),
			),
		},
		{
			"late commands",
			defaultLeases,
			rejectedLeaderThenStoreOutage(2*second, delayedCommands(60*second, 0.5, 60*second)),
		},
		{
			"the owner's process is paused",
			defaultLeases,
			rejectedLeaderThenStoreOutage(2*second, processPause(73*second, leaderController, 8*second)),
		},
		{
			"twice",
			defaultLeases,
			rejectedLeaderThenStoreOutage(
				2*second,
				storeRejectsController(147*second, leaderController, 14*second),
				cancelRunningJobs(147*second+second/2, 6, 0),
				storeOutage(148*second+second/2, 54*second),
			),
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := newScenario(t, 3000+seed)
				tc.leases.apply(s)
				s.runFaults(tc.faults, 215*second)
				s.requireCancelledTasks(t)
				if t.Failed() {
					t.Fatalf("seed %d failed", seed)
				}
			}
		})
	}
}

// requireCancelledTasks fails the test if fewer than three jobs were cancelled, which is too few to test
// cancellations.
func (s *scenario) requireCancelledTasks(t *testing.T) {
	t.Helper()
	cancelled := 0
	for _, user := range s.users {
		if user.cancelling && user.finished {
			cancelled++
		}
	}
	if cancelled < 3 {
		t.Errorf("got %d cancelled jobs, want at least 3", cancelled)
	}
}
