package core

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

// A worker whose controller is lost waits for its answer, pauses, and tries the
// others in turn. Until the last of them has found the new holder, all work
// accepted earlier waits. So the new holder shows its token to those it has not
// heard: a worker that has taken it drops every answer of earlier holders, and its
// report shows all that can be there. Nothing is started that way, and no lease
// renewed.

const (
	// contactAfter is how long machines have to report by themselves.
	contactAfter = unit.Second
	// contactsAtOnce bounds the requests under way, and with the tick their rate:
	// each costs about as much as a report.
	contactsAtOnce = 8
	// contactTries bounds the requests to one machine.
	contactTries = 2
)

// Contact shows this node's token to a machine (OnContact).
type Contact struct {
	Block   int
	Grant   uint64
	Machine string
	Addr    string
	Token   uint64
	Session uint64
}

// contact asks some of the machines that are not accounted for yet.
func (c *Core) contact(bl *block) {
	if len(bl.unaccounted) == 0 || c.now-bl.began < contactAfter {
		return
	}
	if len(bl.asking) == 0 && bl.contacting == 0 && c.now >= bl.askAt {
		bl.askAt = c.now + unit.Second
		bl.asking = sortedKeys(bl.unaccounted)
	}
	for len(bl.asking) > 0 && bl.contacting < contactsAtOnce {
		m := bl.machines[bl.asking[0]]
		bl.asking = bl.asking[1:]
		if m == nil || m.Accounted || m.Leaving || m.Addr == "" || m.Asked == contactTries {
			continue
		}
		m.Asked++
		bl.contacting++
		c.emit(Contact{bl.n, bl.grant, m.Name, m.Addr, bl.token, max(m.Session, 1)})
	}
}

// noneAnswers reports whether every machine that is not accounted for has been
// asked as often as any is, in vain.
func (bl *block) noneAnswers() bool {
	for name := range bl.unaccounted {
		if m := bl.machines[name]; m == nil || m.Asked < contactTries {
			return false
		}
	}
	return bl.contacting == 0
}

// OnContact takes a machine's answer. It counts only while nothing was started
// there under this grant: a start may be on its way to the machine that its
// list does not show yet.
func (c *Core) OnContact(now unit.Micros, e Contact, o store.Outcome, r *fleet.Report) {
	c.at(now)
	bl := c.under(e.Block, e.Grant)
	if bl == nil {
		return
	}
	bl.contacting--
	m := bl.machines[e.Machine]
	if m == nil || m.Accounted && c.keeps(guard.DirectAnswer) || r == nil || r.Machine != m.Name || !m.Newer(r) {
		return
	}
	if o != store.OK || r.Token != bl.token {
		if r.Session > m.Session && r.Token <= bl.token {
			m.Session, m.Seq = r.Session, 0 // the next request names it
		}
		return
	}
	m.Session, m.Seq = r.Session, r.Seq
	c.reconcile(bl, m, r) // what it should do is told when it reports
	bl.accounted(c, m)
}
