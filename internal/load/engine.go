package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shalestage.example/shalestage/internal/client"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/eventqueue"
)

// Target is whom the load asks.
type Target interface {
	Submit(ctx context.Context, id string, spec *jobs.Spec) (client.Reply, error)
	Poll(ctx context.Context, id string) (client.Reply, error)
	Cancel(ctx context.Context, id string) (client.Reply, error)
}

// What users wait and how they repeat, by the protocol.
const (
	submitWait = 5 * time.Second
	pollWait   = 2 * time.Second
	retryFor   = 60 * units.Second
	maxPause   = 30 * units.Second
)

// Cell counts the calls of a kind in a phase. Of those that were answered as they should
// be it has the latencies.
type Cell struct {
	Phase   string                  `json:"phase"`
	Kind    Kind                    `json:"kind"`
	Sent    int                     `json:"sent"`
	OK      int                     `json:"ok"`
	Shed    int                     `json:"shed"`    // 429 and 503: come back later
	Refused int                     `json:"refused"` // 400 and 422
	Wrong   int                     `json:"wrong"`   // 404 of a job that was accepted, 200 of one that nobody submitted
	None    int                     `json:"none"`    // no answer in time, or anything else
	Dropped int                     `json:"dropped"` // not sent, as too many were under way
	Hist    *hdrhistogram.Histogram `json:"-"`       // microseconds
}

// Second is one second of a load.
type Second struct {
	Sent, OK, Shed, None int
	P50, P99             float64 // milliseconds, of those that were answered as they should be
}

// Result is how a load went.
type Result struct {
	Cells   []Cell
	Seconds []Second
	Reasons map[string]int // what refusals said, how often
	TookS   float64
}

type call struct {
	due
	id    string
	spec  *jobs.Spec
	first units.Microseconds // of a submission's first attempt
}

type answer struct {
	call
	at    units.Microseconds
	reply client.Reply
	err   error
}

type job struct {
	id    string
	final bool
}

// engine owns all that is known while a load goes on; calls run in goroutines of their
// own and come back as answers.
type engine struct {
	f       *File
	target  Target
	rng     *rand.Rand
	began   time.Time
	now     units.Microseconds
	later   eventqueue.Queue[call]
	answers chan answer
	open    int
	jobs    []*job
	byID    map[string]*job
	cells   map[int]map[Kind]*Cell
	seconds []Second
	second  *hdrhistogram.Histogram
	reasons map[string]int
	ids     func(n int) string
	n       int
	specs   []*jobs.Spec
}

// newHist holds up to two minutes with three digits.
func newHist() *hdrhistogram.Histogram { return hdrhistogram.New(1, 120_000_000, 3) }

// Planned is a submission that a load will make.
type Planned struct {
	ID    string
	Class int // which of the file's jobs
}

// Planned returns all submissions, in order, for whoever has to know their descriptions
// before.
func (f *File) Planned(ids func(n int) string) (out []Planned) {
	for _, d := range f.plan() {
		if d.kind == Submit {
			out = append(out, Planned{ids(len(out)), d.class})
		}
	}
	return out
}

// Watch makes the load and reads the figures of processes meanwhile.
func (f *File) Watch(ctx context.Context, target Target, ids func(n int) string, list []Watched) (Result, []Reading, error) {
	reading, stop := context.WithCancel(ctx)
	defer stop()
	w := watch(reading, time.Now(), list)
	r, err := f.Run(ctx, target, ids)
	return r, w.readings(), err
}

// Run makes the load. ids names the n-th job.
func (f *File) Run(ctx context.Context, target Target, ids func(n int) string) (Result, error) {
	e := &engine{f: f, target: target, rng: rand.New(rand.NewPCG(f.Seed, 2)), began: time.Now(), answers: make(chan answer, 1024),
		byID: map[string]*job{}, cells: map[int]map[Kind]*Cell{}, second: newHist(), reasons: map[string]int{}, ids: ids}
	for _, j := range f.Jobs {
		e.specs = append(e.specs, j.Spec())
	}
	err := e.run(ctx)
	r := Result{Seconds: e.seconds, Reasons: e.reasons, TookS: time.Since(e.began).Seconds()}
	for i, p := range f.Phases {
		for _, k := range []Kind{Submit, Retry, Accepted, Poll, Stranger, Follow, Cancel} {
			if c := e.cells[i][k]; c != nil {
				c.Phase = p.Name
				r.Cells = append(r.Cells, *c)
			}
		}
	}
	return r, err
}

func (e *engine) clock() units.Microseconds {
	return units.Microseconds(time.Since(e.began).Microseconds())
}

func (e *engine) run(ctx context.Context) error {
	plan := e.f.plan()
	end := units.Microseconds(0)
	for _, p := range e.f.Phases {
		end += units.Seconds(p.ForS)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	i := 0
	for {
		e.now = e.clock()
		e.tick()
		for i < len(plan) && plan[i].at <= e.now {
			e.make(ctx, e.rated(plan[i]))
			i++
		}
		for e.now < end {
			_, c, ok := e.later.Due(e.now)
			if !ok {
				break
			}
			e.make(ctx, c)
		}
		if e.now >= end && i == len(plan) && e.open == 0 {
			return nil
		}
		next := e.now + units.Second - e.now%units.Second // for the figures of each second
		if i < len(plan) {
			next = min(next, plan[i].at)
		}
		if e.now < end {
			next = min(next, max(e.later.Next(), e.now+1))
		}
		timer.Reset(time.Duration(next-e.clock()) * time.Microsecond)
		select {
		case <-timer.C:
		case a := <-e.answers:
			e.take(a)
			for more := true; more; { // all that are there, before time is looked at again
				select {
				case a := <-e.answers:
					e.take(a)
				default:
					more = false
				}
			}
		case <-ctx.Done():
			return errors.New("interrupted")
		}
	}
}

// rated fills in whom a planned call is about.
func (e *engine) rated(d due) call {
	c := call{due: d, first: d.at}
	switch d.kind {
	case Submit:
		c.id, c.spec = e.ids(e.n), e.specs[d.class]
		e.n++
	case Stranger:
		c.id = fmt.Sprintf("wk-9%09d", e.rng.IntN(1_000_000_000))
	case Poll:
		if len(e.jobs) > 0 {
			c.id = e.jobs[e.rng.IntN(len(e.jobs))].id
		}
	case Cancel:
		for range 8 { // most are not over, where anybody cancels
			if len(e.jobs) == 0 {
				break
			}
			if j := e.jobs[e.rng.IntN(len(e.jobs))]; !j.final {
				c.id = j.id
				break
			}
		}
	}
	return c
}

func (e *engine) cell(phase int, k Kind) *Cell {
	if e.cells[phase] == nil {
		e.cells[phase] = map[Kind]*Cell{}
	}
	c := e.cells[phase][k]
	if c == nil {
		c = &Cell{Kind: k, Hist: newHist()}
		e.cells[phase][k] = c
	}
	return c
}

// make makes a call, unless nobody is there to ask for or too many are under way.
func (e *engine) make(ctx context.Context, c call) {
	if c.id == "" {
		return
	}
	cell := e.cell(c.phase, c.kind)
	if e.open >= e.f.InFlight {
		cell.Dropped++
		return
	}
	cell.Sent++
	e.seconds[len(e.seconds)-1].Sent++
	e.open++
	go func() {
		wait := submitWait
		if c.kind == Poll || c.kind == Stranger || c.kind == Follow {
			wait = pollWait
		}
		one, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		a := answer{call: c}
		switch c.kind {
		case Submit, Retry:
			a.reply, a.err = e.target.Submit(one, c.id, c.spec)
		case Cancel:
			a.reply, a.err = e.target.Cancel(one, c.id)
		default:
			a.reply, a.err = e.target.Poll(one, c.id)
		}
		a.at = e.clock()
		select {
		case e.answers <- a:
		case <-ctx.Done():
		}
	}()
}

// take takes an answer.
func (e *engine) take(a answer) {
	e.open--
	e.now = e.clock()
	c := e.cell(a.phase, a.kind)
	s := &e.seconds[len(e.seconds)-1]
	code := a.reply.Code
	if a.err != nil {
		code = 0
	}
	known := e.byID[a.id] != nil
	good := code == http.StatusOK || code == http.StatusCreated
	switch {
	case a.kind == Stranger && good, a.kind != Stranger && known && code == http.StatusNotFound:
		c.Wrong++
	case good, a.kind == Stranger && code == http.StatusNotFound:
		c.OK++
		s.OK++
		took := max(int64(a.at-a.due.at), 1)
		_ = c.Hist.RecordValue(min(took, 120_000_000)) // within what it holds
		_ = e.second.RecordValue(min(took, 120_000_000))
	case code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests:
		c.Shed++
		s.Shed++
		e.reason(a.reply.Error)
	case code == http.StatusBadRequest || code == http.StatusUnprocessableEntity:
		c.Refused++
		e.reason(a.reply.Error)
	default:
		c.None++
		s.None++
	}
	switch a.kind {
	case Submit, Retry:
		e.submitted(a, good, code)
	case Cancel, Poll, Follow:
		e.told(a, good)
	}
}

// maxReasons bounds the texts that are told apart.
const maxReasons = 100

func (e *engine) reason(text string) {
	if _, ok := e.reasons[text]; ok || len(e.reasons) < maxReasons {
		e.reasons[text]++
	}
}

func (e *engine) submitted(a answer, good bool, code int) {
	switch {
	case good:
		c := e.cell(a.phase, Accepted)
		c.OK++
		c.Sent++
		_ = c.Hist.RecordValue(min(max(int64(a.at-a.first), 1), 120_000_000))
		if e.byID[a.id] == nil {
			j := &job{id: a.id, final: a.reply.Status.Final()}
			e.byID[a.id], e.jobs = j, append(e.jobs, j)
			e.follow(a, j)
		}
	case code == http.StatusBadRequest || code == http.StatusUnprocessableEntity:
	default:
		pause := max(units.Second+units.Microseconds(e.rng.Int64N(int64(units.Second))), min(a.reply.RetryAfter, maxPause))
		if at := a.at + pause; at-a.first <= retryFor {
			e.later.Add(at, call{due: due{at: at, phase: a.phase, kind: Retry, class: a.class}, id: a.id, spec: a.spec, first: a.first})
		} else {
			c := e.cell(a.phase, Accepted)
			c.Sent++
			c.None++ // its user has given up
		}
	}
}

// follow plans a user's next poll of its own job.
func (e *engine) follow(a answer, j *job) {
	if e.f.ThinkS > 0 && !j.final {
		at := a.at + units.Seconds(e.f.ThinkS*(0.6+0.8*e.rng.Float64()))
		e.later.Add(at, call{due: due{at: at, phase: a.phase, kind: Follow}, id: j.id})
	}
}

func (e *engine) told(a answer, good bool) {
	j := e.byID[a.id]
	if j == nil {
		return
	}
	if good && a.reply.Status.Final() {
		j.final = true
	}
	if a.kind == Follow {
		e.follow(a, j)
	}
}

// tick begins the figures of the seconds that have begun.
func (e *engine) tick() {
	for len(e.seconds) <= int(e.now/units.Second) {
		if n := len(e.seconds); n > 0 {
			e.seconds[n-1].P50 = float64(e.second.ValueAtQuantile(50)) / 1000
			e.seconds[n-1].P99 = float64(e.second.ValueAtQuantile(99)) / 1000
			e.second.Reset()
		}
		e.seconds = append(e.seconds, Second{})
	}
}
