// Package work holds what is true of jobs, whoever believes what: how long their
// tasks run, which are done, and what progress is saved outside of machines.
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
	Run          units.Microseconds // of a task on a machine of speed 1, without the image
	RunVariation float64            // tasks run up to this share shorter or longer
	FailsAlways  bool               // submitted with a mistake: fails on every machine

	done  jobs.Set
	saved map[int]units.Microseconds
}

// RunOf returns how long a task runs on a machine of speed 1. The draw is by the
// task's name, so that every run of it takes as long.
func (j *Job) RunOf(task int) units.Microseconds {
	if j.RunVariation == 0 {
		return j.Run
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(jobs.TaskID{Job: j.ID, Task: task}.String()))
	u := float64(h.Sum64()>>11) / (1 << 53)
	return units.Microseconds(math.Round(float64(j.Run) * (1 + j.RunVariation*(2*u-1))))
}

// Finish records that a task has completed; it stays so.
func (j *Job) Finish(task int) {
	j.done.Add(task)
	delete(j.saved, task)
}

// Finished reports whether a task has completed on any machine.
func (j *Job) Finished(task int) bool { return j.done.Has(task) }

// Done reports whether all tasks have.
func (j *Job) Done() bool { return !j.Spec.Service && j.done.Len() == j.Spec.Tasks }

// DoneTasks returns how many have.
func (j *Job) DoneTasks() int { return j.done.Len() }

// Save keeps a task's progress, in run time on a machine of speed 1.
func (j *Job) Save(task int, p units.Microseconds) {
	if j.saved == nil {
		j.saved = map[int]units.Microseconds{}
	}
	j.saved[task] = max(p, j.saved[task])
}

// Saved returns a task's saved progress.
func (j *Job) Saved(task int) units.Microseconds { return j.saved[task] }

// Uploads holds all jobs that were uploaded, by id.
type Uploads map[string]*Job
