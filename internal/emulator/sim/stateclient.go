package sim

import (
	"net/http"

	"golang.org/x/time/rate"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/direct"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/scenario"
)

// stateEffect executes an effect that is a request to the state service, and reports whether it is one.
func (n *Node) stateEffect(life int, e core.Effect) bool {
	w := n.w
	switch e := e.(type) {
	case core.List:
		n.list(core.Root, e.After, core.ListPageSize, func(o store.Outcome, rev uint64, items []store.Event, more bool) {
			n.core.OnList(n.local(), e, o, rev, items, more)
		})
	case core.ScanKeys:
		n.list(archive.Prefix, e.After, e.Page, func(o store.Outcome, _ uint64, items []store.Event, more bool) {
			n.core.OnScan(n.local(), e, o, items, more)
		})
	case core.ReadKey:
		n.read(e)
	case core.Watch:
		n.watch(life, e)
	case core.Commit:
		n.commit(life, e)
	case core.Abandon: // its answer may still come
	case core.OpenLease:
		n.openLease(life, e)
	case core.RenewLease:
		n.renewLease(life, e)
	case core.CloseLease:
		n.call(callWait, false, func() int { return w.State.CloseLease(w.now, n.Name, e.ID) }, func(store.Outcome, int) {})
	default:
		return false
	}
	return true
}

// outcomeOf tells what a client makes of a status of the state service.
func outcomeOf(code int) store.Outcome {
	switch code {
	case http.StatusOK:
		return store.OK
	case http.StatusServiceUnavailable:
		return store.Refused
	case http.StatusTooManyRequests:
		return store.RateLimited
	}
	return store.Failed
}

// call does one request of the state service, on which any of the protocol's
// misfortunes may fall. done gets what the client would make of it, and the status.
func (n *Node) call(wait units.Microseconds, free bool, apply func() int, done func(store.Outcome, int)) {
	w := n.w
	if !free && !n.state.AllowN(stamp(w.now), 1) {
		w.after(0, func() { done(store.Refused, 0) })
		return
	}
	n.sent(func() {
		w.net.request(n.Name, scenario.PartyState, wait, func(answer func(func())) {
			code := apply()
			w.takeState()
			if w.noise && w.chance(0.002) { // carried out, and the answer lost
				return
			}
			w.after(w.stateTime(), func() {
				answer(func() {
					if code == http.StatusTooManyRequests {
						n.limited()
					}
					done(outcomeOf(code), code)
				})
			})
		}, func(f func()) {
			if f == nil {
				done(store.Unknown, 0)
			} else {
				f()
			}
		})
	})
}

// limited takes the rates that the service will have, as a client does on a 429.
func (n *Node) limited() {
	next := n.w.S.State.Next.RPS
	if next > 0 {
		n.state.SetLimitAt(stamp(n.w.now), min(n.state.Limit(), rate.Limit(next/float64(len(n.w.Nodes)))))
	}
}

// stateTime is how long the state service takes.
func (w *World) stateTime() units.Microseconds {
	t := units.Seconds(w.S.State.LatencyMS / 1000 * (0.6 + 0.8*w.rng.Float64()))
	if w.chance(0.002) {
		t += w.span(0.1, 0.4) // now and then
	}
	if w.now < w.slow.until {
		t += units.Microseconds(float64(w.slow.delay) * (0.6 + 0.8*w.rng.Float64()))
	}
	return t
}

// openLease opens a lease at the state service.
func (n *Node) openLease(life int, e core.OpenLease) {
	w := n.w
	var id uint64
	n.call(callWait, false, func() int {
		var code int
		id, code = w.State.OpenLease(w.now, n.Name, e.TTL)
		return code
	}, func(o store.Outcome, _ int) { n.back(life, func() { n.core.OnLease(n.local(), o, id) }) })
}

// renewLease renews a lease at the state service, beside the budget of requests.
func (n *Node) renewLease(life int, e core.RenewLease) {
	w := n.w
	n.call(callWait, true, func() int { return w.State.RenewLease(w.now, n.Name, e.ID) }, func(o store.Outcome, _ int) {
		if o != store.OK {
			w.happened(scenario.RenewalFailed)
		}
		n.back(life, func() { n.core.OnRenew(n.local(), e.ID, o) })
	})
}

// list reads a page of keys.
func (n *Node) list(prefix, after string, page int, done func(o store.Outcome, rev uint64, items []store.Event, more bool)) {
	w, life := n.w, n.life
	var l kv.Listing
	n.call(listWait, false, func() int {
		l = w.State.List(w.now, n.Name, prefix, after, page)
		return l.Code
	}, func(o store.Outcome, _ int) {
		n.back(life, func() {
			if o != store.OK {
				done(o, 0, nil, false)
				return
			}
			n.countItems(l.Items)
			items := direct.Items(l.Items)
			n.hasRead(items)
			done(store.OK, l.Rev, items, l.More)
		})
	})
}

// read reads one key.
func (n *Node) read(e core.ReadKey) {
	w, life := n.w, n.life
	var it kv.Item
	var rev uint64
	n.call(callWait, false, func() int {
		var code int
		it, rev, code = w.State.Get(w.now, n.Name, e.Key)
		return code
	}, func(o store.Outcome, code int) {
		n.back(life, func() {
			switch {
			case code == http.StatusNotFound:
				n.core.OnKey(n.local(), e, store.OK, nil, 0, rev)
			case o == store.OK:
				n.core.OnKey(n.local(), e, o, it.Value, it.Version, 0)
			default:
				n.core.OnKey(n.local(), e, o, nil, 0, 0)
			}
		})
	})
}

func (n *Node) watch(life int, e core.Watch) {
	w := n.w
	finish := func(o store.Outcome, c kv.WatchResponse) {
		n.countChanges(c.Events)
		n.back(life, func() {
			events := direct.Events(c.Events)
			n.hasRead(events)
			n.core.OnChanges(n.local(), e, o, c.Rev, events, c.Code == http.StatusGone)
		})
	}
	if f := w.opt.Break.Read; f != nil && e.Fresh && !f() {
		w.after(millis, func() { finish(store.OK, kv.WatchResponse{Code: http.StatusOK, Rev: e.After}) })
		return
	}
	if !n.state.AllowN(stamp(w.now), 1) {
		w.after(0, func() { finish(store.Refused, kv.WatchResponse{}) })
		return
	}
	wait := readWait
	if e.Wait > 0 {
		wait = callWait + e.Wait
	}
	if e.Fresh && w.opt.Break.Stale {
		w.after(millis, func() { finish(store.OK, kv.WatchResponse{Code: http.StatusOK, Rev: e.After}) })
		return
	}
	var id uint64
	n.sent(func() {
		w.net.request(n.Name, scenario.PartyState, wait, func(answer func(func())) {
			w.watch++
			id = w.watch
			w.answers[id] = func(c kv.WatchResponse) {
				w.after(w.stateTime(), func() { answer(func() { finish(outcomeOf(c.Code), c) }) })
			}
			w.State.Watch(w.now, id, n.Name, core.Root, e.After, e.Wait)
			w.takeState()
		}, func(f func()) {
			if f != nil {
				f()
				return
			}
			w.State.CloseWatch(id)
			delete(w.answers, id)
			finish(store.Unknown, kv.WatchResponse{})
		})
	})
}

func (n *Node) commit(life int, e core.Commit) {
	w := n.w
	t := direct.Txn(e.Txn)
	if f := w.opt.Break.Commit; f != nil {
		f(&t)
	}
	n.txns++
	number := n.txns
	var res kv.Result
	run := func() int {
		res = w.State.Commit(w.now, n.Name, t)
		n.judged(number, res.Code)
		if res.Code == http.StatusBadRequest && !res.NoLease {
			w.Check.RecordViolation(w.now, check.TooLarge, "%d changes, %d guards, first %s", len(t.Changes), len(t.Guards), t.Changes[0].Key)
		}
		if res.Code == http.StatusOK {
			w.combined.stored[n.Name]++
			w.stored(t)
			w.configured(t)
		}
		return res.Code
	}
	done := func(o store.Outcome, code int) {
		if o == store.Failed && code == http.StatusBadRequest && !res.NoLease {
			o = store.TooLarge
		}
		if f := w.opt.Break.Outcome; f != nil {
			o = f(*e.Txn, o)
		}
		n.back(life, func() { n.core.OnCommit(n.local(), e.Queue, e.Txn, o, res.Rev, res.Failed) })
	}
	switch {
	case w.now < w.late && w.chance(w.lateShare) || w.noise && w.chance(0.002): // carried out late
		before := w.combined.stored[n.Name]
		w.after(w.lateBy(), func() {
			w.lateWrite(n, before)
			r := w.State.Commit(w.now, n.Name, t) // nobody waits for the answer
			if r.Code == http.StatusOK {
				w.configured(t)
			}
			n.late(number, r)
			w.takeState()
		})
		w.after(callWait, func() { done(store.Unknown, 0) })
	case w.now < w.unanswered && (w.unansweredShare == 1 || w.chance(w.unansweredShare)): // carried out, and the answer lost
		n.sent(func() {
			w.net.send(n.Name, scenario.PartyState, func() {
				if run() == http.StatusOK {
					n.unanswered(t)
				}
				w.takeState()
			})
		})
		w.after(callWait, func() { done(store.Unknown, 0) })
	default:
		n.call(callWait, false, run, done)
	}
}
