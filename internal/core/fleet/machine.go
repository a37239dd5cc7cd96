// Package fleet defines worker machines, with their incarnations, leases and the attempts that may run on
// them, and the messages between a worker and the owner of its shard.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Machine is the state of one machine as its shard's owner knows it. Package reconcile adds, reconciles
// and removes machines. The provisioner sets Unlisted, Deprovisioning and SpareSince, and failure attribution
// (package quarantine) sets Quarantined, Failed, FailedAt and HasCompletedTask.
type Machine struct {
	Name   string
	Record Record // Record.Up is true once the stored group lists the machine as up
	Group  string // key of the stored group that contains it

	Type           *Type              // nil if not known yet
	Addr           string             // "" if not known yet
	Probes         int                // number of probes sent to it (see package reconcile)
	ProvisionedAt  units.Microseconds // time at which it was provisioned or, if not known, first seen
	Incarnation    uint64             // incarnation of its worker process
	Seq            uint64             // sequence number of its newest message of that incarnation: a heartbeat, or the answer to a probe
	HeartbeatSeq   uint64             // sequence number of the last heartbeat of that incarnation; 0: none
	LastSeen       units.Microseconds // time of the last heartbeat; 0 if none since its lease last expired
	LeaseEnd       units.Microseconds // time from which no task can be running on it; 0 without a lease
	Reconciled     bool               // all attempts that may run on it are known
	Transferred    bool               // its attempts were restored from the last owner's snapshot
	ReclaimAt      units.Microseconds // time at which the cloud reclaims it; units.MaxTime without a notice
	Tasks          map[jobs.TaskID]Attempt
	ReportedTasks  int // number of tasks in its last heartbeat, exited ones included
	IdleSince      units.Microseconds
	Lost           bool   // its lease expired and it has sent no heartbeat since
	ExpiredAttempt uint64 // highest attempt number that ended when its lease expired

	Deprovisioning bool               // the provisioner is deleting it
	Unlisted       bool               // it is missing from the cloud's machine list though old enough to be on it
	SpareSince     units.Microseconds // time since which no work needs it; 0 while some does

	Quarantined      bool               // its tasks fail or are slow: no more tasks start on it
	Failed           map[string]bool    // jobs without any completed task that failed here since a task last completed here
	FailedAt         units.Microseconds // time of the last failure
	HasCompletedTask bool               // a task has completed on this machine

	used            binpack.Vec // capacity used by Tasks
	consecutiveSlow int         // consecutive tasks that took much longer than others of their job
	recentImages    []string    // most recently used last
}

// Attempt is one attempt at running a task, which may be on the machine.
type Attempt struct {
	Number       uint64
	Team         string
	Demand       binpack.Vec
	State        State
	Started      units.Microseconds // time at which its start was sent, or an earlier owner's attempt was first reported
	RunningSince units.Microseconds // time of the first report that it had fetched its image; 0 before
	Adopted      bool               // started by an earlier owner, so that its run time is not known
}

// Runtime returns the time since the attempt was first reported with its image fetched; 0 before.
func (a Attempt) Runtime(now units.Microseconds) units.Microseconds {
	if a.RunningSince == 0 {
		return 0
	}
	return now - a.RunningSince
}

// New returns a machine that has not sent a heartbeat yet.
func New(name string, record Record, machineType *Type, now units.Microseconds) *Machine {
	return &Machine{Name: name, Record: record, Type: machineType, ProvisionedAt: now, ReclaimAt: units.MaxTime, IdleSince: now,
		Tasks: map[jobs.TaskID]Attempt{}}
}

// Newer reports whether a heartbeat is later than every message accepted from the machine.
func (m *Machine) Newer(heartbeat *Heartbeat) bool {
	return heartbeat.Incarnation > m.Incarnation || (heartbeat.Incarnation == m.Incarnation && heartbeat.Seq > m.Seq)
}

// Awaited reports whether the worker may still wait for the response to a heartbeat: no later heartbeat and
// no later incarnation is known. A response to the heartbeat then renews the worker's lease, even if the
// answer to a probe has overtaken the heartbeat.
func (m *Machine) Awaited(heartbeat *Heartbeat) bool {
	return heartbeat.Incarnation > m.Incarnation || (heartbeat.Incarnation == m.Incarnation && heartbeat.Seq > m.HeartbeatSeq)
}

// AcceptMessage records the incarnation and the sequence number of the machine's newest message.
func (m *Machine) AcceptMessage(incarnation, seq uint64) {
	if incarnation != m.Incarnation {
		m.HeartbeatSeq = 0
	}
	m.Incarnation, m.Seq = incarnation, seq
}

// RenewLease records the response to an overtaken heartbeat, which renews the worker's lease.
func (m *Machine) RenewLease(leaseEnd units.Microseconds, heartbeat *Heartbeat) {
	m.HeartbeatSeq = heartbeat.Seq
	m.LeaseEnd = leaseEnd
}

// Used returns the capacity that the attempts in Tasks use.
func (m *Machine) Used() binpack.Vec { return m.used }

// Free returns the capacity that no attempt in Tasks uses. The machine's type must be known.
func (m *Machine) Free() binpack.Vec { return m.Type.Capacity.Sub(m.used) }

// SetAttempt records an attempt that may be on the machine, in place of an earlier attempt at the same
// task.
func (m *Machine) SetAttempt(id jobs.TaskID, attempt Attempt) {
	m.RemoveAttempt(id)
	m.Tasks[id] = attempt
	m.used = m.used.Add(attempt.Demand)
}

// RemoveAttempt records that a task no longer has an attempt on the machine.
func (m *Machine) RemoveAttempt(id jobs.TaskID) {
	m.used = m.used.Sub(m.Tasks[id].Demand)
	delete(m.Tasks, id)
}

// HasImage reports whether the machine used an image recently, so that the worker is likely to have it
// cached.
func (m *Machine) HasImage(image string) bool {
	return slices.Contains(m.recentImages, image)
}

// maxRecentImages limits the images remembered for each machine.
const maxRecentImages = 64

// UseImage records an image as the machine's most recently used one.
func (m *Machine) UseImage(image string) {
	if i := slices.Index(m.recentImages, image); i >= 0 {
		m.recentImages = slices.Delete(m.recentImages, i, i+1)
	}
	m.recentImages = append(m.recentImages, image)
	if len(m.recentImages) > maxRecentImages {
		m.recentImages = m.recentImages[1:]
	}
}

// slowTasksToQuarantine is the number of consecutive slow tasks after which a machine is quarantined. One
// or two do not suffice: machines of a type differ by a tenth, and a single task may take long by itself.
const slowTasksToQuarantine = 3

// A task is slow if it takes more than slowFactor times as long as the average task of its job, and more
// than slowMargin longer. The margin is for short tasks, whose run times vary by more than the factor.
const (
	slowFactor = 2
	slowMargin = 2 * units.Second
)

// ObserveRuntime records the run time of a task that completed on the machine. usual is the average run
// time of its job's tasks, or 0 if not known. It reports whether the machine has just been found slow: it
// is then quarantined.
func (m *Machine) ObserveRuntime(took, usual units.Microseconds) bool {
	switch {
	case usual == 0:
	case took > slowFactor*usual && took > usual+slowMargin:
		m.consecutiveSlow++
	default:
		m.consecutiveSlow = 0
	}
	if m.consecutiveSlow < slowTasksToQuarantine || m.Quarantined {
		return false
	}
	m.Quarantined, m.consecutiveSlow = true, 0
	return true
}

// AcceptHeartbeat updates the machine's own state from a heartbeat; package reconcile reconciles its
// tasks. leaseEnd is the time by which the worker, which is about to get a response, must have stopped
// all tasks unless it gets another response.
func (m *Machine) AcceptHeartbeat(now, leaseEnd units.Microseconds, heartbeat *Heartbeat) {
	m.AcceptMessage(heartbeat.Incarnation, heartbeat.Seq)
	m.HeartbeatSeq = heartbeat.Seq
	m.Addr = heartbeat.Addr
	m.LastSeen, m.LeaseEnd = now, leaseEnd
	m.Lost = false
	m.ReportedTasks = len(heartbeat.Tasks)
	m.ReclaimAt = units.MaxTime
	if heartbeat.ReclaimIn != units.MaxTime {
		m.ReclaimAt = now + heartbeat.ReclaimIn
	}
}

// ExpireLease records that no task runs on the machine any more because its lease expired. lastAttempt is
// the highest attempt number that may have been started there: a heartbeat delayed by a network partition
// may still report such attempts.
func (m *Machine) ExpireLease(now units.Microseconds, lastAttempt uint64) {
	m.LeaseEnd, m.LastSeen = 0, 0
	m.Lost = true
	m.ExpiredAttempt = lastAttempt
	m.IdleSince = now
}

// Expired reports whether a heartbeat shows an attempt as still present that ended when the machine's
// lease expired.
func (m *Machine) Expired(t Task) bool { return t.State != Exited && t.Attempt <= m.ExpiredAttempt }

// TaskIDs returns the tasks that may be on the machine, ordered by job and task number.
func (m *Machine) TaskIDs() []jobs.TaskID {
	return slices.SortedFunc(maps.Keys(m.Tasks), func(a, b jobs.TaskID) int {
		return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
}

// Schedulable reports whether tasks may start on the machine: all that may run on it is known, it is
// stored as up so that a new owner would know of it, its type is known, and it is not about to be
// removed.
func (m *Machine) Schedulable() bool {
	return m.Reconciled && m.Record.Up && m.Type != nil && !m.Lost && !m.Quarantined && !m.Deprovisioning
}
