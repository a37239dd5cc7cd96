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

// Messages that replicate what a shard's owner starts to its standby; see package replication.
type (
	// ReplicationMessage tells a standby which tasks may have been started.
	ReplicationMessage = replication.Message
	// ReplicationAck acknowledges a ReplicationMessage.
	ReplicationAck = replication.Ack
)

// replicationHost implements replication.Host: it gives the replication to a shard's
// standby access to the shard.
type replicationHost struct {
	*Core
	shard *ownedShard
}

// deferredResponse is a heartbeat response that starts a task and waits until the standby has acknowledged it.
type deferredResponse struct {
	request  RequestID
	response HeartbeatResponse
}

// Candidate implements replication.Host. It prefers a standby in another zone, so that
// the loss of a zone does not take both the owner and its standby.
func (f replicationHost) Candidate() string {
	best, bestCost := "", 4
	names := f.controllerNames()
	self := slices.Index(names, f.cfg.Node)
	for i := range names {
		node := names[(self+i)%len(names)]
		if node == f.cfg.Node || !f.Eligible(node) || f.stateAge() > peering.ServedFor {
			continue
		}
		cost := 0
		if zone := f.cfg.PeerZones[node]; zone == f.cfg.HomeZone {
			cost += 2
		} else if !f.zones.Reachable(zone) {
			cost++
		}
		if cost < bestCost {
			best, bestCost = node, cost
		}
	}
	return best
}

// Eligible implements replication.Host.
func (f replicationHost) Eligible(node string) bool {
	return f.peers.Alive(f.now, node) && f.membership.CurrentID(node) != 0 && f.peers.Release(node) >= peering.ReleaseReplicates && !f.peerUnreachable(node)
}

// Send implements replication.Host.
func (f replicationHost) Send(to string, message replication.Message) { f.emit(SendPeer{to, message}) }

// Machines implements replication.Host. It includes machines that are being
// deprovisioned, as tasks may run on them until the cloud has answered.
func (f replicationHost) Machines() []string {
	var out []string
	for _, name := range sortedKeys(f.shard.reconciler.Machines()) {
		if len(f.shard.reconciler.Machine(name).Tasks) > 0 {
			out = append(out, name)
		}
	}
	return out
}

// SnapshotMachine implements replication.Host. An unknown machine was deprovisioned,
// so that no task runs on it.
func (f replicationHost) SnapshotMachine(name string) replication.MachinePicture {
	if machine := f.shard.reconciler.Machine(name); machine != nil {
		return transfer.MachineSnapshot(machine)
	}
	return replication.MachinePicture{Name: name}
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
func (f replicationHost) Store(record replication.Record, done func(bool)) {
	key := keys.Standby(f.shard.number)
	guards := []store.Guard{{Key: assignmentKey(f.shard.number), Version: f.shard.assignment}}
	if record.Node != "" {
		// The record that there is no standby overwrites any other record, so it is guarded by the assignment
		// alone. A record that names a standby must not overwrite a later record.
		guards = append(guards, store.Guard{Key: key, Version: f.cache.Version(key)})
	}
	f.queues[ControlQueue].Add(&store.Write{Guards: guards, Changes: []store.Change{{Key: key, Value: store.Value(record)}}, First: true,
		Done: func(outcome store.Outcome, _ uint64) {
			if outcome == store.OK {
				f.log.Info("standby stored", "shard", f.shard.number, "standby", record.Node)
			}
			done(outcome == store.OK)
		}})
}

// Answer implements replication.Host.
func (f replicationHost) Answer(answer any, ok bool) {
	deferred := answer.(deferredResponse)
	if ok && f.owned[f.shard.number] == f.shard && f.Owns(f.now, f.shard.number) {
		f.reply(deferred.request, http.StatusOK, deferred.response)
		return
	}
	f.reply(deferred.request, http.StatusServiceUnavailable, Problem{"no authority at present"})
}

// answerHeartbeat answers a heartbeat. A response that starts a task is deferred until
// the standby has acknowledged the start.
func (c *Core) answerHeartbeat(shard *ownedShard, machine *fleet.Machine, request RequestID, response HeartbeatResponse) {
	starts := slices.ContainsFunc(response.Commands, func(command fleet.Command) bool { return command.Op == fleet.Start })
	if !starts || !c.guardEnabled(guard.StandbyAcknowledged) || !shard.replication.DeferAnswer(c.now, machine.Name, deferredResponse{request, response}) {
		c.reply(request, http.StatusOK, response)
	}
}
