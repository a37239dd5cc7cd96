package core

import (
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// tickTypes reads the price list, on every controller that needs it.
func (c *Core) tickTypes() {
	if (c.election.Leads() || len(c.owned) > 0) && c.now >= c.nextTypeFetchAt {
		c.nextTypeFetchAt = c.now + 20*units.Second
		c.emit(FetchTypes{})
	}
}

// OnTypes takes the price list. A type that is new is stored by the leader, so
// that every node knows it.
func (c *Core) OnTypes(now units.Microseconds, o store.Outcome, types []fleet.Type) {
	c.advance(now)
	if o != store.OK {
		c.nextTypeFetchAt = now + 2*units.Second
		return
	}
	for _, t := range types {
		key := c.typeKey(t.Name)
		old := c.types[t.Name]
		c.setType(t)
		if l := c.election.Leadership(); l != nil && (old == nil || c.cache.Version(key) == 0) {
			l.Write([]store.Guard{{Key: key, Version: c.cache.Version(key)}}, store.Change{Key: key, Value: store.Value(t)})
		}
	}
	for _, shard := range c.owned {
		shard.reconciler.SetTypes(c.types)
	}
}

// compatibleTypes returns the names of the machine types on which a job's tasks can run.
func (c *Core) compatibleTypes(s *jobs.Spec) []string {
	var out []string
	for _, t := range c.types {
		if s.Demand.Fits(t.Capacity) && s.AllowsType(t.Name) && (s.Zone == "" || slices.Contains(t.Zones, s.Zone)) {
			out = append(out, t.Name)
		}
	}
	slices.Sort(out)
	return out
}
