// Package load asks a deployment's controllers at rates that do not depend on their
// answers (open loop), as many users would: calls that step, rise and burst, users that
// follow their jobs and repeat refused submissions as the protocol says. Latencies are
// counted from the moment at which a call was due, so that a service that stands still
// does not hide what waits for it.
package load

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/scenario"
)

// Kind of a call.
type Kind string

// Kinds of calls. The first four have rates; the others follow from submissions.
const (
	Submit   Kind = "submit"
	Poll     Kind = "poll"     // of any job that was accepted
	Stranger Kind = "stranger" // a poll of a job that nobody submitted
	Cancel   Kind = "cancel"
	Follow   Kind = "follow" // a user's own polls, a think time apart
	Retry    Kind = "retry"  // of a submission that was not taken
	// Accepted is no call: the time from a submission's first attempt until it is
	// accepted, retries included.
	Accepted Kind = "accepted"
)

// Rated are the kinds that a file gives rates for.
var Rated = []Kind{Submit, Poll, Stranger, Cancel}

// File describes a load.
type File struct {
	Name     string         `toml:"name"`
	About    string         `toml:"about"`
	Seed     uint64         `toml:"seed"`
	ThinkS   float64        `toml:"think_s"`   // between a user's polls of its own job; 0: none follows
	InFlight int            `toml:"in_flight"` // calls at once; what goes beyond is counted and not sent
	Jobs     []scenario.Job `toml:"job"`       // in a scenario's form; count says how many of all are such
	Phases   []Phase        `toml:"phase"`

	weights []int
}

// Phase is a time with rates of its own.
type Phase struct {
	Name  string           `toml:"name"`
	ForS  float64          `toml:"for_s"`
	Rate  map[Kind]float64 `toml:"rate"` // calls a second
	To    map[Kind]float64 `toml:"to"`   // the rate at the end, where it rises or falls in between
	Burst Burst            `toml:"burst"`
}

// Burst makes all rates a multiple for a part of the time.
type Burst struct {
	EveryS float64 `toml:"every_s"`
	ForS   float64 `toml:"for_s"`
	Times  float64 `toml:"times"`
}

// Bounds of a file.
const (
	maxPhases = 100
	maxRate   = 100_000
	maxCalls  = 5_000_000
)

// Read reads and checks a file.
func Read(path string) (*File, error) {
	b, err := scenario.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, b)
}

// Parse reads a file's text.
func Parse(path string, b []byte) (*File, error) {
	f := &File{Seed: 1, ThinkS: 5, InFlight: 2000}
	if err := scenario.Decode(path, b, f); err != nil {
		return nil, err
	}
	wrong := func(at, format string, args ...any) (*File, error) {
		return nil, scenario.ErrorAt(path, b, at, format, args...)
	}
	outside := func(v, lo, hi float64) bool { return !(v >= lo && v <= hi) }
	switch {
	case f.Name == "":
		return wrong("name", "missing")
	case outside(f.ThinkS, 0, 3600):
		return wrong("think_s", "want 0 to 3600, got %g", f.ThinkS)
	case f.InFlight < 1 || f.InFlight > 50_000:
		return wrong("in_flight", "want 1 to 50000, got %d", f.InFlight)
	case len(f.Phases) == 0 || len(f.Phases) > maxPhases:
		return wrong("phase", "want 1 to %d, got %d", maxPhases, len(f.Phases))
	}
	if err := scenario.CheckJobs(path, b, f.Jobs); err != nil {
		return nil, err
	}
	calls, submits := 0.0, false
	for i, p := range f.Phases {
		at := fmt.Sprintf("phase[%d]", i)
		if outside(p.ForS, 0.1, 86_400) {
			return wrong(at+".for_s", "want 0.1 to 86400, got %g", p.ForS)
		}
		if u := p.Burst; u != (Burst{}) && (outside(u.EveryS, 0.1, 3600) || outside(u.ForS, 0.01, u.EveryS) || outside(u.Times, 0, 1000)) {
			return wrong(at+".burst", "want every_s from 0.1 to 3600, for_s up to that, and times up to 1000")
		}
		for name, rates := range map[string]map[Kind]float64{"rate": p.Rate, "to": p.To} {
			for k, r := range rates {
				if !slices.Contains(Rated, k) {
					return wrong(at+"."+name, "there are no rates of %q: want one of %v", string(k), Rated)
				}
				if outside(r, 0, maxRate) {
					return wrong(at+"."+name, "%s: want 0 to %d, got %g", string(k), maxRate, r)
				}
				submits = submits || k == Submit && r > 0
			}
		}
		for _, k := range Rated {
			calls += p.ForS * p.top(k)
		}
	}
	switch {
	case calls > maxCalls:
		return wrong("phase", "up to %.0f calls are more than %d", calls, maxCalls)
	case submits && len(f.Jobs) == 0:
		return wrong("job", "missing: submissions need at least one class of jobs")
	}
	for _, j := range f.Jobs {
		f.weights = append(f.weights, max(j.Count, 1))
	}
	return f, nil
}

// at is the rate of a kind of call at a time since the phase began.
func (p Phase) at(k Kind, t float64) float64 {
	r := p.Rate[k]
	if to, ok := p.To[k]; ok {
		r += (to - r) * t / p.ForS
	}
	if u := p.Burst; u.EveryS > 0 && t-u.EveryS*float64(int(t/u.EveryS)) < u.ForS {
		r *= u.Times
	}
	return r
}

// top is a rate that at never exceeds.
func (p Phase) top(k Kind) float64 {
	r := max(p.Rate[k], p.To[k])
	if p.Burst.EveryS > 0 {
		r *= max(p.Burst.Times, 1)
	}
	return r
}

// due is a call that is to be made.
type due struct {
	at    units.Microseconds // since the load began
	phase int
	kind  Kind
	class int // of a submission
}

// plan draws all calls that have rates, in the order of their times: one seed, one plan,
// whatever the service answers.
func (f *File) plan() []due {
	rng := rand.New(rand.NewPCG(f.Seed, 1))
	sum := 0
	for _, w := range f.weights {
		sum += w
	}
	var out []due
	begin := 0.0
	for i, p := range f.Phases {
		for _, k := range Rated {
			top := p.top(k)
			if top <= 0 {
				continue
			}
			for t := rng.ExpFloat64() / top; t < p.ForS; t += rng.ExpFloat64() / top {
				if rng.Float64()*top >= p.at(k, t) {
					continue // thinned out
				}
				d := due{at: units.Seconds(begin + t), phase: i, kind: k}
				if k == Submit {
					n := rng.IntN(sum)
					for n >= f.weights[d.class] {
						n -= f.weights[d.class]
						d.class++
					}
				}
				out = append(out, d)
			}
		}
		begin += p.ForS
	}
	slices.SortStableFunc(out, func(a, b due) int { return cmp.Compare(a.at, b.at) })
	return out
}
