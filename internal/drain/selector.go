package drain

import (
	"slices"

	"pipitgap/internal/storage"
)

// Covers tells whether a drain is about a machine.
func Covers(d *storage.Drain, id, machineType, zone string, spot bool) bool {
	if d.LastMachine != "" && id > d.LastMachine {
		return false
	}
	return matches(&d.Selector, id, machineType, zone, spot)
}

func matches(s *storage.Selector, id, machineType, zone string, spot bool) bool {
	if len(s.Machines) > 0 {
		return slices.Contains(s.Machines, id)
	}
	return matchesOffer(s, machineType, zone, spot)
}

func matchesOffer(s *storage.Selector, machineType, zone string, spot bool) bool {
	return (s.Zone == "" || s.Zone == zone) && (s.Type == "" || s.Type == machineType) &&
		(s.CapacityType == storage.AnyCapacity || s.CapacityType == storage.CapacityTypeOf(spot))
}

// ClosesOffer tells whether a drain keeps a type, zone and kind from being rented: what is
// rented there would have to be drained as well.
func ClosesOffer(d *storage.Drain, machineType, zone string, spot bool) bool {
	return d.State.Unfinished() && d.ClosesOffers() && matchesOffer(&d.Selector, machineType, zone, spot)
}

// SelectorEmpty tells whether a selector names nothing.
func SelectorEmpty(s *storage.Selector) bool {
	return len(s.Machines) == 0 && s.Zone == "" && s.Type == "" && s.CapacityType == storage.AnyCapacity
}

// drainCovering gives the unfinished drain that a machine belongs to. Drains don't overlap.
func (s *Snapshot) drainCovering(m *Machine) (*DrainRecord, bool) {
	for i := range s.drains {
		d := &s.drains[i]
		if d.State.Unfinished() && Covers(&d.Drain, m.ID, m.Type, m.Zone, m.Spot) {
			return d, true
		}
	}
	return nil, false
}

// Selected lists the machines that a drain is about, by their ids.
func (s *Snapshot) Selected(d *storage.Drain) []string {
	var selected []string
	s.ForEachMachine(func(m *Machine) bool {
		if Covers(d, m.ID, m.Type, m.Zone, m.Spot) {
			selected = append(selected, m.ID)
		}
		return true
	})
	return selected
}

// Overlaps tells whether two drains can be about the same machine: one that is there, or one
// that is still to come.
func (s *Snapshot) Overlaps(a, b *storage.Drain) bool {
	for _, id := range s.Selected(a) {
		m, _ := s.Machine(id)
		if Covers(b, m.ID, m.Type, m.Zone, m.Spot) {
			return true
		}
	}
	return a.ClosesOffers() && b.ClosesOffers() && compatible(&a.Selector, &b.Selector)
}

// compatible tells whether a machine can be matched by two selectors of whole zones, types and kinds.
func compatible(a, b *storage.Selector) bool {
	agree := func(x, y string) bool { return x == "" || y == "" || x == y }
	return agree(a.Zone, b.Zone) && agree(a.Type, b.Type) &&
		agree(string(a.CapacityType), string(b.CapacityType))
}
