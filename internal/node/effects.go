package node

import (
	"context"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/wire"
)

// execute runs one effect of the core without blocking. Requests to external services run in goroutines of
// their own; the core has only a few in flight.
func (n *Node) execute(ctx context.Context, effect core.Effect) {
	switch effect := effect.(type) {
	case core.Reply:
		if replies, ok := n.pendingReplies[effect.Request]; ok {
			delete(n.pendingReplies, effect.Request)
			replies <- effect
		}
	case core.SendPeer:
		n.peers.Send(effect.Node, effect.Message)
	case core.CloudBudget:
		n.cloud.SetBudgetFraction(effect.Fraction)
	case core.Commit:
		n.commit(ctx, effect)
	case core.Abandon:
		if cancel := n.pendingCommits[effect.Txn]; cancel != nil {
			cancel()
		}
	case core.CloseLease:
		n.inFlightCalls.Go(func() { n.state.CloseLease(ctx, effect.ID) })
	case core.FetchTypes, core.ScaleOut, core.ScaleIn, core.ListMachines, core.Probe:
		n.inFlightCalls.Go(func() { n.enqueue(ctx, n.callMachines(ctx, effect)) })
	default:
		n.inFlightCalls.Go(func() { n.enqueue(ctx, n.callState(ctx, effect)) })
	}
}

// commit sends a transaction and waits in the background for the response, or until core.Abandon cancels it.
func (n *Node) commit(ctx context.Context, effect core.Commit) {
	callCtx, cancel := context.WithCancel(ctx)
	n.pendingCommits[effect.Txn] = cancel
	n.inFlightCalls.Go(func() {
		outcome, revision, failed := n.state.Commit(callCtx, effect.Txn)
		n.enqueue(ctx, func(c *core.Core, now units.Microseconds) {
			cancel()
			delete(n.pendingCommits, effect.Txn)
			c.OnCommit(now, effect.Queue, effect.Txn, outcome, revision, failed)
		})
	})
}

// callState sends a request to the state service and returns a message that passes the outcome to the core.
func (n *Node) callState(ctx context.Context, effect core.Effect) message {
	switch effect := effect.(type) {
	case core.List:
		outcome, revision, items, more := n.state.List(ctx, core.Root, effect.After, core.ListPageSize)
		return func(c *core.Core, now units.Microseconds) { c.OnList(now, effect, outcome, revision, items, more) }
	case core.Watch:
		outcome, revision, events, compacted := n.state.Watch(ctx, core.Root, effect.After, effect.Wait)
		return func(c *core.Core, now units.Microseconds) {
			c.OnChanges(now, effect, outcome, revision, events, compacted)
		}
	case core.ReadKey:
		outcome, value, version, revision := n.state.Get(ctx, effect.Key)
		return func(c *core.Core, now units.Microseconds) { c.OnKey(now, effect, outcome, value, version, revision) }
	case core.ScanKeys:
		outcome, _, items, more := n.state.List(ctx, archive.Prefix, effect.After, effect.Page)
		return func(c *core.Core, now units.Microseconds) { c.OnScan(now, effect, outcome, items, more) }
	case core.OpenLease:
		outcome, id := n.state.OpenLease(ctx, effect.TTL)
		return func(c *core.Core, now units.Microseconds) { c.OnLease(now, outcome, id) }
	case core.RenewLease:
		outcome := n.state.RenewLease(ctx, effect.ID)
		return func(c *core.Core, now units.Microseconds) { c.OnRenew(now, effect.ID, outcome) }
	}
	return func(*core.Core, units.Microseconds) { n.log.Error("unknown effect", "effect", effect) }
}

// callMachines sends a request to the cloud or to a machine and returns a message that passes the outcome to the
// core. Requests that act on machines are sent only while this controller has authority.
func (n *Node) callMachines(ctx context.Context, effect core.Effect) message {
	switch effect := effect.(type) {
	case core.FetchTypes:
		outcome, types := n.cloud.Types(ctx)
		return func(c *core.Core, now units.Microseconds) { c.OnTypes(now, outcome, types) }
	case core.ScaleOut:
		outcome, names := n.cloud.ScaleOut(ctx, effect.Request, effect.Increase, n.authorized)
		return func(c *core.Core, now units.Microseconds) { c.OnScaleOut(now, effect, outcome, names) }
	case core.ScaleIn:
		outcome := n.cloud.ScaleIn(ctx, effect.Names, n.authorized)
		return func(c *core.Core, now units.Microseconds) { c.OnScaleIn(now, effect, outcome) }
	case core.ListMachines:
		outcome, hosts := n.cloud.List(ctx)
		listed := make([]core.ListedMachine, 0, len(hosts))
		for _, h := range hosts {
			listed = append(listed, core.ListedMachine{Name: h.ID, Addr: h.Addr, Failed: h.State == wire.HostFailed, Age: units.Seconds(h.AgeS),
				Record: fleet.Record{Type: h.Type, Zone: h.Zone, Spot: h.Spot}})
		}
		return func(c *core.Core, now units.Microseconds) { c.OnListMachines(now, effect, outcome, listed) }
	case core.Probe:
		outcome, heartbeat := n.workers.Probe(ctx, effect.Addr, effect.FencingToken, effect.Incarnation, n.authorized)
		return func(c *core.Core, now units.Microseconds) { c.OnProbe(now, effect, outcome, heartbeat) }
	}
	return func(*core.Core, units.Microseconds) { n.log.Error("unknown effect", "effect", effect) }
}
