package quarantine

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// fakeShard has machines and jobs of ten tasks, all by one letter.
type fakeShard struct {
	now      units.Microseconds
	machines map[string]*fleet.Machine
	jobs     map[string]*jobs.Job
	stored   []string // jobs of which it was stored whether they fail everywhere
	ready    int
}

func newShard() *fakeShard {
	shard := &fakeShard{now: 1000 * units.Second, machines: map[string]*fleet.Machine{}, jobs: map[string]*jobs.Job{}}
	for _, name := range []string{"A", "B", "C", "D", "E"} {
		shard.machines[name] = &fleet.Machine{Name: name}
	}
	for _, id := range []string{"x", "y"} {
		job := &jobs.Job{ID: id, Record: jobs.Record{Status: jobs.Pending, Tasks: 10, Spec: &jobs.Spec{Tasks: 10}}}
		job.Reset()
		shard.jobs[id] = job
	}
	return shard
}

func (s *fakeShard) Now() units.Microseconds            { return s.now }
func (s *fakeShard) Job(id string) *jobs.Job            { return s.jobs[id] }
func (s *fakeShard) Machine(name string) *fleet.Machine { return s.machines[name] }
func (s *fakeShard) ActiveJobs() map[string]*jobs.Job   { return s.jobs }
func (s *fakeShard) StoreFailing(job *jobs.Job)         { s.stored = append(s.stored, job.ID) }
func (s *fakeShard) TasksReady()                        { s.ready++ }

// TestAttribution has tasks fail and complete, a second apart. Each event names a job, a machine and
// what a task of the job did there: ! it failed, + it completed, ~ it failed and had been started
// before the last failure.
func TestAttribution(t *testing.T) {
	for _, test := range []struct {
		name, events string
		quarantined  string // machines
		failing      string // jobs that fail everywhere
	}{
		{"one failure is nobody's fault yet", "xA!", "", ""},
		{"a job that has worked elsewhere", "xB+ xA!", "A", ""},
		{"two jobs on one machine", "xA! yA!", "A", ""},
		{"one job on two machines", "xA! xB!", "", "x"},
		{"again on the same machine", "xA! xA!", "A", ""},
		{"what was started before the first failure", "xA! xA~", "", ""},
		{"a job that fails everywhere does not blame a machine for others", "xA! xB! yA!", "", "x"},
		{"it works at last: the machine is to blame that failed it while that was open", "xA! xB! xC+", "A", ""},
		{"something has worked there since", "xA! yA+ xB+", "", ""},
		{"what a quarantined machine started later works", "xB+ xA! yA+", "", ""},
		{"machines are given up for a job on which nothing works, three of them", "xA! xA! xB! xB! xC! xC! xD! xD!", "ABC", "x"},
		{"and none that is proven", "yB+ xA! xB! xB!", "", "x"},
	} {
		shard := newShard()
		attribution := New(shard, slog.New(slog.DiscardHandler))
		for _, event := range strings.Fields(test.events) {
			job, machine := shard.jobs[event[:1]], shard.machines[event[1:2]]
			started := shard.now
			shard.now += units.Second
			switch event[2:] {
			case "!":
				attribution.TaskFailed(machine, job, fleet.Attempt{Started: started + 1})
			case "~":
				attribution.TaskFailed(machine, job, fleet.Attempt{Started: machine.FailedAt})
			case "+":
				attribution.TaskSucceeded(machine, job, fleet.Attempt{Started: started + 1})
				job.AnyTaskSucceeded = true
			}
		}
		quarantined, failing := "", ""
		for _, name := range slices.Sorted(maps.Keys(shard.machines)) {
			if shard.machines[name].Quarantined {
				quarantined += name
			}
		}
		for _, id := range slices.Sorted(maps.Keys(shard.jobs)) {
			if shard.jobs[id].FailsEverywhere() {
				failing += id
			}
		}
		if quarantined != test.quarantined || failing != test.failing {
			t.Errorf("%s: quarantined %q, failing %q, want %q and %q", test.name, quarantined, failing, test.quarantined, test.failing)
		}
	}
}

// TestTrials has a job fail: it is tried elsewhere only for a while, after longer and longer pauses
// once it fails everywhere, and that is stored once.
func TestTrials(t *testing.T) {
	shard := newShard()
	attribution := New(shard, slog.New(slog.DiscardHandler))
	job, machine := shard.jobs["x"], shard.machines["A"]
	attribution.TaskFailed(machine, job, fleet.Attempt{})
	if here, there := Trials(shard.now, machine, job), Trials(shard.now, shard.machines["B"], job); here != 0 || there != 2 {
		t.Errorf("%d tasks are tried there and %d elsewhere, want 0 and 2", here, there)
	}
	if n := Trials(shard.now+retrySame, machine, job); n != 2 {
		t.Errorf("%d tasks are tried there later, want 2", n)
	}
	for i, name := range []string{"B", "C", "D", "E"} {
		attribution.TaskFailed(shard.machines[name], job, fleet.Attempt{})
		if want := shard.now + min(units.Second<<(i+2), longestBackoff); job.NotBefore != want {
			t.Errorf("after %d machines not before %.0f s, want %.0f", i+2, job.NotBefore.Seconds(), want.Seconds())
		}
	}
	if n := Trials(shard.now, shard.machines["B"], job); n != 0 || len(shard.stored) != 1 {
		t.Errorf("%d tasks are tried where it failed, stored %d times", n, len(shard.stored))
	}
	if attribution.TaskSucceeded(machine, job, fleet.Attempt{}); job.NotBefore != shard.now || shard.ready == 0 {
		t.Errorf("it works, and is not before %.0f s", job.NotBefore.Seconds())
	}
}
