// Package fleet keeps machines: their incarnations, leases, and the attempts that may run on them; and
// the messages between a worker and the owner of its shard.
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

// Machine is what the owner of its shard knows of one machine. Package reconcile adds, reconciles and
// removes machines; the provisioner, the scheduler and failure attribution set what is named after
// them below.
type Machine struct {
	Name   string
	Record Record // Up once it is stored that the machine is up
	Group  string // key of the group that it is stored with

	Type           *Type              // nil if not known
	Addr           string             // "" if not known
	Probes         int                // how often it was asked directly for what it runs
	ProvisionedAt  units.Microseconds // or when it was first seen
	Incarnation    uint64             // of its worker process
	Seq            uint64             // of its last heartbeat in that incarnation
	LastSeen       units.Microseconds // last heartbeat; 0: none yet, or its lease expired since
	LeaseEnd       units.Microseconds // its tasks have surely ended from then on
	Reconciled     bool               // it sent a heartbeat under its owner's fencing token
	Transferred    bool               // what may run on it is known from its last owner's snapshot
	Notice         units.Microseconds // when the cloud reclaims it; MaxTime: no notice
	Tasks          map[jobs.TaskID]Attempt
	Listed         int // tasks in its last heartbeat, those that have exited too
	IdleSince      units.Microseconds
	Lost           bool   // its lease expired, and it sent no heartbeat since
	ExpiredAttempt uint64 // the last attempt that surely ended with a lease

	Deprovisioning bool               // the provisioner has it deleted
	Unlisted       bool               // the cloud's list should show it and does not
	SpareSince     units.Microseconds // since when the work at hand does not need it; 0: it does

	Quarantined bool               // it fails what it starts: nothing more starts there
	Failed      map[string]bool    // jobs of which nothing had worked yet and that failed here, since a task completed
	FailedAt    units.Microseconds // last failure
	Proven      bool               // some task completed here

	used   binpack.Vec // by Tasks
	slow   int         // tasks in a row that took much longer than their job's others
	images []string    // most recently used last
}

// Attempt is one attempt that may be on the machine.
type Attempt struct {
	Number  uint64
	Team    string
	Demand  binpack.Vec
	State   State
	Started units.Microseconds // when its start was sent, or when it was first seen
	Live    units.Microseconds // when it was first seen with its image; 0: not yet
	Adopted bool               // started by an earlier owner: how long it has run is not known
}

// Ran is how long the attempt has run with its image.
func (a Attempt) Ran(now units.Microseconds) units.Microseconds {
	if a.Live == 0 {
		return 0
	}
	return now - a.Live
}

// New returns a machine that has sent no heartbeat yet.
func New(name string, record Record, machineType *Type, now units.Microseconds) *Machine {
	return &Machine{Name: name, Record: record, Type: machineType, ProvisionedAt: now, Notice: units.MaxTime, IdleSince: now,
		Tasks: map[jobs.TaskID]Attempt{}}
}

// Newer reports whether a heartbeat comes after all that were seen.
func (m *Machine) Newer(heartbeat *Heartbeat) bool {
	return heartbeat.Incarnation > m.Incarnation || (heartbeat.Incarnation == m.Incarnation && heartbeat.Seq > m.Seq)
}

// Used returns the capacity that tasks may use.
func (m *Machine) Used() binpack.Vec { return m.used }

// Free returns the capacity that they do not use; the machine's type must be known.
func (m *Machine) Free() binpack.Vec { return m.Type.Capacity.Sub(m.used) }

// Put records an attempt that may be on the machine.
func (m *Machine) Put(id jobs.TaskID, attempt Attempt) {
	m.Drop(id)
	m.Tasks[id] = attempt
	m.used = m.used.Add(attempt.Demand)
}

// Drop records that an attempt is on the machine no more.
func (m *Machine) Drop(id jobs.TaskID) {
	m.used = m.used.Sub(m.Tasks[id].Demand)
	delete(m.Tasks, id)
}

// HasImage reports whether an image was used here lately, so that the worker has it in its cache.
func (m *Machine) HasImage(image string) bool {
	return slices.Contains(m.images, image)
}

// keepImages bounds the images that are remembered of one machine.
const keepImages = 64

// UseImage records that an image is on the machine.
func (m *Machine) UseImage(image string) {
	if i := slices.Index(m.images, image); i >= 0 {
		m.images = slices.Delete(m.images, i, i+1)
	}
	m.images = append(m.images, image)
	if len(m.images) > keepImages {
		m.images = m.images[1:]
	}
}

// slowAfter is how many tasks in a row must be slow: machines of a type differ
// by a tenth, and a single task may be long by itself.
const slowAfter = 3

// A task is slow that takes more than slowFactor times as long as its job's others, and slowMargin
// longer: short tasks vary by more than that.
const (
	slowFactor = 2
	slowMargin = 2 * units.Second
)

// Ran takes in how long a task ran here and, unless 0, how long its job's
// tasks take on average, and reports whether the machine now counts as slow:
// nothing more starts on it.
func (m *Machine) Ran(took, usual units.Microseconds) bool {
	switch {
	case usual == 0:
	case took > slowFactor*usual && took > usual+slowMargin:
		m.slow++
	default:
		m.slow = 0
	}
	if m.slow < slowAfter || m.Quarantined {
		return false
	}
	m.Quarantined, m.slow = true, 0
	return true
}

// AcceptHeartbeat takes in what a heartbeat says of the machine itself; its tasks are reconciled
// by package reconcile. leaseEnd is when the worker, which is about to be answered, must have
// stopped everything unless it is answered once more.
func (m *Machine) AcceptHeartbeat(now, leaseEnd units.Microseconds, heartbeat *Heartbeat) {
	m.Incarnation, m.Seq = heartbeat.Incarnation, heartbeat.Seq
	m.Addr = heartbeat.Addr
	m.LastSeen, m.LeaseEnd = now, leaseEnd
	m.Lost = false
	m.Listed = len(heartbeat.Tasks)
	m.Notice = units.MaxTime
	if heartbeat.Notice != units.MaxTime {
		m.Notice = now + heartbeat.Notice
	}
}

// ExpireLease notes that nothing runs on the machine any more, as its lease ran out.
// lastAttempt is the last attempt that can have been started there: heartbeats that a cut has
// held back may still show it.
func (m *Machine) ExpireLease(now units.Microseconds, lastAttempt uint64) {
	m.LeaseEnd, m.LastSeen = 0, 0
	m.Lost = true
	m.ExpiredAttempt = lastAttempt
	m.IdleSince = now
}

// Expired reports whether a heartbeat shows a task as not exited whose lease had run out before.
func (m *Machine) Expired(t Task) bool { return t.State != Exited && t.Attempt <= m.ExpiredAttempt }

// TaskIDs returns the tasks that may be on the machine, by job and number.
func (m *Machine) TaskIDs() []jobs.TaskID {
	return slices.SortedFunc(maps.Keys(m.Tasks), func(a, b jobs.TaskID) int {
		return cmp.Or(strings.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
}

// Schedulable reports whether tasks may start here: everything on the machine is
// known, a new owner would know of the machine, and it is meant to stay.
func (m *Machine) Schedulable() bool {
	return m.Reconciled && m.Record.Up && m.Type != nil && !m.Lost && !m.Quarantined && !m.Deprovisioning
}
