package jobs

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"shalestage.example/shalestage/internal/core/units"
)

// TasksPerRecord returns how many tasks one record of finished tasks covers. valueKB is the state service's
// value limit in KiB. A record of more than 256 tasks stays below it even in the worst case.
func TasksPerRecord(valueKB float64) int {
	limit := int(valueKB*1024) - 64
	n := 256
	for n < 1<<17 && (n*2)/2*6 <= limit { // worst case, every other task: n/2 numbers of at most 5 digits and a comma
		n *= 2
	}
	return n
}

// tasksPerPiece is how many tasks a record covers where a record of TasksPerRecord tasks would exceed the
// value limit. It is the same for every limit, so that a key always covers the same tasks.
const tasksPerPiece = 512

// ProgressLayout defines how the finished tasks of a job are divided among records. A record is named by its
// number, and its task numbers are relative to its first task; every release reads it that way.
//
// Where the value limit is too small for a whole record, the record is stored in pieces. The name of a
// piece is the record's number with leading zeros, one more zero for each piece. Older releases parse
// such a name as the same record number, and the tasks of all records with one number are merged. The
// record without leading zeros then stays as an older release may have written it.
type ProgressLayout struct {
	TasksPerRecord int
	Pieces         bool // records are stored in pieces of tasksPerPiece tasks
}

// ProgressPart is one stored record of finished tasks. It covers the
// tasks in [First, End), written relative to Base.
type ProgressPart struct {
	Name             string
	Base, First, End int
}

// PartFor returns the record that covers a task of a job with the given number of tasks.
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

// Names returns the names of all records that a job with this number
// of tasks may have, whichever release wrote them.
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

// Progress is the stored value of one record of finished tasks.
type Progress struct {
	Tasks   string `json:"tasks"`             // see Set.Ranges
	Failing bool   `json:"failing,omitempty"` // in the first record: failed on several machines, succeeded on none
}

// LoadProgress applies a stored record of finished tasks. number is the record's number.
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

// SetDirtySince records that finished tasks wait to be stored, and reports whether none waited before.
func (j *Job) SetDirtySince(now units.Microseconds) bool {
	if j.DirtySince != 0 {
		return false
	}
	j.DirtySince = now
	return true
}

// TakeDirty returns the first task of each record with finished tasks
// that have not been queued for storing, and clears the list.
func (j *Job) TakeDirty() []int {
	first := slices.Sorted(maps.Keys(j.dirty))
	clear(j.dirty)
	j.DirtySince = 0
	return first
}

// MarkDirty adds the record that begins at the given task to the records to be stored.
func (j *Job) MarkDirty(first int) { j.dirty[first] = true }

// FinishedRanges returns the text to store for a record.
func (j *Job) FinishedRanges(part ProgressPart) string {
	return j.finished.rangesFrom(part.Base, part.First, part.End)
}
