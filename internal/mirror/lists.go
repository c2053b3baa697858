package mirror

import (
	"slices"

	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// What every load of all records reads, whether it waits for its calls (see ReadRecords) or not (see
// Replica): the lists of the kinds, one after the other and page by page, then the results of the jobs
// listed.

// listPageSize is how many records a page of a list holds at most.
const listPageSize = 500

// comparesPerOp is how many conditions a transaction may have for each of its operations.
const comparesPerOp = 4

// recordKinds are the kinds that every mirror holds. The results of jobs aren't among them: they are kept for
// ever and can't be listed.
var recordKinds = []storage.Kind{
	storage.KindScaleOut, storage.KindLeader, storage.KindMember, storage.KindOpenJob,
	storage.KindShard, storage.KindPartition, storage.KindScaleIn, storage.KindMachineType,
}

// drainKinds are those that a mirror holds as well where drains are turned on.
var drainKinds = []storage.Kind{storage.KindDrain, storage.KindPermits}

// listedKinds are the kinds that a load lists, in order.
func listedKinds(drains bool) []storage.Kind {
	if !drains {
		return recordKinds
	}
	return slices.Concat(recordKinds, drainKinds)
}

// listCall reads the page of a kind's records that follows a key, or the first page.
func listCall(kind storage.Kind, after string) *protocol.StoreCall {
	return &protocol.StoreCall{
		Op:    protocol.StoreList,
		Key:   storage.Key(kind, ""),
		After: after,
		Limit: listPageSize,
	}
}

// nextPage returns the key after which the list continues; ok is false for the last page.
func nextPage(page protocol.StoreResult) (after string, ok bool) {
	if !page.More || len(page.Items) == 0 {
		return "", false
	}
	return page.Items[len(page.Items)-1].Key, true
}

// applyPage puts the records of a page into a mirror.
func applyPage(loaded *Mirror, page protocol.StoreResult) {
	for _, item := range page.Items {
		loaded.ApplyPut(item.Key, item.Value, item.Version)
	}
}

// compareResults finds which of the jobs have a result already: the call changes nothing and fails on the
// keys of those that have. Comparing is much cheaper than a get for each job.
func compareResults(ids []string) *protocol.StoreCall {
	txn := protocol.Transaction{}
	for _, id := range ids {
		txn.If = append(txn.If, protocol.Compare{Key: storage.JobResultKey(id)})
	}
	return &protocol.StoreCall{Op: protocol.StoreCommit, Transaction: txn}
}
