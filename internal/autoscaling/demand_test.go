package autoscaling

import (
	"math"
	"testing"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// jobPolicyStub is a JobPolicy that returns the same decisions for every job.
type jobPolicyStub struct {
	delayed, crashLooping, mayTrial, scavenger, spotOnly, preemptible bool
	quota                                                             resources.Vector
}

func (p jobPolicyStub) IsDelayed(*mirror.Job, monotime.Micros) bool           { return p.delayed }
func (p jobPolicyStub) IsCrashLooping(*mirror.Job) bool                       { return p.crashLooping }
func (p jobPolicyStub) MayScaleOutForTrial(*mirror.Job, monotime.Micros) bool { return p.mayTrial }
func (p jobPolicyStub) IsScavenger(*mirror.Job) bool                          { return p.scavenger }
func (p jobPolicyStub) IsSpotOnly(*mirror.Job) bool                           { return p.spotOnly }
func (p jobPolicyStub) IsPreemptible(*mirror.Job) bool                        { return p.preemptible }
func (p jobPolicyStub) ExpectedRunSeconds(*storage.JobSpec) float64           { return 30 }
func (p jobPolicyStub) SlackSeconds(*mirror.Job, int64) float64               { return 7 }
func (p jobPolicyStub) RemainingQuota(string) resources.Vector                { return p.quota }
func (p jobPolicyStub) Zones(*mirror.Job) ZoneConstraint                      { return nil }

// newJob returns an open job of team t whose tasks need 2 CPUs each.
func newJob(id, class string, tasks int, service bool) *mirror.Job {
	return &mirror.Job{
		ID:            id,
		TaskResources: resources.Vector{CPUs: 2},
		Record: storage.OpenJob{Spec: storage.JobSpec{
			Team: "t", Class: class, Tasks: tasks, CPUs: 2, Service: service, Priority: 1,
		}},
	}
}

// TestUnplacedDemand checks how many tasks of two jobs of one team, with 3 and 4 tasks, count as demand under
// each policy.
func TestUnplacedDemand(t *testing.T) {
	unlimited := resources.Vector{CPUs: 100, GPUs: 100, MemoryGB: 100}
	limited := unlimited
	limited.CPUs = 9
	for _, tc := range []struct {
		name      string
		policy    jobPolicyStub
		want      []int
		wantTrial bool
	}{
		{"no restriction", jobPolicyStub{quota: unlimited}, []int{3, 4}, false},
		{"quota limits the second job", jobPolicyStub{quota: limited}, []int{3, 1}, false},
		{"no quota left", jobPolicyStub{}, nil, false},
		{"delayed", jobPolicyStub{quota: unlimited, delayed: true}, nil, false},
		{"crash-looping", jobPolicyStub{quota: unlimited, crashLooping: true}, nil, false},
		{"crash-loop trial", jobPolicyStub{quota: unlimited, crashLooping: true, mayTrial: true}, []int{1, 1}, true},
		{"scavengers, one task per pass", jobPolicyStub{quota: unlimited, scavenger: true}, []int{1, 1}, false},
		{"scavengers on spot machines", jobPolicyStub{quota: unlimited, scavenger: true, spotOnly: true},
			[]int{3, 4}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			snapshot := &Snapshot{Records: mirror.New(), Jobs: tc.policy}
			queue := []*mirror.Job{newJob("j-1", "x", 3, false), newJob("j-2", "x", 4, false)}
			demands := snapshot.UnplacedDemand(queue)
			if len(demands) != len(tc.want) {
				t.Fatalf("got %d demands, want tasks %v", len(demands), tc.want)
			}
			for i, demand := range demands {
				if demand.Tasks != tc.want[i] || demand.CrashLoopTrial != tc.wantTrial || demand.QueueIndex != i ||
					demand.JobID != queue[i].ID || demand.ExpectedSeconds != 30 ||
					demand.SlackSeconds != 7 {
					t.Errorf("demand %d: got %+v, want %d tasks of %s, trial %v, expected run 30 s, slack 7 s",
						i, demand, tc.want[i], queue[i].ID, tc.wantTrial)
				}
			}
		})
	}
}

// TestHeadroomDemand checks that headroom is a fraction of the open tasks of each service class, rounded up,
// and that it isn't bound to the zones of the jobs.
func TestHeadroomDemand(t *testing.T) {
	records := mirror.New()
	for _, job := range []*mirror.Job{
		newJob("j-1", "web", 4, true), newJob("j-2", "web", 3, true), newJob("j-3", "db", 1, true),
		newJob("j-4", "batch", 9, false), newJob("j-5", "web", 50, true),
	} {
		job.Record.Spec.Zone, job.Record.Spec.OneZone = "a", true
		records.Jobs[job.ID] = job
	}
	records.Jobs["j-5"].FinalState = storage.JobDone
	snapshot := &Snapshot{Records: records, Jobs: jobPolicyStub{}, ServiceHeadroom: 0.3}
	demands := snapshot.HeadroomDemand()
	if len(demands) != 2 || demands[0].JobID != "headroom db" || demands[0].Tasks != 1 ||
		demands[1].JobID != "headroom web" || demands[1].Tasks != 3 {
		t.Fatalf("got %+v, want 1 task of \"headroom db\" and 3 of \"headroom web\"", demands)
	}
	for _, demand := range demands {
		if demand.Spec.Zone != "" || demand.Spec.OneZone || demand.QueueIndex != math.MaxInt32 {
			t.Errorf("got %+v, want a demand without zone constraints, last in the queue", demand)
		}
	}
	snapshot.Jobs = jobPolicyStub{crashLooping: true}
	if demands := snapshot.HeadroomDemand(); len(demands) != 0 {
		t.Errorf("crash-looping services: got headroom %+v, want none", demands)
	}
	if snapshot.ServiceHeadroom = 0; len(snapshot.HeadroomDemand()) != 0 {
		t.Error("ServiceHeadroom is 0: got headroom, want none")
	}
}

// TestMachineBins checks which capacity of a machine each kind of running task leaves to other tasks, and
// that machines that aren't open or are of an unknown type get no bin.
func TestMachineBins(t *testing.T) {
	held := resources.Vector{CPUs: 2}
	for _, tc := range []struct {
		name    string
		policy  jobPolicyStub
		service bool
		want    Bin
	}{
		{"a service never ends", jobPolicyStub{}, true, Bin{ArrayCPUs: 6}},
		{"an array task is halfway through its run", jobPolicyStub{}, false,
			Bin{ArrayCPUs: 8, PreemptibleByServices: held, CommittedCPUSeconds: 30, Running: []RunningTask{{2, 30}}}},
		{"the plan doesn't wait for a preemptible task to end", jobPolicyStub{preemptible: true}, false,
			Bin{ArrayCPUs: 8, PreemptibleByServices: held,
				PreemptibleByPriority: map[int]resources.Vector{1: held}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			records := mirror.New()
			records.Jobs["j-1"] = newJob("j-1", "x", 1, tc.service)
			records.Machines["i-1"] = &mirror.Machine{
				ID: "i-1", Used: held, Attempts: map[mirror.TaskID]uint64{{Job: "j-1"}: 1, {Job: "unknown"}: 1},
				Record: &storage.ShardMachine{Type: "m8", Zone: "a", State: storage.MachineOpen},
			}
			records.Machines["i-2"] = &mirror.Machine{
				ID: "i-2", Record: &storage.ShardMachine{Type: "m8", State: storage.MachineCordoned},
			}
			records.Machines["i-3"] = &mirror.Machine{
				ID: "i-3", Record: &storage.ShardMachine{Type: "unknown", State: storage.MachineOpen},
			}
			bins := (&Snapshot{Records: records, MachineTypes: testTypes(), Jobs: tc.policy}).Bins()
			if len(bins) != 1 || bins[0].MachineID != "i-1" {
				t.Fatalf("got bins %+v, want one for machine i-1", bins)
			}
			got := bins[0]
			if got.Free.CPUs != 6 || got.ArrayCPUs != tc.want.ArrayCPUs || got.BootSeconds != 10 ||
				got.CommittedCPUSeconds != tc.want.CommittedCPUSeconds || len(got.Running) != len(tc.want.Running) ||
				got.PreemptibleByServices != tc.want.PreemptibleByServices ||
				got.PreemptibleByPriority[1] != tc.want.PreemptibleByPriority[1] {
				t.Errorf("got %+v, want 6 free CPUs, 10 s of boot time and otherwise as in %+v", got, tc.want)
			}
		})
	}
}
