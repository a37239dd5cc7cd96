package reconcile

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/units"
)

// HeartbeatStatus tells which conclusions a heartbeat allows about the tasks on its machine.
type HeartbeatStatus int

const (
	// Stale heartbeats change nothing and are refused: a later heartbeat of the machine has already arrived,
	// or its lease has expired since.
	Stale HeartbeatStatus = iota
	// Overtaken heartbeats are older than what is known of the machine from the answer to a probe or from the
	// last owner's snapshot. They change nothing but the lease: the worker may still wait for the response.
	Overtaken
	// Unconfirmed heartbeats show which tasks run, but not which do not run. The worker has not accepted a
	// response of this owner yet, so a delayed response of an earlier owner may still start tasks that
	// the heartbeat does not show.
	Unconfirmed
	// Confirmed heartbeats show every task that can be on the machine.
	Confirmed
	statusCount
)

// HeartbeatStatuses lists all statuses of admitted heartbeats.
var HeartbeatStatuses = []HeartbeatStatus{Stale, Overtaken, Unconfirmed, Confirmed}

// String returns the status as logs and metrics show it.
func (s HeartbeatStatus) String() string {
	return [...]string{"stale", "overtaken", "unconfirmed", "confirmed"}[s]
}

// Accepted is the result of an admitted heartbeat. Unless the heartbeat is stale, its response renews the
// worker's lease. Therefore the commands stop every task of a finished job that the heartbeat shows: a machine
// that cannot be reached afterwards would run the task for another lease.
type Accepted struct {
	Machine  *fleet.Machine
	Status   HeartbeatStatus
	Commands []fleet.Command // Forget and Stop commands for the worker
}

// Accept updates the machine from an admitted heartbeat. It adopts a machine that the shard does not
// have.
func (r *Reconciler) Accept(now units.Microseconds, heartbeat *fleet.Heartbeat) Accepted {
	accepted := r.accept(now, heartbeat)
	r.cfg.Counters.Admitted[accepted.Status]++
	r.logAdmitted(heartbeat, accepted)
	return accepted
}

func (r *Reconciler) accept(now units.Microseconds, heartbeat *fleet.Heartbeat) Accepted {
	machine := r.machines[heartbeat.Machine]
	if machine == nil {
		machine = r.host.Adopt(heartbeat)
	}
	if !machine.Newer(heartbeat) && r.host.GuardEnabled(guard.HeartbeatOrder) {
		return r.acceptOld(now, machine, heartbeat)
	}
	if machine.LastSeen == 0 {
		r.machineUp(now, machine, heartbeat)
	}
	current, expired := r.splitExpired(machine, heartbeat)
	machine.AcceptHeartbeat(now, now+r.host.LeaseBound(), heartbeat)
	if heartbeat.FencingToken != r.cfg.FencingToken && r.host.GuardEnabled(guard.HeartbeatToken) {
		// The heartbeat proves nothing about missing tasks: it may have been in flight while an earlier
		// owner started some.
		return Accepted{machine, Unconfirmed, r.stopInactive(machine, current, expired)}
	}
	// The worker has accepted a response with this owner's token, and since then drops every response of
	// earlier owners. So its list is complete.
	forgets, stops := r.reconcile(now, machine, current)
	r.MarkReconciled(now, machine)
	return Accepted{machine, Confirmed, append(forgets, r.stopCommands(machine, append(expired, stops...))...)}
}

// acceptOld handles a heartbeat that is older than what is known of its machine.
func (r *Reconciler) acceptOld(now units.Microseconds, machine *fleet.Machine, heartbeat *fleet.Heartbeat) Accepted {
	if !machine.Awaited(heartbeat) || machine.Lost {
		return Accepted{Machine: machine, Status: Stale}
	}
	if !r.host.GuardEnabled(guard.OvertakenLease) {
		return Accepted{Machine: machine, Status: Overtaken}
	}
	machine.RenewLease(now+r.host.LeaseBound(), heartbeat)
	current, expired := r.splitExpired(machine, heartbeat)
	return Accepted{machine, Overtaken, r.stopInactive(machine, current, expired)}
}

// machineUp records the first heartbeat of a machine, or the first one after its lease expired.
func (r *Reconciler) machineUp(now units.Microseconds, machine *fleet.Machine, heartbeat *fleet.Heartbeat) {
	machine.IdleSince = now
	if !machine.Record.Up {
		r.host.StoreGroup(machine.Group, true)
	}
	r.cfg.Log.Info("machine up", "machine", machine.Name, "type", heartbeat.Type, "spot", heartbeat.Spot,
		"after_s", (now - machine.ProvisionedAt).Seconds())
}
