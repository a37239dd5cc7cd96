package experiment

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/meter"
	"shalestage.example/shalestage/internal/emulator/sim"
	"shalestage.example/shalestage/internal/rehearse"
	"shalestage.example/shalestage/internal/scenario"
)

// Run is one play and what was measured.
type Run struct {
	Key      string         `json:"key"` // of what was played, by which program: equal keys, equal plays
	Scenario string         `json:"scenario"`
	Setting  string         `json:"setting"`
	Seed     uint64         `json:"seed"`
	Figures  meter.Figures  `json:"figures"`
	Broken   []string       `json:"broken,omitempty"` // rules
	Series   []meter.Sample `json:"series,omitempty"` // of the first seed
	Waits    []float64      `json:"waits,omitempty"`  // quantiles of the times to first tasks, see curve
	Dones    []float64      `json:"dones,omitempty"`  // and of those to the ends
	TookS    float64        `json:"took_s"`
}

// runsFile keeps the plays, one a line as they end, so that an experiment that was
// stopped goes on where it was.
const runsFile = "runs.jsonl"

// maxLine bounds a line of it.
const maxLine = 16 << 20

// Play plays what is missing in a directory, and returns all plays in order. program
// names the version that plays: what another one played is played again. say is told
// about each play.
func (f *File) Play(dir, program string, say func(done, all int, r Run)) ([]Run, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	old, err := readRuns(filepath.Join(dir, runsFile))
	if err != nil {
		return nil, err
	}
	type play struct {
		run Run
		s   *scenario.Scenario
	}
	var plays []play
	for _, name := range f.Scenarios {
		for _, set := range f.Settings {
			s, err := f.scenario(name, set)
			if err != nil {
				return nil, err
			}
			text, err := toml.Marshal(s)
			if err != nil {
				return nil, err
			}
			for i := range uint64(f.Seeds) {
				seed := f.FirstSeed + i
				sum := sha256.Sum256(fmt.Appendf(text, "\n%s %d %g %v", program, seed, f.EveryS, i == 0))
				plays = append(plays, play{Run{Key: hex.EncodeToString(sum[:12]), Scenario: s.Name, Setting: set.Name, Seed: seed}, s})
			}
		}
	}
	out, err := os.OpenFile(filepath.Join(dir, runsFile), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	var runs []Run
	var failed error
	done := 0
	rehearse.ForEachOrdered(len(plays), func(i int) Run {
		r := plays[i].run
		if o, ok := old[r.Key]; ok {
			o.Scenario, o.Setting = r.Scenario, r.Setting // as this file calls them
			return o
		}
		return f.play(r, plays[i].s)
	}, func(r Run) {
		done++
		if _, ok := old[r.Key]; !ok && failed == nil {
			failed = writeRun(out, r)
		}
		runs = append(runs, r)
		if say != nil {
			say(done, len(plays), r)
		}
	})
	return runs, errors.Join(failed, out.Close())
}

// play plays one seed of a scenario.
func (f *File) play(r Run, s *scenario.Scenario) Run {
	began := time.Now()
	m := meter.New()
	w := sim.New(s, sim.Options{Seed: r.Seed, Meter: m, MeterInterval: units.Seconds(f.EveryS)})
	res := w.RunScenario()
	end := units.Seconds(s.DurationS)
	r.Figures = m.Figures(end, res.Cost, w.LowestCPUPrice())
	for _, b := range res.Violations {
		r.Broken = append(r.Broken, b.String())
	}
	waits, dones := m.Times(end)
	r.Waits, r.Dones = curve(waits), curve(dones)
	if r.Seed == f.FirstSeed {
		r.Series = thin(m.Series(), 600)
	}
	r.TookS = time.Since(began).Seconds()
	return r
}

// curveAt are the shares of which a curve has the quantiles.
var curveAt = []float64{0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999}

// curve returns the quantiles of sorted values.
func curve(sorted []float64) []float64 {
	if len(sorted) == 0 {
		return nil
	}
	out := make([]float64, len(curveAt))
	for i, q := range curveAt {
		out[i] = sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
	}
	return out
}

// thin leaves out samples so that at most n are left.
func thin(all []meter.Sample, n int) []meter.Sample {
	if len(all) <= n {
		return all
	}
	out := make([]meter.Sample, n)
	for i := range out {
		out[i] = all[i*len(all)/n]
	}
	return out
}

func writeRun(f *os.File, r Run) error {
	b, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = f.Write(append(b, '\n')) // in one piece: a line is there or it is not
	return err
}

// readRuns returns the plays of a file by key. A last line that was cut short is cut off,
// so that what is added does not join it.
func readRuns(file string) (map[string]Run, error) {
	out := map[string]Run{}
	b, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return out, nil
	}
	if err != nil {
		return nil, err
	}
	if whole := bytes.LastIndexByte(b, '\n') + 1; whole < len(b) {
		if err := os.Truncate(file, int64(whole)); err != nil {
			return nil, err
		}
		b = b[:whole]
	}
	sc := bufio.NewScanner(bytes.NewReader(b))
	sc.Buffer(nil, maxLine)
	for n := 1; sc.Scan(); n++ {
		var r Run
		if err := json.Unmarshal(sc.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, n, err)
		}
		out[r.Key] = r
	}
	return out, sc.Err()
}
