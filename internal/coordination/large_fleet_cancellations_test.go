package coordination

import (
	"flag"
	"fmt"
	"testing"

	"pipitgap/internal/monotime"
)

var cancellationFleet = flag.Int("cancellation-fleet", 500, "machines of TestLargeFleetEndsCancelledTasksInTime")

// cancelledJobsPerMeeting is the number of jobs that users cancel in each meeting of faults.
const cancelledJobsPerMeeting = 40

// meetingOfFaults returns faults that overlap with cancellations: the state service refuses the leader, then
// everybody for longer than the cancellation deadline, while controllers restart, machines hang or can't be
// reached, and commands are late.
func meetingOfFaults(at monotime.Micros, machines int, outage monotime.Micros) []fault {
	return []fault{
		delayedCommands(at-5*second, 0.5, 90*second),
		lostCommitAnswers(at-second, 0.3, 10*second),
		storeRejectsController(at, leaderController, 14*second),
		cancelRunningJobs(at+second/2, cancelledJobsPerMeeting/2, 0),
		machinesHang(at+second, machines/20, 30*second),
		machinesUnreachable(at+second, machines/20, 40*second),
		machinesMuted(at+second, machines/20, 40*second),
		crashController(at+3*second/2, followerController(1), second/2),
		cancelRunningJobs(at+2*second-second/10, cancelledJobsPerMeeting/2, 0),
		storeOutage(at+2*second, outage),
		crashController(at+2*second, followerController(2), 5*second),
	}
}

// TestLargeFleetEndsCancelledTasksInTime simulates a large fleet whose users cancel jobs in two meetings of
// faults, one with an outage and one with a partitioned leader.
func TestLargeFleetEndsCancelledTasksInTime(t *testing.T) {
	machines := *cancellationFleet
	s := &scenario{cluster: newClusterOfSize(t, machines)}
	s.start(s.nodeNames...)
	s.sim.Run(3 * second)
	for i := range 2 * cancelledJobsPerMeeting {
		s.addUser(600*second, withTeam(fmt.Sprint("team", i%6)), withTasks(20), withCPUs(2), withMemoryGB(4))
	}
	s.submitOpeningLoad(machines/2, machines/100, machines/100)
	s.submitLongArrays(machines)
	s.sim.Run(60 * second)
	began, running := s.sim.Now(), s.cloud.MachineCount()
	faults := meetingOfFaults(began+10*second, machines, 54*second)
	faults = append(faults, meetingOfFaults(began+120*second, machines, 5*second)...)
	faults = append(faults, storeAndPeerPartition(began+121*second, leaderController, 40*second))
	s.scheduleFaults(faults...)
	s.sim.Run(220 * second)
	s.endFaults()
	s.sim.Run(60 * second)
	cancelled := 0
	for _, user := range s.users {
		if user.cancelling && user.finished {
			cancelled++
		}
	}
	t.Logf("%d machines, %d jobs cancelled, %d starts after a confirmed cancellation",
		running, cancelled, s.checker.LateStarts)
	if running < machines*8/10 {
		t.Errorf("got %d machines, want at least %d", running, machines*8/10)
	}
	if cancelled < cancelledJobsPerMeeting {
		t.Errorf("got %d cancelled jobs, want at least %d", cancelled, cancelledJobsPerMeeting)
	}
	s.requireNoViolations()
}
