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
func (h *fakeHost) Elected(leadership *election.Leadership) { h.planner.StartTerm(h.now, leadership) }
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
func (h *fakeHost) UnreachableByWorkers(node string) bool  { return h.deaf[node] }
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
		err = h.election.ApplyRecord(event)
	case key == keys.Term:
		err = h.election.ApplyTerm(event)
	case strings.HasPrefix(key, keys.AssignmentPrefix):
		number, _ := keys.Shard(key, keys.AssignmentPrefix)
		err = h.planner.records.ApplyAssignment(number, event)
	case strings.HasPrefix(key, keys.AllocationPrefix):
		number, _ := keys.Shard(key, keys.AllocationPrefix)
		err = h.planner.records.ApplyAllocation(number, event)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// answer lets the state service carry the oldest write out, or not.
func (h *fakeHost) answer(t fataler, outcome store.Outcome) {
	t.Helper()
	w := h.writes[0]
	h.writes = h.writes[1:]
	for _, guard := range w.Guards {
		if !strings.HasPrefix(guard.Key, keys.MemberPrefix) && h.versions[guard.Key] != guard.Version {
			outcome = store.Failed
		}
	}
	if outcome == store.OK {
		h.revision++
		for _, change := range w.Changes {
			h.learn(t, change.Key, change.Value)
		}
	}
	w.Done(outcome, h.revision)
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
		m := &quotaModel{cluster: newCluster(quotaShards)}
		m.cluster.lead(t)
		m.cluster.machines(20, 0, 0)
		for range 3 {
			m.cluster.plan(t)
		}
		if m.cluster.planner.records.Assignment(2).Version == 0 {
			t.Fatal("shards are not assigned")
		}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

const quotaShards = 3

// quotaModel are shards whose owners use their parts of the limits.
type quotaModel struct {
	cluster *fakeHost
	used    [quotaShards]float64
	late    []quotaReport
}

// quotaReport is what an owner has sent of a shard.
type quotaReport struct {
	shard   int
	version uint64
	used    float64
}

func (m *quotaModel) drawShard(t *rapid.T) int {
	return rapid.IntRange(0, quotaShards-1).Draw(t, "shard")
}

func (m *quotaModel) allocation(shard int) Allocation {
	return m.cluster.planner.records.Allocation(shard)
}

func (m *quotaModel) observe(r quotaReport) {
	planner := m.cluster.planner
	planner.ObserveQuotaUse(planner.records.Assignment(r.shard).Node, r.shard, r.version, r.used)
}

func (m *quotaModel) Plan(t *rapid.T) {
	m.cluster.now += rapid.SampledFrom([]units.Microseconds{planInterval, targetInterval}).Draw(t, "later")
	m.cluster.planner.Tick(m.cluster.now)
}

func (m *quotaModel) PlanAndStore(t *rapid.T) {
	m.cluster.now += rapid.SampledFrom([]units.Microseconds{0, targetInterval}).Draw(t, "later")
	m.cluster.plan(t)
}

func (m *quotaModel) Answer(t *rapid.T) {
	if len(m.cluster.writes) == 0 {
		t.Skip()
	}
	m.cluster.answer(t, rapid.SampledFrom([]store.Outcome{store.OK, store.Failed, store.Unknown}).Draw(t, "outcome"))
}

func (m *quotaModel) CapacityMoves(t *rapid.T) {
	counts := []int{1, 1, 1}
	counts[m.drawShard(t)] = 30
	m.cluster.machines(counts...)
}

func (m *quotaModel) WorkStarts(t *rapid.T) {
	shard := m.drawShard(t)
	m.used[shard] = max(m.used[shard], rapid.SampledFrom([]float64{0.1, 1}).Draw(t, "use")*m.allocation(shard).Fraction)
}

func (m *quotaModel) WorkEnds(t *rapid.T) {
	m.used[m.drawShard(t)] *= rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "rest")
}

func (m *quotaModel) Report(t *rapid.T) {
	shard := m.drawShard(t)
	m.late = append(m.late, quotaReport{shard, m.allocation(shard).Version, m.used[shard]})
}

func (m *quotaModel) AllReport(*rapid.T) {
	for shard := range quotaShards {
		m.observe(quotaReport{shard, m.allocation(shard).Version, m.used[shard]})
	}
}

func (m *quotaModel) LateReport(t *rapid.T) {
	if len(m.late) == 0 {
		t.Skip()
	}
	m.observe(m.late[rapid.IntRange(0, len(m.late)-1).Draw(t, "which")])
}

func (m *quotaModel) Check(t *rapid.T) {
	sum := 0.0
	for shard := range quotaShards {
		sum += max(m.used[shard], m.allocation(shard).Fraction)
	}
	if sum > 1+2*rounding {
		t.Fatalf("%v of the limits are used or may be: %v", sum, m.used)
	}
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
	cluster := newCluster(3)
	cluster.lead(t)
	cluster.plan(t)
	first := cluster.planner.records.Assignment(0)
	if first.Node != "a" || cluster.planner.records.Allocation(0).Fraction != 1 {
		t.Fatalf("%+v", first)
	}
	cluster.plan(t)
	if again := cluster.planner.records.Assignment(0); again != first {
		t.Fatalf("%+v after %+v", again, first)
	}
	cluster.expired["a"], cluster.members["a"] = true, 9
	cluster.plan(t)
	if next := cluster.planner.records.Assignment(0); next.MemberID != 9 || next.Token() <= first.Token() || next.PreviousToken != first.Token() || next.TransferredFrom != 0 {
		t.Fatalf("%+v after %+v", next, first)
	}
}

// Once there are more machines than one shard takes, all controllers get shards and parts of
// the limits; the owner of two is asked for one while another has none.
func TestShardsAreSpread(t *testing.T) {
	cluster := newCluster(3)
	cluster.members["c"] = 0
	cluster.lead(t)
	cluster.machines(11)
	for range 5 {
		cluster.plan(t)
		for shard := range 3 {
			cluster.planner.ObserveQuotaUse(cluster.planner.records.Assignment(shard).Node, shard, cluster.planner.records.Allocation(shard).Version, 0)
		}
	}
	sum := 0.0
	for shard := range 3 {
		sum += cluster.planner.records.Allocation(shard).Fraction
	}
	if sum < 1-rounding || len(cluster.planner.records.Open()) != 3 {
		t.Fatalf("%v of the limits for %v", sum, cluster.planner.records.Open())
	}
	cluster.members["c"] = 3
	cluster.now += transferInterval
	cluster.plan(t)
	if len(cluster.released) != 1 {
		t.Fatalf("asks for %v", cluster.released)
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
		cluster := newCluster(2)
		cluster.machines(10, 10)
		cluster.revision++
		cluster.learn(t, keys.Allocation(0), store.Value(authority.QuotaAllocation{Fraction: 0.5}))
		cluster.learn(t, keys.Allocation(1), store.Value(authority.QuotaAllocation{Fraction: 0.5}))
		var ordered []*jobs.Job
		for i := range 4 {
			job := &jobs.Job{ID: fmt.Sprintf("wk-%06d", i), Version: 7, Record: jobs.Record{Status: jobs.Pending, Tasks: 1, Spec: &jobs.Spec{Tasks: 1, Demand: binpack.Vec{binpack.CPU: 100}}}}
			job.ClearPlacements()
			job.Reset()
			cluster.jobs[job.ID] = job
			cluster.versions[keys.Job(job.ID)] = 7
			ordered = append(ordered, job)
		}
		owned := &ownedShard{}
		cluster.planner.Migrate(cluster.now, owned, ordered)
		if len(cluster.writes) == 0 || !ordered[3].Migrating || ordered[0].Migrating {
			t.Fatalf("%d migrations", len(cluster.writes))
		}
		write := cluster.writes[0]
		cluster.writes = nil
		if test.changed {
			cluster.versions[keys.Job(ordered[3].ID)] = 8
		}
		write.Done(test.outcome, 0)
		if !ordered[3].Migrating || len(cluster.reads) != 1 {
			t.Fatalf("%v: %v, %d reads", test.outcome, ordered[3].Migrating, len(cluster.reads))
		}
		cluster.reads[0](true)
		if queued := len(cluster.writes) == 1; queued != test.wantQueued || ordered[3].Migrating != test.wantQueued {
			t.Errorf("%v, changed %v: queued again %v", test.outcome, test.changed, queued)
		}
	}
}
