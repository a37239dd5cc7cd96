package standin

import (
	"encoding/json"
	"fmt"
	"sort"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/scale"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

// stateService is the small consistent store.
type stateService struct {
	w           *World
	rev         uint64
	keys        map[string]item
	log         []store.Event
	leases      map[uint64]*stateLease
	nextLease   uint64
	outageUntil unit.Micros
	limits      limits
	spent       float64 // changes of the burst
	spentAt     unit.Micros
}

// limits of the state service; they may fall while it runs.
type limits struct {
	ops, value int
	changes    float64 // a second
}

// takes judges a transaction by the limits.
func (s *stateService) takes(t *store.Txn) store.Outcome {
	size := 0
	for _, c := range t.Changes {
		size += len(c.Key) + len(c.Value)
		if len(c.Value) > s.limits.value {
			return store.TooLarge
		}
	}
	for _, g := range t.Guards {
		size += len(g.Key) + 20
	}
	if len(t.Changes) > s.limits.ops || len(t.Guards) > 4*s.limits.ops || size > 64<<10 {
		return store.TooLarge
	}
	s.spent = max(0, s.spent-(s.w.now-s.spentAt).Seconds()*s.limits.changes)
	s.spentAt = s.w.now
	if s.spent+float64(len(t.Changes)) > s.limits.changes {
		return store.Limited
	}
	s.spent += float64(len(t.Changes))
	return store.OK
}

type item struct {
	value json.RawMessage
	stamp uint64
	lease uint64
}

type stateLease struct {
	ttl, ends unit.Micros
}

func (s *stateService) list() (uint64, []store.Event) {
	s.expire()
	var out []store.Event
	for k, it := range s.keys {
		out = append(out, store.Event{Key: k, Value: it.value, Stamp: it.stamp})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return s.rev, out
}

func (s *stateService) changes(after uint64) (uint64, []store.Event) {
	s.expire()
	var out []store.Event
	for i := len(s.log) - 1; i >= 0 && s.log[i].Stamp > after; i-- {
		out = append(out, s.log[i])
	}
	for i, j := 0, len(out)-1; i < j; i, j = i+1, j-1 {
		out[i], out[j] = out[j], out[i]
	}
	return s.rev, out
}

func (s *stateService) commit(t *store.Txn) (store.Outcome, uint64, []string) {
	s.expire()
	if o := s.takes(t); o != store.OK {
		if o == store.TooLarge {
			s.w.violate("too_large", "%d changes, %d guards, first %s", len(t.Changes), len(t.Guards), t.Changes[0].Key)
		}
		return o, s.rev, nil
	}
	var failed []string
	for _, g := range t.Guards {
		if s.keys[g.Key].stamp != g.Stamp {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return store.Failed, s.rev, failed
	}
	for _, c := range t.Changes {
		if c.Value != nil && c.Lease != 0 && s.leases[c.Lease] == nil {
			return store.Failed, s.rev, nil // no such lease
		}
	}
	s.rev++
	for _, c := range t.Changes {
		if c.Value == nil {
			delete(s.keys, c.Key)
		} else {
			s.keys[c.Key] = item{c.Value, s.rev, c.Lease}
		}
		s.log = append(s.log, store.Event{Key: c.Key, Value: c.Value, Stamp: s.rev})
	}
	return store.OK, s.rev, nil
}

func (s *stateService) open(ttl unit.Micros) uint64 {
	s.nextLease++
	s.leases[s.nextLease] = &stateLease{ttl, s.w.now + ttl}
	return s.nextLease
}

func (s *stateService) renew(id uint64) store.Outcome {
	s.expire()
	l := s.leases[id]
	if l == nil {
		return store.Failed
	}
	l.ends = s.w.now + l.ttl
	return store.OK
}

func (s *stateService) end(id uint64) {
	delete(s.leases, id)
	for k, it := range s.keys {
		if it.lease == id {
			s.rev++
			delete(s.keys, k)
			s.log = append(s.log, store.Event{Key: k, Stamp: s.rev})
		}
	}
}

// expire ends leases that were not renewed. During an outage none end, and
// after it each has its full time again.
func (s *stateService) expire() {
	for id := uint64(1); id <= s.nextLease; id++ {
		l := s.leases[id]
		if l == nil {
			continue
		}
		if l.ends > 0 && s.outageUntil > 0 && s.w.now >= s.outageUntil-1 {
			l.ends = max(l.ends, s.outageUntil+l.ttl)
		}
		if s.w.now >= l.ends && s.w.now >= s.outageUntil {
			s.end(id)
		}
	}
}

// cloudService rents machines.
type cloudService struct {
	w         *World
	answers   map[string][]string
	count     int
	downUntil unit.Micros
}

var machineTypes = []fleet.Type{
	{Name: "big", Capacity: pack.Vec{16_000, 0, 64_000}, Boot: 6 * second, Zones: []string{"a", "b"}, Price: 2, SpotPrice: 0.8},
	{Name: "small", Capacity: pack.Vec{4_000, 0, 16_000}, Boot: 3 * second, Zones: []string{"b"}, Price: 0.6, SpotPrice: 0.2},
}

func typeOf(name string) *fleet.Type {
	for i := range machineTypes {
		if machineTypes[i].Name == name {
			return &machineTypes[i]
		}
	}
	return nil
}

func (c *cloudService) outcome() store.Outcome {
	if c.w.now < c.downUntil {
		return store.Refused
	}
	return store.OK
}

func (c *cloudService) types() []fleet.Type {
	if c.w.now < c.downUntil {
		return nil
	}
	return machineTypes
}

// machinesPerPool bounds what can be had of each type, zone and kind.
const machinesPerPool = 3

func (c *cloudService) rent(request string, r scale.Rent) (store.Outcome, []string) {
	if c.w.now < c.downUntil {
		return store.Refused, nil
	}
	if names, ok := c.answers[request]; ok {
		return store.OK, names
	}
	have := 0
	for _, k := range c.w.workers {
		if !k.gone && k.pool == r.Pool {
			have++
		}
	}
	n := min(r.Count, machinesPerPool-have)
	if n <= 0 {
		return store.Failed, nil
	}
	var names []string
	for range n {
		k := newWorker(c.w, fmt.Sprintf("n-%06d", c.count), r.Pool)
		c.count++
		names = append(names, k.name)
	}
	c.answers[request] = names
	return store.OK, names
}

func (c *cloudService) giveBack(names []string) store.Outcome {
	if c.w.now < c.downUntil {
		return store.Refused
	}
	for _, n := range names {
		if k := c.w.workers[n]; k != nil {
			k.die()
		}
	}
	return store.OK
}

// list lags: it shows the world of a few seconds ago, sometimes older.
func (c *cloudService) list() []core.Host {
	then := c.w.now - c.w.span(3, 6)
	var out []core.Host
	for _, n := range c.w.order {
		k := c.w.workers[n]
		if k.rented > then || k.gone && k.goneAt <= then {
			continue
		}
		out = append(out, core.Host{Name: n, Addr: n, Age: then - k.rented,
			Record: fleet.Record{Type: k.pool.Type, Zone: k.pool.Zone, Spot: k.pool.Spot}})
	}
	return out
}
