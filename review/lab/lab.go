//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"pipitgap/internal/fake"
	"pipitgap/internal/fake/loopback"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// lab is one run of a case.
type lab struct {
	*loopback.Deployment
	trouble bool // false with TROUBLE=0: the same run without the disruption

	t         *shim
	mu        sync.Mutex
	record    *os.File
	startedAt time.Time
	stop      chan struct{}
	sampler   sync.WaitGroup
	seen      map[string]string // by machine and task: the state last recorded
}

// notRun ends a case that could not run.
type notRun struct{ reason string }

// shim lets the stand-ins of the tests run outside of a test.
type shim struct {
	testing.TB
	cleanups []func()
}

func (s *shim) Helper()                    {}
func (s *shim) Cleanup(f func())           { s.cleanups = append(s.cleanups, f) }
func (s *shim) Logf(f string, args ...any) { fmt.Fprintf(os.Stderr, f+"\n", args...) }
func (s *shim) Fatal(args ...any)          { panic(notRun{fmt.Sprint(args...)}) }
func (s *shim) Fatalf(f string, args ...any) {
	panic(notRun{fmt.Sprintf(f, args...)})
}

func (s *shim) cleanUp() {
	for _, f := range slices.Backward(s.cleanups) {
		f()
	}
	s.cleanups = nil
}

// runCase runs a case and returns its exit status.
func runCase(play func(*lab), folder string) (status int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer record.Close()
	l := &lab{
		trouble:   os.Getenv("TROUBLE") != "0",
		t:         &shim{},
		record:    record,
		startedAt: time.Now(),
		stop:      make(chan struct{}),
		seen:      map[string]string{},
	}
	watchdog := time.AfterFunc(caseLimit, func() {
		l.note("the case took too long")
		l.abort()
	})
	defer watchdog.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.abort()
	}()
	defer func() {
		if r := recover(); r != nil {
			l.note("could not run: %v", r)
			status = statusNotRun
		}
		close(l.stop)
		l.sampler.Wait()
		l.t.cleanUp()
	}()
	play(l)
	return l.verdict()
}

// abort ends the controllers and this program.
func (l *lab) abort() {
	if l.Deployment != nil {
		for _, node := range l.Controllers {
			l.Process(node).Kill()
		}
	}
	os.Exit(statusNotRun)
}

// verdict reports the violations that the checker has seen from outside.
func (l *lab) verdict() int {
	status := statusHeld
	l.Clock.Do(func() {
		for _, violation := range l.Checker.Violations {
			l.note("RULE BROKEN %s", violation)
			status = statusBroken
		}
	})
	l.note("exit status %d", status)
	return status
}

// note writes a line to record.txt and to standard error.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(l.startedAt).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = l.record.WriteString(line)
	fmt.Fprint(os.Stderr, line)
}

// deploy starts the deployment.
func (l *lab) deploy(options loopback.Options, valueKB, txnOps int) {
	program, err := os.Executable()
	if err != nil {
		panic(notRun{err.Error()})
	}
	if _, err := os.Stat(filepath.Join(repositoryRoot(), "target", "pipitgap")); err != nil {
		panic(notRun{"the deploy build is missing"})
	}
	directory, err := os.MkdirTemp("", "pipitgap-review")
	if err != nil {
		panic(notRun{err.Error()})
	}
	l.t.Cleanup(func() {
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(directory)
		}
	})
	_ = os.Setenv(envValueKB, fmt.Sprint(valueKB))
	_ = os.Setenv(envTxnOps, fmt.Sprint(txnOps))
	_ = os.Setenv(envCores, "0.3")
	options.Binary, options.Directory = program, directory
	l.Deployment = loopback.NewDeployment(l.t, uint64(os.Getpid()), options)
	l.Clock.Do(func() { l.Store.MaxTransactionOps = txnOps })
	l.note("controllers %v, logs in %s", l.Controllers, directory)
	l.sampler.Add(1)
	go l.sample()
}

// sample records every change of an attempt on a machine.
func (l *lab) sample() {
	defer l.sampler.Done()
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		var lines []string
		l.Clock.Do(func() {
			current := map[string]string{}
			for id, worker := range l.Fleet.Workers {
				for task, attempt := range worker.Attempts {
					if !worker.Machine.Gone {
						current[id+" "+task] = fmt.Sprintf("try %d %s %s", attempt.Number, attempt.State, attempt.Cause)
					}
				}
			}
			for _, key := range sortedmap.Keys(current) {
				if l.seen[key] != current[key] {
					lines = append(lines, "machine "+key+": "+current[key])
				}
			}
			for _, key := range sortedmap.Keys(l.seen) {
				if current[key] == "" {
					lines = append(lines, "machine "+key+": gone")
				}
			}
			l.seen = current
		})
		for _, line := range lines {
			l.note("%s", line)
		}
	}
}

// job describes a job that users submit.
type job struct {
	protocol.Submission
	run time.Duration // run time of a task; 0: until it is stopped
}

// submit submits a job at a controller until it is accepted, at most for the given time. Users may retry after
// a second.
func (l *lab) submit(node string, j job, patience time.Duration) bool {
	l.Clock.Do(func() {
		l.Fleet.Jobs[j.ID] = fake.JobBehavior{
			Team: j.Team, CPUs: j.CPUs, MemoryGB: j.MemoryGB, RunTime: monotime.FromDuration(j.run),
			Service: j.Service, PullTime: monotime.Second / 5,
		}
	})
	body := protocol.MustMarshal(&j.Submission)
	for deadline := time.Now().Add(patience); ; time.Sleep(time.Second) {
		status := l.ask(node, "POST", protocol.JobsPath, j.ID, body)
		if status == 200 || status == 201 {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// ask sends a request of a user and records it with its answer.
func (l *lab) ask(node, method, path, about string, body []byte) int {
	status, reply := l.UserRequest(node, method, path, body)
	var answer protocol.JobStatusReply
	_ = protocol.Unmarshal(reply, &answer)
	l.note("user to %s: %s %s (%s): %d %s", node, method, path, about, status, answer.Status)
	return status
}

// service returns a service of single-CPU replicas or larger ones.
func service(id, team string, replicas int, cpus float64) job {
	return job{Submission: protocol.Submission{
		ID: id, Class: "logger-intake", Team: team, Service: true, Priority: protocol.Production, Tasks: replicas,
		CPUs: cpus, MemoryGB: 1, Image: "img", ImageGB: 0.5,
	}}
}

// eachShard calls f for each shard in the state service. Only the plan of a disruption uses it, not the verdict.
func (l *lab) eachShard(f func(key string, shard *storage.Shard)) {
	l.Clock.Do(func() {
		for _, key := range l.Store.Keys(storage.KeyPrefix + string(storage.KindShard) + "/") {
			var raw protocol.Raw
			if !l.Store.Read(key, &raw) {
				continue
			}
			if shard, err := storage.DecodeShard(raw, nil); err == nil {
				f(key, shard)
			}
		}
	})
}

// shardsByOwner returns the keys of the shards by owner.
func (l *lab) shardsByOwner() map[string][]string {
	byOwner := map[string][]string{}
	l.eachShard(func(key string, shard *storage.Shard) { byOwner[shard.Owner] = append(byOwner[shard.Owner], key) })
	return byOwner
}

// machinesOf returns the machines in a controller's shards.
func (l *lab) machinesOf(owner string) map[string]bool {
	machines := map[string]bool{}
	l.eachShard(func(_ string, shard *storage.Shard) {
		for id := range shard.Machines {
			machines[id] = machines[id] || shard.Owner == owner
		}
	})
	return machines
}
