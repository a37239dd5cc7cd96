package core

import (
	"maps"
	"net/http"
	"slices"

	"shalestage.example/shalestage/internal/core/admission"
	"shalestage.example/shalestage/internal/core/cancellations"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/core/zones"
)

// What controllers tell each other. A status helps to decide whom to send users
// and workers to, and an ask hands a user's request to a controller that the
// state service serves. Promises and permits are those of package lead.
type (
	// PeerStatus is sent a few times a second.
	PeerStatus struct {
		StateAge units.Microseconds // since the state service last served the sender
		Seat     uint64             // for which it asks for a promise; 0: none
		Sent     units.Microseconds // on the sender's clock
		Deaf     bool               // no worker has reached the sender for a while
		Blocks   []BlockStatus
		Release  int                // what the sender understands; 0: less than 0.3 does
		Full     bool               // the sender's memory is nearly full
		Back     units.Microseconds // when the sender last noticed that the state service went back; 0: never
		Zones    []zones.Status     // those that do not serve, as a holder of blocks sees it
		Known    uint64             // the sender knows every cancellation up to this revision
		// Config is the version of the configuration that the sender goes by, and ConfigKnown
		// the latest that it knows to be stored; 0: that of its settings file.
		Config, ConfigKnown uint64
	}
	// BlockStatus tells of a block that the sender holds.
	BlockStatus struct {
		Block int
		Share uint64  // version of the share that the block goes by
		Use   float64 // largest part of a limit in use; -1: not known yet
		// Over are teams that use more of their limits than this share, by the configuration
		// that the sender goes by.
		Over []string
	}
	// PeerPromise grants what a status asked for, and tells which cancellations the other
	// lacks.
	PeerPromise struct {
		Seat uint64
		Sent units.Microseconds
		Told cancellations.Told
		// ConfigKnown is the latest version of the configuration that the sender knows.
		ConfigKnown uint64
	}
	// PeerPermitAsk asks for help to give away what a controller's seat held;
	// PeerPermit grants it.
	PeerPermitAsk struct {
		Node string
		Seat uint64
	}
	PeerPermit PeerPermitAsk
	// PeerRelease is the leader's wish that a block be given up, by its grant.
	PeerRelease struct {
		Block int
		Grant uint64
	}
	// PeerAsk hands over a user's request.
	PeerAsk struct {
		ID   uint64
		Kind AskKind
		Job  string
		Spec *jobs.Spec
		Bad  string
	}
	// PeerAnswer answers an ask.
	PeerAnswer struct {
		ID         uint64
		Code       int
		Body       *JobAnswer // nil: Text says why not
		Text       string
		RetryAfter units.Microseconds
	}
	// SendPeer is the effect that sends one of these; it may be lost.
	SendPeer struct {
		Node    string
		Message any
	}
)

// AskKind is what a user wants.
type AskKind = admission.Kind

// Kinds of requests that are handed over.
const (
	AskSubmit = admission.Submit
	AskQuery  = admission.Query
	AskCancel = admission.Cancel
)

const (
	statusEvery = 300_000
	// A peer is taken as alive, and the state service as serving a node, for
	// a few statuses' time.
	peerFresh  = 1200 * units.Second / 1000
	stateFresh = 1 * units.Second
	// askWithin leaves a user who polls, and waits 2 s, time for an answer, also
	// where the controller that was asked stands still.
	askWithin = 1 * units.Second
	maxAsks   = 256
)

type peerView struct {
	status        PeerStatus
	lastHeartbeat units.Microseconds // 0: never
	unresponsive  bool               // as last logged
	rollbackMark  units.Microseconds // its mark of the last time that the state service went back
}

type forwardedRequest struct {
	req   RequestID
	until units.Microseconds
}

type peerDirectory struct {
	views           map[string]*peerView
	names           []string
	statusAt        units.Microseconds
	pendingForwards map[uint64]forwardedRequest
	nextForward     uint64
	forwarded       map[RequestID]forwardOrigin // requests that came from a peer
	nextReq         RequestID
}

type forwardOrigin struct {
	node string
	id   uint64
}

// foreignBase keeps the numbers of handed-over requests apart from own ones.
const foreignBase RequestID = 1 << 62

func newPeers(names []string) peerDirectory {
	p := peerDirectory{views: map[string]*peerView{}, names: names, pendingForwards: map[uint64]forwardedRequest{}, forwarded: map[RequestID]forwardOrigin{}, nextReq: foreignBase}
	for _, n := range names {
		p.views[n] = &peerView{}
	}
	return p
}

// stateAge is how long ago the state service last answered.
func (c *Core) stateAge() units.Microseconds { return c.cache.Age(c.now) }

func (c *Core) tickPeers() {
	p := &c.peers
	if c.now >= p.statusAt {
		p.statusAt = c.now + statusEvery
		s := PeerStatus{StateAge: c.stateAge(), Deaf: c.reachability.UnreachableNow(c.now), Release: release, Full: c.admission.MemoryFull(), Back: c.cache.RollbackMark()}
		// Also once authority has run out: what the others still promise then, nobody has taken.
		if c.membership.ID() != 0 {
			s.Seat, s.Sent, s.Known = c.membership.ID(), c.now, c.cancellations.Known(c.cache.Revision)
		}
		c.updateZonePeers()
		if len(c.owned) > 0 {
			s.Zones = c.zones.Report()
		}
		for _, k := range sortedShards(c.owned) {
			st := BlockStatus{Block: k, Share: c.shardRecords.Allocation(k).Version, Use: -1}
			if shard := c.owned[k]; shard.ready && len(shard.reconciler.Unreconciled()) == 0 {
				st.Use = shard.quota.LargestUse()
			}
			s.Blocks = append(s.Blocks, st)
		}
		c.addConfigStatus(&s)
		for _, n := range p.names {
			c.emit(SendPeer{n, s})
		}
	}
	for _, n := range p.names {
		if v := p.views[n]; v.lastHeartbeat != 0 && c.alive(v) == v.unresponsive {
			v.unresponsive = !v.unresponsive
			c.log.Info("peer", "controller", n, "silent", v.unresponsive)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.pendingForwards)) {
		if a := p.pendingForwards[id]; c.now >= a.until {
			delete(p.pendingForwards, id)
			c.unavailable(a.req, "no controller is served by the state service")
		}
	}
}

// updateZonePeers tells the picture of the zones which controllers are heard: by this one, or by
// the state service, where their seats stand. Two zones that do not reach each other are
// not lost while both reach that.
func (c *Core) updateZonePeers() {
	all, alive := map[string]int{}, map[string]int{}
	for _, n := range c.peers.names {
		z := c.cfg.PeerZones[n]
		all[z]++
		if c.alive(c.peers.views[n]) || c.membership.Current(n) != 0 && c.stateAge() < stateFresh {
			alive[z]++
		}
	}
	for z, n := range all {
		c.zones.Controllers(z, n, alive[z])
	}
}

func (c *Core) alive(v *peerView) bool {
	return v.lastHeartbeat != 0 && c.now-v.lastHeartbeat < peerFresh
}

// servedPeer returns a peer that is alive and was served lately, or "".
func (c *Core) servedPeer() string {
	best, age := "", stateFresh
	for _, n := range c.peers.names {
		v := c.peers.views[n]
		if c.alive(v) && v.status.StateAge < age && !c.tooOld(n) {
			best, age = n, v.status.StateAge
		}
	}
	return best
}

// anyPeer reports whether any peer is alive.
func (c *Core) anyPeer() bool {
	for _, v := range c.peers.views {
		if c.alive(v) {
			return true
		}
	}
	return false
}

// shouldForward reports whether a request should go to a peer right away: the state
// service has not answered this node for a while, and it has answered another.
func (c *Core) shouldForward(req RequestID) bool {
	_, foreign := c.peers.forwarded[req]
	return !foreign && c.stateAge() > stateFresh && c.servedPeer() != ""
}

// forward gives a request that the state service does not let this node
// serve to a controller that it does, or tells the user to come back.
func (c *Core) forward(r admission.Request) {
	to := c.servedPeer()
	if r.Spec != nil && len(r.Spec.Awaits) > 0 && c.releases[to] < releaseDependencies {
		to = "" // it would start the job at once
	}
	if _, foreign := c.peers.forwarded[r.ID]; foreign || to == "" || len(c.peers.pendingForwards) >= maxAsks {
		c.unavailable(r.ID, "state service does not answer")
		return
	}
	p := &c.peers
	p.nextForward++
	p.pendingForwards[p.nextForward] = forwardedRequest{r.ID, c.now + askWithin}
	c.emit(SendPeer{to, PeerAsk{ID: p.nextForward, Kind: r.Kind, Job: r.Job, Spec: r.Spec, Bad: r.Malformed}})
}

// OnPeer takes a message of another controller.
func (c *Core) OnPeer(now units.Microseconds, from string, m any) {
	c.advance(now)
	v := c.peers.views[from]
	if v == nil {
		return
	}
	switch m := m.(type) {
	case PeerStatus:
		v.status, v.lastHeartbeat = m, now
		// In an outage one that was cut off may go on beside the one that holds the block now.
		if len(c.owned) == 0 && slices.ContainsFunc(m.Blocks, func(b BlockStatus) bool { return c.shardRecords.Assignment(b.Block).Node == from }) {
			c.zones.PeerView(m.Zones)
		}
		c.noteRelease(from, m.Release)
		c.peerSawRollback(from, v, m.Back)
		c.receiveConfigStatus(from, m)
		if c.membership.GrantPeerLease(now, from, m.Seat) {
			c.emit(SendPeer{from, PeerPromise{Seat: m.Seat, Sent: m.Sent, Told: c.cancellationsFor(m), ConfigKnown: c.config.Known()}})
		}
		if c.election.Leads() {
			for _, b := range m.Blocks {
				c.planner.ObserveQuotaUse(from, b.Block, b.Share, b.Use)
			}
		}
	case PeerPromise:
		c.membership.PeerLeaseGranted(now, from, m.Seat, m.Sent)
		c.config.PeerKnows(m.ConfigKnown) // before the others' word lengthens this holder's authority
		c.receiveCancellations(from, m)
	case PeerPermitAsk:
		// Of no controller: whoever asks waits until its time is over.
		if (m.Node == c.cfg.Node || c.peers.views[m.Node] != nil) && c.membership.VoteRequested(now, m.Node, m.Seat) {
			c.emit(SendPeer{from, PeerPermit(m)})
		}
	case PeerPermit:
		c.membership.VoteReceived(from, m.Node, m.Seat)
	case PeerRelease:
		if shard := c.owned[m.Block]; shard != nil && shard.assignment == m.Grant {
			c.release(shard, "the leader asks for it")
		}
	case PeerStarts:
		c.receiveStarts(from, m)
	case PeerKnown:
		if shard := c.owned[m.Block]; shard != nil {
			shard.replication.OnAck(now, from, m)
		}
	case PeerPicture:
		c.transfers.Receive(m)
	case PeerAsk:
		if !jobs.ValidID(m.Job) || m.Spec != nil && !m.Spec.Sane() || len(c.peers.forwarded) >= maxAsks {
			return
		}
		c.peers.nextReq++
		req := c.peers.nextReq
		c.peers.forwarded[req] = forwardOrigin{from, m.ID}
		switch m.Kind {
		case AskSubmit:
			c.Submit(now, req, m.Job, m.Spec, m.Bad)
		case AskQuery:
			c.Query(now, req, m.Job)
		case AskCancel:
			c.Cancel(now, req, m.Job)
		default:
			delete(c.peers.forwarded, req)
		}
	case PeerAnswer:
		a, ok := c.peers.pendingForwards[m.ID]
		if !ok {
			return
		}
		delete(c.peers.pendingForwards, m.ID)
		if m.Body != nil {
			c.emit(Reply{Request: a.req, Code: m.Code, Body: *m.Body})
		} else {
			c.emit(Reply{Request: a.req, Code: m.Code, Body: Problem{m.Text}, RetryAfter: m.RetryAfter})
		}
	}
}

// send answers a request, wherever it came from.
func (c *Core) send(r Reply) {
	o, ok := c.peers.forwarded[r.Request]
	if !ok {
		c.emit(r)
		return
	}
	delete(c.peers.forwarded, r.Request)
	a := PeerAnswer{ID: o.id, Code: r.Code, RetryAfter: r.RetryAfter}
	switch b := r.Body.(type) {
	case JobAnswer:
		a.Body = &b
	case Problem:
		a.Text = b.Text
	}
	c.emit(SendPeer{o.node, a})
}

// Ready reports whether this node can take requests. Where the state service
// serves nobody, going unready would help no user and would keep the load
// balancer away for a while after the outage; a node that alone is refused is
// still of use while it can hand requests over.
func (c *Core) Ready(now units.Microseconds) bool {
	c.advance(now)
	if !c.cache.Loaded() || len(c.types) == 0 || c.retiringSince != 0 {
		return false
	}
	return c.stateAge() < 3*units.Second || c.anyPeer()
}

// Answer answers a request that needed no more than a look.
func (c *Core) Answer(req RequestID, ok bool) {
	code := http.StatusServiceUnavailable
	if ok {
		code = http.StatusOK
	}
	c.reply(req, code, nil)
}
