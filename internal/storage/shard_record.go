package storage

import "errors"

// This file defines the stored form of a shard. The state service measures a value in its JSON form, and
// every change of a task rewrites a shard. To keep the record small, machines and jobs are encoded as
// compact text.
//
//	machines: "number id endpoint kind state [claim]" joined by ";"
//	jobs: "id dCOMPLETED number@attempt:TASKS ..." joined by ";", where ":0" is omitted, and "!" instead of
//	"@" means that the attempts are starting
//
// Machine, kind, attempt and claim numbers are written in base 36, task numbers in base 10. A machine's
// number identifies it within the shard. Ids and endpoints are prefix-compressed: one digit gives the number
// of leading characters shared with the previous entry, and the remaining characters follow.

// ErrMalformedShard is the error that all errors of DecodeShard wrap.
var ErrMalformedShard = errors.New("malformed shard")

const (
	numberBase = 36
	// maxSharedPrefix is the largest prefix length that one digit in base numberBase can express.
	maxSharedPrefix = numberBase - 1

	entrySeparator    = ";"
	columnSeparator   = " "
	completedPrefix   = "d"
	tasksSeparator    = ":"
	runningSeparator  = "@"
	startingSeparator = "!"
	// defaultTaskSet is the task set of a group that lists no tasks: only task 0.
	defaultTaskSet = "0"
)

// Columns of a machine's entry. The claim is omitted unless it is greater than the shard's claim.
const (
	numberColumn = iota
	idColumn
	endpointColumn
	kindColumn
	stateColumn
	claimColumn
)

// shardRecord is the stored form of a Shard.
type shardRecord struct {
	Owner        string        `msgpack:"o"`
	Incarnation  uint64        `msgpack:"i"`
	Claim        uint64        `msgpack:"c"`
	MachineKinds []machineKind `msgpack:"k"`
	Machines     string        `msgpack:"m"`
	Jobs         string        `msgpack:"j"`
}

// machineKind holds properties that many machines of a shard share. A machine's entry refers to its kind by
// index.
type machineKind struct {
	//lint:ignore U1000 the msgpack library reads it through reflection
	_msgpack struct{} `msgpack:",as_array"`
	Type     string
	Zone     string
	Spot     bool
}
