// Package work holds the ground truth about jobs, independent of what controllers and workers know: how
// long their tasks run, which have completed, and the checkpoints saved outside of machines.
package work

import (
	"hash/fnv"
	"math"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Job is a job as its user uploaded it.
type Job struct {
	ID           string
	Spec         *jobs.Spec
	Run          units.Microseconds // mean run time of a task on a machine of speed 1, without the image fetch
	RunVariation float64            // run times vary by up to this share in both directions
	FailsAlways  bool               // submitted with an error: its tasks fail on every machine

	done  jobs.Set
	saved map[int]units.Microseconds
}

// RunOf returns the run time of a task on a machine of speed 1. It is derived from a hash of the task's
// name, so that every attempt takes equally long.
func (j *Job) RunOf(task int) units.Microseconds {
	if j.RunVariation == 0 {
		return j.Run
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(jobs.TaskID{Job: j.ID, Task: task}.String()))
	u := float64(h.Sum64()>>11) / (1 << 53)
	return units.Microseconds(math.Round(float64(j.Run) * (1 + j.RunVariation*(2*u-1))))
}

// Finish records that a task has completed. This is permanent.
func (j *Job) Finish(task int) {
	j.done.Add(task)
	delete(j.saved, task)
}

// Finished reports whether a task has completed on any machine.
func (j *Job) Finished(task int) bool { return j.done.Has(task) }

// Done reports whether all tasks have completed. A service is never done.
func (j *Job) Done() bool { return !j.Spec.Service && j.done.Len() == j.Spec.Tasks }

// DoneTasks returns the number of completed tasks.
func (j *Job) DoneTasks() int { return j.done.Len() }

// Save saves a task's progress, as run time on a machine of speed 1. A lower progress than the saved one
// is ignored.
func (j *Job) Save(task int, p units.Microseconds) {
	if j.saved == nil {
		j.saved = map[int]units.Microseconds{}
	}
	j.saved[task] = max(p, j.saved[task])
}

// Saved returns a task's saved progress.
func (j *Job) Saved(task int) units.Microseconds { return j.saved[task] }

// Uploads holds all jobs that users uploaded, by id.
type Uploads map[string]*Job
