// Package ranking keeps the order in which a shard's waiting jobs are served. Order sorts
// the jobs by the time from which they could start. Entitle determines which of them are
// within their team's nominal quota. Queue ranks the jobs that may start tasks, so that a
// machine finds the first jobs that fit it without examining the others. The package
// makes no decisions: the scheduler computes tiers and distances from fair share.
package ranking

import (
	"cmp"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Candidate is a job with ready tasks and its position in the ranking.
type Candidate struct {
	Job     *jobs.Job
	Tier    int     // larger tiers are served first
	Deficit float64 // distance below fair share; within a tier the larger is served first

	suspect  bool
	sequence int // order in which the candidates were added
}

// constraints are everything that decides whether an empty machine can run a job's tasks.
type constraints struct {
	demand  binpack.Vec
	types   string
	anyType bool
	zone    string
	spot    bool
}

func constraintsOf(spec *jobs.Spec) constraints {
	c := constraints{demand: spec.Demand, anyType: spec.AnyType, zone: spec.Zone, spot: spec.Spot}
	if !c.anyType {
		c.types = strings.Join(spec.Types, ",")
	}
	return c
}

// equivalenceClass holds the ranked jobs of equal constraints, which can run on the same machines.
type equivalenceClass struct {
	constraints constraints
	spec        *jobs.Spec // of any of its jobs
	jobs        int        // number of jobs in the queue
	ranked      []int      // positions in the ranking, ascending
	exhausted   int        // number of leading ranked jobs that have no task left to start
}

// Queue holds a shard's active jobs and their ranking. The zero value is empty.
type Queue struct {
	Order
	classOf       map[*jobs.Job]*equivalenceClass
	classes       map[constraints]*equivalenceClass // of all jobs
	ranked        []Candidate                       // in the order in which they are served
	active        []*equivalenceClass               // the classes that have ranked jobs
	earliestSince units.Microseconds                // minimum over the ranked jobs
	cursors       []cursor                          // buffer of Each, reused to avoid allocations
	steps         uint64
}

// Add adds a job to the queue. It does nothing if the job is queued already.
func (q *Queue) Add(job *jobs.Job) {
	if q.classOf[job] != nil {
		return
	}
	q.Order.Add(job)
	if q.classOf == nil {
		q.classOf, q.classes = map[*jobs.Job]*equivalenceClass{}, map[constraints]*equivalenceClass{}
	}
	key := constraintsOf(job.Spec())
	class := q.classes[key]
	if class == nil {
		class = &equivalenceClass{constraints: key, spec: job.Spec()}
		q.classes[key] = class
	}
	class.jobs++
	q.classOf[job] = class
}

// Remove removes a job from the queue, if it is queued.
// The job stays in the ranking until the next one begins.
func (q *Queue) Remove(job *jobs.Job) {
	class := q.classOf[job]
	if class == nil {
		return
	}
	q.Order.Remove(job)
	delete(q.classOf, job)
	if class.jobs--; class.jobs == 0 {
		delete(q.classes, class.constraints)
	}
}

// Steps returns the number of jobs and equivalence classes examined so far to rank and serve
// jobs. It measures the cost of the ranking independently of the machine that runs it.
func (q *Queue) Steps() uint64 { return q.steps }

// BeginRanking empties the ranking.
func (q *Queue) BeginRanking() {
	q.steps += uint64(len(q.sorted))
	q.ranked = q.ranked[:0]
	for _, class := range q.active {
		class.ranked, class.exhausted = class.ranked[:0], 0
	}
	q.active = q.active[:0]
	q.earliestSince = units.MaxTime
}

// AddCandidate adds a job of the queue to the ranking in progress. Jobs that are not queued are ignored.
func (q *Queue) AddCandidate(c Candidate) {
	if q.classOf[c.Job] == nil {
		return
	}
	c.suspect, c.sequence = c.Job.Suspect(), len(q.ranked)
	q.ranked = append(q.ranked, c)
	q.earliestSince = min(q.earliestSince, c.Job.Since)
}

// FinishRanking sorts the candidates by tier, within a tier the suspect jobs last, then
// by distance from fair share. Equal candidates keep the order in which they were added.
func (q *Queue) FinishRanking() {
	slices.SortFunc(q.ranked, compareCandidates)
	for i, c := range q.ranked {
		class := q.classOf[c.Job]
		if len(class.ranked) == 0 {
			q.active = append(q.active, class)
		}
		class.ranked = append(class.ranked, i)
	}
}

// compareCandidates orders candidates by when they are served.
func compareCandidates(x, y Candidate) int {
	switch {
	case x.Tier != y.Tier:
		return cmp.Compare(y.Tier, x.Tier)
	case x.suspect != y.suspect:
		if y.suspect {
			return -1
		}
		return 1
	case x.Deficit != y.Deficit:
		return cmp.Compare(y.Deficit, x.Deficit)
	}
	return x.sequence - y.sequence
}

// Ranked returns the ranking. The slice belongs to the queue and is valid until the next BeginRanking.
func (q *Queue) Ranked() []Candidate { return q.ranked }

// EarliestSince returns the earliest time of day from which a
// ranked job could start, or units.MaxTime if no job is ranked.
func (q *Queue) EarliestSince() units.Microseconds { return q.earliestSince }

// cursor is the position of Each within one equivalence class.
type cursor struct {
	class *equivalenceClass
	next  int // index into class.ranked
}

func (c cursor) position() int { return c.class.ranked[c.next] }

// maxVisits bounds the jobs that are examined for one
// machine, even if almost none of them can start a task.
const maxVisits = 1024

// Each calls visit for the ranked jobs that may run on a machine, in the order in which
// they are served, until visit returns false. feasible reports from a job's description
// whether the machine could run its tasks; it is called once per equivalence class. class
// is the same number for all jobs of one class. Neither function may call the queue.
func (q *Queue) Each(feasible func(*jobs.Spec) bool, visit func(c Candidate, class int) bool) {
	cursors := q.cursors[:0]
	for _, class := range q.active {
		q.steps++
		if q.skipExhausted(class); class.exhausted < len(class.ranked) && feasible(class.spec) {
			cursors = append(cursors, cursor{class, class.exhausted})
		}
	}
	for i := len(cursors)/2 - 1; i >= 0; i-- {
		siftDown(cursors, i)
	}
	for visits := 0; len(cursors) > 0 && visits < maxVisits; visits++ {
		q.steps++
		first := cursors[0]
		if !visit(q.ranked[first.position()], first.class.ranked[0]) {
			break
		}
		if cursors[0].next++; cursors[0].next == len(first.class.ranked) {
			cursors[0] = cursors[len(cursors)-1]
			cursors = cursors[:len(cursors)-1]
		}
		siftDown(cursors, 0)
	}
	q.cursors = cursors[:0]
}

// skipExhausted skips the jobs whose last ready task was started since the ranking. If one of
// their tasks becomes ready again, it waits for the next ranking. Nothing is skipped while
// rankings are not throttled: there are few such jobs then, and examining them again is cheap.
func (q *Queue) skipExhausted(class *equivalenceClass) {
	if q.MinInterval() == 0 {
		return
	}
	for class.exhausted < len(class.ranked) && q.ranked[class.ranked[class.exhausted]].Job.Ready() == 0 {
		class.exhausted++
		q.steps++
	}
}

// siftDown restores the heap of cursors, which has the
// smallest position first, after the i-th has increased.
func siftDown(cursors []cursor, i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(cursors); child++ {
			if cursors[child].position() < cursors[least].position() {
				least = child
			}
		}
		if least == i {
			return
		}
		cursors[i], cursors[least] = cursors[least], cursors[i]
		i = least
	}
}

const (
	// maxRankedPerSecond bounds the number of jobs that rankings examine per second.
	maxRankedPerSecond = 40_000
	// smallQueue is the number of jobs up to which rankings are not throttled.
	smallQueue = 1000
)

// MinInterval returns the minimum time between two rankings. It grows with the
// number of jobs, so that the processor time spent on rankings stays bounded.
func (q *Queue) MinInterval() units.Microseconds {
	if q.Len() <= smallQueue {
		return 0
	}
	return units.Microseconds(q.Len()) * units.Second / maxRankedPerSecond
}
