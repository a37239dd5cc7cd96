package core

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
)

// tickTypes reads the price list, on every controller that needs it.
func (c *Core) tickTypes() {
	if (c.leader != nil || len(c.held) > 0) && c.now >= c.typesAt {
		c.typesAt = c.now + 20*unit.Second
		c.emit(FetchTypes{})
	}
}

// OnTypes takes the price list. A type that is new is stored by the leader, so
// that every node knows it.
func (c *Core) OnTypes(now unit.Micros, o store.Outcome, types []fleet.Type) {
	c.at(now)
	if o != store.OK {
		c.typesAt = now + 2*unit.Second
		return
	}
	for _, t := range types {
		key := c.typeKey(t.Name)
		old := c.types[t.Name]
		c.setType(t)
		if l := c.leader; l != nil && (old == nil || c.mirror.Stamp(key) == 0) {
			l.write(c, []store.Guard{{Key: key, Stamp: c.mirror.Stamp(key)}}, store.Change{Key: key, Value: store.Value(t)})
		}
	}
	for _, bl := range c.held {
		for _, m := range bl.machines {
			if m.Type == nil {
				m.Type = c.types[m.Record.Type]
				bl.hiddenStale = true
			}
		}
	}
}
