package loopback

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pipitgap/internal/config"
	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

var (
	soakRuns   = flag.Int("soak-runs", 4, "number of soak runs")
	soakSeed   = flag.Uint64("soak-seed", 1, "seed of the first soak run")
	soakBinary = flag.String("soak-binary", "", "controller program of the soak; default: built from these sources")
	soakLogs   = flag.String("soak-logs", "", "directory for the controllers' logs; default: a temporary one, "+
		"removed when the run passes")
	soakWithoutFaults = flag.Bool("soak-without-faults", false, "soak without injected faults")
)

// soakTiming holds the worker durations of a deployment. They are shorter than those of real deployments, so
// that the cancellation deadline passes several times in a run.
type soakTiming struct{ heartbeat, lease, cancel monotime.Micros }

var soakTimings = []soakTiming{
	{600 * monotime.Millisecond, 6 * monotime.Second, 11 * monotime.Second},
	{600 * monotime.Millisecond, 6 * monotime.Second, 16 * monotime.Second},
	{800 * monotime.Millisecond, 8 * monotime.Second, 13 * monotime.Second},
	{800 * monotime.Millisecond, 8 * monotime.Second, 20 * monotime.Second},
	{300 * monotime.Millisecond, 5 * monotime.Second, 15 * monotime.Second},
}

const (
	soakSmallCapacity = 10  // machines in a zone
	soakLargeCapacity = 120 // machines in a zone in one of soakLargeEvery runs
	soakLargeEvery    = 6
	soakMachineCPUs   = 8
	soakWarmUp        = 12 * time.Second
	soakRecovery      = 75 * time.Second // within which all jobs must end after the last fault
	soakMinCancelled  = 10               // fewer confirmed cancellations test nothing
)

// soakRun is a deployment under faults, with users who submit, cancel and ask without pause.
type soakRun struct {
	*Deployment
	t      *testing.T
	seed   uint64
	timing soakTiming
	large  bool
	faults []soakFault
	users  *soakUsers
	random *lockedRandom // of faults that decide message by message
}

// newSoakRun starts the deployment of a seed.
func newSoakRun(t *testing.T, seed uint64, program, directory string) *soakRun {
	rnd := rand.New(rand.NewPCG(seed, 17))
	s := &soakRun{t: t, seed: seed, large: seed%soakLargeEvery == 0, random: newLockedRandom(seed)}
	s.timing = soakTimings[rnd.IntN(len(soakTimings))]
	capacity := soakSmallCapacity
	if s.large {
		capacity = soakLargeCapacity
	}
	zones := []string{"a", "b"}
	s.Deployment = NewDeployment(t, seed, Options{
		Binary:      program,
		Controllers: 3 + rnd.IntN(3),
		Zones:       zones,
		Types: []protocol.MachineType{{
			Name: "m8", CPUs: soakMachineCPUs, MemoryGB: 64, OnDemandPrice: 1, SpotPrice: 0.4, Zones: zones, BootS: 2,
		}},
		Teams:             []config.Team{{Name: "free"}, {Name: "tight", CPUs: 8, CPUsMax: 16}},
		BootTime:          2 * monotime.Second,
		HeartbeatInterval: s.timing.heartbeat,
		LeaseTime:         s.timing.lease,
		CancelWithin:      s.timing.cancel,
		StateRPS:          400,
		StateWriteRPS:     100,
		Directory:         directory,
		LogLevel:          "debug",
	})
	s.Clock.Do(func() {
		s.Checker.Limits["tight"] = 16
		for _, zone := range zones {
			for _, spot := range []bool{false, true} {
				s.Cloud.Capacity[fake.OfferKey("m8", zone, spot)] = capacity
			}
		}
	})
	if !*soakWithoutFaults {
		s.faults = planSoakFaults(rnd, s)
	}
	s.users = newSoakUsers(s)
	return s
}

// soakProgram returns the path of the controller program, and fails the test if there is none.
func soakProgram(t *testing.T) string {
	t.Helper()
	if *soakBinary == "" {
		return binary
	}
	path, err := filepath.Abs(*soakBinary)
	if info, statErr := os.Stat(path); err != nil || statErr != nil || info.IsDir() {
		t.Fatalf("-soak-binary %s: no such program", *soakBinary)
	}
	return path
}

// leader returns the leader according to the state service, or the first controller if there is none.
func (s *soakRun) leader() string {
	var leader storage.Leader
	s.Clock.Do(func() { s.Store.Read(storage.LeaderKey, &leader) })
	if leader.Node == "" {
		return s.Controllers[0]
	}
	return leader.Node
}

// play runs the users and the faults, ends all faults, and waits until every job has ended.
func (s *soakRun) play() {
	s.users.start()
	time.Sleep(soakWarmUp)
	s.playFaults()
	s.endFaults()
	s.users.finish(soakRecovery)
	// A cancellation that was confirmed last is checked at its deadline.
	time.Sleep((s.timing.cancel + monotime.Second).Duration())
}

// check reports violations and what shows that the run tested nothing.
func (s *soakRun) check() {
	s.Clock.Do(func() {
		for _, violation := range s.Checker.Violations {
			s.t.Error(violation)
		}
	})
	for _, node := range s.Controllers {
		for _, line := range strings.Split(s.ControllerLog(node), "\n") {
			if strings.Contains(line, `msg="invariant violated"`) || strings.HasPrefix(line, "panic:") {
				s.t.Errorf("%s: %s", node, line)
			}
		}
	}
	confirmed := s.users.confirmedCancellations()
	if confirmed < soakMinCancelled {
		s.t.Errorf("got %d confirmed cancellations, want at least %d", confirmed, soakMinCancelled)
	}
	s.Clock.Do(func() {
		s.t.Logf("seed %d: %d controllers, %d machines, lease %g s, cancellation %g s: %d jobs, %d cancelled, "+
			"%d starts after a confirmed cancellation, %d tasks started",
			s.seed, len(s.Controllers), s.Cloud.MachineCount(), s.timing.lease.Seconds(), s.timing.cancel.Seconds(),
			s.users.jobCount(), confirmed, s.Checker.LateStarts, len(s.Fleet.Starts))
	})
}

// describe prints what repeats and explains a failing run.
func (s *soakRun) describe() {
	s.t.Logf("to repeat: go test ./internal/fake/loopback -run TestSoakKeepsRules -soak-runs 1 -soak-seed %d", s.seed)
	for _, fault := range s.faults {
		s.t.Logf("%6.1f s, for %.1f s: %s", fault.at.Seconds(), fault.duration.Seconds(), fault.name)
	}
	for _, node := range s.Controllers {
		s.t.Logf("log of %s: %s", node, s.logPath(node))
	}
}

// soakDirectory returns the directory for the logs of a run, which is removed if the run passes and no
// directory is set.
func soakDirectory(t *testing.T, seed uint64) string {
	t.Helper()
	if *soakLogs != "" {
		directory := filepath.Join(*soakLogs, fmt.Sprint(seed))
		if err := os.MkdirAll(directory, 0o755); err != nil {
			t.Fatal(err)
		}
		return directory
	}
	directory, err := os.MkdirTemp("", "pipitgap-soak")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if !t.Failed() {
			_ = os.RemoveAll(directory)
		}
	})
	return directory
}

// TestSoakKeepsRules runs controllers as processes under random, overlapping faults and checks all rules from
// outside.
func TestSoakKeepsRules(t *testing.T) {
	program := soakProgram(t)
	if *soakRuns < 1 {
		t.Fatalf("-soak-runs %d: want at least 1", *soakRuns)
	}
	for i := range uint64(*soakRuns) {
		seed := *soakSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSoakRun(t, seed, program, soakDirectory(t, seed))
			s.play()
			s.check()
			if t.Failed() {
				s.describe()
			}
		})
	}
}
