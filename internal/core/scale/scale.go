// Package scale decides which machines to rent and which to return.
package scale

import (
	"math"
	"sort"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/unit"
)

// Pool is one kind of offer: a type in a zone, spot or ordinary.
type Pool struct {
	Type string
	Zone string
	Spot bool
}

// Group is work that may use the same pools.
type Group struct {
	Class string
	Types string // names of the types its tasks fit and may use, joined by commas
	Zone  string // "" for any
	Spot  bool
}

// Need is how much work a group has: tasks that would run at once if there
// were room, and their demands added up.
type Need struct {
	Tasks int
	Total pack.Vec
	Types []string
}

// Machine is what scaling sees of a machine.
type Machine struct {
	Name   string
	Pool   Pool
	Used   pack.Vec
	Idle   unit.Micros // for how long it has held no task; 0: it holds some
	Booted bool
}

// Params are the knobs of scaling.
type Params struct {
	Spare      float64     // room kept above remembered demand
	Memory     unit.Micros // time in which a remembered peak halves
	IdleReturn unit.Micros
}

// Rent asks for machines of one pool.
type Rent struct {
	Pool  Pool
	Count int
}

// Scaler remembers demand and refusals.
type Scaler struct {
	p       Params
	peaks   map[Group]*peak
	refused map[Pool]refusal
}

type peak struct {
	tasks float64
	avg   [3]float64
	types []string
	at    unit.Micros
}

type refusal struct {
	until unit.Micros
	pause unit.Micros
}

// New returns a scaler without memory.
func New(p Params) *Scaler {
	return &Scaler{p: p, peaks: map[Group]*peak{}, refused: map[Pool]refusal{}}
}

// Refused records that the cloud has no more of a pool; granted clears it.
func (s *Scaler) Refused(now unit.Micros, p Pool) {
	r := s.refused[p]
	r.pause = min(max(2*r.pause, 5*unit.Second), 40*unit.Second)
	r.until = now + r.pause
	s.refused[p] = r
}

// Granted records that the cloud gave machines of a pool.
func (s *Scaler) Granted(p Pool) { delete(s.refused, p) }

// slots is how many average tasks a piece of room holds. Half a task of each
// machine is expected to be lost to tasks of unlike sizes.
func slots(room pack.Vec, avg [3]float64) float64 {
	n := math.Inf(1)
	for i, d := range avg {
		if d > 0 {
			n = math.Min(n, float64(room[i])/d)
		}
	}
	if math.IsInf(n, 1) || n < 0.7 {
		return 0
	}
	return n * n / (n + 0.3)
}

// Plan returns what to rent and what to return, given all work at hand.
func (s *Scaler) Plan(now unit.Micros, needs map[Group]Need, machines []Machine, types map[string]*fleet.Type) ([]Rent, []string) {
	s.remember(now, needs)
	groups := make([]Group, 0, len(s.peaks))
	for g := range s.peaks {
		groups = append(groups, g)
	}
	sort.Slice(groups, func(i, j int) bool {
		a, b := groups[i], groups[j]
		if a.Spot != b.Spot {
			return !a.Spot // what may use fewer pools chooses first
		}
		if len(s.peaks[a].types) != len(s.peaks[b].types) {
			return len(s.peaks[a].types) < len(s.peaks[b].types)
		}
		if a.Zone != b.Zone {
			return a.Zone > b.Zone
		}
		return a.Class+a.Types < b.Class+b.Types
	})
	price := func(p Pool) float64 {
		t := types[p.Type]
		if t == nil {
			return math.Inf(1)
		}
		if p.Spot {
			return t.SpotPrice
		}
		return t.Price
	}
	perCore := func(p Pool) float64 {
		t := types[p.Type]
		if t == nil || t.Capacity[pack.CPU] == 0 {
			return math.Inf(1)
		}
		return price(p) / float64(t.Capacity[pack.CPU])
	}
	left := make([]pack.Vec, len(machines))
	order := make([]int, len(machines))
	wanted := make([]bool, len(machines))
	for i, m := range machines {
		order[i] = i
		if t := types[m.Pool.Type]; t != nil {
			left[i] = t.Capacity
		}
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := machines[order[a]], machines[order[b]]
		if cx, cy := perCore(x.Pool), perCore(y.Pool); cx != cy {
			return cx < cy
		}
		if (x.Idle == 0) != (y.Idle == 0) {
			return x.Idle == 0
		}
		return x.Name < y.Name
	})
	var rents []Rent
	for _, g := range groups {
		pk := s.peaks[g]
		need := math.Max(float64(needs[g].Tasks), pk.tasks*(1+s.p.Spare))
		for _, i := range order {
			m := machines[i]
			if need < 0.5 {
				break
			}
			if !usable(g, pk.types, m.Pool) {
				continue
			}
			n := math.Min(need, slots(left[i], pk.avg))
			if n <= 0 {
				continue
			}
			wanted[i] = true
			need -= n
			for r := range left[i] {
				left[i][r] -= int64(n * pk.avg[r])
			}
		}
		if need < 0.5 {
			continue
		}
		best, bestCost, bestCount := Pool{}, math.Inf(1), 0
		for _, name := range pk.types {
			t := types[name]
			if t == nil {
				continue
			}
			each := slots(t.Capacity, pk.avg)
			if each <= 0 {
				continue
			}
			for _, z := range t.Zones {
				for _, spot := range []bool{true, false} {
					p := Pool{name, z, spot}
					if !usable(g, pk.types, p) || s.refused[p].until > now {
						continue
					}
					count := int(math.Ceil(need/each - 0.05))
					cost := float64(max(count, 1)) * price(p)
					if cost < bestCost-1e-9 {
						best, bestCost, bestCount = p, cost, max(count, 1)
					}
				}
			}
		}
		if bestCount > 0 {
			rents = append(rents, Rent{best, min(bestCount, 50)})
		}
	}
	var back []string
	for i, m := range machines {
		if !wanted[i] && m.Booted && m.Idle >= s.p.IdleReturn {
			back = append(back, m.Name)
		}
	}
	return rents, back
}

// remember lets the peaks fade and raises them to present needs.
func (s *Scaler) remember(now unit.Micros, needs map[Group]Need) {
	for g, pk := range s.peaks {
		pk.tasks *= math.Exp2(-float64(now-pk.at) / float64(s.p.Memory))
		pk.at = now
		if pk.tasks < 0.2 && needs[g].Tasks == 0 {
			delete(s.peaks, g)
		}
	}
	for g, n := range needs {
		if n.Tasks == 0 {
			continue
		}
		pk := s.peaks[g]
		if pk == nil {
			pk = &peak{at: now}
			s.peaks[g] = pk
		}
		pk.types = n.Types
		pk.tasks = math.Max(pk.tasks, float64(n.Tasks)/(1+s.p.Spare))
		for r := range pk.avg {
			pk.avg[r] = float64(n.Total[r]) / float64(n.Tasks)
		}
	}
}

func usable(g Group, types []string, p Pool) bool {
	if p.Spot && !g.Spot || g.Zone != "" && g.Zone != p.Zone {
		return false
	}
	for _, t := range types {
		if t == p.Type {
			return true
		}
	}
	return false
}
