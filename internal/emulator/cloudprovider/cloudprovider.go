// Package cloudprovider is the model of the cloud provider: it creates and deletes machines, bills
// them by the second, reclaims spot machines and shows a list that lags, as the protocol describes
// it. It is pure: time and random draws go in, effects come out of Drain.
package cloudprovider

import (
	"math/rand/v2"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/eventqueue"
)

// Limits of the protocol.
const (
	MaxScaleOut = 50  // machines of one request
	MaxScaleIn  = 100 // names of one request
	MaxListPage = 500 // machines of one page of the list
)

// Times of the provider.
const (
	MinimumCharge    = 60 * units.Second // that a deleted machine is billed for at least
	failureDetection = 30 * units.Second // for which a machine that died is still listed as running
	priceInterval    = 20 * units.Second // how often spot prices move
	quickBoot        = 2 * units.Second  // within which machines are up while they boot quickly
)

// MachineType is a machine type on the price list. Prices are an hour.
type MachineType struct {
	Name          string
	CPUs          float64
	GPUs          float64
	MemoryGB      float64
	CacheGB       float64
	FetchGBs      float64
	Price         float64
	SpotPrice     float64
	Boot          units.Microseconds
	BootFailShare float64 // of machines that never come up
	Zones         []string
}

// Pool is a type, zone and kind of machine; each has a capacity of its own.
type Pool struct {
	Type string
	Zone string
	Spot bool
}

// Config says what the provider has, and what goes wrong there.
type Config struct {
	Types         []MachineType
	Capacity      map[Pool]int
	RequestRate   float64 // requests a second, with a burst of two seconds' worth
	ListLag       units.Microseconds
	ReclaimRate   float64 // of spot machines, as a share an hour
	Notice        units.Microseconds
	NoNoticeShare float64 // of those reclaimed without a notice
	SlowShare     float64 // of machines that are several times slower
	FailingShare  float64 // of machines on which every task fails
	FirstNumber   int     // number of the first machine
}

// stepKind is what a scheduled step does.
type stepKind int

const (
	stepBoot   stepKind = iota
	stepNotice          // of a reclaim
	stepReclaim
	stepPrices
)

// step is something that the provider does at its time.
type step struct {
	kind    stepKind
	machine *Machine
	draw    int // of stepNotice: counts only if it is the machine's last
}

// Provider is a cloud provider with its machines.
type Provider struct {
	config          Config
	rng             *rand.Rand
	types           map[string]*priceHistory
	machines        []*Machine // in the order of their names; those deleted long ago are dropped
	byName          map[string]*Machine
	used            map[Pool]int
	created         map[string][]string // names of the machines that each request created
	nextNumber      int
	steps           eventqueue.Queue[step]
	downUntil       units.Microseconds
	noCapacityUntil map[Pool]units.Microseconds
	quickBootUntil  units.Microseconds
	spentOnDeleted  float64 // what machines cost that are deleted or reclaimed
	bucket          struct {
		used float64
		at   units.Microseconds
	}
	effects []any
}

// New returns a provider without machines.
func New(config Config, rng *rand.Rand) *Provider {
	p := &Provider{config: config, rng: rng, types: map[string]*priceHistory{}, byName: map[string]*Machine{}, used: map[Pool]int{},
		created: map[string][]string{}, nextNumber: config.FirstNumber, noCapacityUntil: map[Pool]units.Microseconds{}}
	for _, t := range config.Types {
		p.types[t.Name] = &priceHistory{MachineType: t, spot: t.SpotPrice}
	}
	p.steps.Add(priceInterval, step{kind: stepPrices})
	return p
}

// Config returns what the provider is like.
func (p *Provider) Config() Config { return p.config }

// SetDown lets every request fail until a time; machines go on.
func (p *Provider) SetDown(until units.Microseconds) { p.downUntil = max(p.downUntil, until) }

// RefuseCapacity creates no machine in the pools that match until a time; an empty type or zone
// matches any.
func (p *Provider) RefuseCapacity(typ, zone string, until units.Microseconds) {
	for _, t := range p.config.Types {
		for _, z := range t.Zones {
			if (typ == "" || typ == t.Name) && (zone == "" || zone == z) {
				p.noCapacityUntil[Pool{t.Name, z, false}], p.noCapacityUntil[Pool{t.Name, z, true}] = until, until
			}
		}
	}
}

// BootQuickly lets every machine that is created until a time be up within quickBoot.
func (p *Provider) BootQuickly(until units.Microseconds) {
	p.quickBootUntil = max(p.quickBootUntil, until)
}

// SetReclaimRate changes how often spot machines are reclaimed from now on, as a share an hour.
// Draws are made anew for every machine.
func (p *Provider) SetReclaimRate(now units.Microseconds, perHour float64) {
	p.config.ReclaimRate = perHour
	for _, m := range p.machines {
		if m.Spot && m.DeletedAt == units.MaxTime {
			p.scheduleReclaim(now, m)
		}
	}
}

// Next returns when Advance is next of use.
func (p *Provider) Next() units.Microseconds { return p.steps.Next() }

// Advance lets time pass.
func (p *Provider) Advance(now units.Microseconds) {
	for {
		at, due, ok := p.steps.Due(now)
		if !ok {
			return
		}
		switch due.kind {
		case stepBoot:
			p.boot(at, due.machine)
		case stepNotice:
			if due.draw == due.machine.reclaimDraws {
				p.Reclaim(at, due.machine, p.config.Notice, p.config.NoNoticeShare)
			}
		case stepReclaim:
			p.reclaimNow(at, due.machine)
		case stepPrices:
			p.movePrices(at)
		}
	}
}

// boot lets the worker of a machine start that is there still.
func (p *Provider) boot(at units.Microseconds, m *Machine) {
	if m.DeletedAt == units.MaxTime && m.DiedAt == units.MaxTime {
		m.UpAt = at
		p.effects = append(p.effects, MachineStarted{m})
	}
}

// Drain returns the effects since the last call.
func (p *Provider) Drain() []any {
	out := p.effects
	p.effects = nil
	return out
}
