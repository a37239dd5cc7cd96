// Package jobs models a job: what its user asked for (Spec), its stored records (Record,
// ProgressLayout), which of its tasks are ready, placed and finished (Job), and which jobs wait for
// which others (DependencyGraph). Package registry keeps all jobs of a controller.
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
	Live    bool // the machine has reported the task as running or saving, so its image is fetched
	Proven  bool // the replica of a service has run long enough to show that it works
}

// Job is an unfinished job in memory, or only the status of a finished one. Its fields
// are written only by its methods. Package registry calls those that apply stored
// records, and the owner of the job's shard those that track attempts and failures.
type Job struct {
	ID      string
	Version uint64 // of the job's record
	Record  Record

	finished   Set // tasks known to be done
	stored     Set // tasks that are done and stored as such
	places     map[int]Place
	proven     int   // number of places that are proven
	ready      []int // tasks that may start, the next one last
	dirty      map[int]bool
	zones      map[string]int     // number of tasks that may be running, by zone
	DirtySince units.Microseconds // since when finished tasks have waited to be stored; 0: none wait

	MachineFailures  map[string]int     // failed tasks by machine, while no task has succeeded
	AnyTaskSucceeded bool               // a task completed successfully
	Started          bool               // a task has run, as far as this controller knows
	Failing          bool               // it is stored that the job fails everywhere
	QuarantineCount  int                // number of machines quarantined because of this job alone
	NotBefore        units.Microseconds // no task starts before this time, after a failure or a refused start
	MeanRuntime      units.Microseconds // mean run time of the completed tasks; 0: too few have completed
	runCount         int
	runtimeSum       units.Microseconds

	Finalizing   bool // its final record is being stored
	Unreconciled bool // an earlier owner may have started tasks: none may start before all machines are reconciled
	Migrating    bool // it is being moved to another shard: no task may start here

	OpenDependencies int // dependencies not stored as done; no task starts before it is 0
	// Since does not apply to the deadline, which counts from submission.
	Since        units.Microseconds // time of day from which waiting and turnaround times count
	CancelledBy  string             // ID of the dependency whose cancellation cancelled this job
	dependencies []string           // IDs counted in the graph's references, until the job is final
	Archived     bool               // its record has been archived; the job is kept only while its tasks may run
	Objectives   Objectives         // combines its own and those of the jobs that depend on it
}

// Spec returns the job spec, or nil once the job is final.
func (j *Job) Spec() *Spec { return j.Record.Spec }

// Active reports whether the job is not final yet.
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

// IsStored reports whether a task is stored as done.
func (j *Job) IsStored(task int) bool { return j.Record.Status == Done || j.stored.Has(task) }

// AllFinished reports whether every task is done.
func (j *Job) AllFinished() bool {
	return j.Record.Status == Done || (j.finished.Len() == j.Record.Tasks && j.Record.Tasks > 0)
}

// Ready returns how many tasks may start.
func (j *Job) Ready() int { return len(j.ready) }

// Migratable reports whether no task of the job may be running and all finished
// tasks are stored, so that another controller can take the job over.
func (j *Job) Migratable() bool {
	return !j.Unreconciled && !j.Finalizing && len(j.places) == 0 && j.finished.Len() == j.stored.Len() && !j.AllFinished()
}

// Placed returns how many tasks may be running.
func (j *Job) Placed() int { return len(j.places) }

// PlacedIn returns how many tasks may be running in a zone.
func (j *Job) PlacedIn(zone string) int { return j.zones[zone] }

// PlacedByMachine returns how many tasks may be running on each machine that has any.
func (j *Job) PlacedByMachine() map[string]int {
	count := map[string]int{}
	for _, place := range j.places {
		count[place.Machine]++
	}
	return count
}

// Live returns how many tasks run, according to the last heartbeats of their machines.
func (j *Job) Live() int {
	n := 0
	for _, p := range j.places {
		if p.Live {
			n++
		}
	}
	return n
}

// Place returns where a task may be running, and whether it may be running at all.
func (j *Job) Place(task int) (Place, bool) {
	p, ok := j.places[task]
	return p, ok
}

// ClearPlacements forgets where tasks run and which are ready: only the owner of the job's shard tracks that.
func (j *Job) ClearPlacements() {
	j.places, j.proven = map[int]Place{}, 0
	j.ready = nil
	j.dirty, j.DirtySince = map[int]bool{}, 0
	j.zones = map[string]int{}
	j.MachineFailures = map[string]int{}
	j.Finalizing, j.Unreconciled, j.Migrating = false, false, false
}

// Reset prepares the job for a new owner: every unfinished task becomes ready.
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

// PlaceNext removes the next ready task from the list and records its
// placement. At least one task must be ready.
func (j *Job) PlaceNext(p Place) int {
	t := j.ready[len(j.ready)-1]
	j.ready = j.ready[:len(j.ready)-1]
	j.place(t, p)
	return t
}

// Adopt records a task that a machine reports although this controller has not placed it there.
func (j *Job) Adopt(task int, p Place) {
	j.removeReady(task)
	j.place(task, p)
}

func (j *Job) place(task int, p Place) {
	if previous, ok := j.places[task]; ok {
		j.removePlace(task, previous)
	}
	j.places[task] = p
	j.zones[p.Zone]++
	j.Started = j.Started || p.Live
}

func (j *Job) removePlace(task int, p Place) {
	delete(j.places, task)
	j.zones[p.Zone]--
	if p.Proven {
		j.proven--
	}
}

func (j *Job) removeReady(task int) {
	if i := slices.Index(j.ready, task); i >= 0 {
		j.ready = slices.Delete(j.ready, i, i+1)
	}
}

// SetLive records that the machine of a placed task has fetched the task's image: it reports the task as
// running or saving.
func (j *Job) SetLive(task int) {
	p := j.places[task]
	p.Live = true
	j.places[task] = p
	j.Started = true
}

// MarkProven records that a placed replica of a service has run long enough to show that it works. A
// replica never completes, so nothing else shows that.
func (j *Job) MarkProven(task int) {
	p := j.places[task]
	if p.Proven {
		return
	}
	p.Proven = true
	j.places[task] = p
	j.proven++
}

// Release records that an attempt no longer runs anywhere. Unless it is done, the task is ready again.
func (j *Job) Release(task int) {
	p, ok := j.places[task]
	if !ok {
		return
	}
	j.removePlace(task, p)
	if j.Active() && !j.finished.Has(task) {
		j.ready = append(j.ready, task)
	}
}

// Finish records that a task is done, wherever it ran.
func (j *Job) Finish(task int, layout ProgressLayout) {
	if !j.Active() || task >= j.Record.Tasks || !j.finished.Add(task) {
		return
	}
	j.AnyTaskSucceeded, j.Started = true, true
	j.MachineFailures = map[string]int{}
	j.dirty[layout.PartFor(task, j.Record.Tasks).First] = true
	if _, ok := j.places[task]; ok {
		return // released when the machine's heartbeat has been processed
	}
	j.removeReady(task)
}

// minMeanSamples is the number of completed tasks from which their mean run time is used to predict others.
const minMeanSamples = 3

// AddRuntime records the run time of a completed task.
func (j *Job) AddRuntime(runtime units.Microseconds) {
	j.runCount++
	j.runtimeSum += runtime
	if j.runCount >= minMeanSamples {
		j.MeanRuntime = j.runtimeSum / units.Microseconds(j.runCount)
	}
}

// Finalize makes the job final. It drops everything except the record and the
// placements of tasks that may still be running.
func (j *Job) Finalize(record Record, version uint64) {
	j.Record, j.Version = record, version
	j.ready, j.dirty, j.MachineFailures = nil, nil, nil
	j.finished, j.stored = Set{}, Set{}
	if len(j.places) == 0 {
		j.places, j.zones = nil, nil
	}
}

// FinalizeByRecord makes the job final by its own stored record, even
// if it was cancelled through a dependency before.
func (j *Job) FinalizeByRecord(record Record, version uint64) {
	j.Finalize(record, version)
	j.CancelledBy = ""
}

// Cancel makes the job final because the given dependency was cancelled.
func (j *Job) Cancel(dependency string) {
	spec := j.Spec()
	j.CancelledBy, j.OpenDependencies = dependency, 0
	j.Finalize(Record{Status: Cancelled, Shard: j.Record.Shard, Tasks: j.Record.Tasks, Team: spec.Team, Demand: spec.Demand}, j.Version)
}

// RecordStored sets the version of a stored record that changes nothing except possibly the shard.
func (j *Job) RecordStored(version uint64) { j.Version = version }

// AssignToShard moves the job to another shard. The placements are
// cleared, as only that shard's owner tracks them.
func (j *Job) AssignToShard(shard int) {
	j.Record.Shard = shard
	j.ClearPlacements()
}

// MarkArchived records that the job's record has been archived. The
// job is kept while its tasks may be running.
func (j *Job) MarkArchived() { j.Archived = true }

// SetFinalizing sets whether the job's final record is being stored.
func (j *Job) SetFinalizing(closing bool) { j.Finalizing = closing }

// SetMigrating sets whether the job's move to another shard is being stored.
func (j *Job) SetMigrating(migrating bool) { j.Migrating = migrating }

// SetUnreconciled sets whether tasks of the job may run on machines that are not reconciled yet.
func (j *Job) SetUnreconciled(unreconciled bool) { j.Unreconciled = unreconciled }
