package core

import (
	"context"
	"log/slog"
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
func (h replicationHost) Candidate() string {
	best, bestCost := "", 4
	names := h.controllerNames()
	self := slices.Index(names, h.cfg.Node)
	for i := range names {
		node := names[(self+i)%len(names)]
		if node == h.cfg.Node || !h.Eligible(node) || h.stateAge() > peering.ServedTimeout {
			continue
		}
		cost := 0
		if zone := h.cfg.PeerZones[node]; zone == h.cfg.HomeZone {
			cost += 2
		} else if !h.zones.Reachable(zone) {
			cost++
		}
		if cost < bestCost {
			best, bestCost = node, cost
		}
	}
	return best
}

// Eligible implements replication.Host.
func (h replicationHost) Eligible(node string) bool {
	return h.peers.Alive(h.now, node) && h.membership.CurrentID(node) != 0 && h.peers.Release(node) >= peering.ReleaseReplication && !h.peerUnreachable(node)
}

// Send implements replication.Host.
func (h replicationHost) Send(to string, message replication.Message) { h.emit(SendPeer{to, message}) }

// Machines implements replication.Host. It includes machines that are being
// deprovisioned, as tasks may run on them until the cloud has answered.
func (h replicationHost) Machines() []string {
	var out []string
	for _, name := range sortedKeys(h.shard.reconciler.Machines()) {
		if len(h.shard.reconciler.Machine(name).Tasks) > 0 {
			out = append(out, name)
		}
	}
	return out
}

// SnapshotMachine implements replication.Host. An unknown machine was deprovisioned,
// so that no task runs on it.
func (h replicationHost) SnapshotMachine(name string) replication.MachineSnapshot {
	if machine := h.shard.reconciler.Machine(name); machine != nil {
		return transfer.MachineSnapshot(machine)
	}
	return replication.MachineSnapshot{Name: name}
}

// UnstoredTasks implements replication.Host.
func (h replicationHost) UnstoredTasks() (out []FinishedTasks) {
	for _, id := range sortedKeys(h.shard.active) {
		if tasks := transfer.UnstoredTasks(h.shard.active[id]); len(tasks) > 0 {
			out = append(out, FinishedTasks{Job: id, Tasks: tasks})
		}
	}
	return out
}

// Store implements replication.Host.
func (h replicationHost) Store(record replication.Record, done func(bool)) {
	key := keys.Standby(h.shard.number)
	guards := []store.Guard{{Key: assignmentKey(h.shard.number), Version: h.shard.assignment}}
	if record.Node != "" {
		// The record that there is no standby overwrites any other record, so it is guarded by the assignment
		// alone. A record that names a standby must not overwrite a later record.
		guards = append(guards, store.Guard{Key: key, Version: h.cache.Version(key)})
	}
	h.queues[ControlQueue].Add(&store.Write{Guards: guards, Changes: []store.Change{{Key: key, Value: store.Value(record)}}, First: true,
		Done: func(outcome store.Outcome, _ uint64) {
			if outcome == store.OK {
				h.log.Info("standby stored", "shard", h.shard.number, "standby", record.Node)
			}
			done(outcome == store.OK)
		}})
}

// Answer implements replication.Host.
func (h replicationHost) Answer(answer any, ok bool) {
	deferred := answer.(deferredResponse)
	if ok && h.owned[h.shard.number] == h.shard && h.Owns(h.now, h.shard.number) {
		h.reply(deferred.request, http.StatusOK, deferred.response)
		return
	}
	h.log.Debug("deferred heartbeat response dropped", "shard", h.shard.number, "token", deferred.response.FencingToken, "acknowledged", ok)
	h.reply(deferred.request, http.StatusServiceUnavailable, Problem{"no authority at present"})
}

// answerHeartbeat answers a heartbeat. A response that starts a task is deferred until
// the standby has acknowledged the start.
func (c *Core) answerHeartbeat(shard *ownedShard, machine *fleet.Machine, request RequestID, response HeartbeatResponse) {
	starts := slices.ContainsFunc(response.Commands, func(command fleet.Command) bool { return command.Op == fleet.Start })
	if starts {
		c.logStarts(machine, response)
	}
	if !starts || !c.guardEnabled(guard.StandbyAcknowledged) || !shard.replication.DeferAnswer(c.now, machine.Name, deferredResponse{request, response}) {
		c.reply(request, http.StatusOK, response)
	}
}

// logStarts logs the tasks that a response starts, and for how long this controller may still answer machines.
func (c *Core) logStarts(machine *fleet.Machine, response HeartbeatResponse) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	validFor := (c.ValidUntil() - c.now).Seconds()
	for _, command := range response.Commands {
		if command.Op == fleet.Start {
			c.log.Debug("starting task", "task", command.ID.String(), "machine", machine.Name, "attempt", command.Attempt, "token", response.FencingToken, "valid_for_s", validFor)
		}
	}
}
