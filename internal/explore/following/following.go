// Package following is a model in which a shard owner starts tasks on two machines and replicates them to a
// standby. It runs the service's own code (package replication). Messages between the two may be delayed,
// lost, reordered or duplicated, and writes to the state service may be applied late or get no response. The
// standby's process may be replaced by a new one, while acknowledgements of the last one are in flight. The
// owner may end at any moment. Its standby must then know every start that was sent to a machine, or must
// report its snapshot as incomplete.
package following

import (
	"fmt"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/replication"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/explore"
)

// Mutation is a bug that is added on purpose, to show that the search finds it.
type Mutation string

// Mutations. Each removes one condition that safety depends on.
const (
	None               Mutation = ""
	SendUnacknowledged Mutation = "impatient" // heartbeat responses with a start are sent before the standby has acknowledged it
	AcknowledgeGaps    Mutation = "skipping"  // a standby acknowledges all messages up to the last received one, also across gaps
	AssumeStored       Mutation = "hopeful"   // a write without a response counts as stored
	UnguardedRecord    Mutation = "unguarded" // the record that names the standby is written without a version guard
	IgnoreRecord       Mutation = "unnamed"   // a standby uses its stream even if the stored record names another one
	ResendFirst        Mutation = "repeating" // the first message of a stream is sent twice, to a standby that does not name its process
	AnyProcess         Mutation = "forgetful" // the processes of the standby do not differ, and messages may come twice
)

// Mutations lists all mutations.
var Mutations = []Mutation{SendUnacknowledged, AcknowledgeGaps, AssumeStored, UnguardedRecord, IgnoreRecord, ResendFirst, AnyProcess}

// Options configure the model and bound its actions.
type Options struct {
	Mutation Mutation
	Starts   int // maximum number of started tasks
	Mail     int // maximum number of messages in flight
	Lost     int // maximum number of messages and writes that are lost or get no response
	Restarts int // maximum number of times that the standby's process is replaced by a new one
	Copies   int // maximum number of messages that arrive and are kept, to arrive once more
	// OldStandby lets the standby run an older release, which does not name its process.
	OldStandby bool
}

const (
	token        = 7 // fencing token of the owner
	firstMessage = 1 // number of the first message of a stream
)

// Action is one step of the model. The meaning of A depends on the kind.
type Action struct {
	Kind actionKind
	A    int8
}

type actionKind int8

const (
	advanceTime     actionKind = iota // a quarter of a second passes
	startTask                         // a task is started on machine A
	reportIdle                        // machine A reports that it runs no task
	deliver                           // message A is delivered
	lose                              // message A is lost
	writeStored                       // write A is applied and answered
	writeUnanswered                   // write A is applied but gets no response
	writeInDoubt                      // write A is not applied for now and gets no response, so it is in doubt
	applyLate                         // in-doubt write A is applied late
	restartStandby                    // the standby's process ends, and a new one starts at once
	deliverCopy                       // a copy of message A is delivered
)

type envelope struct {
	m   *replication.Message
	ack *replication.Ack
}

type write struct {
	r     replication.Record
	guard uint64 // expected version of the replaced record; 0: any
	done  func(bool)
}

// World is the state of the model.
type World struct {
	o            Options
	now          units.Microseconds
	primary      *replication.Primary
	standby      *replication.Standby
	tasks        [2][]fleet.Task // tasks that may be on each machine, in the owner's view
	sent         map[jobs.TaskID]int
	started      int
	messages     []envelope
	writes       []write
	inDoubt      []write
	version      uint64
	record       replication.Record
	knownVersion uint64 // version that the owner knows
	lost         int
	restarts     int
	copies       int
}

var machineNames = []string{"m", "n"}

// New returns a world with one task on the first machine and no standby.
func New(o Options) *World {
	w := &World{o: o, sent: map[jobs.TaskID]int{}, version: 1, knownVersion: 1, now: 10 * units.Second}
	w.startStandby()
	w.primary = replication.NewPrimary(0, token, w)
	w.start(0)
	w.primary.Tick(w.now, true)
	return w
}

// startStandby starts a process of the standby.
func (w *World) startStandby() {
	process := uint64(w.restarts) + 1
	if w.o.OldStandby || w.o.Mutation == AnyProcess {
		process = 0
	}
	w.standby = replication.NewStandby(process)
}

// Candidate implements replication.Host.
func (w *World) Candidate() string { return "f" }

// Eligible implements replication.Host.
func (w *World) Eligible(string) bool { return true }

// Machines implements replication.Host.
func (w *World) Machines() []string { return machineNames }

// UnstoredTasks implements replication.Host.
func (w *World) UnstoredTasks() []replication.FinishedTasks { return nil }

// SnapshotMachine implements replication.Host.
func (w *World) SnapshotMachine(name string) replication.MachineSnapshot {
	return replication.MachineSnapshot{Name: name, Tasks: slices.Clone(w.tasks[slices.Index(machineNames, name)])}
}

// Send implements replication.Host.
func (w *World) Send(_ string, m replication.Message) {
	w.post(envelope{m: &m})
	if m.N == firstMessage && w.o.Mutation == ResendFirst {
		w.post(envelope{m: &m})
	}
}

func (w *World) post(l envelope) {
	if len(w.messages) < w.o.Mail {
		w.messages = append(w.messages, l)
	}
}

// Store implements replication.Host.
func (w *World) Store(r replication.Record, done func(bool)) {
	x := write{r: r, done: done}
	if r.Node != "" && w.o.Mutation != UnguardedRecord {
		x.guard = w.knownVersion
	}
	w.writes = append(w.writes, x)
}

// Answer implements replication.Host.
func (w *World) Answer(a any, ok bool) {
	s := a.(start)
	if ok {
		w.sent[s.id] = s.machine
	} else {
		w.tasks[s.machine] = slices.DeleteFunc(w.tasks[s.machine], func(t fleet.Task) bool { return t.ID == s.id })
	}
}

type start struct {
	id      jobs.TaskID
	machine int
}

func (w *World) start(machine int) {
	w.started++
	s := start{jobs.TaskID{Job: "j", Task: w.started}, machine}
	w.tasks[machine] = append(w.tasks[machine], fleet.Task{ID: s.id, Attempt: uint64(w.started), State: fleet.Running})
	if !w.primary.DeferAnswer(w.now, machineNames[machine], s) || w.o.Mutation == SendUnacknowledged {
		w.sent[s.id] = machine
	}
}

// applyWrite applies a write and reports whether its guard matched.
func (w *World) applyWrite(x write) bool {
	if x.guard != 0 && x.guard != w.version {
		return false
	}
	w.version++
	w.record = x.r
	return true
}

// Actions implements explore.World.
func (w *World) Actions() []Action {
	out := []Action{{Kind: advanceTime}}
	for m := range int8(2) {
		if w.started < w.o.Starts {
			out = append(out, Action{startTask, m})
		}
		if len(w.tasks[m]) > 0 && w.startsSent(int(m)) {
			out = append(out, Action{reportIdle, m})
		}
	}
	for k := range w.messages {
		out = append(out, Action{deliver, int8(k)})
		if w.lost < w.o.Lost {
			out = append(out, Action{lose, int8(k)})
		}
		if w.copies < w.o.Copies {
			out = append(out, Action{deliverCopy, int8(k)})
		}
	}
	for k := range w.writes {
		out = append(out, Action{writeStored, int8(k)})
		if w.lost < w.o.Lost {
			out = append(out, Action{writeUnanswered, int8(k)}, Action{writeInDoubt, int8(k)})
		}
	}
	for k := range w.inDoubt {
		out = append(out, Action{applyLate, int8(k)})
	}
	if w.restarts < w.o.Restarts {
		out = append(out, Action{Kind: restartStandby})
	}
	return out
}

// startsSent reports whether all starts of a machine's tasks have been sent. While a response with a start is
// still deferred, a heartbeat without the task does not show that the task has ended.
func (w *World) startsSent(m int) bool {
	for _, t := range w.tasks[m] {
		if _, ok := w.sent[t.ID]; !ok {
			return false
		}
	}
	return true
}

// Apply implements explore.World.
func (w *World) Apply(action Action) {
	switch action.Kind {
	case advanceTime:
		w.now += units.Second / 4
	case startTask:
		w.start(int(action.A))
	case reportIdle:
		for _, t := range w.tasks[action.A] {
			delete(w.sent, t.ID)
		}
		w.tasks[action.A] = nil
	case deliver, lose:
		l := w.messages[action.A]
		w.messages = slices.Delete(w.messages, int(action.A), int(action.A)+1)
		if action.Kind == lose {
			w.lost++
			break
		}
		w.deliver(l)
	case writeStored, writeUnanswered, writeInDoubt:
		pending := w.writes[action.A]
		w.writes = slices.Delete(w.writes, int(action.A), int(action.A)+1)
		switch action.Kind {
		case writeStored:
			ok := w.applyWrite(pending)
			w.knownVersion = w.version
			pending.done(ok)
		case writeUnanswered:
			w.lost++
			w.applyWrite(pending)
			pending.done(w.o.Mutation == AssumeStored)
		case writeInDoubt:
			w.lost++
			w.inDoubt = append(w.inDoubt, pending)
			pending.done(w.o.Mutation == AssumeStored)
		}
	case applyLate:
		x := w.inDoubt[action.A]
		w.inDoubt = slices.Delete(w.inDoubt, int(action.A), int(action.A)+1)
		if x.r.Node != "" { // a late write that removes the standby is harmless
			w.applyWrite(x)
		}
	case restartStandby:
		w.restarts++
		w.startStandby()
	case deliverCopy:
		w.copies++
		w.deliver(w.messages[action.A])
	}
	w.now += replication.FlushInterval
	w.primary.Tick(w.now, true)
}

func (w *World) deliver(l envelope) {
	if l.ack != nil {
		w.primary.OnAck(w.now, "f", *l.ack)
		return
	}
	a := w.standby.Receive(*l.m, func(string, int) bool { return false })
	if w.o.Mutation == AcknowledgeGaps {
		a.N = max(a.N, l.m.N)
	}
	w.post(envelope{ack: &a})
}

// Violation implements explore.World. It reads the standby's snapshot as if the owner had ended at this
// moment and all messages in flight were lost.
func (w *World) Violation() string {
	r := w.record
	if w.o.Mutation == IgnoreRecord {
		r = replication.Record{Node: "f", Token: token, Run: w.standby.StreamID(0)}
	}
	machines, _, ok := w.standby.Snapshot(0, "f", r)
	if !ok {
		return ""
	}
	for id, m := range w.sent {
		if !slices.ContainsFunc(machines[machineNames[m]].Tasks, func(t fleet.Task) bool { return t.ID == id }) {
			return fmt.Sprintf("%s was started on %s without the standby knowing", id, machineNames[m])
		}
	}
	return ""
}

// State implements explore.World.
func (w *World) State() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s|%s|%v|%v|%d %v %d %d %d %d %d|", w.primary.Trace(w.now), w.standby.Trace(), w.tasks, w.sent, w.version, w.record, w.knownVersion, w.started, w.lost, w.restarts, w.copies)
	for _, l := range w.messages {
		if l.m != nil {
			fmt.Fprintf(&b, " %v", *l.m)
		} else {
			fmt.Fprintf(&b, " %v", *l.ack)
		}
	}
	for _, x := range w.writes {
		fmt.Fprintf(&b, " w%v %d", x.r, x.guard)
	}
	for _, x := range w.inDoubt {
		fmt.Fprintf(&b, " l%v %d", x.r, x.guard)
	}
	return b.String()
}

// FormatTrace replays a trace and describes it, one line per action.
func FormatTrace(o Options, trace []Action) []string {
	w := New(o)
	var out []string
	for _, m := range trace {
		text := [...]string{"a quarter of a second passes", "a task is started on " + machineNames[m.A%2], machineNames[m.A%2] + " reports that it runs no task", "message %d is delivered", "message %d is lost",
			"write %d is stored", "write %d is stored without a response", "write %d is not stored for now and gets no response", "write %d is stored late", "the standby's process is replaced", "a copy of message %d is delivered"}[m.Kind]
		if strings.Contains(text, "%d") {
			text = fmt.Sprintf(text, m.A)
		}
		w.Apply(m)
		out = append(out, fmt.Sprintf("%-50s sent: %v; stored: %v", text, w.sent, w.record))
	}
	return out
}

var _ explore.World[Action] = (*World)(nil)
