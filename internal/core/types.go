package core

import (
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// tickTypes fetches the price list of machine types, on the leader and on owners of shards.
func (c *Core) tickTypes() {
	if (c.election.Leads() || len(c.owned) > 0) && c.now >= c.nextTypeFetchAt {
		c.nextTypeFetchAt = c.now + 20*units.Second
		c.emit(FetchTypes{})
	}
}

// OnTypes handles the answer to a FetchTypes. The leader stores new types, so that every controller knows them.
func (c *Core) OnTypes(now units.Microseconds, outcome store.Outcome, types []fleet.Type) {
	c.advance(now)
	if outcome != store.OK {
		c.nextTypeFetchAt = now + 2*units.Second
		return
	}
	for _, machineType := range types {
		key := c.typeKey(machineType.Name)
		old := c.types[machineType.Name]
		c.setType(machineType)
		if leadership := c.election.Leadership(); leadership != nil && (old == nil || c.cache.Version(key) == 0) {
			leadership.Write([]store.Guard{{Key: key, Version: c.cache.Version(key)}}, store.Change{Key: key, Value: store.Value(machineType)})
		}
	}
	for _, shard := range c.owned {
		shard.reconciler.SetTypes(c.types)
	}
}

// compatibleTypes returns the sorted names of the machine types on which a job's tasks can run.
func (c *Core) compatibleTypes(spec *jobs.Spec) []string {
	var out []string
	for _, machineType := range c.types {
		if spec.Demand.Fits(machineType.Capacity) && spec.AllowsType(machineType.Name) && (spec.Zone == "" || slices.Contains(machineType.Zones, spec.Zone)) {
			out = append(out, machineType.Name)
		}
	}
	slices.Sort(out)
	return out
}
