// Package paper plays the setting of "Multi-Resource Packing for Cluster Schedulers": jobs
// of two stages on a fixed cluster, placed by the packer of package pack and by the
// schedulers that the paper holds it against, all of which stand behind the packer's
// interface. It repeats the paper's tables and sweeps. Nothing of it serves users.
package paper

import (
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/eventqueue"
)

// The resources, in thousandths. The packer's second one, which users' jobs take as GPUs,
// stands here for disk and network together, as a share of what a machine has of them.
const (
	cpu = iota
	io
	memory
)

// Stage is one stage of a job: tasks that need the same. It starts when the stage before
// it is done.
type Stage struct {
	Demand binpack.Vec
	Runs   []units.Microseconds // of each task, where nothing that it needs is over-allocated
}

// Job is a job of the workload.
type Job struct {
	Arrives  units.Microseconds
	Stages   []Stage
	Estimate float64 // what its owner takes its tasks' run times for, as a factor
}

// Policy is a scheduler.
type Policy struct {
	Name   string
	Fill   func(capacity, free binpack.Vec, jobs []binpack.Job, p binpack.Params, take func(int) bool)
	Params binpack.Params
	// See returns what it sees of a demand or a capacity: what it does not see it
	// over-allocates.
	See func(v binpack.Vec, capacity bool) binpack.Vec
	// Barrier is the share of a stage's tasks after which the rest is preferred (3.5); 0: never.
	Barrier float64
	OneBin  bool // sees the cluster as one machine: the paper's simple upper bound (2.2.3)
}

// Outcome is how a play ended.
type Outcome struct {
	Done     []units.Microseconds // of each job, from its arrival to its end
	Makespan units.Microseconds   // from the first arrival to the last end
}

type running struct {
	job   *jobState
	left  float64 // microseconds of undisturbed run time
	rate  float64 // at which these pass
	since units.Microseconds
	plan  int // of the end that counts
}

type machine struct {
	capacity, used binpack.Vec // as they are
	room, held     binpack.Vec // as the policy sees them: capacity, and what is taken of it
	tasks          []*running
	tight          bool // something is over-allocated
	freed          bool // a task has ended
}

type jobState struct {
	*Job
	index int
	stage int
	next  int // task of the stage
	done  int // of the stage
	held  binpack.Vec
	size  float64 // of a task of the stage, as the paper sums it up
	seen  binpack.Vec
	work  []float64 // normalised demand times seconds, of all tasks of the stages from each on
	per   []float64 // the same of a task
	left  float64   // of this stage
}

type event struct {
	job  *jobState // arrives; nil: a task ends
	m    *machine
	task *running
	plan int
}

// cluster is a play.
type cluster struct {
	policy   Policy
	machines []*machine
	total    binpack.Vec // as the policy sees it
	unit     binpack.Vec // a machine's capacity
	plans    eventqueue.Queue[event]
	active   []*jobState
	out      Outcome
	now      units.Microseconds
	left     int
	anew     bool // tasks that were not there before may start on any machine
}

// Run plays a workload under a policy.
func Run(p Policy, l Load) Outcome {
	n, capacity, jobs := l.Machines, l.Capacity, l.Jobs
	c := &cluster{policy: p, unit: capacity, left: len(jobs), out: Outcome{Done: make([]units.Microseconds, len(jobs))}}
	if p.OneBin {
		capacity, n = capacity.Times(int64(n)), 1
	}
	for range n {
		c.machines = append(c.machines, &machine{capacity: capacity, room: p.See(capacity, true)})
		c.total = c.total.Add(p.See(capacity, true))
	}
	first := units.MaxTime
	for i := range jobs {
		c.plans.Add(jobs[i].Arrives, event{job: c.state(i, &jobs[i])})
		first = min(first, jobs[i].Arrives)
	}
	for c.left > 0 {
		if c.now = c.plans.Next(); c.now == units.MaxTime {
			panic("paper: nothing is planned and jobs are left: a task fits no machine")
		}
		// What happens at one moment is seen together, as a machine reports all that has
		// ended there since its last report.
		for {
			_, e, ok := c.plans.Due(c.now)
			if !ok {
				break
			}
			switch {
			case e.job != nil:
				c.active = append(c.active, e.job)
				c.begin(e.job)
			case e.task.plan == e.plan:
				c.end(e.m, e.task)
			}
		}
		for _, m := range c.machines {
			if c.anew || m.freed {
				c.fill(m)
			}
			m.freed = false
		}
		c.anew = false
	}
	c.out.Makespan = c.now - first
	return c.out
}

func (c *cluster) state(i int, j *Job) *jobState {
	s := &jobState{Job: j, index: i, work: make([]float64, len(j.Stages)+1), per: make([]float64, len(j.Stages))}
	for k := len(j.Stages) - 1; k >= 0; k-- {
		st := j.Stages[k]
		var sum units.Microseconds
		for _, r := range st.Runs {
			sum += r
		}
		w := binpack.Size(c.unit, st.Demand) * sum.Seconds() * j.Estimate
		s.work[k] = s.work[k+1] + w
		s.per[k] = w / float64(len(st.Runs))
	}
	return s
}

// begin begins a job's stage.
func (c *cluster) begin(j *jobState) {
	st := j.Stages[j.stage]
	j.next, j.done = 0, 0
	j.left = j.work[j.stage] - j.work[j.stage+1]
	j.seen = c.policy.See(st.Demand, false)
	j.size = binpack.Size(c.unit, st.Demand)
	c.anew = true
}

// fill places tasks on a machine until the policy finds none that it would place there.
func (c *cluster) fill(m *machine) {
	for {
		free := m.room.Sub(m.held)
		var views []binpack.Job
		var jobs []*jobState
		for _, j := range c.active {
			st := &j.Stages[j.stage]
			if j.next == len(st.Runs) || !j.seen.Fits(free) {
				continue
			}
			tier := 0
			if b := c.policy.Barrier; b > 0 && float64(j.done) >= b*float64(len(st.Runs)) {
				tier = 1
			}
			views = append(views, binpack.Job{Demand: j.seen, Pending: len(st.Runs) - j.next, Tier: tier, Cached: true,
				// The packer multiplies it by the size of a task.
				Work:    (j.left + j.work[j.stage+1]) / max(j.size, 1e-9),
				Deficit: 1/float64(len(c.active)) - binpack.DominantShare(c.total, j.held)})
			jobs = append(jobs, j)
		}
		took := false
		c.policy.Fill(m.room, free, views, c.policy.Params, func(i int) bool {
			c.start(m, jobs[i])
			took = true
			return true
		})
		if !took {
			return
		}
	}
}

func (c *cluster) start(m *machine, j *jobState) {
	st := &j.Stages[j.stage]
	t := &running{job: j, left: float64(st.Runs[j.next]), since: c.now}
	j.next++
	j.held = j.held.Add(j.seen)
	m.held = m.held.Add(j.seen)
	m.used = m.used.Add(st.Demand)
	m.tasks = append(m.tasks, t)
	c.pace(m, t)
}

// pace has tasks of a machine run as fast as what they need is shared out: one that
// needs what is over-allocated gets its part of it. last began just now.
func (c *cluster) pace(m *machine, last *running) {
	var rates binpack.Vec // thousandths of what each asks for
	tight := false
	for r := range rates {
		rates[r] = 1000
		if r != memory && m.used[r] > m.capacity[r] { // no policy over-allocates memory
			rates[r] = 1000 * m.capacity[r] / m.used[r]
			tight = true
		}
	}
	if !tight && !m.tight {
		if last != nil {
			last.rate = 1
			c.plan(m, last)
		}
		return
	}
	m.tight = tight
	for _, t := range m.tasks {
		t.left = max(0, t.left-t.rate*float64(c.now-t.since))
		t.since, t.rate = c.now, 1
		for r, d := range t.job.Stages[t.job.stage].Demand {
			if d > 0 {
				t.rate = min(t.rate, float64(max(rates[r], 1))/1000)
			}
		}
		c.plan(m, t)
	}
}

func (c *cluster) plan(m *machine, t *running) {
	t.plan++
	c.plans.Add(c.now+units.Microseconds(t.left/t.rate)+1, event{m: m, task: t, plan: t.plan})
}

// end ends a task.
func (c *cluster) end(m *machine, t *running) {
	j := t.job
	st := &j.Stages[j.stage]
	m.tasks = slices.DeleteFunc(m.tasks, func(o *running) bool { return o == t })
	m.used = m.used.Sub(st.Demand)
	m.held = m.held.Sub(j.seen)
	j.held = j.held.Sub(j.seen)
	j.done++
	j.left -= j.per[j.stage]
	m.freed = true
	c.pace(m, nil)
	if j.done < len(st.Runs) {
		return
	}
	if j.stage++; j.stage < len(j.Stages) {
		c.begin(j)
		return
	}
	c.active = slices.DeleteFunc(c.active, func(o *jobState) bool { return o == j })
	c.out.Done[j.index] = c.now - j.Arrives
	c.left--
}
