package demand

import (
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// ObjectiveKind is what an objective is about; the text is that of the settings and of stored
// configurations.
type ObjectiveKind string

// Kinds of objectives.
const (
	StartWithin      ObjectiveKind = "wait"      // the tasks start within a time
	FinishWithin     ObjectiveKind = "finished"  // the job is done within a time
	KeepDeadline     ObjectiveKind = "deadline"  // the job is done within some times its own deadline
	KeepNominalQuota ObjectiveKind = "guarantee" // teams get their nominal quota; nothing goes by it
)

// ObjectiveKinds are all kinds.
func ObjectiveKinds() []ObjectiveKind {
	return []ObjectiveKind{StartWithin, FinishWithin, KeepDeadline, KeepNominalQuota}
}

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind   ObjectiveKind
	Class  string
	Within units.Microseconds
	Times  float64 // of the deadline, for KeepDeadline
	Share  float64 // of the jobs for which it is to hold; nothing goes by it
}

// patience bounds the time that a job without any objective is given, in run times.
const patience = 8

// TimeRemaining is the time that is left for a job, by the earliest deadline that depends on it or by
// the strictest objective of its class.
func (e *Estimator) TimeRemaining(wall units.Microseconds, job *jobs.Job) units.Microseconds {
	spec := job.Spec()
	run := e.Runtime(spec)
	allowed := units.MaxTime
	for _, objective := range e.objectives {
		if objective.Class != spec.Class || objective.Within <= 0 {
			continue
		}
		switch objective.Kind {
		case FinishWithin:
			allowed = min(allowed, objective.Within)
		case StartWithin:
			allowed = min(allowed, objective.Within+run)
		}
	}
	if allowed == units.MaxTime && job.Objectives.Due == units.MaxTime {
		allowed = patience * run
	}
	return min(allowed-(wall-job.Since), job.Objectives.Due-wall)
}

// Urgency orders jobs of one tier; the larger goes first. Work that can still meet its first
// objective goes before work that can only meet a later one, and work that can meet none any more
// comes last.
type Urgency int

// NumUrgencies.
const (
	AllMissed       Urgency = iota
	FirstMissed             // a later objective can still be met
	Relaxed                 // so can the first, with half of its time to spare
	FirstAttainable         // so can the first, or there is none
	Overdue                 // nothing of the job has started for long, see package scheduler
	NumUrgencies            // how many there are
)

// eachObjective calls f with each of a job's objectives: the time by which it should be done or,
// with start, its tasks should have started. All times are from when the job could first start.
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

// Urgency tells which of a job's objectives can still be met; never Overdue.
func (e *Estimator) Urgency(wall units.Microseconds, job *jobs.Job) Urgency {
	done := wall - job.Since + e.Runtime(job.Spec())
	objectives, missed := 0, 0
	first := units.MaxTime
	e.eachObjective(job, func(within units.Microseconds, start bool) {
		if start {
			first = 0 // its tasks should start soon: no time to spare
			return
		}
		objectives++
		first = min(first, within)
		if done > within {
			missed++
		}
	})
	switch {
	case missed == 0 && objectives > 0 && first-done > first/2:
		return Relaxed
	case missed == 0:
		return FirstAttainable
	case missed < objectives:
		return FirstMissed
	}
	return AllMissed
}

// Slack is how long a job's tasks may wait for the next objective that they can still meet.
func (e *Estimator) Slack(wall units.Microseconds, job *jobs.Job) units.Microseconds {
	run, age := e.Runtime(job.Spec()), wall-job.Since
	least := units.MaxTime
	e.eachObjective(job, func(within units.Microseconds, start bool) {
		switch {
		case !start:
			within -= run
		case within <= 0:
			return // no time is given
		}
		if slack := within - age; slack >= 0 {
			least = min(least, slack)
		}
	})
	return min(least, patience*max(run, units.Second))
}

// IsIdleTime reports whether a job uses the time that others leave: it has the lowest priority, nobody
// expects it by any time, and it has not waited for long.
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
