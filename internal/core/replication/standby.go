package replication

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
)

// Standby is the standby's side: it receives the replication streams of
// all shards for which this controller is the standby. Use NewStandby.
type Standby struct {
	process uint64 // of this controller
	streams map[int]*stream
}

// stream is what one owner has sent under one assignment.
type stream struct {
	fencingToken uint64
	run          uint64
	received     uint64 // all messages up to this number have been received
	complete     bool   // the snapshot is complete
	machines     map[string]MachineSnapshot
	finished     map[string]map[int]bool
	sincePrune   int                // finished tasks received since the last prune
	outOfOrder   map[uint64]Message // messages received before an earlier one, by number
}

// MaxMachines bounds the machines in a stream, including those that no longer exist. A stream that
// reaches it accepts no more messages, so there is no standby until the owner starts a new stream.
const MaxMachines = 1 << 16

// pruneInterval is the number of finished tasks received
// after which those that are stored by then are dropped.
const pruneInterval = 2000

// NewStandby returns a Standby without streams. process is a number that no other process of this controller has.
func NewStandby(process uint64) *Standby {
	return &Standby{process: process, streams: map[int]*stream{}}
}

// Receive handles a message and returns its acknowledgement. stored reports
// whether a task is known to be stored as done, or its job to be final.
func (s *Standby) Receive(message Message, stored func(job string, task int) bool) Ack {
	from := s.streams[message.Block]
	if message.N == firstMessage && message.Block >= 0 && message.Block < keys.MaxShards && (from == nil || from.olderThan(message)) {
		from = newStream(message)
		s.streams[message.Block] = from
	}
	ack := Ack{Block: message.Block, Token: message.Token, Run: message.Run, Process: s.process}
	if from == nil || from.fencingToken != message.Token || from.run != message.Run {
		return ack
	}
	if message.N > from.received && message.N <= from.received+maxUnacked {
		from.outOfOrder[message.N] = message
	}
	for from.applyNext() {
		if from.sincePrune > pruneInterval {
			from.prune(stored)
		}
	}
	ack.N = from.received
	return ack
}

func newStream(first Message) *stream {
	return &stream{fencingToken: first.Token, run: first.Run, machines: map[string]MachineSnapshot{}, finished: map[string]map[int]bool{}, outOfOrder: map[uint64]Message{}}
}

// olderThan reports whether a message belongs to a later stream than s.
func (s *stream) olderThan(message Message) bool {
	return message.Token > s.fencingToken || message.Token == s.fencingToken && message.Run > s.run
}

// applyNext applies the next message in order. It returns false if that
// message has not arrived, or if the stream would exceed MaxMachines.
func (s *stream) applyNext() bool {
	message, ok := s.outOfOrder[s.received+1]
	if !ok || len(s.machines)+len(message.Machines) > MaxMachines {
		return false
	}
	s.received = message.N
	delete(s.outOfOrder, message.N)
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
		s.sincePrune += len(tasks.Tasks)
	}
	return true
}

// prune drops finished tasks that are stored by now.
func (s *stream) prune(stored func(job string, task int) bool) {
	s.sincePrune = 0
	for job, tasks := range s.finished {
		maps.DeleteFunc(tasks, func(task int, _ bool) bool { return stored(job, task) })
		if len(tasks) == 0 {
			delete(s.finished, job)
		}
	}
}

// Snapshot returns what the owner of a shard has started. ok is false unless the
// record names this process of this node, which has the complete snapshot of the stream
// that the record names. If a task is listed on several machines, only the last attempt
// is kept: it was started only after the earlier ones were known to have ended.
func (s *Standby) Snapshot(shard int, node string, record Record) (machines map[string]MachineSnapshot, finished []FinishedTasks, ok bool) {
	from := s.streams[shard]
	if record.Process != 0 && record.Process != s.process {
		return nil, nil, false // an earlier process of this node has acknowledged the stream
	}
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

// StreamID returns the number of the stream that is received for a shard, or 0 if there is none.
func (s *Standby) StreamID(shard int) uint64 {
	if from := s.streams[shard]; from != nil {
		return from.run
	}
	return 0
}

// DropStream drops a shard's stream.
func (s *Standby) DropStream(shard int) { delete(s.streams, shard) }
