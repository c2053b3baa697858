package operator

import (
	"fmt"

	"pipitgap/internal/coordination"
	"pipitgap/internal/micros"
	"pipitgap/internal/protocol"
)

// Operator carries out commands on one deployment's state service.
type Operator struct {
	Call   coordination.StoreCaller
	Wait   func(micros.T) // pauses before a call is repeated
	Wall   func() int64   // time of day, microseconds
	TxnOps int            // changes that a commit may hold
	// ValueBytes is how large a value may be.
	ValueBytes int
	Zones      []string
}

// Bounds of how a command repeats its calls.
const (
	mostTries = 5
	tryPause  = 400 * micros.Millisecond
)

// read reads all records at one revision. A state service that is busy or changes faster than it
// is read is asked again a few times.
func (o *Operator) read() (*coordination.Reading, error) {
	var err error
	for try := range mostTries {
		if try > 0 {
			o.Wait(tryPause)
		}
		var reading *coordination.Reading
		if reading, err = coordination.Read(o.call, o.TxnOps); err == nil {
			return reading, nil
		}
	}
	return nil, err
}

// call makes a call, again where the state service says that it was too much.
func (o *Operator) call(c *protocol.StoreCall) protocol.StoreResult {
	var result protocol.StoreResult
	for try := range mostTries {
		if try > 0 {
			o.Wait(tryPause)
		}
		if result = o.Call(c); result.Outcome != protocol.Throttled {
			break
		}
	}
	return result
}

// change decides on a reading and commits what comes of it. What another has changed meanwhile,
// or what nobody knows the outcome of, is read and decided anew: so decide must find its own
// change in a reading and be content with it.
func (o *Operator) change(decide func(*coordination.Reading) (*protocol.Txn, error)) error {
	var last protocol.Outcome
	for try := range mostTries {
		if try > 0 {
			o.Wait(tryPause)
		}
		reading, err := o.read()
		if err != nil {
			return err
		}
		txn, err := decide(reading)
		if err != nil || txn == nil {
			return err
		}
		result := o.call(&protocol.StoreCall{Op: protocol.StoreCommit, Txn: *txn, Within: commitTimeout})
		if result.Outcome == protocol.OK {
			return nil
		}
		if result.Outcome == protocol.Rejected {
			return fmt.Errorf("%w: it rejects the change", coordination.ErrNoAnswer)
		}
		last = result.Outcome
	}
	if last == protocol.Conflict {
		return ErrContention
	}
	return fmt.Errorf("%w: the change may or may not have been made (%v); repeating the command is safe",
		coordination.ErrNoAnswer, last)
}

const commitTimeout = 5 * micros.Second
