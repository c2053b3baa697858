package protocol

import "github.com/vmihailenco/msgpack/v5"

// Wire names of a submission's fields. Other packages need them for requests that a Submission can't
// represent.
const (
	FieldID          = "id"
	FieldClass       = "lane"
	FieldTeam        = "crew"
	FieldShape       = "shape"
	FieldPriority    = "rank"
	FieldTasks       = "pips"
	FieldCPUs        = "cores"
	FieldGPUs        = "accelerators"
	FieldMemoryGB    = "memory_gb"
	FieldImage       = "plumage"
	FieldImageGB     = "pull_gb"
	FieldTypes       = "breeds"
	FieldZone        = "grove"
	FieldOneZone     = "one_zone"
	FieldSpread      = "apart"
	FieldSpot        = "borrowed"
	FieldEstimateS   = "guess_s"
	FieldCheckpointS = "perch_s"
	FieldSaveS       = "stash_s"
	FieldDeadlineS   = "due_s"
)

// Wire names of the two job kinds.
const (
	ShapeArray   = "sweep"
	ShapeService = "daemon"
)

// Fields returns the submission as a map from wire names to values. ParseSubmission reads the encoded map
// back.
func (s *Submission) Fields() map[string]any {
	values := map[string]any{
		FieldID:          s.ID,
		FieldClass:       s.Class,
		FieldTeam:        s.Team,
		FieldShape:       s.wireShape(),
		FieldPriority:    s.Priority.wireName(),
		FieldTasks:       s.Tasks,
		FieldCPUs:        s.CPUs,
		FieldGPUs:        s.GPUs,
		FieldMemoryGB:    s.MemoryGB,
		FieldImage:       s.Image,
		FieldImageGB:     s.ImageGB,
		FieldTypes:       nil,
		FieldZone:        nil,
		FieldOneZone:     s.OneZone,
		FieldSpread:      s.Spread,
		FieldSpot:        s.Spot,
		FieldEstimateS:   s.EstimateS,
		FieldCheckpointS: s.CheckpointS,
		FieldSaveS:       s.SaveS,
		FieldDeadlineS:   nil,
	}
	if s.Types != nil {
		values[FieldTypes] = s.Types
	}
	if s.Zone != "" {
		values[FieldZone] = s.Zone
	}
	if s.DeadlineS != 0 {
		values[FieldDeadlineS] = s.DeadlineS
	}
	return values
}

// wireShape returns the wire name of the job kind.
func (s *Submission) wireShape() string {
	if s.Service {
		return ShapeService
	}
	return ShapeArray
}

// wireName returns the wire name of a priority, or "" for an undefined priority.
func (p Priority) wireName() string {
	for name, priority := range priorities {
		if priority == p {
			return name
		}
	}
	return ""
}

// EncodeMsgpack encodes the submission in the format that users send.
func (s *Submission) EncodeMsgpack(enc *msgpack.Encoder) error { return enc.Encode(s.Fields()) }
