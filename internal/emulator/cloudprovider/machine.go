package cloudprovider

import (
	"fmt"

	"shalestage.example/shalestage/internal/core/units"
)

// Machine is a machine that was created. A time is units.MaxTime until its event has happened.
type Machine struct {
	Name string
	Addr string
	Pool
	CreatedAt  units.Microseconds
	UpAt       units.Microseconds // when its worker started
	DiedAt     units.Microseconds // when it failed
	DeletedAt  units.Microseconds // when it was deleted or reclaimed
	Reclaimed  bool               // by the provider, rather than deleted by a request
	Speed      float64            // of its processors, about 1
	FetchSpeed float64            // of its image fetches, about 1
	FailsTasks bool               // every task fails

	listed             bool
	integralAtCreation float64 // integral of its type's spot price at its creation
	costAtDeath        float64 // cost of a failed machine, which is no longer billed
	reclaimDraws       int     // number of draws of its reclaim time; only the latest is valid
}

// Effects.
type (
	// MachineStarted is an effect: a machine's worker starts.
	MachineStarted struct{ *Machine }
	// MachineEnded is an effect: a machine was deleted or reclaimed or has failed, with all tasks on it.
	MachineEnded struct{ *Machine }
	// ReclaimNotice is an effect: a machine's worker is notified that the machine will be reclaimed.
	ReclaimNotice struct {
		*Machine
		In units.Microseconds // announced time until then; the actual time may differ by up to half of it
	}
)

// create adds a machine with random speed, faults and boot time.
func (p *Provider) create(now units.Microseconds, pool Pool, history *priceHistory) *Machine {
	created := &Machine{Name: fmt.Sprintf("n-%06d", p.nextNumber), Pool: pool, CreatedAt: now, UpAt: units.MaxTime, DiedAt: units.MaxTime, DeletedAt: units.MaxTime,
		Speed: 0.9 + 0.2*p.rng.Float64(), FetchSpeed: 0.67 + 0.66*p.rng.Float64(), integralAtCreation: history.integral(now)}
	switch d := p.rng.Float64(); {
	case d < p.config.FailingShare:
		created.FailsTasks = true
	case d < p.config.FailingShare+p.config.SlowShare:
		created.Speed *= 0.1 + 0.4*p.rng.Float64()
	}
	p.nextNumber++
	p.machines = append(p.machines, created)
	p.byName[created.Name] = created
	p.used[pool]++
	if boot, ok := p.drawBootTime(now, history.MachineType); ok {
		p.steps.Add(now+boot, step{kind: stepBoot, machine: created})
	}
	if pool.Spot {
		p.scheduleReclaim(now, created)
	}
	return created
}

// drawBootTime draws the boot time of a machine; false means that it never comes up. Besides those that
// never do, 2% of all machines boot several times slower than usual, and 2% within seconds. While
// BootQuickly is in effect, every machine comes up within quickBoot.
func (p *Provider) drawBootTime(now units.Microseconds, of MachineType) (units.Microseconds, bool) {
	boot := float64(of.Boot) * (0.6 + 0.9*p.rng.Float64())
	comesUp := true
	switch d := p.rng.Float64(); {
	case d < of.BootFailShare:
		comesUp = false
	case d < of.BootFailShare+0.02:
		boot = float64(of.Boot) * (2 + 4*p.rng.Float64())
	case d < of.BootFailShare+0.04:
		boot = (1 + p.rng.Float64()) * float64(units.Second)
	}
	if now < p.quickBootUntil {
		comesUp = true
		boot = (0.1 + 0.9*p.rng.Float64()) * float64(quickBoot)
	}
	return units.Microseconds(boot), comesUp
}

// scheduleReclaim draws the time at which a spot machine is reclaimed, from the current rate. A reclaim
// more than a day ahead is not scheduled.
func (p *Provider) scheduleReclaim(now units.Microseconds, m *Machine) {
	m.reclaimDraws++
	if p.config.ReclaimRate <= 0 {
		return
	}
	at := now + units.Microseconds(p.rng.ExpFloat64()/p.config.ReclaimRate*3600*float64(units.Second))
	if at < now+24*3600*units.Second {
		p.steps.Add(at, step{stepNotice, m, m.reclaimDraws})
	}
}

// Reclaim reclaims a machine after a notice or, with the probability noNoticeShare, immediately and
// without one. The machine is reclaimed after 0.5 to 1.5 times the announced time.
func (p *Provider) Reclaim(now units.Microseconds, m *Machine, notice units.Microseconds, noNoticeShare float64) {
	if m.DeletedAt != units.MaxTime || m.DiedAt != units.MaxTime {
		return
	}
	if p.rng.Float64() < noNoticeShare {
		p.reclaimNow(now, m)
		return
	}
	p.effects = append(p.effects, ReclaimNotice{m, notice})
	p.steps.Add(now+units.Microseconds(float64(notice)*(0.5+p.rng.Float64())), step{kind: stepReclaim, machine: m})
}

// reclaimNow reclaims a machine, unless it was deleted meanwhile.
func (p *Provider) reclaimNow(now units.Microseconds, m *Machine) {
	if m.DeletedAt != units.MaxTime {
		return
	}
	diedAt := m.DiedAt
	m.Reclaimed = true
	p.markDeleted(now, m, 0)
	if diedAt == units.MaxTime {
		p.effects = append(p.effects, MachineEnded{m})
	}
}

// Kill makes a machine fail. It is no longer billed; the list shows it as running for
// failureDetection and then as failed, until it is deleted.
func (p *Provider) Kill(now units.Microseconds, m *Machine) {
	if m.DiedAt != units.MaxTime || m.DeletedAt != units.MaxTime {
		return
	}
	m.costAtDeath = p.charge(now, m, 0)
	m.DiedAt = now
	p.effects = append(p.effects, MachineEnded{m})
}

// markDeleted releases a machine's capacity and adds its cost to spentOnDeleted. A machine younger
// than least is billed for least.
func (p *Provider) markDeleted(now units.Microseconds, m *Machine, least units.Microseconds) {
	m.DeletedAt = now
	p.used[m.Pool]--
	p.spentOnDeleted += p.charge(now, m, least)
}

// Machine returns a machine by name, or nil if it does not exist or was deleted long ago.
func (p *Provider) Machine(name string) *Machine { return p.byName[name] }

// Alive returns the machines that are up, sorted by name.
func (p *Provider) Alive() []*Machine {
	var out []*Machine
	for _, m := range p.machines {
		if m.UpAt != units.MaxTime && m.DiedAt == units.MaxTime && m.DeletedAt == units.MaxTime {
			out = append(out, m)
		}
	}
	return out
}

// Billed returns the machines that are currently billed, including booting ones, sorted by name.
func (p *Provider) Billed() []*Machine {
	var out []*Machine
	for _, m := range p.machines {
		if m.DiedAt == units.MaxTime && m.DeletedAt == units.MaxTime {
			out = append(out, m)
		}
	}
	return out
}

// CreatedCount returns the number of machines created so far.
func (p *Provider) CreatedCount() int { return p.nextNumber - p.config.FirstNumber }
