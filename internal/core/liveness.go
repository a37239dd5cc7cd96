package core

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/liveness"
	"shalestage.example/shalestage/internal/core/peering"
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
	return c.reachability.ShouldReleaseShards(shard.reconciler.UpCount(), c.peerReaches(shard.number))
}

// peerReaches describes the other controllers that could own a shard.
func (c *Core) peerReaches(shard int) []liveness.PeerReach {
	var reaches []liveness.PeerReach
	unreached := c.shardRecords.Assignment(shard).Unreached
	for _, name := range c.peers.Names() {
		if c.membership.CurrentID(name) == 0 || c.incompatible(name) {
			continue
		}
		reaches = append(reaches, liveness.PeerReach{
			Silent:        !c.peers.Alive(c.now, name) || c.peers.Release(name) < peering.ReleaseRedirects,
			RedirectedFor: c.peers.RedirectedFor(c.now, name, shard),
			Unreachable:   c.peers.Alive(c.now, name) && c.peerUnreachable(name),
			Tried:         slices.Contains(unreached, name),
		})
	}
	return reaches
}

// unreachedOwners returns the owners of a shard, this one included, that no worker has reached since a worker last
// reached one of its owners.
func (c *Core) unreachedOwners(shard int) []string {
	if c.reachability.AnyHeartbeat() {
		return []string{c.cfg.Node}
	}
	earlier := c.shardRecords.Assignment(shard).Unreached
	return append(slices.Clone(earlier), c.cfg.Node)
}

// redirected returns the shards of which this controller has redirected a worker within the last lease of the
// workers. An earlier redirect does not tell whether any worker of the shard is left.
func (c *Core) redirected() []peering.ShardRedirect {
	var redirects []peering.ShardRedirect
	for _, shard := range slices.Sorted(maps.Keys(c.redirectedAt)) {
		if age := c.now - c.redirectedAt[shard]; age < c.leaseBound() {
			redirects = append(redirects, peering.ShardRedirect{Block: shard, Ago: age})
		}
	}
	return redirects
}

// workerReached reports whether a worker of a shard is known to have reached a controller, which may be this
// one, within the last lease of the workers.
func (c *Core) workerReached(node string, shard int) bool {
	if node == c.cfg.Node {
		at, ok := c.redirectedAt[shard]
		return ok && c.now-at < c.leaseBound()
	}
	return c.peers.Alive(c.now, node) && c.peers.RedirectedFor(c.now, node, shard) < c.leaseBound()
}

// peerUnreachable reports whether worker machines are known to be unable to reach a
// controller, which may be this one.
func (c *Core) peerUnreachable(node string) bool {
	if node == c.cfg.Node {
		return c.reachability.Unreachable(c.now)
	}
	return c.peers.Status(node).Deaf
}
