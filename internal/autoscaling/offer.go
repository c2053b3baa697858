package autoscaling

import (
	"fmt"
	"sort"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
)

// bootPenaltySeconds is the boot time that makes an offer count as twice as dear.
const bootPenaltySeconds = 60

// costTolerance is the difference up to which two costs count as equal.
const costTolerance = 1e-9

// Offer is a kind of machine that can be requested.
type Offer struct {
	MachineType, Zone string
	Spot              bool
}

// PricedOffer is what the planner knows of an offer.
type PricedOffer struct {
	Offer
	Capacity     resources.Vector
	Price        float64 // with the boot time's penalty, see effectivePrice
	ZoneMachines int     // machines in its zone, there or requested: fewest wins a tie
}

// effectivePrice is an offer's price with a penalty for the boot time: that is paid for too, and keeps tasks
// waiting.
func effectivePrice(machineType *protocol.MachineType, spot bool) float64 {
	price := machineType.OnDemandPrice
	if spot {
		price = machineType.SpotPrice
	}
	return price * (1 + machineType.BootS/bootPenaltySeconds)
}

// ScaleInDelay is how long an empty machine is kept: the whole delay if it is of its type's cheapest kind,
// less for a dearer one in proportion to the price. Capacity kept for the next burst should cost as little as
// possible.
func ScaleInDelay(machineType protocol.MachineType, spot bool, delay monotime.Micros) monotime.Micros {
	if spot || machineType.SpotPrice <= 0 || machineType.SpotPrice >= machineType.OnDemandPrice {
		return delay
	}
	return monotime.Micros(float64(delay) * machineType.SpotPrice / machineType.OnDemandPrice)
}

// packing is what one machine of an offer would carry.
type packing struct {
	tasks []int // of each demand
	cpus  float64
}

// packMachine packs one machine of an offer with the demands that may use it, first fit.
func packMachine(offer *PricedOffer, demands []*Demand, mayUse func(*Demand, *PricedOffer) bool) packing {
	free := offer.Capacity
	packed := packing{tasks: make([]int, len(demands))}
	for i, demand := range demands {
		if demand.Tasks == 0 || !demand.allowsMachine(offer.Offer) || !mayUse(demand, offer) {
			continue
		}
		n := demand.tasksFitting(free, offer.Zone)
		free = free.AddScaled(demand.Need, -float64(n))
		packed.tasks[i] = n
		packed.cpus += float64(n) * demand.Need.CPUs
	}
	return packed
}

// cheapestOffer finds the offer with the lowest price for the CPUs that would be used, ties to the zone with
// fewest machines; it is nil if none can take a task.
func cheapestOffer(
	demands []*Demand,
	offers []*PricedOffer,
	mayUse func(*Demand, *PricedOffer) bool,
) (*PricedOffer, packing) {
	var best *PricedOffer
	var bestPacking packing
	bestCost := 0.0
	for _, offer := range offers {
		packed := packMachine(offer, demands, mayUse)
		if packed.cpus <= 0 {
			continue
		}
		cost := offer.Price / packed.cpus
		if best == nil || cost < bestCost-costTolerance ||
			cost < bestCost+costTolerance && offer.ZoneMachines < best.ZoneMachines {
			best, bestPacking, bestCost = offer, packed, cost
		}
	}
	return best, bestPacking
}

// chooseOffers adds to chosen, machine by machine and at most so many, the cheapest offers for demands that
// fit nowhere, and takes from the demands what they carry. What remains of the demands can't be met now.
func chooseOffers(
	demands []*Demand,
	offers []*PricedOffer,
	maxMachines int,
	mayUse func(*Demand, *PricedOffer) bool,
	chosen map[Offer]int,
) {
	for range maxMachines {
		best, packed := cheapestOffer(demands, offers, mayUse)
		if best == nil {
			return
		}
		for i, n := range packed.tasks {
			demands[i].placeTasks(n, best.Zone)
		}
		chosen[best.Offer]++
		for _, offer := range offers {
			if offer.Zone == best.Zone {
				offer.ZoneMachines++
			}
		}
	}
}

// sortedOffers lists what was chosen, always in the same order.
func sortedOffers(chosen map[Offer]int) []Offer {
	var out []Offer
	for offer := range chosen {
		out = append(out, offer)
	}
	sort.Slice(out, func(a, b int) bool { return fmt.Sprint(out[a]) < fmt.Sprint(out[b]) })
	return out
}
