package ranking

import (
	"cmp"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/jobs"
)

// Order keeps jobs sorted by the time from which they could start, which must
// not change while they are members. ApplyChanges sorts the added jobs and
// merges them in; the other jobs are not sorted again. The zero value is empty.
type Order struct {
	members map[*jobs.Job]struct{}
	sorted  []*jobs.Job            // as of the last ApplyChanges
	added   []*jobs.Job            // since then
	removed map[*jobs.Job]struct{} // since then, still in sorted or added
}

// byStart compares jobs by the time from which they could start, then by ID.
func byStart(x, y *jobs.Job) int {
	return cmp.Or(cmp.Compare(x.Since, y.Since), strings.Compare(x.ID, y.ID))
}

// Add adds a job. It does nothing if the job is a member already.
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

// Remove removes a job. It does nothing if the job is not a member.
func (o *Order) Remove(job *jobs.Job) {
	if _, member := o.members[job]; !member {
		return
	}
	delete(o.members, job)
	o.removed[job] = struct{}{}
	if len(o.removed) > minRemoved+len(o.members) {
		o.ApplyChanges() // bounds the removed jobs if ApplyChanges is not called otherwise
	}
}

// minRemoved is the number of removed jobs that are always kept until the next ApplyChanges.
const minRemoved = 64

// Len returns the number of jobs.
func (o *Order) Len() int { return len(o.members) }

// Jobs returns the jobs as of the last ApplyChanges, the
// earliest first. The caller must not modify the slice.
func (o *Order) Jobs() []*jobs.Job { return o.sorted }

// ApplyChanges merges the added jobs into the sorted list and drops the removed ones.
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
	oldLen := len(o.sorted)
	o.sorted = append(o.sorted, o.added...)
	mergeFromEnd(o.sorted, oldLen, o.added)
	clear(o.added)
	o.added = o.added[:0]
}

// mergeFromEnd merges added into the first n jobs of list, which has free space for them at
// its end. It stops when all added jobs are placed, which is soon if they are the latest.
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
