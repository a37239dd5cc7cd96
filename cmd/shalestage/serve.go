package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"shalestage.example/shalestage/internal/api"
	"shalestage.example/shalestage/internal/cloud"
	"shalestage.example/shalestage/internal/config"
	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/memory"
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
	if files, err := openFiles(); err != nil {
		log.Warn("limit of open files is not known", "err", err)
	} else if err := s.LimitOpenFiles(files); err != nil {
		// Refusing to start would cost more: what is beyond the limit was never of use.
		log.Warn("fewer sockets than set", "err", err)
	}
	limit := limitResources(s.Deployment.Quota)

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
	coreConfig := s.CoreConfig(log)
	coreConfig.ProcessID = rand.Uint64()
	n := node.New(core.New(coreConfig),
		state.New(s.Services.State, d.State.RPS/share, d.State.NextLimits().RPS/share, log),
		cloud.New(s.Services.Cloud, d.Cloud.RPS, log), worker.New(log), link, log)
	n.SetMemoryCheck(memory.New(limit).Full)
	go n.Run(context.Background())
	go link.Run(context.Background())
	frames, web := peer.Split(pl)
	go func() { log.Error("internal address", "err", link.Serve(context.Background(), frames, n.Receive)) }()
	go func() { log.Error("internal address", "err", api.ServeInternal(web, n)) }()
	log.Info("serving", "node", s.Node, "listen", s.Listen, "version", version)
	failed := make(chan error, 1)
	// Room is left for connections to the services and to other controllers.
	go func() { failed <- api.Serve(l, n, d.Quota.FDLimit*9/10, 60*units.Second, log) }()
	ends, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	select {
	case err := <-failed:
		return err
	case <-ends.Done():
		stop() // a second signal ends the process at once
		n.Retire(context.Background())
		return nil
	}
}

// openFiles is how many files and sockets the operating system lets this process have open; the
// runtime has raised it as far as it goes.
func openFiles() (uint64, error) {
	var r syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r)
	return r.Cur, err
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
// on a share of a core, and past the memory limit the process is killed. It returns the
// bytes that the runtime keeps to.
func limitResources(q config.Quota) int64 {
	runtime.GOMAXPROCS(max(1, int(q.CPU)))
	debug.SetGCPercent(200)
	limit := int64(q.RAMMB * 0.6 * (1 << 20))
	debug.SetMemoryLimit(limit)
	return limit
}
