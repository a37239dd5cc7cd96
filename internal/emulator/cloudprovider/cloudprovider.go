// Package cloudprovider models the cloud provider: it creates and deletes machines, bills them by the
// second, reclaims spot machines and serves a machine list that lags behind, as the protocol defines
// it. It is deterministic and does no I/O: time and random numbers are inputs, and Drain returns the
// effects.
package cloudprovider

import (
	"math/rand/v2"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/eventqueue"
)

// Limits of the protocol.
const (
	MaxScaleOut = 50  // machines per request
	MaxScaleIn  = 100 // names per request
	MaxListPage = 500 // machines per page of the list
)

// Durations of the provider.
const (
	MinimumCharge    = 60 * units.Second // a deleted machine is billed for at least this long
	failureDetection = 30 * units.Second // how long a failed machine is still listed as running
	priceInterval    = 20 * units.Second // between changes of the spot prices
	quickBoot        = 2 * units.Second  // maximum boot time while BootQuickly is in effect
)

// MachineType is a machine type on the price list. Prices are per hour.
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
	BootFailShare float64 // share of machines that never come up
	Zones         []string
}

// Pool is a machine type in a zone, spot or on-demand. Each pool has its own capacity.
type Pool struct {
	Type string
	Zone string
	Spot bool
}

// Config describes the provider's machine types and capacity, and its faults.
type Config struct {
	Types         []MachineType
	Capacity      map[Pool]int
	RequestRate   float64 // requests per second; bursts of up to two seconds' worth are allowed
	ListLag       units.Microseconds
	ReclaimRate   float64 // share of spot machines reclaimed per hour
	Notice        units.Microseconds
	NoNoticeShare float64 // share of reclaimed machines that get no notice
	SlowShare     float64 // share of machines that are several times slower
	FailingShare  float64 // share of machines on which every task fails
	FirstNumber   int     // number of the first machine
}

// stepKind is the kind of a scheduled step.
type stepKind int

const (
	stepBoot   stepKind = iota
	stepNotice          // of an upcoming reclaim
	stepReclaim
	stepPrices
)

// step is an action of the provider that is scheduled for a time.
type step struct {
	kind    stepKind
	machine *Machine
	draw    int // of stepNotice: the step is ignored unless this is the machine's latest draw
}

// Provider is a cloud provider with its machines.
type Provider struct {
	config          Config
	rng             *rand.Rand
	types           map[string]*priceHistory
	machines        []*Machine // sorted by name; machines deleted long ago are dropped
	byName          map[string]*Machine
	used            map[Pool]int
	created         map[string][]string // names of the created machines by request, for idempotency
	nextNumber      int
	steps           eventqueue.Queue[step]
	downUntil       units.Microseconds
	noCapacityUntil map[Pool]units.Microseconds
	quickBootUntil  units.Microseconds
	spentOnDeleted  float64 // cost of the deleted and reclaimed machines
	bucket          struct {
		used float64
		at   units.Microseconds
	}
	effects []any
}

// New returns a provider that has no machines yet.
func New(config Config, rng *rand.Rand) *Provider {
	p := &Provider{config: config, rng: rng, types: map[string]*priceHistory{}, byName: map[string]*Machine{}, used: map[Pool]int{},
		created: map[string][]string{}, nextNumber: config.FirstNumber, noCapacityUntil: map[Pool]units.Microseconds{}}
	for _, t := range config.Types {
		p.types[t.Name] = &priceHistory{MachineType: t, spot: t.SpotPrice}
	}
	p.steps.Add(priceInterval, step{kind: stepPrices})
	return p
}

// Config returns the provider's current configuration.
func (p *Provider) Config() Config { return p.config }

// SetDown makes every request fail until a time. Machines keep running.
func (p *Provider) SetDown(until units.Microseconds) { p.downUntil = max(p.downUntil, until) }

// RefuseCapacity makes the matching pools report no capacity until a time. An empty type or zone
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

// BootQuickly makes every machine that is created until a time boot within quickBoot.
func (p *Provider) BootQuickly(until units.Microseconds) {
	p.quickBootUntil = max(p.quickBootUntil, until)
}

// SetReclaimRate sets the share of spot machines that are reclaimed per hour from now on. The reclaim
// time of every spot machine is redrawn.
func (p *Provider) SetReclaimRate(now units.Microseconds, perHour float64) {
	p.config.ReclaimRate = perHour
	for _, m := range p.machines {
		if m.Spot && m.DeletedAt == units.MaxTime {
			p.scheduleReclaim(now, m)
		}
	}
}

// Next returns the time at which Advance is due next.
func (p *Provider) Next() units.Microseconds { return p.steps.Next() }

// Advance processes all steps that are due by now.
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

// boot starts the worker of a machine, unless the machine was deleted or has failed.
func (p *Provider) boot(at units.Microseconds, m *Machine) {
	if m.DeletedAt == units.MaxTime && m.DiedAt == units.MaxTime {
		m.UpAt = at
		p.effects = append(p.effects, MachineStarted{m})
	}
}

// Drain returns and clears the effects since the last call.
func (p *Provider) Drain() []any {
	out := p.effects
	p.effects = nil
	return out
}
