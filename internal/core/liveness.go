package core

import (
	"shalestage.example/shalestage/internal/core/fleet"
)

// livenessHost implements liveness.Host: it gives the failure detection of a shard's
// machines access to the shard.
type livenessHost struct {
	*Core
	shard *ownedShard
}

// Machines implements liveness.Host.
func (h livenessHost) Machines() map[string]*fleet.Machine { return h.shard.reconciler.Machines() }

// Unreconciled implements liveness.Host.
func (h livenessHost) Unreconciled() map[string]bool { return h.shard.reconciler.Unreconciled() }

// ProbesExhausted implements liveness.Host.
func (h livenessHost) ProbesExhausted() bool { return h.shard.reconciler.ProbesExhausted() }

// LeaseExpired implements liveness.Host.
func (h livenessHost) LeaseExpired(machine *fleet.Machine) {
	h.shard.reconciler.ExpireLease(h.now, machine)
}

// unreachable reports whether a shard should be released because no worker machine can reach this node.
func (c *Core) unreachable(shard *ownedShard) bool {
	if c.cfg.Size == 1 || c.zones.AllZonesUnreachable() {
		return false
	}
	return c.reachability.ShouldReleaseShards(c.now, shard.reconciler.UpCount(), c.reachablePeer)
}

// reachablePeer reports whether another controller could take over a shard: it is alive, has a membership and
// does not report that worker machines cannot reach it.
func (c *Core) reachablePeer() bool {
	for _, name := range c.peers.Names() {
		if c.peers.Alive(c.now, name) && !c.peerUnreachable(name) && c.membership.CurrentID(name) != 0 {
			return true
		}
	}
	return false
}

// peerUnreachable reports whether worker machines are known to be unable to reach a
// controller, which may be this one.
func (c *Core) peerUnreachable(node string) bool {
	if node == c.cfg.Node {
		return c.reachability.Unreachable(c.now)
	}
	return c.peers.Status(node).Deaf
}
