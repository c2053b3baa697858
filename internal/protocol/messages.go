// Package protocol holds the messages of the service's interfaces. Wire names
// stand only here; the rest of the code uses the field's own terms.
package protocol

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Raw is an undecoded MessagePack value.
type Raw = msgpack.RawMessage

// Marshal encodes a message, integers in their short form.
func Marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// MustMarshal is for values of the service's own types, whose encoding can't fail.
func MustMarshal(v any) []byte {
	b, err := Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encoding %T: %v", v, err))
	}
	return b
}

// ErrMalformed says that bytes are not one bounded MessagePack value.
var ErrMalformed = errors.New("not a MessagePack message")

// Unmarshal checks the shape first: a hostile length or depth must cost nothing.
func Unmarshal(b []byte, v any) error {
	if err := CheckShape(b); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// TaskState is the state of a task on a machine, as its worker reports it.
type TaskState string

// Task states.
const (
	StatePulling  TaskState = "pulling"
	StateRunning  TaskState = "running"
	StateFlushing TaskState = "flushing"
	StateExited   TaskState = "exited"
)

// ExitCause is why a task has exited, as its worker reports it.
type ExitCause string

// Causes of exits.
const (
	CauseDone        ExitCause = "done"
	CauseStopped     ExitCause = "stopped"
	CauseError       ExitCause = "error"
	CauseMachineFull ExitCause = "full"
	CauseBusy        ExitCause = "busy"
	CauseUnknown     ExitCause = "unknown"
)

// CommandOp is what a command has a worker do with a task.
type CommandOp string

// Commands.
const (
	CmdRun  CommandOp = "run"
	CmdKill CommandOp = "kill"
	CmdReap CommandOp = "reap" // forget an attempt that has exited
)

// Statuses of jobs as users see them.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "cancelled"
)

// JobStatusReply answers submissions, polls and cancellations.
type JobStatusReply struct {
	ID      string `msgpack:"id"`
	Status  string `msgpack:"status"`
	Done    int    `msgpack:"done"`    // completed tasks
	Running int    `msgpack:"running"` // tasks on machines
}

// AcceptedReply answers a submission or a cancellation.
type AcceptedReply struct {
	ID     string `msgpack:"id"`
	Status string `msgpack:"status"`
}

// ErrorBody says what is wrong with a request.
type ErrorBody struct {
	Error string `msgpack:"error"`
}

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task            string    `msgpack:"pip"`    // the job, a slash and the index
	Attempt         uint64    `msgpack:"try_no"` // number of the attempt
	State           TaskState `msgpack:"status"`
	Cause           ExitCause `msgpack:"cause,omitempty"` // of an exited task
	CheckpointSaved bool      `msgpack:"kept,omitempty"`  // the progress was saved
}

// Heartbeat is a worker's report.
type Heartbeat struct {
	Machine             string       `msgpack:"tree"`
	Endpoint            string       `msgpack:"endpoint"` // address and port of the worker
	Type                string       `msgpack:"breed"`    // machine type
	Zone                string       `msgpack:"grove"`
	Spot                bool         `msgpack:"borrowed"`  // spot instance
	Incarnation         uint64       `msgpack:"roost"`     // of the agent
	Sequence            uint64       `msgpack:"chirp"`     // counts the heartbeats of an incarnation
	FencingToken        uint64       `msgpack:"baton"`     // the highest that the agent has seen
	InterruptionNoticeS *float64     `msgpack:"warning_s"` // nil: no interruption announced
	Tasks               []TaskStatus `msgpack:"pips"`
}

// Longest texts of a heartbeat that are accepted, in bytes.
const (
	maxEndpointBytes = 64
	maxTypeBytes     = 100
	maxZoneBytes     = 100
)

// Valid reports whether a heartbeat can be acted upon.
func (h *Heartbeat) Valid() bool {
	if !ValidKeyPart(h.Machine) || h.Incarnation == 0 || !validEndpoint(h.Endpoint) ||
		h.Type == "" || len(h.Type) > maxTypeBytes ||
		h.Zone == "" || len(h.Zone) > maxZoneBytes {
		return false
	}
	for i := range h.Tasks {
		if h.Tasks[i].Task == "" || h.Tasks[i].State == "" {
			return false
		}
	}
	return true
}

// validEndpoint reports whether an endpoint can be stored: the text form of a shard separates its columns by
// spaces and its entries by semicolons.
func validEndpoint(endpoint string) bool {
	if endpoint == "" || len(endpoint) > maxEndpointBytes {
		return false
	}
	for _, c := range []byte(endpoint) {
		if c <= ' ' || c == ';' || c > '~' {
			return false
		}
	}
	return true
}

// Command is an order to a worker.
type Command struct {
	Op      CommandOp `msgpack:"call"`
	Task    string    `msgpack:"pip"`                // the job, a slash and the index
	Attempt uint64    `msgpack:"try_no"`             // number of the attempt
	GraceS  *float64  `msgpack:"leeway_s,omitempty"` // seconds that a killed task has to save its progress
}

// HeartbeatReply answers a report.
type HeartbeatReply struct {
	FencingToken uint64    `msgpack:"baton"` // of the commands
	Commands     []Command `msgpack:"calls"`
}

// Redirect goes with 421.
type Redirect struct {
	Leader string `msgpack:"flock_lead,omitempty"` // the controller to turn to; "": any other
}

// CommandRequest is a direct command batch.
type CommandRequest struct {
	FencingToken uint64    `msgpack:"baton"` // of the commands
	Incarnation  uint64    `msgpack:"roost"` // the agent that the commands are for
	Commands     []Command `msgpack:"calls"`
}

// MachineType is an entry of the cloud's catalogue.
type MachineType struct {
	Name          string   `msgpack:"name"`
	CPUs          float64  `msgpack:"cores"`         // of a machine
	GPUs          float64  `msgpack:"accelerators"`  // of a machine
	MemoryGB      float64  `msgpack:"memory_gb"`     // of a machine
	CacheGB       float64  `msgpack:"local_gb"`      // local storage
	FetchGBPerS   float64  `msgpack:"pull_gb_per_s"` // rate at which images are fetched
	OnDemandPrice float64  `msgpack:"rate"`
	SpotPrice     float64  `msgpack:"low_price"`
	BootS         float64  `msgpack:"ready_s"` // seconds from the request until a machine is up
	Zones         []string `msgpack:"groves"`
}

// Catalog is the list of machine types.
type Catalog struct {
	Types []MachineType `msgpack:"breeds"`
}

// CreateMachinesRequest requests machines of one offer. A request that is repeated under its name gets the
// same machines.
type CreateMachinesRequest struct {
	Name  string `msgpack:"ask"`   // identifies the request
	Type  string `msgpack:"breed"` // machine type
	Zone  string `msgpack:"grove"`
	Spot  bool   `msgpack:"borrowed"` // spot instances
	Count int    `msgpack:"number"`   // machines
}

// CreateMachinesReply names the machines that the cloud provides.
type CreateMachinesReply struct {
	Machines []string `msgpack:"trees"`
}

// DeleteMachinesRequest has the cloud delete machines.
type DeleteMachinesRequest struct {
	Machines []string `msgpack:"trees"`
}

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	ID       string  `msgpack:"id"`
	Endpoint string  `msgpack:"endpoint"`
	Type     string  `msgpack:"breed"`
	Zone     string  `msgpack:"grove"`
	Spot     bool    `msgpack:"borrowed"`
	State    string  `msgpack:"status"`
	AgeS     float64 `msgpack:"held_s"` // seconds since it was created
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `msgpack:"trees"`
	More     bool            `msgpack:"has_next"` // further pages follow
}

// KeyValue is a key of the state service.
type KeyValue struct {
	Key     string `msgpack:"path"`
	Value   Raw    `msgpack:"value"`
	Version uint64 `msgpack:"stamp"`  // revision of the last change
	Lease   uint64 `msgpack:"tenure"` // the record is deleted with it; 0: none
}

// KeyValueList is a page of keys.
type KeyValueList struct {
	Items    []KeyValue `msgpack:"pairs"`
	More     bool       `msgpack:"has_next"` // further pages follow
	Revision uint64     `msgpack:"epoch"`    // at which the page was read
}

// Compare is a condition of a transaction; version 0: the key does not exist.
type Compare struct {
	Key     string `msgpack:"path"`
	Version uint64 `msgpack:"stamp"`
}

// Op is a put (Put set) or a delete.
type Op struct {
	Put    string `msgpack:"write,omitempty"` // key
	Value  Raw    `msgpack:"value,omitempty"`
	Lease  uint64 `msgpack:"tenure,omitempty"` // that the put record is deleted with
	Delete string `msgpack:"drop,omitempty"`   // key
}

// Transaction is a transaction.
type Transaction struct {
	If   []Compare `msgpack:"if"`              // all must hold
	Then []Op      `msgpack:"apply,omitempty"` // made together
}

// PutIfUnchanged writes a record on the condition that it still has the version; 0: that it doesn't exist.
func PutIfUnchanged(key string, version uint64, record any) Transaction {
	return Transaction{
		If:   []Compare{{Key: key, Version: version}},
		Then: []Op{{Put: key, Value: MustMarshal(record)}},
	}
}

// DeleteIfUnchanged deletes a record on the condition that it still has the version.
func DeleteIfUnchanged(key string, version uint64) Transaction {
	return Transaction{
		If:   []Compare{{Key: key, Version: version}},
		Then: []Op{{Delete: key}},
	}
}

// TransactionReply answers a transaction.
type TransactionReply struct {
	Revision uint64   `msgpack:"epoch"`  // of the commit
	Failed   []string `msgpack:"failed"` // keys whose conditions failed
}

// LeaseRequest opens a lease.
type LeaseRequest struct {
	TTLMillis int64 `msgpack:"ttl_ms"` // milliseconds without a renewal until the lease ends
}

// LeaseReply names it.
type LeaseReply struct {
	Lease uint64 `msgpack:"tenure"`
}

// Event is a change seen by a watch.
type Event struct {
	Put     string `msgpack:"write"` // key
	Value   Raw    `msgpack:"value"`
	Version uint64 `msgpack:"stamp"` // revision of the change
	Delete  string `msgpack:"drop"`  // key
}

// WatchReply answers a watch.
type WatchReply struct {
	Revision uint64  `msgpack:"epoch"` // up to which the events are complete
	Events   []Event `msgpack:"log"`
}
