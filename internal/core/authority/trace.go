package authority

import (
	"maps"
	"slices"
	"strconv"

	"shalestage.example/shalestage/internal/core/units"
)

// remaining adds how long a time is still to come, 0 once it is over: of no use any more, it
// does not matter for how long.
func remaining(b []byte, what string, t, now units.Microseconds) []byte {
	return strconv.AppendInt(append(b, what...), int64(max(0, t-now)), 10)
}

// AppendTrace adds what an authority rests on, in times from now. Equal traces act the same from
// then on.
func (a *Authority) AppendTrace(b []byte, now units.Microseconds) []byte {
	b = remaining(b, "until ", a.until, now)
	b = remaining(b, " short ", a.short, now)
	b = remaining(b, " carried ", a.majorityUntil, now)
	for _, p := range slices.Sorted(maps.Keys(a.peerLeases)) {
		b = remaining(append(append(b, ' '), p...), " ", a.peerLeases[p], now)
	}
	return b
}

// AppendTrace adds what a voter owes, likewise.
func (v *Voter) AppendTrace(b []byte, now units.Microseconds) []byte {
	b = remaining(b, "promised ", v.leasedUntil, now)
	b = strconv.AppendUint(append(b, " over "...), v.takenOver, 10)
	return remaining(b, " young ", units.MaxWithDrift(PeerLeaseTime), now)
}
