package sim

import (
	"cmp"

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

// Fault injects a fault now.
func (w *World) Fault(f scenario.Fault) {
	w.Check.Note(w.now, "fault: %s", f)
	w.faultComes(f)
	switch f.Kind {
	case scenario.Cut:
		w.cut(f)
	case scenario.ZoneApart, scenario.ZoneLost:
		w.apart(f)
	case scenario.LateReports:
		w.copies.until, w.copies.share, w.copies.forNext = w.now+units.Seconds(f.ForS), f.Share, f.ForNext
	case scenario.Surge: // in the jobs' times already
	default:
		if !w.controllerFault(f) && !w.stateFault(f) && !w.userFault(f) {
			w.siteFault(f)
		}
	}
}

// controllerFault injects a fault of controllers' processes, and reports whether it is one.
func (w *World) controllerFault(f scenario.Fault) bool {
	last := units.Seconds(f.ForS)
	until := w.now + last
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
	default:
		return false
	}
	return true
}

// stateFault injects a fault of the state service, and reports whether it is one.
func (w *World) stateFault(f scenario.Fault) bool {
	until := w.now + units.Seconds(f.ForS)
	switch f.Kind {
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
		w.State.SetLimits(w.S.State.LoweredLimits(f).KV())
	case scenario.StateLate:
		w.late, w.lateShare = until, cmp.Or(f.Share, 1)
	case scenario.StateUnanswered:
		w.unanswered, w.unansweredShare = until, cmp.Or(f.Share, 1)
	case scenario.StateLose:
		w.State.Lose(w.now, f.LostWritePrefix(), max(f.Count, 1))
	default:
		return false
	}
	return true
}

// userFault lets users or the operator do something, and reports whether the fault says so.
func (w *World) userFault(f scenario.Fault) bool {
	last := units.Seconds(f.ForS)
	until := w.now + last
	switch f.Kind {
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
	default:
		return false
	}
	return true
}

// siteFault injects a fault of machines or of the cloud provider.
func (w *World) siteFault(f scenario.Fault) {
	if err := w.S.InjectSiteFault(w.now, w.Site, f); err != nil {
		panic(err) // the scenario was checked
	}
	w.takeSite()
	if f.Kind == scenario.SpotRate {
		w.after(units.Seconds(f.ForS), func() {
			w.Site.Cloud.SetReclaimRate(w.now, w.S.Cloud.SpotPerHour)
			w.takeSite()
		})
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
	for _, p := range w.S.PartitionedPairs(f.Zone, f.Kind == scenario.ZoneLost) {
		if f.Direction != "back" {
			w.net.cut(p[0], p[1], t)
		}
		if f.Direction != "there" {
			w.net.cut(p[1], p[0], t)
		}
	}
}
