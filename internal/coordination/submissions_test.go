package coordination

import "pipitgap/internal/protocol"

// jobOption changes fields of a submission. The other fields keep the defaults of newSubmission.
type jobOption func(*protocol.Submission)

// newSubmission returns a submission of a job array with one small task and without an ID. It applies the
// options in order.
func newSubmission(options ...jobOption) *protocol.Submission {
	s := &protocol.Submission{
		Class: "batch", Team: "free", Priority: protocol.Standard, Tasks: 1,
		CPUs: 2, MemoryGB: 4, Image: "img", ImageGB: 0.5, EstimateS: 5,
	}
	jobWith(options...)(s)
	return s
}

// jobWith combines several options into one.
func jobWith(options ...jobOption) jobOption {
	return func(s *protocol.Submission) {
		for _, option := range options {
			option(s)
		}
	}
}

func withClass(value string) jobOption {
	return func(s *protocol.Submission) { s.Class = value }
}

func withTeam(value string) jobOption {
	return func(s *protocol.Submission) { s.Team = value }
}

func withService(value bool) jobOption {
	return func(s *protocol.Submission) { s.Service = value }
}

func withPriority(value protocol.Priority) jobOption {
	return func(s *protocol.Submission) { s.Priority = value }
}

func withTasks(value int) jobOption {
	return func(s *protocol.Submission) { s.Tasks = value }
}

func withCPUs(value float64) jobOption {
	return func(s *protocol.Submission) { s.CPUs = value }
}

func withMemoryGB(value float64) jobOption {
	return func(s *protocol.Submission) { s.MemoryGB = value }
}

func withImage(value string) jobOption {
	return func(s *protocol.Submission) { s.Image = value }
}

func withImageGB(value float64) jobOption {
	return func(s *protocol.Submission) { s.ImageGB = value }
}

func withZone(value string) jobOption {
	return func(s *protocol.Submission) { s.Zone = value }
}

func withOneZone(value bool) jobOption {
	return func(s *protocol.Submission) { s.OneZone = value }
}

func withSpread(value bool) jobOption {
	return func(s *protocol.Submission) { s.Spread = value }
}

func withSpot(value bool) jobOption {
	return func(s *protocol.Submission) { s.Spot = value }
}

func withEstimateS(value float64) jobOption {
	return func(s *protocol.Submission) { s.EstimateS = value }
}

func withCheckpointS(value float64) jobOption {
	return func(s *protocol.Submission) { s.CheckpointS = value }
}

func withSaveS(value float64) jobOption {
	return func(s *protocol.Submission) { s.SaveS = value }
}

func withDeadlineS(value float64) jobOption {
	return func(s *protocol.Submission) { s.DeadlineS = value }
}

func withTypes(names ...string) jobOption {
	return func(s *protocol.Submission) { s.Types = names }
}
