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

// fakeShard has machines A to E and jobs x and y of ten tasks each.
type fakeShard struct {
	now      units.Microseconds
	machines map[string]*fleet.Machine
	jobs     map[string]*jobs.Job
	stored   []string // jobs passed to StoreFailing
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

// TestFailureAttribution guards against blaming the wrong side for failed tasks. Tasks fail and
// complete, one second apart. Each event names a job, a machine and an outcome: ! a task failed,
// + a task completed, ~ a task failed that was started before the machine's last failure.
func TestFailureAttribution(t *testing.T) {
	for _, test := range []struct {
		name, events string
		quarantined  string // machines
		failing      string // jobs that fail everywhere
	}{
		{"one failure is not attributed yet", "xA!", "", ""},
		{"job has completed a task elsewhere", "xB+ xA!", "A", ""},
		{"two jobs fail on one machine", "xA! yA!", "A", ""},
		{"one job fails on two machines", "xA! xB!", "", "x"},
		{"job fails again on the same machine", "xA! xA!", "A", ""},
		{"second failed attempt had started before the first failure", "xA! xA~", "", ""},
		{"failures of a job that fails everywhere do not count against a machine", "xA! xB! yA!", "", "x"},
		{"completion blames the machine whose failure was not attributed", "xA! xB! xC+", "A", ""},
		{"another task has completed on the machine since", "xA! yA+ xB+", "", ""},
		{"later completion ends the quarantine", "xB+ xA! yA+", "", ""},
		{"at most three unproven machines are quarantined for one job", "xA! xA! xB! xB! xC! xC! xD! xD!", "ABC", "x"},
		{"no proven machine is quarantined for one job", "yB+ xA! xB! xB!", "", "x"},
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

// TestFailedReplicaStartsAgain guards against replicas of a service that never start again after a failure. No
// replica ever completes, so the service stays suspect, and its running replicas used up the few that may start.
func TestFailedReplicaStartsAgain(t *testing.T) {
	for _, test := range []struct {
		name                     string
		failures, placed, proven int // of ten replicas
		want                     int
	}{
		{"one failure, all others proven", 1, 9, 9, 1},
		{"one failure, most are proven", 1, 7, 6, 1},
		{"one failure, two are tried", 1, 7, 5, 0},
		{"one failure, none is proven", 1, 9, 0, 0},
		{"fails everywhere, all others proven", 2, 8, 8, 1},
		{"fails everywhere, one is tried", 2, 8, 7, 0},
		{"fails everywhere, none runs", 2, 0, 0, 1},
	} {
		shard := newShard()
		attribution := New(shard, slog.New(slog.DiscardHandler))
		job := shard.jobs["x"]
		job.Spec().Service = true
		for replica := range test.placed {
			task := job.PlaceNext(jobs.Place{Machine: "E"})
			if replica < test.proven {
				job.MarkProven(task)
				job.MarkProven(task) // with every heartbeat
			}
		}
		for _, name := range []string{"A", "B"}[:test.failures] {
			attribution.TaskFailed(shard.machines[name], job, fleet.Attempt{})
		}
		if got := StartLimit(shard.now, shard.machines["C"], job); got != test.want {
			t.Errorf("%s: %d replicas may start, want %d", test.name, got, test.want)
		}
		for replica := range 10 {
			job.Release(replica)
		}
		if got, want := job.StartLimit(), 3-test.failures; got != want {
			t.Errorf("%s: %d replicas may start once none runs, want %d", test.name, got, want)
		}
	}
}

// TestStartLimitAfterFailures guards against a failing job that occupies
// machines. After a failure it is tried only elsewhere for retrySameMachineAfter.
// Once it fails everywhere, the delays grow and the state is stored exactly once.
func TestStartLimitAfterFailures(t *testing.T) {
	shard := newShard()
	attribution := New(shard, slog.New(slog.DiscardHandler))
	job, machine := shard.jobs["x"], shard.machines["A"]
	attribution.TaskFailed(machine, job, fleet.Attempt{})
	if here, there := StartLimit(shard.now, machine, job), StartLimit(shard.now, shard.machines["B"], job); here != 0 || there != 2 {
		t.Errorf("%d tasks may start on the failed machine and %d elsewhere, want 0 and 2", here, there)
	}
	if n := StartLimit(shard.now+retrySameMachineAfter, machine, job); n != 2 {
		t.Errorf("%d tasks may start on the failed machine later, want 2", n)
	}
	for i, name := range []string{"B", "C", "D", "E"} {
		attribution.TaskFailed(shard.machines[name], job, fleet.Attempt{})
		if want := shard.now + min(units.Second<<(i+2), maxBackoff); job.NotBefore != want {
			t.Errorf("after failures on %d machines, retry at %.0f s, want %.0f", i+2, job.NotBefore.Seconds(), want.Seconds())
		}
	}
	if n := StartLimit(shard.now, shard.machines["B"], job); n != 0 || len(shard.stored) != 1 {
		t.Errorf("%d tasks may start where the job failed, want 0; stored %d times, want 1", n, len(shard.stored))
	}
	if attribution.TaskSucceeded(machine, job, fleet.Attempt{}); job.NotBefore != shard.now || shard.ready == 0 {
		t.Errorf("retry at %.0f s after a task completed, want immediately", job.NotBefore.Seconds())
	}
}
