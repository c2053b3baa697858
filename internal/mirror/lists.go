package mirror

import (
	"slices"

	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// This file holds the calls that the two kinds of full load share: the blocking ReadRecords and the
// asynchronous Replica.Load. Each lists the record kinds one after the other, page by page, and then reads
// the results of the listed jobs.

// listPageSize is the maximum number of records in a page of a list.
const listPageSize = 500

// comparesPerOp is the ratio between the state service's limits on the conditions and on the operations of a
// transaction.
const comparesPerOp = 4

// recordKinds lists the kinds that every mirror holds. Job results are not among them: they are kept forever
// and can't be listed.
var recordKinds = []storage.Kind{
	storage.KindScaleOut, storage.KindLeader, storage.KindMember, storage.KindOpenJob,
	storage.KindShard, storage.KindPartition, storage.KindScaleIn, storage.KindMachineType,
}

// drainKinds lists the additional kinds that a mirror holds if drains are enabled.
var drainKinds = []storage.Kind{storage.KindDrain, storage.KindPermits}

// listedKinds returns the kinds that a load lists, in order.
func listedKinds(drains bool) []storage.Kind {
	if !drains {
		return recordKinds
	}
	return slices.Concat(recordKinds, drainKinds)
}

// listCall returns the call that lists the next page of a kind's records after a key; "" requests the first
// page.
func listCall(kind storage.Kind, after string) *protocol.StoreCall {
	return &protocol.StoreCall{
		Op:    protocol.StoreList,
		Key:   storage.Key(kind, ""),
		After: after,
		Limit: listPageSize,
	}
}

// nextPage returns the key after which the next page starts; ok is false if this page is the last.
func nextPage(page protocol.StoreResult) (after string, ok bool) {
	if !page.More || len(page.Items) == 0 {
		return "", false
	}
	return page.Items[len(page.Items)-1].Key, true
}

// applyPage applies the records of a page to a mirror.
func applyPage(loaded *Mirror, page protocol.StoreResult) {
	for _, item := range page.Items {
		loaded.ApplyPut(item.Key, item.Value, item.Version)
	}
}

// compareResults returns a call that finds out which jobs already have a result. Its transaction requires
// that no result key exists and contains no operations, so it changes nothing. It fails with a conflict that
// lists the keys of the existing results. Such a call is much cheaper than one get for each job.
func compareResults(ids []string) *protocol.StoreCall {
	txn := protocol.Transaction{}
	for _, id := range ids {
		txn.If = append(txn.If, protocol.Compare{Key: storage.JobResultKey(id)})
	}
	return &protocol.StoreCall{Op: protocol.StoreCommit, Transaction: txn}
}
