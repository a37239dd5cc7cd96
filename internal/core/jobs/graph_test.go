package jobs

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/units"
)

// plain is a graph's truth, by looking at everything each time.
type plain struct {
	awaits map[string][]string
	own    map[string]Objectives
	stored map[string]Status // final states that were stored
}

// off reports whether a job is cancelled, by itself or through others.
func (p *plain) off(id string) bool {
	return p.stored[id] == Cancelled || slices.ContainsFunc(p.awaits[id], p.off)
}

func (p *plain) open(id string) bool { return p.stored[id] == "" && !p.off(id) }

func (p *plain) waits(id string) bool {
	return slices.ContainsFunc(p.awaits[id], func(a string) bool { return p.stored[a] != Done })
}

// aims is what is asked of a job, where each takes a second.
func (p *plain) aims(id string) Objectives {
	out := p.own[id]
	for d, awaits := range p.awaits {
		if slices.Contains(awaits, id) && p.open(d) {
			out.Tighten(p.aims(d).Before(units.Second))
		}
	}
	return out
}

// Whatever graph jobs form, in whatever order they are learnt and end, each is
// released exactly when all that it awaits are stored as done, cancelled exactly
// when any before it is, and is asked for what those that need it ask for.
func TestGraph(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g DependencyGraph
		p := &plain{map[string][]string{}, map[string]Objectives{}, map[string]Status{}}
		jobs := map[string]*Job{}
		ready := map[string]bool{}
		var ids, unread []string
		final := func(j *Job) {
			r, off := g.JobOver(j, 77)
			for _, d := range r {
				ready[d.ID] = true
			}
			for _, d := range off {
				if d.CancelledBy == "" {
					t.Fatalf("%s is cancelled through nothing", d.ID)
				}
			}
		}
		learn := func(id string) {
			r := Record{Status: Pending, Tasks: 1, Spec: &Spec{Tasks: 1, Awaits: p.awaits[id]}}
			if s := p.stored[id]; s != "" {
				r = Record{Status: s, Tasks: 1}
			}
			j := &Job{ID: id, Record: r}
			j.Clear()
			jobs[id] = j
			if !j.Active() {
				final(j)
				return
			}
			j.Objectives = p.own[id]
			if by := g.Link(j, jobs, 77); by != "" {
				j.Cancel(by)
				final(j)
			} else if j.OpenDependencies == 0 {
				ready[id] = true
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				id := fmt.Sprintf("wk-%06d", len(ids))
				if len(ids) > 0 {
					p.awaits[id] = rapid.SliceOfN(rapid.SampledFrom(ids), 0, 4).Draw(t, "awaits")
				}
				p.own[id] = Objectives{Priority(rapid.IntRange(0, 3).Draw(t, "priority")), units.Never, units.Never}
				if rapid.Bool().Draw(t, "due") {
					p.own[id] = Objectives{Low, units.Microseconds(rapid.IntRange(0, 100).Draw(t, "at")) * units.Second, units.Never}
				}
				ids = append(ids, id)
				unread = append(unread, id)
			},
			"learn": func(t *rapid.T) {
				if len(unread) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(unread)-1).Draw(t, "which")
				id := unread[i]
				unread = slices.Delete(unread, i, i+1)
				learn(id)
			},
			"end": func(t *rapid.T) {
				if len(ids) == 0 {
					t.Skip()
				}
				id := rapid.SampledFrom(ids).Draw(t, "which")
				s := Cancelled
				if !p.waits(id) && rapid.Bool().Draw(t, "done") {
					s = Done
				}
				if !p.open(id) {
					t.Skip()
				}
				p.stored[id] = s
				if j := jobs[id]; j != nil && j.Active() {
					j.Settle(Record{Status: s, Tasks: 1}, 1)
					final(j)
				}
			},
			"": func(t *rapid.T) {
				if len(unread) > 0 {
					return
				}
				g.Propagate(jobs, func(j *Job) Objectives { return p.own[j.ID] }, func(*Job) units.Microseconds { return units.Second })
				for _, id := range ids {
					j := jobs[id]
					if j.Active() != p.open(id) || (j.Record.Status == Cancelled) != p.off(id) {
						t.Fatalf("%s is %s", id, j.Record.Status)
					}
					if !j.Active() {
						continue
					}
					if ready[id] == p.waits(id) || (j.OpenDependencies > 0) != p.waits(id) || g.Awaited(id) != slices.ContainsFunc(ids, func(d string) bool {
						return p.open(d) && slices.Contains(p.awaits[d], id)
					}) {
						t.Fatalf("%s: ready %v, awaiting %d, waits %v", id, ready[id], j.OpenDependencies, p.waits(id))
					}
					if j.Objectives != p.aims(id) {
						t.Fatalf("%s: aims %+v, want %+v", id, j.Objectives, p.aims(id))
					}
				}
			},
		})
	})
}

// A long chain and a wide fan end at once, without a stack as deep as the chain.
func TestLongChainAndWideFan(t *testing.T) {
	for name, awaits := range map[string]func(i int) []string{
		"chain": func(i int) []string { return []string{fmt.Sprint(i - 1)} },
		"fan":   func(int) []string { return []string{"0"} },
	} {
		const n = 50_000
		var g DependencyGraph
		jobs := map[string]*Job{}
		for i := range n {
			j := &Job{ID: fmt.Sprint(i), Record: Record{Status: Pending, Tasks: 1, Spec: &Spec{Tasks: 1}}}
			if i > 0 {
				j.Record.Spec.Awaits = awaits(i)
			}
			j.Clear()
			jobs[j.ID] = j
			g.Link(j, jobs, 1)
		}
		own := func(j *Job) Objectives {
			if j.ID == fmt.Sprint(n-1) {
				return Objectives{High, n * units.Second, units.Never}
			}
			return Objectives{Low, units.Never, units.Never}
		}
		g.Propagate(jobs, own, func(*Job) units.Microseconds { return 1 })
		if a := jobs["0"].Objectives; a.Priority != High || a.Due >= n*units.Second {
			t.Errorf("%s: %+v is asked of the first", name, a)
		}
		jobs["0"].Settle(Record{Status: Cancelled}, 1)
		if _, off := g.JobOver(jobs["0"], 1); len(off) != n-1 || g.Waiting() != 0 {
			t.Errorf("%s: %d cancelled, %d wait", name, len(off), g.Waiting())
		}
	}
}
