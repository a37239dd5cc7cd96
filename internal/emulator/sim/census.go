package sim

import (
	"runtime"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/kv"
)

// Census is what there is at a time: what a long play is looked at for.
type Census struct {
	At     units.Microseconds
	Keys   map[string]int // in the state service, by folder
	Nodes  []core.Stats   // of the controllers that run
	HeapMB float64        // of the whole play, models included
}

// census counts.
func (w *World) census() Census {
	c := Census{At: w.now, Keys: map[string]int{}}
	w.State.ForEach(func(it kv.Item) { c.Keys[store.KeyGroup(it.Key)]++ })
	for _, n := range w.Nodes {
		if n.life == 0 {
			continue
		}
		n.next++
		n.asked[n.next] = func(r core.Reply) {
			if s, ok := r.Body.(core.Stats); ok {
				c.Nodes = append(c.Nodes, s)
			}
		}
		n.core.Stats(n.next)
		n.carryOut()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	c.HeapMB = float64(m.HeapInuse) / (1 << 20)
	return c
}

// count takes a census again and again.
func (w *World) count() {
	if w.opt.Census == nil || w.opt.CensusEvery <= 0 {
		return
	}
	w.after(w.opt.CensusEvery, func() {
		w.opt.Census(w.census())
		w.count()
	})
}
