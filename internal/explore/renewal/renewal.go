// Package renewal is a model in which a shard with one machine passes from owner to owner while a job is
// cancelled. It runs the service's own code that answers heartbeats and probes (package reconcile) against a
// worker that follows the protocol. Messages may be delayed, lost or reordered, and the worker may give up on
// a heartbeat at any time. Model checking shows whether a response can renew the worker's lease without
// stopping a task of the cancelled job, and whether an owner can count the lease as expired, or a task as
// ended, before the worker does.
package renewal

import (
	"fmt"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/reconcile"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/explore"
)

// Mutation is a bug that is added on purpose, to show that the search finds it.
type Mutation string

// Mutations. Each removes one check.
const (
	None                 Mutation = ""
	UnconfirmedStopsNone Mutation = "unconfirmed" // a response to an unconfirmed heartbeat stops no task of a finished job
	OvertakenUncounted   Mutation = "overtaken"   // a response to an overtaken heartbeat does not count as a lease renewal
	OldAsNew             Mutation = "order"       // an older heartbeat counts as the newest
)

// Mutations lists all mutations.
var Mutations = []Mutation{UnconfirmedStopsNone, OvertakenUncounted, OldAsNew}

// skippedGuards maps each mutation to the check that it removes.
var skippedGuards = map[Mutation]guard.Guard{
	UnconfirmedStopsNone: guard.InactiveTasks,
	OvertakenUncounted:   guard.OvertakenLease,
	OldAsNew:             guard.HeartbeatOrder,
}

// Options configure the model and bound its actions.
type Options struct {
	Mutation Mutation
	Owners   int // maximum number of owners, the first included
	Mail     int // maximum number of messages in flight
}

const (
	machineName      = "n-1"
	jobID            = "wk-000001"
	attemptsPerOwner = 100

	second          = units.Second
	startTime       = 10 * second
	workerLease     = 3 * second
	leaseBound      = workerLease + second/5
	responseTimeout = 2 * second
)

// Action is one step of the model. Message is the index of the message that is delivered or lost.
type Action struct {
	Kind    actionKind
	Message int8
}

type actionKind int8

const (
	advanceTime        actionKind = iota // one second passes
	sendHeartbeat                        // the worker sends a heartbeat
	giveUp                               // the worker gives up on the heartbeat in flight
	cancelJob                            // the owner learns that the job was cancelled
	replaceOwner                         // the owner ends, and the next one knows nothing of the machine's tasks
	replaceTransferred                   // the owner ends, and the next one knows its state
	sendProbe                            // the owner sends a probe
	deliver                              // a message is delivered
	lose                                 // a message is lost
)

var actionNames = [...]string{"a second passes", "the worker sends a heartbeat", "the worker gives up on the heartbeat", "the job is cancelled",
	"a new owner begins", "a new owner begins with the last one's state", "the owner sends a probe", "delivered: ", "lost: "}

type messageKind int8

const (
	heartbeatMessage messageKind = iota
	responseMessage
	probeMessage
	probeAnswerMessage
)

type message struct {
	kind         messageKind
	fencingToken uint64           // of the owner that sent the message or gets the answer
	heartbeat    *fleet.Heartbeat // the heartbeat that is sent or answered, or the answer to a probe
	commands     []fleet.Command
	cancelled    bool // the owner knew of the cancellation when it responded
	probe        reconcile.Probe
	outcome      store.Outcome
}

// String returns a description that is equal for messages with equal effects.
func (m message) String() string {
	text := fmt.Sprintf("%s under token %d", [...]string{"heartbeat", "response", "probe", "answer to a probe"}[m.kind], m.fencingToken)
	if m.heartbeat != nil {
		text += fmt.Sprintf(" [%d/%d, token %d, %d tasks]", m.heartbeat.Incarnation, m.heartbeat.Seq, m.heartbeat.FencingToken, len(m.heartbeat.Tasks))
	}
	return text + fmt.Sprint(m.commands, m.cancelled, m.probe.Incarnation, m.outcome)
}

// World is the state of the model.
type World struct {
	options   Options
	now       units.Microseconds
	worker    worker
	owner     *owner
	cancelled bool
	messages  []message
	violation string
}

// New returns a world in which the first owner has just started the job's task, and the worker's next
// heartbeat was answered.
func New(options Options) *World {
	w := &World{options: options, now: startTime, worker: worker{incarnation: 1, leaseEnd: startTime + workerLease}}
	w.owner = newOwner(w.now, 1, false, nil, skippedGuards[options.Mutation])
	for range 3 {
		w.Apply(Action{Kind: sendHeartbeat})
		w.Apply(Action{Kind: deliver})
		w.Apply(Action{Kind: deliver})
	}
	return w
}

// Actions implements explore.World.
func (w *World) Actions() []Action {
	out := []Action{{Kind: advanceTime}}
	add := func(kind actionKind, possible bool) {
		if possible {
			out = append(out, Action{Kind: kind})
		}
	}
	room := len(w.messages) < w.options.Mail
	add(sendHeartbeat, room && w.worker.awaited == 0)
	add(giveUp, w.worker.awaited != 0)
	add(cancelJob, !w.cancelled)
	more := w.owner.token < uint64(w.options.Owners)
	add(replaceOwner, more)
	add(replaceTransferred, more && w.owner.snapshot() != nil)
	add(sendProbe, room && !w.owner.machine.Reconciled)
	for i := range w.messages {
		out = append(out, Action{deliver, int8(i)}, Action{lose, int8(i)})
	}
	return out
}

// Apply implements explore.World.
func (w *World) Apply(action Action) {
	switch action.Kind {
	case advanceTime:
		w.advance()
	case sendHeartbeat:
		w.messages = append(w.messages, message{kind: heartbeatMessage, heartbeat: w.worker.sendHeartbeat(w.now)})
	case giveUp:
		w.worker.awaited = 0
	case cancelJob:
		w.cancelled = true
		w.owner.cancel()
	case replaceOwner:
		w.replaceOwner(nil)
	case replaceTransferred:
		w.replaceOwner(w.owner.snapshot())
	case sendProbe:
		probe := reconcile.Probe{Assignment: w.owner.token, Machine: machineName, FencingToken: w.owner.token, Incarnation: max(w.owner.machine.Incarnation, 1)}
		w.messages = append(w.messages, message{kind: probeMessage, fencingToken: w.owner.token, probe: probe})
	case deliver:
		w.deliver(w.remove(action.Message))
	case lose:
		w.remove(action.Message)
	}
}

// advance lets a second pass.
func (w *World) advance() {
	w.now += second
	w.worker.advance(w.now)
	if end := w.owner.machine.LeaseEnd; end != 0 && w.now >= end {
		w.owner.reconciler.ExpireLease(w.now, w.owner.machine)
	}
}

func (w *World) replaceOwner(snapshot *reconcile.Snapshot) {
	w.owner = newOwner(w.now, w.owner.token+1, w.cancelled, snapshot, w.owner.skipped)
}

// remove removes a message from those in flight and returns it.
func (w *World) remove(index int8) message {
	removed := w.messages[index]
	w.messages = slices.Delete(w.messages, int(index), int(index)+1)
	return removed
}

func (w *World) deliver(received message) {
	switch received.kind {
	case heartbeatMessage:
		w.deliverHeartbeat(received)
	case responseMessage:
		if w.worker.applyResponse(received) && received.cancelled && w.worker.runs(w.owner.job) {
			w.violation = "a response renewed the lease and did not stop a task of a cancelled job"
		}
	case probeMessage:
		w.deliverProbe(received)
	case probeAnswerMessage:
		if received.fencingToken == w.owner.token {
			w.owner.reconciler.OnProbe(w.now, received.probe, received.outcome, received.heartbeat)
		}
	}
}

// deliverHeartbeat delivers a heartbeat to the owner. A refusal is not modelled as a message: the worker gives
// up on the heartbeat.
func (w *World) deliverHeartbeat(received message) {
	commands, answered := w.owner.accept(w.now, received.heartbeat)
	if answered {
		w.messages = append(w.messages, message{kind: responseMessage, fencingToken: w.owner.token, heartbeat: received.heartbeat, commands: commands, cancelled: w.cancelled})
	}
}

// deliverProbe delivers a probe to the worker, which answers with its status.
func (w *World) deliverProbe(received message) {
	received.kind, received.outcome = probeAnswerMessage, store.Failed
	if w.worker.acceptProbe(received.fencingToken, received.probe.Incarnation) {
		received.outcome = store.OK
	}
	received.heartbeat = w.worker.status()
	w.messages = append(w.messages, received)
}

// Violation implements explore.World.
func (w *World) Violation() string {
	switch {
	case w.violation != "":
		return w.violation
	case len(w.worker.tasks) > 0 && w.worker.leaseEnd > w.owner.machine.LeaseEnd:
		return "the owner counts the lease as expired before the worker does"
	case slices.ContainsFunc(w.worker.tasks, w.owner.countsAsEnded):
		return "the owner counts a running task as ended"
	}
	return ""
}

// State implements explore.World.
func (w *World) State() string {
	var text strings.Builder
	worker, machine := &w.worker, w.owner.machine
	fmt.Fprintf(&text, "%d %d %d %d %v %d %d|", worker.incarnation, worker.seq, worker.fencingToken, worker.leaseEnd-w.now, worker.tasks, worker.awaited, min(w.now-worker.sentAt, responseTimeout))
	fmt.Fprintf(&text, "%d %d %v %d|", w.owner.token, w.owner.attempts, w.cancelled, w.owner.job.Placed())
	fmt.Fprintf(&text, "%d %d %d %d %v %v %v %v %d %v|", machine.Incarnation, machine.Seq, machine.HeartbeatSeq, max(machine.LeaseEnd-w.now, 0),
		machine.LastSeen == 0, machine.Reconciled, machine.Transferred, machine.Lost, machine.ExpiredAttempt, machine.TaskIDs())
	for _, id := range machine.TaskIDs() {
		fmt.Fprint(&text, machine.Tasks[id].Number, machine.Tasks[id].State, " ")
	}
	described := make([]string, len(w.messages))
	for i, m := range w.messages {
		described[i] = m.String()
	}
	slices.Sort(described)
	fmt.Fprint(&text, described)
	return text.String()
}

// FormatTrace replays a trace and describes it, one line per action.
func FormatTrace(options Options, trace []Action) []string {
	w := New(options)
	var out []string
	for _, action := range trace {
		text := actionNames[action.Kind]
		if action.Kind == deliver || action.Kind == lose {
			text += w.messages[action.Message].String()
		}
		w.Apply(action)
		out = append(out, fmt.Sprintf("%4.0f s  %s; the worker's lease ends at %.0f s, the owner expects %.1f s", (w.now-startTime).Seconds(), text,
			(w.worker.leaseEnd-startTime).Seconds(), (w.owner.machine.LeaseEnd-startTime).Seconds()))
	}
	return out
}

var _ explore.World[Action] = (*World)(nil)
