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
	census := Census{At: w.now, Keys: map[string]int{}}
	w.State.Each(func(it kv.Item) { census.Keys[store.Folder(it.Key)]++ })
	for _, n := range w.Nodes {
		if n.incarnation == 0 {
			continue
		}
		n.lastRequest++
		n.pending[n.lastRequest] = func(r core.Reply) {
			if s, ok := r.Body.(core.Stats); ok {
				census.Nodes = append(census.Nodes, s)
			}
		}
		n.core.Stats(n.lastRequest)
		n.executeEffects()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	census.HeapMB = float64(m.HeapInuse) / (1 << 20)
	return census
}

// count takes a census again and again.
func (w *World) scheduleCensus() {
	if w.options.OnCensus == nil || w.options.CensusInterval <= 0 {
		return
	}
	w.schedule(w.options.CensusInterval, func() {
		w.options.OnCensus(w.census())
		w.scheduleCensus()
	})
}
