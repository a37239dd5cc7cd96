package core

import (
	"net/http"
	"slices"

	"shalestage.example/shalestage/internal/core/admission"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/units"
)

// What controllers send each other, see package peering.
type (
	// PeerStatus is a controller's heartbeat to the others.
	PeerStatus = peering.PeerStatus
	// ShardStatus is the part of it on one shard.
	ShardStatus = peering.BlockStatus
	// PeerLeaseGrant grants a peer lease.
	PeerLeaseGrant = peering.PeerPromise
	// TakeoverVoteRequest asks for a takeover vote.
	TakeoverVoteRequest = peering.PeerPermitAsk
	// TakeoverVote is a takeover vote.
	TakeoverVote = peering.PeerPermit
	// ReleaseRequest asks an owner to release a shard.
	ReleaseRequest = peering.PeerRelease
	// ForwardedRequest forwards a user's request.
	ForwardedRequest = peering.PeerAsk
	// ForwardedResponse answers it.
	ForwardedResponse = peering.PeerAnswer
	// RequestKind is what a user wants.
	RequestKind = peering.AskKind
)

// Kinds of requests that are forwarded.
const (
	RequestSubmit = peering.AskSubmit
	RequestQuery  = peering.AskQuery
	RequestCancel = peering.AskCancel
)

// SendPeer is the effect that sends a message to another controller; it may be lost.
type SendPeer struct {
	Node    string
	Message any
}

// stateAge is how long ago the state service last answered.
func (c *Core) stateAge() units.Microseconds { return c.cache.Age(c.now) }

// broadcast sends a message to all other controllers.
func (c *Core) broadcast(message any) {
	for _, node := range c.peers.Names() {
		c.emit(SendPeer{node, message})
	}
}

// tickPeers sends this controller's status when it is due, and gives up forwarded requests that
// nobody has answered.
func (c *Core) tickPeers() {
	if c.now >= c.nextStatusAt {
		c.nextStatusAt = c.now + peering.StatusInterval
		c.broadcast(c.status())
	}
	c.peers.LogChanges(c.now)
	for _, request := range c.forwarder.Expired(c.now) {
		c.unavailable(request, "no controller is served by the state service")
	}
}

// status is what the other controllers are to know of this one.
func (c *Core) status() PeerStatus {
	status := PeerStatus{StateAge: c.stateAge(), Deaf: c.reachability.Unreachable(c.now), Release: peering.Release,
		Full: c.admission.MemoryFull(), Back: c.cache.RollbackMark()}
	// Also once authority has run out: while all still grant a peer lease, nobody has taken over.
	if c.membership.ID() != 0 {
		status.Seat, status.Sent, status.Known = c.membership.ID(), c.now, c.cancellations.KnownRevision(c.cache.Revision)
	}
	c.updateZonePeers()
	if len(c.owned) > 0 {
		status.Zones = c.zones.Statuses()
	}
	for _, number := range sortedShards(c.owned) {
		use := -1.0
		if shard := c.owned[number]; shard.ready && len(shard.reconciler.Unreconciled()) == 0 {
			use = shard.quota.MaxUtilization()
		}
		status.Blocks = append(status.Blocks, ShardStatus{Block: number, Share: c.shardRecords.Allocation(number).Version, Use: use})
	}
	c.addConfigStatus(&status)
	return status
}

// updateZonePeers tells the view of the zones which controllers are alive: as they send statuses to
// this one, or as their memberships stand in the state service. Two zones that do not reach each
// other are not lost while both reach that.
func (c *Core) updateZonePeers() {
	all, alive := map[string]int{}, map[string]int{}
	for _, node := range c.peers.Names() {
		zone := c.cfg.PeerZones[node]
		all[zone]++
		if c.peers.Alive(c.now, node) || c.membership.CurrentID(node) != 0 && c.stateAge() < peering.ServedFor {
			alive[zone]++
		}
	}
	for zone, n := range all {
		c.zones.SetControllers(zone, n, alive[zone])
	}
}

// servedPeer names a controller that is alive and was served by the state service lately; "": none.
func (c *Core) servedPeer() string {
	return c.peers.BestServed(c.now, func(node string) bool { return !c.incompatible(node) })
}

// shouldForward reports whether a request should go to another controller right away: the state
// service has not answered this one for a while, and it has answered the other.
func (c *Core) shouldForward(request RequestID) bool {
	return !c.forwarder.IsRemote(request) && c.stateAge() > peering.ServedFor && c.servedPeer() != ""
}

// forward gives a request that the state service does not let this controller serve to one that it
// does, or tells the user to come back.
func (c *Core) forward(r admission.Request) {
	to := c.servedPeer()
	if r.Spec != nil && len(r.Spec.Awaits) > 0 && c.peers.Release(to) < peering.ReleaseDependencies {
		to = "" // it would start the job at once
	}
	if c.forwarder.IsRemote(r.ID) || to == "" || c.forwarder.Full() {
		c.unavailable(r.ID, "state service does not answer")
		return
	}
	id := c.forwarder.Send(c.now, r.ID)
	c.emit(SendPeer{to, ForwardedRequest{ID: id, Kind: r.Kind, Job: r.Job, Spec: r.Spec, Bad: r.Malformed}})
}

// OnPeer takes a message of another controller.
func (c *Core) OnPeer(now units.Microseconds, from string, message any) {
	c.advance(now)
	if !c.peers.Knows(from) {
		return
	}
	switch received := message.(type) {
	case PeerStatus:
		c.onStatus(from, received)
	case PeerLeaseGrant:
		c.membership.PeerLeaseGranted(now, from, received.Seat, received.Sent)
		c.config.ObserveVersion(received.ConfigKnown) // before the others' word lengthens this owner's authority
		c.receiveCancellations(from, received)
	case TakeoverVoteRequest:
		// Of no controller: whoever asks waits until its time is over.
		if (received.Node == c.cfg.Node || c.peers.Knows(received.Node)) && c.membership.VoteRequested(now, received.Node, received.Seat) {
			c.emit(SendPeer{from, TakeoverVote(received)})
		}
	case TakeoverVote:
		c.membership.VoteReceived(from, received.Node, received.Seat)
	case ReleaseRequest:
		if shard := c.owned[received.Block]; shard != nil && shard.assignment == received.Grant {
			c.release(shard, "the leader asks for it")
		}
	case ReplicationMessage:
		c.receiveStarts(from, received)
	case ReplicationAck:
		if shard := c.owned[received.Block]; shard != nil {
			shard.replication.OnAck(now, from, received)
		}
	case SnapshotMessage:
		c.transfers.Receive(received)
	case ForwardedRequest:
		c.onForwarded(from, received)
	case ForwardedResponse:
		c.onForwardedAnswer(received)
	}
}

// onStatus takes a controller's status, and grants the peer lease that it asks for.
func (c *Core) onStatus(from string, status PeerStatus) {
	c.peers.ReceiveStatus(c.now, from, status)
	// In an outage one that was cut off may go on beside the one that owns the shard now.
	owns := func(b ShardStatus) bool { return c.shardRecords.Assignment(b.Block).Node == from }
	if len(c.owned) == 0 && slices.ContainsFunc(status.Blocks, owns) {
		c.zones.ApplyPeerStatuses(status.Zones)
	}
	c.peers.NoteRelease(from, status.Release)
	if c.peers.RollbackNoticed(from, status.Back) {
		c.log.Warn("another controller says that the state service went back", "controller", from)
		c.cache.Reload(c.now)
	}
	c.receiveConfigStatus(from, status)
	if c.membership.GrantPeerLease(c.now, from, status.Seat) {
		c.emit(SendPeer{from, PeerLeaseGrant{Seat: status.Seat, Sent: status.Sent, Told: c.cancellationsFor(status), ConfigKnown: c.config.KnownVersion()}})
	}
	if c.election.Leads() {
		for _, b := range status.Blocks {
			c.planner.ObserveQuotaUse(from, b.Block, b.Share, b.Use)
		}
	}
}

// onForwarded serves a user's request that another controller has forwarded.
func (c *Core) onForwarded(from string, ask ForwardedRequest) {
	if !jobs.ValidID(ask.Job) || ask.Spec != nil && !ask.Spec.Valid() {
		return
	}
	request, ok := c.forwarder.Receive(peering.Origin{Node: from, ID: ask.ID})
	if !ok {
		return
	}
	switch ask.Kind {
	case RequestSubmit:
		c.Submit(c.now, request, ask.Job, ask.Spec, ask.Bad)
	case RequestQuery:
		c.Query(c.now, request, ask.Job)
	case RequestCancel:
		c.Cancel(c.now, request, ask.Job)
	default:
		c.forwarder.Finish(request) // of a later release
	}
}

// onForwardedAnswer answers a user whose request another controller has served.
func (c *Core) onForwardedAnswer(answer ForwardedResponse) {
	request, ok := c.forwarder.Answered(answer.ID)
	if !ok {
		return
	}
	if answer.Body != nil {
		c.emit(Reply{Request: request, Code: answer.Code, Body: *answer.Body})
		return
	}
	c.emit(Reply{Request: request, Code: answer.Code, Body: Problem{answer.Text}, RetryAfter: answer.RetryAfter})
}

// send answers a request, wherever it came from.
func (c *Core) send(r Reply) {
	origin, remote := c.forwarder.Finish(r.Request)
	if !remote {
		c.emit(r)
		return
	}
	answer := ForwardedResponse{ID: origin.ID, Code: r.Code, RetryAfter: r.RetryAfter}
	switch body := r.Body.(type) {
	case JobAnswer:
		answer.Body = &body
	case Problem:
		answer.Text = body.Text
	}
	c.emit(SendPeer{origin.Node, answer})
}

// unservedReadyFor is how long after the state service's last answer a controller is ready whatever
// the others say.
const unservedReadyFor = 3 * units.Second

// Ready reports whether this controller can take requests. Where the state service
// serves nobody, going unready would help no user and would keep the load
// balancer away for a while after the outage; a controller that alone is refused is
// still of use while it can forward requests.
func (c *Core) Ready(now units.Microseconds) bool {
	c.advance(now)
	if !c.cache.Loaded() || len(c.types) == 0 || c.retiringSince != 0 {
		return false
	}
	return c.stateAge() < unservedReadyFor || c.peers.AnyAlive(c.now)
}

// Answer answers a health check or another request that needs no decision.
func (c *Core) Answer(request RequestID, ok bool) {
	code := http.StatusServiceUnavailable
	if ok {
		code = http.StatusOK
	}
	c.reply(request, code, nil)
}
