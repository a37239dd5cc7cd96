package launch

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
	"shalestage.example/shalestage/internal/emulator/host"
	"shalestage.example/shalestage/internal/emulator/work"
)

type workSpec = jobs.Spec

// bookFile holds, line by line, the descriptions that users have uploaded and the
// tasks that have completed: what lies outside of machines and of the service.
const bookFile = "jobs.jsonl"

// entry is a line: an upload or a completed task.
type entry struct {
	Job  *upload `json:"job,omitempty"`
	Done string  `json:"done,omitempty"`
}

// book is what was uploaded earlier.
type book struct {
	file string
	jobs []*work.Job
	byID map[string]*work.Job
}

// openBook reads a book; a last line that was cut short by an end is dropped.
func openBook(file string) (*book, error) {
	b := &book{file: file, byID: map[string]*work.Job{}}
	f, err := os.Open(file)
	if os.IsNotExist(err) {
		return b, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, 2*maxControl)
	for line := 1; sc.Scan(); line++ {
		var e entry
		if json.Unmarshal(sc.Bytes(), &e) != nil {
			continue // cut short
		}
		switch {
		case e.Job != nil && e.Job.Spec != nil && b.byID[e.Job.ID] == nil:
			j := e.Job.job()
			b.jobs = append(b.jobs, j)
			b.byID[j.ID] = j
		case e.Done != "":
			if id, err := jobs.ParseTaskID(e.Done); err == nil && b.byID[id.Job] != nil {
				b.byID[id.Job].Finish(id.Task)
			}
		}
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return b, nil
}

// next returns the first job number that is not used in a book.
func (b *book) next() int {
	n := 0
	for _, j := range b.jobs {
		if i, err := strconv.Atoi(strings.TrimPrefix(j.ID, "wk-")); err == nil {
			n = max(n, i+1)
		}
	}
	return n
}

// keep returns facts that are written to the book as well.
func (b *book) keep(f host.TaskObserver) *keeper { return &keeper{TaskObserver: f, file: b.file} }

// keeper adds lines to a book.
type keeper struct {
	host.TaskObserver
	file string
	mu   sync.Mutex
	f    *os.File
}

func (k *keeper) add(u upload) error { return k.write(entry{Job: &u}) }

// TaskEnded implements host.TaskObserver.
func (k *keeper) TaskEnded(m *cloudprovider.Machine, id jobs.TaskID, completed bool) {
	if completed {
		// A line that is lost costs a second run of the task at the most.
		_ = k.write(entry{Done: id.String()})
	}
	k.TaskObserver.TaskEnded(m, id, completed)
}

func (k *keeper) write(e entry) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.f == nil {
		f, err := os.OpenFile(k.file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		k.f = f
	}
	b, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = k.f.Write(append(b, '\n'))
	return err
}
