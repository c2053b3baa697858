// Package protocol defines the messages that the controller exchanges with users, workers, the state service
// and the cloud. Only this package contains the wire names; all other code uses standard terms.
package protocol

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Raw is an undecoded MessagePack value.
type Raw = msgpack.RawMessage

// Marshal encodes a message as MessagePack, each integer in its shortest form.
func Marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// MustMarshal is like Marshal but panics on an error. It is for the program's own types, whose encoding can't
// fail.
func MustMarshal(v any) []byte {
	b, err := Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encoding %T: %v", v, err))
	}
	return b
}

// ErrMalformed means that the input is not exactly one MessagePack value of bounded nesting.
var ErrMalformed = errors.New("not a MessagePack message")

// Unmarshal decodes a message. It calls CheckWellFormed first, so that a hostile length or nesting depth is
// rejected before the decoder allocates anything for it.
func Unmarshal(b []byte, v any) error {
	if err := CheckWellFormed(b); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// TaskState is the state of a task on a machine, as reported by the worker.
type TaskState string

// Task states.
const (
	StatePulling  TaskState = "pulling"
	StateRunning  TaskState = "running"
	StateFlushing TaskState = "flushing"
	StateExited   TaskState = "exited"
)

// ExitCause is the reason why a task exited, as reported by the worker.
type ExitCause string

// Exit causes.
const (
	CauseDone        ExitCause = "done"
	CauseStopped     ExitCause = "stopped"
	CauseError       ExitCause = "error"
	CauseMachineFull ExitCause = "full"
	CauseBusy        ExitCause = "busy"
	CauseUnknown     ExitCause = "unknown"
)

// CommandOp is the operation that a command requests from a worker.
type CommandOp string

// Command operations.
const (
	CmdRun  CommandOp = "run"
	CmdKill CommandOp = "kill"
	CmdReap CommandOp = "reap" // discard the record of an exited attempt
)

// Job statuses in responses to users.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "cancelled"
)

// JobStatusReply is the response to submissions, status requests and cancellations.
type JobStatusReply struct {
	ID      string `msgpack:"id"`
	Status  string `msgpack:"status"`
	Done    int    `msgpack:"done"`    // number of completed tasks
	Running int    `msgpack:"running"` // number of tasks on machines
}

// AcceptedReply is the response to a submission or a cancellation that returns no task counts.
type AcceptedReply struct {
	ID     string `msgpack:"id"`
	Status string `msgpack:"status"`
}

// ErrorBody is the body of an error response: the reason why the request failed.
type ErrorBody struct {
	Error string `msgpack:"error"`
}

// TaskStatus is the entry of one task in a heartbeat.
type TaskStatus struct {
	Task            string    `msgpack:"pip"`    // job ID, slash, task index
	Attempt         uint64    `msgpack:"try_no"` // attempt number
	State           TaskState `msgpack:"status"`
	Cause           ExitCause `msgpack:"cause,omitempty"` // only of an exited task
	CheckpointSaved bool      `msgpack:"kept,omitempty"`  // whether the task saved its progress
}

// Heartbeat is a worker's periodic report.
type Heartbeat struct {
	Machine             string       `msgpack:"tree"`
	Endpoint            string       `msgpack:"endpoint"` // address and port of the worker
	Type                string       `msgpack:"breed"`    // machine type
	Zone                string       `msgpack:"grove"`
	Spot                bool         `msgpack:"borrowed"`  // spot instance
	Incarnation         uint64       `msgpack:"roost"`     // incarnation of the worker's agent
	Sequence            uint64       `msgpack:"chirp"`     // sequence number within the incarnation
	FencingToken        uint64       `msgpack:"baton"`     // highest fencing token that the agent has seen
	InterruptionNoticeS *float64     `msgpack:"warning_s"` // seconds until the spot interruption; nil: none
	Tasks               []TaskStatus `msgpack:"pips"`
}

// Maximum lengths of a heartbeat's string fields, in bytes.
const (
	maxEndpointBytes = 64
	maxTypeBytes     = 100
	maxZoneBytes     = 100
)

// Valid reports whether all fields that a controller needs are present and within their bounds.
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

// validEndpoint reports whether an endpoint can be stored. Spaces and semicolons are not allowed: the text
// encoding of a shard separates columns by spaces and entries by semicolons.
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

// Command tells a worker what to do with one task.
type Command struct {
	Op      CommandOp `msgpack:"call"`
	Task    string    `msgpack:"pip"`                // job ID, slash, task index
	Attempt uint64    `msgpack:"try_no"`             // attempt number
	GraceS  *float64  `msgpack:"leeway_s,omitempty"` // seconds that a killed task gets to save its progress
}

// HeartbeatReply is the response to a heartbeat.
type HeartbeatReply struct {
	FencingToken uint64    `msgpack:"baton"` // fencing token of the commands
	Commands     []Command `msgpack:"calls"`
}

// Redirect is the body of a 421 response.
type Redirect struct {
	Leader string `msgpack:"flock_lead,omitempty"` // controller to contact instead; "": any other
}

// CommandRequest is a batch of commands that a controller sends to a worker directly, not in a heartbeat
// reply.
type CommandRequest struct {
	FencingToken uint64    `msgpack:"baton"` // fencing token of the commands
	Incarnation  uint64    `msgpack:"roost"` // the agent incarnation that the commands are for
	Commands     []Command `msgpack:"calls"`
}

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name           string   `msgpack:"name"`
	CPUs           float64  `msgpack:"cores"`         // per machine
	GPUs           float64  `msgpack:"accelerators"`  // per machine
	MemoryGB       float64  `msgpack:"memory_gb"`     // per machine
	LocalStorageGB float64  `msgpack:"local_gb"`      // local storage
	FetchGBPerS    float64  `msgpack:"pull_gb_per_s"` // download rate of container images
	OnDemandPrice  float64  `msgpack:"rate"`
	SpotPrice      float64  `msgpack:"low_price"`
	BootS          float64  `msgpack:"ready_s"` // seconds from the request until the machine is up
	Zones          []string `msgpack:"groves"`
}

// Catalog is the cloud's list of machine types.
type Catalog struct {
	Types []MachineType `msgpack:"breeds"`
}

// CreateMachinesRequest requests new machines of one offer. It is idempotent: repeating a request with the
// same name returns the same machines.
type CreateMachinesRequest struct {
	Name  string `msgpack:"ask"`   // idempotency key
	Type  string `msgpack:"breed"` // machine type
	Zone  string `msgpack:"grove"`
	Spot  bool   `msgpack:"borrowed"` // spot instances
	Count int    `msgpack:"number"`   // number of machines
}

// CreateMachinesReply lists the IDs of the machines that the cloud provides.
type CreateMachinesReply struct {
	Machines []string `msgpack:"trees"`
}

// DeleteMachinesRequest requests the deletion of machines, given by ID.
type DeleteMachinesRequest struct {
	Machines []string `msgpack:"trees"`
}

// ListedMachine is an entry of the cloud's machine list.
type ListedMachine struct {
	ID       string  `msgpack:"id"`
	Endpoint string  `msgpack:"endpoint"`
	Type     string  `msgpack:"breed"`
	Zone     string  `msgpack:"grove"`
	Spot     bool    `msgpack:"borrowed"`
	State    string  `msgpack:"status"`
	AgeS     float64 `msgpack:"held_s"` // seconds since the machine's creation
}

// MachineList is one page of the cloud's machine list.
type MachineList struct {
	Machines []ListedMachine `msgpack:"trees"`
	More     bool            `msgpack:"has_next"` // more pages follow
}

// KeyValue is a key of the state service with its value.
type KeyValue struct {
	Key     string `msgpack:"path"`
	Value   Raw    `msgpack:"value"`
	Version uint64 `msgpack:"stamp"`  // revision of the key's last change
	Lease   uint64 `msgpack:"tenure"` // the key is deleted when this lease expires; 0: none
}

// KeyValueList is one page of a list of keys.
type KeyValueList struct {
	Items    []KeyValue `msgpack:"pairs"`
	More     bool       `msgpack:"has_next"` // more pages follow
	Revision uint64     `msgpack:"epoch"`    // revision at which the page was read
}

// Compare is a condition of a transaction: the key has this version. Version 0 requires that the key doesn't
// exist.
type Compare struct {
	Key     string `msgpack:"path"`
	Version uint64 `msgpack:"stamp"`
}

// Op is a put, if Put is set, or a delete.
type Op struct {
	Put    string `msgpack:"write,omitempty"` // key to write
	Value  Raw    `msgpack:"value,omitempty"`
	Lease  uint64 `msgpack:"tenure,omitempty"` // the key is deleted when this lease expires; 0: none
	Delete string `msgpack:"drop,omitempty"`   // key to delete
}

// Transaction is a compare-and-swap: the state service applies all operations atomically if all conditions
// hold.
type Transaction struct {
	If   []Compare `msgpack:"if"`              // conditions, all of which must hold
	Then []Op      `msgpack:"apply,omitempty"` // operations, applied atomically
}

// PutIfUnchanged returns a transaction that writes a record if its version is unchanged. Version 0 requires
// that the record doesn't exist.
func PutIfUnchanged(key string, version uint64, record any) Transaction {
	return Transaction{
		If:   []Compare{{Key: key, Version: version}},
		Then: []Op{{Put: key, Value: MustMarshal(record)}},
	}
}

// DeleteIfUnchanged returns a transaction that deletes a record if its version is unchanged.
func DeleteIfUnchanged(key string, version uint64) Transaction {
	return Transaction{
		If:   []Compare{{Key: key, Version: version}},
		Then: []Op{{Delete: key}},
	}
}

// TransactionReply is the response to a transaction.
type TransactionReply struct {
	Revision uint64   `msgpack:"epoch"`  // revision of the commit
	Failed   []string `msgpack:"failed"` // keys whose conditions failed
}

// LeaseRequest requests a new lease.
type LeaseRequest struct {
	TTLMillis int64 `msgpack:"ttl_ms"` // milliseconds without a renewal until the lease expires
}

// LeaseReply contains the ID of a granted lease.
type LeaseReply struct {
	Lease uint64 `msgpack:"tenure"`
}

// Event is a change of a key, reported by a watch.
type Event struct {
	Put     string `msgpack:"write"` // written key
	Value   Raw    `msgpack:"value"`
	Version uint64 `msgpack:"stamp"` // revision of the change
	Delete  string `msgpack:"drop"`  // deleted key
}

// WatchReply is the response to a watch.
type WatchReply struct {
	Revision uint64  `msgpack:"epoch"` // the events are complete up to this revision
	Events   []Event `msgpack:"log"`
}
