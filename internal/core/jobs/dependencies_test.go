package jobs

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/units"
)

// graphModel is the reference model of a dependency graph. It computes every answer from all jobs.
type graphModel struct {
	dependencies map[string][]string
	own          map[string]Objectives
	stored       map[string]Status // stored final states
}

// cancelled reports whether a job is cancelled, by itself or through a dependency.
func (model *graphModel) cancelled(id string) bool {
	return model.stored[id] == Cancelled || slices.ContainsFunc(model.dependencies[id], model.cancelled)
}

func (model *graphModel) active(id string) bool {
	return model.stored[id] == "" && !model.cancelled(id)
}

func (model *graphModel) waits(id string) bool {
	return slices.ContainsFunc(model.dependencies[id], func(a string) bool { return model.stored[a] != Done })
}

// objectives returns the objectives of a job, where each job takes one second.
func (model *graphModel) objectives(id string) Objectives {
	out := model.own[id]
	for dependent, awaits := range model.dependencies {
		if slices.Contains(awaits, id) && model.active(dependent) {
			out.Tighten(model.objectives(dependent).Before(units.Second))
		}
	}
	return out
}

// graphMachine applies the same changes to a dependency graph and to its model.
type graphMachine struct {
	graph       DependencyGraph
	model       graphModel
	jobs        map[string]*Job
	ready       map[string]bool
	ids, unseen []string
}

// TestDependencyGraph checks random graphs whose jobs become known and end in random order. Each job
// must be released exactly when all its dependencies are stored as done, be cancelled exactly when any
// direct or indirect dependency is cancelled, and get the objectives of its dependents.
func TestDependencyGraph(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &graphMachine{model: graphModel{map[string][]string{}, map[string]Objectives{}, map[string]Status{}}, jobs: map[string]*Job{}, ready: map[string]bool{}}
		t.Repeat(map[string]func(*rapid.T){"accept": m.accept, "learn": m.observe, "end": m.end, "": m.check})
	})
}

func (m *graphMachine) accept(t *rapid.T) {
	id := fmt.Sprintf("wk-%06d", len(m.ids))
	if len(m.ids) > 0 {
		m.model.dependencies[id] = rapid.SliceOfN(rapid.SampledFrom(m.ids), 0, 4).Draw(t, "awaits")
	}
	m.model.own[id] = Objectives{Priority(rapid.IntRange(0, 3).Draw(t, "priority")), units.MaxTime, units.MaxTime}
	if rapid.Bool().Draw(t, "due") {
		m.model.own[id] = Objectives{Low, units.Microseconds(rapid.IntRange(0, 100).Draw(t, "at")) * units.Second, units.MaxTime}
	}
	m.ids = append(m.ids, id)
	m.unseen = append(m.unseen, id)
}

func (m *graphMachine) observe(t *rapid.T) {
	if len(m.unseen) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.unseen)-1).Draw(t, "which")
	id := m.unseen[i]
	m.unseen = slices.Delete(m.unseen, i, i+1)
	record := Record{Status: Pending, Tasks: 1, Spec: &Spec{Tasks: 1, Awaits: m.model.dependencies[id]}}
	if status := m.model.stored[id]; status != "" {
		record = Record{Status: status, Tasks: 1}
	}
	job := &Job{ID: id, Record: record}
	job.ClearPlacements()
	m.jobs[id] = job
	if !job.Active() {
		m.over(t, job)
		return
	}
	job.Objectives = m.model.own[id]
	if by := m.graph.Link(job, m.jobs, 77); by != "" {
		job.Cancel(by)
		m.over(t, job)
	} else if job.OpenDependencies == 0 {
		m.ready[id] = true
	}
}

func (m *graphMachine) over(t *rapid.T, job *Job) {
	ready, cancelled := m.graph.JobFinalized(job, 77)
	for _, dependent := range ready {
		m.ready[dependent.ID] = true
	}
	for _, dependent := range cancelled {
		if dependent.CancelledBy == "" {
			t.Fatalf("%s is cancelled, but not through a dependency", dependent.ID)
		}
	}
}

func (m *graphMachine) end(t *rapid.T) {
	if len(m.ids) == 0 {
		t.Skip()
	}
	id := rapid.SampledFrom(m.ids).Draw(t, "which")
	status := Cancelled
	if !m.model.waits(id) && rapid.Bool().Draw(t, "done") {
		status = Done
	}
	if !m.model.active(id) {
		t.Skip()
	}
	m.model.stored[id] = status
	if job := m.jobs[id]; job != nil && job.Active() {
		job.Finalize(Record{Status: status, Tasks: 1}, 1)
		m.over(t, job)
	}
}

// check compares all jobs with the model once all are known to the graph.
func (m *graphMachine) check(t *rapid.T) {
	if len(m.unseen) > 0 {
		return
	}
	m.graph.Propagate(m.jobs, func(job *Job) Objectives { return m.model.own[job.ID] }, func(*Job) units.Microseconds { return units.Second })
	for _, id := range m.ids {
		job := m.jobs[id]
		if job.Active() != m.model.active(id) || (job.Record.Status == Cancelled) != m.model.cancelled(id) {
			t.Fatalf("%s is %s", id, job.Record.Status)
		}
		if !job.Active() {
			continue
		}
		waits := m.model.waits(id)
		awaited := slices.ContainsFunc(m.ids, func(other string) bool {
			return m.model.active(other) && slices.Contains(m.model.dependencies[other], id)
		})
		if m.ready[id] == waits || (job.OpenDependencies > 0) != waits || m.graph.HasDependents(id) != awaited {
			t.Fatalf("%s: ready %v, open dependencies %d, waits %v", id, m.ready[id], job.OpenDependencies, waits)
		}
		if job.Objectives != m.model.objectives(id) {
			t.Fatalf("%s: objectives %+v, want %+v", id, job.Objectives, m.model.objectives(id))
		}
	}
}

// TestLongChainAndWideFan guards against recursion as deep as a chain of dependencies:
// 50,000 jobs in one chain, or that all depend on one job, are cancelled at once.
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
			t.Errorf("%s: objectives of the first job are %+v", name, a)
		}
		jobs["0"].Finalize(Record{Status: Cancelled}, 1)
		if _, cancelled := graph.JobFinalized(jobs["0"], 1); len(cancelled) != n-1 || graph.BlockedLen() != 0 {
			t.Errorf("%s: %d cancelled, %d wait", name, len(cancelled), graph.BlockedLen())
		}
	}
}
