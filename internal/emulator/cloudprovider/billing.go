package cloudprovider

import (
	"shalestage.example/shalestage/internal/core/units"
)

// priceHistory is a machine type with its moving spot price and the integral of that price.
type priceHistory struct {
	MachineType
	spot         float64
	spotIntegral float64 // of the spot price up to at, in price seconds
	at           units.Microseconds
}

// integral returns the integral of the spot price up to now.
func (h *priceHistory) integral(now units.Microseconds) float64 {
	h.spotIntegral += h.spot * max(0, (now-h.at).Seconds())
	h.at = max(h.at, now)
	return h.spotIntegral
}

// movePrices moves the spot prices by a step around the nominal one, within a third of it.
func (p *Provider) movePrices(at units.Microseconds) {
	for _, t := range p.config.Types {
		history := p.types[t.Name]
		history.integral(at)
		history.spot = min(max(history.spot*(0.95+0.1*p.rng.Float64()), t.SpotPrice*2/3), t.SpotPrice*4/3)
	}
	p.steps.Add(at+priceInterval, step{kind: stepPrices})
}

// charge is what a machine has cost by a time, as if it had lived for least at least.
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

// HourlyRate is what a machine costs at present, an hour.
func (p *Provider) HourlyRate(m *Machine) float64 {
	if m.Spot {
		return p.types[m.Type].spot
	}
	return p.types[m.Type].Price
}

// Spent returns the money spent by now.
func (p *Provider) Spent(now units.Microseconds) float64 {
	sum := p.spentOnDeleted
	for _, m := range p.machines {
		if m.DeletedAt == units.MaxTime {
			sum += p.charge(now, m, 0)
		}
	}
	return sum
}
