package authority

import (
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/units"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

// A later assignment must have a higher fencing token and higher attempt numbers than an earlier one,
// whatever its term, its number and the attempts used before: workers reject lower tokens than they have
// seen.
func TestFencingTokensAndAttemptsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		term := rapid.Uint64Range(1, 1<<23).Draw(t, "term")
		n := rapid.Uint64Range(0, assignmentsPerTerm-2).Draw(t, "number")
		if FencingToken(term, n) >= FencingToken(term, n+1) || FencingToken(term, n) >= FencingToken(term+1, 0) {
			t.Fatal("fencing token does not increase")
		}
		if AttemptNumber(FencingToken(term, n), rapid.Uint64Range(0, attemptsPerAssignment-1).Draw(t, "attempt")) >= AttemptNumber(FencingToken(term, n+1), 0) {
			t.Fatal("attempt number of a later assignment is not higher")
		}
	})
}

// voterNode is a controller with a clock of its own in TestNoTakeoverWhileAuthorityIsValid.
type voterNode struct {
	voter     Voter
	startedAt units.Microseconds // in true time
	rate      float64
	seen      uint64 // id of the owner's membership as this controller last read it; 0: its record is deleted
	lastSeen  uint64 // last id that this process has ever seen; it counts in an outage
	alive     bool
}

// local returns the time on the controller's own clock.
func (n *voterNode) local(now units.Microseconds) units.Microseconds {
	return units.Microseconds(float64(now-n.startedAt) * n.rate)
}

// sentLease is a granted peer lease in flight to the owner.
type sentLease struct {
	from    int
	askedAt units.Microseconds // on the owner's clock
}

// leaseModel is the state of the cluster in TestNoTakeoverWhileAuthorityIsValid. The first controller is the
// owner.
type leaseModel struct {
	now            units.Microseconds
	controllers    []*voterNode
	owner          Authority
	askedAt        []units.Microseconds
	inFlight       []sentLease
	votes          map[int]bool
	expired        bool // the membership's record is deleted
	expiredAt      units.Microseconds
	expiredUnvoted bool // a controller has treated the membership as expired without the others' votes
}

// modelMajorityExtension is the owner's MajorityExtension, which the peers know.
const modelMajorityExtension = 8 * units.Second

// start starts a new process of controller i, which has read the owner's membership as seen.
func (m *leaseModel) start(t *rapid.T, i int, seen uint64) {
	m.controllers[i] = &voterNode{startedAt: m.now, rate: rapid.Float64Range(0.9995, 1.0005).Draw(t, "rate"), seen: seen, lastSeen: seen, alive: true}
}

// drawPeer draws one of the controllers other than the owner.
func (m *leaseModel) drawPeer(t *rapid.T, label string) (i int, peer *voterNode) {
	i = rapid.IntRange(1, len(m.controllers)-1).Draw(t, label)
	return i, m.controllers[i]
}

// recordExpires deletes the membership's record and lets one peer see that.
func (m *leaseModel) recordExpires(t *rapid.T) {
	if m.now < 103*units.Second {
		t.Skip() // the state service keeps the record for the lease's duration, by its own clock
	}
	if !m.expired {
		m.expired, m.expiredAt = true, m.now
	}
	_, peer := m.drawPeer(t, "sees")
	peer.seen = 0
}

// grant has a peer decide on a request for a peer lease, possibly an old one.
func (m *leaseModel) grant(t *rapid.T) {
	i, peer := m.drawPeer(t, "by")
	if len(m.askedAt) == 0 {
		t.Skip()
	}
	asked := m.askedAt[rapid.IntRange(0, len(m.askedAt)-1).Draw(t, "which")]
	seen := peer.seen
	if rapid.Bool().Draw(t, "in an outage") {
		seen = peer.lastSeen
	}
	if peer.voter.GrantPeerLease(peer.local(m.now), 1, seen) {
		m.inFlight = append(m.inFlight, sentLease{i, asked})
	}
}

// deliver delivers a granted peer lease to the owner, possibly late or repeatedly.
func (m *leaseModel) deliver(t *rapid.T) {
	if len(m.inFlight) == 0 {
		t.Skip()
	}
	lease := m.inFlight[rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "which")]
	m.owner.PeerLeaseGranted([]string{"0", "1", "2", "3", "4"}[lease.from], lease.askedAt)
}

// restart replaces a peer's process, which loses its leases and votes.
func (m *leaseModel) restart(t *rapid.T) {
	i, _ := m.drawPeer(t, "node")
	seen := uint64(1)
	if m.expired {
		seen = 0 // the new process reads the current state
	}
	m.start(t, i, seen)
}

// vote requests a peer's vote for the takeover.
func (m *leaseModel) vote(t *rapid.T) {
	if !m.expired {
		t.Skip() // a controller requests votes only after it has seen that the record is deleted
	}
	if i, peer := m.drawPeer(t, "by"); peer.voter.Vote(peer.local(m.now), 1) {
		m.votes[i] = true
	}
}

// expireUnvoted has a peer treat the membership as expired without the others' votes, once MajorityExtension
// has passed.
func (m *leaseModel) expireUnvoted(t *rapid.T) {
	_, peer := m.drawPeer(t, "by")
	if m.expired && peer.seen == 0 && m.now-m.expiredAt > units.MaxWithDrift(modelMajorityExtension) && peer.voter.Vote(peer.local(m.now), 1) {
		m.expiredUnvoted = true
	}
}

func (m *leaseModel) check(t *rapid.T) {
	if (m.expiredUnvoted || len(m.votes) > len(m.controllers)/2) && m.owner.Valid(m.controllers[0].local(m.now)) {
		t.Fatal("another controller may take over while the owner's authority is valid")
	}
}

// Once a majority has voted for the takeover of an owner's shards, the owner's authority must never be valid
// again: two controllers would act on the same shards. The owner's lease in the state service has ended, and
// peer leases alone extend membership 1. Clocks drift, messages are delayed or lost, processes end and lose
// their votes. In an outage peers grant leases although they have seen that the record is deleted, except
// those that have started since.
func TestNoTakeoverWhileAuthorityIsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SampledFrom([]int{3, 5}).Draw(t, "nodes")
		model := &leaseModel{now: 100 * units.Second, controllers: make([]*voterNode, nodes), votes: map[int]bool{},
			owner: Authority{TTL: 3 * units.Second, Margin: units.Second / 10, MajorityExtension: modelMajorityExtension, MajorityPeers: nodes / 2, AllPeers: nodes - 1}}
		for i := range model.controllers {
			model.start(t, i, 1)
		}
		model.owner.Renewed(0)
		t.Repeat(map[string]func(*rapid.T){
			"wait":        func(t *rapid.T) { model.now += units.Seconds(rapid.Float64Range(0, 1.5).Draw(t, "dt")) },
			"record gone": model.recordExpires,
			"ask": func(*rapid.T) {
				model.askedAt = append(model.askedAt, model.controllers[0].local(model.now)) // also after authority has ended
			},
			"promise": model.grant,
			"arrive":  model.deliver,
			"restart": model.restart,
			"permit":  model.vote,
			"alone":   model.expireUnvoted,
			"":        model.check,
		})
	})
}

// Authority must be valid exactly until the time that Until returns, as queued calls are checked against that
// time. It is the end of the lease, of the peer leases of a majority within MajorityExtension, or of the peer
// leases of all peers, whichever is last.
func TestValidMatchesUntil(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		second := func(name string) units.Microseconds { return units.Seconds(rapid.Float64Range(0, 30).Draw(t, name)) }
		authority := Authority{TTL: 3 * units.Second, Margin: units.Second / 10, MajorityExtension: second("short"), MajorityPeers: rapid.IntRange(1, 3).Draw(t, "peers"), AllPeers: 4}
		authority.Renewed(second("renewed"))
		leaseEnds := map[string]units.Microseconds{}
		for _, p := range []string{"a", "b", "c", "d"} {
			if rapid.Bool().Draw(t, p) {
				asked := second("asked")
				authority.PeerLeaseGranted(p, asked)
				leaseEnds[p] = asked + units.MinWithDrift(PeerLeaseTime) - authority.Margin
			}
		}
		now := second("now")
		running := 0
		for _, until := range leaseEnds {
			if now < until {
				running++
			}
		}
		want := now < authority.leaseUntil || running >= authority.MajorityPeers && now < authority.extensionLimit || running >= authority.AllPeers
		if authority.Valid(now) != want || (now < authority.Until()) != want {
			t.Fatalf("valid %v, until %v, now %v, want %v: %+v", authority.Valid(now), authority.Until(), now, want, authority)
		}
	})
}
