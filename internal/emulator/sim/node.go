package sim

import (
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
	"shalestage.example/shalestage/internal/emulator/direct"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/emulator/site"
	"shalestage.example/shalestage/internal/scenario"
)

// How long the clients of a controller wait, and how they keep to their budgets,
// as internal/state and internal/cloud do.
const (
	callWait    = second
	readWait    = 700 * millis
	listWait    = 10 * second
	cloudWait   = 5 * second
	cloudMargin = 0.7
)

// Node is a controller's process: a core with clocks of its own.
type Node struct {
	Name string

	w      *World
	index  int
	zone   string
	life   int // which start of the process this is; 0 while down
	lives  int
	born   units.Microseconds
	rate   float64            // of its steady clock
	off    units.Microseconds // of its time of day
	core   *core.Core
	frozen units.Microseconds // stands still until then; its clocks run on
	slow   units.Microseconds // computes slowly until then
	cost   units.Microseconds // of each message meanwhile
	busy   units.Microseconds
	next   core.RequestID
	asked  map[core.RequestID]func(core.Reply)
	state  *rate.Limiter
	cloud  *rate.Limiter
	txns   int // transactions so far, in all lives
	newest int // the newest of them that the state service has judged
}

// stamp turns simulated time into what rate limits are counted by.
func stamp(t units.Microseconds) time.Time { return time.UnixMicro(int64(t)) }

func (n *Node) start() {
	w := n.w
	w.nodeStarts(n)
	n.lives++
	n.life, n.born = n.lives, w.now
	n.rate = 1 + (2*w.rng.Float64()-1)*scenario.MaxDrift
	n.jump()
	n.asked = map[core.RequestID]func(core.Reply){}
	n.frozen, n.slow, n.busy = 0, 0, 0
	peers := map[string]string{}
	for _, o := range w.S.Nodes() {
		peers[o] = "127.0.0.1:1" // never dialled
	}
	set := w.S.Settings(n.index, scenario.Addrs{Listen: "127.0.0.1:1", Internal: "127.0.0.1:1", State: "127.0.0.1:1", Cloud: "127.0.0.1:1", Peers: peers})
	if f := w.opt.Break.Settings; f != nil {
		f(set)
	}
	if f := w.opt.Break.Clock; f != nil {
		n.rate = f(n.index)
	}
	cfg := set.Core(nil)
	if w.opt.Log != nil {
		cfg = set.Core(w.opt.Log(n.Name, func() units.Microseconds { return w.now }))
	}
	if f := w.opt.Break.Core; f != nil {
		f(&cfg)
	}
	n.core = core.New(cfg)
	share := w.S.State.RPS / float64(len(w.Nodes))
	n.state = rate.NewLimiter(rate.Limit(share), max(4, int(share)))
	n.cloud = rate.NewLimiter(rate.Limit(w.S.Cloud.RPS*cloudMargin), max(1, int(w.S.Cloud.RPS)))
	life := n.life
	w.after(units.Microseconds(w.rng.Int64N(int64(core.TickEvery))), func() { n.tick(life) })
}

// jump lets the time of day jump within its bound.
func (n *Node) jump() {
	n.off = units.Microseconds(n.w.S.Controllers.ClockErrorMS * 1000 * (2*n.w.rng.Float64() - 1))
}

// local is the steady clock.
func (n *Node) local() units.Microseconds {
	return units.Microseconds(float64(n.w.now-n.born) * n.rate)
}

// wall is the time of day.
func (n *Node) wall() units.Microseconds { return n.w.now + 1_000_000*second + n.off }

// Crash ends the process; it comes back.
func (n *Node) Crash() { n.crash(0) }

// crash ends the process; it comes back after a time, 0: as long as that usually takes.
func (n *Node) crash(down units.Microseconds) {
	if n.life == 0 {
		return
	}
	n.w.nodeEnds(n)
	n.life = 0
	if down == 0 {
		down = units.Seconds(n.w.S.Controllers.RestartS * (0.7 + 0.6*n.w.rng.Float64()))
	}
	n.w.after(down, n.start)
}

// Retire tells the process to end: it hands on what it holds before.
func (n *Node) Retire() {
	life := n.life
	if life == 0 {
		return
	}
	var look func()
	look = func() {
		n.awake(func() {
			if n.life != life {
				return
			}
			n.core.Retire(n.local())
			done := n.core.Retired(n.local())
			if done {
				n.core.Leave(n.local())
			}
			n.carryOut()
			if done {
				n.Crash()
				return
			}
			n.w.after(core.TickEvery, look)
		})
	}
	look()
}

// Freeze lets the process stand still until a time.
func (n *Node) Freeze(until units.Microseconds) { n.frozen = max(n.frozen, until) }

// awake does something in the process once it does not stand still, and, where it
// computes slowly, once it has come to it.
func (n *Node) awake(f func()) {
	w, life := n.w, n.life
	at := max(n.frozen, 0)
	if w.now < n.slow {
		n.busy = max(n.busy, w.now) + n.cost
		at = max(at, n.busy)
	}
	if w.now >= at {
		f()
		return
	}
	w.after(at-w.now, func() {
		if n.life == life {
			if w.now < n.frozen {
				n.awake(f)
				return
			}
			f()
		}
	})
}

// sent does something that the process has asked for, unless it stands still and
// had not come to that yet: then it happens when it wakes.
func (n *Node) sent(f func()) {
	if n.w.now < n.frozen && n.w.chance(0.5) {
		n.awake(f)
		return
	}
	f()
}

func (n *Node) tick(life int) {
	if n.life != life {
		return
	}
	if n.w.now < n.frozen {
		n.w.after(n.frozen-n.w.now, func() { n.tick(life) })
		return
	}
	n.w.opt.Traffic.Start(n.w.now, n.Name, "do tick")
	n.core.Tick(n.local(), n.wall())
	n.carryOut()
	n.w.oneHolder()
	n.w.after(max(core.TickEvery, n.busy-n.w.now), func() { n.tick(life) })
}

// ask brings a request into the core; done gets the answer, or a 503 when there is
// none within a time (0: any), unless the process ends.
func (n *Node) ask(f func(req core.RequestID), within units.Microseconds, done func(core.Reply)) {
	if n.life == 0 {
		return
	}
	life := n.life
	n.awake(func() {
		n.next++
		req := n.next
		n.asked[req] = done
		n.w.opt.Traffic.Start(n.w.now, n.Name, "do user")
		f(req)
		n.carryOut()
		if within > 0 && n.asked[req] != nil {
			n.w.after(within, func() {
				if n.life == life && n.asked[req] != nil {
					delete(n.asked, req)
					done(core.Reply{Code: http.StatusServiceUnavailable, Body: core.Problem{Text: "busy"}, RetryAfter: second})
				}
			})
		}
	})
}

func (n *Node) carryOut() {
	effects := n.core.Drain()
	n.w.opt.Traffic.Stop()
	for _, e := range effects {
		n.effect(e)
	}
}

// back brings an outside service's answer to the process that asked.
func (n *Node) back(life int, f func()) {
	if n.life != life {
		return
	}
	n.awake(func() {
		if n.life == life {
			n.w.opt.Traffic.Start(n.w.now, n.Name, "do answer")
			f()
			n.carryOut()
		}
	})
}

func (n *Node) effect(e core.Effect) {
	w, life := n.w, n.life
	w.sending(e)
	n.countEffect(e)
	switch e := e.(type) {
	case core.Reply:
		if o, ok := e.Body.(core.HeartbeatResponse); ok && w.opt.Break.Orders != nil {
			w.opt.Break.Orders(n.Name, &o)
			e.Body = o
		}
		w.ordered(e)
		if f := n.asked[e.Request]; f != nil {
			delete(n.asked, e.Request)
			n.sent(func() { f(e) })
		}
	case core.SendPeer:
		if p := w.opt.Break.Peer; p != nil && !p(e.Message) {
			return
		}
		if t := w.opt.Break.Told; t != nil {
			e.Message = t(e.Message)
		}
		n.sent(func() {
			o := w.node(e.Node)
			w.net.send(n.Name, o.Name, func() {
				if o.life != 0 {
					o.awake(func() {
						w.opt.Traffic.Start(w.now, o.Name, "do peer")
						o.core.OnPeer(o.local(), n.Name, e.Message)
						o.carryOut()
					})
				}
			})
		})
	case core.List:
		n.list(core.Root, e.After, core.ListPage, func(o store.Outcome, rev uint64, items []store.Event, more bool) {
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
		var id uint64
		n.call(callWait, false, func() int {
			var code int
			id, code = w.State.Open(w.now, n.Name, e.TTL)
			return code
		}, func(o store.Outcome, _ int) { n.back(life, func() { n.core.OnLease(n.local(), o, id) }) })
	case core.RenewLease:
		n.call(callWait, true, func() int { return w.State.Renew(w.now, n.Name, e.ID) }, func(o store.Outcome, _ int) {
			if o != store.OK {
				w.happened(scenario.RenewalFailed)
			}
			n.back(life, func() { n.core.OnRenew(n.local(), e.ID, o) })
		})
	case core.CloseLease:
		n.call(callWait, false, func() int { return w.State.End(w.now, n.Name, e.ID) }, func(store.Outcome, int) {})
	case core.FetchTypes:
		var types []fleet.Type
		n.cloudCall(false, func() int {
			list, code := w.Site.Cloud.MachineTypes(w.now)
			for _, t := range list {
				types = append(types, fleet.Type{Name: t.Name, Capacity: site.Capacity(t), CacheMB: units.MilliDown(t.CacheGB), FetchMBs: units.MilliDown(t.FetchGBs),
					Boot: t.Boot, Zones: t.Zones, Price: t.Price, SpotPrice: t.SpotPrice})
			}
			return code
		}, func(o store.Outcome) { n.back(life, func() { n.core.OnTypes(n.local(), o, types) }) })
	case core.ScaleOut:
		var names []string
		none := false
		n.cloudCall(true, func() int {
			p := e.Increase.Pool
			var code int
			names, none, code = w.Site.Cloud.ScaleOut(w.now, e.Request, cloudprovider.Pool{Type: p.Type, Zone: p.Zone, Spot: p.Spot}, e.Increase.Count)
			for _, name := range names {
				if m := w.Site.Cloud.Machine(name); m != nil {
					m.Addr = name
				}
			}
			return code
		}, func(o store.Outcome) {
			if o == store.Refused && none {
				w.happened(scenario.NoRoom)
				o = store.Failed
			}
			n.back(life, func() { n.core.OnScaleOut(n.local(), e, o, names) })
		})
	case core.ScaleIn:
		n.cloudCall(true, func() int { return w.Site.Cloud.ScaleIn(w.now, e.Names) }, func(o store.Outcome) {
			n.back(life, func() { n.core.OnScaleIn(n.local(), e, o) })
		})
	case core.ListMachines:
		n.hosts(life, e, "", nil)
	case core.Probe:
		n.contact(life, e)
	case core.CloudBudget:
		n.cloud.SetLimitAt(stamp(w.now), rate.Limit(w.S.Cloud.RPS*cloudMargin*e.Fraction))
		n.cloud.SetBurstAt(stamp(w.now), max(1, int(w.S.Cloud.RPS*e.Fraction)))
	default:
		panic(fmt.Sprintf("effect %T", e))
	}
}

// outcomeOf tells what a client makes of a status of the state service.
func outcomeOf(code int) store.Outcome {
	switch code {
	case http.StatusOK:
		return store.OK
	case http.StatusServiceUnavailable:
		return store.Refused
	case http.StatusTooManyRequests:
		return store.Limited
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
				n.core.OnKey(n.local(), e, o, it.Value, it.Stamp, 0)
			default:
				n.core.OnKey(n.local(), e, o, nil, 0, 0)
			}
		})
	})
}

func (n *Node) watch(life int, e core.Watch) {
	w := n.w
	finish := func(o store.Outcome, c kv.Changes) {
		n.countChanges(c.Events)
		n.back(life, func() {
			events := direct.Events(c.Events)
			n.hasRead(events)
			n.core.OnChanges(n.local(), e, o, c.Rev, events, c.Code == http.StatusGone)
		})
	}
	if f := w.opt.Break.Read; f != nil && e.Fresh && !f() {
		w.after(millis, func() { finish(store.OK, kv.Changes{Code: http.StatusOK, Rev: e.After}) })
		return
	}
	if !n.state.AllowN(stamp(w.now), 1) {
		w.after(0, func() { finish(store.Refused, kv.Changes{}) })
		return
	}
	wait := readWait
	if e.Wait > 0 {
		wait = callWait + e.Wait
	}
	if e.Fresh && w.opt.Break.Stale {
		w.after(millis, func() { finish(store.OK, kv.Changes{Code: http.StatusOK, Rev: e.After}) })
		return
	}
	var id uint64
	n.sent(func() {
		w.net.request(n.Name, scenario.PartyState, wait, func(answer func(func())) {
			w.watch++
			id = w.watch
			w.answers[id] = func(c kv.Changes) {
				w.after(w.stateTime(), func() { answer(func() { finish(outcomeOf(c.Code), c) }) })
			}
			w.State.Watch(w.now, id, n.Name, core.Root, e.After, e.Wait)
			w.takeState()
		}, func(f func()) {
			if f != nil {
				f()
				return
			}
			w.State.Close(id)
			delete(w.answers, id)
			finish(store.Unknown, kv.Changes{})
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

// cloudCall does one request of the cloud once the budget allows it, and for what
// is decided only while the controller may decide.
func (n *Node) cloudCall(guarded bool, apply func() int, done func(store.Outcome)) {
	w, life := n.w, n.life
	r := n.cloud.ReserveN(stamp(w.now), 1)
	wait := units.Microseconds(r.DelayFrom(stamp(w.now)).Microseconds())
	if wait > cloudWait {
		r.CancelAt(stamp(w.now))
		w.after(0, func() { done(store.Refused) })
		return
	}
	w.after(wait, func() {
		if n.life != life {
			return
		}
		n.sent(func() {
			if guarded && n.local() >= n.core.ValidUntil() {
				done(store.Refused)
				return
			}
			late := guarded && w.noise && w.chance(0.01)
			w.net.request(n.Name, scenario.PartyCloud, cloudWait, func(answer func(func())) {
				run := func() {
					code := apply()
					w.Site.Advance(w.now)
					w.takeSite()
					w.after(units.Seconds(w.S.Cloud.LatencyMS/1000), func() {
						answer(func() {
							if code == http.StatusOK {
								done(store.OK)
							} else {
								done(store.Refused)
							}
						})
					})
				}
				if late {
					w.after(w.span(1, 60), run)
				} else {
					run()
				}
			}, func(f func()) {
				if f == nil {
					done(store.Unknown)
				} else {
					f()
				}
			})
		})
	})
}

// hosts reads the machine list, page by page.
func (n *Node) hosts(life int, e core.ListMachines, after string, got []core.ListedMachine) {
	w := n.w
	var list []cloudprovider.Listed
	var more bool
	n.cloudCall(false, func() int {
		var code int
		list, more, code = w.Site.Cloud.List(w.now, after, cloudprovider.MaxListPage)
		return code
	}, func(o store.Outcome) {
		if o != store.OK {
			n.back(life, func() { n.core.OnListMachines(n.local(), e, o, nil) })
			return
		}
		for _, l := range list {
			got = append(got, core.ListedMachine{Name: l.Name, Addr: l.Addr, Failed: l.State == cloudprovider.Failed, Age: l.Age,
				Record: fleet.Record{Type: l.Type, Zone: l.Zone, Spot: l.Spot}})
		}
		if more && len(list) > 0 {
			if n.life == life {
				n.hosts(life, e, list[len(list)-1].Name, got)
			}
			return
		}
		n.back(life, func() { n.core.OnListMachines(n.local(), e, store.OK, got) })
	})
}

// contact shows a token to a worker.
func (n *Node) contact(life int, e core.Probe) {
	w := n.w
	zone := ""
	if m := w.Site.Cloud.Machine(e.Machine); m != nil {
		zone = scenario.ZoneParty(m.Zone)
	}
	done := func(o store.Outcome, r *fleet.Heartbeat) {
		n.back(life, func() { n.core.OnProbe(n.local(), e, o, r) })
	}
	n.sent(func() {
		if n.local() >= n.core.ValidUntil() {
			done(store.Refused, nil)
			return
		}
		sent := w.now
		w.net.request(n.Name, zone, second, func(answer func(func())) {
			w.requestArrives(sent)
			r, _, taken, found := w.Site.Direct(w.now, e.Machine, e.FencingToken, e.Incarnation, nil)
			w.takeSite()
			if !found || w.noise && w.chance(0.02) {
				return
			}
			if k := w.Site.Worker(e.Machine); k != nil && k.OutboundCut(w.now) {
				w.happened(scenario.MuteReached)
			}
			o := store.Failed
			if taken {
				o = store.OK
			}
			answer(func() { done(o, r) })
		}, func(f func()) {
			if f == nil {
				done(store.Unknown, nil)
			} else {
				f()
			}
		})
	})
}
