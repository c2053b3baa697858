package storage

import "errors"

// The stored form of a shard. The state service counts a value by its JSON form, and every change of
// a task is a change of a shard: so machines and jobs are packed as text.
//
//	machines: "number id endpoint kind state [claim]" joined by ";"
//	jobs: "id dCOMPLETED number@attempt:TASKS ..." joined by ";", where ":0" is left out, and "!" in
//	place of "@" says that the attempts are starting
//
// Numbers are written in base 36; a machine's number is its name within the shard. Ids and endpoints are
// prefix-compressed: the number of leading characters shared with the entry before, in one digit, and the
// rest.

// ErrMalformedShard is wrapped by the errors of DecodeShard.
var ErrMalformedShard = errors.New("malformed shard")

const (
	numberBase = 36
	// maxSharedPrefix is the largest prefix that one digit of numberBase can name.
	maxSharedPrefix = numberBase - 1

	entrySeparator    = ";"
	columnSeparator   = " "
	completedPrefix   = "d"
	tasksSeparator    = ":"
	runningSeparator  = "@"
	startingSeparator = "!"
	// defaultTaskSet are the tasks of a group that names none.
	defaultTaskSet = "0"
)

// Columns of a machine's entry. The claim is left out where it isn't above the shard's.
const (
	numberColumn = iota
	idColumn
	endpointColumn
	kindColumn
	stateColumn
	claimColumn
)

// shardRecord is a shard as stored.
type shardRecord struct {
	Owner        string        `msgpack:"o"`
	Incarnation  uint64        `msgpack:"i"`
	Claim        uint64        `msgpack:"c"`
	MachineKinds []machineKind `msgpack:"k"`
	Machines     string        `msgpack:"m"`
	Jobs         string        `msgpack:"j"`
}

// machineKind is what many machines of a shard have in common; their entries name it by its index.
type machineKind struct {
	//lint:ignore U1000 the msgpack library reads it through reflection
	_msgpack struct{} `msgpack:",as_array"`
	Type     string
	Zone     string
	Spot     bool
}
