package scheduling

import (
	"testing"

	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// shardWrite is a shard's write with fixed answers.
type shardWrite struct {
	maxBytes, compares int
	assigns            bool
	freed              resources.Vector
}

func (s *shardWrite) MaxBytes() int                      { return s.maxBytes }
func (s *shardWrite) Compares() int                      { return s.compares }
func (s *shardWrite) AssignsJob(string) bool             { return s.assigns }
func (s *shardWrite) FreedQuota(string) resources.Vector { return s.freed }

// newCandidate is an ordinary machine of eight CPUs with four free, and no image.
func newCandidate(change func(*Candidate)) *Candidate {
	c := &Candidate{
		MachineID: "i-1",
		Record:    &storage.ShardMachine{Type: "m8", Zone: "a"},
		TypeCPUs:  8,
		Free:      resources.Vector{CPUs: 4},
		Shard:     &shardWrite{maxBytes: 100, compares: 10},
	}
	if change != nil {
		change(c)
	}
	return c
}

func newRequest(spec storage.JobSpec, change func(*MachineRequest)) *MachineRequest {
	spec.Image, spec.ImageGB = "image", 2
	r := &MachineRequest{
		JobID:            "j-1",
		Spec:             &spec,
		Need:             resources.Vector{CPUs: 2},
		Zones:            NewZoneConstraint(&spec),
		MaxShardBytes:    100,
		MaxShardCompares: 11,
	}
	if change != nil {
		change(r)
	}
	return r
}

func TestMachineRequestAccepts(t *testing.T) {
	failures := &JobFailures{}
	failures.Record("i-1", 1)
	onlyWrite := &shardWrite{}
	for _, tc := range []struct {
		name      string
		spec      storage.JobSpec
		request   func(*MachineRequest)
		candidate func(*Candidate)
		want      bool
	}{
		{"fits", storage.JobSpec{}, nil, nil, true},
		{"no room", storage.JobSpec{}, nil, func(c *Candidate) { c.Free.CPUs = 1 }, false},
		{"reserved for it", storage.JobSpec{}, nil, func(c *Candidate) { c.ReservedForJob = "j-1" }, true},
		{"reserved for another", storage.JobSpec{}, nil, func(c *Candidate) { c.ReservedForJob = "j-2" }, false},
		{"another zone", storage.JobSpec{Zone: "b"}, nil, nil, false},
		{"zone is full", storage.JobSpec{Spread: true, Tasks: 2},
			func(r *MachineRequest) { r.Zones.AddTasks("a", 1) }, nil, false},
		{"last task", storage.JobSpec{}, nil, func(c *Candidate) { c.TaskCount = MaxTasksPerMachine - 1 }, true},
		{"too many tasks", storage.JobSpec{}, nil, func(c *Candidate) { c.TaskCount = MaxTasksPerMachine }, false},
		{"failed there", storage.JobSpec{}, func(r *MachineRequest) { r.Failures = failures }, nil, false},
		{"failed elsewhere", storage.JobSpec{}, func(r *MachineRequest) { r.Failures = failures },
			func(c *Candidate) { c.MachineID = "i-2" }, true},
		{"spot only, ordinary", storage.JobSpec{Spot: true}, func(r *MachineRequest) { r.SpotOnly = true }, nil, false},
		{"spot only, beside services", storage.JobSpec{Spot: true},
			func(r *MachineRequest) { r.SpotOnly = true }, func(c *Candidate) { c.ServiceCPUs = 1 }, true},
		{"spot only, spot", storage.JobSpec{Spot: true}, func(r *MachineRequest) { r.SpotOnly = true },
			func(c *Candidate) { c.Record.Spot = true }, true},
		{"another shard than its fence", storage.JobSpec{},
			func(r *MachineRequest) { r.OnlyWrite = onlyWrite }, nil, false},
		{"its fence", storage.JobSpec{}, func(r *MachineRequest) { r.OnlyWrite = onlyWrite },
			func(c *Candidate) { c.Shard = onlyWrite }, true},
		{"nothing freed", storage.JobSpec{}, func(r *MachineRequest) { r.FreedQuotaOnly = true }, nil, false},
		{"enough freed", storage.JobSpec{}, func(r *MachineRequest) { r.FreedQuotaOnly = true },
			func(c *Candidate) { c.Shard = &shardWrite{freed: resources.Vector{CPUs: 2}} }, true},
		{"shard too large", storage.JobSpec{}, func(r *MachineRequest) { r.MaxShardBytes = 99 }, nil, false},
		{"too many conditions", storage.JobSpec{}, func(r *MachineRequest) { r.MaxShardCompares = 10 }, nil, false},
		{"which it has already", storage.JobSpec{}, func(r *MachineRequest) { r.MaxShardCompares = 10 },
			func(c *Candidate) { c.Shard = &shardWrite{compares: 10, assigns: true} }, true},
	} {
		if got := newRequest(tc.spec, tc.request).Accepts(newCandidate(tc.candidate)); got != tc.want {
			t.Errorf("%s: %v", tc.name, got)
		}
	}
}

// TestMachineScore: which of two machines a task goes to.
func TestMachineScore(t *testing.T) {
	spot := func(c *Candidate) { c.Record.Spot = true }
	free := func(cpus float64) func(*Candidate) { return func(c *Candidate) { c.Free.CPUs = cpus } }
	services := func(cpus float64) func(*Candidate) { return func(c *Candidate) { c.ServiceCPUs = cpus } }
	image := func(c *Candidate) { c.CachedImages = map[string]bool{"image": true} }
	all := func(changes ...func(*Candidate)) func(*Candidate) {
		return func(c *Candidate) {
			for _, change := range changes {
				change(c)
			}
		}
	}
	closing := func(c *Candidate) { c.Closing = true }
	for _, tc := range []struct {
		name          string
		spec          storage.JobSpec
		better, worse func(*Candidate)
	}{
		{"the tightest fit", storage.JobSpec{}, free(2), free(4)},
		{"an image before a slightly tighter fit", storage.JobSpec{}, all(image, free(9)), free(2)},
		{"a much tighter fit before an image", storage.JobSpec{}, free(2), all(image, free(11))},
		{"a service: an image before any fit", storage.JobSpec{Service: true}, all(image, free(64)), free(2)},
		{"spot before ordinary", storage.JobSpec{Spot: true}, all(spot, free(64)), free(2)},
		{"a closing spot machine before ordinary", storage.JobSpec{Spot: true}, all(spot, closing), nil},
		{"beside services before spot", storage.JobSpec{Spot: true}, services(1), spot},
		{"a far tighter spot machine before services", storage.JobSpec{Spot: true}, all(spot, free(2)),
			all(services(1), free(53))},
		{"open before closing", storage.JobSpec{}, free(64), closing},
		{"a service: beside services", storage.JobSpec{Service: true}, services(2), nil},
		{"a service: up to a quarter", storage.JobSpec{Service: true}, services(2), services(5)},
	} {
		request := newRequest(tc.spec, nil)
		better, worse := request.Score(newCandidate(tc.better)), request.Score(newCandidate(tc.worse))
		if better >= worse {
			t.Errorf("%s: %v and %v", tc.name, better, worse)
		}
	}
}

func TestServicePackingTarget(t *testing.T) {
	for _, tc := range []struct{ machine, fleet, want float64 }{
		{8, 0, 2},     // a quarter
		{8, 200, 4},   // a fiftieth of all services
		{8, 10000, 6}, // three quarters at most
	} {
		request := &MachineRequest{FleetServiceCPUs: tc.fleet}
		if got := request.servicePackingTarget(tc.machine); got != tc.want {
			t.Errorf("machine of %v CPUs, services of %v: %v, want %v", tc.machine, tc.fleet, got, tc.want)
		}
	}
}
