package ranking

import (
	"cmp"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/jobs"
)

// Order keeps jobs by when they could first start, which must not change while they are in it.
// Jobs that come and go are sorted in by Settle; the others are not sorted again. The zero value
// is empty.
type Order struct {
	in     map[*jobs.Job]struct{}
	sorted []*jobs.Job            // as of the last Settle
	added  []*jobs.Job            // since then
	gone   map[*jobs.Job]struct{} // since then, from sorted or added
}

// byStart compares jobs by when they could first start.
func byStart(x, y *jobs.Job) int {
	return cmp.Or(cmp.Compare(x.Since, y.Since), strings.Compare(x.ID, y.ID))
}

// Add puts a job in, if it is not there.
func (o *Order) Add(j *jobs.Job) {
	if _, there := o.in[j]; there {
		return
	}
	if o.in == nil {
		o.in, o.gone = map[*jobs.Job]struct{}{}, map[*jobs.Job]struct{}{}
	}
	o.in[j] = struct{}{}
	if _, left := o.gone[j]; left {
		delete(o.gone, j)
		return
	}
	o.added = append(o.added, j)
}

// Remove takes a job out, if it is there.
func (o *Order) Remove(j *jobs.Job) {
	if _, there := o.in[j]; !there {
		return
	}
	delete(o.in, j)
	o.gone[j] = struct{}{}
	if len(o.gone) > minGone+len(o.in) {
		o.Settle() // nobody asks for the jobs: what left must not gather
	}
}

// minGone is how many jobs may have left before they are dropped unasked.
const minGone = 64

// Len returns how many jobs there are.
func (o *Order) Len() int { return len(o.in) }

// Jobs returns the jobs as of the last Settle, the first to have come first. The list is the
// order's own.
func (o *Order) Jobs() []*jobs.Job { return o.sorted }

// Settle sorts in what came and drops what left.
func (o *Order) Settle() {
	if len(o.gone) > 0 {
		left := func(j *jobs.Job) bool {
			_, gone := o.gone[j]
			return gone
		}
		o.sorted = slices.DeleteFunc(o.sorted, left)
		o.added = slices.DeleteFunc(o.added, left)
		clear(o.gone)
	}
	if len(o.added) == 0 {
		return
	}
	slices.SortFunc(o.added, byStart)
	n := len(o.sorted)
	o.sorted = append(o.sorted, o.added...)
	mergeFromEnd(o.sorted, n, o.added)
	clear(o.added)
	o.added = o.added[:0]
}

// mergeFromEnd merges the first n jobs of a list with added, for which there is room behind
// them. It stops where the rest is in its place, which is soon where what comes is the latest.
func mergeFromEnd(list []*jobs.Job, n int, added []*jobs.Job) {
	at := len(list) - 1
	for i, k := n-1, len(added)-1; k >= 0; at-- {
		if i >= 0 && byStart(list[i], added[k]) > 0 {
			list[at] = list[i]
			i--
		} else {
			list[at] = added[k]
			k--
		}
	}
}
