package config

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/units"
)

// CoreConfig converts the settings into the configuration of a controller's core.
func (s *Settings) CoreConfig(log *slog.Logger) core.Config {
	deployment, t := s.Deployment, s.Tuning
	current, next := deployment.State.Limits, deployment.State.NextLimits()
	settings := core.Config{
		Node: s.Node, Size: deployment.Size, Zones: deployment.Zones, HomeZone: s.Zone, PeerZones: map[string]string{},
		Lease: s.LeaseTime(), HeartbeatInterval: units.Seconds(deployment.Workers.HeartbeatS),
		CancelWithin: units.Seconds(deployment.Workers.CancelS),
		LeaderTTL:    units.Seconds(t.LeaderLeaseS), ListLag: units.Seconds(deployment.Cloud.ListLagS),
		TxnOps: min(current.TxnOps, next.TxnOps), ValueKB: current.ValueKB, ValueMax: int(min(current.ValueKB, next.ValueKB) * 1024),
		StateRate: current.RPS, WriteRate: current.WriteRPS, NextStateRate: next.RPS, NextWriteRate: next.WriteRPS, CloudRate: deployment.Cloud.RPS,
		Pack:          binpack.Params{Fairness: t.Fairness, EpsilonScale: t.EpsilonScale, ImagePenalty: t.ImagePenalty},
		Scale:         autoscaler.Params{Headroom: t.HeadroomFraction, AverageOver: units.Seconds(t.DemandWindowS), WorkPerSlot: units.Seconds(t.WorkPerSlotS), ScaleInAfter: units.Seconds(t.IdleReturnS)},
		ShardMachines: s.MachinesPerShard(), SequentialFraction: t.SequentialFraction,
		KeepFinished: int(t.KeepFinished), ArchiveSettleTime: units.Seconds(t.ArchiveSettleS),
		Log: log,
	}
	for _, p := range s.Peers {
		settings.Peers = append(settings.Peers, p.Node)
		settings.PeerZones[p.Node] = p.Zone
	}
	for _, team := range deployment.Teams {
		settings.Teams = append(settings.Teams, coreTeam(team))
	}
	for _, o := range deployment.Objectives {
		settings.Objectives = append(settings.Objectives, coreObjective(o))
	}
	return settings
}
