package core

import (
	"encoding/json"
	"net/http"
	"slices"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/replication"
	"shalestage.example/shalestage/internal/core/store"
)

// What controllers tell each other of starts, see package follow.
type (
	// PeerStarts tells a follower what may have been started; PeerKnown answers it.
	PeerStarts = replication.Message
	PeerKnown  = replication.Ack
)

// replicationHost is what a block does for those that follow it.
type replicationHost struct {
	*Core
	bl *ownedShard
}

// startReply is an answer to a report, with something to start.
type startReply struct {
	req    RequestID
	orders HeartbeatResponse
}

// Candidate implements follow.Host. A zone that is lost takes all in it with it: whoever
// follows is in another one, where that can be.
func (f replicationHost) Candidate() string {
	best, bestCost := "", 4
	names := f.everyone()
	at := slices.Index(names, f.cfg.Node)
	for i := range names {
		n := names[(at+i)%len(names)]
		if n == f.cfg.Node || !f.Eligible(n) || f.stateAge() > stateFresh {
			continue
		}
		cost := 0
		if z := f.cfg.PeerZones[n]; z == f.cfg.Home {
			cost += 2
		} else if !f.zones.Reachable(z) {
			cost++
		}
		if cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}

// Eligible implements follow.Host.
func (f replicationHost) Eligible(n string) bool {
	return f.alive(f.peers.views[n]) && f.membership.Current(n) != 0 && f.releases[n] >= releaseReplicates && !f.peerUnreachable(n)
}

// Send implements follow.Host.
func (f replicationHost) Send(to string, m replication.Message) { f.emit(SendPeer{to, m}) }

// Machines implements follow.Host. Tasks may run on one that is being returned until the
// cloud has answered.
func (f replicationHost) Machines() []string {
	var out []string
	for _, name := range sortedKeys(f.bl.reconciler.Machines()) {
		if len(f.bl.reconciler.Machine(name).Tasks) > 0 {
			out = append(out, name)
		}
	}
	return out
}

// SnapshotMachine implements follow.Host. A machine that is not there was returned: nothing is on it.
func (f replicationHost) SnapshotMachine(name string) replication.MachinePicture {
	if m := f.bl.reconciler.Machine(name); m != nil {
		return drawMachine(m)
	}
	return replication.MachinePicture{Name: name}
}

func drawMachine(m *fleet.Machine) MachinePicture {
	p := MachinePicture{Name: m.Name, Addr: m.Addr, Session: m.Incarnation, Seq: m.Seq}
	for _, id := range m.TaskIDs() {
		p.Tasks = append(p.Tasks, fleet.Task{ID: id, Attempt: m.Tasks[id].Number, State: m.Tasks[id].State})
	}
	return p
}

// UnstoredTasks implements follow.Host.
func (f replicationHost) UnstoredTasks() (out []TasksDone) {
	for _, id := range sortedKeys(f.bl.active) {
		if tasks := unstored(f.bl.active[id]); len(tasks) > 0 {
			out = append(out, TasksDone{Job: id, Tasks: tasks})
		}
	}
	return out
}

// unstored are the tasks of a job that are done and not stored as such.
func unstored(j *jobs.Job) (out []int) {
	if j.DirtySince == 0 && !j.AllFinished() {
		return nil // all that is done is stored
	}
	for t := range j.Record.Tasks {
		if j.IsFinished(t) && !j.IsStored(t) {
			out = append(out, t)
		}
	}
	return out
}

// Store implements follow.Host.
func (f replicationHost) Store(r replication.Record, done func(bool)) {
	key := standbyKey(f.bl.number)
	guards := []store.Guard{{Key: assignmentKey(f.bl.number), Version: f.bl.assignment}}
	if r.Node != "" {
		// That nobody follows is written over whatever is there; that somebody does must not
		// come after it.
		guards = append(guards, store.Guard{Key: key, Version: f.cache.Version(key)})
	}
	f.queues[ControlQueue].Add(&store.Write{Guards: guards, Changes: []store.Change{{Key: key, Value: store.Value(r)}}, First: true,
		Done: func(o store.Outcome, _ uint64) {
			if o == store.OK {
				f.log.Info("followed", "block", f.bl.number, "by", r.Node)
			}
			done(o == store.OK)
		}})
}

// Answer implements follow.Host.
func (f replicationHost) Answer(a any, ok bool) {
	x := a.(startReply)
	if ok && f.owned[f.bl.number] == f.bl && f.Owns(f.now, f.bl.number) {
		f.reply(x.req, http.StatusOK, x.orders)
		return
	}
	f.reply(x.req, http.StatusServiceUnavailable, Problem{"no authority at present"})
}

// answerHeartbeat answers a report. One that starts something waits until whoever follows knows.
func (c *Core) answerHeartbeat(shard *ownedShard, m *fleet.Machine, req RequestID, o HeartbeatResponse) {
	starts := slices.ContainsFunc(o.Commands, func(x fleet.Command) bool { return x.Op == fleet.Start })
	if !starts || !c.guarded(guard.StandbyKnows) || !shard.replication.DeferAnswer(c.now, m.Name, startReply{req, o}) {
		c.reply(req, http.StatusOK, o)
	}
}

func standbyKey(k int) string { return keys.Standby(k) }

// learnFollow takes who follows a block. A stream of a holder that has somebody else follow
// it, or nobody, is of no use any more.
func (c *Core) learnFollow(e store.Event) error {
	k, err := shardNumber(e.Key, standbyPrefix)
	if err != nil {
		return err
	}
	var r replication.Record
	if e.Value != nil {
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return err
		}
	}
	c.standbys[k] = r
	return nil
}

// standbyOf names who knows all that the last holder of a block has started; "" if nobody
// is stored to.
func (c *Core) standbyOf(k int) string {
	if g, r := c.shardRecords.Assignment(k), c.standbys[k]; r.Token == authority.FencingToken(g.Term, g.Number) {
		return r.Node
	}
	return ""
}

// takeReplicated returns the picture of a block that was followed here up to the end of the
// grant before this one, or nil.
func (c *Core) takeReplicated(shard *ownedShard) *shardSnapshot {
	defer c.standby.Forget(shard.number)
	r := c.standbys[shard.number]
	if after := c.shardRecords.Assignment(shard.number).PreviousToken; after == 0 || after != r.Token {
		return nil // somebody else has held it since, or an older release granted it
	}
	machines, done, ok := c.standby.Snapshot(shard.number, c.cfg.Node, r)
	if !ok {
		return nil
	}
	return &shardSnapshot{fencingToken: r.Token, machines: machines, done: done, whole: true}
}

// receiveStarts takes what a holder has started.
func (c *Core) receiveStarts(from string, m PeerStarts) {
	if m.Block < 0 || m.Block >= maxShards || c.shardRecords.Assignment(m.Block).Node != from {
		return
	}
	a := c.standby.Receive(m, func(job string, task int) bool {
		j := c.jobs.Get(job)
		return j == nil || !j.Active() || j.IsStored(task)
	})
	c.emit(SendPeer{from, a})
}
