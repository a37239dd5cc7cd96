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

// machineOf converts a machine of the cloud provider for the checker.
func machineOf(m *cloudprovider.Machine) check.Machine {
	return check.Machine{Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot}
}

// handleSiteEvents sends the heartbeats of workers and reports starts and ends of tasks to the checker, the meter
// and the account.
func (w *World) handleSiteEvents() {
	for _, event := range w.Site.Drain() {
		switch event := event.(type) {
		case site.HeartbeatSent:
			w.sendHeartbeat(event)
		case site.TaskStarted:
			w.starts++
			w.recordTaskStart(machineOf(event.Machine), event.Task)
			if m := w.options.Meter; m != nil {
				m.TaskStarted(w.now, event.Machine.Name, event.Task)
			}
			if a := w.options.Account; a != nil {
				a.TaskStarted(event.Machine.Name, event.Task, cpus(w.Site.Uploads[event.Task.Job].Spec.Demand))
			}
		case site.TaskEnded:
			w.Check.TaskEnded(w.now, machineOf(event.Machine), event.Task, event.Completed)
			if event.Completed {
				w.recordEvent(scenario.TaskDone)
				w.recordTaskCompletion(event.Task.Job)
			}
			w.recordTaskEnd(event)
			if m := w.options.Meter; m != nil {
				m.TaskEnded(w.now, event.Machine.Name, event.Task, event.Completed)
			}
			if a := w.options.Account; a != nil {
				a.TaskEnded(event.Machine.Name, event.Task, event.Completed)
			}
		}
	}
}

// sendHeartbeat sends a worker's heartbeat to a controller and the response to the worker.
func (w *World) sendHeartbeat(send site.HeartbeatSent) {
	n := w.node(send.Node)
	arrives := func(req core.RequestID) { n.handleHeartbeat(req, send.Body) }
	zone := scenario.ZoneParty(send.Body.Zone)
	failed := func() {
		w.Site.HandleResponse(w.now, send.Machine, send.Number, machine.Response{})
		w.handleSiteEvents()
	}
	lost := w.noise && w.chance(0.003)
	if w.now < w.heartbeatCopies.until && w.chance(w.heartbeatCopies.share) {
		if w.heartbeatCopies.forNext {
			w.keepHeartbeat(send.Body)
		} else {
			w.schedule(w.randomDuration(2, 3*w.Scenario.Workers.LeaseS), func() {
				n.request(arrives, 0, func(core.Reply) {})
			})
		}
	}
	w.net.request(zone, n.Name, machine.ResponseTimeout, func(answer func(func())) {
		if n.incarnation == 0 {
			answer(failed) // the connection is refused
			return
		}
		if w.noise && w.chance(0.005) { // it arrives late, when the worker no longer waits
			w.schedule(w.randomDuration(1, 90), func() { n.request(arrives, 0, func(core.Reply) {}) })
			return
		}
		w.countHeartbeat(n, send.Body)
		n.request(arrives, 4*second, func(reply core.Reply) {
			if lost {
				return
			}
			response := machine.Response{Code: reply.Code, NoFencingToken: true}
			switch b := reply.Body.(type) {
			case core.HeartbeatResponse:
				response.FencingToken, response.NoFencingToken, response.Commands = b.FencingToken, false, b.Commands
				w.recordOwnerResponse(b.FencingToken)
			case core.Redirect:
				response.RedirectTo = b.Node
			}
			sent := w.now
			answer(func() {
				if w.options.Mutation.DirectStarts {
					n.sendStartsDirectly(send.Body, &response)
				}
				w.recordQuickStart(send.Machine, response.Commands)
				w.recordHeldResponse(sent, reply)
				w.Site.HandleResponse(w.now, send.Machine, send.Number, response)
				w.handleSiteEvents()
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

// handleHeartbeat passes a worker's heartbeat to the core.
func (n *Node) handleHeartbeat(req core.RequestID, body *fleet.Heartbeat) {
	n.world.recordHeartbeat(n, body)
	if mutate := n.world.options.Mutation.Heartbeat; mutate != nil {
		altered := *body
		altered.Tasks = slices.Clone(altered.Tasks)
		mutate(&altered)
		body = &altered
	}
	n.world.options.Traffic.SetKind("do report")
	n.core.Heartbeat(n.steadyClock(), req, body)
}
