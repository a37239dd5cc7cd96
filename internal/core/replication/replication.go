// Package replication keeps a standby controller up to date with everything that the owner of a shard
// starts, so that the standby can take the shard over at once if the owner fails without releasing it.
//
// The owner (Primary) sends its Standby a snapshot of the shard and then, in numbered messages, the state
// of every machine on which it starts something. Once the standby has acknowledged the whole snapshot, the
// owner defers each answer that starts something until the standby has acknowledged that start. Once the
// standby has also acknowledged all starts that were sent to workers before answers were deferred, the
// owner stores the standby's name. Until the owner has confirmation that no standby is stored any more, it
// sends no such answer before the standby has acknowledged it. So a controller that is assigned the shard
// next, is named in the stored record and has received that same stream, knows every start that may have
// been sent. Its snapshot may show more tasks than really run, which costs capacity, but never fewer.
//
// A standby's process may be replaced by one that knows nothing of the stream while acknowledgements of the
// last one are on their way. So the owner counts those of one process only, and the stored record names that
// process. Older releases do not say which process acknowledges; for them the first message of a stream is
// sent once, and a process without it neither acknowledges the stream nor uses it.
//
// The package does no I/O: messages and the time come in by method calls, and actions go out
// through Host. internal/explore/following checks every order of events of a small shard.
package replication

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
)

type (
	// MachineSnapshot is the state of a machine: the tasks that may run on it.
	MachineSnapshot struct {
		Name         string
		Addr         string
		Session, Seq uint64 // incarnation of the machine and number of its last heartbeat
		Tasks        []fleet.Task
	}
	// FinishedTasks are some tasks of a job that have completed.
	FinishedTasks struct {
		Job   string
		Tasks []int
	}
	// Message is one message of a replication stream. It holds the current
	// state of some machines, which replaces what earlier messages said of
	// them, and tasks that have completed and may not be stored as done yet.
	Message struct {
		Block    int
		Token    uint64 // fencing token under which the shard is owned
		Run      uint64 // number of the stream: one assignment may have several, one after another
		N        uint64 // number of the message in its stream, from 1
		Whole    bool   // the snapshot is complete with this message
		Machines []MachineSnapshot
		Done     []FinishedTasks
	}
	// Ack acknowledges all messages of a stream up to N.
	Ack struct {
		Block         int
		Token, Run, N uint64
		// Process is the process of the standby that has received the messages. Older releases send none,
		// which counts as 0.
		Process uint64
	}
	// Record is the stored record of a shard's standby: its name, "" for none, the stream that it
	// receives, and its process that has acknowledged the stream; 0 if that is not known.
	Record struct {
		Node    string `json:"node"`
		Token   uint64 `json:"token"`
		Run     uint64 `json:"run"`
		Process uint64 `json:"process,omitempty"`
	}
)

// Host is the owner of the shard. Its methods are called in the middle of a step of Primary
// and must not call Primary. The callback of Store is called later, from outside such a step.
type Host interface {
	// Candidate returns a controller that can become the standby, or "" if there is none at present.
	Candidate() string
	// Eligible reports whether a controller may remain the standby.
	Eligible(node string) bool
	// Send sends a message, which may be lost.
	Send(to string, message Message)
	// Machines returns the names of all machines on which tasks may run.
	Machines() []string
	// SnapshotMachine returns the state of a machine.
	SnapshotMachine(machine string) MachineSnapshot
	// UnstoredTasks returns the tasks that have completed and are not stored as done.
	UnstoredTasks() []FinishedTasks
	// Store writes a record, guarded by the owner's assignment and by the last known
	// version of the record, so that a delayed write fails once another record was
	// stored. It calls done with true only if the record is known to be stored.
	Store(record Record, done func(stored bool))
	// Answer sends an answer to its worker; if ok is false, the answer must not be sent any more.
	Answer(answer any, ok bool)
}

// firstMessage is the number of the first message of a stream.
const firstMessage = 1

const (
	// FlushInterval is the minimum time between two messages, so that
	// the number of messages does not grow with the number of starts.
	FlushInterval = units.Second / 50
	// resendInterval is the time without an Ack after which messages are sent
	// again, and ackTimeout the time after which the standby is replaced.
	resendInterval = units.Second / 5
	ackTimeout     = 4 * units.Second / 5
	// standbyBackoff is the time between the removal of a standby and the selection of the next.
	standbyBackoff = units.Second
	// maxUnacked bounds the messages that are not acknowledged yet.
	maxUnacked = 16
	// MessageSize bounds the tasks and machines in a message, which must fit into a frame
	// between controllers. A machine counts as machineOverhead, plus one for each of its tasks.
	MessageSize     = 400
	machineOverhead = 4
	// maxDeferredAnswers bounds the deferred answers: one for each machine of a full
	// shard. An answer beyond it is refused at once, and its machine sends another
	// heartbeat. answerTimeout bounds the time for which an answer is deferred: a
	// worker drops an answer that comes later than 4 s after its heartbeat.
	maxDeferredAnswers = fleet.FullShardMachines
	answerTimeout      = 3 * units.Second
)
