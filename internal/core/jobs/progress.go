package jobs

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// ChunkTasks returns how many tasks one finished-task record covers, so that
// even the worst pattern of ranges stays under the state service's value limit.
func ChunkTasks(valueKB float64) int {
	limit := int(valueKB*1024) - 64
	n := 256
	for n < 1<<17 && (n*2)/2*6 <= limit { // every other task: n/2 numbers of at most 5 digits and a comma
		n *= 2
	}
	return n
}

// pieceTasks is how many tasks a record covers where those of a chunk do not
// fit. It is the same under every limit, so that a key always means the same.
const pieceTasks = 512

// Layout says how the finished tasks of a job are divided among records. A
// record's number is that of its chunk, and what is stored there is relative to
// the chunk's first task: that is how every release reads it. Where the value
// limit is too small for a whole chunk, its pieces have the chunk's number with
// zeros before it, one more for each piece, which older releases read as the same
// chunk: what is stored of one chunk in several records adds up. The number
// without zeros is then left as an older release may have written it.
type Layout struct {
	Chunk int  // tasks of a chunk
	Split bool // into pieces
}

// Part is one record of finished tasks: those from Lo to Hi, of the chunk that
// begins with Base.
type Part struct {
	Name         string
	Base, Lo, Hi int
}

// Of returns the record to which a task of a job belongs.
func (l Layout) Of(task, tasks int) Part {
	n := task / l.Chunk
	p := Part{Name: strconv.Itoa(n), Base: n * l.Chunk}
	p.Lo, p.Hi = p.Base, min(p.Base+l.Chunk, tasks)
	if l.Split && p.Hi-p.Lo > pieceTasks {
		k := (task - p.Base) / pieceTasks
		p.Name = strings.Repeat("0", k+1) + p.Name
		p.Lo += k * pieceTasks
		p.Hi = min(p.Lo+pieceTasks, p.Hi)
	}
	return p
}

// Names returns the names of all records that a job of so many tasks may have,
// whoever wrote them.
func (l Layout) Names(tasks int) []string {
	var out []string
	for lo := 0; lo < tasks; lo += l.Chunk {
		out = append(out, strconv.Itoa(lo/l.Chunk))
	}
	for lo := 0; lo < tasks && l.Split; {
		p := l.Of(lo, tasks)
		if p.Name[0] == '0' && len(p.Name) > 1 {
			out = append(out, p.Name)
		}
		lo = p.Hi
	}
	return out
}

// Progress is the stored form of one record of finished tasks.
type Progress struct {
	Tasks   string `json:"tasks"`             // see Set.Ranges
	Failing bool   `json:"failing,omitempty"` // of the first chunk: nothing has worked, on several machines
}

// LoadFinished reads a stored record of finished tasks, by its number.
func (j *Job) LoadFinished(chunk int, l Layout, ranges string) error {
	lo := chunk * l.Chunk
	hi := min(lo+l.Chunk, j.Record.Tasks)
	if chunk < 0 || lo >= j.Record.Tasks {
		return fmt.Errorf("chunk %d", chunk)
	}
	if err := j.stored.AddRanges(ranges, lo, hi); err != nil {
		return err
	}
	return j.finished.AddRanges(ranges, lo, hi)
}

// Dirty returns the first tasks of the records that have finished tasks not yet
// handed over for storing, and clears the list.
func (j *Job) Dirty() []int {
	out := slices.Sorted(maps.Keys(j.dirty))
	clear(j.dirty)
	j.DirtySince = 0
	return out
}

// MarkDirty puts a record back on the list of those to be stored.
func (j *Job) MarkDirty(lo int) { j.dirty[lo] = true }

// FinishedIn returns the text to store for a record.
func (j *Job) FinishedIn(p Part) string { return j.finished.rangesFrom(p.Base, p.Lo, p.Hi) }
