package scheduling

import (
	"pipitgap/internal/monotime"
)

// A failed task is evidence against its machine or its job. If only machines were blamed, a few faulty jobs
// would cause the removal of many good machines. If only jobs were blamed, a machine on which everything
// fails would keep getting tasks. Attribution therefore considers both: on which other machines the job has
// failed, whether any of the job's tasks has completed, and which jobs' tasks have failed on the machine.

const (
	// jobFaultMinMachines is the number of machines on which a job without completed tasks must fail before
	// its failures are attributed to the job.
	jobFaultMinMachines = 3
	// machineFaultMinFailures is the number of failures since a task last completed on a machine that make
	// the machine faulty.
	machineFaultMinFailures = 2
	// healthyReplicaDelay is how long after its last failure a running service is considered free of faults.
	healthyReplicaDelay = 10 * monotime.Second
)

// Attribution is the cause to which a job's failures are attributed.
type Attribution uint8

// The attributions of a job's failures.
const (
	FaultUnknown   Attribution = iota
	MachineAtFault             // some of the job's tasks have completed, so the machines cause its failures
	JobAtFault                 // the job causes its failures, or they are no longer evidence against machines
)

// JobEvidence holds the records about a job that has failed.
type JobEvidence struct {
	Open          bool
	Service       bool
	DoneTasks     int
	AssignedTasks int
	// Whether this controller has seen the job fail, and the time since the last failure.
	SeenFailing      bool
	SinceLastFailure monotime.Micros
}

// AttributeByProgress attributes a job's failures by whether any of its tasks has completed or, for a
// service, has run without failure for longer than healthyReplicaDelay. It returns FaultUnknown for an open
// job without such progress, and JobAtFault for a job that is no longer open.
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

// AttributeByMachines attributes the failures of a job without completed tasks by the number of machines that
// it has failed on.
func AttributeByMachines(failedMachines int) Attribution {
	if failedMachines >= jobFaultMinMachines {
		return JobAtFault
	}
	return FaultUnknown
}

// MachineEvidence holds the failures on a machine since a task last completed there.
type MachineEvidence struct {
	FailuresByJob map[string]int
	Slow          bool // tasks on the machine repeatedly take far longer than expected
}

// MachineFault is the result of AttributeToMachine.
type MachineFault struct {
	Faulty       bool // jobs that run elsewhere fail on the machine, or it is far too slow
	FailureProne bool // the machine may be faulty and gets no more tasks until this is known
}

// AttributeToMachine decides whether a machine is faulty from the attribution of each job's failures.
func AttributeToMachine(machine MachineEvidence, attribution func(job string) Attribution) MachineFault {
	if machine.Slow {
		return MachineFault{Faulty: true, FailureProne: true}
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
		Faulty:       machineFailures >= machineFaultMinFailures,
		FailureProne: machineFailures+unknownFailures >= machineFaultMinFailures,
	}
}
