package operator

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"pipitgap/internal/drain"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// Errors of a rejected command. cmd/pipitgap maps each to an exit status.
var (
	ErrBadRequest      = errors.New("bad request")
	ErrNotFound        = errors.New("unknown")
	ErrNothingSelected = errors.New("nothing is selected")
	ErrNameInUse       = errors.New("the name is in use")
	ErrDrainsOverlap   = errors.New("another drain selects the same machines")
	ErrDrainEnded      = errors.New("the drain has ended")
	ErrContention      = errors.New("other writers keep changing the same records; try again")
)

// DrainOperator implements the drain commands.
type DrainOperator struct {
	*Operator
	Policy *drain.Policy
}

// StartRequest describes the drain that an operator requests.
type StartRequest struct {
	Name              string
	Selector          storage.Selector
	Replace           bool            // request machines before their capacity is needed
	AllowSimilar      bool            // scale-out may request machines that match the selector
	DeleteImmediately bool            // remove empty machines immediately
	MaxParallel       int             // maximum number of machines being emptied at a time
	Deadline          monotime.Micros // no step begins later than this after the start; 0: no deadline
	DryRun            bool            // only compute the plan
}

// StartResult is the result of a start.
type StartResult struct {
	Name           string      `json:"name"`
	AlreadyStarted bool        `json:"repeated"`       // an identical request started the drain earlier
	Machines       []string    `json:"machines"`       // IDs of the selected machines
	Plan           *drain.Plan `json:"plan,omitempty"` // only of a dry run
}

// Start starts a drain, or computes its plan if DryRun is set.
func (d *DrainOperator) Start(request StartRequest) (*StartResult, error) {
	if err := request.validate(); err != nil {
		return nil, err
	}
	result := &StartResult{Name: request.Name}
	wallNow := d.WallClock()
	err := d.transact(func(records *mirror.RecordSnapshot) (*protocol.Transaction, error) {
		return d.decideStart(&request, records, wallNow, result)
	})
	if err != nil {
		return nil, err
	}
	return result, nil
}

// decideStart returns the transaction that starts the drain, given the records that were read. The
// transaction is nil if there is nothing to change. It also sets the fields of the result.
func (d *DrainOperator) decideStart(
	request *StartRequest, records *mirror.RecordSnapshot, wallNow int64, result *StartResult,
) (*protocol.Transaction, error) {
	fleet := records.DrainSnapshot(wallNow)
	if err := d.checkSelector(&request.Selector, records, fleet); err != nil {
		return nil, err
	}
	record := request.drainRecord(records, wallNow)
	result.Machines = fleet.Selected(&record)
	existing, exists := fleet.Drain(request.Name)
	if exists && existing.State.Unfinished() {
		if !sameRequest(&existing.Drain, &record) {
			return nil, fmt.Errorf("%w: drain %q is %s", ErrNameInUse, request.Name, existing.State)
		}
		result.AlreadyStarted = existing.StartedAt != record.StartedAt
		result.Machines = fleet.Selected(&existing.Drain)
		return nil, nil
	}
	if len(result.Machines) == 0 {
		return nil, fmt.Errorf(
			"%w: no machine matches %s",
			ErrNothingSelected,
			describeSelector(&request.Selector),
		)
	}
	if err := checkOverlap(fleet, request.Name, &record); err != nil {
		return nil, err
	}
	if request.DryRun {
		result.Plan = d.Policy.Plan(fleet, request.Name, record)
		return nil, nil
	}
	return d.startTransaction(records, request.Name, existing, &record)
}

// validate returns an error if the request is invalid regardless of the records.
func (r *StartRequest) validate() error {
	switch {
	case !protocol.ValidKeyPart(r.Name):
		return fmt.Errorf("%w: the drain's name must be 1 to 100 letters, digits, dots, dashes or underscores",
			ErrBadRequest)
	case drain.SelectorEmpty(&r.Selector):
		return fmt.Errorf("%w: select machines by name, zone, type or kind", ErrBadRequest)
	case len(r.Selector.Machines) > 0 &&
		(r.Selector.Zone != "" || r.Selector.Type != "" || r.Selector.CapacityType != storage.AnyCapacity):
		return fmt.Errorf("%w: select machines either by name or by zone, type and kind", ErrBadRequest)
	case r.MaxParallel < 1:
		return fmt.Errorf("%w: at least one machine must be emptied at a time", ErrBadRequest)
	case r.Deadline < 0:
		return fmt.Errorf("%w: the deadline must be in the future", ErrBadRequest)
	}
	return nil
}

// checkSelector returns an error if the selector contains an unknown zone, machine type or machine.
func (d *DrainOperator) checkSelector(
	selector *storage.Selector, records *mirror.RecordSnapshot, fleet *drain.Snapshot,
) error {
	if selector.Zone != "" && !slices.Contains(d.Zones, selector.Zone) {
		return fmt.Errorf("%w: zone %q", ErrNotFound, selector.Zone)
	}
	if selector.Type != "" && !records.HasMachineType(selector.Type) {
		return fmt.Errorf("%w: machine type %q", ErrNotFound, selector.Type)
	}
	var unknown []string
	for _, id := range selector.Machines {
		if _, ok := fleet.Machine(id); !ok {
			unknown = append(unknown, id)
		}
	}
	if len(unknown) > 0 {
		return fmt.Errorf("%w: machines %s", ErrNotFound, strings.Join(unknown, ", "))
	}
	return nil
}

// drainRecord returns the drain record of a request.
func (r *StartRequest) drainRecord(records *mirror.RecordSnapshot, wallNow int64) storage.Drain {
	selector := r.Selector
	selector.Machines = slices.Compact(slices.Sorted(slices.Values(r.Selector.Machines)))
	record := storage.Drain{
		State: storage.DrainActive, Selector: selector, Replace: r.Replace, DeleteImmediately: r.DeleteImmediately,
		MaxParallel: r.MaxParallel, StartedAt: wallNow,
	}
	if r.AllowSimilar && len(selector.Machines) == 0 {
		record.LastMachine = records.NewestMachine()
	}
	if r.Deadline > 0 {
		record.DeadlineAt = wallNow + int64(r.Deadline)
	}
	return record
}

// sameRequest reports whether two drains have the same parameters, regardless of their start times.
func sameRequest(a, b *storage.Drain) bool {
	timeLimit := func(d *storage.Drain) int64 { return max(0, d.DeadlineAt-d.StartedAt) }
	return reflect.DeepEqual(a.Selector, b.Selector) &&
		a.Replace == b.Replace && a.DeleteImmediately == b.DeleteImmediately &&
		a.MaxParallel == b.MaxParallel &&
		(a.LastMachine == "") == (b.LastMachine == "") &&
		timeLimit(a) == timeLimit(b)
}

// checkOverlap returns an error if a machine could belong to both the drain and another unfinished drain.
func checkOverlap(fleet *drain.Snapshot, name string, record *storage.Drain) error {
	for _, other := range fleet.Drains() {
		if other.Name != name && other.State.Unfinished() && fleet.Overlaps(record, &other.Drain) {
			return fmt.Errorf("%w: drain %q (%s) of %s",
				ErrDrainsOverlap, other.Name, other.State, describeSelector(&other.Selector))
		}
	}
	return nil
}

// startTransaction returns the transaction that writes a drain. It fails if the drain's record or the
// registry of drains has changed since the records were read, so that no other drain can start in between.
func (d *DrainOperator) startTransaction(
	records *mirror.RecordSnapshot, name string, existing *drain.DrainRecord, record *storage.Drain,
) (*protocol.Transaction, error) {
	value := protocol.MustMarshal(record)
	if storage.StoredSize(value) > d.MaxValueBytes {
		return nil, fmt.Errorf(
			"%w: the machine names don't fit into a record; drain the machines in parts, or by zone and type",
			ErrBadRequest,
		)
	}
	version := uint64(0)
	if existing != nil {
		version = existing.Version
	}
	key := storage.DrainKey(name)
	return &protocol.Transaction{
		If: []protocol.Compare{
			{Key: key, Version: version},
			{Key: storage.DrainRegistryKey, Version: records.DrainRegistryVersion},
		},
		Then: []protocol.Op{
			{Put: key, Value: value},
			{Put: storage.DrainRegistryKey, Value: protocol.MustMarshal(name)},
		},
	}, nil
}

// Status returns the progress of a drain and the availability of all teams' services, at one revision.
func (d *DrainOperator) Status(name string) (*drain.Progress, []drain.ScopeStatus, error) {
	records, err := d.readRecords()
	if err != nil {
		return nil, nil, err
	}
	fleet := records.DrainSnapshot(d.WallClock())
	record, ok := fleet.Drain(name)
	if !ok {
		return nil, nil, fmt.Errorf("%w: drain %q", ErrNotFound, name)
	}
	return d.Policy.Progress(fleet, record, records.IsMember), d.Policy.ScopeStatuses(fleet), nil
}

// Budgets returns the availability of all teams' services and their budgets, at one revision.
func (d *DrainOperator) Budgets() ([]drain.ScopeStatus, error) {
	records, err := d.readRecords()
	if err != nil {
		return nil, err
	}
	return d.Policy.ScopeStatuses(records.DrainSnapshot(d.WallClock())), nil
}

// DrainSummary is an entry of the list of drains.
type DrainSummary struct {
	Name         string             `json:"name"`
	State        storage.DrainState `json:"state"`
	Reason       string             `json:"reason,omitempty"`
	Selection    string             `json:"selects"`       // text form of the selector
	MachinesLeft int                `json:"machines_left"` // 0 for a drain that has ended
}

// List returns all drains, including those that ended within the last day.
func (d *DrainOperator) List() ([]DrainSummary, error) {
	records, err := d.readRecords()
	if err != nil {
		return nil, err
	}
	fleet := records.DrainSnapshot(d.WallClock())
	drains := []DrainSummary{}
	for _, record := range fleet.Drains() {
		summary := DrainSummary{
			Name: record.Name, State: record.State,
			Reason: record.Reason, Selection: describeSelector(&record.Selector),
		}
		if record.State.Unfinished() {
			summary.MachinesLeft = len(fleet.Selected(&record.Drain))
		}
		drains = append(drains, summary)
	}
	return drains, nil
}

// Pause pauses a drain: it begins no further step. Moves in progress are completed.
func (d *DrainOperator) Pause(name string) (changed bool, err error) {
	return d.transition(name, func(record *storage.Drain) error {
		switch record.State {
		case storage.DrainActive:
			record.State, record.Reason = storage.DrainPaused, "paused by an operator"
		case storage.DrainPaused:
		default:
			return fmt.Errorf("%w: its state is %s", ErrDrainEnded, record.State)
		}
		return nil
	})
}

// Resume resumes a paused drain. deadline is the time until its new deadline, or 0 to keep the present deadline.
// A drain whose deadline has passed needs a new one.
func (d *DrainOperator) Resume(name string, deadline monotime.Micros) (changed bool, err error) {
	wallNow := d.WallClock()
	return d.transition(name, func(record *storage.Drain) error {
		switch record.State {
		case storage.DrainActive:
			return nil
		case storage.DrainPaused:
		default:
			return fmt.Errorf("%w: its state is %s", ErrDrainEnded, record.State)
		}
		switch {
		case deadline > 0:
			record.DeadlineAt = wallNow + int64(deadline)
		case record.DeadlineAt != 0 && record.DeadlineAt <= wallNow:
			return fmt.Errorf("%w: its deadline has passed; give a new one with --deadline", ErrBadRequest)
		}
		record.State, record.Reason = storage.DrainActive, ""
		return nil
	})
}

// Abort ends a drain. Its remaining machines accept tasks again, and scale-out may use the offers again that
// the drain excluded.
func (d *DrainOperator) Abort(name string) (changed bool, err error) {
	wallNow := d.WallClock()
	return d.transition(name, func(record *storage.Drain) error {
		switch record.State {
		case storage.DrainActive, storage.DrainPaused:
			record.State, record.Reason = storage.DrainAborted, "aborted by an operator"
		case storage.DrainDrained:
			record.State, record.Reason = storage.DrainDone, "ended by an operator"
		case storage.DrainAborted:
			return nil
		default:
			return fmt.Errorf("%w: its state is %s", ErrDrainEnded, record.State)
		}
		record.EndedAt = wallNow
		return nil
	})
}

// transition applies a change to the record of a drain. changed is false if the record already has the new
// values.
func (d *DrainOperator) transition(name string, change func(*storage.Drain) error) (changed bool, err error) {
	err = d.transact(func(records *mirror.RecordSnapshot) (*protocol.Transaction, error) {
		record, ok := records.DrainSnapshot(d.WallClock()).Drain(name)
		if !ok {
			return nil, fmt.Errorf("%w: drain %q", ErrNotFound, name)
		}
		next := record.Drain
		if err := change(&next); err != nil {
			return nil, fmt.Errorf("drain %q: %w", name, err)
		}
		if reflect.DeepEqual(next, record.Drain) {
			return nil, nil
		}
		changed = true
		txn := protocol.PutIfUnchanged(storage.DrainKey(name), record.Version, &next)
		return &txn, nil
	})
	return changed, err
}

// describeSelector returns the text form of a selector for the output of commands.
func describeSelector(selector *storage.Selector) string {
	if n := len(selector.Machines); n > 0 {
		return fmt.Sprintf("%d machines by name", n)
	}
	var parts []string
	for _, part := range []struct{ name, value string }{
		{"zone", selector.Zone},
		{"type", selector.Type},
		{"kind", string(selector.CapacityType)},
	} {
		if part.value != "" {
			parts = append(parts, part.name+" "+part.value)
		}
	}
	return strings.Join(parts, ", ")
}
