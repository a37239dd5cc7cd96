package shardplan

import (
	"fmt"
	"iter"
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/election"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

// fataler is a test, of the standard library or of rapid.
type fataler interface {
	Helper()
	Fatal(args ...any)
}

// fakeHost is controller "a" of a cluster, with a state service of its own.
type fakeHost struct {
	now      units.Microseconds
	planner  *Planner
	election *election.Election
	revision uint64
	versions map[string]uint64
	writes   []*store.Write
	reads    []func(ok bool)

	jobs     map[string]*jobs.Job
	groups   map[string]fleet.Group
	limit    binpack.Vec
	members  map[string]uint64
	expired  map[string]bool
	silent   map[string]bool
	deaf     map[string]bool
	outdated map[string]bool
	old      map[string]bool
	standby  string
	uses     map[int]float64
	released map[int]string
}

func newCluster(size int) *fakeHost {
	h := &fakeHost{now: 100 * units.Second, revision: 100, versions: map[string]uint64{}, jobs: map[string]*jobs.Job{}, groups: map[string]fleet.Group{},
		members: map[string]uint64{}, expired: map[string]bool{}, silent: map[string]bool{}, deaf: map[string]bool{}, outdated: map[string]bool{},
		old: map[string]bool{}, uses: map[int]float64{}, released: map[int]string{}}
	for i := range size {
		h.members[string(rune('a'+i))] = uint64(i + 1)
	}
	h.planner = New(Config{Size: size, ShardMachines: 10, TxnOps: 64, ValueMax: 4096}, NewRecords(), planningHost{h})
	h.election = election.New(election.Config{Node: "a"}, h)
	return h
}

func (h *fakeHost) Now() units.Microseconds                 { return h.now }
func (h *fakeHost) Member() (id, leaseID uint64)            { return h.members["a"], 1 }
func (h *fakeHost) Archiving() bool                         { return false }
func (h *fakeHost) Elected(leadership *election.Leadership) { h.planner.Lead(h.now, leadership) }
func (h *fakeHost) Store(w *store.Write)                    { h.writes = append(h.writes, w) }
func (h *fakeHost) Version(key string) uint64               { return h.versions[key] }
func (h *fakeHost) ReadFresh(ended func(ok bool))           { h.reads = append(h.reads, ended) }
func (h *fakeHost) ActiveJobs() iter.Seq[*jobs.Job]         { return maps.Values(h.jobs) }
func (h *fakeHost) MachineGroups() map[string]fleet.Group   { return h.groups }
func (h *fakeHost) Limit(string) binpack.Vec                { return h.limit }
func (h *fakeHost) Controllers() []string                   { return []string{"a", "b", "c"}[:len(h.members)] }
func (h *fakeHost) CurrentMember(node string) uint64        { return h.members[node] }
func (h *fakeHost) MemberSince(string) units.Microseconds   { return 0 }
func (h *fakeHost) MemberExpired(node string, _ uint64) bool {
	return h.expired[node]
}
func (h *fakeHost) Responsive(node string) bool            { return !h.silent[node] }
func (h *fakeHost) OutOfReach(node string) bool            { return h.deaf[node] }
func (h *fakeHost) Outdated(node string) bool              { return h.outdated[node] }
func (h *fakeHost) ToBeUpgraded(node string) bool          { return h.old[node] }
func (h *fakeHost) Standby(int) string                     { return h.standby }
func (h *fakeHost) OwnQuotaUses() iter.Seq2[int, float64]  { return maps.All(h.uses) }
func (h *fakeHost) RequestRelease(shard int, owner string) { h.released[shard] = owner }
func (h *fakeHost) Type(string) *fleet.Type {
	return &fleet.Type{Name: "big", Capacity: binpack.Vec{binpack.CPU: 1000}}
}

// CacheAge implements election.Host.
func (h *fakeHost) CacheAge() units.Microseconds { return 0 }

// planningHost is the cluster as the planner's host.
type planningHost struct{ *fakeHost }

func (planningHost) CacheAge() (age units.Microseconds, complete bool) { return 0, true }

// learn stores a value at the present revision and lets the controller learn of it.
func (h *fakeHost) learn(t fataler, key string, value []byte) {
	t.Helper()
	h.versions[key] = h.revision
	event := store.Event{Key: key, Value: value, Stamp: h.revision}
	var err error
	switch {
	case key == keys.Leader:
		err = h.election.Learn(event)
	case key == keys.Term:
		err = h.election.LearnTerm(event)
	case strings.HasPrefix(key, keys.AssignmentPrefix):
		number, _ := keys.Shard(key, keys.AssignmentPrefix)
		err = h.planner.records.LearnAssignment(number, event)
	case strings.HasPrefix(key, keys.AllocationPrefix):
		number, _ := keys.Shard(key, keys.AllocationPrefix)
		err = h.planner.records.LearnAllocation(number, event)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// answer lets the state service carry the oldest write out, or not.
func (h *fakeHost) answer(t fataler, o store.Outcome) {
	t.Helper()
	w := h.writes[0]
	h.writes = h.writes[1:]
	for _, guard := range w.Guards {
		if !strings.HasPrefix(guard.Key, keys.MemberPrefix) && h.versions[guard.Key] != guard.Version {
			o = store.Failed
		}
	}
	if o == store.OK {
		h.revision++
		for _, change := range w.Changes {
			h.learn(t, change.Key, change.Value)
		}
	}
	w.Done(o, h.revision)
}

// plan lets the leader plan once, and the state service take what it writes.
func (h *fakeHost) plan(t fataler) {
	t.Helper()
	h.now += planInterval
	h.planner.Tick(h.now)
	for len(h.writes) > 0 {
		h.answer(t, store.OK)
	}
}

// lead makes the controller the leader.
func (h *fakeHost) lead(t fataler) {
	t.Helper()
	h.election.Tick()
	h.answer(t, store.OK)
	if !h.election.Leads() {
		t.Fatal("nobody leads")
	}
}

// machines gives each shard so many machines.
func (h *fakeHost) machines(counts ...int) {
	for shard, n := range counts {
		key := fmt.Sprint(shard)
		h.groups[key] = fleet.Group{Shard: shard, Type: "big", Up: make([]string, n)}
	}
}

// What the shards may use of the limits and what they still use never add up to more than
// the limits, however capacity moves among them, reports are late, lost or of an earlier
// allocation, and whatever becomes of the leader's writes. An owner lowers what it uses in
// its own time, and never uses more than its allocation unless it did before.
func TestQuotasNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 3
		h := newCluster(size)
		h.lead(t)
		h.machines(20, 0, 0)
		for range 3 {
			h.plan(t)
		}
		if h.planner.records.Assignment(2).Version == 0 {
			t.Fatal("shards are not assigned")
		}
		type report struct {
			shard   int
			version uint64
			used    float64
		}
		var late []report
		used := [size]float64{}
		shard := rapid.IntRange(0, size-1)
		t.Repeat(map[string]func(*rapid.T){
			"plan": func(t *rapid.T) {
				h.now += rapid.SampledFrom([]units.Microseconds{planInterval, targetInterval}).Draw(t, "later")
				h.planner.Tick(h.now)
			},
			"plan and store": func(t *rapid.T) {
				h.now += rapid.SampledFrom([]units.Microseconds{0, targetInterval}).Draw(t, "later")
				h.plan(t)
			},
			"answer": func(t *rapid.T) {
				if len(h.writes) == 0 {
					t.Skip()
				}
				h.answer(t, rapid.SampledFrom([]store.Outcome{store.OK, store.Failed, store.Unknown}).Draw(t, "outcome"))
			},
			"capacity moves": func(t *rapid.T) {
				counts := []int{1, 1, 1}
				counts[shard.Draw(t, "to")] = 30
				h.machines(counts...)
			},
			"work starts": func(t *rapid.T) {
				i := shard.Draw(t, "in")
				used[i] = max(used[i], rapid.SampledFrom([]float64{0.1, 1}).Draw(t, "use")*h.planner.records.Allocation(i).Fraction)
			},
			"work ends": func(t *rapid.T) {
				i := shard.Draw(t, "in")
				used[i] *= rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "rest")
			},
			"report": func(t *rapid.T) {
				i := shard.Draw(t, "of")
				late = append(late, report{i, h.planner.records.Allocation(i).Version, used[i]})
			},
			"all report": func(*rapid.T) {
				for i := range size {
					h.planner.ObserveQuotaUse(h.planner.records.Assignment(i).Node, i, h.planner.records.Allocation(i).Version, used[i])
				}
			},
			"late report": func(t *rapid.T) {
				if len(late) == 0 {
					t.Skip()
				}
				r := late[rapid.IntRange(0, len(late)-1).Draw(t, "which")]
				h.planner.ObserveQuotaUse(h.planner.records.Assignment(r.shard).Node, r.shard, r.version, r.used)
			},
			"": func(t *rapid.T) {
				sum := 0.0
				for i := range size {
					sum += max(used[i], h.planner.records.Allocation(i).Fraction)
				}
				if sum > 1+2*rounding {
					t.Fatalf("%v of the limits are used or may be: %v", sum, used)
				}
			},
		})
	})
}

// A shard goes to the controller that owns the fewest, and among those to the one that
// costs least; one that workers cannot reach gets it only where there is no other.
func TestChooseOwner(t *testing.T) {
	assigned := func(node string) Assignment {
		return Assignment{Assignment: authority.Assignment{Term: 1, Number: 1, Node: node}, Version: 1}
	}
	for name, test := range map[string]struct {
		last   Assignment
		owned  map[string]int
		change func(h *fakeHost)
		want   string
	}{
		"the last owner":                    {assigned("b"), nil, func(*fakeHost) {}, "b"},
		"the one with the fewest":           {assigned("b"), map[string]int{"a": 1, "b": 1}, func(*fakeHost) {}, "c"},
		"the standby":                       {assigned("b"), nil, func(h *fakeHost) { h.standby = "c" }, "c"},
		"not one without a membership":      {assigned("b"), nil, func(h *fakeHost) { h.members["b"] = 0 }, "a"},
		"not one of an outdated release":    {assigned("b"), nil, func(h *fakeHost) { h.outdated["b"] = true }, "a"},
		"not one that is to be upgraded":    {assigned("b"), nil, func(h *fakeHost) { h.old["b"] = true }, "a"},
		"not one out of the workers' reach": {assigned("b"), nil, func(h *fakeHost) { h.deaf["b"] = true }, "a"},
		"unless there is no other":          {assigned("b"), nil, func(h *fakeHost) { h.deaf = map[string]bool{"a": true, "b": true, "c": true} }, "b"},
		"not the one that released it": {
			Assignment{Assignment: authority.Assignment{ReleasedBy: "a"}, Version: 1}, nil, func(h *fakeHost) { h.silent["b"] = true }, "c"},
		"nobody": {assigned("b"), nil, func(h *fakeHost) { h.members = map[string]uint64{"a": 0, "b": 0, "c": 0} }, ""},
	} {
		h := newCluster(3)
		test.change(h)
		if got := h.planner.ChooseOwner(0, test.last, test.owned); got != test.want {
			t.Errorf("%s: %q, want %q", name, got, test.want)
		}
	}
}

// A shard whose owner's membership has expired is assigned anew under a higher fencing
// token that names the one before; nothing else is touched.
func TestExpiredOwnerIsReplaced(t *testing.T) {
	h := newCluster(3)
	h.lead(t)
	h.plan(t)
	first := h.planner.records.Assignment(0)
	if first.Node != "a" || h.planner.records.Allocation(0).Fraction != 1 {
		t.Fatalf("%+v", first)
	}
	h.plan(t)
	if again := h.planner.records.Assignment(0); again != first {
		t.Fatalf("%+v after %+v", again, first)
	}
	h.expired["a"], h.members["a"] = true, 9
	h.plan(t)
	if next := h.planner.records.Assignment(0); next.MemberID != 9 || next.Token() <= first.Token() || next.PreviousToken != first.Token() || next.TransferredFrom != 0 {
		t.Fatalf("%+v after %+v", next, first)
	}
}

// Once there are more machines than one shard takes, all controllers get shards and parts of
// the limits; the owner of two is asked for one while another has none.
func TestShardsAreSpread(t *testing.T) {
	h := newCluster(3)
	h.members["c"] = 0
	h.lead(t)
	h.machines(11)
	for range 5 {
		h.plan(t)
		for shard := range 3 {
			h.planner.ObserveQuotaUse(h.planner.records.Assignment(shard).Node, shard, h.planner.records.Allocation(shard).Version, 0)
		}
	}
	sum := 0.0
	for shard := range 3 {
		sum += h.planner.records.Allocation(shard).Fraction
	}
	if sum < 1-rounding || len(h.planner.records.Open()) != 3 {
		t.Fatalf("%v of the limits for %v", sum, h.planner.records.Open())
	}
	h.members["c"] = 3
	h.now += transferInterval
	h.plan(t)
	if len(h.released) != 1 {
		t.Fatalf("asks for %v", h.released)
	}
}

// ownedShard is shard 0, owned by the controller.
type ownedShard struct{ lost bool }

func (*ownedShard) Number() int        { return 0 }
func (*ownedShard) Guard() store.Guard { return store.Guard{Key: keys.Assignment(0)} }
func (s *ownedShard) Owned() bool      { return !s.lost }

// A job migrates to the shard with less work. Until it is certain that the transaction can
// never be carried out, the job is not started here, whatever the answer was.
func TestMigrationInDoubt(t *testing.T) {
	for _, test := range []struct {
		outcome    store.Outcome
		changed    bool // the job's record has another version by then
		wantQueued bool // the migration is tried again
	}{
		{store.Failed, false, false},
		{store.TooLarge, false, false},
		{store.Failed, true, true},
		{store.Unknown, false, true},
	} {
		h := newCluster(2)
		h.machines(10, 10)
		h.revision++
		h.learn(t, keys.Allocation(0), store.Value(authority.QuotaAllocation{Fraction: 0.5}))
		h.learn(t, keys.Allocation(1), store.Value(authority.QuotaAllocation{Fraction: 0.5}))
		var ordered []*jobs.Job
		for i := range 4 {
			job := &jobs.Job{ID: fmt.Sprintf("wk-%06d", i), Version: 7, Record: jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: &jobs.Spec{Tasks: 1, Demand: binpack.Vec{binpack.CPU: 100}}}}
			job.ClearPlacements()
			job.Reset()
			h.jobs[job.ID] = job
			h.versions[keys.Job(job.ID)] = 7
			ordered = append(ordered, job)
		}
		owned := &ownedShard{}
		h.planner.Migrate(h.now, owned, ordered)
		if len(h.writes) == 0 || !ordered[3].Migrating || ordered[0].Migrating {
			t.Fatalf("%d migrations", len(h.writes))
		}
		write := h.writes[0]
		h.writes = nil
		if test.changed {
			h.versions[keys.Job(ordered[3].ID)] = 8
		}
		write.Done(test.outcome, 0)
		if !ordered[3].Migrating || len(h.reads) != 1 {
			t.Fatalf("%v: %v, %d reads", test.outcome, ordered[3].Migrating, len(h.reads))
		}
		h.reads[0](true)
		if queued := len(h.writes) == 1; queued != test.wantQueued || ordered[3].Migrating != test.wantQueued {
			t.Errorf("%v, changed %v: queued again %v", test.outcome, test.changed, queued)
		}
	}
}
