package autoscaling

import (
	"pipitgap/internal/mirror"
	"pipitgap/internal/protocol"
)

// maxMachinesPerPass bounds the number of machines that each step of a pass requests.
const maxMachinesPerPass = 600

// Plan is one pass of the autoscaler. The caller calls PlaceDemand and then ScaleOuts, each only once,
// because both modify the demands and the bins.
type Plan struct {
	Waiting  []*Demand // unplaced tasks within their teams' quotas
	Headroom []*Demand // capacity to keep available for future services
	Bins     []*Bin    // machines that are up or requested

	MachineTypes map[string]protocol.MachineType
	// ExpectedCapacity and ExpectedOnDemandCapacity are planning horizons in boot times of a machine type.
	// Capacity that running machines are expected to free within the horizon counts as supply.
	// ExpectedOnDemandCapacity applies before on-demand machines are requested for spot tasks.
	ExpectedCapacity, ExpectedOnDemandCapacity float64
}

// ScaleOut is an offer and the number of its machines to request.
type ScaleOut struct {
	Offer
	Machines int // number of machines to request
}

// PlaceDemand places the demand on the machines that are up or requested. It returns all demands, including
// headroom, each with the tasks that remain unplaced.
func (p *Plan) PlaceDemand() []*Demand {
	sortLargestFirst(p.Waiting)
	fillBins(p.Waiting, p.Bins)
	absorbByPreemption(p.Waiting, p.Bins)
	reserveHeadroom(p.Headroom, p.Bins)
	absorbDemand(p.Waiting, p.Bins, absorptionPolicy{bootTimes: p.ExpectedCapacity})
	return append(p.Waiting, p.Headroom...)
}

// ScaleOuts chooses offers for unmet demands in two steps. The first step chooses spot machines for tasks
// that may use them and on-demand machines for all others. The second step chooses machines of either market
// for spot tasks that would wait too long. Both steps subtract the tasks that the chosen machines can run
// from the demands.
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

// matchesMarket allows spot offers only for tasks that may use spot machines, and on-demand offers only for
// all other tasks.
func matchesMarket(demand *Demand, offer *PricedOffer) bool { return offer.Spot == demand.Spec.Spot }

// inAnyMarket allows every offer, except on-demand offers for spot-only tasks.
func inAnyMarket(demand *Demand, offer *PricedOffer) bool { return offer.Spot || !demand.SpotOnly }

// filledBin returns a bin for a machine of an offer that this pass chose. Nothing on it is free, but capacity
// that its tasks release counts as supply.
func (p *Plan) filledBin(offer Offer) *Bin {
	machineType := p.MachineTypes[offer.MachineType]
	return &Bin{
		Offer:       offer,
		Capacity:    mirror.MachineCapacity(&machineType),
		ArrayCPUs:   machineType.CPUs,
		BootSeconds: machineType.BootS,
	}
}

// MachinesNeeded returns the IDs of the machines that headroom and replacements for drained replicas need.
// These machines aren't removed while they are empty.
func MachinesNeeded(demands []*Demand, bins []*Bin) map[string]bool {
	return reserveHeadroom(demands, bins)
}
