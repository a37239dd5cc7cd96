package cloudprovider

import (
	"shalestage.example/shalestage/internal/core/units"
)

// priceHistory is a machine type with its varying spot price and the integral of that price.
type priceHistory struct {
	MachineType
	spot         float64
	spotIntegral float64 // of the spot price up to at, in price (per hour) times seconds
	at           units.Microseconds
}

// integral returns the integral of the spot price up to now.
func (h *priceHistory) integral(now units.Microseconds) float64 {
	h.spotIntegral += h.spot * max(0, (now-h.at).Seconds())
	h.at = max(h.at, now)
	return h.spotIntegral
}

// movePrices changes each spot price by one random step of up to 5%, and keeps it within a third of its
// nominal value.
func (p *Provider) movePrices(at units.Microseconds) {
	for _, t := range p.config.Types {
		history := p.types[t.Name]
		history.integral(at)
		history.spot = min(max(history.spot*(0.95+0.1*p.rng.Float64()), t.SpotPrice*2/3), t.SpotPrice*4/3)
	}
	p.steps.Add(at+priceInterval, step{kind: stepPrices})
}

// charge returns the cost of a machine up to now. It bills the duration least if the machine is younger.
func (p *Provider) charge(now units.Microseconds, m *Machine, least units.Microseconds) float64 {
	if m.DiedAt != units.MaxTime {
		return m.costAtDeath
	}
	history := p.types[m.Type]
	billed := max(now-m.CreatedAt, 0)
	rest := max(least-billed, 0).Seconds()
	if !m.Spot {
		return (billed.Seconds() + rest) * history.Price / 3600
	}
	return (history.integral(now) - m.integralAtCreation + rest*history.spot) / 3600
}

// HourlyRate returns the current price of a machine per hour.
func (p *Provider) HourlyRate(m *Machine) float64 {
	if m.Spot {
		return p.types[m.Type].spot
	}
	return p.types[m.Type].Price
}

// Spent returns the total cost of all machines up to now.
func (p *Provider) Spent(now units.Microseconds) float64 {
	sum := p.spentOnDeleted
	for _, m := range p.machines {
		if m.DeletedAt == units.MaxTime {
			sum += p.charge(now, m, 0)
		}
	}
	return sum
}
