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

// Messages between controllers of what may run on a shard's machines, see package transfer.
type (
	// SnapshotMessage is a part of a shard's snapshot.
	SnapshotMessage = transfer.Message
	// MachineSnapshot is what may run on one machine.
	MachineSnapshot = replication.MachinePicture
	// FinishedTasks are finished tasks of a job that are not stored yet.
	FinishedTasks = replication.TasksDone
)

// SnapshotMessageSize bounds the tasks and machines in one message.
const SnapshotMessageSize = transfer.MessageSize

// MaxShardMachines is the most machines that a shard may be set to carry.
const MaxShardMachines = replication.MaxMachines

// sendSnapshot sends the snapshot of a shard that is being released to all that can use it: who
// gets the shard is the leader's to decide.
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

// transferHost is the next owner of a shard, for the snapshot of the last one.
type transferHost struct {
	*Core
	shard *ownedShard
}

// Machines implements transfer.Host.
func (h transferHost) Machines() map[string]*fleet.Machine { return h.shard.reconciler.Machines() }

// ActiveJob implements transfer.Host.
func (h transferHost) ActiveJob(id string) *jobs.Job { return h.shard.active[id] }

// RestoreMachine implements transfer.Host.
func (h transferHost) RestoreMachine(machine *fleet.Machine, last replication.MachinePicture) {
	h.shard.reconciler.Restore(h.now, machine, reconcile.Snapshot{Addr: last.Addr, Incarnation: last.Session, Seq: last.Seq, Tasks: last.Tasks})
}

// TaskFinished implements transfer.Host.
func (h transferHost) TaskFinished(job *jobs.Job, task int) { h.shard.writer.TaskFinished(job, task) }

// learnStandby takes who stands by for the owner of a shard.
func (c *Core) learnStandby(e store.Event) error {
	shard, err := keys.Shard(e.Key, keys.StandbyPrefix)
	if err != nil {
		return err
	}
	var record replication.Record
	if e.Value != nil {
		if err := json.Unmarshal(e.Value, &record); err != nil {
			return err
		}
	}
	c.transfers.LearnStandby(shard, record)
	return nil
}

// standbyOf names who knows all that the last owner of a shard has started; "" if nobody is
// stored to.
func (c *Core) standbyOf(shard int) string {
	last := c.shardRecords.Assignment(shard)
	return c.transfers.StandbyOf(shard, authority.FencingToken(last.Term, last.Number))
}

// receiveStarts takes what the owner of a shard has started.
func (c *Core) receiveStarts(from string, m ReplicationMessage) {
	if m.Block < 0 || m.Block >= keys.MaxShards || c.shardRecords.Assignment(m.Block).Node != from {
		return
	}
	ack := c.transfers.ReceiveStarts(m, func(id string, task int) bool {
		job := c.jobs.Get(id)
		return job == nil || !job.Active() || job.IsStored(task)
	})
	c.emit(SendPeer{from, ack})
}

// redirectPending answers the heartbeats that wait while a shard is being released: by the shard's next
// owner, once that is known.
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
