package loopback

import (
	"slices"

	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// AllRunning reports whether all replicas run according to both the workers and the checker. Call it inside
// Clock.Do.
func (s *Services) AllRunning() bool {
	for id, n := range s.replicas {
		if s.Fleet.Running(id) != n {
			return false
		}
	}
	for _, team := range s.Teams {
		if s.Fleet.RunningReplicas(team.Team) != team.Services*team.Replicas {
			return false
		}
	}
	return true
}

// Running returns the number of running replicas of each team. Call it inside Clock.Do.
func (s *Services) Running() map[string]int {
	out := map[string]int{}
	for _, team := range s.Teams {
		out[team.Team] = s.Fleet.RunningReplicas(team.Team)
	}
	return out
}

// MachinesInZone lists the machines of a zone that have not been deleted.
func (s *Services) MachinesInZone(zone string) []string {
	var out []string
	s.Clock.Do(func() {
		for id, m := range s.Cloud.Machines {
			if !m.Gone && m.Zone == zone {
				out = append(out, id)
			}
		}
	})
	slices.Sort(out)
	return out
}

// DeletedMachinesInZone counts the deleted machines of a zone. Call it inside Clock.Do.
func (s *Services) DeletedMachinesInZone(zone string) int {
	n := 0
	for _, m := range s.Cloud.Machines {
		if m.Gone && m.Zone == zone {
			n++
		}
	}
	return n
}

// MachinesRunningTeam lists the machines of a zone that run replicas of a team, up to a limit.
func (s *Services) MachinesRunningTeam(team, zone string, limit int) []string {
	var out []string
	s.Clock.Do(func() {
		for id, w := range s.Fleet.Workers {
			if w.Machine.Gone || w.Machine.Zone != zone {
				continue
			}
			for task, attempt := range w.Attempts {
				if s.Fleet.Jobs[task[:len("j-000000")]].Team == team && attempt.State == protocol.StateRunning {
					out = append(out, id)
					break
				}
			}
		}
	})
	slices.Sort(out)
	return out[:min(limit, len(out))]
}

// Leader returns the node that is the leader according to the record in the state service.
func (s *Services) Leader() string {
	var leader storage.Leader
	s.Clock.Do(func() { s.Store.Read(storage.LeaderKey, &leader) })
	return leader.Node
}

// Restarts counts the starts of replicas beyond the first start of each: the total over all replicas and the
// maximum of a single replica.
func (s *Services) Restarts() (total, maxPerReplica int) {
	s.Clock.Do(func() { total, maxPerReplica = s.Fleet.Restarts(s.replicas) })
	return total, maxPerReplica
}

// StoreChanges returns the number of puts and deletes that the state service has counted in
// StoreCounters.Changes.
func (s *Services) StoreChanges() int {
	n := 0
	s.Clock.Do(func() { n = s.Store.Changes })
	return n
}
