// Package check checks a run against the rules of the protocol: which tasks run on which machines,
// and what users get as replies. It depends on neither the models nor the service, and trusts the
// state of neither: it builds its own from events that it is given one at a time. The cost of an event
// does not grow with the number of machines or jobs.
//
// The texts of the history are hashed into its digest: changing one changes the digest of every
// recorded run.
package check

import (
	"cmp"
	"crypto/sha256"
	"hash"
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/eventqueue"
)

// Team is a team with its resource limit, 0 means unlimited, and its nominal quota, 0 means none.
type Team struct {
	Name    string
	Limit   binpack.Vec
	Nominal binpack.Vec
}

// Type is a machine type: its capacity and the zones that offer it.
type Type struct {
	Name     string
	Capacity binpack.Vec
	Zones    []string
	Boot     units.Microseconds // usual boot time
}

// Config holds the parameters of the rules.
type Config struct {
	Teams    []Team
	Types    []Type             // empty: jobs that fit no machine are not detected
	CancelIn units.Microseconds // tasks of a cancelled job must have ended after this time
	Lease    units.Microseconds // tasks of a machine that gets no response end after this time
}

// Machine is a machine that runs a task.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
}

// jobRecord is the checker's state of a job.
type jobRecord struct {
	id              string
	spec            *jobs.Spec
	accepted        bool
	acceptedAt      units.Microseconds // time of the first reply that says so
	cancelRequested bool
	cancelledAt     units.Microseconds // time of the first reply that says that it is cancelled; 0: none
	finalStatus     jobs.Status        // the first final status in a reply; "": none yet
	finalAt         units.Microseconds
	firstStart      units.Microseconds // when its first task started on a machine; 0: none did
	completed       jobs.Set
	running         map[int]Machine    // machine by task; nil if none runs, to save memory in long runs with many jobs
	runningByZone   map[string]int     // number of running tasks by zone
	failingSince    units.Microseconds // time of the first of the consecutive failed polls
	failedPolls     int                // number of consecutive failed polls
	answeredBefore  int                // answered polls for all jobs before the first failed one
	pollsBefore     int                // polls for all jobs before the first failed one
	dependencies    []*jobRecord
	dependents      []*jobRecord
	lines           []int              // indexes into the history
	malformed       bool               // its submission lacks a required field
	failsAlways     bool               // its tasks fail on every machine
	waitingSince    units.Microseconds // since when it has waited despite free capacity, see CheckWaiting; 0: it does not
	excusedSince    units.Microseconds // waitingSince when its free capacity was found to be transient; 0: it was not
	// unprovisionedSince is since when a replica has waited for a machine, see CheckProvisioning; 0: none does.
	unprovisionedSince units.Microseconds
	withheldSince      units.Microseconds // since when it has waited for its team's nominal quota, see CheckNominalQuotas; 0: it does not
}

// Checker records events and the rules that they violate. The times that its methods are given must
// not decrease.
type Checker struct {
	config Config
	// Versions of the configuration; the first is the one from the settings.
	versions        []*configVersion
	startOrders     map[jobs.TaskID]units.Microseconds // when a start was ordered, of tasks that have not started on a machine yet
	lastOrder       map[string]units.Microseconds      // by team: latest order time of the tasks that have started
	jobs            map[string]*jobRecord
	usage           map[string]binpack.Vec       // by team: demand of the running tasks
	cancelDeadlines eventqueue.Queue[*jobRecord] // cancelled jobs, by the time at which their tasks must have ended
	polls           int
	answeredPolls   int
	starts          int
	startsCancelled int                // starts of jobs after a reply had said that they are cancelled
	openJobs        []*jobRecord       // accepted jobs without a final status at the last dropFinished
	openAfterSweep  int                // len(openJobs) after the last dropFinished
	nextOpen        int                // index of the last job that CheckWaiting examined
	nextService     int                // index of the last job that CheckProvisioning examined
	freeSnapshots   []freeSnapshot     // of the last maxWait (90 s), the oldest first
	faultsOverAt    units.Microseconds // MaxTime: unknown
	violations      []Violation
	recorded        map[string]bool // keys of the violations: rule and job, or rule and text
	history         []line
	digest          hash.Hash
	now             units.Microseconds
}

// New returns a checker without any events.
func New(config Config) *Checker {
	c := &Checker{config: config, startOrders: map[jobs.TaskID]units.Microseconds{}, lastOrder: map[string]units.Microseconds{}, jobs: map[string]*jobRecord{}, usage: map[string]binpack.Vec{}, recorded: map[string]bool{}, digest: sha256.New(), faultsOverAt: units.MaxTime}
	first := &configVersion{limits: map[string]binpack.Vec{}}
	for _, t := range config.Teams {
		first.limits[t.Name] = t.Limit
	}
	c.versions = []*configVersion{first}
	return c
}

// SetFaultsOver sets the time at which all faults are over.
func (c *Checker) SetFaultsOver(at units.Microseconds) { c.faultsOverAt = at }

// FirstStart returns when the first task of a job started on a machine, 0 if none did.
func (c *Checker) FirstStart(id string) units.Microseconds {
	if job := c.jobs[id]; job != nil {
		return job.firstStart
	}
	return 0
}

// Running returns how many tasks of a job are on machines.
func (c *Checker) Running(id string) int {
	if job := c.jobs[id]; job != nil {
		return len(job.running)
	}
	return 0
}

// Starts returns how many tasks were started.
func (c *Checker) Starts() int { return c.starts }

// StartsCancelled returns how many tasks were started after a reply had said that their job is
// cancelled. This violates no rule until cancel_s has passed.
func (c *Checker) StartsCancelled() int { return c.startsCancelled }

// Advance moves the clock to now and checks that the tasks of cancelled jobs have ended by their
// deadlines.
func (c *Checker) Advance(now units.Microseconds) {
	c.now = max(c.now, now)
	for {
		at, job, ok := c.cancelDeadlines.Due(c.now)
		if !ok {
			return
		}
		if off, _ := c.cancellation(job, nil); off == 0 || len(job.running) == 0 || job.finalStatus == jobs.Done {
			continue
		}
		for _, t := range sortedTasks(job.running) {
			c.violated(at, RanCancelled, job, job.running[t].Name, "%s/%d is still on %s", job.id, t, job.running[t].Name)
		}
	}
}

// Finish checks the whole run: that at least one task was started if any job was to run, and, if
// over is set (all work should be finished by now), that every accepted job except services has a final
// status.
func (c *Checker) Finish(at units.Microseconds, over bool) {
	c.Advance(at)
	var unfinished []*jobRecord
	expected := false
	for _, job := range c.jobs {
		_, asked := c.cancellation(job, nil)
		expected = expected || job.accepted && !asked
		if job.accepted && job.finalStatus == "" && !job.spec.Service {
			unfinished = append(unfinished, job)
		}
	}
	if c.starts == 0 && expected {
		c.violated(at, NothingRan, nil, "", "no task was started")
	}
	if !over {
		return
	}
	slices.SortFunc(unfinished, func(a, b *jobRecord) int { return cmp.Compare(a.id, b.id) })
	for _, job := range unfinished {
		c.violated(at, Lost, job, "", "%s was accepted, and is not over: %d of %d tasks are done", job.id, job.completed.Len(), job.spec.Tasks)
	}
}
