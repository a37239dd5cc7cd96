package load

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"shalestage.example/shalestage/internal/scenario"
)

// Search says how the rate is sought at which a kind of call gives.
type Search struct {
	Kind     Kind
	From, To float64 // rates: where it begins, and the most that is tried
	ForS     float64 // of each try
	PauseS   float64 // after it
	P99MS    float64 // a rate is borne while 99% are answered within this
	Share    float64 // and such a share is answered as it should be
	Steps    int     // of halving, once a rate was not borne
}

// Try is one rate that was tried.
type Try struct {
	Rate   float64 `json:"rate"`
	Borne  bool    `json:"borne"`
	Share  float64 `json:"share"`
	P99MS  float64 `json:"p99_ms"`
	Reason string  `json:"reason,omitempty"` // what most refusals said
	Uses   []Use   `json:"uses,omitempty"`
}

// Find tries rates, doubling them until one is not borne, and halves the gap between.
// Polls are of jobs that are submitted first, at the lowest rate.
func (s Search) Find(ctx context.Context, jobs []scenario.Job, run func(ctx context.Context, f *File) (Result, []Reading, error), say func(Try)) ([]Try, error) {
	var out []Try
	n := uint64(0)
	try := func(rate float64) (bool, error) {
		n++
		f := &File{Name: "find", Seed: n, InFlight: 4000, Jobs: jobs}
		for _, j := range jobs {
			f.weights = append(f.weights, max(j.Count, 1))
		}
		if s.Kind == Poll || s.Kind == Cancel {
			// Something to ask for; what is to be cancelled must be there.
			fill := max(10, rate/5)
			if s.Kind == Cancel {
				fill = rate * s.ForS / 3
			}
			f.Phases = append(f.Phases, Phase{Name: "fill", ForS: 3, Rate: map[Kind]float64{Submit: fill}})
		}
		f.Phases = append(f.Phases, Phase{Name: "try", ForS: s.ForS, Rate: map[Kind]float64{s.Kind: rate}})
		r, read, err := run(ctx, f)
		if err != nil {
			return false, err
		}
		t := Try{Rate: rate, Uses: Uses(read)}
		for _, c := range r.Cells {
			if c.Phase == "try" && c.Kind == s.Kind {
				t.Share, t.P99MS = c.Share(), c.Millis(99)
			}
		}
		if len(r.Reasons) > 0 {
			t.Reason = slices.MaxFunc(slices.Sorted(maps.Keys(r.Reasons)), func(a, b string) int { return cmp.Compare(r.Reasons[a], r.Reasons[b]) })
		}
		t.Borne = t.Share >= s.Share && t.P99MS <= s.P99MS
		out = append(out, t)
		say(t)
		select {
		case <-time.After(time.Duration(s.PauseS * float64(time.Second))):
		case <-ctx.Done():
			return false, ctx.Err()
		}
		return t.Borne, nil
	}
	lo, hi := 0.0, 0.0
	for rate := s.From; rate <= s.To; rate *= 2 {
		ok, err := try(rate)
		if err != nil {
			return out, err
		}
		if !ok {
			hi = rate
			break
		}
		lo = rate
	}
	for i := 0; hi > 0 && lo > 0 && i < s.Steps; i++ {
		mid := (lo + hi) / 2
		ok, err := try(mid)
		if err != nil {
			return out, err
		}
		if ok {
			lo = mid
		} else {
			hi = mid
		}
	}
	return out, nil
}

// manyWaiting is how many waiting changes of one controller tell that these, and not the
// processors, are what calls wait for.
const manyWaiting = 20

// Verdict says in words what was found.
func (s Search) Verdict(tries []Try) string {
	lo, hi := 0.0, 0.0
	var first Try
	for _, t := range tries {
		if t.Borne {
			lo = max(lo, t.Rate)
		} else if hi == 0 || t.Rate < hi {
			hi, first = t.Rate, t
		}
	}
	switch {
	case hi == 0:
		return fmt.Sprintf("%s: %.0f a second are borne, the most that was tried", s.Kind, lo)
	case first.Reason != "":
		return fmt.Sprintf("%s: %.0f a second are borne, %.0f are not: %q", s.Kind, lo, hi, first.Reason)
	case slices.ContainsFunc(first.Uses, func(u Use) bool { return u.Writes >= manyWaiting }):
		u := slices.MaxFunc(first.Uses, func(a, b Use) int { return cmp.Compare(a.Writes, b.Writes) })
		return fmt.Sprintf("%s: %.0f a second are borne, %.0f are not: late, as up to %.0f changes of %s waited for the state service", s.Kind, lo, hi, u.Writes, u.Name)
	case len(first.Uses) > 0:
		u := slices.MaxFunc(first.Uses, func(a, b Use) int { return cmp.Compare(a.MostCPU, b.MostCPU) })
		return fmt.Sprintf("%s: %.0f a second are borne, %.0f are not: late, with %s at %.2f cores", s.Kind, lo, hi, u.Name, u.MostCPU)
	}
	return fmt.Sprintf("%s: %.0f a second are borne, %.0f are not", s.Kind, lo, hi)
}
