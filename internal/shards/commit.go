package shards

import (
	"context"
	"log/slog"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/ratelimit"
	"pipitgap/internal/sortedmap"
	"pipitgap/internal/storage"
)

// Commit writes the next version of a shard. It drops a new shard instead if the shard has no machines and no
// earlier commit in doubt.
func (m *Manager) Commit(update *Update, now monotime.Micros) {
	t := m.trackerOf(update.name)
	if update.previous == nil && len(update.next.Machines) == 0 && len(t.updatesInDoubt) == 0 {
		delete(m.newShards, update.name)
		return
	}
	txn := m.transaction(update)
	t.beginCommit(update, now)
	m.store.Commit(ratelimit.PriorityShardUpdate, txn, func(result protocol.StoreResult) {
		t.commitInFlightSince = 0
		m.handleCommitResult(update, t, result)
	})
}

// transaction returns the transaction that commits an update. It deletes an existing shard that has neither
// machines nor jobs left.
func (m *Manager) transaction(update *Update) protocol.Transaction {
	key := storage.ShardKey(update.name)
	txn := update.txn
	txn.If = append([]protocol.Compare{{Key: key, Version: update.previousVersion()}}, txn.If...)
	if update.previous != nil && len(update.next.Machines) == 0 && len(update.next.Jobs) == 0 {
		txn.Then = append(txn.Then, protocol.Op{Delete: key})
		return txn
	}
	encoded, size := update.next.Encode()
	if size > m.cfg.MaxValueBytes {
		// Unreachable as long as callers keep Update.MaxBytes below the limit when they assign tasks.
		m.log.Error("shard exceeds value size limit", "shard", update.name, "bytes", size)
	}
	txn.Then = append(txn.Then, protocol.Op{Put: key, Value: encoded})
	return txn
}

// handleCommitResult processes the outcome of an update's commit. An unknown outcome leaves the update in doubt
// unless the mirror already shows another version of the shard.
func (m *Manager) handleCommitResult(update *Update, t *tracker, result protocol.StoreResult) {
	m.passes.HandleCommitResult(result, len(update.assignedTasks))
	if update.TakesOverMachines() {
		m.takeoverLimiter.recordOutcome(result)
	}
	switch result.Outcome {
	case protocol.OK:
		m.handleCommitted(update, result.Revision)
		return
	case protocol.Unknown:
		t.resolveUpdates(m.mirror.VersionOf(storage.ShardKey(update.name)))
		return
	case protocol.Conflict:
		m.log.Debug("shard compare-and-swap conflict", "shard", update.name, "failed_keys", result.Failed)
	case protocol.Rejected:
		m.log.Error("shard rejected by state service", "shard", update.name)
	}
	t.removeUpdate(update)
}

// handleCommitted starts the follow-up work of a committed update: it counts lost replicas, completes jobs,
// answers claim requests and sends commands to the machines.
func (m *Manager) handleCommitted(update *Update, revision uint64) {
	if update.losses != nil {
		update.losses.Count()
	}
	for _, job := range sortedmap.Keys(update.completedTaskJobs) {
		m.jobs.CompleteIfDone(job)
	}
	for _, machine := range sortedmap.Keys(update.admittedMachines) {
		m.completeClaimRequest(machine, true)
	}
	for _, id := range sortedmap.Keys(update.machinesToSync) {
		if machine := m.mirror.Machines[id]; machine != nil {
			m.agents.SyncCommands(machine)
		}
	}
	if m.log.Enabled(context.Background(), slog.LevelDebug) {
		m.log.Debug(
			"shard committed",
			"shard", update.name,
			"revision", revision,
			"assigned", update.describeTasks(update.assignedTasks),
			"released", update.describeTasks(update.releasedTasks),
			"machines_claimed", len(update.admittedMachines),
			"max_bytes", update.maxBytes,
		)
	}
}
