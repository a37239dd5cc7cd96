package sim

import (
	"net/http"

	"golang.org/x/time/rate"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
	"shalestage.example/shalestage/internal/emulator/site"
	"shalestage.example/shalestage/internal/scenario"
)

// cloudEffect executes an effect that concerns the cloud provider. It reports whether the effect is of that
// kind.
func (n *Node) cloudEffect(incarnation int, effect core.Effect) bool {
	switch effect := effect.(type) {
	case core.FetchTypes:
		n.fetchTypes(incarnation)
	case core.ScaleOut:
		n.scaleOut(incarnation, effect)
	case core.ScaleIn:
		n.cloudCall(true, func() int { return n.scaleIn(effect.Names) }, func(o store.Outcome) {
			n.deliver(incarnation, func() { n.core.OnScaleIn(n.steadyClock(), effect, o) })
		})
	case core.ListMachines:
		n.listMachines(incarnation, effect, "", nil)
	case core.CloudBudget:
		n.setCloudRate(effect)
	default:
		return false
	}
	return true
}

// cloudCall sends a request to the cloud provider as soon as the rate limit allows it. It fails with
// store.Refused if that takes longer than the timeout. A guarded request is sent only while the controller's
// authority is valid. apply executes the request and returns its status code.
func (n *Node) cloudCall(guarded bool, apply func() int, done func(store.Outcome)) {
	w, incarnation := n.world, n.incarnation
	r := n.cloudLimiter.ReserveN(limiterTime(w.now), 1)
	wait := units.Microseconds(r.DelayFrom(limiterTime(w.now)).Microseconds())
	if wait > cloudTimeout {
		r.CancelAt(limiterTime(w.now))
		w.schedule(0, func() { done(store.Refused) })
		return
	}
	w.schedule(wait, func() {
		if n.incarnation != incarnation {
			return
		}
		n.transmit(func() {
			if guarded && n.steadyClock() >= n.core.ValidUntil() {
				done(store.Refused)
				return
			}
			late := guarded && w.noise && w.chance(0.01)
			w.net.request(n.Name, scenario.PartyCloud, cloudTimeout, func(answer func(func())) {
				run := func() {
					code := apply()
					w.Site.Advance(w.now)
					w.handleSiteEvents()
					w.schedule(units.Seconds(w.Scenario.Cloud.LatencyMS/1000), func() {
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
					w.schedule(w.randomDuration(1, 60), run)
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

// fetchTypes reads the machine types and prices of the cloud provider.
func (n *Node) fetchTypes(incarnation int) {
	w := n.world
	var types []fleet.Type
	n.cloudCall(false, func() int {
		list, code := w.Site.Cloud.MachineTypes(w.now)
		for _, t := range list {
			types = append(types, fleet.Type{Name: t.Name, Capacity: site.Capacity(t), CacheMB: units.MilliDown(t.CacheGB), FetchMBs: units.MilliDown(t.FetchGBs),
				Boot: t.Boot, Zones: t.Zones, Price: t.Price, SpotPrice: t.SpotPrice})
		}
		return code
	}, func(o store.Outcome) { n.deliver(incarnation, func() { n.core.OnTypes(n.steadyClock(), o, types) }) })
}

// scaleOut creates worker machines.
func (n *Node) scaleOut(incarnation int, effect core.ScaleOut) {
	w := n.world
	var names []string
	none := false
	n.cloudCall(true, func() int {
		p := effect.Increase.Pool
		pool := cloudprovider.Pool{Type: p.Type, Zone: p.Zone, Spot: p.Spot}
		var code int
		names, none, code = w.Site.Cloud.ScaleOut(w.now, effect.Request, pool, effect.Increase.Count)
		if code == http.StatusOK {
			w.repeatLater(n, func() { w.Site.Cloud.ScaleOut(w.now, effect.Request, pool, effect.Increase.Count) })
		}
		for _, name := range names {
			if m := w.Site.Cloud.Machine(name); m != nil {
				m.Addr = name
			}
		}
		return code
	}, func(o store.Outcome) {
		if o == store.Refused && none {
			w.recordEvent(scenario.CapacityExhausted)
			o = store.Failed
		}
		n.deliver(incarnation, func() { n.core.OnScaleOut(n.steadyClock(), effect, o, names) })
	})
}

// scaleIn deletes worker machines.
func (n *Node) scaleIn(names []string) int {
	w := n.world
	code := w.Site.Cloud.ScaleIn(w.now, names)
	if code == http.StatusOK {
		w.repeatLater(n, func() {
			w.Site.Cloud.ScaleIn(w.now, names)
			w.Site.Advance(w.now)
			w.handleSiteEvents()
		})
	}
	return code
}

// listMachines reads the list of machines page by page. got holds the machines of earlier pages.
func (n *Node) listMachines(incarnation int, effect core.ListMachines, after string, got []core.ListedMachine) {
	w := n.world
	var list []cloudprovider.Listed
	var more bool
	n.cloudCall(false, func() int {
		var code int
		list, more, code = w.Site.Cloud.List(w.now, after, cloudprovider.MaxListPage)
		return code
	}, func(o store.Outcome) {
		if o != store.OK {
			n.deliver(incarnation, func() { n.core.OnListMachines(n.steadyClock(), effect, o, nil) })
			return
		}
		for _, l := range list {
			got = append(got, core.ListedMachine{Name: l.Name, Addr: l.Addr, Failed: l.State == cloudprovider.Failed, Age: l.Age,
				Record: fleet.Record{Type: l.Type, Zone: l.Zone, Spot: l.Spot}})
		}
		if more && len(list) > 0 {
			if n.incarnation == incarnation {
				n.listMachines(incarnation, effect, list[len(list)-1].Name, got)
			}
			return
		}
		n.deliver(incarnation, func() { n.core.OnListMachines(n.steadyClock(), effect, store.OK, got) })
	})
}

// setCloudRate limits this controller to its share of the cloud provider's request rate.
func (n *Node) setCloudRate(e core.CloudBudget) {
	w := n.world
	n.cloudLimiter.SetLimitAt(limiterTime(w.now), rate.Limit(w.Scenario.Cloud.RPS*cloudRateFraction*e.Fraction))
	n.cloudLimiter.SetBurstAt(limiterTime(w.now), max(1, int(w.Scenario.Cloud.RPS*e.Fraction)))
}
