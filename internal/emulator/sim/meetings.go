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
	// maxKept bounds the copies of reports that wait for the next leader.
	maxKeptHeartbeats = 500
	// quickly is for how long after its boot a machine counts as just up.
	quickStartWindow = 2 * second
)

// meetings is what is followed of a play in order to tell when two troubles meet.
type faultInteractions struct {
	unreadWrites   map[string]string // keys written by a transaction without an answer, by whom, until another controller reads them
	kept           []keptHeartbeat
	grants         int    // stored so far
	respondedToken uint64 // the highest that a holder has answered a report with
	latestToken    uint64 // the token of the latest grant
}

// keptReport is a copy of a report that waits for the next leader.
type keptHeartbeat struct {
	body   *fleet.Heartbeat
	grants int // that had been stored when it was sent
}

// keepReport keeps a copy for the next leader.
func (w *World) keepHeartbeat(body *fleet.Heartbeat) {
	interactions := &w.interactions
	if len(interactions.kept) == maxKeptHeartbeats {
		interactions.kept = slices.Delete(interactions.kept, 0, 1)
	}
	interactions.kept = append(interactions.kept, keptHeartbeat{body, interactions.grants})
}

// deliverKept brings all kept copies to every controller within half a second.
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

// granted notes that a block's record was stored: a controller is about to hold it, or has
// released it.
func (w *World) recordAssignmentToken(value json.RawMessage) {
	if assignment, err := authority.DecodeAssignment(value); err == nil && assignment.Node != "" {
		w.interactions.grants++
		w.interactions.latestToken = authority.FencingToken(assignment.Term, assignment.Number)
		w.deliverKeptHeartbeats()
	}
}

// acted notes that a holder has answered a report. The first answer with a higher token is a
// new holder's: what was kept for it comes now, for the last time.
func (w *World) recordOwnerResponse(token uint64) {
	if interactions := &w.interactions; token > interactions.respondedToken {
		interactions.respondedToken = token
		w.deliverKeptHeartbeats()
		interactions.kept = nil
	}
}

// answered notes that an answer reaches a machine.
func (w *World) recordQuickStart(name string, commands []fleet.Command) {
	m := w.Site.Cloud.Machine(name)
	starts := slices.ContainsFunc(commands, func(c fleet.Command) bool { return c.Op == fleet.Start })
	if starts && w.now < w.lateUntil && m != nil && w.now-m.UpAt < quickStartWindow {
		w.recordEvent(scenario.QuickStart)
	}
}

// lateBy draws how late a transaction is carried out that gets no answer: 2 to 12 s where
// others of the same controller go through meanwhile, else up to a minute.
func (w *World) lateDelay() units.Microseconds {
	if w.now < w.lateUntil && w.lateShare < 1 {
		return w.randomDuration(2, 12)
	}
	return w.randomDuration(1, 60)
}

// judged notes that the state service has judged a transaction: it was carried out, or
// refused by its guards.
func (n *Node) recordJudgedTxn(number, code int) {
	if code == http.StatusOK || code == http.StatusConflict {
		n.newestJudgedTxn = max(n.newestJudgedTxn, number)
	}
}

// late notes what became of a transaction that was late.
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

// unanswered notes that a transaction was carried out whose answer is lost.
func (n *Node) recordUnansweredTxn(txn kv.Txn) {
	for _, c := range txn.Changes {
		if c.Value != nil {
			n.world.interactions.unreadWrites[c.Key] = n.Name
		}
	}
}

// hasRead notes what a controller has read.
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
