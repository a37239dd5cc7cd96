//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, with the seconds since the case began.
type record struct {
	begin time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{begin: time.Now(), file: f}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line) // the exit status tells the outcome as well
	if os.Getenv("ECHO") != "" {
		fmt.Print(line)
	}
}

func (r *record) close() { _ = r.file.Close() } // nothing is written any more
