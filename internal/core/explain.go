package core

import (
	"fmt"
	"strings"

	"shalestage.example/shalestage/internal/core/unit"
)

// Explain says in a few lines why a job is where it is, for operators' logs
// and for failed tests.
func (c *Core) Explain(id string) string {
	j := c.jobs[id]
	if j == nil {
		return id + ": not known"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s, finished %d of %d, ready %d, placed %d, held %v, not before %.1f, now %.1f, failed on %d machines",
		id, j.Record.Status, j.Finished(), j.Record.Tasks, j.Ready(), j.Placed(), j.Held, j.NotBefore.Seconds(), c.now.Seconds(), len(j.Errors))
	if j.Awaiting > 0 {
		fmt.Fprintf(&b, ", waits for %d of %v", j.Awaiting, j.Spec().Awaits)
	}
	if j.Through != "" {
		fmt.Fprintf(&b, ", cancelled with %s", j.Through)
	}
	bl := c.held[j.Record.Block]
	if bl == nil {
		fmt.Fprintf(&b, "; block %d held by %+v; led by %q; %s; %s; lane %d",
			j.Record.Block, c.blocks[j.Record.Block], c.claim.Node, c.seats.Trace(c.now),
			c.mirror.Explain(), c.lanes[LeaderLane].Len())
		return b.String()
	}
	if s := j.Spec(); s != nil {
		fmt.Fprintf(&b, "; team %s uses %v", s.Team, bl.usage[s.Team])
	}
	fmt.Fprintf(&b, "; block %d share %.2f token %d free %v moving %v, unaccounted %d, renting %d, cloud may be called %v", bl.n, c.shares[bl.n].share,
		bl.token, bl.free, j.Moving, len(bl.unaccounted), bl.renter.Open(), bl.renter.Ready(c.now))
	for _, name := range sortedKeys(bl.machines) {
		m := bl.machines[name]
		fmt.Fprintf(&b, "\n  %s %s/%s spot %v: up %v, tasks %d, settled %v (accounted %v stored %v lost %v sick %v leaving %v)",
			name, m.Record.Type, m.Record.Zone, m.Record.Spot, m.LastSeen != 0, len(m.Tasks), m.Settled(), m.Accounted, m.Record.Up, m.Lost, m.Sick, m.Leaving)
	}
	return b.String()
}

// Unfollow has nobody follow the blocks that this node holds, for a moment.
func (c *Core) Unfollow(now unit.Micros) {
	c.at(now)
	for _, bl := range c.held {
		bl.follow.Leave(c.now)
	}
}

// Follower names who follows a held block.
func (c *Core) Follower(k int) string {
	if bl := c.held[k]; bl != nil {
		return bl.follow.Follower()
	}
	return ""
}

// Leads reports whether this node leases blocks to the controllers.
func (c *Core) Leads() bool { return c.leader != nil }

// Placed counts the tasks that may be running on a held block's machines.
func (c *Core) Placed(k int) int {
	n := 0
	if bl := c.held[k]; bl != nil {
		for _, m := range bl.machines {
			n += len(m.Tasks)
		}
	}
	return n
}

// Sick counts the machines of a held block that are blamed for failed tasks.
func (c *Core) Sick(k int) int {
	n := 0
	if bl := c.held[k]; bl != nil {
		for _, m := range bl.machines {
			if m.Sick {
				n++
			}
		}
	}
	return n
}

// Unaccounted counts the machines of a held block on which earlier holders' tasks
// may run.
func (c *Core) Unaccounted(k int) int {
	if bl := c.held[k]; bl != nil {
		return len(bl.unaccounted)
	}
	return 0
}
