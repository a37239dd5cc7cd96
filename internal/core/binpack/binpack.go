// Package binpack holds the Tetris packer: which tasks go to a machine that has
// free room. Section numbers in comments are the paper's.
package binpack

import (
	"math"
	"sort"
)

// Resources, in the order of a Vec.
const (
	CPU = iota
	GPU
	Memory
	resources
)

// Vec is an amount of each resource, in thousandths.
type Vec [resources]int64

// Add returns v + o.
func (v Vec) Add(o Vec) Vec {
	for i := range v {
		v[i] += o[i]
	}
	return v
}

// Sub returns v - o.
func (v Vec) Sub(o Vec) Vec {
	for i := range v {
		v[i] -= o[i]
	}
	return v
}

// Fits reports whether a demand of v fits into free room.
func (v Vec) Fits(free Vec) bool {
	for i := range v {
		if v[i] > free[i] {
			return false
		}
	}
	return true
}

// Times returns v taken n times.
func (v Vec) Times(n int64) Vec {
	for i := range v {
		v[i] *= n
	}
	return v
}

// Alignment is the dot product of free room and demand, each divided by the
// machine's capacity, all resources weighed equally (3.2).
func Alignment(capacity, free, demand Vec) float64 {
	var a float64
	for i, c := range capacity {
		if c > 0 {
			a += float64(free[i]) / float64(c) * float64(demand[i]) / float64(c)
		}
	}
	return a
}

// Size is the sum of a demand's shares of a capacity (3.3.1).
func Size(capacity, demand Vec) float64 {
	var s float64
	for i, c := range capacity {
		if c > 0 {
			s += float64(demand[i]) / float64(c)
		}
	}
	return s
}

// Dominant is the largest of a demand's shares of a capacity.
func Dominant(capacity, demand Vec) float64 {
	var s float64
	for i, c := range capacity {
		if c > 0 {
			s = math.Max(s, float64(demand[i])/float64(c))
		}
	}
	return s
}

// Params are the packer's knobs.
type Params struct {
	Fairness     float64 // f (3.4)
	EpsilonScale float64 // factor on epsilon (3.3.2)
	ImagePenalty float64 // the remote penalty, taken for an image that is not cached (3.2)
}

// Job is what the packer sees of a job with pending tasks.
type Job struct {
	Demand   Vec
	Pending  int     // tasks that may start now
	Work     float64 // seconds of estimated run time left, over all unfinished tasks
	Deficit  float64 // fair share less what it holds: larger is further from fair share
	Tier     int     // larger is served first: guarantee and priority, before any score
	Cached   bool    // the machine has the image
	Deferred bool    // served only when nothing else of its tier fits (it fails wherever it runs)
}

// Fill gives one machine tasks until nothing fits. It names the job of each
// task to take, best first; take reports whether rules outside the machine
// (team limit, zones) let the task go there, and a job refused once is left out.
func Fill(capacity, free Vec, jobs []Job, p Params, take func(job int) bool) {
	taken := make([]int, len(jobs))
	shut := make([]bool, len(jobs))
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := &jobs[order[a]], &jobs[order[b]]
		if x.Tier != y.Tier {
			return x.Tier > y.Tier
		}
		if x.Deferred != y.Deferred {
			return y.Deferred
		}
		return x.Deficit > y.Deficit
	})
	for lo := 0; lo < len(order); {
		hi := lo
		for hi < len(order) && jobs[order[hi]].Tier == jobs[order[lo]].Tier && jobs[order[hi]].Deferred == jobs[order[lo]].Deferred {
			hi++
		}
		group := order[lo:hi]
		for {
			i := best(capacity, free, jobs, group, taken, shut, p)
			if i < 0 {
				break
			}
			if !take(i) {
				shut[i] = true
				continue
			}
			taken[i]++
			free = free.Sub(jobs[i].Demand)
		}
		lo = hi
	}
}

// best returns the job whose task scores highest among the jobs furthest from
// fair share, or -1. The cut counts the jobs that still have pending tasks
// (3.4). Where none of those within the cut fits, the rest are looked at, so
// that room is not left empty beside work that could use it.
func best(capacity, free Vec, jobs []Job, group, taken []int, shut []bool, p Params) int {
	runnable := 0
	for _, i := range group {
		if taken[i] < jobs[i].Pending && !shut[i] {
			runnable++
		}
	}
	cut := int(math.Ceil((1 - p.Fairness) * float64(runnable)))
	for from := 0; from < runnable; from, cut = cut, runnable {
		if i := bestOf(capacity, free, jobs, group, taken, shut, p, from, cut); i >= 0 {
			return i
		}
	}
	return -1
}

func bestOf(capacity, free Vec, jobs []Job, group, taken []int, shut []bool, p Params, from, to int) int {
	var sumA, sumP float64
	seen := 0
	type cand struct {
		i    int
		a, p float64
	}
	var cands []cand
	for _, i := range group {
		j := &jobs[i]
		if taken[i] >= j.Pending || shut[i] {
			continue
		}
		seen++
		if seen <= from || seen > to || !j.Demand.Fits(free) {
			continue
		}
		a := Alignment(capacity, free, j.Demand)
		if !j.Cached {
			a *= 1 - p.ImagePenalty
		}
		w := Size(capacity, j.Demand) * j.Work
		cands = append(cands, cand{i, a, w})
		sumA += a
		sumP += w
	}
	eps := Epsilon(sumA, sumP) * p.EpsilonScale
	best, top := -1, math.Inf(-1)
	for _, c := range cands {
		if s := c.a - eps*c.p; s > top {
			best, top = c.i, s
		}
	}
	return best
}

// Epsilon is average alignment over average remaining work, or 0 without work
// (3.3.2). Both averages are over the same tasks, so their sums serve.
func Epsilon(sumAlign, sumWork float64) float64 {
	if sumWork <= 0 {
		return 0
	}
	return sumAlign / sumWork
}
