// Package storagetest builds stored records for tests.
package storagetest

import (
	"pipitgap/internal/protocol"
	"pipitgap/internal/storage"
)

// OpenJob returns the stored form of an open job with the given number of tasks.
func OpenJob(tasks int) protocol.Raw {
	return protocol.MustMarshal(&storage.OpenJob{
		Spec: storage.JobSpec{
			Team:     "t",
			Tasks:    tasks,
			CPUs:     2,
			MemoryGB: 4,
			Image:    "img",
			Class:    "batch",
		},
		TaskRanges: []storage.TaskRange{{First: 0, End: tasks, Partition: "n-0"}}})
}

// Shard returns the stored form of a shard with one machine that has running attempts of a job, and with
// completed tasks of that job.
func Shard(machine, job string, running, completed int) protocol.Raw {
	shard := &storage.Shard{
		Owner:    "n-0",
		Claim:    1,
		Machines: map[string]*storage.ShardMachine{},
		Jobs:     map[string]*storage.ShardJob{},
	}
	shard.AddMachine(
		machine,
		storage.ShardMachine{Type: "m8", Zone: "a", Endpoint: "10.0.0.1:1", State: storage.MachineOpen},
	)
	for i := 0; i < running+completed; i++ {
		shard.Assign(job, storage.Attempt{Task: i, Machine: machine, Number: 1})
	}
	for i := 0; i < completed; i++ {
		shard.Release(job, running+i, true)
	}
	encoded, _ := shard.Encode()
	return encoded
}
