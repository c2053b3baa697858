// Package shards manages the shards that one controller owns: it writes their next versions, and it moves
// machines and whole shards between controllers.
//
// A shard is a record in the state service that holds a set of machines and the task attempts on these
// machines. Each shard has one owner. The owner writes a new version by a compare-and-swap on the version that
// the mirror, the local copy of the records, shows. Another controller writes the shard only to take over the
// shard or some of its machines:
//
//   - Scheduling pass: it calls PrepareUpdates for the next versions of the shards and AdmitClaimRequests for
//     the machines with a pending claim request. It then assigns tasks to the updates and calls Commit for
//     each changed update.
//   - Unresolved commits: an assignment is in doubt while its commit is in flight, or after the commit got no
//     definite answer. It stays in doubt until the mirror shows another version of the shard. See TasksInDoubt
//     and UseInDoubt.
//   - Failover: ClaimOrphaned claims the shards of absent controllers and of this controller's earlier
//     incarnations. HandOff transfers shards to other controllers when this controller cannot reach its
//     workers. AdmitClaimRequests takes over single machines that have lost contact with their owner.
//
// A Manager is not safe for concurrent use: one goroutine must make all calls, including the callbacks of the
// dependencies.
package shards
