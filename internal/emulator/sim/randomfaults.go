package sim

import (
	"math/rand/v2"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/scenario"
)

// resolveTimes draws the start and duration of a fault where the scenario gives ranges.
func resolveTimes(f scenario.Fault, rng *rand.Rand) scenario.Fault {
	if f.AtToS > f.AtS {
		f.AtS = randomSpan(rng, f.AtS, f.AtToS)
	}
	if f.ForToS > f.ForS {
		f.ForS = randomSpan(rng, f.ForS, f.ForToS)
	}
	f.AtToS, f.ForToS = 0, 0
	return f
}

// faultsOverTime returns the time at which all faults and their delayed effects are over: a minute after the
// last end.
func faultsOverTime(faults []scenario.Fault) units.Microseconds {
	last := 0.0
	for _, f := range faults {
		last = max(last, f.AtS+f.ForS)
	}
	return units.Seconds(last) + 60*units.Second
}

// DrawFaults draws faults of every kind that the protocol tolerates, at random times of the scenario's range.
// With Draw.Pairs, a run combines the same two kinds several times, and successive seeds go through all
// pairs.
func DrawFaults(s *scenario.Scenario, seed uint64, rng *rand.Rand) []scenario.Fault {
	var out []scenario.Fault
	gap := s.Draw.GapS
	if gap == 0 {
		gap = 10
	}
	kinds := len(faultShapes)
	for at := s.Draw.FromS + randomSpan(rng, 0, gap); at < s.Draw.ToS; at += randomSpan(rng, 0.2*gap, 1.8*gap) {
		if !s.Draw.Pairs {
			out = append(out, drawShape(rng.IntN(kinds), at, rng))
			continue
		}
		n := int(seed % uint64(kinds*(kinds+1)/2))
		a := 0
		for ; n >= kinds-a; a++ {
			n -= kinds - a
		}
		out = append(out, drawShape(a, at, rng), drawShape(a+n, at+randomSpan(rng, 0, 3), rng))
	}
	return out
}

// randomSpan returns a random number of seconds between a and b, in whole milliseconds.
func randomSpan(rng *rand.Rand, a, b float64) float64 {
	return float64(int((a+(b-a)*rng.Float64())*1000)) / 1000
}

func pickOne(rng *rand.Rand, of ...string) string { return of[rng.IntN(len(of))] }

// faultShapes are the kinds of drawn faults. Each function sets the kind and draws its parameters.
var faultShapes = []func(f *scenario.Fault, rng *rand.Rand){
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.Node = scenario.ControllerCrash, 0, drawNode(rng)
	},
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind, f.ForS, f.Node = scenario.ControllerCrash, 0, "all" },
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.Node = scenario.ControllerRetire, 0, drawNode(rng)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.EveryS = scenario.ControllerRoll, 0, randomSpan(rng, 1, 6)
	},
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.Node = scenario.ControllerFreeze, drawNode(rng) },
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.Node = scenario.ControllerFreeze, randomSpan(rng, 0.1, 2.5), drawNode(rng)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.Times, f.Node = scenario.ControllerSlow, randomSpan(rng, 2, 6), drawNode(rng)
	},
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.ForS = scenario.StateOutage, randomSpan(rng, 1, 45) },
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.Node = scenario.StateRefuse, drawNode(rng) },
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.DelayMS = scenario.StateSlow, randomSpan(rng, 50, 600)
	},
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.ForS = scenario.StateLate, randomSpan(rng, 0.5, 5) },
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS = scenario.StateUnanswered, randomSpan(rng, 0.5, 5)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.Share = scenario.StateLate, randomSpan(rng, 0.05, 0.5)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.Node = scenario.ControllerCrash, randomSpan(rng, 0.02, 0.1), drawNode(rng)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.Count = scenario.MachineDeaf, 1+rng.IntN(4)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.Share = scenario.LateReports, randomSpan(rng, 0.1, 0.6)
	},
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind = scenario.CloudDown },
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind = scenario.NoCapacity },
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.Count = scenario.MachineStop, 0, 1+rng.IntN(2)
	},
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.Count = scenario.MachineHang, 1+rng.IntN(3) },
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind, f.ForS, f.Count = scenario.MachineSick, 0, 1 },
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.Count, f.Times = scenario.MachineSlow, 0, 1+rng.IntN(2), randomSpan(rng, 2, 8)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.Share = scenario.SpotWave, 0, randomSpan(rng, 0.3, 1)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.PerHour = scenario.SpotRate, randomSpan(rng, 20, 200)
	},
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind, f.ForS, f.Node = scenario.ClockJump, 0, "any" },
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.Times = scenario.PollStorm, randomSpan(rng, 5, 30) },
	cutFromNode(scenario.PartyState), cutFromNode(scenario.PartyCloud), cutFromNode(scenario.PartyWorkers), cutFromNode(scenario.PartyPeers), cutFromNode(scenario.PartyUsers),
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.ForS, f.Count, f.HangS = scenario.CancelNow, 0, 1+rng.IntN(6), float64(rng.IntN(2))*randomSpan(rng, 1, 25)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.Share = scenario.CancelAtEnd, randomSpan(rng, 0.2, 1)
	},
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind = scenario.OddRequests },
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind = scenario.CloseLooks },
	func(f *scenario.Fault, rng *rand.Rand) { f.Kind, f.Count = scenario.MachineMute, 1+rng.IntN(4) },
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.Share = scenario.StateUnanswered, randomSpan(rng, 0.05, 0.5)
	},
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.Share, f.ForNext = scenario.LateReports, randomSpan(rng, 0.1, 0.6), true
	},
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind = scenario.QuickBoots },
	func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.Share = scenario.RepeatedRequests, randomSpan(rng, 0.1, 0.8)
	},
	func(f *scenario.Fault, _ *rand.Rand) { f.Kind, f.ForS, f.Share = scenario.MachineStop, 0, 1 },
}

func drawNode(rng *rand.Rand) string { return pickOne(rng, "any", "any", "holder", "leader") }

func cutFromNode(party string) func(f *scenario.Fault, rng *rand.Rand) {
	return func(f *scenario.Fault, rng *rand.Rand) {
		f.Kind, f.Between = scenario.Cut, []string{drawNode(rng), party}
		if f.Mode, f.DelayMS = pickOne(rng, "hold", "drop", "reset", "delay", "trickle"), randomSpan(rng, 1, 8); f.Mode == "delay" {
			f.DelayMS *= 100
		}
		f.Direction = pickOne(rng, "both", "both", "there", "back")
	}
}

func drawShape(shape int, at float64, rng *rand.Rand) scenario.Fault {
	f := scenario.Fault{AtS: at, ForS: randomSpan(rng, 1, 25)}
	faultShapes[shape](&f, rng)
	return f
}
