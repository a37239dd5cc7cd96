// Package sim is a deterministic discrete-event simulation of a deployment. It runs the emulator's models of
// workers, cloud, state service and users together with the controllers' real cores, and injects the faults
// of a scenario. All random choices, such as the delay of each message, derive from one seed, so that a seed
// always produces the same history. A checker tests the history against the invariants.
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

// Options configure a run beyond what the scenario file says.
type Options struct {
	Seed uint64 // 0 means the scenario's own seed
	// Noise makes single messages get lost, arrive late, or be applied without a response.
	Noise bool
	// Mutation is the deliberate defect of the controllers, if any.
	Mutation Mutation
	// Log returns a controller's logger. If it is nil, controllers do not log.
	Log func(node string, now func() units.Microseconds) *slog.Logger
	// OnEvent, if set, is called for each event of scenario.CountedEvents.
	OnEvent func(at units.Microseconds, event string)
	// OnCensus, if set, is called with a census every CensusInterval.
	OnCensus       func(Census)
	CensusInterval units.Microseconds
	// Meter, if set, measures the run. It samples the machines every MeterInterval.
	Meter         *meter.Meter
	MeterInterval units.Microseconds
	// Account, if set, records what the billed machines do.
	Account *account.Account
	// Traffic, if set, counts the messages that controllers receive and send, and their CPU time.
	Traffic *traffic.Tally
}

// Mutation is a deliberate defect of the controllers. Tests use it to show that the checker detects the
// defect. Each field that is set breaks one thing.
type Mutation struct {
	Heartbeat   func(*fleet.Heartbeat)                       // changes a heartbeat before a controller gets it
	JobSpec     func(*jobs.Spec)                             // changes the job spec of a submission
	UserReply   func(user.Call) *core.Reply                  // replies to a user in place of the core; nil leaves it to the core
	Settings    func(*config.Settings)                       // changes a controller's settings
	ClockRate   func(node int) float64                       // returns the rate of a controller's monotonic clock
	DeliverPeer func(m any) bool                             // reports whether a message to another controller is sent
	PeerMessage func(m any) any                              // replaces a message to another controller
	Commit      func(*kv.Txn)                                // changes a transaction before it is sent to the state service
	StaleReads  bool                                         // fresh reads of the watch cache return no changes
	Commands    func(node string, o *core.HeartbeatResponse) // changes a response to a heartbeat
	// Outcome replaces the outcome of a transaction that the controller sees.
	Outcome func(t store.Txn, o store.Outcome) store.Outcome
	// ServeFreshRead reports whether a fresh read goes to the state service. If not, it returns no changes.
	ServeFreshRead func() bool
	CoreConfig     func(*core.Config) // changes the configuration of the core, after Settings
	// DirectStarts sends starts to machines in requests of their own, and not in responses to heartbeats. Copies of
	// these keep arriving for a while.
	DirectStarts bool
}

// World is the state of one simulation run.
type World struct {
	Scenario       *scenario.Scenario
	Check          *check.Checker
	State          *kv.Service
	Site           *site.Site
	Users          *user.Users
	Nodes          []*Node
	Faults         []scenario.Fault // all faults of the run, including drawn ones
	options        Options
	rng            *rand.Rand
	now            units.Microseconds
	events         eventqueue.Queue[func()]
	net            network
	balancer       *balance.Balancer
	noise          bool
	watchResponses map[uint64]func(kv.WatchResponse) // callbacks of open watches by watch id
	lastWatchID    uint64
	starts         int
	stateSlowness  struct {
		until, delay units.Microseconds
	}
	lateUntil, unansweredUntil units.Microseconds // until when transactions are applied late, or get no response
	lateShare                  float64            // of transactions that are applied late meanwhile
	unansweredShare            float64            // of transactions that get no response meanwhile
	repeats                    requestRepeats
	heartbeatCopies            struct { // heartbeats that are delivered twice
		until   units.Microseconds
		share   float64
		forNext bool // the copy is delivered after the next change of leader or owner
	}
	interactions faultInteractions
	zoneCutUntil map[string]units.Microseconds // until when each zone is cut off
	eventCounts  map[string]int                // occurrences of each of scenario.CountedEvents
	userFaults   userFaultState
	combinations faultCombinations
	// ConfigChanges are the operators' changes of the configuration so far.
	ConfigChanges []*ConfigChange
}

// New returns a world at time 0, with the jobs and faults of the scenario scheduled.
func New(s *scenario.Scenario, opt Options) *World {
	seed := cmp.Or(opt.Seed, s.Seed)
	stream := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	w := &World{zoneCutUntil: map[string]units.Microseconds{}, eventCounts: map[string]int{}, combinations: newFaultCombinations(), Scenario: s, Check: check.New(s.Check()), State: kv.New(s.State.KV(), stream(11)), Site: site.New(s.Site(), stream(12)),
		Users:   user.New(s.UserOptions(), stream(14)),
		options: opt, rng: stream(16), noise: opt.Noise, watchResponses: map[uint64]func(kv.WatchResponse){}, interactions: faultInteractions{unreadWrites: map[string]string{}}}
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

// AddJob schedules the submission of a job. Its upload is available to workers at once.
func (w *World) AddJob(j *user.Job) {
	w.Site.Uploads[j.ID] = j.Job
	w.Users.Add(j)
}

// schedule adds an event to the event queue, due d after the current time. A negative d counts as 0.
func (w *World) schedule(d units.Microseconds, event func()) { w.events.Add(w.now+max(d, 0), event) }

// randomDuration returns a random duration between a and b seconds.
func (w *World) randomDuration(a, b float64) units.Microseconds {
	return units.Seconds(a + (b-a)*w.rng.Float64())
}

// chance returns true with probability p.
func (w *World) chance(p float64) bool { return w.rng.Float64() < p }

// Run advances the simulation to the time until.
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

// ShardOwner returns the controller that owns shard k, or nil if none does.
func (w *World) ShardOwner(k int) *Node {
	for _, n := range w.Nodes {
		if n.incarnation != 0 && n.core.Owns(n.steadyClock(), k) {
			return n
		}
	}
	return nil
}

// checkSingleOwner records a violation for each shard of which two controllers consider themselves the owner.
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

// Result is the outcome of a run.
type Result struct {
	Violations []check.Violation
	Digest     string
	Starts     int
	// StartsCancelled counts tasks that started after a user was told that their job is cancelled.
	StartsCancelled    int
	Jobs               int
	FinishedJobs       int
	MachinesCreated    int
	Cost               float64            // total cost of all machines
	MaxWait            units.Microseconds // longest time from a submission to the response that the job is final
	MissedExpectations []string           // unmet expectations of the scenario other than invariants
	Faults             []scenario.Fault
}

// RunScenario runs the whole scenario and returns its result.
func (w *World) RunScenario() Result {
	w.Run(units.Seconds(w.Scenario.DurationS))
	w.Check.Finish(w.now, w.Scenario.Expect.AllOver)
	r := Result{Violations: w.Check.Violations(), Digest: w.Check.Digest(), Starts: w.starts, StartsCancelled: w.Check.StartsCancelled(), MachinesCreated: w.Site.Cloud.CreatedCount(), Cost: w.Site.Cloud.Spent(w.now), Faults: w.Faults}
	r.Jobs = len(w.Users.Jobs())
	r.FinishedJobs, r.MaxWait = user.Summary(w.Users.Jobs(), w.now)
	r.MissedExpectations = w.Scenario.Expect.Missed(r.MaxWait, r.Cost, user.ServiceLevels(w.Users.Jobs(), w.Scenario.UserOptions(), w.Check.FirstStart))
	r.MissedExpectations = append(r.MissedExpectations, w.Scenario.Expect.MissedEvents(w.EventCount)...)
	return r
}

// Unfinished returns the ids of jobs that their users neither know to be final nor have given up. Services that
// nobody cancels are left out.
func (w *World) Unfinished() []string {
	var out []string
	for _, j := range w.Users.Jobs() {
		if j.FinalStatus == "" && !j.GaveUp && (!j.Spec.Service || j.CancelAfter > 0) {
			out = append(out, j.ID)
		}
	}
	return out
}

// Explain describes what every controller knows of a job, and how many of its tasks have really completed, for
// test failures.
func (w *World) Explain(id string) string {
	var b strings.Builder
	for _, n := range w.Nodes {
		fmt.Fprintf(&b, "%s (alive %v): %s\n", n.Name, n.incarnation != 0, n.core.Explain(id))
	}
	if j := w.Site.Uploads[id]; j != nil {
		fmt.Fprintf(&b, "truth: done %d of %d, spec %+v\n", j.DoneTasks(), j.Spec.Tasks, *j.Spec)
	}
	return b.String()
}
