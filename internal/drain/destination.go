package drain

import "pipitgap/internal/storage"

// destination finds a machine for a replica that is to be moved: the tightest fit among those with enough
// bestFit, else the first one where it fits by preempting array tasks of lower priority.
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

// takesReplicas reports whether new tasks may go to a machine.
func (s *Snapshot) takesReplicas(machine *Machine, live func(node string) bool) bool {
	if machine.State != storage.MachineOpen || !live(machine.Owner) {
		return false
	}
	_, covered := s.drainCovering(machine)
	return !covered
}

// zoneCounts counts a job's other replicas by zone.
type zoneCounts struct {
	job      *Job
	replicas map[string]int
}

// zonesFor counts a job's replicas by zone, without the one that leaves a machine.
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

// allow reports whether a zone may take one more replica.
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
