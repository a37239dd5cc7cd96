package sim

import (
	"slices"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
	"shalestage.example/shalestage/internal/emulator/machine"
	"shalestage.example/shalestage/internal/emulator/site"
	"shalestage.example/shalestage/internal/scenario"
)

func machineOf(m *cloudprovider.Machine) check.Machine {
	return check.Machine{Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot}
}

// takeSite carries out what machines do.
func (w *World) takeSite() {
	for _, e := range w.Site.Drain() {
		switch e := e.(type) {
		case site.HeartbeatSent:
			w.report(e)
		case site.TaskStarted:
			w.starts++
			w.began(machineOf(e.Machine), e.Task)
			if m := w.opt.Meter; m != nil {
				m.TaskStarted(w.now, e.Machine.Name, e.Task)
			}
			if a := w.opt.Account; a != nil {
				a.TaskStarted(e.Machine.Name, e.Task, cpus(w.Site.Uploads[e.Task.Job].Spec.Demand))
			}
		case site.TaskEnded:
			w.Check.TaskEnded(w.now, machineOf(e.Machine), e.Task, e.Completed)
			if e.Completed {
				w.happened(scenario.TaskDone)
				w.ended(e.Task.Job)
			}
			w.taskEnded(e)
			if m := w.opt.Meter; m != nil {
				m.TaskEnded(w.now, e.Machine.Name, e.Task, e.Completed)
			}
			if a := w.opt.Account; a != nil {
				a.TaskEnded(e.Machine.Name, e.Task, e.Completed)
			}
		}
	}
}

// report brings a worker's report to a controller and its answer back.
func (w *World) report(e site.HeartbeatSent) {
	n := w.node(e.Node)
	arrives := func(req core.RequestID) { n.report(req, e.Body) }
	zone := scenario.ZoneParty(e.Body.Zone)
	failed := func() {
		w.Site.HandleResponse(w.now, e.Machine, e.Number, machine.Response{})
		w.takeSite()
	}
	lost := w.noise && w.chance(0.003)
	if w.now < w.copies.until && w.chance(w.copies.share) {
		if w.copies.forNext {
			w.keepReport(e.Body)
		} else {
			w.after(w.span(2, 3*w.S.Workers.LeaseS), func() {
				n.ask(arrives, 0, func(core.Reply) {})
			})
		}
	}
	w.net.request(zone, n.Name, machine.ResponseTimeout, func(answer func(func())) {
		if n.life == 0 {
			answer(failed) // the connection is refused
			return
		}
		if w.noise && w.chance(0.005) { // it comes late, when nobody waits
			w.after(w.span(1, 90), func() { n.ask(arrives, 0, func(core.Reply) {}) })
			return
		}
		w.gotReport(n, e.Body)
		n.ask(arrives, 4*second, func(r core.Reply) {
			if lost {
				return
			}
			a := machine.Response{Code: r.Code, NoFencingToken: true}
			switch b := r.Body.(type) {
			case core.HeartbeatResponse:
				a.FencingToken, a.NoFencingToken, a.Commands = b.FencingToken, false, b.Commands
				w.acted(b.FencingToken)
			case core.Redirect:
				a.RedirectTo = b.Node
			}
			sent := w.now
			answer(func() {
				w.answered(e.Machine, a.Commands)
				w.answerArrives(sent, r)
				w.Site.HandleResponse(w.now, e.Machine, e.Number, a)
				w.takeSite()
			})
		})
	}, func(f func()) {
		if f != nil {
			f()
		} else {
			failed()
		}
	})
}

// report hands a worker's report to the core.
func (n *Node) report(req core.RequestID, body *fleet.Heartbeat) {
	n.w.reportArrives(n, body)
	if f := n.w.opt.Break.Report; f != nil {
		seen := *body
		seen.Tasks = slices.Clone(seen.Tasks)
		f(&seen)
		body = &seen
	}
	n.w.opt.Traffic.SetKind("do report")
	n.core.Heartbeat(n.local(), req, body)
}
