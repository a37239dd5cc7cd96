// Package packed generates archive buckets with many archived jobs, as a service has after years of operation.
package packed

import (
	"fmt"

	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/store"
)

// Buckets returns the records of archive buckets that hold the given number of jobs, some 100 to 200 in each
// bucket. job returns the job number and the summary of the i-th job.
func Buckets(jobs int, job func(i uint64) (number uint64, summary archive.Summary)) []store.Event {
	depth := 0
	for jobs>>depth > 200 {
		depth++
	}
	buckets := make([]*archive.Bucket, 1<<depth)
	for i := range buckets {
		buckets[i] = &archive.Bucket{Number: uint32(i), Depth: depth, Jobs: map[uint64]archive.Summary{}}
	}
	for i := range uint64(jobs) {
		number, summary := job(i)
		buckets[archive.BucketOf(fmt.Sprintf("wk-%06d", number), depth)].Jobs[number] = summary
	}
	out := make([]store.Event, len(buckets))
	for i, b := range buckets {
		out[i] = store.Event{Key: archive.Key(b.Number), Value: b.Encode()}
	}
	return out
}
