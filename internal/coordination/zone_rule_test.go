package coordination

import (
	"testing"

	"pipitgap/internal/fake"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// zoneRuleCourse is a job of two small tasks with a zone rule. One of its tasks is assigned by a transaction that
// is late, and then the other one is assigned.
type zoneRuleCourse struct {
	name string
	rule jobOption
	// The zones of the machines that get room, in this order: for the first task, for the late assignment, and for
	// the assignment after that.
	first, late, after string
}

// zoneRuleCourses are the courses in which the last assignment breaks the rule if it is decided without the late
// one.
var zoneRuleCourses = []zoneRuleCourse{
	{"one zone", withOneZone(true), "a", "a", "b"},
	{"spread", withSpread(true), "a", "b", "b"},
}

// lateZoneAssignment makes an assignment of a job late, and the later writes of the same shard.
type lateZoneAssignment struct {
	c     *cluster
	job   string
	armed bool            // the next assignment of the job is late
	shard string          // key of the shard of the late assignment; "" before that
	dueAt monotime.Micros // when the late assignment is carried out
}

func (l *lateZoneAssignment) delay(txn *protocol.Transaction) monotime.Micros {
	for _, op := range txn.Then {
		if kind, _, _ := storage.SplitKey(op.Put); kind != storage.KindShard {
			continue
		}
		shard, err := storage.DecodeShard(op.Value, nil)
		switch {
		case err != nil:
		case l.armed && shard.Jobs[l.job] != nil && !l.recorded(op.Put):
			l.armed, l.shard, l.dueAt = false, op.Put, l.c.sim.Now()+lateAssignmentDelay
			return lateAssignmentDelay
		case op.Put == l.shard && l.c.sim.Now() < l.dueAt:
			return lateClaimDelay
		}
	}
	return 0
}

// recorded reports whether the state service's version of a shard has a task of the job.
func (l *lateZoneAssignment) recorded(key string) bool {
	shard := l.c.storedShard(key)
	return shard != nil && shard.Jobs[l.job] != nil
}

// await waits until the late assignment has been sent.
func (l *lateZoneAssignment) await(t *testing.T) {
	t.Helper()
	if !l.c.sim.RunUntil(10*second, func() bool { return l.shard != "" }) {
		t.Fatal("got no assignment to be late")
	}
}

// finish waits until all late transactions are carried out, and requires that the rule held.
func (l *lateZoneAssignment) finish() {
	l.c.sim.Run(lateAssignmentDelay + lateClaimDelay)
	l.c.store.DelayCommit = nil
	l.c.sim.Run(20 * second)
	l.c.requireNoViolations()
}

// submitZoneRuleJob submits the job of a course at a controller without waiting for its tasks.
func submitZoneRuleJob(c *cluster, course *zoneRuleCourse, node string) string {
	c.t.Helper()
	id, submission := c.newSubmission(withService(true), withTasks(2), withCPUs(smallServiceCPUs), withMemoryGB(1),
		withPriority(protocol.Standard), course.rule)
	c.fleet.Jobs[id] = fake.JobBehavior{Team: submission.Team, CPUs: submission.CPUs}
	status := c.requestAndWait(node, "POST", protocol.JobsPath, protocol.MustMarshal(submission)).Status
	if status != 201 {
		c.t.Fatalf("submission of %s: got status %d, want 201", id, status)
	}
	return id
}

// serviceIn returns a service that runs in a zone, in a shard of the owner other than the given ones. It returns
// "" if there is none.
func (c *cluster) serviceIn(services []string, owner, zone string, except ...string) string {
	records := c.nodes[c.nodeNames[0]].controller.mirror
next:
	for _, id := range services {
		place := c.placeOf(id)
		if place.Owner != owner || records.Machines[place.Machine].Record.Zone != zone {
			continue
		}
		for _, other := range except {
			if other == id || c.placeOf(other).Shard == place.Shard {
				continue next
			}
		}
		return id
	}
	return ""
}

// TestLateAssignmentKeepsZoneRuleOfPreemptedJob guards against a job with a zone rule whose preempted task is
// placed without regard to an assignment in doubt of its other task.
func TestLateAssignmentKeepsZoneRuleOfPreemptedJob(t *testing.T) {
	for _, course := range zoneRuleCourses {
		t.Run(course.name, func(t *testing.T) {
			played := 0
			for seed := range uint64(4) {
				c, small := newFullCluster(t, 4400+seed)
				for _, owner := range c.nodeNames {
					first := c.serviceIn(small, owner, course.first)
					if first == "" {
						continue
					}
					late := c.serviceIn(small, owner, course.late, first)
					if late == "" {
						continue
					}
					if after := c.serviceIn(small, owner, course.after, late); after != "" && after != first {
						playPreemptedZoneRuleJob(t, c, &course, owner, first, late, after)
						played++
						break
					}
				}
			}
			if played == 0 {
				t.Error("got no seed with a controller whose shards fit the course, want at least one")
			}
		})
	}
}

// playPreemptedZoneRuleJob cancels the services first, late and after at their times, so that their machines get
// room.
func playPreemptedZoneRuleJob(t *testing.T, c *cluster, course *zoneRuleCourse, owner, first, late, after string) {
	t.Helper()
	c.cancelAndWait(first)
	job := submitZoneRuleJob(c, course, owner)
	if !c.sim.RunUntil(10*second, func() bool { return c.fleet.Running(job) == 1 }) {
		t.Fatalf("%s: got no running task, want one", job)
	}
	c.sim.Run(second)
	l := &lateZoneAssignment{c: c, job: job, armed: true}
	c.store.DelayCommit = l.delay
	c.cancelAndWait(late)
	l.await(t)
	c.sendRequest(owner, "POST", protocol.CancelPath(after), nil, func(Response) {})
	urgent, submission := c.newSubmission(withService(true), withTasks(1), withCPUs(smallServiceCPUs), withMemoryGB(1),
		withPriority(protocol.Production), withZone(course.first))
	c.fleet.Jobs[urgent] = fake.JobBehavior{Team: submission.Team, CPUs: submission.CPUs}
	c.sendRequest(owner, "POST", protocol.JobsPath, protocol.MustMarshal(submission), func(Response) {})
	l.finish()
}

// TestLateAssignmentKeepsZoneRuleAcrossPartitions guards against a job with a zone rule whose tasks two controllers
// place at the same moment, each without knowledge of the other's assignment.
func TestLateAssignmentKeepsZoneRuleAcrossPartitions(t *testing.T) {
	for _, course := range zoneRuleCourses {
		t.Run(course.name, func(t *testing.T) {
			for seed := range uint64(4) {
				c, small := newFullCluster(t, 4500+seed)
				owner, other := c.nodeNames[0], c.nodeNames[1]
				late := c.serviceIn(small, owner, course.late)
				after := c.serviceIn(small, other, course.after)
				if late == "" || after == "" {
					t.Fatalf("seed %d: got no machines of %s and %s in the zones of the course", seed, owner, other)
				}
				job := submitZoneRuleJob(c, &course, owner)
				c.sim.Run(second)
				c.splitBetween(job, owner, other)
				l := &lateZoneAssignment{c: c, job: job, armed: true}
				c.store.DelayCommit = l.delay
				c.cancelAndWait(late)
				l.await(t)
				c.cancelAndWait(after)
				l.finish()
			}
		})
	}
}

// splitBetween gives the first task of a job of two tasks to one controller's partition and the second one to
// another's.
func (c *cluster) splitBetween(job, first, second string) {
	c.t.Helper()
	ranges := []storage.TaskRange{{First: 0, End: 1, Partition: first}, {First: 1, End: 2, Partition: second}}
	entry := func(node string) *mirror.Job { return c.nodes[node].controller.mirror.Jobs[job] }
	if !c.nodes[first].controller.scheduler.ReassignTaskRanges(entry(first), ranges) {
		c.t.Fatalf("%s: got no write of its task ranges, want one", job)
	}
	if !c.sim.RunUntil(monotime.Second, func() bool { return len(entry(second).Record.TaskRanges) == 2 }) {
		c.t.Fatalf("%s: got task ranges %v, want %v", job, entry(second).Record.TaskRanges, ranges)
	}
}
