package archive

import "github.com/bits-and-blooms/bloom/v3"

const (
	firstFilterIDs = 1 << 14 // capacity of the first Bloom filter; each further one has twice as much
	falsePositives = 0.01    // fraction of other ids that are reported as members
	bitsPerID      = 10      // bits of memory for each id at this rate
)

// filter is a Bloom filter of the ids of archived jobs with bounded memory. It has no false negatives. Its
// rate of false positives is falsePositives until the memory is used up, and rises afterwards.
type filter struct {
	maxBytes int
	parts    []*bloom.BloomFilter
	free     uint // remaining capacity of the last part
	count    int
	bytes    int // of all parts
}

func newFilter(max int) *filter { return &filter{maxBytes: max} }

func (f *filter) add(id string) {
	if f.has(id) {
		return
	}
	f.count++
	if f.free == 0 && f.canGrow() {
		f.free = firstFilterIDs << len(f.parts)
		f.parts = append(f.parts, bloom.NewWithEstimates(f.free, falsePositives))
		f.bytes += int(f.free) * bitsPerID / 8
	}
	last := f.parts[len(f.parts)-1]
	last.AddString(id)
	if f.free > 0 {
		f.free--
	}
}

func (f *filter) canGrow() bool {
	return len(f.parts) == 0 || f.bytes+firstFilterIDs<<len(f.parts)*bitsPerID/8 <= f.maxBytes
}

func (f *filter) has(id string) bool {
	for i := len(f.parts) - 1; i >= 0; i-- {
		if f.parts[i].TestString(id) {
			return true
		}
	}
	return false
}
