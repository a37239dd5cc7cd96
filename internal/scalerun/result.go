package scalerun

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is how a run went.
type Result struct {
	Name          string         `json:"name"`
	About         string         `json:"about"`
	Version       string         `json:"version,omitempty"`
	Began         time.Time      `json:"began"`
	Size          float64        `json:"size"`
	Want          Target         `json:"target"`
	UrgentWithinS float64        `json:"urgent_within_s"`
	Budget        Budget         `json:"worker_budget"`
	Host          Host           `json:"machine"`
	Need          Need           `json:"reckoned_need"`
	ServedAfterS  float64        `json:"served_after_s"`
	Phases        []Phase        `json:"phases"`
	Over          bool           `json:"all_over"` // every job is over, as its user was told
	Stopped       string         `json:"stopped,omitempty"`
	FaultsFailed  []string       `json:"faults_failed,omitempty"`
	Regions       []RegionResult `json:"regions"`
	All           []*Counts      `json:"all"`           // by phase, all regions together
	CrossedBytes  []uint64       `json:"crossed_bytes"` // between regions, by phase
	Connections   []Connections  `json:"connections"`   // at the end of each phase
	Samples       []Sample       `json:"samples"`

	crossed uint64
	crosses int
}

// RegionResult is how a region went.
type RegionResult struct {
	Name     string       `json:"name"`
	Starts   int          `json:"starts"`
	Restarts int          `json:"restarts"` // of controllers
	Broken   []BrokenRule `json:"broken"`
	Phases   []*Counts    `json:"phases"`
}

// BrokenRule is a rule that the checker found broken.
type BrokenRule struct {
	Rule    string   `json:"rule"`
	Text    string   `json:"text"`
	History []string `json:"history"`
}

func (r *Result) add(s Sample) {
	slices.SortFunc(s.Workers, byName)
	r.Samples = append(r.Samples, s)
}

// cross takes how much has passed between regions by the end of a phase.
func (r *Result) cross(bytes uint64) {
	if r.crosses++; r.crosses > 1 {
		r.CrossedBytes = append(r.CrossedBytes, bytes-r.crossed)
	}
	r.crossed = bytes
}

// Broken returns how many rules were broken.
func (r *Result) Broken() (n int) {
	for _, x := range r.Regions {
		n += len(x.Broken)
	}
	return n
}

// in returns the samples of a phase.
func (r *Result) in(phase string) (out []Sample) {
	for _, s := range r.Samples {
		if s.Phase == phase {
			out = append(out, s)
		}
	}
	return out
}

// mean averages a figure over samples, each for as long as it took.
func mean(list []Sample, f func(Sample) float64) float64 {
	sum, took := 0.0, 0.0
	for _, s := range list {
		sum, took = sum+f(s)*s.TookS, took+s.TookS
	}
	if took == 0 {
		return 0
	}
	return sum / took
}

// Goal is a part of the target with what was reached.
type Goal struct {
	What    string  `json:"what"`
	Want    float64 `json:"want"`
	Got     float64 `json:"got"`
	AtMost  bool    `json:"at_most,omitempty"` // the wanted figure is an upper bound
	Reached bool    `json:"reached"`
}

// near is the share of a figure that counts as reached: a mean over a minute moves with
// what is drawn.
const near = 0.98

// Goals holds what was reached over the hold phase against the target.
func (r *Result) Goals() []Goal {
	hold := r.in(PhaseHold)
	out := []Goal{
		{What: "workers up, mean", Want: float64(r.Want.Workers), Got: mean(hold, func(s Sample) float64 { return float64(s.sum().Machines) })},
		{What: "tasks on machines, mean", Want: float64(r.Want.Tasks), Got: mean(hold, func(s Sample) float64 { return float64(s.sum().Running) })},
		{What: "starts a second, mean", Want: r.Want.StartsPerS, Got: r.rate(hold, func(s Sample) float64 { return float64(s.sum().Starts) })},
	}
	if h := r.histogram(PhaseHold, func(c *Counts) *hdrhistogram.Histogram { return c.urgent }); h.TotalCount() > 0 {
		out = append(out, Goal{What: "urgent work started, 95%, seconds", Want: r.UrgentWithinS, Got: float64(h.ValueAtQuantile(95)) / 1e6, AtMost: true})
	}
	for _, u := range r.WorkerUses() {
		out = append(out, Goal{What: u.Name + ", cores", Want: r.Budget.CPU, Got: u.CPU, AtMost: true},
			Goal{What: u.Name + ", MB", Want: r.Budget.MemoryMB, Got: u.MemoryMB, AtMost: true},
			Goal{What: u.Name + ", kB a second", Want: r.Budget.KilobytesPS, Got: u.KilobytesPS, AtMost: true})
	}
	for i := range out {
		g := &out[i]
		g.Reached = g.AtMost && g.Got <= g.Want || !g.AtMost && g.Got >= near*g.Want
	}
	return out
}

// Missed returns the goals that were not reached.
func (r *Result) Missed() (out []string) {
	for _, g := range r.Goals() {
		if !g.Reached {
			out = append(out, fmt.Sprintf("%s: %.4g, %.4g wanted", g.What, g.Got, g.Want))
		}
	}
	return out
}

// rate adds a figure up over samples, a second.
func (r *Result) rate(list []Sample, f func(Sample) float64) float64 {
	return mean(list, func(s Sample) float64 { return f(s) / s.TookS })
}

// histogram merges a histogram of a phase; "" means all phases.
func (r *Result) histogram(phase string, of func(*Counts) *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	h := newHist()
	for i, c := range r.All {
		if phase == "" || r.Phases[i].Name == phase {
			h.Merge(of(c))
		}
	}
	return h
}

// WorkerUses returns what each worker with a process of its own used over the hold phase:
// the means of processor and bytes, the most of memory.
func (r *Result) WorkerUses() (out []WorkerUse) {
	took := map[string]float64{}
	for _, s := range r.in(PhaseHold) {
		for _, u := range s.Workers {
			i := slices.IndexFunc(out, func(o WorkerUse) bool { return o.Name == u.Name })
			if i < 0 {
				i = len(out)
				out = append(out, WorkerUse{Name: u.Name})
			}
			o := &out[i]
			took[u.Name] += s.TookS
			part := s.TookS / took[u.Name]
			o.CPU += (u.CPU - o.CPU) * part
			o.KilobytesPS += (u.KilobytesPS - o.KilobytesPS) * part
			o.Reports += (u.Reports - o.Reports) * part
			o.MemoryMB, o.Tasks = max(o.MemoryMB, u.MemoryMB), max(o.Tasks, u.Tasks)
		}
	}
	return out
}
