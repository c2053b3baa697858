package shards

import (
	"sort"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// claimRequestTimeout is how long a machine waits to be claimed before its worker is refused.
const claimRequestTimeout = 2500 * monotime.Millisecond

// claimRequest is a machine whose worker waits to be claimed.
type claimRequest struct {
	heartbeat   protocol.Heartbeat
	fromShard   *mirror.Shard // of another controller, if the machine has lost its owner
	requestedAt monotime.Micros
	callbacks   []func(claimed bool)
}

// RequestClaim has a machine taken into the shards by the next pass. fromShard is the shard of another
// controller that it is taken over from; without one a machine that is in a shard already waits for the claim
// that is under way. The callback is called once the machine is claimed, or won't be.
func (m *Manager) RequestClaim(
	heartbeat *protocol.Heartbeat,
	fromShard *mirror.Shard,
	callback func(claimed bool),
) {
	request := m.claimRequests[heartbeat.Machine]
	if request == nil {
		request = &claimRequest{requestedAt: m.now()}
		m.claimRequests[heartbeat.Machine] = request
	}
	request.heartbeat, request.fromShard = *heartbeat, fromShard
	request.callbacks = append(request.callbacks, callback)
	m.passes.Request()
}

// ExpireClaimRequests refuses the machines that have waited for too long.
func (m *Manager) ExpireClaimRequests(now monotime.Micros) {
	for _, id := range sortedmap.Keys(m.claimRequests) {
		if now-m.claimRequests[id].requestedAt > claimRequestTimeout {
			m.completeClaimRequest(id, false)
		}
	}
}

// completeClaimRequest answers those who wait for a machine's claim.
func (m *Manager) completeClaimRequest(machine string, claimed bool) {
	request := m.claimRequests[machine]
	if request == nil {
		return
	}
	delete(m.claimRequests, machine)
	for _, callback := range request.callbacks {
		callback(claimed)
	}
}

// orderedClaimRequests lists the machines that wait to be claimed; last those of shards on which the commit
// before has failed.
func (m *Manager) orderedClaimRequests() []string {
	ids := sortedmap.Keys(m.claimRequests)
	conflicted := func(id string) bool {
		from := m.claimRequests[id].fromShard
		return from != nil && m.takeoverLimiter.conflictedKeys[storage.ShardKey(from.Name)]
	}
	sort.SliceStable(ids, func(a, b int) bool { return !conflicted(ids[a]) && conflicted(ids[b]) })
	return ids
}
