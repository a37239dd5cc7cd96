package core

import (
	"net/http"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/reconcile"
	"shalestage.example/shalestage/internal/core/units"
)

// Heartbeat takes a worker's heartbeat: admission, reconciliation, a look for work, a response.
func (c *Core) Heartbeat(now units.Microseconds, request RequestID, heartbeat *fleet.Heartbeat) {
	c.advance(now)
	c.reachability.HeartbeatReceived()
	c.zones.HeartbeatReceived(heartbeat.Zone)
	number, stored := c.shardOf(heartbeat.Machine)
	shard := c.owned[number]
	if admission := c.admitHeartbeat(shard, heartbeat, stored); admission != reconcile.Admitted {
		c.refuseHeartbeat(number, request, admission)
		return
	}
	c.reachability.HeartbeatAccepted()
	accepted := shard.reconciler.Accept(c.now, heartbeat)
	commands := accepted.Commands
	commands = append(commands, c.schedule(shard, accepted)...)
	idle := accepted.Status == reconcile.Confirmed && len(commands) == 0
	if idle && shard.reconciler.HoldIdle(c.now, reconcile.RequestID(request), accepted.Machine) {
		return // answered by OfferWork
	}
	c.answerHeartbeat(shard, accepted.Machine, request, HeartbeatResponse{FencingToken: shard.fencingToken, Commands: commands})
}

// shardOf returns the shard that a machine belongs to, and whether it is known to: what nobody
// knows belongs to the first shard.
func (c *Core) shardOf(machine string) (number int, stored bool) {
	number, stored = c.machineShard[machine]
	if !stored {
		for _, n := range sortedShards(c.owned) {
			if c.owned[n].reconciler.Machine(machine) != nil {
				number, stored = n, true // provisioned, and about to be stored
			}
		}
	}
	return number, stored
}

// admitHeartbeat decides whether a heartbeat of a machine of a shard may change anything; shard is nil if
// this controller does not own it.
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

// refuseHeartbeat answers a heartbeat that was not admitted, or has it wait for the shard's next owner.
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
		c.readFresh(nil) // somebody else owns the shard, which is not known here yet
	}
}

// schedule decides what a machine is to start, and what it is to stop for other work, after its
// heartbeat was reconciled.
func (c *Core) schedule(shard *ownedShard, accepted reconcile.Accepted) []fleet.Command {
	machine := accepted.Machine
	proven := accepted.Status == reconcile.Confirmed
	switch {
	case proven && machine.ReclaimAt != units.MaxTime:
		return shard.scheduler.EvictBeforeReclaim(machine)
	case machine.ReclaimAt != units.MaxTime || !machine.Schedulable():
		return nil
	case proven:
		commands := append(shard.scheduler.Fill(machine), shard.scheduler.Preempt(machine)...)
		if len(commands) == 0 && len(accepted.Commands) == 0 {
			commands = shard.scheduler.EvictIdle(machine)
		}
		return commands
	case accepted.Status == reconcile.Unconfirmed && machine.Transferred:
		// What may be on it is known without its word, from the shard's last owner.
		return shard.scheduler.Fill(machine)
	}
	return nil
}

// ownerOf returns the controller that workers of a shard should send heartbeats to. One that seems
// dead is not named: the workers would wait for it.
func (c *Core) ownerOf(number int) string {
	assignment := c.shardRecords.Assignment(number)
	owner := assignment.Node
	if !c.peers.Knows(owner) || c.membership.CurrentID(owner) != assignment.MemberID || !c.peers.Alive(c.now, owner) && c.peers.AnyAlive(c.now) {
		return ""
	}
	return owner
}
