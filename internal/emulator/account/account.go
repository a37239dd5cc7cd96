// Package account breaks down the cost of machines by pool and by what the machines were doing while
// they were billed. Like package meter it is based on what machines did, not on what controllers
// report. It does no I/O.
package account

import (
	"cmp"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
)

// Interval is the time between observations of the machines. The state at an observation is attributed
// to the whole time since the previous one.
const Interval = units.Second / 2

// Use is a category of spending.
type Use int

// Uses, in the order of a machine's life. The cost of a machine with tasks is split by CPU: each CPU's
// share counts for what that CPU does.
const (
	Boot       Use = iota // until the worker started
	NeverUp               // the same, of machines whose worker never started
	Unused                // up, of machines that never had a task
	Before                // empty, before the first task
	Between               // empty, between two tasks
	After                 // empty, after the last task
	Fetching              // occupied by tasks that waited for their image
	Beside                // free, while other CPUs of the machine were occupied
	Useful                // occupied by tasks that completed
	Lost                  // occupied by tasks that did not complete
	Unfinished            // occupied by tasks that were still running at the end of the run
	Least                 // rest of the minimum charge of machines that were deleted before it was used up
	CutEmpty              // up and empty, in a zone that was partitioned
	CutBoot               // booting, in a zone that was partitioned
	Uses                  // number of uses
)

// Names are the names of the uses in reports.
var Names = [Uses]string{"boot", "never_up", "unused", "before", "between", "after", "fetching", "beside", "useful", "lost", "unfinished", "least", "cut_empty", "cut_boot"}

// Machine is the state of a billed machine at an observation.
type Machine struct {
	*cloudprovider.Machine
	Up                bool
	Cut               bool // its zone is partitioned
	CPUs              float64
	Running, Fetching float64 // CPUs occupied by tasks
	Rate              float64 // cost per hour
}

// Row is the cost of one pool's machines by use.
type Row struct {
	Pool     cloudprovider.Pool
	Machines int
	Spent    [Uses]float64
}

// Total returns the total cost of a row.
func (r *Row) Total() float64 {
	var sum float64
	for _, v := range r.Spent {
		sum += v
	}
	return sum
}

// machine is the account of a machine that is still billed.
type machine struct {
	host     *cloudprovider.Machine
	row      *Row
	up       bool
	hadTasks bool
	boot     float64
	empty    float64 // cost since it last had a task
	perCPU   float64 // cost of one of its CPUs since the first observation
	rate     float64
	tasks    map[jobs.TaskID]taskCost
}

// taskCost holds a task's CPUs, and the machine's perCPU when the task started.
type taskCost struct{ cpus, perCPU float64 }

// Account is the account of one run. Its memory grows with the machines that are billed at the same
// time.
type Account struct {
	rows map[cloudprovider.Pool]*Row
	live map[string]*machine
	at   units.Microseconds
}

// New returns an empty account.
func New() *Account {
	return &Account{rows: map[cloudprovider.Pool]*Row{}, live: map[string]*machine{}}
}

// Observe adds an observation of all billed machines.
func (a *Account) Observe(at units.Microseconds, list []Machine) {
	hours := (at - a.at).Seconds() / 3600
	a.at = at
	present := make(map[string]bool, len(list))
	for _, x := range list {
		present[x.Name] = true
		m := a.live[x.Name]
		since := hours
		if m == nil {
			m = &machine{host: x.Machine, row: a.row(x.Pool), tasks: map[jobs.TaskID]taskCost{}}
			m.row.Machines++
			a.live[x.Name] = m
			since = (at - x.CreatedAt).Seconds() / 3600 // created since the last observation
		}
		m.spend(x, x.Rate*since)
	}
	for name, m := range a.live {
		if !present[name] {
			a.endMachine(at, m)
			delete(a.live, name)
		}
	}
}

func (a *Account) row(p cloudprovider.Pool) *Row {
	r := a.rows[p]
	if r == nil {
		r = &Row{Pool: p}
		a.rows[p] = r
	}
	return r
}

// spend books money on what a machine is doing.
func (m *machine) spend(state Machine, money float64) {
	m.rate = state.Rate
	m.perCPU += money / state.CPUs
	busy := state.Running + state.Fetching
	switch {
	case state.Cut && !state.Up:
		m.row.Spent[CutBoot] += money
		return
	case state.Cut && busy == 0:
		m.row.Spent[CutEmpty] += money
	case !state.Up:
		m.boot += money
		return
	case busy == 0:
		m.empty += money
	default:
		m.markOccupied()
		m.row.Spent[Fetching] += money * state.Fetching / state.CPUs
		m.row.Spent[Beside] += money * (state.CPUs - busy) / state.CPUs
		m.row.Spent[Unfinished] += money * state.Running / state.CPUs
	}
	m.up = true
}

// markOccupied books the cost of the time for which a machine was empty, now that it has tasks.
func (m *machine) markOccupied() {
	use := Before
	if m.hadTasks {
		use = Between
	}
	m.row.Spent[use] += m.empty
	m.empty, m.hadTasks = 0, true
}

// endMachine closes the account of a machine that is no longer billed. The time since the last
// observation, up to half a second, is not accounted for.
func (a *Account) endMachine(at units.Microseconds, m *machine) {
	m.close()
	if left := cloudprovider.MinimumCharge - (at - m.host.CreatedAt); left > 0 && m.host.DiedAt == units.MaxTime && !m.host.Reclaimed {
		m.row.Spent[Least] += m.rate * left.Seconds() / 3600
	}
}

// close books the costs whose use was open until the machine ended.
func (m *machine) close() {
	switch {
	case !m.up:
		m.row.Spent[NeverUp] += m.boot
	case !m.hadTasks:
		m.row.Spent[Boot] += m.boot
		m.row.Spent[Unused] += m.empty
	default:
		m.row.Spent[Boot] += m.boot
		m.row.Spent[After] += m.empty
	}
	m.boot, m.empty = 0, 0
}

// TaskStarted records that a task runs on a machine, with its image fetched.
func (a *Account) TaskStarted(name string, id jobs.TaskID, cpus float64) {
	if m := a.live[name]; m != nil {
		m.tasks[id] = taskCost{cpus, m.perCPU}
	}
}

// TaskEnded records that a task no longer runs on a machine, and whether it completed.
func (a *Account) TaskEnded(name string, id jobs.TaskID, completed bool) {
	host := a.live[name]
	if host == nil {
		return
	}
	t, ok := host.tasks[id]
	if !ok {
		return
	}
	delete(host.tasks, id)
	use := Lost
	if completed {
		use = Useful
	}
	money := t.cpus * (host.perCPU - t.perCPU)
	host.row.Spent[use] += money
	host.row.Spent[Unfinished] -= money
}

// Rows closes the account and returns the costs up to the last observation, by pool.
func (a *Account) Rows() []Row {
	for _, m := range a.live {
		m.close()
	}
	clear(a.live)
	var out []Row
	for _, p := range slices.SortedFunc(maps.Keys(a.rows), func(x, y cloudprovider.Pool) int {
		return cmp.Or(cmp.Compare(x.Type, y.Type), cmp.Compare(x.Zone, y.Zone), -boolean(x.Spot)+boolean(y.Spot))
	}) {
		out = append(out, *a.rows[p])
	}
	return out
}

func boolean(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Sum returns the sum of rows.
func Sum(rows []Row) Row {
	var out Row
	for _, r := range rows {
		out.Machines += r.Machines
		for u, v := range r.Spent {
			out.Spent[u] += v
		}
	}
	return out
}
