package loopback

import (
	"slices"
	"time"
)

// setRefused begins or ends the refusal of a controller by the state service.
func (s *soakRun) setRefused(node string, refused bool) {
	s.Clock.Do(func() { s.Store.RefusedCallers[node] = refused })
}

func (s *soakRun) kill(node string) { s.Process(node).Kill() }

// startIfDown starts a controller that does not run.
func (s *soakRun) startIfDown(node string) {
	if process := s.Process(node); !process.Running() {
		process.Kill() // releases a process that has ended by itself
		s.StartController(node)
	}
}

// postCopies delivers copies of heartbeats to all controllers. It runs inside Clock.Do.
func (s *soakRun) postCopies(bodies [][]byte) {
	for _, body := range bodies {
		for _, node := range s.Controllers {
			s.heartbeats.post(node, body, func(int, []byte) {})
		}
	}
}

// playFaults begins and ends the faults at their times.
func (s *soakRun) playFaults() {
	type step struct {
		at  time.Duration
		run func()
	}
	var steps []step
	for _, fault := range s.faults {
		steps = append(steps, step{fault.at, fault.begin}, step{fault.at + fault.duration, fault.end})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	startedAt := time.Now()
	for _, next := range steps {
		time.Sleep(next.at - time.Since(startedAt))
		next.run()
	}
}

// endFaults ends every fault, whatever has begun.
func (s *soakRun) endFaults() {
	s.SetFaults(nil)
	s.SetHeartbeatFaults(nil)
	for _, node := range s.Controllers {
		s.CutPeers(node, false)
		s.Process(node).Resume()
		s.startIfDown(node)
	}
	s.Clock.Do(func() {
		clear(s.Store.RefusedCallers)
		s.Store.LoseResponse, s.Store.DelayCommit, s.Store.DelayResponse = nil, nil, nil
		for _, worker := range s.Fleet.Workers {
			worker.Deaf, worker.Mute, worker.Partitioned = false, false, false
		}
	})
}
