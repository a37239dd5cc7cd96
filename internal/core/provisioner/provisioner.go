// Package provisioner talks to the cloud for a block: it decides when machines are rented and
// returned, keeps those that are to be returned, and reads the machine list. It owns what
// is under way with the cloud; the machines are their block's.
//
// It is pure: answers and the time go in by method calls, what is to be done comes out by
// its host.
package provisioner

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/core/zones"
)

// Effects.
type (
	// ScaleOut asks for machines (OnRent).
	ScaleOut struct {
		Shard      int
		Assignment uint64
		Request    string
		Rent       autoscaler.Rent
	}
	// ScaleIn gives machines back (OnReturn).
	ScaleIn struct {
		Shard      int
		Assignment uint64
		Names      []string
	}
	// ListMachines reads the machine list (OnHosts).
	ListMachines struct{ SentAt units.Microseconds }
)

// Listed is a machine on the cloud's list.
type Listed struct {
	Name   string
	Addr   string
	Record fleet.Record
	Failed bool
	Age    units.Microseconds
}

// Host is the block whose machines are rented.
type Host interface {
	// Emit sends an effect.
	Emit(e any)
	// Assignment is the version of the grant under which the block is held.
	Assignment() uint64
	// Machines are those of the block, by name.
	Machines() map[string]*fleet.Machine
	// Unreconciled are those of them on which tasks of earlier holders may run.
	Unreconciled() map[string]bool
	// SlotsNeeded is the work at hand; ok: what runs, and so what is needed, is known.
	SlotsNeeded() (needs map[autoscaler.Group]autoscaler.Need, ok bool)
	// Types is the price list.
	Types() map[string]*fleet.Type
	// Calls is how many calls a second the cloud takes from this block.
	Calls() float64
	// Provisioned takes in machines that a request has brought.
	Provisioned(request string, r fleet.Record, names []string)
	// Deprovisioned says that a machine, and all that ran on it, is gone.
	Deprovisioned(m *fleet.Machine)
	// Adopt takes in a machine on the list that nobody is known to have rented.
	Adopt(h Listed)
	// InAnotherShard reports whether a machine belongs to another block.
	InAnotherShard(machine string) bool
}

// Config says how a block rents.
type Config struct {
	Shard        int
	FencingToken uint64 // under which it is held: names of requests must never come again
	OwnedSince   units.Microseconds
	ListLag      units.Microseconds
	// AdoptAfter is how long a machine must be unknown to all before it is adopted.
	AdoptAfter units.Microseconds
	// Lease is the time after which nothing runs on a machine that gets no answer.
	Lease             units.Microseconds
	HeartbeatInterval units.Microseconds
	Scale             autoscaler.Params
	Log               *slog.Logger
}

// Provisioner is a block's side of what goes on with the cloud.
type Provisioner struct {
	cfg    Config
	host   Host
	now    units.Microseconds
	scaler *autoscaler.Scaler
	zones  *zones.View

	wait     units.Microseconds // no call before
	planAt   units.Microseconds
	listAt   units.Microseconds
	requests uint64                        // made under this grant
	open     int                           // of them, those without an answer
	leaving  []string                      // about to be returned
	gone     map[string]units.Microseconds // returned lately: the list may still show them
}

// New returns a renter that has asked for nothing yet.
func New(cfg Config, host Host, picture *zones.View) *Provisioner {
	return &Provisioner{cfg: cfg, host: host, zones: picture, scaler: autoscaler.New(cfg.Scale), gone: map[string]units.Microseconds{}}
}

const (
	// planEvery is the time between two plans.
	planEvery = units.Second
	// listEvery is the least time between two reads of the machine list.
	listEvery = 5 * units.Second
	// pause is how long the cloud is left alone after it did not answer.
	pause = 2 * units.Second
	// returnsAtOnce bounds the machines of one call.
	returnsAtOnce = 100
	// lateBoot is how many times as long as usual a machine may take to come up
	// before the work at hand no longer counts on it. It takes up to one and a half
	// times; those that never come up are returned much later. Of many machines only
	// a few can be late for reasons of their own.
	lateBoot = 2
	// keepLost is how long a machine whose lease has run out unheard is kept.
	keepLost = 10 * units.Second
	// spareFor is how long nothing must have missed a machine of a lost zone before it is
	// returned, and leastAgain the least that it costs to return and rent one anew: the
	// cloud's least charge.
	spareFor   = 5 * units.Second
	leastAgain = 60 * units.Second
)

// FewOf is how many machines may be given up early, as a part of all.
func FewOf(n int) int { return max(1, n/20) }

// Ready reports whether the cloud may be called, Open how many rentals have no answer yet.
func (r *Provisioner) Ready(now units.Microseconds) bool { return now >= r.wait }
func (r *Provisioner) Open() int                         { return r.open }

// Deprovisioned reports whether the cloud has said that a machine is gone.
func (r *Provisioner) Deprovisioned(machine string) bool { return r.gone[machine] != 0 }

// Release has a machine returned with the next request.
func (r *Provisioner) Release(m *fleet.Machine) {
	m.Deprovisioning = true
	r.leaving = append(r.leaving, m.Name)
}

// Tick rents, has machines returned and reads the machine list. list: this block has the
// list read, for all.
func (r *Provisioner) Tick(now units.Microseconds, list bool) {
	r.now = now
	if now >= r.listAt && list {
		r.listAt = now + max(listEvery, r.cfg.ListLag)
		r.host.Emit(ListMachines{SentAt: now})
	}
	if now >= r.planAt {
		r.planAt = now + planEvery
		r.plan()
	}
}

// Flush returns machines that are to be returned.
func (r *Provisioner) Flush() {
	if n := min(len(r.leaving), returnsAtOnce); n > 0 {
		r.host.Emit(ScaleIn{r.cfg.Shard, r.host.Assignment(), r.leaving[:n:n]})
		r.leaving = r.leaving[n:]
	}
}

// plan rents and returns machines.
func (r *Provisioner) plan() {
	needs, ok := r.host.SlotsNeeded()
	if !ok {
		return
	}
	machines := r.host.Machines()
	names := slices.Sorted(maps.Keys(machines))
	var ms []autoscaler.Machine
	late := 0
	booting := map[string]int{} // by zone
	for _, name := range names {
		m := machines[name]
		if !m.Deprovisioning && r.boots(m) {
			booting[m.Record.Zone]++
		}
		away := r.zones.Lost(m.Record.Zone)
		if m.Deprovisioning || m.Lost && !away || m.Quarantined || m.Notice != units.Never {
			continue
		}
		if m.Type != nil && !away && r.boots(m) && r.now-m.ProvisionedAt > lateBoot*m.Type.Boot && late < FewOf(len(machines)) {
			late++ // what waits for it should not wait for that one alone
			continue
		}
		sm := autoscaler.Machine{Name: name, Pool: PoolOf(m), Booted: m.LastSeen != 0, Age: r.now - m.ProvisionedAt, Away: away}
		if len(m.Tasks) == 0 {
			sm.Idle = r.now - m.IdleSince + 1
		}
		ms = append(ms, sm)
	}
	rents, back := r.scaler.Plan(r.now, needs, ms, r.host.Types(), func(zone string) int {
		n := r.zones.Rents(zone)
		if n > 0 {
			n = max(0, n-booting[zone])
		}
		return n
	})
	for _, sm := range ms {
		if m := machines[sm.Name]; sm.Wanted {
			m.Spare = 0
		} else if m.Spare == 0 {
			m.Spare = r.now
		}
	}
	if r.open == 0 {
		r.rent(rents)
	}
	for _, name := range names {
		m := machines[name]
		boot := 30 * units.Second
		if m.Type != nil {
			boot = 6*m.Type.Boot + 10*units.Second
		}
		zone := m.Record.Zone
		switch {
		case m.Deprovisioning:
		case !r.zones.Reachable(zone) && !(r.boots(m) && r.now-m.ProvisionedAt < r.zones.For(zone)): // that would be a probe
			// What runs there may still come to an end; until then it is not for sale.
			unneeded := m.LeaseEnd == 0 && m.Spare != 0 && r.now-m.Spare > spareFor
			if !r.zones.Keep(zone, r.cfg.Lease+r.again(m)) || unneeded && !r.zones.Returning(zone) {
				back = append(back, name)
			}
		case r.zones.DeclaredLost(zone):
			if m.Reconciled && len(m.Tasks) == 0 {
				back = append(back, name)
			}
		case r.zones.Again(zone) < r.cfg.HeartbeatInterval+keepLost: // it is about to be heard
		case m.Quarantined && m.Reconciled && len(m.Tasks) == 0,
			m.Lost && r.now-m.IdleSince > keepLost,
			m.LastSeen == 0 && m.LeaseEnd == 0 && r.now-m.ProvisionedAt > boot:
			back = append(back, name)
		}
	}
	for _, name := range back {
		r.Release(machines[name])
	}
}

// rent asks for machines in as many requests as the cloud takes in a second, a
// part of them for each of the offers.
func (r *Provisioner) rent(rents []autoscaler.Rent) {
	if len(rents) == 0 {
		return
	}
	each := max(1, int(r.host.Calls()/2)/len(rents))
	for _, x := range rents {
		left := x.Count
		for range each {
			if left <= 0 {
				break
			}
			x.Count = min(left, fleet.MaxGroup)
			left -= x.Count
			r.requests++
			r.open++
			// A name that no other grant uses: names must never come again.
			r.host.Emit(ScaleOut{Shard: r.cfg.Shard, Assignment: r.host.Assignment(), Request: fmt.Sprintf("r-%d-%d", r.cfg.FencingToken, r.requests), Rent: x})
		}
	}
}

// boots reports whether a machine has not come up yet.
func (r *Provisioner) boots(m *fleet.Machine) bool {
	return m.LastSeen == 0 && m.LeaseEnd == 0 && !m.Lost
}

// again is what time a machine takes to be of use that is rented anew: a boot, and images.
func (r *Provisioner) again(m *fleet.Machine) units.Microseconds {
	if m.Type == nil {
		return leastAgain
	}
	return max(leastAgain, 3*m.Type.Boot/2+keepLost)
}

// PoolOf is the offer that a machine was rented by.
func PoolOf(m *fleet.Machine) autoscaler.Pool {
	return autoscaler.Pool{Type: m.Record.Type, Zone: m.Record.Zone, Spot: m.Record.Spot}
}

// OnScaleOut takes a rental's outcome.
func (r *Provisioner) OnScaleOut(now units.Microseconds, e ScaleOut, o store.Outcome, names []string) {
	r.now = now
	r.open = max(0, r.open-1)
	p := e.Rent.Pool
	switch o {
	case store.OK:
		r.scaler.Granted(p)
		if len(names) < e.Rent.Count {
			r.scaler.Refused(now, p)
		}
		r.host.Provisioned(e.Request, fleet.Record{Type: p.Type, Zone: p.Zone, Spot: p.Spot}, names)
		r.cfg.Log.Info("rented", "type", p.Type, "zone", p.Zone, "spot", p.Spot, "asked", e.Rent.Count, "got", len(names))
	case store.Failed: // no capacity
		r.scaler.Refused(now, p)
	default:
		r.wait = now + pause
	}
}

// OnScaleIn takes a return's outcome: after OK the machines and all that ran on
// them are gone.
func (r *Provisioner) OnScaleIn(now units.Microseconds, e ScaleIn, o store.Outcome) {
	r.now = now
	machines := r.host.Machines()
	for _, n := range e.Names {
		m := machines[n]
		if m == nil {
			continue
		}
		if o != store.OK {
			m.Deprovisioning = false // the next plan tries again
			continue
		}
		r.host.Deprovisioned(m)
		r.gone[n] = now
		r.cfg.Log.Info("returned", "machine", n)
	}
	if o != store.OK {
		r.wait = now + pause
	}
}

// OnListMachines takes the machine list. It may be old: it proves only that a machine
// exists or has failed, never that one is absent.
func (r *Provisioner) OnListMachines(now units.Microseconds, e ListMachines, hosts []Listed) {
	r.now = now
	for n, at := range r.gone {
		if now-at > 4*r.cfg.ListLag+60*units.Second {
			delete(r.gone, n)
		}
	}
	r.unlisted(e.SentAt, hosts)
	machines := r.host.Machines()
	for _, h := range hosts {
		m := machines[h.Name]
		if r.Deprovisioned(h.Name) {
			continue
		}
		if m != nil && m.Addr == "" {
			m.Addr = h.Addr
		}
		if r.host.InAnotherShard(h.Name) {
			continue // its holder finds out by itself when it fails
		}
		switch {
		case h.Failed:
			if m == nil || !m.Deprovisioning {
				r.leaving = append(r.leaving, h.Name)
			}
			if m != nil {
				m.Deprovisioning = true
			}
		case m == nil && h.Age > 2*r.cfg.ListLag+r.cfg.AdoptAfter && now-r.cfg.OwnedSince > 2*r.cfg.ListLag:
			// Rented by a request that was carried out late, or whose answer was
			// lost. Adopted: the next plan uses it or gives it back.
			r.host.Adopt(h)
			r.cfg.Log.Info("adopted", "machine", h.Name)
		}
	}
}

// unlisted notes which machines that are not accounted for a list does not show, though
// they were rented long before all that it may leave out. They are most likely gone. That
// is no proof; see package watch.
func (r *Provisioner) unlisted(asked units.Microseconds, hosts []Listed) {
	doubtful := r.host.Unreconciled()
	if len(doubtful) == 0 {
		return // nobody waits for any
	}
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
	}
	machines := r.host.Machines()
	for name := range doubtful {
		if m := machines[name]; m != nil {
			m.Unlisted = !listed[name] && m.ProvisionedAt < asked-2*r.cfg.ListLag-r.cfg.AdoptAfter
		}
	}
}
