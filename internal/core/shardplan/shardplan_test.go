package shardplan

import (
	"fmt"
	"iter"
	"maps"
	"reflect"
	"slices"
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

// fataler is a test of the standard library or of rapid.
type fataler interface {
	Helper()
	Fatal(args ...any)
}

// fakeHost is controller "a" of a cluster, with its own state service.
type fakeHost struct {
	now      units.Microseconds
	planner  *Planner
	election *election.Election
	revision uint64
	versions map[string]uint64
	writes   []*store.Write
	reads    []func(ok bool)

	jobs         map[string]*jobs.Job
	groups       map[string]fleet.Group
	limit        binpack.Vec
	members      map[string]uint64
	expired      map[string]bool
	unresponsive map[string]bool
	unreachable  map[string]bool
	reached      map[string]bool
	outdated     map[string]bool
	olderRelease map[string]bool
	standby      string
	uses         map[int]float64
	released     map[int]string
}

func newCluster(size int) *fakeHost {
	h := &fakeHost{now: 100 * units.Second, revision: 100, versions: map[string]uint64{}, jobs: map[string]*jobs.Job{}, groups: map[string]fleet.Group{},
		members: map[string]uint64{}, expired: map[string]bool{}, unresponsive: map[string]bool{}, unreachable: map[string]bool{}, outdated: map[string]bool{},
		olderRelease: map[string]bool{}, uses: map[int]float64{}, released: map[int]string{}}
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
func (h *fakeHost) Responsive(node string) bool           { return !h.unresponsive[node] }
func (h *fakeHost) UnreachableByWorkers(node string) bool { return h.unreachable[node] }
func (h *fakeHost) ReachedByWorkers(node string, _ int) bool {
	return h.reached[node]
}
func (h *fakeHost) Outdated(node string) bool              { return h.outdated[node] }
func (h *fakeHost) ToBeUpgraded(node string) bool          { return h.olderRelease[node] }
func (h *fakeHost) Standby(int) string                     { return h.standby }
func (h *fakeHost) OwnQuotaUses() iter.Seq2[int, float64]  { return maps.All(h.uses) }
func (h *fakeHost) RequestRelease(shard int, owner string) { h.released[shard] = owner }
func (h *fakeHost) Type(string) *fleet.Type {
	return &fleet.Type{Name: "big", Capacity: binpack.Vec{binpack.CPU: 1000}}
}

// CacheAge implements election.Host.
func (h *fakeHost) CacheAge() units.Microseconds { return 0 }

// planningHost is the fakeHost as the planner's host: its CacheAge differs from election.Host's.
type planningHost struct{ *fakeHost }

func (planningHost) CacheAge() (age units.Microseconds, complete bool) { return 0, true }

// apply stores a value at the present revision and applies it to the controller.
func (h *fakeHost) apply(t fataler, key string, value []byte) {
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

// answer completes the oldest write with an outcome, or with store.Failed if one of its guards does not hold.
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
			h.apply(t, change.Key, change.Value)
		}
	}
	w.Done(outcome, h.revision)
}

// plan has the leader plan once and stores what it writes.
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
		t.Fatal("the controller does not lead")
	}
}

// machines sets the number of machines of each shard.
func (h *fakeHost) machines(counts ...int) {
	for shard, n := range counts {
		key := fmt.Sprint(shard)
		h.groups[key] = fleet.Group{Shard: shard, Type: "big", Up: make([]string, n)}
	}
}

// The allocations of all shards, with what the shards still use beyond them, must never add up to more than
// the limits: however capacity moves between shards, if reports are delayed, lost or about an earlier
// allocation, and whatever the outcomes of the leader's writes. An owner reduces its use at its own pace, and
// never uses more than its allocation unless it did before.
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

// quotaModel is a set of shards whose owners use their fractions of the limits.
type quotaModel struct {
	cluster *fakeHost
	used    [quotaShards]float64
	delayed []quotaReport
}

// quotaReport is an owner's report of a shard's quota use.
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
	m.delayed = append(m.delayed, quotaReport{shard, m.allocation(shard).Version, m.used[shard]})
}

func (m *quotaModel) AllReport(*rapid.T) {
	for shard := range quotaShards {
		m.observe(quotaReport{shard, m.allocation(shard).Version, m.used[shard]})
	}
}

func (m *quotaModel) LateReport(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip()
	}
	m.observe(m.delayed[rapid.IntRange(0, len(m.delayed)-1).Draw(t, "which")])
}

func (m *quotaModel) Check(t *rapid.T) {
	sum := 0.0
	for shard := range quotaShards {
		sum += max(m.used[shard], m.allocation(shard).Fraction)
	}
	if sum > 1+2*roundingTolerance {
		t.Fatalf("%v of the limits is allocated or used: %v", sum, m.used)
	}
}

// A shard must go to the controller that owns the fewest, and among those to the one with the lowest cost. A
// controller that workers cannot reach must get it only if there is no other.
func TestChooseOwner(t *testing.T) {
	assigned := func(node string) Assignment {
		return Assignment{Assignment: authority.Assignment{Term: 1, Number: 1, Node: node}, Version: 1}
	}
	// unreached is the release of a shard after no worker reached the given owners, the last of them last.
	unreached := func(owners ...string) Assignment {
		return Assignment{Assignment: authority.Assignment{ReleasedBy: owners[len(owners)-1], Unreached: owners}, Version: 1}
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
		"not one that is to be upgraded":    {assigned("b"), nil, func(h *fakeHost) { h.olderRelease["b"] = true }, "a"},
		"not one that workers cannot reach": {assigned("b"), nil, func(h *fakeHost) { h.unreachable["b"] = true }, "a"},
		"unless there is no other":          {assigned("b"), nil, func(h *fakeHost) { h.unreachable = map[string]bool{"a": true, "b": true, "c": true} }, "b"},
		"not the one that released it": {
			Assignment{Assignment: authority.Assignment{ReleasedBy: "a"}, Version: 1}, nil, func(h *fakeHost) { h.unresponsive["b"] = true }, "c"},
		"one that has not tried": {
			unreached("a", "b"), nil, func(*fakeHost) {}, "c"},
		"one that has not tried, however many shards it owns": {
			unreached("a", "b"), map[string]int{"c": 20}, func(*fakeHost) {}, "c"},
		"one that a worker has reached": {
			unreached("a"), map[string]int{"c": 3}, func(h *fakeHost) { h.reached = map[string]bool{"c": true}; h.standby = "b" }, "c"},
		"nobody": {assigned("b"), nil, func(h *fakeHost) { h.members = map[string]uint64{"a": 0, "b": 0, "c": 0} }, ""},
	} {
		h := newCluster(3)
		test.change(h)
		if got := h.planner.ChooseOwner(0, test.last, test.owned); got != test.want {
			t.Errorf("%s: %q, want %q", name, got, test.want)
		}
	}
}

// The owners that no worker has reached must stay known while the shard passes from owner to owner, and be
// forgotten once its owner fails.
func TestUnreachedOwnersAreCarriedOn(t *testing.T) {
	cluster := newCluster(3)
	cluster.lead(t)
	unreached := []string{"a", "b"}
	cluster.apply(t, keys.Assignment(0), store.Value(authority.Assignment{Term: 1, Number: 1, ReleasedBy: "b", Unreached: unreached}))
	cluster.plan(t)
	if next := cluster.planner.records.Assignment(0); next.Node != "c" || !slices.Equal(next.Unreached, unreached) {
		t.Fatalf("assignment after a release: %+v", next)
	}
	cluster.expired["c"], cluster.members["c"] = true, 9
	cluster.plan(t)
	if next := cluster.planner.records.Assignment(0); next.Node == "" || len(next.Unreached) != 0 {
		t.Fatalf("assignment after the owner expired: %+v", next)
	}
}

// A shard whose owner's membership has expired must be assigned again, under a higher fencing token that
// names the previous one. No other assignment may change.
func TestExpiredOwnerIsReplaced(t *testing.T) {
	cluster := newCluster(3)
	cluster.lead(t)
	cluster.plan(t)
	first := cluster.planner.records.Assignment(0)
	if first.Node != "a" || cluster.planner.records.Allocation(0).Fraction != 1 {
		t.Fatalf("first assignment: %+v", first)
	}
	cluster.plan(t)
	if again := cluster.planner.records.Assignment(0); !reflect.DeepEqual(again, first) {
		t.Fatalf("assigned again without need: %+v after %+v", again, first)
	}
	cluster.expired["a"], cluster.members["a"] = true, 9
	cluster.plan(t)
	if next := cluster.planner.records.Assignment(0); next.MemberID != 9 || next.Token() <= first.Token() || next.PreviousToken != first.Token() || next.TransferredFrom != 0 {
		t.Fatalf("assignment after the owner expired: %+v after %+v", next, first)
	}
}

// With more machines than one shard supports, all controllers must get shards and fractions of the limits.
// The owner of two shards must be asked to release one while another controller owns none.
func TestShardsAreDistributed(t *testing.T) {
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
	if sum < 1-roundingTolerance || len(cluster.planner.records.Open()) != 3 {
		t.Fatalf("%v of the limits is allocated to shards %v", sum, cluster.planner.records.Open())
	}
	cluster.members["c"] = 3
	cluster.now += transferInterval
	cluster.plan(t)
	if len(cluster.released) != 1 {
		t.Fatalf("requested releases: %v", cluster.released)
	}
}

// ownedShard is shard 0, owned by the controller.
type ownedShard struct{ lost bool }

func (*ownedShard) Number() int        { return 0 }
func (*ownedShard) Guard() store.Guard { return store.Guard{Key: keys.Assignment(0)} }
func (s *ownedShard) Owned() bool      { return !s.lost }

// A job migrates to the shard with less work. Until it is certain that the transaction can never be carried
// out, the job must not be started here, whatever the answer was: a delayed transaction would move a running
// job.
func TestMigrationInDoubt(t *testing.T) {
	for _, test := range []struct {
		outcome    store.Outcome
		changed    bool // the job's record has another version when it is read
		wantQueued bool // the migration is retried
	}{
		{store.Failed, false, false},
		{store.TooLarge, false, false},
		{store.Failed, true, true},
		{store.Unknown, false, true},
	} {
		cluster := newCluster(2)
		cluster.machines(10, 10)
		cluster.revision++
		cluster.apply(t, keys.Allocation(0), store.Value(authority.QuotaAllocation{Fraction: 0.5}))
		cluster.apply(t, keys.Allocation(1), store.Value(authority.QuotaAllocation{Fraction: 0.5}))
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
			t.Fatalf("%v: migrating %v, %d reads", test.outcome, ordered[3].Migrating, len(cluster.reads))
		}
		cluster.reads[0](true)
		if queued := len(cluster.writes) == 1; queued != test.wantQueued || ordered[3].Migrating != test.wantQueued {
			t.Errorf("%v, record changed %v: migration queued again %v", test.outcome, test.changed, queued)
		}
	}
}
