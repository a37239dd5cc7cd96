package scenario

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"shalestage.example/shalestage/examples"
)

// sampleWith returns the sample scenario with more appended.
func sampleWith(more string) string { return string(examples.Sample) + "\n" + more }

// TestParseErrorPosition checks that an error in a file is reported with its text, line and column.
func TestParseErrorPosition(t *testing.T) {
	lines := strings.Count(sampleWith(""), "\n") + 1
	for name, c := range map[string]struct {
		text      string
		line, col int
		says      string
	}{
		"unknown key":         {sampleWith("") + "[[job]]\nname = \"x\"\ncolour = 1\n", lines + 2, 1, "unknown key job.colour"},
		"wrong type":          {"name = 3\n", 1, 8, "string"},
		"no TOML":             {"name = \n", 1, 8, ""},
		"out of range":        {strings.Replace(sampleWith(""), "tasks = 12", "tasks = 0", 1), 0, 1, "tasks: want 1 to 100000, got 0"},
		"not a number":        {strings.Replace(sampleWith(""), "write_rps = 200", "write_rps = nan", 1), 0, 1, "state.write_rps"},
		"no such team":        {strings.Replace(sampleWith(""), "team = \"lab\"", "team = \"labs\"", 1), 0, 1, "there is no team \"labs\""},
		"no such job":         {strings.Replace(sampleWith(""), "awaits = [\"extract\"]", "awaits = [\"extracts\"]", 1), 0, 1, "no job \"extracts\" further up"},
		"awaits a service":    {strings.Replace(sampleWith(""), "awaits = [\"extract\"]", "awaits = [\"preview\"]", 1), 0, 1, "never done"},
		"named twice":         {strings.Replace(sampleWith(""), "name = \"search\"\nteam", "name = \"render\"\nteam", 1), 0, 1, "named twice"},
		"no such fault":       {sampleWith("[[fault]]\nat_s = 1\nkind = \"rain\"\n"), lines + 2, 1, "there is no kind \"rain\", but [controller_crash controller_retire"},
		"strange field":       {sampleWith("[[fault]]\nat_s = 1\nkind = \"state_outage\"\nfor_s = 2\nshare = 0.5\n"), lines + 4, 1, "state_outage does not take it, but [at_s at_to_s for_s for_to_s kind]"},
		"lasts no time":       {sampleWith("[[fault]]\nat_s = 1\nkind = \"machine_stop\"\nfor_to_s = 2\n"), lines + 3, 1, "machine_stop does not take it, but [at_s"},
		"not for the next":    {sampleWith("[[fault]]\nat_s = 1\nkind = \"state_late\"\nfor_s = 2\nfor_next = true\n"), lines + 4, 1, "state_late does not take it, but [at_s at_to_s for_s for_to_s kind share]"},
		"fault without time":  {sampleWith("[[fault]]\nkind = \"state_outage\"\n"), lines, 3, "for_s: missing, state_outage needs it"},
		"no such controller":  {sampleWith("[[fault]]\nkind = \"cut\"\nfor_s = 1\nbetween = [\"node-7\", \"state\"]\n"), lines + 3, 1, "want a controller"},
		"no such zone":        {sampleWith("[[fault]]\nkind = \"zone_apart\"\nfor_s = 1\nzone = \"east\"\n"), lines + 3, 1, "none of controllers.zones"},
		"no such event":       {sampleWith("[draw]\nfrom_s = 1\nto_s = 9\nmeet = 2\nevents = [\"task_done\", \"rain\"]\n"), lines + 4, 25, "no event \"rain\", but [cancel_told grant_stored"},
		"nothing meets":       {sampleWith("[draw]\nto_s = 9\nevents = [\"task_done\"]\n"), lines + 2, 1, "draw.meet is missing"},
		"no such expected":    {sampleWith("[expect.events]\nrain = 2\n"), lines + 1, 1, "no event \"rain\", but [cancel_told grant_stored"},
		"ends before":         {sampleWith("[[fault]]\nat_s = 5\nat_to_s = 4\nkind = \"controller_crash\"\n"), lines + 2, 1, "want at least at_s, 5, got 4"},
		"load below none":     {strings.Replace(sampleWith(""), "[users]\n", "[users]\nload = -1\n", 1), 33, 1, "users.load: want 0 to 1000, got -1"},
		"capacity of nothing": {sampleWith("[[capacity]]\ntype = \"huge\"\nzone = \"north\"\ncount = 1\n"), lines + 1, 1, "there is no machine type"},
	} {
		_, err := Parse("f.toml", []byte(c.text), true)
		var m *FileError
		if !errors.As(err, &m) {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if !strings.Contains(m.Text, c.says) || m.Line == 0 || m.Col != c.col || c.line != 0 && m.Line != c.line {
			t.Errorf("%s: %v, want line %d, column %d, %q", name, err, c.line, c.col, c.says)
		}
	}
}

// TestRequiredFieldsAllowed checks that every kind of fault lists the fields that it accepts, and that these
// include its required fields.
func TestRequiredFieldsAllowed(t *testing.T) {
	if len(allowedFields) != len(Kinds) {
		t.Errorf("%d kinds of faults, but %d entries in allowedFields", len(Kinds), len(allowedFields))
	}
	for _, k := range Kinds {
		for _, need := range k.Needs {
			if !slices.Contains(allowedFields[k.Kind], need) {
				t.Errorf("%s requires %s but does not accept it", k.Kind, need)
			}
		}
	}
}

// TestBaseFile checks that a file with a base replaces the values that it sets and keeps the others, and that
// nested bases and bases in other directories are refused.
func TestBaseFile(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"base.toml":  string(examples.Sample),
		"over.toml":  "base = \"base.toml\"\nname = \"over\"\n[state]\nrps = 7\n[[fault]]\nkind = \"controller_crash\"\n",
		"twice.toml": "base = \"over.toml\"\n",
		"away.toml":  "base = \"../base.toml\"\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	base, err := Load(filepath.Join(dir, "base.toml"))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Load(filepath.Join(dir, "over.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "over" || s.State.RPS != 7 || s.State.WriteRPS != base.State.WriteRPS || len(s.Jobs) != len(base.Jobs) || len(s.Teams) != len(base.Teams) || len(s.Faults) != 1 {
		t.Errorf("%+v", s)
	}
	for _, f := range []string{"twice.toml", "away.toml"} {
		if _, err := Load(filepath.Join(dir, f)); err == nil {
			t.Errorf("%s was accepted", f)
		}
	}
}

// FuzzParse checks that any input is either refused or gives a scenario whose configurations and job specs
// can be built, and that none panics.
func FuzzParse(f *testing.F) {
	f.Add(examples.Sample)
	f.Add([]byte("[[job]]\nname=\"a\"\nteam=\"t\"\ntasks=1\nawaits=[\"b\"]"))
	f.Add([]byte("a.b.c = [{x=1},{y=[[1]]}]\n[a.b]\n[[a.d]]\n[x.\"y z\"]\nk='''\nv'''"))
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, all := range []bool{true, false} {
			s, err := Parse("f", b, all)
			if err != nil {
				continue
			}
			s.Site()
			s.Check()
			for _, j := range s.Jobs {
				if spec := j.Spec(); !spec.Valid() {
					t.Errorf("job %+v gives %+v", j, spec)
				}
			}
		}
		positions(b)
	})
}

// TestLoadFactor checks that users.load multiplies the jobs of entries with a count, in the same time, and
// leaves entries without a count alone.
func TestLoadFactor(t *testing.T) {
	last := map[float64]float64{}
	for load, want := range map[float64]int{0: 1001, 1: 1001, 1.1: 1101, 0.0001: 2} {
		s := Defaults()
		s.Users.Load = load
		s.Jobs = []Job{{Name: "once", Team: "blue", Tasks: 1, RunS: 1}, {Name: "often", Team: "blue", Tasks: 1, RunS: 1, Count: 1000, EveryS: 10}}
		jobs := s.Plan(0, rand.New(rand.NewPCG(1, 1)))
		if len(jobs) != want {
			t.Errorf("load %g: %d jobs, want %d", load, len(jobs), want)
		}
		last[load] = jobs[len(jobs)-1].At.Seconds()
	}
	if last[0] != last[1] || last[1.1] < 0.9*last[1] || last[1.1] > 1.1*last[1] {
		t.Errorf("last submission at %v s, by load", last)
	}
}

// TestDay4096 checks the size of the example that overrides the size of its base.
func TestDay4096(t *testing.T) {
	s, err := Load("../../examples/day-4096.toml")
	if err != nil {
		t.Fatal(err)
	}
	machines := 0
	for _, p := range s.Capacity {
		machines += p.Count + p.Spot
	}
	if machines != 4096 || len(s.Capacity) != 10 || len(s.Teams) != 340 || len(s.Jobs) != 340 {
		t.Errorf("%d machines in %d zones, %d teams, %d entries of jobs", machines, len(s.Capacity), len(s.Teams), len(s.Jobs))
	}
}
