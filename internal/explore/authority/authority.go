// Package authority is a model in which three controllers compete for the ownership of a shard. They run the
// service's own code for memberships, peer leases and takeover votes. The model has a state service with
// leases, and messages that may be delayed, lost or duplicated. Controllers crash and restart, and their
// clocks drift. Model checking shows whether two controllers can ever own the shard at the same time.
//
// The first controller owns the shard and may lose any message. The others always reach the state service,
// but they may read the first one's records late, and they may crash.
package authority

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/membership"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/explore"
)

// Mutation is a bug that is added on purpose, to show that the search finds it.
type Mutation string

// Mutations. Each removes one condition that safety depends on.
const (
	None                Mutation = ""
	LeaseFromGrant      Mutation = "from-answer" // a peer lease counts from the arrival of its grant, not from the sending of its request
	VoteAfterRestart    Mutation = "forgetful"   // a controller votes right after its start, though it may have granted a peer lease before
	SingleVote          Mutation = "minority"    // one vote is enough for a takeover
	UnguardedAssignment Mutation = "unguarded"   // a shard assignment is stored without a guard on the version of the previous one
	LongLease           Mutation = "long-lease"  // a controller counts its lease for longer than the state service keeps it
	FastClock           Mutation = "fast-clock"  // clocks drift by more than the bound
	StaleMembers        Mutation = "torn"        // controllers read the shard assignment before they read the member records of that time
	EarlyExpiry         Mutation = "hasty"       // controllers count a membership as expired before a majority's peer leases can have expired
	MajorityAsAll       Mutation = "few"         // peer leases of a majority count as those of all peers
	LeaseAfterVote      Mutation = "two-faced"   // a controller still grants peer leases to a membership that it has voted to end
)

// Mutations lists all mutations.
var Mutations = []Mutation{LeaseFromGrant, VoteAfterRestart, SingleVote, UnguardedAssignment, LongLease, FastClock, StaleMembers, EarlyExpiry, MajorityAsAll, LeaseAfterVote}

// Options configure the model and bound its actions.
type Options struct {
	Mutation Mutation
	Mail     int // maximum number of messages in flight
	Crashes  int // maximum number of crashes of controllers in a trace
	Twice    int // maximum number of duplicated messages in a trace
	// Alone lets peer leases of all peers extend a membership for much longer than those of a majority, so
	// that one controller alone may end the membership.
	Alone bool
	// Unserved lets the others grant peer leases as in an outage of the state service, also to a membership
	// whose record has been deleted.
	Unserved bool
}

// times returns the TTL of a lease, and for how long peer leases of all peers and of a majority extend it.
func (o Options) times() (ttl, allExtension, majorityExtension units.Microseconds) {
	if o.Alone {
		return second, 8 * second, second
	}
	return 2 * second, 4 * second, 4 * second
}

const (
	controllerCount = 3
	second          = units.Second
	startTime       = 10 * second // start time of the initial processes
)

// clockRates are the rates of the controllers' clocks. They are within the drift bound. The worst case is
// chosen: the owner's clock is slow and the others' are fast.
var clockRates = [controllerCount]float64{0.9995, 1.0005, 1.0005}

// Action is one step of the model. The meaning of A and B depends on its kind.
type Action struct {
	Kind actionKind
	A, B int8
}

type actionKind int8

const (
	advanceTime      actionKind = iota // one second passes
	fireTimer                          // the first controller's timer fires: it renews its lease or opens a new one; B 1: answered at once
	requestPeerLease                   // the first controller requests a peer lease from B; A 1: answered at once
	takeOver                           // A tries to take over the shard; B 1: votes arrive at once, 2: the assignment is also stored at once
	readRecords                        // A reads the first controller's member record and the shard assignment
	expireLease                        // the lease of the first controller's membership expires
	crash                              // A crashes and restarts
	deliver                            // message A is delivered
	lose                               // message A is lost
	duplicate                          // message A is delivered, and will be delivered again
)

type messageKind int8

const (
	renewRequest messageKind = iota // requests to the state service
	openRequest
	memberWrite
	assignmentWrite
	renewResponse // its responses
	openResponse
	memberWriteResponse
	peerLeaseRequest // messages between controllers
	peerLeaseGrant
	voteRequest
	vote
)

// message is a message in flight. Times are in the requesting process's clock.
type message struct {
	kind        messageKind
	from, to    int8
	incarnation int // incarnation of the process that waits for the response
	memberID    uint64
	sent        units.Microseconds
	node        int8
	version     uint64
	ok          bool
	write       *store.Write
}

type record struct {
	version, lease uint64
}

type assignment struct {
	version, memberID uint64
	node              int8
}

type process struct {
	w           *World
	i           int8
	incarnation int
	startedAt   units.Microseconds
	clockRate   float64
	registry    *membership.Registry
	assignment  assignment // as this process has read it
	seenMembers [controllerCount]record
	emitted     []any
	write       *store.Write
}

// World is the state of the model.
type World struct {
	o          Options
	ttl        units.Microseconds
	now        units.Microseconds
	revision   uint64
	members    [controllerCount]record
	leases     map[uint64]units.Microseconds // time of the last renewal of each lease
	assignment assignment
	nodes      [controllerCount]*process
	messages   []message
	crashes    int
	duplicates int

	grantingPeerLease bool // a peer lease request is being handled
}

func nodeName(i int8) string { return string(rune('a' + i)) }

// memberValues are the stored values of the member records.
var memberValues = func() (out [controllerCount]json.RawMessage) {
	for i := range out {
		out[i] = store.Value(authority.Member{Node: nodeName(int8(i))})
	}
	return out
}()

func nodeIndex(name string) int8 { return int8(name[0] - 'a') }

// New returns a world in which all controllers are members and the first one owns the shard.
func New(o Options) *World {
	w := &World{o: o, now: startTime, leases: map[uint64]units.Microseconds{}}
	w.ttl, _, _ = o.times()
	for i := range int8(controllerCount) {
		w.start(i, 0)
		p := w.nodes[i]
		p.registry.Tick(p.localTime())
		p.emitted = nil // the requested lease is opened below
		w.revision++
		lease := w.revision
		w.leases[lease] = w.now
		p.registry.OnLease(p.localTime(), store.OK, lease)
		w.revision++
		w.members[i] = record{w.revision, lease}
		p.write.Done(store.OK, w.revision)
		p.write = nil
	}
	w.revision++
	w.assignment = assignment{w.revision, w.members[0].version, 0}
	for _, p := range w.nodes {
		for j := range int8(controllerCount) {
			p.readMember(j)
		}
		p.assignment = w.assignment
	}
	return w
}

func (w *World) start(i int8, startedAt units.Microseconds) {
	incarnation := 0
	if p := w.nodes[i]; p != nil {
		incarnation = p.incarnation + 1
	}
	node := &process{w: w, i: i, incarnation: incarnation, startedAt: startedAt, clockRate: clockRates[i]}
	size := controllerCount
	if w.o.Mutation == SingleVote {
		size = 1
	}
	lease, allExtension, majorityExtension := w.o.times()
	if w.o.Mutation == LongLease {
		lease *= 2
	}
	if w.o.Mutation == EarlyExpiry && i == 0 {
		majorityExtension *= 5
	}
	if w.o.Mutation == MajorityAsAll && i == 0 {
		majorityExtension = allExtension
	}
	if w.o.Mutation == FastClock && i > 0 {
		node.clockRate = 2
	}
	if w.o.Mutation == VoteAfterRestart {
		node.startedAt -= 10 * second
	}
	node.registry = membership.New(membership.Config{Node: nodeName(i), Size: size, TTL: lease, UnvotedExpiry: allExtension, MajorityExtension: majorityExtension, Log: slog.New(slog.DiscardHandler)}, node)
	w.nodes[i] = node
}

func (p *process) localTime() units.Microseconds {
	return units.Microseconds(float64(p.w.now-p.startedAt) * p.clockRate)
}

// Emit implements membership.Host.
func (p *process) Emit(e any) { p.emitted = append(p.emitted, e) }

// Store implements membership.Host.
func (p *process) Store(w *store.Write) { p.write = w }

// Version implements membership.Host.
func (p *process) Version(string) uint64 { return p.seenMembers[p.i].version }

// CacheAge implements membership.Host.
func (p *process) CacheAge() (since, age units.Microseconds, ok bool) {
	if p.w.o.Unserved && p.w.grantingPeerLease {
		return 0, units.MaxTime, true
	}
	return 0, 0, true
}

// Refresh implements membership.Host.
func (p *process) Refresh() {}

// Joined implements membership.Host.
func (p *process) Joined() {}

// Lost implements membership.Host.
func (p *process) Lost() {}

// PeerRelease implements membership.Host.
func (p *process) PeerRelease(string, int) {}

// RequestVotes implements membership.Host.
func (p *process) RequestVotes(node string, memberID uint64) {
	for j := range int8(controllerCount) {
		if j != p.i {
			p.w.post(message{kind: voteRequest, from: p.i, to: j, incarnation: p.incarnation, node: nodeIndex(node), memberID: memberID})
		}
	}
}

// post sends a message. The message is lost if too many are in flight. Two slots are added for messages that
// are answered at once.
func (w *World) post(m message) {
	if len(w.messages) < w.o.Mail+2 {
		w.messages = append(w.messages, m)
	}
}

// tick fires a controller's timer.
func (p *process) tick() {
	p.registry.Tick(p.localTime())
	p.flush()
}

// flush posts a controller's pending requests to the state service.
func (p *process) flush() {
	for _, e := range p.emitted {
		switch e := e.(type) {
		case membership.RenewLease:
			p.w.post(message{kind: renewRequest, from: p.i, incarnation: p.incarnation, version: e.ID})
		case membership.OpenLease:
			p.w.post(message{kind: openRequest, from: p.i, incarnation: p.incarnation})
		case membership.CloseLease:
			p.w.endLease(e.ID)
		}
	}
	p.emitted = nil
	if p.write != nil {
		p.w.post(message{kind: memberWrite, from: p.i, incarnation: p.incarnation, write: p.write})
		p.write = nil
	}
}

// endLease ends a lease in the state service and deletes the member record that is attached to it.
func (w *World) endLease(lease uint64) {
	delete(w.leases, lease)
	for i := range w.members {
		if w.members[i].lease == lease {
			w.members[i] = record{}
		}
	}
}

func (p *process) readMember(j int8) {
	p.seenMembers[j] = p.w.members[j]
	e := store.Event{Key: membership.Prefix + nodeName(j), Stamp: p.seenMembers[j].version}
	if e.Stamp > 0 {
		e.Value = memberValues[j]
	}
	_ = p.registry.ApplyRecord(p.localTime(), nodeName(j), e) // cannot fail: the value was encoded by this package
	p.flush()
}

// ownsShard reports whether a controller considers itself the owner of the shard.
func (p *process) ownsShard() bool {
	return p.assignment.node == p.i && p.assignment.memberID == p.registry.ID() && p.registry.ID() != 0 && p.registry.Valid(p.localTime())
}

// Violation implements explore.World.
func (w *World) Violation() string {
	var owners []string
	for _, p := range w.nodes {
		if p.ownsShard() {
			owners = append(owners, nodeName(p.i))
		}
	}
	if len(owners) > 1 {
		return fmt.Sprintf("%s own the shard at the same time", strings.Join(owners, " and "))
	}
	return ""
}

// Actions implements explore.World.
func (w *World) Actions() []Action {
	first, hasCapacity := w.nodes[0], len(w.messages) < w.o.Mail
	out := []Action{{Kind: advanceTime}, {fireTimer, 0, 1}}
	if hasCapacity {
		out = append(out, Action{fireTimer, 0, 0})
	}
	for i := range int8(controllerCount) {
		node := w.nodes[i]
		if i > 0 && first.registry.ID() != 0 {
			out = append(out, Action{requestPeerLease, 1, i})
			if hasCapacity {
				out = append(out, Action{requestPeerLease, 0, i})
			}
		}
		// The first controller may take over from its own previous membership.
		if node.registry.ID() != 0 && node.assignment.node == 0 && (i > 0 || node.assignment.memberID != node.registry.ID()) && node.seenMembers[0].version != node.assignment.memberID {
			out = append(out, Action{takeOver, i, 2})
			if hasCapacity {
				out = append(out, Action{takeOver, i, 0}, Action{takeOver, i, 1})
			}
		}
		if node.seenMembers[0] != w.members[0] || node.assignment != w.assignment {
			out = append(out, Action{readRecords, i, 0})
		}
		if w.crashes < w.o.Crashes {
			out = append(out, Action{crash, i, 0})
		}
	}
	if r := w.members[0]; r.version != 0 && w.now-w.leases[r.lease] >= w.ttl {
		out = append(out, Action{Kind: expireLease})
	}
	for k, m := range w.messages {
		out = append(out, Action{deliver, int8(k), 0})
		if m.kind == renewResponse || m.kind == peerLeaseGrant { // losing another kind is equivalent to delaying it forever
			out = append(out, Action{lose, int8(k), 0})
		}
		if w.duplicates < w.o.Twice {
			out = append(out, Action{duplicate, int8(k), 0})
		}
	}
	return out
}

// Apply implements explore.World.
func (w *World) Apply(action Action) {
	switch action.Kind {
	case advanceTime:
		w.now += second
	case fireTimer:
		w.nodes[0].tick()
		if action.B == 1 {
			w.deliverLast(renewRequest, openRequest, memberWrite, renewResponse, openResponse, memberWriteResponse)
		} else {
			w.deliverLast(renewRequest, openRequest, memberWrite)
		}
	case requestPeerLease:
		p := w.nodes[0]
		w.post(message{kind: peerLeaseRequest, from: 0, to: action.B, incarnation: p.incarnation, memberID: p.registry.ID(), sent: p.localTime()})
		w.deliverLast(peerLeaseRequest)
		if action.A == 1 {
			w.deliverLast(peerLeaseGrant)
		}
	case takeOver:
		w.nodes[action.A].tryTakeOver()
		if action.B > 0 {
			w.deliverLast(voteRequest, vote)
			w.nodes[action.A].tryTakeOver()
		}
		if action.B == 2 {
			w.deliverLast(assignmentWrite)
			w.nodes[action.A].readMember(0) // read the result, also if the takeover failed
			w.nodes[action.A].assignment = w.assignment
		}
	case readRecords:
		w.nodes[action.A].readMember(0)
		w.nodes[action.A].assignment = w.assignment
	case expireLease:
		w.endLease(w.members[0].lease)
	case crash:
		w.crashes++
		w.start(action.A, w.now)
		w.nodes[action.A].loadState()
	case deliver, duplicate:
		t := w.messages[action.A]
		if action.Kind == deliver {
			w.messages = slices.Delete(w.messages, int(action.A), int(action.A)+1)
		} else {
			w.duplicates++
		}
		w.deliver(t)
	case lose:
		w.messages = slices.Delete(w.messages, int(action.A), int(action.A)+1)
	}
	w.maintainPeers()
}

// deliverLast delivers the last message, repeatedly, as long as it has one of the given kinds.
func (w *World) deliverLast(kinds ...messageKind) {
	for n := len(w.messages); n > 0 && slices.Contains(kinds, w.messages[n-1].kind); n = len(w.messages) {
		m := w.messages[n-1]
		w.messages = w.messages[:n-1]
		w.deliver(m)
	}
}

// maintainPeers renews the memberships of all controllers but the first. All controllers then read the
// changed member records.
func (w *World) maintainPeers() {
	for i := int8(1); i < controllerCount; i++ {
		p := w.nodes[i]
		for range 3 { // a renewal, or a new lease and a member record
			n := len(w.messages)
			p.registry.Tick(p.localTime())
			p.flush()
			if len(w.messages) == n {
				break
			}
			w.deliverLast(renewRequest, openRequest, memberWrite, renewResponse, openResponse, memberWriteResponse)
		}
		for _, q := range w.nodes {
			if q.seenMembers[i] != w.members[i] {
				q.readMember(i)
			}
		}
	}
	if w.o.Mutation == StaleMembers {
		for _, p := range w.nodes[1:] {
			p.assignment = w.assignment
		}
	}
}

// loadState lets a restarted process read all records.
func (p *process) loadState() {
	for j := range int8(controllerCount) {
		p.readMember(j)
	}
	p.assignment = p.w.assignment
	if p.i > 0 { // the member record belongs to the previous incarnation and is deleted at once
		p.w.endLease(p.w.members[p.i].lease)
	}
}

// tryTakeOver assigns the shard to this controller if the service considers the previous membership expired.
func (p *process) tryTakeOver() {
	b := p.assignment
	if b.memberID == p.registry.ID() || !p.registry.Expired(p.localTime(), nodeName(b.node), b.memberID) {
		return
	}
	p.w.post(message{kind: assignmentWrite, from: p.i, incarnation: p.incarnation, memberID: p.registry.ID(), version: b.version})
}

// deliver delivers a message.
func (w *World) deliver(m message) {
	var back *process // process that gets the response; nil if it has restarted
	if p := w.nodes[m.from]; p.incarnation == m.incarnation {
		back = p
	}
	switch m.kind {
	case renewRequest:
		_, ok := w.leases[m.version]
		if ok {
			w.leases[m.version] = w.now
		}
		w.post(message{kind: renewResponse, from: m.from, incarnation: m.incarnation, version: m.version, ok: ok})
	case openRequest:
		w.revision++
		w.leases[w.revision] = w.now
		w.post(message{kind: openResponse, from: m.from, incarnation: m.incarnation, version: w.revision})
	case memberWrite:
		g, ch := m.write.Guards[0], m.write.Changes[0]
		_, leaseExists := w.leases[ch.Lease]
		ok := leaseExists && w.members[m.from].version == g.Version
		if ok {
			w.revision++
			w.members[m.from] = record{w.revision, ch.Lease}
		}
		w.post(message{kind: memberWriteResponse, from: m.from, incarnation: m.incarnation, version: w.revision, ok: ok, write: m.write})
	case assignmentWrite:
		if (w.o.Mutation == UnguardedAssignment || w.assignment.version == m.version) && w.members[m.from].version == m.memberID {
			w.revision++
			w.assignment = assignment{w.revision, m.memberID, m.from}
		}
	case renewResponse:
		if back != nil {
			outcome := store.OK
			if !m.ok {
				outcome = store.Failed
			}
			back.registry.OnRenew(back.localTime(), m.version, outcome)
			back.flush()
		}
	case openResponse:
		if back != nil {
			back.registry.OnLease(back.localTime(), store.OK, m.version)
			back.flush()
		}
	case memberWriteResponse:
		if back != nil {
			outcome := store.OK
			if !m.ok {
				outcome = store.Failed
			}
			back.seenMembers[back.i] = w.members[back.i]
			m.write.Done(outcome, m.version)
			back.flush()
		}
	case peerLeaseRequest:
		to := w.nodes[m.to]
		w.grantingPeerLease = true
		granted := to.registry.GrantPeerLease(to.localTime(), nodeName(m.from), m.memberID)
		w.grantingPeerLease = false
		if granted || w.o.Mutation == LeaseAfterVote {
			w.post(message{kind: peerLeaseGrant, from: m.from, to: m.to, incarnation: m.incarnation, memberID: m.memberID, sent: m.sent})
		}
	case peerLeaseGrant:
		if back != nil {
			sent := m.sent
			if w.o.Mutation == LeaseFromGrant {
				sent = back.localTime()
			}
			back.registry.PeerLeaseGranted(back.localTime(), nodeName(m.to), m.memberID, sent)
		}
	case voteRequest:
		to := w.nodes[m.to]
		if to.registry.VoteRequested(to.localTime(), nodeName(m.node), m.memberID) {
			w.post(message{kind: vote, from: m.from, to: m.to, incarnation: m.incarnation, node: m.node, memberID: m.memberID})
		}
		to.flush()
	case vote:
		if back != nil {
			back.registry.VoteReceived(nodeName(m.to), nodeName(m.node), m.memberID)
		}
	}
}

// State implements explore.World.
func (w *World) State() string {
	var b []byte
	add := func(list ...uint64) {
		for _, n := range list {
			b = strconv.AppendUint(append(b, ' '), n, 10)
		}
	}
	for _, p := range w.nodes {
		add(p.assignment.version, uint64(p.incarnation))
		for _, r := range p.seenMembers {
			add(r.version)
		}
		b = append(b, p.registry.Describe(p.localTime())...)
	}
	for _, r := range w.members {
		add(r.version, r.lease)
		if r.version != 0 {
			add(uint64(min(w.now-w.leases[r.lease], w.ttl)))
		}
	}
	add(w.assignment.version, w.assignment.memberID, uint64(w.crashes), uint64(w.duplicates))
	list := slices.Clone(w.messages)
	for i, m := range list {
		if p := w.nodes[m.from]; m.sent > 0 && p.incarnation == m.incarnation {
			list[i].sent = min(p.localTime()-m.sent, 3*second) // older peer leases have expired
		}
	}
	// Sorted by content, because messages are delivered in any order.
	slices.SortFunc(list, func(x, y message) int {
		return cmp.Or(cmp.Compare(x.kind, y.kind), cmp.Compare(x.from, y.from), cmp.Compare(x.to, y.to), cmp.Compare(x.incarnation, y.incarnation), cmp.Compare(x.memberID, y.memberID),
			cmp.Compare(x.sent, y.sent), cmp.Compare(x.version, y.version), cmp.Compare(x.node, y.node))
	})
	for _, m := range list {
		add(uint64(m.kind), uint64(m.from), uint64(m.to), uint64(m.incarnation), m.memberID, uint64(m.sent), uint64(m.node), m.version)
		b = strconv.AppendBool(b, m.ok)
	}
	return string(b)
}

// FormatTrace replays a trace and describes it, one line per action.
func FormatTrace(o Options, trace []Action) []string {
	w := New(o)
	var out []string
	for _, m := range trace {
		text := w.describe(m)
		w.Apply(m)
		var owners []string
		for _, p := range w.nodes {
			if p.ownsShard() {
				owners = append(owners, nodeName(p.i))
			}
		}
		out = append(out, fmt.Sprintf("%4.0f s  %-60s owns the shard: %s", (w.now-startTime).Seconds(), text, strings.Join(owners, ", ")))
	}
	return out
}

// replySuffix describes whether a request was answered at once.
var replySuffix = [...]string{": no response yet", ""}

func (w *World) describe(action Action) string {
	switch action.Kind {
	case advanceTime:
		return "a second passes"
	case fireTimer:
		return "a renews its lease, or requests a new membership" + replySuffix[action.B]
	case requestPeerLease:
		return fmt.Sprintf("a requests a peer lease from %s", nodeName(action.B)) + replySuffix[action.A]
	case takeOver:
		return nodeName(action.A) + " tries to take over the shard" + [...]string{"", ": all vote at once", ": all vote at once, and the assignment is stored"}[action.B]
	case readRecords:
		return nodeName(action.A) + " reads a's member record and the shard assignment"
	case expireLease:
		return "the lease of a's membership expires"
	case crash:
		return nodeName(action.A) + " crashes and restarts"
	}
	t := w.messages[action.A]
	what := [...]string{"renewal of " + nodeName(t.from), nodeName(t.from) + " opens a lease", nodeName(t.from) + " stores its member record", nodeName(t.from) + "'s shard assignment",
		"response to " + nodeName(t.from) + "'s renewal", "lease for " + nodeName(t.from), "member record for " + nodeName(t.from),
		fmt.Sprintf("peer lease request to %s from %s", nodeName(t.to), nodeName(t.from)), fmt.Sprintf("peer lease from %s to %s", nodeName(t.to), nodeName(t.from)),
		fmt.Sprintf("vote request to %s from %s", nodeName(t.to), nodeName(t.from)), fmt.Sprintf("vote from %s to %s", nodeName(t.to), nodeName(t.from))}[t.kind]
	return what + map[actionKind]string{deliver: " is delivered", lose: " is lost", duplicate: " is delivered, and will be delivered again"}[action.Kind]
}

var _ explore.World[Action] = (*World)(nil)
