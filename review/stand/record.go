package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to record.txt. Times are seconds since the start of the case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Now returns the seconds since the start of the case.
func (r *Record) Now() float64 { return time.Since(r.start).Seconds() }

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	line := strings.TrimRight(fmt.Sprintf(format, args...), "\n")
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), line)
}
