package loopback

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"pipitgap/internal/drain"
	"pipitgap/internal/monotime"
	"pipitgap/internal/operator"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

var (
	longTest = flag.Bool(
		"long",
		false,
		"run the long test: more workers, several drains, random faults",
	)
	longRounds     = flag.Int("rounds", 4, "number of drains in the long test")
	withoutBudgets = flag.Bool(
		"at-once",
		false,
		"run the long test without budgets and without faults: all replicas may move at once",
	)
)

// binary is the path of the program under test. TestMain builds it once.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv(killedChildEnv) != "" {
		os.Exit(m.Run())
	}
	folder, err := os.MkdirTemp("", "pipitgap")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(folder, "pipitgap")
	build := exec.Command("go", "build", "-o", binary, "pipitgap/cmd/pipitgap")
	build.Stderr = os.Stderr
	status := 1
	if err := build.Run(); err == nil {
		status = m.Run()
	}
	_ = os.RemoveAll(folder)
	os.Exit(status)
}

const (
	budgets = `
scale_down_delay: 4s
drains:
  max_parallel: 6
  min_ready: 2s
  array_wait: 5s
  default_max_unavailable: 6
  budgets:
    - {team: intake, min_available: 80%}
    - {team: payout, max_unavailable: 12}
`
	looseBudgets = `
scale_down_delay: 4s
drains:
  max_parallel: 6
  min_ready: 2s
  budgets:
    - {team: intake, min_available: 50%}
    - {team: payout, max_unavailable: 12}
`
	unlimitedBudgets = `
scale_down_delay: 4s
drains:
  max_parallel: 1000
  min_ready: 2s
  array_wait: 5s
  default_max_unavailable: 100000
`
)

// shortTeams are the teams of TestDrainKeepsBudgetsThroughFailures.
var shortTeams = []TeamServices{{"intake", 3, 20, 48}, {"payout", 3, 20, 48}, {"tally", 2, 24, 0}}

// drainScenario is a deployment with services whose machines the test drains.
type drainScenario struct {
	*Services
	t *testing.T
}

func settingsFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// newDrainScenario starts a deployment with services and waits until all replicas run.
func newDrainScenario(t *testing.T, settings string, teams []TeamServices) *drainScenario {
	options := Options{
		Binary:      binary,
		Controllers: 3,
		Settings:    []string{settingsFile(t, settings)},
		Zones:       []string{"a", "b"},
		Types: []protocol.MachineType{
			{
				Name:          "m8",
				CPUs:          8,
				MemoryGB:      64,
				OnDemandPrice: 1,
				SpotPrice:     0.4,
				Zones:         []string{"a", "b"},
				BootS:         2,
			},
		},
		BootTime:          2 * monotime.Second,
		HeartbeatInterval: monotime.Second,
		LeaseTime:         10 * monotime.Second,
		CancelWithin:      30 * monotime.Second,
		StateRPS:          400,
		StateWriteRPS:     100,
	}
	return &drainScenario{Services: NewServices(t, 1, options, teams), t: t}
}

// checkMinAvailable checks that no sample of running replicas is below the team's MinAvailable, and that the
// checker has seen no violation.
func (d *drainScenario) checkMinAvailable() {
	d.t.Helper()
	for _, team := range d.Teams {
		samples := d.Samples(team.Team)
		if len(samples) < 5 {
			d.t.Errorf("%s: got %d samples, want at least 5", team.Team, len(samples))
			continue
		}
		lowest := slices.Min(samples)
		d.t.Logf(
			"%s: %d samples, at least %d of %d replicas running, want at least %d",
			team.Team,
			len(samples),
			lowest,
			team.Services*team.Replicas,
			team.MinAvailable,
		)
		if lowest < team.MinAvailable {
			d.t.Errorf("%s: got a minimum of %d running replicas, want at least %d; samples: %v",
				team.Team, lowest, team.MinAvailable, samples)
		}
	}
	d.Clock.Do(func() {
		for _, violation := range d.Checker.Violations {
			d.t.Error(violation)
		}
	})
}

// mustRun runs a drain command, checks its exit status and returns its output.
func (d *drainScenario) mustRun(status int, args ...string) string {
	d.t.Helper()
	out, got := d.RunCommand(append([]string{"drain"}, args...)...)
	if got != status {
		d.t.Errorf("drain %v: got exit status %d, want %d; output: %s", args, got, status, out)
	}
	return out
}

// progress returns the progress of a drain as the status command reports it.
func (d *drainScenario) progress(name string) *drain.Progress {
	d.t.Helper()
	var answer struct {
		Drain *drain.Progress `json:"drain"`
	}
	out, status := d.RunCommand("drain", "status", name, "--json")
	if status != 0 || json.Unmarshal([]byte(out), &answer) != nil {
		d.t.Fatalf("drain status %s: got exit status %d, want 0 with JSON output; output: %s", name, status, out)
	}
	return answer.Drain
}

// waitFor waits until a drain is no longer active. It fails the test if that takes too long.
func (d *drainScenario) waitFor(name string, within time.Duration) {
	d.t.Helper()
	var p *drain.Progress
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(time.Second) {
		if p = d.progress(name); p.State != storage.DrainActive {
			return
		}
	}
	d.t.Errorf("drain %s: got state %s with %d machines left after %s, want it finished; blocked by: %+v",
		name, p.State, len(p.Machines), within, p.Blocked)
}

// TestDrainKeepsBudgetsThroughFailures guards against drains that violate disruption budgets when failures
// coincide. It drains a zone; after a third of the zone's machines, a second drain of machines of another
// team starts, a machine dies and the leader is killed. No sample of any team may be below its budget.
func TestDrainKeepsBudgetsThroughFailures(t *testing.T) {
	s := newDrainScenario(t, budgets, shortTeams)
	machines := len(s.MachinesInZone("a"))
	if all := machines + len(s.MachinesInZone("b")); all < 40 {
		t.Errorf("got %d workers, want at least 40", all)
	}
	s.mustRun(0, "start", "rack", "--zone", "a", "--replace")
	s.Eventually(
		60*time.Second,
		func() bool { return s.Cloud.MachineCount() > 0 && s.DeletedMachinesInZone("a") >= machines/3 },
	)
	payoutMachines := s.MachinesRunningTeam("payout", "b", 4)
	s.mustRun(0, append([]string{"start", "payout-machines", "--replace", "--at-once"}, machineFlags(payoutMachines)...)...)
	if dying := s.MachinesRunningTeam("intake", "b", 1); len(dying) == 1 {
		s.Clock.Do(func() { s.Cloud.RemoveMachine(dying[0]) })
	}
	leader := s.Leader()
	s.Process(leader).Kill()
	s.waitFor("rack", 150*time.Second)
	s.waitFor("payout-machines", 60*time.Second)
	if !s.Eventually(30*time.Second, s.AllRunning) {
		t.Errorf("got running replicas by team %v, want all replicas running", s.Running())
	}
	if left := s.MachinesInZone("a"); len(left) > 0 {
		t.Errorf("zone a: got machines %v, want none", left)
	}
	if got := s.progress("rack").State; got != storage.DrainDrained {
		t.Errorf("drain rack: got state %s, want %s", got, storage.DrainDrained)
	}
	restarts, maxPerReplica := s.Restarts()
	t.Logf("%d machines in the zone; %d restarts, at most %d of a single replica", machines, restarts, maxPerReplica)
	s.checkMinAvailable()
}

func machineFlags(machines []string) []string {
	var args []string
	for _, id := range machines {
		args = append(args, "--machine", id)
	}
	return args
}

// TestDrainCommandsReportStatesAndErrors checks the exit statuses and outputs of the drain commands for
// operators, including invalid and repeated commands. cmd/pipitgap defines the exit statuses.
func TestDrainCommandsReportStatesAndErrors(t *testing.T) {
	s := newDrainScenario(t, looseBudgets, []TeamServices{{"intake", 2, 8, 8}, {"payout", 2, 8, 4}})
	machines := len(s.MachinesInZone("a"))

	// The records in the state service show the running replicas with a delay of a few seconds.
	ready := func() bool { return s.availability("intake") == 16 && s.availability("payout") == 16 }
	deadline := time.Now().Add(30 * time.Second)
	for ; !ready() && time.Now().Before(deadline); time.Sleep(time.Second) {
	}
	var started operator.StartResult
	out := s.mustRun(0, "start", "rack", "--zone", "a", "--replace", "--dry-run", "--json")
	err := json.Unmarshal([]byte(out), &started)
	if err != nil || started.Plan == nil || len(started.Plan.Machines) != machines ||
		len(started.Plan.Steps) == 0 ||
		len(started.Plan.Blocked) > 0 {
		t.Errorf("dry run: got error %v, output %s, want a plan for %d machines with steps and no blockages",
			err, out, machines)
	}
	s.mustRun(3, "status", "rack")
	s.mustRun(3, "start", "rack", "--zone", "c")
	s.mustRun(3, "start", "rack", "--type", "m9")
	s.mustRun(3, "start", "rack", "--machine", "i-999999")
	s.mustRun(3, "start", "rack", "--zone", "a", "--kind", "spot")
	s.mustRun(2, "start", "rack")
	s.mustRun(2, "start", "a/b", "--zone", "a")
	s.mustRun(2, "start", "rack", "--zone", "a", "--deadline=-5s")
	s.mustRun(3, "abort", "rack")
	s.mustRun(0, "list")

	s.mustRun(0, "start", "rack", "--zone", "a", "--replace", "--max-parallel", "1")
	s.mustRun(0, "start", "rack", "--zone", "a", "--replace", "--max-parallel", "1")
	s.mustRun(4, "start", "rack", "--zone", "b")
	s.mustRun(4, "start", "other", "--type", "m8")
	s.mustRun(0, "pause", "rack")
	s.mustRun(0, "pause", "rack")
	if p := s.progress("rack"); p.State != storage.DrainPaused || len(p.Machines) != machines {
		t.Errorf("after pause: got %+v, want state %s and %d machines", p, storage.DrainPaused, machines)
	}
	s.mustRun(0, "resume", "rack")
	s.mustRun(0, "abort", "rack")
	s.mustRun(0, "abort", "rack")
	s.mustRun(4, "resume", "rack")
	if p := s.progress("rack"); p.State != storage.DrainAborted {
		t.Errorf("after abort: got %+v, want state %s", p, storage.DrainAborted)
	}
	var list []operator.DrainSummary
	if err := json.Unmarshal([]byte(s.mustRun(0, "list", "--json")), &list); err != nil || len(list) != 1 ||
		list[0].State != storage.DrainAborted {
		t.Errorf("list: got error %v, drains %+v, want one drain in state %s", err, list, storage.DrainAborted)
	}
	s.mustRun(0, "start", "rack", "--zone", "a", "--replace", "--at-once")
	s.waitFor("rack", 90*time.Second)
	if p := s.progress("rack"); p.State != storage.DrainDrained || len(s.MachinesInZone("a")) > 0 {
		t.Errorf("after the drain: got %+v, want state %s and no machine in zone a", p, storage.DrainDrained)
	}
	s.mustRun(0, "abort", "rack") // allows the zone to be used again
	s.mustRun(4, "abort", "rack")
	s.Clock.Do(func() { s.Store.Down = true })
	s.mustRun(5, "list")
	s.Clock.Do(func() { s.Store.Down = false })
	s.checkMinAvailable()
}

// availability returns the number of available replicas of a team as the budgets command reports it.
func (d *drainScenario) availability(team string) int {
	d.t.Helper()
	var teams []drain.ScopeStatus
	if err := json.Unmarshal([]byte(d.mustRun(0, "budgets", "--json")), &teams); err != nil {
		d.t.Fatal(err)
	}
	for _, t := range teams {
		if t.Team == team {
			return t.Available
		}
	}
	return 0
}

// longTeams are the teams of the long test.
var longTeams = []TeamServices{{"intake", 6, 30, 144}, {"payout", 6, 30, 168}, {"tally", 4, 24, 0}}

// TestRepeatedDrainsKeepBudgets is the long test. It guards against drains that violate disruption budgets
// under random faults: it runs several drains in a row, each with one fault. With -at-once it measures drains
// without budgets and without faults.
func TestRepeatedDrainsKeepBudgets(t *testing.T) {
	if !*longTest {
		t.Skip("runs only with -long")
	}
	settings := budgets
	if *withoutBudgets {
		settings = unlimitedBudgets
	}
	s := newDrainScenario(t, settings, longTeams)
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	for round := range *longRounds {
		zone := []string{"a", "b"}[round%2]
		name := fmt.Sprintf("round-%d", round)
		machines, changes, startedAt := len(s.MachinesInZone(zone)), s.StoreChanges(), time.Now()
		restartsBefore, _ := s.Restarts()
		s.mustRun(0, "start", name, "--zone", zone, "--replace")
		if !*withoutBudgets {
			s.randomFault(rng)
		}
		s.waitFor(name, 400*time.Second)
		s.mustRun(0, "abort", name)
		if !s.Eventually(60*time.Second, s.AllRunning) {
			t.Errorf("%s: got running replicas by team %v, want all replicas running", name, s.Running())
		}
		restarts, _ := s.Restarts()
		t.Logf(
			"%s: %d machines, %d restarts, %.0f s, %d writes to the state service",
			name,
			machines,
			restarts-restartsBefore,
			time.Since(startedAt).Seconds(),
			s.StoreChanges()-changes,
		)
		time.Sleep(5 * time.Second)
	}
	if *withoutBudgets {
		for i := range s.Teams {
			s.Teams[i].MinAvailable = 0
		}
	}
	s.checkMinAvailable()
}

// randomFault injects a random fault after a random delay of up to 10 s.
func (d *drainScenario) randomFault(rng *rand.Rand) {
	time.Sleep(time.Duration(rng.Int64N(int64(10 * time.Second))))
	node := d.Controllers[rng.IntN(len(d.Controllers))]
	switch rng.IntN(5) {
	case 0:
		d.t.Logf("fault: %s is killed and restarted after 3 s", node)
		d.Process(node).Kill()
		time.Sleep(3 * time.Second)
		d.StartController(node)
	case 1:
		d.t.Logf("fault: %s is suspended for 6 s", node)
		d.Process(node).Suspend()
		time.Sleep(6 * time.Second)
		d.Process(node).Resume()
	case 2:
		d.t.Log("fault: a machine dies")
		if dying := d.MachinesRunningTeam("intake", "b", 1); len(dying) == 1 {
			d.Clock.Do(func() { d.Cloud.RemoveMachine(dying[0]) })
		}
	case 3:
		d.t.Logf("fault: calls from %s are reset for 5 s", node)
		d.SetFaults(func(caller string, _ *http.Request) Fault { return Fault{Reset: caller == node} })
		time.Sleep(5 * time.Second)
		d.SetFaults(nil)
	case 4:
		d.t.Log("fault: commits are delayed by 1 s for 8 s")
		d.SetFaults(func(_ string, r *http.Request) Fault {
			if r.URL.Path == protocol.CommitPath {
				return Fault{Delay: time.Second}
			}
			return Fault{}
		})
		time.Sleep(8 * time.Second)
		d.SetFaults(nil)
	}
}
