package core

import (
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/fleet"
)

// quotaHost implements quota.Host: it gives a shard's quota tracking access to the controller and the shard.
type quotaHost struct {
	core  *Core
	shard *ownedShard
}

// Teams implements quota.Host.
func (h quotaHost) Teams() map[string]*configuration.Team { return h.core.teams }

// Allocation implements quota.Host.
func (h quotaHost) Allocation() float64 {
	return h.core.shardRecords.Allocation(h.shard.number).Fraction
}

// MayStart implements quota.Host.
func (h quotaHost) MayStart(team string) bool { return h.core.config.MayStart(team, h.shard.number) }

// Machines implements quota.Host.
func (h quotaHost) Machines() map[string]*fleet.Machine { return h.shard.reconciler.Machines() }

// Unreconciled implements quota.Host.
func (h quotaHost) Unreconciled() map[string]bool { return h.shard.reconciler.Unreconciled() }
