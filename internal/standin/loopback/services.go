package loopback

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/config"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
	"pipitgap/internal/standin"
)

// TeamServices is the services of a team: so many, with so many replicas of two CPUs each.
type TeamServices struct {
	Team               string
	Services, Replicas int
	Floor              int // that its budget asks for; 0: it has none
}

// Services is a deployment whose teams' running counts are taken every second from what the
// workers run.
type Services struct {
	*Deployment
	Teams  []TeamServices
	t      testing.TB
	size   map[string]int // replicas by job
	mu     sync.Mutex
	counts map[string][]int // by team, a sample a second
	ended  chan struct{}
	taker  sync.WaitGroup
}

// Bounds of a start.
const (
	zoneCapacity  = 500 // machines of each type
	startWithin   = 60 * time.Second
	mostSubmits   = 300
	sampleSpacing = time.Second
)

// NewServices starts a deployment with services and waits until all replicas run.
func NewServices(t testing.TB, seed uint64, options Options, teams []TeamServices) *Services {
	t.Helper()
	for _, team := range teams {
		options.Teams = append(options.Teams, config.Team{Name: team.Team})
	}
	d := &Services{Deployment: New(t, seed, options), Teams: teams, t: t, size: map[string]int{}, counts: map[string][]int{}, ended: make(chan struct{})}
	d.Clock.Do(func() {
		for _, machineType := range options.Types {
			for _, zone := range options.Zones {
				d.Cloud.Capacity[standin.Offer(machineType.Name, zone, false)] = zoneCapacity
			}
		}
	})
	d.submitAll()
	if !d.Eventually(startWithin, d.AllRun) {
		d.Clock.Do(func() { t.Logf("running %v, machines %d", d.Running(), d.Cloud.Count()) })
		t.Fatalf("not all services run: %s", d.Log(d.Nodes[0]))
	}
	d.taker.Add(1)
	go d.take()
	t.Cleanup(func() { close(d.ended); d.taker.Wait() })
	return d
}

// Samples gives the counts of a team so far.
func (d *Services) Samples(team string) []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.counts[team])
}

// submitAll has all services accepted.
func (d *Services) submitAll() {
	next := 0
	for _, team := range d.Teams {
		for range team.Services {
			next++
			id := fmt.Sprintf("j-%06d", next)
			d.size[id] = team.Replicas
			d.Clock.Do(func() {
				d.Fleet.Jobs[id] = standin.JobInfo{Team: team.Team, CPUs: 2, Service: true, Fetch: micros.Second, Save: micros.Second / 2}
			})
			body := protocol.MustMarshal(&protocol.Submission{
				ID: id, Class: "web", Team: team.Team, Service: true, Priority: protocol.Prod, Tasks: team.Replicas,
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
	for try := 0; try < mostSubmits && !accepted; try++ {
		status, _ := d.Request(d.Nodes[try%len(d.Nodes)], "POST", protocol.JobsPath, body)
		accepted = status == http.StatusCreated || status == http.StatusOK
		if !accepted {
			time.Sleep(lookEvery)
		}
	}
	if !accepted {
		d.t.Fatalf("%s isn't accepted: %s", id, d.Log("n-0"))
	}
}

// AllRun tells whether all replicas run, by the workers and by the checker. It is looked at on the clock.
func (d *Services) AllRun() bool {
	for id, n := range d.size {
		if d.Fleet.Running(id) != n {
			return false
		}
	}
	for _, team := range d.Teams {
		if d.Fleet.RunningOf(team.Team) != team.Services*team.Replicas {
			return false
		}
	}
	return true
}

// Running is each team's running count now; it is looked at on the clock.
func (d *Services) Running() map[string]int {
	out := map[string]int{}
	for _, team := range d.Teams {
		out[team.Team] = d.Fleet.RunningOf(team.Team)
	}
	return out
}

// take takes a sample every second, from what the workers run.
func (d *Services) take() {
	defer d.taker.Done()
	ticker := time.NewTicker(sampleSpacing)
	defer ticker.Stop()
	for {
		select {
		case <-d.ended:
			return
		case <-ticker.C:
			d.Clock.Do(func() {
				d.mu.Lock()
				defer d.mu.Unlock()
				for team, n := range d.Running() {
					d.counts[team] = append(d.counts[team], n)
				}
			})
		}
	}
}

// InZone lists the machines of a zone that are there.
func (d *Services) InZone(zone string) []string {
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
	var lead bookkeeping.Lead
	d.Clock.Do(func() { d.Store.Read(bookkeeping.LeadKey, &lead) })
	return lead.Node
}

// Restarts counts starts of replicas beyond each one's first.
func (d *Services) Restarts() (all, most int) {
	d.Clock.Do(func() {
		for id, n := range d.size {
			for i := range n {
				again := d.Fleet.Starts[fmt.Sprintf("%s/%d", id, i)] - 1
				all += again
				most = max(most, again)
			}
		}
	})
	return all, most
}

// Changes counts the changes of the state service so far.
func (d *Services) Changes() int {
	n := 0
	d.Clock.Do(func() { n = d.Store.Changes })
	return n
}

// GoneInZone counts machines of a zone that have gone; it is looked at on the clock.
func (d *Services) GoneInZone(zone string) int {
	n := 0
	for _, m := range d.Cloud.Machines {
		if m.Gone && m.Zone == zone {
			n++
		}
	}
	return n
}

// Holding lists machines of a zone that run replicas of a team.
func (d *Services) Holding(team, zone string, most int) []string {
	var out []string
	d.Clock.Do(func() {
		for id, w := range d.Fleet.Workers {
			if w.Machine.Gone || w.Machine.Zone != zone {
				continue
			}
			for task, held := range w.Tasks {
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
