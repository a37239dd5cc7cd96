// Package following is a small world in which a holder starts tasks on two machines and a
// follower comes to know of them, by the service's own code (package follow): messages
// between them may be late, lost, out of order or come twice, and what is written to the
// state service may come late or stay without an answer. At any moment the holder may end:
// then the follower is asked, and must know of every start that was let out, or must not
// think that it knows all.
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

// Fault is a mistake that is planted, to show that it is found.
type Fault string

// Faults. Each takes away one of the things that safety rests on.
const (
	None      Fault = ""
	Impatient Fault = "impatient" // answers with a start are let out at once
	Skipping  Fault = "skipping"  // a follower says that it has all messages up to the last that came
	Hopeful   Fault = "hopeful"   // a write without an answer counts as stored
	Unguarded Fault = "unguarded" // that somebody follows is written over whatever is there
	Unnamed   Fault = "unnamed"   // a follower goes by the stream that it has, whatever is stored
)

// Faults lists all that can be planted.
var Faults = []Fault{Impatient, Skipping, Hopeful, Unguarded, Unnamed}

// Options say what may happen.
type Options struct {
	Fault  Fault
	Starts int // tasks that may be started
	Mail   int // messages under way at once
	Lost   int // messages and writes that are lost, or stay without an answer
}

const token = 7

// Move is one thing that happens; what A is depends on the kind.
type Move struct {
	Kind kind
	A    int8
}

type kind int8

const (
	passes  kind = iota // a quarter of a second
	starts              // a task on machine A
	gone                // machine A reports that nothing is left on it
	comes               // message A
	lost                // message A
	stored              // write A is carried out, and answered
	silent              // write A is carried out, and nobody is told
	refused             // write A is not carried out, and nobody is told whether it was
	late                // write A comes after all, though nobody waits for it any more
)

type letter struct {
	m   *replication.Message
	ack *replication.Ack
}

type write struct {
	r     replication.Record
	guard uint64 // version of the record that it replaces; 0: any
	done  func(bool)
}

// World is the state of everything.
type World struct {
	o       Options
	now     units.Microseconds
	source  *replication.Primary
	sink    *replication.Standby
	on      [2][]fleet.Task // what may be on each machine, as the holder knows
	out     map[jobs.TaskID]int
	next    int
	mail    []letter
	writes  []write
	late    []write
	version uint64
	record  replication.Record
	seen    uint64 // version that the holder knows
	lost    int
}

var names = []string{"m", "n"}

// New returns a world in which one task is on the first machine and nobody follows.
func New(o Options) *World {
	w := &World{o: o, sink: replication.NewStandby(), out: map[jobs.TaskID]int{}, version: 1, seen: 1, now: 10 * units.Second}
	w.source = replication.NewPrimary(0, token, w)
	w.start(0)
	w.source.Tick(w.now, true)
	return w
}

// Candidate implements follow.Host.
func (w *World) Candidate() string { return "f" }

// Eligible implements follow.Host.
func (w *World) Eligible(string) bool { return true }

// Machines implements follow.Host.
func (w *World) Machines() []string { return names }

// UnstoredTasks implements follow.Host.
func (w *World) UnstoredTasks() []replication.FinishedTasks { return nil }

// SnapshotMachine implements follow.Host.
func (w *World) SnapshotMachine(name string) replication.MachineSnapshot {
	return replication.MachineSnapshot{Name: name, Tasks: slices.Clone(w.on[slices.Index(names, name)])}
}

// Send implements follow.Host.
func (w *World) Send(_ string, m replication.Message) { w.post(letter{m: &m}) }

func (w *World) post(l letter) {
	if len(w.mail) < w.o.Mail {
		w.mail = append(w.mail, l)
	}
}

// Store implements follow.Host.
func (w *World) Store(r replication.Record, done func(bool)) {
	x := write{r: r, done: done}
	if r.Node != "" && w.o.Fault != Unguarded {
		x.guard = w.seen
	}
	w.writes = append(w.writes, x)
}

// Answer implements follow.Host.
func (w *World) Answer(a any, ok bool) {
	s := a.(start)
	if ok {
		w.out[s.id] = s.machine
	} else {
		w.on[s.machine] = slices.DeleteFunc(w.on[s.machine], func(t fleet.Task) bool { return t.ID == s.id })
	}
}

type start struct {
	id      jobs.TaskID
	machine int
}

func (w *World) start(machine int) {
	w.next++
	s := start{jobs.TaskID{Job: "j", Task: w.next}, machine}
	w.on[machine] = append(w.on[machine], fleet.Task{ID: s.id, Attempt: uint64(w.next), State: fleet.Running})
	if !w.source.DeferAnswer(w.now, names[machine], s) || w.o.Fault == Impatient {
		w.out[s.id] = machine
	}
}

// apply carries a write out and reports whether it took place.
func (w *World) apply(x write) bool {
	if x.guard != 0 && x.guard != w.version {
		return false
	}
	w.version++
	w.record = x.r
	return true
}

// Actions implements explore.World.
func (w *World) Actions() []Move {
	out := []Move{{Kind: passes}}
	for m := range int8(2) {
		if w.next < w.o.Starts {
			out = append(out, Move{starts, m})
		}
		if len(w.on[m]) > 0 && w.settled(int(m)) {
			out = append(out, Move{gone, m})
		}
	}
	for k := range w.mail {
		out = append(out, Move{comes, int8(k)})
		if w.lost < w.o.Lost {
			out = append(out, Move{lost, int8(k)})
		}
	}
	for k := range w.writes {
		out = append(out, Move{stored, int8(k)})
		if w.lost < w.o.Lost {
			out = append(out, Move{silent, int8(k)}, Move{refused, int8(k)})
		}
	}
	for k := range w.late {
		out = append(out, Move{late, int8(k)})
	}
	return out
}

// settled reports whether all that the holder has on a machine was let out: a report that
// shows nothing of it is no answer to one that still waits for orders.
func (w *World) settled(m int) bool {
	for _, t := range w.on[m] {
		if _, ok := w.out[t.ID]; !ok {
			return false
		}
	}
	return true
}

// Apply implements explore.World.
func (w *World) Apply(m Move) {
	switch m.Kind {
	case passes:
		w.now += units.Second / 4
	case starts:
		w.start(int(m.A))
	case gone:
		for _, t := range w.on[m.A] {
			delete(w.out, t.ID)
		}
		w.on[m.A] = nil
	case comes, lost:
		l := w.mail[m.A]
		w.mail = slices.Delete(w.mail, int(m.A), int(m.A)+1)
		if m.Kind == lost {
			w.lost++
			break
		}
		w.carry(l)
	case stored, silent, refused:
		x := w.writes[m.A]
		w.writes = slices.Delete(w.writes, int(m.A), int(m.A)+1)
		switch m.Kind {
		case stored:
			ok := w.apply(x)
			w.seen = w.version
			x.done(ok)
		case silent:
			w.lost++
			w.apply(x)
			x.done(w.o.Fault == Hopeful)
		case refused:
			w.lost++
			w.late = append(w.late, x)
			x.done(w.o.Fault == Hopeful)
		}
	case late:
		x := w.late[m.A]
		w.late = slices.Delete(w.late, int(m.A), int(m.A)+1)
		if x.r.Node != "" { // one that says nobody follows does no harm
			w.apply(x)
		}
	}
	w.now += replication.FlushInterval
	w.source.Tick(w.now, true)
}

func (w *World) carry(l letter) {
	if l.ack != nil {
		w.source.OnAck(w.now, "f", *l.ack)
		return
	}
	a := w.sink.Receive(*l.m, func(string, int) bool { return false })
	if w.o.Fault == Skipping {
		a.N = max(a.N, l.m.N)
	}
	w.post(letter{ack: &a})
}

// Violation implements explore.World: it asks the follower what it knows, as if the holder had
// ended at this moment and all that was under way were lost.
func (w *World) Violation() string {
	r := w.record
	if w.o.Fault == Unnamed {
		r = replication.Record{Node: "f", Token: token, Run: w.sink.StreamID(0)}
	}
	machines, _, ok := w.sink.Snapshot(0, "f", r)
	if !ok {
		return ""
	}
	for id, m := range w.out {
		if !slices.ContainsFunc(machines[names[m]].Tasks, func(t fleet.Task) bool { return t.ID == id }) {
			return fmt.Sprintf("%s was started on %s, and the follower does not know", id, names[m])
		}
	}
	return ""
}

// State implements explore.World.
func (w *World) State() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s|%s|%v|%v|%d %v %d %d %d|", w.source.Trace(w.now), w.sink.Trace(), w.on, w.out, w.version, w.record, w.seen, w.next, w.lost)
	for _, l := range w.mail {
		if l.m != nil {
			fmt.Fprintf(&b, " %v", *l.m)
		} else {
			fmt.Fprintf(&b, " %v", *l.ack)
		}
	}
	for _, x := range w.writes {
		fmt.Fprintf(&b, " w%v %d", x.r, x.guard)
	}
	for _, x := range w.late {
		fmt.Fprintf(&b, " l%v %d", x.r, x.guard)
	}
	return b.String()
}

// Tell plays a history and says what happened, a line a move.
func Tell(o Options, history []Move) []string {
	w := New(o)
	var out []string
	for _, m := range history {
		text := [...]string{"a quarter of a second passes", "a task is started on " + names[m.A%2], names[m.A%2] + " reports that nothing is left", "message %d comes", "message %d is lost",
			"write %d is stored", "write %d is stored, and nobody is told", "write %d is not stored for now, and nobody is told", "write %d is stored late"}[m.Kind]
		if strings.Contains(text, "%d") {
			text = fmt.Sprintf(text, m.A)
		}
		w.Apply(m)
		out = append(out, fmt.Sprintf("%-50s let out: %v; stored: %v", text, w.out, w.record))
	}
	return out
}

var _ explore.World[Move] = (*World)(nil)
