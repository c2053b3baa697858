// Package storage defines the records that the controllers keep in the state service: their keys, fields and
// encodings. No other package knows the stored names of keys and fields.
package storage

import (
	"slices"

	"pipitgap/internal/protocol"
)

// jsonSizeFactor is the approximate ratio of a value's size in JSON to its size in MessagePack.
const jsonSizeFactor = 2

// StoredSize estimates the size in bytes that the state service counts for an encoded record. The service
// measures a value in JSON and compares that size with its limit on values.
func StoredSize(encoded []byte) int { return jsonSizeFactor * len(encoded) }

// JobState is the state of a job.
type JobState string

// States of a job.
const (
	JobOpen      JobState = "open"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
)

// JobResult is the record of KindJobResult. A controller writes it exactly once, when the job is completed or
// cancelled.
type JobResult struct {
	State JobState `msgpack:"s"`
}

// OpenJob is the record of KindOpenJob. The shards record which of the job's tasks have attempts or are
// completed; a task that is in no shard is pending. A cancelled job has a JobResult, and its OpenJob record
// remains until the job has no attempts left.
type OpenJob struct {
	Spec       JobSpec     `msgpack:"j"`
	AcceptedAt int64       `msgpack:"t"` // time of acceptance: time of day, microseconds
	TaskRanges []TaskRange `msgpack:"p"`
}

// TaskRange names the partition that may place the pending tasks of a range on its machines.
// Every assignment of a task is conditional on the version of the OpenJob record that contains the range.
type TaskRange struct {
	//lint:ignore U1000 the msgpack library reads it through reflection
	_msgpack   struct{} `msgpack:",as_array"`
	First, End int
	Partition  string
}

// TaskRangeBytes is the maximum encoded size of one range in bytes, without the partition's name.
const TaskRangeBytes = 20

// AssignRange returns ranges in which the tasks in [first, end) belong to the given partition. It merges
// adjacent ranges of the same partition and does not modify its input.
func AssignRange(ranges []TaskRange, first, end int, partition string) []TaskRange {
	var out []TaskRange
	add := func(next TaskRange) {
		if next.First >= next.End {
			return
		}
		if n := len(out); n > 0 && out[n-1].Partition == next.Partition && out[n-1].End == next.First {
			out[n-1].End = next.End
			return
		}
		out = append(out, next)
	}
	inserted := false
	for _, old := range ranges {
		add(TaskRange{First: old.First, End: min(old.End, first), Partition: old.Partition})
		if !inserted && old.End > first {
			inserted = true
			add(TaskRange{First: first, End: end, Partition: partition})
		}
		add(TaskRange{First: max(old.First, end), End: old.End, Partition: old.Partition})
	}
	return out
}

// JobSpec is the part of a submission that is stored.
type JobSpec struct {
	Class        string   `msgpack:"l"` // job class
	Team         string   `msgpack:"t"`
	Service      bool     `msgpack:"s,omitempty"` // whether the job is a service; if not, it is an array
	Priority     int      `msgpack:"r"`
	Tasks        int      `msgpack:"n"`           // tasks of an array, replicas of a service
	CPUs         float64  `msgpack:"c"`           // of each task
	GPUs         float64  `msgpack:"g,omitempty"` // of each task
	MemoryGB     float64  `msgpack:"m"`           // of each task
	Image        string   `msgpack:"i"`
	ImageGB      float64  `msgpack:"ig"`           // size of the image
	MachineTypes []string `msgpack:"y,omitempty"`  // allowed machine types; nil: any
	Zone         string   `msgpack:"z,omitempty"`  // the only allowed zone; "": any
	OneZone      bool     `msgpack:"oz,omitempty"` // place all tasks in the same zone
	Spread       bool     `msgpack:"sp,omitempty"` // place at most half of the tasks, rounded up, in any one zone
	Spot         bool     `msgpack:"b,omitempty"`  // may run on spot machines
	EstimateS    float64  `msgpack:"e"`            // expected run time of a task, in seconds
	CheckpointS  float64  `msgpack:"k,omitempty"`  // seconds between two checkpoints; 0: no checkpoints
	SaveS        float64  `msgpack:"v,omitempty"`  // seconds that a checkpoint takes
	DeadlineS    float64  `msgpack:"d,omitempty"`  // deadline in seconds after acceptance; 0: none
}

// AllowsMachine reports whether the job's tasks may run on a machine type in a zone. The zone "" matches any
// zone.
func (s *JobSpec) AllowsMachine(machineType, zone string) bool {
	if s.MachineTypes != nil && !slices.Contains(s.MachineTypes, machineType) {
		return false
	}
	return s.Zone == "" || zone == "" || s.Zone == zone
}

// HasZoneRule reports whether the zones of the job's other tasks restrict where a task may run.
func (s *JobSpec) HasZoneRule() bool { return (s.OneZone || s.Spread) && s.Tasks > 1 }

// JobSpecOf returns the JobSpec to store for a submission.
func JobSpecOf(s *protocol.Submission) JobSpec {
	return JobSpec{
		Class: s.Class, Team: s.Team, Service: s.Service, Priority: int(s.Priority), Tasks: s.Tasks,
		CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Image: s.Image, ImageGB: s.ImageGB,
		MachineTypes: s.Types, Zone: s.Zone, OneZone: s.OneZone, Spread: s.Spread, Spot: s.Spot,
		EstimateS: s.EstimateS, CheckpointS: s.CheckpointS, SaveS: s.SaveS, DeadlineS: s.DeadlineS,
	}
}

// Partition is the record of KindPartition. For each team with a limit, the attempts in a partition's shards
// use at most the partition's quota share, and the shares of all partitions add up to at most the team's
// limit. A commit that raises a share is conditional on every partition's record being unchanged. Assignments
// therefore do not need to compare a record that all partitions share.
type Partition struct {
	QuotaShares map[string]QuotaShare `msgpack:"s"` // by team
}

// QuotaShare is a partition's share of a team's limit.
type QuotaShare struct {
	//lint:ignore U1000 the msgpack library reads it through reflection
	_msgpack   struct{} `msgpack:",as_array"`
	CPUs, GPUs float64
}

// ScaleOutPhase is the phase of a scale-out request.
type ScaleOutPhase string

// Phases of a scale-out request. Its record is deleted once all its machines are up, or the removal of those
// that aren't up in time is requested, or in phase ScaleOutNoCapacity the quarantine of the offer ends. A
// request that the cloud rejects gets that phase too.
const (
	ScaleOutPending      ScaleOutPhase = "pending"
	ScaleOutProvisioning ScaleOutPhase = "provisioning"
	ScaleOutNoCapacity   ScaleOutPhase = "unmet"
)

// ScaleOutRequest is the record of KindScaleOut. While the machines start, it determines which controller may
// claim each machine: the controller named in DesignatedControllers, or else the machine's rendezvous-hash
// owner among the controllers in LiveControllers. A claim is conditional on the record's version.
type ScaleOutRequest struct {
	Phase                 ScaleOutPhase     `msgpack:"p"`
	MachineType           string            `msgpack:"y"`
	Zone                  string            `msgpack:"z"`
	Spot                  bool              `msgpack:"b,omitempty"` // spot instances
	Count                 int               `msgpack:"n"`           // machines requested
	Machines              []string          `msgpack:"m,omitempty"` // ids of the machines that the cloud created
	LiveControllers       []string          `msgpack:"l,omitempty"` // controllers when the record was written
	DesignatedControllers map[string]string `msgpack:"w,omitempty"` // by machine: the controller that may claim it
	PhaseSince            int64             `msgpack:"t"`           // start of the phase: time of day, microseconds
}

// ScaleInRequest is the record of KindScaleIn: machines that one cloud call deletes together. The leader
// writes it before that call. After the cloud confirms the deletion, Deleted is set: the machines and all
// attempts on them no longer exist. The record then stays for a while, so that controllers reject late
// heartbeats from these machines.
type ScaleInRequest struct {
	Machines    []string `msgpack:"m"`
	StateSince  int64    `msgpack:"t"`           // creation, or confirmed deletion: time of day, microseconds
	FailedCalls int      `msgpack:"n,omitempty"` // number of failed cloud calls
	Failed      bool     `msgpack:"f,omitempty"` // several calls failed; the call is retried at long intervals
	Deleted     bool     `msgpack:"g,omitempty"` // the cloud has confirmed the deletion
}

// MachineType is the record of KindMachineType: a machine type as listed in the cloud's catalog.
type MachineType struct {
	CPUs          float64  `msgpack:"c"`
	GPUs          float64  `msgpack:"g"`
	MemoryGB      float64  `msgpack:"m"`
	CacheGB       float64  `msgpack:"k"` // local storage for images
	FetchGBPerS   float64  `msgpack:"f"` // download rate of images
	OnDemandPrice float64  `msgpack:"p"`
	SpotPrice     float64  `msgpack:"s"`
	BootS         float64  `msgpack:"b"` // seconds from the creation request until a machine is up
	Zones         []string `msgpack:"z"`
}

// Member is the record of KindMember: a live controller. The record is attached to the controller's lease:
// the state service deletes it when the lease ends.
type Member struct {
	Incarnation uint64 `msgpack:"i"` // of the controller
	Zone        string `msgpack:"z"`
}

// Leader is the record of KindLeader.
type Leader struct {
	Node        string `msgpack:"o"` // the controller that is the leader
	Incarnation uint64 `msgpack:"i"` // of that controller
}
