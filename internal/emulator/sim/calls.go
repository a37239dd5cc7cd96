package sim

import (
	"net/http"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/emulator/balance"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/scenario"
)

// deliverWatchResponses passes the state service's responses to the open watches.
func (w *World) deliverWatchResponses() {
	for _, c := range w.State.Drain() {
		if f := w.watchResponses[c.ID]; f != nil {
			delete(w.watchResponses, c.ID)
			f(c)
		}
	}
}

// handleUserEvents executes the requests of users and reports the other events of users to the checker.
func (w *World) handleUserEvents() {
	for _, event := range w.Users.Drain() {
		if call, ok := event.(user.Call); ok {
			w.sendCall(call, nil)
		} else {
			user.RecordEffect(w.Check, w.now, event)
			if t, ok := event.(user.CallFinished); ok && t.Kind == user.Cancel && t.Code == http.StatusOK {
				w.recordCancelPastCut()
				if t.Status == jobs.Cancelled {
					w.recordReportedCancel(t.ID)
				}
			}
			if _, ok := event.(user.ReadProbe); ok {
				w.recordEvent(scenario.CloseLook)
			}
			w.reportToMeter(event)
		}
	}
}

// sendCall sends a user's request to a controller that the load balancer chooses. If the connection fails, it
// tries the other controllers; tried lists those that have failed.
func (w *World) sendCall(call user.Call, tried []int) {
	failed := func() {
		w.Users.CallFailed(w.now, call.Number)
		w.handleUserEvents()
	}
	if call.Node != "" {
		w.callNode(call, failed)
		return
	}
	i := w.balancer.Choose(w.now, tried)
	if i < 0 {
		w.schedule(millis, failed)
		return
	}
	n := w.Nodes[i]
	connects := w.net.connect("users", n.Name)
	if n.incarnation == 0 {
		connects = refused
	}
	if connects != delivered {
		wait := millis
		if connects == dropped {
			wait = balance.AcceptWithin
		}
		w.schedule(wait, func() {
			w.balancer.ConnectionFailed(w.now, i)
			w.sendCall(call, append(tried, i))
		})
		return
	}
	w.balancer.ConnectionOpened(i)
	w.serveCall(call, n, failed, func() { w.balancer.ConnectionClosed(i) })
}

// callNode sends a user's request directly to one controller, bypassing the load balancer.
func (w *World) callNode(call user.Call, failed func()) {
	n := w.node(call.Node)
	connects := w.net.connect("users", n.Name)
	if n.incarnation == 0 || connects != delivered {
		w.schedule(millis, failed)
		return
	}
	w.serveCall(call, n, failed, func() {})
}

// serveCall passes a user's request to a controller and its response to the user. closed is called when the
// connection ends; failed is called after that if there was no response.
func (w *World) serveCall(call user.Call, n *Node, failed, closed func()) {
	w.net.request("users", n.Name, call.Timeout+second, func(answer func(func())) {
		within := 4 * second
		if call.Kind == user.Poll {
			within = 1900 * millis
		}
		w.countCall(n, call)
		serve := func(req core.RequestID) {
			if f := w.options.Mutation.UserReply; f != nil {
				if reply := f(call); reply != nil {
					reply.Request = req
					n.execute(*reply)
					return
				}
			}
			switch call.Kind {
			case user.Submit:
				spec, bad := call.Spec, ""
				if spec == nil {
					bad = "cores: missing"
				}
				if f := w.options.Mutation.JobSpec; f != nil && spec != nil {
					wrong := *spec
					f(&wrong)
					spec = &wrong
				}
				n.core.Submit(n.steadyClock(), req, call.ID, spec, bad)
			case user.Poll:
				n.core.Query(n.steadyClock(), req, call.ID)
			case user.Cancel:
				n.core.Cancel(n.steadyClock(), req, call.ID)
			}
		}
		w.repeatLater(n, func() { n.request(serve, within, func(core.Reply) {}) })
		n.request(serve, within, func(reply core.Reply) {
			a := user.Reply{Code: reply.Code, RetryAfter: reply.RetryAfter}
			if b, ok := reply.Body.(core.JobAnswer); ok {
				a.Status = b.Status
			}
			answer(func() {
				w.Users.HandleReply(w.now, call.Number, a)
				w.handleUserEvents()
			})
		})
	}, func(f func()) {
		closed()
		if f != nil {
			f()
		} else {
			failed()
		}
	})
}

// handleBalancerEvents executes the load balancer's health probes.
func (w *World) handleBalancerEvents() {
	for _, event := range w.balancer.Drain() {
		if probe, ok := event.(balance.Probe); ok {
			n := w.Nodes[probe.Node]
			w.net.request("users", n.Name, balance.ProbeWithin, func(answer func(func())) {
				if n.incarnation == 0 {
					answer(func() { w.balancer.HandleProbe(w.now, probe.Node, false) })
					return
				}
				n.whenRunning(func() {
					ok := n.core.Ready(n.steadyClock())
					answer(func() { w.balancer.HandleProbe(w.now, probe.Node, ok) })
				})
			}, func(f func()) {
				if f == nil {
					w.balancer.HandleProbe(w.now, probe.Node, false)
				} else {
					f()
				}
			})
		}
	}
}
