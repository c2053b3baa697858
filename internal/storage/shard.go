package storage

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
)

// MachineState is where a machine stands.
type MachineState string

// States of a machine. A closing machine is the part's own affair and not kept.
const (
	MachineOpen        MachineState = "o"
	MachineUnreachable MachineState = "q" // out of reach just now: no room, no supply
	MachineCordoned    MachineState = "c" // selected by a drain: no new tasks as long as the drain lasts
	MachineDraining    MachineState = "d" // no new tasks ever again
	MachineRemoving    MachineState = "r" // for the leader to give back
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
	Number   int // its short name within the shard
	Type     string
	Zone     string
	Spot     bool
	Endpoint string
	State    MachineState
	Claim    uint64 // when above the shard's: it came from another partition's shard
}

// ShardJob is what a shard holds of a job.
type ShardJob struct {
	Completed TaskSet
	Attempts  []Attempt // ordered by task
	encoded   string    // its stored form but for the id, to tell what changed
}

// Attempt is an attempt on a machine.
type Attempt struct {
	Task    int
	Machine string
	Number  uint64
	// Starting says that the attempt isn't known to be running yet. It is kept only for
	// replicas whose availability is watched, see package drain.
	Starting bool
}

// SameAs tells whether two entries are of one attempt on one machine.
func (h Attempt) SameAs(o Attempt) bool {
	return h.Task == o.Task && h.Machine == o.Machine && h.Number == o.Number
}

// ClaimOf gives the claim number under which a machine of the shard is held.
func (p *Shard) ClaimOf(m *ShardMachine) uint64 { return max(p.Claim, m.Claim) }

// Clone copies a shard so that a change can be prepared; the entries are shared
// and must be replaced rather than changed.
func (p *Shard) Clone() *Shard {
	clone := *p
	clone.Machines = make(map[string]*ShardMachine, len(p.Machines)+1)
	for k, v := range p.Machines {
		clone.Machines[k] = v
	}
	clone.Jobs = make(map[string]*ShardJob, len(p.Jobs)+1)
	for k, v := range p.Jobs {
		clone.Jobs[k] = v
	}
	return &clone
}

// AddMachine puts a machine into the shard under the lowest free number.
func (p *Shard) AddMachine(id string, m ShardMachine) {
	used := make(map[int]bool, len(p.Machines))
	for _, o := range p.Machines {
		used[o.Number] = true
	}
	m.Number = 0
	for used[m.Number] {
		m.Number++
	}
	p.Machines[id] = &m
}

// SetMachineState replaces a machine's state.
func (p *Shard) SetMachineState(id string, state MachineState) {
	m := *p.Machines[id]
	m.State = state
	p.Machines[id] = &m
}

// Assign gives a task to a machine.
func (p *Shard) Assign(job string, a Attempt) {
	old := p.Jobs[job]
	if old == nil {
		old = &ShardJob{}
	}
	k := sort.Search(len(old.Attempts), func(i int) bool { return old.Attempts[i].Task >= a.Task })
	held := make([]Attempt, 0, len(old.Attempts)+1)
	held = append(append(append(held, old.Attempts[:k]...), a), old.Attempts[k:]...)
	p.Jobs[job] = &ShardJob{Completed: old.Completed, Attempts: held}
}

// Release takes an attempt off; done: the task is completed.
func (p *Shard) Release(job string, task int, done bool) {
	old := p.Jobs[job]
	if old == nil {
		return
	}
	next := &ShardJob{Completed: old.Completed, Attempts: make([]Attempt, 0, len(old.Attempts))}
	for _, a := range old.Attempts {
		if a.Task != task {
			next.Attempts = append(next.Attempts, a)
		}
	}
	if done {
		next.Completed = next.Completed.With(task)
	}
	if len(next.Attempts) == 0 && len(next.Completed) == 0 {
		delete(p.Jobs, job)
		return
	}
	p.Jobs[job] = next
}

// FindAttempt gives the entry of a task that the shard holds.
func (p *Shard) FindAttempt(job string, task int) (Attempt, bool) {
	entry := p.Jobs[job]
	if entry == nil {
		return Attempt{}, false
	}
	k := sort.Search(len(entry.Attempts), func(i int) bool { return entry.Attempts[i].Task >= task })
	if k == len(entry.Attempts) || entry.Attempts[k].Task != task {
		return Attempt{}, false
	}
	return entry.Attempts[k], true
}

// MarkStarting sets whether a held attempt is known to be running.
func (p *Shard) MarkStarting(job string, task int, starting bool) {
	old := p.Jobs[job]
	if old == nil {
		return
	}
	next := &ShardJob{Completed: old.Completed, Attempts: append([]Attempt(nil), old.Attempts...)}
	for i := range next.Attempts {
		if next.Attempts[i].Task == task {
			next.Attempts[i].Starting = starting
		}
	}
	p.Jobs[job] = next
}

// shardRecord is a shard as stored. What is counted is its JSON form, and every
// change of a task is a change of a shard: so machines and jobs are packed text.
//
//	machines: "num id endpoint kind state [claim]" joined by ";"
//	jobs: "id dDONE num@attempt:TASKS ..." joined by ";", ":0" left out; "!" in place of "@"
//	says that the attempts are starting
//
// Ids and endpoints are written as how many characters they share with the one
// before, and the rest: see front.
type shardRecord struct {
	Owner        string        `msgpack:"o"`
	Incarnation  uint64        `msgpack:"i"`
	Claim        uint64        `msgpack:"c"`
	MachineKinds []machineKind `msgpack:"k"`
	Machines     string        `msgpack:"m"`
	Jobs         string        `msgpack:"j"`
}

type machineKind struct {
	//lint:ignore U1000 the msgpack library reads it through reflection
	_msgpack struct{} `msgpack:",as_array"`
	Type     string
	Zone     string
	Spot     bool
}

// Encode gives the stored form and its size as the state service counts it (an
// upper bound).
func (p *Shard) Encode() (protocol.Raw, int) {
	record := shardRecord{Owner: p.Owner, Incarnation: p.Incarnation, Claim: p.Claim}
	kinds := map[machineKind]int{}
	var text []byte
	lastID, lastEndpoint := "", ""
	for _, id := range sortedmap.Keys(p.Machines) {
		m := p.Machines[id]
		k := machineKind{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
		n, ok := kinds[k]
		if !ok {
			n = len(record.MachineKinds)
			kinds[k] = n
			record.MachineKinds = append(record.MachineKinds, k)
		}
		if len(text) > 0 {
			text = append(text, ';')
		}
		text = strconv.AppendInt(text, int64(m.Number), 36)
		text = appendPrefixCompressed(append(text, ' '), lastID, id)
		text = appendPrefixCompressed(append(text, ' '), lastEndpoint, m.Endpoint)
		lastID, lastEndpoint = id, m.Endpoint
		text = strconv.AppendInt(append(text, ' '), int64(n), 36)
		text = append(append(text, ' '), m.State...)
		if m.Claim > p.Claim {
			text = strconv.AppendUint(append(text, ' '), m.Claim, 36)
		}
	}
	record.Machines = string(text)
	text, lastID = text[:0:0], ""
	for _, id := range sortedmap.Keys(p.Jobs) {
		if len(text) > 0 {
			text = append(text, ';')
		}
		e := p.Jobs[id]
		if e.encoded == "" {
			e.encoded = e.encode(p.Machines)
		}
		text = append(appendPrefixCompressed(text, lastID, id), e.encoded...)
		lastID = id
	}
	record.Jobs = string(text)
	size := 120 + len(p.Owner) + len(record.Machines) + len(record.Jobs)
	for _, k := range record.MachineKinds {
		size += len(k.Type) + len(k.Zone) + 14
	}
	return protocol.MustMarshal(&record), size
}

// appendPrefixCompressed appends s as the number of characters that it shares with last, one digit
// of base 36, and the rest.
func appendPrefixCompressed(text []byte, last, s string) []byte {
	n := 0
	for n < 35 && n < len(last) && n < len(s) && last[n] == s[n] {
		n++
	}
	return append(strconv.AppendInt(text, int64(n), 36), s[n:]...)
}

// expandPrefix reads what front has written.
func expandPrefix(last, s string) (string, bool) {
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
	text := make([]byte, 0, 64)
	if len(e.Completed) > 0 {
		text = e.Completed.appendText(append(text, " d"...))
	}
	// Attempts on one machine that began together share their head.
	type head struct {
		num      int
		attempt  uint64
		starting bool
	}
	var order []head
	groups := map[head]TaskSet{}
	for _, a := range e.Attempts {
		k := head{machines[a.Machine].Number, a.Number, a.Starting}
		g, ok := groups[k]
		if !ok {
			order = append(order, k)
		}
		groups[k] = g.With(a.Task)
	}
	for _, k := range order {
		text = strconv.AppendInt(append(text, ' '), int64(k.num), 36)
		text = strconv.AppendUint(append(text, attemptSeparator(k.starting)), k.attempt, 36)
		if g := groups[k]; len(g) != 1 || g[0] != (Interval{0, 1}) {
			text = g.appendText(append(text, ':'))
		}
	}
	return string(text)
}

// attemptSeparator stands between a machine's number and the attempt's.
func attemptSeparator(starting bool) byte {
	if starting {
		return '!'
	}
	return '@'
}

// MaxStartingBytes is what an attempt takes at most by being marked apart from others that began
// together with it: a head of its own.
const MaxStartingBytes = 14

// MaxEncodedSize tells how large the shard can get without another assignment: as its
// attempts end in any order, ranges of them fall apart. Whatever becomes of what
// is assigned must always find room in the record.
func (p *Shard) MaxEncodedSize() int {
	_, size := p.Encode()
	for _, e := range p.Jobs {
		if len(e.Attempts) > 0 {
			size += 2
		}
		for _, a := range e.Attempts {
			size += MaxTaskBytes(a.Task)
			if a.Starting {
				size += MaxStartingBytes
			}
		}
	}
	return size
}

// MaxTaskBytes is what one task's number takes at most.
func MaxTaskBytes(task int) int {
	n := 2
	for ; task >= 10; task /= 10 {
		n++
	}
	return n
}

// DecodeShard reads a stored shard; entries that stand in old unchanged are shared
// with it.
func DecodeShard(raw protocol.Raw, old *Shard) (*Shard, error) {
	var record shardRecord
	if err := protocol.Unmarshal(raw, &record); err != nil {
		return nil, err
	}
	s := &Shard{Owner: record.Owner, Incarnation: record.Incarnation, Claim: record.Claim,
		Machines: map[string]*ShardMachine{}, Jobs: map[string]*ShardJob{}}
	malformed := func(what string) error { return fmt.Errorf("page with a bad entry %q", what) }
	byNumber := map[int]string{}
	lastID, lastEndpoint := "", ""
	for _, entry := range splitEntries(record.Machines) {
		columns := strings.Split(entry, " ")
		if len(columns) < 5 {
			return nil, malformed(entry)
		}
		num, err1 := strconv.ParseInt(columns[0], 36, 32)
		kind, err2 := strconv.ParseInt(columns[3], 36, 32)
		id, ok1 := expandPrefix(lastID, columns[1])
		endpoint, ok2 := expandPrefix(lastEndpoint, columns[2])
		if err1 != nil || err2 != nil || kind < 0 || int(kind) >= len(record.MachineKinds) || !ok1 || !ok2 ||
			id == "" {
			return nil, malformed(entry)
		}
		lastID, lastEndpoint = id, endpoint
		k := record.MachineKinds[kind]
		m := &ShardMachine{
			Number: int(
				num,
			), Type: k.Type, Zone: k.Zone, Spot: k.Spot, Endpoint: endpoint, State: MachineState(columns[4]),
		}
		if len(columns) > 5 {
			c, err := strconv.ParseUint(columns[5], 36, 64)
			if err != nil {
				return nil, malformed(entry)
			}
			m.Claim = c
		}
		if byNumber[m.Number] != "" || s.Machines[id] != nil {
			return nil, malformed(entry)
		}
		byNumber[m.Number] = id
		s.Machines[id] = m
		if old != nil && old.Machines[id] != nil {
			if o := old.Machines[id]; *o == *m {
				s.Machines[id] = o
			}
		}
	}
	// Numbers are names within the shard: only while they mean the same machines
	// does the same text mean the same.
	same := old != nil
	if same {
		for id, o := range old.Machines {
			if other, ok := byNumber[o.Number]; ok && other != id {
				same = false
				break
			}
		}
	}
	lastID = ""
	for _, entry := range splitEntries(record.Jobs) {
		head, rest, _ := strings.Cut(entry, " ")
		id, ok := expandPrefix(lastID, head)
		if !ok || id == "" || s.Jobs[id] != nil {
			return nil, malformed(entry)
		}
		lastID = id
		text := entry[len(head):]
		if same {
			if o := old.Jobs[id]; o != nil && o.encoded == text {
				s.Jobs[id] = o
				continue
			}
		}
		e := &ShardJob{encoded: text}
		for _, f := range strings.Fields(rest) {
			if done, ok := strings.CutPrefix(f, "d"); ok && !strings.ContainsAny(f, "@!") {
				t, err := parseTaskSet(done, protocol.MaxTasks)
				if err != nil {
					return nil, err
				}
				e.Completed = t
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
			t, err3 := parseTaskSet(tasks, protocol.MaxTasks)
			if !ok2 || err1 != nil || err2 != nil || err3 != nil || byNumber[int(n)] == "" {
				return nil, malformed(entry)
			}
			t.Each(func(i int) { e.Attempts = append(e.Attempts, Attempt{i, byNumber[int(n)], a, starting}) })
		}
		sort.Slice(e.Attempts, func(a, b int) bool { return e.Attempts[a].Task < e.Attempts[b].Task })
		s.Jobs[id] = e
	}
	return s, nil
}

func splitEntries(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ";")
}
