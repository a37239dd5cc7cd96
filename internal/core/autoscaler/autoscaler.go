// Package autoscaler decides which machines to rent and which to return.
package autoscaler

import (
	"math"
	"slices"
	"sort"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
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
	Idle  bool // it uses the room that others leave, and rents what is cheapest only
}

// anyClass is the group without its class: all that may use the same pools.
func (g Group) anyClass() Group {
	g.Class = ""
	return g
}

// Need is how much work a group has: tasks that would run at once if there
// were room and their demands added up; those that wait and the time that they
// will take, one after the other; and how many of those that run end in a second.
type Need struct {
	Tasks   int
	Running int // tasks placed at present
	Ready   int // tasks that wait
	Total   binpack.Vec
	Waiting units.Microseconds
	Slack   units.Microseconds // that those that wait may wait and still be in time, added up
	Rate    float64
	Types   []string
}

// Machine is what scaling sees of a machine.
type Machine struct {
	Name   string
	Pool   Pool
	Idle   units.Microseconds // for how long it has held no task; 0: it holds some
	Booted bool
	Age    units.Microseconds // since it was rented
	Away   bool               // in a zone that is lost: it does no work for now, and would if the zone came back
	Wanted bool               // set by Plan: the work at hand needs it
}

// leastCharge is the time that every rented machine is charged for.
const leastCharge = 60 * units.Second

// Params are the knobs of scaling.
type Params struct {
	Spare      float64            // room kept above average demand
	Memory     units.Microseconds // time over which demand is averaged
	Worth      units.Microseconds // work that must wait for each slot of a machine to be worth renting
	IdleReturn units.Microseconds
}

// Rent asks for machines of one pool, however many that takes.
type Rent struct {
	Pool  Pool
	Count int
}

// Scaler remembers demand and refusals.
type Scaler struct {
	p       Params
	usual   map[Group]*usual
	refused map[Pool]refusal
}

// usual is what a group has needed lately.
type usual struct {
	tasks float64    // placed, on average
	avg   [3]float64 // demand of a task
	types []string
	at    units.Microseconds
}

type refusal struct {
	until units.Microseconds
	pause units.Microseconds
}

// New returns a scaler without memory.
func New(p Params) *Scaler {
	return &Scaler{p: p, usual: map[Group]*usual{}, refused: map[Pool]refusal{}}
}

// Refused records that the cloud has no more of a pool; granted clears it.
func (s *Scaler) Refused(now units.Microseconds, p Pool) {
	r := s.refused[p]
	r.pause = min(max(2*r.pause, 5*units.Second), 40*units.Second)
	r.until = now + r.pause
	s.refused[p] = r
}

// Granted records that the cloud gave machines of a pool.
func (s *Scaler) Granted(p Pool) { delete(s.refused, p) }

// slots is how many average tasks a piece of room holds. Part of a task of
// each machine is expected to be lost to tasks of unlike sizes.
func slots(room binpack.Vec, avg [3]float64) float64 {
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

// Plan returns what to rent and what to return, given all work at hand, and
// notes on the machines which of them that work needs. most tells how many machines may be
// rented into a zone at present; less than 0: any number.
func (s *Scaler) Plan(now units.Microseconds, needs map[Group]Need, machines []Machine, types map[string]*fleet.Type, most func(zone string) int) ([]Rent, []string) {
	s.remember(now, needs)
	groups := make([]Group, 0, len(s.usual))
	for g := range s.usual {
		groups = append(groups, g)
	}
	sort.Slice(groups, func(i, j int) bool {
		a, b := groups[i], groups[j]
		if a.Idle != b.Idle {
			return b.Idle
		}
		if a.Spot != b.Spot {
			return !a.Spot // what may use fewer pools chooses first
		}
		if len(s.usual[a].types) != len(s.usual[b].types) {
			return len(s.usual[a].types) < len(s.usual[b].types)
		}
		if a.Zone != b.Zone {
			return a.Zone > b.Zone
		}
		return a.Class+a.Types < b.Class+b.Types
	})
	perCore := func(p Pool) float64 { return perCore(types[p.Type], p.Spot) }
	left := make([]binpack.Vec, len(machines))
	order := make([]int, len(machines))
	for i, m := range machines {
		order[i], machines[i].Wanted = i, false
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
	var sums [2]backlog           // of all groups so far, by whether they may use spot
	alike := map[Group]*backlog{} // of those that may use the very same pools
	for _, g := range groups {
		us := s.usual[g]
		need := math.Max(float64(needs[g].Tasks), us.tasks*(1+s.p.Spare))
		wants := need
		dear := math.Inf(1)
		if g.Idle {
			dear = idlePremium * cheapest(us.types, g.Spot, types)
		}
		need = take(g, us, need, dear, false, machines, left, order, types)
		// What it falls short by is rented elsewhere, but there may be no more to be had: the
		// machines of lost zones that it would use are noted.
		take(g, us, need, math.Inf(1), true, machines, left, order, types)
		kind := 0
		if g.Spot {
			kind = 1
		}
		sums[kind].add(needs[g], wants-need, us.tasks)
		same := g.anyClass()
		if alike[same] == nil {
			alike[same] = &backlog{}
		}
		alike[same].add(needs[g], wants-need, us.tasks)
		if need < 0.5 {
			continue
		}
		if r, ok := s.offer(now, g, us, need, sums[kind], alike[same], wants-need < 0.5, types, most); ok {
			rents = append(rents, r)
		}
	}
	var back []string
	for _, m := range machines {
		// Until then it costs the same whether it stays or goes.
		if !m.Wanted && !m.Away && m.Booted && m.Idle >= s.p.IdleReturn && m.Age >= leastCharge-2*units.Second {
			back = append(back, m.Name)
		}
	}
	return rents, back
}

// take has a group take room for so many average tasks, of the machines of lost zones (away)
// or of the others, as long as a CPU is not too dear, and returns for how many there is none.
// What it takes is wanted.
func take(g Group, us *usual, need, dear float64, away bool, machines []Machine, left []binpack.Vec, order []int, types map[string]*fleet.Type) float64 {
	wants := need
	for _, i := range order {
		m := machines[i]
		if need < 0.5 {
			break
		}
		if m.Away != away || !usable(g, us.types, m.Pool) {
			continue
		}
		if perCore(types[m.Pool.Type], m.Pool.Spot) > dear && wants-need >= 0.5 {
			break // the cheaper ones come first; where there is none, one dear machine does
		}
		n := math.Min(need, slots(left[i], us.avg))
		if n <= 0 {
			continue
		}
		machines[i].Wanted = true
		need -= n
		for r := range left[i] {
			left[i][r] -= int64(n * us.avg[r])
		}
	}
	return need
}

// backlog is the waiting work of several groups and the slots that they have,
// in average tasks; usual are the slots that were in use lately, on average, and
// slack the seconds that all that waits may still wait.
type backlog struct {
	ready, work, running, rate, slots, usual, slack float64
}

func (b *backlog) add(n Need, slots, usual float64) {
	b.usual += usual
	b.slack += n.Slack.Seconds()
	b.ready += float64(n.Ready)
	b.work += n.Waiting.Seconds()
	b.running += float64(n.Running)
	b.rate += n.Rate
	b.slots += slots
}

// after is the work that will still wait after a time in which tasks that run
// now end and make room, and slots that are empty or boot take what they can.
func (b *backlog) after(t float64) float64 {
	n := b.ready - b.rate*t - math.Max(0, b.slots-b.running)
	if n <= 0 {
		return 0
	}
	return n * b.work / b.ready
}

// late is how many slots more would do some work in time that still waits: what waits
// is shared by all slots but those that are taken by work that comes, as much as lately.
// Without this, queues that the slots there are would have worked off soon had dear
// machines rented, which came up to find little left to do.
func (b *backlog) late(work float64) float64 {
	if b.ready <= 0 {
		return math.Inf(1)
	}
	return work/math.Max(1, b.slack/b.ready) - math.Max(0, b.slots-b.usual)
}

// idlePremium is how much dearer than the cheapest offer a machine may be that
// is rented, or kept, for work that uses what others leave. Beyond it no machine is
// rented for work that will be in time without.
const idlePremium = 1.5

// Dear reports whether a pool costs too much for work that uses what others
// leave, given the types and kinds that it may use.
func Dear(p Pool, names []string, spot bool, types map[string]*fleet.Type) bool {
	return perCore(types[p.Type], p.Spot) > idlePremium*cheapest(names, spot, types)
}

// perCore is the price of a CPU of a type.
func perCore(t *fleet.Type, spot bool) float64 {
	if t == nil || t.Capacity[binpack.CPU] == 0 {
		return math.Inf(1)
	}
	return t.Rate(spot) / float64(t.Capacity[binpack.CPU])
}

// cheapest is the price of a CPU of the cheapest offer of some types.
func cheapest(names []string, spot bool, types map[string]*fleet.Type) float64 {
	least := math.Inf(1)
	for _, name := range names {
		least = math.Min(least, perCore(types[name], false))
		if spot {
			least = math.Min(least, perCore(types[name], true))
		}
	}
	return least
}

// offer chooses the cheapest way to fill a shortfall, if any is worth it: by
// the time a machine is up, the slots there are will have done part of the
// work, of this group and those that chose before it, and each new slot must
// find enough of the rest.
func (s *Scaler) offer(now units.Microseconds, g Group, us *usual, short float64, b backlog, alike *backlog, stranded bool, types map[string]*fleet.Type, most func(zone string) int) (Rent, bool) {
	best, bestCost := Rent{}, math.Inf(1)
	least := cheapest(us.types, g.Spot, types)
	for _, name := range us.types {
		t := types[name]
		if t == nil {
			continue
		}
		each := slots(t.Capacity, us.avg)
		if each <= 0 {
			continue
		}
		boot := t.Boot.Seconds()
		ahead := s.ahead(&b, us, boot)
		for _, z := range t.Zones {
			limit := most(z)
			if limit == 0 {
				continue
			}
			for _, spot := range []bool{true, false} {
				p := Pool{name, z, spot}
				if !usable(g, us.types, p) || s.refused[p].until > now {
					continue
				}
				// A dearer slot must find more work.
				premium := perCore(t, spot) / least
				if g.Idle && premium > idlePremium && !stranded {
					continue
				}
				want := math.Min(short, ahead/(s.p.Worth.Seconds()*premium))
				if premium > idlePremium {
					want = math.Min(want, alike.late(s.ahead(alike, us, boot)))
				}
				if stranded {
					want = math.Max(want, math.Min(short, 1)) // little work, but nowhere to do it
				}
				if want < 0.5 {
					continue
				}
				count := max(int(math.Ceil(want/each-0.05)), 1)
				if limit > 0 {
					count = min(count, limit)
				}
				if cost := float64(count) * t.Rate(spot) / math.Min(float64(count)*each, want); cost < bestCost-1e-9 {
					best, bestCost = Rent{p, count}, cost
				}
			}
		}
	}
	return best, best.Count > 0
}

// ahead is the work that machines will find which are up after a time: room below what is
// usual will find some, room above it must find it waiting.
func (s *Scaler) ahead(b *backlog, us *usual, boot float64) float64 {
	return b.after(boot) + math.Max(0, us.tasks-b.slots)*s.p.Worth.Seconds()
}

// remember brings the averages up to date.
func (s *Scaler) remember(now units.Microseconds, needs map[Group]Need) {
	for g, n := range needs {
		if n.Tasks > 0 && s.usual[g] == nil {
			s.usual[g] = &usual{at: now}
		}
	}
	for g, us := range s.usual {
		n := needs[g]
		us.tasks += (float64(n.Running) - us.tasks) * (1 - math.Exp(-float64(now-us.at)/float64(s.p.Memory)))
		us.at = now
		if n.Tasks > 0 {
			us.types = n.Types
			for r := range us.avg {
				us.avg[r] = float64(n.Total[r]) / float64(n.Tasks)
			}
		} else if us.tasks < 0.1 {
			delete(s.usual, g)
		}
	}
}

func usable(g Group, types []string, p Pool) bool {
	if p.Spot && !g.Spot || g.Zone != "" && g.Zone != p.Zone {
		return false
	}
	return slices.Contains(types, p.Type)
}
