package authority

import (
	"maps"
	"slices"
	"strconv"

	"shalestage.example/shalestage/internal/core/units"
)

// appendRemaining appends a label and the microseconds from now until t. Once t has passed it appends 0, as
// it does not matter how long ago that was.
func appendRemaining(b []byte, label string, t, now units.Microseconds) []byte {
	return strconv.AppendInt(append(b, label...), int64(max(0, t-now)), 10)
}

// AppendTrace appends the state of an authority, with times relative to now. Authorities with equal traces
// behave the same from then on.
func (a *Authority) AppendTrace(b []byte, now units.Microseconds) []byte {
	b = appendRemaining(b, "until ", a.leaseUntil, now)
	b = appendRemaining(b, " short ", a.extensionLimit, now)
	b = appendRemaining(b, " carried ", a.majorityUntil, now)
	for _, p := range slices.Sorted(maps.Keys(a.peerLeases)) {
		b = appendRemaining(append(append(b, ' '), p...), " ", a.peerLeases[p], now)
	}
	return b
}

// AppendTrace appends the state of a voter, with times relative to now. Voters with equal traces behave the
// same from then on.
func (v *Voter) AppendTrace(b []byte, now units.Microseconds) []byte {
	b = appendRemaining(b, "promised ", v.leasedUntil, now)
	b = strconv.AppendUint(append(b, " over "...), v.highestVoted, 10)
	return appendRemaining(b, " young ", units.MaxWithDrift(PeerLeaseTime), now)
}
