package core

import (
	"encoding/json"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/lead"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

// seat is this node's standing in the state service: a record that is attached
// to a lease. Blocks and the lead are held by a seat and end with it.
type seat struct {
	id       uint64 // version of the record; 0: none
	pass     uint64 // lease in the state service
	auth     lead.Authority
	opening  bool
	sent     unit.Micros // when the lease was asked for
	after    unit.Micros // not tried before
	renewing bool
	renewAt  unit.Micros
	lastHold unit.Micros // when the renewal under way was sent
}

// seatView is what this node knows of a controller's seat.
type seatView struct {
	id     uint64      // 0: none
	since  unit.Micros // when that was learnt
	goneAt unit.Micros // when the record was seen to be gone
}

// poll collects permits to give away what a seat holds.
type poll struct {
	seat    uint64
	askedAt unit.Micros
	permits map[string]bool
}

const (
	authorityMargin = 100_000 // 0.1 s for the service's own slack and ours
	// permitFresh is how long a round of asking for permits lasts.
	permitFresh = unit.Second / 4
)

// extension is how long promises may carry a seat past its last renewal. A
// holder that is cut off hears of no cancellation: what it runs must still be
// gone in time, a worker's lease after its last answer.
func (c *Core) extension() unit.Micros {
	return max(c.cfg.LeaderTTL, c.cfg.CancelIn-c.leaseBound()-2*unit.Second)
}

// valid reports whether this node's seat surely stands.
func (c *Core) valid(now unit.Micros) bool { return now < c.ValidUntil() }

// ValidUntil is when the authority of this node's seat ends, as known at present.
func (c *Core) ValidUntil() unit.Micros {
	if c.seat.id == 0 {
		return 0
	}
	return c.seat.auth.Until()
}

// tickSeat takes a seat, and keeps it.
func (c *Core) tickSeat() {
	s := &c.seat
	if s.id != 0 {
		if !s.renewing && c.now >= s.renewAt {
			s.renewing, s.lastHold = true, c.now
			c.emit(RenewLease{s.pass})
		}
		return
	}
	if !c.mirror.Loaded() || s.opening || c.now < s.after {
		return
	}
	if c.stateAge() > unit.Second {
		c.wantSync(nil)
		return
	}
	s.opening, s.sent = true, c.now
	c.emit(OpenLease{c.cfg.LeaderTTL})
}

// OnLease takes a new lease's outcome and takes a seat with it. A record of
// this node's that is there already was left by its last process, which has
// surely ended.
func (c *Core) OnLease(now unit.Micros, o store.Outcome, id uint64) {
	c.at(now)
	o = c.heard(o)
	s := &c.seat
	if o != store.OK {
		s.opening, s.after = false, now+unit.Second/2
		return
	}
	key := seatPrefix + c.cfg.Node
	sent := s.sent
	c.lanes[LeaderLane].Add(&store.Write{
		Guards:  []store.Guard{{Key: key, Stamp: c.mirror.Stamp(key)}},
		Changes: []store.Change{{Key: key, Value: store.Value(lead.Seat{Node: c.cfg.Node, Release: release}), Lease: id}},
		Done: func(o store.Outcome, rev uint64) {
			s.opening = false
			if o != store.OK {
				// Ending the lease also keeps a late write from being carried out.
				s.after = c.now + unit.Second/5
				c.emit(CloseLease{id})
				c.wantSync(nil)
				return
			}
			s.id, s.pass, s.renewing, s.renewAt = rev, id, false, sent+c.cfg.LeaderTTL/5
			s.auth = lead.Authority{TTL: c.cfg.LeaderTTL, Margin: authorityMargin, Extend: c.extension(), Peers: c.cfg.Size / 2}
			s.auth.Renewed(sent)
			c.log.Info("seated", "seat", rev)
			// The record is seen by others before its answer is here: where that is
			// slow, a leader may have granted a block to the seat meanwhile, and
			// nobody would hold it for as long as the seat stands.
			for _, k := range slices.Sorted(maps.Keys(c.blocks)) {
				c.take(k)
			}
		},
	})
}

// OnRenew takes a renewal's outcome.
func (c *Core) OnRenew(now unit.Micros, id uint64, o store.Outcome) {
	c.at(now)
	o = c.heard(o)
	s := &c.seat
	if s.id == 0 || s.pass != id {
		return
	}
	s.renewing = false
	switch o {
	case store.OK:
		s.auth.Renewed(s.lastHold)
		s.renewAt = s.lastHold + c.cfg.LeaderTTL/5
	case store.Failed:
		c.loseSeat("the lease has ended", unit.Second/5)
	default:
		s.renewAt = now + c.cfg.LeaderTTL/10
	}
}

// loseSeat gives up all that this node holds.
func (c *Core) loseSeat(why string, pause unit.Micros) {
	c.log.Warn("seat lost", "seat", c.seat.id, "why", why)
	c.emit(CloseLease{c.seat.pass})
	c.seat.id, c.seat.after = 0, c.now+pause
	c.leader = nil
	if c.claim.Node == c.cfg.Node {
		c.claim = lead.Claim{} // the record goes with the lease
	}
	for _, k := range sortedBlocks(c.held) {
		c.drop(c.held[k])
	}
	c.lanes[LeaderLane].Clear()
	c.wantSync(nil)
}

// drop stops holding a block.
func (c *Core) drop(bl *block) {
	delete(c.held, bl.n)
	c.log.Info("block given up", "block", bl.n)
	c.refuseHeld(bl)
	for _, j := range c.active {
		if j.Record.Block == bl.n {
			j.Clear()
		}
	}
	for _, m := range bl.machines { // what runs there of jobs that are over is the next holder's to count
		for id := range m.Tasks {
			if j := c.jobs[id.Job]; j != nil && !j.Active() {
				j.Release(id.Task)
				c.unplaced(j)
			}
		}
	}
	c.setRates()
}

func (c *Core) learnSeat(node string, e store.Event) error {
	v := &seatView{since: c.now}
	if e.Value == nil {
		v.goneAt = c.now
	} else {
		var s lead.Seat
		if err := json.Unmarshal(e.Value, &s); err != nil {
			return err
		}
		v.id = e.Stamp
		c.heardRelease(node, s.Release)
	}
	c.seats[node] = v
	if node == c.cfg.Node && c.seat.id != 0 && v.id != c.seat.id {
		c.loseSeat("the seat is another's or gone", unit.Second/5)
	}
	return nil
}

// seatOf returns the seat that a controller has, as far as this node knows.
func (c *Core) seatOf(node string) uint64 {
	if v := c.seats[node]; v != nil {
		return v.id
	}
	return 0
}

func (c *Core) voter(node string) *lead.Voter {
	v := c.voters[node]
	if v == nil {
		v = &lead.Voter{}
		c.voters[node] = v
	}
	return v
}

// ended reports whether a seat surely holds nothing any more, and seeks the
// help of a majority to make that sure.
func (c *Core) ended(node string, id uint64) bool {
	if node == c.cfg.Node {
		return id != c.seat.id // it was this node's last process, or was given up
	}
	v := c.seats[node]
	if v == nil { // not there when the copy was first read
		v = &seatView{since: c.mirror.LoadedAt(), goneAt: c.mirror.LoadedAt()}
		c.seats[node] = v
	}
	switch {
	case v.id != 0 && v.id == id:
		return false
	case v.id != 0:
		return true // the controller has given it up, or its process has ended
	case c.now-v.goneAt > unit.Longest(c.extension())+c.cfg.LeaderTTL:
		return true // whatever was promised to it, its time is over
	case id == 0:
		return false // held by an older release that knows no seats
	}
	p := c.polls[node]
	if p == nil || p.seat != id || c.now-p.askedAt > permitFresh {
		p = &poll{seat: id, askedAt: c.now, permits: map[string]bool{}}
		c.polls[node] = p
		for _, n := range c.peers.names {
			c.emit(SendPeer{n, PeerPermitAsk{node, id}})
		}
	}
	if !p.permits[c.cfg.Node] && c.voter(node).Permit(c.now, id) {
		p.permits[c.cfg.Node] = true
	}
	return len(p.permits) > c.cfg.Size/2
}

// permitAsked answers a controller that wants to give away what a seat holds.
func (c *Core) permitAsked(from string, m PeerPermitAsk) {
	if m.Node != c.cfg.Node && c.peers.views[m.Node] == nil {
		return // no controller: whoever asks waits until its time is over
	}
	if m.Node == c.cfg.Node && m.Seat == c.seat.id {
		if c.seat.id == 0 || c.valid(c.now) {
			return
		}
		c.loseSeat("another takes over and authority has run out", unit.Second/5)
	}
	if c.voter(m.Node).Permit(c.now, m.Seat) {
		c.emit(SendPeer{from, PeerPermit(m)})
	}
}

// permitted takes a controller's help.
func (c *Core) permitted(from string, m PeerPermit) {
	if p := c.polls[m.Node]; p != nil && p.seat == m.Seat {
		p.permits[from] = true
	}
}
