// Package ranking keeps the order in which a block's waiting jobs are served: which jobs there
// are, by when they could first start; which of them are within their team's guarantee; and, of
// those that may start tasks, a ranking in which a machine finds the first jobs that fit it
// without a look at the others. It decides nothing: tiers and distances from fair share are
// told to it.
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

	suspect bool
	place   int // among those proposed
}

// shapeKey is all that decides whether a machine can take a job's tasks, whatever runs there.
type shapeKey struct {
	demand  binpack.Vec
	types   string
	anyType bool
	zone    string
	spot    bool
}

// shape holds the ranked jobs that the same machines can take.
type shape struct {
	key    shapeKey
	spec   *jobs.Spec // of any of its jobs
	jobs   int        // in the queue
	ranked []int      // positions in the ranking, the first first
	spent  int        // so many of them, the first, have no task left to start
}

// Queue is a block's active jobs and their ranking. The zero value is empty.
type Queue struct {
	Order
	shapes map[*jobs.Job]*shape // of all jobs
	known  map[shapeKey]*shape  // those of any job
	ranked []Candidate          // the first to be served first
	active []*shape             // those that have ranked jobs
	since  units.Microseconds   // the least of the ranked jobs'
	heads  []cursor             // of Each, kept for its memory
	steps  uint64
}

// Add puts a job into the queue, if it is not there.
func (q *Queue) Add(j *jobs.Job) {
	if q.shapes[j] != nil {
		return
	}
	q.Order.Add(j)
	if q.shapes == nil {
		q.shapes, q.known = map[*jobs.Job]*shape{}, map[shapeKey]*shape{}
	}
	spec := j.Spec()
	key := shapeKey{demand: spec.Demand, anyType: spec.AnyType, zone: spec.Zone, spot: spec.Spot}
	if !key.anyType {
		key.types = strings.Join(spec.Types, ",")
	}
	s := q.known[key]
	if s == nil {
		s = &shape{key: key, spec: spec}
		q.known[key] = s
	}
	s.jobs++
	q.shapes[j] = s
}

// Remove takes a job out of the queue, if it is there. It stays in the ranking until the next.
func (q *Queue) Remove(j *jobs.Job) {
	s := q.shapes[j]
	if s == nil {
		return
	}
	q.Order.Remove(j)
	delete(q.shapes, j)
	if s.jobs--; s.jobs == 0 {
		delete(q.known, s.key)
	}
}

// Steps returns how many jobs and shapes were looked at so far to rank and serve jobs: what the
// ranking costs, in a measure that does not depend on the machine.
func (q *Queue) Steps() uint64 { return q.steps }

// Begin empties the ranking.
func (q *Queue) Begin() {
	q.steps += uint64(len(q.sorted))
	q.ranked = q.ranked[:0]
	for _, s := range q.active {
		s.ranked, s.spent = s.ranked[:0], 0
	}
	q.active = q.active[:0]
	q.since = units.Never
}

// Propose puts a job of the queue into the ranking that was begun.
func (q *Queue) Propose(c Candidate) {
	if q.shapes[c.Job] == nil {
		return
	}
	c.suspect, c.place = c.Job.Suspect(), len(q.ranked)
	q.ranked = append(q.ranked, c)
	q.since = min(q.since, c.Job.Since)
}

// Finish orders what was proposed: by tier, those that fail last in theirs, then by distance
// from fair share; those that are equal stay in the order in which they were proposed.
func (q *Queue) Finish() {
	slices.SortFunc(q.ranked, before)
	for i, c := range q.ranked {
		s := q.shapes[c.Job]
		if len(s.ranked) == 0 {
			q.active = append(q.active, s)
		}
		s.ranked = append(s.ranked, i)
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
	return x.place - y.place
}

// Ranked returns the ranking. It is the queue's own and holds until the next is begun.
func (q *Queue) Ranked() []Candidate { return q.ranked }

// Since is when the first of the ranked jobs could first start: time of day; Never: none is
// ranked.
func (q *Queue) Since() units.Microseconds { return q.since }

// cursor is how far Each has come with one shape.
type cursor struct {
	s    *shape
	next int // of s.ranked
}

func (c cursor) position() int { return c.s.ranked[c.next] }

// maxLooks bounds the jobs that are looked at for one machine, also where nearly none of them
// can start anything.
const maxLooks = 1024

// Each calls visit with the ranked jobs that may suit a machine, the first to be served first,
// until visit returns false. suits tells by a job's description whether a machine could take its
// tasks; it is asked once for all jobs that are alike in that. alike is the same number for these.
func (q *Queue) Each(suits func(*jobs.Spec) bool, visit func(c Candidate, alike int) bool) {
	heads := q.heads[:0]
	for _, s := range q.active {
		q.steps++
		if q.skipSpent(s); s.spent < len(s.ranked) && suits(s.spec) {
			heads = append(heads, cursor{s, s.spent})
		}
	}
	for i := len(heads)/2 - 1; i >= 0; i-- {
		sink(heads, i)
	}
	for looks := 0; len(heads) > 0 && looks < maxLooks; looks++ {
		q.steps++
		c := heads[0]
		if !visit(q.ranked[c.position()], c.s.ranked[0]) {
			break
		}
		if heads[0].next++; heads[0].next == len(c.s.ranked) {
			heads[0] = heads[len(heads)-1]
			heads = heads[:len(heads)-1]
		}
		sink(heads, 0)
	}
	q.heads = heads[:0]
}

// skipSpent passes over the jobs that have given out their last ready task since the ranking. A
// task of theirs that comes back waits for the next ranking. Where rankings follow each other at
// once there are few such jobs, and they are looked at again.
func (q *Queue) skipSpent(s *shape) {
	if q.Gap() == 0 {
		return
	}
	for s.spent < len(s.ranked) && q.ranked[s.ranked[s.spent]].Job.Ready() == 0 {
		s.spent++
		q.steps++
	}
}

// sink restores the heap of cursors, the least position first, after the i-th has grown.
func sink(heads []cursor, i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(heads); child++ {
			if heads[child].position() < heads[least].position() {
				least = child
			}
		}
		if least == i {
			return
		}
		heads[i], heads[least] = heads[least], heads[i]
		i = least
	}
}

const (
	// looksPerSecond bounds how many jobs are looked at in a second for rankings.
	looksPerSecond = 40_000
	// fewJobs is up to how many jobs rankings may follow each other at once.
	fewJobs = 1000
)

// Gap is the least time between two rankings. It grows with the jobs, so that what rankings take
// of the processor does not.
func (q *Queue) Gap() units.Microseconds {
	if q.Len() <= fewJobs {
		return 0
	}
	return units.Microseconds(q.Len()) * units.Second / looksPerSecond
}
