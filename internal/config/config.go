// Package config reads and checks the settings file.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"

	"shalestage.example/shalestage/internal/core/units"
)

// Settings is what one controller is told about itself and its deployment.
type Settings struct {
	Node       string     `json:"node_name"`
	Zone       string     `json:"site"`
	Listen     string     `json:"listen"`
	PeerListen string     `json:"internal_addr"`
	Peers      []Peer     `json:"peers"`
	Services   Services   `json:"services"`
	Deployment Deployment `json:"deployment"`
	Tuning     Tuning     `json:"tuning"`
}

// Peer names another controller.
type Peer struct {
	Node string `json:"node_name"`
	Zone string `json:"site"`
	Addr string `json:"endpoint"`
}

// Services holds the addresses of the outside services.
type Services struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Deployment describes what all controllers share.
type Deployment struct {
	Size       int         `json:"size"`
	Zones      []string    `json:"zones"`
	Teams      []Team      `json:"teams"`
	Objectives []Objective `json:"objectives"`
	Workers    Workers     `json:"workers"`
	State      State       `json:"state"`
	Cloud      Cloud       `json:"cloud"`
	Quota      Quota       `json:"quota"`
	ClockErrMs float64     `json:"clock_error_ms"`
}

// Team holds a team's guarantee and limit; 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective restates one of the users' aims.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"`
}

// Workers holds the timing that every worker follows.
type Workers struct {
	ReportS float64 `json:"report_s"`
	LeaseS  float64 `json:"lease_s"`
	CancelS float64 `json:"cancel_s"`
}

// State holds the limits of the state service, and those that it will have later.
type State struct {
	Limits
	Next Limits `json:"next"` // from some moment on; what is missing stays as it is
}

// Limits of the state service.
type Limits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// Later returns the limits that the service will have in the end.
func (s State) Later() Limits {
	return Limits{RPS: cmp.Or(s.Next.RPS, s.RPS), WriteRPS: cmp.Or(s.Next.WriteRPS, s.WriteRPS),
		ValueKB: cmp.Or(s.Next.ValueKB, s.ValueKB), TxnOps: cmp.Or(s.Next.TxnOps, s.TxnOps)}
}

// Cloud holds the limits of the cloud's interface.
type Cloud struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// Quota is what one controller may use.
type Quota struct {
	CPU     float64 `json:"cpu"`
	RAMMB   float64 `json:"ram_mb"`
	FDLimit int     `json:"fd_limit"`
}

// Tuning holds the knobs worth turning; each has a default, so the section may be absent.
type Tuning struct {
	Fairness     float64 `json:"fairness"`        // f of the paper's section 3.4, in [0, 1)
	EpsilonScale float64 `json:"epsilon_scale"`   // factor on the paper's epsilon
	ImagePenalty float64 `json:"image_penalty"`   // share of the alignment lost without the image
	LeaseS       float64 `json:"leader_lease_s"`  // life of the leader's lease
	SpareShare   float64 `json:"spare_share"`     // room kept above average demand, as a share of it
	IdleS        float64 `json:"idle_return_s"`   // idle time after which a machine is returned
	DemandS      float64 `json:"demand_memory_s"` // time over which demand is averaged
	WorthS       float64 `json:"worth_s"`         // work that must wait for each slot of a machine to be worth renting
	BlockSize    float64 `json:"block_machines"`  // machines that one block carries; 0: by the processor share and the sockets
	RoundShare   float64 `json:"round_share"`     // share of a job's time that renting counts on for tasks one after the other
	KeepDone     float64 `json:"keep_done"`       // jobs that are over and are kept in memory before the oldest are packed; 0: all
	PackSettleS  float64 `json:"pack_settle_s"`   // for how long all controllers must have run a release that reads packed jobs
}

// DefaultTuning returns the knobs' defaults.
func DefaultTuning() Tuning {
	return Tuning{Fairness: 0.25, EpsilonScale: 3, ImagePenalty: 0.5, LeaseS: 2, SpareShare: 0, IdleS: 5, DemandS: 15, WorthS: 20, RoundShare: 0.5, KeepDone: 8192, PackSettleS: 600}
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(b)
}

// Parse checks the text of a settings file. Unknown fields are ignored.
func Parse(b []byte) (*Settings, error) {
	s := &Settings{Tuning: DefaultTuning()}
	if err := json.Unmarshal(b, s); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) && te.Field != "" {
			return nil, fmt.Errorf("%s: want %s, got %s", te.Field, te.Type, te.Value)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) check() error {
	d := &s.Deployment
	addrs := []struct{ field, v string }{
		{"listen", s.Listen}, {"internal_addr", s.PeerListen},
		{"services.cloud", s.Services.Cloud}, {"services.state", s.Services.State},
	}
	for i, p := range s.Peers {
		addrs = append(addrs, struct{ field, v string }{fmt.Sprintf("peers[%d].endpoint", i), p.Addr})
		if p.Node == "" || p.Node == s.Node {
			return fmt.Errorf("peers[%d].node_name: missing or this node's own", i)
		}
	}
	if s.Node == "" {
		return errors.New("node_name: missing")
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a.v); err != nil {
			return fmt.Errorf("%s: want IP:PORT, got %q", a.field, a.v)
		}
	}
	if d.Size < 1 || d.Size != len(s.Peers)+1 {
		return fmt.Errorf("deployment.size: want %d (the peers and this node), got %d", len(s.Peers)+1, d.Size)
	}
	if len(d.Zones) == 0 {
		return errors.New("deployment.zones: missing")
	}
	if len(d.Teams) == 0 {
		return errors.New("deployment.teams: missing")
	}
	if d.State.TxnOps < 3 {
		return errors.New("deployment.state.txn_ops: want at least 3")
	}
	later := d.State.Later()
	if later.TxnOps < 3 {
		return errors.New("deployment.state.next.txn_ops: want at least 3")
	}
	if d.Quota.FDLimit < 32 {
		return errors.New("deployment.quota.fd_limit: want at least 32")
	}
	seen := map[string]bool{}
	for i, t := range d.Teams {
		if t.Name == "" || seen[t.Name] {
			return fmt.Errorf("deployment.teams[%d].name: missing or repeated", i)
		}
		seen[t.Name] = true
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if !(v >= 0 && v < 1e9) {
				return fmt.Errorf("deployment.teams[%d]: amount %v out of range", i, v)
			}
		}
	}
	if err := checkRanges([]bounded{
		{"deployment.workers.report_s", d.Workers.ReportS, 0.1, 600},
		{"deployment.workers.lease_s", d.Workers.LeaseS, 1, 3600},
		{"deployment.workers.cancel_s", d.Workers.CancelS, 1, 3600},
		{"deployment.state.rps", d.State.RPS, 1, 1e6},
		{"deployment.state.write_rps", d.State.WriteRPS, 1, 1e6},
		{"deployment.state.value_kb", d.State.ValueKB, 2, 1e6},
		{"deployment.state.next.rps", later.RPS, 1, 1e6},
		{"deployment.state.next.write_rps", later.WriteRPS, 1, 1e6},
		{"deployment.state.next.value_kb", later.ValueKB, 2, 1e6},
		{"deployment.cloud.rps", d.Cloud.RPS, 0.1, 1e6},
		{"deployment.cloud.list_lag_s", d.Cloud.ListLagS, 0, 3600},
		{"deployment.quota.cpu", d.Quota.CPU, 0.001, 1024},
		{"deployment.quota.ram_mb", d.Quota.RAMMB, 32, 1e7},
		{"deployment.clock_error_ms", d.ClockErrMs, 0, 60000},
	}); err != nil {
		return err
	}
	return s.Tuning.Check()
}

// Check reports the first knob that is out of range.
func (t Tuning) Check() error {
	return checkRanges([]bounded{
		{"tuning.fairness", t.Fairness, 0, 0.999},
		{"tuning.epsilon_scale", t.EpsilonScale, 0, 100},
		{"tuning.image_penalty", t.ImagePenalty, 0, 1},
		{"tuning.leader_lease_s", t.LeaseS, 1, 60},
		{"tuning.spare_share", t.SpareShare, 0, 10},
		{"tuning.idle_return_s", t.IdleS, 1, 3600},
		{"tuning.demand_memory_s", t.DemandS, 1, 3600},
		{"tuning.worth_s", t.WorthS, 1, 3600},
		{"tuning.block_machines", t.BlockSize, 0, 1e9},
		{"tuning.round_share", t.RoundShare, 0, 1},
		{"tuning.keep_done", t.KeepDone, 0, 1e7}, {"tuning.pack_settle_s", t.PackSettleS, 0, 1e6},
	})
}

// bounded is a field with its value and the range that it must be in.
type bounded struct {
	field     string
	v, lo, hi float64
}

func checkRanges(list []bounded) error {
	for _, r := range list {
		if math.IsNaN(r.v) || r.v < r.lo || r.v > r.hi {
			return fmt.Errorf("%s: want %g to %g, got %g", r.field, r.lo, r.hi, r.v)
		}
	}
	return nil
}

// LeaseTime is how long a worker keeps its tasks without an answer.
func (s *Settings) LeaseTime() units.Microseconds { return units.Seconds(s.Deployment.Workers.LeaseS) }

// reportsPerCore is how many reports a second a whole core could answer, with all
// that goes with them; docs/operations.md has what was measured.
const reportsPerCore = 3500

// BlockMachines is the number of machines that one block should carry. A busy
// machine reports about twice in a report's time: when that is over, and when a
// task has ended or begun. Each keeps a connection, and users need some.
func (s *Settings) BlockMachines() int {
	if n := s.Tuning.BlockSize; n > 0 {
		return int(n)
	}
	d := s.Deployment
	return int(min(reportsPerCore/2*d.Quota.CPU*d.Workers.ReportS, 0.85*float64(d.Quota.FDLimit)))
}
