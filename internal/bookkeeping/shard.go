package bookkeeping

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"pipitgap/internal/protocol"
)

// MachineState is where a machine stands.
type MachineState string

// States of a machine. A closing machine is the part's own affair and not kept.
const (
	MachineOpen     MachineState = "o"
	MachineQuiet    MachineState = "q" // out of reach just now: no room, no supply
	MachineCordoned MachineState = "c" // selected by a drain: no new tasks as long as the drain lasts
	MachineDraining MachineState = "d" // no new tasks ever again
	MachineRemoving MachineState = "r" // for the leader to give back
)

// Shard is the record of KindShard: some of a partition's machines, the attempts on
// them, and which tasks were completed there. A shard has one owner, who alone
// writes it; whoever takes it over changes its version by that, so no late write
// of an earlier owner can follow. Decoded entries are never changed in place.
type Shard struct {
	Owner       string
	Incarnation uint64
	Claim       uint64
	Machines    map[string]*ShardMachine
	Jobs        map[string]*ShardJob
}

// ShardMachine is a machine in a shard.
type ShardMachine struct {
	Num      int // its short name within the shard
	Type     string
	Zone     string
	Spot     bool
	Endpoint string
	State    MachineState
	Claim    uint64 // when above the shard's: it came from another partition's shard
}

// ShardJob is what a shard holds of a job.
type ShardJob struct {
	Done Tasks
	Held []Held // ordered by task
	text string // its stored form but for the id, to tell what changed
}

// Held is an attempt on a machine.
type Held struct {
	Task    int
	Machine string
	Attempt uint64
	// Starting says that the attempt isn't known to be running yet. It is kept only for
	// replicas whose availability is watched, see package drain.
	Starting bool
}

// SameAttempt tells whether two entries are of one attempt on one machine.
func (h Held) SameAttempt(o Held) bool {
	return h.Task == o.Task && h.Machine == o.Machine && h.Attempt == o.Attempt
}

// ClaimOf gives the claim number under which a machine of the shard is held.
func (p *Shard) ClaimOf(m *ShardMachine) uint64 { return max(p.Claim, m.Claim) }

// Clone copies a shard so that a change can be prepared; the entries are shared
// and must be replaced rather than changed.
func (p *Shard) Clone() *Shard {
	q := *p
	q.Machines = make(map[string]*ShardMachine, len(p.Machines)+1)
	for k, v := range p.Machines {
		q.Machines[k] = v
	}
	q.Jobs = make(map[string]*ShardJob, len(p.Jobs)+1)
	for k, v := range p.Jobs {
		q.Jobs[k] = v
	}
	return &q
}

// Add puts a machine into the shard under the lowest free number.
func (p *Shard) Add(id string, m ShardMachine) {
	used := make(map[int]bool, len(p.Machines))
	for _, o := range p.Machines {
		used[o.Num] = true
	}
	m.Num = 0
	for used[m.Num] {
		m.Num++
	}
	p.Machines[id] = &m
}

// SetState replaces a machine's state.
func (p *Shard) SetState(id string, s MachineState) {
	m := *p.Machines[id]
	m.State = s
	p.Machines[id] = &m
}

// Assign gives a task to a machine.
func (p *Shard) Assign(job string, h Held) {
	old := p.Jobs[job]
	if old == nil {
		old = &ShardJob{}
	}
	k := sort.Search(len(old.Held), func(i int) bool { return old.Held[i].Task >= h.Task })
	held := make([]Held, 0, len(old.Held)+1)
	held = append(append(append(held, old.Held[:k]...), h), old.Held[k:]...)
	p.Jobs[job] = &ShardJob{Done: old.Done, Held: held}
}

// Release takes an attempt off; done: the task is completed.
func (p *Shard) Release(job string, task int, done bool) {
	old := p.Jobs[job]
	if old == nil {
		return
	}
	next := &ShardJob{Done: old.Done, Held: make([]Held, 0, len(old.Held))}
	for _, h := range old.Held {
		if h.Task != task {
			next.Held = append(next.Held, h)
		}
	}
	if done {
		next.Done = next.Done.With(task)
	}
	if len(next.Held) == 0 && len(next.Done) == 0 {
		delete(p.Jobs, job)
		return
	}
	p.Jobs[job] = next
}

// Find gives the entry of a task that the shard holds.
func (p *Shard) Find(job string, task int) (Held, bool) {
	entry := p.Jobs[job]
	if entry == nil {
		return Held{}, false
	}
	k := sort.Search(len(entry.Held), func(i int) bool { return entry.Held[i].Task >= task })
	if k == len(entry.Held) || entry.Held[k].Task != task {
		return Held{}, false
	}
	return entry.Held[k], true
}

// MarkStarting sets whether a held attempt is known to be running.
func (p *Shard) MarkStarting(job string, task int, starting bool) {
	old := p.Jobs[job]
	if old == nil {
		return
	}
	next := &ShardJob{Done: old.Done, Held: append([]Held(nil), old.Held...)}
	for i := range next.Held {
		if next.Held[i].Task == task {
			next.Held[i].Starting = starting
		}
	}
	p.Jobs[job] = next
}

// pageRecord is a shard as stored. What is counted is its JSON form, and every
// change of a task is a change of a shard: so machines and jobs are packed text.
//
//	machines: "num id endpoint kind state [claim]" joined by ";"
//	jobs: "id dDONE num@attempt:TASKS ..." joined by ";", ":0" left out; "!" in place of "@"
//	says that the attempts are starting
//
// Ids and endpoints are written as how many characters they share with the one
// before, and the rest: see front.
type pageRecord struct {
	Owner       string    `msgpack:"o"`
	Incarnation uint64    `msgpack:"i"`
	Claim       uint64    `msgpack:"c"`
	Kinds       []kindRec `msgpack:"k"`
	Machines    string    `msgpack:"m"`
	Jobs        string    `msgpack:"j"`
}

type kindRec struct {
	//lint:ignore U1000 the msgpack library reads it through reflection
	_msgpack struct{} `msgpack:",as_array"`
	Type     string
	Zone     string
	Spot     bool
}

// Encode gives the stored form and its size as the state service counts it (an
// upper bound).
func (p *Shard) Encode() (protocol.Raw, int) {
	rec := pageRecord{Owner: p.Owner, Incarnation: p.Incarnation, Claim: p.Claim}
	kinds := map[kindRec]int{}
	var b []byte
	lastID, lastEnd := "", ""
	for _, id := range sortedNames(p.Machines) {
		m := p.Machines[id]
		k := kindRec{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
		n, ok := kinds[k]
		if !ok {
			n = len(rec.Kinds)
			kinds[k] = n
			rec.Kinds = append(rec.Kinds, k)
		}
		if len(b) > 0 {
			b = append(b, ';')
		}
		b = strconv.AppendInt(b, int64(m.Num), 36)
		b = front(append(b, ' '), lastID, id)
		b = front(append(b, ' '), lastEnd, m.Endpoint)
		lastID, lastEnd = id, m.Endpoint
		b = strconv.AppendInt(append(b, ' '), int64(n), 36)
		b = append(append(b, ' '), m.State...)
		if m.Claim > p.Claim {
			b = strconv.AppendUint(append(b, ' '), m.Claim, 36)
		}
	}
	rec.Machines = string(b)
	b, lastID = b[:0:0], ""
	for _, id := range sortedNames(p.Jobs) {
		if len(b) > 0 {
			b = append(b, ';')
		}
		e := p.Jobs[id]
		if e.text == "" {
			e.text = e.encode(p.Machines)
		}
		b = append(front(b, lastID, id), e.text...)
		lastID = id
	}
	rec.Jobs = string(b)
	size := 120 + len(p.Owner) + len(rec.Machines) + len(rec.Jobs)
	for _, k := range rec.Kinds {
		size += len(k.Type) + len(k.Zone) + 14
	}
	return protocol.MustMarshal(&rec), size
}

// front appends s as the number of characters that it shares with last, one digit
// of base 36, and the rest.
func front(b []byte, last, s string) []byte {
	n := 0
	for n < 35 && n < len(last) && n < len(s) && last[n] == s[n] {
		n++
	}
	return append(strconv.AppendInt(b, int64(n), 36), s[n:]...)
}

// unfront reads what front has written.
func unfront(last, s string) (string, bool) {
	if s == "" {
		return "", false
	}
	n, err := strconv.ParseInt(s[:1], 36, 32)
	if err != nil || int(n) > len(last) {
		return "", false
	}
	return last[:n] + s[1:], true
}

func (e *ShardJob) encode(machines map[string]*ShardMachine) string {
	b := make([]byte, 0, 64)
	if len(e.Done) > 0 {
		b = e.Done.append(append(b, " d"...))
	}
	// Attempts on one machine that began together share their head.
	type head struct {
		num      int
		attempt  uint64
		starting bool
	}
	var order []head
	groups := map[head]Tasks{}
	for _, h := range e.Held {
		k := head{machines[h.Machine].Num, h.Attempt, h.Starting}
		g, ok := groups[k]
		if !ok {
			order = append(order, k)
		}
		groups[k] = g.With(h.Task)
	}
	for _, k := range order {
		b = strconv.AppendInt(append(b, ' '), int64(k.num), 36)
		b = strconv.AppendUint(append(b, separator(k.starting)), k.attempt, 36)
		if g := groups[k]; len(g) != 1 || g[0] != (Span{0, 1}) {
			b = g.append(append(b, ':'))
		}
	}
	return string(b)
}

// separator stands between a machine's number and the attempt's.
func separator(starting bool) byte {
	if starting {
		return '!'
	}
	return '@'
}

// StartingBound is what an attempt takes at most by being marked apart from others that began
// together with it: a head of its own.
const StartingBound = 14

// Bound tells how large the shard can get without another assignment: as its
// attempts end in any order, ranges of them fall apart. Whatever becomes of what
// is assigned must always find room in the record.
func (p *Shard) Bound() int {
	_, size := p.Encode()
	for _, e := range p.Jobs {
		if len(e.Held) > 0 {
			size += 2
		}
		for _, h := range e.Held {
			size += TaskBound(h.Task)
			if h.Starting {
				size += StartingBound
			}
		}
	}
	return size
}

// TaskBound is what one task's number takes at most.
func TaskBound(task int) int {
	n := 2
	for ; task >= 10; task /= 10 {
		n++
	}
	return n
}

// DecodeShard reads a stored shard; entries that stand in old unchanged are shared
// with it.
func DecodeShard(raw protocol.Raw, old *Shard) (*Shard, error) {
	var rec pageRecord
	if err := protocol.Unmarshal(raw, &rec); err != nil {
		return nil, err
	}
	p := &Shard{Owner: rec.Owner, Incarnation: rec.Incarnation, Claim: rec.Claim,
		Machines: map[string]*ShardMachine{}, Jobs: map[string]*ShardJob{}}
	bad := func(what string) error { return fmt.Errorf("page with a bad entry %q", what) }
	byNum := map[int]string{}
	lastID, lastEnd := "", ""
	for _, entry := range split(rec.Machines) {
		f := strings.Split(entry, " ")
		if len(f) < 5 {
			return nil, bad(entry)
		}
		num, err1 := strconv.ParseInt(f[0], 36, 32)
		kind, err2 := strconv.ParseInt(f[3], 36, 32)
		id, ok1 := unfront(lastID, f[1])
		end, ok2 := unfront(lastEnd, f[2])
		if err1 != nil || err2 != nil || kind < 0 || int(kind) >= len(rec.Kinds) || !ok1 || !ok2 || id == "" {
			return nil, bad(entry)
		}
		lastID, lastEnd = id, end
		k := rec.Kinds[kind]
		m := &ShardMachine{
			Num: int(num), Type: k.Type, Zone: k.Zone, Spot: k.Spot, Endpoint: end, State: MachineState(f[4]),
		}
		if len(f) > 5 {
			c, err := strconv.ParseUint(f[5], 36, 64)
			if err != nil {
				return nil, bad(entry)
			}
			m.Claim = c
		}
		if byNum[m.Num] != "" || p.Machines[id] != nil {
			return nil, bad(entry)
		}
		byNum[m.Num] = id
		p.Machines[id] = m
		if old != nil && old.Machines[id] != nil {
			if o := old.Machines[id]; *o == *m {
				p.Machines[id] = o
			}
		}
	}
	// Numbers are names within the shard: only while they mean the same machines
	// does the same text mean the same.
	same := old != nil
	if same {
		for id, o := range old.Machines {
			if other, ok := byNum[o.Num]; ok && other != id {
				same = false
				break
			}
		}
	}
	lastID = ""
	for _, entry := range split(rec.Jobs) {
		head, rest, _ := strings.Cut(entry, " ")
		id, ok := unfront(lastID, head)
		if !ok || id == "" || p.Jobs[id] != nil {
			return nil, bad(entry)
		}
		lastID = id
		text := entry[len(head):]
		if same {
			if o := old.Jobs[id]; o != nil && o.text == text {
				p.Jobs[id] = o
				continue
			}
		}
		e := &ShardJob{text: text}
		for _, f := range strings.Fields(rest) {
			if done, ok := strings.CutPrefix(f, "d"); ok && !strings.ContainsAny(f, "@!") {
				t, err := parseTasks(done, protocol.MaxTasks)
				if err != nil {
					return nil, err
				}
				e.Done = t
				continue
			}
			head, tasks, listed := strings.Cut(f, ":")
			if !listed {
				tasks = "0"
			}
			num, attempt, ok2 := strings.Cut(head, "@")
			starting := !ok2
			if starting {
				num, attempt, ok2 = strings.Cut(head, "!")
			}
			n, err1 := strconv.ParseInt(num, 36, 32)
			a, err2 := strconv.ParseUint(attempt, 36, 64)
			t, err3 := parseTasks(tasks, protocol.MaxTasks)
			if !ok2 || err1 != nil || err2 != nil || err3 != nil || byNum[int(n)] == "" {
				return nil, bad(entry)
			}
			t.Each(func(i int) { e.Held = append(e.Held, Held{i, byNum[int(n)], a, starting}) })
		}
		sort.Slice(e.Held, func(a, b int) bool { return e.Held[a].Task < e.Held[b].Task })
		p.Jobs[id] = e
	}
	return p, nil
}

func split(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ";")
}

func sortedNames[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
