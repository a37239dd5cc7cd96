// Package account says where the money for machines goes: what they were doing while
// they were paid for, by pool. Like the meter it goes by what machines did, and believes
// no controller. It is pure.
package account

import (
	"cmp"
	"maps"
	"slices"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
)

// Interval is how often an account looks at the machines: what holds at a look is taken to
// have held since the one before.
const Interval = units.Second / 2

// Use is what money was spent on.
type Use int

// Uses, in the order in which a machine comes to them. Of a machine that holds tasks, each
// CPU's money goes to what that CPU does.
const (
	Boot       Use = iota // until the worker began
	NeverUp               // the same of machines whose worker never did
	Unused                // up, and held no task until they were gone
	Before                // empty, until the first task came
	Between               // empty, and a task came later
	After                 // empty, and none came any more
	Fetching              // held by tasks that waited for their image
	Beside                // free, while other CPUs of the machine were held
	Useful                // tasks that completed
	Lost                  // tasks that did not complete
	Unfinished            // tasks that were on their machine when the play ended
	Least                 // charged for machines that were gone before the least charge was used up
	CutEmpty              // up and empty in a zone that was cut off
	CutBoot               // booting in one
	Uses
)

// Names are the uses as reports call them.
var Names = [Uses]string{"boot", "never_up", "unused", "before", "between", "after", "fetching", "beside", "useful", "lost", "unfinished", "least", "cut_empty", "cut_boot"}

// Machine is a machine that is paid for, as a look finds it.
type Machine struct {
	*cloudprovider.Machine
	Up                bool
	Cut               bool // its zone is cut off
	CPUs              float64
	Running, Fetching float64 // CPUs that tasks hold
	Rate              float64 // money an hour
}

// Row is what one pool's machines cost, by use.
type Row struct {
	Pool     cloudprovider.Pool
	Machines int
	Spent    [Uses]float64
}

// Total is what a row's machines cost.
func (r *Row) Total() float64 {
	var sum float64
	for _, v := range r.Spent {
		sum += v
	}
	return sum
}

type machine struct {
	host   *cloudprovider.Machine
	row    *Row
	up     bool
	worked bool
	boot   float64
	empty  float64 // since it last held a task
	perCPU float64 // what a CPU of it has cost since the first look
	rate   float64
	tasks  map[jobs.TaskID]held
}

// held is a task's CPUs and what one had cost when it began.
type held struct{ cpus, perCPU float64 }

// Account is a play's. Its memory grows with the machines that are rented at one time.
type Account struct {
	rows map[cloudprovider.Pool]*Row
	live map[string]*machine
	at   units.Microseconds
}

// New returns an account of nothing.
func New() *Account {
	return &Account{rows: map[cloudprovider.Pool]*Row{}, live: map[string]*machine{}}
}

// Observe takes all machines that are paid for at a time.
func (a *Account) Observe(at units.Microseconds, list []Machine) {
	hours := (at - a.at).Seconds() / 3600
	a.at = at
	there := make(map[string]bool, len(list))
	for _, x := range list {
		there[x.Name] = true
		m := a.live[x.Name]
		since := hours
		if m == nil {
			m = &machine{host: x.Machine, row: a.row(x.Pool), tasks: map[jobs.TaskID]held{}}
			m.row.Machines++
			a.live[x.Name] = m
			since = (at - x.CreatedAt).Seconds() / 3600 // it was rented since the last look
		}
		m.spend(x, x.Rate*since)
	}
	for name, m := range a.live {
		if !there[name] {
			a.gone(at, m)
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

// spend adds money to what a machine is doing.
func (m *machine) spend(x Machine, money float64) {
	m.rate = x.Rate
	m.perCPU += money / x.CPUs
	busy := x.Running + x.Fetching
	switch {
	case x.Cut && !x.Up:
		m.row.Spent[CutBoot] += money
		return
	case x.Cut && busy == 0:
		m.row.Spent[CutEmpty] += money
	case !x.Up:
		m.boot += money
		return
	case busy == 0:
		m.empty += money
	default:
		m.filled()
		m.row.Spent[Fetching] += money * x.Fetching / x.CPUs
		m.row.Spent[Beside] += money * (x.CPUs - busy) / x.CPUs
		m.row.Spent[Unfinished] += money * x.Running / x.CPUs
	}
	m.up = true
}

// filled notes that a machine holds tasks, after it was empty.
func (m *machine) filled() {
	use := Before
	if m.worked {
		use = Between
	}
	m.row.Spent[use] += m.empty
	m.empty, m.worked = 0, true
}

// gone closes a machine's account. What was left of its last half second is not seen, and
// neither is it paid for.
func (a *Account) gone(at units.Microseconds, m *machine) {
	m.close()
	if left := cloudprovider.MinimumCharge - (at - m.host.CreatedAt); left > 0 && m.host.DiedAt == units.MaxTime && !m.host.Reclaimed {
		m.row.Spent[Least] += m.rate * left.Seconds() / 3600
	}
}

func (m *machine) close() {
	switch {
	case !m.up:
		m.row.Spent[NeverUp] += m.boot
	case !m.worked:
		m.row.Spent[Boot] += m.boot
		m.row.Spent[Unused] += m.empty
	default:
		m.row.Spent[Boot] += m.boot
		m.row.Spent[After] += m.empty
	}
	m.boot, m.empty = 0, 0
}

// TaskStarted says that a task is on a machine, with its image.
func (a *Account) TaskStarted(name string, id jobs.TaskID, cpus float64) {
	if m := a.live[name]; m != nil {
		m.tasks[id] = held{cpus, m.perCPU}
	}
}

// TaskEnded says that a task is no longer on a machine, and whether it completed.
func (a *Account) TaskEnded(name string, id jobs.TaskID, completed bool) {
	m := a.live[name]
	if m == nil {
		return
	}
	t, there := m.tasks[id]
	if !there {
		return
	}
	delete(m.tasks, id)
	use := Lost
	if completed {
		use = Useful
	}
	money := t.cpus * (m.perCPU - t.perCPU)
	m.row.Spent[use] += money
	m.row.Spent[Unfinished] -= money
}

// Rows returns what was spent by the last look, by pool; the account is closed.
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

// Sum adds rows up.
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
