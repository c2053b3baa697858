package protocol

import (
	"fmt"
	"strings"
)

// Priority orders jobs; a higher one goes first.
type Priority int

// Priorities, lowest first.
const (
	BestEffort Priority = iota
	Standard
	High
	Production
)

// priorities are the priorities by their names on the wire.
var priorities = map[string]Priority{
	"prod": Production, "high": High, "standard": Standard, "best_effort": BestEffort,
}

// MaxTasks is the most tasks that one job may have.
const MaxTasks = 100_000

// Submission is a job as its user described it.
type Submission struct {
	ID          string
	Class, Team string // job class and owning team
	Service     bool   // a service; otherwise an array
	Priority    Priority
	Tasks       int     // tasks of an array, replicas of a service
	CPUs, GPUs  float64 // of each task
	MemoryGB    float64 // of each task
	Image       string
	ImageGB     float64  // size of the image
	Types       []string // nil: any
	Zone        string   // "": any
	OneZone     bool     // all tasks in one zone
	Spread      bool     // at most half of the tasks in a zone
	Spot        bool     // may run on spot machines
	EstimateS   float64  // expected run of a task, in seconds
	CheckpointS float64  // seconds between two saves of the progress; 0: it is never saved
	SaveS       float64  // seconds that a save takes
	DeadlineS   float64  // 0: none
}

// jobIDPrefix begins the ids of jobs.
const jobIDPrefix = "j-"

// ValidJobID reports whether an id has the users' form: j- and then letters,
// digits, '-' or '_'.
func ValidJobID(id string) bool {
	rest, ok := strings.CutPrefix(id, jobIDPrefix)
	return ok && rest != "" && ValidKeyPart(id)
}

// maxKeyPartBytes is the longest name that is accepted as a part of a key.
const maxKeyPartBytes = 100

// ValidKeyPart reports whether a name can stand in a key of the state service.
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

// ParseSubmission checks a submission completely; its error is the text of a
// 400. The id is returned as soon as it is valid, even with an error, so that a
// known job is recognised before its repeated submission is refused.
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

// readInto reads all fields but the id. The first fault in the order of the calls is the one that is
// reported.
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

// service reads whether the job is a service rather than an array.
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

// machineTypes reads the names of the types that the job may run on; nil is any.
func (f *fieldReader) machineTypes() []string {
	const fault = "must be a list of names or null"
	switch list := f.values[FieldTypes].(type) {
	case nil:
		return nil
	case []any:
		names := []string{}
		for _, v := range list {
			name, ok := v.(string)
			if !ok || name == "" {
				f.fail(FieldTypes, fault)
			}
			names = append(names, name)
		}
		return names
	default:
		f.fail(FieldTypes, fault)
		return nil
	}
}
