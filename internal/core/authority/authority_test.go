package authority

import (
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/units"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

// Tokens and attempts rise with the term and the lease number, whatever was used before.
func TestTokensRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		term := rapid.Uint64Range(1, 1<<23).Draw(t, "term")
		n := rapid.Uint64Range(0, assignmentsPerTerm-2).Draw(t, "number")
		if FencingToken(term, n) >= FencingToken(term, n+1) || FencingToken(term, n) >= FencingToken(term+1, 0) {
			t.Fatal("token does not rise")
		}
		if AttemptNumber(FencingToken(term, n), rapid.Uint64Range(0, attemptsPerAssignment-1).Draw(t, "attempt")) >= AttemptNumber(FencingToken(term, n+1), 0) {
			t.Fatal("attempt of a later assignment is not larger")
		}
	})
}

// voterNode is a controller with a clock of its own in TestPeerLeases.
type voterNode struct {
	v     Voter
	born  units.Microseconds // on true time
	rate  float64
	seen  uint64 // the owner's membership as it last read it
	last  uint64 // and as this process has ever seen it: in an outage that counts
	alive bool
}

func (n *voterNode) local(now units.Microseconds) units.Microseconds {
	return units.Microseconds(float64(now-n.born) * n.rate)
}

// sentLease is a peer lease on its way to the owner.
type sentLease struct {
	from  int
	asked units.Microseconds // on the owner's clock
}

// leaseModel is the world of TestPeerLeases. The first controller is the owner.
type leaseModel struct {
	now         units.Microseconds
	controllers []*voterNode
	owner       Authority
	asked       []units.Microseconds
	late        []sentLease
	votes       map[int]bool
	expired     bool // the membership's record is gone
	expiredAt   units.Microseconds
	alone       bool // one has taken the membership for over without the others' help
}

const shortInModel = 8 * units.Second

func (m *leaseModel) start(t *rapid.T, i int, seen uint64) {
	m.controllers[i] = &voterNode{born: m.now, rate: rapid.Float64Range(0.9995, 1.0005).Draw(t, "rate"), seen: seen, last: seen, alive: true}
}

func (m *leaseModel) draw(t *rapid.T, label string) (i int, peer *voterNode) {
	i = rapid.IntRange(1, len(m.controllers)-1).Draw(t, label)
	return i, m.controllers[i]
}

func (m *leaseModel) recordExpires(t *rapid.T) {
	if m.now < 103*units.Second {
		t.Skip() // the service keeps the record for the lease's time, by its own clock
	}
	if !m.expired {
		m.expired, m.expiredAt = true, m.now
	}
	_, peer := m.draw(t, "sees")
	peer.seen = 0
}

func (m *leaseModel) grant(t *rapid.T) {
	i, peer := m.draw(t, "by")
	if len(m.asked) == 0 {
		t.Skip()
	}
	asked := m.asked[rapid.IntRange(0, len(m.asked)-1).Draw(t, "which")]
	seen := peer.seen
	if rapid.Bool().Draw(t, "in an outage") {
		seen = peer.last
	}
	if peer.v.GrantPeerLease(peer.local(m.now), 1, seen) {
		m.late = append(m.late, sentLease{i, asked})
	}
}

func (m *leaseModel) arrive(t *rapid.T) {
	if len(m.late) == 0 {
		t.Skip()
	}
	lease := m.late[rapid.IntRange(0, len(m.late)-1).Draw(t, "which")]
	m.owner.PeerLeaseGranted([]string{"0", "1", "2", "3", "4"}[lease.from], lease.asked)
}

func (m *leaseModel) restart(t *rapid.T) {
	i, _ := m.draw(t, "node")
	seen := uint64(1)
	if m.expired {
		seen = 0 // it reads the state anew
	}
	m.start(t, i, seen)
}

func (m *leaseModel) vote(t *rapid.T) {
	if !m.expired {
		t.Skip() // whoever asks has seen that the record is gone
	}
	if i, peer := m.draw(t, "by"); peer.v.Vote(peer.local(m.now), 1) {
		m.votes[i] = true
	}
}

func (m *leaseModel) decideAlone(t *rapid.T) {
	_, peer := m.draw(t, "by")
	if m.expired && peer.seen == 0 && m.now-m.expiredAt > units.MaxWithDrift(shortInModel) && peer.v.Vote(peer.local(m.now), 1) {
		m.alone = true
	}
}

func (m *leaseModel) check(t *rapid.T) {
	if (m.alone || len(m.votes) > len(m.controllers)/2) && m.owner.Valid(m.controllers[0].local(m.now)) {
		t.Fatal("another may take over while the first owner's authority is valid")
	}
}

// One of several controllers keeps what membership 1 owns by peer leases alone, its
// lease in the state service being gone: clocks drift, messages come late or
// never, processes end and forget. In an outage they grant leases though they have seen the
// record go, but for those that have started since. Once a majority has voted for giving its
// shards to another, the first can never be valid again.
func TestPeerLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SampledFrom([]int{3, 5}).Draw(t, "nodes")
		model := &leaseModel{now: 100 * units.Second, controllers: make([]*voterNode, nodes), votes: map[int]bool{},
			owner: Authority{TTL: 3 * units.Second, Margin: units.Second / 10, MajorityExtension: shortInModel, MajorityPeers: nodes / 2, AllPeers: nodes - 1}}
		for i := range model.controllers {
			model.start(t, i, 1)
		}
		model.owner.Renewed(0)
		t.Repeat(map[string]func(*rapid.T){
			"wait":        func(t *rapid.T) { model.now += units.Seconds(rapid.Float64Range(0, 1.5).Draw(t, "dt")) },
			"record gone": model.recordExpires,
			"ask": func(*rapid.T) {
				model.asked = append(model.asked, model.controllers[0].local(model.now)) // also once authority has run out
			},
			"promise": model.grant,
			"arrive":  model.arrive,
			"restart": model.restart,
			"permit":  model.vote,
			"alone":   model.decideAlone,
			"":        model.check,
		})
	})
}

// Authority is valid exactly until the time that Until gives, by which calls that
// wait for their turn are checked: the lease's, or that of the peer leases of a
// majority within the bound, or that of the peer leases of all.
func TestUntil(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		second := func(name string) units.Microseconds { return units.Seconds(rapid.Float64Range(0, 30).Draw(t, name)) }
		authority := Authority{TTL: 3 * units.Second, Margin: units.Second / 10, MajorityExtension: second("short"), MajorityPeers: rapid.IntRange(1, 3).Draw(t, "peers"), AllPeers: 4}
		authority.Renewed(second("renewed"))
		promised := map[string]units.Microseconds{}
		for _, p := range []string{"a", "b", "c", "d"} {
			if rapid.Bool().Draw(t, p) {
				asked := second("asked")
				authority.PeerLeaseGranted(p, asked)
				promised[p] = asked + units.MinWithDrift(PeerLeaseTime) - authority.Margin
			}
		}
		now := second("now")
		running := 0
		for _, until := range promised {
			if now < until {
				running++
			}
		}
		want := now < authority.until || running >= authority.MajorityPeers && now < authority.short || running >= authority.AllPeers
		if authority.Valid(now) != want || (now < authority.Until()) != want {
			t.Fatalf("valid %v, until %v, now %v, want %v: %+v", authority.Valid(now), authority.Until(), now, want, authority)
		}
	})
}
