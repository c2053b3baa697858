package loopback

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// TeamServices describes the services of a team. Each service has Replicas replicas of two CPUs each.
type TeamServices struct {
	Team               string
	Services, Replicas int
	MinAvailable       int // running replicas that the team's disruption budget requires; 0: no budget
}

// Services is a deployment that runs services. Every second it samples the number of running replicas of each
// team from the workers.
type Services struct {
	*Deployment
	Teams    []TeamServices
	t        testing.TB
	replicas map[string]int // by job
	mu       sync.Mutex
	samples  map[string][]int // by team: running replicas, one sample per second
	stop     chan struct{}
	sampler  sync.WaitGroup
}

// Limits and intervals of a deployment with services.
const (
	zoneCapacity      = 500 // machines of each type in a zone
	startTimeout      = 60 * time.Second
	maxSubmitAttempts = 300
	sampleInterval    = time.Second
)

// NewServices starts a deployment with services and waits until all replicas run. It fails the test if they
// do not run within startTimeout.
func NewServices(t testing.TB, seed uint64, options Options, teams []TeamServices) *Services {
	t.Helper()
	for _, team := range teams {
		options.Teams = append(options.Teams, config.Team{Name: team.Team})
	}
	s := &Services{
		Deployment: NewDeployment(t, seed, options),
		Teams:      teams,
		t:          t,
		replicas:   map[string]int{},
		samples:    map[string][]int{},
		stop:       make(chan struct{}),
	}
	s.Clock.Do(func() {
		for _, machineType := range options.Types {
			for _, zone := range options.Zones {
				s.Cloud.Capacity[fake.OfferKey(machineType.Name, zone, false)] = zoneCapacity
			}
		}
	})
	s.submitAll()
	if !s.Eventually(startTimeout, s.AllRunning) {
		s.Clock.Do(func() { t.Logf("running replicas by team: %v, machines: %d", s.Running(), s.Cloud.MachineCount()) })
		t.Fatalf("not all replicas run after the start timeout; controller log: %s", s.ControllerLog(s.Controllers[0]))
	}
	s.sampler.Add(1)
	go s.sampleAvailability()
	t.Cleanup(func() { close(s.stop); s.sampler.Wait() })
	return s
}

// submitAll submits all services, each after the previous one has been accepted.
func (s *Services) submitAll() {
	next := 0
	for _, team := range s.Teams {
		for range team.Services {
			next++
			id := fmt.Sprintf("j-%06d", next)
			s.replicas[id] = team.Replicas
			s.Clock.Do(func() {
				s.Fleet.Jobs[id] = fake.JobBehavior{
					Team:           team.Team,
					CPUs:           2,
					Service:        true,
					PullTime:       monotime.Second,
					CheckpointTime: monotime.Second / 2,
				}
			})
			body := protocol.MustMarshal(&protocol.Submission{
				ID:       id,
				Class:    "web",
				Team:     team.Team,
				Service:  true,
				Priority: protocol.Production,
				Tasks:    team.Replicas,
				CPUs:     2,
				MemoryGB: 4,
				Image:    "img",
				ImageGB:  0.5,
				SaveS:    0.5,
			})
			s.submit(id, body)
		}
	}
}

// submit retries a submission on alternating controllers until one accepts it, as users do.
func (s *Services) submit(id string, body []byte) {
	s.t.Helper()
	accepted := false
	for try := 0; try < maxSubmitAttempts && !accepted; try++ {
		status, _ := s.UserRequest(s.Controllers[try%len(s.Controllers)], "POST", protocol.JobsPath, body)
		accepted = status == http.StatusCreated || status == http.StatusOK
		if !accepted {
			time.Sleep(pollInterval)
		}
	}
	if !accepted {
		s.t.Fatalf("submission of %s was not accepted; controller log: %s", id, s.ControllerLog("n-0"))
	}
}

// sampleAvailability samples the running replicas of every team once per second until the test ends.
func (s *Services) sampleAvailability() {
	defer s.sampler.Done()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.Clock.Do(func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				for team, n := range s.Running() {
					s.samples[team] = append(s.samples[team], n)
				}
			})
		}
	}
}

// Samples returns the numbers of running replicas of a team that have been sampled so far, one per second.
func (s *Services) Samples(team string) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.samples[team])
}
