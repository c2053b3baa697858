package peers

import (
	"pipitgap/internal/cancellation"
	"pipitgap/internal/monotime"
	"pipitgap/internal/peerwire"
	wirecancellation "pipitgap/internal/peerwire/cancellation"
)

// ToFrame converts a status to its wire form. The frame shares the map and the slice of teams with the status.
func ToFrame(status *Status) peerwire.Hint {
	return peerwire.Hint{
		Node:          status.Node,
		Incarnation:   status.Incarnation,
		StoreOK:       status.StateServiceReachable,
		Users:         status.WaitingUserRequests,
		Reach:         int(status.WorkerReach),
		Failing:       status.FailingJobs,
		LackLimit:     status.TeamsShortOfQuota,
		Cancellations: cancellationFrame(&status.Cancellations),
	}
}

// StatusFromFrame converts a received frame to a status. It is the inverse of ToFrame.
func StatusFromFrame(frame *peerwire.Hint) Status {
	return Status{
		Node:                  frame.Node,
		Incarnation:           frame.Incarnation,
		StateServiceReachable: frame.StoreOK,
		WaitingUserRequests:   frame.Users,
		WorkerReach:           WorkerReach(frame.Reach),
		FailingJobs:           frame.Failing,
		TeamsShortOfQuota:     frame.LackLimit,
		Cancellations:         fromCancellationFrame(&frame.Cancellations),
	}
}

// cancellationFrame converts a message of a cancellation round to its wire form.
func cancellationFrame(message *cancellation.RoundMessage) peerwire.Message {
	frame := peerwire.Message{
		Incarnation:     message.Incarnation,
		Clock:           int64(message.Clock),
		EchoIncarnation: message.EchoedIncarnation,
		EchoClock:       int64(message.EchoedClock),
		Watched:         message.MirrorRevision,
		Complete:        message.RecordsLoaded,
		Round:           message.Round,
		Parts:           message.MessagesInRound,
	}
	for _, committed := range message.Committed {
		frame.Committed = append(frame.Committed,
			wirecancellation.Committed{Job: committed.Job, Revision: committed.Revision})
	}
	return frame
}

// fromCancellationFrame converts a received cancellation message. It is the inverse of cancellationFrame.
func fromCancellationFrame(frame *peerwire.Message) cancellation.RoundMessage {
	message := cancellation.RoundMessage{
		Incarnation:       frame.Incarnation,
		Clock:             monotime.Micros(frame.Clock),
		EchoedIncarnation: frame.EchoIncarnation,
		EchoedClock:       monotime.Micros(frame.EchoClock),
		MirrorRevision:    frame.Watched,
		RecordsLoaded:     frame.Complete,
		Round:             frame.Round,
		MessagesInRound:   frame.Parts,
	}
	for _, committed := range frame.Committed {
		message.Committed = append(message.Committed,
			cancellation.Committed{Job: committed.Job, Revision: committed.Revision})
	}
	return message
}
