package drain

import "pipitgap/internal/storage"

// destination finds a machine for a replica that is to be moved: where room is free, the
// tightest fit; else where array tasks of lower priority give way.
func (s *Snapshot) destination(job *Job, from *Machine, live func(node string) bool) (*Machine, bool) {
	zones := s.zonesFor(job, from)
	var free, displacing *Machine
	s.ForEachMachine(func(m *Machine) bool {
		if m.ID == from.ID || !s.takesReplicas(m, live) || !job.allows(m) || !zones.allow(m.Zone) {
			return true
		}
		switch {
		case job.PerTask.FitsIn(m.Free):
			if free == nil || m.Free.CPUs < free.Free.CPUs {
				free = m
			}
		case displacing == nil && job.PerTask.FitsIn(m.freeWithPreemption(job.Priority)):
			displacing = m
		}
		return true
	})
	if free != nil {
		return free, true
	}
	return displacing, displacing != nil
}

// takesReplicas tells whether new tasks may go to a machine.
func (s *Snapshot) takesReplicas(m *Machine, live func(node string) bool) bool {
	if m.State != storage.MachineOpen || !live(m.Owner) {
		return false
	}
	_, covered := s.drainCovering(m)
	return !covered
}

// zoneCount is in which zones a job's other replicas are.
type zoneCount struct {
	job *Job
	in  map[string]int
}

// zonesFor counts the zones of a job's replicas but for one that is leaving a machine.
func (s *Snapshot) zonesFor(job *Job, from *Machine) *zoneCount {
	zones := &zoneCount{job: job, in: map[string]int{}}
	if !job.OneZone && !job.Spread {
		return zones
	}
	s.ForEachMachine(func(m *Machine) bool {
		for _, r := range m.Replicas {
			if r.Job == job.ID {
				zones.in[m.Zone]++
			}
		}
		return true
	})
	zones.in[from.Zone]--
	return zones
}

// allow tells whether a zone may take one more replica.
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
