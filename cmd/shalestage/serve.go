package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"

	"shalestage.example/shalestage/internal/api"
	"shalestage.example/shalestage/internal/cloud"
	"shalestage.example/shalestage/internal/config"
	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/scale"
	"shalestage.example/shalestage/internal/core/unit"
	"shalestage.example/shalestage/internal/node"
	"shalestage.example/shalestage/internal/peer"
	"shalestage.example/shalestage/internal/state"
	"shalestage.example/shalestage/internal/worker"
)

type serveCmd struct {
	Config string `required:"" placeholder:"FILE" help:"Settings file (JSON)."`
	Check  bool   `help:"Check the settings file and stop."`
}

// Run runs a controller until it is killed.
func (o *serveCmd) Run() error {
	s, err := config.Load(o.Config)
	if err != nil {
		return err
	}
	if o.Check {
		fmt.Printf("%s: settings of %s are valid\n", o.Config, s.Node)
		return nil
	}
	log, err := logger(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	limitResources(s.Deployment.Quota)

	l, err := net.Listen("tcp4", s.Listen)
	if err != nil {
		return err
	}
	d := s.Deployment
	share := float64(d.Size)
	pl, err := net.Listen("tcp4", s.PeerListen)
	if err != nil {
		return err
	}
	addrs := map[string]string{}
	for _, p := range s.Peers {
		addrs[p.Node] = p.Addr
	}
	link := peer.New(s.Node, addrs, log)
	n := node.New(core.New(coreConfig(s, log)),
		state.New(s.Services.State, d.State.RPS/share, d.State.Later().RPS/share, log),
		cloud.New(s.Services.Cloud, d.Cloud.RPS, log), worker.New(log), link, log)
	go n.Run(context.Background())
	go link.Serve(pl, n.Hear)
	log.Info("serving", "node", s.Node, "listen", s.Listen, "version", version)
	// Room is left for connections to the services and to other controllers.
	return api.Serve(l, n, d.Quota.FDLimit*9/10, 60*unit.Second, log)
}

func logger(level string) (*slog.Logger, error) {
	var l slog.Level
	if level == "" {
		level = "info"
	}
	if err := l.UnmarshalText([]byte(strings.ToUpper(level))); err != nil {
		return nil, fmt.Errorf("LOG_LEVEL: want error, info or debug, got %q", level)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})), nil
}

// limitResources keeps the process within its quota: one thread runs at a time
// on a share of a core, and past the memory limit the process is killed.
func limitResources(q config.Quota) {
	runtime.GOMAXPROCS(max(1, int(q.CPU)))
	debug.SetGCPercent(200)
	debug.SetMemoryLimit(int64(q.RAMMB * 0.6 * (1 << 20)))
}

func coreConfig(s *config.Settings, log *slog.Logger) core.Config {
	d, t := s.Deployment, s.Tuning
	now, later := d.State.Limits, d.State.Later()
	c := core.Config{
		Node: s.Node, Size: d.Size, Zones: d.Zones,
		Lease: s.LeaseTime(), ReportEvery: unit.Seconds(d.Workers.ReportS),
		CancelIn:  unit.Seconds(d.Workers.CancelS),
		LeaderTTL: unit.Seconds(t.LeaseS), ListLag: unit.Seconds(d.Cloud.ListLagS),
		TxnOps: min(now.TxnOps, later.TxnOps), ValueKB: now.ValueKB, ValueMax: int(min(now.ValueKB, later.ValueKB) * 1024),
		StateRate: now.RPS, WriteRate: now.WriteRPS, NextStateRate: later.RPS, NextWriteRate: later.WriteRPS, CloudRate: d.Cloud.RPS,
		Pack:          pack.Params{Fairness: t.Fairness, EpsilonScale: t.EpsilonScale, ImagePenalty: t.ImagePenalty},
		Scale:         scale.Params{Spare: t.SpareShare, Memory: unit.Seconds(t.DemandS), Worth: unit.Seconds(t.WorthS), IdleReturn: unit.Seconds(t.IdleS)},
		BlockMachines: s.BlockMachines(), RoundShare: t.RoundShare,
		Log: log,
	}
	for _, p := range s.Peers {
		c.Peers = append(c.Peers, p.Node)
	}
	for _, tm := range d.Teams {
		c.Teams = append(c.Teams, core.Team{Name: tm.Name,
			Guarantee: pack.Vec{unit.MilliDown(tm.CPUs), unit.MilliDown(tm.GPUs)},
			Limit:     pack.Vec{unit.MilliDown(tm.CPUsMax), unit.MilliDown(tm.GPUsMax)}})
	}
	for _, o := range d.Objectives {
		c.Objectives = append(c.Objectives, core.Objective{Kind: o.Kind, Class: o.Class, Within: unit.Seconds(o.WithinS), Times: o.Times})
	}
	return c
}
