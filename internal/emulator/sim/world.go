// Package sim plays a scenario in simulated time: the models of the emulator and
// the controllers' own cores, with every message between them drawn from one seed,
// so that one seed gives one history. A checker holds the rules against it.
package sim

import (
	"cmp"
	"fmt"
	"log/slog"
	"math/rand/v2"
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
	"shalestage.example/shalestage/internal/emulator/eventqueue"
	"shalestage.example/shalestage/internal/emulator/kv"
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
	answers map[uint64]func(kv.WatchResponse) // of open watches
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
		opt:   opt, rng: stream(16), noise: opt.Noise, answers: map[uint64]func(kv.WatchResponse){}, meetings: meetings{unread: map[string]string{}}}
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

func (w *World) node(name string) *Node {
	for _, n := range w.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
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
