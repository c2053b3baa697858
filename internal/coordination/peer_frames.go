package coordination

import (
	"pipitgap/internal/cancellation"
	"pipitgap/internal/micros"
	"pipitgap/internal/peerwire"
	wirecancellation "pipitgap/internal/peerwire/cancellation"
)

// PeerFrame converts a status to the form in which controllers send it. Its map is shared.
func PeerFrame(status *Hint) peerwire.Hint {
	return peerwire.Hint{
		Node:          status.Node,
		Incarnation:   status.Incarnation,
		StoreOK:       status.StoreOK,
		Users:         status.Users,
		Reach:         int(status.Reach),
		Failing:       status.Failing,
		LackLimit:     status.LackLimit,
		Cancellations: cancellationFrame(&status.Cancellations),
	}
}

// FromPeerFrame converts a received frame to a status, see PeerFrame.
func FromPeerFrame(frame *peerwire.Hint) Hint {
	return Hint{
		Node:          frame.Node,
		Incarnation:   frame.Incarnation,
		StoreOK:       frame.StoreOK,
		Users:         frame.Users,
		Reach:         Reach(frame.Reach),
		Failing:       frame.Failing,
		LackLimit:     frame.LackLimit,
		Cancellations: fromCancellationFrame(&frame.Cancellations),
	}
}

func cancellationFrame(message *cancellation.Message) peerwire.Message {
	frame := peerwire.Message{
		Incarnation:     message.Incarnation,
		Clock:           int64(message.Clock),
		EchoIncarnation: message.EchoIncarnation,
		EchoClock:       int64(message.EchoClock),
		Watched:         message.Watched,
		Complete:        message.Complete,
		Round:           message.Round,
		Parts:           message.Parts,
	}
	for _, committed := range message.Committed {
		frame.Committed = append(frame.Committed,
			wirecancellation.Committed{Job: committed.Job, Revision: committed.Revision})
	}
	return frame
}

func fromCancellationFrame(frame *peerwire.Message) cancellation.Message {
	message := cancellation.Message{
		Incarnation:     frame.Incarnation,
		Clock:           micros.T(frame.Clock),
		EchoIncarnation: frame.EchoIncarnation,
		EchoClock:       micros.T(frame.EchoClock),
		Watched:         frame.Watched,
		Complete:        frame.Complete,
		Round:           frame.Round,
		Parts:           frame.Parts,
	}
	for _, committed := range frame.Committed {
		message.Committed = append(message.Committed,
			cancellation.Committed{Job: committed.Job, Revision: committed.Revision})
	}
	return message
}
