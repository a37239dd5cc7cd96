package archive

import "github.com/bits-and-blooms/bloom/v3"

const (
	filterFirst = 1 << 14 // ids in the first filter; each further one holds twice as many
	filterWrong = 0.01    // of other ids are taken for members
	bitsEach    = 10      // what an id takes at that
)

// filter holds ids of packed jobs, within a bound of memory: it takes few ids for
// members that are none, more once it is full, and never misses one.
type filter struct {
	max   int // bytes
	parts []*bloom.BloomFilter
	room  uint // of the last part
	count int
	size  int // bytes
}

func newFilter(max int) *filter { return &filter{max: max} }

func (f *filter) add(id string) {
	if f.has(id) {
		return
	}
	f.count++
	if f.room == 0 && f.grows() {
		f.room = filterFirst << len(f.parts)
		f.parts = append(f.parts, bloom.NewWithEstimates(f.room, filterWrong))
		f.size += int(f.room) * bitsEach / 8
	}
	last := f.parts[len(f.parts)-1]
	last.AddString(id)
	if f.room > 0 {
		f.room--
	}
}

func (f *filter) grows() bool {
	return len(f.parts) == 0 || f.size+filterFirst<<len(f.parts)*bitsEach/8 <= f.max
}

func (f *filter) has(id string) bool {
	for i := len(f.parts) - 1; i >= 0; i-- {
		if f.parts[i].TestString(id) {
			return true
		}
	}
	return false
}
