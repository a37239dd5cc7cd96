// Package scenario reads the files that describe a deployment, its load, faults
// and what is expected of it: TOML, in standard terms, whose mistakes are told
// with line and column. Durations are in seconds, sizes in GB, prices an hour.
package scenario

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Scenario is a whole file.
type Scenario struct {
	Name        string      `toml:"name"`
	About       string      `toml:"about"`
	Base        string      `toml:"base"` // file beside this one, of which this one changes what it names
	Seed        uint64      `toml:"seed"`
	DurationS   float64     `toml:"duration_s"` // of the play; a run of "up" ends when all jobs are over
	Controllers Controllers `toml:"controllers"`
	State       State       `toml:"state"`
	Cloud       Cloud       `toml:"cloud"`
	Workers     Workers     `toml:"workers"`
	Users       Users       `toml:"users"`
	// Tuning are knobs of the controllers' settings, by their names there; those that
	// have a field of their own under controllers are set by that.
	Tuning     map[string]float64 `toml:"tuning,omitempty"`
	Types      []MachineType      `toml:"machine_types"`
	Capacity   []Capacity         `toml:"capacity"`
	Teams      []Team             `toml:"teams"`
	Objectives []Objective        `toml:"objectives"`
	Jobs       []Job              `toml:"job"`
	Faults     []Fault            `toml:"fault"`
	Draw       Draw               `toml:"draw"`
	Expect     Expect             `toml:"expect"`
}

// Controllers says how many there are and what each has.
type Controllers struct {
	Count         int      `toml:"count"`
	Zones         []string `toml:"zones"`
	CPU           float64  `toml:"cpu"` // share of a core
	MemoryMB      float64  `toml:"memory_mb"`
	Sockets       int      `toml:"sockets"`
	RestartS      float64  `toml:"restart_s"` // from an end to the next start
	ClockErrorMS  float64  `toml:"clock_error_ms"`
	LeaseS        float64  `toml:"lease_s"`
	BlockMachines float64  `toml:"block_machines"`
	KeepDone      float64  `toml:"keep_done"`
	PackSettleS   float64  `toml:"pack_settle_s"`
}

// Limits of the state service.
type Limits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// State describes the state service; Next is what controllers are told that its
// limits will be.
type State struct {
	Limits
	Next      Limits  `toml:"next"`
	LatencyMS float64 `toml:"latency_ms"`
}

// Cloud describes the cloud.
type Cloud struct {
	RPS         float64 `toml:"rps"`
	ListLagS    float64 `toml:"list_lag_s"`
	LatencyMS   float64 `toml:"latency_ms"`
	SpotPerHour float64 `toml:"spot_per_hour"` // spot machines taken back, as a share
	NoticeS     float64 `toml:"notice_s"`
	Silent      float64 `toml:"silent"` // share of those taken without a notice
	SickShare   float64 `toml:"sick_share"`
	SlowShare   float64 `toml:"slow_share"`
}

// Workers holds the timing that every worker follows.
type Workers struct {
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// Users says how users behave beyond what the protocol fixes.
type Users struct {
	PollS       float64 `toml:"poll_s"`
	LateRetries float64 `toml:"late_retries"`
	Strangers   float64 `toml:"strangers"`
	Revisits    float64 `toml:"revisits"`
	// Load has users submit so many times the jobs of each entry with a count, in the same time;
	// 0: once.
	Load float64 `toml:"load"`
}

// MachineType is a type on the price list.
type MachineType struct {
	Name      string  `toml:"name"`
	CPUs      float64 `toml:"cpus"`
	GPUs      float64 `toml:"gpus"`
	MemoryGB  float64 `toml:"memory_gb"`
	Price     float64 `toml:"price"`
	SpotPrice float64 `toml:"spot_price"`
	CacheGB   float64 `toml:"cache_gb"`
	FetchGBs  float64 `toml:"fetch_gb_per_s"`
	BootS     float64 `toml:"boot_s"`
	BootFail  float64 `toml:"boot_fail"`
}

// Capacity is how many machines of a type a zone has: ordinary and spot ones.
type Capacity struct {
	Type  string `toml:"type"`
	Zone  string `toml:"zone"`
	Count int    `toml:"count"`
	Spot  int    `toml:"spot"`
}

// Team holds a team's guarantee and limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is an aim for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Job is one job, or with Count several that come one after another.
type Job struct {
	Name         string   `toml:"name"`
	Class        string   `toml:"class"`
	Team         string   `toml:"team"`
	Kind         string   `toml:"kind"`     // "array" (default) or "service"
	Priority     string   `toml:"priority"` // "low", "normal" (default), "high" or "production"
	Tasks        int      `toml:"tasks"`
	CPUs         float64  `toml:"cpus"`
	GPUs         float64  `toml:"gpus"`
	MemoryGB     float64  `toml:"memory_gb"`
	Image        string   `toml:"image"`
	ImageGB      float64  `toml:"image_gb"`
	Types        []string `toml:"types"`
	Zone         string   `toml:"zone"`
	OneZone      bool     `toml:"one_zone"`
	Spread       bool     `toml:"spread"`
	Spot         bool     `toml:"spot"`
	EstimateS    float64  `toml:"estimate_s"` // 0: as long as it really runs
	CheckpointS  float64  `toml:"checkpoint_s"`
	SaveS        float64  `toml:"save_s"`
	DeadlineS    float64  `toml:"deadline_s"`
	Awaits       []string `toml:"awaits"` // names of jobs further up
	RunS         float64  `toml:"run_s"`  // how long a task really runs
	Vary         float64  `toml:"vary"`   // tasks run up to this share shorter or longer
	Broken       bool     `toml:"broken"` // fails on every machine
	AtS          float64  `toml:"at_s"`   // of the submission
	Count        int      `toml:"count"`
	EveryS       float64  `toml:"every_s"` // between several, on average
	CancelAfterS float64  `toml:"cancel_after_s"`
}

// Draw lets faults of any kind be drawn from the seed.
type Draw struct {
	FromS float64 `toml:"from_s"`
	ToS   float64 `toml:"to_s"` // 0: none are drawn
	GapS  float64 `toml:"gap_s"`
	Pairs bool    `toml:"pairs"` // instead, two kinds at once, a few times: the seed says which
	// Meet is how many troubles are drawn by their meeting instead: the first between FromS and
	// ToS, each other at one of Events (none: any) that follows from those before it.
	Meet   int      `toml:"meet"`
	Events []string `toml:"events"`
}

// Expect says what must hold beside the rules.
type Expect struct {
	AllOver  bool    `toml:"all_over"`   // every job that was accepted is over at the end
	MaxWaitS float64 `toml:"max_wait_s"` // longest time from a submission to the answer that the job is over; 0: any
	MaxMoney float64 `toml:"max_money"`
	// MinServed is the least share of the jobs of each class and of each team that must be
	// done, and of those with a deadline in time; 0: any.
	MinServed float64 `toml:"min_served"`
	// Events is how often each of some CountedEvents must happen at least, in simulated
	// time: a play in which a fault combination did not come about proves nothing.
	Events map[string]int `toml:"events"`
}

var priorities = map[string]jobs.Priority{
	"": jobs.Normal, "low": jobs.Low, "normal": jobs.Normal, "high": jobs.High, "production": jobs.Production,
}

// FileError is something wrong in a file.
type FileError struct {
	File      string
	Line, Col int // 0: not known
	Text      string
}

func (m *FileError) Error() string {
	if m.Line == 0 {
		return fmt.Sprintf("%s: %s", m.File, m.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", m.File, m.Line, m.Col, m.Text)
}

// MaxFileBytes bounds a file.
const MaxFileBytes = 4 << 20

// ReadFile reads a file that is not too long.
func ReadFile(file string) ([]byte, error) {
	st, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if st.Size() > MaxFileBytes {
		return nil, &FileError{File: file, Text: fmt.Sprintf("longer than %d bytes", MaxFileBytes)}
	}
	return os.ReadFile(file)
}

// Load reads and checks a file.
func Load(file string) (*Scenario, error) {
	b, err := ReadFile(file)
	if err != nil {
		return nil, err
	}
	var head struct {
		Base string `toml:"base"`
	}
	if toml.Unmarshal(b, &head) != nil || head.Base == "" {
		return Parse(file, b, true)
	}
	if filepath.Base(head.Base) != head.Base {
		return nil, &FileError{File: file, Text: fmt.Sprintf("base: want the name of a file beside this one, got %q", head.Base)}
	}
	base, err := Load(filepath.Join(filepath.Dir(file), head.Base))
	if err != nil {
		return nil, err
	}
	if base.Base != "" {
		return nil, &FileError{File: file, Text: "base: a base may have none itself"}
	}
	return parseOver(base, file, b, true)
}

// LoadWithOverrides reads a file and what changes some of it, in the file's own form. Mistakes of
// the latter are told with lines and columns of it, under its name.
func LoadWithOverrides(file, name string, over []byte) (*Scenario, error) {
	s, err := Load(file)
	if err != nil || len(over) == 0 {
		return s, err
	}
	return parseOver(s, name, over, true)
}

// Decode reads a file of another form into v; unknown keys and mistakes are told with line
// and column.
func Decode(file string, b []byte, v any) error {
	d := toml.NewDecoder(strings.NewReader(string(b)))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return mistakeOf(file, err)
	}
	return nil
}

// CheckJobs looks for what cannot be worked with in jobs that a file of another form has.
func CheckJobs(file string, b []byte, jobs []Job) error {
	c := checker{file: file, text: b}
	c.jobs(&Scenario{Jobs: jobs}, false)
	return c.found
}

// ErrorAt tells a mistake at a key of a file, such as "setting[1].name".
func ErrorAt(file string, b []byte, path, format string, args ...any) error {
	c := checker{file: file, text: b}
	c.fail(path, format, args...)
	return c.found
}

// Defaults returns the deployment that a file changes: a small one.
func Defaults() *Scenario {
	return &Scenario{Seed: 1, DurationS: 300,
		Controllers: Controllers{Count: 3, CPU: 1, MemoryMB: 512, Sockets: 1800, RestartS: 3, ClockErrorMS: 50, LeaseS: 2, KeepDone: 8192, PackSettleS: 600},
		State:       State{Limits: Limits{RPS: 200, WriteRPS: 80, ValueKB: 8, TxnOps: 12}, LatencyMS: 4},
		Cloud:       Cloud{RPS: 5, ListLagS: 4, LatencyMS: 80, NoticeS: 10, Silent: 0.1},
		Workers:     Workers{ReportS: 3, LeaseS: 12, CancelS: 40},
		Users:       Users{PollS: 5},
	}
}

// Parse reads a file's text. A file of jobs alone (whole false) describes no deployment.
func Parse(file string, b []byte, whole bool) (*Scenario, error) {
	return parseOver(Defaults(), file, b, whole)
}

func parseOver(s *Scenario, file string, b []byte, whole bool) (*Scenario, error) {
	if err := Decode(file, b, s); err != nil {
		return nil, err
	}
	c := checker{file: file, text: b}
	if whole {
		c.deployment(s)
	}
	c.jobs(s, whole)
	c.faults(s)
	if c.found != nil {
		return nil, c.found
	}
	return s, nil
}

func mistakeOf(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		line, col := e.Position()
		return &FileError{file, line, col, fmt.Sprintf("unknown key %s", strings.Join(e.Key(), "."))}
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		line, col := dec.Position()
		return &FileError{file, line, col, strings.TrimPrefix(dec.Error(), "toml: ")}
	}
	return &FileError{File: file, Text: strings.TrimPrefix(err.Error(), "toml: ")}
}

// checker looks for the first value that cannot be worked with.
type checker struct {
	file  string
	text  []byte
	where map[string]position
	found error
}

func (c *checker) fail(path, format string, args ...any) {
	if c.found != nil {
		return
	}
	if c.where == nil {
		c.where = positions(c.text)
	}
	// A key that is missing is told at the table that it is missing from.
	p, ok := c.where[path]
	for at := path; !ok && at != ""; p, ok = c.where[at] {
		at = at[:max(0, strings.LastIndexByte(at, '.'))]
	}
	c.found = &FileError{c.file, p.line, p.col, path + ": " + fmt.Sprintf(format, args...)}
}

func (c *checker) within(path string, v, lo, hi float64) {
	if math.IsNaN(v) || v < lo || v > hi {
		c.fail(path, "want %g to %g, got %g", lo, hi, v)
	}
}

const maxAmount = 1e6

// isPlain reports whether a rune may be in a name.
func isPlain(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '.' || r == '-' || r == '_'
}

func (c *checker) name(path, v string) {
	if v == "" || len(v) > 100 || strings.ContainsFunc(v, func(r rune) bool { return !isPlain(r) }) {
		c.fail(path, "want letters, digits, dots, dashes and underscores, got %q", v)
	}
}

func (c *checker) deployment(s *Scenario) {
	n := s.Controllers
	c.within("duration_s", s.DurationS, 1, 1e7)
	c.within("controllers.count", float64(n.Count), 1, 99)
	c.within("controllers.cpu", n.CPU, 0.001, 1024)
	c.within("controllers.memory_mb", n.MemoryMB, 32, 1e7)
	c.within("controllers.sockets", float64(n.Sockets), 32, 1e6)
	c.within("controllers.restart_s", n.RestartS, 0, 3600)
	c.within("controllers.clock_error_ms", n.ClockErrorMS, 0, 60_000)
	c.within("controllers.lease_s", n.LeaseS, 1, 60)
	c.within("controllers.block_machines", n.BlockMachines, 0, core.MaxShardMachines)
	c.within("controllers.keep_done", n.KeepDone, 0, 1e9)
	c.within("controllers.pack_settle_s", n.PackSettleS, 0, 1e9)
	for _, l := range []struct {
		path string
		Limits
		least float64 // 0 where a limit may be left out
	}{{"state", s.State.Limits, 1}, {"state.next", s.State.Next, 0}} {
		c.within(l.path+".rps", l.RPS, l.least, 1e6)
		c.within(l.path+".write_rps", l.WriteRPS, l.least, 1e6)
		c.within(l.path+".value_kb", l.ValueKB, 2*l.least, 1e6)
		c.within(l.path+".txn_ops", float64(l.TxnOps), 3*l.least, 1e6)
	}
	c.within("state.latency_ms", s.State.LatencyMS, 0, 60_000)
	c.within("cloud.rps", s.Cloud.RPS, 0.1, 1e6)
	c.within("cloud.list_lag_s", s.Cloud.ListLagS, 0, 3600)
	c.within("cloud.latency_ms", s.Cloud.LatencyMS, 0, 60_000)
	c.within("cloud.spot_per_hour", s.Cloud.SpotPerHour, 0, 1e4)
	c.within("cloud.notice_s", s.Cloud.NoticeS, 0, 3600)
	c.within("cloud.silent", s.Cloud.Silent, 0, 1)
	c.within("cloud.sick_share", s.Cloud.SickShare, 0, 1)
	c.within("cloud.slow_share", s.Cloud.SlowShare, 0, 1)
	c.within("workers.report_s", s.Workers.ReportS, 0.1, 600)
	c.within("workers.lease_s", s.Workers.LeaseS, 1, 3600)
	c.within("workers.cancel_s", s.Workers.CancelS, 1, 3600)
	c.within("users.poll_s", s.Users.PollS, 0.1, 3600)
	c.within("users.late_retries", s.Users.LateRetries, 0, 1)
	c.within("users.strangers", s.Users.Strangers, 0, 1)
	c.within("users.revisits", s.Users.Revisits, 0, 1)
	c.within("users.load", s.Users.Load, 0, 1000)
	c.within("draw.from_s", s.Draw.FromS, 0, 1e6)
	c.within("draw.to_s", s.Draw.ToS, 0, 1e6)
	c.within("draw.gap_s", s.Draw.GapS, 0, 1e6)
	c.events(s.Draw)
	c.expectedEvents(s.Expect)
	if _, err := s.tuning(); err != nil {
		c.fail("tuning", "%s", strings.TrimPrefix(err.Error(), "tuning."))
	}
	c.types(s)
	if len(s.Teams) == 0 {
		c.fail("teams", "missing: at least one team is needed")
	}
	for i, t := range s.Teams {
		at := fmt.Sprintf("teams[%d]", i)
		c.name(at+".name", t.Name)
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			c.within(at, v, 0, 1e9)
		}
		if slices.ContainsFunc(s.Teams[:i], func(o Team) bool { return o.Name == t.Name }) {
			c.fail(at+".name", "%q is named twice", t.Name)
		}
	}
}

func (c *checker) types(s *Scenario) {
	if len(s.Types) == 0 {
		c.fail("machine_types", "missing: at least one machine type is needed")
	}
	for i, t := range s.Types {
		at := fmt.Sprintf("machine_types[%d]", i)
		c.name(at+".name", t.Name)
		c.within(at+".cpus", t.CPUs, 0.001, maxAmount)
		c.within(at+".gpus", t.GPUs, 0, maxAmount)
		c.within(at+".memory_gb", t.MemoryGB, 0.001, maxAmount)
		c.within(at+".price", t.Price, 0, maxAmount)
		c.within(at+".spot_price", t.SpotPrice, 0, maxAmount)
		c.within(at+".cache_gb", t.CacheGB, 0, maxAmount)
		c.within(at+".fetch_gb_per_s", t.FetchGBs, 0.001, maxAmount)
		c.within(at+".boot_s", t.BootS, 0, 36_000)
		c.within(at+".boot_fail", t.BootFail, 0, 1)
	}
	if len(s.Controllers.Zones) == 0 {
		c.fail("controllers.zones", "missing: at least one zone is needed")
	}
	for i, p := range s.Capacity {
		at := fmt.Sprintf("capacity[%d]", i)
		if !slices.ContainsFunc(s.Types, func(t MachineType) bool { return t.Name == p.Type }) {
			c.fail(at+".type", "there is no machine type %q", p.Type)
		}
		if !slices.Contains(s.Controllers.Zones, p.Zone) {
			c.fail(at+".zone", "%q is none of controllers.zones", p.Zone)
		}
		c.within(at+".count", float64(p.Count), 0, maxAmount)
		c.within(at+".spot", float64(p.Spot), 0, maxAmount)
	}
	if len(s.Capacity) == 0 {
		c.fail("capacity", "missing: there are no machines to rent")
	}
}

func (c *checker) jobs(s *Scenario, whole bool) {
	names := map[string]bool{}
	for i, j := range s.Jobs {
		at := fmt.Sprintf("job[%d]", i)
		c.name(at+".name", j.Name)
		if names[j.Name] {
			c.fail(at+".name", "%q is named twice", j.Name)
		}
		if _, ok := priorities[j.Priority]; !ok {
			c.fail(at+".priority", "want low, normal, high or production, got %q", j.Priority)
		}
		if !slices.Contains([]string{"", "array", "service"}, j.Kind) {
			c.fail(at+".kind", "want array or service, got %q", j.Kind)
		}
		if whole && !slices.ContainsFunc(s.Teams, func(t Team) bool { return t.Name == j.Team }) {
			c.fail(at+".team", "there is no team %q", j.Team)
		}
		if j.Team == "" {
			c.fail(at+".team", "missing")
		}
		c.within(at+".tasks", float64(j.Tasks), 1, jobs.MaxTasks)
		c.within(at+".cpus", j.CPUs, 0, maxAmount)
		c.within(at+".gpus", j.GPUs, 0, maxAmount)
		c.within(at+".memory_gb", j.MemoryGB, 0, maxAmount)
		c.within(at+".image_gb", j.ImageGB, 0, maxAmount)
		c.within(at+".estimate_s", j.EstimateS, 0, maxAmount)
		c.within(at+".checkpoint_s", j.CheckpointS, 0, maxAmount)
		c.within(at+".save_s", j.SaveS, 0, maxAmount)
		c.within(at+".deadline_s", j.DeadlineS, 0, maxAmount)
		c.within(at+".run_s", j.RunS, 0, maxAmount)
		c.within(at+".vary", j.Vary, 0, 1)
		c.within(at+".at_s", j.AtS, 0, maxAmount)
		c.within(at+".count", float64(j.Count), 0, 1e7)
		c.within(at+".every_s", j.EveryS, 0, maxAmount)
		c.within(at+".cancel_after_s", j.CancelAfterS, 0, maxAmount)
		for k, a := range j.Awaits {
			if !names[a] {
				c.fail(fmt.Sprintf("%s.awaits", at), "awaits[%d]: there is no job %q further up", k, a)
			} else if o := s.Jobs[slices.IndexFunc(s.Jobs, func(o Job) bool { return o.Name == a })]; o.Kind == "service" {
				c.fail(fmt.Sprintf("%s.awaits", at), "%q is a service, which is never done", a)
			}
		}
		names[j.Name] = true
	}
}

// Spec returns what a job's user submits, but for what it awaits.
func (j Job) Spec() *jobs.Spec {
	estimate := j.EstimateS
	if estimate == 0 && j.Kind != "service" {
		estimate = j.RunS
	}
	image := j.Image
	if image == "" {
		image = "plain"
	}
	class := j.Class
	if class == "" {
		class = j.Name
	}
	return &jobs.Spec{Class: class, Team: j.Team, Service: j.Kind == "service", Priority: priorities[j.Priority], Tasks: j.Tasks,
		Demand: binpack.Vec{units.Milli(j.CPUs), units.Milli(j.GPUs), units.Milli(j.MemoryGB)}, AnyType: len(j.Types) == 0, Types: j.Types,
		Zone: j.Zone, OneZone: j.OneZone, Spread: j.Spread, Spot: j.Spot, Image: image, ImageMB: units.Milli(j.ImageGB),
		Estimate: units.Seconds(estimate), Checkpoint: units.Seconds(j.CheckpointS), Save: units.Seconds(j.SaveS), Deadline: units.Seconds(j.DeadlineS)}
}
