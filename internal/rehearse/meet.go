package rehearse

import (
	"math/rand/v2"
	"slices"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/sim"
	"shalestage.example/shalestage/internal/scenario"
)

// TriggeredFault is a fault that was drawn to begin at an event that earlier faults led to.
type TriggeredFault struct {
	First string `json:"first"` // kind of the previous fault
	Kind  string `json:"kind"`
	Event string `json:"event"`
}

const (
	// A later fault begins while the previous one is active or at most maxDelayS after it, and at most
	// maxOffsetS before or after its event. Both are in seconds.
	maxDelayS  = 15.0
	maxOffsetS = 0.4
	// maxOccurrences bounds the number of recorded occurrences of each event.
	maxOccurrences = 2000
)

// DrawAtEvents draws faults at events. The first fault begins at a random time. Each later one begins
// slightly before, at or slightly after an event that the earlier faults led to, and some faults also end at
// an event. A run is deterministic for its seed, so a run with the earlier faults shows when the events
// happen. DrawAtEvents returns a copy of the scenario with fixed faults, and the faults that were drawn at
// events.
func DrawAtEvents(base *scenario.Scenario, opt sim.Options) (*scenario.Scenario, []TriggeredFault) {
	seed := opt.Seed
	if seed == 0 {
		seed = base.Seed
	}
	rng := rand.New(rand.NewPCG(seed, 18))
	out := *base
	out.Draw = scenario.Draw{}
	out.Faults = slices.Clone(base.Faults)
	last := sim.DrawFault(rng, round(base.Draw.FromS+(base.Draw.ToS-base.Draw.FromS)*rng.Float64()))
	out.Faults = append(out.Faults, last)
	var triggered []TriggeredFault
	for range base.Draw.Meet - 1 {
		from, to := last.AtS, last.AtS+last.ForS+maxDelayS
		occurrences := map[string][]float64{}
		w := sim.New(&out, sim.Options{Seed: seed, Noise: true, Mutation: opt.Mutation, OnEvent: func(at units.Microseconds, event string) {
			t := at.Seconds()
			if t < from || t > to || len(occurrences[event]) >= maxOccurrences || len(base.Draw.Events) > 0 && !slices.Contains(base.Draw.Events, event) {
				return
			}
			occurrences[event] = append(occurrences[event], t)
		}})
		w.Run(units.Seconds(to))
		var events []string
		for _, e := range scenario.Events {
			if len(occurrences[e]) > 0 {
				events = append(events, e)
			}
		}
		if len(events) == 0 {
			break
		}
		event := events[rng.IntN(len(events))]
		at := occurrences[event][rng.IntN(len(occurrences[event]))]
		next := sim.DrawFault(rng, round(max(0, at+maxOffsetS*[]float64{-rng.Float64(), 0, rng.Float64()}[rng.IntN(3)])))
		if ends := events[rng.IntN(len(events))]; next.ForS > 0 && rng.IntN(2) == 0 {
			if end := occurrences[ends][rng.IntN(len(occurrences[ends]))]; end > next.AtS {
				next.ForS = round(end - next.AtS + maxOffsetS*(rng.Float64()-0.5) + 0.001)
				next.ForS = max(next.ForS, 0.001)
			}
		}
		triggered = append(triggered, TriggeredFault{last.Kind, next.Kind, event})
		out.Faults = append(out.Faults, next)
		last = next
	}
	return &out, triggered
}

// round truncates a time in seconds to milliseconds, the precision of scenario files.
func round(t float64) float64 { return float64(int(t*1000)) / 1000 }
