// Package units defines the units used by the whole program: whole
// microseconds for time, and thousandths for amounts of a resource.
package units

import "math"

// Microseconds is a time or a duration in whole microseconds.
type Microseconds int64

// Second is one second.
const Second Microseconds = 1_000_000

// MaxTime is later than any time that occurs. It stands for "never" or "not known". It
// is a quarter of the largest int64, so that sums of a few such times do not overflow.
const MaxTime Microseconds = math.MaxInt64 / 4

// Seconds converts a number of seconds to microseconds.
func Seconds(s float64) Microseconds { return Microseconds(math.Round(s * 1e6)) }

// Seconds returns m in seconds.
func (m Microseconds) Seconds() float64 { return float64(m) / 1e6 }

// Milli converts an amount to thousandths, rounding up so that a demand is never understated.
func Milli(v float64) int64 { return int64(math.Ceil(v*1000 - 1e-6)) }

// MilliDown converts an amount to thousandths, rounding down so that a capacity is never overstated.
func MilliDown(v float64) int64 { return int64(math.Floor(v*1000 + 1e-6)) }

// driftPerMille bounds how far two monotonic clocks drift apart: each is off by up to 0.05 %.
const driftPerMille = 1

// MaxWithDrift returns the longest time that a duration of m,
// measured by another machine's clock, can take on the local clock.
func MaxWithDrift(m Microseconds) Microseconds { return m + m*driftPerMille/1000 + 1 }

// MinWithDrift returns the shortest time that a duration of m,
// measured by another machine's clock, can take on the local clock.
func MinWithDrift(m Microseconds) Microseconds { return m - m*driftPerMille/1000 - 1 }
