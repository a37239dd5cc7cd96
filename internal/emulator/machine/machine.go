// Package machine is the model of a worker and of the machine that it runs on:
// reports, tokens, leases and sessions, commands, images, checkpoints, as the
// protocol describes them. It is pure: time, answers and draws go in, effects
// come out of Drain.
package machine

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/work"
)

// Times of the protocol.
const (
	AnswerWithin = 4 * units.Second
	changeGap    = units.Second / 2 // between reports of changes
	retryPause   = units.Second
)

// Config describes a machine.
type Config struct {
	Name, Addr  string
	Type, Zone  string
	Spot        bool
	Capacity    binpack.Vec
	CacheMB     int64
	FetchMBs    int64 // megabytes a second, shared by all fetches
	ReportEvery units.Microseconds
	Lease       units.Microseconds
	Nodes       []string // controllers, in the order in which they are tried
	Clock       float64  // rate of its steady clock, about 1
}

// Fault is what is wrong with a machine; it may change while it runs.
type Fault struct {
	Speed float64 // of its processors
	Sick  bool    // every task fails
}

// Effects.
type (
	// Report is to be sent to a controller; its answer goes to Answer, none after 4 s.
	Report struct {
		Node   string
		Number int
		Body   *fleet.Heartbeat
		Saved  map[jobs.TaskID]bool // of the stopped tasks, whose progress was saved
	}
	// Began says that a task is on the machine with its image; Ended that it no
	// longer is, and whether it completed.
	Began struct{ Task jobs.TaskID }
	Ended struct {
		Task      jobs.TaskID
		Completed bool
	}
)

// Answer is a controller's answer to a report.
type Answer struct {
	Code     int
	Node     string // of a 421
	Token    uint64
	NoToken  bool
	Commands []fleet.Command
}

// unread is an answer to a report that is read once the machine goes on.
type unread struct {
	number int
	answer Answer
}

// Starts returns the tasks that an answer starts, if it is acted on.
func (a Answer) Starts() (out []jobs.TaskID) {
	for _, c := range a.Commands {
		if c.Op == fleet.Start {
			out = append(out, c.ID)
		}
	}
	return out
}

type task struct {
	id      jobs.TaskID
	attempt uint64
	state   fleet.State
	cause   fleet.Cause
	saved   bool
	job     *work.Job
	// A running task has done progress by the time since, and ends at ends; a
	// saving one has saved at ends.
	progress units.Microseconds
	since    units.Microseconds
	ends     units.Microseconds
}

// Worker is a machine with its worker.
type Worker struct {
	cfg   Config
	fault Fault
	book  work.Book
	rng   *rand.Rand
	now   units.Microseconds

	node      int
	session   uint64
	seq       uint64
	token     uint64
	leaseFrom units.Microseconds // when the last report that got an answer was sent
	noticeAt  units.Microseconds // when the cloud takes the machine, by its word; Never: no notice
	hungTill  units.Microseconds
	unread    *unread // an answer that came while the machine stands still
	deafTill  units.Microseconds
	muteTill  units.Microseconds

	reportAt   units.Microseconds // the next report, unless something changes before
	changed    bool
	lastReport units.Microseconds
	notBefore  units.Microseconds // pause after a failure
	inFlight   int                // number of the report under way; 0: none
	sentAt     units.Microseconds
	sentIn     uint64 // session
	reports    int
	tokenTold  units.Microseconds // when a higher token last counted as a change

	tasks   map[jobs.TaskID]*task
	refused []*task // refusals that stand beside an attempt of the same task
	free    binpack.Vec
	cache   []string // images, the most recently used last
	cached  map[string]int64
	fetches map[string]*fetch
	fetched units.Microseconds // up to when fetches have gone on
	out     []any
}

type fetch struct {
	image string
	left  float64 // megabytes
	size  int64
}

// New returns a worker that has just begun.
func New(cfg Config, f Fault, book work.Book, now units.Microseconds, rng *rand.Rand) *Worker {
	w := &Worker{cfg: cfg, fault: f, book: book, rng: rng, now: now, session: 1, leaseFrom: now, noticeAt: units.Never,
		free: cfg.Capacity, tasks: map[jobs.TaskID]*task{}, cached: map[string]int64{}, fetches: map[string]*fetch{},
		fetched: now, reportAt: now, lastReport: now - changeGap, tokenTold: now - cfg.Lease}
	if len(cfg.Nodes) > 0 {
		w.node = rng.IntN(len(cfg.Nodes))
	}
	return w
}

// Session returns the present session.
func (w *Worker) Session() uint64 { return w.session }

// Running returns how many tasks are on the machine with their image.
func (w *Worker) Running() int {
	n := 0
	for _, t := range w.tasks {
		if t.on() {
			n++
		}
	}
	return n
}

// Use returns what the tasks take that are on the machine, and those that wait for their
// image.
func (w *Worker) Use() (running, fetching binpack.Vec) {
	for _, t := range w.tasks {
		switch {
		case t.on():
			running = running.Add(t.job.Spec.Demand)
		case t.state == fleet.Fetching:
			fetching = fetching.Add(t.job.Spec.Demand)
		}
	}
	return running, fetching
}

// Free returns the room that is left, and the tasks that take the rest.
func (w *Worker) Free() (free binpack.Vec, taken []jobs.TaskID) {
	for _, id := range w.ids() {
		if w.tasks[id].state != fleet.Exited {
			taken = append(taken, id)
		}
	}
	return w.free, taken
}

// Left returns the tasks that are on the machine, in the order of their names, and how much
// longer each is, while nothing stops it.
func (w *Worker) Left(now units.Microseconds) (out []Remaining) {
	for _, id := range w.ids() {
		if t := w.tasks[id]; t.on() {
			out = append(out, Remaining{id, t.ends - now})
		}
	}
	return out
}

// Remaining is a task on a machine, and how much longer it takes.
type Remaining struct {
	Task jobs.TaskID
	Time units.Microseconds
}

// Doubtful reports whether something is wrong with the machine, or the cloud is about to take
// it away.
func (w *Worker) Doubtful() bool {
	return w.fault.Sick || w.noticeAt != units.Never
}

func (t *task) on() bool { return t.state == fleet.Running || t.state == fleet.Saving }

// SetFault changes what is wrong with the machine.
func (w *Worker) SetFault(now units.Microseconds, f Fault) {
	w.Advance(now)
	for _, t := range w.tasks {
		if t.state == fleet.Running {
			t.progress = w.progressOf(t)
			t.since = w.now
		}
	}
	w.fault = f
	for _, t := range w.tasks {
		if t.state == fleet.Running {
			w.planEnd(t)
		}
	}
}

// Notice tells the worker that the cloud takes the machine away.
func (w *Worker) Notice(now, in units.Microseconds) {
	w.Advance(now)
	w.noticeAt = now + in
	w.changed = true
}

// Hang lets the machine stand still until a time: it neither works nor speaks,
// and it goes on where it was unless its lease has run out by then.
func (w *Worker) Hang(now, until units.Microseconds) {
	w.Advance(now)
	if until <= w.hungTill || until <= now {
		return
	}
	still := until - max(now, w.hungTill)
	w.hungTill = until
	for _, t := range w.tasks {
		t.since += still
		if t.on() {
			t.ends += still
		}
	}
	w.fetched += still
}

// Deafen lets no answer and no command reach the worker until a time; its reports arrive.
func (w *Worker) Deafen(until units.Microseconds) { w.deafTill = max(w.deafTill, until) }

// Deaf reports whether nothing reaches the worker.
func (w *Worker) Deaf(now units.Microseconds) bool { return now < w.deafTill }

// Silence lets no report reach a controller until a time; direct commands reach the worker.
func (w *Worker) Silence(until units.Microseconds) { w.muteTill = max(w.muteTill, until) }

// Mute reports whether the worker reaches no controller.
func (w *Worker) Mute(now units.Microseconds) bool { return now < w.muteTill }

// Hangs reports whether the machine stands still.
func (w *Worker) Hangs(now units.Microseconds) bool { return now < w.hungTill }

// Stop ends all that is on a machine that is gone.
func (w *Worker) Stop(now units.Microseconds) {
	w.Advance(now)
	w.dropAll()
}

func (w *Worker) dropAll() {
	for _, id := range w.ids() {
		if t := w.tasks[id]; t.on() {
			if t.state == fleet.Running {
				w.keep(t)
			}
			w.out = append(w.out, Ended{Task: id})
		}
	}
	w.tasks = map[jobs.TaskID]*task{}
	w.refused = nil
	w.fetches = map[string]*fetch{}
	w.free = w.cfg.Capacity
}

// ids returns the tasks in the order of their names.
func (w *Worker) ids() []jobs.TaskID {
	ids := make([]jobs.TaskID, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b jobs.TaskID) int {
		if c := strings.Compare(a.Job, b.Job); c != 0 {
			return c
		}
		return a.Task - b.Task
	})
	return ids
}

// leaseEnds is when the lease runs out, by the world's clock.
func (w *Worker) leaseEnds() units.Microseconds {
	return w.leaseFrom + units.Microseconds(float64(w.cfg.Lease)/w.clock()) + 1
}

func (w *Worker) clock() float64 {
	if w.cfg.Clock == 0 {
		return 1
	}
	return w.cfg.Clock
}

// Next returns when Advance is next of use.
func (w *Worker) Next() units.Microseconds {
	lease := w.leaseEnds()
	next := units.Never
	switch {
	case w.inFlight != 0:
		next = min(next, w.sentAt+AnswerWithin)
	case w.changed:
		next = min(next, max(min(w.reportAt, w.lastReport+changeGap), w.notBefore))
	default:
		next = min(next, max(w.reportAt, w.notBefore))
	}
	for _, t := range w.tasks {
		if t.on() {
			next = min(next, t.ends)
		}
	}
	if n := len(w.fetches); n > 0 {
		next = min(next, w.fetched+w.fetchTime())
	}
	if w.unread != nil {
		next = w.hungTill
	}
	return min(lease, max(next, w.hungTill))
}

// fetchTime is how long it takes until the first fetch is through.
func (w *Worker) fetchTime() units.Microseconds {
	least := -1.0
	for _, f := range w.fetches {
		if least < 0 || f.left < least {
			least = f.left
		}
	}
	return units.Seconds(least*float64(len(w.fetches))/float64(max(w.cfg.FetchMBs, 1))) + 1
}

// Advance lets time pass.
func (w *Worker) Advance(now units.Microseconds) {
	w.now = max(w.now, now)
	// A machine that stands still resumes within its lease or without its tasks:
	// what counts the lease there is not what stands still.
	if w.now >= w.leaseEnds() {
		w.dropAll()
		w.session++
		w.leaseFrom = w.now
		w.changed = true
	}
	if w.now < w.hungTill {
		return
	}
	if u := w.unread; u != nil {
		w.unread = nil
		if w.inFlight == u.number && w.now < w.sentAt+AnswerWithin {
			w.take(u.answer)
		}
	}
	w.fetchOn()
	for _, id := range w.due() {
		w.ended(w.tasks[id])
	}
	if w.inFlight != 0 && w.now >= w.sentAt+AnswerWithin {
		w.inFlight = 0
		w.tryNext(retryPause)
	}
	due := w.reportAt
	if w.changed {
		due = min(due, w.lastReport+changeGap)
	}
	if w.inFlight == 0 && w.now >= max(due, w.notBefore) && len(w.cfg.Nodes) > 0 {
		w.report()
	}
}

// due returns the tasks whose run or saving is over, in the order of their names.
func (w *Worker) due() []jobs.TaskID {
	any := false
	for _, t := range w.tasks {
		any = any || t.on() && t.ends <= w.now
	}
	if !any {
		return nil
	}
	return slices.DeleteFunc(w.ids(), func(id jobs.TaskID) bool {
		t := w.tasks[id]
		return !t.on() || t.ends > w.now
	})
}

func (w *Worker) ended(t *task) {
	switch {
	case t.state == fleet.Saving:
		t.job.Save(t.id.Task, t.progress)
		t.saved = true
		w.exit(t, fleet.Stopped)
	case w.fault.Sick || t.job.Broken:
		w.exit(t, fleet.Failed)
	default:
		t.job.Finish(t.id.Task)
		w.exit(t, fleet.Completed)
	}
}

// exit ends an attempt; it stays in the reports until it is to be forgotten.
func (w *Worker) exit(t *task, c fleet.Cause) {
	was := t.on()
	if t.job != nil && t.state != fleet.Exited {
		w.free = w.free.Add(t.job.Spec.Demand)
	}
	t.state, t.cause = fleet.Exited, c
	if was {
		w.out = append(w.out, Ended{t.id, c == fleet.Completed})
	}
	w.changed = true
	w.dropFetches()
}

// report sends what the machine holds.
func (w *Worker) report() {
	w.reports++
	w.inFlight, w.sentAt, w.sentIn, w.lastReport = w.reports, w.now, w.session, w.now
	w.changed = false
	w.reportAt = w.now + units.Microseconds(float64(w.cfg.ReportEvery)*(0.75+0.5*w.rng.Float64()))
	body, saved := w.List()
	if w.Mute(w.now) {
		return // the connection does not come about: the worker gives up after AnswerWithin
	}
	w.out = append(w.out, Report{w.cfg.Nodes[w.node], w.reports, body, saved})
}

// List is what a report tells; each counts as a message of its own.
func (w *Worker) List() (*fleet.Heartbeat, map[jobs.TaskID]bool) {
	w.seq++
	r := &fleet.Heartbeat{Machine: w.cfg.Name, Addr: w.cfg.Addr, Type: w.cfg.Type, Zone: w.cfg.Zone, Spot: w.cfg.Spot,
		Incarnation: w.session, Seq: w.seq, FencingToken: w.token, Notice: units.Never}
	if w.noticeAt != units.Never {
		r.Notice = max(w.noticeAt-w.now, 0)
	}
	saved := map[jobs.TaskID]bool{}
	add := func(t *task) {
		r.Tasks = append(r.Tasks, fleet.Task{ID: t.id, Attempt: t.attempt, State: t.state, Cause: t.cause})
		if t.saved {
			saved[t.id] = true
		}
	}
	for _, id := range w.ids() {
		add(w.tasks[id])
	}
	for _, t := range w.refused {
		add(t)
	}
	return r, saved
}

// Failed says that a report got no answer that counts.
func (w *Worker) Failed(now units.Microseconds, number int) {
	w.Advance(now)
	if w.inFlight == number && number != 0 {
		w.inFlight = 0
		w.tryNext(retryPause)
	}
}

func (w *Worker) tryNext(pause units.Microseconds) {
	w.node = (w.node + 1) % len(w.cfg.Nodes)
	w.again(pause)
}

func (w *Worker) again(pause units.Microseconds) {
	w.notBefore = w.now + pause
	w.reportAt = w.notBefore
}

// Answer takes a controller's answer to a report. One that comes after 4 s, or
// while a later report is under way, is nobody's. A machine that stands still reads it
// once it goes on, if that is soon enough.
func (w *Worker) Answer(now units.Microseconds, number int, a Answer) {
	w.Advance(now)
	if w.inFlight != number || number == 0 || w.Deaf(now) {
		return
	}
	if w.Hangs(w.now) {
		w.unread = &unread{number, a}
		return
	}
	w.take(a)
}

// take reads the answer to the report that is under way.
func (w *Worker) take(a Answer) {
	w.inFlight = 0
	if a.Code == http.StatusMisdirectedRequest {
		if i := slices.Index(w.cfg.Nodes, a.Node); i >= 0 && i != w.node {
			w.node = i
			w.again(units.Microseconds(w.rng.Int64N(int64(units.Second / 2))))
			return
		}
	}
	if a.Code != http.StatusOK {
		w.tryNext(retryPause)
		return
	}
	if a.NoToken || a.Token < w.token || w.sentIn != w.session {
		return // dropped: its commands are not carried out, and it renews nothing
	}
	w.takeToken(a.Token)
	w.leaseFrom = max(w.leaseFrom, w.sentAt)
	for _, c := range a.Commands {
		w.command(c)
	}
}

func (w *Worker) takeToken(token uint64) {
	if token > w.token && w.now-w.tokenTold >= w.cfg.Lease/2 {
		w.tokenTold = w.now
		w.changed = true
	}
	w.token = max(w.token, token)
}

// Direct carries commands out that came straight to the machine, and reports
// whether the token and the session allowed it. No lease is renewed.
func (w *Worker) Direct(now units.Microseconds, token, session uint64, commands []fleet.Command) bool {
	w.Advance(now)
	if token < w.token || session != w.session {
		return false
	}
	w.takeToken(token)
	for _, c := range commands {
		w.command(c)
	}
	return true
}

func (w *Worker) command(c fleet.Command) {
	t := w.tasks[c.ID]
	switch c.Op {
	case fleet.Start:
		w.start(c, t)
	case fleet.Stop:
		if t != nil && t.attempt == c.Attempt && t.state != fleet.Exited {
			w.stop(t, c.Grace)
		}
	case fleet.Forget:
		w.refused = slices.DeleteFunc(w.refused, func(r *task) bool { return r.id == c.ID && r.attempt == c.Attempt })
		if t != nil && t.attempt == c.Attempt && t.state == fleet.Exited {
			delete(w.tasks, c.ID)
			w.changed = true
		}
	}
}

// stop lets a task that has checkpoints save, if the grace is long enough.
func (w *Worker) stop(t *task, grace units.Microseconds) {
	s := t.job.Spec
	if t.state == fleet.Running && s.Checkpoint > 0 && grace >= s.Save {
		t.progress = w.progressOf(t)
		t.state, t.ends = fleet.Saving, w.now+s.Save
		w.changed = true
		return
	}
	if t.state == fleet.Saving && grace > 0 {
		return
	}
	if t.state == fleet.Running && s.Checkpoint > 0 {
		w.keep(t)
	}
	w.exit(t, fleet.Stopped)
}

// keep saves what a task had saved by itself, at its last checkpoint.
func (w *Worker) keep(t *task) {
	if every := t.job.Spec.Checkpoint; every > 0 {
		t.job.Save(t.id.Task, w.progressOf(t)/every*every)
	}
}

// progressOf is how much of a running task is done, in time at speed 1.
func (w *Worker) progressOf(t *task) units.Microseconds {
	return t.progress + units.Microseconds(float64(max(w.now-t.since, 0))*w.fault.Speed)
}

func (w *Worker) start(c fleet.Command, old *task) {
	if old != nil && old.attempt == c.Attempt ||
		slices.ContainsFunc(w.refused, func(r *task) bool { return r.id == c.ID && r.attempt == c.Attempt }) {
		return
	}
	n := &task{id: c.ID, attempt: c.Attempt, state: fleet.Exited}
	w.changed = true
	if old != nil && old.state != fleet.Exited {
		n.cause = fleet.Busy
		if len(w.refused) < 64 {
			w.refused = append(w.refused, n)
		}
		return
	}
	w.tasks[c.ID] = n
	j := w.book[c.ID.Job]
	switch {
	case j == nil || c.ID.Task >= j.Spec.Tasks:
		n.cause = fleet.Unknown
		return
	case !j.Spec.Demand.Fits(w.free):
		n.cause = fleet.NoCapacity
		return
	}
	n.job, n.state = j, fleet.Fetching
	w.free = w.free.Sub(j.Spec.Demand)
	if _, ok := w.cached[j.Spec.Image]; ok {
		w.run(n)
		return
	}
	if w.fetches[j.Spec.Image] == nil {
		w.fetches[j.Spec.Image] = &fetch{j.Spec.Image, float64(j.Spec.ImageMB), j.Spec.ImageMB}
	}
}

// run begins a task that has its image. A task that completed once does so again
// at once.
func (w *Worker) run(t *task) {
	w.use(t.job.Spec.Image, t.job.Spec.ImageMB)
	t.state, t.since, t.progress = fleet.Running, w.now, t.job.Saved(t.id.Task)
	w.out = append(w.out, Began{t.id})
	w.planEnd(t)
	w.changed = true
}

func (w *Worker) planEnd(t *task) {
	switch {
	case t.job.Finished(t.id.Task):
		t.ends = w.now
	case t.job.Spec.Service && !t.job.Broken && !w.fault.Sick:
		t.ends = units.Never
	default:
		left := max(t.job.RunOf(t.id.Task)-t.progress, 0)
		if (t.job.Broken || w.fault.Sick) && left > 2*units.Second {
			left = 2 * units.Second // what fails does so soon
		}
		t.ends = w.now + units.Microseconds(float64(left)/max(w.fault.Speed, 0.01))
	}
}

// use puts an image last in the cache, and drops the least recently used ones
// beyond its size that no task needs.
func (w *Worker) use(image string, size int64) {
	if i := slices.Index(w.cache, image); i >= 0 {
		w.cache = slices.Delete(w.cache, i, i+1)
	}
	w.cache = append(w.cache, image)
	w.cached[image] = size
	var sum int64
	for _, s := range w.cached {
		sum += s
	}
	for i := 0; i < len(w.cache)-1 && sum > w.cfg.CacheMB; {
		if w.needed(w.cache[i]) {
			i++
			continue
		}
		sum -= w.cached[w.cache[i]]
		delete(w.cached, w.cache[i])
		w.cache = slices.Delete(w.cache, i, i+1)
	}
}

// needed reports whether a task on the machine uses an image.
func (w *Worker) needed(image string) bool {
	for _, t := range w.tasks {
		if t.state != fleet.Exited && t.job.Spec.Image == image {
			return true
		}
	}
	return false
}

// dropFetches gives fetches up for which no task waits any more.
func (w *Worker) dropFetches() {
	for image := range w.fetches {
		if !w.needed(image) {
			delete(w.fetches, image)
		}
	}
}

// fetchOn lets fetches go on up to now; all under way share the machine's rate.
func (w *Worker) fetchOn() {
	for len(w.fetches) > 0 && w.fetched < w.now {
		step := min(w.fetchTime(), w.now-w.fetched)
		part := step.Seconds() * float64(w.cfg.FetchMBs) / float64(len(w.fetches))
		w.fetched += step
		var through []string
		for image, f := range w.fetches {
			if f.left -= part; f.left <= 0 {
				through = append(through, image)
			}
		}
		slices.Sort(through)
		for _, image := range through {
			f := w.fetches[image]
			delete(w.fetches, image)
			w.use(image, f.size)
			for _, id := range w.ids() {
				if t := w.tasks[id]; t.state == fleet.Fetching && t.job.Spec.Image == image {
					w.run(t)
				}
			}
		}
	}
	w.fetched = max(w.fetched, w.now)
}

// Drain returns the effects since the last call.
func (w *Worker) Drain() []any {
	out := w.out
	w.out = nil
	return out
}
