package scheduling

import (
	"testing"

	"pipitgap/internal/monotime"
)

func TestAttributeByProgress(t *testing.T) {
	for _, tc := range []struct {
		name string
		job  JobEvidence
		want Attribution
	}{
		{"nothing known", JobEvidence{Open: true, AssignedTasks: 3}, FaultUnknown},
		{"over", JobEvidence{DoneTasks: 3}, JobAtFault},
		{"a task done", JobEvidence{Open: true, DoneTasks: 1}, MachineAtFault},
		{
			"a service that runs, never seen to fail",
			JobEvidence{Open: true, Service: true, AssignedTasks: 1},
			FaultUnknown,
		},
		{
			"a service that has just failed",
			JobEvidence{
				Open: true, Service: true, AssignedTasks: 1,
				SeenFailing: true, SinceLastFailure: healthyReplicaDelay,
			},
			FaultUnknown,
		},
		{
			"a service that runs since",
			JobEvidence{
				Open: true, Service: true, AssignedTasks: 1,
				SeenFailing: true, SinceLastFailure: healthyReplicaDelay + 1,
			},
			MachineAtFault,
		},
		{
			"an array that runs since",
			JobEvidence{
				Open: true, AssignedTasks: 1,
				SeenFailing: true, SinceLastFailure: healthyReplicaDelay + 1,
			},
			FaultUnknown,
		},
	} {
		if got := AttributeByProgress(tc.job); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestAttributeToMachine(t *testing.T) {
	attributions := map[string]Attribution{"runs": MachineAtFault, "new": FaultUnknown, "broken": JobAtFault}
	for _, tc := range []struct {
		name    string
		machine MachineEvidence
		want    MachineFault
	}{
		{"no failures", MachineEvidence{}, MachineFault{}},
		{"one of a job that runs elsewhere", MachineEvidence{FailuresByJob: map[string]int{"runs": 1}}, MachineFault{}},
		{
			"two of it",
			MachineEvidence{FailuresByJob: map[string]int{"runs": 2}},
			MachineFault{Faulty: true, Doubtful: true},
		},
		{"two of a new job", MachineEvidence{FailuresByJob: map[string]int{"new": 2}}, MachineFault{Doubtful: true}},
		{
			"one of each",
			MachineEvidence{FailuresByJob: map[string]int{"new": 1, "runs": 1}},
			MachineFault{Doubtful: true},
		},
		{"many of a broken job", MachineEvidence{FailuresByJob: map[string]int{"broken": 9}}, MachineFault{}},
		{"slow", MachineEvidence{Slow: true}, MachineFault{Faulty: true, Doubtful: true}},
	} {
		got := AttributeToMachine(tc.machine, func(job string) Attribution { return attributions[job] })
		if got != tc.want {
			t.Errorf("%s: %+v, want %+v", tc.name, got, tc.want)
		}
	}
}

// TestCrashLoopBackoff: a job in a crash loop has one trial after each pause, the pauses double up to the
// longest, and a completion ends them.
func TestCrashLoopBackoff(t *testing.T) {
	const second = monotime.Second
	limits := Backoff{First: 4 * second, Max: 10 * second}
	var failures JobFailures
	now := 100 * second
	for trial, pause := range []monotime.Micros{4 * second, 8 * second, 10 * second, 10 * second} {
		failures.Record("i-1", now)
		failures.BackOff(now, limits)
		failures.BackOff(now+pause-1, limits) // a failure of an older attempt doesn't extend it
		if n := failures.Trials(0, now+pause-1, limits); n != 0 {
			t.Errorf("trial %d: %d tasks before the pause is over", trial, n)
		}
		if n := failures.Trials(1, now+pause, limits); n != 0 {
			t.Errorf("trial %d: %d tasks beside one that runs", trial, n)
		}
		now += pause
		if n := failures.Trials(0, now, limits); n != 1 {
			t.Errorf("trial %d: %d tasks after the pause, want 1", trial, n)
		}
		if longest := pause == limits.Max; failures.Excludes("i-1") == longest {
			t.Errorf("trial %d: machine excluded %v", trial, !longest)
		}
	}
	failures.RecordCompletion()
	if failures.FailedMachines() != 0 || failures.ExcludesAny() {
		t.Error("failures are left after a completion")
	}
}

// TestWithdrawFailures: failures on a machine that turns out faulty no longer speak against the job.
func TestWithdrawFailures(t *testing.T) {
	limits := Backoff{First: monotime.Second, Max: monotime.Second}
	var failures JobFailures
	for _, machine := range []string{"i-1", "i-2", "i-1"} {
		failures.Record(machine, monotime.Second)
	}
	if n := failures.FailedMachines(); n != 2 {
		t.Errorf("failed on %d machines, want 2", n)
	}
	failures.Withdraw("i-9")
	failures.BackOff(monotime.Second, limits)
	failures.Withdraw("i-1")
	if failures.FailedMachines() != 1 || failures.Excludes("i-1") || !failures.Excludes("i-2") {
		t.Errorf("failed on %d machines, i-1 excluded %v, i-2 excluded %v",
			failures.FailedMachines(), failures.Excludes("i-1"), failures.Excludes("i-2"))
	}
	if failures.nextTrialAt != 0 {
		t.Error("the pause that the failures brought isn't ended")
	}
}

// TestScaleOutForTrial: a machine is requested for a trial once in the longest pause.
func TestScaleOutForTrial(t *testing.T) {
	limits := Backoff{First: monotime.Second, Max: 60 * monotime.Second}
	var failures JobFailures
	expect := func(assigned int, now monotime.Micros, want bool) {
		t.Helper()
		if got := failures.MayScaleOutForTrial(assigned, now, limits); got != want {
			t.Errorf("at %v with %d tasks assigned: %v", now, assigned, got)
		}
	}
	expect(0, 0, true)
	expect(1, 0, false)
	failures.RecordTrialDemand(0)
	expect(0, 59*monotime.Second, false)
	expect(0, 61*monotime.Second, true)
}

// TestNilJobFailures: what nothing is noted of has no failures.
func TestNilJobFailures(t *testing.T) {
	var failures *JobFailures
	if failures.FailedMachines() != 0 || failures.LastFailureAt() != 0 || failures.Excludes("i-1") ||
		failures.ExcludesAny() {
		t.Error("a nil record has failures")
	}
}
