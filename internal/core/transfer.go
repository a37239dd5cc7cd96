package core

import (
	"encoding/json"
	"net/http"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/reconcile"
	"shalestage.example/shalestage/internal/core/replication"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/transfer"
)

// Messages that tell the next owner of a shard what may run on its machines; see package transfer.
type (
	// SnapshotMessage is one part of a shard's snapshot.
	SnapshotMessage = transfer.Message
	// MachineSnapshot is what may run on one machine.
	MachineSnapshot = replication.MachineSnapshot
	// FinishedTasks are the finished tasks of a job that are not stored yet.
	FinishedTasks = replication.FinishedTasks
)

// SnapshotMessageSize bounds the size of one SnapshotMessage, counted in tasks and machines.
const SnapshotMessageSize = transfer.MessageSize

// MaxShardMachines is the maximum number of machines that a shard may be configured for.
const MaxShardMachines = replication.MaxMachines

// sendSnapshot sends the snapshot of a shard that is being released to all controllers that can use it, as
// the leader has yet to decide which of them gets the shard.
func (c *Core) sendSnapshot(shard *ownedShard) {
	if !shard.ready || len(shard.reconciler.Unreconciled()) > 0 {
		return
	}
	var receivers []string
	for _, name := range c.peers.Names() {
		if c.peers.Release(name) >= peering.ReleaseTransfers && c.peers.Alive(c.now, name) {
			receivers = append(receivers, name)
		}
	}
	released := transfer.Shard{Number: shard.number, FencingToken: shard.fencingToken, Jobs: shard.active, Machines: shard.reconciler.Machines()}
	for _, part := range released.Messages() {
		for _, name := range receivers {
			c.emit(SendPeer{name, part})
		}
	}
}

// transferHost implements transfer.Host: it restores the last owner's snapshot into a shard of its next owner.
type transferHost struct {
	*Core
	shard *ownedShard
}

// Machines implements transfer.Host.
func (h transferHost) Machines() map[string]*fleet.Machine { return h.shard.reconciler.Machines() }

// ActiveJob implements transfer.Host.
func (h transferHost) ActiveJob(id string) *jobs.Job { return h.shard.active[id] }

// RestoreMachine implements transfer.Host.
func (h transferHost) RestoreMachine(machine *fleet.Machine, last replication.MachineSnapshot) {
	h.shard.reconciler.Restore(h.now, machine, reconcile.Snapshot{Addr: last.Addr, Incarnation: last.Session, Seq: last.Seq, Tasks: last.Tasks})
}

// TaskFinished implements transfer.Host.
func (h transferHost) TaskFinished(job *jobs.Job, task int) { h.shard.writer.TaskFinished(job, task) }

// applyStandby applies the stored standby of a shard.
func (c *Core) applyStandby(event store.Event) error {
	shard, err := keys.Shard(event.Key, keys.StandbyPrefix)
	if err != nil {
		return err
	}
	var record replication.Record
	if event.Value != nil {
		if err := json.Unmarshal(event.Value, &record); err != nil {
			return err
		}
	}
	c.transfers.ApplyStandby(shard, record)
	return nil
}

// standbyOf returns the standby that knows everything that the last owner of a shard
// started, or "" if none is stored.
func (c *Core) standbyOf(shard int) string {
	last := c.shardRecords.Assignment(shard)
	return c.transfers.StandbyOf(shard, authority.FencingToken(last.Term, last.Number))
}

// receiveReplication handles a replication message from the owner of a shard, and acknowledges it.
func (c *Core) receiveReplication(from string, message ReplicationMessage) {
	if message.Block < 0 || message.Block >= keys.MaxShards || c.shardRecords.Assignment(message.Block).Node != from {
		return
	}
	ack := c.transfers.ReceiveReplication(message, func(id string, task int) bool {
		job := c.jobs.Get(id)
		return job == nil || !job.Active() || job.IsStored(task)
	})
	c.emit(SendPeer{from, ack})
}

// redirectPending answers the heartbeats that are pending while a shard is being
// released. It redirects them to the shard's next owner if that is known.
func (c *Core) redirectPending(shard *ownedShard) {
	to := c.ownerOf(shard.number)
	for _, request := range shard.reconciler.DrainPending() {
		if to == "" {
			c.reply(RequestID(request), http.StatusServiceUnavailable, Problem{"no authority at present"})
		} else {
			c.reply(RequestID(request), http.StatusMisdirectedRequest, Redirect{to})
		}
	}
}
