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

// stateEffect executes an effect that is a request to the state service. It reports whether the effect is of
// that kind.
func (n *Node) stateEffect(incarnation int, effect core.Effect) bool {
	switch effect := effect.(type) {
	case core.List:
		n.list(core.Root, effect.After, core.ListPageSize, func(o store.Outcome, rev uint64, items []store.Event, more bool) {
			n.core.OnList(n.steadyClock(), effect, o, rev, items, more)
		})
	case core.ScanKeys:
		n.list(archive.Prefix, effect.After, effect.Page, func(o store.Outcome, _ uint64, items []store.Event, more bool) {
			n.core.OnScan(n.steadyClock(), effect, o, items, more)
		})
	case core.ReadKey:
		n.read(effect)
	case core.Watch:
		n.watch(incarnation, effect)
	case core.Commit:
		n.commit(incarnation, effect)
	case core.Abandon: // its response may still arrive
	case core.OpenLease:
		n.openLease(incarnation, effect)
	case core.RenewLease:
		n.renewLease(incarnation, effect)
	case core.CloseLease:
		n.closeLease(effect)
	default:
		return false
	}
	return true
}

// outcomeOf converts a status code of the state service into the outcome that a client reports.
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

// callState sends a request to the state service. Any fault of the protocol may affect it: it may be refused,
// delayed or lost, before or after it is applied. free requests are exempt from the rate limit. apply
// executes the request and returns its status code. done gets the outcome that the client would report, and
// the status code or 0.
func (n *Node) callState(wait units.Microseconds, free bool, apply func() int, done func(store.Outcome, int)) {
	w := n.world
	if !free && !n.stateLimiter.AllowN(limiterTime(w.now), 1) {
		w.schedule(0, func() { done(store.Refused, 0) })
		return
	}
	n.transmit(func() {
		w.net.request(n.Name, scenario.PartyState, wait, func(answer func(func())) {
			code := apply()
			w.deliverWatchResponses()
			if w.noise && w.chance(0.002) { // applied, but the response is lost
				return
			}
			w.schedule(w.stateTime(), func() {
				answer(func() {
					if code == http.StatusTooManyRequests {
						n.applyLowerRate()
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

// applyLowerRate reduces the client's rate to this controller's share of the service's next limit, as a real
// client does on a 429.
func (n *Node) applyLowerRate() {
	next := n.world.Scenario.State.Next.RPS
	if next > 0 {
		n.stateLimiter.SetLimitAt(limiterTime(n.world.now), min(n.stateLimiter.Limit(), rate.Limit(next/float64(len(n.world.Nodes)))))
	}
}

// stateTime draws the response time of the state service.
func (w *World) stateTime() units.Microseconds {
	t := units.Seconds(w.Scenario.State.LatencyMS / 1000 * (0.6 + 0.8*w.rng.Float64()))
	if w.chance(0.002) {
		t += w.randomDuration(0.1, 0.4) // occasional slow response
	}
	if w.now < w.stateSlowness.until {
		t += units.Microseconds(float64(w.stateSlowness.delay) * (0.6 + 0.8*w.rng.Float64()))
	}
	return t
}

// openLease opens a lease at the state service.
func (n *Node) openLease(incarnation int, e core.OpenLease) {
	w := n.world
	var id uint64
	n.callState(callTimeout, false, func() int {
		var code int
		id, code = w.State.OpenLease(w.now, n.Name, e.TTL)
		w.repeatLater(n, func() { w.State.OpenLease(w.now, n.Name, e.TTL) })
		return code
	}, func(o store.Outcome, _ int) {
		n.deliver(incarnation, func() { n.core.OnLease(n.steadyClock(), o, id) })
	})
}

// closeLease ends a lease at the state service.
func (n *Node) closeLease(e core.CloseLease) {
	w := n.world
	closeNow := func() int {
		code := w.State.CloseLease(w.now, n.Name, e.ID)
		w.deliverWatchResponses()
		return code
	}
	n.callState(callTimeout, false, func() int {
		w.repeatLater(n, func() { closeNow() })
		return closeNow()
	}, func(store.Outcome, int) {})
}

// renewLease renews a lease at the state service. Renewals are exempt from the rate limit.
func (n *Node) renewLease(incarnation int, e core.RenewLease) {
	w := n.world
	n.callState(callTimeout, true, func() int {
		w.repeatLater(n, func() { w.State.RenewLease(w.now, n.Name, e.ID) })
		return w.State.RenewLease(w.now, n.Name, e.ID)
	}, func(o store.Outcome, _ int) {
		if o != store.OK {
			w.recordEvent(scenario.RenewalFailed)
		}
		n.deliver(incarnation, func() { n.core.OnRenew(n.steadyClock(), e.ID, o) })
	})
}

// list reads a page of keys.
func (n *Node) list(prefix, after string, page int, done func(o store.Outcome, rev uint64, items []store.Event, more bool)) {
	w, incarnation := n.world, n.incarnation
	var listing kv.Listing
	n.callState(listTimeout, false, func() int {
		listing = w.State.List(w.now, n.Name, prefix, after, page)
		return listing.Code
	}, func(o store.Outcome, _ int) {
		n.deliver(incarnation, func() {
			if o != store.OK {
				done(o, 0, nil, false)
				return
			}
			n.countItems(listing.Items)
			items := direct.Items(listing.Items)
			n.recordReads(items)
			done(store.OK, listing.Rev, items, listing.More)
		})
	})
}

// read reads one key.
func (n *Node) read(effect core.ReadKey) {
	w, incarnation := n.world, n.incarnation
	var item kv.Item
	var rev uint64
	n.callState(callTimeout, false, func() int {
		var code int
		item, rev, code = w.State.Get(w.now, n.Name, effect.Key)
		return code
	}, func(o store.Outcome, code int) {
		n.deliver(incarnation, func() {
			switch {
			case code == http.StatusNotFound:
				n.core.OnKey(n.steadyClock(), effect, store.OK, nil, 0, rev)
			case o == store.OK:
				n.core.OnKey(n.steadyClock(), effect, o, item.Value, item.Version, 0)
			default:
				n.core.OnKey(n.steadyClock(), effect, o, nil, 0, 0)
			}
		})
	})
}

// watch waits for changes of the state service's keys after a revision. A fresh read is a watch that does not
// wait.
func (n *Node) watch(incarnation int, effect core.Watch) {
	w := n.world
	finish := func(o store.Outcome, c kv.WatchResponse) {
		n.countChanges(c.Events)
		n.deliver(incarnation, func() {
			events := direct.Events(c.Events)
			n.recordReads(events)
			n.core.OnChanges(n.steadyClock(), effect, o, c.Rev, events, c.Code == http.StatusGone)
		})
	}
	if f := w.options.Mutation.ServeFreshRead; f != nil && effect.Fresh && !f() {
		w.schedule(millis, func() { finish(store.OK, kv.WatchResponse{Code: http.StatusOK, Rev: effect.After}) })
		return
	}
	if !n.stateLimiter.AllowN(limiterTime(w.now), 1) {
		w.schedule(0, func() { finish(store.Refused, kv.WatchResponse{}) })
		return
	}
	wait := readTimeout
	if effect.Wait > 0 {
		wait = callTimeout + effect.Wait
	}
	if effect.Fresh && w.options.Mutation.StaleReads {
		w.schedule(millis, func() { finish(store.OK, kv.WatchResponse{Code: http.StatusOK, Rev: effect.After}) })
		return
	}
	var id uint64
	n.transmit(func() {
		w.net.request(n.Name, scenario.PartyState, wait, func(answer func(func())) {
			w.lastWatchID++
			id = w.lastWatchID
			w.watchResponses[id] = func(c kv.WatchResponse) {
				w.schedule(w.stateTime(), func() { answer(func() { finish(outcomeOf(c.Code), c) }) })
			}
			w.State.Watch(w.now, id, n.Name, core.Root, effect.After, effect.Wait)
			w.deliverWatchResponses()
		}, func(f func()) {
			if f != nil {
				f()
				return
			}
			w.State.CloseWatch(id)
			delete(w.watchResponses, id)
			finish(store.Unknown, kv.WatchResponse{})
		})
	})
}

// commitAgain applies a copy of a transaction that was applied before.
func (w *World) commitAgain(n *Node, txn kv.Txn) {
	if w.State.Commit(w.now, n.Name, txn).Code == http.StatusOK {
		w.recordEvent(scenario.AppliedAgain)
		w.reportStoredConfig(txn)
	}
	w.deliverWatchResponses()
}

// commit sends a transaction to the state service, which may apply it late or without a response.
func (n *Node) commit(incarnation int, effect core.Commit) {
	w := n.world
	txn := direct.Txn(effect.Txn)
	if f := w.options.Mutation.Commit; f != nil {
		f(&txn)
	}
	n.sentTxns++
	number := n.sentTxns
	var result kv.Result
	run := func() int {
		result = w.State.Commit(w.now, n.Name, txn)
		n.recordJudgedTxn(number, result.Code)
		if result.Code == http.StatusBadRequest && !result.NoLease {
			w.Check.RecordViolation(w.now, check.TooLarge, "%d changes, %d guards, first %s", len(txn.Changes), len(txn.Guards), txn.Changes[0].Key)
		}
		if result.Code == http.StatusOK {
			w.combinations.storedTxns[n.Name]++
			w.recordCommit(txn)
			w.reportStoredConfig(txn)
			w.repeatLater(n, func() { w.commitAgain(n, txn) })
		}
		return result.Code
	}
	done := func(o store.Outcome, code int) {
		if o == store.Failed && code == http.StatusBadRequest && !result.NoLease {
			o = store.TooLarge
		}
		if f := w.options.Mutation.Outcome; f != nil {
			o = f(*effect.Txn, o)
		}
		n.deliver(incarnation, func() { n.core.OnCommit(n.steadyClock(), effect.Queue, effect.Txn, o, result.Rev, result.Failed) })
	}
	switch {
	case w.now < w.lateUntil && w.chance(w.lateShare) || w.noise && w.chance(0.002): // applied late
		before := w.combinations.storedTxns[n.Name]
		w.schedule(w.lateDelay(), func() {
			w.recordLateWrite(n, before)
			late := w.State.Commit(w.now, n.Name, txn) // the controller no longer waits for the response
			if late.Code == http.StatusOK {
				w.reportStoredConfig(txn)
			}
			n.recordLateTxn(number, late)
			w.deliverWatchResponses()
		})
		w.schedule(callTimeout, func() { done(store.Unknown, 0) })
	case w.now < w.unansweredUntil && (w.unansweredShare == 1 || w.chance(w.unansweredShare)): // applied, but the response is lost
		n.transmit(func() {
			w.net.send(n.Name, scenario.PartyState, func() {
				if run() == http.StatusOK {
					n.recordUnansweredTxn(txn)
				}
				w.deliverWatchResponses()
			})
		})
		w.schedule(callTimeout, func() { done(store.Unknown, 0) })
	default:
		n.callState(callTimeout, false, run, done)
	}
}
