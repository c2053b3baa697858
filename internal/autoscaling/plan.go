package autoscaling

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
)

// maxMachinesPerPass bounds the machines that each step of a pass chooses.
const maxMachinesPerPass = 600

// Plan is one pass of the autoscaler. It uses up its inputs: PlaceDemand, then ScaleOuts, are each called
// once.
type Plan struct {
	Waiting  []*Demand // tasks without room that the quotas let run
	Headroom []*Demand // room to be kept for services yet to come
	Bins     []*Bin    // machines that are up or requested

	MachineTypes map[string]protocol.MachineType
	// ExpectedCapacity and ExpectedOnDemandCapacity are the parts of a type's boot time within which what
	// running machines will have free counts as supply; the latter before on-demand machines are requested
	// for spot tasks.
	ExpectedCapacity, ExpectedOnDemandCapacity float64
}

// ScaleOut is a number of machines of one offer to be requested.
type ScaleOut struct {
	Offer
	Machines int // to be requested
}

// PlaceDemand places the demand on the machines that are up or requested, and returns all demands, headroom
// included, with the tasks that found no room.
func (p *Plan) PlaceDemand() []*Demand {
	sortLargestFirst(p.Waiting)
	fillBins(p.Waiting, p.Bins)
	absorbByPreemption(p.Waiting, p.Bins)
	reserveHeadroom(p.Headroom, p.Bins)
	absorbDemand(p.Waiting, p.Bins, absorptionPolicy{bootTimes: p.ExpectedCapacity})
	return append(p.Waiting, p.Headroom...)
}

// ScaleOuts chooses offers for demands that are unmet, in two steps: first spot machines for the tasks that
// may use them, and on-demand ones for the others; then any machine for spot tasks that would wait for too
// long. It takes from the demands what the machines carry.
func (p *Plan) ScaleOuts(unmet []*Demand, offers []*PricedOffer) []ScaleOut {
	chosen := map[Offer]int{}
	chooseOffers(unmet, offers, maxMachinesPerPass, matchesMarket, chosen)
	for _, offer := range sortedOffers(chosen) {
		for range chosen[offer] {
			p.Bins = append(p.Bins, p.filledBin(offer))
		}
	}
	absorbDemand(unmet, p.Bins, absorptionPolicy{bootTimes: p.ExpectedOnDemandCapacity, spotTasksOnly: true})
	chooseOffers(unmet, offers, maxMachinesPerPass, inAnyMarket, chosen)

	var out []ScaleOut
	for _, offer := range sortedOffers(chosen) {
		out = append(out, ScaleOut{offer, chosen[offer]})
	}
	return out
}

// matchesMarket lets tasks that may use spot machines use these only.
func matchesMarket(demand *Demand, offer *PricedOffer) bool { return offer.Spot == demand.Spec.Spot }

// inAnyMarket lets tasks use on-demand machines too, unless they are for spot machines only.
func inAnyMarket(demand *Demand, offer *PricedOffer) bool { return offer.Spot || !demand.SpotOnly }

// filledBin is a machine of an offer that has just been chosen, with nothing free: what ends there is supply.
func (p *Plan) filledBin(offer Offer) *Bin {
	machineType := p.MachineTypes[offer.MachineType]
	return &Bin{
		Offer:       offer,
		Capacity:    mirror.MachineCapacity(&machineType),
		ArrayCPUs:   machineType.CPUs,
		BootSeconds: machineType.BootS,
	}
}

// MachinesNeeded finds the machines that headroom and replacements of drained replicas are to be kept on:
// those aren't removed when they are empty.
func MachinesNeeded(demands []*Demand, bins []*Bin) map[string]bool {
	return reserveHeadroom(demands, bins)
}
