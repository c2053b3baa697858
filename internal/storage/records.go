// Package storage defines the records that the controllers keep in the state service: their keys, their
// fields and their encodings. It is the only package that knows the stored names.
package storage

import (
	"slices"
	"strings"

	"pipitgap/internal/protocol"
)

// KeyPrefix is the prefix of every key of the service. Its number grows when records
// are laid out anew: a version never misreads another's.
const KeyPrefix = "gap2/"

// Kinds of records, as they stand in the keys.
const (
	KindJobResult     = "job"     // the final answer for a job, kept for ever
	KindOpenJob       = "open"    // an unfinished job: its description and shares
	KindShard         = "page"    // some machines of a partition with all that is on them
	KindPartition     = "part"    // what a partition may use of the teams' limits
	KindMachineType   = "type"    // a machine type, for starts during the cloud's outages
	KindScaleOut      = "ask"     // a rental request
	KindScaleIn       = "removal" // machines being given back, or proven gone
	KindMember        = "member"  // a live controller
	KindLeader        = "lead"    // the leading controller
	KindDrain         = "drain"   // machines to be taken out of service
	KindPermits       = "permit"  // a team's planned stops
	KindDrainRegistry = "drains"  // changes with every new drain
)

// Key builds a key.
func Key(kind, name string) string { return KeyPrefix + kind + "/" + name }

// LeaderKey is the one key of its kind.
const LeaderKey = KeyPrefix + KindLeader + "/er"

// DrainRegistryKey is the one key of its kind. Whoever starts a drain writes it, on its version: so
// two drains that are started at one moment can't overlook each other.
const DrainRegistryKey = KeyPrefix + KindDrainRegistry + "/all"

// SplitKey takes a key apart; ok is false for keys that aren't the service's.
func SplitKey(key string) (kind, name string, ok bool) {
	rest, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}

// JobState is where a job stands.
type JobState string

// Statuses of a job.
const (
	JobOpen      JobState = "open"
	JobDone      JobState = "done"
	JobCancelled JobState = "cancelled"
)

// JobResult is the record of KindJobResult. It is written, once, when the job is over.
type JobResult struct {
	State JobState `msgpack:"s"`
}

// OpenJob is the record of KindOpenJob. Which of the job's tasks run or are
// completed stands in the shards; a task that no shard names is pending. A cancelled
// job has an Answer and keeps this record until all of its attempts are gone.
type OpenJob struct {
	Spec       JobSpec     `msgpack:"j"`
	AcceptedAt int64       `msgpack:"t"` // time of day of the acceptance, microseconds
	TaskRanges []TaskRange `msgpack:"p"`
}

// TaskRange says which partition gives the pending tasks of a range to its machines.
// Every assignment is conditional on the version of the record that says so.
type TaskRange struct {
	//lint:ignore U1000 the msgpack library reads it through reflection
	_msgpack   struct{} `msgpack:",as_array"`
	First, End int
	Partition  string
}

// TaskRangeBytes is what one share takes in a record, beside the partition's name.
const TaskRangeBytes = 20

// AssignRange gives a range to a partition and joins what then belongs together.
func AssignRange(ranges []TaskRange, first, end int, part string) []TaskRange {
	var out []TaskRange
	add := func(s TaskRange) {
		if s.First >= s.End {
			return
		}
		if n := len(out); n > 0 && out[n-1].Partition == s.Partition && out[n-1].End == s.First {
			out[n-1].End = s.End
			return
		}
		out = append(out, s)
	}
	inserted := false
	for _, s := range ranges {
		add(TaskRange{First: s.First, End: min(s.End, first), Partition: s.Partition})
		if !inserted && s.End > first {
			inserted = true
			add(TaskRange{First: first, End: end, Partition: part})
		}
		add(TaskRange{First: max(s.First, end), End: s.End, Partition: s.Partition})
	}
	return out
}

// JobSpec is a submission in short.
type JobSpec struct {
	Class        string   `msgpack:"l"`
	Team         string   `msgpack:"t"`
	Service      bool     `msgpack:"s,omitempty"`
	Priority     int      `msgpack:"r"`
	Tasks        int      `msgpack:"n"`
	CPUs         float64  `msgpack:"c"`
	GPUs         float64  `msgpack:"g,omitempty"`
	MemoryGB     float64  `msgpack:"m"`
	Image        string   `msgpack:"i"`
	ImageGB      float64  `msgpack:"ig"`
	MachineTypes []string `msgpack:"y,omitempty"`
	Zone         string   `msgpack:"z,omitempty"`
	OneZone      bool     `msgpack:"oz,omitempty"`
	Spread       bool     `msgpack:"sp,omitempty"`
	Spot         bool     `msgpack:"b,omitempty"`
	EstimateS    float64  `msgpack:"e"`
	CheckpointS  float64  `msgpack:"k,omitempty"`
	SaveS        float64  `msgpack:"v,omitempty"`
	DeadlineS    float64  `msgpack:"d,omitempty"`
}

// AllowsMachine tells whether the job's tasks may run on a machine type in a zone; a zone of "" stands for any.
func (s *JobSpec) AllowsMachine(machineType, zone string) bool {
	if s.MachineTypes != nil && !slices.Contains(s.MachineTypes, machineType) {
		return false
	}
	return s.Zone == "" || zone == "" || s.Zone == zone
}

// JobSpecOf shortens a submission.
func JobSpecOf(s *protocol.Submission) JobSpec {
	return JobSpec{
		Class: s.Class, Team: s.Team, Service: s.Service, Priority: int(s.Priority), Tasks: s.Tasks,
		CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, Image: s.Image, ImageGB: s.ImageGB,
		MachineTypes: s.Types, Zone: s.Zone, OneZone: s.OneZone, Spread: s.Spread, Spot: s.Spot,
		EstimateS: s.EstimateS, CheckpointS: s.CheckpointS, SaveS: s.SaveS, DeadlineS: s.DeadlineS,
	}
}

// Partition is the record of KindPartition. Of each limited team, what the attempts in a partition's shards
// take is at most its quota share, and all partitions' shares together are at most the team's limit. A share is
// raised on the condition that no partition's record has changed, so assignments need no common record.
type Partition struct {
	QuotaShares map[string]QuotaShare `msgpack:"s"`
}

// QuotaShare is a share of a team's limit.
type QuotaShare struct {
	//lint:ignore U1000 the msgpack library reads it through reflection
	_msgpack   struct{} `msgpack:",as_array"`
	CPUs, GPUs float64
}

// ScaleOutPhase is where a rental request stands.
type ScaleOutPhase string

// Phases of a rental request. Ready and refused requests are dropped.
const (
	ScaleOutPending      ScaleOutPhase = "pending"
	ScaleOutProvisioning ScaleOutPhase = "provisioning"
	ScaleOutNoCapacity   ScaleOutPhase = "unmet"
)

// ScaleOutRequest is the record of KindScaleOut. While its machines come up it says who may claim
// them: their home among the controllers that lived when it was written, or the
// one named in Own. A claim is conditional on the record's version.
type ScaleOutRequest struct {
	Phase       ScaleOutPhase     `msgpack:"p"`
	MachineType string            `msgpack:"y"`
	Zone        string            `msgpack:"z"`
	Spot        bool              `msgpack:"b,omitempty"`
	Count       int               `msgpack:"n"`
	Machines    []string          `msgpack:"m,omitempty"`
	Live        []string          `msgpack:"l,omitempty"`
	Own         map[string]string `msgpack:"w,omitempty"`
	PhaseSince  int64             `msgpack:"t"` // time of day, microseconds
}

// ScaleInRequest is the record of KindScaleIn: machines that are deleted together. It
// is written before the call. Once the cloud has answered, Gone says that they
// and all that was on them are gone; it is kept for a while, so that no late
// report of theirs finds anybody who believes it.
type ScaleInRequest struct {
	Machines   []string `msgpack:"m"`
	StateSince int64    `msgpack:"t"`
	Attempts   int      `msgpack:"n,omitempty"`
	Failed     bool     `msgpack:"f,omitempty"`
	Gone       bool     `msgpack:"g,omitempty"`
}

// MachineType is the record of KindMachineType.
type MachineType struct {
	CPUs          float64  `msgpack:"c"`
	GPUs          float64  `msgpack:"g"`
	MemoryGB      float64  `msgpack:"m"`
	CacheGB       float64  `msgpack:"k"`
	FetchGBPerS   float64  `msgpack:"f"`
	OnDemandPrice float64  `msgpack:"p"`
	SpotPrice     float64  `msgpack:"s"`
	BootS         float64  `msgpack:"b"`
	Zones         []string `msgpack:"z"`
}

// Member is the record of KindMember.
type Member struct {
	Incarnation uint64 `msgpack:"i"`
	Zone        string `msgpack:"z"`
}

// Leader is the record of KindLeader.
type Leader struct {
	Node        string `msgpack:"o"`
	Incarnation uint64 `msgpack:"i"`
}
