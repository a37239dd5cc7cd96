// Package provisioner talks to the cloud for a shard: it decides when machines are provisioned and
// deprovisioned, and reads the machine list. It owns what is under way with the cloud; the machines
// are their shard's (package reconcile).
//
// It is pure: answers and the time go in by method calls, effects come out by its Host.
package provisioner

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/core/zones"
)

// Effects. Each is answered by the method of Provisioner named in its comment.
type (
	// ScaleOut asks for machines (OnScaleOut).
	ScaleOut struct {
		Shard      int
		Assignment uint64
		Request    string // names the request to the cloud: sent again, it provisions nothing more
		Increase   autoscaler.Increase
	}
	// ScaleIn has machines deleted (OnScaleIn).
	ScaleIn struct {
		Shard      int
		Assignment uint64
		Names      []string
	}
	// ListMachines reads the machine list (OnListMachines).
	ListMachines struct{ SentAt units.Microseconds }
)

// ListedMachine is a machine on the cloud's list.
type ListedMachine struct {
	Name   string
	Addr   string
	Record fleet.Record
	Failed bool
	Age    units.Microseconds
}

// Host is the shard whose machines are provisioned. Its methods may not call the Provisioner.
type Host interface {
	// Emit sends an effect.
	Emit(effect any)
	// Assignment is the version of the assignment under which the shard is owned.
	Assignment() uint64
	// Machines are those of the shard, by name.
	Machines() map[string]*fleet.Machine
	// Unreconciled are those of them on which tasks of earlier owners may run.
	Unreconciled() map[string]bool
	// SlotsNeeded is the work at hand; ok: what runs, and so what is needed, is known.
	SlotsNeeded() (work map[autoscaler.Group]autoscaler.Need, ok bool)
	// Types is the price list.
	Types() map[string]*fleet.Type
	// CallRate is how many calls a second the cloud takes from this shard.
	CallRate() float64
	// Provisioned takes in machines that a request has brought.
	Provisioned(request string, record fleet.Record, names []string)
	// Deprovisioned says that a machine, and all that ran on it, is deleted.
	Deprovisioned(machine *fleet.Machine)
	// Adopt takes in a listed machine that nobody is known to have provisioned.
	Adopt(listed ListedMachine)
	// InAnotherShard reports whether a machine belongs to another shard.
	InAnotherShard(machine string) bool
}

// Config says how a shard's machines are provisioned.
type Config struct {
	Shard        int
	FencingToken uint64 // names of requests must never come again, and hold it
	OwnedSince   units.Microseconds
	// ListLag is how old the machine list may be.
	ListLag units.Microseconds
	// AdoptAfter is how long a machine must be unknown to all before it is adopted.
	AdoptAfter units.Microseconds
	// Lease is the time after which nothing runs on a machine that gets no response.
	Lease             units.Microseconds
	HeartbeatInterval units.Microseconds
	Scale             autoscaler.Params
	Log               *slog.Logger
}

// Provisioner is a shard's side of what goes on with the cloud.
type Provisioner struct {
	cfg    Config
	host   Host
	now    units.Microseconds
	scaler *autoscaler.Scaler
	zones  *zones.View

	callsPausedUntil     units.Microseconds // no call to the cloud before
	nextPlanAt    units.Microseconds
	nextListAt    units.Microseconds
	requests      uint64   // made under this assignment
	openRequests  int      // of them, those without an answer
	queue         []string // about to be deprovisioned
	deprovisioned map[string]units.Microseconds
}

// New returns a Provisioner that has asked for nothing yet.
func New(cfg Config, host Host, view *zones.View) *Provisioner {
	return &Provisioner{cfg: cfg, host: host, zones: view, scaler: autoscaler.New(cfg.Scale), deprovisioned: map[string]units.Microseconds{}}
}

const (
	// planInterval is the time between two plans.
	planInterval = units.Second
	// minListInterval is the least time between two reads of the machine list.
	minListInterval = 5 * units.Second
	// errorPause is how long the cloud is left alone after it did not answer.
	errorPause = 2 * units.Second
	// maxScaleInBatch bounds the machines of one call.
	maxScaleInBatch = 100
	// deprovisionedRetention is how long after a machine was deleted, and beside four times the list's
	// lag, it is remembered: the list may show it and heartbeats may be held back for so long.
	deprovisionedRetention = 60 * units.Second
)

// MaxEarlyDeprovisions is how many machines may be given up early, as a part of all.
func MaxEarlyDeprovisions(machines int) int { return max(1, machines/20) }

// Ready reports whether the cloud may be called.
func (r *Provisioner) Ready(now units.Microseconds) bool { return now >= r.callsPausedUntil }

// OpenRequests is how many requests for machines have no answer yet.
func (r *Provisioner) OpenRequests() int { return r.openRequests }

// Deprovisioned reports whether the cloud has said that a machine is deleted.
func (r *Provisioner) Deprovisioned(machine string) bool { return r.deprovisioned[machine] != 0 }

// Deprovision has a machine deprovisioned with the next request.
func (r *Provisioner) Deprovision(machine *fleet.Machine) {
	machine.Deprovisioning = true
	r.queue = append(r.queue, machine.Name)
}

// Tick scales out, has machines deprovisioned and reads the machine list. list: this shard has the
// list read, for all.
func (r *Provisioner) Tick(now units.Microseconds, list bool) {
	r.now = now
	if now >= r.nextListAt && list {
		r.nextListAt = now + max(minListInterval, r.cfg.ListLag)
		r.host.Emit(ListMachines{SentAt: now})
	}
	if now >= r.nextPlanAt {
		r.nextPlanAt = now + planInterval
		r.plan()
	}
}

// Flush sends the request for machines that are to be deprovisioned.
func (r *Provisioner) Flush() {
	if n := min(len(r.queue), maxScaleInBatch); n > 0 {
		r.host.Emit(ScaleIn{r.cfg.Shard, r.host.Assignment(), r.queue[:n:n]})
		r.queue = r.queue[n:]
	}
}

// PoolOf is the offer by which a machine was provisioned.
func PoolOf(machine *fleet.Machine) autoscaler.Pool {
	return autoscaler.Pool{Type: machine.Record.Type, Zone: machine.Record.Zone, Spot: machine.Record.Spot}
}

// OnScaleOut takes the outcome of a request for machines.
func (r *Provisioner) OnScaleOut(now units.Microseconds, request ScaleOut, outcome store.Outcome, names []string) {
	r.now = now
	r.openRequests = max(0, r.openRequests-1)
	pool := request.Increase.Pool
	switch outcome {
	case store.OK:
		r.scaler.Provisioned(pool)
		if len(names) < request.Increase.Count {
			r.scaler.Refused(now, pool)
		}
		r.host.Provisioned(request.Request, fleet.Record{Type: pool.Type, Zone: pool.Zone, Spot: pool.Spot}, names)
		r.cfg.Log.Info("machines provisioned", "type", pool.Type, "zone", pool.Zone, "spot", pool.Spot, "requested", request.Increase.Count, "provisioned", len(names))
	case store.Failed: // no capacity
		r.scaler.Refused(now, pool)
	default:
		r.callsPausedUntil = now + errorPause
	}
}

// OnScaleIn takes the outcome of a request to delete machines: after OK they and all that ran on
// them are no more.
func (r *Provisioner) OnScaleIn(now units.Microseconds, request ScaleIn, outcome store.Outcome) {
	r.now = now
	machines := r.host.Machines()
	for _, name := range request.Names {
		machine := machines[name]
		if machine == nil {
			continue
		}
		if outcome != store.OK {
			machine.Deprovisioning = false // the next plan tries again
			continue
		}
		r.host.Deprovisioned(machine)
		r.deprovisioned[name] = now
		r.cfg.Log.Info("machine deprovisioned", "machine", name)
	}
	if outcome != store.OK {
		r.callsPausedUntil = now + errorPause
	}
}
