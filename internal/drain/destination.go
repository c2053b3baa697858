package drain

import "pipitgap/internal/storage"

// destination chooses a machine for a replica that is to be moved. It uses best fit: of the machines with
// enough free resources, the one with the fewest free CPUs. If there is none, it uses first fit with
// preemption: the first machine where the replica fits once array tasks of lower priority are preempted.
func (s *Snapshot) destination(job *Job, from *Machine, live func(node string) bool) (*Machine, bool) {
	zones := s.zonesFor(job, from)
	var bestFit, preemptionFit *Machine
	s.ForEachMachine(func(machine *Machine) bool {
		if machine.ID == from.ID || !s.takesReplicas(machine, live) || !job.allows(machine) ||
			!zones.allow(machine.Zone) {
			return true
		}
		switch {
		case job.PerTask.FitsIn(machine.Free):
			if bestFit == nil || machine.Free.CPUs < bestFit.Free.CPUs {
				bestFit = machine
			}
		case preemptionFit == nil && job.PerTask.FitsIn(machine.freeWithPreemption(job.Priority)):
			preemptionFit = machine
		}
		return true
	})
	if bestFit != nil {
		return bestFit, true
	}
	return preemptionFit, preemptionFit != nil
}

// takesReplicas reports whether new replicas may be placed on a machine: it is open, its controller is live
// and no unfinished drain covers it.
func (s *Snapshot) takesReplicas(machine *Machine, live func(node string) bool) bool {
	if machine.State != storage.MachineOpen || !live(machine.Owner) {
		return false
	}
	_, covered := s.drainCovering(machine)
	return !covered
}

// zoneCounts has the number of a job's other replicas in each zone.
type zoneCounts struct {
	job      *Job
	replicas map[string]int
}

// zonesFor counts a job's replicas by zone, without the replica that leaves the machine from. For a job
// without zone rules it counts none.
func (s *Snapshot) zonesFor(job *Job, from *Machine) *zoneCounts {
	zones := &zoneCounts{job: job, replicas: map[string]int{}}
	if !job.OneZone && !job.Spread {
		return zones
	}
	s.ForEachMachine(func(machine *Machine) bool {
		for _, replica := range machine.Replicas {
			if replica.Job == job.ID {
				zones.replicas[machine.Zone]++
			}
		}
		return true
	})
	zones.replicas[from.Zone]--
	return zones
}

// allow reports whether the job's zone rules allow one more replica in a zone.
func (z *zoneCounts) allow(zone string) bool {
	if z.job.Spread && z.replicas[zone]+1 > (z.job.Replicas+1)/2 {
		return false
	}
	if !z.job.OneZone {
		return true
	}
	for other, n := range z.replicas {
		if other != zone && n > 0 {
			return false
		}
	}
	return true
}
