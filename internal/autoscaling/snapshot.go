package autoscaling

import (
	"math"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// overdueLimitFactor times Snapshot.OverdueBootFactor is the number of boot times after which a requested
// machine that isn't up no longer counts as supply for any task.
const overdueLimitFactor = 1.5

// Snapshot is the state from which demand and supply are computed. It is read-only.
type Snapshot struct {
	Records      *mirror.Mirror
	MachineTypes map[string]protocol.MachineType
	Jobs         JobPolicy
	Now          monotime.Micros
	WallClock    int64 // time of day in microseconds, as in the records

	ServiceHeadroom   float64 // fraction of the tasks of each service class that is kept as headroom; 0: none
	OverdueBootFactor float64 // boot times after which a requested machine is overdue; 0: never
}

// JobPolicy provides the decisions of the scheduler and of the quotas about jobs.
type JobPolicy interface {
	// IsDelayed reports whether a job's tasks may not be placed yet.
	IsDelayed(job *mirror.Job, now monotime.Micros) bool
	// IsCrashLooping reports whether a job fails on every machine and may run only an occasional trial task.
	IsCrashLooping(job *mirror.Job) bool
	// MayScaleOutForTrial reports whether a machine may be requested for the trial task of a crash-looping
	// job.
	MayScaleOutForTrial(job *mirror.Job, now monotime.Micros) bool
	// IsScavenger reports whether a job is of the scavenger class: a low-priority array without an objective
	// that uses spare room and cost-effective spot machines.
	IsScavenger(job *mirror.Job) bool
	// IsSpotOnly reports whether no on-demand machine may be requested for a job.
	IsSpotOnly(job *mirror.Job) bool
	// IsPreemptible reports whether tasks of array jobs with a higher priority may preempt a job's tasks.
	IsPreemptible(job *mirror.Job) bool
	// ExpectedRunSeconds returns the expected run time of a task.
	ExpectedRunSeconds(spec *storage.JobSpec) float64
	// SlackSeconds returns how long a job's tasks may wait and still meet the next objective. It is infinite
	// for a job without an objective.
	SlackSeconds(job *mirror.Job, wallClock int64) float64
	// RemainingQuota returns the resources that a team may use in addition to its current use.
	RemainingQuota(team string) resources.Vector
	// Zones returns a job's zone constraint, which counts the tasks placed so far. Each call returns a new
	// value.
	Zones(job *mirror.Job) ZoneConstraint
}

// UnplacedDemand lists the unplaced tasks within their teams' quotas, given the open jobs in queue order.
func (s *Snapshot) UnplacedDemand(queue []*mirror.Job) []*Demand {
	var out []*Demand
	quotas := map[string]resources.Vector{}
	for i, job := range queue {
		if s.Jobs.IsDelayed(job, s.Now) {
			continue
		}
		crashLooping := s.Jobs.IsCrashLooping(job)
		if crashLooping && !s.Jobs.MayScaleOutForTrial(job, s.Now) {
			continue // the job's trial tasks run only on machines that are up already
		}
		team := job.Record.Spec.Team
		quota, ok := quotas[team]
		if !ok {
			quota = s.Jobs.RemainingQuota(team)
		}
		tasks := min(job.UnassignedTasks(), job.TaskResources.CountIn(quota))
		quotas[team] = quota.AddScaled(job.TaskResources, -float64(tasks))
		if tasks == 0 {
			continue
		}
		demand := s.demandOf(job, tasks, i)
		if !demand.SpotOnly && s.Jobs.IsScavenger(job) || crashLooping {
			demand.Tasks, demand.CrashLoopTrial = 1, crashLooping
		}
		out = append(out, demand)
	}
	return out
}

// demandOf returns the demand for a number of a job's tasks.
func (s *Snapshot) demandOf(job *mirror.Job, tasks, queueIndex int) *Demand {
	spec := &job.Record.Spec
	return &Demand{
		Spec:            spec,
		Need:            job.TaskResources,
		Tasks:           tasks,
		JobID:           job.ID,
		QueueIndex:      queueIndex,
		SlackSeconds:    s.Jobs.SlackSeconds(job, s.WallClock),
		Zones:           s.Jobs.Zones(job),
		ExpectedSeconds: s.Jobs.ExpectedRunSeconds(spec),
		SpotOnly:        s.Jobs.IsSpotOnly(job),
	}
}

// HeadroomDemand returns the capacity to keep available for future services: a fraction of the tasks of each
// service class. A new service that finds capacity starts as soon as its image is fetched. Without capacity
// it waits for a machine to boot.
func (s *Snapshot) HeadroomDemand() []*Demand {
	if s.ServiceHeadroom == 0 {
		return nil
	}
	tasks := map[string]int{}
	latestByClass := map[string]*mirror.Job{} // by class: the job whose task size represents the class
	for _, id := range sortedmap.Keys(s.Records.Jobs) {
		job := s.Records.Jobs[id]
		if !job.IsOpen() || !job.Record.Spec.Service || s.Jobs.IsCrashLooping(job) {
			continue
		}
		class := job.Record.Spec.Class
		tasks[class] += job.Record.Spec.Tasks
		latestByClass[class] = job
	}
	var out []*Demand
	for _, class := range sortedmap.Keys(latestByClass) {
		spec := latestByClass[class].Record.Spec
		spec.OneZone, spec.Spread, spec.Zone, spec.MachineTypes = false, false, "", nil
		out = append(out, &Demand{
			Spec:       &spec,
			Need:       latestByClass[class].TaskResources,
			Tasks:      int(math.Ceil(float64(tasks[class]) * s.ServiceHeadroom)),
			JobID:      "headroom " + class,
			QueueIndex: math.MaxInt32,
		})
	}
	return out
}

// Bins lists the supply: first the machines that may get tasks, then the machines expected from open
// scale-out requests.
func (s *Snapshot) Bins() []*Bin { return append(s.machineBins(), s.requestedBins()...) }

// machineBins lists the machines that may get tasks.
func (s *Snapshot) machineBins() []*Bin {
	var out []*Bin
	for _, id := range sortedmap.Keys(s.Records.Machines) {
		machine := s.Records.Machines[id]
		if machine.Record == nil || machine.Record.State != storage.MachineOpen {
			continue
		}
		machineType, ok := s.MachineTypes[machine.Record.Type]
		if !ok {
			continue
		}
		capacity := mirror.MachineCapacity(&machineType)
		bin := &Bin{
			Offer:       Offer{machine.Record.Type, machine.Record.Zone, machine.Record.Spot},
			MachineID:   id,
			Capacity:    capacity,
			Free:        capacity.AddScaled(machine.Used, -1),
			ArrayCPUs:   machineType.CPUs,
			BootSeconds: machineType.BootS,
		}
		for task := range machine.Attempts {
			if job := s.Records.Jobs[task.Job]; job != nil {
				s.addRunningTask(bin, job)
			}
		}
		out = append(out, bin)
	}
	return out
}

// addRunningTask accounts for a running task in a bin: the resources it holds and its expected remaining run.
// A service never ends. A task of an array job is assumed to be halfway through its run.
func (s *Snapshot) addRunningTask(bin *Bin, job *mirror.Job) {
	spec := &job.Record.Spec
	if spec.Service {
		bin.ArrayCPUs -= job.TaskResources.CPUs
		return
	}
	bin.PreemptibleByServices = bin.PreemptibleByServices.AddScaled(job.TaskResources, 1)
	if s.Jobs.IsPreemptible(job) { // the task can be preempted, so the plan doesn't wait for its end
		if bin.PreemptibleByPriority == nil {
			bin.PreemptibleByPriority = map[int]resources.Vector{}
		}
		held := bin.PreemptibleByPriority[spec.Priority]
		bin.PreemptibleByPriority[spec.Priority] = held.AddScaled(job.TaskResources, 1)
		return
	}
	seconds := s.Jobs.ExpectedRunSeconds(spec)
	bin.CommittedCPUSeconds += resources.Round(job.TaskResources.CPUs * seconds / 2)
	bin.Running = append(bin.Running, RunningTask{
		CPUs:            resources.Round(job.TaskResources.CPUs),
		ExpectedSeconds: resources.Round(seconds),
	})
}

// requestedBins lists the machines expected from open scale-out requests.
func (s *Snapshot) requestedBins() []*Bin {
	var out []*Bin
	for _, name := range sortedmap.Keys(s.Records.ScaleOuts) {
		request := s.Records.ScaleOuts[name]
		machineType, ok := s.MachineTypes[request.Record.MachineType]
		if !ok || request.Record.Phase == storage.ScaleOutNoCapacity {
			continue
		}
		expected := s.expectedMachines(request, machineType.BootS)
		for range expected.count {
			out = append(out, &Bin{
				Offer:       requestedOffer(&request.Record),
				Capacity:    mirror.MachineCapacity(&machineType),
				Free:        mirror.MachineCapacity(&machineType),
				ArrayCPUs:   machineType.CPUs,
				BootSeconds: machineType.BootS,
				Overdue:     expected.overdue,
			})
		}
	}
	return out
}

// expectedMachines is the number of machines still expected from a scale-out request.
type expectedMachines struct {
	count   int
	overdue bool // the machines are still not up after OverdueBootFactor boot times
}

// expectedMachines returns the machines still expected from a scale-out request, given the boot time of their
// type in seconds.
func (s *Snapshot) expectedMachines(request *mirror.ScaleOutEntry, bootSeconds float64) expectedMachines {
	if request.Record.Phase != storage.ScaleOutProvisioning {
		return expectedMachines{count: request.Record.Count}
	}
	overdue := false
	if s.OverdueBootFactor > 0 {
		bootTimes := monotime.Micros(s.WallClock-request.Record.PhaseSince).Seconds() / max(bootSeconds, 1)
		if bootTimes > overdueLimitFactor*s.OverdueBootFactor {
			return expectedMachines{}
		}
		overdue = bootTimes > s.OverdueBootFactor
	}
	return expectedMachines{count: len(MissingMachines(s.Records, request)), overdue: overdue}
}

// MissingMachines lists the machines of a scale-out request that aren't up yet and aren't being removed.
func MissingMachines(records *mirror.Mirror, request *mirror.ScaleOutEntry) []string {
	var out []string
	for _, id := range request.Record.Machines {
		machine := records.Machines[id]
		if (machine == nil || machine.Record == nil) && records.ScaleInOfMachine[id] == "" {
			out = append(out, id)
		}
	}
	return out
}

// Offers lists the offers that may be requested now: those with a price, except offers that are quarantined
// or that the caller excludes.
func (s *Snapshot) Offers(isExcluded func(Offer) bool) []*PricedOffer {
	quarantined, zoneMachines := QuarantinedOffers(s.Records), s.machinesByZone()
	var out []*PricedOffer
	for _, name := range sortedmap.Keys(s.MachineTypes) {
		machineType := s.MachineTypes[name]
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				offer := Offer{name, zone, spot}
				price := effectivePrice(&machineType, spot)
				if quarantined[offer] || price <= 0 || isExcluded(offer) {
					continue
				}
				out = append(out, &PricedOffer{
					Offer:        offer,
					Capacity:     mirror.MachineCapacity(&machineType),
					Price:        price,
					ZoneMachines: zoneMachines[zone],
				})
			}
		}
	}
	return out
}

// QuarantinedOffers returns the offers that may not be requested now, because the cloud had insufficient
// capacity or rejected a request for them.
func QuarantinedOffers(records *mirror.Mirror) map[Offer]bool {
	out := map[Offer]bool{}
	for _, request := range records.ScaleOuts {
		if request.Record.Phase == storage.ScaleOutNoCapacity {
			out[requestedOffer(&request.Record)] = true
		}
	}
	return out
}

// requestedOffer returns the offer that a request asks for.
func requestedOffer(request *storage.ScaleOutRequest) Offer {
	return Offer{request.MachineType, request.Zone, request.Spot}
}

// machinesByZone counts the machines in each zone that are up or requested.
func (s *Snapshot) machinesByZone() map[string]int {
	count := map[string]int{}
	for _, machine := range s.Records.Machines {
		if machine.Record != nil {
			count[machine.Record.Zone]++
		}
	}
	for _, request := range s.Records.ScaleOuts {
		if request.Record.Phase != storage.ScaleOutNoCapacity {
			count[request.Record.Zone] += request.Record.Count
		}
	}
	return count
}
