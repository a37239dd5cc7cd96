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
			t.Fatal("attempt of a later grant is not larger")
		}
	})
}

// voterNode is a controller with a clock of its own in TestPromises.
type voterNode struct {
	v     Voter
	born  units.Microseconds // on true time
	rate  float64
	seen  uint64 // the holder's seat as it last read it
	last  uint64 // and as this process has ever seen it: in an outage that counts
	alive bool
}

func (n *voterNode) local(now units.Microseconds) units.Microseconds {
	return units.Microseconds(float64(now-n.born) * n.rate)
}

// One of several controllers keeps what seat 1 holds by promises alone, its
// lease in the state service being gone: clocks drift, messages come late or
// never, processes end and forget. In an outage they promise though they have seen the
// record go, but for those that have begun since. Once a majority has permitted to give its
// blocks to another, the first can never be valid again.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SampledFrom([]int{3, 5}).Draw(t, "nodes")
		now := 100 * units.Second
		ns := make([]*voterNode, nodes)
		start := func(i int, seen uint64) {
			ns[i] = &voterNode{born: now, rate: rapid.Float64Range(0.9995, 1.0005).Draw(t, "rate"), seen: seen, last: seen, alive: true}
		}
		for i := range ns {
			start(i, 1)
		}
		const short = 8 * units.Second
		auth := Authority{TTL: 3 * units.Second, Margin: units.Second / 10, Short: short, Peers: nodes / 2, All: nodes - 1}
		auth.Renewed(0)
		type promise struct {
			from int
			sent units.Microseconds
		}
		var asks []units.Microseconds
		var late []promise
		permits := map[int]bool{}
		names := []string{"0", "1", "2", "3", "4"}
		gone := false // the seat's record
		var goneAt units.Microseconds
		alone := false // one has taken the seat for over without the others' help
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { now += units.Seconds(rapid.Float64Range(0, 1.5).Draw(t, "dt")) },
			"record gone": func(t *rapid.T) {
				if now < 103*units.Second {
					t.Skip() // the service keeps the record for the lease's time, by its own clock
				}
				if !gone {
					gone, goneAt = true, now
				}
				ns[rapid.IntRange(1, nodes-1).Draw(t, "sees")].seen = 0
			},
			"ask": func(t *rapid.T) {
				asks = append(asks, ns[0].local(now)) // also once authority has run out
			},
			"promise": func(t *rapid.T) {
				i := rapid.IntRange(1, nodes-1).Draw(t, "by")
				if len(asks) == 0 {
					t.Skip()
				}
				sent := asks[rapid.IntRange(0, len(asks)-1).Draw(t, "which")]
				seen := ns[i].seen
				if rapid.Bool().Draw(t, "in an outage") {
					seen = ns[i].last
				}
				if ns[i].v.GrantPeerLease(ns[i].local(now), 1, seen) {
					late = append(late, promise{i, sent})
				}
			},
			"arrive": func(t *rapid.T) {
				if len(late) == 0 {
					t.Skip()
				}
				p := late[rapid.IntRange(0, len(late)-1).Draw(t, "which")]
				auth.PeerLeaseGranted(names[p.from], p.sent)
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(1, nodes-1).Draw(t, "node")
				seen := uint64(1)
				if gone {
					seen = 0 // it reads the state anew
				}
				start(i, seen)
			},
			"permit": func(t *rapid.T) {
				if !gone {
					t.Skip() // whoever asks has seen that the record is gone
				}
				i := rapid.IntRange(1, nodes-1).Draw(t, "by")
				if ns[i].v.Vote(ns[i].local(now), 1) {
					permits[i] = true
				}
			},
			"alone": func(t *rapid.T) {
				i := rapid.IntRange(1, nodes-1).Draw(t, "by")
				if n := ns[i]; gone && n.seen == 0 && now-goneAt > units.Longest(short) && n.v.Vote(n.local(now), 1) {
					alone = true
				}
			},
			"": func(t *rapid.T) {
				if (alone || len(permits) > nodes/2) && auth.Valid(ns[0].local(now)) {
					t.Fatal("another may take over while the first holder's authority is valid")
				}
			},
		})
	})
}

// Authority is valid exactly until the time that Until gives, by which calls that
// wait for their turn are checked: the lease's, or that of the promises of a
// majority within the bound, or that of the promises of all.
func TestUntil(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		second := func(name string) units.Microseconds { return units.Seconds(rapid.Float64Range(0, 30).Draw(t, name)) }
		a := Authority{TTL: 3 * units.Second, Margin: units.Second / 10, Short: second("short"), Peers: rapid.IntRange(1, 3).Draw(t, "peers"), All: 4}
		a.Renewed(second("renewed"))
		promised := map[string]units.Microseconds{}
		for _, p := range []string{"a", "b", "c", "d"} {
			if rapid.Bool().Draw(t, p) {
				asked := second("asked")
				a.PeerLeaseGranted(p, asked)
				promised[p] = asked + units.Shortest(PeerLeaseTime) - a.Margin
			}
		}
		now := second("now")
		running := 0
		for _, until := range promised {
			if now < until {
				running++
			}
		}
		want := now < a.until || running >= a.Peers && now < a.short || running >= a.All
		if a.Valid(now) != want || (now < a.Until()) != want {
			t.Fatalf("valid %v, until %v, now %v, want %v: %+v", a.Valid(now), a.Until(), now, want, a)
		}
	})
}
