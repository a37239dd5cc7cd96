// Package replication has another controller know what a holder has started, at any moment, so
// that it can go on at once should the holder end without a word.
//
// The holder (Source) sends its follower (Sink) its picture of the block, then every
// machine on which it starts something, in numbered messages. Once the follower has the
// whole picture, answers with a start wait; once it also has all that was let out before,
// the holder stores who follows it. Until it is surely stored that nobody does, no such
// answer is let out before the follower has said that it knows of it. So whoever is granted
// the block next, finds itself named, and has that very stream, knows of every start that may
// ever have been sent: its picture may show more than there is, which costs room, never less.
//
// It is pure: messages and the time go in by method calls, what is to be done comes out by
// its host.
package replication

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

type (
	// MachinePicture tells what may be on a machine.
	MachinePicture struct {
		Name         string
		Addr         string
		Session, Seq uint64 // of the last report
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
		Token    uint64 // under which the block is held
		Run      uint64 // tells the streams of one grant apart
		N        uint64 // 1, 2, 3 and so on
		Whole    bool   // with this message the picture is whole
		Machines []MachinePicture
		Done     []TasksDone
	}
	// Ack says that a follower has all messages of a stream up to N.
	Ack struct {
		Block         int
		Token, Run, N uint64
	}
	// Record is what is stored: who follows a block's holder, by which stream; "" nobody.
	Record struct {
		Node  string `json:"node"`
		Token uint64 `json:"token"`
		Run   uint64 `json:"run"`
	}
)

// Host is the holder whose starts are followed.
type Host interface {
	// Candidate names a controller that should follow; "" if there is none at present.
	Candidate() string
	// Eligible reports whether a follower should go on being one.
	Eligible(node string) bool
	// Send sends a message, which may be lost.
	Send(to string, m Message)
	// Machines are those on which anything may be; Draw tells what may be on one.
	Machines() []string
	SnapshotMachine(machine string) MachinePicture
	// UnstoredTasks are the tasks that have completed and are not stored as done.
	UnstoredTasks() []TasksDone
	// Store writes a record, guarded by the holder's grant and by the version of the record
	// that was last known: a write that comes late must fail once another was stored. done is
	// told whether it is surely stored.
	Store(r Record, done func(stored bool))
	// Answer lets an answer out; ok false: it must not be given any more.
	Answer(a any, ok bool)
}

const (
	// FlushEvery is the least time between two messages, so that their number does not grow
	// with the starts.
	FlushEvery = units.Second / 50
	// resendAfter is how long an answer of the follower is waited for before messages go
	// out again, and giveUpAfter before somebody else is to follow.
	resendAfter = units.Second / 5
	giveUpAfter = 4 * units.Second / 5
	// pause is the time before somebody is to follow again.
	pause = units.Second
	// window bounds the messages without an answer, and MessageSize the tasks and machines in
	// one, which must fit into a frame between controllers.
	window      = 16
	MessageSize = 400
	// maxWaiting bounds the answers that wait, one for each machine of a full shard, and
	// answerWithin how long each may: a worker drops what comes later than 4 s after its
	// heartbeat. One beyond is refused at once, and its machine sends another.
	maxWaiting   = fleet.FullShard
	answerWithin = 3 * units.Second
)

type pendingAnswer struct {
	what any
	n    uint64 // of the message that must have arrived; 0: it is not sent yet
	at   units.Microseconds
}

// Primary is a holder's side.
type Primary struct {
	block int
	token uint64
	host  Host
	now   units.Microseconds

	to       string // who follows, or is about to; "" nobody
	run      uint64
	n        uint64 // of the last message
	acked    uint64
	wholeAt  uint64 // number of the message with which the copy is whole; 0: not sent yet
	sealAt   uint64 // of that which tells of the last start that was let out unknown; 0: not sent yet
	unacked  []Message
	copying  []string         // machines that are still to be drawn for the copy
	dirty    map[string]bool  // machines of which the follower is to be told
	done     map[string][]int // tasks of which it is to be told
	waiting  []pendingAnswer
	bound    bool               // it may be stored, or is about to be, that somebody follows: answers wait
	stored   bool               // or was tried to be
	storing  bool               // a record is being written
	leaving  bool               // nobody is to follow any more, and that is to be stored
	progress units.Microseconds // when the follower last told of progress, or had nothing to tell
	sentAt   units.Microseconds
	flushed  units.Microseconds
	restAt   units.Microseconds // nobody new before
}

// NewPrimary returns the side of a holder that nobody follows yet.
func NewPrimary(block int, token uint64, host Host) *Primary {
	return &Primary{block: block, token: token, host: host, dirty: map[string]bool{}, done: map[string][]int{}}
}

// Standby names who surely follows; "" if nobody does.
func (s *Primary) Standby() string {
	if s.stored && !s.storing && !s.leaving {
		return s.to
	}
	return ""
}

// DeferAnswer says that an answer starts something on a machine. It is kept until the follower
// knows, and true is returned; else it may be given at once.
func (s *Primary) DeferAnswer(now units.Microseconds, machine string, what any) bool {
	s.now = now
	if s.to != "" && !s.leaving {
		s.dirty[machine] = true
	}
	if !s.bound {
		return false
	}
	if len(s.waiting) >= maxWaiting {
		s.host.Answer(what, false)
		return true
	}
	s.waiting = append(s.waiting, pendingAnswer{what: what, at: now})
	return true
}

// TaskDone says that a task has completed; it is stored later.
func (s *Primary) TaskDone(job string, task int) {
	if s.to != "" && !s.leaving {
		s.done[job] = append(s.done[job], task)
	}
}

// Tick lets time pass; it is called often. settled: all that earlier holders left is known.
func (s *Primary) Tick(now units.Microseconds, settled bool) {
	s.now = now
	switch {
	case s.leaving:
		s.store(Record{Token: s.token, Run: s.run})
	case s.to == "":
		if settled && now >= s.restAt {
			s.begin()
		}
	case !s.host.Eligible(s.to) || len(s.unacked) > 0 && now-s.progress > giveUpAfter:
		s.leave()
	default:
		s.flush()
		if len(s.unacked) > 0 && now-s.sentAt > resendAfter {
			s.sentAt = now
			for _, m := range s.unacked[:min(len(s.unacked), window/4)] {
				s.host.Send(s.to, m)
			}
		}
	}
	s.expire()
}

// begin has somebody follow from now on.
func (s *Primary) begin() {
	to := s.host.Candidate()
	if to == "" {
		return
	}
	s.to, s.n, s.acked, s.wholeAt, s.sealAt, s.unacked = to, 0, 0, 0, 0, nil
	s.run++
	s.progress, s.flushed = s.now, 0
	s.copying = s.host.Machines()
	clear(s.dirty)
	clear(s.done)
	for _, d := range s.host.UnstoredTasks() {
		s.done[d.Job] = slices.Clone(d.Tasks)
	}
	s.flush()
}

// flush sends what the follower does not know yet, as far as the window allows.
func (s *Primary) flush() {
	if s.wholeAt != 0 && (len(s.dirty)+len(s.done) == 0 || s.now-s.flushed < FlushEvery) {
		return
	}
	for len(s.unacked) < window && (s.wholeAt == 0 || len(s.dirty)+len(s.done) > 0) {
		s.flushed = s.now
		s.n++
		m := Message{Block: s.block, Token: s.token, Run: s.run, N: s.n}
		size := 0
		// What has changed since goes first: answers wait for it.
		for _, name := range slices.Sorted(maps.Keys(s.dirty)) {
			if size >= MessageSize {
				break
			}
			delete(s.dirty, name)
			size += s.draw(&m, name)
		}
		if len(s.dirty) == 0 {
			for i := range s.waiting {
				if s.waiting[i].n == 0 {
					s.waiting[i].n = s.n
				}
			}
		}
		for len(s.copying) > 0 && size < MessageSize {
			size += s.draw(&m, s.copying[0])
			s.copying = s.copying[1:]
		}
		for _, job := range slices.Sorted(maps.Keys(s.done)) {
			if size >= MessageSize {
				break
			}
			tasks := s.done[job]
			k := min(len(tasks), MessageSize-size)
			m.Done = append(m.Done, TasksDone{job, tasks[:k:k]})
			size += k
			if s.done[job] = tasks[k:]; k == len(tasks) {
				delete(s.done, job)
			}
		}
		if s.wholeAt == 0 && len(s.copying)+len(s.dirty)+len(s.done) == 0 {
			s.wholeAt, m.Whole = s.n, true
		}
		if len(s.unacked) == 0 {
			s.progress, s.sentAt = s.now, s.now
		}
		s.unacked = append(s.unacked, m)
		s.host.Send(s.to, m)
	}
	s.seal()
}

// seal notes by which message the follower knows of all that was let out before answers
// began to wait.
func (s *Primary) seal() {
	if s.bound && s.sealAt == 0 && len(s.dirty) == 0 {
		s.sealAt = s.n
	}
}

func (s *Primary) draw(m *Message, name string) int {
	p := s.host.SnapshotMachine(name)
	m.Machines = append(m.Machines, p)
	return len(p.Tasks) + 4
}

// OnAck takes a follower's word.
func (s *Primary) OnAck(now units.Microseconds, from string, a Ack) {
	s.now = now
	if from != s.to || a.Token != s.token || a.Run != s.run || a.N <= s.acked || a.N > s.n {
		return
	}
	s.acked, s.progress = a.N, now
	for len(s.unacked) > 0 && s.unacked[0].N <= a.N {
		s.unacked = s.unacked[1:]
	}
	s.release(func(w pendingAnswer) bool { return w.n != 0 && w.n <= a.N })
	if s.wholeAt != 0 && a.N >= s.wholeAt && !s.bound && !s.leaving {
		s.bound = true
		s.seal()
	}
	if s.sealAt != 0 && a.N >= s.sealAt && !s.stored && !s.leaving {
		s.stored = true
		s.store(Record{Node: s.to, Token: s.token, Run: s.run})
	}
}

// release lets answers out.
func (s *Primary) release(which func(pendingAnswer) bool) {
	var kept []pendingAnswer
	for _, w := range s.waiting {
		if which(w) {
			s.host.Answer(w.what, s.now-w.at < answerWithin)
		} else {
			kept = append(kept, w)
		}
	}
	s.waiting = kept
}

// expire gives up answers that nobody waits for any more. What they start does not show in
// the machine's next report, and was never carried out.
func (s *Primary) expire() {
	if len(s.waiting) > 0 && s.now-s.waiting[0].at >= answerWithin {
		s.release(func(w pendingAnswer) bool { return s.now-w.at >= answerWithin })
	}
}

// Stop has nobody follow for now.
func (s *Primary) Stop(now units.Microseconds) {
	s.now = now
	if s.to != "" && !s.leaving {
		s.leave()
	}
}

// leave has nobody follow any more. Until that is surely stored the follower may be granted
// the block by what it has.
func (s *Primary) leave() {
	if !s.stored {
		s.free()
		return
	}
	s.leaving = true
	s.store(Record{Token: s.token, Run: s.run})
}

// free ends it: surely nobody is stored to follow.
func (s *Primary) free() {
	s.to, s.bound, s.stored, s.leaving, s.unacked, s.copying = "", false, false, false, nil, nil
	s.restAt = s.now + pause
	s.release(func(pendingAnswer) bool { return true })
}

// store writes a record until it is known what became of it.
func (s *Primary) store(r Record) {
	if s.storing {
		return
	}
	s.storing = true
	s.host.Store(r, func(stored bool) {
		s.storing = false
		switch {
		case r.Node != "" && !stored:
			s.leave() // it may yet be stored, or be so already
		case r.Node == "" && stored:
			s.free()
		}
	})
}

// Close ends it: the block is given up, and no answer is let out any more.
func (s *Primary) Close(now units.Microseconds) {
	s.now = now
	for _, w := range s.waiting {
		s.host.Answer(w.what, false)
	}
	s.waiting = nil
}

// Standby is a follower's side: the streams of the blocks that it follows.
type Standby struct {
	streams map[int]*stream
}

type stream struct {
	token, run, n uint64
	whole         bool
	machines      map[string]MachinePicture
	done          map[string]map[int]bool
	fresh         int                // tasks done since they were last looked through
	ahead         map[uint64]Message // that came before those before them
}

// MaxMachines bounds the machines of a shard that a stream may tell of, those that are gone
// included. Beyond it nobody follows until the owner has begun a new stream.
const MaxMachines = 1 << 16

const (
	// lookThrough is how many tasks that are done are told before those that are stored by
	// now are forgotten.
	lookThrough = 2000
	maxBlocks   = 1024
)

// NewStandby returns a follower of nobody.
func NewStandby() *Standby { return &Standby{streams: map[int]*stream{}} }

// Receive takes a message and returns what to answer. stored reports whether a task is known
// to be stored as done, or its job to be over.
func (k *Standby) Receive(m Message, stored func(job string, task int) bool) Ack {
	s := k.streams[m.Block]
	if m.N == 1 && (s == nil || m.Token > s.token || m.Token == s.token && m.Run > s.run) && m.Block >= 0 && m.Block < maxBlocks {
		s = &stream{token: m.Token, run: m.Run, machines: map[string]MachinePicture{}, done: map[string]map[int]bool{}, ahead: map[uint64]Message{}}
		k.streams[m.Block] = s
	}
	if s == nil || s.token != m.Token || s.run != m.Run {
		return Ack{Block: m.Block, Token: m.Token, Run: m.Run}
	}
	if m.N > s.n && m.N <= s.n+window {
		s.ahead[m.N] = m
	}
	for {
		m, ok := s.ahead[s.n+1]
		if !ok || len(s.machines)+len(m.Machines) > MaxMachines {
			break
		}
		s.n = m.N
		delete(s.ahead, m.N)
		s.whole = s.whole || m.Whole
		for _, p := range m.Machines {
			s.machines[p.Name] = p
		}
		for _, d := range m.Done {
			if s.done[d.Job] == nil {
				s.done[d.Job] = map[int]bool{}
			}
			for _, t := range d.Tasks {
				s.done[d.Job][t] = true
			}
			s.fresh += len(d.Tasks)
		}
		if s.fresh > lookThrough {
			s.fresh = 0
			for job, tasks := range s.done {
				maps.DeleteFunc(tasks, func(t int, _ bool) bool { return stored(job, t) })
				if len(tasks) == 0 {
					delete(s.done, job)
				}
			}
		}
	}
	return Ack{m.Block, m.Token, m.Run, s.n}
}

// Snapshot returns what the holder of a block had started, if this node is the one that the
// record names and has the whole of that very stream. Of a task that is on several machines
// the last attempt counts: it was started once the others were known to be gone.
func (k *Standby) Snapshot(block int, node string, r Record) (machines map[string]MachinePicture, done []TasksDone, ok bool) {
	s := k.streams[block]
	if s == nil || r.Node != node || r.Token != s.token || r.Run != s.run || !s.whole {
		return nil, nil, false
	}
	last := map[jobs.TaskID]uint64{}
	for _, p := range s.machines {
		for _, t := range p.Tasks {
			last[t.ID] = max(last[t.ID], t.Attempt)
		}
	}
	machines = map[string]MachinePicture{}
	for name, p := range s.machines {
		p.Tasks = slices.DeleteFunc(slices.Clone(p.Tasks), func(t fleet.Task) bool { return t.Attempt < last[t.ID] })
		machines[name] = p
	}
	for _, job := range slices.Sorted(maps.Keys(s.done)) {
		done = append(done, TasksDone{job, slices.Sorted(maps.Keys(s.done[job]))})
	}
	return machines, done, true
}

// StreamID tells by which stream a block is followed; 0: by none.
func (k *Standby) StreamID(block int) uint64 {
	if s := k.streams[block]; s != nil {
		return s.run
	}
	return 0
}

// Forget drops a block's stream.
func (k *Standby) Forget(block int) { delete(k.streams, block) }
