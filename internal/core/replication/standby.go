package replication

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
)

// Standby is the other side: the streams of the shards for whose owners a controller stands by.
type Standby struct {
	streams map[int]*stream
}

// stream is what one owner has sent under one assignment.
type stream struct {
	fencingToken uint64
	run          uint64
	received     uint64 // all messages up to this one
	complete     bool   // the snapshot is
	machines     map[string]MachineSnapshot
	finished     map[string]map[int]bool
	unchecked    int                // finished tasks since those that are stored by now were forgotten
	ahead        map[uint64]Message // that came before those before them
}

// MaxMachines bounds the machines of a shard that a stream may tell of, those that are gone
// included. Beyond it nobody stands by until the owner has begun a new stream.
const MaxMachines = 1 << 16

// forgetEvery is how many finished tasks are told before those that are stored by now are
// forgotten.
const forgetEvery = 2000

// NewStandby returns one that stands by for nobody.
func NewStandby() *Standby { return &Standby{streams: map[int]*stream{}} }

// Receive takes a message and returns what to answer. stored reports whether a task is known
// to be stored as done, or its job to be over.
func (s *Standby) Receive(message Message, stored func(job string, task int) bool) Ack {
	from := s.streams[message.Block]
	if message.N == 1 && message.Block >= 0 && message.Block < keys.MaxShards && (from == nil || from.olderThan(message)) {
		from = newStream(message)
		s.streams[message.Block] = from
	}
	ack := Ack{Block: message.Block, Token: message.Token, Run: message.Run}
	if from == nil || from.fencingToken != message.Token || from.run != message.Run {
		return ack
	}
	if message.N > from.received && message.N <= from.received+window {
		from.ahead[message.N] = message
	}
	for from.takeNext() {
		if from.unchecked > forgetEvery {
			from.forget(stored)
		}
	}
	ack.N = from.received
	return ack
}

func newStream(first Message) *stream {
	return &stream{fencingToken: first.Token, run: first.Run, machines: map[string]MachineSnapshot{}, finished: map[string]map[int]bool{}, ahead: map[uint64]Message{}}
}

// olderThan reports whether a message is of a later stream.
func (s *stream) olderThan(message Message) bool {
	return message.Token > s.fencingToken || message.Token == s.fencingToken && message.Run > s.run
}

// takeNext takes in the next message, and reports false where it has not come.
func (s *stream) takeNext() bool {
	message, ok := s.ahead[s.received+1]
	if !ok || len(s.machines)+len(message.Machines) > MaxMachines {
		return false
	}
	s.received = message.N
	delete(s.ahead, message.N)
	s.complete = s.complete || message.Whole
	for _, machine := range message.Machines {
		s.machines[machine.Name] = machine
	}
	for _, tasks := range message.Done {
		if s.finished[tasks.Job] == nil {
			s.finished[tasks.Job] = map[int]bool{}
		}
		for _, task := range tasks.Tasks {
			s.finished[tasks.Job][task] = true
		}
		s.unchecked += len(tasks.Tasks)
	}
	return true
}

// forget drops finished tasks that are stored by now.
func (s *stream) forget(stored func(job string, task int) bool) {
	s.unchecked = 0
	for job, tasks := range s.finished {
		maps.DeleteFunc(tasks, func(task int, _ bool) bool { return stored(job, task) })
		if len(tasks) == 0 {
			delete(s.finished, job)
		}
	}
}

// Snapshot returns what the owner of a shard had started, if this node is the one that the
// record names and has the whole of that very stream. Of a task that is on several machines
// the last attempt counts: it was started once the others were known to be gone.
func (s *Standby) Snapshot(shard int, node string, record Record) (machines map[string]MachineSnapshot, finished []FinishedTasks, ok bool) {
	from := s.streams[shard]
	if from == nil || record.Node != node || record.Token != from.fencingToken || record.Run != from.run || !from.complete {
		return nil, nil, false
	}
	last := map[jobs.TaskID]uint64{}
	for _, machine := range from.machines {
		for _, task := range machine.Tasks {
			last[task.ID] = max(last[task.ID], task.Attempt)
		}
	}
	machines = map[string]MachineSnapshot{}
	for name, machine := range from.machines {
		machine.Tasks = slices.DeleteFunc(slices.Clone(machine.Tasks), func(task fleet.Task) bool { return task.Attempt < last[task.ID] })
		machines[name] = machine
	}
	for _, job := range slices.Sorted(maps.Keys(from.finished)) {
		finished = append(finished, FinishedTasks{job, slices.Sorted(maps.Keys(from.finished[job]))})
	}
	return machines, finished, true
}

// StreamID tells by which stream a shard is followed; 0: by none.
func (s *Standby) StreamID(shard int) uint64 {
	if from := s.streams[shard]; from != nil {
		return from.run
	}
	return 0
}

// DropStream drops a shard's stream.
func (s *Standby) DropStream(shard int) { delete(s.streams, shard) }
