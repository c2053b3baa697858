// Package placement runs a controller's scheduling passes. A pass assigns the waiting tasks of the
// controller's partition to machines, preempts other tasks to make room for them, and moves tasks between
// partitions.
//
// Decisions that depend only on their inputs are in internal/scheduling. This package collects these inputs
// from the mirror and from the controller's other components. It applies the decisions as updates of the
// shards, which internal/shards commits, as commands to agents, and as changes of the job records. Everything
// runs on the controller's goroutine.
package placement
