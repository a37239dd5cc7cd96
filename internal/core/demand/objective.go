package demand

import (
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// ObjectiveKind is the subject of an objective. The text
// is used in the settings and in stored configurations.
type ObjectiveKind string

// Kinds of objectives.
const (
	StartWithin      ObjectiveKind = "wait"      // the tasks start within a time
	FinishWithin     ObjectiveKind = "finished"  // the job finishes within a time
	KeepDeadline     ObjectiveKind = "deadline"  // the job finishes within a multiple of its own deadline
	KeepNominalQuota ObjectiveKind = "guarantee" // teams get their nominal quota; no decision depends on it
)

// ObjectiveKinds returns all kinds.
func ObjectiveKinds() []ObjectiveKind {
	return []ObjectiveKind{StartWithin, FinishWithin, KeepDeadline, KeepNominalQuota}
}

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind   ObjectiveKind
	Class  string
	Within units.Microseconds
	Times  float64 // multiple of the deadline, for KeepDeadline
	Share  float64 // fraction of the jobs that should meet it; no decision depends on it
}

// defaultTimeFactor is the time that a job without any objective is
// given, and an upper bound of Slack, as a multiple of its run time.
const defaultTimeFactor = 8

// TimeRemaining returns the time left for a job, by the earliest of its own deadline, the deadlines that its
// dependents impose on it and the strictest objective of its class. It is negative once that time has passed.
func (e *Estimator) TimeRemaining(wall units.Microseconds, job *jobs.Job) units.Microseconds {
	spec := job.Spec()
	runtime := e.Runtime(spec)
	remaining := units.MaxTime
	for _, objective := range e.objectives {
		if objective.Class != spec.Class || objective.Within <= 0 {
			continue
		}
		switch objective.Kind {
		case FinishWithin:
			remaining = min(remaining, objective.Within)
		case StartWithin:
			remaining = min(remaining, objective.Within+runtime)
		}
	}
	if remaining == units.MaxTime && job.Objectives.Due == units.MaxTime {
		remaining = defaultTimeFactor * runtime
	}
	return min(remaining-(wall-job.Since), job.Objectives.Due-wall)
}

// Urgency orders the jobs of one tier; larger goes first. Work that can still meet its first objective
// goes before work that can meet only a later one. Work that can meet none any more comes last.
type Urgency int

// Urgencies, lowest first.
const (
	AllMissed       Urgency = iota
	FirstMissed             // a later objective can still be met
	Relaxed                 // the first objective can be met with half of its time to spare
	FirstAttainable         // the first objective can be met, or there is none
	Overdue                 // the job has waited for long without starting any task, see package scheduler
	NumUrgencies            // number of urgencies
)

// eachObjective calls f for each of a job's objectives. within is the time
// by which the job should be done or, if start is set, by which its tasks
// should have started. It counts from when the job could first start.
func (e *Estimator) eachObjective(job *jobs.Job, f func(within units.Microseconds, start bool)) {
	for _, objective := range e.objectives {
		if objective.Class == job.Spec().Class && (objective.Kind == StartWithin || objective.Kind == FinishWithin) {
			f(objective.Within, objective.Kind == StartWithin)
		}
	}
	if due := job.Objectives.Due; due != units.MaxTime {
		f(due-job.Since, false)
		if last := job.Objectives.LastDue; last > due {
			f(last-job.Since, false)
		}
	}
}

// Urgency classifies a job by the objectives that it can still meet. It never returns Overdue.
func (e *Estimator) Urgency(wall units.Microseconds, job *jobs.Job) Urgency {
	completion := wall - job.Since + e.Runtime(job.Spec())
	objectives, missed := 0, 0
	first := units.MaxTime
	e.eachObjective(job, func(within units.Microseconds, start bool) {
		if start {
			first = 0 // its tasks should start soon: no time to spare
			return
		}
		objectives++
		first = min(first, within)
		if completion > within {
			missed++
		}
	})
	switch {
	case missed == 0 && objectives > 0 && first-completion > first/2:
		return Relaxed
	case missed == 0:
		return FirstAttainable
	case missed < objectives:
		return FirstMissed
	}
	return AllMissed
}

// Slack returns how long a job's tasks may wait without
// missing the next objective that they can still meet.
func (e *Estimator) Slack(wall units.Microseconds, job *jobs.Job) units.Microseconds {
	runtime, age := e.Runtime(job.Spec()), wall-job.Since
	least := units.MaxTime
	e.eachObjective(job, func(within units.Microseconds, start bool) {
		switch {
		case !start:
			within -= runtime
		case within <= 0:
			return // the objective has no time bound
		}
		if slack := within - age; slack >= 0 {
			least = min(least, slack)
		}
	})
	return min(least, defaultTimeFactor*max(runtime, units.Second))
}

// IsIdleTime reports whether a job is idle-time work, which uses only capacity that other work leaves
// free: it has the lowest priority, no deadline and no objective, and has not waited for long.
func (e *Estimator) IsIdleTime(wall units.Microseconds, job *jobs.Job) bool {
	spec := job.Spec()
	if job.Objectives.Priority != jobs.Low || spec.Service || job.Objectives.Due != units.MaxTime {
		return false
	}
	for _, objective := range e.objectives {
		if objective.Class == spec.Class {
			return false
		}
	}
	return e.TimeRemaining(wall, job) > 0
}
