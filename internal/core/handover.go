package core

import (
	"net/http"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/liveness"
	"shalestage.example/shalestage/internal/core/reconcile"
	"shalestage.example/shalestage/internal/core/replication"
	"shalestage.example/shalestage/internal/core/units"
)

// A holder that gives a block up while its seat stands hands on its picture: what may run on
// each machine that is accounted for. It answers no worker any more from before the picture
// is drawn, so that nothing is missing in it. The next holder uses it only where the block's
// record says that it follows on that grant, with none between: then it need not wait until
// every machine has reported, and tasks start with a machine's first report. What is not in
// the picture, or whose part of it was lost on the way, is unaccounted for as ever.

type (
	// PeerPicture is a part of a holder's picture of a block.
	PeerPicture struct {
		Block    int
		Token    uint64 // under which it was drawn
		Machines []MachinePicture
		Done     []TasksDone // and are not stored as done yet
	}
	// TasksDone and MachinePicture are parts of a picture.
	TasksDone      = replication.TasksDone
	MachinePicture = replication.MachinePicture
)

const (
	// PictureTasks bounds one part, which must fit into a frame between controllers.
	PictureTasks = 400
	// maxPicture bounds the machines that are remembered of a picture.
	maxPicture = 1 << 16
)

// shardSnapshot is what was handed on for a block.
type shardSnapshot struct {
	fencingToken uint64
	machines     map[string]MachinePicture
	done         []TasksDone
	whole        bool // on machines that are not in it, nothing can be
}

// sendSnapshot sends the picture of a block that is being given up to all that can use it: who
// gets the block is the leader's to decide.
func (c *Core) sendSnapshot(shard *ownedShard) {
	if !shard.ready || len(shard.reconciler.Unreconciled()) > 0 {
		return
	}
	var to []string
	for _, n := range c.peers.names {
		if c.releases[n] >= releaseTransfers && c.alive(c.peers.views[n]) {
			to = append(to, n)
		}
	}
	part := PeerPicture{Block: shard.number, Token: shard.fencingToken}
	size := 0
	send := func() {
		for _, n := range to {
			c.emit(SendPeer{n, part})
		}
		part.Machines, part.Done, size = nil, nil, 0
	}
	for _, id := range sortedKeys(shard.active) {
		// The rest would be done once more: machines show what has ended only with their
		// next report.
		for tasks := unstored(shard.active[id]); len(tasks) > 0; {
			if size >= PictureTasks {
				send()
			}
			n := min(len(tasks), PictureTasks-size)
			part.Done, size = append(part.Done, TasksDone{Job: id, Tasks: tasks[:n:n]}), size+n
			tasks = tasks[n:]
		}
	}
	for _, name := range sortedKeys(shard.reconciler.Machines()) {
		m := shard.reconciler.Machine(name)
		// One that has just come up has not shown the token yet; as all that earlier holders
		// left is accounted for, nothing can be on it, unless nobody knows who rented it.
		if m.Deprovisioning || m.Lost || !m.Record.Up || !m.Reconciled && isOrphanKey(m.Group) {
			continue
		}
		p := drawMachine(m)
		if size > 0 && size+len(p.Tasks)+4 > PictureTasks {
			send()
		}
		part.Machines, size = append(part.Machines, p), size+len(p.Tasks)+4
	}
	send()
}

// receiveSnapshot takes a part of a picture.
func (c *Core) receiveSnapshot(m PeerPicture) {
	if m.Block < 0 || m.Block >= maxShards {
		return
	}
	p := c.snapshots[m.Block]
	if p == nil || p.fencingToken < m.Token {
		p = &shardSnapshot{fencingToken: m.Token, machines: map[string]MachinePicture{}}
		c.snapshots[m.Block] = p
	}
	if p.fencingToken != m.Token || len(p.machines)+len(m.Machines)+len(p.done)+len(m.Done) > maxPicture {
		return
	}
	p.done = append(p.done, m.Done...)
	for _, x := range m.Machines {
		p.machines[x.Name] = x
	}
}

// takeSnapshot returns what was handed on with the grant of a block, and forgets it.
func (c *Core) takeSnapshot(shard *ownedShard) *shardSnapshot {
	p := c.snapshots[shard.number]
	delete(c.snapshots, shard.number)
	if f := c.takeReplicated(shard); f != nil {
		return f
	}
	if from := c.shardRecords.Assignment(shard.number).TransferredFrom; p == nil || from == 0 || p.fencingToken != from {
		return &shardSnapshot{}
	}
	return p
}

// covers reports whether nothing can be on machines of a group that the picture does not
// show. On one that nobody is known to have rented, anybody may have started anything.
func (p *shardSnapshot) covers(group string) bool { return p.whole && !isOrphanKey(group) }

// restore takes in a whole picture, and returns of how many machines it tells.
func (c *Core) restore(shard *ownedShard, p *shardSnapshot) int {
	n := 0
	for _, name := range sortedKeys(shard.reconciler.Machines()) {
		m := shard.reconciler.Machine(name)
		if x, ok := p.machines[name]; m.Record.Up && (ok || p.covers(m.Group)) {
			c.restoreMachine(shard, m, x)
			n++
		}
	}
	for _, d := range p.done {
		for _, t := range d.Tasks {
			if j := shard.active[d.Job]; j != nil && t >= 0 && t < j.Record.Tasks && !j.IsFinished(t) {
				shard.writer.TaskFinished(j, t)
			}
		}
	}
	return n
}

// restoreMachine takes in what may be on a machine by the last holder's word.
func (c *Core) restoreMachine(shard *ownedShard, m *fleet.Machine, p MachinePicture) {
	shard.reconciler.Restore(c.now, m, reconcile.Snapshot{Addr: p.Addr, Incarnation: p.Session, Seq: p.Seq, Tasks: p.Tasks})
}

// retireWithin is how long a controller that ends on purpose may take to hand on what it
// holds.
const retireWithin = 3 * units.Second

// Retire has this controller give up all that it holds, as its process is about to end on
// purpose. Users' requests are still answered, and workers sent on.
func (c *Core) Retire(now units.Microseconds) {
	c.advance(now)
	if c.retiringSince == 0 {
		c.retiringSince = max(c.now, 1)
		c.log.Info("retiring", "blocks", len(c.owned))
	}
	for _, k := range sortedShards(c.owned) {
		c.release(c.owned[k], "this controller is about to end")
	}
}

// Retired reports whether the process of a controller that retires may end: everything is
// another's, and each worker has had the time to report once more and be sent on. One that
// finds nobody here tries the next controller a second later.
func (c *Core) Retired(now units.Microseconds) bool {
	c.advance(now)
	switch {
	case c.retiringSince == 0:
		return false
	case len(c.owned) > 0:
		c.emptySince = 0
		return now-c.retiringSince > retireWithin
	case c.emptySince == 0:
		c.emptySince = c.now
	}
	return !c.reachability.Any() || now-c.emptySince > liveness.HeartbeatDeadline(c.cfg.HeartbeatInterval)
}

// Leave gives up the seat, so that nobody waits for its lease to end. The process ends.
func (c *Core) Leave(now units.Microseconds) {
	c.advance(now)
	if c.membership.ID() != 0 {
		c.emit(CloseLease{ID: c.membership.LeaseID()})
	}
}

// redirectPending answers the reports that wait while a block is given up: by the block's next
// holder, once that is known.
func (c *Core) redirectPending(shard *ownedShard) {
	to := c.ownerOf(shard.number)
	for _, request := range shard.reconciler.TakePending() {
		if to == "" {
			c.reply(RequestID(request), http.StatusServiceUnavailable, Problem{"no authority at present"})
		} else {
			c.reply(RequestID(request), http.StatusMisdirectedRequest, Redirect{to})
		}
	}
}
