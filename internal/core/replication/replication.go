// Package replication has another controller know what the owner of a shard has started, at any
// moment, so that it can go on at once should the owner end without a word.
//
// The owner (Primary) sends its Standby a snapshot of the shard, then every machine on which it
// starts something, in numbered messages. Once the standby has the whole snapshot, answers with a
// start wait; once it also has all that was let out before, the owner stores who its standby is.
// Until it is surely stored that there is none, no such answer is let out before the standby has
// said that it knows of it. So whoever is assigned the shard next, finds itself named, and has
// that very stream, knows of every start that may ever have been sent: its snapshot may show more
// than there is, which costs capacity, never less.
//
// It is pure: messages and the time go in by method calls, what is to be done comes out by
// its host. internal/explore/following plays every order of events of a small shard.
package replication

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
)

type (
	// MachinePicture is a snapshot of a machine: what may be on it.
	MachinePicture struct {
		Name         string
		Addr         string
		Session, Seq uint64 // incarnation and number of the last heartbeat
		Tasks        []fleet.Task
	}
	// TasksDone are some tasks of a job that have completed.
	TasksDone struct {
		Job   string
		Tasks []int
	}
	// Message is one of a stream: what may now be on some machines, in place of what was
	// told before, and tasks that have completed and may not be stored as done yet.
	Message struct {
		Block    int
		Token    uint64 // fencing token under which the shard is owned
		Run      uint64 // tells the streams of one assignment apart
		N        uint64 // 1, 2, 3 and so on
		Whole    bool   // with this message the snapshot is complete
		Machines []MachinePicture
		Done     []TasksDone
	}
	// Ack says that a standby has all messages of a stream up to N.
	Ack struct {
		Block         int
		Token, Run, N uint64
	}
	// Record is what is stored: who stands by for a shard's owner, by which stream; "" nobody.
	Record struct {
		Node  string `json:"node"`
		Token uint64 `json:"token"`
		Run   uint64 `json:"run"`
	}
)

// Host is the owner whose starts are replicated. Its methods are called while a Primary is half-way
// through a step and must not call it; what Store tells comes later, from outside.
type Host interface {
	// Candidate names a controller that should stand by; "" if there is none at present.
	Candidate() string
	// Eligible reports whether a standby should go on being one.
	Eligible(node string) bool
	// Send sends a message, which may be lost.
	Send(to string, message Message)
	// Machines are those on which anything may be; SnapshotMachine tells what may be on one.
	Machines() []string
	SnapshotMachine(machine string) MachinePicture
	// UnstoredTasks are the tasks that have completed and are not stored as done.
	UnstoredTasks() []TasksDone
	// Store writes a record, guarded by the owner's assignment and by the version of the record
	// that was last known: a write that comes late must fail once another was stored. done is
	// told whether it is surely stored.
	Store(record Record, done func(stored bool))
	// Answer lets an answer out; ok false: it must not be given any more.
	Answer(answer any, ok bool)
}

const (
	// FlushEvery is the least time between two messages, so that their number does not grow
	// with the starts.
	FlushEvery = units.Second / 50
	// resendAfter is how long an Ack is waited for before messages go
	// out again, and giveUpAfter before somebody else is to stand by.
	resendAfter = units.Second / 5
	giveUpAfter = 4 * units.Second / 5
	// pause is the time before somebody is to stand by again.
	pause = units.Second
	// window bounds the messages without an answer.
	window = 16
	// MessageSize bounds the tasks and machines in a message, which must fit into a frame
	// between controllers.
	MessageSize = 400
	// machineSize is what a machine counts of that beside its tasks.
	machineSize = 4
	// maxWaiting bounds the answers that wait, one for each machine of a full shard, and
	// answerWithin how long each may: a worker drops what comes later than 4 s after its
	// heartbeat. One beyond is refused at once, and its machine sends another.
	maxWaiting   = fleet.FullShardMachines
	answerWithin = 3 * units.Second
)
