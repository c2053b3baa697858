package coordination

import (
	"math"
	"slices"

	"pipitgap/internal/durations"
	"pipitgap/internal/mirror"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/resources"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// quotaManager owns this controller's shares of the teams' limits.
type quotaManager struct {
	c *Controller

	writeInFlight bool
	shortages     map[string]quotaShortage // what assignments lacked of a team's share
	sharesInDoubt []quotaSharesInDoubt
	lackingSince  map[string]monotime.Micros // teams of whose limit we lack a task's worth
}

// What a partition may use of the teams' limits.

// quotaShortage is what assignments lacked of a partition's share.
type quotaShortage struct {
	perTask, total resources.Vector // for one task, and for all
	hasMachineRoom bool             // a machine has room for one of them
}

// quotaShareOf is what a partition may use of a team's limit, by its record.
func (q *quotaManager) quotaShareOf(partition, team string) resources.Vector {
	if p := q.c.mirror.Partitions[partition]; p != nil {
		share := p.Record.QuotaShares[team]
		return resources.Vector{
			CPUs:     resources.Round(share.CPUs),
			GPUs:     resources.Round(share.GPUs),
			MemoryGB: math.Inf(1),
		}
	}
	return resources.Vector{MemoryGB: math.Inf(1)}
}

// quotaSharesInDoubt are shares of ours that a commit without an answer may yet bring about:
// it is conditional on a version of our record, and nothing else changes that version
// when tasks are assigned under it.
type quotaSharesInDoubt struct {
	version uint64
	record  storage.Partition
}

// ownQuotaShare is what we may use of a team's limit, whatever becomes of commits in doubt.
func (q *quotaManager) ownQuotaShare(team string) resources.Vector {
	share := q.quotaShareOf(q.c.node, team)
	version := q.c.mirror.VersionOf(partitionKey(q.c.node))
	for _, inDoubt := range q.sharesInDoubt {
		if inDoubt.version == version {
			share.CPUs = min(share.CPUs, resources.Round(inDoubt.record.QuotaShares[team].CPUs))
			share.GPUs = min(share.GPUs, resources.Round(inDoubt.record.QuotaShares[team].GPUs))
		}
	}
	return share
}

// resolveQuotaSharesInDoubt forgets commits in doubt that were conditional on another version than
// that of our record now.
func (q *quotaManager) resolveQuotaSharesInDoubt() {
	version := q.c.mirror.VersionOf(partitionKey(q.c.node))
	q.sharesInDoubt = slices.DeleteFunc(
		q.sharesInDoubt,
		func(inDoubt quotaSharesInDoubt) bool { return inDoubt.version != version },
	)
}

// ownQuotaUse is what attempts in our shards take of a team's limit, at most. What a
// commit in doubt may have assigned counts as well, and so do shards of an earlier
// life of ours that we haven't claimed again yet: they are within the same share.
func (q *quotaManager) ownQuotaUse(team string) resources.Vector {
	use := resources.Vector{}
	for _, shard := range q.c.mirror.Shards {
		if shard.Record.Owner == q.c.node {
			use = use.AddScaled(shard.UseByTeam[team], 1)
		}
	}
	for _, tracker := range q.c.shards.trackers {
		for _, update := range tracker.updatesInDoubt {
			use = use.AddScaled(update.AssignedToTeam(team), 1)
		}
	}
	return use
}

// quotaLeft is what this part may still assign for a team.
func (q *quotaManager) quotaLeft(team string) resources.Vector {
	limit, _ := q.teamLimits(team)
	available := resources.Vector{CPUs: math.Inf(1), GPUs: math.Inf(1), MemoryGB: math.Inf(1)}
	if !limit.hasLimit() {
		return available
	}
	have, use := q.ownQuotaShare(team), q.ownQuotaUse(team)
	if limit.maxCPUs > 0 {
		available.CPUs = have.CPUs - use.CPUs
	}
	if limit.maxGPUs > 0 {
		available.GPUs = have.GPUs - use.GPUs
	}
	return available
}

// unallocatedQuota is what no part has of a team's limit.
func (q *quotaManager) unallocatedQuota(team string) resources.Vector {
	limit, _ := q.teamLimits(team)
	available := limit.remaining(resources.Vector{})
	for _, partition := range q.c.mirror.Partitions {
		share := partition.Record.QuotaShares[team]
		available = available.AddScaled(resources.New(share.CPUs, share.GPUs, 0), -1)
	}
	return available
}

// Bounds of how shares of the teams' limits change.
const (
	// unusedQuotaFraction is the part of a team's limit that all controllers together keep beyond
	// what they use: use goes up and down, and each change of a share is a write.
	unusedQuotaFraction = 0.2
	// lowUnallocatedFraction is the unallocated part of a limit below which unused shares are
	// given back.
	lowUnallocatedFraction = 0.15
	// quotaLackReportDelay is how long a partition lacks some of a limit before it says so: while
	// machines come up and jobs end, shares move by themselves.
	quotaLackReportDelay = 8 * monotime.Second
	// quotaLackReportValidity is how long a peer's word that it lacks some of a limit counts.
	quotaLackReportValidity = 3 * durations.SlowTickInterval
)

// adjustQuotaShares raises our shares where assignments lacked some, and gives back what
// we don't use of a team whose limit is nearly handed out. A raise depends on the
// records of all partitions, a lowering on ours alone; either changes our record, on
// which our assignments depend.
func (q *quotaManager) adjustQuotaShares(now monotime.Micros) {
	if q.writeInFlight || q.c.store.unavailable || !q.c.membership.holdsLease(now) {
		return
	}
	for _, tracker := range q.c.shards.trackers {
		if tracker.commitInFlightSince != 0 {
			return
		}
	}
	next, version := q.copyOwnQuotaShares()
	q.resolveQuotaSharesInDoubt()
	raised, changed := false, len(q.sharesInDoubt) > 0 // writing them anew settles what became of those
	lacking := map[string]monotime.Micros{}
	for i := range q.c.cfg.Facts.Teams {
		team := q.c.cfg.Facts.Teams[i].Name
		limit, _ := q.teamLimits(team)
		if !limit.hasLimit() {
			continue
		}
		before := next.QuotaShares[team]
		after, lacks := q.desiredQuotaShare(team, limit, before, now)
		if lacks {
			lacking[team] = now
			if since, lacked := q.lackingSince[team]; lacked {
				lacking[team] = since
			}
		}
		if after == before {
			continue
		}
		next.QuotaShares[team] = after
		raised = raised || after.CPUs > before.CPUs+resources.Tolerance ||
			after.GPUs > before.GPUs+resources.Tolerance
		changed = true
	}
	q.lackingSince = lacking
	clear(q.shortages)
	if changed {
		q.writeQuotaShares(next, version, raised)
	}
}

// copyOwnQuotaShares copies our record of shares and gives its version.
func (q *quotaManager) copyOwnQuotaShares() (next storage.Partition, version uint64) {
	next.QuotaShares = map[string]storage.QuotaShare{}
	if own := q.c.mirror.Partitions[q.c.node]; own != nil {
		version = own.Version
		for team, share := range own.Record.QuotaShares {
			next.QuotaShares[team] = share
		}
	}
	return next, version
}

// desiredQuotaShare is what our share of a team's limit should become, and whether we lack a
// task's worth of it that can't be had.
func (q *quotaManager) desiredQuotaShare(
	team string,
	limit teamLimits,
	current storage.QuotaShare,
	now monotime.Micros,
) (want storage.QuotaShare, lacks bool) {
	unallocated := q.unallocatedQuota(team)
	shortage, wants := q.shortages[team]
	at, heard := q.c.peerStatuses.quotaLackReportedAt[team]
	contested := heard && now-at < quotaLackReportValidity
	switch {
	case wants && (unallocated.CPUs+resources.Tolerance < shortage.perTask.CPUs || unallocated.GPUs+resources.Tolerance < shortage.perTask.GPUs):
		// Not enough for a single task here, and what we have left over may be
		// what another partition lacks: several such rests add up to a task.
		return q.loweredQuotaShare(team, current, resources.Vector{}), shortage.hasMachineRoom
	case q.c.reachability.workersUnreachableSince != 0:
		return q.loweredQuotaShare(team, current, resources.Vector{}), false // nothing can start here
	case contested && !shortage.hasMachineRoom:
		// Another part could start tasks at once; here they would wait for machines.
		return q.loweredQuotaShare(team, current, resources.Vector{}), false
	case wants:
		return q.raisedQuotaShare(limit, current, shortage, unallocated), false
	}
	if unallocated.CPUs > lowUnallocatedFraction*limit.maxCPUs &&
		(limit.maxGPUs == 0 || unallocated.GPUs > lowUnallocatedFraction*limit.maxGPUs) {
		return current, false
	}
	fraction := unusedQuotaFraction / float64(q.c.store.budgetSharers)
	return q.loweredQuotaShare(
		team,
		current,
		resources.Vector{CPUs: fraction * limit.maxCPUs, GPUs: fraction * limit.maxGPUs},
	), false
}

// teamsLackingQuota lists the teams of whose limit we have lacked a task's worth for so long
// that the others should give back what they don't use.
func (q *quotaManager) teamsLackingQuota(now monotime.Micros) []string {
	var out []string
	for _, team := range sortedmap.Keys(q.lackingSince) {
		if now-q.lackingSince[team] >= quotaLackReportDelay {
			out = append(out, team)
		}
	}
	return out
}

// raisedQuotaShare takes what is lacking, and half of an even part of what is left: a raise
// costs a change, and what one part has no other can use.
func (q *quotaManager) raisedQuotaShare(
	limit teamLimits,
	current storage.QuotaShare,
	shortage quotaShortage,
	unallocated resources.Vector,
) storage.QuotaShare {
	fraction := 1 / (2 * float64(q.c.store.budgetSharers))
	grow := func(have, short, left float64) float64 {
		grown := resources.Round(have + min(max(0, left), max(short, 0)+max(0, left-short)*fraction))
		if grown > have+resources.Tolerance {
			return grown
		}
		return have
	}
	if limit.maxCPUs > 0 {
		current.CPUs = grow(current.CPUs, shortage.total.CPUs, unallocated.CPUs)
	}
	if limit.maxGPUs > 0 {
		current.GPUs = grow(current.GPUs, shortage.total.GPUs, unallocated.GPUs)
	}
	return current
}

// loweredQuotaShare gives back what is more than twice a margin above what we use, down to
// the margin.
func (q *quotaManager) loweredQuotaShare(
	team string,
	current storage.QuotaShare,
	margin resources.Vector,
) storage.QuotaShare {
	use := q.ownQuotaUse(team)
	lower := storage.QuotaShare{
		CPUs: max(0, min(current.CPUs, use.CPUs+margin.CPUs)),
		GPUs: max(0, min(current.GPUs, use.GPUs+margin.GPUs)),
	}
	if lower.CPUs < current.CPUs-resources.Tolerance-margin.CPUs ||
		lower.GPUs < current.GPUs-resources.Tolerance-margin.GPUs {
		return lower
	}
	return current
}

// writeQuotaShares commits our record. A raise asks for the records of all partitions.
func (q *quotaManager) writeQuotaShares(next storage.Partition, version uint64, raised bool) {
	key := partitionKey(q.c.node)
	txn := protocol.Transaction{
		If:   []protocol.Compare{{Key: key, Version: version}},
		Then: []protocol.Op{{Put: key, Value: protocol.MustMarshal(&next)}},
	}
	if raised {
		names := map[string]bool{}
		for _, node := range q.c.controllers {
			names[node] = true
		}
		for node := range q.c.mirror.Partitions {
			names[node] = true
		}
		for _, node := range sortedmap.Keys(names) {
			if node != q.c.node {
				txn.If = append(
					txn.If,
					protocol.Compare{
						Key:     partitionKey(node),
						Version: q.c.mirror.VersionOf(partitionKey(node)),
					},
				)
			}
		}
	}
	q.writeInFlight = true
	doubt := quotaSharesInDoubt{version, next}
	q.c.replica.commit(ratelimit.PriorityShardUpdate, txn, func(result protocol.StoreResult) {
		q.writeInFlight = false
		q.c.scheduler.requestPass()
		if result.Outcome == protocol.Unknown {
			q.sharesInDoubt = append(q.sharesInDoubt, doubt)
		}
	})
}

// releaseDepartedQuotaShares gives back what a controller that has gone still
// has of the teams' limits once all of its shards are others': its share went with them
// but for what it had kept for later, and a team at its limit lacked that for as long as
// the controller was away. Whatever it may yet write asks for the record that is dropped,
// and it must not have come back: one that is cut off from its machines lowers its own.
func (q *quotaManager) releaseDepartedQuotaShares(now monotime.Micros) {
	if q.c.store.unavailable || q.writeInFlight || !q.c.membership.holdsLease(now) {
		return
	}
	connected := q.c.reachability.connectedControllers()
	for _, node := range sortedmap.Keys(q.c.mirror.Partitions) {
		partition := q.c.mirror.Partitions[node]
		if node == q.c.node || rendezvousOwner(node, connected) != q.c.node ||
			q.c.recordWritesInFlight[partitionKey(node)] ||
			q.c.mirror.WatchedRevision < partition.Version ||
			q.c.membership.isMember(node) ||
			now-q.c.membership.absentSince(node, now) <= monotime.Second {
			continue
		}
		left := false
		for _, shard := range q.c.mirror.Shards {
			left = left || shard.Record.Owner == node
		}
		if left {
			continue
		}
		key := partitionKey(node)
		q.c.recordWritesInFlight[key] = true
		q.c.replica.commit(ratelimit.PriorityShardUpdate, protocol.Transaction{
			If: []protocol.Compare{
				{Key: key, Version: partition.Version},
				{Key: storage.Key(storage.KindMember, node)},
			},
			Then: []protocol.Op{{Delete: key}},
		}, func(result protocol.StoreResult) {
			delete(q.c.recordWritesInFlight, key)
			q.c.scheduler.requestPass()
			if result.Outcome == protocol.OK {
				q.c.log.Info("quota shares released", "node", node)
			}
		})
	}
}

func partitionKey(node string) string { return storage.Key(storage.KindPartition, node) }

// transferQuotaShares has the shares of the teams' limits follow attempts that go over
// from one part's shards into another's.
func (q *quotaManager) transferQuotaShares(
	txn *protocol.Transaction,
	comparedKeys map[string]bool,
	from, to string,
	useByTeam map[string]resources.Vector,
) {
	departed, own := q.c.mirror.Partitions[from], q.c.mirror.Partitions[to]
	if departed == nil {
		return // it never had any: none of its teams has a limit
	}
	keys := []string{storage.Key(storage.KindPartition, from), storage.Key(storage.KindPartition, to)}
	next := []storage.Partition{
		{QuotaShares: map[string]storage.QuotaShare{}},
		{QuotaShares: map[string]storage.QuotaShare{}},
	}
	for i, partition := range []*mirror.PartitionEntry{departed, own} {
		if partition != nil {
			for k, v := range partition.Record.QuotaShares {
				next[i].QuotaShares[k] = v
			}
		}
	}
	puts := []int{-1, -1}
	for i, operation := range txn.Then { // an earlier machine of the same commit
		for k := range keys {
			if operation.Put == keys[k] {
				puts[k] = i
				var record storage.Partition
				if protocol.Unmarshal(operation.Value, &record) == nil {
					next[k] = record
				}
			}
		}
	}
	moved := false
	for _, team := range sortedmap.Keys(useByTeam) {
		if limit, _ := q.teamLimits(team); !limit.hasLimit() {
			continue
		}
		moved = true
		share, b := next[0].QuotaShares[team], next[1].QuotaShares[team]
		share.CPUs, b.CPUs = max(0, share.CPUs-useByTeam[team].CPUs), b.CPUs+useByTeam[team].CPUs
		share.GPUs, b.GPUs = max(0, share.GPUs-useByTeam[team].GPUs), b.GPUs+useByTeam[team].GPUs
		next[0].QuotaShares[team], next[1].QuotaShares[team] = share, b
	}
	if !moved {
		return
	}
	for k, key := range keys {
		if next[k].QuotaShares == nil {
			next[k].QuotaShares = map[string]storage.QuotaShare{}
		}
		operation := protocol.Op{Put: key, Value: protocol.MustMarshal(&next[k])}
		if puts[k] >= 0 {
			txn.Then[puts[k]] = operation
			continue
		}
		if !comparedKeys[key] {
			comparedKeys[key] = true
			txn.If = append(txn.If, protocol.Compare{Key: key, Version: q.c.mirror.VersionOf(key)})
		}
		txn.Then = append(txn.Then, operation)
	}
}

func newQuotaManager(c *Controller) *quotaManager {
	return &quotaManager{
		c:            c,
		shortages:    map[string]quotaShortage{},
		lackingSince: map[string]monotime.Micros{},
	}
}
