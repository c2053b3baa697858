// Package peerwire holds the structs that controllers send to each other as gob frames.
//
// Gob transmits the names of types and fields, and a receiver silently leaves out a field whose
// name it doesn't know. So every name here is frozen: controllers of different versions run side
// by side during an update. A field may be added; none may be renamed, removed or changed in type.
// The fixtures in internal/daemon/testdata/frames hold the bytes. The rest of the code uses types of
// its own, which may be renamed freely, and converts at the edge, see peers.Frame.
package peerwire

import "pipitgap/internal/peerwire/cancellation"

// Hint is the one frame that controllers send to each other.
type Hint struct {
	Node        string         // of the sender
	Incarnation uint64         // of the sender
	StoreOK     bool           // the sender has reached the state service lately
	Users       int            // users' requests that wait there for the state service
	Reach       int            // whether the sender reaches its workers: 0 unknown, 1 reached, 2 not reached
	Failing     map[string]int // by job that fails there: on how many machines
	LackLimit   []string       // teams whose quota leaves no room there for a pending task

	Cancellations Message
}

// Message is one part of a round in which a controller sends the committed cancellations that the
// receiver's mirror lacks. Clocks are in microseconds.
type Message struct {
	Incarnation     uint64 // of the sender
	Clock           int64  // the sender's, when it made the round
	EchoIncarnation uint64 // the receiver's latest incarnation and clock that the sender has received
	EchoClock       int64
	Watched         uint64 // the revision of the sender's mirror
	Complete        bool   // the sender has read all records since it started
	Round           uint64
	Parts           int // number of messages of the round
	Committed       []cancellation.Committed
}
