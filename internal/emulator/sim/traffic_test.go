package sim

import (
	"bytes"
	"encoding/csv"
	"testing"

	"shalestage.example/shalestage/internal/emulator/traffic"
	"shalestage.example/shalestage/internal/scenario"
)

// TestTraffic counts a play's messages: that changes nothing, and what is answered was asked.
func TestTraffic(t *testing.T) {
	s, err := scenario.Load("../../../rehearsals/base.toml")
	if err != nil {
		t.Fatal(err)
	}
	want := New(s, Options{}).RunScenario()
	tally := traffic.New(0)
	got := New(s, Options{Traffic: tally}).RunScenario()
	if got.Digest != want.Digest {
		t.Errorf("digest %s when counted, else %s", got.Digest, want.Digest)
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
			t.Errorf("%s: %q reports, %q answered with orders", n, in, per[n+" out orders"])
		}
		for _, kind := range []string{"in peer", "out peer", "out lease", "out watch", "do tick", "do peer"} {
			if per[n+" "+kind] == "" {
				t.Errorf("%s: no %s", n, kind)
			}
		}
	}
}
