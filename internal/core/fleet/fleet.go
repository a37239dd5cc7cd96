// Package fleet keeps machines: their sessions, leases and reported tasks.
package fleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Type is a kind of machine that the cloud rents out.
type Type struct {
	Name     string             `json:"name"`
	Capacity binpack.Vec        `json:"capacity"`
	CacheMB  int64              `json:"cache_mb"`
	FetchMBs int64              `json:"fetch_mb_per_s"`
	Boot     units.Microseconds `json:"boot"`
	Zones    []string           `json:"zones"`

	Price     float64 `json:"price"`
	SpotPrice float64 `json:"spot_price"`
}

// Rate is the price of a machine of the type.
func (t *Type) Rate(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// Record is what a new holder has to know of a machine. A task may start only
// on a machine that is stored as up, so that every machine that may hold tasks
// is known.
type Record struct {
	Type string
	Zone string
	Spot bool
	Up   bool
}

// Group is the stored value of machines of one kind that were rented together.
type Group struct {
	Shard   int      `json:"block,omitempty"`
	Type    string   `json:"type"`
	Zone    string   `json:"zone"`
	Spot    bool     `json:"spot"`
	Up      []string `json:"up,omitempty"`
	Booting []string `json:"booting,omitempty"`
	// ProvisionedAt is the time of day at which they were; 0: not known.
	ProvisionedAt units.Microseconds `json:"rented,omitempty"`
}

// MaxGroup is how many machines one group may have: as many as the cloud rents
// out at once, so that a group stays far below the state service's value limit.
const MaxGroup = 50

// DecodeGroup reads stored machines. Releases before 0.2 stored each machine by
// itself under its name; tasks may run there all the same.
func DecodeGroup(name string, b []byte) (Group, error) {
	var g Group
	if err := json.Unmarshal(b, &g); err != nil {
		var old struct {
			Group
			Up bool `json:"up"`
		}
		if json.Unmarshal(b, &old) != nil {
			return g, err
		}
		g = old.Group
		if old.Up {
			g.Up = []string{name}
		} else {
			g.Booting = []string{name}
		}
	}
	if g.Type == "" || g.Zone == "" {
		return g, errors.New("no type or zone")
	}
	return g, nil
}

// Record returns what is known of each machine of the group.
func (g Group) Record(up bool) Record { return Record{g.Type, g.Zone, g.Spot, up} }

// State is what a machine reports of an attempt.
type State int

// States of a task on a machine.
const (
	Fetching State = iota
	Running
	Saving
	Exited
)

// Cause is why a task exited.
type Cause int

// Causes of an exit.
const (
	Other Cause = iota
	Completed
	Stopped
	Failed
	NoCapacity
	Busy
	Unknown
)

// Task is one attempt in a report.
type Task struct {
	ID      jobs.TaskID
	Attempt uint64
	State   State
	Cause   Cause
}

// Heartbeat is a worker's report.
type Heartbeat struct {
	Machine      string
	Addr         string
	Type         string
	Zone         string
	Spot         bool
	Incarnation  uint64
	Seq          uint64
	FencingToken uint64
	Notice       units.Microseconds // until the cloud takes it; Never: no notice
	Tasks        []Task
}

// Machine is what a holder knows of one machine.
type Machine struct {
	Name   string
	Record Record // Up once it is stored that the machine is up
	Group  string // that it is stored with

	Type           *Type
	Addr           string             // "" if not known
	Probes         int                // how often it was asked directly for what it runs
	ProvisionedAt  units.Microseconds // when it was rented or first heard of
	Incarnation    uint64
	Seq            uint64
	LastSeen       units.Microseconds // last report; 0: none yet
	LeaseEnd       units.Microseconds // its tasks are surely gone from then on
	Reconciled     bool               // it reported under its holder's token
	Transferred    bool               // what may be on it was handed on by its last holder
	Notice         units.Microseconds // when the cloud takes it; Never: no notice
	Tasks          map[jobs.TaskID]Attempt
	Listed         int // tasks in its last report, those that have exited too
	IdleSince      units.Microseconds
	Lost           bool               // its lease ran out unheard
	ExpiredAttempt uint64             // the last attempt that surely ended with a lease
	Quarantined    bool               // it fails what it starts: nothing more starts there
	Deprovisioning bool               // a return is under way
	Unlisted       bool               // the cloud's list should show it and does not
	SpareSince     units.Microseconds // since when the work at hand does not need it; 0: it does

	Failed   map[string]bool    // jobs of which nothing had worked yet and that failed here, since a task completed
	FailedAt units.Microseconds // last failure
	Proven   bool               // some task completed here
	used     binpack.Vec        // by Tasks
	slow     int                // tasks in a row that took much longer than their job's others
	images   []string           // most recently used last
}

// Attempt is one attempt that may be on the machine.
type Attempt struct {
	Number  uint64
	Team    string
	Demand  binpack.Vec
	State   State
	Started units.Microseconds // when it was commanded or first seen
	Live    units.Microseconds // when it was first seen with its image; 0: not yet
	Adopted bool               // started by an earlier holder: how long it has run is not known
}

// Ran is how long the attempt has run with its image.
func (a Attempt) Ran(now units.Microseconds) units.Microseconds {
	if a.Live == 0 {
		return 0
	}
	return now - a.Live
}

// New returns a machine that has not reported yet.
func New(name string, r Record, t *Type, now units.Microseconds) *Machine {
	return &Machine{Name: name, Record: r, Type: t, ProvisionedAt: now, Notice: units.Never, IdleSince: now,
		Tasks: map[jobs.TaskID]Attempt{}}
}

// Newer reports whether a report comes after all that were seen.
func (m *Machine) Newer(r *Heartbeat) bool {
	return r.Incarnation > m.Incarnation || (r.Incarnation == m.Incarnation && r.Seq > m.Seq)
}

// Used returns the room that tasks may take.
func (m *Machine) Used() binpack.Vec { return m.used }

// Free returns the room that is left; the machine's type must be known.
func (m *Machine) Free() binpack.Vec { return m.Type.Capacity.Sub(m.used) }

// Put records an attempt that may be on the machine.
func (m *Machine) Put(id jobs.TaskID, a Attempt) {
	m.Drop(id)
	m.Tasks[id] = a
	m.used = m.used.Add(a.Demand)
}

// Drop records that an attempt is on the machine no more.
func (m *Machine) Drop(id jobs.TaskID) {
	m.used = m.used.Sub(m.Tasks[id].Demand)
	delete(m.Tasks, id)
}

// HasImage reports whether the image was used here lately.
func (m *Machine) HasImage(image string) bool {
	return slices.Contains(m.images, image)
}

// keepImages bounds the images remembered of one machine.
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

// Ran takes in how long a task ran here and, unless 0, how long its job's
// tasks take on average, and reports whether the machine now counts as slow:
// nothing more starts on it.
func (m *Machine) Ran(took, usual units.Microseconds) bool {
	switch {
	case usual == 0:
	case took > 2*usual && took > usual+2*units.Second:
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
	m.Notice = units.Never
	if heartbeat.Notice != units.Never {
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
// known, a new holder would know of the machine, and it is meant to stay.
func (m *Machine) Schedulable() bool {
	return m.Reconciled && m.Record.Up && m.Type != nil && !m.Lost && !m.Quarantined && !m.Deprovisioning
}

// Op is what a command asks of a worker.
type Op int

// The three commands.
const (
	Start Op = iota
	Stop
	Forget
)

// Command is one order to a worker about an attempt.
type Command struct {
	Op      Op
	ID      jobs.TaskID
	Attempt uint64
	Grace   units.Microseconds // of a Stop; 0 stops at once
}

// Bounds on the commands of one heartbeat response, which may not be longer than 64 KiB
// (TestLongestAnswer in internal/api). A machine can hold hundreds of small tasks; what is left out
// follows with its next heartbeat.
const (
	MaxForgets = 200
	MaxStops   = 100
	MaxStarts  = 250
	// MaxListed bounds the tasks that a machine lists, as a heartbeat may not be longer than
	// 64 KiB either: while nothing can be stored, what has exited there stays listed.
	MaxListed = 500
)

// AtMost returns the first n of some commands.
func AtMost(commands []Command, n int) []Command { return commands[:min(len(commands), n)] }
