// Package demand tells what the work at hand needs: how long its tasks run, by when they
// should be done, and so how many machines of which offers they ask for. It owns what was
// learnt of run times and decides nothing.
package demand

import (
	"math"
	"strings"

	"shalestage.example/shalestage/internal/core/autoscaler"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Objective is one of the users' aims for a class of jobs.
type Objective struct {
	Kind   string // "wait", "finished", "deadline" or "guarantee"
	Class  string
	Within units.Microseconds
	Times  float64 // of the deadline, for "deadline"
	Share  float64 // of the jobs for which it is to hold; nothing goes by it
}

// Estimator is what is known of a block's work: its owners' aims and how long it really runs.
type Estimator struct {
	objectives []Objective
	roundShare float64
	runtimes   map[string]*ratio // by class
}

// New returns a book that has learnt nothing. roundShare is the share of a job's time that
// renting counts on for tasks one after the other.
func New(objectives []Objective, roundShare float64) *Estimator {
	return &Estimator{objectives: objectives, roundShare: roundShare, runtimes: map[string]*ratio{}}
}

// SetObjectives replaces the owners' aims.
func (b *Estimator) SetObjectives(objectives []Objective) { b.objectives = objectives }

// ratio learns how long tasks of a class really run, as a share of what their
// owners estimate ("earlier runs of the same or similar jobs", 3.3.1).
type ratio struct {
	mean float64
	n    int
}

// ratioMemory is how many tasks the mean looks back on.
const ratioMemory = 50

func (r *ratio) add(x float64) {
	r.n++
	r.mean += (x - r.mean) / float64(min(r.n, ratioMemory))
}

// Learn takes in how long a task ran.
func (b *Estimator) Learn(s *jobs.Spec, took units.Microseconds) {
	if s.Service || s.Estimate <= 0 || took <= 0 {
		return
	}
	r := b.runtimes[s.Class]
	if r == nil {
		r = &ratio{}
		b.runtimes[s.Class] = r
	}
	r.add(math.Min(float64(took)/float64(s.Estimate), 10))
}

// Runtime is how long a task of a job is expected to run: the owner's
// estimate, corrected by what the class has shown once a few tasks are through.
func (b *Estimator) Runtime(s *jobs.Spec) units.Microseconds {
	if r := b.runtimes[s.Class]; r != nil && r.n >= 5 {
		return units.Microseconds(float64(s.Estimate) * r.mean)
	}
	return s.Estimate
}

// patience bounds the time a job without any aim is given, in run times.
const patience = 8

// TimeAllowed is the time in which a job should be done, by the earliest deadline
// that depends on it or by the strictest aim for its class.
func (b *Estimator) TimeAllowed(wall units.Microseconds, j *jobs.Job) units.Microseconds {
	s := j.Spec()
	run := b.Runtime(s)
	left := units.Never
	for _, o := range b.objectives {
		if o.Class != s.Class || o.Within <= 0 {
			continue
		}
		switch o.Kind {
		case "finished":
			left = min(left, o.Within)
		case "wait":
			left = min(left, o.Within+run)
		}
	}
	if left == units.Never && j.Objectives.Due == units.Never {
		left = patience * run
	}
	return min(left-(wall-j.Since), j.Objectives.Due-wall)
}

// Urgency of a job within its tier: work that can still meet its first aim
// goes before work that can only meet a later one, and work that can meet none
// any more comes last.
const (
	tooLate = iota
	laterAim
	easyAim
	firstAim
	Urgencies // how many there are
)

// aims calls f with each of a job's aims: the time by which it should be done or, with
// start, its tasks should have begun. All times are from when the job could first start.
func (b *Estimator) aims(j *jobs.Job, f func(t units.Microseconds, start bool)) {
	for _, o := range b.objectives {
		if o.Class == j.Spec().Class && (o.Kind == "wait" || o.Kind == "finished") {
			f(o.Within, o.Kind == "wait")
		}
	}
	if due := j.Objectives.Due; due != units.Never {
		f(due-j.Since, false)
		if last := j.Objectives.LastDue; last > due {
			f(last-j.Since, false)
		}
	}
}

// Urgency tells which of a job's aims can still be met.
func (b *Estimator) Urgency(wall units.Microseconds, j *jobs.Job) int {
	ends := wall - j.Since + b.Runtime(j.Spec())
	aims, missed := 0, 0
	first := units.Never
	b.aims(j, func(t units.Microseconds, start bool) {
		if start {
			first = 0 // its tasks should start soon: no time to spare
			return
		}
		aims++
		first = min(first, t)
		if ends > t {
			missed++
		}
	})
	switch {
	case missed == 0 && aims > 0 && first-ends > first/2:
		return easyAim
	case missed == 0:
		return firstAim
	case missed < aims:
		return laterAim
	}
	return tooLate
}

// Slack is how long a job's tasks may wait for the next aim that they can still meet.
func (b *Estimator) Slack(wall units.Microseconds, j *jobs.Job) units.Microseconds {
	run, age := b.Runtime(j.Spec()), wall-j.Since
	least := units.Never
	b.aims(j, func(t units.Microseconds, start bool) {
		switch {
		case !start:
			t -= run
		case t <= 0:
			return // no time is given
		}
		if left := t - age; left >= 0 {
			least = min(least, left)
		}
	})
	return min(least, patience*max(run, units.Second))
}

// Idle reports whether a job uses the time that others leave: it has the lowest priority,
// nobody expects it by any time, and it has not waited for long.
func (b *Estimator) Idle(wall units.Microseconds, j *jobs.Job) bool {
	s := j.Spec()
	if j.Objectives.Priority != jobs.Low || s.Service || j.Objectives.Due != units.Never {
		return false
	}
	for _, o := range b.objectives {
		if o.Class == s.Class {
			return false
		}
	}
	return b.TimeAllowed(wall, j) > 0
}

// Host is what needs are weighed against.
type Host interface {
	// Limit is a team's limit, in thousandths; 0: none.
	Limit(team string) binpack.Vec
	// LostTasks counts a job's tasks that are placed where nobody hears of them any more: they
	// will have to start elsewhere.
	LostTasks(j *jobs.Job) int
	// CompatibleTypes names the types of machine that a job's tasks fit on and may use.
	CompatibleTypes(s *jobs.Spec) []string
}

// SlotsNeeded adds up the work at hand, by what pools it may use; order are the jobs, the first
// to have come first. A job needs no more room than lets it end in time: where there is time
// for several tasks one after the other, fewer machines do.
func (b *Estimator) SlotsNeeded(now, wall units.Microseconds, order []*jobs.Job, host Host) map[autoscaler.Group]autoscaler.Need {
	needs := map[autoscaler.Group]autoscaler.Need{}
	perTeam := map[string]binpack.Vec{}
	for _, j := range order {
		s := j.Spec()
		if s == nil || now < j.NotBefore {
			continue
		}
		n := j.Record.Tasks - j.Finished()
		if run := b.Runtime(s); !s.Service && run > 0 {
			rounds := b.roundShare * b.TimeAllowed(wall, j).Seconds() / run.Seconds()
			if rounds > 1 {
				n = int(math.Ceil(float64(n) / rounds))
			}
		}
		placed, ready := j.Placed(), j.Ready()
		if lost := host.LostTasks(j); lost > 0 {
			placed, ready = placed-lost, ready+lost
		}
		n = max(n, placed)
		if j.Suspect() {
			ready = j.Trials()
			n = placed + ready
		}
		for i, lim := range host.Limit(s.Team) { // the team's limit bounds what can run at once
			if lim > 0 && s.Demand[i] > 0 {
				n = min(n, int(max(0, lim-perTeam[s.Team][i])/s.Demand[i]))
			}
		}
		if n <= 0 {
			continue
		}
		v := s.Demand.Times(int64(n))
		perTeam[s.Team] = perTeam[s.Team].Add(v)
		names := host.CompatibleTypes(s)
		g := autoscaler.Group{Class: s.Class, Types: strings.Join(names, ","), Zone: s.Zone, Spot: s.Spot, Idle: b.Idle(wall, j)}
		need := needs[g]
		need.Tasks += n
		need.Running += placed
		need.Ready += ready
		run := b.Runtime(s)
		need.Waiting += run * units.Microseconds(ready)
		need.Slack += b.Slack(wall, j) * units.Microseconds(ready)
		if !s.Service {
			need.Rate += float64(placed) / max(run.Seconds(), 1)
		}
		need.Total = need.Total.Add(v)
		need.Types = names
		needs[g] = need
	}
	return needs
}
