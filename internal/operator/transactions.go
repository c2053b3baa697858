package operator

import (
	"fmt"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// Operator reads and changes the records in the state service of one deployment.
type Operator struct {
	Call              mirror.StoreCaller
	Sleep             func(monotime.Micros) // waits before a retry
	WallClock         func() int64          // time of day in microseconds
	MaxTransactionOps int                   // maximum number of operations per transaction
	// MaxValueBytes is the maximum size of a value in the state service.
	MaxValueBytes int
	Zones         []string // all zones of the deployment
}

// Limits of a command's retries.
const (
	maxAttempts   = 5
	retryInterval = 400 * monotime.Millisecond
	commitTimeout = 5 * monotime.Second
)

// readRecords reads all records at one revision. It makes up to maxAttempts attempts, because the state
// service may be busy or may change faster than the records can be read.
func (o *Operator) readRecords() (*mirror.RecordSnapshot, error) {
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 {
			o.Sleep(retryInterval)
		}
		var records *mirror.RecordSnapshot
		if records, err = mirror.ReadRecords(o.call, o.MaxTransactionOps); err == nil {
			return records, nil
		}
	}
	return nil, err
}

// call calls the state service. It makes up to maxAttempts attempts while the service throttles the
// call.
func (o *Operator) call(c *protocol.StoreCall) protocol.StoreResult {
	var result protocol.StoreResult
	for attempt := range maxAttempts {
		if attempt > 0 {
			o.Sleep(retryInterval)
		}
		if result = o.Call(c); result.Outcome != protocol.Throttled {
			break
		}
	}
	return result
}

// transact implements optimistic concurrency. It reads the records, calls decide and commits the transaction
// that decide returns. If another writer has changed the same records in between, or the outcome is unknown,
// it reads the records and calls decide again. decide must therefore recognize its own change in the records
// and return no transaction in that case.
func (o *Operator) transact(decide func(*mirror.RecordSnapshot) (*protocol.Transaction, error)) error {
	var lastOutcome protocol.Outcome
	for attempt := range maxAttempts {
		if attempt > 0 {
			o.Sleep(retryInterval)
		}
		records, err := o.readRecords()
		if err != nil {
			return err
		}
		txn, err := decide(records)
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
			return fmt.Errorf("%w: it rejected the transaction", mirror.ErrStoreUnavailable)
		}
		lastOutcome = result.Outcome
	}
	if lastOutcome == protocol.Conflict {
		return ErrContention
	}
	return fmt.Errorf("%w: the change may or may not have been made (%v); it is safe to repeat the command",
		mirror.ErrStoreUnavailable, lastOutcome)
}
