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

// cloudEffect executes an effect that is a request to the cloud provider, and reports whether it is one.
func (n *Node) cloudEffect(life int, e core.Effect) bool {
	w := n.w
	switch e := e.(type) {
	case core.FetchTypes:
		n.fetchTypes(life)
	case core.ScaleOut:
		n.scaleOut(life, e)
	case core.ScaleIn:
		n.cloudCall(true, func() int { return w.Site.Cloud.ScaleIn(w.now, e.Names) }, func(o store.Outcome) {
			n.back(life, func() { n.core.OnScaleIn(n.local(), e, o) })
		})
	case core.ListMachines:
		n.hosts(life, e, "", nil)
	case core.CloudBudget:
		n.setCloudBudget(e)
	default:
		return false
	}
	return true
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

// fetchTypes reads the price list of the cloud provider.
func (n *Node) fetchTypes(life int) {
	w := n.w
	var types []fleet.Type
	n.cloudCall(false, func() int {
		list, code := w.Site.Cloud.MachineTypes(w.now)
		for _, t := range list {
			types = append(types, fleet.Type{Name: t.Name, Capacity: site.Capacity(t), CacheMB: units.MilliDown(t.CacheGB), FetchMBs: units.MilliDown(t.FetchGBs),
				Boot: t.Boot, Zones: t.Zones, Price: t.Price, SpotPrice: t.SpotPrice})
		}
		return code
	}, func(o store.Outcome) { n.back(life, func() { n.core.OnTypes(n.local(), o, types) }) })
}

// scaleOut creates machines.
func (n *Node) scaleOut(life int, e core.ScaleOut) {
	w := n.w
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
			w.happened(scenario.CapacityExhausted)
			o = store.Failed
		}
		n.back(life, func() { n.core.OnScaleOut(n.local(), e, o, names) })
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

// setCloudBudget takes the part of the provider's rate that this controller may use.
func (n *Node) setCloudBudget(e core.CloudBudget) {
	w := n.w
	n.cloud.SetLimitAt(stamp(w.now), rate.Limit(w.S.Cloud.RPS*cloudMargin*e.Fraction))
	n.cloud.SetBurstAt(stamp(w.now), max(1, int(w.S.Cloud.RPS*e.Fraction)))
}
