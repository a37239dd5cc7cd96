package fleet

import (
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// State is what a heartbeat says of an attempt.
type State int

// States of a task on a machine.
const (
	Fetching State = iota
	Running
	Saving
	Exited
)

// Cause is why a task exited.
type Cause int

// Causes of an exit.
const (
	Other Cause = iota
	Completed
	Stopped
	Failed
	NoCapacity
	Busy
	Unknown
)

// Task is one attempt in a heartbeat.
type Task struct {
	ID      jobs.TaskID
	Attempt uint64
	State   State
	Cause   Cause
}

// Heartbeat is a worker's periodic message: who it is, what it runs, and under which owner's fencing
// token it does.
type Heartbeat struct {
	Machine      string
	Addr         string
	Type         string
	Zone         string
	Spot         bool
	Incarnation  uint64
	Seq          uint64 // counts heartbeats of an incarnation
	FencingToken uint64
	Notice       units.Microseconds // until the cloud reclaims it; MaxTime: no notice
	Tasks        []Task
}

// Op is what a command asks of a worker.
type Op int

// The three commands.
const (
	Start  Op = iota
	Stop      // its exit shows in a later heartbeat
	Forget    // it has exited, and that is stored: it need not be shown any more
)

// Command is what one response tells a worker to do about an attempt.
type Command struct {
	Op      Op
	ID      jobs.TaskID
	Attempt uint64
	Grace   units.Microseconds // of a Stop; 0 stops at once
}

// Bounds on the commands of one heartbeat response, which may not be longer than 64 KiB
// (TestLongestAnswer in internal/api). A machine can hold hundreds of small tasks; what is left out
// follows with its next heartbeat.
const (
	MaxForgets = 200
	MaxStops   = 100
	MaxStarts  = 250
	// MaxListed bounds the tasks that a machine lists, as a heartbeat may not be longer than
	// 64 KiB either: while nothing can be stored, what has exited there stays listed.
	MaxListed = 500
)

// AtMost returns the first n of some commands.
func AtMost(commands []Command, n int) []Command { return commands[:min(len(commands), n)] }
