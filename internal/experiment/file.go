// Package experiment plays settings against each other in simulated time, on all
// processors and with paired seeds, and tells which differences are more than noise. A
// report is one HTML page; the data goes beside it as CSV and JSON.
package experiment

import (
	"fmt"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"shalestage.example/shalestage/internal/emulator/meter"
	"shalestage.example/shalestage/internal/scenario"
)

// File is an experiment: every setting is played with every scenario and every seed.
type File struct {
	Name      string    `toml:"name"`
	About     string    `toml:"about"`
	Seeds     int       `toml:"seeds"`
	FirstSeed uint64    `toml:"first_seed"`
	EveryS    float64   `toml:"every_s"`   // simulated seconds between two looks at the machines
	Baseline  string    `toml:"baseline"`  // setting that the others are held against; by default the first
	Measures  []string  `toml:"measures"`  // that are compared; by default some of all
	Scenarios []string  `toml:"scenarios"` // files, relative to this one
	Settings  []Setting `toml:"setting"`

	path string
}

// Setting changes some of a scenario, in the scenario's own form.
type Setting struct {
	Name string         `toml:"name"`
	Set  map[string]any `toml:"set"`
}

// defaultMeasures are compared where a file names none: as few as tell most, since each
// comparison more makes all of them less certain.
var defaultMeasures = []string{"wait_mean_s", "wait_p95_s", "done_mean_s", "done_p95_s", "deadline", "useful", "price"}

// Bounds of a file: what a night on one machine can play.
const (
	maxSeeds    = 1000
	maxSettings = 200
	maxPlays    = 20_000
)

// Read reads and checks a file, and all scenarios with all settings.
func Read(path string) (*File, error) {
	b, err := scenario.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &File{Seeds: 8, FirstSeed: 1, EveryS: 1, path: path}
	if err := scenario.Decode(path, b, f); err != nil {
		return nil, err
	}
	wrong := func(at, format string, args ...any) (*File, error) {
		return nil, scenario.ErrorAt(path, b, at, format, args...)
	}
	switch {
	case f.Name == "":
		return wrong("name", "missing")
	case f.Seeds < 1 || f.Seeds > maxSeeds:
		return wrong("seeds", "want 1 to %d, got %d", maxSeeds, f.Seeds)
	case f.FirstSeed == 0:
		return wrong("first_seed", "want 1 or more")
	case !(f.EveryS >= 0.05 && f.EveryS <= 3600):
		return wrong("every_s", "want 0.05 to 3600, got %g", f.EveryS)
	case len(f.Scenarios) == 0:
		return wrong("scenarios", "missing: name at least one file")
	case len(f.Settings) == 0 || len(f.Settings) > maxSettings:
		return wrong("setting", "want 1 to %d, got %d", maxSettings, len(f.Settings))
	case f.Seeds*len(f.Settings)*len(f.Scenarios) > maxPlays:
		return wrong("seeds", "%d plays are more than %d", f.Seeds*len(f.Settings)*len(f.Scenarios), maxPlays)
	}
	if len(f.Measures) == 0 {
		f.Measures = defaultMeasures
	}
	for i, m := range f.Measures {
		if !slices.ContainsFunc(meter.Measures, func(k meter.Measure) bool { return k.Name == m }) {
			return wrong("measures", "measures[%d]: there is no measure %q", i, m)
		}
	}
	for i, s := range f.Settings {
		at := fmt.Sprintf("setting[%d]", i)
		if s.Name == "" {
			return wrong(at, "name: missing")
		}
		if slices.ContainsFunc(f.Settings[:i], func(o Setting) bool { return o.Name == s.Name }) {
			return wrong(at+".name", "%q is named twice", s.Name)
		}
	}
	if f.Baseline == "" {
		f.Baseline = f.Settings[0].Name
	}
	if !slices.ContainsFunc(f.Settings, func(s Setting) bool { return s.Name == f.Baseline }) {
		return wrong("baseline", "there is no setting %q", f.Baseline)
	}
	for _, name := range f.Scenarios {
		for i, s := range f.Settings {
			if _, err := f.scenario(name, s); err != nil {
				if s.Set == nil {
					return nil, err
				}
				return wrong(fmt.Sprintf("setting[%d].set", i), "%v", err)
			}
		}
	}
	return f, nil
}

// scenario returns a scenario as a setting changes it.
func (f *File) scenario(name string, s Setting) (*scenario.Scenario, error) {
	var over []byte
	if len(s.Set) > 0 {
		var err error
		if over, err = toml.Marshal(s.Set); err != nil {
			return nil, err
		}
	}
	return scenario.LoadWithOverrides(filepath.Join(filepath.Dir(f.path), name), s.Name, over)
}
