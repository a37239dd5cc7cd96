package autoscaler

import (
	"math"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
)

// maxPremium is the largest ratio of a machine's price to that of the cheapest offer at which the machine
// is provisioned, or kept, for idle-time work. No machine above it is provisioned for work that will meet
// its deadlines without it.
const maxPremium = 1.5

// TooExpensive reports whether a pool is too expensive for idle-time work that may use the named types,
// and spot machines if spot is set.
func TooExpensive(pool Pool, names []string, spot bool, types map[string]*fleet.Type) bool {
	return pricePerCPU(types[pool.Type], pool.Spot) > maxPremium*lowestPricePerCPU(names, spot, types)
}

// pricePerCPU returns the price of a CPU of a machine type, or infinity if the type is nil or has no CPU.
func pricePerCPU(machineType *fleet.Type, spot bool) float64 {
	if machineType == nil || machineType.Capacity[binpack.CPU] == 0 {
		return math.Inf(1)
	}
	return machineType.PriceFor(spot) / float64(machineType.Capacity[binpack.CPU])
}

// lowestPricePerCPU returns the price of a CPU in the cheapest offer of the named types.
func lowestPricePerCPU(names []string, spot bool, types map[string]*fleet.Type) float64 {
	least := math.Inf(1)
	for _, name := range names {
		least = math.Min(least, pricePerCPU(types[name], false))
		if spot {
			least = math.Min(least, pricePerCPU(types[name], true))
		}
	}
	return least
}
