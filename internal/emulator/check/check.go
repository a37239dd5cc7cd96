// Package check checks the rules of the protocol against what really happened: what runs where, and
// what users were answered. It is independent of the models and of the service, and believes
// neither: it keeps records of its own from events that go in one by one. The cost of an event does
// not grow with machines or jobs.
//
// The texts of the history go into the digest that names it: changing one changes the digest of
// every recorded run.
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

// Team is a team's limit; 0 means none.
type Team struct {
	Name  string
	Limit binpack.Vec
}

// Type is a machine type: what a machine has, and the zones in which there are any.
type Type struct {
	Name     string
	Capacity binpack.Vec
	Zones    []string
}

// Config says what the rules are measured by.
type Config struct {
	Teams    []Team
	Types    []Type             // none: jobs that fit no machine are not told apart
	CancelIn units.Microseconds // cancelled work must be gone after this
}

// Machine is where a task runs.
type Machine struct {
	Name, Type, Zone string
	Spot             bool
}

// jobRecord is what the checker knows of a job.
type jobRecord struct {
	id              string
	spec            *jobs.Spec
	accepted        bool
	acceptedAt      units.Microseconds // when its user was first answered so
	cancelRequested bool
	cancelledAt     units.Microseconds // when its user was first answered so; 0: never
	finalStatus     jobs.Status        // as its user was answered; "": none so far
	finalAt         units.Microseconds
	firstStart      units.Microseconds // when a task was first on a machine; 0: none was
	completed       jobs.Set
	running         map[int]Machine    // tasks that are on a machine; nil while none is, as a long run has many jobs
	runningByZone   map[string]int     // how many of them are in each zone
	failingSince    units.Microseconds // the first of the latest polls that failed one after another
	failedPolls     int                // how many these are
	answeredBefore  int                // polls for all jobs that were answered before them
	pollsBefore     int                // polls for all jobs before them
	dependencies    []*jobRecord
	dependents      []*jobRecord
	lines           []int              // indexes into the history
	malformed       bool               // its submission lacks a field
	failsAlways     bool               // its tasks fail on every machine
	waitingSince    units.Microseconds // since when it is left waiting, see CheckWaiting; 0: it is not
	excusedSince    units.Microseconds // since when it was when its room was found to be passing; 0: it was not
}

// Checker records what happens and the rules that it breaks. Its methods take times that do not
// decrease.
type Checker struct {
	config Config
	// Versions of the configuration, the first that of the settings.
	versions        []*configVersion
	startOrders     map[jobs.TaskID]units.Microseconds // tasks that have not come to a machine yet
	lastOrder       map[string]units.Microseconds      // of each team's tasks that have
	jobs            map[string]*jobRecord
	usage           map[string]binpack.Vec       // of each team's tasks on machines
	cancelDeadlines eventqueue.Queue[*jobRecord] // cancelled jobs, by when their tasks must be gone
	polls           int
	answeredPolls   int
	starts          int
	startsCancelled int                // of jobs whose users had been answered that they are cancelled
	openJobs        []*jobRecord       // accepted, and not known to be over when that was last looked at
	openAfterSweep  int                // how many of them dropFinished left
	nextOpen        int                // which of them is looked at next, see CheckWaiting
	freeSnapshots   []freeSnapshot     // of the last 90 s, the oldest first
	faultsOverAt    units.Microseconds // MaxTime: not known
	violations      []Violation
	recorded        map[string]bool // rule and job, or rule and text, of each
	history         []line
	digest          hash.Hash
	now             units.Microseconds
}

// New returns a checker that has seen nothing.
func New(config Config) *Checker {
	c := &Checker{config: config, startOrders: map[jobs.TaskID]units.Microseconds{}, lastOrder: map[string]units.Microseconds{}, jobs: map[string]*jobRecord{}, usage: map[string]binpack.Vec{}, recorded: map[string]bool{}, digest: sha256.New(), faultsOverAt: units.MaxTime}
	first := &configVersion{limits: map[string]binpack.Vec{}}
	for _, t := range config.Teams {
		first.limits[t.Name] = t.Limit
	}
	c.versions = []*configVersion{first}
	return c
}

// SetFaultsOver says when all faults are over.
func (c *Checker) SetFaultsOver(at units.Microseconds) { c.faultsOverAt = at }

// FirstStart returns when a task of a job was first on a machine, 0 if none was.
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

// StartsCancelled returns how many tasks were started after a user had been answered that their job
// is cancelled. Until cancel_s has passed no rule is broken by that.
func (c *Checker) StartsCancelled() int { return c.startsCancelled }

// Advance lets time pass: what was cancelled must be gone by its time.
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

// Finish checks the whole run: whether anything was started, and, if all work should be over by
// now, whether something that was accepted is not.
func (c *Checker) Finish(at units.Microseconds, over bool) {
	c.Advance(at)
	var left []*jobRecord
	wanted := false
	for _, job := range c.jobs {
		_, asked := c.cancellation(job, nil)
		wanted = wanted || job.accepted && !asked
		if job.accepted && job.finalStatus == "" && !job.spec.Service {
			left = append(left, job)
		}
	}
	if c.starts == 0 && wanted {
		c.violated(at, NothingRan, nil, "", "no task was started")
	}
	if !over {
		return
	}
	slices.SortFunc(left, func(a, b *jobRecord) int { return cmp.Compare(a.id, b.id) })
	for _, job := range left {
		c.violated(at, Lost, job, "", "%s was accepted, and is not over: %d of %d tasks are done", job.id, job.completed.Len(), job.spec.Tasks)
	}
}
