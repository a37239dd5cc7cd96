// Package jobs knows what a job is: what its user asked for (Spec), what is stored of it (Record,
// ProgressLayout), which of its tasks are ready, placed and finished (Job), and which jobs wait for
// which (DependencyGraph). Package registry keeps all jobs of a controller.
package jobs

import (
	"slices"

	"shalestage.example/shalestage/internal/core/units"
)

// Place is where an attempt of a task may be running.
type Place struct {
	Machine string
	Attempt uint64
	Zone    string
	Live    bool // its machine has it with its image
}

// Job is an unfinished job in memory, or the mere status of a finished one. Its fields are written
// by its own methods alone: what is learnt by package registry, attempts and failures by the owner of
// its shard.
type Job struct {
	ID      string
	Version uint64 // of the job's record
	Record  Record

	finished   Set // known to be done
	stored     Set // done and stored
	places     map[int]Place
	ready      []int // tasks that may start, the next one last
	dirty      map[int]bool
	zones      map[string]int     // tasks that may be running, by zone
	DirtySince units.Microseconds // finished tasks wait to be stored; 0: none do

	MachineFailures  map[string]int     // machines on which tasks failed, while none has worked
	AnyTaskSucceeded bool               // some task completed
	Started          bool               // some task ran, as far as this controller knows
	Failing          bool               // it is stored that the job fails everywhere
	QuarantineCount  int                // machines quarantined on account of this job alone
	NotBefore        units.Microseconds // a task failed or was refused lately: none is started before this
	MeanRuntime      units.Microseconds // of the tasks that completed; 0: too few yet
	runCount         int
	runSum           units.Microseconds

	Finalizing   bool // its end is being stored
	Unreconciled bool // an earlier owner may have started it: not before all machines are reconciled
	Migrating    bool // to another shard: not started here

	OpenDependencies int                // jobs that it depends on and that are not stored as done; no task may start before
	Since            units.Microseconds // time of day from which its times count, but for the deadline
	CancelledBy      string             // the dependency whose cancellation cancelled this job
	dependencies     []string           // as the graph counts them, until it is over
	Archived         bool               // its record has been archived: kept only while tasks of it may run
	Objectives       Objectives         // its own and those of the jobs that depend on it
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

// Ready returns how many tasks may start.
func (j *Job) Ready() int { return len(j.ready) }

// Migratable reports whether nothing of the job runs and all that is done is
// stored, so that another controller can own it.
func (j *Job) Migratable() bool {
	return !j.Unreconciled && !j.Finalizing && len(j.places) == 0 && j.finished.Len() == j.stored.Len() && !j.AllFinished()
}

// Placed returns how many tasks may be running.
func (j *Job) Placed() int { return len(j.places) }

// PlacedIn returns how many tasks may be running in a zone.
func (j *Job) PlacedIn(zone string) int { return j.zones[zone] }

// Live returns how many tasks run, by the last heartbeats of their machines.
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

// ClearPlacements forgets where tasks are. Only the owner of the job's shard keeps
// the list of ready tasks.
func (j *Job) ClearPlacements() {
	j.places = map[int]Place{}
	j.ready = nil
	j.dirty, j.DirtySince = map[int]bool{}, 0
	j.zones = map[string]int{}
	j.MachineFailures = map[string]int{}
	j.Finalizing, j.Unreconciled, j.Migrating = false, false, false
}

// Reset prepares the job for a new owner: every unfinished task is ready.
func (j *Job) Reset() {
	j.ClearPlacements()
	j.AnyTaskSucceeded = j.AnyTaskSucceeded || j.finished.Len() > 0
	j.Started = j.Started || j.AnyTaskSucceeded
	if j.Active() {
		for t := j.Record.Tasks - 1; t >= 0; t-- {
			if !j.finished.Has(t) {
				j.ready = append(j.ready, t)
			}
		}
	}
}

// PlaceNext returns the next ready task and records where it goes.
func (j *Job) PlaceNext(p Place) int {
	t := j.ready[len(j.ready)-1]
	j.ready = j.ready[:len(j.ready)-1]
	j.place(t, p)
	return t
}

// Adopt records a task that a machine lists although it was not placed there.
func (j *Job) Adopt(task int, p Place) {
	j.removeReady(task)
	j.place(task, p)
}

func (j *Job) place(task int, p Place) {
	if previous, ok := j.places[task]; ok {
		j.zones[previous.Zone]--
	}
	j.places[task] = p
	j.zones[p.Zone]++
	j.Started = j.Started || p.Live
}

func (j *Job) removeReady(task int) {
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
func (j *Job) Finish(task int, layout ProgressLayout) {
	if !j.Active() || task >= j.Record.Tasks || !j.finished.Add(task) {
		return
	}
	j.AnyTaskSucceeded, j.Started = true, true
	j.MachineFailures = map[string]int{}
	j.dirty[layout.PartFor(task, j.Record.Tasks).First] = true
	if _, ok := j.places[task]; ok {
		return // released once its machine's heartbeat has been taken in
	}
	j.removeReady(task)
}

// minMeanSamples is from how many tasks on a mean says something of the others.
const minMeanSamples = 3

// AddRuntime records how long a task ran.
func (j *Job) AddRuntime(took units.Microseconds) {
	j.runCount++
	j.runSum += took
	if j.runCount >= minMeanSamples {
		j.MeanRuntime = j.runSum / units.Microseconds(j.runCount)
	}
}

// Finalize makes the job final: only its status is kept.
func (j *Job) Finalize(record Record, version uint64) {
	j.Record, j.Version = record, version
	j.ready, j.dirty, j.MachineFailures = nil, nil, nil
	j.finished, j.stored = Set{}, Set{}
	if len(j.places) == 0 {
		j.places, j.zones = nil, nil
	}
}

// FinalizeByRecord makes the job final by its own record, whether or not it was cancelled through another
// before.
func (j *Job) FinalizeByRecord(record Record, version uint64) {
	j.Finalize(record, version)
	j.CancelledBy = ""
}

// Cancel makes a job final that depends on a cancelled one.
func (j *Job) Cancel(through string) {
	spec := j.Spec()
	j.CancelledBy, j.OpenDependencies = through, 0
	j.Finalize(Record{Status: Cancelled, Shard: j.Record.Shard, Tasks: j.Record.Tasks, Team: spec.Team, Demand: spec.Demand}, j.Version)
}

// RecordStored notes the version of a record that changes nothing but, maybe, the shard.
func (j *Job) RecordStored(version uint64) { j.Version = version }

// AssignToShard gives the job to another shard: where its tasks are is for that one's owner to know.
func (j *Job) AssignToShard(shard int) {
	j.Record.Shard = shard
	j.ClearPlacements()
}

// MarkArchived keeps the job, whose record has been archived, for its tasks that may run.
func (j *Job) MarkArchived() { j.Archived = true }

// SetFinalizing says whether the job's end is being stored.
func (j *Job) SetFinalizing(closing bool) { j.Finalizing = closing }

// SetMigrating says whether it is being stored that the job moves to another shard.
func (j *Job) SetMigrating(migrating bool) { j.Migrating = migrating }

// SetUnreconciled says whether tasks may run on machines that are not reconciled.
func (j *Job) SetUnreconciled(unreconciled bool) { j.Unreconciled = unreconciled }
