// Package config reads and checks the settings file of a controller, and defines the JSON documents by which
// operators read and change the configuration.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strings"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/units"
)

// Settings is the settings file of one controller: its own settings and those of its deployment. Fields whose
// names end in S are in seconds, in Ms milliseconds, in KB kibibytes, in MB mebibytes.
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

// Peer is another controller.
type Peer struct {
	Node string `json:"node_name"`
	Zone string `json:"site"`
	Addr string `json:"endpoint"`
}

// Services holds the addresses of the external services.
type Services struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Deployment holds the settings that all controllers share.
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

// Team holds a team's guarantee and limit (the Max fields); 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is a service-level objective that users of a class of jobs were promised.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
	Times   float64 `json:"times"`
}

// Workers holds the timing parameters of all workers.
type Workers struct {
	HeartbeatS float64 `json:"report_s"`
	LeaseS     float64 `json:"lease_s"`
	CancelS    float64 `json:"cancel_s"`
}

// State holds the limits of the state service, and those that are announced to replace them.
type State struct {
	Limits
	Next Limits `json:"next"` // from some later time on; fields that are missing stay the same
}

// Limits holds the limits of the state service.
type Limits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// NextLimits returns the limits that the service will have after the announced change.
func (s State) NextLimits() Limits {
	return Limits{RPS: cmp.Or(s.Next.RPS, s.RPS), WriteRPS: cmp.Or(s.Next.WriteRPS, s.WriteRPS),
		ValueKB: cmp.Or(s.Next.ValueKB, s.ValueKB), TxnOps: cmp.Or(s.Next.TxnOps, s.TxnOps)}
}

// Cloud holds the limits of the cloud's API.
type Cloud struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// Quota holds the resources that one controller may use.
type Quota struct {
	CPU     float64 `json:"cpu"`
	RAMMB   float64 `json:"ram_mb"`
	FDLimit int     `json:"fd_limit"`
}

// Tuning holds the tuning parameters. Each has a default (DefaultTuning), so the section may be absent.
type Tuning struct {
	Fairness           float64 `json:"fairness"`        // f of the paper's section 3.4, in [0, 1)
	EpsilonScale       float64 `json:"epsilon_scale"`   // factor on the paper's epsilon
	ImagePenalty       float64 `json:"image_penalty"`   // share of the alignment score lost if a machine lacks the image
	LeaderLeaseS       float64 `json:"leader_lease_s"`  // duration of the leader's lease
	HeadroomFraction   float64 `json:"spare_share"`     // spare capacity kept above the average demand, as a share of it
	IdleReturnS        float64 `json:"idle_return_s"`   // idle time after which a machine is returned to the cloud
	DemandWindowS      float64 `json:"demand_memory_s"` // time over which demand is averaged
	WorkPerSlotS       float64 `json:"worth_s"`         // work that must be waiting per slot of a machine before one is provisioned
	MachinesPerShard   float64 `json:"block_machines"`  // machines per shard; 0: derived from the CPU quota and the sockets
	SequentialFraction float64 `json:"round_share"`     // share of a job's time that scaling out plans to use for running its tasks one after another
	KeepFinished       float64 `json:"keep_done"`       // finished jobs that are kept in memory before the oldest are archived; 0: all
	ArchiveSettleS     float64 `json:"pack_settle_s"`   // how long all controllers must have run a release that reads archived jobs
}

// DefaultTuning returns the defaults of the tuning parameters.
func DefaultTuning() Tuning {
	return Tuning{Fairness: 0.25, EpsilonScale: 3, ImagePenalty: 0.5, LeaderLeaseS: 2, HeadroomFraction: 0, IdleReturnS: 5, DemandWindowS: 15, WorkPerSlotS: 20, SequentialFraction: 0.5, KeepFinished: 8192, ArchiveSettleS: 600}
}

// Load reads and checks a settings file. The error is that of the file system or of Parse.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(text)
}

// FieldError is the error of a field of a settings file, which Field names by its path.
type FieldError struct {
	Field, Reason string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func invalid(field, reason string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(reason, args...)}
}

// Parse decodes and checks the text of a settings file. Unknown fields are ignored. The first invalid field is
// returned as a *FieldError.
func Parse(text []byte) (*Settings, error) {
	settings := &Settings{Tuning: DefaultTuning()}
	if err := json.Unmarshal(text, settings); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) && wrongType.Field != "" {
			return nil, invalid(wrongType.Field, "want %s, got %s", wrongType.Type, wrongType.Value)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	for _, check := range []func() error{settings.checkNodes, settings.checkAddrs, settings.Deployment.check, settings.Deployment.checkTeams, settings.Deployment.checkRanges, settings.Tuning.Check} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return settings, nil
}

// checkNodes checks the names of this node and its peers.
func (s *Settings) checkNodes() error {
	for i, peer := range s.Peers {
		if peer.Node == "" || peer.Node == s.Node {
			return invalid(fmt.Sprintf("peers[%d].node_name", i), "missing or this node's own")
		}
	}
	if s.Node == "" {
		return invalid("node_name", "missing")
	}
	return nil
}

// checkAddrs checks the addresses to listen on and to connect to, and that this node and its peers make up the
// deployment.
func (s *Settings) checkAddrs() error {
	type addr struct{ field, value string }
	addrs := []addr{
		{"listen", s.Listen}, {"internal_addr", s.PeerListen},
		{"services.cloud", s.Services.Cloud}, {"services.state", s.Services.State},
	}
	for i, peer := range s.Peers {
		addrs = append(addrs, addr{fmt.Sprintf("peers[%d].endpoint", i), peer.Addr})
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return invalid(a.field, "want IP:PORT, got %q", a.value)
		}
	}
	if size := len(s.Peers) + 1; s.Deployment.Size != size {
		return invalid("deployment.size", "want %d (the peers and this node), got %d", size, s.Deployment.Size)
	}
	if len(s.Peers) > peering.MaxPeers {
		return invalid("deployment.size", "want at most %d controllers, got %d", peering.MaxPeers+1, s.Deployment.Size)
	}
	return nil
}

// check checks that required lists are not empty, and the ranges of integer fields.
func (d *Deployment) check() error {
	if len(d.Zones) == 0 {
		return invalid("deployment.zones", "missing")
	}
	if len(d.Teams) == 0 {
		return invalid("deployment.teams", "missing")
	}
	if len(d.Teams) > configuration.MaxTeams {
		return invalid("deployment.teams", "want at most %d teams, got %d", configuration.MaxTeams, len(d.Teams))
	}
	if d.State.TxnOps < minTxnOps {
		return invalid("deployment.state.txn_ops", "want at least %d", minTxnOps)
	}
	if d.State.NextLimits().TxnOps < minTxnOps {
		return invalid("deployment.state.next.txn_ops", "want at least %d", minTxnOps)
	}
	if d.Quota.FDLimit < minFDLimit {
		return invalid("deployment.quota.fd_limit", "want at least %d", minFDLimit)
	}
	return nil
}

const (
	// minTxnOps is the minimum number of changes that a transaction must support: a job's record and two
	// records that are stored with it.
	minTxnOps = 3
	// minFDLimit is the minimum number of file descriptors that a controller can run with.
	minFDLimit = 32
)

func (d *Deployment) checkTeams() error {
	names := map[string]bool{}
	for i, team := range d.Teams {
		if team.Name == "" || names[team.Name] {
			return invalid(fmt.Sprintf("deployment.teams[%d].name", i), "missing or repeated")
		}
		names[team.Name] = true
		for _, amount := range []float64{team.CPUs, team.CPUsMax, team.GPUs, team.GPUsMax} {
			if !(amount >= 0 && amount < 1e9) { // also refuses NaN
				return invalid(fmt.Sprintf("deployment.teams[%d]", i), "amount %v out of range", amount)
			}
		}
	}
	return nil
}

func (d *Deployment) checkRanges() error {
	later := d.State.NextLimits()
	return checkRanges([]bounded{
		{"deployment.workers.report_s", d.Workers.HeartbeatS, 0.1, 600, "seconds"},
		{"deployment.workers.lease_s", d.Workers.LeaseS, 1, 3600, "seconds"},
		{"deployment.workers.cancel_s", d.Workers.CancelS, 1, 3600, "seconds"},
		{"deployment.state.rps", d.State.RPS, 1, 1e6, "requests a second"},
		{"deployment.state.write_rps", d.State.WriteRPS, 1, 1e6, "changes a second"},
		{"deployment.state.value_kb", d.State.ValueKB, 2, 1e6, "KiB"},
		{"deployment.state.next.rps", later.RPS, 1, 1e6, "requests a second"},
		{"deployment.state.next.write_rps", later.WriteRPS, 1, 1e6, "changes a second"},
		{"deployment.state.next.value_kb", later.ValueKB, 2, 1e6, "KiB"},
		{"deployment.cloud.rps", d.Cloud.RPS, 0.1, 1e6, "requests a second"},
		{"deployment.cloud.list_lag_s", d.Cloud.ListLagS, 0, 3600, "seconds"},
		{"deployment.quota.cpu", d.Quota.CPU, 0.001, 1024, "cores"},
		{"deployment.quota.ram_mb", d.Quota.RAMMB, 32, 1e7, "MB"},
		{"deployment.clock_error_ms", d.ClockErrMs, 0, 60000, "milliseconds"},
	})
}

// Check returns a *FieldError for the first tuning parameter that is out of range.
func (t Tuning) Check() error {
	return checkRanges([]bounded{
		{"tuning.fairness", t.Fairness, 0, 0.999, ""},
		{"tuning.epsilon_scale", t.EpsilonScale, 0, 100, ""},
		{"tuning.image_penalty", t.ImagePenalty, 0, 1, ""},
		{"tuning.leader_lease_s", t.LeaderLeaseS, 1, 60, "seconds"},
		{"tuning.spare_share", t.HeadroomFraction, 0, 10, ""},
		{"tuning.idle_return_s", t.IdleReturnS, 1, 3600, "seconds"},
		{"tuning.demand_memory_s", t.DemandWindowS, 1, 3600, "seconds"},
		{"tuning.worth_s", t.WorkPerSlotS, 1, 3600, "seconds"},
		{"tuning.block_machines", t.MachinesPerShard, 0, core.MaxShardMachines, "machines"},
		{"tuning.round_share", t.SequentialFraction, 0, 1, ""},
		{"tuning.keep_done", t.KeepFinished, 0, 1e7, "jobs"}, {"tuning.pack_settle_s", t.ArchiveSettleS, 0, 1e6, "seconds"},
	})
}

// bounded is a field with its value, its range including both ends, and its unit, which is empty for shares
// and factors.
type bounded struct {
	field           string
	value, min, max float64
	unit            string
}

func checkRanges(fields []bounded) error {
	for _, f := range fields {
		if math.IsNaN(f.value) || f.value < f.min || f.value > f.max {
			wanted := strings.TrimSpace(fmt.Sprintf("%g to %g %s", f.min, f.max, f.unit))
			return invalid(f.field, "want %s, got %g", wanted, f.value)
		}
	}
	return nil
}

// LeaseTime returns the duration of a worker's lease: how long it keeps its tasks running without a response
// from a controller.
func (s *Settings) LeaseTime() units.Microseconds { return units.Seconds(s.Deployment.Workers.LeaseS) }

// LimitOpenFiles lowers the file descriptor quota to the number of files that the process may have open, and
// returns a *FieldError if the quota was higher. Beyond the process's limit the operating system would
// refuse every socket, also those to the state service. A controller that stays below its quota instead
// redirects machines and users to other controllers.
func (s *Settings) LimitOpenFiles(files uint64) error {
	quota := &s.Deployment.Quota
	if uint64(quota.FDLimit) <= files {
		return nil
	}
	err := invalid("deployment.quota.fd_limit", "want at most %d files, as this process may have open (ulimit -n), got %d", files, quota.FDLimit)
	quota.FDLimit = int(files)
	return err
}

// heartbeatsPerCore is the number of heartbeats a second that one full CPU core can process, including the
// work that they cause; docs/operations.md has the measurements.
const heartbeatsPerCore = 3500

// MachinesPerShard returns the number of machines that one shard should have. A busy machine sends about
// two heartbeats in an interval: one at its end, and one when a task has started or ended. Each machine
// keeps a connection open, so the number stays below the file descriptor quota: users need some too.
func (s *Settings) MachinesPerShard() int {
	if machines := s.Tuning.MachinesPerShard; machines > 0 {
		return int(machines)
	}
	deployment := s.Deployment
	return int(min(heartbeatsPerCore/2*deployment.Quota.CPU*deployment.Workers.HeartbeatS, 0.85*float64(deployment.Quota.FDLimit)))
}
