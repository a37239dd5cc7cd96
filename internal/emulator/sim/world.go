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
	Noise    bool
	Mutation Mutation
	// Log returns a controller's log; nil: none.
	Log func(node string, now func() units.Microseconds) *slog.Logger
	// Event, if set, is told of scenario.Events.
	OnEvent func(at units.Microseconds, event string)
	// Census, if set, is told what there is, again and again.
	OnCensus       func(Census)
	CensusInterval units.Microseconds
	// Meter, if set, measures the play, and looks at it again and again.
	Meter         *meter.Meter
	MeterInterval units.Microseconds
	// Account, if set, is told what the rented machines do.
	Account *account.Account
	// Traffic, if set, counts what controllers are asked, ask and take of a processor.
	Traffic *traffic.Tally
}

// Broken programs, for showing that the checker notices them. Each field, if set,
// breaks something.
type Mutation struct {
	Heartbeat   func(*fleet.Heartbeat)      // what a controller sees of a report
	JobSpec     func(*jobs.Spec)            // what it reads of a submission
	UserReply   func(user.Call) *core.Reply // what it answers a user without doing anything; nil: as it should
	Settings    func(*config.Settings)      // what it is told
	ClockRate   func(node int) float64      // rate of its steady clock
	DeliverPeer func(m any) bool            // whether a message to another controller is carried
	PeerMessage func(m any) any             // what another controller is told in place of a message
	Commit      func(*kv.Txn)               // what it sends to the state service of a transaction
	StaleReads  bool                        // its reads of the state service's keys bring nothing new, though they are answered
	Commands    func(node string, o *core.HeartbeatResponse)
	// Outcome is what a controller makes of a transaction's outcome.
	Outcome func(t store.Txn, o store.Outcome) store.Outcome
	// Read reports whether the state service is really asked what has changed when a
	// controller wants that at once; else it is told that nothing has.
	ServeFreshRead func() bool
	CoreConfig     func(*core.Config) // what its core is told, beyond the settings
}

// World is a scenario that is being played.
type World struct {
	Scenario       *scenario.Scenario
	Check          *check.Checker
	State          *kv.Service
	Site           *site.Site
	Users          *user.Crowd
	Nodes          []*Node
	Faults         []scenario.Fault // all that happen, drawn ones included
	options        Options
	rng            *rand.Rand
	now            units.Microseconds
	events         eventqueue.Queue[func()]
	net            network
	balancer       *balance.Balancer
	noise          bool
	watchResponses map[uint64]func(kv.Changes) // of open watches
	lastWatchID    uint64
	starts         int
	stateSlowness  struct {
		until, delay units.Microseconds
	}
	lateUntil, unansweredUntil units.Microseconds // until when transactions are
	lateShare                  float64            // of those that are late
	unansweredShare            float64            // of those whose answer is lost
	heartbeatCopies            struct {           // of reports that arrive again
		until   units.Microseconds
		share   float64
		forNext bool // when a new leader begins
	}
	interactions faultInteractions
	zoneCutUntil map[string]units.Microseconds // until when zones are cut off
	eventCounts  map[string]int                // how often each of scenario.CountedEvents has happened
	userFaults   userFaultState
	combinations faultCombinations
	// Changes are the operators' changes of the configuration so far.
	ConfigChanges []*ConfigChange
}

// New returns a world in which nothing has happened yet.
func New(s *scenario.Scenario, opt Options) *World {
	seed := cmp.Or(opt.Seed, s.Seed)
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	w := &World{zoneCutUntil: map[string]units.Microseconds{}, eventCounts: map[string]int{}, combinations: newFaultCombinations(), Scenario: s, Check: check.New(s.Check()), State: kv.New(s.State.KV(), stream(11)), Site: site.New(s.Site(), stream(12)),
		Users:   user.New(s.UserOptions(), stream(14)),
		options: opt, rng: stream(16), noise: opt.Noise, watchResponses: map[uint64]func(kv.Changes){}, interactions: faultInteractions{unreadWrites: map[string]string{}}}
	w.net = network{world: w, links: map[link]impairment{}}
	w.balancer = balance.New(s.Controllers.Count, 0, stream(13))
	for _, j := range s.Plan(0, stream(15)) {
		w.AddJob(j)
	}
	for i := range s.Nodes() {
		n := &Node{world: w, index: i, Name: scenario.NodeName(i), zone: s.Controllers.Zones[i%len(s.Controllers.Zones)]}
		w.Nodes = append(w.Nodes, n)
	}
	for _, n := range w.Nodes {
		n.start()
	}
	w.scheduleCensus()
	w.scheduleMeter()
	w.scheduleAccount()
	w.scheduleWaitingCheck()
	draws := stream(17)
	for _, f := range s.Faults {
		w.Faults = append(w.Faults, resolveTimes(f, draws))
	}
	if d := s.Draw; d.ToS > 0 {
		w.Faults = append(w.Faults, DrawFaults(s, seed, draws)...)
		w.noise = true
	}
	w.Check.SetFaultsOver(faultsOverTime(w.Faults))
	for _, f := range w.Faults {
		w.schedule(units.Seconds(f.AtS), func() { w.InjectFault(f) })
	}
	return w
}

// Add plans a job; its description is uploaded at once.
func (w *World) AddJob(j *user.Job) {
	w.Site.Book[j.ID] = j.Job
	w.Users.Add(j)
}

func (w *World) schedule(d units.Microseconds, event func()) { w.events.Add(w.now+max(d, 0), event) }

// span draws a time between a and b seconds.
func (w *World) randomDuration(a, b float64) units.Microseconds {
	return units.Seconds(a + (b-a)*w.rng.Float64())
}

func (w *World) chance(p float64) bool { return w.rng.Float64() < p }

// Run plays until a time.
func (w *World) Run(until units.Microseconds) {
	for {
		next := min(w.events.Next(), w.State.Next(), w.Site.Next(), w.Users.Next(), w.balancer.Next())
		if next > until {
			break
		}
		w.now = max(w.now, next)
		if w.State.Next() <= w.now {
			w.State.Advance(w.now)
			w.deliverWatchResponses()
		}
		if w.Site.Next() <= w.now {
			w.Site.Advance(w.now)
			w.handleSiteEvents()
		}
		if w.Users.Next() <= w.now {
			w.Users.Advance(w.now)
			w.handleUserEvents()
		}
		if w.balancer.Next() <= w.now {
			w.balancer.Advance(w.now)
			w.handleBalancerEvents()
		}
		for {
			_, f, ok := w.events.Due(w.now)
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
func (w *World) ShardOwner(k int) *Node {
	for _, n := range w.Nodes {
		if n.incarnation != 0 && n.core.Owns(n.steadyClock(), k) {
			return n
		}
	}
	return nil
}

// oneHolder checks that no two controllers think that they may answer the workers
// of the same block.
func (w *World) checkSingleOwner() {
	for k := range w.Nodes {
		first := ""
		for _, n := range w.Nodes {
			if n.incarnation == 0 || !n.core.Owns(n.steadyClock(), k) {
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
	Violations []check.Violation
	Digest     string
	Starts     int
	// StartsCancelled counts the tasks that began after their job's cancellation was told.
	StartsCancelled    int
	Jobs               int
	FinishedJobs       int
	MachinesCreated    int
	Cost               float64
	MaxWait            units.Microseconds // from a submission to the answer that the job is over
	MissedExpectations []string           // expectations that are no rules
	Faults             []scenario.Fault
}

// Play plays the whole scenario.
func (w *World) RunScenario() Result {
	w.Run(units.Seconds(w.Scenario.DurationS))
	w.Check.Finish(w.now, w.Scenario.Expect.AllOver)
	r := Result{Violations: w.Check.Violations(), Digest: w.Check.Digest(), Starts: w.starts, StartsCancelled: w.Check.StartsCancelled(), MachinesCreated: w.Site.Cloud.CreatedCount(), Cost: w.Site.Cloud.Spent(w.now), Faults: w.Faults}
	r.Jobs = len(w.Users.Jobs())
	r.FinishedJobs, r.MaxWait = user.Summary(w.Users.Jobs(), w.now)
	r.MissedExpectations = w.Scenario.Expect.Missed(r.MaxWait, r.Cost, user.Floor(w.Users.Jobs(), w.Scenario.UserOptions(), w.Check.FirstStart))
	r.MissedExpectations = append(r.MissedExpectations, w.Scenario.Expect.MissedEvents(w.EventCount)...)
	return r
}

// Unfinished returns the accepted jobs that are not over, as far as users know.
func (w *World) Unfinished() []string {
	var out []string
	for _, j := range w.Users.Jobs() {
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
		fmt.Fprintf(&b, "%s (alive %v): %s\n", n.Name, n.incarnation != 0, n.core.Explain(id))
	}
	if j := w.Site.Book[id]; j != nil {
		fmt.Fprintf(&b, "truth: done %d of %d, spec %+v\n", j.DoneTasks(), j.Spec.Tasks, *j.Spec)
	}
	return b.String()
}
