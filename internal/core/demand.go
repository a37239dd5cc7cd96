package core

import (
	"math"
	"strings"

	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/scale"
	"shalestage.example/shalestage/internal/core/unit"
)

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

// learnRun takes in how long a task ran.
func (bl *block) learnRun(s *ledger.Spec, took unit.Micros) {
	if s.Service || s.Estimate <= 0 || took <= 0 {
		return
	}
	r := bl.runtimes[s.Class]
	if r == nil {
		r = &ratio{}
		bl.runtimes[s.Class] = r
	}
	r.add(math.Min(float64(took)/float64(s.Estimate), 10))
}

// runtime is how long a task of the job is expected to run: the owner's
// estimate, corrected by what the class has shown once a few tasks are through.
func (bl *block) runtime(s *ledger.Spec) unit.Micros {
	if r := bl.runtimes[s.Class]; r != nil && r.n >= 5 {
		return unit.Micros(float64(s.Estimate) * r.mean)
	}
	return s.Estimate
}

// patience bounds the time a job without any aim is given, in run times.
const patience = 8

// timeLeft is the time in which a job should be done, by the earliest deadline
// that depends on it or by the strictest aim for its class.
func (c *Core) timeLeft(bl *block, j *ledger.Job) unit.Micros {
	s := j.Spec()
	run := bl.runtime(s)
	left := unit.Never
	for _, o := range c.cfg.Objectives {
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
	if left == unit.Never && j.Aims.Due == unit.Never {
		left = patience * run
	}
	return min(left-(c.wall-j.Since), j.Aims.Due-c.wall)
}

// Urgency of a job within its tier: work that can still meet its first aim
// goes before work that can only meet a later one, and work that can meet none
// any more comes last.
const (
	tooLate = iota
	laterAim
	easyAim
	firstAim
	urgencies
)

// aims calls f with each of a job's aims: the time by which it should be done or, with
// start, its tasks should have begun. All times are from when the job could first start.
func (c *Core) aims(j *ledger.Job, f func(t unit.Micros, start bool)) {
	for _, o := range c.cfg.Objectives {
		if o.Class == j.Spec().Class && (o.Kind == "wait" || o.Kind == "finished") {
			f(o.Within, o.Kind == "wait")
		}
	}
	if due := j.Aims.Due; due != unit.Never {
		f(due-j.Since, false)
		if last := j.Aims.LastDue; last > due {
			f(last-j.Since, false)
		}
	}
}

// urgency tells which of a job's aims can still be met.
func (c *Core) urgency(bl *block, j *ledger.Job) int {
	ends := c.wall - j.Since + bl.runtime(j.Spec())
	aims, missed := 0, 0
	first := unit.Never
	c.aims(j, func(t unit.Micros, start bool) {
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

// slack is how long a job's tasks may wait for the next aim that they can still meet.
func (c *Core) slack(bl *block, j *ledger.Job) unit.Micros {
	run, age := bl.runtime(j.Spec()), c.wall-j.Since
	least := unit.Never
	c.aims(j, func(t unit.Micros, start bool) {
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
	return min(least, patience*max(run, unit.Second))
}

// needs adds up the work at hand, by what pools it may use. A job needs no
// more room than lets it end in time: where there is time for several tasks
// one after the other, fewer machines do.
func (c *Core) needs(bl *block) map[scale.Group]scale.Need {
	needs := map[scale.Group]scale.Need{}
	perTeam := map[string]pack.Vec{}
	for _, j := range bl.order {
		s := j.Spec()
		if s == nil || c.now < j.NotBefore {
			continue
		}
		n := j.Record.Tasks - j.Finished()
		if run := bl.runtime(s); !s.Service && run > 0 {
			rounds := c.cfg.RoundShare * c.timeLeft(bl, j).Seconds() / run.Seconds()
			if rounds > 1 {
				n = int(math.Ceil(float64(n) / rounds))
			}
		}
		n = max(n, j.Placed())
		ready := j.Ready()
		if j.Suspect() {
			ready = j.Trials()
			n = j.Placed() + ready
		}
		if t := c.teams[s.Team]; t != nil {
			for i, lim := range t.Limit { // the team's limit bounds what can run at once
				if lim > 0 && s.Demand[i] > 0 {
					n = min(n, int(max(0, lim-perTeam[s.Team][i])/s.Demand[i]))
				}
			}
		}
		if n <= 0 {
			continue
		}
		v := s.Demand.Times(int64(n))
		perTeam[s.Team] = perTeam[s.Team].Add(v)
		names := c.fitting(s)
		g := scale.Group{Class: s.Class, Types: strings.Join(names, ","), Zone: s.Zone, Spot: s.Spot, Idle: c.idleTime(bl, j)}
		need := needs[g]
		need.Tasks += n
		need.Running += j.Placed()
		need.Ready += ready
		run := bl.runtime(s)
		need.Waiting += run * unit.Micros(ready)
		need.Slack += c.slack(bl, j) * unit.Micros(ready)
		if !s.Service {
			need.Rate += float64(j.Placed()) / max(run.Seconds(), 1)
		}
		need.Total = need.Total.Add(v)
		need.Types = names
		needs[g] = need
	}
	return needs
}
