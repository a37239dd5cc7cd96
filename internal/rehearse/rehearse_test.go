package rehearse

import (
	"bytes"
	"encoding/xml"
	"path/filepath"
	"testing"

	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/sim"
	"shalestage.example/shalestage/internal/scenario"
)

// TestRehearsals runs every file of rehearsals/ with two seeds. docs/emulator.md says how to run more.
func TestRehearsals(t *testing.T) {
	files, err := filepath.Glob("../../rehearsals/*.toml")
	if err != nil || len(files) < 30 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Load(f)
			if err != nil {
				t.Fatal(err)
			}
			for seed := range uint64(2) {
				v := Simulate(f, s, sim.Options{Seed: seed + 1})
				for _, b := range v.Violations {
					t.Errorf("seed %d: %.3f %s: %s", v.Seed, b.At, b.Rule, b.Text)
				}
				for _, m := range v.Missed {
					t.Errorf("seed %d: %s", v.Seed, m)
				}
				if v.Starts == 0 {
					t.Errorf("seed %d: no task was started", v.Seed)
				}
			}
		})
	}
}

// TestShrink checks that Shrink leaves the one fault that matters. The scenario has many faults, and one of
// them lowers the value size that the state service accepts, without an announcement.
func TestShrink(t *testing.T) {
	s, err := scenario.Load("../../rehearsals/base.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Draw = scenario.Draw{FromS: 5, ToS: 60, GapS: 6}
	s.Faults = []scenario.Fault{{Kind: scenario.StateLimits, AtS: 30, ValueKB: 0.1}}
	v := Simulate("x", s, sim.Options{Seed: 3})
	if v.Passed || v.Violations[0].Rule != check.TooLarge {
		t.Fatalf("%+v", v)
	}
	small, used := Shrink(s, 3, v, 200)
	if len(small.Faults) != 1 || small.Faults[0].Kind != scenario.StateLimits || len(small.Jobs) > 3 {
		t.Errorf("after %d runs %d faults and %d jobs are left: %v", used, len(small.Faults), len(small.Jobs), small.Faults)
	}
	var b bytes.Buffer
	if err := WriteJUnit(&b, []Verdict{v, {Name: "kept", Passed: true}}); err != nil {
		t.Fatal(err)
	}
	var got struct {
		Failures int `xml:"failures,attr"`
		Cases    []struct {
			Failure *struct{} `xml:"failure"`
		} `xml:"testcase"`
	}
	if err := xml.Unmarshal(b.Bytes(), &got); err != nil || got.Failures != 1 || len(got.Cases) != 2 || got.Cases[0].Failure == nil {
		t.Errorf("%+v, %v", got, err)
	}
}
