// Package meter measures a play: what its users waited for, what was spent, and where
// the rented time went. Like the checker it goes by what machines and users did, and
// believes no controller. It is pure.
package meter

import (
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/user"
)

// Figures are a play's, by name; see Names.
type Figures map[string]float64

// Measure is a figure's name, what it says, and whether more of it is better.
type Measure struct {
	Name, About string
	More        bool
}

// Measures lists the figures that every play has. Times are in seconds, from the first
// attempt to submit, or from when the last awaited job was done.
var Measures = []Measure{
	{"wait_mean_s", "until a job's first task began, on average", false},
	{"wait_p95_s", "the same, 95% of jobs", false},
	{"wait_p99_s", "the same, 99% of jobs", false},
	{"done_mean_s", "until a job's last task had completed, on average", false},
	{"done_p95_s", "the same, 95% of jobs", false},
	{"done_p99_s", "the same, 99% of jobs", false},
	{"makespan_s", "from the first submission to the last task's completion", false},
	{"deadline", "share of jobs with a deadline that kept it", true},
	{"unfinished", "accepted arrays, not cancelled, of which a task has not completed", false},
	{"submit_p95_ms", "answer to a submission, 95%", false},
	{"submit_p99_ms", "the same, 99%", false},
	{"refused", "share of submissions, polls and cancellations without a 200, 201 or 404", false},
	{"useful", "share of the rented CPU time that was spent on tasks that completed", true},
	{"price", "money for what the useful work costs at the cheapest price", false},
	{"money", "spent, in the price list's units", false},
	{"boot_share", "share of the rented CPU time in which machines booted", false},
	{"fetch_share", "the same of tasks that waited for their image", false},
	{"idle_share", "the same of CPUs that nothing was placed on", false},
	{"wasted_share", "the same of tasks that did not complete", false},
	{"stops", "tasks that began and did not complete", false},
}

// Sample is what there is at a moment, in CPUs; of waiting jobs, their number.
type Sample struct {
	AtS      float64 `json:"at_s"`
	Rented   float64 `json:"rented"`
	Booting  float64 `json:"booting"`
	Fetching float64 `json:"fetching"`
	Running  float64 `json:"running"`
	Waiting  int     `json:"waiting_jobs"`
}

type job struct {
	*user.Job
	began, ended units.Microseconds // first task's start, last task's end; 0: not yet
	ready        units.Microseconds
	done         int
	asked        bool // to be cancelled, itself or one that it awaits
}

type place struct {
	machine string
	task    jobs.TaskID
}

// Meter keeps what is measured. Its memory grows with the jobs.
type Meter struct {
	jobs    map[string]*job
	order   []*job
	on      map[place]units.Microseconds // since when a task is on a machine
	useful  float64                      // CPU seconds
	wasted  float64
	stops   int
	submits []float64 // milliseconds
	calls   int
	refused int
	first   units.Microseconds
	last    units.Microseconds
	waiting int
	sums    Sample // integrals, in CPU seconds
	at      units.Microseconds
	series  []Sample
}

// New returns a meter that has seen nothing.
func New() *Meter {
	return &Meter{jobs: map[string]*job{}, on: map[place]units.Microseconds{}, first: -1}
}

// SubmissionStarted says that a job's user begins to submit it.
func (m *Meter) SubmissionStarted(at units.Microseconds, j *user.Job) {
	k := &job{Job: j, ready: at}
	m.jobs[j.ID] = k
	m.order = append(m.order, k)
	m.waiting++
	if m.first < 0 {
		m.first = at
	}
}

// CancelRequested says that a job's user has asked to cancel it: what becomes of it is not measured.
func (m *Meter) CancelRequested(id string) {
	if j := m.jobs[id]; j != nil && !j.asked {
		j.asked = true
		if j.began == 0 {
			m.waiting--
		}
	}
}

// CallFinished says what a user was told, and how long that took.
func (m *Meter) CallFinished(t user.CallFinished) {
	m.calls++
	if t.Code != 200 && t.Code != 201 && t.Code != 404 {
		m.refused++
	}
	if t.Kind == user.Submit && t.Code == 201 {
		m.submits = append(m.submits, float64(t.Took)/1000)
	}
}

// TaskStarted says that a task is on a machine, with its image.
func (m *Meter) TaskStarted(at units.Microseconds, machine string, id jobs.TaskID) {
	m.on[place{machine, id}] = at
	if j := m.jobs[id.Job]; j != nil && j.began == 0 {
		j.began = max(at, 1)
		for _, a := range j.Awaits {
			if o := m.jobs[a.ID]; o != nil {
				j.ready = max(j.ready, o.ended)
			}
		}
		if !j.asked {
			m.waiting--
		}
	}
}

// TaskEnded says that a task is no longer on a machine, and whether it completed.
func (m *Meter) TaskEnded(at units.Microseconds, machine string, id jobs.TaskID, completed bool) {
	p := place{machine, id}
	since, there := m.on[p]
	j := m.jobs[id.Job]
	if !there || j == nil {
		return
	}
	delete(m.on, p)
	cpu := float64(j.Spec.Demand[binpack.CPU]) / 1000
	if !completed {
		if !j.Spec.Service {
			m.stops++
			m.wasted += cpu * (at - since).Seconds()
		}
		return
	}
	// A task that goes on from a checkpoint has done all of it, though not here.
	m.useful += cpu * j.RunOf(id.Task).Seconds()
	m.last = at
	if j.done++; j.done == j.Spec.Tasks {
		j.ended = max(at, 1)
	}
}

// AddSample takes what there is at a moment.
func (m *Meter) AddSample(s Sample) {
	at := units.Seconds(s.AtS)
	d := (at - m.at).Seconds()
	m.at = at
	m.sums.Rented += s.Rented * d
	m.sums.Booting += s.Booting * d
	m.sums.Fetching += s.Fetching * d
	m.sums.Running += s.Running * d
	s.Waiting = m.waiting
	m.series = append(m.series, s)
}

// Series returns all moments that were looked at.
func (m *Meter) Series() []Sample { return m.series }

// quantile returns the value that a share of all does not exceed; 0 without any.
func quantile(v []float64, share float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return stat.Quantile(share, stat.Empirical, v, nil)
}

func mean(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	return stat.Mean(v, nil)
}

// counts reports whether what became of a job is measured: it was accepted, and neither it
// nor one that it awaits was to be cancelled. Those that are awaited come first.
func (m *Meter) counts(j *job) bool {
	for _, a := range j.Awaits {
		if o := m.jobs[a.ID]; o == nil || o.asked {
			m.CancelRequested(j.ID)
		}
	}
	return j.Accepted && !j.asked
}

// Times returns each job's time to its first task and to its end, in seconds, sorted. What
// has not begun, or ended, counts up to the end of the play.
func (m *Meter) Times(end units.Microseconds) (waits, dones []float64) {
	for _, j := range m.order {
		if !m.counts(j) {
			continue
		}
		began := j.began
		if began == 0 {
			began = end
		}
		waits = append(waits, max(0, (began-j.ready).Seconds()))
		if j.Spec.Service {
			continue
		}
		ended := j.ended
		if ended == 0 {
			ended = end
		}
		dones = append(dones, max(0, (ended-j.ready).Seconds()))
	}
	slices.Sort(waits)
	slices.Sort(dones)
	return waits, dones
}

// Figures returns what was measured by the end: money that was spent, and the cheapest
// price of a CPU for an hour that there is.
func (m *Meter) Figures(end units.Microseconds, money, cheapest float64) Figures {
	waits, dones := m.Times(end)
	kept, due, unfinished := 0, 0, 0
	for _, j := range m.order {
		if !m.counts(j) || j.Spec.Service {
			continue
		}
		if j.ended == 0 {
			unfinished++
		}
		if d := j.Spec.Deadline; d > 0 {
			due++
			if j.ended > 0 && j.ended <= j.At+d {
				kept++
			}
		}
	}
	share := func(a, b float64) float64 {
		if b <= 0 {
			return 0
		}
		return a / b
	}
	f := Figures{
		"wait_mean_s": mean(waits), "wait_p95_s": quantile(waits, 0.95), "wait_p99_s": quantile(waits, 0.99),
		"done_mean_s": mean(dones), "done_p95_s": quantile(dones, 0.95), "done_p99_s": quantile(dones, 0.99),
		"makespan_s": max(0, (m.last - max(m.first, 0)).Seconds()),
		"unfinished": float64(unfinished), "submit_p95_ms": quantile(m.submits, 0.95), "submit_p99_ms": quantile(m.submits, 0.99),
		"refused": share(float64(m.refused), float64(m.calls)),
		"useful":  share(m.useful, m.sums.Rented), "price": share(money, m.useful*cheapest/3600), "money": money,
		"boot_share": share(m.sums.Booting, m.sums.Rented), "fetch_share": share(m.sums.Fetching, m.sums.Rented),
		"idle_share":   share(m.sums.Rented-m.sums.Booting-m.sums.Fetching-m.sums.Running, m.sums.Rented),
		"wasted_share": share(m.wasted, m.sums.Rented), "stops": float64(m.stops),
	}
	if due > 0 { // of no job, a share says nothing
		f["deadline"] = float64(kept) / float64(due)
	}
	maps.DeleteFunc(f, func(_ string, v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) })
	return f
}
