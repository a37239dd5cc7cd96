// Package scalerun runs a deployment of several regions at a share of a stated target
// size: real controllers, state services, clouds and load balancers as processes of their
// own, a few workers that have a process each, hollow workers that share the clouds'
// processes, users, faults and a checker for each region. It measures what the run reached
// and what each role spent, and bounds itself by the machine that it runs on.
package scalerun

import (
	"errors"
	"math"
	"strings"

	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/scenario"
)

// File describes a run at its full size.
type File struct {
	Name  string `toml:"name"`
	About string `toml:"about"`
	Seed  uint64 `toml:"seed"`
	// WorkerProcesses is how many workers of each region have a process of their own, at
	// any size.
	WorkerProcesses int                  `toml:"worker_processes"`
	Target          Target               `toml:"target"`
	Load            Load                 `toml:"load"`
	Budget          Budget               `toml:"worker_budget"`
	Time            Time                 `toml:"time"`
	Controllers     scenario.Controllers `toml:"controllers"` // of each region; their zones follow from the target
	State           scenario.State       `toml:"state"`
	Cloud           scenario.Cloud       `toml:"cloud"`
	Workers         scenario.Workers     `toml:"workers"`
	Users           scenario.Users       `toml:"users"`
	BootS           float64              `toml:"boot_s"`
	Faults          []Fault              `toml:"fault"`
}

// Target is what all regions together are to reach.
type Target struct {
	Workers    int     `toml:"workers" json:"workers"`
	Tasks      int     `toml:"tasks" json:"tasks"` // on machines at once
	StartsPerS float64 `toml:"starts_per_s" json:"starts_per_s"`
	Teams      int     `toml:"teams" json:"teams"` // each has a part of its limit in each region
	Regions    int     `toml:"regions" json:"regions"`
	Zones      int     `toml:"zones" json:"zones"`
}

// Load says what the users submit. Run times of batch tasks follow from the target: as long
// as it takes to hold its tasks at its starts.
type Load struct {
	BatchTasks   int     `toml:"batch_tasks"`   // of a batch job at full size; falls with the root of the size
	UrgentTasks  int     `toml:"urgent_tasks"`  // of an urgent job
	UrgentShare  float64 `toml:"urgent_share"`  // of all starts
	UrgentRunS   float64 `toml:"urgent_run_s"`  // of an urgent task
	UrgentWithin float64 `toml:"urgent_within"` // seconds in which the first task of urgent work should start
	BatchWithin  float64 `toml:"batch_within"`  // seconds in which batch tasks should start
	ServiceShare float64 `toml:"service_share"` // of all tasks at once, replicas of services
	CancelShare  float64 `toml:"cancel_share"`  // of batch jobs that are cancelled while they wait or run
	AbroadShare  float64 `toml:"abroad_share"`  // of urgent jobs whose user is in another region
}

// Budget is what a worker may spend on control.
type Budget struct {
	CPU         float64 `toml:"cpu" json:"cpu"` // cores
	MemoryMB    float64 `toml:"memory_mb" json:"memory_mb"`
	KilobytesPS float64 `toml:"kilobytes_per_s" json:"kilobytes_per_s"`
}

// Time bounds the phases of a run.
type Time struct {
	FillS  float64 `toml:"fill_s"`  // workers come up and tasks begin
	HoldS  float64 `toml:"hold_s"`  // what the target is measured over
	DrainS float64 `toml:"drain_s"` // at most, once nothing more is submitted
}

// Kinds of faults.
const (
	FaultController = "controller" // a region's holder ends with no warning, and comes back
	FaultRack       = "rack"       // machines of one zone stop together
	FaultZone       = "zone"       // a zone is cut off with its controllers and machines
	FaultRegions    = "regions"    // no region reaches another
)

// Fault is a phase in which something goes wrong. Faults come one after another.
type Fault struct {
	Kind     string  `toml:"kind" json:"kind"`
	Region   int     `toml:"region" json:"region"`
	Machines int     `toml:"machines" json:"machines,omitempty"` // of a rack at full size; falls with the size
	ForS     float64 `toml:"for_s" json:"for_s"`                 // how long it lasts; of what ends at once, how long it is looked at
	SettleS  float64 `toml:"settle_s" json:"settle_s"`           // of the phase after that
}

// Bounds of a file.
const (
	maxWorkers = 20_000
	maxTasks   = 200_000
	maxStarts  = 2_000
	maxTeams   = configuration.MaxTeams
	maxRegions = 9
	maxZones   = 27
	maxFaults  = 20
	maxTotalS  = 3600
)

// MinSize and MaxSize bound a run's size, as a share of the file's target.
const (
	MinSize = 0.005
	MaxSize = 1.0
)

// Read reads and checks a file.
func Read(path string) (*File, error) {
	b, err := scenario.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, b)
}

// Parse reads a file's text. Mistakes are told with line and field.
func Parse(path string, b []byte) (*File, error) {
	d := scenario.Defaults()
	f := &File{Seed: 1, Controllers: d.Controllers, State: d.State, Cloud: d.Cloud, Workers: d.Workers, Users: d.Users, BootS: 3}
	if err := scenario.Decode(path, b, f); err != nil {
		return nil, err
	}
	if w, bad := f.mistake(); bad {
		return nil, scenario.ErrorAt(path, b, w.at, "%s", w.text)
	}
	// What is left to check is what a region's own file is checked for; the smallest will do.
	sized, err := f.At(MinSize)
	if err == nil {
		_, err = sized.Region(0)
	}
	var m *scenario.FileError
	if errors.As(err, &m) {
		// Tables of the region's file that come from this one have the same names here.
		at, text, _ := strings.Cut(m.Text, ": ")
		return nil, scenario.ErrorAt(path, b, at, "%s", text)
	}
	return f, err
}

func (f *File) totalS() float64 {
	t := f.Time.FillS + f.Time.HoldS + f.Time.DrainS
	for _, x := range f.Faults {
		t += x.ForS + x.SettleS
	}
	return t
}

func inside(v, lo, hi float64) bool { return !math.IsNaN(v) && v >= lo && v <= hi }
