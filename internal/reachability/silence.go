package reachability

// minSilentMachines is how many machines must be silent before that says anything of a zone or of this
// controller: fewer may have failed by themselves.
const minSilentMachines = 3

// SilenceCount counts machines, and which of them are silent.
type SilenceCount struct{ Machines, Silent int }

// Add counts a machine. One that was claimed just now and has had no time to be heard says nothing yet.
func (s *SilenceCount) Add(silent, neverReported bool) {
	if neverReported && !silent {
		return
	}
	s.Machines++
	if silent {
		s.Silent++
	}
}

// IsUnreachable reports whether the machines as a whole are silent: three quarters of them.
func (s *SilenceCount) IsUnreachable() bool {
	return s != nil && s.Silent >= minSilentMachines && 4*s.Silent >= 3*s.Machines
}

// mostResponsive reports whether more than half of the machines are heard.
func (s *SilenceCount) mostResponsive() bool { return s.Machines > 0 && 2*s.Silent < s.Machines }
