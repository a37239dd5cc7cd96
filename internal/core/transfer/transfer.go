// Package transfer lets the next owner of a shard go on with what the last one knew, instead of
// waiting until every machine has sent a heartbeat.
//
// An owner that gives a shard up while its membership stands sends a snapshot: what may run on
// each reconciled machine, and which tasks are finished and not stored as such. It answers no
// worker any more from before the snapshot is made, so that nothing is missing in it. An owner
// that ends without a word has had a standby told of all that it starts (package replication).
//
// The next owner uses either only where the assignment says that it follows on the very one
// under which it was made, with none between: somebody else may have started anything since.
// Whatever is not in a snapshot, or was lost on the way, stays unreconciled.
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

// Message is a part of an owner's snapshot of a shard. Its fields have the names by which
// controllers of other releases know them.
type Message struct {
	Block    int
	Token    uint64 // fencing token under which it was made
	Machines []replication.MachineSnapshot
	Done     []replication.FinishedTasks // that are not stored as done yet
}

const (
	// MessageSize bounds the tasks and machines in one part, which must fit into a frame
	// between controllers.
	MessageSize = 400
	// machineSize is what a machine counts beside its tasks.
	machineSize = 4
	// maxSnapshot bounds the machines, and the parts of finished tasks, that are remembered of a
	// snapshot. A machine beyond is unreconciled.
	maxSnapshot = replication.MaxMachines
)

// Shard is what an owner knows of a shard that it gives up.
type Shard struct {
	Number       int
	FencingToken uint64
	Jobs         map[string]*jobs.Job // active ones
	Machines     map[string]*fleet.Machine
}

// Messages returns a snapshot of a shard, in parts.
func (s Shard) Messages() []Message {
	parts := &partition{next: Message{Block: s.Number, Token: s.FencingToken}}
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		// The rest would be done once more: machines show what has exited only with their
		// next heartbeat.
		parts.addTasks(id, UnstoredTasks(s.Jobs[id]))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Machines)) {
		if machine := s.Machines[name]; transferable(machine) {
			parts.addMachine(MachineSnapshot(machine))
		}
	}
	parts.end()
	return parts.done
}

// transferable reports whether all that may be on a machine is known. One that has just come up
// has not shown the fencing token yet; as all that earlier owners left is reconciled, nothing can
// be on it, unless nobody knows who provisioned it.
func transferable(machine *fleet.Machine) bool {
	if machine.Deprovisioning || machine.Lost || !machine.Record.Up {
		return false
	}
	return machine.Reconciled || !keys.IsOrphanMachine(machine.Group)
}

// partition divides a snapshot into messages.
type partition struct {
	done []Message
	next Message
	size int
}

func (p *partition) end() {
	p.done = append(p.done, p.next)
	p.next.Machines, p.next.Done, p.size = nil, nil, 0
}

func (p *partition) addTasks(job string, tasks []int) {
	for len(tasks) > 0 {
		if p.size >= MessageSize {
			p.end()
		}
		count := min(len(tasks), MessageSize-p.size)
		p.next.Done = append(p.next.Done, replication.FinishedTasks{Job: job, Tasks: tasks[:count:count]})
		p.size += count
		tasks = tasks[count:]
	}
}

func (p *partition) addMachine(machine replication.MachineSnapshot) {
	size := len(machine.Tasks) + machineSize
	if p.size > 0 && p.size+size > MessageSize {
		p.end()
	}
	p.next.Machines = append(p.next.Machines, machine)
	p.size += size
}

// MachineSnapshot tells what may be on a machine.
func MachineSnapshot(machine *fleet.Machine) replication.MachineSnapshot {
	snapshot := replication.MachineSnapshot{Name: machine.Name, Addr: machine.Addr, Session: machine.Incarnation, Seq: machine.Seq}
	for _, id := range machine.TaskIDs() {
		attempt := machine.Tasks[id]
		snapshot.Tasks = append(snapshot.Tasks, fleet.Task{ID: id, Attempt: attempt.Number, State: attempt.State})
	}
	return snapshot
}

// UnstoredTasks are the tasks of a job that are finished and not stored as such.
func UnstoredTasks(job *jobs.Job) (tasks []int) {
	if job.DirtySince == 0 && !job.AllFinished() {
		return nil // all that is finished is stored
	}
	for task := range job.Record.Tasks {
		if job.IsFinished(task) && !job.IsStored(task) {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// Receiver keeps what this controller knows of shards that it may own next.
type Receiver struct {
	node      string
	snapshots map[int]*Snapshot          // as owners have sent them
	records   map[int]replication.Record // who stands by for the owner of each shard, as stored
	standby   *replication.Standby       // what owners have started for which this node stands by
}

// NewReceiver returns one of a controller that has received nothing.
func NewReceiver(node string) *Receiver {
	return &Receiver{node: node, snapshots: map[int]*Snapshot{}, records: map[int]replication.Record{}, standby: replication.NewStandby()}
}

// Receive takes a part of a snapshot. Parts come in any order; those of an older one than the
// last count for nothing.
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
	if snapshot.fencingToken != part.Token || known+len(part.Machines)+len(part.Done) > maxSnapshot {
		return
	}
	snapshot.finished = append(snapshot.finished, part.Done...)
	for _, machine := range part.Machines {
		snapshot.machines[machine.Name] = machine
	}
}

// ReceiveReplication takes what the owner of a shard has started, and returns what to answer. stored
// reports whether a task is known to be stored as done, or its job to be over.
func (r *Receiver) ReceiveReplication(message replication.Message, stored func(job string, task int) bool) replication.Ack {
	return r.standby.Receive(message, stored)
}

// ApplyStandby takes the stored record of who stands by for the owner of a shard.
func (r *Receiver) ApplyStandby(shard int, record replication.Record) { r.records[shard] = record }

// StandbyOf names who knows all that the owner of a shard under a fencing token has started; ""
// if nobody is stored to. A stream of an owner that has another standby, or none, is of no use
// any more.
func (r *Receiver) StandbyOf(shard int, fencingToken uint64) string {
	if record := r.records[shard]; record.Token == fencingToken {
		return record.Node
	}
	return ""
}

// Discard drops the snapshot of a shard that was assigned to another controller.
func (r *Receiver) Discard(shard int) { delete(r.snapshots, shard) }

// StateRolledBack drops what owners have started: who is stored to stand by may be as of an
// earlier time.
func (r *Receiver) StateRolledBack() { r.standby = replication.NewStandby() }

// TakeSnapshot returns what is known of a shard that was assigned to this node, and forgets it.
func (r *Receiver) TakeSnapshot(shard int, assignment authority.Assignment) *Snapshot {
	sent := r.snapshots[shard]
	delete(r.snapshots, shard)
	if replicated := r.takeReplicated(shard, assignment); replicated != nil {
		return replicated
	}
	if sent == nil || assignment.TransferredFrom == 0 || sent.fencingToken != assignment.TransferredFrom {
		return &Snapshot{}
	}
	return sent
}

// takeReplicated returns the snapshot of a shard whose owner had this node stand by up to the
// end of the assignment before, or nil.
func (r *Receiver) takeReplicated(shard int, assignment authority.Assignment) *Snapshot {
	defer r.standby.DropStream(shard)
	record := r.records[shard]
	if assignment.PreviousToken == 0 || assignment.PreviousToken != record.Token {
		return nil // somebody else has owned it since, or an older release assigned it
	}
	machines, finished, ok := r.standby.Snapshot(shard, r.node, record)
	if !ok {
		return nil
	}
	return &Snapshot{fencingToken: record.Token, machines: machines, finished: finished, complete: true}
}
