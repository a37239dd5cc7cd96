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
	maxKept = 500
	// quickly is for how long after its boot a machine counts as just up.
	quickly = 2 * second
)

// meetings is what is followed of a play in order to tell when two troubles meet.
type meetings struct {
	unread map[string]string // keys written by a transaction without an answer, by whom, until another controller reads them
	kept   []keptReport
	grants int    // stored so far
	token  uint64 // the highest that a holder has answered a report with
	latest uint64 // the token of the latest grant
}

// keptReport is a copy of a report that waits for the next leader.
type keptReport struct {
	body   *fleet.Heartbeat
	grants int // that had been stored when it was sent
}

// keepReport keeps a copy for the next leader.
func (w *World) keepReport(body *fleet.Heartbeat) {
	m := &w.meetings
	if len(m.kept) == maxKept {
		m.kept = slices.Delete(m.kept, 0, 1)
	}
	m.kept = append(m.kept, keptReport{body, m.grants})
}

// deliverKept brings all kept copies to every controller within half a second.
func (w *World) deliverKept() {
	for _, k := range w.meetings.kept {
		for _, n := range w.Nodes {
			w.after(w.span(0, 0.5), func() {
				if n.life == 0 {
					return
				}
				if w.meetings.grants > k.grants {
					w.happened(scenario.ReportToNext)
				}
				n.ask(func(req core.RequestID) { n.report(req, k.body) }, 0, func(core.Reply) {})
			})
		}
	}
}

// granted notes that a block's record was stored: a controller is about to hold it, or has
// released it.
func (w *World) granted(value json.RawMessage) {
	if g, err := authority.DecodeAssignment(value); err == nil && g.Node != "" {
		w.meetings.grants++
		w.meetings.latest = authority.FencingToken(g.Term, g.Number)
		w.deliverKept()
	}
}

// acted notes that a holder has answered a report. The first answer with a higher token is a
// new holder's: what was kept for it comes now, for the last time.
func (w *World) acted(token uint64) {
	if m := &w.meetings; token > m.token {
		m.token = token
		w.deliverKept()
		m.kept = nil
	}
}

// answered notes that an answer reaches a machine.
func (w *World) answered(name string, commands []fleet.Command) {
	m := w.Site.Cloud.Machine(name)
	starts := slices.ContainsFunc(commands, func(c fleet.Command) bool { return c.Op == fleet.Start })
	if starts && w.now < w.late && m != nil && w.now-m.UpAt < quickly {
		w.happened(scenario.QuickStart)
	}
}

// lateBy draws how late a transaction is carried out that gets no answer: 2 to 12 s where
// others of the same controller go through meanwhile, else up to a minute.
func (w *World) lateBy() units.Microseconds {
	if w.now < w.late && w.lateShare < 1 {
		return w.span(2, 12)
	}
	return w.span(1, 60)
}

// judged notes that the state service has judged a transaction: it was carried out, or
// refused by its guards.
func (n *Node) judged(number, code int) {
	if code == http.StatusOK || code == http.StatusConflict {
		n.newest = max(n.newest, number)
	}
}

// late notes what became of a transaction that was late.
func (n *Node) late(number int, r kv.Result) {
	if number < n.newest {
		switch r.Code {
		case http.StatusOK:
			n.w.happened(scenario.LateApplied)
		case http.StatusConflict:
			n.w.happened(scenario.LateRefused)
		}
	}
	n.judged(number, r.Code)
}

// unanswered notes that a transaction was carried out whose answer is lost.
func (n *Node) unanswered(t kv.Txn) {
	for _, c := range t.Changes {
		if c.Value != nil {
			n.w.meetings.unread[c.Key] = n.Name
		}
	}
}

// hasRead notes what a controller has read.
func (n *Node) hasRead(events []store.Event) {
	unread := n.w.meetings.unread
	if len(unread) == 0 {
		return
	}
	for _, e := range events {
		if writer, ok := unread[e.Key]; ok && writer != n.Name {
			delete(unread, e.Key)
			n.w.happened(scenario.UnansweredRead)
		}
	}
}
