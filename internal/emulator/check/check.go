// Package check holds the rules of the protocol against what really happened: what
// runs where, and what users were told. It stands apart from the models and from
// the service, and believes neither: it keeps books of its own from facts that go
// in one by one. The cost of a fact does not grow with machines or jobs.
package check

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"net/http"
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/eventqueue"
)

// The rules: those of the protocol and of the page on jobs that await others, and
// some of our own: nothing accepted is lost, one holder for each block, nothing is
// sent that the state service would refuse for its size, no job is accepted that can
// never run, none is left waiting while there is room for it, and nobody accepts jobs by a
// configuration that was replaced before they were submitted.
const (
	RanTwice     = "ran_twice"
	Quota        = "quota"
	WrongPlace   = "wrong_place"
	RanCancelled = "ran_cancelled"
	Forgotten    = "forgotten"
	Invented     = "invented"
	NotDone      = "not_done"
	WentBack     = "went_back"
	NothingRan   = "nothing_ran"
	TooEarly     = "too_early"
	Orphaned     = "orphaned"
	Lost         = "lost"
	TwoHolders   = "two_holders"
	TooLarge     = "too_large"
	Impossible   = "accepted_impossible"
	LeftWaiting  = "left_waiting"
	Outdated     = "outdated"
)

// Rules lists all rules.
var Rules = []string{RanTwice, Quota, WrongPlace, RanCancelled, Forgotten, Invented, NotDone, WentBack, NothingRan, TooEarly,
	Orphaned, Lost, TwoHolders, TooLarge, Impossible, LeftWaiting, Outdated}

const (
	// pollsFail is for how long every poll for a job may fail while most others do not.
	pollsFail = 90 * units.Second
	// pollsFailCalm is for how long once all troubles are over, however the others fare.
	pollsFailCalm = 75 * units.Second
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

// Break is a broken rule, with the part of the history that concerns it.
type Break struct {
	At      units.Microseconds
	Rule    string
	Text    string
	History []string
}

func (b Break) String() string { return fmt.Sprintf("%.3f %s: %s", b.At.Seconds(), b.Rule, b.Text) }

type job struct {
	id        string
	spec      *jobs.Spec
	accepted  bool
	toldOn    units.Microseconds // when its user was first told that it is accepted
	asked     bool               // to cancel
	toldOff   units.Microseconds // when its user was told that it is cancelled; 0: never
	final     jobs.Status        // as told
	finalAt   units.Microseconds
	began     units.Microseconds // when a task was first on a machine; 0: none was
	done      jobs.Set
	on        map[int]Machine    // tasks that are on a machine; nil while none is, as a long play has many jobs
	zones     map[string]int     // how many of them by zone
	lostSince units.Microseconds // the first of the polls that failed, one after another
	pollsLost int                // how many these are
	okBefore  int                // polls that were answered, of all jobs, before them
	allBefore int
	needs     []*job
	needed    []*job             // by whom
	lines     []int              // of the history
	malformed bool               // its submission lacks a field
	mistaken  bool               // its tasks fail on every machine
	waits     units.Microseconds // since when it is left waiting, see Look; 0: it is not
	excused   units.Microseconds // since when it was when its room was found to be passing; 0: it was not
}

// Checker keeps the books.
type Checker struct {
	cfg Config
	// Versions of the configuration, the first that of the settings.
	versions  []*limitsOf
	ordered   map[jobs.TaskID]units.Microseconds // tasks that have not come to a machine yet
	lastOrder map[string]units.Microseconds      // of each team's tasks that have
	jobs      map[string]*job
	use       map[string]binpack.Vec // of each team's tasks on machines
	later     eventqueue.Queue[*job] // cancelled jobs, by when their tasks must be gone
	polls     int
	polled    int // answered
	starts    int
	late      int                // starts after the cancellation was told
	open      []*job             // accepted, and not known to be over when that was last looked at
	kept      int                // how many were left of them then
	next      int                // which of them is looked at next, see Look
	looks     []freeAt           // of the last 90 s, the oldest first
	calm      units.Microseconds // when all troubles are over; Never: not known
	broken    []Break
	said      map[string]bool
	history   []line
	sum       hash.Hash
	now       units.Microseconds
}

type line struct {
	at        units.Microseconds
	machine   string
	text      string
	important bool
}

// keptLines bounds the history that is kept to explain a broken rule.
const keptLines = 400_000

// New returns a checker that has seen nothing.
func New(cfg Config) *Checker {
	c := &Checker{cfg: cfg, ordered: map[jobs.TaskID]units.Microseconds{}, lastOrder: map[string]units.Microseconds{}, jobs: map[string]*job{}, use: map[string]binpack.Vec{}, said: map[string]bool{}, sum: sha256.New(), calm: units.Never}
	first := &limitsOf{limits: map[string]binpack.Vec{}}
	for _, t := range cfg.Teams {
		first.limits[t.Name] = t.Limit
	}
	c.versions = []*limitsOf{first}
	return c
}

// note writes a line of the history: it goes into the digest, and explains what
// breaks later.
func (c *Checker) note(at units.Microseconds, j *job, machine string, important bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Fprintf(c.sum, "%d %s\n", at, text)
	if len(c.history) >= keptLines {
		return
	}
	if j != nil {
		j.lines = append(j.lines, len(c.history))
	}
	c.history = append(c.history, line{at, machine, text, important})
}

// Note writes an event that is no fact of a job, such as a fault, into the history.
func (c *Checker) Note(at units.Microseconds, format string, args ...any) {
	c.note(at, nil, "", true, format, args...)
}

// Digest names the history: equal histories have equal digests.
func (c *Checker) Digest() string { return hex.EncodeToString(c.sum.Sum(nil))[:16] }

// Broken returns the broken rules so far.
func (c *Checker) Broken() []Break { return c.broken }

// Calm says when all troubles are over.
func (c *Checker) Calm(at units.Microseconds) { c.calm = at }

// FirstBegan returns when a task of a job was first on a machine, 0 if none was.
func (c *Checker) FirstBegan(id string) units.Microseconds {
	if j := c.jobs[id]; j != nil {
		return j.began
	}
	return 0
}

// Running returns how many tasks of a job are on machines.
func (c *Checker) Running(id string) int {
	if j := c.jobs[id]; j != nil {
		return len(j.on)
	}
	return 0
}

// Starts returns how many tasks were on a machine.
func (c *Checker) Starts() int { return c.starts }

// StartsCancelled returns how many tasks began after a user had been told that their job is
// cancelled. Until cancel_s has passed no rule is broken by that.
func (c *Checker) StartsCancelled() int { return c.late }

// Break records a broken rule that somebody else has found.
func (c *Checker) Break(at units.Microseconds, rule, format string, args ...any) {
	c.breaks(at, rule, nil, "", format, args...)
}

func (c *Checker) breaks(at units.Microseconds, rule string, j *job, machine, format string, args ...any) {
	b := Break{At: at, Rule: rule, Text: fmt.Sprintf(format, args...)}
	// The same rule broken by the same job again adds nothing.
	if key := rule + b.Text; j != nil {
		key = rule + j.id
		if c.said[key] {
			return
		}
		c.said[key] = true
	} else if c.said[key] {
		return
	} else {
		c.said[key] = true
	}
	c.note(at, j, machine, true, "BROKEN %s: %s", rule, b.Text)
	b.History = c.explain(at, j, machine)
	c.broken = append(c.broken, b)
}

// explain returns the shortest useful part of the history: what concerns the job
// and those that it needs, the machine's last events, and faults.
func (c *Checker) explain(at units.Microseconds, j *job, machine string) []string {
	const most = 40
	pick := map[int]bool{}
	if j != nil {
		for _, o := range append([]*job{j}, j.needs...) {
			lines := o.lines
			for _, i := range lines[max(0, len(lines)-most/2):] {
				pick[i] = true
			}
			if len(lines) > 0 {
				pick[lines[0]] = true
			}
		}
	}
	seen := 0
	for i := len(c.history) - 1; i >= 0 && seen < most/2; i-- {
		if l := c.history[i]; l.important || machine != "" && l.machine == machine {
			pick[i] = true
			seen++
		}
	}
	var idx []int
	for i := range pick {
		idx = append(idx, i)
	}
	slices.Sort(idx)
	idx = idx[max(0, len(idx)-most):]
	var out []string
	for _, i := range idx {
		out = append(out, fmt.Sprintf("%10.3f  %s", c.history[i].at.Seconds(), c.history[i].text))
	}
	return out
}

// Planned says that a user begins to submit a job.
func (c *Checker) Planned(at units.Microseconds, id string, spec *jobs.Spec) {
	c.Advance(at)
	j := &job{id: id, spec: spec}
	for _, n := range spec.Awaits {
		if a := c.jobs[n]; a != nil {
			j.needs = append(j.needs, a)
			a.needed = append(a.needed, j)
		}
	}
	c.jobs[id] = j
	c.note(at, j, "", false, "%s: submitted, %d tasks of team %s, awaits %v", id, spec.Tasks, spec.Team, spec.Awaits)
}

// Malformed says that a user submits what lacks a field.
func (c *Checker) Malformed(at units.Microseconds, id string) {
	c.Planned(at, id, &jobs.Spec{})
	c.jobs[id].malformed = true
}

// Mistaken says that a job was submitted with a mistake: its tasks fail on every machine, and
// nobody need go on trying.
func (c *Checker) Mistaken(id string) { c.jobs[id].mistaken = true }

// impossible says why nobody may accept a job, or "".
func (c *Checker) impossible(j *job) string {
	s := j.spec
	limit, known := c.limitAt(s.Team, c.now), c.knownTeam(s.Team)
	need := s.Demand
	if s.Service {
		need = need.Times(int64(s.Tasks))
	}
	fits := func(t Type) bool {
		return s.AllowsType(t.Name) && s.Demand.Fits(t.Capacity) && (s.Zone == "" || slices.Contains(t.Zones, s.Zone))
	}
	switch {
	case j.malformed:
		return "its submission lacks a field"
	case !known:
		return "there is no such team"
	case len(c.cfg.Types) > 0 && !slices.ContainsFunc(c.cfg.Types, fits):
		return "a task fits no allowed machine type"
	case !within(need, limit):
		return "it needs more than the team's limit"
	}
	return ""
}

// within reports whether a use keeps to a limit, where 0 means none.
func within(use, limit binpack.Vec) bool {
	for r, most := range limit {
		if most > 0 && use[r] > most {
			return false
		}
	}
	return true
}

// accept notes that a user was told for the first time that a job is accepted.
func (c *Checker) accept(at units.Microseconds, j *job) {
	if j.accepted {
		return
	}
	j.accepted, j.toldOn = true, at
	c.open = append(c.open, j)
	if why := c.impossible(j); why != "" {
		c.breaks(at, Impossible, j, "", "%s is accepted: %s", j.id, why)
	}
}

// Earlier says that a job was accepted before this checker began to look, and which
// of its tasks had completed. Whether it was cancelled since is not known.
func (c *Checker) Earlier(at units.Microseconds, id string, spec *jobs.Spec, finished func(task int) bool) {
	c.Planned(at, id, spec)
	j := c.jobs[id]
	j.accepted, j.asked = true, true
	c.open = append(c.open, j)
	for t := range spec.Tasks {
		if finished(t) {
			j.done.Add(t)
		}
	}
}

// CancelAsked says that a user has asked to cancel a job.
func (c *Checker) CancelAsked(at units.Microseconds, id string) {
	c.Advance(at)
	if j := c.jobs[id]; j != nil {
		j.asked = true
		c.note(at, j, "", false, "%s: its user asks to cancel it", id)
	}
}

// Submitted says what a submission was answered, and how long that took; code 0:
// nothing in time.
func (c *Checker) Submitted(at, took units.Microseconds, id string, code int, s jobs.Status) {
	c.Advance(at)
	j := c.jobs[id]
	if j == nil {
		return
	}
	c.note(at, j, "", false, "%s: submission answered %d %s", id, code, s)
	switch {
	case code == http.StatusOK || code == http.StatusCreated:
		if code == http.StatusCreated && j.knownTo(at-took) {
			c.breaks(at, WentBack, j, "", "%s was accepted, and submitted again it is answered as a new job", id)
		}
		if code == http.StatusCreated && !j.accepted {
			c.acceptedFor(at, at-took, j)
		}
		c.told(at, at-took, j, s)
	case j.knownTo(at-took) && (code == http.StatusBadRequest || code == http.StatusUnprocessableEntity):
		c.breaks(at, Forgotten, j, "", "%s was accepted, and submitted again it is refused with %d", id, code)
	}
}

// Polled says what a poll was answered, and how long that took.
func (c *Checker) Polled(at, took units.Microseconds, id string, code int, s jobs.Status) {
	c.Advance(at)
	c.polls++
	if code == http.StatusOK || code == http.StatusNotFound {
		c.polled++
	}
	j := c.jobs[id]
	switch {
	case j == nil && code == http.StatusOK:
		c.breaks(at, Invented, nil, "", "%s, which nobody submitted, is called %s", id, s)
	case j == nil:
	case code == http.StatusOK:
		c.note(at, j, "", false, "%s: polled, %s", id, s)
		j.pollsLost = 0
		c.told(at, at-took, j, s)
	case code == http.StatusNotFound:
		if j.knownTo(at - took) {
			c.breaks(at, Forgotten, j, "", "%s was accepted, and a poll for it is answered 404", id)
		}
	case j.accepted:
		// A job may be polled seldom: what counts is for how long its polls fail.
		if j.pollsLost++; j.pollsLost == 1 {
			j.lostSince, j.okBefore, j.allBefore = at, c.polled, c.polls
		}
		c.note(at, j, "", false, "%s: poll fails with %d", id, code)
		all, ok := c.polls-j.allBefore, c.polled-j.okBefore
		if at-j.lostSince > pollsFail && j.pollsLost > 2 && 2*ok > all {
			c.breaks(at, Forgotten, j, "", "every poll for %s has failed since %.1f", id, j.lostSince.Seconds())
		}
		if since := max(j.lostSince, c.calm); at-since > pollsFailCalm {
			c.breaks(at, Forgotten, j, "", "no question about %s was answered since %.1f, and all troubles are over", id, since.Seconds())
		}
	}
}

// Cancelled says what a request to cancel was answered, and how long that took.
func (c *Checker) Cancelled(at, took units.Microseconds, id string, code int, s jobs.Status) {
	c.Advance(at)
	j := c.jobs[id]
	if j == nil {
		return
	}
	c.note(at, j, "", false, "%s: request to cancel answered %d %s", id, code, s)
	switch {
	case code == http.StatusOK:
		if s != jobs.Cancelled && s != jobs.Done {
			c.breaks(at, WentBack, j, "", "the request to cancel %s is answered %s", id, s)
		}
		c.told(at, at-took, j, s)
	case code == http.StatusNotFound && j.knownTo(at-took):
		c.breaks(at, Forgotten, j, "", "%s was accepted, and the request to cancel it is answered 404", id)
	}
}

// knownTo reports whether a call that was made at a time must find the job. One that was
// under way when its user was told of the acceptance may have been answered before that.
func (j *job) knownTo(made units.Microseconds) bool { return j.accepted && made >= j.toldOn }

// told holds a status against what was told before and against the truth. Of
// calls that were under way together, the answers may come in any order: only one
// that was made after its user had been told may not be answered with less.
func (c *Checker) told(at, made units.Microseconds, j *job, s jobs.Status) {
	c.accept(at, j)
	if j.final != "" && s != j.final && (s.Final() || made >= j.finalAt) {
		c.breaks(at, WentBack, j, "", "%s was called %s, and now %s", j.id, j.final, s)
	}
	off, asked := c.off(j, nil)
	switch s {
	case jobs.Pending, jobs.Running:
		if off > 0 && made > off+c.cfg.CancelIn {
			c.breaks(at, Orphaned, j, "", "%s is called %s, and what it needs was cancelled at %.1f", j.id, s, off.Seconds())
		}
	case jobs.Done:
		if j.final == "" {
			j.final, j.finalAt = s, at
		}
		if j.spec.Service || j.done.Len() < j.spec.Tasks {
			c.breaks(at, NotDone, j, "", "%s is called done with %d of %d tasks", j.id, j.done.Len(), j.spec.Tasks)
		}
	case jobs.Cancelled:
		if !asked {
			c.breaks(at, WentBack, j, "", "%s is called cancelled, and nobody has asked for it", j.id)
		}
		if j.final == "" {
			j.final, j.finalAt, j.toldOff = s, at, at
			c.offLater(at, j, map[*job]bool{})
		}
	}
}

// offLater plans to look whether a cancelled job and all that need it are gone.
func (c *Checker) offLater(at units.Microseconds, j *job, seen map[*job]bool) {
	if seen[j] {
		return
	}
	seen[j] = true
	c.later.Add(at+c.cfg.CancelIn+1, j)
	for _, d := range j.needed {
		c.offLater(at, d, seen)
	}
}

// off returns when a user was first told that a job or one that it needs is
// cancelled, and whether any of their users has asked for it.
func (c *Checker) off(j *job, seen map[*job]bool) (at units.Microseconds, asked bool) {
	at, asked = j.toldOff, j.asked
	if len(j.needs) == 0 {
		return at, asked
	}
	if seen[j] {
		return 0, false
	}
	if seen == nil {
		seen = map[*job]bool{}
	}
	seen[j] = true
	for _, a := range j.needs {
		t, yes := c.off(a, seen)
		asked = asked || yes
		if t > 0 && (at == 0 || t < at) {
			at = t
		}
	}
	return at, asked
}

// Began says that a task is on a machine, with its image.
func (c *Checker) Began(at units.Microseconds, m Machine, id jobs.TaskID) {
	c.Advance(at)
	c.starts++
	j := c.jobs[id.Job]
	if j == nil {
		c.breaks(at, Invented, nil, m.Name, "%s runs on %s, and nobody has submitted its job", id, m.Name)
		return
	}
	c.note(at, j, m.Name, false, "%s begins on %s (%s, zone %s, spot %v)", id, m.Name, m.Type, m.Zone, m.Spot)
	for _, a := range j.needs {
		if a.done.Len() < a.spec.Tasks {
			c.breaks(at, TooEarly, j, m.Name, "%s begins before %s is done", id, a.id)
		}
	}
	if other, ok := j.on[id.Task]; ok {
		c.breaks(at, RanTwice, j, m.Name, "%s begins on %s while it is on %s", id, m.Name, other.Name)
		return
	}
	s := j.spec
	if !s.Allows(m.Type, m.Zone, m.Spot) {
		c.breaks(at, WrongPlace, j, m.Name, "%s begins on %s: %s, zone %s, spot %v", id, m.Name, m.Type, m.Zone, m.Spot)
	}
	off, _ := c.off(j, nil)
	if off > 0 {
		c.late++
	}
	if off > 0 && at > off+c.cfg.CancelIn {
		c.breaks(at, RanCancelled, j, m.Name, "%s begins on %s, and its cancellation was told at %.1f", id, m.Name, off.Seconds())
	}
	if j.began == 0 {
		j.began = at
	}
	if j.on == nil {
		j.on, j.zones = map[int]Machine{}, map[string]int{}
	}
	j.on[id.Task] = m
	j.zones[m.Zone]++
	j.waits, j.excused = 0, 0
	if s.OneZone && len(j.zones) > 1 || s.Spread && j.zones[m.Zone] > (s.Tasks+1)/2 {
		c.breaks(at, WrongPlace, j, m.Name, "%s begins on %s: tasks by zone %v", id, m.Name, j.zones)
	}
	u := c.use[s.Team].Add(s.Demand)
	c.use[s.Team] = u
	limit := c.limitAt(s.Team, c.orderedAt(at, s.Team, id))
	for r, lim := range limit {
		if lim > 0 && u[r] > lim {
			c.breaks(at, Quota, j, m.Name, "team %s uses %v, its limit is %v", s.Team, u, limit)
		}
	}
}

// Ended says that a task is no longer on a machine, and whether it completed.
func (c *Checker) Ended(at units.Microseconds, m Machine, id jobs.TaskID, completed bool) {
	c.Advance(at)
	j := c.jobs[id.Job]
	if j == nil {
		return
	}
	c.note(at, j, m.Name, false, "%s ends on %s, completed %v", id, m.Name, completed)
	if completed {
		j.done.Add(id.Task)
	}
	if on, ok := j.on[id.Task]; ok && on.Name == m.Name {
		delete(j.on, id.Task)
		if j.zones[m.Zone]--; j.zones[m.Zone] == 0 {
			delete(j.zones, m.Zone)
		}
		if len(j.on) == 0 {
			j.on, j.zones = nil, nil
		}
		c.use[j.spec.Team] = c.use[j.spec.Team].Sub(j.spec.Demand)
	}
}

// Vanished says that all machines are gone at once, with all that was on them.
func (c *Checker) Vanished(at units.Microseconds) {
	c.Advance(at)
	c.Note(at, "all machines are gone")
	clear(c.use)
	for _, j := range c.jobs {
		j.on, j.zones = nil, nil
	}
}

// Advance lets time pass: what was cancelled must be gone by its time.
func (c *Checker) Advance(now units.Microseconds) {
	c.now = max(c.now, now)
	for {
		at, j, ok := c.later.Due(c.now)
		if !ok {
			return
		}
		if off, _ := c.off(j, nil); off == 0 || len(j.on) == 0 || j.final == jobs.Done {
			continue
		}
		for _, t := range sortedTasks(j.on) {
			c.breaks(at, RanCancelled, j, j.on[t].Name, "%s/%d is still on %s", j.id, t, j.on[t].Name)
		}
	}
}

func sortedTasks(on map[int]Machine) []int {
	var out []int
	for t := range on {
		out = append(out, t)
	}
	slices.Sort(out)
	return out
}

// Finish looks at the whole: whether anything ran, and, if all work should be
// over by now, whether something that was accepted is not.
func (c *Checker) Finish(at units.Microseconds, over bool) {
	c.Advance(at)
	var left []*job
	wanted := false
	for _, j := range c.jobs {
		_, asked := c.off(j, nil)
		wanted = wanted || j.accepted && !asked
		if j.accepted && j.final == "" && !j.spec.Service {
			left = append(left, j)
		}
	}
	if c.starts == 0 && wanted {
		c.breaks(at, NothingRan, nil, "", "no task was started")
	}
	if !over {
		return
	}
	slices.SortFunc(left, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	for _, j := range left {
		c.breaks(at, Lost, j, "", "%s was accepted, and is not over: %d of %d tasks are done", j.id, j.done.Len(), j.spec.Tasks)
	}
}
