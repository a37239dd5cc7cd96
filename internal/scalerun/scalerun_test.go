package scalerun

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"shalestage.example/shalestage/examples"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/emulator/work"

	"shalestage.example/shalestage/internal/core/jobs"
)

// TestMistakes reads files that cannot be worked with: each mistake is told with file,
// line, field and reason.
func TestMistakes(t *testing.T) {
	text := string(examples.Scale)
	for _, c := range []struct{ from, to, want string }{
		{"workers = 3700", "workers = 0", "want 1 to 20000, got 0"},
		{"starts_per_s = 320", "starts_per_s = nan", "target.starts_per_s: want 0.1 to 2000"},
		{"regions = 3", "regoins = 3", "unknown key target.regoins"},
		{"zones = 10", "zones = 2", "target.zones: want one for each of 3 regions"},
		{"tasks = 23000 ", "tasks = 200 ", "target.tasks: too few"},
		{"kind = \"rack\"", "kind = \"shelf\"", "fault[1].kind: want one of"},
		{"machines = 40", "machines = 0", "fault[1].machines: want 1 to"},
		{"region = 2", "region = 3", "fault[3].region: want 0 to 2, got 3"},
		{"hold_s = 60", "hold_s = 3500", "time: all phases take up to"},
		{"count = 5", "count = 5\nzones = [\"a\"]", "controllers.zones: they follow from"},
		{"rps = 400", "rps = -1", "run.toml:45:1: state.rps: want 1 to 1e+06, got -1"},
		{"poll_s = 5", "poll_s = 0", "users.poll_s: want 0.1 to"},
	} {
		if !strings.Contains(text, c.from) {
			t.Fatalf("the example has no %q", c.from)
		}
		_, err := Parse("run.toml", []byte(strings.Replace(text, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "run.toml:") {
			t.Errorf("%s: %v, want %q", c.to, err, c.want)
		}
	}
}

// TestSizes holds what a run at a size consists of against its share of the target.
func TestSizes(t *testing.T) {
	f, err := Parse("run.toml", examples.Scale)
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []float64{0.02, 0.1, 1} {
		s, err := f.At(size)
		if err != nil {
			t.Fatal(err)
		}
		machines, zones, starts, abroad := 0, 0, 0.0, 0
		for i := range s.Want.Regions {
			c, err := s.Region(i)
			if err != nil {
				t.Fatalf("size %g: %v", size, err)
			}
			zones += len(c.Controllers.Zones)
			for _, p := range c.Capacity {
				machines += p.Count
			}
			for _, j := range c.Jobs {
				if j.Kind != "service" {
					starts += float64(j.Tasks)
				}
			}
			for k := range s.Want.Regions {
				jobs := s.Abroad(k, i)
				abroad += len(jobs)
				for _, j := range jobs {
					starts += float64(j.Spec.Tasks)
					if !isAbroad(j.ID) {
						t.Fatalf("%s is not told from jobs at home", j.ID)
					}
				}
			}
		}
		starts /= s.submitUntil()
		if zones != 10 || machines < s.Want.Workers || float64(machines) > 1.15*float64(s.Want.Workers) || abroad == 0 {
			t.Errorf("size %g: %d zones, %d machines for %d workers, %d jobs from abroad", size, zones, machines, s.Want.Workers, abroad)
		}
		if starts < 0.85*s.Want.StartsPerS || starts > 1.15*s.Want.StartsPerS {
			t.Errorf("size %g: %g tasks a second, want about %g", size, starts, s.Want.StartsPerS)
		}
	}
	for _, size := range []float64{0, 0.004, 1.01} {
		if _, err := f.At(size); err == nil {
			t.Errorf("size %g was taken", size)
		}
	}
}

// TestTooLarge holds runs against machines that they do not fit.
func TestTooLarge(t *testing.T) {
	fits := Host{Cores: 8, MemoryMB: 16_000, AvailableMB: 16_000, Files: 20_000}
	need := Need{Processes: 40, MemoryMB: 7_900, Files: 9_000}
	if err := need.fits(fits); err != nil {
		t.Errorf("refused: %v", err)
	}
	for _, c := range []struct {
		change func(n *Need, h *Host)
		want   string
	}{
		{func(n *Need, _ *Host) { n.MemoryMB = 8_001 }, "more than half of the machine's"},
		{func(n *Need, _ *Host) { n.Processes = 301 }, "more than 300"},
		{func(n *Need, _ *Host) { n.Files = 20_001 }, "ulimit -n"},
		{func(_ *Need, h *Host) { h.AvailableMB = 7_000 }, "are free now"},
	} {
		n, h := need, fits
		c.change(&n, &h)
		var large TooLarge
		if err := n.fits(h); !errors.As(err, &large) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %q", err, c.want)
		}
	}
	if err := exceeded(fits, 8_001, 40); err == nil || !strings.Contains(err.Error(), "stopped") {
		t.Errorf("a run that grew beyond half of the memory goes on: %v", err)
	}
	if err := exceeded(fits, 7_999, 300); err != nil {
		t.Errorf("a run within its bounds is stopped: %v", err)
	}
}

// TestSpent reads what this process uses.
func TestSpent(t *testing.T) {
	use, ok := readSpent(os.Getpid())
	if !ok || use.memoryMB < 1 || use.memoryMB > 10_000 {
		t.Errorf("this process: %+v, %v", use, ok)
	}
	if _, ok := readSpent(1 << 30); ok {
		t.Error("a process that is not there uses something")
	}
	if busyS() <= 0 {
		t.Error("the machine has never been busy")
	}
	if h, err := readHost(); err != nil || h.Cores < 1 || h.Files < 1 {
		t.Errorf("this machine: %+v, %v", h, err)
	}
}

// TestObserver counts a job at home and one from abroad, through two phases.
func TestObserver(t *testing.T) {
	o := newObserver(2)
	job := func(id, class string) *user.Job {
		return &user.Job{Job: &work.Job{ID: id, Spec: &jobs.Spec{Class: class, Tasks: 2}}}
	}
	told := func(k user.Kind, id string, code int) user.CallFinished {
		return user.CallFinished{Kind: k, ID: id, Took: units.Second / 4, Reply: user.Reply{Code: code}}
	}
	at := units.Second
	o.User(at, user.SubmissionStarted{Job: job("wk-000001", ClassUrgent)})
	o.User(at, told(user.Submit, "wk-000001", 503))
	o.User(2*at, told(user.Submit, "wk-000001", 201))
	o.User(at, user.SubmissionStarted{Job: job("wk-800001", ClassAbroad)})
	o.User(at, told(user.Submit, "wk-800001", 0))
	o.User(at, told(user.Poll, "wk-9123451234", 404)) // of a job that nobody submitted, asked at home
	o.enter(1)
	m := check.Machine{Name: "n-1"}
	first, second := jobs.TaskID{Job: "wk-000001", Task: 0}, jobs.TaskID{Job: "wk-000001", Task: 1}
	o.Began(3*at, m, first)
	o.Began(5*at, m, second)
	o.Ended(6*at, m, first, true)
	o.User(6*at, told(user.Poll, "wk-000001", 200))
	a, b := o.counts[0], o.counts[1]
	if a.Submitted != 2 || a.Accepted != 1 || a.Home != (Calls{OK: 2, Shed: 1}) || a.Abroad != (Calls{None: 1}) || a.Starts != 0 {
		t.Errorf("first phase: %+v", a)
	}
	if b.Starts != 2 || b.Completed != 1 || b.Home.OK != 1 {
		t.Errorf("second phase: %+v", b)
	}
	// The first task counts for the phase in which its job was submitted, and no other.
	if n, p := a.urgent.TotalCount(), a.urgent.Max(); n != 1 || p < 1_990_000 || p > 2_010_000 || b.urgent.TotalCount() != 0 {
		t.Errorf("%d urgent starts, the longest %d µs", n, p)
	}
	if running, starts, done := o.state(); running != 1 || starts != 2 || done != 1 {
		t.Errorf("%d running, %d started, %d done", running, starts, done)
	}
	if len(o.jobs) != 1 {
		t.Errorf("%d jobs are kept, want the one that was not accepted", len(o.jobs))
	}
}

// TestReport writes the report of a run that was stopped early.
func TestReport(t *testing.T) {
	f, err := Parse("run.toml", examples.Scale)
	if err != nil {
		t.Fatal(err)
	}
	s, err := f.At(0.1)
	if err != nil {
		t.Fatal(err)
	}
	r := &Result{Name: s.Name, Size: s.Size, Want: s.Want, Budget: s.Budget, Phases: s.Phases(), Stopped: "interrupted"}
	dir := t.TempDir()
	if err := r.Save(dir); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"report.html", "scale.json"} {
		b, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil || !strings.Contains(string(b), "interrupted") {
			t.Errorf("%s does not say how the run ended: %v", name, err)
		}
	}
	if len(r.Missed()) == 0 {
		t.Error("a run that reached nothing has missed nothing")
	}
}
