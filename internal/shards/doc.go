// Package shards owns the shards of one controller: how their next versions are written, and how machines and
// whole shards come to it and leave it.
//
// A shard is a record that holds some machines with the attempts on them. Its owner alone writes it, each
// time by a compare-and-swap on the version that the mirror shows:
//
//   - A scheduling pass calls PrepareUpdates for the next versions of the shards, AdmitClaimRequests for
//     machines that wait to be claimed, assigns tasks to the updates, and calls Commit for each that has
//     changed.
//   - What a commit in flight or without an answer may have assigned stays in doubt until the mirror shows
//     another version of the shard: TasksInDoubt, UseInDoubt.
//   - Failover: ClaimOrphaned takes over the shards of controllers that have gone and of earlier
//     incarnations, HandOff gives shards away when this controller doesn't reach its workers, and
//     AdmitClaimRequests takes over single machines whose owner has lost them.
//
// A Manager belongs to one goroutine; the callbacks that it passes on must be called on the same.
package shards
