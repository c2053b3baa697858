// Package coordination decides: membership, leadership, claims on machines,
// placement, the autoscaler and the answers to users. One actor owns all of its
// state; see Core.
package coordination

import (
	"math"
	"sort"
	"strconv"
	"strings"

	"pipitgap/internal/bookkeeping"
	"pipitgap/internal/protocol"
)

// taskRef names a task.
type taskRef struct {
	job   string
	index int
}

func (t taskRef) String() string { return t.job + "/" + strconv.Itoa(t.index) }

func parseTask(s string) (taskRef, bool) {
	job, n, ok := strings.Cut(s, "/")
	if !ok {
		return taskRef{}, false
	}
	i, err := strconv.Atoi(n)
	if err != nil || i < 0 {
		return taskRef{}, false
	}
	return taskRef{job, i}, true
}

// amount is what tasks take and machines have.
type amount struct{ cpus, gpus, mem float64 }

func (a amount) plus(b amount, n float64) amount {
	return amount{a.cpus + n*b.cpus, a.gpus + n*b.gpus, a.mem + n*b.mem}
}

// slack keeps sums of decimal amounts from refusing an exact fit.
const slack = 1e-6

func (a amount) fits(room amount) bool {
	return a.cpus <= room.cpus+slack && a.gpus <= room.gpus+slack && a.mem <= room.mem+slack
}

// count tells how many of a fit into room.
func (a amount) count(room amount) int {
	n := math.Inf(1)
	for _, p := range [][2]float64{{a.cpus, room.cpus}, {a.gpus, room.gpus}, {a.mem, room.mem}} {
		if p[0] > 0 {
			n = min(n, math.Floor((p[1]+slack)/p[0]))
		}
	}
	if n > protocol.MaxTasks {
		return protocol.MaxTasks
	}
	return max(0, int(n))
}

// job is an unfinished job in the mirror.
type job struct {
	id      string
	rec     bookkeeping.OpenJob
	version uint64 // 0: rows were seen, the job itself not yet, or no more
	rows    map[int]*row
	need    amount
	done    int
	held    int // assigned tasks
}

func (j *job) open() bool { return j.version != 0 && j.rec.Status == bookkeeping.Open }

// chunks tells how many rows the job's tasks make.
func (j *job) chunks() int {
	if j.rec.Chunk <= 0 {
		return 0
	}
	return (j.rec.Spec.Tasks + j.rec.Chunk - 1) / j.rec.Chunk
}

// chunkSize tells how many tasks a row has.
func (j *job) chunkSize(c int) int {
	return min(j.rec.Chunk, j.rec.Spec.Tasks-c*j.rec.Chunk)
}

// row is a chunk in the mirror. raw waits in it while the job is unknown.
type row struct {
	rec     *bookkeeping.Row
	raw     protocol.Raw
	version uint64
	pending int
	done    int
}

// machine is a claimed machine in the mirror, with what its tasks take.
type machine struct {
	id      string
	rec     bookkeeping.Machine
	version uint64
	used    amount
	tasks   map[taskRef]uint32 // attempts that the store holds here
	images  map[string]bool    // images that tasks have brought here, as far as we saw
	w       *worker            // only while it is ours
}

// View is the mirror of the store with the sums that decisions need. Changes
// reach it by the watch, in order, and by the core's own commits, which may be
// ahead of the watch; versions keep each key from going back.
type View struct {
	watched  uint64 // the watch is complete up to here
	jobs     map[string]*job
	machines map[string]*machine
	teams    map[string]uint64 // version of the fence
	teamUse  map[string]amount
	asks     map[string]*askView
	removals map[string]*removalView
	types    map[string]typeView
	members  map[string]memberView
	lead     bookkeeping.Lead
	leadVer  uint64
	deleted  map[string]uint64 // own deletions ahead of the watch
	finals   *finals
	touched  func(kind, name string)
}

type askView struct {
	rec     bookkeeping.Ask
	version uint64
}

type removalView struct {
	rec     bookkeeping.Removal
	version uint64
}

type typeView struct {
	rec     bookkeeping.Type
	version uint64
}

type memberView struct {
	rec     bookkeeping.Member
	version uint64
}

func newView(touched func(kind, name string)) *View {
	return &View{
		jobs: map[string]*job{}, machines: map[string]*machine{}, teams: map[string]uint64{},
		teamUse: map[string]amount{}, asks: map[string]*askView{}, removals: map[string]*removalView{},
		members: map[string]memberView{}, types: map[string]typeView{}, deleted: map[string]uint64{}, finals: newFinals(20000),
		touched: touched,
	}
}

// versionOf gives the version of a key in the mirror, 0 if it has none.
func (v *View) versionOf(key string) uint64 {
	kind, name, ok := bookkeeping.SplitKey(key)
	if !ok {
		return 0
	}
	switch kind {
	case bookkeeping.KindOpen:
		if j := v.jobs[name]; j != nil {
			return j.version
		}
	case bookkeeping.KindRun:
		if id, c, ok := bookkeeping.SplitRow(name); ok && v.jobs[id] != nil && v.jobs[id].rows[c] != nil {
			return v.jobs[id].rows[c].version
		}
	case bookkeeping.KindMachine:
		if m := v.machines[name]; m != nil {
			return m.version
		}
	case bookkeeping.KindTeam:
		return v.teams[name]
	case bookkeeping.KindAsk:
		if a := v.asks[name]; a != nil {
			return a.version
		}
	case bookkeeping.KindRemoval:
		if r := v.removals[name]; r != nil {
			return r.version
		}
	case bookkeeping.KindMember:
		return v.members[name].version
	case bookkeeping.KindType:
		return v.types[name].version
	case bookkeeping.KindLead:
		return v.leadVer
	}
	return 0
}

// put applies a change unless the mirror is newer already.
func (v *View) put(key string, value protocol.Raw, version uint64) {
	if version <= v.versionOf(key) || version <= v.deleted[key] {
		return
	}
	delete(v.deleted, key)
	kind, name, _ := bookkeeping.SplitKey(key)
	switch kind {
	case bookkeeping.KindJob:
		var a bookkeeping.Answer
		if protocol.Unmarshal(value, &a) == nil && a.Status != bookkeeping.Open {
			v.finals.add(name, a.Status)
		}
	case bookkeeping.KindOpen:
		var rec bookkeeping.OpenJob
		if protocol.Unmarshal(value, &rec) != nil || rec.Chunk <= 0 || rec.Spec.Tasks <= 0 {
			return
		}
		j := v.job(name)
		v.unsum(j)
		j.rec, j.version = rec, version
		j.need = amount{rec.Spec.CPUs, rec.Spec.GPUs, rec.Spec.MemoryGB}
		for c, r := range j.rows {
			if r.rec == nil {
				r.rec, _ = bookkeeping.DecodeRow(r.raw, max(0, j.chunkSize(c)))
				r.raw = nil
			}
		}
		v.sum(j)
	case bookkeeping.KindRun:
		id, c, ok := bookkeeping.SplitRow(name)
		if !ok {
			return
		}
		j := v.job(id)
		r := &row{version: version}
		if j.version == 0 {
			r.raw = value
			j.rows[c] = r
			break
		}
		rec, err := bookkeeping.DecodeRow(value, max(0, j.chunkSize(c)))
		if err != nil {
			return
		}
		r.rec = rec
		v.sumRow(j, c, -1)
		j.rows[c] = r
		v.sumRow(j, c, 1)
	case bookkeeping.KindMachine:
		var rec bookkeeping.Machine
		if protocol.Unmarshal(value, &rec) != nil {
			return
		}
		m := v.machine(name)
		m.rec, m.version = rec, version
	case bookkeeping.KindTeam:
		v.teams[name] = version
	case bookkeeping.KindAsk:
		a := &askView{version: version}
		if protocol.Unmarshal(value, &a.rec) == nil {
			v.asks[name] = a
		}
	case bookkeeping.KindRemoval:
		r := &removalView{version: version}
		if protocol.Unmarshal(value, &r.rec) == nil {
			v.removals[name] = r
		}
	case bookkeeping.KindType:
		t := typeView{version: version}
		if protocol.Unmarshal(value, &t.rec) == nil {
			v.types[name] = t
		}
	case bookkeeping.KindMember:
		m := memberView{version: version}
		if protocol.Unmarshal(value, &m.rec) == nil {
			v.members[name] = m
		}
	case bookkeeping.KindLead:
		var l bookkeeping.Lead
		if protocol.Unmarshal(value, &l) == nil {
			v.lead, v.leadVer = l, version
		}
	}
	v.touched(kind, name)
}

// drop applies a deletion. own: it is a commit of ours, ahead of the watch.
func (v *View) drop(key string, version uint64, own bool) {
	if own && version > v.watched {
		v.deleted[key] = version
	}
	have := v.versionOf(key)
	if have == 0 || have > version {
		return
	}
	kind, name, _ := bookkeeping.SplitKey(key)
	switch kind {
	case bookkeeping.KindOpen:
		j := v.jobs[name]
		v.unsum(j)
		j.version = 0
		// Rows go with their job, in the same commit or before it.
		delete(v.jobs, name)
	case bookkeeping.KindRun:
		id, c, _ := bookkeeping.SplitRow(name)
		j := v.jobs[id]
		v.sumRow(j, c, -1)
		delete(j.rows, c)
		if j.version == 0 && len(j.rows) == 0 {
			delete(v.jobs, id)
		}
	case bookkeeping.KindMachine:
		m := v.machines[name]
		m.version = 0
		if len(m.tasks) == 0 {
			delete(v.machines, name)
		}
	case bookkeeping.KindTeam:
		delete(v.teams, name)
	case bookkeeping.KindAsk:
		delete(v.asks, name)
	case bookkeeping.KindRemoval:
		delete(v.removals, name)
	case bookkeeping.KindType:
		delete(v.types, name)
	case bookkeeping.KindMember:
		delete(v.members, name)
	case bookkeeping.KindLead:
		v.lead, v.leadVer = bookkeeping.Lead{}, 0
	}
	v.touched(kind, name)
}

// applyTxn brings an own commit that succeeded into the mirror.
func (v *View) applyTxn(t *protocol.Txn, revision uint64) {
	for _, op := range t.Then {
		if op.Put != "" {
			v.put(op.Put, op.Value, revision)
		} else {
			v.drop(op.Delete, revision, true)
		}
	}
}

// applyEvents brings the result of a watch into the mirror.
func (v *View) applyEvents(events []protocol.Event, revision uint64) {
	for _, e := range events {
		if e.Put != "" {
			v.put(e.Put, e.Value, e.Version)
		} else {
			v.drop(e.Delete, e.Version, false)
		}
	}
	if revision > v.watched {
		v.watched = revision
	}
	for k, ver := range v.deleted {
		if ver <= v.watched {
			delete(v.deleted, k)
		}
	}
}

func (v *View) job(id string) *job {
	j := v.jobs[id]
	if j == nil {
		j = &job{id: id, rows: map[int]*row{}}
		v.jobs[id] = j
	}
	return j
}

func (v *View) machine(id string) *machine {
	m := v.machines[id]
	if m == nil {
		m = &machine{id: id, tasks: map[taskRef]uint32{}, images: map[string]bool{}}
		v.machines[id] = m
	}
	return m
}

func (v *View) sum(j *job) {
	for c := range j.rows {
		v.sumRow(j, c, 1)
	}
}

func (v *View) unsum(j *job) {
	if j.version == 0 {
		return
	}
	for c := range j.rows {
		v.sumRow(j, c, -1)
	}
}

// sumRow adds or takes away what a row's tasks use.
func (v *View) sumRow(j *job, c int, sign float64) {
	r := j.rows[c]
	if r == nil || r.rec == nil {
		return
	}
	r.pending, r.done = 0, 0
	for i := range r.rec.Tasks {
		t := &r.rec.Tasks[i]
		switch t.State {
		case bookkeeping.TaskDone:
			r.done++
			j.done += int(sign)
		case bookkeeping.TaskPending:
			r.pending++
		case bookkeeping.TaskAssigned:
			j.held += int(sign)
			ref := taskRef{j.id, c*j.rec.Chunk + i}
			m := v.machine(t.Machine)
			m.used = m.used.plus(j.need, sign)
			if sign > 0 {
				m.tasks[ref] = t.Attempt
				m.images[j.rec.Spec.Image] = true
			} else {
				delete(m.tasks, ref)
				if len(m.tasks) == 0 {
					m.used = amount{} // no rounding left behind
					if m.version == 0 {
						delete(v.machines, m.id)
					}
				}
			}
			team := j.rec.Spec.Team
			use := v.teamUse[team].plus(j.need, sign)
			if use.cpus < slack && use.gpus < slack && use.mem < slack {
				delete(v.teamUse, team)
			} else {
				v.teamUse[team] = use
			}
		}
	}
}

// finals remembers final answers, the oldest forgotten first: whatever is
// forgotten is read from the store again.
type finals struct {
	most  int
	m     map[string]bookkeeping.JobStatus
	order []string
}

func newFinals(most int) *finals { return &finals{most: most, m: map[string]bookkeeping.JobStatus{}} }

func (f *finals) add(id string, s bookkeeping.JobStatus) {
	if _, ok := f.m[id]; ok {
		return
	}
	f.m[id] = s
	f.order = append(f.order, id)
	if batch := f.most/16 + 1; len(f.order) >= f.most+batch {
		for _, old := range f.order[:batch] {
			delete(f.m, old)
		}
		f.order = append([]string(nil), f.order[batch:]...)
	}
}

func (f *finals) get(id string) (bookkeeping.JobStatus, bool) {
	s, ok := f.m[id]
	return s, ok
}

// sortedKeys gives a map's keys in order: decisions must not depend on the
// order of a map.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
