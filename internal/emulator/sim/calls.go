package sim

import (
	"net/http"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/emulator/balance"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/scenario"
)

// takeState hands watches their answers.
func (w *World) takeState() {
	for _, c := range w.State.Drain() {
		if f := w.answers[c.ID]; f != nil {
			delete(w.answers, c.ID)
			f(c)
		}
	}
}

// takeCrowd carries out what users do.
func (w *World) takeCrowd() {
	for _, e := range w.Crowd.Drain() {
		if call, ok := e.(user.Call); ok {
			w.call(call, nil)
		} else {
			user.RecordEffect(w.Check, w.now, e)
			if t, ok := e.(user.CallFinished); ok && t.Kind == user.Cancel && t.Code == http.StatusOK {
				w.cancelToldPastCut()
				if t.Status == jobs.Cancelled {
					w.cancelTold(t.ID)
				}
			}
			if _, ok := e.(user.ReadProbe); ok {
				w.happened(scenario.CloseLook)
			}
			w.meter(e)
		}
	}
}

// call brings a user's call to a controller that the balancer chooses.
func (w *World) call(e user.Call, tried []int) {
	failed := func() {
		w.Crowd.CallFailed(w.now, e.Number)
		w.takeCrowd()
	}
	if e.Node != "" {
		w.callNode(e, failed)
		return
	}
	i := w.front.Choose(w.now, tried)
	if i < 0 {
		w.after(millis, failed)
		return
	}
	n := w.Nodes[i]
	connects := w.net.open("users", n.Name)
	if n.life == 0 {
		connects = refused
	}
	if connects != carried {
		wait := millis
		if connects == dropped {
			wait = balance.AcceptWithin
		}
		w.after(wait, func() {
			w.front.ConnectionFailed(w.now, i)
			w.call(e, append(tried, i))
		})
		return
	}
	w.front.ConnectionOpened(i)
	w.serveCall(e, n, failed, func() { w.front.ConnectionClosed(i) })
}

// callNode brings a user's call to one controller, past the balancer.
func (w *World) callNode(e user.Call, failed func()) {
	n := w.node(e.Node)
	connects := w.net.open("users", n.Name)
	if n.life == 0 || connects != carried {
		w.after(millis, failed)
		return
	}
	w.serveCall(e, n, failed, func() {})
}

// serveCall lets a controller answer a user's call; closed is told when the connection ends.
func (w *World) serveCall(e user.Call, n *Node, failed, closed func()) {
	w.net.request("users", n.Name, e.Timeout+second, func(answer func(func())) {
		within := 4 * second
		if e.Kind == user.Poll {
			within = 1900 * millis
		}
		w.gotCall(n, e)
		n.ask(func(req core.RequestID) {
			if f := w.opt.Break.Answer; f != nil {
				if r := f(e); r != nil {
					r.Request = req
					n.effect(*r)
					return
				}
			}
			switch e.Kind {
			case user.Submit:
				spec, bad := e.Spec, ""
				if spec == nil {
					bad = "cores: missing"
				}
				if f := w.opt.Break.Spec; f != nil && spec != nil {
					wrong := *spec
					f(&wrong)
					spec = &wrong
				}
				n.core.Submit(n.local(), req, e.ID, spec, bad)
			case user.Poll:
				n.core.Query(n.local(), req, e.ID)
			case user.Cancel:
				n.core.Cancel(n.local(), req, e.ID)
			}
		}, within, func(r core.Reply) {
			a := user.Reply{Code: r.Code, RetryAfter: r.RetryAfter}
			if b, ok := r.Body.(core.JobAnswer); ok {
				a.Status = b.Status
			}
			answer(func() {
				w.Crowd.HandleReply(w.now, e.Number, a)
				w.takeCrowd()
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

// takeFront carries out what the balancer does.
func (w *World) takeFront() {
	for _, e := range w.front.Drain() {
		if p, ok := e.(balance.Probe); ok {
			n := w.Nodes[p.Node]
			w.net.request("users", n.Name, balance.ProbeWithin, func(answer func(func())) {
				if n.life == 0 {
					answer(func() { w.front.HandleProbe(w.now, p.Node, false) })
					return
				}
				n.awake(func() {
					ok := n.core.Ready(n.local())
					answer(func() { w.front.HandleProbe(w.now, p.Node, ok) })
				})
			}, func(f func()) {
				if f == nil {
					w.front.HandleProbe(w.now, p.Node, false)
				} else {
					f()
				}
			})
		}
	}
}
