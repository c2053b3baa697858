package autoscaling

import (
	"fmt"
	"sort"

	"pipitgap/internal/monotime"
	"pipitgap/internal/protocol"
	"pipitgap/internal/resources"
)

// bootPenaltySeconds is the boot time at which effectivePrice doubles an offer's price.
const bootPenaltySeconds = 60

// costTolerance is the difference below which two costs count as equal.
const costTolerance = 1e-9

// Offer is a kind of machine to request: a machine type in a zone, on the spot or on-demand market.
type Offer struct {
	MachineType, Zone string
	Spot              bool
}

// PricedOffer is an offer with the attributes by which the planner compares it to others.
type PricedOffer struct {
	Offer
	Capacity     resources.Vector
	Price        float64 // includes the boot-time penalty, see effectivePrice
	ZoneMachines int     // machines up or requested in its zone; the offer with the fewest wins a tie
}

// effectivePrice returns an offer's price with a penalty for the boot time: the boot is paid for too, and
// tasks wait for it.
func effectivePrice(machineType *protocol.MachineType, spot bool) float64 {
	price := machineType.OnDemandPrice
	if spot {
		price = machineType.SpotPrice
	}
	return price * (1 + machineType.BootS/bootPenaltySeconds)
}

// ScaleInDelay returns how long an empty machine is kept. Spot machines, and on-demand machines whose type
// has no cheaper spot price, are kept for the whole delay. For other on-demand machines the delay is
// multiplied by the ratio of the spot price to the on-demand price, because capacity kept for the next burst
// should cost as little as possible.
func ScaleInDelay(machineType protocol.MachineType, spot bool, delay monotime.Micros) monotime.Micros {
	if spot || machineType.SpotPrice <= 0 || machineType.SpotPrice >= machineType.OnDemandPrice {
		return delay
	}
	return monotime.Micros(float64(delay) * machineType.SpotPrice / machineType.OnDemandPrice)
}

// packing is the set of tasks that one machine of an offer would run.
type packing struct {
	tasks []int   // number of tasks of each demand, in the order of the demands
	cpus  float64 // CPUs that these tasks use
}

// packMachine packs the demands that may use an offer onto one of its machines, first fit.
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

// cheapestOffer returns the offer whose machine has the lowest price per CPU in use, and the packing of that
// machine. A tie goes to the zone with the fewest machines. The offer is nil if no offer can run a task.
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

// chooseOffers adds machines of the cheapest offers to chosen, one at a time and at most maxMachines, and
// subtracts the tasks that they can run from the demands. If it stops before maxMachines, no offer can run
// the tasks that remain.
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

// sortedOffers lists the chosen offers in a deterministic order.
func sortedOffers(chosen map[Offer]int) []Offer {
	var out []Offer
	for offer := range chosen {
		out = append(out, offer)
	}
	sort.Slice(out, func(a, b int) bool { return fmt.Sprint(out[a]) < fmt.Sprint(out[b]) })
	return out
}
