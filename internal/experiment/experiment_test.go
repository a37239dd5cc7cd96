package experiment

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

const small = `
duration_s = 60
[controllers]
count = 1
zones = ["a"]
[[machine_types]]
name = "m"
cpus = 4
memory_gb = 16
price = 1
cache_gb = 10
fetch_gb_per_s = 1
boot_s = 5
[[capacity]]
type = "m"
zone = "a"
count = 2
[[teams]]
name = "t"
[[job]]
name = "j"
team = "t"
tasks = 3
cpus = 1
memory_gb = 1
run_s = 2
count = 6
every_s = 4
deadline_s = 30
`

// write puts an experiment and its scenario into a directory.
func write(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"small.toml": "name = \"small\"" + small, "e.toml": text} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "e.toml")
}

// TestMistakes has each mistake of a file told with line and column, before anything is
// played.
func TestMistakes(t *testing.T) {
	head := "name = \"e\"\nscenarios = [\"small.toml\"]\n"
	one := "[[setting]]\nname = \"a\"\n"
	for _, c := range []struct{ text, want string }{
		{"seeds = [", "e.toml:1:"},
		{head + one + "colour = 1\n", "e.toml:5:1: unknown key"},
		{head + "seeds = 0\n" + one, "e.toml:3:1: seeds: want 1 to"},
		{head + "every_s = nan\n" + one, "e.toml:3:1: every_s"},
		{head + "measures = [\"luck\"]\n" + one, "e.toml:3:1: measures: measures[0]: there is no measure \"luck\""},
		{head + "baseline = \"b\"\n" + one, "e.toml:3:1: baseline: there is no setting \"b\""},
		{head + one + one, "e.toml:6:1: setting[1].name: \"a\" is named twice"},
		{head + "[[setting]]\n", "e.toml:3:3: setting[0]: name: missing"},
		{"name = \"e\"\n" + one, "scenarios: missing"},
		{"name = \"e\"\nscenarios = [\"none.toml\"]\n" + one, "no such file"},
		{head + one + "[setting.set.controllers]\ncuont = 3\n", "setting[0].set: a:2:1: unknown key controllers.cuont"},
		{head + one + "[setting.set.tuning]\nfairness = 1\n", "setting[0].set: a:1:2: tuning: fairness: want 0 to 0.999"},
		{head + one + "[setting.set.tuning]\nfearness = 0.1\n", "fearness"},
		{head + "seeds = 1000\n" + one + "[[setting]]\nname = \"b\"\n", ""},
	} {
		_, err := Read(write(t, c.text))
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q\ngives %v\nwant %s", c.text, err, c.want)
		}
	}
}

// TestResume stops an experiment in the middle of writing a play: what is whole is kept,
// the rest is played again, and the figures are those of an experiment that nobody
// stopped.
func TestResume(t *testing.T) {
	file := write(t, "name = \"e\"\nseeds = 4\nscenarios = [\"small.toml\"]\n[[setting]]\nname = \"a\"\n[[setting]]\nname = \"slow boots\"\n[setting.set.tuning]\nworth_s = 1\n")
	f, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(filepath.Dir(file), "out")
	play := func(program string) ([]Run, int) {
		t.Helper()
		before, _ := readRuns(filepath.Join(dir, runsFile))
		runs, err := f.Play(dir, program, nil)
		if err != nil {
			t.Fatal(err)
		}
		after, _ := readRuns(filepath.Join(dir, runsFile))
		return runs, len(after) - len(before)
	}
	whole, n := play("1")
	if n != 8 || len(whole) != 8 || whole[0].Figures["useful"] <= 0 || whole[0].Figures["deadline"] != 1 || len(whole[0].Series) == 0 {
		t.Fatalf("%d plays, first %+v", n, whole[0])
	}
	path := filepath.Join(dir, runsFile)
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(string(b), "\n")
	cut := strings.Join(lines[:3], "") + lines[3][:len(lines[3])/2]
	if err := os.WriteFile(path, []byte(cut), 0o600); err != nil {
		t.Fatal(err)
	}
	again, n := play("1")
	for i := range again {
		again[i].TookS, whole[i].TookS = 0, 0
	}
	if n != 5 || !reflect.DeepEqual(again, whole) {
		t.Fatalf("%d played again; equal %v", n, reflect.DeepEqual(again, whole))
	}
	if _, n := play("2"); n != 8 {
		t.Fatalf("another version played %d", n)
	}
	if err := f.Save(dir, whole, f.Compare(whole)); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(dir, "report.html"))
	if err != nil || strings.Count(string(page), "<svg") < 4 || strings.Contains(string(page), "src=") || strings.Contains(string(page), "href=") {
		t.Fatalf("%v: %d plots, or the page needs something beside it", err, strings.Count(string(page), "<svg"))
	}
}

// TestVerdicts draws experiments of 20 comparisons without any difference, in which a
// verdict may be wrong in one of twenty, and some with one that is there.
func TestVerdicts(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	draw := func(shift float64) Comparison {
		a, b := make([]float64, 10), make([]float64, 10)
		for i := range a {
			a[i] = 50 + 10*rng.NormFloat64()
			b[i] = a[i] + shift + rng.NormFloat64()
		}
		return pairs(a, b)
	}
	wrong, found := 0, 0
	for range 400 {
		var none []Comparison
		for range 20 {
			none = append(none, draw(0))
		}
		some := append([]Comparison{draw(3)}, none[1:]...)
		holm(none)
		holm(some)
		for i := range none {
			if none[i].judge(); none[i].Verdict != Noise {
				wrong++
				break
			}
		}
		if some[0].judge(); some[0].Verdict == Worse {
			found++
		}
	}
	if wrong > 400/20+10 || wrong == 0 {
		t.Errorf("%d of 400 experiments without a difference claim one", wrong)
	}
	if found < 390 {
		t.Errorf("a difference of three standard deviations was found %d of 400 times", found)
	}
	c := pairs([]float64{1, 2, 3, 4}, []float64{1, 2, 3, 4})
	if c.judge(); c.Verdict != Same {
		t.Errorf("equal pairs: %+v", c)
	}
	c = pairs([]float64{1, 2}, []float64{2, 3})
	if c.judge(); c.Verdict != TooFew {
		t.Errorf("two pairs: %+v", c)
	}
}
