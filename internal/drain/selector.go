package drain

import (
	"slices"

	"pipitgap/internal/storage"
)

// Covers reports whether a machine belongs to a drain. Machines with ids above LastMachine were created later
// and don't belong to it.
func Covers(record *storage.Drain, id, machineType, zone string, spot bool) bool {
	if record.LastMachine != "" && id > record.LastMachine {
		return false
	}
	return matches(&record.Selector, id, machineType, zone, spot)
}

// matches reports whether a selector matches a machine: by its id if the selector lists machines, otherwise
// by its zone, type and capacity type.
func matches(selector *storage.Selector, id, machineType, zone string, spot bool) bool {
	if len(selector.Machines) > 0 {
		return slices.Contains(selector.Machines, id)
	}
	return matchesOffer(selector, machineType, zone, spot)
}

// matchesOffer reports whether a selector by zone, type and capacity type matches an offer. An empty field of
// the selector matches every offer.
func matchesOffer(selector *storage.Selector, machineType, zone string, spot bool) bool {
	return (selector.Zone == "" || selector.Zone == zone) &&
		(selector.Type == "" || selector.Type == machineType) &&
		(selector.CapacityType == storage.AnyCapacity ||
			selector.CapacityType == storage.CapacityTypeOf(spot))
}

// ClosesOffer reports whether a drain excludes an offer (machine type, zone, spot or on demand) from
// scale-out, because the new machines would have to be drained as well.
func ClosesOffer(record *storage.Drain, machineType, zone string, spot bool) bool {
	return record.State.Unfinished() && record.ClosesOffers() &&
		matchesOffer(&record.Selector, machineType, zone, spot)
}

// SelectorEmpty reports whether a selector has no criteria.
func SelectorEmpty(selector *storage.Selector) bool {
	return len(selector.Machines) == 0 && selector.Zone == "" && selector.Type == "" &&
		selector.CapacityType == storage.AnyCapacity
}

// drainCovering returns the unfinished drain that a machine belongs to. There is at most one, because
// unfinished drains don't overlap.
func (s *Snapshot) drainCovering(machine *Machine) (*DrainRecord, bool) {
	for i := range s.drains {
		record := &s.drains[i]
		if record.State.Unfinished() && Covers(&record.Drain, machine.ID, machine.Type, machine.Zone, machine.Spot) {
			return record, true
		}
	}
	return nil, false
}

// Selected lists the ids of the machines that belong to a drain, in ascending order.
func (s *Snapshot) Selected(record *storage.Drain) []string {
	var selected []string
	s.ForEachMachine(func(machine *Machine) bool {
		if Covers(record, machine.ID, machine.Type, machine.Zone, machine.Spot) {
			selected = append(selected, machine.ID)
		}
		return true
	})
	return selected
}

// Overlaps reports whether a machine can belong to both drains: either an existing machine, or one that is
// created later.
func (s *Snapshot) Overlaps(a, b *storage.Drain) bool {
	for _, id := range s.Selected(a) {
		machine, _ := s.Machine(id)
		if Covers(b, machine.ID, machine.Type, machine.Zone, machine.Spot) {
			return true
		}
	}
	return a.ClosesOffers() && b.ClosesOffers() && mayMatchSameMachine(&a.Selector, &b.Selector)
}

// mayMatchSameMachine reports whether two selectors by zone, type and capacity type can match the same
// machine.
func mayMatchSameMachine(a, b *storage.Selector) bool {
	agree := func(x, y string) bool { return x == "" || y == "" || x == y }
	return agree(a.Zone, b.Zone) && agree(a.Type, b.Type) &&
		agree(string(a.CapacityType), string(b.CapacityType))
}
