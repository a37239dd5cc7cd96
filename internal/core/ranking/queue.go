// Package ranking keeps the order in which a shard's waiting jobs are served: which jobs there are,
// by when they could first start (Order); which of them are within their team's nominal quota
// (Entitle); and, of those that may start tasks, a ranking in which a machine finds the first jobs
// that fit it without a look at the others (Queue). It decides nothing: tiers and distances from
// fair share are the scheduler's.
package ranking

import (
	"cmp"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Candidate is a job with ready tasks and its place in the ranking.
type Candidate struct {
	Job     *jobs.Job
	Tier    int     // the larger is served first
	Deficit float64 // within a tier, how far the job is from its fair share: the further first

	suspect  bool
	proposed int // its number among those proposed
}

// constraints are all that decides whether a machine can take a job's tasks, whatever runs there.
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

// equivalenceClass holds the ranked jobs of equal constraints: the same machines can take them.
type equivalenceClass struct {
	constraints constraints
	spec        *jobs.Spec // of any of its jobs
	jobs        int        // in the queue
	ranked      []int      // positions in the ranking, the first first
	exhausted   int        // so many of them, the first, have no task left to start
}

// Queue is a shard's active jobs and their ranking. The zero value is empty.
type Queue struct {
	Order
	classOf map[*jobs.Job]*equivalenceClass
	classes map[constraints]*equivalenceClass // of all jobs
	ranked  []Candidate                       // the first to be served first
	active  []*equivalenceClass               // those that have ranked jobs
	since   units.Microseconds                // the least of the ranked jobs'
	cursors []cursor                          // of Each, kept for its memory
	steps   uint64
}

// Add puts a job into the queue, if it is not there.
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

// Remove takes a job out of the queue, if it is there. It stays in the ranking until the next.
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

// Steps returns how many jobs and equivalence classes were looked at so far to rank and serve jobs:
// what the ranking costs, in a measure that does not depend on the machine.
func (q *Queue) Steps() uint64 { return q.steps }

// BeginRanking empties the ranking.
func (q *Queue) BeginRanking() {
	q.steps += uint64(len(q.sorted))
	q.ranked = q.ranked[:0]
	for _, class := range q.active {
		class.ranked, class.exhausted = class.ranked[:0], 0
	}
	q.active = q.active[:0]
	q.since = units.MaxTime
}

// AddCandidate puts a job of the queue into the ranking that was begun.
func (q *Queue) AddCandidate(c Candidate) {
	if q.classOf[c.Job] == nil {
		return
	}
	c.suspect, c.proposed = c.Job.Suspect(), len(q.ranked)
	q.ranked = append(q.ranked, c)
	q.since = min(q.since, c.Job.Since)
}

// FinishRanking orders what was proposed: by tier, those that fail last in theirs, then by distance
// from fair share; those that are equal stay in the order in which they were proposed.
func (q *Queue) FinishRanking() {
	slices.SortFunc(q.ranked, before)
	for i, c := range q.ranked {
		class := q.classOf[c.Job]
		if len(class.ranked) == 0 {
			q.active = append(q.active, class)
		}
		class.ranked = append(class.ranked, i)
	}
}

// before compares candidates by when they are served.
func before(x, y Candidate) int {
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
	return x.proposed - y.proposed
}

// Ranked returns the ranking. It is the queue's own and holds until the next is begun.
func (q *Queue) Ranked() []Candidate { return q.ranked }

// EarliestSince is when the first of the ranked jobs could first start: time of day; Never: none is
// ranked.
func (q *Queue) EarliestSince() units.Microseconds { return q.since }

// cursor is how far Each has come with one equivalence class.
type cursor struct {
	class *equivalenceClass
	next  int // of class.ranked
}

func (c cursor) position() int { return c.class.ranked[c.next] }

// maxVisits bounds the jobs that are looked at for one machine, also where nearly none of them can
// start anything.
const maxVisits = 1024

// Each calls visit with the ranked jobs that may suit a machine, the first to be served first,
// until visit returns false. suits tells by a job's description whether a machine could take its
// tasks; it is asked once for each equivalence class. class is the same number for the jobs of one
// class. Neither may call the queue.
func (q *Queue) Each(suits func(*jobs.Spec) bool, visit func(c Candidate, class int) bool) {
	cursors := q.cursors[:0]
	for _, class := range q.active {
		q.steps++
		if q.skipExhausted(class); class.exhausted < len(class.ranked) && suits(class.spec) {
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

// skipExhausted passes over the jobs that have given out their last ready task since the ranking. A
// task of theirs that becomes ready again waits for the next ranking. Where rankings follow each
// other at once there are few such jobs, and they are looked at again.
func (q *Queue) skipExhausted(class *equivalenceClass) {
	if q.MinInterval() == 0 {
		return
	}
	for class.exhausted < len(class.ranked) && q.ranked[class.ranked[class.exhausted]].Job.Ready() == 0 {
		class.exhausted++
		q.steps++
	}
}

// siftDown restores the heap of cursors, the least position first, after the i-th has grown.
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
	// rankedPerSecond bounds how many jobs are looked at in a second for rankings.
	rankedPerSecond = 40_000
	// smallQueue is up to how many jobs rankings may follow each other at once.
	smallQueue = 1000
)

// MinInterval is the least time between two rankings. It grows with the jobs, so that what rankings
// take of the processor does not.
func (q *Queue) MinInterval() units.Microseconds {
	if q.Len() <= smallQueue {
		return 0
	}
	return units.Microseconds(q.Len()) * units.Second / rankedPerSecond
}
