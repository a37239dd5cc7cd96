package sim

import (
	"runtime"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/kv"
)

// Census counts the resources in use at one time. Long runs record it to show that nothing grows without
// bound.
type Census struct {
	At     units.Microseconds
	Keys   map[string]int // number of stored keys by key group
	Nodes  []core.Stats   // statistics of the running controllers
	HeapMB float64        // heap in use by the whole process, emulator models included
}

// census takes a census now.
func (w *World) census() Census {
	census := Census{At: w.now, Keys: map[string]int{}}
	w.State.ForEach(func(it kv.Item) { census.Keys[store.KeyGroup(it.Key)]++ })
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

// scheduleCensus takes a census every CensusInterval.
func (w *World) scheduleCensus() {
	if w.options.OnCensus == nil || w.options.CensusInterval <= 0 {
		return
	}
	w.schedule(w.options.CensusInterval, func() {
		w.options.OnCensus(w.census())
		w.scheduleCensus()
	})
}
