package reachability

// minSilentMachines is the number of silent machines from which a zone, or all workers of this controller,
// may be judged unreachable. Fewer machines may have failed independently.
const minSilentMachines = 3

// SilenceCount counts machines and how many of them are silent.
type SilenceCount struct{ Machines, Silent int }

// Add counts a machine. It skips a machine that has never reported but is not silent yet: it was claimed
// recently and has not had time to report.
func (s *SilenceCount) Add(silent, neverReported bool) {
	if neverReported && !silent {
		return
	}
	s.Machines++
	if silent {
		s.Silent++
	}
}

// IsUnreachable reports whether the machines as a group are unreachable: at least three quarters of them, and
// at least minSilentMachines, are silent. A nil count is not unreachable.
func (s *SilenceCount) IsUnreachable() bool {
	return s != nil && s.Silent >= minSilentMachines && 4*s.Silent >= 3*s.Machines
}

// mostResponsive reports whether more than half of the machines are not silent.
func (s *SilenceCount) mostResponsive() bool { return s.Machines > 0 && 2*s.Silent < s.Machines }
