package sim

import (
	"bytes"
	"encoding/csv"
	"testing"

	"shalestage.example/shalestage/internal/emulator/traffic"
	"shalestage.example/shalestage/internal/scenario"
)

// TestTraffic guards against counting messages in a way that changes the run or misses kinds of messages. The
// digest must be the same with and without counting, and heartbeats and responses must match.
func TestTraffic(t *testing.T) {
	s, err := scenario.Load("../../../rehearsals/base.toml")
	if err != nil {
		t.Fatal(err)
	}
	want := New(s, Options{}).RunScenario()
	tally := traffic.New(0)
	got := New(s, Options{Traffic: tally}).RunScenario()
	if got.Digest != want.Digest {
		t.Errorf("digest %s with counting, %s without", got.Digest, want.Digest)
	}
	var b bytes.Buffer
	if err := tally.Write(&b); err != nil {
		t.Fatal(err)
	}
	rows, err := csv.NewReader(&b).ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	per := map[string]string{}
	for _, r := range rows[1:] {
		per[r[0]+" "+r[1]] = r[2]
	}
	for _, n := range s.Nodes() {
		if in := per[n+" in report"]; in == "" || in != per[n+" out orders"] && per[n+" out start"] != "" {
			t.Errorf("%s: %q heartbeats, %q responses with commands", n, in, per[n+" out orders"])
		}
		for _, kind := range []string{"in peer", "out peer", "out lease", "out watch", "do tick", "do peer"} {
			if per[n+" "+kind] == "" {
				t.Errorf("%s: no message of kind %s", n, kind)
			}
		}
	}
}
