package sim

import (
	"cmp"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/scenario"
)

// nodesOf returns the controllers that the node field of a fault selects.
func (w *World) nodesOf(node string) []*Node {
	switch node {
	case "all":
		return w.Nodes
	case "holder":
		if n := w.ShardOwner(0); n != nil {
			return []*Node{n}
		}
		return nil
	case "leader":
		for _, n := range w.Nodes {
			if n.incarnation != 0 && n.core.Leads() {
				return []*Node{n}
			}
		}
		return nil
	case "", "any":
		return []*Node{w.Nodes[w.rng.IntN(len(w.Nodes))]}
	}
	return []*Node{w.node(node)}
}

// InjectFault injects a fault now.
func (w *World) InjectFault(fault scenario.Fault) {
	w.Check.Note(w.now, "fault: %s", fault)
	w.recordFault(fault)
	switch fault.Kind {
	case scenario.Cut:
		w.cut(fault)
	case scenario.ZoneApart, scenario.ZoneLost:
		w.cutZone(fault)
	case scenario.LateReports:
		w.heartbeatCopies.until, w.heartbeatCopies.share, w.heartbeatCopies.forNext = w.now+units.Seconds(fault.ForS), fault.Share, fault.ForNext
	case scenario.RepeatedRequests:
		w.repeats = requestRepeats{w.now + units.Seconds(fault.ForS), fault.Share}
	case scenario.Surge: // the submission times of jobs include it already
	default:
		if !w.controllerFault(fault) && !w.stateFault(fault) && !w.userFault(fault) {
			w.siteFault(fault)
		}
	}
}

// controllerFault injects a fault of controller processes. It reports whether the fault is of that kind.
func (w *World) controllerFault(fault scenario.Fault) bool {
	last := units.Seconds(fault.ForS)
	until := w.now + last
	switch fault.Kind {
	case scenario.ControllerCrash:
		for _, n := range w.nodesOf(fault.Node) {
			n.crash(last)
		}
	case scenario.ControllerRetire:
		for _, n := range w.nodesOf(fault.Node) {
			n.Retire()
		}
	case scenario.ControllerRoll:
		for i, n := range w.Nodes {
			w.schedule(units.Microseconds(i)*units.Seconds(fault.EveryS), n.Crash)
		}
	case scenario.ControllerFreeze:
		for _, n := range w.nodesOf(fault.Node) {
			n.Freeze(until)
		}
	case scenario.ControllerSlow:
		for _, n := range w.nodesOf(fault.Node) {
			n.slowUntil, n.messageCost = until, units.Microseconds(fault.Times*float64(millis))
		}
	case scenario.ClockJump:
		for _, n := range w.nodesOf(fault.Node) {
			n.drawWallOffset()
		}
	default:
		return false
	}
	return true
}

// stateFault injects a fault of the state service. It reports whether the fault is of that kind.
func (w *World) stateFault(fault scenario.Fault) bool {
	until := w.now + units.Seconds(fault.ForS)
	switch fault.Kind {
	case scenario.StateOutage:
		w.State.SetDown(w.now, until)
		w.deliverWatchResponses()
	case scenario.StateRefuse:
		for _, n := range w.nodesOf(fault.Node) {
			w.State.RefuseClient(n.Name, until)
		}
	case scenario.StateSlow:
		w.stateSlowness.until, w.stateSlowness.delay = until, units.Microseconds(fault.DelayMS*1000)
	case scenario.StateLimits:
		w.State.SetLimits(w.Scenario.State.LoweredLimits(fault).KV())
	case scenario.StateLate:
		w.lateUntil, w.lateShare = until, cmp.Or(fault.Share, 1)
	case scenario.StateUnanswered:
		w.unansweredUntil, w.unansweredShare = until, cmp.Or(fault.Share, 1)
	case scenario.StateLose:
		w.State.RollBack(w.now, fault.LostWritePrefix(), max(fault.Count, 1))
	default:
		return false
	}
	return true
}

// userFault makes users or the operator send requests. It reports whether the fault is of that kind.
func (w *World) userFault(fault scenario.Fault) bool {
	last := units.Seconds(fault.ForS)
	until := w.now + last
	switch fault.Kind {
	case scenario.PollStorm:
		w.Users.SetPollFactor(fault.Times)
		w.schedule(last, func() { w.Users.SetPollFactor(1) })
	case scenario.CancelNow:
		w.cancelNow(fault)
	case scenario.CancelAtEnd:
		w.userFaults.cancelAtEndUntil, w.userFaults.cancelAtEndShare = until, fault.Share
	case scenario.OddRequests:
		w.oddRequests(until)
	case scenario.CloseLooks:
		w.Users.ProbeReadsUntil(until)
	case scenario.ConfigSet:
		w.changeTeam(fault)
	default:
		return false
	}
	return true
}

// siteFault injects a fault of worker machines or of the cloud provider.
func (w *World) siteFault(fault scenario.Fault) {
	if err := w.Scenario.InjectSiteFault(w.now, w.Site, fault); err != nil {
		panic(err) // the scenario has been validated
	}
	w.handleSiteEvents()
	if fault.Kind == scenario.SpotRate {
		w.schedule(units.Seconds(fault.ForS), func() {
			w.Site.Cloud.SetReclaimRate(w.now, w.Scenario.Cloud.SpotPerHour)
			w.handleSiteEvents()
		})
	}
}

// cut impairs the links between controllers and the other party of the fault.
func (w *World) cut(fault scenario.Fault) {
	cut := impairment{w.now + units.Seconds(fault.ForS), fault.Mode, units.Microseconds(fault.DelayMS * 1000)}
	for _, node := range w.nodesOf(fault.Between[0]) {
		for _, party := range w.parties(node, fault.Between[1]) {
			if fault.Direction != "back" {
				w.net.cut(node.Name, party, cut)
			}
			if fault.Direction != "there" {
				w.net.cut(party, node.Name, cut)
			}
		}
	}
}

// parties returns the names of the parties that a cut separates from a controller.
func (w *World) parties(node *Node, name string) []string {
	var out []string
	switch name {
	case scenario.PartyState, scenario.PartyCloud, scenario.PartyUsers:
		return []string{name}
	case scenario.PartyWorkers:
		for _, z := range w.Scenario.Controllers.Zones {
			out = append(out, scenario.ZoneParty(z))
		}
	case scenario.PartyPeers:
		for _, n := range w.Nodes {
			if n != node {
				out = append(out, n.Name)
			}
		}
	default:
		for _, n := range w.nodesOf(name) {
			if n != node {
				out = append(out, n.Name)
			}
		}
	}
	return out
}

// cutZone cuts a zone off. The direction "there" leads out of the zone.
func (w *World) cutZone(fault scenario.Fault) {
	cut := impairment{w.now + units.Seconds(fault.ForS), fault.Mode, units.Microseconds(fault.DelayMS * 1000)}
	w.zoneCutUntil[fault.Zone] = cut.until
	for _, p := range w.Scenario.PartitionedPairs(fault.Zone, fault.Kind == scenario.ZoneLost) {
		if fault.Direction != "back" {
			w.net.cut(p[0], p[1], cut)
		}
		if fault.Direction != "there" {
			w.net.cut(p[1], p[0], cut)
		}
	}
}
