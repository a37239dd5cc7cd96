// Package packed makes buckets of many packed jobs, as years of work leave them.
package packed

import (
	"fmt"

	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/store"
)

// Buckets returns the keys and values of so many packed jobs, some 100 to 200 in each
// bucket: the i-th has the given number and answer.
func Buckets(jobs int, job func(i uint64) (number uint64, a archive.Summary)) []store.Event {
	depth := 0
	for jobs>>depth > 200 {
		depth++
	}
	buckets := make([]*archive.Bucket, 1<<depth)
	for i := range buckets {
		buckets[i] = &archive.Bucket{Number: uint32(i), Depth: depth, Jobs: map[uint64]archive.Summary{}}
	}
	for i := range uint64(jobs) {
		n, a := job(i)
		buckets[archive.BucketOf(fmt.Sprintf("wk-%06d", n), depth)].Jobs[n] = a
	}
	out := make([]store.Event, len(buckets))
	for i, b := range buckets {
		out[i] = store.Event{Key: archive.Key(b.Number), Value: b.Encode()}
	}
	return out
}
