package ranking

import (
	"cmp"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/jobs"
)

// Order keeps jobs sorted by when they could first start, which must not change while they are in
// it. Settle sorts in the jobs that were added; the others are not sorted again. The zero value is
// empty.
type Order struct {
	members map[*jobs.Job]struct{}
	sorted  []*jobs.Job            // as of the last Settle
	added   []*jobs.Job            // since then
	removed map[*jobs.Job]struct{} // since then, still in sorted or added
}

// byStart compares jobs by when they could first start.
func byStart(x, y *jobs.Job) int {
	return cmp.Or(cmp.Compare(x.Since, y.Since), strings.Compare(x.ID, y.ID))
}

// Add puts a job in, if it is not there.
func (o *Order) Add(job *jobs.Job) {
	if _, member := o.members[job]; member {
		return
	}
	if o.members == nil {
		o.members, o.removed = map[*jobs.Job]struct{}{}, map[*jobs.Job]struct{}{}
	}
	o.members[job] = struct{}{}
	if _, removed := o.removed[job]; removed {
		delete(o.removed, job)
		return
	}
	o.added = append(o.added, job)
}

// Remove takes a job out, if it is there.
func (o *Order) Remove(job *jobs.Job) {
	if _, member := o.members[job]; !member {
		return
	}
	delete(o.members, job)
	o.removed[job] = struct{}{}
	if len(o.removed) > minRemoved+len(o.members) {
		o.ApplyChanges() // nobody asks for the jobs: what was removed must not pile up
	}
}

// minRemoved is how many removed jobs are kept for the next Settle at least.
const minRemoved = 64

// Len returns how many jobs there are.
func (o *Order) Len() int { return len(o.members) }

// Jobs returns the jobs as of the last Settle, the earliest first. The list is the order's own.
func (o *Order) Jobs() []*jobs.Job { return o.sorted }

// ApplyChanges sorts in what was added and drops what was removed.
func (o *Order) ApplyChanges() {
	if len(o.removed) > 0 {
		isRemoved := func(job *jobs.Job) bool {
			_, removed := o.removed[job]
			return removed
		}
		o.sorted = slices.DeleteFunc(o.sorted, isRemoved)
		o.added = slices.DeleteFunc(o.added, isRemoved)
		clear(o.removed)
	}
	if len(o.added) == 0 {
		return
	}
	slices.SortFunc(o.added, byStart)
	before := len(o.sorted)
	o.sorted = append(o.sorted, o.added...)
	mergeFromEnd(o.sorted, before, o.added)
	clear(o.added)
	o.added = o.added[:0]
}

// mergeFromEnd merges the first n jobs of a list with added, for which there is room behind them.
// It stops where the rest is in its place, which is soon where the added jobs are the latest.
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
