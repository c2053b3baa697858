package coordination

import (
	"fmt"
	"math"
	"sort"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// Bounds of how tasks move between parts.
const (
	leastShare = 24                // tasks
	mostShares = 40                // of one job; what a value holds
	ownerGrace = 3 * micros.Second // an owner that seems to have room gets so long to use it
	takerGrace = 1 * micros.Second // and one that has just taken tasks over: they went round without a start
)

// split divides a new job among the partitions: whole to the one with most room, or
// what the parts have room for, and the rest evenly. A job too large for any part
// is so spread over all of them, and what binds stays in its own record.
func (c *Core) split(spec *bookkeeping.Spec) []bookkeeping.Share {
	n := spec.Tasks
	live := c.able()
	if n == 1 || spec.OneZone || spec.Spread || len(live) == 0 {
		return []bookkeeping.Share{{First: 0, End: n, Partition: c.roomiest(spec)}}
	}
	capacities := c.freeCapacity()
	backlog := c.backlog()
	type partition struct {
		name       string
		room, size int
	}
	var partitions []partition
	for _, p := range live {
		r := capacities.room(spec, p) - int(math.Ceil(backlog[p]/max(spec.CPUs, 0.01)))
		partitions = append(partitions, partition{name: p, room: r})
	}
	// The least burdened first where none has room.
	sort.SliceStable(partitions, func(a, b int) bool { return partitions[a].room > partitions[b].room })
	for i := range partitions {
		partitions[i].room = max(0, partitions[i].room)
	}
	if n <= partitions[0].room || spec.Service {
		return []bookkeeping.Share{{First: 0, End: n, Partition: c.roomiest(spec)}}
	}
	left := n
	for i := range partitions {
		partitions[i].size = min(left, partitions[i].room)
		left -= partitions[i].size
	}
	// What has no room anywhere yet goes to no more parts than is worth it: each
	// part that has some of a job holds a record of it.
	among := min(len(partitions), max(1, left/leastShare))
	for i := range partitions[:among] {
		k := (left + among - i - 1) / (among - i)
		partitions[i].size += k
		left -= k
	}
	var out []bookkeeping.Share
	at := 0
	for _, p := range partitions {
		if p.size > 0 {
			out = append(out, bookkeeping.Share{First: at, End: at + p.size, Partition: p.name})
			at += p.size
		}
	}
	return out
}

// backlog is the CPUs that each partition's waiting tasks will take.
func (c *Core) backlog() map[string]float64 {
	out := map[string]float64{}
	for _, j := range c.view.jobs {
		if !j.open() || j.waiting() == 0 || c.mistakes(j) {
			continue
		}
		for _, s := range j.rec.Shares {
			if len(j.rec.Shares) == 1 {
				out[s.Partition] += float64(j.waiting()) * j.need.cpus
				break
			}
			for i := s.First; i < s.End; i++ {
				if j.state[i] == 0 {
					out[s.Partition] += j.need.cpus
				}
			}
		}
	}
	return out
}

// reshare changes which parts place a job's tasks. Whatever a range's owner assigned
// before stands in the shards by then, whatever it would assign after fails on the
// record's version; so the new owner may begin once its mirror has come that far.
func (c *Core) reshare(j *job, shares []bookkeeping.Share) bool {
	// Both this and an assignment change or ask for the job's record: with one of the
	// same turn on its way, one of the two would fail, and two partitions could go on
	// handing a job to and fro without ever starting it.
	if c.jobBusy[j.id] || c.passJobs[j.id] || len(shares) > mostShares {
		return false
	}
	rec := j.rec
	rec.Shares = shares
	value := protocol.MustMarshal(&rec)
	if 2*len(value) > c.valueBytes() {
		return false
	}
	c.jobBusy[j.id] = true
	key := bookkeeping.Key(bookkeeping.KindOpen, j.id)
	c.commit(bookkeeping.RankShard, protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: j.version}},
		Then: []protocol.Op{{Put: key, Value: value}},
	}, func(r protocol.StoreResult) {
		delete(c.jobBusy, j.id)
		c.dirty = true
		if r.Outcome == protocol.OK {
			c.log.Debug("task ranges reassigned", "job", j.id, "ranges", fmt.Sprint(shares))
		}
	})
	return true
}

// spaced tells when something that costs a change may be done again, if all
// controllers together may spend that partition of the store's changes on it: what is
// spent here the shards lack.
func (c *Core) spaced(partition float64) micros.T {
	return c.now() + micros.FromSeconds(float64(c.liveShare)/(partition*c.cfg.Facts.State.WriteRPS))
}

// adoptOrphans takes over the waiting tasks of parts that have gone, or don't reach
// their machines. Each job has
// one successor for that, whether it has room for them or not: only their owner makes
// room for services by stopping others' work, or rents for nobody else to place.
func (c *Core) adoptOrphans(jobs []*job, now micros.T) {
	live := c.able()
	for _, j := range jobs {
		if now < c.orphanAt {
			return
		}
		if c.jobBusy[j.id] || c.view.watched < j.version || home(j.id, live) != c.node {
			continue
		}
		shares := j.rec.Shares
		for _, s := range j.rec.Shares {
			if !c.isLive(s.Partition) && now-c.gone(s.Partition, now) > micros.Second || c.cutOff(s.Partition, now) {
				shares = bookkeeping.Reshare(shares, s.First, s.End, c.node)
			}
		}
		if len(shares) != len(j.rec.Shares) || !sameShares(shares, j.rec.Shares) {
			if c.reshare(j, shares) {
				c.orphanAt = c.spaced(0.4)
			}
		}
	}
}

// gone tells since when a controller is missed.
func (c *Core) gone(node string, now micros.T) micros.T {
	at, ok := c.deadSince[node]
	if !ok {
		c.deadSince[node], at = now, now
	}
	return at
}

func sameShares(a, b []bookkeeping.Share) bool {
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// take looks for waiting tasks of other partitions that ours has room for: of parts
// that have gone, have no room for them, or haven't used what they seem to have.
// That hands tasks on in one write, at the time when there is room, and lets each
// part's room go to the most urgent tasks of all.
func (c *Core) take(jobs []*job, cands []*candidate, reserved *reservedRoom, left map[string]amount, now micros.T) {
	free := reserved.cpus()
	for _, cd := range cands {
		if !cd.held && cd.keep == "" {
			free += max(0, cd.free.cpus)
		}
	}
	if free < slack || now < c.takeAt {
		return
	}
	capacities := c.freeCapacity()
	wall := c.env.Wall()
	for _, j := range jobs {
		if now < c.takeAt {
			return
		}
		if j.need.cpus <= free+slack {
			reserved.lend(j)
			c.takeJob(j, cands, left, capacities, wall)
			reserved.takeBack(j)
		}
	}
}

// roomFor counts the tasks of a job that the room not kept for others can take.
func roomFor(j *job, cands []*candidate) int {
	room := 0
	for _, cd := range cands {
		if !cd.held && cd.keptFor(j) && mayRun(&j.rec.Spec, cd.rec) {
			room += j.need.count(cd.free)
		}
	}
	return room
}

// takeJob takes over as many of a job's tasks that wait at other partitions as we have room
// for, and tells how many.
func (c *Core) takeJob(j *job, cands []*candidate, left map[string]amount, capacities *freeCapacity, wall int64) int {
	spec := &j.rec.Spec
	if len(j.rec.Shares) == 1 && j.rec.Shares[0].Partition == c.node ||
		c.jobBusy[j.id] || c.now() < c.jobNotes(j.id).until || c.view.watched < j.version || c.mistakes(j) {
		return 0
	}
	room := roomFor(j, cands)
	if room == 0 {
		return 0
	}
	l, ok := left[spec.Team]
	if !ok {
		l = c.shareLeft(spec.Team)
		left[spec.Team] = l
	}
	if n := j.need.count(l); n < room {
		// A part with machines but without a share of the team's limit would leave
		// the tasks for ever to one with a share but without machines.
		c.lacks(spec.Team, j.need, min(room-n, j.waiting()), l, true)
		room = n
	}
	if room == 0 {
		return 0
	}
	whole := spec.OneZone || spec.Spread
	for k := len(j.rec.Shares) - 1; k >= 0; k-- {
		s := j.rec.Shares[k]
		if s.Partition == c.node || c.isLive(s.Partition) && capacities.room(spec, s.Partition) > 0 &&
			(wall-j.rec.At < int64(ownerGrace) || c.now()-c.jobNotes(j.id).sharedAt < takerGrace) {
			continue
		}
		n, first := 0, s.End
		for first > s.First && (n < room || whole) {
			first--
			if j.state[first] == 0 {
				n++
			}
		}
		if n == 0 || whole && n > room && c.isLive(s.Partition) {
			continue
		}
		if !c.reshare(j, bookkeeping.Reshare(j.rec.Shares, first, s.End, c.node)) {
			return 0
		}
		c.takeAt = c.spaced(0.1)
		return n
	}
	return 0
}

// reserve keeps room for tasks that are about to be ours from what is less urgent.
func reserve(need amount, spec *bookkeeping.Spec, cands []*candidate, n int) {
	for _, cd := range cands {
		if n <= 0 {
			return
		}
		if !cd.held && cd.keep == "" && mayRun(spec, cd.rec) {
			k := min(n, need.count(cd.free))
			cd.free = cd.free.plus(need, -float64(k))
			n -= k
		}
	}
}

// handOver gives our waiting tasks of a job to a partition that can make room.
func (c *Core) handOver(j *job, to string) bool {
	for _, s := range j.rec.Shares {
		if s.Partition != c.node {
			continue
		}
		if !c.reshare(j, bookkeeping.Reshare(j.rec.Shares, s.First, s.End, to)) {
			return false
		}
		c.takeAt = c.spaced(0.1)
		return true
	}
	return false
}
