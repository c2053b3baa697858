package protocol

import (
	"fmt"
	"math"
	"strings"
)

// Priority orders jobs; a higher one goes first.
type Priority int

// Priorities, lowest first.
const (
	BestEffort Priority = iota
	Standard
	High
	Prod
)

var priorities = map[string]Priority{
	"prod": Prod, "high": High, "standard": Standard, "best_effort": BestEffort,
}

// MaxTasks is the most tasks that one job may have.
const MaxTasks = 100_000

// Submission is a job as its user described it.
type Submission struct {
	ID          string
	Class, Team string
	Service     bool
	Priority    Priority
	Tasks       int
	CPUs, GPUs  float64
	MemoryGB    float64
	Image       string
	ImageGB     float64
	Types       []string // nil: any
	Zone        string   // "": any
	OneZone     bool
	Spread      bool
	Spot        bool
	EstimateS   float64
	CheckpointS float64
	SaveS       float64
	DeadlineS   float64 // 0: none
}

// ValidJobID tells whether an id has the users' form: j- and then letters,
// digits, '-' or '_'.
func ValidJobID(id string) bool {
	return strings.HasPrefix(id, "j-") && len(id) > 2 && ValidKeyPart(id)
}

// ValidKeyPart tells whether a name can stand in a key of the state service.
func ValidKeyPart(s string) bool {
	if s == "" || len(s) > 100 {
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

// fields reads a decoded map, remembering the first thing wrong.
type fields struct {
	m   map[string]any
	err error
}

func (f *fields) fail(name, what string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", name, what)
	}
}

func (f *fields) text(name string, may bool) string {
	v := f.m[name]
	if v == nil && may {
		return ""
	}
	s, ok := v.(string)
	if !ok || s == "" || len(s) > 200 {
		f.fail(name, "must be a text of 1 to 200 bytes")
		return ""
	}
	return s
}

func (f *fields) amount(name string, may bool) float64 {
	v := f.m[name]
	if v == nil && may {
		return 0
	}
	x, ok := number(v)
	if !ok || math.IsNaN(x) || math.IsInf(x, 0) || x < 0 || x > 1e12 {
		f.fail(name, "must be a finite amount of 0 or more")
		return 0
	}
	return x
}

func (f *fields) count(name string, least, most int64) int {
	var n int64
	switch v := f.m[name].(type) {
	case int8:
		n = int64(v)
	case int16:
		n = int64(v)
	case int32:
		n = int64(v)
	case int64:
		n = v
	case uint8:
		n = int64(v)
	case uint16:
		n = int64(v)
	case uint32:
		n = int64(v)
	case uint64:
		n = int64(min(v, math.MaxInt64))
	default:
		f.fail(name, "must be an integer")
		return 0
	}
	if n < least || n > most {
		f.fail(name, fmt.Sprintf("must lie between %d and %d", least, most))
	}
	return int(n)
}

func (f *fields) flag(name string) bool {
	v, ok := f.m[name].(bool)
	if !ok {
		f.fail(name, "must be true or false")
	}
	return v
}

func number(v any) (float64, bool) {
	switch x := v.(type) {
	case float64:
		return x, true
	case float32:
		return float64(x), true
	case int8:
		return float64(x), true
	case int16:
		return float64(x), true
	case int32:
		return float64(x), true
	case int64:
		return float64(x), true
	case uint8:
		return float64(x), true
	case uint16:
		return float64(x), true
	case uint32:
		return float64(x), true
	case uint64:
		return float64(x), true
	}
	return 0, false
}

// ParseSubmission checks a submission completely; its error is the text of a
// 400. The id is returned as soon as it is valid, even with an error, so that a
// known job is recognised before its repeated submission is refused.
func ParseSubmission(body []byte) (*Submission, error) {
	var m map[string]any
	if err := Unmarshal(body, &m); err != nil {
		return &Submission{}, err
	}
	if m == nil {
		return &Submission{}, fmt.Errorf("%w: not a map", ErrMalformed)
	}
	f := &fields{m: m}
	s := &Submission{ID: f.text(FieldID, false)}
	if !ValidJobID(s.ID) {
		s.ID = ""
		f.fail(FieldID, "must be j- followed by letters, digits, '-', '_' or '.'")
		return s, f.err
	}
	s.Class = f.text(FieldClass, false)
	s.Team = f.text(FieldTeam, false)
	switch f.text(FieldShape, false) {
	case ShapeArray:
	case ShapeService:
		s.Service = true
	default:
		f.fail(FieldShape, "must be "+ShapeArray+" or "+ShapeService)
	}
	pr, ok := priorities[f.text(FieldPriority, false)]
	if !ok {
		f.fail(FieldPriority, "must be prod, high, standard or best_effort")
	}
	s.Priority = pr
	s.Tasks = f.count(FieldTasks, 1, MaxTasks)
	s.CPUs = f.amount(FieldCPUs, false)
	s.GPUs = f.amount(FieldGPUs, false)
	s.MemoryGB = f.amount(FieldMemoryGB, false)
	s.Image = f.text(FieldImage, false)
	s.ImageGB = f.amount(FieldImageGB, false)
	s.Zone = f.text(FieldZone, true)
	s.OneZone = f.flag(FieldOneZone)
	s.Spread = f.flag(FieldSpread)
	s.Spot = f.flag(FieldSpot)
	s.EstimateS = f.amount(FieldEstimateS, false)
	s.CheckpointS = f.amount(FieldCheckpointS, false)
	s.SaveS = f.amount(FieldSaveS, false)
	s.DeadlineS = f.amount(FieldDeadlineS, true)
	switch list := m[FieldTypes].(type) {
	case nil:
	case []any:
		s.Types = []string{}
		for _, v := range list {
			name, ok := v.(string)
			if !ok || name == "" {
				f.fail(FieldTypes, "must be a list of names or null")
			}
			s.Types = append(s.Types, name)
		}
	default:
		f.fail(FieldTypes, "must be a list of names or null")
	}
	return s, f.err
}
