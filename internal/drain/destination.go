package drain

import "pipitgap/internal/storage"

// destination finds a machine for a replica that is to be moved: the tightest fit among those with enough
// free, else the first one where it fits by preempting array tasks of lower priority.
func (s *Snapshot) destination(job *Job, from *Machine, live func(node string) bool) (*Machine, bool) {
	zones := s.zonesFor(job, from)
	var free, preempting *Machine
	s.ForEachMachine(func(machine *Machine) bool {
		if machine.ID == from.ID || !s.takesReplicas(machine, live) || !job.allows(machine) ||
			!zones.allow(machine.Zone) {
			return true
		}
		switch {
		case job.PerTask.FitsIn(machine.Free):
			if free == nil || machine.Free.CPUs < free.Free.CPUs {
				free = machine
			}
		case preempting == nil && job.PerTask.FitsIn(machine.freeWithPreemption(job.Priority)):
			preempting = machine
		}
		return true
	})
	if free != nil {
		return free, true
	}
	return preempting, preempting != nil
}

// takesReplicas reports whether new tasks may go to a machine.
func (s *Snapshot) takesReplicas(machine *Machine, live func(node string) bool) bool {
	if machine.State != storage.MachineOpen || !live(machine.Owner) {
		return false
	}
	_, covered := s.drainCovering(machine)
	return !covered
}

// zoneCount counts a job's other replicas by zone.
type zoneCount struct {
	job *Job
	in  map[string]int
}

// zonesFor counts a job's replicas by zone, without the one that leaves a machine.
func (s *Snapshot) zonesFor(job *Job, from *Machine) *zoneCount {
	zones := &zoneCount{job: job, in: map[string]int{}}
	if !job.OneZone && !job.Spread {
		return zones
	}
	s.ForEachMachine(func(machine *Machine) bool {
		for _, replica := range machine.Replicas {
			if replica.Job == job.ID {
				zones.in[machine.Zone]++
			}
		}
		return true
	})
	zones.in[from.Zone]--
	return zones
}

// allow reports whether a zone may take one more replica.
func (z *zoneCount) allow(zone string) bool {
	if z.job.Spread && z.in[zone]+1 > (z.job.Replicas+1)/2 {
		return false
	}
	if !z.job.OneZone {
		return true
	}
	for other, n := range z.in {
		if other != zone && n > 0 {
			return false
		}
	}
	return true
}
