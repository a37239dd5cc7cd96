package rehearse

import (
	"math/rand/v2"
	"slices"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/sim"
	"shalestage.example/shalestage/internal/scenario"
)

// TriggeredFault is a trouble that began at an event of those before it.
type TriggeredFault struct {
	First string `json:"first"` // kind of the trouble before
	Kind  string `json:"kind"`
	Event string `json:"event"`
}

const (
	// A later trouble begins while the one before goes on or at most so long after it, and
	// offBy before or after its event.
	linger = 15.0
	offBy  = 0.4
	// keptMoments bounds the moments that are remembered of each event.
	keptMoments = 2000
)

// DrawAtEvents draws troubles by their meeting: the first by the clock, each other at an event that
// follows from those before it, a little before, at or after it; and so that some end at an
// event as well. As a seed gives one history, the play up to there shows when that is. What
// comes out is a scenario with fixed troubles.
func DrawAtEvents(s *scenario.Scenario, opt sim.Options) (*scenario.Scenario, []TriggeredFault) {
	seed := opt.Seed
	if seed == 0 {
		seed = s.Seed
	}
	rng := rand.New(rand.NewPCG(seed, 18))
	out := *s
	out.Draw = scenario.Draw{}
	out.Faults = slices.Clone(s.Faults)
	last := sim.DrawFault(rng, round(s.Draw.FromS+(s.Draw.ToS-s.Draw.FromS)*rng.Float64()))
	out.Faults = append(out.Faults, last)
	var met []TriggeredFault
	for range s.Draw.Meet - 1 {
		from, to := last.AtS, last.AtS+last.ForS+linger
		moments := map[string][]float64{}
		w := sim.New(&out, sim.Options{Seed: seed, Noise: true, Break: opt.Break, Event: func(at units.Microseconds, event string) {
			t := at.Seconds()
			if t < from || t > to || len(moments[event]) >= keptMoments || len(s.Draw.Events) > 0 && !slices.Contains(s.Draw.Events, event) {
				return
			}
			moments[event] = append(moments[event], t)
		}})
		w.Run(units.Seconds(to))
		var events []string
		for _, e := range scenario.Events {
			if len(moments[e]) > 0 {
				events = append(events, e)
			}
		}
		if len(events) == 0 {
			break
		}
		event := events[rng.IntN(len(events))]
		at := moments[event][rng.IntN(len(moments[event]))]
		next := sim.DrawFault(rng, round(max(0, at+offBy*[]float64{-rng.Float64(), 0, rng.Float64()}[rng.IntN(3)])))
		if ends := events[rng.IntN(len(events))]; next.ForS > 0 && rng.IntN(2) == 0 {
			if end := moments[ends][rng.IntN(len(moments[ends]))]; end > next.AtS {
				next.ForS = round(end - next.AtS + offBy*(rng.Float64()-0.5) + 0.001)
				next.ForS = max(next.ForS, 0.001)
			}
		}
		met = append(met, TriggeredFault{last.Kind, next.Kind, event})
		out.Faults = append(out.Faults, next)
		last = next
	}
	return &out, met
}

// round keeps times to the millisecond, as files give them.
func round(t float64) float64 { return float64(int(t*1000)) / 1000 }
