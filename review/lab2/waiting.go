package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// defaultWait is the bound of the rule: no job is left waiting for 90 s while a machine that fits has room.
const defaultWait = 90 * time.Second

// longestWait is the bound that is checked. WAIT_S, in seconds, raises it, to see whether a task ever starts.
var longestWait = waitOf(os.Getenv("WAIT_S"))

func waitOf(text string) time.Duration {
	seconds, _ := strconv.Atoi(text) // 0 if it isn't set
	return max(defaultWait, time.Duration(seconds)*time.Second)
}

// waitCheck watches tasks that no machine runs, and how long a machine that fits has had room for them.
type waitCheck struct {
	r       *rig
	watched []*watchedTask
}

type watchedTask struct {
	job     *job
	pip     int
	since   time.Time // since when it has waited beside room without a break; zero: it doesn't
	machine string    // the machine that had room for it most recently
	waited  time.Duration
}

func (t *watchedTask) name() string { return fmt.Sprintf("%s/%d", t.job.id, t.pip) }

// watch adds a task to the check.
func (c *waitCheck) watch(j *job, pip int) {
	c.watched = append(c.watched, &watchedTask{job: j, pip: pip})
}

// roomFor returns a machine that fits a task and has room for it, or "". It leaves out machines on which every task
// fails.
func (c *waitCheck) roomFor(j *job) string {
	for _, m := range c.r.cloud.running() {
		if m.worker == nil || m.borrowed && !j.borrowed || j.grove != "" && j.grove != m.zone {
			continue
		}
		m.worker.mu.Lock()
		sick := m.worker.sick
		m.worker.mu.Unlock()
		cores, memory := m.worker.free()
		if !sick && cores+1e-6 >= j.cores && memory+1e-6 >= j.memoryGB {
			return m.id
		}
	}
	return ""
}

// step looks at all watched tasks once, and returns a task that has waited too long.
func (c *waitCheck) step() *watchedTask {
	var longest *watchedTask
	for _, task := range c.watched {
		pip := task.name()
		if c.r.isDone(pip) || c.r.machineOf(pip) != "" {
			task.since = time.Time{}
			continue
		}
		machine := c.roomFor(task.job)
		switch {
		case machine == "":
			task.since = time.Time{}
		case task.since.IsZero():
			task.since, task.machine = time.Now(), machine
			c.r.event("check: %s waits, %s has room for it", pip, machine)
		default:
			task.machine, task.waited = machine, time.Since(task.since)
			if task.waited > longestWait && (longest == nil || task.waited > longest.waited) {
				longest = task
			}
		}
	}
	return longest
}

// run watches until a task has waited too long, all watched tasks satisfy settled, or the time is over. It returns
// how the rule was broken, or "".
func (c *waitCheck) run(within time.Duration, settled func(task string) bool) string {
	for ends := time.Now().Add(within); time.Now().Before(ends); time.Sleep(100 * time.Millisecond) {
		if late := c.step(); late != nil {
			for _, m := range c.r.cloud.running() {
				cores, memory := m.worker.free()
				c.r.event("check: %s has %g cores and %.1f GB free", m.id, cores, memory)
			}
			status, answer := c.r.poll(late.job.id, 0)
			c.r.event("check: a poll for %s is answered %d %v", late.job.id, status, answer)
			return fmt.Sprintf("%s has waited for %.0f s while %s had room for it", late.name(), late.waited.Seconds(),
				late.machine)
		}
		all := true
		for _, task := range c.watched {
			all = all && settled(task.name())
		}
		if all {
			return ""
		}
	}
	return ""
}
