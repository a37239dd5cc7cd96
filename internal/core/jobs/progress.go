package jobs

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"shalestage.example/shalestage/internal/core/units"
)

// TasksPerRecord returns how many tasks one finished-task record covers, so that
// even the worst pattern of ranges stays under the state service's value limit.
func TasksPerRecord(valueKB float64) int {
	limit := int(valueKB*1024) - 64
	n := 256
	for n < 1<<17 && (n*2)/2*6 <= limit { // every other task: n/2 numbers of at most 5 digits and a comma
		n *= 2
	}
	return n
}

// tasksPerPiece is how many tasks a record covers where TasksPerRecord would not
// fit. It is the same under every limit, so that a key always means the same.
const tasksPerPiece = 512

// ProgressLayout says how the finished tasks of a job are divided among records. A
// record is named by its number, and what is stored there is relative to
// its first task: that is how every release reads it. Where the value
// limit is too small for a whole record, its pieces have the record's number with
// zeros before it, one more for each piece, which older releases read as the same
// number: what is stored under one number in several records adds up. The number
// without zeros is then left as an older release may have written it.
type ProgressLayout struct {
	TasksPerRecord int
	Pieces         bool // records are stored in pieces of pieceTasks
}

// ProgressPart is one record of finished tasks: those from First to before End, written
// relative to Base.
type ProgressPart struct {
	Name             string
	Base, First, End int
}

// PartFor returns the record to which a task of a job belongs.
func (layout ProgressLayout) PartFor(task, tasks int) ProgressPart {
	number := task / layout.TasksPerRecord
	part := ProgressPart{Name: strconv.Itoa(number), Base: number * layout.TasksPerRecord}
	part.First, part.End = part.Base, min(part.Base+layout.TasksPerRecord, tasks)
	if layout.Pieces && part.End-part.First > tasksPerPiece {
		piece := (task - part.Base) / tasksPerPiece
		part.Name = strings.Repeat("0", piece+1) + part.Name
		part.First += piece * tasksPerPiece
		part.End = min(part.First+tasksPerPiece, part.End)
	}
	return part
}

// Names returns the names of all records that a job of so many tasks may have,
// whoever wrote them.
func (layout ProgressLayout) Names(tasks int) []string {
	var names []string
	for first := 0; first < tasks; first += layout.TasksPerRecord {
		names = append(names, strconv.Itoa(first/layout.TasksPerRecord))
	}
	for first := 0; first < tasks && layout.Pieces; {
		part := layout.PartFor(first, tasks)
		if part.Name[0] == '0' && len(part.Name) > 1 {
			names = append(names, part.Name)
		}
		first = part.End
	}
	return names
}

// Progress is the stored form of one record of finished tasks.
type Progress struct {
	Tasks   string `json:"tasks"`             // see Set.Ranges
	Failing bool   `json:"failing,omitempty"` // of the first record: nothing has worked, on several machines
}

// LoadProgress takes a stored record of finished tasks, by its number.
func (j *Job) LoadProgress(number int, layout ProgressLayout, progress Progress) error {
	if number == 0 {
		j.Failing = progress.Failing
	}
	first := number * layout.TasksPerRecord
	end := min(first+layout.TasksPerRecord, j.Record.Tasks)
	if number < 0 || first >= j.Record.Tasks {
		return fmt.Errorf("record %d of finished tasks: the job has %d tasks", number, j.Record.Tasks)
	}
	if err := j.stored.AddRanges(progress.Tasks, first, end); err != nil {
		return fmt.Errorf("record %d of finished tasks: %w", number, err)
	}
	return j.finished.AddRanges(progress.Tasks, first, end)
}

// SetDirtySince notes that finished tasks wait to be stored, and reports whether none did before.
func (j *Job) SetDirtySince(now units.Microseconds) bool {
	if j.DirtySince != 0 {
		return false
	}
	j.DirtySince = now
	return true
}

// TakeDirty returns the first tasks of the records that have finished tasks not yet
// handed over for storing, and clears the list.
func (j *Job) TakeDirty() []int {
	first := slices.Sorted(maps.Keys(j.dirty))
	clear(j.dirty)
	j.DirtySince = 0
	return first
}

// MarkDirty puts a record back on the list of those to be stored.
func (j *Job) MarkDirty(first int) { j.dirty[first] = true }

// FinishedRanges returns the text to store for a record.
func (j *Job) FinishedRanges(part ProgressPart) string {
	return j.finished.rangesFrom(part.Base, part.First, part.End)
}
