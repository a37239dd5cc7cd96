// Package scenario reads scenario files. A scenario file is TOML and describes a deployment, its load, the
// injected faults and the expected results. Errors are reported with line and column. Durations are in seconds,
// sizes in GB and prices per hour.
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

// Scenario is the content of a scenario file.
type Scenario struct {
	Name        string      `toml:"name"`
	About       string      `toml:"about"`
	Base        string      `toml:"base"` // file in the same directory, whose values this file overrides
	Seed        uint64      `toml:"seed"`
	DurationS   float64     `toml:"duration_s"` // length of a run; a run of "up" ends earlier if all jobs have finished
	Controllers Controllers `toml:"controllers"`
	State       State       `toml:"state"`
	Cloud       Cloud       `toml:"cloud"`
	Workers     Workers     `toml:"workers"`
	Users       Users       `toml:"users"`
	// Tuning overrides tuning parameters of the controllers, by their names in the controllers' settings. A
	// parameter that has its own field in Controllers is always set from that field.
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

// Controllers holds the number of controllers and the resources and settings of each.
type Controllers struct {
	Count         int      `toml:"count"`
	Zones         []string `toml:"zones"`
	CPU           float64  `toml:"cpu"` // cores; fractions are allowed
	MemoryMB      float64  `toml:"memory_mb"`
	Sockets       int      `toml:"sockets"`
	RestartS      float64  `toml:"restart_s"` // from the end of a process to its restart
	ClockErrorMS  float64  `toml:"clock_error_ms"`
	LeaseS        float64  `toml:"lease_s"`
	BlockMachines float64  `toml:"block_machines"`
	KeepDone      float64  `toml:"keep_done"`
	PackSettleS   float64  `toml:"pack_settle_s"`
}

// Limits are request and size limits of the state service.
type Limits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// State describes the state service. Next holds the announced future limits, which the controllers get in their
// settings.
type State struct {
	Limits
	Next      Limits  `toml:"next"`
	LatencyMS float64 `toml:"latency_ms"`
}

// Cloud describes the cloud provider.
type Cloud struct {
	RPS         float64 `toml:"rps"`
	ListLagS    float64 `toml:"list_lag_s"`
	LatencyMS   float64 `toml:"latency_ms"`
	SpotPerHour float64 `toml:"spot_per_hour"` // share of the spot machines that is reclaimed per hour
	NoticeS     float64 `toml:"notice_s"`
	Silent      float64 `toml:"silent"` // share of the reclaimed machines that get no notice
	SickShare   float64 `toml:"sick_share"`
	SlowShare   float64 `toml:"slow_share"`
}

// Workers holds the heartbeat, lease and cancellation timing of all workers.
type Workers struct {
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// Users holds the behaviour of users that the protocol leaves open.
type Users struct {
	PollS       float64 `toml:"poll_s"`
	LateRetries float64 `toml:"late_retries"`
	Strangers   float64 `toml:"strangers"`
	Revisits    float64 `toml:"revisits"`
	// Load multiplies the number of jobs of each entry with a count. They are submitted in the same time. 0
	// means 1.
	Load float64 `toml:"load"`
}

// MachineType is a machine type of the cloud provider's price list.
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

// Capacity is the number of machines of a type in a zone: on-demand (Count) and spot (Spot).
type Capacity struct {
	Type  string `toml:"type"`
	Zone  string `toml:"zone"`
	Count int    `toml:"count"`
	Spot  int    `toml:"spot"`
}

// Team holds a team's guaranteed quota and its limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service level objective for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Job is one job or, with Count, a series of jobs that are submitted one after another.
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
	EstimateS    float64  `toml:"estimate_s"` // 0: the actual run time
	CheckpointS  float64  `toml:"checkpoint_s"`
	SaveS        float64  `toml:"save_s"`
	DeadlineS    float64  `toml:"deadline_s"`
	Awaits       []string `toml:"awaits"` // names of entries earlier in the file
	RunS         float64  `toml:"run_s"`  // actual run time of a task
	Vary         float64  `toml:"vary"`   // run times vary by up to this share in both directions
	Broken       bool     `toml:"broken"` // its tasks fail on every machine
	AtS          float64  `toml:"at_s"`   // time of the submission
	Count        int      `toml:"count"`
	EveryS       float64  `toml:"every_s"` // mean interval of a series
	CancelAfterS float64  `toml:"cancel_after_s"`
}

// Draw configures faults and jobs of any kind that are drawn from the seed.
type Draw struct {
	FromS float64 `toml:"from_s"`
	ToS   float64 `toml:"to_s"` // 0: no faults are drawn
	GapS  float64 `toml:"gap_s"`
	Pairs bool    `toml:"pairs"` // instead, two kinds at the same time, a few times; the seed selects them
	// Meet is the number of faults if they are drawn at events instead: the first one begins between FromS
	// and ToS, each later one at an event that the earlier faults lead to. Events lists the allowed events;
	// none allows any.
	Meet   int      `toml:"meet"`
	Events []string `toml:"events"`
	// Jobs is the number of jobs of any kind that are drawn from the seed, in addition to those of the file.
	Jobs int `toml:"jobs"`
}

// Expect holds the expectations that a run must meet in addition to the rules.
type Expect struct {
	AllOver  bool    `toml:"all_over"`   // every accepted job has finished at the end
	MaxWaitS float64 `toml:"max_wait_s"` // longest time from a submission to the reply that the job has finished; 0: no limit
	MaxMoney float64 `toml:"max_money"`
	// MinServed is the minimum share of the jobs of each class and each team that must be done, and done in
	// time among the jobs with a deadline. 0 means no minimum.
	MinServed float64 `toml:"min_served"`
	// Events maps events of CountedEvents to the minimum number of times that each must happen, in simulated
	// time. A run in which the intended combination of faults does not occur proves nothing.
	Events map[string]int `toml:"events"`
}

var priorities = map[string]jobs.Priority{
	"": jobs.Normal, "low": jobs.Low, "normal": jobs.Normal, "high": jobs.High, "production": jobs.Production,
}

// FileError is an error in a scenario file or in another file that this package decodes.
type FileError struct {
	File      string
	Line, Col int // 0: unknown
	Text      string
}

func (m *FileError) Error() string {
	if m.Line == 0 {
		return fmt.Sprintf("%s: %s", m.File, m.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", m.File, m.Line, m.Col, m.Text)
}

// MaxFileBytes is the maximum size of a file.
const MaxFileBytes = 4 << 20

// ReadFile reads a file of at most MaxFileBytes. A larger file gives a FileError.
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

// Load reads and validates a scenario file, together with the base file that it names.
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
	return parseInto(base, file, b, true)
}

// LoadWithOverrides reads a file like Load and applies overrides, which are TOML of the same form. An error in
// the overrides is reported under name, with its line and column in over.
func LoadWithOverrides(file, name string, over []byte) (*Scenario, error) {
	s, err := Load(file)
	if err != nil || len(over) == 0 {
		return s, err
	}
	return parseInto(s, name, over, true)
}

// Decode decodes TOML into v, which may have any form. Errors, also unknown keys, are reported with line and
// column.
func Decode(file string, b []byte, v any) error {
	d := toml.NewDecoder(strings.NewReader(string(b)))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return decodeError(file, err)
	}
	return nil
}

// CheckJobs validates the jobs of a file of another form. Its teams are not checked against a deployment.
func CheckJobs(file string, b []byte, jobs []Job) error {
	c := checker{file: file, text: b}
	c.checkJobs(&Scenario{Jobs: jobs}, false)
	return c.err
}

// ErrorAt returns a FileError at the position of a key of the file, such as "setting[1].name".
func ErrorAt(file string, b []byte, path, format string, args ...any) error {
	c := checker{file: file, text: b}
	c.fail(path, format, args...)
	return c.err
}

// Defaults returns the small deployment whose values a scenario file overrides.
func Defaults() *Scenario {
	return &Scenario{Seed: 1, DurationS: 300,
		Controllers: Controllers{Count: 3, CPU: 1, MemoryMB: 512, Sockets: 1800, RestartS: 3, ClockErrorMS: 50, LeaseS: 2, KeepDone: 8192, PackSettleS: 600},
		State:       State{Limits: Limits{RPS: 200, WriteRPS: 80, ValueKB: 8, TxnOps: 12}, LatencyMS: 4},
		Cloud:       Cloud{RPS: 5, ListLagS: 4, LatencyMS: 80, NoticeS: 10, Silent: 0.1},
		Workers:     Workers{ReportS: 3, LeaseS: 12, CancelS: 40},
		Users:       Users{PollS: 5},
	}
}

// Parse decodes and validates the text of a file. With whole false, the file has jobs only and no deployment.
func Parse(file string, b []byte, whole bool) (*Scenario, error) {
	return parseInto(Defaults(), file, b, whole)
}

func parseInto(s *Scenario, file string, b []byte, whole bool) (*Scenario, error) {
	if err := Decode(file, b, s); err != nil {
		return nil, err
	}
	c := checker{file: file, text: b}
	if whole {
		c.checkDeployment(s)
	}
	c.checkJobs(s, whole)
	c.checkFaults(s)
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}

func decodeError(file string, err error) error {
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

// checker validates a file and keeps the first error.
type checker struct {
	file      string
	text      []byte
	positions map[string]position
	err       error
}

func (c *checker) fail(path, format string, args ...any) {
	if c.err != nil {
		return
	}
	if c.positions == nil {
		c.positions = positions(c.text)
	}
	// A missing key is reported at the position of its table.
	p, ok := c.positions[path]
	for at := path; !ok && at != ""; p, ok = c.positions[at] {
		at = at[:max(0, strings.LastIndexByte(at, '.'))]
	}
	c.err = &FileError{c.file, p.line, p.col, path + ": " + fmt.Sprintf(format, args...)}
}

func (c *checker) checkRange(path string, v, lo, hi float64) {
	if math.IsNaN(v) || v < lo || v > hi {
		c.fail(path, "want %g to %g, got %g", lo, hi, v)
	}
}

const maxAmount = 1e6

// isNameRune reports whether a name may contain the rune.
func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '.' || r == '-' || r == '_'
}

func (c *checker) checkName(path, v string) {
	if v == "" || len(v) > 100 || strings.ContainsFunc(v, func(r rune) bool { return !isNameRune(r) }) {
		c.fail(path, "want letters, digits, dots, dashes and underscores, got %q", v)
	}
}

func (c *checker) checkDeployment(s *Scenario) {
	n := s.Controllers
	c.checkRange("duration_s", s.DurationS, 1, 1e7)
	c.checkRange("controllers.count", float64(n.Count), 1, 99)
	c.checkRange("controllers.cpu", n.CPU, 0.001, 1024)
	c.checkRange("controllers.memory_mb", n.MemoryMB, 32, 1e7)
	c.checkRange("controllers.sockets", float64(n.Sockets), 32, 1e6)
	c.checkRange("controllers.restart_s", n.RestartS, 0, 3600)
	c.checkRange("controllers.clock_error_ms", n.ClockErrorMS, 0, 60_000)
	c.checkRange("controllers.lease_s", n.LeaseS, 1, 60)
	c.checkRange("controllers.block_machines", n.BlockMachines, 0, core.MaxShardMachines)
	c.checkRange("controllers.keep_done", n.KeepDone, 0, 1e9)
	c.checkRange("controllers.pack_settle_s", n.PackSettleS, 0, 1e9)
	for _, l := range []struct {
		path string
		Limits
		minimum float64 // 0 if the limit is optional
	}{{"state", s.State.Limits, 1}, {"state.next", s.State.Next, 0}} {
		c.checkRange(l.path+".rps", l.RPS, l.minimum, 1e6)
		c.checkRange(l.path+".write_rps", l.WriteRPS, l.minimum, 1e6)
		c.checkRange(l.path+".value_kb", l.ValueKB, 2*l.minimum, 1e6)
		c.checkRange(l.path+".txn_ops", float64(l.TxnOps), 3*l.minimum, 1e6)
	}
	c.checkRange("state.latency_ms", s.State.LatencyMS, 0, 60_000)
	c.checkRange("cloud.rps", s.Cloud.RPS, 0.1, 1e6)
	c.checkRange("cloud.list_lag_s", s.Cloud.ListLagS, 0, 3600)
	c.checkRange("cloud.latency_ms", s.Cloud.LatencyMS, 0, 60_000)
	c.checkRange("cloud.spot_per_hour", s.Cloud.SpotPerHour, 0, 1e4)
	c.checkRange("cloud.notice_s", s.Cloud.NoticeS, 0, 3600)
	c.checkRange("cloud.silent", s.Cloud.Silent, 0, 1)
	c.checkRange("cloud.sick_share", s.Cloud.SickShare, 0, 1)
	c.checkRange("cloud.slow_share", s.Cloud.SlowShare, 0, 1)
	c.checkRange("workers.report_s", s.Workers.ReportS, 0.1, 600)
	c.checkRange("workers.lease_s", s.Workers.LeaseS, 1, 3600)
	c.checkRange("workers.cancel_s", s.Workers.CancelS, 1, 3600)
	c.checkRange("users.poll_s", s.Users.PollS, 0.1, 3600)
	c.checkRange("users.late_retries", s.Users.LateRetries, 0, 1)
	c.checkRange("users.strangers", s.Users.Strangers, 0, 1)
	c.checkRange("users.revisits", s.Users.Revisits, 0, 1)
	c.checkRange("users.load", s.Users.Load, 0, 1000)
	c.checkRange("draw.from_s", s.Draw.FromS, 0, 1e6)
	c.checkRange("draw.to_s", s.Draw.ToS, 0, 1e6)
	c.checkRange("draw.gap_s", s.Draw.GapS, 0, 1e6)
	c.checkRange("draw.jobs", float64(s.Draw.Jobs), 0, 1000)
	c.checkDraw(s.Draw)
	c.checkExpectedEvents(s.Expect)
	if _, err := s.tuning(); err != nil {
		c.fail("tuning", "%s", strings.TrimPrefix(err.Error(), "tuning."))
	}
	c.checkTypes(s)
	if len(s.Teams) == 0 {
		c.fail("teams", "missing: at least one team is needed")
	}
	for i, t := range s.Teams {
		at := fmt.Sprintf("teams[%d]", i)
		c.checkName(at+".name", t.Name)
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			c.checkRange(at, v, 0, 1e9)
		}
		if slices.ContainsFunc(s.Teams[:i], func(o Team) bool { return o.Name == t.Name }) {
			c.fail(at+".name", "%q is named twice", t.Name)
		}
	}
}

func (c *checker) checkTypes(s *Scenario) {
	if len(s.Types) == 0 {
		c.fail("machine_types", "missing: at least one machine type is needed")
	}
	for i, t := range s.Types {
		at := fmt.Sprintf("machine_types[%d]", i)
		c.checkName(at+".name", t.Name)
		c.checkRange(at+".cpus", t.CPUs, 0.001, maxAmount)
		c.checkRange(at+".gpus", t.GPUs, 0, maxAmount)
		c.checkRange(at+".memory_gb", t.MemoryGB, 0.001, maxAmount)
		c.checkRange(at+".price", t.Price, 0, maxAmount)
		c.checkRange(at+".spot_price", t.SpotPrice, 0, maxAmount)
		c.checkRange(at+".cache_gb", t.CacheGB, 0, maxAmount)
		c.checkRange(at+".fetch_gb_per_s", t.FetchGBs, 0.001, maxAmount)
		c.checkRange(at+".boot_s", t.BootS, 0, 36_000)
		c.checkRange(at+".boot_fail", t.BootFail, 0, 1)
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
		c.checkRange(at+".count", float64(p.Count), 0, maxAmount)
		c.checkRange(at+".spot", float64(p.Spot), 0, maxAmount)
	}
	if len(s.Capacity) == 0 {
		c.fail("capacity", "missing: there are no machines to rent")
	}
}

func (c *checker) checkJobs(s *Scenario, whole bool) {
	names := map[string]bool{}
	for i, j := range s.Jobs {
		at := fmt.Sprintf("job[%d]", i)
		c.checkName(at+".name", j.Name)
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
		c.checkRange(at+".tasks", float64(j.Tasks), 1, jobs.MaxTasks)
		c.checkRange(at+".cpus", j.CPUs, 0, maxAmount)
		c.checkRange(at+".gpus", j.GPUs, 0, maxAmount)
		c.checkRange(at+".memory_gb", j.MemoryGB, 0, maxAmount)
		c.checkRange(at+".image_gb", j.ImageGB, 0, maxAmount)
		c.checkRange(at+".estimate_s", j.EstimateS, 0, maxAmount)
		c.checkRange(at+".checkpoint_s", j.CheckpointS, 0, maxAmount)
		c.checkRange(at+".save_s", j.SaveS, 0, maxAmount)
		c.checkRange(at+".deadline_s", j.DeadlineS, 0, maxAmount)
		c.checkRange(at+".run_s", j.RunS, 0, maxAmount)
		c.checkRange(at+".vary", j.Vary, 0, 1)
		c.checkRange(at+".at_s", j.AtS, 0, maxAmount)
		c.checkRange(at+".count", float64(j.Count), 0, 1e7)
		c.checkRange(at+".every_s", j.EveryS, 0, maxAmount)
		c.checkRange(at+".cancel_after_s", j.CancelAfterS, 0, maxAmount)
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

// Spec returns the job spec that the user submits, without its dependencies.
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
