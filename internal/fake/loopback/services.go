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
	"pipitgap/internal/storage"
)

// TeamServices is the services of a team: so many, with so many replicas of two CPUs each.
type TeamServices struct {
	Team               string
	Services, Replicas int
	MinAvailable       int // that its budget asks for; 0: it has none
}

// Services is a deployment whose teams' running counts are taken every second from what the
// workers run.
type Services struct {
	*Deployment
	Teams    []TeamServices
	t        testing.TB
	replicas map[string]int // replicas by job
	mu       sync.Mutex
	samples  map[string][]int // by team, a sample a second
	stop     chan struct{}
	sampler  sync.WaitGroup
}

// Bounds of a start.
const (
	zoneCapacity      = 500 // machines of each type
	startTimeout      = 60 * time.Second
	maxSubmitAttempts = 300
	sampleInterval    = time.Second
)

// NewServices starts a deployment with services and waits until all replicas run.
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
		s.Clock.Do(func() { t.Logf("running %v, machines %d", s.Running(), s.Cloud.MachineCount()) })
		t.Fatalf("not all services run: %s", s.ControllerLog(s.Controllers[0]))
	}
	s.sampler.Add(1)
	go s.sampleAvailability()
	t.Cleanup(func() { close(s.stop); s.sampler.Wait() })
	return s
}

// Samples gives the counts of a team so far.
func (d *Services) Samples(team string) []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.samples[team])
}

// submitAll has all services accepted.
func (d *Services) submitAll() {
	next := 0
	for _, team := range d.Teams {
		for range team.Services {
			next++
			id := fmt.Sprintf("j-%06d", next)
			d.replicas[id] = team.Replicas
			d.Clock.Do(func() {
				d.Fleet.Jobs[id] = fake.JobBehavior{
					Team:           team.Team,
					CPUs:           2,
					Service:        true,
					PullTime:       monotime.Second,
					CheckpointTime: monotime.Second / 2,
				}
			})
			body := protocol.MustMarshal(&protocol.Submission{
				ID: id, Class: "web", Team: team.Team, Service: true, Priority: protocol.Production, Tasks: team.Replicas,
				CPUs: 2, MemoryGB: 4, Image: "img", ImageGB: 0.5, SaveS: 0.5,
			})
			d.submit(id, body)
		}
	}
}

// submit repeats a submission until it is accepted, as users do.
func (d *Services) submit(id string, body []byte) {
	d.t.Helper()
	accepted := false
	for try := 0; try < maxSubmitAttempts && !accepted; try++ {
		status, _ := d.UserRequest(d.Controllers[try%len(d.Controllers)], "POST", protocol.JobsPath, body)
		accepted = status == http.StatusCreated || status == http.StatusOK
		if !accepted {
			time.Sleep(pollInterval)
		}
	}
	if !accepted {
		d.t.Fatalf("%s isn't accepted: %s", id, d.ControllerLog("n-0"))
	}
}

// AllRunning tells whether all replicas run, by the workers and by the checker. It is looked at on the clock.
func (d *Services) AllRunning() bool {
	for id, n := range d.replicas {
		if d.Fleet.Running(id) != n {
			return false
		}
	}
	for _, team := range d.Teams {
		if d.Fleet.RunningReplicas(team.Team) != team.Services*team.Replicas {
			return false
		}
	}
	return true
}

// Running is each team's running count now; it is looked at on the clock.
func (d *Services) Running() map[string]int {
	out := map[string]int{}
	for _, team := range d.Teams {
		out[team.Team] = d.Fleet.RunningReplicas(team.Team)
	}
	return out
}

// sampleAvailability takes a sample every second, from what the workers run.
func (d *Services) sampleAvailability() {
	defer d.sampler.Done()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
			d.Clock.Do(func() {
				d.mu.Lock()
				defer d.mu.Unlock()
				for team, n := range d.Running() {
					d.samples[team] = append(d.samples[team], n)
				}
			})
		}
	}
}

// MachinesInZone lists the machines of a zone that are there.
func (d *Services) MachinesInZone(zone string) []string {
	var out []string
	d.Clock.Do(func() {
		for id, m := range d.Cloud.Machines {
			if !m.Gone && m.Zone == zone {
				out = append(out, id)
			}
		}
	})
	slices.Sort(out)
	return out
}

// Leader reads from the state service who leads.
func (d *Services) Leader() string {
	var lead storage.Leader
	d.Clock.Do(func() { d.Store.Read(storage.LeaderKey, &lead) })
	return lead.Node
}

// Restarts counts starts of replicas beyond each one's first.
func (d *Services) Restarts() (all, most int) {
	d.Clock.Do(func() {
		for id, n := range d.replicas {
			for i := range n {
				again := d.Fleet.Starts[fmt.Sprintf("%s/%d", id, i)] - 1
				all += again
				most = max(most, again)
			}
		}
	})
	return all, most
}

// StoreChanges counts the changes of the state service so far.
func (d *Services) StoreChanges() int {
	n := 0
	d.Clock.Do(func() { n = d.Store.Changes })
	return n
}

// MachinesGoneInZone counts machines of a zone that have gone; it is looked at on the clock.
func (d *Services) MachinesGoneInZone(zone string) int {
	n := 0
	for _, m := range d.Cloud.Machines {
		if m.Gone && m.Zone == zone {
			n++
		}
	}
	return n
}

// MachinesRunning lists machines of a zone that run replicas of a team.
func (d *Services) MachinesRunning(team, zone string, most int) []string {
	var out []string
	d.Clock.Do(func() {
		for id, w := range d.Fleet.Workers {
			if w.Machine.Gone || w.Machine.Zone != zone {
				continue
			}
			for task, held := range w.Attempts {
				if d.Fleet.Jobs[task[:len("j-000000")]].Team == team && held.State == protocol.StateRunning {
					out = append(out, id)
					break
				}
			}
		}
	})
	slices.Sort(out)
	return out[:min(most, len(out))]
}
