package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"shalestage.example/shalestage/internal/launch"
	"shalestage.example/shalestage/internal/scenario"
)

type faultCmd struct {
	Kind      string        `arg:"" optional:"" help:"Kind of fault; without one, all kinds are listed."`
	For       time.Duration `help:"How long it lasts."`
	Node      string        `help:"Controller: its name, holder, leader, any or all."`
	Between   []string      `help:"Two parties of a cut: a controller, then state, cloud, workers, peers, users or a controller."`
	Direction string        `help:"Of a cut, as seen from the controller: both, there or back."`
	Mode      string        `help:"Of a cut: hold, drop, reset, delay or trickle."`
	Count     int           `help:"How many machines, or lost writes."`
	Share     float64       `help:"Which share of the machines."`
	Type      string        `help:"Machine type."`
	Zone      string        `help:"Zone."`
	Every     time.Duration `help:"Time between several."`
	Times     float64       `help:"A factor."`
	PerHour   float64       `help:"A rate an hour."`
	Delay     time.Duration `help:"Of slow answers, of pieces that are delayed, of each byte that trickles."`
	Prefix    string        `help:"Of the keys whose writes are lost."`
	Control   string        `placeholder:"IP:PORT" help:"Control address; by default that of the deployment that \"up\" has started from this directory."`
}

// Run lets a fault happen now.
func (o *faultCmd) Run() error {
	if o.Kind == "" {
		t := newTable(os.Stdout, "kind", "needs", "what happens")
		t.SetColumnConfigs(wrapped(3, 70))
		for _, k := range scenario.Kinds {
			t.AppendRow([]any{k.Kind, flags(k.Needs), k.About})
		}
		t.Render()
		return nil
	}
	f := scenario.Fault{Kind: o.Kind, ForS: o.For.Seconds(), Node: o.Node, Between: o.Between, Direction: o.Direction, Mode: o.Mode, Count: o.Count,
		Share: o.Share, Type: o.Type, Zone: o.Zone, EveryS: o.Every.Seconds(), Times: o.Times, PerHour: o.PerHour,
		DelayMS: float64(o.Delay) / float64(time.Millisecond), Prefix: o.Prefix}
	control := o.Control
	if control == "" {
		cl, err := target{}.resolve()
		if err != nil {
			return err
		}
		if control = cl.Control; control == "" {
			return unusable(errors.New("the deployment has no control address"))
		}
	}
	// How many controllers there are is the deployment's to know.
	if field, err := f.Check(99); err != nil {
		return unusable(fmt.Errorf("%s: %w", field, err))
	}
	return launch.SendFault(control, f)
}

// flags returns the flags that set a fault's fields.
func flags(fields []string) string {
	var out []string
	for _, f := range fields {
		f = strings.TrimSuffix(strings.TrimSuffix(f, "_s"), "_ms")
		out = append(out, "--"+strings.ReplaceAll(f, "_", "-"))
	}
	return strings.Join(out, " ")
}
