package scalerun

import (
	"net/http"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/user"
)

// longest is what a histogram holds at most, in microseconds.
const longest = 600_000_000

func newHist() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, 3) }

func record(h *hdrhistogram.Histogram, took units.Microseconds) {
	_ = h.RecordValue(min(max(int64(took), 1), longest)) // within what it holds
}

// Calls counts users' calls of one side: those of users in the region, or of users abroad.
type Calls struct {
	OK   int `json:"ok"`
	Shed int `json:"shed"` // 429 and 503: come back later
	None int `json:"none"` // no answer in time, or none that users understand
}

func (c *Calls) add(code int) {
	switch code {
	case http.StatusOK, http.StatusCreated, http.StatusNotFound:
		c.OK++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.Shed++
	default:
		c.None++
	}
}

// Counts are what happened in a region in a phase.
type Counts struct {
	Starts    int   `json:"starts"`
	Completed int   `json:"completed"`
	Submitted int   `json:"submitted"` // jobs
	Accepted  int   `json:"accepted"`
	Cancelled int   `json:"cancelled"`
	Home      Calls `json:"home"`
	Abroad    Calls `json:"abroad"`

	// Microseconds. Urgent: from a job's first attempt to submit until its first task is on
	// a machine. Submission: of one call until its answer. Acceptance: from the first attempt
	// until a job is accepted. Only jobs of the region's own users count.
	urgent, submission, acceptance *hdrhistogram.Histogram
}

func newCounts() *Counts {
	return &Counts{urgent: newHist(), submission: newHist(), acceptance: newHist()}
}

func (c *Counts) merge(o *Counts) {
	c.Starts, c.Completed = c.Starts+o.Starts, c.Completed+o.Completed
	c.Submitted, c.Accepted, c.Cancelled = c.Submitted+o.Submitted, c.Accepted+o.Accepted, c.Cancelled+o.Cancelled
	for _, p := range []struct{ into, of *Calls }{{&c.Home, &o.Home}, {&c.Abroad, &o.Abroad}} {
		p.into.OK, p.into.Shed, p.into.None = p.into.OK+p.of.OK, p.into.Shed+p.of.Shed, p.into.None+p.of.None
	}
	c.urgent.Merge(o.urgent)
	c.submission.Merge(o.submission)
	c.acceptance.Merge(o.acceptance)
}

// waiting is a job of which something is still to be seen.
type waiting struct {
	class    string
	phase    int
	first    units.Microseconds // of the first attempt to submit
	began    bool
	accepted bool
}

// observer counts what happens in one region. It implements launch.Observer.
type observer struct {
	mu      sync.Mutex
	phase   int
	counts  []*Counts // by phase
	jobs    map[string]*waiting
	running map[jobs.TaskID]string // machines
}

func newObserver(phases int) *observer {
	o := &observer{jobs: map[string]*waiting{}, running: map[jobs.TaskID]string{}}
	for range phases {
		o.counts = append(o.counts, newCounts())
	}
	return o
}

// enter says that a phase begins.
func (o *observer) enter(phase int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.phase = phase
}

// state returns how many tasks are on machines, and how many were started and completed in
// all phases together.
func (o *observer) state() (running, starts, completed int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.counts {
		starts, completed = starts+c.Starts, completed+c.Completed
	}
	return len(o.running), starts, completed
}

// Began implements launch.Observer.
func (o *observer) Began(at units.Microseconds, m check.Machine, id jobs.TaskID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[o.phase].Starts++
	o.running[id] = m.Name
	j := o.jobs[id.Job]
	if j == nil || j.began {
		return
	}
	j.began = true
	if j.class == ClassUrgent {
		record(o.counts[j.phase].urgent, at-j.first)
	}
	o.forget(id.Job, j)
}

// Ended implements launch.Observer.
func (o *observer) Ended(_ units.Microseconds, m check.Machine, id jobs.TaskID, completed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if completed {
		o.counts[o.phase].Completed++
	}
	if o.running[id] == m.Name {
		delete(o.running, id)
	}
}

// User implements launch.Observer.
func (o *observer) User(at units.Microseconds, e any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch e := e.(type) {
	case user.SubmissionStarted:
		o.jobs[e.Job.ID] = &waiting{class: e.Job.Spec.Class, phase: o.phase, first: at}
		o.counts[o.phase].Submitted++
	case user.CallFinished:
		o.told(at, e)
	}
}

func (o *observer) told(at units.Microseconds, e user.CallFinished) {
	c := o.counts[o.phase]
	if isAbroad(e.ID) {
		c.Abroad.add(e.Code)
	} else {
		c.Home.add(e.Code)
	}
	good := e.Code == http.StatusOK || e.Code == http.StatusCreated
	switch {
	case e.Kind == user.Cancel && good:
		c.Cancelled++
	case e.Kind == user.Submit && good:
		o.accepted(at, e)
	}
}

func (o *observer) accepted(at units.Microseconds, e user.CallFinished) {
	j := o.jobs[e.ID]
	if j == nil || j.accepted {
		return
	}
	j.accepted = true
	c := o.counts[j.phase]
	c.Accepted++
	if j.class != ClassAbroad {
		record(o.counts[o.phase].submission, e.Took)
		record(c.acceptance, at-j.first)
	}
	o.forget(e.ID, j)
}

// forget drops a job of which all is seen.
func (o *observer) forget(id string, j *waiting) {
	if j.began && j.accepted {
		delete(o.jobs, id)
	}
}
