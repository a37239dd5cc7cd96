package sim

import (
	"cmp"
	"math/rand/v2"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/scenario"
)

// nodesOf returns the controllers that a fault means.
func (w *World) nodesOf(node string) []*Node {
	switch node {
	case "all":
		return w.Nodes
	case "holder":
		if n := w.Holder(0); n != nil {
			return []*Node{n}
		}
		return nil
	case "leader":
		for _, n := range w.Nodes {
			if n.life != 0 && n.core.Leads() {
				return []*Node{n}
			}
		}
		return nil
	case "", "any":
		return []*Node{w.Nodes[w.rng.IntN(len(w.Nodes))]}
	}
	return []*Node{w.node(node)}
}

// Fault lets something go wrong now.
func (w *World) Fault(f scenario.Fault) {
	w.Check.Note(w.now, "fault: %s", f)
	last := units.Seconds(f.ForS)
	until := w.now + last
	w.faultComes(f)
	switch f.Kind {
	case scenario.ControllerCrash:
		for _, n := range w.nodesOf(f.Node) {
			n.crash(last)
		}
	case scenario.ControllerRetire:
		for _, n := range w.nodesOf(f.Node) {
			n.Retire()
		}
	case scenario.ControllerRoll:
		for i, n := range w.Nodes {
			w.after(units.Microseconds(i)*units.Seconds(f.EveryS), n.Crash)
		}
	case scenario.ControllerFreeze:
		for _, n := range w.nodesOf(f.Node) {
			n.Freeze(until)
		}
	case scenario.ControllerSlow:
		for _, n := range w.nodesOf(f.Node) {
			n.slow, n.cost = until, units.Microseconds(f.Times*float64(millis))
		}
	case scenario.ClockJump:
		for _, n := range w.nodesOf(f.Node) {
			n.jump()
		}
	case scenario.Cut:
		w.cut(f)
	case scenario.ZoneApart, scenario.ZoneLost:
		w.apart(f)
	case scenario.StateOutage:
		w.State.Down(w.now, until)
		w.takeState()
	case scenario.StateRefuse:
		for _, n := range w.nodesOf(f.Node) {
			w.State.Refuse(n.Name, until)
		}
	case scenario.StateSlow:
		w.slow.until, w.slow.delay = until, units.Microseconds(f.DelayMS*1000)
	case scenario.StateLimits:
		w.State.SetLimits(w.S.State.Fallen(f).KV())
	case scenario.StateLate:
		w.late, w.lateShare = until, cmp.Or(f.Share, 1)
	case scenario.StateUnanswered:
		w.unanswered, w.unansweredShare = until, cmp.Or(f.Share, 1)
	case scenario.StateLose:
		w.State.Lose(w.now, f.LosePrefix(), max(f.Count, 1))
	case scenario.LateReports:
		w.copies.until, w.copies.share, w.copies.forNext = until, f.Share, f.ForNext
	case scenario.PollStorm:
		w.Crowd.Storm(f.Times)
		w.after(last, func() { w.Crowd.Storm(1) })
	case scenario.CancelNow:
		w.cancelNow(f)
	case scenario.CancelAtEnd:
		w.users.endUntil, w.users.endShare = until, f.Share
	case scenario.OddRequests:
		w.oddRequests(until)
	case scenario.CloseLooks:
		w.Crowd.LookClosely(until)
	case scenario.ConfigSet:
		w.configSet(f)
	case scenario.Surge: // in the jobs' times already
	default:
		if err := w.S.SiteFault(w.now, w.Site, f); err != nil {
			panic(err) // the scenario was checked
		}
		w.takeSite()
		if f.Kind == scenario.SpotRate {
			w.after(last, func() {
				w.Site.Cloud.SetReclaimRate(w.now, w.S.Cloud.SpotPerHour)
				w.takeSite()
			})
		}
	}
}

func (w *World) cut(f scenario.Fault) {
	t := trouble{w.now + units.Seconds(f.ForS), f.Mode, units.Microseconds(f.DelayMS * 1000)}
	for _, a := range w.nodesOf(f.Between[0]) {
		for _, b := range w.parties(a, f.Between[1]) {
			if f.Direction != "back" {
				w.net.cut(a.Name, b, t)
			}
			if f.Direction != "there" {
				w.net.cut(b, a.Name, t)
			}
		}
	}
}

// parties returns whom a cut is to, as seen from a controller.
func (w *World) parties(a *Node, name string) []string {
	var out []string
	switch name {
	case scenario.PartyState, scenario.PartyCloud, scenario.PartyUsers:
		return []string{name}
	case scenario.PartyWorkers:
		for _, z := range w.S.Controllers.Zones {
			out = append(out, scenario.ZoneParty(z))
		}
	case scenario.PartyPeers:
		for _, n := range w.Nodes {
			if n != a {
				out = append(out, n.Name)
			}
		}
	default:
		for _, n := range w.nodesOf(name) {
			if n != a {
				out = append(out, n.Name)
			}
		}
	}
	return out
}

// apart cuts a zone off; there is the way out of it.
func (w *World) apart(f scenario.Fault) {
	t := trouble{w.now + units.Seconds(f.ForS), f.Mode, units.Microseconds(f.DelayMS * 1000)}
	w.zoneCut[f.Zone] = t.until
	for _, p := range w.S.ApartFrom(f.Zone, f.Kind == scenario.ZoneLost) {
		if f.Direction != "back" {
			w.net.cut(p[0], p[1], t)
		}
		if f.Direction != "there" {
			w.net.cut(p[1], p[0], t)
		}
	}
}

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
func Drawn(s *scenario.Scenario, seed uint64, rng *rand.Rand) []scenario.Fault {
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
