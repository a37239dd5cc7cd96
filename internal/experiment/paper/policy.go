package paper

import (
	"math"

	"shalestage.example/shalestage/internal/core/binpack"
)

// all sees everything.
func all(v binpack.Vec, _ bool) binpack.Vec { return v }

// noIO sees processors and memory only.
func noIO(v binpack.Vec, _ bool) binpack.Vec {
	v[io] = 0
	return v
}

// slot is the memory of a slot, in thousandths of a GB (5.1).
const slot = 2000

// slots sees memory only, in whole slots: a machine has as many as fit, a task takes as
// many as hold it.
func slots(v binpack.Vec, capacity bool) binpack.Vec {
	n := v[memory]
	if !capacity {
		n += slot - 1
	}
	return binpack.Vec{memory: n / slot * slot}
}

// inOrder fills a machine with the task of the lowest key that fits, again and again.
// once: only one, as the key changes with what is taken.
func inOrder(once bool, key func(capacity binpack.Vec, i int, j binpack.Job) float64) func(binpack.Vec, binpack.Vec, []binpack.Job, binpack.Params, func(int) bool) {
	return func(capacity, free binpack.Vec, jobs []binpack.Job, _ binpack.Params, take func(int) bool) {
		taken := make([]int, len(jobs))
		for {
			best, least := -1, math.Inf(1)
			for i, j := range jobs {
				if taken[i] == j.Pending || !j.Demand.Fits(free) {
					continue
				}
				if k := key(capacity, i, j); k < least {
					best, least = i, k
				}
			}
			if best < 0 || !take(best) {
				return
			}
			if once {
				return
			}
			taken[best]++
			free = free.Sub(jobs[best].Demand)
		}
	}
}

// furthest serves the job that is furthest from its fair share.
var furthest = inOrder(true, func(_ binpack.Vec, _ int, j binpack.Job) float64 { return -j.Deficit })

// Tetris is the packer with the paper's knobs.
func Tetris() Policy {
	return Policy{Name: "Tetris", Fill: binpack.Fill, Params: binpack.Params{Fairness: 0.25, EpsilonScale: 1}, See: all, Barrier: 0.9}
}

// Ours is the packer with this service's defaults.
func Ours() Policy {
	p := Tetris()
	p.Name, p.Params.EpsilonScale, p.Barrier = "ours", 3, 0
	return p
}

// PackOnly goes by alignment alone, and is not fair at all.
func PackOnly() Policy {
	p := Tetris()
	p.Name, p.Params = "packing only", binpack.Params{}
	return p
}

// Blind is Tetris that sees processors and memory only.
func Blind() Policy {
	p := Tetris()
	p.Name, p.See = "Tetris, CPU and memory", noIO
	return p
}

// SlotFair gives the next slot to the job with the fewest for its share.
func SlotFair() Policy { return Policy{Name: "slot fair", Fill: furthest, See: slots} }

// DRF serves the job whose dominant share is smallest, by processors and memory.
func DRF() Policy { return Policy{Name: "DRF", Fill: furthest, See: noIO} }

// SRTF serves the job with the least remaining work.
func SRTF() Policy {
	return Policy{Name: "SRTF", See: all, Fill: inOrder(false, func(capacity binpack.Vec, _ int, j binpack.Job) float64 {
		return binpack.Size(capacity, j.Demand) * j.Work
	})}
}

// FirstFit serves jobs as they came.
func FirstFit() Policy {
	return Policy{Name: "first fit", See: all, Fill: inOrder(false, func(_ binpack.Vec, i int, _ binpack.Job) float64 { return float64(i) })}
}

// Bound is the paper's simple upper bound: Tetris on one bin of the whole cluster.
func Bound() Policy {
	p := Tetris()
	p.Name, p.OneBin, p.Params.Fairness = "simple bound", true, 0
	return p
}
