package fleet

import (
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// State is the state of an attempt on a machine, as its worker reports it.
type State int

// States of an attempt. Fetching means that the worker is fetching the task's image; Saving means that
// the task is writing its checkpoint before it stops.
const (
	Fetching State = iota
	Running
	Saving
	Exited
)

// Cause is the reason why a task exited.
type Cause int

// Causes of an exit. NoCapacity, Busy and Unknown mean that the worker refused to start the task.
const (
	Other Cause = iota
	Completed
	Stopped
	Failed
	NoCapacity
	Busy
	Unknown
)

// Task is one attempt that a heartbeat reports.
type Task struct {
	ID      jobs.TaskID
	Attempt uint64
	State   State
	Cause   Cause
}

// Heartbeat is a worker's periodic message: the machine it runs on, the tasks there, and the fencing
// token of the last owner whose response it accepted.
type Heartbeat struct {
	Machine      string
	Addr         string
	Type         string
	Zone         string
	Spot         bool
	Incarnation  uint64
	Seq          uint64 // sequence number of the heartbeat within its incarnation
	FencingToken uint64
	ReclaimIn    units.Microseconds // time until the cloud reclaims the machine; units.MaxTime without a notice
	Tasks        []Task
}

// Op is the kind of a command to a worker.
type Op int

// Kinds of commands.
const (
	Start  Op = iota
	Stop      // a later heartbeat reports the exit
	Forget    // the task has exited and that is stored: the worker stops reporting it
)

// Command is an instruction of a heartbeat response about one attempt.
type Command struct {
	Op      Op
	ID      jobs.TaskID
	Attempt uint64
	Grace   units.Microseconds // time that a Stop leaves the task to exit; 0 stops it at once
}

// Limits on the commands of one heartbeat response, which must not exceed 64 KiB (TestLargestHeartbeatResponse in
// internal/api). A machine can hold hundreds of small tasks; commands beyond a limit are sent in the
// response to its next heartbeat. Tasks that must not run on are stopped without a limit, as the response
// renews the lease: together with the tasks to forget and to start they are at most MaxReportedTasks.
const (
	MaxForgets = 200
	MaxStops   = 100 // of tasks that are stopped to make room, or to drain the machine
	MaxStarts  = 250
	// MaxReportedTasks limits the tasks that a machine reports, because a heartbeat must not exceed 64
	// KiB either. While the state service is unavailable, exited tasks cannot be stored and so stay in
	// the heartbeats.
	MaxReportedTasks = 500
)

// AtMost returns the first n commands, or all of them if there are fewer.
func AtMost(commands []Command, n int) []Command { return commands[:min(len(commands), n)] }
