package site

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
	"shalestage.example/shalestage/internal/emulator/machine"
	"shalestage.example/shalestage/internal/emulator/work"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

var pools = []cloudprovider.Pool{{Type: "big", Zone: "a"}, {Type: "big", Zone: "a", Spot: true}, {Type: "small", Zone: "b"}}

func newSite(seed uint64) *Site {
	return New(Config{HeartbeatInterval: 3 * units.Second, Lease: 12 * units.Second, Nodes: []string{"n0", "n1"}, MaxDrift: 0.0005,
		Cloud: cloudprovider.Config{RequestRate: 1e6, ListLag: 3 * units.Second, ReclaimRate: 60, Notice: 5 * units.Second, NoNoticeShare: 0.3, FailingShare: 0.1,
			Capacity: map[cloudprovider.Pool]int{pools[0]: 2, pools[1]: 2, pools[2]: 3},
			Types: []cloudprovider.MachineType{{Name: "big", CPUs: 8, MemoryGB: 32, CacheGB: 3, FetchGBs: 0.5, Price: 3600, SpotPrice: 1200, Boot: 5 * units.Second, Zones: []string{"a"}},
				{Name: "small", CPUs: 2, MemoryGB: 8, CacheGB: 3, FetchGBs: 0.5, Price: 900, Boot: 2 * units.Second, BootFailShare: 0.1, Zones: []string{"b"}}}}},
		rand.New(rand.NewPCG(seed, 1)))
}

// TestSite guards the invariants of the machine and cloud models. It sends random commands, valid and
// invalid, and checks what must hold for any controller: machine capacity, fencing tokens, leases, pool
// capacity, the machine list and the bill.
func TestSite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(rapid.Uint64().Draw(t, "seed"))
		for i := range 6 {
			id := fmt.Sprintf("wk-%06d", i)
			s.Uploads[id] = &work.Job{ID: id, Run: units.Microseconds(i+1) * 3 * units.Second, RunVariation: 0.3, FailsAlways: i == 5,
				Spec: &jobs.Spec{Tasks: 4, Demand: binpack.Vec{int64(i+1) * 1000, 0, 1000}, Image: fmt.Sprint("i", i%3), ImageMB: 1500,
					Service: i == 4, Checkpoint: units.Microseconds(i%2) * units.Second, Save: units.Second / 2}}
		}
		now := units.Microseconds(0)
		on := map[string]map[jobs.TaskID]bool{} // running tasks by machine
		sent := map[string]HeartbeatSent{}
		sentAt := map[string]units.Microseconds{}
		tokens := map[string]uint64{}
		answers := map[string]map[int]bool{}        // answered heartbeats by machine and number
		answered := map[string]units.Microseconds{} // send time of the last heartbeat that got a valid response
		upAt := map[string]units.Microseconds{}
		created := map[string]*cloudprovider.Machine{}
		requests := map[string][]string{}
		listed := map[string]bool{}
		spentBefore := 0.0
		processEffects := func() {
			for _, e := range s.Drain() {
				switch e := e.(type) {
				case MachineUp:
					upAt[e.Name] = now
					on[e.Name] = map[jobs.TaskID]bool{}
				case MachineEnded:
					if len(on[e.Name]) > 0 {
						t.Fatalf("%s ended with %v still on it", e.Name, on[e.Name])
					}
					delete(sent, e.Name)
				case TaskStarted:
					if on[e.Name][e.Task] {
						t.Fatalf("%v starts twice on %s", e.Task, e.Name)
					}
					on[e.Name][e.Task] = true
					var sum binpack.Vec
					for id := range on[e.Name] {
						sum = sum.Add(s.Uploads[id.Job].Spec.Demand)
					}
					if limit := Capacity(s.types[e.Type]); !sum.Fits(limit) {
						t.Fatalf("demand of %v on %s, whose capacity is %v", sum, e.Name, limit)
					}
				case TaskEnded:
					if !on[e.Name][e.Task] {
						t.Fatalf("%v ends on %s but was not running there", e.Task, e.Name)
					}
					delete(on[e.Name], e.Task)
					if j := s.Uploads[e.Task.Job]; e.Completed && (j.FailsAlways || e.FailsTasks || j.Spec.Service) {
						t.Fatalf("%v completes on %s", e.Task, e.Name)
					}
				case HeartbeatSent:
					if e.Body.FencingToken < tokens[e.Machine] {
						t.Fatalf("%s sends token %d after %d", e.Machine, e.Body.FencingToken, tokens[e.Machine])
					}
					if last, ok := sent[e.Machine]; ok && last.Number >= e.Number {
						t.Fatalf("heartbeat %d after %d", e.Number, last.Number)
					}
					sent[e.Machine], sentAt[e.Machine] = e, now
				}
			}
			// No task may run on a machine whose lease has expired.
			for name, tasks := range on {
				from := max(answered[name], upAt[name])
				if now > from+12*units.Second+units.Second/10 && len(tasks) > 0 {
					t.Fatalf("%v are on %s, whose lease was last renewed at %d", tasks, name, from)
				}
			}
		}
		commands := rapid.Custom(func(t *rapid.T) fleet.Command {
			return fleet.Command{Op: rapid.SampledFrom([]fleet.Op{fleet.Start, fleet.Start, fleet.Stop, fleet.Forget}).Draw(t, "op"),
				ID:      jobs.TaskID{Job: fmt.Sprintf("wk-%06d", rapid.IntRange(0, 6).Draw(t, "job")), Task: rapid.IntRange(0, 4).Draw(t, "task")},
				Attempt: rapid.Uint64Range(1, 3).Draw(t, "attempt"), Grace: units.Microseconds(rapid.IntRange(0, 1).Draw(t, "grace")) * units.Second}
		})
		drawMachine := func(t *rapid.T) string {
			names := slices.Sorted(maps.Keys(sent))
			if len(names) == 0 {
				return ""
			}
			return rapid.SampledFrom(names).Draw(t, "machine")
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				for until := now + units.Microseconds(rapid.Int64Range(0, 4_000_000).Draw(t, "d")); now < until; {
					now = min(until, max(now, s.Next()))
					s.Advance(now)
					processEffects()
				}
			},
			"rent": func(t *rapid.T) {
				b := fmt.Sprint("r-", rapid.IntRange(0, 20).Draw(t, "booking"))
				p := rapid.SampledFrom(pools).Draw(t, "pool")
				names, none, code := s.Cloud.ScaleOut(now, b, p, rapid.IntRange(1, 4).Draw(t, "count"))
				if old, again := requests[b]; again && (code != http.StatusOK || !slices.Equal(names, old)) {
					t.Fatalf("the repeated request %s returns %v, before it returned %v", b, names, old)
				}
				if code == http.StatusOK {
					requests[b] = names
					for _, n := range names {
						if m := s.Cloud.Machine(n); m != nil {
							created[n] = m
						}
					}
				} else if !none {
					t.Fatalf("scale out refused with %d", code)
				}
				have := map[cloudprovider.Pool]int{}
				for _, m := range created {
					if m.DeletedAt == units.MaxTime {
						have[m.Pool]++
					}
				}
				for p, n := range have {
					if n > s.config.Cloud.Capacity[p] {
						t.Fatalf("%d machines of %v", n, p)
					}
				}
			},
			"return": func(t *rapid.T) {
				if n := drawMachine(t); n != "" {
					s.Cloud.ScaleIn(now, []string{n, "n-none"})
					s.Advance(now)
					processEffects()
				}
			},
			"fault": func(t *rapid.T) {
				if ms := s.PickMachines(1, nil); len(ms) > 0 {
					switch rapid.IntRange(0, 2).Draw(t, "fault") {
					case 0:
						s.Kill(now, ms[0])
					case 1:
						s.Hang(now, ms[0], now+units.Microseconds(rapid.Int64Range(0, 20_000_000).Draw(t, "for")))
					case 2:
						s.SetFault(now, ms[0], machine.Fault{Speed: 0.2, FailsTasks: ms[0].FailsTasks})
					}
					processEffects()
				}
			},
			"answer": func(t *rapid.T) {
				name := drawMachine(t)
				if name == "" {
					return
				}
				e := sent[name]
				w := s.Worker(name)
				if w == nil || w.Hung(now) {
					return
				}
				a := machine.Response{Code: rapid.SampledFrom([]int{200, 200, 200, 421, 503}).Draw(t, "code"), RedirectTo: "n1",
					FencingToken: rapid.Uint64Range(0, 5).Draw(t, "token"), Commands: rapid.SliceOfN(commands, 0, 5).Draw(t, "commands")}
				incarnation := w.Incarnation()
				first := !answers[name][e.Number]
				if answers[name] == nil {
					answers[name] = map[int]bool{}
				}
				answers[name][e.Number] = true
				counts := first && a.Code == 200 && a.FencingToken >= max(tokens[name], e.Body.FencingToken) && e.Body.Incarnation == incarnation && now < sentAt[name]+machine.ResponseTimeout
				s.HandleResponse(now, name, e.Number, a)
				if counts {
					tokens[name] = a.FencingToken
					answered[name] = max(answered[name], sentAt[name])
				}
				processEffects()
			},
			"direct": func(t *rapid.T) {
				name := drawMachine(t)
				if name == "" || s.Worker(name) == nil {
					return
				}
				token, incarnation := rapid.Uint64Range(0, 5).Draw(t, "token"), s.Worker(name).Incarnation()
				r, _, accepted, found := s.HandleDirect(now, name, token, incarnation, rapid.SliceOfN(commands, 0, 3).Draw(t, "commands"))
				processEffects() // a heartbeat that was due was sent first
				if found {
					if accepted != (token >= tokens[name]) && accepted != (token >= r.FencingToken) {
						t.Fatalf("token %d accepted: %v; the highest seen is %d", token, accepted, r.FencingToken)
					}
					tokens[name] = max(tokens[name], r.FencingToken)
				}
				processEffects()
			},
			"": func(t *rapid.T) {
				list, _, code := s.Cloud.List(now, "", cloudprovider.MaxListPage)
				if code != http.StatusOK {
					t.Fatalf("list: %d", code)
				}
				shown := map[string]bool{}
				for i, l := range list {
					shown[l.Name], listed[l.Name] = true, true
					if i > 0 && list[i-1].Name >= l.Name {
						t.Fatal("the list is not sorted by name")
					}
				}
				for n := range listed {
					if m := created[n]; m != nil && m.DeletedAt == units.MaxTime && !shown[n] {
						t.Fatalf("%s was listed before, was not deleted, and is missing from the list", n)
					}
				}
				if spent := s.Cloud.Spent(now); spent < spentBefore-1e-6 {
					t.Fatalf("%g were spent, %g before", spent, spentBefore)
				} else {
					spentBefore = spent
				}
			},
		})
	})
}

// TestMinimumCharge guards against a bill below the minimum charge: a machine deleted after a second
// costs a minute.
func TestMinimumCharge(t *testing.T) {
	s := newSite(1)
	names, _, _ := s.Cloud.ScaleOut(0, "r", pools[0], 1)
	s.Cloud.ScaleIn(units.Second, names)
	if got := s.Cloud.Spent(units.Second); got != 60 {
		t.Errorf("a machine at a price of 1 per second costs %g after a second, want 60", got)
	}
}
