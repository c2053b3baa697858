package drain

import (
	"slices"

	"pipitgap/internal/storage"
)

// Covers reports whether a machine belongs to a drain.
func Covers(record *storage.Drain, id, machineType, zone string, spot bool) bool {
	if record.LastMachine != "" && id > record.LastMachine {
		return false
	}
	return matches(&record.Selector, id, machineType, zone, spot)
}

// matches reports whether a selector names a machine, or its zone, type and capacity type.
func matches(selector *storage.Selector, id, machineType, zone string, spot bool) bool {
	if len(selector.Machines) > 0 {
		return slices.Contains(selector.Machines, id)
	}
	return matchesOffer(selector, machineType, zone, spot)
}

// matchesOffer reports whether a selector by zone, type and capacity type matches an offer.
func matchesOffer(selector *storage.Selector, machineType, zone string, spot bool) bool {
	return (selector.Zone == "" || selector.Zone == zone) &&
		(selector.Type == "" || selector.Type == machineType) &&
		(selector.CapacityType == storage.AnyCapacity ||
			selector.CapacityType == storage.CapacityTypeOf(spot))
}

// ClosesOffer reports whether a drain keeps an offer (type, zone, spot or on demand) from being requested:
// such machines would have to be drained as well.
func ClosesOffer(record *storage.Drain, machineType, zone string, spot bool) bool {
	return record.State.Unfinished() && record.ClosesOffers() &&
		matchesOffer(&record.Selector, machineType, zone, spot)
}

// SelectorEmpty reports whether a selector names nothing.
func SelectorEmpty(selector *storage.Selector) bool {
	return len(selector.Machines) == 0 && selector.Zone == "" && selector.Type == "" &&
		selector.CapacityType == storage.AnyCapacity
}

// drainCovering returns the unfinished drain that a machine belongs to. Drains don't overlap.
func (s *Snapshot) drainCovering(machine *Machine) (*DrainRecord, bool) {
	for i := range s.drains {
		record := &s.drains[i]
		if record.State.Unfinished() && Covers(&record.Drain, machine.ID, machine.Type, machine.Zone, machine.Spot) {
			return record, true
		}
	}
	return nil, false
}

// Selected lists the ids of the machines that belong to a drain, in order.
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

// Overlaps reports whether a machine can belong to both of two drains: one that is up, or a future one.
func (s *Snapshot) Overlaps(a, b *storage.Drain) bool {
	for _, id := range s.Selected(a) {
		machine, _ := s.Machine(id)
		if Covers(b, machine.ID, machine.Type, machine.Zone, machine.Spot) {
			return true
		}
	}
	return a.ClosesOffers() && b.ClosesOffers() && mayMatchSameMachine(&a.Selector, &b.Selector)
}

// mayMatchSameMachine reports whether two selectors by zone, type and capacity type can match the same machine.
func mayMatchSameMachine(a, b *storage.Selector) bool {
	agree := func(x, y string) bool { return x == "" || y == "" || x == y }
	return agree(a.Zone, b.Zone) && agree(a.Type, b.Type) &&
		agree(string(a.CapacityType), string(b.CapacityType))
}
