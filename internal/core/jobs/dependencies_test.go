package jobs

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/units"
)

// graphModel is a graph's truth, by looking at everything each time.
type graphModel struct {
	dependencies map[string][]string
	own          map[string]Objectives
	stored       map[string]Status // final states that were stored
}

// cancelled reports whether a job is cancelled, by itself or through others.
func (p *graphModel) cancelled(id string) bool {
	return p.stored[id] == Cancelled || slices.ContainsFunc(p.dependencies[id], p.cancelled)
}

func (p *graphModel) open(id string) bool { return p.stored[id] == "" && !p.cancelled(id) }

func (p *graphModel) waits(id string) bool {
	return slices.ContainsFunc(p.dependencies[id], func(a string) bool { return p.stored[a] != Done })
}

// objectives is what is asked of a job, where each takes a second.
func (p *graphModel) objectives(id string) Objectives {
	out := p.own[id]
	for d, awaits := range p.dependencies {
		if slices.Contains(awaits, id) && p.open(d) {
			out.Tighten(p.objectives(d).Before(units.Second))
		}
	}
	return out
}

// graphMachine has a graph and its truth go through the same changes.
type graphMachine struct {
	graph       DependencyGraph
	truth       graphModel
	jobs        map[string]*Job
	ready       map[string]bool
	ids, unread []string
}

// TestDependencyGraph: whatever graph jobs form, in whatever order they are learnt and end, each is
// released exactly when all that it depends on are stored as done, cancelled exactly
// when any before it is, and is asked for what those that depend on it ask for.
func TestDependencyGraph(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &graphMachine{truth: graphModel{map[string][]string{}, map[string]Objectives{}, map[string]Status{}}, jobs: map[string]*Job{}, ready: map[string]bool{}}
		t.Repeat(map[string]func(*rapid.T){"accept": m.accept, "learn": m.learn, "end": m.end, "": m.check})
	})
}

func (m *graphMachine) accept(t *rapid.T) {
	id := fmt.Sprintf("wk-%06d", len(m.ids))
	if len(m.ids) > 0 {
		m.truth.dependencies[id] = rapid.SliceOfN(rapid.SampledFrom(m.ids), 0, 4).Draw(t, "awaits")
	}
	m.truth.own[id] = Objectives{Priority(rapid.IntRange(0, 3).Draw(t, "priority")), units.MaxTime, units.MaxTime}
	if rapid.Bool().Draw(t, "due") {
		m.truth.own[id] = Objectives{Low, units.Microseconds(rapid.IntRange(0, 100).Draw(t, "at")) * units.Second, units.MaxTime}
	}
	m.ids = append(m.ids, id)
	m.unread = append(m.unread, id)
}

func (m *graphMachine) learn(t *rapid.T) {
	if len(m.unread) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.unread)-1).Draw(t, "which")
	id := m.unread[i]
	m.unread = slices.Delete(m.unread, i, i+1)
	record := Record{Status: Pending, Tasks: 1, Spec: &Spec{Tasks: 1, Awaits: m.truth.dependencies[id]}}
	if status := m.truth.stored[id]; status != "" {
		record = Record{Status: status, Tasks: 1}
	}
	job := &Job{ID: id, Record: record}
	job.ClearPlacements()
	m.jobs[id] = job
	if !job.Active() {
		m.over(t, job)
		return
	}
	job.Objectives = m.truth.own[id]
	if by := m.graph.Link(job, m.jobs, 77); by != "" {
		job.Cancel(by)
		m.over(t, job)
	} else if job.OpenDependencies == 0 {
		m.ready[id] = true
	}
}

func (m *graphMachine) over(t *rapid.T, job *Job) {
	ready, cancelled := m.graph.JobOver(job, 77)
	for _, dependent := range ready {
		m.ready[dependent.ID] = true
	}
	for _, dependent := range cancelled {
		if dependent.CancelledBy == "" {
			t.Fatalf("%s is cancelled through nothing", dependent.ID)
		}
	}
}

func (m *graphMachine) end(t *rapid.T) {
	if len(m.ids) == 0 {
		t.Skip()
	}
	id := rapid.SampledFrom(m.ids).Draw(t, "which")
	status := Cancelled
	if !m.truth.waits(id) && rapid.Bool().Draw(t, "done") {
		status = Done
	}
	if !m.truth.open(id) {
		t.Skip()
	}
	m.truth.stored[id] = status
	if job := m.jobs[id]; job != nil && job.Active() {
		job.Finalize(Record{Status: status, Tasks: 1}, 1)
		m.over(t, job)
	}
}

// check compares all jobs, once all are read.
func (m *graphMachine) check(t *rapid.T) {
	if len(m.unread) > 0 {
		return
	}
	m.graph.Propagate(m.jobs, func(job *Job) Objectives { return m.truth.own[job.ID] }, func(*Job) units.Microseconds { return units.Second })
	for _, id := range m.ids {
		job := m.jobs[id]
		if job.Active() != m.truth.open(id) || (job.Record.Status == Cancelled) != m.truth.cancelled(id) {
			t.Fatalf("%s is %s", id, job.Record.Status)
		}
		if !job.Active() {
			continue
		}
		waits := m.truth.waits(id)
		awaited := slices.ContainsFunc(m.ids, func(other string) bool {
			return m.truth.open(other) && slices.Contains(m.truth.dependencies[other], id)
		})
		if m.ready[id] == waits || (job.OpenDependencies > 0) != waits || m.graph.HasDependents(id) != awaited {
			t.Fatalf("%s: ready %v, open dependencies %d, waits %v", id, m.ready[id], job.OpenDependencies, waits)
		}
		if job.Objectives != m.truth.objectives(id) {
			t.Fatalf("%s: objectives %+v, want %+v", id, job.Objectives, m.truth.objectives(id))
		}
	}
}

// A long chain and a wide fan end at once, without a stack as deep as the chain.
func TestLongChainAndWideFan(t *testing.T) {
	for name, awaits := range map[string]func(i int) []string{
		"chain": func(i int) []string { return []string{fmt.Sprint(i - 1)} },
		"fan":   func(int) []string { return []string{"0"} },
	} {
		const n = 50_000
		var graph DependencyGraph
		jobs := map[string]*Job{}
		for i := range n {
			j := &Job{ID: fmt.Sprint(i), Record: Record{Status: Pending, Tasks: 1, Spec: &Spec{Tasks: 1}}}
			if i > 0 {
				j.Record.Spec.Awaits = awaits(i)
			}
			j.ClearPlacements()
			jobs[j.ID] = j
			graph.Link(j, jobs, 1)
		}
		own := func(j *Job) Objectives {
			if j.ID == fmt.Sprint(n-1) {
				return Objectives{High, n * units.Second, units.MaxTime}
			}
			return Objectives{Low, units.MaxTime, units.MaxTime}
		}
		graph.Propagate(jobs, own, func(*Job) units.Microseconds { return 1 })
		if a := jobs["0"].Objectives; a.Priority != High || a.Due >= n*units.Second {
			t.Errorf("%s: %+v is asked of the first", name, a)
		}
		jobs["0"].Finalize(Record{Status: Cancelled}, 1)
		if _, off := graph.JobOver(jobs["0"], 1); len(off) != n-1 || graph.BlockedLen() != 0 {
			t.Errorf("%s: %d cancelled, %d wait", name, len(off), graph.BlockedLen())
		}
	}
}
