package fleet

import (
	"pipitgap/internal/autoscaling"
	"pipitgap/internal/config"
	"pipitgap/internal/logging"
	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
)

// termState is a leader's state outside the records. Every term begins with an empty state.
type termState struct {
	number         uint64          // version of the leader record
	commitInFlight map[string]bool // by commit key

	nextPassAt       monotime.Micros
	backoffs         *autoscaling.Backoffs // of jobs that no offer can run
	unreachableZones map[string]bool

	requestSequence  int
	scaleOutInFlight map[string]bool // by request name: its cloud call is in flight
	scaleOutRetryAt  map[string]monotime.Micros
	scaleInInFlight  map[string]bool // by request name: its cloud call is in flight
	scaleInRetryAt   map[string]monotime.Micros
	nextScaleInAt    monotime.Micros

	inventoryRebuilt bool // the cloud's machine list has been read to its end in this term
	nextListAt       monotime.Micros
	listInFlight     bool
	failedMachines   map[string]bool // listed as failed by the cloud; to be terminated
	unknownMachines  map[string]*protocol.ListedMachine

	cloudUnavailable bool
}

// newTermState returns the state at the start of a term: nothing is in flight, and the cloud's machine list
// hasn't been read.
func newTermState(number uint64, settings *config.Settings) termState {
	return termState{
		number:         number,
		commitInFlight: map[string]bool{},
		backoffs: autoscaling.NewBackoffs(autoscaling.BackoffPolicy{
			Passes: settings.BackoffPasses,
			First:  settings.BackoffFirst.Micros(),
			Max:    settings.BackoffMax.Micros(),
		}),
		unreachableZones: map[string]bool{},
		scaleOutInFlight: map[string]bool{},
		scaleOutRetryAt:  map[string]monotime.Micros{},
		scaleInInFlight:  map[string]bool{},
		scaleInRetryAt:   map[string]monotime.Micros{},
		failedMachines:   map[string]bool{},
		unknownMachines:  map[string]*protocol.ListedMachine{},
	}
}

// noteCloudOutcome logs when the cloud becomes unavailable and when it becomes available again.
func (r *Reconciler) noteCloudOutcome(outcome protocol.Outcome) {
	unavailable := outcome == protocol.Unavailable || outcome == protocol.Unknown
	if unavailable == r.term.cloudUnavailable || outcome == protocol.Throttled {
		return
	}
	r.term.cloudUnavailable = unavailable
	if unavailable {
		r.deps.Log.Info("cloud unavailable", "state", logging.ConditionBegin, "outcome", outcome.String())
	} else {
		r.deps.Log.Info("cloud unavailable", "state", logging.ConditionEnd)
	}
}
