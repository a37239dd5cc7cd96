// Package units holds the units that the whole program counts in: whole
// microseconds for time, thousandths for amounts of a resource.
package units

import "math"

// Microseconds is a time or a duration in whole microseconds.
type Microseconds int64

// Second is one second.
const Second Microseconds = 1_000_000

// MaxTime is later than any time that occurs.
const MaxTime Microseconds = math.MaxInt64 / 4

// Seconds turns a decimal number of seconds into microseconds.
func Seconds(s float64) Microseconds { return Microseconds(math.Round(s * 1e6)) }

// Seconds returns m as a decimal number of seconds.
func (m Microseconds) Seconds() float64 { return float64(m) / 1e6 }

// Milli turns a decimal amount into thousandths, rounding up so that a demand is never understated.
func Milli(v float64) int64 { return int64(math.Ceil(v*1000 - 1e-6)) }

// MilliDown turns a decimal amount into thousandths, rounding down so that a capacity is never overstated.
func MilliDown(v float64) int64 { return int64(math.Floor(v*1000 + 1e-6)) }

// drift bounds how far two steady clocks part: each runs off by up to 0.05 %.
const driftPerMille = 1

// MaxWithDrift is the most that a duration of m on another machine's clock can take on ours.
func MaxWithDrift(m Microseconds) Microseconds { return m + m*driftPerMille/1000 + 1 }

// MinWithDrift is the least that a duration of m on another machine's clock can take on ours.
func MinWithDrift(m Microseconds) Microseconds { return m - m*driftPerMille/1000 - 1 }
