// Package peerwire holds the structs that controllers send to each other as gob frames.
//
// Gob transmits the names of types and fields, and a receiver silently ignores a field with an unknown name.
// Controllers of different versions run side by side during an update, so every name in this package is
// frozen. A field may be added, but no field may be renamed, removed or changed in type. The fixtures in
// internal/daemon/testdata/frames contain the encoded bytes. The rest of the code uses separate types, which
// may be renamed freely. Package peers converts between both, see peers.ToFrame.
package peerwire

import "pipitgap/internal/peerwire/cancellation"

// Hint is the only frame that controllers send to each other. It is the wire form of peers.Status.
type Hint struct {
	Node        string         // name of the sender
	Incarnation uint64         // incarnation of the sender
	StoreOK     bool           // the sender has recently received an answer from the state service
	Users       int            // number of user requests at the sender that wait for the state service
	Reach       int            // whether the sender reaches its workers: 0 unknown, 1 reachable, 2 unreachable
	Failing     map[string]int // by failing job: number of the sender's machines that it fails on
	// LackLimit lists the teams with a pending task that fits neither into the sender's share of the team's quota
	// nor into the unallocated part of the quota.
	LackLimit []string

	Cancellations Message
}

// Message is one message of a round. In a round a controller sends the committed cancellations that are missing
// from the receiver's mirror. Clocks are in microseconds.
type Message struct {
	Incarnation     uint64 // incarnation of the sender
	Clock           int64  // the sender's clock at the creation of the round
	EchoIncarnation uint64 // latest incarnation of the receiver that the sender has received
	EchoClock       int64  // latest clock of that incarnation that the sender has received
	Watched         uint64 // revision of the sender's mirror
	Complete        bool   // the sender has read all records since it started
	Round           uint64 // sequence number of the round at the sender
	Parts           int    // number of messages in the round
	Committed       []cancellation.Committed
}
