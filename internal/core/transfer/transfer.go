// Package transfer hands the state of a shard from its last owner to the next,
// so that the next owner need not wait until every machine has sent a heartbeat.
//
// An owner that releases a shard while its membership is valid sends a snapshot: the tasks that may run
// on each reconciled machine, and the tasks that are finished and not stored as such. It stops answering
// workers before the snapshot is made, so that the snapshot misses nothing. An owner that fails without
// releasing the shard has sent everything that it started to a standby (package replication).
//
// The next owner uses a snapshot of either kind only if its assignment directly follows the one under
// which the snapshot was made. If there was an assignment in between, another owner may have started
// anything since. Machines that are not in the snapshot, or whose part was lost, stay unreconciled.
package transfer

import (
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/replication"
)

// Message is one part of an owner's snapshot of a shard. Its field names
// are part of the protocol between controllers of different releases.
type Message struct {
	Block    int
	Token    uint64 // fencing token under which the snapshot was made
	Machines []replication.MachineSnapshot
	Done     []replication.FinishedTasks // finished tasks that are not stored as done yet
}

const (
	// MessageSize bounds the tasks and machines in one part, which must fit into a frame
	// between controllers. A machine counts as machineOverhead, plus one for each of its tasks.
	MessageSize     = 400
	machineOverhead = 4
	// maxSnapshotEntries bounds the machines and the lists of finished tasks
	// that are kept of a snapshot. Machines beyond it stay unreconciled.
	maxSnapshotEntries = replication.MaxMachines
)

// Shard is the state of a shard that its owner releases.
type Shard struct {
	Number       int
	FencingToken uint64
	Jobs         map[string]*jobs.Job // active jobs
	Machines     map[string]*fleet.Machine
}

// Messages returns a snapshot of a shard, split into messages.
func (s Shard) Messages() []Message {
	parts := &messageBuilder{next: Message{Block: s.Number, Token: s.FencingToken}}
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		// Without these, the next owner would run the tasks again: a
		// machine reports exited tasks only with its next heartbeat.
		parts.addTasks(id, UnstoredTasks(s.Jobs[id]))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Machines)) {
		if machine := s.Machines[name]; transferable(machine) {
			parts.addMachine(MachineSnapshot(machine))
		}
	}
	parts.finishMessage()
	return parts.done
}

// transferable reports whether everything that may run on a machine is known. A machine that has just come
// up has not confirmed this owner's fencing token yet. Nothing can run on it, because everything that
// earlier owners started is reconciled, unless the machine is orphaned: it is not known who provisioned it.
func transferable(machine *fleet.Machine) bool {
	if machine.Deprovisioning || machine.Lost || !machine.Record.Up {
		return false
	}
	return machine.Reconciled || !keys.IsOrphanMachine(machine.Group)
}

// messageBuilder splits a snapshot into messages.
type messageBuilder struct {
	done []Message
	next Message
	size int
}

func (p *messageBuilder) finishMessage() {
	p.done = append(p.done, p.next)
	p.next.Machines, p.next.Done, p.size = nil, nil, 0
}

func (p *messageBuilder) addTasks(job string, tasks []int) {
	for len(tasks) > 0 {
		if p.size >= MessageSize {
			p.finishMessage()
		}
		count := min(len(tasks), MessageSize-p.size)
		p.next.Done = append(p.next.Done, replication.FinishedTasks{Job: job, Tasks: tasks[:count:count]})
		p.size += count
		tasks = tasks[count:]
	}
}

func (p *messageBuilder) addMachine(machine replication.MachineSnapshot) {
	size := len(machine.Tasks) + machineOverhead
	if p.size > 0 && p.size+size > MessageSize {
		p.finishMessage()
	}
	p.next.Machines = append(p.next.Machines, machine)
	p.size += size
}

// MachineSnapshot returns the state of a machine: the tasks that may run on it.
func MachineSnapshot(machine *fleet.Machine) replication.MachineSnapshot {
	snapshot := replication.MachineSnapshot{Name: machine.Name, Addr: machine.Addr, Session: machine.Incarnation, Seq: machine.Seq}
	for _, id := range machine.TaskIDs() {
		attempt := machine.Tasks[id]
		snapshot.Tasks = append(snapshot.Tasks, fleet.Task{ID: id, Attempt: attempt.Number, State: attempt.State})
	}
	return snapshot
}

// UnstoredTasks returns the tasks of a job that are finished and not stored as such.
func UnstoredTasks(job *jobs.Job) (tasks []int) {
	if job.DirtySince == 0 && !job.AllFinished() {
		return nil // every finished task is stored
	}
	for task := range job.Record.Tasks {
		if job.IsFinished(task) && !job.IsStored(task) {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// Receiver keeps the snapshots of shards that this controller may own next. Use NewReceiver.
type Receiver struct {
	node      string
	process   uint64
	snapshots map[int]*Snapshot          // sent by owners on release, by shard
	records   map[int]replication.Record // stored record of the standby of each shard's owner
	standby   *replication.Standby       // streams of the owners for which this controller is the standby
}

// NewReceiver returns the empty Receiver of a process of a controller.
func NewReceiver(node string, process uint64) *Receiver {
	return &Receiver{node: node, process: process, snapshots: map[int]*Snapshot{}, records: map[int]replication.Record{}, standby: replication.NewStandby(process)}
}

// Receive stores one part of a snapshot. Parts may come in any order.
// Parts of a snapshot older than the latest one of the shard are ignored.
func (r *Receiver) Receive(part Message) {
	if part.Block < 0 || part.Block >= keys.MaxShards {
		return
	}
	snapshot := r.snapshots[part.Block]
	if snapshot == nil || snapshot.fencingToken < part.Token {
		snapshot = &Snapshot{fencingToken: part.Token, machines: map[string]replication.MachineSnapshot{}}
		r.snapshots[part.Block] = snapshot
	}
	known := len(snapshot.machines) + len(snapshot.finished)
	if snapshot.fencingToken != part.Token || known+len(part.Machines)+len(part.Done) > maxSnapshotEntries {
		return
	}
	snapshot.finished = append(snapshot.finished, part.Done...)
	for _, machine := range part.Machines {
		snapshot.machines[machine.Name] = machine
	}
}

// ReceiveReplication handles a message of the replication stream of a shard's owner and returns its
// acknowledgement. stored reports whether a task is known to be stored as done, or its job to be final.
func (r *Receiver) ReceiveReplication(message replication.Message, stored func(job string, task int) bool) replication.Ack {
	return r.standby.Receive(message, stored)
}

// ApplyStandby applies the stored record of the standby of a shard's owner.
func (r *Receiver) ApplyStandby(shard int, record replication.Record) { r.records[shard] = record }

// StandbyOf returns the stored standby of the owner that holds a shard under a fencing token, or
// "" if none is stored. The stream of an owner with another standby, or none, is not used any more.
func (r *Receiver) StandbyOf(shard int, fencingToken uint64) string {
	if record := r.records[shard]; record.Token == fencingToken {
		return record.Node
	}
	return ""
}

// Discard drops the snapshot of a shard that was assigned to another controller.
func (r *Receiver) Discard(shard int) { delete(r.snapshots, shard) }

// StateRolledBack drops all replication streams: after a rollback of
// the state service, the stored standby records may be out of date.
func (r *Receiver) StateRolledBack() { r.standby = replication.NewStandby(r.process) }

// TakeSnapshot removes and returns the snapshot of a shard that was assigned to this controller. The snapshot
// is empty if none may be used under the assignment.
func (r *Receiver) TakeSnapshot(shard int, assignment authority.Assignment) *Snapshot {
	sent := r.snapshots[shard]
	delete(r.snapshots, shard)
	if replicated := r.takeReplicatedSnapshot(shard, assignment); replicated != nil {
		return replicated
	}
	if sent == nil || assignment.TransferredFrom == 0 || sent.fencingToken != assignment.TransferredFrom {
		return &Snapshot{}
	}
	return sent
}

// takeReplicatedSnapshot returns the snapshot of a shard whose last owner had this controller as its standby
// until the end of the previous assignment, or nil.
func (r *Receiver) takeReplicatedSnapshot(shard int, assignment authority.Assignment) *Snapshot {
	defer r.standby.DropStream(shard)
	record := r.records[shard]
	if assignment.PreviousToken == 0 || assignment.PreviousToken != record.Token {
		return nil // another controller has owned the shard since, or an older release assigned it
	}
	machines, finished, ok := r.standby.Snapshot(shard, r.node, record)
	if !ok {
		return nil
	}
	return &Snapshot{fencingToken: record.Token, machines: machines, finished: finished, complete: true}
}
