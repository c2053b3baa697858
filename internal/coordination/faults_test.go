package coordination

import (
	"testing"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/config"
	"pipitgap/internal/protocol"
)

// TestBlame: a machine is faulty when jobs that run elsewhere fail on it, not when
// jobs fail that fail everywhere; until either is known it gets nothing new.
func TestBlame(t *testing.T) {
	c := newCluster(t, 1).steady()
	core := c.nodes["n-0"].core
	v := core.view
	next := v.watched + 1 // the mirror takes nothing older
	v.putJob("runs", 4, next)
	v.put(bookkeeping.Key(bookkeeping.KindShard, "other"), shardOf("i-9", "runs", 1, 2), next+1)
	v.putJob("new", 4, next)
	v.putJob("here", 4, next)
	v.putJob("others", 4, next)
	v.finals.add("ended", bookkeeping.Done)
	v.finals.add("dropped", bookkeeping.Cancelled)
	core.jobNotes("here").fails = 3
	core.jobNotes("others").fails = 1
	core.peers.get("n-1").failing, core.peers.get("n-2").failing = map[string]int{"others": 1}, map[string]int{"others": 1}
	for _, tc := range []struct {
		name             string
		failures         map[string]int
		faulty, doubtful bool
	}{
		{"nothing", nil, false, false},
		{"one that runs elsewhere", map[string]int{"runs": 1}, false, false},
		{"again", map[string]int{"runs": 2}, true, true},
		{"and one that was done since", map[string]int{"runs": 1, "ended": 1}, true, true},
		{"of one that nothing is known of", map[string]int{"new": 5}, false, true},
		{"with one that runs elsewhere", map[string]int{"new": 1, "runs": 1}, false, true},
		{"of one that fails everywhere", map[string]int{"here": 9}, false, false},
		{"of one that fails at others too", map[string]int{"others": 9}, false, false},
		{"of two that fail everywhere", map[string]int{"here": 4, "others": 4, "runs": 1}, false, false},
		{"of one that was cancelled", map[string]int{"dropped": 4}, false, false},
	} {
		faulty, doubtful := core.blame(&worker{failures: tc.failures})
		if faulty != tc.faulty || doubtful != tc.doubtful {
			t.Errorf("%s: faulty %v, doubtful %v", tc.name, faulty, doubtful)
		}
	}
}

// TestMistakenJobs: jobs that fail everywhere, beside good ones, cost a few tries, no
// machine and no rental; a machine on which everything fails is still found and
// replaced, and what failed there goes on elsewhere. Each job that failed used to
// speak against its machines, and all of its tasks were tried again at every pause.
func TestMistakenJobs(t *testing.T) {
	for _, tc := range []struct {
		name     string
		mistakes int
		sick     int
	}{
		{"mistaken jobs", 3, 0},
		{"a faulty machine", 0, 1},
		{"both", 3, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, uint64(900+tc.mistakes+tc.sick))
			c.set.ScaleDownDelay = config.Span(8 * sec)
			c.steady()
			keep := c.submit(0, withService(true), withTasks(6), withCPUs(1)) // keeps machines up
			if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(keep) == 6 }) {
				t.Fatal("the service isn't up")
			}
			var good, bad []string
			for i := 0; i < 2; i++ {
				good = append(good, c.submit(4*sec, withTasks(12), withCPUs(1)))
			}
			c.sim.Run(2 * sec)
			sick, moved := map[string]bool{}, 0
			for _, id := range sortedKeys(c.fleet.Workers) {
				if w := c.fleet.Workers[id]; len(sick) < tc.sick && !w.Machine.Gone && len(w.Tasks) < 4 {
					w.Sick, sick[id] = true, true
					for task := range w.Tasks {
						if jobOfTask(task) == keep {
							moved++
						}
					}
				}
			}
			for i := 0; i < tc.mistakes; i++ {
				id := c.submit(4*sec, withTasks(30), withCPUs(4))
				j := c.fleet.Jobs[id]
				j.Fails = true
				c.fleet.Jobs[id] = j
				bad = append(bad, id)
			}
			for i := 0; i < 4; i++ {
				good = append(good, c.submit(4*sec, withTasks(12), withCPUs(1)))
				c.sim.Run(3 * sec)
			}
			for _, id := range good {
				c.finished(id, 60*sec)
			}
			c.sim.Run(30 * sec)
			for id := range sick {
				if !c.cloud.Machines[id].Gone {
					t.Errorf("%s, on which everything fails, is still there", id)
				}
			}
			again := 0 // replicas that had to start anew: their machine was given back
			for task, n := range c.fleet.Starts {
				if jobOfTask(task) == keep {
					again += n - 1
				}
			}
			if again > moved {
				t.Errorf("%d replicas started anew, %d stood on faulty machines", again, moved)
			}
			if n := c.cloud.Count(); n > 4 {
				t.Errorf("%d machines for six replicas and an occasional try", n)
			}
			starts, tasks := 0, 30*tc.mistakes
			for task, n := range c.fleet.Starts {
				for _, id := range bad {
					if jobOfTask(task) == id {
						starts += n
					}
				}
			}
			if tasks > 0 && (starts < 3 || starts > 2*tasks) {
				t.Errorf("%d starts of %d mistaken tasks", starts, tasks)
			}
			for i, id := range bad {
				r := c.ask(c.names[i%3], "POST", protocol.CancelPath(id), nil)
				if r.Status != 200 {
					t.Errorf("cancelling %s: %d", id, r.Status)
				}
				c.check.Cancelled(id)
			}
			c.sim.Run(40 * sec)
			for _, id := range bad {
				if c.fleet.Running(id) > 0 {
					t.Errorf("%s still runs", id)
				}
				if c.nodes["n-0"].core.view.jobs[id] != nil {
					t.Errorf("%s has left a record", id)
				}
			}
			c.rules()
		})
	}
}

// TestMistakeIsForgiven: a job that failed on several faulty machines goes on at once
// when something of it completes, and soon when its machines turn out faulty.
func TestMistakeIsForgiven(t *testing.T) {
	c := newCluster(t, 950).steady()
	keep := c.submit(0, withService(true), withTasks(24), withCPUs(2))
	if !c.sim.RunUntil(60*sec, func() bool { return c.fleet.Running(keep) == 24 }) {
		t.Fatal("the service isn't up")
	}
	n := 0
	for _, id := range sortedKeys(c.fleet.Workers) {
		if w := c.fleet.Workers[id]; n < 3 && !w.Machine.Gone {
			w.Sick = true
			n++
		}
	}
	ids := []string{
		c.submit(3*sec, withTasks(40), withCPUs(0.5)),
		c.submit(3*sec, withTasks(1), withCPUs(0.5)),
	}
	for _, id := range ids {
		c.finished(id, 45*sec)
	}
	c.rules()
}

// TestTriedAgain: a job that failed on all machines there were is tried again though none
// is left and nothing else would have any rented: it may have been the machines.
func TestTriedAgain(t *testing.T) {
	c := newCluster(t, 960)
	c.set.ScaleDownDelay, c.set.ServiceHeadroom = config.Span(5*sec), 0.3
	c.steady()
	id := c.submit(2*sec, withTasks(40), withCPUs(4))
	c.sim.RunUntil(60*sec, func() bool {
		for _, w := range c.fleet.Workers {
			w.Sick = true
		}
		return c.nodes["n-0"].core.judge(id) == mistaken
	})
	c.sim.Run(2 * sec)
	c.finished(id, 400*sec)
	c.rules()
}
