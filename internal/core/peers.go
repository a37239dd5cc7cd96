package core

import (
	"net/http"
	"slices"

	"shalestage.example/shalestage/internal/core/admission"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/units"
)

// Messages between controllers; see package peering.
type (
	// PeerStatus is a controller's heartbeat to the other controllers.
	PeerStatus = peering.PeerStatus
	// ShardStatus is the part of a PeerStatus about one shard.
	ShardStatus = peering.ShardStatus
	// PeerLeaseGrant grants a peer lease.
	PeerLeaseGrant = peering.PeerLeaseGrant
	// TakeoverVoteRequest asks for a takeover vote.
	TakeoverVoteRequest = peering.TakeoverVoteRequest
	// TakeoverVote is a takeover vote.
	TakeoverVote = peering.TakeoverVote
	// ReleaseRequest asks an owner to release a shard.
	ReleaseRequest = peering.ReleaseRequest
	// ForwardedRequest forwards a user's request.
	ForwardedRequest = peering.ForwardedRequest
	// ForwardedResponse answers a ForwardedRequest.
	ForwardedResponse = peering.ForwardedResponse
	// RequestKind is the kind of a user's request.
	RequestKind = peering.RequestKind
)

// Kinds of requests that are forwarded.
const (
	RequestSubmit = peering.RequestSubmit
	RequestQuery  = peering.RequestQuery
	RequestCancel = peering.RequestCancel
)

// SendPeer is the effect that sends a message to another controller. The message may be lost.
type SendPeer struct {
	Node    string
	Message any
}

// stateAge returns the time since the state service last answered.
func (c *Core) stateAge() units.Microseconds { return c.cache.Age(c.now) }

// broadcast sends a message to all other controllers.
func (c *Core) broadcast(message any) {
	for _, node := range c.peers.Names() {
		c.emit(SendPeer{node, message})
	}
}

// tickPeers sends this controller's status when it is due, and fails forwarded requests that timed out.
func (c *Core) tickPeers() {
	if c.now >= c.nextStatusAt {
		c.nextStatusAt = c.now + peering.StatusInterval
		c.broadcast(c.status())
	}
	c.peers.LogChanges(c.now)
	for _, request := range c.forwarder.DrainExpired(c.now) {
		c.replyUnavailable(request, "no controller is served by the state service")
	}
}

// status returns this controller's status for the other controllers.
func (c *Core) status() PeerStatus {
	status := PeerStatus{StateAge: c.stateAge(), Deaf: c.reachability.Unreachable(c.now), Redirected: c.redirected(), Release: peering.Release,
		Full: c.admission.MemoryFull(), Back: c.cache.LastRollback()}
	// Also after this controller's authority has expired: while all other controllers
	// still grant it a peer lease, none has taken over its shards.
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

// updateZonePeers updates the zone view with the number of live controllers in each zone. A controller is
// alive if it sends statuses to this one or has a membership in the state service. So two zones that cannot
// reach each other do not count as lost while both reach the state service.
func (c *Core) updateZonePeers() {
	all, alive := map[string]int{}, map[string]int{}
	for _, node := range c.peers.Names() {
		zone := c.cfg.PeerZones[node]
		all[zone]++
		if c.peers.Alive(c.now, node) || c.membership.CurrentID(node) != 0 && c.stateAge() < peering.ServedTimeout {
			alive[zone]++
		}
	}
	for zone, n := range all {
		c.zones.SetControllers(zone, n, alive[zone])
	}
}

// bestServedPeer returns a controller that is alive and was recently served by the
// state service, or "" if none is.
func (c *Core) bestServedPeer() string {
	return c.peers.MostRecentlyServed(c.now, func(node string) bool { return !c.incompatible(node) })
}

// shouldForward reports whether a request should be forwarded right away: the state service has not answered
// this controller for a while, and it has recently answered another one.
func (c *Core) shouldForward(request RequestID) bool {
	return !c.forwarder.IsRemote(request) && c.stateAge() > peering.ServedTimeout && c.bestServedPeer() != ""
}

// forward sends a request to a controller that the state service answers. If there is
// none, it tells the user to retry later.
func (c *Core) forward(request admission.Request) {
	to := c.bestServedPeer()
	if request.Spec != nil && len(request.Spec.Awaits) > 0 && c.peers.Release(to) < peering.ReleaseDependencies {
		to = "" // an older release ignores dependencies and would start the job at once
	}
	if c.forwarder.IsRemote(request.ID) || to == "" || c.forwarder.Full() {
		c.replyUnavailable(request.ID, "state service does not answer")
		return
	}
	c.emit(SendPeer{to, c.forwarder.Send(c.now, to, request)})
}

// OnPeer handles a message from another controller.
func (c *Core) OnPeer(now units.Microseconds, from string, message any) {
	c.advance(now)
	if !c.peers.IsPeer(from) {
		return
	}
	switch received := message.(type) {
	case PeerStatus:
		c.onStatus(from, received)
	case PeerLeaseGrant:
		c.membership.PeerLeaseGranted(now, from, received.Seat, received.Sent)
		c.config.ObserveVersion(received.ConfigKnown) // must precede receiveCancellations, which may extend this owner's authority
		c.receiveCancellations(from, received)
	case TakeoverVoteRequest:
		// A request about an unknown controller gets no vote: the requester waits for the timeout.
		if (received.Node == c.cfg.Node || c.peers.IsPeer(received.Node)) && c.membership.VoteRequested(now, received.Node, received.Seat) {
			c.emit(SendPeer{from, TakeoverVote(received)})
		}
	case TakeoverVote:
		c.membership.VoteReceived(from, received.Node, received.Seat)
	case ReleaseRequest:
		if shard := c.owned[received.Block]; shard != nil && shard.assignment == received.Grant {
			c.releaseShard(shard, "the leader requested it")
		}
	case ReplicationMessage:
		c.receiveReplication(from, received)
	case ReplicationAck:
		if shard := c.owned[received.Block]; shard != nil {
			shard.replication.OnAck(now, from, received)
		}
	case SnapshotMessage:
		c.transfers.Receive(received)
	case ForwardedRequest:
		c.onForwardedRequest(from, received)
	case ForwardedResponse:
		c.onForwardedResponse(from, received)
	}
}

// onStatus handles another controller's status, and grants the peer lease that it requests.
func (c *Core) onStatus(from string, status PeerStatus) {
	c.peers.ReceiveStatus(c.now, from, status)
	// In an outage a partitioned controller may still report a shard that another
	// controller owns by now. Only the view of the assigned owner counts.
	owns := func(shardStatus ShardStatus) bool { return c.shardRecords.Assignment(shardStatus.Block).Node == from }
	if len(c.owned) == 0 && slices.ContainsFunc(status.Blocks, owns) {
		c.zones.ApplyPeerStatuses(status.Zones)
	}
	c.peers.SetRelease(from, status.Release)
	if c.peers.RollbackReported(from, status.Back) {
		c.log.Warn("another controller reports that the state service was rolled back; reloading", "controller", from)
		c.cache.StartRecovery(c.now)
	}
	c.receiveConfigStatus(from, status)
	if c.membership.GrantPeerLease(c.now, from, status.Seat) {
		c.emit(SendPeer{from, PeerLeaseGrant{Seat: status.Seat, Sent: status.Sent, Told: c.cancellationsFor(status), ConfigKnown: c.config.KnownVersion()}})
	}
	if c.election.Leads() {
		for _, shardStatus := range status.Blocks {
			c.planner.ObserveQuotaUse(from, shardStatus.Block, shardStatus.Share, shardStatus.Use)
		}
	}
}

// onForwardedRequest serves a user's request that another controller forwarded.
func (c *Core) onForwardedRequest(from string, ask ForwardedRequest) {
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
		c.forwarder.FinishRemote(request) // a kind that a later release added
	}
}

// onForwardedResponse answers a user whose forwarded request another controller served.
func (c *Core) onForwardedResponse(from string, answer ForwardedResponse) {
	request, ok := c.forwarder.CompleteSent(from, answer)
	if !ok {
		c.log.Debug("answer to no open forwarded request", "controller", from, "id", answer.ID, "code", answer.Code)
		return
	}
	if answer.Body != nil {
		c.emit(Reply{Request: request, Code: answer.Code, Body: *answer.Body})
		return
	}
	c.emit(Reply{Request: request, Code: answer.Code, Body: Problem{answer.Text}, RetryAfter: answer.RetryAfter})
}

// send answers a request: directly, or through the controller that forwarded it.
func (c *Core) send(reply Reply) {
	origin, remote := c.forwarder.FinishRemote(reply.Request)
	if !remote {
		c.emit(reply)
		return
	}
	answer := ForwardedResponse{ID: origin.ID, Code: reply.Code, RetryAfter: reply.RetryAfter}
	switch body := reply.Body.(type) {
	case JobAnswer:
		answer.Body = &body
	case Problem:
		answer.Text = body.Text
	}
	c.emit(SendPeer{origin.Node, answer})
}

// readyWithoutState is how long after the state service's last answer a controller is
// ready regardless of the other controllers.
const readyWithoutState = 3 * units.Second

// Ready reports whether this controller can serve requests. A controller stays ready
// while the state service serves no controller: going unready would help no user, and the
// load balancer would skip the controller for a while after the outage. A controller that
// alone is not served by the state service is still useful while it can forward requests.
func (c *Core) Ready(now units.Microseconds) bool {
	c.advance(now)
	if !c.cache.Loaded() || len(c.types) == 0 || c.retiringSince != 0 {
		return false
	}
	return c.stateAge() < readyWithoutState || c.peers.AnyAlive(c.now)
}

// Answer answers a health check or another request that needs no decision: 200 if ok, else 503.
func (c *Core) Answer(request RequestID, ok bool) {
	code := http.StatusServiceUnavailable
	if ok {
		code = http.StatusOK
	}
	c.reply(request, code, nil)
}
