package autoscaler

import (
	"math"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
)

// maxPremium is how much dearer than the cheapest offer a machine may be that is provisioned, or
// kept, for work that uses what others leave. Beyond it no machine is provisioned for work that will
// be in time without.
const maxPremium = 1.5

// TooExpensive reports whether a pool costs too much for work that uses what others leave, given the
// types and kinds that it may use.
func TooExpensive(pool Pool, names []string, spot bool, types map[string]*fleet.Type) bool {
	return pricePerCPU(types[pool.Type], pool.Spot) > maxPremium*lowestPricePerCPU(names, spot, types)
}

// pricePerCPU is the price of a CPU of a type.
func pricePerCPU(machineType *fleet.Type, spot bool) float64 {
	if machineType == nil || machineType.Capacity[binpack.CPU] == 0 {
		return math.Inf(1)
	}
	return machineType.PriceFor(spot) / float64(machineType.Capacity[binpack.CPU])
}

// lowestPricePerCPU is the price of a CPU of the lowestPricePerCPU offer of some types.
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
