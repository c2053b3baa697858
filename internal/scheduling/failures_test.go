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
		{"array without completed tasks", JobEvidence{Open: true, AssignedTasks: 3}, FaultUnknown},
		{"job no longer open", JobEvidence{DoneTasks: 3}, JobAtFault},
		{"one task completed", JobEvidence{Open: true, DoneTasks: 1}, MachineAtFault},
		{
			"running service without a seen failure",
			JobEvidence{Open: true, Service: true, AssignedTasks: 1},
			FaultUnknown,
		},
		{
			"running service, last failure too recent",
			JobEvidence{
				Open: true, Service: true, AssignedTasks: 1,
				SeenFailing: true, SinceLastFailure: healthyReplicaDelay,
			},
			FaultUnknown,
		},
		{
			"running service, no failure for long enough",
			JobEvidence{
				Open: true, Service: true, AssignedTasks: 1,
				SeenFailing: true, SinceLastFailure: healthyReplicaDelay + 1,
			},
			MachineAtFault,
		},
		{
			"running array, no failure for long enough",
			JobEvidence{
				Open: true, AssignedTasks: 1,
				SeenFailing: true, SinceLastFailure: healthyReplicaDelay + 1,
			},
			FaultUnknown,
		},
	} {
		if got := AttributeByProgress(tc.job); got != tc.want {
			t.Errorf("%s: got attribution %v, want %v", tc.name, got, tc.want)
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
		{"one failure of a job that runs elsewhere",
			MachineEvidence{FailuresByJob: map[string]int{"runs": 1}}, MachineFault{}},
		{
			"two failures of a job that runs elsewhere",
			MachineEvidence{FailuresByJob: map[string]int{"runs": 2}},
			MachineFault{Faulty: true, FailureProne: true},
		},
		{"two failures of a new job",
			MachineEvidence{FailuresByJob: map[string]int{"new": 2}}, MachineFault{FailureProne: true}},
		{
			"one failure of each of a new job and a job that runs elsewhere",
			MachineEvidence{FailuresByJob: map[string]int{"new": 1, "runs": 1}},
			MachineFault{FailureProne: true},
		},
		{"many failures of a broken job",
			MachineEvidence{FailuresByJob: map[string]int{"broken": 9}}, MachineFault{}},
		{"slow machine", MachineEvidence{Slow: true}, MachineFault{Faulty: true, FailureProne: true}},
	} {
		got := AttributeToMachine(tc.machine, func(job string) Attribution { return attributions[job] })
		if got != tc.want {
			t.Errorf("%s: got %+v, want %+v", tc.name, got, tc.want)
		}
	}
}

// TestCrashLoopBackoff checks that a crash-looping job gets one trial after each delay, that the delay
// doubles up to the maximum, and that a completed task clears the failures.
func TestCrashLoopBackoff(t *testing.T) {
	const second = monotime.Second
	limits := Backoff{First: 4 * second, Max: 10 * second}
	var failures JobFailures
	now := 100 * second
	for trial, pause := range []monotime.Micros{4 * second, 8 * second, 10 * second, 10 * second} {
		failures.Record("i-1", now)
		failures.BackOff(now, limits)
		failures.BackOff(now+pause-1, limits) // a failure of an older attempt doesn't extend the delay
		if n := failures.Trials(0, now+pause-1, limits); n != 0 {
			t.Errorf("trial %d, before the end of the delay: got %d tasks, want 0", trial, n)
		}
		if n := failures.Trials(1, now+pause, limits); n != 0 {
			t.Errorf("trial %d, one task running: got %d tasks, want 0", trial, n)
		}
		now += pause
		if n := failures.Trials(0, now, limits); n != 1 {
			t.Errorf("trial %d, after the delay: got %d tasks, want 1", trial, n)
		}
		if longest := pause == limits.Max; failures.Excludes("i-1") == longest {
			t.Errorf("trial %d: got machine excluded %v, want %v", trial, longest, !longest)
		}
	}
	failures.RecordCompletion()
	if failures.FailedMachines() != 0 || failures.ExcludesAny() {
		t.Errorf("after a completed task: got %d failed machines, any excluded %v; want 0, false",
			failures.FailedMachines(), failures.ExcludesAny())
	}
}

// TestWithdrawFailures checks that failures on a machine that turns out to be faulty no longer count against
// the job.
func TestWithdrawFailures(t *testing.T) {
	limits := Backoff{First: monotime.Second, Max: monotime.Second}
	var failures JobFailures
	for _, machine := range []string{"i-1", "i-2", "i-1"} {
		failures.Record(machine, monotime.Second)
	}
	if n := failures.FailedMachines(); n != 2 {
		t.Errorf("got %d failed machines, want 2", n)
	}
	failures.Withdraw("i-9")
	failures.BackOff(monotime.Second, limits)
	failures.Withdraw("i-1")
	if failures.FailedMachines() != 1 || failures.Excludes("i-1") || !failures.Excludes("i-2") {
		t.Errorf("got %d failed machines, i-1 excluded %v, i-2 excluded %v; want 1, false, true",
			failures.FailedMachines(), failures.Excludes("i-1"), failures.Excludes("i-2"))
	}
	if failures.nextTrialAt != 0 {
		t.Errorf("got next trial at %v, want 0 (no backoff)", failures.nextTrialAt)
	}
}

// TestScaleOutForTrial checks that a machine may be requested for a trial once per longest delay.
func TestScaleOutForTrial(t *testing.T) {
	limits := Backoff{First: monotime.Second, Max: 60 * monotime.Second}
	var failures JobFailures
	expect := func(assigned int, now monotime.Micros, want bool) {
		t.Helper()
		if got := failures.MayScaleOutForTrial(assigned, now, limits); got != want {
			t.Errorf("at %v with %d assigned tasks: got %v, want %v", now, assigned, got, want)
		}
	}
	expect(0, 0, true)
	expect(1, 0, false)
	failures.RecordTrialDemand(0)
	expect(0, 59*monotime.Second, false)
	expect(0, 61*monotime.Second, true)
}

// TestNilJobFailures checks that a nil JobFailures reports no failures.
func TestNilJobFailures(t *testing.T) {
	var failures *JobFailures
	if failures.FailedMachines() != 0 || failures.LastFailureAt() != 0 || failures.Excludes("i-1") ||
		failures.ExcludesAny() {
		t.Errorf("got %d failed machines, last failure at %v, i-1 excluded %v, any excluded %v; want none",
			failures.FailedMachines(), failures.LastFailureAt(), failures.Excludes("i-1"), failures.ExcludesAny())
	}
}
