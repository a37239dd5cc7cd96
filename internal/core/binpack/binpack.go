// Package binpack implements the Tetris packer, which chooses the tasks that go to a
// machine with free capacity. It filters jobs by distance from fair share and by whether
// their tasks fit. It scores a task by its alignment with the free resources, combined with
// the remaining work of its job. Section numbers in comments refer to the Tetris paper. The
// package deals with resource amounts only; package scheduler prepares its input.
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

// Fits reports whether a demand of v fits into the free amounts.
func (v Vec) Fits(free Vec) bool {
	for i := range v {
		if v[i] > free[i] {
			return false
		}
	}
	return true
}

// Times returns v multiplied by n.
func (v Vec) Times(n int64) Vec {
	for i := range v {
		v[i] *= n
	}
	return v
}

// Alignment is the dot product of the free amounts and a demand, both
// divided by the machine's capacity. All resources have equal weight (3.2).
func Alignment(capacity, free, demand Vec) float64 {
	var sum float64
	for i, c := range capacity {
		if c > 0 {
			sum += float64(free[i]) / float64(c) * float64(demand[i]) / float64(c)
		}
	}
	return sum
}

// Size is the sum over all resources of a demand's share of a capacity (3.3.1).
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
	EpsilonScale float64 // factor applied to epsilon (3.3.2)
	ImagePenalty float64 // fraction of the alignment lost if the image is not cached: remote penalty (3.2)
}

// Job is the packer's view of a job with pending tasks.
type Job struct {
	Demand   Vec
	Pending  int     // tasks that may start now
	Work     float64 // estimated remaining run time of all unfinished tasks, in seconds
	Deficit  float64 // fair share minus the share in use: larger is further below fair share
	Tier     int     // larger tiers are served first, regardless of score
	Cached   bool    // the machine has the image in its cache
	Deferred bool    // served only when nothing else of its tier fits: its tasks may fail on every machine
}

// Fill chooses tasks for one machine until nothing more fits. It calls accept with the job of
// each task, best first. accept reports whether rules outside the package (the team's limit,
// zones) allow the task on the machine. A job that was rejected once is not offered again.
func Fill(capacity, free Vec, jobs []Job, params Params, accept func(job int) bool) {
	current := packer{capacity: capacity, free: free, jobs: jobs, params: params, pending: make([]int, len(jobs))}
	for i := range jobs {
		current.pending[i] = jobs[i].Pending
	}
	for order := current.order(); len(order) > 0; {
		group := current.firstGroup(order)
		order = order[len(group):]
		for chosen := current.best(group); chosen >= 0; chosen = current.best(group) {
			if !accept(chosen) {
				current.pending[chosen] = 0
				continue
			}
			current.pending[chosen]--
			current.free = current.free.Sub(jobs[chosen].Demand)
		}
	}
}

// packer is the state of one call of Fill.
type packer struct {
	capacity, free Vec
	jobs           []Job
	params         Params
	pending        []int       // tasks that may still start, by job; 0 once one was rejected
	scored         []candidate // buffer, reused to avoid allocations
}

// candidate is a job whose next task fits, with the inputs of its score.
type candidate struct {
	job       int
	alignment float64 // after the image penalty
	work      float64 // remaining run time multiplied by the size of a task (3.3.1)
}

// order returns the jobs sorted by tier, within a tier the
// deferred jobs last, then by distance from fair share.
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

// firstGroup returns the leading jobs of an order that are scored against each other:
// those with the Tier and Deferred of the first job.
func (p *packer) firstGroup(order []int) []int {
	first := &p.jobs[order[0]]
	n := 1
	for n < len(order) && p.jobs[order[n]].Tier == first.Tier && p.jobs[order[n]].Deferred == first.Deferred {
		n++
	}
	return order[:n]
}

// best returns the job whose task scores highest among the jobs furthest below fair share, or -1. The
// cut is a fraction of the jobs that still have pending tasks (3.4). If no task within the cut fits,
// the remaining jobs are tried, so that capacity does not stay free while there is work for it.
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

// bestWithin returns the job whose fitting task scores highest, or -1. Of the jobs of the
// group that still have pending tasks, it considers those at positions from (inclusive) up to
// to (exclusive). The score is alignment minus remaining work weighted by epsilon (3.3.2).
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

// score computes the inputs of the score of a job's next task.
func (p *packer) score(job int) candidate {
	view := &p.jobs[job]
	alignment := Alignment(p.capacity, p.free, view.Demand)
	if !view.Cached {
		alignment *= 1 - p.params.ImagePenalty
	}
	return candidate{job, alignment, Size(p.capacity, view.Demand) * view.Work}
}

// Epsilon is average alignment divided by average remaining work, or 0 without work
// (3.3.2). Both averages are over the same tasks, so the sums give the same quotient.
func Epsilon(sumAlignment, sumWork float64) float64 {
	if sumWork <= 0 {
		return 0
	}
	return sumAlignment / sumWork
}
