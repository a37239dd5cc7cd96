package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/peering"
)

const validSettings = `{"node_name":"n-0","site":"z","listen":"10.0.0.1:8080","internal_addr":"10.0.0.1:8081",
 "peers":[{"node_name":"n-1","site":"z","endpoint":"10.0.0.2:8081"}],
 "services":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},"news":{"x":1},
 "deployment":{"size":2,"zones":["z"],"teams":[{"name":"t","cpus":1,"cpus_max":2,"gpus":0,"gpus_max":0}],
 "objectives":[],"workers":{"report_s":3,"lease_s":18,"cancel_s":43},"state":{"rps":200,"write_rps":80,"value_kb":8,"txn_ops":12},
 "cloud":{"rps":5,"list_lag_s":8},"quota":{"cpu":0.18,"ram_mb":179,"fd_limit":1800},"clock_error_ms":100}}`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Tuning != DefaultTuning() {
		t.Errorf("tuning %+v is not the default", s.Tuning)
	}
	s, err = Parse([]byte(strings.Replace(validSettings, `"site":"z"`, `"site":"z","tuning":{"fairness":0.5}`, 1)))
	if err != nil || s.Tuning.Fairness != 0.5 || s.Tuning.LeaderLeaseS != DefaultTuning().LeaderLeaseS {
		t.Errorf("%+v %v", s, err)
	}
}

// TestNextLimits gives some of the next limits. Fields that are missing, or null, must stay the same.
func TestNextLimits(t *testing.T) {
	for next, want := range map[string]Limits{
		``:                       {200, 80, 8, 12},
		`,"next":null`:           {200, 80, 8, 12},
		`,"next":{"value_kb":2}`: {200, 80, 2, 12},
		`,"next":{"txn_ops":4,"write_rps":56,"x":1}`: {200, 56, 8, 4},
	} {
		s, err := Parse([]byte(strings.Replace(validSettings, `"txn_ops":12`, `"txn_ops":12`+next, 1)))
		if err != nil || s.Deployment.State.NextLimits() != want {
			t.Errorf("%q: %+v %v", next, s, err)
		}
	}
}

// TestErrorsNameField makes one field invalid at a time. The error must be a single line that names the field.
func TestErrorsNameField(t *testing.T) {
	for field, value := range map[string]any{
		"node_name": "", "listen": "here", "internal_addr": nil, "services.state": "x:1", "deployment.size": 3,
		"deployment.state.rps": 0, "deployment.workers.lease_s": -1, "deployment.quota.fd_limit": 1, "deployment.cloud.rps": "many",
		"deployment.state.txn_ops": 0, "deployment.zones": []string{}, "deployment.teams": nil, "deployment.quota.ram_mb": 1,
		"deployment.state.next": "soon",
	} {
		var m map[string]any
		if err := json.Unmarshal([]byte(validSettings), &m); err != nil {
			t.Fatal(err)
		}
		at := m
		path := strings.Split(field, ".")
		for _, p := range path[:len(path)-1] {
			at = at[p].(map[string]any)
		}
		at[path[len(path)-1]] = value
		text, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		_, err = Parse(text)
		if err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s = %v: %v", field, value, err)
		}
	}
	if _, err := Parse([]byte("{")); err == nil {
		t.Error("an incomplete file is accepted")
	}
}

// TestRangeLimits checks that settings at a limit are accepted, and that those beyond it are refused with the
// field, the limit and its unit.
func TestRangeLimits(t *testing.T) {
	with := func(teams, peers, machines int) []byte {
		var list, others []string
		for i := range teams {
			list = append(list, fmt.Sprintf(`{"name":"t%d"}`, i))
		}
		for i := range peers {
			others = append(others, fmt.Sprintf(`{"node_name":"n-%d","site":"z","endpoint":"10.0.1.%d:8081"}`, i+1, i))
		}
		return []byte(fmt.Sprintf(`{"node_name":"n-0","site":"z","listen":"10.0.0.1:8080","internal_addr":"10.0.0.1:8081","peers":[%s],
 "services":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},"tuning":{"block_machines":%d},
 "deployment":{"size":%d,"zones":["z"],"teams":[%s],"workers":{"report_s":3,"lease_s":18,"cancel_s":43},
 "state":{"rps":200,"write_rps":80,"value_kb":8,"txn_ops":12},"cloud":{"rps":5,"list_lag_s":8},
 "quota":{"cpu":0.18,"ram_mb":179,"fd_limit":1800}}}`, strings.Join(others, ","), machines, peers+1, strings.Join(list, ",")))
	}
	s, err := Parse(with(configuration.MaxTeams, peering.MaxPeers, core.MaxShardMachines))
	if err != nil || s.MachinesPerShard() != core.MaxShardMachines || core.MaxShardMachines < fleet.FullShardMachines {
		t.Errorf("at the limits: %v", err)
	}
	for want, b := range map[string][]byte{
		"deployment.teams: want at most 1024 teams, got 1025":            with(configuration.MaxTeams+1, 1, 0),
		"deployment.size: want at most 33 controllers, got 34":           with(1, peering.MaxPeers+1, 0),
		"tuning.block_machines: want 0 to 65536 machines, got 65537":     with(1, 1, core.MaxShardMachines+1),
		"deployment.workers.report_s: want 0.1 to 600 seconds, got 3000": []byte(strings.Replace(validSettings, `"report_s":3`, `"report_s":3000`, 1)),
	} {
		if _, err := Parse(b); err == nil || err.Error() != want {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// TestLimitOpenFiles checks that the file descriptor quota is lowered, with an error, to the number of
// files that the process may have open, if that is less. Otherwise nothing must change.
func TestLimitOpenFiles(t *testing.T) {
	for files, want := range map[uint64]int{1 << 63: 1800, 1801: 1800, 1800: 1800, 1799: 1799, 1024: 1024} {
		s, err := Parse([]byte(validSettings))
		if err != nil {
			t.Fatal(err)
		}
		err = s.LimitOpenFiles(files)
		if s.Deployment.Quota.FDLimit != want || (err != nil) != (want < 1800) {
			t.Errorf("%d files: quota %d, %v", files, s.Deployment.Quota.FDLimit, err)
		}
		if text := fmt.Sprintf("deployment.quota.fd_limit: want at most %d files, as this process may have open (ulimit -n), got 1800", files); err != nil && err.Error() != text {
			t.Errorf("%v", err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := Parse(b); err == nil && s.LeaseTime() <= 0 {
			t.Fatalf("lease %v", s.LeaseTime())
		}
	})
}
