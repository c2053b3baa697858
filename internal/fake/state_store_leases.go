package fake

import (
	"sort"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// storeLeaseCheckInterval is how often the store checks for expired leases.
const storeLeaseCheckInterval = 50 * monotime.Millisecond

type lease struct {
	ttl       monotime.Micros
	expiresAt monotime.Micros
}

func (s *StateStore) grantLease(call *protocol.StoreCall) protocol.StoreResult {
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{call.TTL, s.Clock.Now() + call.TTL}
	return protocol.StoreResult{Outcome: protocol.OK, Lease: s.lastLeaseID}
}

func (s *StateStore) keepAlive(call *protocol.StoreCall) protocol.StoreResult {
	granted := s.leases[call.Lease]
	if granted == nil {
		return protocol.StoreResult{Outcome: protocol.NotFound}
	}
	granted.expiresAt = s.Clock.Now() + granted.ttl
	return protocol.StoreResult{Outcome: protocol.OK}
}

func (s *StateStore) extendAllLeases() {
	for _, granted := range s.leases {
		granted.expiresAt = s.Clock.Now() + granted.ttl
	}
}

// expireLeases deletes the expired leases and their keys, in the order in which the store granted the leases.
// It reschedules itself. During an outage no lease expires.
func (s *StateStore) expireLeases() {
	if !s.Down {
		for id := uint64(1); id <= s.lastLeaseID; id++ {
			if granted := s.leases[id]; granted != nil && s.Clock.Now() > granted.expiresAt {
				s.dropLease(id)
			}
		}
	}
	s.Clock.After(storeLeaseCheckInterval, s.expireLeases)
}

func (s *StateStore) dropLease(id uint64) {
	delete(s.leases, id)
	keys := s.keysOfLease(id)
	if len(keys) > 0 {
		s.Revision++
	}
	for _, key := range keys {
		s.deleteKey(key)
	}
	s.answerWatches()
}

func (s *StateStore) keysOfLease(id uint64) []string {
	var keys []string
	for key, item := range s.keyValues {
		if item.Lease == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}
