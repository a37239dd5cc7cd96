// Package provisioner manages a shard's requests to the cloud: it decides when machines are provisioned
// and deprovisioned, and reads the machine list. It owns the state of those requests; the machines belong
// to their shard (package reconcile).
//
// The package does no I/O and reads no clock: answers and the time are passed to its methods, and effects
// go out through its Host.
package provisioner

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/core/zones"
)

// Effects. The outcome of each is passed to the method of Provisioner named in its comment.
type (
	// ScaleOut requests machines (OnScaleOut).
	ScaleOut struct {
		Shard      int
		Assignment uint64
		Request    string // idempotency key: sent again, the request provisions no further machines
		Increase   autoscaler.Increase
	}
	// ScaleIn requests the deletion of machines (OnScaleIn).
	ScaleIn struct {
		Shard      int
		Assignment uint64
		Names      []string
	}
	// ListMachines requests the cloud's machine list (OnListMachines).
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

// Host is the shard whose machines are provisioned. Its methods must not call the Provisioner.
type Host interface {
	// Emit carries out an effect.
	Emit(effect any)
	// Assignment returns the version of the assignment under which the shard is owned.
	Assignment() uint64
	// Machines returns the shard's machines by name.
	Machines() map[string]*fleet.Machine
	// Unreconciled returns the names of the machines that may run unknown tasks of earlier owners.
	Unreconciled() map[string]bool
	// SlotsNeeded returns the work at hand. ok is false while it is unknown because running tasks are not
	// all known.
	SlotsNeeded() (work map[autoscaler.Group]autoscaler.Need, ok bool)
	// Replicas returns the replicas of services on each machine, by the groups of SlotsNeeded.
	Replicas() map[string][]autoscaler.Replicas
	// Staying returns the demand of the tasks on a machine that are not expected to complete for a long time.
	Staying(machine string) binpack.Vec
	// Types returns the machine types and their prices, by name.
	Types() map[string]*fleet.Type
	// CallRate returns the number of calls per second that the cloud accepts from this shard.
	CallRate() float64
	// Provisioned adds machines that a request has provisioned.
	Provisioned(request string, record fleet.Record, names []string)
	// Deprovisioned is called when a machine is deleted, and all that ran on it with it.
	Deprovisioned(machine *fleet.Machine)
	// Adopt adds a listed machine that no shard is known to have provisioned.
	Adopt(listed ListedMachine)
	// InAnotherShard reports whether a machine belongs to another shard.
	InAnotherShard(machine string) bool
}

// Config holds the settings of a shard's Provisioner.
type Config struct {
	Shard        int
	FencingToken uint64 // part of the names of requests, which must never repeat
	OwnedSince   units.Microseconds
	// ListLag is the largest age of the machine list.
	ListLag units.Microseconds
	// AdoptAfter is the time for which a machine must be unknown to all shards before it is adopted.
	AdoptAfter units.Microseconds
	// Lease is the time after which no task runs on a machine that has got no response.
	Lease             units.Microseconds
	HeartbeatInterval units.Microseconds
	Scale             autoscaler.Params
	Log               *slog.Logger
}

// Provisioner is the state of a shard's requests to the cloud.
type Provisioner struct {
	cfg    Config
	host   Host
	now    units.Microseconds
	scaler *autoscaler.Scaler
	zones  *zones.View

	callsPausedUntil units.Microseconds // no calls to the cloud before this time
	nextPlanAt       units.Microseconds
	nextListAt       units.Microseconds
	requests         uint64   // requests made under this assignment
	openRequests     int      // requests without an answer
	queue            []string // machines to be deprovisioned by the next requests
	deprovisioned    map[string]units.Microseconds
}

// New returns a Provisioner that has made no request yet.
func New(cfg Config, host Host, view *zones.View) *Provisioner {
	return &Provisioner{cfg: cfg, host: host, zones: view, scaler: autoscaler.New(cfg.Scale), deprovisioned: map[string]units.Microseconds{}}
}

const (
	// planInterval is the time between two plans.
	planInterval = units.Second
	// minListInterval is the shortest time between two reads of the machine list.
	minListInterval = 5 * units.Second
	// errorPause is the time without calls to the cloud after a call failed.
	errorPause = 2 * units.Second
	// maxScaleInBatch limits the machines of one ScaleIn.
	maxScaleInBatch = 100
	// deprovisionedRetention, plus four times ListLag, is the time for which a deleted machine is
	// remembered. For so long the list may still show it, and delayed heartbeats of it may arrive.
	deprovisionedRetention = 60 * units.Second
)

// MaxEarlyDeprovisions returns the number of machines, out of a total of machines, that may be given up
// on before their timeout.
func MaxEarlyDeprovisions(machines int) int { return max(1, machines/20) }

// Ready reports whether the cloud may be called.
func (p *Provisioner) Ready(now units.Microseconds) bool { return now >= p.callsPausedUntil }

// OpenRequests returns the number of requests for machines that have no answer yet.
func (p *Provisioner) OpenRequests() int { return p.openRequests }

// Deprovisioned reports whether the cloud has confirmed that a machine is deleted.
func (p *Provisioner) Deprovisioned(machine string) bool { return p.deprovisioned[machine] != 0 }

// Deprovision queues a machine to be deleted with the next ScaleIn.
func (p *Provisioner) Deprovision(machine *fleet.Machine) {
	machine.Deprovisioning = true
	p.queue = append(p.queue, machine.Name)
}

// Tick plans scaling and requests the machine list when they are due. list means that this shard is the
// one that requests the list for all shards.
func (p *Provisioner) Tick(now units.Microseconds, list bool) {
	p.now = now
	if now >= p.nextListAt && list {
		p.nextListAt = now + max(minListInterval, p.cfg.ListLag)
		p.host.Emit(ListMachines{SentAt: now})
	}
	if now >= p.nextPlanAt {
		p.nextPlanAt = now + planInterval
		p.plan()
	}
}

// Flush sends a ScaleIn for queued machines, at most maxScaleInBatch of them.
func (p *Provisioner) Flush() {
	if n := min(len(p.queue), maxScaleInBatch); n > 0 {
		p.host.Emit(ScaleIn{p.cfg.Shard, p.host.Assignment(), p.queue[:n:n]})
		p.queue = p.queue[n:]
	}
}

// PoolOf returns the pool from which a machine was provisioned.
func PoolOf(machine *fleet.Machine) autoscaler.Pool {
	return autoscaler.Pool{Type: machine.Record.Type, Zone: machine.Record.Zone, Spot: machine.Record.Spot}
}

// OnScaleOut handles the outcome of a request for machines; names are those of the machines provisioned.
func (p *Provisioner) OnScaleOut(now units.Microseconds, request ScaleOut, outcome store.Outcome, names []string) {
	p.now = now
	p.openRequests = max(0, p.openRequests-1)
	pool := request.Increase.Pool
	switch outcome {
	case store.OK:
		p.scaler.Provisioned(pool)
		if len(names) < request.Increase.Count {
			p.scaler.Refused(now, pool)
		}
		p.host.Provisioned(request.Request, fleet.Record{Type: pool.Type, Zone: pool.Zone, Spot: pool.Spot}, names)
		p.cfg.Log.Info("machines provisioned", "type", pool.Type, "zone", pool.Zone, "spot", pool.Spot, "requested", request.Increase.Count, "provisioned", len(names))
	case store.Failed: // no capacity
		p.scaler.Refused(now, pool)
	default:
		p.callsPausedUntil = now + errorPause
	}
}

// OnScaleIn handles the outcome of a request to delete machines. After store.OK the machines and all that
// ran on them no longer exist.
func (p *Provisioner) OnScaleIn(now units.Microseconds, request ScaleIn, outcome store.Outcome) {
	p.now = now
	machines := p.host.Machines()
	for _, name := range request.Names {
		machine := machines[name]
		if machine == nil {
			continue
		}
		if outcome != store.OK {
			machine.Deprovisioning = false // the next plan tries again
			continue
		}
		p.host.Deprovisioned(machine)
		p.deprovisioned[name] = now
		p.cfg.Log.Info("machine deprovisioned", "machine", name)
	}
	if outcome != store.OK {
		p.callsPausedUntil = now + errorPause
	}
}
