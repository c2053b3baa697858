package fake

import "pipitgap/internal/protocol"

// handleCommit applies a transaction and answers it. A fault can change that: DelayCommit postpones the
// transaction and suppresses the answer; LoseResponse suppresses the answer of a transaction that succeeded.
func (s *StateStore) handleCommit(call *protocol.StoreCall, answer func(protocol.StoreResult)) {
	if s.DelayCommit != nil {
		if delay := s.DelayCommit(&call.Transaction); delay > 0 {
			s.Clock.After(delay, func() { s.commit(&call.Transaction) })
			return
		}
	}
	result := s.commit(&call.Transaction)
	if result.Outcome == protocol.OK && s.LoseResponse != nil && s.LoseResponse(&call.Transaction) {
		return
	}
	answer(result)
}

// commit applies a transaction atomically if it is valid and all of its comparisons hold.
func (s *StateStore) commit(txn *protocol.Transaction) protocol.StoreResult {
	if !s.isValid(txn) {
		return protocol.StoreResult{Outcome: protocol.Rejected}
	}
	if failedKeys := s.failedComparisons(txn); len(failedKeys) > 0 {
		s.Conflicts++
		for _, key := range failedKeys {
			s.ChangesByKind["!"+recordKind(key)]++
		}
		return protocol.StoreResult{Outcome: protocol.Conflict, Revision: s.Revision, Failed: failedKeys}
	}
	if len(txn.Then) > 0 {
		s.Revision++
	}
	for _, op := range txn.Then {
		s.apply(op)
	}
	if len(txn.Then) > 0 {
		s.answerWatches()
	}
	return protocol.StoreResult{Outcome: protocol.OK, Revision: s.Revision}
}

// isValid reports whether a transaction is within the limits on operations and comparisons and its puts refer
// only to existing leases.
func (s *StateStore) isValid(txn *protocol.Transaction) bool {
	if len(txn.Then) > s.MaxTransactionOps || len(txn.If) > 4*s.MaxTransactionOps {
		return false
	}
	for _, op := range txn.Then {
		if op.Put != "" && op.Lease != 0 && s.leases[op.Lease] == nil {
			return false
		}
	}
	return true
}

func (s *StateStore) failedComparisons(txn *protocol.Transaction) []string {
	var failedKeys []string
	for _, compare := range txn.If {
		if s.keyValues[compare.Key].Version != compare.Version {
			failedKeys = append(failedKeys, compare.Key)
		}
	}
	return failedKeys
}

// apply executes a put or delete at the current revision. Deleting an absent key changes nothing.
func (s *StateStore) apply(op protocol.Op) {
	s.ChangesByKind["+"+recordKind(op.Put+op.Delete)]++
	if op.Put != "" {
		s.putKey(op)
	} else if _, ok := s.keyValues[op.Delete]; ok {
		s.deleteKey(op.Delete)
	}
}

func (s *StateStore) putKey(op protocol.Op) {
	s.keyValues[op.Put] = protocol.KeyValue{
		Key:     op.Put,
		Value:   op.Value,
		Version: s.Revision,
		Lease:   op.Lease,
	}
	s.record(protocol.Event{Put: op.Put, Value: op.Value, Version: s.Revision})
}

func (s *StateStore) deleteKey(key string) {
	delete(s.keyValues, key)
	s.record(protocol.Event{Delete: key, Version: s.Revision})
}

// record appends an event of the current revision to the history that watches read.
func (s *StateStore) record(event protocol.Event) {
	s.history = append(s.history, historyEntry{s.Revision, event})
}
