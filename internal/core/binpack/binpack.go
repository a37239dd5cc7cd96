// Package binpack is the Tetris packer: which tasks go to a machine that has free capacity. It filters
// jobs by distance from fair share and by what fits, and scores a task by its alignment with what
// is free, blended with the work that remains of its job. Section numbers in comments are the
// paper's. The package knows nothing but amounts; package scheduler decides what it is shown.
package binpack

import (
	"cmp"
	"math"
	"slices"
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

// Fits reports whether a demand of v fits into what is free.
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

// Alignment is the dot product of what is free and a demand, each divided by the
// machine's capacity, all resources weighed equally (3.2).
func Alignment(capacity, free, demand Vec) float64 {
	var sum float64
	for i, c := range capacity {
		if c > 0 {
			sum += float64(free[i]) / float64(c) * float64(demand[i]) / float64(c)
		}
	}
	return sum
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

// DominantShare is the largest of a demand's shares of a capacity.
func DominantShare(capacity, demand Vec) float64 {
	var s float64
	for i, c := range capacity {
		if c > 0 {
			s = math.Max(s, float64(demand[i])/float64(c))
		}
	}
	return s
}

// Params are the settings of the packer.
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
	Tier     int     // larger is served first, before any score
	Cached   bool    // the machine has the image
	Deferred bool    // served only when nothing else of its tier fits (it fails wherever it runs)
}

// Fill gives one machine tasks until nothing fits. It names the job of each task to take, best first;
// take reports whether rules outside the machine (the team's limit, zones) let the task go there, and
// a job refused once is left out.
func Fill(capacity, free Vec, jobs []Job, params Params, take func(job int) bool) {
	current := packer{capacity: capacity, free: free, jobs: jobs, params: params, pending: make([]int, len(jobs))}
	for i := range jobs {
		current.pending[i] = jobs[i].Pending
	}
	for order := current.order(); len(order) > 0; {
		group := current.firstGroup(order)
		order = order[len(group):]
		for chosen := current.best(group); chosen >= 0; chosen = current.best(group) {
			if !take(chosen) {
				current.pending[chosen] = 0
				continue
			}
			current.pending[chosen]--
			current.free = current.free.Sub(jobs[chosen].Demand)
		}
	}
}

// packer is one call of Fill.
type packer struct {
	capacity, free Vec
	jobs           []Job
	params         Params
	pending        []int       // tasks that may still start, by job; 0 once one was refused
	scored         []candidate // kept for its memory
}

// candidate is a job whose next task fits, and what is scored of it.
type candidate struct {
	job       int
	alignment float64 // less the image penalty
	work      float64 // remaining run time times the size of a task (3.3.1)
}

// order returns the jobs by tier, the deferred last in theirs, then by distance from fair share.
func (p *packer) order() []int {
	order := make([]int, len(p.jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &p.jobs[a], &p.jobs[b]
		switch {
		case x.Tier != y.Tier:
			return cmp.Compare(y.Tier, x.Tier)
		case x.Deferred != y.Deferred:
			if y.Deferred {
				return -1
			}
			return 1
		}
		return cmp.Compare(y.Deficit, x.Deficit)
	})
	return order
}

// firstGroup returns the first jobs of an order that are scored against each other: those of one
// tier that are alike deferred or not.
func (p *packer) firstGroup(order []int) []int {
	first := &p.jobs[order[0]]
	n := 1
	for n < len(order) && p.jobs[order[n]].Tier == first.Tier && p.jobs[order[n]].Deferred == first.Deferred {
		n++
	}
	return order[:n]
}

// best returns the job whose task scores highest among the jobs furthest from fair share, or -1. The
// cut counts the jobs that still have pending tasks (3.4). Where none of those within the cut fits,
// the rest are looked at, so that capacity is not left free beside work that could use it.
func (p *packer) best(group []int) int {
	pending := 0
	for _, job := range group {
		if p.pending[job] > 0 {
			pending++
		}
	}
	cut := int(math.Ceil((1 - p.params.Fairness) * float64(pending)))
	for from := 0; from < pending; from, cut = cut, pending {
		if job := p.bestWithin(group, from, cut); job >= 0 {
			return job
		}
	}
	return -1
}

// bestWithin returns the job whose task scores highest among the from-th up to the to-th job of a
// group that still have pending tasks, of those whose task fits; or -1. The score is alignment less
// remaining work weighed by epsilon (3.3.2).
func (p *packer) bestWithin(group []int, from, to int) int {
	var sumAlignment, sumWork float64
	seen := 0
	p.scored = p.scored[:0]
	for _, job := range group {
		if p.pending[job] <= 0 {
			continue
		}
		seen++
		if seen <= from || seen > to || !p.jobs[job].Demand.Fits(p.free) {
			continue
		}
		c := p.score(job)
		p.scored = append(p.scored, c)
		sumAlignment += c.alignment
		sumWork += c.work
	}
	epsilon := Epsilon(sumAlignment, sumWork) * p.params.EpsilonScale
	best, highest := -1, math.Inf(-1)
	for _, c := range p.scored {
		if score := c.alignment - epsilon*c.work; score > highest {
			best, highest = c.job, score
		}
	}
	return best
}

// score returns what a job's next task is scored by.
func (p *packer) score(job int) candidate {
	view := &p.jobs[job]
	alignment := Alignment(p.capacity, p.free, view.Demand)
	if !view.Cached {
		alignment *= 1 - p.params.ImagePenalty
	}
	return candidate{job, alignment, Size(p.capacity, view.Demand) * view.Work}
}

// Epsilon is average alignment over average remaining work, or 0 without work (3.3.2). Both averages
// are over the same tasks, so their sums serve.
func Epsilon(sumAlignment, sumWork float64) float64 {
	if sumWork <= 0 {
		return 0
	}
	return sumAlignment / sumWork
}
