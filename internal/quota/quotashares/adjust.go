package quotashares

import (
	"maps"
	"slices"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/quota"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// adjustment is a new version of this controller's record that isn't committed yet.
type adjustment struct {
	record  storage.Partition
	version uint64 // version of the record that it replaces
	changed bool
	raised  bool // whether some share grows
}

// Adjust raises the shares for which shortages were noted since the last adjustment. It lowers shares that
// aren't fully used, mainly when little of the limit is unallocated (see quota.DecideShare). It does nothing
// while a commit in flight may change the inputs of the decision. Such commits include the assignments of an
// earlier incarnation of this controller: they use its shares, and may be applied until the member record is
// current.
func (m *Manager) Adjust(now monotime.Micros) {
	if _, current := m.deps.Membership.IncarnationCompare(); !current {
		return
	}
	if m.writeInFlight || m.deps.Store.Unavailable() || !m.deps.Membership.HoldsLease(now) ||
		m.deps.Shards.CommitInFlight() {
		return
	}
	next := m.beginAdjustment()
	shortSince := map[string]monotime.Micros{}
	for i := range m.cfg.Teams {
		team := m.cfg.Teams[i].Name
		limits, _ := m.Limits(team)
		if !limits.Limited() {
			continue
		}
		decision := quota.DecideShare(m.shareInputs(team, limits, next.record.QuotaShares[team], now))
		if decision.ShortOfQuota {
			shortSince[team] = now
			if since, before := m.shortOfQuotaSince[team]; before {
				shortSince[team] = since
			}
		}
		next.setShare(team, decision.Share)
	}
	m.shortOfQuotaSince = shortSince
	clear(m.shortages)
	if next.changed {
		m.commit(next)
	}
}

// beginAdjustment copies this controller's record. If the outcome of an earlier commit is unknown, it marks
// the copy as changed: writing the record again changes its version, after which the earlier commit can't
// apply.
func (m *Manager) beginAdjustment() *adjustment {
	next := &adjustment{record: m.copyOfRecord(m.cfg.Node), version: m.ownRecordVersion()}
	m.dropSettledCommits()
	next.changed = len(m.commitsInDoubt) > 0
	return next
}

// copyOfRecord copies a controller's record. The copy has no shares if the controller has no record.
func (m *Manager) copyOfRecord(node string) storage.Partition {
	record := storage.Partition{QuotaShares: map[string]storage.QuotaShare{}}
	if partition := m.deps.Mirror.Partitions[node]; partition != nil {
		maps.Copy(record.QuotaShares, partition.Record.QuotaShares)
	}
	return record
}

// dropSettledCommits drops the commits in doubt that are conditional on another version than the record's
// current one.
func (m *Manager) dropSettledCommits() {
	version := m.ownRecordVersion()
	m.commitsInDoubt = slices.DeleteFunc(m.commitsInDoubt, func(doubt commitInDoubt) bool {
		return doubt.version != version
	})
}

// setShare sets a team's share in the new record and notes whether the share changes or grows.
func (a *adjustment) setShare(team string, share storage.QuotaShare) {
	before := a.record.QuotaShares[team]
	if share == before {
		return
	}
	a.record.QuotaShares[team] = share
	a.raised = a.raised || quota.Raises(before, share)
	a.changed = true
}

// shareInputs collects the inputs for the decision about this controller's share of a team's limit.
func (m *Manager) shareInputs(
	team string,
	limits quota.Limits,
	current storage.QuotaShare,
	now monotime.Micros,
) quota.ShareInputs {
	reportedAt, reported := m.deps.Peers.QuotaShortageReportedAt(team)
	return quota.ShareInputs{
		Limits:             limits,
		Current:            current,
		Use:                m.ownUse(team),
		Unallocated:        m.Unallocated(team),
		Shortage:           m.shortages[team],
		PeerShortage:       reported && now-reportedAt < shortageReportIntervals*m.cfg.PeerStatusInterval,
		WorkersUnreachable: m.deps.Peers.WorkersUnreachable(),
		Controllers:        m.deps.Store.LiveControllerCount(),
	}
}

// commit writes this controller's record. A raise is conditional on the versions of all controllers' records.
func (m *Manager) commit(next *adjustment) {
	key := storage.PartitionKey(m.cfg.Node)
	txn := protocol.PutIfUnchanged(key, next.version, &next.record)
	if next.raised {
		txn.If = append(txn.If, m.compareOtherRecords()...)
	}
	m.writeInFlight = true
	m.deps.Store.Commit(ratelimit.PriorityShardUpdate, txn, func(result protocol.StoreResult) {
		m.writeInFlight = false
		m.deps.RequestPass()
		if result.Outcome == protocol.Unknown {
			m.commitsInDoubt = append(m.commitsInDoubt, commitInDoubt{next.version, next.record})
		}
	})
}

// compareOtherRecords returns comparisons of the other controllers' record versions with the mirror. It
// covers the controllers of the deployment and any other controller that still has a record.
func (m *Manager) compareOtherRecords() []protocol.Compare {
	names := map[string]bool{}
	for _, node := range m.cfg.Controllers {
		names[node] = true
	}
	for node := range m.deps.Mirror.Partitions {
		names[node] = true
	}
	delete(names, m.cfg.Node)
	var compares []protocol.Compare
	for _, node := range sortedmap.Keys(names) {
		key := storage.PartitionKey(node)
		compares = append(compares, protocol.Compare{Key: key, Version: m.deps.Mirror.VersionOf(key)})
	}
	return compares
}
