package config

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/units"
)

// Core returns what the settings tell a controller's core.
func (s *Settings) Core(log *slog.Logger) core.Config {
	d, t := s.Deployment, s.Tuning
	now, later := d.State.Limits, d.State.Later()
	c := core.Config{
		Node: s.Node, Size: d.Size, Zones: d.Zones, Home: s.Zone, PeerZones: map[string]string{},
		Lease: s.LeaseTime(), HeartbeatInterval: units.Seconds(d.Workers.ReportS),
		CancelWithin: units.Seconds(d.Workers.CancelS),
		LeaderTTL:    units.Seconds(t.LeaseS), ListLag: units.Seconds(d.Cloud.ListLagS),
		TxnOps: min(now.TxnOps, later.TxnOps), ValueKB: now.ValueKB, ValueMax: int(min(now.ValueKB, later.ValueKB) * 1024),
		StateRate: now.RPS, WriteRate: now.WriteRPS, NextStateRate: later.RPS, NextWriteRate: later.WriteRPS, CloudRate: d.Cloud.RPS,
		Pack:          binpack.Params{Fairness: t.Fairness, EpsilonScale: t.EpsilonScale, ImagePenalty: t.ImagePenalty},
		Scale:         autoscaler.Params{Headroom: t.SpareShare, AverageOver: units.Seconds(t.DemandS), WorkPerSlot: units.Seconds(t.WorthS), ScaleInAfter: units.Seconds(t.IdleS)},
		ShardMachines: s.BlockMachines(), SequentialFraction: t.RoundShare,
		KeepFinished: int(t.KeepDone), ArchiveSettleTime: units.Seconds(t.PackSettleS),
		Log: log,
	}
	for _, p := range s.Peers {
		c.Peers = append(c.Peers, p.Node)
		c.PeerZones[p.Node] = p.Zone
	}
	for _, tm := range d.Teams {
		c.Teams = append(c.Teams, teamOf(tm))
	}
	for _, o := range d.Objectives {
		c.Objectives = append(c.Objectives, objectiveOf(o))
	}
	return c
}
