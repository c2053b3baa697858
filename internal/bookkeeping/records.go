// Package bookkeeping is what the service keeps in the state service: its
// records, the mirror of them that every controller holds, and the budgets that
// pace the calls.
package bookkeeping

import (
	"fmt"
	"strconv"
	"strings"

	"pipitgap/internal/protocol"
)

// Root is the prefix of every key of the service.
const Root = "gap/"

// Kinds of records, as they stand in the keys.
const (
	KindJob     = "job"     // the answer for a job, kept for ever
	KindOpen    = "open"    // an unfinished job: its description, owner and status
	KindRun     = "run"     // a chunk of an unfinished job's tasks
	KindMachine = "machine" // a claimed machine
	KindType    = "type"    // a machine type, for starts during the cloud's outages
	KindTeam    = "team"    // the fence of a team with a limit
	KindAsk     = "ask"     // a rental request
	KindRemoval = "removal" // a machine being given back
	KindMember  = "member"  // a live controller
	KindLead    = "lead"    // the leading controller
)

// Key builds a key.
func Key(kind, name string) string { return Root + kind + "/" + name }

// LeadKey is the one key of its kind.
const LeadKey = Root + KindLead + "/er"

// RowKey is the key of a chunk of tasks.
func RowKey(job string, chunk int) string { return Key(KindRun, job+"/"+strconv.Itoa(chunk)) }

// SplitKey takes a key apart; ok is false for keys that aren't the service's.
func SplitKey(key string) (kind, name string, ok bool) {
	rest, ok := strings.CutPrefix(key, Root)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}

// SplitRow takes the name of a row apart.
func SplitRow(name string) (job string, chunk int, ok bool) {
	job, c, ok := strings.Cut(name, "/")
	if !ok {
		return "", 0, false
	}
	n, err := strconv.Atoi(c)
	return job, n, err == nil && n >= 0
}

// JobStatus is where a job stands.
type JobStatus string

// Statuses of a job.
const (
	Open      JobStatus = "open"
	Done      JobStatus = "done"
	Cancelled JobStatus = "cancelled"
)

// Answer is the record of KindJob.
type Answer struct {
	Status JobStatus `msgpack:"s"`
}

// OpenJob is the record of KindOpen.
type OpenJob struct {
	Spec   Spec      `msgpack:"j"`
	Status JobStatus `msgpack:"s"`
	Owner  string    `msgpack:"o"`
	At     int64     `msgpack:"t"` // time of day of the acceptance, microseconds
	Chunk  int       `msgpack:"c"` // tasks a row
	Fence  int       `msgpack:"f,omitempty"`
}

// Spec is a submission in short.
type Spec struct {
	Class       string   `msgpack:"l"`
	Team        string   `msgpack:"t"`
	Service     bool     `msgpack:"s,omitempty"`
	Priority    int      `msgpack:"r"`
	Tasks       int      `msgpack:"n"`
	CPUs        float64  `msgpack:"c"`
	GPUs        float64  `msgpack:"g,omitempty"`
	MemoryGB    float64  `msgpack:"m"`
	Image       string   `msgpack:"i"`
	ImageGB     float64  `msgpack:"ig"`
	Types       []string `msgpack:"y,omitempty"`
	Zone        string   `msgpack:"z,omitempty"`
	OneZone     bool     `msgpack:"oz,omitempty"`
	Spread      bool     `msgpack:"sp,omitempty"`
	Spot        bool     `msgpack:"b,omitempty"`
	EstimateS   float64  `msgpack:"e"`
	CheckpointS float64  `msgpack:"k,omitempty"`
	SaveS       float64  `msgpack:"v,omitempty"`
	DeadlineS   float64  `msgpack:"d,omitempty"`
}

// SpecOf shortens a submission.
func SpecOf(s *protocol.Submission) Spec {
	return Spec{
		Class: s.Class, Team: s.Team, Service: s.Service, Priority: int(s.Priority), Tasks: s.Tasks,
		CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Image: s.Image, ImageGB: s.ImageGB,
		Types: s.Types, Zone: s.Zone, OneZone: s.OneZone, Spread: s.Spread, Spot: s.Spot,
		EstimateS: s.EstimateS, CheckpointS: s.CheckpointS, SaveS: s.SaveS, DeadlineS: s.DeadlineS,
	}
}

// TaskState is where a task stands.
type TaskState uint8

// States of a task.
const (
	TaskPending TaskState = iota
	TaskAssigned
	TaskDone
)

// Task is one task of a row. Attempt is the last one given out.
type Task struct {
	State   TaskState
	Attempt uint32
	Machine string
}

// Row is the record of KindRun in memory.
type Row struct {
	Owner string
	Tasks []Task
}

// rowRecord is a row as stored: runs of done tasks, then the assigned ones, then
// the pending ones that have been tried. What isn't named is pending, untried.
type rowRecord struct {
	Owner    string     `msgpack:"o"`
	Done     []int      `msgpack:"d,omitempty"` // first, length, first, length
	Assigned []assigned `msgpack:"a,omitempty"`
	Tried    []int      `msgpack:"p,omitempty"` // index, attempt, index, attempt
}

type assigned struct {
	_msgpack struct{} `msgpack:",as_array"`
	Index    int
	Attempt  uint32
	Machine  string
}

// RowTaskBytes is an upper bound of what one task takes in a stored row, in the
// JSON form in which the state service counts.
const RowTaskBytes = 40

// Encode gives the stored form.
func (r *Row) Encode() protocol.Raw {
	rec := rowRecord{Owner: r.Owner}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		switch t.State {
		case TaskDone:
			if n := len(rec.Done); n > 0 && rec.Done[n-2]+rec.Done[n-1] == i {
				rec.Done[n-1]++
			} else {
				rec.Done = append(rec.Done, i, 1)
			}
		case TaskAssigned:
			rec.Assigned = append(rec.Assigned, assigned{Index: i, Attempt: t.Attempt, Machine: t.Machine})
		case TaskPending:
			if t.Attempt > 0 {
				rec.Tried = append(rec.Tried, i, int(t.Attempt))
			}
		}
	}
	return protocol.MustMarshal(&rec)
}

// DecodeRow reads a stored row of n tasks.
func DecodeRow(raw protocol.Raw, n int) (*Row, error) {
	var rec rowRecord
	if err := protocol.Unmarshal(raw, &rec); err != nil {
		return nil, err
	}
	r := &Row{Owner: rec.Owner, Tasks: make([]Task, n)}
	bad := fmt.Errorf("row of %d tasks names others", n)
	for i := 0; i+1 < len(rec.Done); i += 2 {
		first, length := rec.Done[i], rec.Done[i+1]
		if first < 0 || length < 0 || first > n-length {
			return nil, bad
		}
		for k := first; k < first+length; k++ {
			r.Tasks[k].State = TaskDone
		}
	}
	for _, a := range rec.Assigned {
		if a.Index < 0 || a.Index >= n {
			return nil, bad
		}
		r.Tasks[a.Index] = Task{State: TaskAssigned, Attempt: a.Attempt, Machine: a.Machine}
	}
	for i := 0; i+1 < len(rec.Tried); i += 2 {
		if rec.Tried[i] < 0 || rec.Tried[i] >= n {
			return nil, bad
		}
		r.Tasks[rec.Tried[i]].Attempt = uint32(rec.Tried[i+1])
	}
	return r, nil
}

// Clone copies a row, so that a change can be prepared beside the mirror.
func (r *Row) Clone() *Row {
	return &Row{Owner: r.Owner, Tasks: append([]Task(nil), r.Tasks...)}
}

// MachineState is where a machine stands.
type MachineState string

// States of a machine.
const (
	MachineOpen     MachineState = "open"
	MachineClosing  MachineState = "closing"  // empty, no new tasks, may be reopened
	MachineDraining MachineState = "draining" // no new tasks ever again
	MachineRemoving MachineState = "removing" // a removal record exists
	MachineGone     MachineState = "gone"     // proven gone, tasks not released yet
)

// Machine is the record of KindMachine.
type Machine struct {
	Owner       string       `msgpack:"o"`
	Incarnation uint64       `msgpack:"i"`
	Claim       uint64       `msgpack:"c"`
	Type        string       `msgpack:"y"`
	Zone        string       `msgpack:"z"`
	Spot        bool         `msgpack:"b,omitempty"`
	Endpoint    string       `msgpack:"e"`
	State       MachineState `msgpack:"s"`
}

// TeamFence is the record of KindTeam: every assignment of a limited team
// rewrites it, so two parts can't both use the last of the limit.
type TeamFence struct {
	Count uint64 `msgpack:"n"`
}

// AskPhase is where a rental request stands.
type AskPhase string

// Phases of a rental request. Ready and refused asks are dropped.
const (
	AskPending      AskPhase = "pending"
	AskProvisioning AskPhase = "provisioning"
	AskUnmet        AskPhase = "unmet"
)

// Ask is the record of KindAsk.
type Ask struct {
	Phase    AskPhase `msgpack:"p"`
	Type     string   `msgpack:"y"`
	Zone     string   `msgpack:"z"`
	Spot     bool     `msgpack:"b,omitempty"`
	Count    int      `msgpack:"n"`
	Machines []string `msgpack:"m,omitempty"`
	At       int64    `msgpack:"t"` // time of day, microseconds
}

// Removal is the record of KindRemoval.
type Removal struct {
	Reason string `msgpack:"r"`
	Tries  int    `msgpack:"n"`
	Failed bool   `msgpack:"f,omitempty"`
}

// Type is the record of KindType.
type Type struct {
	CPUs        float64  `msgpack:"c"`
	GPUs        float64  `msgpack:"g"`
	MemoryGB    float64  `msgpack:"m"`
	CacheGB     float64  `msgpack:"k"`
	FetchGBPerS float64  `msgpack:"f"`
	Price       float64  `msgpack:"p"`
	SpotPrice   float64  `msgpack:"s"`
	BootS       float64  `msgpack:"b"`
	Zones       []string `msgpack:"z"`
}

// Member is the record of KindMember.
type Member struct {
	Incarnation uint64 `msgpack:"i"`
	Zone        string `msgpack:"z"`
}

// Lead is the record of KindLead.
type Lead struct {
	Node        string `msgpack:"o"`
	Incarnation uint64 `msgpack:"i"`
}
