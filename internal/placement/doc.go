// Package placement runs a controller's scheduling passes: it gives the waiting tasks of its partition to
// machines, preempts others for them, and moves tasks between partitions.
//
// What is decided on its inputs alone is in internal/scheduling. This package gathers these inputs from the
// mirror and the other subjects, and carries the decisions out: into the updates of the shards
// (internal/shards), which commit them, as commands to agents, and as changes of the jobs' records.
// Everything runs on the controller's goroutine.
package placement
