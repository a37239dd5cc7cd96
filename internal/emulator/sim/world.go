// Package sim plays a scenario in simulated time: the models of the emulator and
// the controllers' own cores, with every message between them drawn from one seed,
// so that one seed gives one history. A checker holds the rules against it.
package sim

import (
	"cmp"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/config"
	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/account"
	"shalestage.example/shalestage/internal/emulator/balance"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
	"shalestage.example/shalestage/internal/emulator/eventqueue"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/emulator/machine"
	"shalestage.example/shalestage/internal/emulator/meter"
	"shalestage.example/shalestage/internal/emulator/site"
	"shalestage.example/shalestage/internal/emulator/traffic"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/scenario"
)

const (
	second = units.Second
	millis = units.Second / 1000
)

// Options say how a scenario is played, beyond what its file says.
type Options struct {
	Seed uint64 // 0: the scenario's own
	// Noise lets single messages be lost, late, or applied without an answer.
	Noise bool
	Break Broken
	// Log returns a controller's log; nil: none.
	Log func(node string, now func() units.Microseconds) *slog.Logger
	// Event, if set, is told of scenario.Events.
	Event func(at units.Microseconds, event string)
	// Census, if set, is told what there is, again and again.
	Census      func(Census)
	CensusEvery units.Microseconds
	// Meter, if set, measures the play, and looks at it again and again.
	Meter      *meter.Meter
	MeterEvery units.Microseconds
	// Account, if set, is told what the rented machines do.
	Account *account.Account
	// Traffic, if set, counts what controllers are asked, ask and take of a processor.
	Traffic *traffic.Tally
}

// Broken programs, for showing that the checker notices them. Each field, if set,
// breaks something.
type Broken struct {
	Report   func(*fleet.Heartbeat)      // what a controller sees of a report
	Spec     func(*jobs.Spec)            // what it reads of a submission
	Answer   func(user.Call) *core.Reply // what it answers a user without doing anything; nil: as it should
	Settings func(*config.Settings)      // what it is told
	Clock    func(node int) float64      // rate of its steady clock
	Peer     func(m any) bool            // whether a message to another controller is carried
	Told     func(m any) any             // what another controller is told in place of a message
	Commit   func(*kv.Txn)               // what it sends to the state service of a transaction
	Stale    bool                        // its reads of the state service's keys bring nothing new, though they are answered
	Orders   func(node string, o *core.HeartbeatResponse)
	// Outcome is what a controller makes of a transaction's outcome.
	Outcome func(t store.Txn, o store.Outcome) store.Outcome
	// Read reports whether the state service is really asked what has changed when a
	// controller wants that at once; else it is told that nothing has.
	Read func() bool
	Core func(*core.Config) // what its core is told, beyond the settings
}

// World is a scenario that is being played.
type World struct {
	S       *scenario.Scenario
	Check   *check.Checker
	State   *kv.Service
	Site    *site.Site
	Crowd   *user.Crowd
	Nodes   []*Node
	Faults  []scenario.Fault // all that happen, drawn ones included
	opt     Options
	rng     *rand.Rand
	now     units.Microseconds
	plans   eventqueue.Queue[func()]
	net     network
	front   *balance.Balancer
	noise   bool
	answers map[uint64]func(kv.Changes) // of open watches
	watch   uint64
	starts  int
	slow    struct {
		until, delay units.Microseconds
	}
	late, unanswered units.Microseconds // until when transactions are
	lateShare        float64            // of those that are late
	unansweredShare  float64            // of those whose answer is lost
	copies           struct {           // of reports that arrive again
		until   units.Microseconds
		share   float64
		forNext bool // when a new leader begins
	}
	meetings    meetings
	zoneCut     map[string]units.Microseconds // until when zones are cut off
	eventCounts map[string]int                // how often each of scenario.CountedEvents has happened
	users       userTroubles
	combined    combinations
	// Changes are the operators' changes of the configuration so far.
	Changes []*ConfigChange
}

// New returns a world in which nothing has happened yet.
func New(s *scenario.Scenario, opt Options) *World {
	seed := cmp.Or(opt.Seed, s.Seed)
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	w := &World{zoneCut: map[string]units.Microseconds{}, eventCounts: map[string]int{}, combined: newCombinations(), S: s, Check: check.New(s.Check()), State: kv.New(s.State.KV(), stream(11)), Site: site.New(s.Site(), stream(12)),
		Crowd: user.New(s.UserOptions(), stream(14)),
		opt:   opt, rng: stream(16), noise: opt.Noise, answers: map[uint64]func(kv.Changes){}, meetings: meetings{unread: map[string]string{}}}
	w.net = network{w: w, ways: map[way]trouble{}}
	w.front = balance.New(s.Controllers.Count, 0, stream(13))
	for _, j := range s.Plan(0, stream(15)) {
		w.Add(j)
	}
	for i := range s.Nodes() {
		n := &Node{w: w, index: i, Name: scenario.NodeName(i), zone: s.Controllers.Zones[i%len(s.Controllers.Zones)]}
		w.Nodes = append(w.Nodes, n)
	}
	for _, n := range w.Nodes {
		n.start()
	}
	w.count()
	w.measure()
	w.keepAccount()
	w.lookForWaiting()
	draws := stream(17)
	for _, f := range s.Faults {
		w.Faults = append(w.Faults, settled(f, draws))
	}
	if d := s.Draw; d.ToS > 0 {
		w.Faults = append(w.Faults, Drawn(s, seed, draws)...)
		w.noise = true
	}
	w.Check.SetFaultsOver(calm(w.Faults))
	for _, f := range w.Faults {
		w.after(units.Seconds(f.AtS), func() { w.Fault(f) })
	}
	return w
}

// Add plans a job; its description is uploaded at once.
func (w *World) Add(j *user.Job) {
	w.Site.Book[j.ID] = j.Job
	w.Crowd.Add(j)
}

func (w *World) after(d units.Microseconds, f func()) { w.plans.Add(w.now+max(d, 0), f) }

// span draws a time between a and b seconds.
func (w *World) span(a, b float64) units.Microseconds {
	return units.Seconds(a + (b-a)*w.rng.Float64())
}

func (w *World) chance(p float64) bool { return w.rng.Float64() < p }

// Run plays until a time.
func (w *World) Run(until units.Microseconds) {
	for {
		next := min(w.plans.Next(), w.State.Next(), w.Site.Next(), w.Crowd.Next(), w.front.Next())
		if next > until {
			break
		}
		w.now = max(w.now, next)
		if w.State.Next() <= w.now {
			w.State.Advance(w.now)
			w.takeState()
		}
		if w.Site.Next() <= w.now {
			w.Site.Advance(w.now)
			w.takeSite()
		}
		if w.Crowd.Next() <= w.now {
			w.Crowd.Advance(w.now)
			w.takeCrowd()
		}
		if w.front.Next() <= w.now {
			w.front.Advance(w.now)
			w.takeFront()
		}
		for {
			_, f, ok := w.plans.Due(w.now)
			if !ok {
				break
			}
			f()
		}
	}
	w.now = until
	w.Check.Advance(until)
}

// takeState hands watches their answers.
func (w *World) takeState() {
	for _, c := range w.State.Drain() {
		if f := w.answers[c.ID]; f != nil {
			delete(w.answers, c.ID)
			f(c)
		}
	}
}

func machineOf(m *cloudprovider.Machine) check.Machine {
	return check.Machine{Name: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot}
}

// takeSite carries out what machines do.
func (w *World) takeSite() {
	for _, e := range w.Site.Drain() {
		switch e := e.(type) {
		case site.Send:
			w.report(e)
		case site.Began:
			w.starts++
			w.began(machineOf(e.Machine), e.Task)
			if m := w.opt.Meter; m != nil {
				m.Began(w.now, e.Machine.Name, e.Task)
			}
			if a := w.opt.Account; a != nil {
				a.Began(e.Machine.Name, e.Task, cpus(w.Site.Book[e.Task.Job].Spec.Demand))
			}
		case site.Ended:
			w.Check.TaskEnded(w.now, machineOf(e.Machine), e.Task, e.Completed)
			if e.Completed {
				w.happened(scenario.TaskDone)
				w.ended(e.Task.Job)
			}
			w.taskEnded(e)
			if m := w.opt.Meter; m != nil {
				m.Ended(w.now, e.Machine.Name, e.Task, e.Completed)
			}
			if a := w.opt.Account; a != nil {
				a.Ended(e.Machine.Name, e.Task, e.Completed)
			}
		}
	}
}

// report brings a worker's report to a controller and its answer back.
func (w *World) report(e site.Send) {
	n := w.node(e.Node)
	arrives := func(req core.RequestID) { n.report(req, e.Body) }
	zone := scenario.ZoneParty(e.Body.Zone)
	failed := func() {
		w.Site.Answer(w.now, e.Machine, e.Number, machine.Response{})
		w.takeSite()
	}
	lost := w.noise && w.chance(0.003)
	if w.now < w.copies.until && w.chance(w.copies.share) {
		if w.copies.forNext {
			w.keepReport(e.Body)
		} else {
			w.after(w.span(2, 3*w.S.Workers.LeaseS), func() {
				n.ask(arrives, 0, func(core.Reply) {})
			})
		}
	}
	w.net.request(zone, n.Name, machine.ResponseTimeout, func(answer func(func())) {
		if n.life == 0 {
			answer(failed) // the connection is refused
			return
		}
		if w.noise && w.chance(0.005) { // it comes late, when nobody waits
			w.after(w.span(1, 90), func() { n.ask(arrives, 0, func(core.Reply) {}) })
			return
		}
		w.gotReport(n, e.Body)
		n.ask(arrives, 4*second, func(r core.Reply) {
			if lost {
				return
			}
			a := machine.Response{Code: r.Code, NoFencingToken: true}
			switch b := r.Body.(type) {
			case core.HeartbeatResponse:
				a.FencingToken, a.NoFencingToken, a.Commands = b.FencingToken, false, b.Commands
				w.acted(b.FencingToken)
			case core.Redirect:
				a.RedirectTo = b.Node
			}
			sent := w.now
			answer(func() {
				w.answered(e.Machine, a.Commands)
				w.answerArrives(sent, r)
				w.Site.Answer(w.now, e.Machine, e.Number, a)
				w.takeSite()
			})
		})
	}, func(f func()) {
		if f != nil {
			f()
		} else {
			failed()
		}
	})
}

// report hands a worker's report to the core.
func (n *Node) report(req core.RequestID, body *fleet.Heartbeat) {
	n.w.reportArrives(n, body)
	if f := n.w.opt.Break.Report; f != nil {
		seen := *body
		seen.Tasks = slices.Clone(seen.Tasks)
		f(&seen)
		body = &seen
	}
	n.w.opt.Traffic.As("do report")
	n.core.Heartbeat(n.local(), req, body)
}

func (w *World) node(name string) *Node {
	for _, n := range w.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// takeCrowd carries out what users do.
func (w *World) takeCrowd() {
	for _, e := range w.Crowd.Drain() {
		if call, ok := e.(user.Call); ok {
			w.call(call, nil)
		} else {
			user.Tell(w.Check, w.now, e)
			if t, ok := e.(user.Told); ok && t.Kind == user.Cancel && t.Code == http.StatusOK {
				w.cancelToldPastCut()
				if t.Status == jobs.Cancelled {
					w.cancelTold(t.ID)
				}
			}
			if _, ok := e.(user.Looked); ok {
				w.happened(scenario.CloseLook)
			}
			w.meter(e)
		}
	}
}

// call brings a user's call to a controller that the balancer chooses.
func (w *World) call(e user.Call, tried []int) {
	failed := func() {
		w.Crowd.Failed(w.now, e.Number)
		w.takeCrowd()
	}
	if e.Node != "" {
		w.callNode(e, failed)
		return
	}
	i := w.front.Choose(w.now, tried)
	if i < 0 {
		w.after(millis, failed)
		return
	}
	n := w.Nodes[i]
	connects := w.net.open("users", n.Name)
	if n.life == 0 {
		connects = refused
	}
	if connects != carried {
		wait := millis
		if connects == dropped {
			wait = balance.AcceptWithin
		}
		w.after(wait, func() {
			w.front.Failed(w.now, i)
			w.call(e, append(tried, i))
		})
		return
	}
	w.front.Opened(i)
	w.serveCall(e, n, failed, func() { w.front.Closed(i) })
}

// callNode brings a user's call to one controller, past the balancer.
func (w *World) callNode(e user.Call, failed func()) {
	n := w.node(e.Node)
	connects := w.net.open("users", n.Name)
	if n.life == 0 || connects != carried {
		w.after(millis, failed)
		return
	}
	w.serveCall(e, n, failed, func() {})
}

// serveCall lets a controller answer a user's call; closed is told when the connection ends.
func (w *World) serveCall(e user.Call, n *Node, failed, closed func()) {
	w.net.request("users", n.Name, e.Wait+second, func(answer func(func())) {
		within := 4 * second
		if e.Kind == user.Poll {
			within = 1900 * millis
		}
		w.gotCall(n, e)
		n.ask(func(req core.RequestID) {
			if f := w.opt.Break.Answer; f != nil {
				if r := f(e); r != nil {
					r.Request = req
					n.effect(*r)
					return
				}
			}
			switch e.Kind {
			case user.Submit:
				spec, bad := e.Spec, ""
				if spec == nil {
					bad = "cores: missing"
				}
				if f := w.opt.Break.Spec; f != nil && spec != nil {
					wrong := *spec
					f(&wrong)
					spec = &wrong
				}
				n.core.Submit(n.local(), req, e.ID, spec, bad)
			case user.Poll:
				n.core.Query(n.local(), req, e.ID)
			case user.Cancel:
				n.core.Cancel(n.local(), req, e.ID)
			}
		}, within, func(r core.Reply) {
			a := user.Answer{Code: r.Code, RetryAfter: r.RetryAfter}
			if b, ok := r.Body.(core.JobAnswer); ok {
				a.Status = b.Status
			}
			answer(func() {
				w.Crowd.Answer(w.now, e.Number, a)
				w.takeCrowd()
			})
		})
	}, func(f func()) {
		closed()
		if f != nil {
			f()
		} else {
			failed()
		}
	})
}

// takeFront carries out what the balancer does.
func (w *World) takeFront() {
	for _, e := range w.front.Drain() {
		if p, ok := e.(balance.Probe); ok {
			n := w.Nodes[p.Node]
			w.net.request("users", n.Name, balance.ProbeWithin, func(answer func(func())) {
				if n.life == 0 {
					answer(func() { w.front.Probed(w.now, p.Node, false) })
					return
				}
				n.awake(func() {
					ok := n.core.Ready(n.local())
					answer(func() { w.front.Probed(w.now, p.Node, ok) })
				})
			}, func(f func()) {
				if f == nil {
					w.front.Probed(w.now, p.Node, false)
				} else {
					f()
				}
			})
		}
	}
}

// Holder returns the controller that holds a block, if any does.
func (w *World) Holder(k int) *Node {
	for _, n := range w.Nodes {
		if n.life != 0 && n.core.Owns(n.local(), k) {
			return n
		}
	}
	return nil
}

// oneHolder checks that no two controllers think that they may answer the workers
// of the same block.
func (w *World) oneHolder() {
	for k := range w.Nodes {
		first := ""
		for _, n := range w.Nodes {
			if n.life == 0 || !n.core.Owns(n.local(), k) {
				continue
			}
			if first != "" {
				w.Check.RecordViolation(w.now, check.TwoHolders, "block %d: %s and %s", k, first, n.Name)
			}
			first = n.Name
		}
	}
}

// Result is how a play went.
type Result struct {
	Broken []check.Violation
	Digest string
	Starts int
	// StartsCancelled counts the tasks that began after their job's cancellation was told.
	StartsCancelled int
	Jobs            int
	Over            int
	Rented          int
	Money           float64
	MaxWait         units.Microseconds // from a submission to the answer that the job is over
	Missed          []string           // expectations that are no rules
	Faults          []scenario.Fault
}

// Play plays the whole scenario.
func (w *World) Play() Result {
	w.Run(units.Seconds(w.S.DurationS))
	w.Check.Finish(w.now, w.S.Expect.AllOver)
	r := Result{Broken: w.Check.Violations(), Digest: w.Check.Digest(), Starts: w.starts, StartsCancelled: w.Check.StartsCancelled(), Rented: w.Site.Cloud.CreatedCount(), Money: w.Site.Cloud.Spent(w.now), Faults: w.Faults}
	r.Jobs = len(w.Crowd.Jobs())
	r.Over, r.MaxWait = user.Summary(w.Crowd.Jobs(), w.now)
	r.Missed = w.S.Expect.Missed(r.MaxWait, r.Money, user.Floor(w.Crowd.Jobs(), w.S.UserOptions(), w.Check.FirstStart))
	r.Missed = append(r.Missed, w.S.Expect.MissedEvents(w.EventCount)...)
	return r
}

// Unfinished returns the accepted jobs that are not over, as far as users know.
func (w *World) Unfinished() []string {
	var out []string
	for _, j := range w.Crowd.Jobs() {
		if j.Final == "" && !j.GaveUp && (!j.Spec.Service || j.CancelAfter > 0) {
			out = append(out, j.ID)
		}
	}
	return out
}

// Explain says what every controller knows of a job.
func (w *World) Explain(id string) string {
	var b strings.Builder
	for _, n := range w.Nodes {
		fmt.Fprintf(&b, "%s (alive %v): %s\n", n.Name, n.life != 0, n.core.Explain(id))
	}
	if j := w.Site.Book[id]; j != nil {
		fmt.Fprintf(&b, "truth: done %d of %d, spec %+v\n", j.DoneTasks(), j.Spec.Tasks, *j.Spec)
	}
	return b.String()
}
