package scheduling

import (
	"testing"

	"pipitgap/internal/resources"
	"pipitgap/internal/storage"
)

// shardWrite is a ShardWrite that returns fixed values.
type shardWrite struct {
	maxBytes, compares, writes, otherBytes int

	assigns bool
	freed   resources.Vector
}

func (s *shardWrite) MaxBytes() int                      { return s.maxBytes }
func (s *shardWrite) Compares() int                      { return s.compares }
func (s *shardWrite) Writes() int                        { return s.writes }
func (s *shardWrite) OtherBytes() int                    { return s.otherBytes }
func (s *shardWrite) AssignsJob(string) bool             { return s.assigns }
func (s *shardWrite) FreedQuota(string) resources.Vector { return s.freed }

// newCandidate returns an ordinary machine with 8 CPUs, of which 4 are free, and without cached images.
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
		{"reserved for the job", storage.JobSpec{}, nil, func(c *Candidate) { c.ReservedForJob = "j-1" }, true},
		{"reserved for another job",
			storage.JobSpec{}, nil, func(c *Candidate) { c.ReservedForJob = "j-2" }, false},
		{"another zone", storage.JobSpec{Zone: "b"}, nil, nil, false},
		{"no task left for the zone", storage.JobSpec{Spread: true, Tasks: 2},
			func(r *MachineRequest) { r.Zones.AddTasks("a", 1) }, nil, false},
		{"one task below the maximum",
			storage.JobSpec{}, nil, func(c *Candidate) { c.TaskCount = MaxTasksPerMachine - 1 }, true},
		{"at the maximum number of tasks",
			storage.JobSpec{}, nil, func(c *Candidate) { c.TaskCount = MaxTasksPerMachine }, false},
		{"job failed on the machine",
			storage.JobSpec{}, func(r *MachineRequest) { r.Failures = failures }, nil, false},
		{"job failed on another machine", storage.JobSpec{}, func(r *MachineRequest) { r.Failures = failures },
			func(c *Candidate) { c.MachineID = "i-2" }, true},
		{"spot only, ordinary machine",
			storage.JobSpec{Spot: true}, func(r *MachineRequest) { r.SpotOnly = true }, nil, false},
		{"spot only, ordinary machine with services", storage.JobSpec{Spot: true},
			func(r *MachineRequest) { r.SpotOnly = true }, func(c *Candidate) { c.ServiceCPUs = 1 }, true},
		{"spot only, spot machine", storage.JobSpec{Spot: true}, func(r *MachineRequest) { r.SpotOnly = true },
			func(c *Candidate) { c.Record.Spot = true }, true},
		{"another write than the only one allowed", storage.JobSpec{},
			func(r *MachineRequest) { r.OnlyWrite = onlyWrite }, nil, false},
		{"the only write allowed", storage.JobSpec{}, func(r *MachineRequest) { r.OnlyWrite = onlyWrite },
			func(c *Candidate) { c.Shard = onlyWrite }, true},
		{"freed quota only, nothing freed",
			storage.JobSpec{}, func(r *MachineRequest) { r.FreedQuotaOnly = true }, nil, false},
		{"freed quota only, enough freed",
			storage.JobSpec{}, func(r *MachineRequest) { r.FreedQuotaOnly = true },
			func(c *Candidate) { c.Shard = &shardWrite{freed: resources.Vector{CPUs: 2}} }, true},
		{"shard too large", storage.JobSpec{}, func(r *MachineRequest) { r.MaxShardBytes = 99 }, nil, false},
		{"too many compares",
			storage.JobSpec{}, func(r *MachineRequest) { r.MaxShardCompares = 10 }, nil, false},
		{"job's record fits", storage.JobSpec{},
			func(r *MachineRequest) { r.RecordBytes, r.MaxShardWrites, r.MaxOtherBytes = 40, 3, 100 },
			func(c *Candidate) { c.Shard = &shardWrite{writes: 2, otherBytes: 60} }, true},
		{"too many writes for the job's record", storage.JobSpec{},
			func(r *MachineRequest) { r.RecordBytes, r.MaxShardWrites, r.MaxOtherBytes = 40, 3, 100 },
			func(c *Candidate) { c.Shard = &shardWrite{writes: 3, otherBytes: 60} }, false},
		{"too many bytes for the job's record", storage.JobSpec{},
			func(r *MachineRequest) { r.RecordBytes, r.MaxShardWrites, r.MaxOtherBytes = 40, 3, 100 },
			func(c *Candidate) { c.Shard = &shardWrite{writes: 2, otherBytes: 61} }, false},
		{"too many writes, but the write already assigns the job", storage.JobSpec{},
			func(r *MachineRequest) { r.RecordBytes, r.MaxShardWrites, r.MaxOtherBytes = 40, 3, 100 },
			func(c *Candidate) { c.Shard = &shardWrite{writes: 3, assigns: true} }, true},
		{"too many compares, but the write already assigns the job",
			storage.JobSpec{}, func(r *MachineRequest) { r.MaxShardCompares = 10 },
			func(c *Candidate) { c.Shard = &shardWrite{compares: 10, assigns: true} }, true},
	} {
		if got := newRequest(tc.spec, tc.request).Accepts(newCandidate(tc.candidate)); got != tc.want {
			t.Errorf("%s: got accepted %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestMachineScore checks which of two machines has the better (lower) score.
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
		{"tightest fit", storage.JobSpec{}, free(2), free(4)},
		{"cached image before a slightly tighter fit", storage.JobSpec{}, all(image, free(9)), free(2)},
		{"much tighter fit before a cached image", storage.JobSpec{}, free(2), all(image, free(11))},
		{"service: cached image before any fit", storage.JobSpec{Service: true}, all(image, free(64)), free(2)},
		{"spot before ordinary machine", storage.JobSpec{Spot: true}, all(spot, free(64)), free(2)},
		{"closing spot machine before ordinary machine", storage.JobSpec{Spot: true}, all(spot, closing), nil},
		{"ordinary machine with services before spot machine", storage.JobSpec{Spot: true}, services(1), spot},
		{"spot machine with a much tighter fit before ordinary machine with services",
			storage.JobSpec{Spot: true}, all(spot, free(2)),
			all(services(1), free(53))},
		{"open before closing machine", storage.JobSpec{}, free(64), closing},
		{"service: machine with services first", storage.JobSpec{Service: true}, services(2), nil},
		{"service: services up to the packing target before services above it",
			storage.JobSpec{Service: true}, services(2), services(5)},
	} {
		request := newRequest(tc.spec, nil)
		better, worse := request.Score(newCandidate(tc.better)), request.Score(newCandidate(tc.worse))
		if better >= worse {
			t.Errorf("%s: got scores %v and %v, want the first lower", tc.name, better, worse)
		}
	}
}

func TestServicePackingTarget(t *testing.T) {
	for _, tc := range []struct{ machine, fleet, want float64 }{
		{8, 0, 2},     // a quarter of the machine
		{8, 200, 4},   // 2% of the CPUs of all services
		{8, 10000, 6}, // at most three quarters of the machine
	} {
		request := &MachineRequest{FleetServiceCPUs: tc.fleet}
		if got := request.servicePackingTarget(tc.machine); got != tc.want {
			t.Errorf("machine with %v CPUs, %v CPUs of services: got target %v, want %v",
				tc.machine, tc.fleet, got, tc.want)
		}
	}
}
