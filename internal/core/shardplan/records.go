package shardplan

import (
	"encoding/json"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/store"
)

// Assignment is the stored assignment of a shard, with its version.
type Assignment struct {
	authority.Assignment
	Version uint64 // 0: the shard has none
}

// Token returns the fencing token of an assignment.
func (a Assignment) Token() uint64 { return authority.FencingToken(a.Term, a.Number) }

// Allocation is the stored fraction of every team's limit that a shard may use, with its version.
type Allocation struct {
	Fraction float64
	Version  uint64 // 0: the shard has none
}

// negligibleFraction is the fraction of a limit up to which a fraction counts as 0: fractions are sums of
// floating-point numbers.
const negligibleFraction = 1e-9

// Open reports whether a shard may use any part of the limits. Otherwise it is closed.
func (a Allocation) Open() bool { return a.Fraction > negligibleFraction }

// Records holds the assignments and quota allocations of all shards as the watch cache shows them.
type Records struct {
	assignments map[int]Assignment
	allocations map[int]Allocation
}

// NewRecords returns records into which nothing has been read yet.
func NewRecords() *Records {
	return &Records{assignments: map[int]Assignment{}, allocations: map[int]Allocation{}}
}

// ApplyAssignment applies the stored assignment of a shard as the watch cache reports it.
func (r *Records) ApplyAssignment(shard int, event store.Event) error {
	if event.Value == nil {
		delete(r.assignments, shard)
		return nil
	}
	assignment, err := authority.DecodeAssignment(event.Value)
	if err != nil {
		return err
	}
	r.assignments[shard] = Assignment{assignment, event.Stamp}
	return nil
}

// ApplyAllocation applies the stored allocation of a shard as the watch cache reports it.
func (r *Records) ApplyAllocation(shard int, event store.Event) error {
	if event.Value == nil {
		delete(r.allocations, shard)
		return nil
	}
	var allocation authority.QuotaAllocation
	if err := json.Unmarshal(event.Value, &allocation); err != nil {
		return err
	}
	r.allocations[shard] = Allocation{allocation.Fraction, event.Stamp}
	return nil
}

// Assignment returns the assignment of a shard, or the zero value if the shard has none.
func (r *Records) Assignment(shard int) Assignment { return r.assignments[shard] }

// Allocation returns the allocation of a shard, or the zero value if the shard has none.
func (r *Records) Allocation(shard int) Allocation { return r.allocations[shard] }

// Shards returns the shards that have an assignment, in ascending order.
func (r *Records) Shards() []int { return slices.Sorted(maps.Keys(r.assignments)) }

// Open returns the shards that may use a part of the limits, in ascending order.
func (r *Records) Open() []int {
	var open []int
	for shard, allocation := range r.allocations {
		if allocation.Open() {
			open = append(open, shard)
		}
	}
	slices.Sort(open)
	return open
}

// count returns the number of shards that may exist: least, or more if more were assigned when there were
// more controllers.
func (r *Records) count(least int) int {
	for shard := range r.assignments {
		least = max(least, shard+1)
	}
	return least
}
