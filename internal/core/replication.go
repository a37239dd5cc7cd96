package core

import (
	"net/http"
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/replication"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/transfer"
)

// Messages between controllers of what an owner starts, see package replication.
type (
	// ReplicationMessage tells a standby what may have been started.
	ReplicationMessage = replication.Message
	// ReplicationAck answers ReplicationMessage.
	ReplicationAck = replication.Ack
)

// replicationHost is the owner of a shard, for the stream to its standby.
type replicationHost struct {
	*Core
	shard *ownedShard
}

// startReply is the response to a heartbeat, with something to start.
type startReply struct {
	req    RequestID
	orders HeartbeatResponse
}

// Candidate implements replication.Host. A zone that is lost takes all in it with it: whoever
// follows is in another one, where that can be.
func (f replicationHost) Candidate() string {
	best, bestCost := "", 4
	names := f.everyone()
	at := slices.Index(names, f.cfg.Node)
	for i := range names {
		n := names[(at+i)%len(names)]
		if n == f.cfg.Node || !f.Eligible(n) || f.stateAge() > peering.ServedTimeout {
			continue
		}
		cost := 0
		if z := f.cfg.PeerZones[n]; z == f.cfg.HomeZone {
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

// Eligible implements replication.Host.
func (f replicationHost) Eligible(n string) bool {
	return f.peers.Alive(f.now, n) && f.membership.CurrentID(n) != 0 && f.peers.Release(n) >= peering.ReleaseReplication && !f.peerUnreachable(n)
}

// Send implements replication.Host.
func (f replicationHost) Send(to string, m replication.Message) { f.emit(SendPeer{to, m}) }

// Machines implements replication.Host. Tasks may run on one that is being returned until the
// cloud has answered.
func (f replicationHost) Machines() []string {
	var out []string
	for _, name := range sortedKeys(f.shard.reconciler.Machines()) {
		if len(f.shard.reconciler.Machine(name).Tasks) > 0 {
			out = append(out, name)
		}
	}
	return out
}

// SnapshotMachine implements replication.Host. A machine that is not there was returned: nothing is on it.
func (f replicationHost) SnapshotMachine(name string) replication.MachineSnapshot {
	if m := f.shard.reconciler.Machine(name); m != nil {
		return transfer.MachineSnapshot(m)
	}
	return replication.MachineSnapshot{Name: name}
}

// UnstoredTasks implements replication.Host.
func (f replicationHost) UnstoredTasks() (out []FinishedTasks) {
	for _, id := range sortedKeys(f.shard.active) {
		if tasks := transfer.UnstoredTasks(f.shard.active[id]); len(tasks) > 0 {
			out = append(out, FinishedTasks{Job: id, Tasks: tasks})
		}
	}
	return out
}

// Store implements replication.Host.
func (f replicationHost) Store(r replication.Record, done func(bool)) {
	key := keys.Standby(f.shard.number)
	guards := []store.Guard{{Key: assignmentKey(f.shard.number), Version: f.shard.assignment}}
	if r.Node != "" {
		// That nobody follows is written over whatever is there; that somebody does must not
		// come after it.
		guards = append(guards, store.Guard{Key: key, Version: f.cache.Version(key)})
	}
	f.queues[ControlQueue].Add(&store.Write{Guards: guards, Changes: []store.Change{{Key: key, Value: store.Value(r)}}, First: true,
		Done: func(o store.Outcome, _ uint64) {
			if o == store.OK {
				f.log.Info("standby stored", "shard", f.shard.number, "standby", r.Node)
			}
			done(o == store.OK)
		}})
}

// Answer implements replication.Host.
func (f replicationHost) Answer(a any, ok bool) {
	x := a.(startReply)
	if ok && f.owned[f.shard.number] == f.shard && f.Owns(f.now, f.shard.number) {
		f.reply(x.req, http.StatusOK, x.orders)
		return
	}
	f.reply(x.req, http.StatusServiceUnavailable, Problem{"no authority at present"})
}

// answerHeartbeat answers a heartbeat. A response that starts something waits until the standby knows.
func (c *Core) answerHeartbeat(shard *ownedShard, m *fleet.Machine, req RequestID, o HeartbeatResponse) {
	starts := slices.ContainsFunc(o.Commands, func(x fleet.Command) bool { return x.Op == fleet.Start })
	if !starts || !c.guarded(guard.StandbyAcknowledged) || !shard.replication.DeferAnswer(c.now, m.Name, startReply{req, o}) {
		c.reply(req, http.StatusOK, o)
	}
}
