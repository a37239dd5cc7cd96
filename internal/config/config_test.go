package config

import (
	"encoding/json"
	"strings"
	"testing"
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

// TestLaterLimits gives limits of later field by field; what is missing stays as it is.
func TestLaterLimits(t *testing.T) {
	for next, want := range map[string]Limits{
		``:                       {200, 80, 8, 12},
		`,"next":null`:           {200, 80, 8, 12},
		`,"next":{"value_kb":2}`: {200, 80, 2, 12},
		`,"next":{"txn_ops":4,"write_rps":56,"x":1}`: {200, 56, 8, 4},
	} {
		s, err := Parse([]byte(strings.Replace(validSettings, `"txn_ops":12`, `"txn_ops":12`+next, 1)))
		if err != nil || s.Deployment.State.Later() != want {
			t.Errorf("%q: %+v %v", next, s, err)
		}
	}
}

// TestBadFieldsAreNamed spoils one field at a time: the error is of one line and names it.
func TestBadFieldsAreNamed(t *testing.T) {
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
		b, _ := json.Marshal(m)
		_, err := Parse(b)
		if err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s = %v: %v", field, value, err)
		}
	}
	if _, err := Parse([]byte("{")); err == nil {
		t.Error("half a file is taken")
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
