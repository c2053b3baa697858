package shards

import (
	"sort"

	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// claimRequestTimeout is how long a claim request stays pending before it is rejected.
const claimRequestTimeout = 2500 * monotime.Millisecond

// claimRequest is the pending request of a worker that this controller claim its machine.
type claimRequest struct {
	heartbeat   protocol.Heartbeat
	fromShard   *mirror.Shard // shard of the other controller that owns the machine; nil without a takeover
	requestedAt monotime.Micros
	callbacks   []func(claimed bool)
}

// RequestClaim requests that the next pass claim a machine. fromShard is the shard of another controller from
// which this controller takes over the machine. If fromShard is nil and the machine is already in a shard, the
// request waits until this controller has claimed that whole shard. RequestClaim calls the callback when the
// machine is claimed or the request is rejected.
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

// ExpireClaimRequests rejects the claim requests that have been pending for longer than claimRequestTimeout.
func (m *Manager) ExpireClaimRequests(now monotime.Micros) {
	for _, id := range sortedmap.Keys(m.claimRequests) {
		if now-m.claimRequests[id].requestedAt > claimRequestTimeout {
			m.completeClaimRequest(id, false)
		}
	}
}

// completeClaimRequest removes the claim request of a machine and calls its callbacks.
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

// orderedClaimRequests lists the machines with pending claim requests. Machines from shards on which the
// previous takeover commit conflicted come last.
func (m *Manager) orderedClaimRequests() []string {
	ids := sortedmap.Keys(m.claimRequests)
	conflicted := func(id string) bool {
		from := m.claimRequests[id].fromShard
		return from != nil && m.takeoverLimiter.conflictedKeys[storage.ShardKey(from.Name)]
	}
	sort.SliceStable(ids, func(a, b int) bool { return !conflicted(ids[a]) && conflicted(ids[b]) })
	return ids
}
