package core

import (
	"context"
	"log/slog"
	"net/http"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/reconcile"
	"shalestage.example/shalestage/internal/core/units"
)

// Heartbeat handles a worker machine's heartbeat: it admits it, reconciles the
// machine's tasks, schedules work and responds.
func (c *Core) Heartbeat(now units.Microseconds, request RequestID, heartbeat *fleet.Heartbeat) {
	c.advance(now)
	c.reachability.HeartbeatReceived()
	c.zones.HeartbeatReceived(heartbeat.Zone)
	number, stored := c.shardOf(heartbeat.Machine)
	shard := c.owned[number]
	newest := stored && c.newestHeartbeats.Record(heartbeat)
	if admission := c.admitHeartbeat(shard, heartbeat, stored); admission != reconcile.Admitted {
		c.logRefused(number, heartbeat, admission)
		if admission == reconcile.NotOwned && newest {
			c.redirectedAt[number] = c.now
		}
		c.refuseHeartbeat(number, request, admission)
		return
	}
	if newest {
		c.reachability.HeartbeatAccepted()
	}
	accepted := shard.reconciler.Accept(c.now, heartbeat)
	if accepted.Status == reconcile.Stale {
		c.reply(request, http.StatusServiceUnavailable, Problem{"a later heartbeat has arrived"})
		return
	}
	commands := accepted.Commands
	commands = append(commands, c.schedule(shard, accepted)...)
	idle := accepted.Status == reconcile.Confirmed && len(commands) == 0
	if idle && shard.reconciler.HoldIdle(c.now, reconcile.RequestID(request), accepted.Machine) {
		return // answered by OfferWork
	}
	c.answerHeartbeat(shard, accepted.Machine, request, HeartbeatResponse{FencingToken: shard.fencingToken, Commands: commands})
}

// shardOf returns the shard that a machine belongs to, and whether that is stored or
// about to be. An unknown machine belongs to the first shard.
func (c *Core) shardOf(machine string) (number int, stored bool) {
	number, stored = c.machineShard[machine]
	if !stored {
		for _, n := range sortedShards(c.owned) {
			if c.owned[n].reconciler.Machine(machine) != nil {
				number, stored = n, true // provisioned and about to be stored
			}
		}
	}
	return number, stored
}

// admitHeartbeat decides whether a heartbeat of a shard's machine may change any
// state. shard is nil if this controller does not own the machine's shard.
func (c *Core) admitHeartbeat(shard *ownedShard, heartbeat *fleet.Heartbeat, stored bool) reconcile.Admission {
	switch {
	case shard == nil:
		return reconcile.NotOwned
	case shard.releasing && shard.reconciler.MayPostpone() && c.now < c.ValidUntil():
		return reconcile.Postponed
	case !c.Owns(c.now, shard.number):
		return reconcile.Uncertain
	}
	return shard.reconciler.Admit(c.now, heartbeat, stored)
}

// refuseHeartbeat answers a heartbeat that was not admitted, or keeps it pending until
// the shard's next owner is known.
func (c *Core) refuseHeartbeat(number int, request RequestID, admission reconcile.Admission) {
	switch admission {
	case reconcile.Postponed:
		c.owned[number].reconciler.Postpone(c.now, reconcile.RequestID(request))
	case reconcile.NotOwned:
		c.reply(request, http.StatusMisdirectedRequest, Redirect{c.ownerOf(number)})
	case reconcile.Uncertain:
		c.reply(request, http.StatusServiceUnavailable, Problem{"no authority at present"})
	default:
		c.reply(request, http.StatusMisdirectedRequest, Redirect{})
	}
	if admission == reconcile.Superseded {
		c.readFresh(nil) // another controller owns the shard, and this one has not read that yet
	}
}

// logRefused counts and logs a heartbeat that was not admitted.
func (c *Core) logRefused(number int, heartbeat *fleet.Heartbeat, admission reconcile.Admission) {
	c.heartbeats.Refused[admission]++
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	c.log.Debug("heartbeat refused", "why", admission.String(), "machine", heartbeat.Machine, "incarnation", heartbeat.Incarnation, "seq", heartbeat.Seq,
		"worker_token", heartbeat.FencingToken, "shard", number, "valid_for_s", (c.ValidUntil() - c.now).Seconds())
}

// schedule decides, after a machine's heartbeat was reconciled, which tasks the
// machine starts and which it stops to make room for others.
func (c *Core) schedule(shard *ownedShard, accepted reconcile.Accepted) []fleet.Command {
	machine := accepted.Machine
	confirmed := accepted.Status == reconcile.Confirmed
	switch {
	case confirmed && machine.ReclaimAt != units.MaxTime:
		return shard.scheduler.EvictBeforeReclaim(machine)
	case machine.ReclaimAt != units.MaxTime || !machine.Schedulable():
		return nil
	case confirmed:
		commands := append(shard.scheduler.Fill(machine), shard.scheduler.Preempt(machine)...)
		if len(commands) == 0 && len(accepted.Commands) == 0 {
			commands = shard.scheduler.EvictIdle(machine)
		}
		return commands
	case accepted.Status == reconcile.Unconfirmed && machine.Transferred:
		// What may run on the machine is known from the shard's last owner, before the machine confirms it.
		return shard.scheduler.Fill(machine)
	}
	return nil
}

// ownerOf returns the controller to which the machines of a shard should send heartbeats, or "" if there is
// none. An owner that seems dead is not returned, as the machines would wait for it.
func (c *Core) ownerOf(number int) string {
	assignment := c.shardRecords.Assignment(number)
	owner := assignment.Node
	if !c.peers.IsPeer(owner) || c.membership.CurrentID(owner) != assignment.MemberID || !c.peers.Alive(c.now, owner) && c.peers.AnyAlive(c.now) {
		return ""
	}
	return owner
}
