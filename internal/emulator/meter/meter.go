// Package meter measures a run: how long users waited, what was spent, and how the time of the machines
// was used. Like package check it is based on what machines and users did, not on what controllers
// report. It does no I/O.
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

// Figures holds the figures of a run by name; see Measures.
type Figures map[string]float64

// Measure is the name of a figure, its description, and whether a higher value is better.
type Measure struct {
	Name, About string
	More        bool
}

// Measures lists the figures of every run. Times are in seconds, or in milliseconds if the name ends in
// _ms. A job's times until its start and completion count from the first attempt to submit it, or from
// the completion of the last job that it awaits, whichever is later.
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

// Sample is the state at a time: numbers of CPUs, and the number of waiting jobs.
type Sample struct {
	AtS      float64 `json:"at_s"`
	Rented   float64 `json:"rented"`
	Booting  float64 `json:"booting"`
	Fetching float64 `json:"fetching"`
	Running  float64 `json:"running"`
	Waiting  int     `json:"waiting_jobs"`
}

// job is a job and its measured times.
type job struct {
	*user.Job
	startedAt, completedAt units.Microseconds // start of the first task, completion of the last; 0: not yet
	readyAt                units.Microseconds
	completedTasks         int
	cancelled              bool // its cancellation, or that of a job that it awaits, was requested
}

// runningTask is a task on a machine.
type runningTask struct {
	machine string
	task    jobs.TaskID
}

// Meter collects the measurements of a run. Its memory grows with the number of jobs.
type Meter struct {
	jobs    map[string]*job
	order   []*job
	running map[runningTask]units.Microseconds // start times of the running tasks
	useful  float64                            // CPU seconds
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

// New returns a meter without measurements.
func New() *Meter {
	return &Meter{jobs: map[string]*job{}, running: map[runningTask]units.Microseconds{}, first: -1}
}

// SubmissionStarted records that a user starts to submit a job.
func (m *Meter) SubmissionStarted(at units.Microseconds, j *user.Job) {
	measured := &job{Job: j, readyAt: at}
	m.jobs[j.ID] = measured
	m.order = append(m.order, measured)
	m.waiting++
	if m.first < 0 {
		m.first = at
	}
}

// CancelRequested records that a user has requested the cancellation of a job, which is then not
// measured.
func (m *Meter) CancelRequested(id string) {
	if j := m.jobs[id]; j != nil && !j.cancelled {
		j.cancelled = true
		if j.startedAt == 0 {
			m.waiting--
		}
	}
}

// CallFinished records the reply to a call and how long the call took.
func (m *Meter) CallFinished(t user.CallFinished) {
	m.calls++
	if t.Code != 200 && t.Code != 201 && t.Code != 404 {
		m.refused++
	}
	if t.Kind == user.Submit && t.Code == 201 {
		m.submits = append(m.submits, float64(t.Took)/1000)
	}
}

// TaskStarted records that a task runs on a machine, with its image fetched.
func (m *Meter) TaskStarted(at units.Microseconds, machine string, id jobs.TaskID) {
	m.running[runningTask{machine, id}] = at
	if j := m.jobs[id.Job]; j != nil && j.startedAt == 0 {
		j.startedAt = max(at, 1)
		for _, a := range j.Awaits {
			if o := m.jobs[a.ID]; o != nil {
				j.readyAt = max(j.readyAt, o.completedAt)
			}
		}
		if !j.cancelled {
			m.waiting--
		}
	}
}

// TaskEnded records that a task no longer runs on a machine, and whether it completed.
func (m *Meter) TaskEnded(at units.Microseconds, machine string, id jobs.TaskID, completed bool) {
	p := runningTask{machine, id}
	since, ok := m.running[p]
	owner := m.jobs[id.Job]
	if !ok || owner == nil {
		return
	}
	delete(m.running, p)
	cpu := float64(owner.Spec.Demand[binpack.CPU]) / 1000
	if !completed {
		if !owner.Spec.Service {
			m.stops++
			m.wasted += cpu * (at - since).Seconds()
		}
		return
	}
	// A task that resumed from a checkpoint counts with its whole run time, including that on
	// other machines.
	m.useful += cpu * owner.RunOf(id.Task).Seconds()
	m.last = at
	if owner.completedTasks++; owner.completedTasks == owner.Spec.Tasks {
		owner.completedAt = max(at, 1)
	}
}

// AddSample adds a sample. It replaces the sample's number of waiting jobs by its own count.
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

// Series returns all samples.
func (m *Meter) Series() []Sample { return m.series }

// quantile returns the empirical quantile of the values for a share, 0 without values. It sorts the
// values.
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

// isMeasured reports whether a job is measured: it was accepted, and no cancellation was requested of
// it or of a job that it awaits. It marks a job that awaits a cancelled one as cancelled, too, so call it
// in the order of submission, in which awaited jobs come first.
func (m *Meter) isMeasured(j *job) bool {
	for _, a := range j.Awaits {
		if o := m.jobs[a.ID]; o == nil || o.cancelled {
			m.CancelRequested(j.ID)
		}
	}
	return j.Accepted && !j.cancelled
}

// Times returns the times of all measured jobs until their first task started, and of those that are
// not services until their last task completed, in seconds, sorted. A job that has not started, or not
// completed, counts up to end.
func (m *Meter) Times(end units.Microseconds) (waits, dones []float64) {
	for _, measured := range m.order {
		if !m.isMeasured(measured) {
			continue
		}
		startedAt := measured.startedAt
		if startedAt == 0 {
			startedAt = end
		}
		waits = append(waits, max(0, (startedAt-measured.readyAt).Seconds()))
		if measured.Spec.Service {
			continue
		}
		completedAt := measured.completedAt
		if completedAt == 0 {
			completedAt = end
		}
		dones = append(dones, max(0, (completedAt-measured.readyAt).Seconds()))
	}
	slices.Sort(waits)
	slices.Sort(dones)
	return waits, dones
}

// Figures returns the figures of a run that ended at end. money is the money spent, cheapest the lowest
// price of a CPU per hour.
func (m *Meter) Figures(end units.Microseconds, money, cheapest float64) Figures {
	waits, dones := m.Times(end)
	kept, due, unfinished := 0, 0, 0
	for _, j := range m.order {
		if !m.isMeasured(j) || j.Spec.Service {
			continue
		}
		if j.completedAt == 0 {
			unfinished++
		}
		if d := j.Spec.Deadline; d > 0 {
			due++
			if j.completedAt > 0 && j.completedAt <= j.At+d {
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
	figures := Figures{
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
	if due > 0 { // without a job with a deadline there is no share
		figures["deadline"] = float64(kept) / float64(due)
	}
	maps.DeleteFunc(figures, func(_ string, v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) })
	return figures
}
