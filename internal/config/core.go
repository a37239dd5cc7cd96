package config

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/scale"
	"shalestage.example/shalestage/internal/core/unit"
)

// Core returns what the settings tell a controller's core.
func (s *Settings) Core(log *slog.Logger) core.Config {
	d, t := s.Deployment, s.Tuning
	now, later := d.State.Limits, d.State.Later()
	c := core.Config{
		Node: s.Node, Size: d.Size, Zones: d.Zones, Home: s.Zone, PeerZones: map[string]string{},
		Lease: s.LeaseTime(), ReportEvery: unit.Seconds(d.Workers.ReportS),
		CancelIn:  unit.Seconds(d.Workers.CancelS),
		LeaderTTL: unit.Seconds(t.LeaseS), ListLag: unit.Seconds(d.Cloud.ListLagS),
		TxnOps: min(now.TxnOps, later.TxnOps), ValueKB: now.ValueKB, ValueMax: int(min(now.ValueKB, later.ValueKB) * 1024),
		StateRate: now.RPS, WriteRate: now.WriteRPS, NextStateRate: later.RPS, NextWriteRate: later.WriteRPS, CloudRate: d.Cloud.RPS,
		Pack:          pack.Params{Fairness: t.Fairness, EpsilonScale: t.EpsilonScale, ImagePenalty: t.ImagePenalty},
		Scale:         scale.Params{Spare: t.SpareShare, Memory: unit.Seconds(t.DemandS), Worth: unit.Seconds(t.WorthS), IdleReturn: unit.Seconds(t.IdleS)},
		BlockMachines: s.BlockMachines(), RoundShare: t.RoundShare,
		KeepDone: int(t.KeepDone), PackSettle: unit.Seconds(t.PackSettleS),
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
