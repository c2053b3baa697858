// Package storage defines the records that the controllers keep in the state service: their keys, their
// fields and their encodings. It is the only package that knows the stored names.
package storage

import (
	"slices"

	"pipitgap/internal/protocol"
)

// jsonSizeFactor is about how much larger a value is in JSON than in its packed form.
const jsonSizeFactor = 2

// StoredSize estimates the bytes of an encoded record as the state service counts them against the limit of
// a value, which is in JSON.
func StoredSize(encoded []byte) int { return jsonSizeFactor * len(encoded) }

// JobState is the state of a job.
type JobState string

// States of a job.
const (
	JobOpen      JobState = "open"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
)

// JobResult is the record of KindJobResult. It is written, once, when the job is over.
type JobResult struct {
	State JobState `msgpack:"s"`
}

// OpenJob is the record of KindOpenJob. The shards hold which of the job's tasks have attempts or are
// completed; a task that no shard names is pending. A cancelled job has a JobResult and keeps this
// record until all of its attempts are gone.
type OpenJob struct {
	Spec       JobSpec     `msgpack:"j"`
	AcceptedAt int64       `msgpack:"t"` // time of day of the acceptance, microseconds
	TaskRanges []TaskRange `msgpack:"p"`
}

// TaskRange says which partition places the pending tasks of a range on its machines.
// Every assignment is conditional on the version of the record that says so.
type TaskRange struct {
	//lint:ignore U1000 the msgpack library reads it through reflection
	_msgpack   struct{} `msgpack:",as_array"`
	First, End int
	Partition  string
}

// TaskRangeBytes is what one range takes in a record at most, in bytes, beside the partition's name.
const TaskRangeBytes = 20

// AssignRange assigns the tasks from first up to but not including end to a partition, and joins adjacent
// ranges of one partition. The ranges given aren't changed.
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

// JobSpec is what is stored of a submission.
type JobSpec struct {
	Class        string   `msgpack:"l"` // job class
	Team         string   `msgpack:"t"`
	Service      bool     `msgpack:"s,omitempty"` // a service; otherwise an array
	Priority     int      `msgpack:"r"`
	Tasks        int      `msgpack:"n"`           // tasks of an array, replicas of a service
	CPUs         float64  `msgpack:"c"`           // of each task
	GPUs         float64  `msgpack:"g,omitempty"` // of each task
	MemoryGB     float64  `msgpack:"m"`           // of each task
	Image        string   `msgpack:"i"`
	ImageGB      float64  `msgpack:"ig"`           // size of the image
	MachineTypes []string `msgpack:"y,omitempty"`  // allowed; nil: any
	Zone         string   `msgpack:"z,omitempty"`  // the only allowed one; "": any
	OneZone      bool     `msgpack:"oz,omitempty"` // all tasks in one zone
	Spread       bool     `msgpack:"sp,omitempty"` // at most half of the tasks in a zone
	Spot         bool     `msgpack:"b,omitempty"`  // may run on spot machines
	EstimateS    float64  `msgpack:"e"`            // expected run of a task, in seconds
	CheckpointS  float64  `msgpack:"k,omitempty"`  // seconds between two saves of the progress; 0: none
	SaveS        float64  `msgpack:"v,omitempty"`  // seconds that a save takes
	DeadlineS    float64  `msgpack:"d,omitempty"`  // seconds from the acceptance; 0: none
}

// AllowsMachine reports whether the job's tasks may run on a machine type in a zone; a zone of "" stands for
// any.
func (s *JobSpec) AllowsMachine(machineType, zone string) bool {
	if s.MachineTypes != nil && !slices.Contains(s.MachineTypes, machineType) {
		return false
	}
	return s.Zone == "" || zone == "" || s.Zone == zone
}

// JobSpecOf returns what is stored of a submission.
func JobSpecOf(s *protocol.Submission) JobSpec {
	return JobSpec{
		Class: s.Class, Team: s.Team, Service: s.Service, Priority: int(s.Priority), Tasks: s.Tasks,
		CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Image: s.Image, ImageGB: s.ImageGB,
		MachineTypes: s.Types, Zone: s.Zone, OneZone: s.OneZone, Spread: s.Spread, Spot: s.Spot,
		EstimateS: s.EstimateS, CheckpointS: s.CheckpointS, SaveS: s.SaveS, DeadlineS: s.DeadlineS,
	}
}

// Partition is the record of KindPartition. Of each limited team, what the attempts in a partition's shards
// take is at most its quota share, and all partitions' shares together are at most the team's limit. A share
// is raised on the condition that no partition's record has changed, so assignments need no common record.
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

// Phases of a scale-out request. The records of fulfilled and rejected requests are deleted.
const (
	ScaleOutPending      ScaleOutPhase = "pending"
	ScaleOutProvisioning ScaleOutPhase = "provisioning"
	ScaleOutNoCapacity   ScaleOutPhase = "unmet"
)

// ScaleOutRequest is the record of KindScaleOut. While its machines start it says which controller may claim
// each: its rendezvous-hash owner among those in Live, the controllers at the time of writing, or the one
// named in Own. A claim is conditional on the record's version.
type ScaleOutRequest struct {
	Phase       ScaleOutPhase     `msgpack:"p"`
	MachineType string            `msgpack:"y"`
	Zone        string            `msgpack:"z"`
	Spot        bool              `msgpack:"b,omitempty"` // spot instances
	Count       int               `msgpack:"n"`           // machines requested
	Machines    []string          `msgpack:"m,omitempty"` // provided by the cloud
	Live        []string          `msgpack:"l,omitempty"` // controllers when the record was written
	Own         map[string]string `msgpack:"w,omitempty"` // by machine: the controller that may claim it
	PhaseSince  int64             `msgpack:"t"`           // time of day, microseconds
}

// ScaleInRequest is the record of KindScaleIn: machines that are deleted together. It is written before the
// call of the cloud. Once the cloud has answered, Deleted says that they and all attempts on them are gone;
// the record is kept for a while, so that late heartbeats from these machines are rejected.
type ScaleInRequest struct {
	Machines   []string `msgpack:"m"`
	StateSince int64    `msgpack:"t"`           // time of day, microseconds
	Attempts   int      `msgpack:"n,omitempty"` // failed calls
	Failed     bool     `msgpack:"f,omitempty"` // flagged, and tried at long intervals
	Deleted    bool     `msgpack:"g,omitempty"` // the cloud has confirmed the deletion
}

// MachineType is the record of KindMachineType: a machine type as the cloud's catalog has it.
type MachineType struct {
	CPUs          float64  `msgpack:"c"`
	GPUs          float64  `msgpack:"g"`
	MemoryGB      float64  `msgpack:"m"`
	CacheGB       float64  `msgpack:"k"` // local storage
	FetchGBPerS   float64  `msgpack:"f"` // rate at which images are fetched
	OnDemandPrice float64  `msgpack:"p"`
	SpotPrice     float64  `msgpack:"s"`
	BootS         float64  `msgpack:"b"` // seconds from the request until a machine is up
	Zones         []string `msgpack:"z"`
}

// Member is the record of KindMember: a live controller. It is deleted with the controller's lease.
type Member struct {
	Incarnation uint64 `msgpack:"i"` // of the controller
	Zone        string `msgpack:"z"`
}

// Leader is the record of KindLeader.
type Leader struct {
	Node        string `msgpack:"o"` // the controller that leads
	Incarnation uint64 `msgpack:"i"` // of that controller
}
