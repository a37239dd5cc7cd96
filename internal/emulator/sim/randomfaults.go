package sim

import (
	"math/rand/v2"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/scenario"
)

// settled draws when a fault comes and how long it lasts, where that is left open.
func settled(f scenario.Fault, rng *rand.Rand) scenario.Fault {
	if f.AtToS > f.AtS {
		f.AtS = span(rng, f.AtS, f.AtToS)
	}
	if f.ForToS > f.ForS {
		f.ForS = span(rng, f.ForS, f.ForToS)
	}
	f.AtToS, f.ForToS = 0, 0
	return f
}

// calm is when all troubles are over. What is done late by them has had its time, too.
func calm(faults []scenario.Fault) units.Microseconds {
	last := 0.0
	for _, f := range faults {
		last = max(last, f.AtS+f.ForS)
	}
	return units.Seconds(last) + 60*units.Second
}

// Drawn draws faults of every kind that the protocol allows. With pairs, two kinds
// come together a few times; one seed after another goes through all pairs.
func DrawFaults(s *scenario.Scenario, seed uint64, rng *rand.Rand) []scenario.Fault {
	var out []scenario.Fault
	gap := s.Draw.GapS
	if gap == 0 {
		gap = 10
	}
	kinds := len(shapes)
	for at := s.Draw.FromS + span(rng, 0, gap); at < s.Draw.ToS; at += span(rng, 0.2*gap, 1.8*gap) {
		if !s.Draw.Pairs {
			out = append(out, draw(rng.IntN(kinds), at, rng))
			continue
		}
		n := int(seed % uint64(kinds*(kinds+1)/2))
		a := 0
		for ; n >= kinds-a; a++ {
			n -= kinds - a
		}
		out = append(out, draw(a, at, rng), draw(a+n, at+span(rng, 0, 3), rng))
	}
	return out
}

func span(rng *rand.Rand, a, b float64) float64 {
	return float64(int((a+(b-a)*rng.Float64())*1000)) / 1000
}

func pick(rng *rand.Rand, of ...string) string { return of[rng.IntN(len(of))] }

// shapes are the kinds of faults that are drawn, each with what is drawn for it.
var shapes = []func(f *scenario.Fault, rng *rand.Rand){
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.Node = scenario.ControllerCrash, 0, someNode(rng)
	},
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind, f.ForS, f.Node = scenario.ControllerCrash, 0, "all" },
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.Node = scenario.ControllerRetire, 0, someNode(rng)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.EveryS = scenario.ControllerRoll, 0, span(rng, 1, 6)
	},
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.Node = scenario.ControllerFreeze, someNode(rng) },
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.Node = scenario.ControllerFreeze, span(rng, 0.1, 2.5), someNode(rng)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.Times, f.Node = scenario.ControllerSlow, span(rng, 2, 6), someNode(rng)
	},
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.ForS = scenario.StateOutage, span(rng, 1, 45) },
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.Node = scenario.StateRefuse, someNode(rng) },
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.DelayMS = scenario.StateSlow, span(rng, 50, 600) },
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.ForS = scenario.StateLate, span(rng, 0.5, 5) },
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.ForS = scenario.StateUnanswered, span(rng, 0.5, 5) },
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.Share = scenario.StateLate, span(rng, 0.05, 0.5)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.Node = scenario.ControllerCrash, span(rng, 0.02, 0.1), someNode(rng)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.Count = scenario.MachineDeaf, 1+rng.IntN(4)
	},
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.Share = scenario.LateReports, span(rng, 0.1, 0.6) },
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind = scenario.CloudDown },
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind = scenario.NoCapacity },
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.Count = scenario.MachineStop, 0, 1+rng.IntN(2)
	},
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.Count = scenario.MachineHang, 1+rng.IntN(3) },
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind, f.ForS, f.Count = scenario.MachineSick, 0, 1 },
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.Count, f.Times = scenario.MachineSlow, 0, 1+rng.IntN(2), span(rng, 2, 8)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.Share = scenario.SpotWave, 0, span(rng, 0.3, 1)
	},
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.PerHour = scenario.SpotRate, span(rng, 20, 200) },
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind, f.ForS, f.Node = scenario.ClockJump, 0, "any" },
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.Times = scenario.PollStorm, span(rng, 5, 30) },
	cutTo(scenario.PartyState), cutTo(scenario.PartyCloud), cutTo(scenario.PartyWorkers), cutTo(scenario.PartyPeers), cutTo(scenario.PartyUsers),
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.Count, f.HangS = scenario.CancelNow, 0, 1+rng.IntN(6), float64(rng.IntN(2))*span(rng, 1, 25)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.Share = scenario.CancelAtEnd, span(rng, 0.2, 1)
	},
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind = scenario.OddRequests },
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind = scenario.CloseLooks },
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.Count = scenario.MachineMute, 1+rng.IntN(4) },
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.Share = scenario.StateUnanswered, span(rng, 0.05, 0.5)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.Share, f.ForNext = scenario.LateReports, span(rng, 0.1, 0.6), true
	},
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind = scenario.QuickBoots },
}

func someNode(rng *rand.Rand) string { return pick(rng, "any", "any", "holder", "leader") }

func cutTo(party string) func(f *scenario.Fault, rng *rand.Rand) {
	return func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.Between = scenario.Cut, []string{someNode(rng), party}
		if f.Mode, f.DelayMS = pick(rng, "hold", "drop", "reset", "delay", "trickle"), span(rng, 1, 8); f.Mode == "delay" {
			f.DelayMS *= 100
		}
		f.Direction = pick(rng, "both", "both", "there", "back")
	}
}

func draw(shape int, at float64, rng *rand.Rand) scenario.Fault {
	f := scenario.Fault{AtS: at, ForS: span(rng, 1, 25)}
	shapes[shape](&f, rng)
	return f
}
