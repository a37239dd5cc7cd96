package standin

import (
	"encoding/json"
	"math"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/unit"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

// drawJob draws a job of any kind that the worlds' machines can run.
func drawJob(t *rapid.T) *ledger.Spec {
	s := &ledger.Spec{
		Class:    rapid.SampledFrom([]string{"x", "y"}).Draw(t, "class"),
		Team:     rapid.SampledFrom([]string{"red", "blue", "green"}).Draw(t, "team"),
		Priority: ledger.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
		Tasks:    rapid.IntRange(1, 12).Draw(t, "tasks"),
		Demand:   pack.Vec{int64(rapid.IntRange(500, 8000).Draw(t, "cpu")), 0, int64(rapid.IntRange(500, 16000).Draw(t, "memory"))},
		AnyType:  true,
		Spot:     rapid.Bool().Draw(t, "spot"),
		OneZone:  rapid.IntRange(0, 4).Draw(t, "one") == 0,
		Spread:   rapid.IntRange(0, 4).Draw(t, "spread") == 0,
		Image:    rapid.SampledFrom([]string{"i", "j", "k"}).Draw(t, "image"),
		Estimate: 5 * second,
	}
	if s.OneZone {
		s.Spread = false
	}
	if rapid.IntRange(0, 3).Draw(t, "saves") == 0 {
		s.Checkpoint, s.Save = 2*second, second/2
	}
	if rapid.IntRange(0, 3).Draw(t, "typed") == 0 {
		s.AnyType, s.Types = false, []string{"big"}
	}
	if rapid.IntRange(0, 4).Draw(t, "zoned") == 0 {
		s.Zone = "b"
	}
	return s
}

func play(t *rapid.T, opt Options) *World {
	opt.Seed = rapid.Uint64().Draw(t, "seed")
	opt.Nodes = rapid.SampledFrom([]int{1, 2, 3, 3, 5}).Draw(t, "nodes")
	opt.BlockMachines = rapid.SampledFrom([]int{0, 1, 4}).Draw(t, "block_machines")
	if rapid.Bool().Draw(t, "limits_fall") {
		opt.LimitsFall = unit.Seconds(float64(rapid.IntRange(1, 100).Draw(t, "limits_fall_at")))
	}
	w := New(opt)
	var jobs []*job
	for range rapid.IntRange(3, 14).Draw(t, "jobs") {
		at := unit.Seconds(float64(rapid.IntRange(0, 60).Draw(t, "at")))
		length := unit.Seconds(float64(rapid.IntRange(1, 20).Draw(t, "length")))
		var cancel unit.Micros
		if rapid.IntRange(0, 4).Draw(t, "cancels") == 0 {
			cancel = unit.Seconds(float64(rapid.IntRange(0, 30).Draw(t, "cancel")))
		}
		broken := rapid.IntRange(0, 5).Draw(t, "broken") == 0
		if broken {
			cancel = unit.Seconds(float64(rapid.IntRange(20, 100).Draw(t, "give_up")))
		}
		var needs []*job
		if len(jobs) > 0 && rapid.Bool().Draw(t, "awaits") {
			needs = rapid.SliceOfNDistinct(rapid.SampledFrom(jobs), 1, min(len(jobs), 3), rapid.ID).Draw(t, "needs")
		}
		j := w.Submit(at, drawJob(t), length, cancel, needs...)
		j.broken = broken
		jobs = append(jobs, j)
	}
	w.Run(420 * second)
	return w
}

// TestRulesUnderTrouble plays drawn histories, with every trouble the protocol
// names, and checks that no rule is broken and that all work ends in time once
// the troubles are over.
func TestRulesUnderTrouble(t *testing.T) {
	starts := 0
	rapid.Check(t, func(t *rapid.T) {
		w := play(t, Options{Trouble: true, TroubleTo: 120 * second})
		if len(w.Violations) > 0 {
			t.Fatalf("rules broken: %v", w.Violations)
		}
		if u := w.Unfinished(); len(u) > 0 {
			t.Fatalf("not over: %v\n%s", u, w.Explain(u[0]))
		}
		starts += w.Starts
	})
	if starts == 0 {
		t.Fatal("no task ever started")
	}
}

// TestBrokenControllerIsCaught shows that the checks can fail: controllers
// that do not see running tasks start them again elsewhere.
func TestBrokenControllerIsCaught(t *testing.T) {
	caught := false
	for seed := uint64(1); seed < 20 && !caught; seed++ {
		w := New(Options{Seed: seed, Nodes: 1, Tamper: func(r *fleet.Report) {
			var kept []fleet.Task
			for _, x := range r.Tasks {
				if x.State == fleet.Exited {
					kept = append(kept, x)
				}
			}
			r.Tasks = kept
		}})
		for range 8 {
			w.Submit(second, &ledger.Spec{Class: "x", Team: "red", Tasks: 6, Demand: pack.Vec{2000, 0, 2000},
				AnyType: true, Spot: true, Image: "i", Estimate: 10 * second}, 15*second, 0)
		}
		w.Run(60 * second)
		caught = len(w.Violations) > 0
	}
	if !caught {
		t.Fatal("a controller blind to running tasks broke no rule")
	}
}

// TestStartTogether starts controllers at the same moment, again and again. A
// claim learnt between asking for a lease and using it once let the second
// replace the first's claim, and both led.
func TestStartTogether(t *testing.T) {
	for seed := range uint64(200) {
		w := New(Options{Seed: seed, Nodes: 3})
		w.Run(3 * second)
		if len(w.Violations) > 0 {
			t.Fatalf("seed %d: %v", seed, w.Violations)
		}
		led := 0
		for _, n := range w.nodes {
			if n.core.Holds(n.local(), 0) {
				led++
			}
		}
		if led != 1 {
			t.Fatalf("seed %d: %d controllers lead after 3 s", seed, led)
		}
	}
}

// busy returns a world in which long tasks run on many machines.
func busy(seed uint64, nodes int) *World {
	w := New(Options{Seed: seed, Nodes: nodes})
	for range 4 {
		w.Submit(second, &ledger.Spec{Class: "x", Team: "blue", Tasks: 8, Demand: pack.Vec{1000, 0, 2000},
			AnyType: true, Spot: true, Image: "i", Estimate: 60 * second}, 100*second, 0)
	}
	w.Run(40 * second)
	return w
}

func (w *World) running() int {
	n := 0
	for _, k := range w.workers {
		for _, t := range k.tasks {
			if t.state == fleet.Running {
				n++
			}
		}
	}
	return n
}

// busyUnder returns a busy world of three controllers, the number of tasks that
// run, and the holder.
func busyUnder(t *testing.T, seed uint64) (*World, int, *node) {
	w := busy(seed, 3)
	n, holder := w.running(), w.holder(0)
	if n == 0 || holder == nil {
		t.Fatalf("seed %d: %d tasks run, held by %v", seed, n, holder)
	}
	return w, n, holder
}

// TestOutageLongerThanLease shows that work outlives an outage of the state
// service that is longer than a worker's lease and the leader's together.
func TestOutageLongerThanLease(t *testing.T) {
	w := busy(1, 3)
	before := w.running()
	if before == 0 {
		t.Fatal("nothing runs")
	}
	w.state.outageUntil = w.now + lease + 6*second
	w.Run(w.state.outageUntil + 2*second)
	if after := w.running(); after != before || len(w.Violations) > 0 {
		t.Fatalf("%d of %d tasks still run; %v", after, before, w.Violations)
	}
	for _, k := range w.workers {
		if k.session != 1 {
			t.Fatalf("the lease of %s ran out", k.name)
		}
	}
}

// TestRefusedAlone cuts the leader off from the state service alone: its peers,
// which are served, stop promising, and one of them leads soon.
func TestRefusedAlone(t *testing.T) {
	w := busy(2, 3)
	var old *node
	for _, n := range w.nodes {
		if n.core.Holds(n.local(), 0) {
			old = n
		}
	}
	if old == nil {
		t.Fatal("nobody leads")
	}
	old.refusedUntil = w.now + 60*second
	w.Run(w.now + 10*second)
	led := 0
	for _, n := range w.nodes {
		if n.core.Holds(n.local(), 0) && n != old {
			led++
		}
	}
	if led != 1 || len(w.Violations) > 0 {
		t.Fatalf("%d others lead; %v", led, w.Violations)
	}
}

// TestHolderLosesWorkers cuts the holder off from the workers alone. It gives its
// block up, and the leader used to grant it back at once, as the release came
// before the holder's word that it is deaf: all leases ran out.
func TestHolderLosesWorkers(t *testing.T) {
	for seed := range uint64(10) {
		w, before, old := busyUnder(t, seed)
		old.workerCut = w.now + 90*second
		w.Run(w.now + 2*report + 3*second)
		if n := w.holder(0); n == nil || n == old {
			t.Fatalf("seed %d: held by %v", seed, n)
		}
		w.Run(w.now + 30*second)
		if after := w.running(); after != before || len(w.Violations) > 0 {
			t.Fatalf("seed %d: %d of %d tasks still run; %v", seed, after, before, w.Violations)
		}
	}
}

// TestHolderStandsStill has the holder stand still for longer than every lease,
// and a peer before it. Another takes over within seconds and no task is lost;
// what the first had decided and queued does no harm when it wakes.
func TestHolderStandsStill(t *testing.T) {
	for seed := range uint64(10) {
		w, before, old := busyUnder(t, seed)
		old.frozenUntil = w.now + lease + 20*second
		w.Run(w.now + 8*second)
		if n := w.holder(0); n == nil || n == old {
			t.Fatalf("seed %d: held by %v", seed, n)
		}
		w.Run(old.frozenUntil + 5*second)
		if after := w.running(); after != before || len(w.Violations) > 0 || w.holder(0) == old {
			t.Fatalf("seed %d: %d of %d tasks still run; %v", seed, after, before, w.Violations)
		}
	}
}

// TestNewHolderAsks has the holder stand still: workers wait 4 s for its answer
// and a second more. The next holder asks them, so that work accepted earlier
// need not wait for the last of them to find it.
func TestNewHolderAsks(t *testing.T) {
	for seed := range uint64(10) {
		w, before, old := busyUnder(t, seed)
		old.frozenUntil = w.now + 60*second
		for until := w.now + 10*second; w.now < until && (w.holder(0) == nil || w.holder(0) == old); {
			w.Run(w.now + 50*millis)
		}
		n := w.holder(0)
		if n == nil || n == old || n.core.Unaccounted(0) == 0 {
			t.Fatalf("seed %d: held by %v", seed, n)
		}
		w.Run(w.now + 2*second)
		if left := n.core.Unaccounted(0); left > 0 || w.holder(0) != n {
			t.Fatalf("seed %d: %d machines are not accounted for", seed, left)
		}
		w.Run(w.now + 20*second)
		if after := w.running(); after != before || len(w.Violations) > 0 {
			t.Fatalf("seed %d: %d of %d tasks still run; %v", seed, after, before, w.Violations)
		}
	}
}

// TestBrokenJob runs a wide job that fails everywhere beside good ones, through
// the end of its holder. Few of its tasks are tried, none of the machines is
// given up for it, and the next holder does not try all of them again.
func TestBrokenJob(t *testing.T) {
	w := New(Options{Seed: 11, Nodes: 3})
	spec := func(tasks int, cpu int64) *ledger.Spec {
		return &ledger.Spec{Class: "x", Team: "green", Priority: ledger.Normal, Tasks: tasks, Demand: pack.Vec{cpu, 0, 2000}, AnyType: true, Spot: true,
			Image: "i", Estimate: 20 * second}
	}
	w.Submit(second, spec(20, 4000), 40*second, 0)
	w.Submit(20*second, spec(200, 1000), 2*second, 200*second).broken = true
	failed := func() int { return w.Starts - 20 }
	w.Run(60 * second)
	wave := failed()
	if wave == 0 {
		t.Fatal("the broken job was never tried")
	}
	w.holder(0).crash()
	w.Run(120 * second)
	if again := failed() - wave; again > 12 {
		t.Fatalf("%d tasks of a job known to fail were tried again, %d before", again, wave)
	}
	for _, n := range w.nodes {
		if s := n.core.Sick(0); s > 0 {
			t.Fatalf("%d machines blamed", s)
		}
	}
	w.Run(300 * second)
	if u := w.Unfinished(); len(u) > 0 || len(w.Violations) > 0 {
		t.Fatalf("not over: %v; %v", u, w.Violations)
	}
}

// TestIdleTimeMakesRoom fills all machines with long idle-time tasks. Other work
// starts within seconds all the same, and the idle-time work is done in the end.
func TestIdleTimeMakesRoom(t *testing.T) {
	w := New(Options{Seed: 12, Nodes: 1})
	w.Submit(second, &ledger.Spec{Class: "idle", Team: "green", Tasks: 70, Demand: pack.Vec{4000, 0, 2000}, AnyType: true, Spot: true,
		Image: "i", Estimate: 60 * second, Checkpoint: 5 * second, Save: second}, 60*second, 0)
	w.Run(50 * second)
	if w.running() == 0 {
		t.Fatal("nothing runs")
	}
	starts := w.Starts
	w.Submit(w.now, &ledger.Spec{Class: "x", Team: "blue", Priority: ledger.Normal, Tasks: 8, Demand: pack.Vec{4000, 0, 2000}, AnyType: true, Spot: true,
		Image: "i", Estimate: 10 * second}, 30*second, 0)
	w.Run(w.now + 15*second)
	if got := w.Starts - starts; got < 8 {
		t.Fatalf("%d of 8 tasks have started beside idle-time work", got)
	}
	w.Run(600 * second)
	if u := w.Unfinished(); len(u) > 0 || len(w.Violations) > 0 {
		t.Fatalf("not over: %v; %v", u, w.Violations)
	}
}

// TestDeadMachineWithLeader ends the leader and a machine together: the next
// leader must not hold all work for the dead machine's lease.
func TestDeadMachineWithLeader(t *testing.T) {
	w := busy(3, 3)
	total := w.running()
	for _, n := range w.nodes {
		if n.core.Holds(n.local(), 0) {
			n.crash()
		}
	}
	for _, name := range w.order {
		if k := w.workers[name]; k.up && len(k.tasks) > 0 {
			k.die()
			break
		}
	}
	lost := total - w.running()
	if lost == 0 {
		t.Fatal("the dead machine ran nothing")
	}
	w.Run(w.now + 40*second)
	if w.running() < total || len(w.Violations) > 0 {
		t.Fatalf("%d of %d tasks run again; %v", w.running(), total, w.Violations)
	}
}

// TestLateReportProvesNothing gives a new leader reports from before the tasks
// were started, held up in the network. They show empty machines, yet a
// machine counts only once it has seen the new leader's token.
func TestLateReportProvesNothing(t *testing.T) {
	for seed := range uint64(10) {
		w := busy(seed, 3)
		if w.running() == 0 {
			t.Fatal("nothing runs")
		}
		for _, n := range w.nodes {
			if n.core.Holds(n.local(), 0) {
				n.crash()
			}
		}
		until := w.now + 30*second
		delivered := false
		for !delivered && w.now < until {
			w.Run(w.now + 5*millis)
			for _, n := range w.nodes {
				if n.life == 0 || !n.core.Holds(n.local(), 0) {
					continue
				}
				delivered = true
				for _, name := range w.order {
					k := w.workers[name]
					r := &fleet.Report{Machine: name, Type: k.pool.Type, Zone: k.pool.Zone, Spot: k.pool.Spot, Session: 1, Seq: 1, Notice: unit.Never}
					n.ask(func(req core.ReqID) { n.core.Report(n.local(), req, r) }, func(core.Reply) {})
				}
			}
		}
		if !delivered {
			t.Fatal("nobody leads")
		}
		w.Run(w.now + 20*second)
		if len(w.Violations) > 0 {
			t.Fatalf("seed %d: %v", seed, w.Violations)
		}
	}
}

// TestManyTasks runs a job whose finished tasks take several records, through
// the end of its leader.
func TestManyTasks(t *testing.T) {
	w := New(Options{Seed: 4, Nodes: 2})
	w.Submit(second, &ledger.Spec{Class: "x", Team: "blue", Tasks: 5000, Demand: pack.Vec{100, 0, 100},
		AnyType: true, Spot: true, Image: "i", Estimate: second}, second, 0)
	w.Run(30 * second)
	for _, n := range w.nodes {
		if n.core.Holds(n.local(), 0) {
			n.crash()
		}
	}
	w.Run(300 * second)
	if u := w.Unfinished(); len(u) > 0 || len(w.Violations) > 0 {
		t.Fatalf("not over: %v; %v\n%s", u, w.Violations, w.Explain("wk-000000"))
	}
}

// spread returns a world with more machines than one block carries, in which
// short tasks come and go in several blocks.
func spread(seed uint64) *World {
	w := New(Options{Seed: seed, Nodes: 3, BlockMachines: 2})
	for i := range 40 {
		w.Submit(unit.Micros(i)*2*second, &ledger.Spec{Class: "x", Team: "blue", Tasks: 12, Demand: pack.Vec{2000, 0, 2000},
			AnyType: true, Spot: true, Image: "i", Estimate: 2 * second}, 2*second, 0)
	}
	w.Run(40 * second)
	return w
}

// TestBlocksShareWork shows that several controllers place tasks where there is
// more than one block carries, within the limits (checked at every start).
func TestBlocksShareWork(t *testing.T) {
	w := spread(5)
	who := map[string]bool{}
	for k := range w.nodes {
		if n := w.holder(k); n != nil && n.core.Placed(k) > 0 {
			who[n.name] = true
		}
	}
	if len(who) < 2 || len(w.Violations) > 0 {
		t.Fatalf("%d controllers place tasks; %v", len(who), w.Violations)
	}
	w.Run(300 * second)
	if u := w.Unfinished(); len(u) > 0 || len(w.Violations) > 0 {
		t.Fatalf("not over: %v; %v", u, w.Violations)
	}
}

// TestHoldersOutliveLeader ends the leader and keeps another controller from
// following: the holders of other blocks go on starting tasks.
func TestHoldersOutliveLeader(t *testing.T) {
	w := spread(6)
	var other *node
	k := -1
	for _, n := range w.nodes {
		if n.core.Leads() {
			n.crash()
			continue
		}
		for b := range w.nodes {
			if w.holder(b) == n && n.core.Placed(b) > 0 {
				other, k = n, b
			}
		}
	}
	if other == nil {
		t.Fatal("only the leader holds a block")
	}
	starts := w.Starts
	w.Run(w.now + 1500*millis) // the leader's record still stands
	for _, n := range w.nodes {
		if n.life != 0 && n.core.Leads() {
			t.Fatal("another leads before the lease has ended")
		}
	}
	if w.holder(k) != other || w.Starts == starts || len(w.Violations) > 0 {
		t.Fatalf("held by %v, %d starts; %v", w.holder(k), w.Starts-starts, w.Violations)
	}
}

// TestOlderReleaseBlock finds the block of a controller of release 0.1, which
// took no seat and may go on by promises that this release cannot ask about. It
// is granted only when those must have run out, and machines stored one by one
// are accounted for first.
func TestOlderReleaseBlock(t *testing.T) {
	w := New(Options{Seed: 7, Nodes: 3})
	for k, v := range map[string]string{
		"shalestage/block/0":        `{"term":3,"number":0,"controller":"node-9","machines":["*"],"jobs":["*"],"limit_share":1}`,
		"shalestage/term":           `{"term":3,"node":"node-9"}`,
		"shalestage/machine/n-9000": `{"type":"big","zone":"a","spot":false,"up":true}`,
	} {
		w.state.rev++
		w.state.keys[k] = item{value: json.RawMessage(v), stamp: w.state.rev}
	}
	w.Submit(second, &ledger.Spec{Class: "x", Team: "blue", Tasks: 4, Demand: pack.Vec{1000, 0, 1000}, AnyType: true, Spot: true, Image: "i",
		Estimate: second}, second, 0)
	w.Run(cancelIn - lease - 3*second)
	if n := w.holder(0); n != nil {
		t.Fatalf("%s holds the block while its holder may still place", n.name)
	}
	w.Run(cancelIn - 2*second)
	if w.holder(0) == nil {
		t.Fatal("nobody holds the block")
	}
	if w.Starts > 0 {
		t.Fatal("work started before the stored machine was accounted for")
	}
	w.Run(120 * second)
	if u := w.Unfinished(); len(u) > 0 || len(w.Violations) > 0 {
		t.Fatalf("not over: %v; %v", u, w.Violations)
	}
}

// TestBadPeerMessages gives controllers messages about leases that are malformed,
// old, repeated or about nothing that there is: they change nothing.
func TestBadPeerMessages(t *testing.T) {
	w := spread(8)
	var before []*node
	for k := range w.nodes {
		before = append(before, w.holder(k))
	}
	if before[0] == nil || before[1] == nil {
		t.Fatal("blocks without a holder")
	}
	for _, n := range w.nodes {
		for _, from := range []string{"node-0", "node-1", "node-2", "node-9", ""} {
			for _, m := range []any{
				core.PeerStatus{Seat: 1 << 60, Blocks: []core.BlockStatus{{Block: -1}, {Block: 1 << 40, Use: math.NaN()}, {Block: 0, Share: 1, Use: math.Inf(1)}, {Block: 1, Share: 1 << 60}}},
				core.PeerPromise{Seat: 1, Sent: 1 << 60},
				core.PeerPermitAsk{Node: "node-9", Seat: 1 << 60},
				core.PeerPermit{Node: "node-0", Seat: 1},
				core.PeerPermit{Node: "node-9", Seat: 1 << 60},
				core.PeerRelease{Block: 0, Grant: 1},
				core.PeerRelease{Block: -5, Grant: 0},
				core.PeerAsk{Kind: 99, Job: "wk-000001"},
			} {
				n.core.OnPeer(n.local(), from, m)
				n.core.OnPeer(n.local(), from, m)
				n.carryOut()
			}
		}
	}
	w.Run(w.now + 20*second)
	for k, n := range before {
		if w.holder(k) != n {
			t.Errorf("block %d has changed hands", k)
		}
	}
	if len(w.Violations) > 0 {
		t.Fatal(w.Violations)
	}
}
