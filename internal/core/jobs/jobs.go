// Package jobs keeps jobs, their finished tasks and what teams use.
package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/units"
)

// Status of a job, as stored and as told to users.
type Status string

// A job is Pending or Running until it is Done or Cancelled, which are final.
const (
	Pending   Status = "pending"
	Running   Status = "running"
	Done      Status = "done"
	Cancelled Status = "cancelled"
)

// Final reports whether a job's status can no longer change.
func (s Status) Final() bool { return s == Done || s == Cancelled }

// Priority orders work; larger goes first.
type Priority int

// The four priorities.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// MaxTasks bounds the tasks of one job.
const MaxTasks = 100_000

// Spec is what a user submitted, as stored in the job's record.
type Spec struct {
	Class      string             `json:"class"`
	Team       string             `json:"team"`
	Service    bool               `json:"service,omitempty"`
	Priority   Priority           `json:"priority"`
	Tasks      int                `json:"tasks"`
	Demand     binpack.Vec        `json:"demand"`
	Types      []string           `json:"types,omitempty"`
	AnyType    bool               `json:"any_type,omitempty"`
	Zone       string             `json:"zone,omitempty"`
	OneZone    bool               `json:"one_zone,omitempty"`
	Spread     bool               `json:"spread,omitempty"`
	Spot       bool               `json:"spot,omitempty"`
	Image      string             `json:"image"`
	ImageMB    int64              `json:"image_mb"`
	Estimate   units.Microseconds `json:"estimate"`
	Checkpoint units.Microseconds `json:"checkpoint,omitempty"`
	Save       units.Microseconds `json:"save,omitempty"`
	Deadline   units.Microseconds `json:"deadline,omitempty"` // from submission; 0: none
	Awaits     []string           `json:"awaits,omitempty"`   // jobs that must be done before any task starts
}

// Record is a job's value in the state service. Once a job is final only the
// status and the number of tasks are kept, of a done job when it ended, and of a
// cancelled one what its tasks take, as some may still be running when the next
// holder comes.
type Record struct {
	Status     Status             `json:"status"`
	Shard      int                `json:"block,omitempty"` // whose holder owns the job
	Tasks      int                `json:"tasks"`
	Team       string             `json:"team,omitempty"`
	Demand     binpack.Vec        `json:"demand,omitzero"`
	Submitted  units.Microseconds `json:"submitted,omitempty"` // time of day
	FinishedAt units.Microseconds `json:"ended,omitempty"`     // time of day; 0: not known (releases before 0.3)
	Spec       *Spec              `json:"spec,omitempty"`
	// A description that does not fit one value is stored in parts, see Split.
	Parts int    `json:"parts,omitempty"`
	Sum   string `json:"sum,omitempty"`
}

// DecodeRecord reads a stored record. Where the description is stored in parts
// it is still missing, and the record is of use only once Join has added it.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return r, err
	}
	switch {
	case r.Status.Final():
		r.Spec, r.Parts, r.Sum = nil, 0, ""
	case r.Status != Pending:
		return r, fmt.Errorf("status %q", r.Status)
	case r.Parts < 0 || r.Parts > MaxParts || r.Parts > 0 && (r.Sum == "" || r.Spec != nil):
		return r, errors.New("unusable parts")
	case r.Parts == 0:
		return r, r.check()
	}
	return r, nil
}

// check reports why a record of an unfinished job cannot be worked with.
func (r *Record) check() error {
	if r.Spec == nil || !r.Spec.Sane() || r.Tasks != r.Spec.Tasks || r.Shard < 0 {
		return errors.New("no usable description")
	}
	return nil
}

var idForm = regexp.MustCompile(`^wk-(\d{6}|[1-9]\d{6,17})$`)

// ValidID reports whether a job id has the form that users give ids.
func ValidID(id string) bool { return idForm.MatchString(id) }

// TaskID names one task of a job.
type TaskID struct {
	Job  string
	Task int
}

func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Task) }

// ParseTaskID reads JOB/N.
func ParseTaskID(s string) (TaskID, error) {
	job, num, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	if !ok || err != nil || n < 0 || n >= MaxTasks || !ValidID(job) || strconv.Itoa(n) != num {
		return TaskID{}, fmt.Errorf("task id %q", s)
	}
	return TaskID{job, n}, nil
}

// Set is a set of small numbers.
type Set struct {
	words []uint64
	n     int
}

// Has reports whether i is in the set.
func (s *Set) Has(i int) bool {
	return i/64 < len(s.words) && s.words[i/64]&(1<<(i%64)) != 0
}

// Add puts i into the set and reports whether it is new there.
func (s *Set) Add(i int) bool {
	if s.Has(i) {
		return false
	}
	for len(s.words) <= i/64 {
		s.words = append(s.words, 0)
	}
	s.words[i/64] |= 1 << (i % 64)
	s.n++
	return true
}

// Len returns how many numbers are in the set.
func (s *Set) Len() int { return s.n }

// Ranges writes the members within [lo, hi) relative to lo, as "0-4,7".
func (s *Set) Ranges(lo, hi int) string { return s.rangesFrom(lo, lo, hi) }

// rangesFrom writes the members within [lo, hi) relative to base.
func (s *Set) rangesFrom(base, lo, hi int) string {
	var b strings.Builder
	for i := lo; i < hi; {
		if !s.Has(i) {
			if i%64 == 0 && (i/64 >= len(s.words) || s.words[i/64] == 0) {
				i += 64
			} else {
				i++
			}
			continue
		}
		j := i
		for j+1 < hi && s.Has(j+1) {
			j++
		}
		if b.Len() > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(i - base))
		if j > i {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(j - base))
		}
		i = j + 1
	}
	return b.String()
}

// AddRanges reads what Ranges wrote. Nothing is added when the text is malformed.
func (s *Set) AddRanges(text string, lo, hi int) error {
	if text == "" {
		return nil
	}
	type span struct{ a, b int }
	var spans []span
	for _, part := range strings.Split(text, ",") {
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		a, err1 := strconv.Atoi(first)
		b, err2 := strconv.Atoi(last)
		if err1 != nil || err2 != nil || a < 0 || b < a || lo+b >= hi {
			return fmt.Errorf("range %q", part)
		}
		spans = append(spans, span{a, b})
	}
	for _, sp := range spans {
		for i := sp.a; i <= sp.b; i++ {
			s.Add(lo + i)
		}
	}
	return nil
}

// Place is where an attempt of a task may be running.
type Place struct {
	Machine string
	Attempt uint64
	Zone    string
	Live    bool // the machine reported it on board with its image
}

// Job is an unfinished job in memory, or the mere status of a finished one.
type Job struct {
	ID      string
	Version uint64 // version of the job's record
	Record  Record

	finished Set // known to be done
	stored   Set // done and stored
	places   map[int]Place
	ready    []int // tasks that may start, the next one last
	dirty    map[int]bool
	zones    map[string]int // tasks that may be running, by zone

	DirtySince units.Microseconds // finished tasks wait to be stored; 0: none do

	Errors               map[string]int     // machines on which tasks failed, while none has worked
	Worked               bool               // some task completed
	Started              bool               // some task ran, as far as this controller knows
	Failing              bool               // it is stored that the job fails everywhere
	Replaced             int                // machines given up on account of this job alone
	NotBefore            units.Microseconds // failed lately: not started before this
	MeanRun              units.Microseconds // of the tasks that completed; 0: too few yet
	runs                 int
	runSum               units.Microseconds
	Closing              bool // its end is being stored
	AwaitsReconciliation bool // may have been started by an earlier holder: wait until all machines are accounted for
	Migrating            bool // to another block: not started here

	OpenDependencies int                // awaited jobs that are not stored as done; none of its tasks may start before
	Since            units.Microseconds // time of day from which its times count, but for the deadline
	CancelledBy      string             // the awaited job whose cancellation cancelled this one
	awaits           []string           // as the graph counts them, until it is over
	Archived         bool               // its record has left the state service's listing: kept only while tasks of it may run
	Objectives       Objectives         // its own and those of the jobs that need it
}

// Spec returns the job's description; nil once the job is final.
func (j *Job) Spec() *Spec { return j.Record.Spec }

// Active reports whether the job still has work to do.
func (j *Job) Active() bool { return !j.Record.Status.Final() }

// Finished returns how many tasks are done.
func (j *Job) Finished() int {
	if j.Record.Status == Done {
		return j.Record.Tasks
	}
	return j.finished.Len()
}

// IsFinished reports whether a task is done.
func (j *Job) IsFinished(task int) bool { return j.Record.Status == Done || j.finished.Has(task) }

// IsStored reports whether it is stored that a task is done.
func (j *Job) IsStored(task int) bool { return j.Record.Status == Done || j.stored.Has(task) }

// AllFinished reports whether every task is done.
func (j *Job) AllFinished() bool {
	return j.Record.Status == Done || (j.finished.Len() == j.Record.Tasks && j.Record.Tasks > 0)
}

// Suspect reports whether the job has failed and nothing of it has worked: the
// job or the machine may be to blame.
func (j *Job) Suspect() bool { return !j.Worked && (j.Failing || len(j.Errors) > 0) }

// FailsEverywhere reports whether the job has failed on several machines and
// worked on none.
func (j *Job) FailsEverywhere() bool { return !j.Worked && (j.Failing || len(j.Errors) > 1) }

// Trials returns how many more tasks may start: few, while the job is suspect.
func (j *Job) Trials() int {
	switch {
	case j.FailsEverywhere():
		return max(0, min(len(j.ready), 1-len(j.places)))
	case j.Suspect():
		return max(0, min(len(j.ready), 2-len(j.places)))
	}
	return len(j.ready)
}

// Ready returns how many tasks may start.
func (j *Job) Ready() int { return len(j.ready) }

// Migratable reports whether nothing of the job runs and all that is done is
// stored, so that another controller can own it.
func (j *Job) Migratable() bool {
	return !j.AwaitsReconciliation && !j.Closing && len(j.places) == 0 && j.finished.Len() == j.stored.Len() && !j.AllFinished()
}

// Placed returns how many tasks may be running.
func (j *Job) Placed() int { return len(j.places) }

// PlacedIn returns how many tasks may be running in a zone.
func (j *Job) PlacedIn(zone string) int { return j.zones[zone] }

// Live returns how many tasks run, as their machines last reported.
func (j *Job) Live() int {
	n := 0
	for _, p := range j.places {
		if p.Live {
			n++
		}
	}
	return n
}

// Place returns where a task may be running.
func (j *Job) Place(task int) (Place, bool) {
	p, ok := j.places[task]
	return p, ok
}

// Clear forgets where tasks are. Only a holder keeps the list of ready tasks.
func (j *Job) Clear() {
	j.places = map[int]Place{}
	j.ready = nil
	j.dirty, j.DirtySince = map[int]bool{}, 0
	j.zones = map[string]int{}
	j.Errors = map[string]int{}
	j.Closing, j.AwaitsReconciliation, j.Migrating = false, false, false
}

// Reset prepares the job for a new holder: every unfinished task is ready.
func (j *Job) Reset() {
	j.Clear()
	j.Worked = j.Worked || j.finished.Len() > 0
	j.Started = j.Started || j.Worked
	if j.Active() {
		for t := j.Record.Tasks - 1; t >= 0; t-- {
			if !j.finished.Has(t) {
				j.ready = append(j.ready, t)
			}
		}
	}
}

// Take returns the next ready task and records where it goes.
func (j *Job) Take(p Place) int {
	t := j.ready[len(j.ready)-1]
	j.ready = j.ready[:len(j.ready)-1]
	j.place(t, p)
	return t
}

// Adopt records a task that a machine reports although it was not placed there.
func (j *Job) Adopt(task int, p Place) {
	j.unready(task)
	j.place(task, p)
}

func (j *Job) place(task int, p Place) {
	if old, ok := j.places[task]; ok {
		j.zones[old.Zone]--
	}
	j.places[task] = p
	j.zones[p.Zone]++
	j.Started = j.Started || p.Live
}

func (j *Job) unready(task int) {
	if i := slices.Index(j.ready, task); i >= 0 {
		j.ready = slices.Delete(j.ready, i, i+1)
	}
}

// SetLive records that a placed task is on its machine with its image.
func (j *Job) SetLive(task int) {
	p := j.places[task]
	p.Live = true
	j.places[task] = p
	j.Started = true
}

// Release records that an attempt is no longer anywhere; unless it is done the task is ready again.
func (j *Job) Release(task int) {
	p, ok := j.places[task]
	if !ok {
		return
	}
	delete(j.places, task)
	j.zones[p.Zone]--
	if j.Active() && !j.finished.Has(task) {
		j.ready = append(j.ready, task)
	}
}

// Finish records that a task is done, wherever it was.
func (j *Job) Finish(task int, l Layout) {
	if !j.Active() || task >= j.Record.Tasks || !j.finished.Add(task) {
		return
	}
	j.Worked, j.Started = true, true
	j.Errors = map[string]int{}
	j.dirty[l.Of(task, j.Record.Tasks).Lo] = true
	if _, ok := j.places[task]; ok {
		return // released when its machine's report is through
	}
	j.unready(task)
}

// Ran records how long a task ran.
func (j *Job) Ran(took units.Microseconds) {
	j.runs++
	j.runSum += took
	if j.runs >= 3 {
		j.MeanRun = j.runSum / units.Microseconds(j.runs)
	}
}

// Settle makes the job final: only its status is kept.
func (j *Job) Settle(r Record, stamp uint64) {
	j.Record, j.Version = r, stamp
	j.ready, j.dirty, j.Errors = nil, nil, nil
	j.finished, j.stored = Set{}, Set{}
	if len(j.places) == 0 {
		j.places, j.zones = nil, nil
	}
}

// Sane reports whether a description that came from another process can be
// worked with.
func (s *Spec) Sane() bool {
	for _, v := range s.Demand {
		if v < 0 {
			return false
		}
	}
	for _, id := range s.Awaits {
		if !ValidID(id) {
			return false
		}
	}
	return s.Tasks >= 1 && s.Tasks <= MaxTasks && s.Estimate >= 0 && s.Deadline >= 0 && s.Save >= 0 && s.Checkpoint >= 0 &&
		s.Priority >= Low && s.Priority <= Production
}

// AllowsType reports whether a job's tasks may run on a machine type.
func (s *Spec) AllowsType(name string) bool {
	return s.AnyType || slices.Contains(s.Types, name)
}

// Allows reports whether a job's tasks may run on a kind of machine, whatever
// the job's other tasks do.
func (s *Spec) Allows(typ, zone string, spot bool) bool {
	return (!spot || s.Spot) && (s.Zone == "" || s.Zone == zone) && s.AllowsType(typ)
}

// ZoneAllows reports whether one more task may go to a zone, given where the
// job's other tasks may be running.
func (j *Job) ZoneAllows(zone string) bool {
	s := j.Spec()
	if !s.OneZone && !s.Spread {
		return true
	}
	if s.OneZone && j.zones[zone] < len(j.places) {
		return false
	}
	return !s.Spread || j.zones[zone] < (s.Tasks+1)/2
}
