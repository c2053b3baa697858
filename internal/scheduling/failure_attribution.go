package scheduling

import (
	"pipitgap/internal/monotime"
)

// A task that fails speaks against its machine or against its job. Judging by the machine alone, a few faulty
// jobs would cost many good machines; judging by the job alone, a machine on which everything fails would go
// on taking tasks. So both sides count: on which other machines the job has failed, whether any of its tasks
// ever completed, and whose tasks failed on the machine.

const (
	// jobFaultMinMachines is on how many machines a job fails, nothing completed, until the fault is its own.
	jobFaultMinMachines = 3
	// machineFaultMinFailures is how many failures, since something last completed there, make a machine faulty.
	machineFaultMinFailures = 2
	// healthyReplicaDelay is how long after its last failure a running service counts as free of faults.
	healthyReplicaDelay = 10 * monotime.Second
)

// Attribution says whose fault a job's failures are.
type Attribution uint8

// The attributions of a job's failures.
const (
	FaultUnknown   Attribution = iota
	MachineAtFault             // some of the job's tasks have completed: its failures are the machines'
	JobAtFault                 // its failures are its own, or no longer say anything
)

// JobEvidence is what the records tell of a job that has failed.
type JobEvidence struct {
	Open          bool
	Service       bool
	DoneTasks     int
	AssignedTasks int
	// Whether this controller has seen it fail, and how long ago it last did.
	SeenFailing      bool
	SinceLastFailure monotime.Micros
}

// AttributeByProgress judges by whether any of the job's tasks completed; FaultUnknown where that isn't known
// yet.
func AttributeByProgress(job JobEvidence) Attribution {
	switch {
	case !job.Open:
		return JobAtFault
	case job.DoneTasks > 0:
		return MachineAtFault
	case job.Service && job.AssignedTasks > 0 &&
		job.SeenFailing && job.SinceLastFailure > healthyReplicaDelay:
		return MachineAtFault
	}
	return FaultUnknown
}

// AttributeByMachines judges a job, nothing of which has completed, by the number of machines it has failed
// on.
func AttributeByMachines(failedMachines int) Attribution {
	if failedMachines >= jobFaultMinMachines {
		return JobAtFault
	}
	return FaultUnknown
}

// MachineEvidence is what is known of a machine's failures since something last completed there.
type MachineEvidence struct {
	FailuresByJob map[string]int
	Slow          bool // its tasks take far longer than expected, again and again
}

// MachineFault is the judgement on a machine.
type MachineFault struct {
	Faulty   bool // jobs that run elsewhere fail on it, or it is far too slow
	Doubtful bool // it may be faulty: it gets no more tasks until that is known
}

// AttributeToMachine judges a machine by whose fault each job's failures are.
func AttributeToMachine(machine MachineEvidence, attribution func(job string) Attribution) MachineFault {
	if machine.Slow {
		return MachineFault{Faulty: true, Doubtful: true}
	}
	machineFailures, unknownFailures := 0, 0
	for job, failures := range machine.FailuresByJob {
		switch attribution(job) {
		case MachineAtFault:
			machineFailures += failures
		case FaultUnknown:
			unknownFailures += failures
		}
	}
	return MachineFault{
		Faulty:   machineFailures >= machineFaultMinFailures,
		Doubtful: machineFailures+unknownFailures >= machineFaultMinFailures,
	}
}
