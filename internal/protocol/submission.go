package protocol

import (
	"fmt"
	"strings"
)

// Priority is the priority of a job. Jobs with a higher value are scheduled first.
type Priority int

// Priorities, in ascending order.
const (
	BestEffort Priority = iota
	Standard
	High
	Production
)

// priorities maps the wire names of the priorities to their values.
var priorities = map[string]Priority{
	"prod": Production, "high": High, "standard": Standard, "best_effort": BestEffort,
}

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// Submission is a job as described by the user who submits it.
type Submission struct {
	ID          string
	Class, Team string // job class and owning team
	Service     bool   // true: a service; false: an array job
	Priority    Priority
	Tasks       int     // number of array tasks or service replicas
	CPUs, GPUs  float64 // per task
	MemoryGB    float64 // per task
	Image       string
	ImageGB     float64  // size of the image
	Types       []string // allowed machine types; nil: any
	Zone        string   // required zone; "": any
	OneZone     bool     // all tasks in one zone
	Spread      bool     // at most half of the tasks in a zone
	Spot        bool     // may run on spot machines
	EstimateS   float64  // expected run time of a task, in seconds
	CheckpointS float64  // seconds between two checkpoints; 0: the task saves no checkpoints
	SaveS       float64  // seconds that saving a checkpoint takes
	DeadlineS   float64  // seconds after the submission; 0: no deadline
}

// jobIDPrefix is the prefix of every job ID.
const jobIDPrefix = "j-"

// ValidJobID reports whether an id has the users' form: j- and then letters, digits, '-', '_' or '.', in total
// at most maxKeyPartBytes bytes.
func ValidJobID(id string) bool {
	name, ok := strings.CutPrefix(id, jobIDPrefix)
	return ok && name != "" && ValidKeyPart(id)
}

// maxKeyPartBytes is the maximum length of a name that is used as a part of a key.
const maxKeyPartBytes = 100

// ValidKeyPart reports whether a name can be a part of a state service key: 1 to 100 letters, digits, '-',
// '_' or '.'.
func ValidKeyPart(s string) bool {
	if s == "" || len(s) > maxKeyPartBytes {
		return false
	}
	for i := 0; i < len(s); i++ {
		c := s[i]
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return true
}

// ParseSubmission decodes and validates a submission. The error is the reason of a 400 response. If the ID is
// valid, the returned submission contains it even if there is an error, so that the caller can recognize the
// repeated submission of a known job before it rejects the request.
func ParseSubmission(body []byte) (*Submission, error) {
	var values map[string]any
	if err := Unmarshal(body, &values); err != nil {
		return &Submission{}, err
	}
	if values == nil {
		return &Submission{}, fmt.Errorf("%w: not a map", ErrMalformed)
	}
	f := &fieldReader{values: values}
	submission := &Submission{ID: f.text(FieldID, false)}
	if !ValidJobID(submission.ID) {
		submission.ID = ""
		f.fail(FieldID, "must be j- followed by letters, digits, '-', '_' or '.'")
		return submission, f.err
	}
	f.readInto(submission)
	return submission, f.err
}

// readInto reads all fields except the ID. If several fields are invalid, the error is about the first one in
// the order of these calls.
func (f *fieldReader) readInto(submission *Submission) {
	submission.Class = f.text(FieldClass, false)
	submission.Team = f.text(FieldTeam, false)
	submission.Service = f.service()
	submission.Priority = f.priority()
	submission.Tasks = f.integer(FieldTasks, 1, MaxTasks)
	submission.CPUs = f.nonNegative(FieldCPUs, false)
	submission.GPUs = f.nonNegative(FieldGPUs, false)
	submission.MemoryGB = f.nonNegative(FieldMemoryGB, false)
	submission.Image = f.text(FieldImage, false)
	submission.ImageGB = f.nonNegative(FieldImageGB, false)
	submission.Zone = f.text(FieldZone, true)
	submission.OneZone = f.boolean(FieldOneZone)
	submission.Spread = f.boolean(FieldSpread)
	submission.Spot = f.boolean(FieldSpot)
	submission.EstimateS = f.nonNegative(FieldEstimateS, false)
	submission.CheckpointS = f.nonNegative(FieldCheckpointS, false)
	submission.SaveS = f.nonNegative(FieldSaveS, false)
	submission.DeadlineS = f.nonNegative(FieldDeadlineS, true)
	submission.Types = f.machineTypes()
}

// service reads whether the job is a service or an array.
func (f *fieldReader) service() bool {
	switch f.text(FieldShape, false) {
	case ShapeArray:
	case ShapeService:
		return true
	default:
		f.fail(FieldShape, "must be "+ShapeArray+" or "+ShapeService)
	}
	return false
}

// priority reads the name of a priority.
func (f *fieldReader) priority() Priority {
	priority, ok := priorities[f.text(FieldPriority, false)]
	if !ok {
		f.fail(FieldPriority, "must be prod, high, standard or best_effort")
	}
	return priority
}

// machineTypes reads the names of the machine types that the job may run on; nil allows any type.
func (f *fieldReader) machineTypes() []string {
	const reason = "must be a list of names or null"
	switch list := f.values[FieldTypes].(type) {
	case nil:
		return nil
	case []any:
		names := []string{}
		for _, v := range list {
			name, ok := v.(string)
			if !ok || name == "" {
				f.fail(FieldTypes, reason)
			}
			names = append(names, name)
		}
		return names
	default:
		f.fail(FieldTypes, reason)
		return nil
	}
}
