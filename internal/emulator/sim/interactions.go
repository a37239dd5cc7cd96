package sim

import (
	"encoding/json"
	"net/http"
	"slices"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/scenario"
)

const (
	// maxKeptHeartbeats bounds the copies of heartbeats that are kept for the next leader or owner.
	maxKeptHeartbeats = 500
	// quickStartWindow is the time after its boot in which a machine counts as just booted.
	quickStartWindow = 2 * second
)

// faultInteractions tracks the run to detect when two faults interact.
type faultInteractions struct {
	// unreadWrites maps keys that were written by a transaction without a response to the writing controller,
	// until another controller reads them.
	unreadWrites   map[string]string
	kept           []keptHeartbeat
	grants         int    // number of shard assignments stored so far
	respondedToken uint64 // highest fencing token in a response to a heartbeat
	latestToken    uint64 // fencing token of the latest assignment
}

// keptHeartbeat is a copy of a heartbeat that is kept for the next leader or owner.
type keptHeartbeat struct {
	body   *fleet.Heartbeat
	grants int // faultInteractions.grants when it was sent
}

// keepHeartbeat keeps a copy of a heartbeat for the next leader or owner. The oldest copy is dropped at the
// limit.
func (w *World) keepHeartbeat(body *fleet.Heartbeat) {
	interactions := &w.interactions
	if len(interactions.kept) == maxKeptHeartbeats {
		interactions.kept = slices.Delete(interactions.kept, 0, 1)
	}
	interactions.kept = append(interactions.kept, keptHeartbeat{body, interactions.grants})
}

// deliverKeptHeartbeats delivers all kept copies to every running controller within half a second.
func (w *World) deliverKeptHeartbeats() {
	for _, kept := range w.interactions.kept {
		for _, n := range w.Nodes {
			w.schedule(w.randomDuration(0, 0.5), func() {
				if n.incarnation == 0 {
					return
				}
				if w.interactions.grants > kept.grants {
					w.recordEvent(scenario.ReportToNext)
				}
				n.request(func(req core.RequestID) { n.handleHeartbeat(req, kept.body) }, 0, func(core.Reply) {})
			})
		}
	}
}

// recordAssignmentToken records the fencing token of a stored shard assignment and delivers the kept heartbeats,
// as a controller is about to own the shard. An assignment without an owner is ignored.
func (w *World) recordAssignmentToken(value json.RawMessage) {
	if assignment, err := authority.DecodeAssignment(value); err == nil && assignment.Node != "" {
		w.interactions.grants++
		w.interactions.latestToken = authority.FencingToken(assignment.Term, assignment.Number)
		w.deliverKeptHeartbeats()
	}
}

// recordOwnerResponse records the fencing token of a shard owner's response to a heartbeat. The first
// response with a higher token comes from a new owner: the kept copies are delivered then for the last time.
func (w *World) recordOwnerResponse(token uint64) {
	if interactions := &w.interactions; token > interactions.respondedToken {
		interactions.respondedToken = token
		w.deliverKeptHeartbeats()
		interactions.kept = nil
	}
}

// recordQuickStart records the event if commands that reach a machine start a task, the machine has just
// booted, and transactions are currently applied late.
func (w *World) recordQuickStart(name string, commands []fleet.Command) {
	m := w.Site.Cloud.Machine(name)
	starts := slices.ContainsFunc(commands, func(c fleet.Command) bool { return c.Op == fleet.Start })
	if starts && w.now < w.lateUntil && m != nil && w.now-m.UpAt < quickStartWindow {
		w.recordEvent(scenario.QuickStart)
	}
}

// lateDelay draws the delay of a transaction that is applied late and gets no response. It is 2 to 12 s if
// other transactions of the same controller are applied in time meanwhile, and 1 to 60 s if not.
func (w *World) lateDelay() units.Microseconds {
	if w.now < w.lateUntil && w.lateShare < 1 {
		return w.randomDuration(2, 12)
	}
	return w.randomDuration(1, 60)
}

// recordJudgedTxn records the number of a transaction that the state service has applied or rejected by its
// guards.
func (n *Node) recordJudgedTxn(number, code int) {
	if code == http.StatusOK || code == http.StatusConflict {
		n.newestJudgedTxn = max(n.newestJudgedTxn, number)
	}
}

// recordLateTxn records the result of a transaction that was applied late.
func (n *Node) recordLateTxn(number int, result kv.Result) {
	if number < n.newestJudgedTxn {
		switch result.Code {
		case http.StatusOK:
			n.world.recordEvent(scenario.LateApplied)
		case http.StatusConflict:
			n.world.recordEvent(scenario.LateRefused)
		}
	}
	n.recordJudgedTxn(number, result.Code)
}

// recordUnansweredTxn records a transaction that was committed but whose response is lost.
func (n *Node) recordUnansweredTxn(txn kv.Txn) {
	for _, c := range txn.Changes {
		if c.Value != nil {
			n.world.interactions.unreadWrites[c.Key] = n.Name
		}
	}
}

// recordReads records that a controller has read the changes or keys in events.
func (n *Node) recordReads(events []store.Event) {
	unread := n.world.interactions.unreadWrites
	if len(unread) == 0 {
		return
	}
	for _, e := range events {
		if writer, ok := unread[e.Key]; ok && writer != n.Name {
			delete(unread, e.Key)
			n.world.recordEvent(scenario.UnansweredRead)
		}
	}
}
