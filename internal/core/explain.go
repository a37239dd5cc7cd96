package core

import (
	"fmt"
	"strings"

	"shalestage.example/shalestage/internal/core/units"
)

// Explain says in a few lines why a job is where it is, for operators' logs
// and for failed tests.
func (c *Core) Explain(id string) string {
	j := c.jobs.Get(id)
	if j == nil {
		return id + ": not known"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s, finished %d of %d, ready %d, placed %d, held %v, not before %.1f, now %.1f, failed on %d machines",
		id, j.Record.Status, j.Finished(), j.Record.Tasks, j.Ready(), j.Placed(), j.AwaitsReconciliation, j.NotBefore.Seconds(), c.now.Seconds(), len(j.Errors))
	if j.OpenDependencies > 0 {
		fmt.Fprintf(&b, ", waits for %d of %v", j.OpenDependencies, j.Spec().Awaits)
	}
	if j.CancelledBy != "" {
		fmt.Fprintf(&b, ", cancelled with %s", j.CancelledBy)
	}
	shard := c.owned[j.Record.Shard]
	if shard == nil {
		fmt.Fprintf(&b, "; block %d held by %+v; led by %q; %s; %s; lane %d",
			j.Record.Shard, c.shardRecords.Assignment(j.Record.Shard), c.election.Record().Node, c.membership.Describe(c.now),
			c.cache.Describe(), c.queues[ControlQueue].Len())
		return b.String()
	}
	if s := j.Spec(); s != nil {
		fmt.Fprintf(&b, "; team %s uses %v", s.Team, shard.quota.Usage(s.Team))
	}
	fmt.Fprintf(&b, "; block %d share %.2f token %d free %v moving %v, unaccounted %d, renting %d, cloud may be called %v", shard.number, c.shardRecords.Allocation(shard.number).Fraction,
		shard.fencingToken, shard.releasing, j.Migrating, len(shard.reconciler.Unreconciled()), shard.provisioner.OpenRequests(), shard.provisioner.Ready(c.now))
	for _, name := range sortedKeys(shard.reconciler.Machines()) {
		m := shard.reconciler.Machine(name)
		fmt.Fprintf(&b, "\n  %s %s/%s spot %v: up %v, tasks %d, settled %v (accounted %v stored %v lost %v sick %v leaving %v)",
			name, m.Record.Type, m.Record.Zone, m.Record.Spot, m.LastSeen != 0, len(m.Tasks), m.Schedulable(), m.Reconciled, m.Record.Up, m.Lost, m.Quarantined, m.Deprovisioning)
	}
	return b.String()
}

// StopReplication has nobody follow the blocks that this node holds, for a moment.
func (c *Core) StopReplication(now units.Microseconds) {
	c.advance(now)
	for _, shard := range c.owned {
		shard.replication.Stop(c.now)
	}
}

// Standby names who follows a held block.
func (c *Core) Standby(k int) string {
	if shard := c.owned[k]; shard != nil {
		return shard.replication.Standby()
	}
	return ""
}

// Leads reports whether this node leases blocks to the controllers.
func (c *Core) Leads() bool { return c.election.Leads() }

// Placed counts the tasks that may be running on a held block's machines.
func (c *Core) Placed(k int) int {
	n := 0
	if shard := c.owned[k]; shard != nil {
		for _, m := range shard.reconciler.Machines() {
			n += len(m.Tasks)
		}
	}
	return n
}

// Quarantined counts the machines of a held block that are blamed for failed tasks.
func (c *Core) Quarantined(k int) int {
	n := 0
	if shard := c.owned[k]; shard != nil {
		for _, m := range shard.reconciler.Machines() {
			if m.Quarantined {
				n++
			}
		}
	}
	return n
}

// Unreconciled counts the machines of a held block on which earlier holders' tasks
// may run.
func (c *Core) Unreconciled(k int) int {
	if shard := c.owned[k]; shard != nil {
		return len(shard.reconciler.Unreconciled())
	}
	return 0
}
