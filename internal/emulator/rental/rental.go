// Package rental is the model of the cloud: it rents out machines by the second,
// boots them, takes spot ones back and shows a list that lags, as the protocol
// describes it. It is pure: time and draws go in, effects come out of Drain.
package rental

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strings"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/eventqueue"
)

// Bounds of the protocol.
const (
	MaxCount  = 50  // machines of one request
	MaxReturn = 100 // names of one return
	MaxPage   = 500 // machines of one page of the list

	LeastCharge = 60 * units.Second // that a deleted machine is charged for
	deathShows  = 30 * units.Second // for which a machine that died is still listed as running
	priceMoves  = 20 * units.Second // how often spot prices move
	quickBoot   = 2 * units.Second  // within which machines are up while they boot quickly
)

// Type is a machine type on the price list. Prices are an hour.
type Type struct {
	Name      string
	CPUs      float64
	GPUs      float64
	MemoryGB  float64
	CacheGB   float64
	FetchGBs  float64
	Price     float64
	SpotPrice float64
	Boot      units.Microseconds
	BootFail  float64 // share of machines that never come up
	Zones     []string
}

// Pool is a type, zone and kind of machine; each has a capacity of its own.
type Pool struct {
	Type string
	Zone string
	Spot bool
}

// Config says what the cloud has.
type Config struct {
	Types     []Type
	Capacity  map[Pool]int
	Rate      float64 // requests a second, with a burst of two seconds' worth
	ListLag   units.Microseconds
	SpotRate  float64 // spot machines taken back, as a share an hour
	Notice    units.Microseconds
	Silent    float64 // share of those taken without a notice
	SlowShare float64 // of machines that are several times slower
	SickShare float64 // of machines on which every task fails
	First     int     // number of the first machine
}

// Machine is a rented machine. Times are unit.Never until they come.
type Machine struct {
	Name string
	Addr string
	Pool
	Rented units.Microseconds
	Up     units.Microseconds // when its worker began
	Died   units.Microseconds // when it stopped of its own accord, or was taken back
	Gone   units.Microseconds // when it was deleted or taken
	Taken  bool               // taken, and not deleted
	Speed  float64            // of its processors, about 1
	Fetch  float64            // of its image fetches, about 1
	Sick   bool               // every task fails

	listed bool
	priced float64 // the type's price integral at its rental
	cost   float64 // of a machine that has died: nothing more is charged
	draws  int     // of when it is taken back; the last one counts
}

// Listed is a machine as the list shows it.
type Listed struct {
	*Machine
	State string // Booting, Running or Failed
	Age   units.Microseconds
}

// States of a listed machine.
const (
	Booting = "booting"
	Running = "running"
	Failed  = "failed"
)

// Effects.
type (
	// Began says that a machine's worker begins.
	Began struct{ *Machine }
	// Ended says that a machine is gone or has died, with all that was on it.
	Ended struct{ *Machine }
	// Noticed says that a machine's worker learns that the cloud takes it away.
	Noticed struct {
		*Machine
		In units.Microseconds // the notice's word; it may be off by half
	}
)

type plan int

const (
	boots plan = iota
	notices
	taken
	moves
)

type step struct {
	plan plan
	m    *Machine
	draw int
}

// Service is the cloud.
type Service struct {
	cfg      Config
	rng      *rand.Rand
	types    map[string]*priced
	machines []*Machine // in the order of their names; those long gone are dropped
	byName   map[string]*Machine
	used     map[Pool]int
	answers  map[string][]string // of bookings
	count    int
	plans    eventqueue.Queue[step]
	down     units.Microseconds
	refuse   map[Pool]units.Microseconds // until when a pool has no capacity
	quick    units.Microseconds          // until when rented machines are up within quickBoot
	spent    float64                     // of machines that are gone
	bucket   struct {
		used float64
		at   units.Microseconds
	}
	out []any
}

// priced is a type with its moving spot price and the integrals of both prices.
type priced struct {
	Type
	spot float64
	sum  float64 // of the spot price up to at, in price seconds
	at   units.Microseconds
}

func (p *priced) integral(now units.Microseconds) float64 {
	p.sum += p.spot * max(0, (now-p.at).Seconds())
	p.at = max(p.at, now)
	return p.sum
}

// New returns a cloud with nothing rented.
func New(cfg Config, rng *rand.Rand) *Service {
	s := &Service{cfg: cfg, rng: rng, types: map[string]*priced{}, byName: map[string]*Machine{}, used: map[Pool]int{},
		answers: map[string][]string{}, count: cfg.First, refuse: map[Pool]units.Microseconds{}}
	for _, t := range cfg.Types {
		s.types[t.Name] = &priced{Type: t, spot: t.SpotPrice}
	}
	s.plans.Add(priceMoves, step{plan: moves})
	return s
}

// Config returns what the cloud is like.
func (s *Service) Config() Config { return s.cfg }

// Down puts the cloud's interface out of order until a time; machines go on.
func (s *Service) Down(until units.Microseconds) { s.down = max(s.down, until) }

// RefuseCapacity rents out nothing of the pools that match until a time; an
// empty type or zone matches any.
func (s *Service) RefuseCapacity(typ, zone string, until units.Microseconds) {
	for _, t := range s.cfg.Types {
		for _, z := range t.Zones {
			if (typ == "" || typ == t.Name) && (zone == "" || zone == z) {
				s.refuse[Pool{t.Name, z, false}], s.refuse[Pool{t.Name, z, true}] = until, until
			}
		}
	}
}

// BootQuickly has every machine that is rented until a time be up within two seconds.
func (s *Service) BootQuickly(until units.Microseconds) { s.quick = max(s.quick, until) }

// SetSpotRate changes how often spot machines are taken back from now on, as a
// share an hour. Draws are made anew for every machine.
func (s *Service) SetSpotRate(now units.Microseconds, perHour float64) {
	s.cfg.SpotRate = perHour
	for _, m := range s.machines {
		if m.Spot && m.Gone == units.Never {
			s.planTaking(now, m)
		}
	}
}

// admit counts a request and returns 200, or the status that refuses it.
func (s *Service) admit(now units.Microseconds) int {
	s.Advance(now)
	if now < s.down {
		return http.StatusServiceUnavailable
	}
	b := &s.bucket
	b.used = max(0, b.used-(now-b.at).Seconds()*s.cfg.Rate)
	b.at = now
	if b.used+1 > 2*s.cfg.Rate {
		return http.StatusTooManyRequests
	}
	b.used++
	return http.StatusOK
}

// Types returns the price list with the present spot prices.
func (s *Service) Types(now units.Microseconds) ([]Type, int) {
	code := s.admit(now)
	if code != http.StatusOK {
		return nil, code
	}
	out := slices.Clone(s.cfg.Types)
	for i := range out {
		out[i].SpotPrice = s.types[out[i].Name].spot
	}
	return out, code
}

// Rent rents up to count machines. A booking that was answered once gets the same
// answer again. 503 with noRoom says that there are none, 503 without that the
// request was not carried out.
func (s *Service) Rent(now units.Microseconds, booking string, p Pool, count int) (names []string, noRoom bool, code int) {
	if code = s.admit(now); code != http.StatusOK {
		return nil, false, code
	}
	t := s.types[p.Type]
	if booking == "" || count < 1 || count > MaxCount || t == nil || !slices.Contains(t.Zones, p.Zone) {
		return nil, false, http.StatusBadRequest
	}
	if names, ok := s.answers[booking]; ok {
		return names, false, http.StatusOK
	}
	n := min(count, s.cfg.Capacity[p]-s.used[p])
	if n <= 0 || now < s.refuse[p] {
		return nil, true, http.StatusServiceUnavailable
	}
	for range n {
		names = append(names, s.add(now, p, t).Name)
	}
	s.answers[booking] = names
	return names, false, http.StatusOK
}

func (s *Service) add(now units.Microseconds, p Pool, t *priced) *Machine {
	m := &Machine{Name: fmt.Sprintf("n-%06d", s.count), Pool: p, Rented: now, Up: units.Never, Died: units.Never, Gone: units.Never,
		Speed: 0.9 + 0.2*s.rng.Float64(), Fetch: 0.67 + 0.66*s.rng.Float64(), priced: t.integral(now)}
	switch d := s.rng.Float64(); {
	case d < s.cfg.SickShare:
		m.Sick = true
	case d < s.cfg.SickShare+s.cfg.SlowShare:
		m.Speed *= 0.1 + 0.4*s.rng.Float64()
	}
	s.count++
	s.machines = append(s.machines, m)
	s.byName[m.Name] = m
	s.used[p]++
	boot := float64(t.Boot) * (0.6 + 0.9*s.rng.Float64())
	switch d := s.rng.Float64(); {
	case d < t.BootFail:
		boot = math.Inf(1)
	case d < t.BootFail+0.02:
		boot = float64(t.Boot) * (2 + 4*s.rng.Float64())
	case d < t.BootFail+0.04:
		boot = (1 + s.rng.Float64()) * float64(units.Second)
	}
	if now < s.quick {
		boot = (0.1 + 0.9*s.rng.Float64()) * float64(quickBoot)
	}
	if !math.IsInf(boot, 1) {
		s.plans.Add(now+units.Microseconds(boot), step{plan: boots, m: m})
	}
	if p.Spot {
		s.planTaking(now, m)
	}
	return m
}

// planTaking draws when a spot machine is taken back at the present rate.
func (s *Service) planTaking(now units.Microseconds, m *Machine) {
	m.draws++
	if s.cfg.SpotRate <= 0 {
		return
	}
	at := now + units.Microseconds(s.rng.ExpFloat64()/s.cfg.SpotRate*3600*float64(units.Second))
	if at < now+24*3600*units.Second {
		s.plans.Add(at, step{notices, m, m.draws})
	}
}

// Take begins to take a machine back, with a notice or, in a share of cases, none.
// The notice is right to within half.
func (s *Service) Take(now units.Microseconds, m *Machine, notice units.Microseconds, silent float64) {
	if m.Gone != units.Never || m.Died != units.Never {
		return
	}
	if s.rng.Float64() < silent {
		s.take(now, m)
		return
	}
	s.out = append(s.out, Noticed{m, notice})
	s.plans.Add(now+units.Microseconds(float64(notice)*(0.5+s.rng.Float64())), step{plan: taken, m: m})
}

func (s *Service) take(now units.Microseconds, m *Machine) {
	if m.Gone != units.Never {
		return
	}
	died := m.Died
	m.Taken = true
	s.remove(now, m, 0)
	if died == units.Never {
		s.out = append(s.out, Ended{m})
	}
}

// Kill stops a machine of its own accord: it is no longer charged, is listed as
// running for some time and then as failed, until it is deleted.
func (s *Service) Kill(now units.Microseconds, m *Machine) {
	if m.Died != units.Never || m.Gone != units.Never {
		return
	}
	m.cost = s.charge(now, m, 0)
	m.Died = now
	s.out = append(s.out, Ended{m})
}

// remove takes a machine out of the cloud's books.
func (s *Service) remove(now units.Microseconds, m *Machine, least units.Microseconds) {
	m.Gone = now
	s.used[m.Pool]--
	s.spent += s.charge(now, m, least)
}

// charge is what a machine has cost by a time.
func (s *Service) charge(now units.Microseconds, m *Machine, least units.Microseconds) float64 {
	if m.Died != units.Never {
		return m.cost
	}
	t := s.types[m.Type]
	held := max(now-m.Rented, 0)
	rest := max(least-held, 0).Seconds()
	if !m.Spot {
		return (held.Seconds() + rest) * t.Price / 3600
	}
	return (t.integral(now) - m.priced + rest*t.spot) / 3600
}

// Return deletes machines. Unknown names are ignored.
func (s *Service) Return(now units.Microseconds, names []string) int {
	if code := s.admit(now); code != http.StatusOK {
		return code
	}
	if len(names) > MaxReturn {
		return http.StatusBadRequest
	}
	for _, n := range names {
		m := s.byName[n]
		if m == nil || m.Gone != units.Never {
			continue
		}
		alive := m.Died == units.Never
		s.remove(now, m, LeastCharge)
		if alive {
			s.out = append(s.out, Ended{m})
		}
	}
	return http.StatusOK
}

// List returns a page of the machine list, as it was some time ago. A list may be
// older than the one before it; what was listed once stays until it is gone.
func (s *Service) List(now units.Microseconds, after string, page int) (out []Listed, more bool, code int) {
	if code = s.admit(now); code != http.StatusOK {
		return nil, false, code
	}
	if page < 1 || page > MaxPage {
		return nil, false, http.StatusBadRequest
	}
	lag := float64(s.cfg.ListLag) * (0.7 + 0.6*s.rng.Float64())
	if s.rng.Float64() < 0.1 {
		lag = float64(s.cfg.ListLag) * 2
	}
	then := now - units.Microseconds(lag)
	s.forget(now)
	i := sort.Search(len(s.machines), func(i int) bool { return strings.Compare(s.machines[i].Name, after) > 0 })
	for ; i < len(s.machines); i++ {
		m := s.machines[i]
		if m.Gone <= then || m.Rented > then && !m.listed {
			continue
		}
		if len(out) == page {
			return out, true, code
		}
		m.listed = true
		l := Listed{Machine: m, State: Running, Age: max(then-m.Rented, 0)}
		switch {
		case m.Died+deathShows <= then:
			l.State = Failed
		case m.Up > then && m.Died > then:
			l.State = Booting
		}
		out = append(out, l)
	}
	return out, false, code
}

// forget drops machines that no list can show any more.
func (s *Service) forget(now units.Microseconds) {
	s.machines = slices.DeleteFunc(s.machines, func(m *Machine) bool {
		if m.Gone != units.Never && m.Gone+2*s.cfg.ListLag+units.Second < now {
			delete(s.byName, m.Name)
			return true
		}
		return false
	})
}

// Machine returns a machine that is not long gone, or nil.
func (s *Service) Machine(name string) *Machine { return s.byName[name] }

// Alive returns the machines that are up, in the order of their names.
func (s *Service) Alive() []*Machine {
	var out []*Machine
	for _, m := range s.machines {
		if m.Up != units.Never && m.Died == units.Never && m.Gone == units.Never {
			out = append(out, m)
		}
	}
	return out
}

// Charged returns the machines that are paid for, booting ones too, in the order of
// their names.
func (s *Service) Charged() []*Machine {
	var out []*Machine
	for _, m := range s.machines {
		if m.Died == units.Never && m.Gone == units.Never {
			out = append(out, m)
		}
	}
	return out
}

// Rate is what a machine costs at present, an hour.
func (s *Service) Rate(m *Machine) float64 {
	if m.Spot {
		return s.types[m.Type].spot
	}
	return s.types[m.Type].Price
}

// Spent returns the money spent by now.
func (s *Service) Spent(now units.Microseconds) float64 {
	sum := s.spent
	for _, m := range s.machines {
		if m.Gone == units.Never {
			sum += s.charge(now, m, 0)
		}
	}
	return sum
}

// Rented returns how many machines were ever rented.
func (s *Service) Rented() int { return s.count - s.cfg.First }

// Next returns when Advance is next of use.
func (s *Service) Next() units.Microseconds { return s.plans.Next() }

// Advance lets time pass.
func (s *Service) Advance(now units.Microseconds) {
	for {
		at, st, ok := s.plans.Due(now)
		if !ok {
			return
		}
		switch m := st.m; st.plan {
		case boots:
			if m.Gone == units.Never && m.Died == units.Never {
				m.Up = at
				s.out = append(s.out, Began{m})
			}
		case notices:
			if st.draw == m.draws {
				s.Take(at, m, s.cfg.Notice, s.cfg.Silent)
			}
		case taken:
			s.take(at, m)
		case moves:
			for _, t := range s.cfg.Types {
				p := s.types[t.Name]
				p.integral(at)
				// The price moves by steps around the nominal one, within a third.
				p.spot = min(max(p.spot*(0.95+0.1*s.rng.Float64()), t.SpotPrice*2/3), t.SpotPrice*4/3)
			}
			s.plans.Add(at+priceMoves, step{plan: moves})
		}
	}
}

// Drain returns the effects since the last call.
func (s *Service) Drain() []any {
	out := s.out
	s.out = nil
	return out
}
