package ranking

import (
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
)

// Rights is what teams' guarantees give their jobs, as of one look at them.
type Rights struct {
	Share  map[string]float64 // fair share of one job, by team
	Within map[string]bool    // jobs that fit their team's guarantee together with the team's earlier ones
}

// Quotas are what teams are guaranteed; each is in thousandths.
type Quotas interface {
	// Guarantee returns what a team is guaranteed; false: there is no such team.
	Guarantee(team string) (binpack.Vec, bool)
	// Total returns the CPU that all teams are guaranteed together, and how many teams there are.
	Total() (cpu int64, teams int)
}

// tally is what is known of a team's jobs on the way through all of them.
type tally struct {
	guarantee binpack.Vec
	known     bool
	sum       binpack.Vec // that its jobs ask for
	full      bool        // no later job is within the guarantee
	jobs      int         // that share what is fair for the team
}

// Weigh looks at a block's jobs, and at those of all blocks, each in the order in which they
// could first start; the two may be the same list. Each job and each of their teams is looked at
// once.
func Weigh(block, all []*jobs.Job, teams Quotas) Rights {
	r := Rights{Share: map[string]float64{}, Within: map[string]bool{}}
	tallies := map[string]*tally{}
	of := func(team string) *tally {
		t := tallies[team]
		if t == nil {
			t = &tally{}
			t.guarantee, t.known = teams.Guarantee(team)
			t.full = !t.known || t.guarantee == (binpack.Vec{})
			tallies[team] = t
		}
		return t
	}
	one := len(block) == len(all) && (len(all) == 0 || &block[0] == &all[0])
	for _, j := range block {
		t := of(j.Spec().Team)
		if !j.FailsEverywhere() {
			t.jobs++
		}
		if one && !t.full && t.covers(j) {
			r.Within[j.ID] = true
		}
	}
	sum, number := teams.Total()
	for team, t := range tallies {
		r.Share[team] = fairShare(t, sum, number) / float64(max(t.jobs, 1))
	}
	if one {
		return r
	}
	for _, j := range all {
		if t := of(j.Spec().Team); !t.full && t.covers(j) {
			r.Within[j.ID] = true
		}
	}
	return r
}

// fairShare is a team's share of the whole: by guarantee where there are any, else equal.
func fairShare(t *tally, guaranteed int64, teams int) float64 {
	if guaranteed > 0 && t.known {
		return float64(t.guarantee[binpack.CPU]) / float64(guaranteed)
	}
	return 1 / float64(max(teams, 1))
}

// covers adds a job to its team's and reports whether it is still within the guarantee. Sums
// only grow: once one is not, no later one is.
func (t *tally) covers(j *jobs.Job) bool {
	s := j.Spec()
	left := s.Tasks - j.Finished()
	if j.FailsEverywhere() {
		left = j.Placed() // it takes nothing from those behind it
	}
	t.sum = t.sum.Add(s.Demand.Times(int64(left)))
	for i, g := range t.guarantee {
		if t.sum[i] > g && (g != 0 || i == binpack.CPU) {
			t.full = true
			return false
		}
	}
	return true
}
