package archive

import "github.com/bits-and-blooms/bloom/v3"

const (
	firstFilterIDs = 1 << 14 // ids in the first filter; each further one holds twice as many
	falsePositives = 0.01    // of other ids are taken for members
	bitsPerID      = 10      // what an id takes at that
)

// filter holds ids of archived jobs, within a bound of memory: it takes few ids for
// members that are none, more once it is full, and never misses one.
type filter struct {
	maxBytes int // bytes
	parts    []*bloom.BloomFilter
	free     uint // of the last part
	count    int
	bytes    int // bytes
}

func newFilter(max int) *filter { return &filter{maxBytes: max} }

func (f *filter) add(id string) {
	if f.has(id) {
		return
	}
	f.count++
	if f.free == 0 && f.grows() {
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

func (f *filter) grows() bool {
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
