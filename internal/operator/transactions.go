package operator

import (
	"fmt"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// Operator carries out commands on one deployment's state service.
type Operator struct {
	Call              mirror.StoreCaller
	Sleep             func(monotime.Micros) // pauses before a call is repeated
	WallClock         func() int64          // time of day, microseconds
	MaxTransactionOps int                   // changes that a commit may hold
	// MaxValueBytes is how large a value may be.
	MaxValueBytes int
	Zones         []string
}

// Bounds of how a command repeats its calls.
const (
	maxAttempts   = 5
	retryInterval = 400 * monotime.Millisecond
	commitTimeout = 5 * monotime.Second
)

// readRecords reads all records at one revision. The reading is repeated a few times where the state service
// is busy or changes faster than it is read.
func (o *Operator) readRecords() (*mirror.RecordSnapshot, error) {
	var err error
	for try := range maxAttempts {
		if try > 0 {
			o.Sleep(retryInterval)
		}
		var reading *mirror.RecordSnapshot
		if reading, err = mirror.ReadRecords(o.call, o.MaxTransactionOps); err == nil {
			return reading, nil
		}
	}
	return nil, err
}

// call makes a call, again where the state service says that it was too much.
func (o *Operator) call(c *protocol.StoreCall) protocol.StoreResult {
	var result protocol.StoreResult
	for try := range maxAttempts {
		if try > 0 {
			o.Sleep(retryInterval)
		}
		if result = o.Call(c); result.Outcome != protocol.Throttled {
			break
		}
	}
	return result
}

// transact decides on a reading and commits what comes of it. Where another has changed the same records
// meanwhile, or the outcome isn't known, the records are read and the decision is made anew: so decide must
// recognise its own change in a reading and return no transaction then.
func (o *Operator) transact(decide func(*mirror.RecordSnapshot) (*protocol.Transaction, error)) error {
	var last protocol.Outcome
	for try := range maxAttempts {
		if try > 0 {
			o.Sleep(retryInterval)
		}
		reading, err := o.readRecords()
		if err != nil {
			return err
		}
		txn, err := decide(reading)
		if err != nil || txn == nil {
			return err
		}
		result := o.call(
			&protocol.StoreCall{Op: protocol.StoreCommit, Transaction: *txn, Timeout: commitTimeout},
		)
		if result.Outcome == protocol.OK {
			return nil
		}
		if result.Outcome == protocol.Rejected {
			return fmt.Errorf("%w: it rejects the change", mirror.ErrStoreUnavailable)
		}
		last = result.Outcome
	}
	if last == protocol.Conflict {
		return ErrContention
	}
	return fmt.Errorf("%w: the change may or may not have been made (%v); repeating the command is safe",
		mirror.ErrStoreUnavailable, last)
}
