package coordination

import (
	"slices"
	"testing"

	"pipitgap/internal/fake"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// The state service carries out a transaction without an answer 2 to 12 s later.
const (
	lateAssignmentDelay = 5 * second
	lateClaimDelay      = 11 * second
)

// lateAssignment makes the first assignment of a job late, and what the course names besides it. It plays the
// state service's part and reads the stored records to choose the transactions.
type lateAssignment struct {
	c      *cluster
	course *lateAssignmentCourse
	job    string
	victim string          // the controller whose assignment is late; "" before that
	shard  string          // the key of the shard of the late assignment
	dueAt  monotime.Micros // when the late assignment is carried out
}

// lateAssignmentCourse is what happens while an assignment without an answer is late.
type lateAssignmentCourse struct {
	name        string
	job         []jobOption
	downtime    monotime.Micros // of the controller whose assignment is late; 0: it stays down
	cutOff      monotime.Micros // how long that controller first loses its workers, so that it hands shards over
	staysUp     bool            // that controller does not end
	allRestart  bool            // all controllers end and come back
	lateMembers bool            // the member records that controllers write afterwards are late
}

// newLateAssignmentCluster starts a cluster in which only the machines of one controller, which owns several
// shards, have room, each for a small service.
func newLateAssignmentCluster(t *testing.T, seed uint64) *cluster {
	c, small := newFullCluster(t, seed)
	owner := c.nodeNames[0]
	for _, node := range c.nodeNames {
		if c.shardsOf(node) > c.shardsOf(owner) {
			owner = node
		}
	}
	if c.shardsOf(owner) < 2 {
		t.Fatalf("got %d shards of %s, want at least 2", c.shardsOf(owner), owner)
	}
	c.cancelAndWait(slices.DeleteFunc(small, func(id string) bool { return c.placeOf(id).Owner != owner })...)
	c.sim.Run(3 * second)
	return c
}

// delay decides which transactions are late.
func (l *lateAssignment) delay(txn *protocol.Transaction) monotime.Micros {
	for _, op := range txn.Then {
		switch kind, _, _ := storage.SplitKey(op.Put); kind {
		case storage.KindMember:
			if l.victim != "" && l.course.lateMembers && l.c.sim.Now() < l.dueAt {
				return lateClaimDelay
			}
		case storage.KindShard:
			shard, err := storage.DecodeShard(op.Value, nil)
			if err != nil {
				continue
			}
			if l.victim == "" && shard.Jobs[l.job] != nil && l.c.shardsOf(shard.Owner) > 1 {
				l.victim, l.shard, l.dueAt = shard.Owner, op.Put, l.c.sim.Now()+lateAssignmentDelay
				return lateAssignmentDelay
			}
			if l.victim != "" && op.Put == l.shard && l.c.sim.Now() < l.dueAt {
				return lateClaimDelay
			}
		}
	}
	return 0
}

// cutOffWorkers cuts the controller whose assignment is late off from all workers for the time of the course.
func (l *lateAssignment) cutOffWorkers() {
	c := l.c
	if l.course.cutOff == 0 {
		return
	}
	for id := range c.fleet.Workers {
		c.disconnectedPairs[id+"-"+l.victim] = true
	}
	c.sim.Run(l.course.cutOff)
	for id := range c.fleet.Workers {
		delete(c.disconnectedPairs, id+"-"+l.victim)
	}
}

// play plays the course until all late transactions are carried out and the job runs.
func (l *lateAssignment) play(t *testing.T) {
	c := l.c
	id, submission := c.newSubmission(l.course.job...)
	l.job = id
	c.fleet.Jobs[id] = fake.JobBehavior{Team: submission.Team, CPUs: submission.CPUs}
	c.store.DelayCommit = l.delay
	user := &simUser{cluster: c, id: id, body: protocol.MustMarshal(submission)}
	user.submit()
	if !c.sim.RunUntil(10*second, func() bool { return l.victim != "" }) {
		t.Fatalf("no assignment of %s in a shard of a controller with two shards", id)
	}
	down := []string{l.victim}
	if l.course.allRestart {
		down = c.nodeNames
	}
	l.cutOffWorkers()
	if !l.course.staysUp {
		c.kill(down...)
	}
	if l.course.downtime > 0 {
		c.sim.After(l.course.downtime, func() { c.start(down...) })
	}
	c.sim.Run(lateAssignmentDelay + lateClaimDelay)
	c.store.DelayCommit = nil
	c.requireReplicas(id, submission.Tasks, 30*second)
	c.sim.Run(10 * second)
	c.requireReplicas(id, submission.Tasks, second)
	c.requireNoViolations()
}

// TestLateAssignmentOfEndedProcessStartsNoSecondAttempt guards against a task that runs twice, a limit that is
// exceeded and a zone rule that is broken because a controller ends while its assignment has no answer, and
// that assignment is carried out after the next incarnation or a successor has assigned the task again.
func TestLateAssignmentOfEndedProcessStartsNoSecondAttempt(t *testing.T) {
	service := func(options ...jobOption) []jobOption {
		return append([]jobOption{withService(true), withTasks(1), withCPUs(smallServiceCPUs), withMemoryGB(1)}, options...)
	}
	for _, course := range []lateAssignmentCourse{
		{name: "back at once", job: service(), downtime: 3 * second / 10},
		{name: "back at once, member record late", job: service(), downtime: 3 * second / 10, lateMembers: true},
		{name: "team with a limit", job: service(withTeam("tight"), withTasks(2)), downtime: 3 * second / 10},
		{name: "team with a limit, member record late", job: service(withTeam("tight"), withTasks(2)),
			downtime: 3 * second / 10, lateMembers: true},
		{name: "one zone", job: service(withOneZone(true), withTasks(3)), downtime: 3 * second / 10},
		{name: "spread", job: service(withSpread(true), withTasks(4)), downtime: 3 * second / 10},
		{name: "all back at once", job: service(), downtime: 3 * second / 10, allRestart: true},
		{name: "all back at once, member records late", job: service(), downtime: 3 * second / 10,
			allRestart: true, lateMembers: true},
		{name: "back after its membership ended", job: service(), downtime: 9 * second},
		{name: "taken over by a successor", job: service()},
		{name: "shards handed over and back", job: service(), cutOff: 15 * second, staysUp: true},
		{name: "shards handed over, back at once", job: service(), cutOff: 15 * second, downtime: 3 * second / 10},
		{name: "one zone, shards handed over and back", job: service(withOneZone(true), withTasks(3)),
			cutOff: 15 * second, staysUp: true},
		{name: "one zone, taken over by a successor", job: service(withOneZone(true), withTasks(3))},
	} {
		t.Run(course.name, func(t *testing.T) {
			for seed := range uint64(4) {
				c := newLateAssignmentCluster(t, 4300+seed)
				(&lateAssignment{c: c, course: &course}).play(t)
			}
		})
	}
}
