package load

import (
	"context"
	"math"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/client"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	_ "shalestage.example/shalestage/internal/fixedseed"
	"shalestage.example/shalestage/internal/scenario"
)

// target answers as a function says, in the time that passes within a test.
type target struct {
	began time.Time
	do    func(at time.Duration, kind Kind, id string) client.Reply
}

func (t *target) ask(ctx context.Context, kind Kind, id string) (client.Reply, error) {
	r := t.do(time.Since(t.began), kind, id)
	return r, ctx.Err()
}

func (t *target) Submit(ctx context.Context, id string, _ *jobs.Spec) (client.Reply, error) {
	return t.ask(ctx, Submit, id)
}
func (t *target) Poll(ctx context.Context, id string) (client.Reply, error) {
	return t.ask(ctx, Poll, id)
}
func (t *target) Cancel(ctx context.Context, id string) (client.Reply, error) {
	return t.ask(ctx, Cancel, id)
}

const head1 = "name = \"l\"\n[[job]]\nname = \"j\"\nteam = \"t\"\ntasks = 1\nrun_s = 1\n"

// play makes a load in a time of its own and returns the cells by kind.
func play(t *testing.T, text string, do func(at time.Duration, kind Kind, id string) client.Reply) (out map[Kind]Cell) {
	t.Helper()
	f, err := Parse("l.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		r, err := f.Run(t.Context(), &target{time.Now(), do}, func(n int) string { return scenario.NodeName(n) })
		if err != nil {
			t.Fatal(err)
		}
		out = map[Kind]Cell{}
		for _, c := range r.Cells {
			out[c.Kind] = c
		}
	})
	return out
}

// TestStall has a service stand still for two seconds of ten: calls go on, and those that
// were due meanwhile count what they waited.
func TestStall(t *testing.T) {
	cells := play(t, head1+"[[phase]]\nname = \"p\"\nfor_s = 10\nrate = {submit = 100}\n", func(at time.Duration, _ Kind, _ string) client.Reply {
		if at >= 4*time.Second && at < 6*time.Second {
			time.Sleep(6*time.Second - at)
		}
		time.Sleep(time.Millisecond)
		return client.Reply{Code: 201}
	})
	c := cells[Submit]
	if c.Sent < 900 || c.Sent > 1100 || c.OK != c.Sent || c.Millis(50) > 2 || c.Millis(100) < 1900 || c.Millis(92) < 900 {
		t.Errorf("%d sent, %d answered; 50%% within %.1f ms, 92%% within %.1f, all within %.1f", c.Sent, c.OK, c.Millis(50), c.Millis(92), c.Millis(100))
	}
}

// TestRetries has submissions shed with a time to come back: users keep it, what they wait
// is counted from their first attempt, and after a minute they give up.
func TestRetries(t *testing.T) {
	tried := map[string]int{}
	var mu sync.Mutex
	const phase = "[[phase]]\nname = \"p\"\nfor_s = 100\nrate = {submit = 0.2}\n"
	cells := play(t, "think_s = 0\n"+head1+phase, func(_ time.Duration, _ Kind, id string) client.Reply {
		mu.Lock()
		defer mu.Unlock()
		if tried[id]++; tried[id] == 1 {
			return client.Reply{Code: 503, RetryAfter: 3 * units.Second, Error: "busy"}
		}
		return client.Reply{Code: 201}
	})
	if a, s, r := cells[Accepted], cells[Submit], cells[Retry]; s.Shed != s.Sent || r.OK < s.Sent-1 || a.OK != r.OK || a.Millis(1) < 2990 || a.Millis(100) > 3100 {
		t.Errorf("%+v, %+v, %+v", a, s, r)
	}
	cells = play(t, "think_s = 0\n"+head1+phase, func(time.Duration, Kind, string) client.Reply {
		return client.Reply{Code: 503, RetryAfter: 300 * units.Second}
	})
	// Thirty seconds at most are waited: two retries in a minute.
	if a, s, r := cells[Accepted], cells[Submit], cells[Retry]; a.OK != 0 || a.None == 0 || r.Sent > 2*s.Sent || r.Sent < s.Sent {
		t.Errorf("%+v, %+v, %+v", a, s, r)
	}
}

// TestWrong has a service forget jobs and invent others, and be asked more than may be under
// way at once.
func TestWrong(t *testing.T) {
	const phase = "[[phase]]\nname = \"p\"\nfor_s = 20\nrate = {submit = 5, stranger = 5, poll = 5}\n"
	cells := play(t, "in_flight = 12\n"+head1+phase, func(at time.Duration, kind Kind, _ string) client.Reply {
		if at > 10*time.Second {
			time.Sleep(1500 * time.Millisecond)
		}
		if kind == Submit {
			return client.Reply{Code: 201}
		}
		return client.Reply{Code: 404}
	})
	if p, s := cells[Poll], cells[Stranger]; p.Wrong+p.None != p.Sent || p.Wrong == 0 || s.Wrong != 0 || s.OK != s.Sent {
		t.Errorf("%+v, %+v", p, s)
	}
	if n := cells[Poll].Dropped + cells[Submit].Dropped + cells[Stranger].Dropped + cells[Follow].Dropped; n == 0 {
		t.Error("no call was dropped")
	}
	cells = play(t, head1+phase, func(time.Duration, Kind, string) client.Reply { return client.Reply{Code: 200} })
	if s := cells[Stranger]; s.Wrong != s.Sent {
		t.Errorf("%+v", s)
	}
}

// TestFind seeks the rate of a service that answers 130 calls a second, one after another.
func TestFind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var free time.Time
		tg := &target{time.Now(), nil}
		tg.do = func(time.Duration, Kind, string) client.Reply {
			mu.Lock()
			if free.Before(time.Now()) {
				free = time.Now()
			}
			free = free.Add(time.Second / 130)
			mine := free
			mu.Unlock()
			time.Sleep(time.Until(mine))
			return client.Reply{Code: 201}
		}
		s := Search{Kind: Submit, From: 10, To: 5000, ForS: 20, PauseS: 5, P99MS: 300, Share: 0.99, Steps: 4}
		tries, err := s.Find(t.Context(), []scenario.Job{{Name: "j", Team: "t", Tasks: 1}}, func(ctx context.Context, f *File) (Result, []Reading, error) {
			r, err := f.Run(ctx, tg, func(n int) string { return scenario.NodeName(n) })
			return r, nil, err
		}, func(Try) {})
		if err != nil {
			t.Fatal(err)
		}
		lo, hi := 0.0, math.Inf(1)
		for _, r := range tries {
			if r.Borne {
				lo = max(lo, r.Rate)
			} else {
				hi = min(hi, r.Rate)
			}
		}
		if lo < 90 || hi > 145 || lo >= hi {
			t.Errorf("between %g and %g: %s", lo, hi, s.Verdict(tries))
		}
	})
}

// TestPlan holds drawn plans against the rates of their phases; one seed is one plan.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Phase{ForS: rapid.Float64Range(5, 60).Draw(t, "for"), Rate: map[Kind]float64{Poll: rapid.Float64Range(0, 100).Draw(t, "rate")}}
		if rapid.Bool().Draw(t, "ramp") {
			p.To = map[Kind]float64{Poll: rapid.Float64Range(0, 100).Draw(t, "to")}
		}
		if rapid.Bool().Draw(t, "burst") {
			p.Burst = Burst{EveryS: rapid.Float64Range(1, 5).Draw(t, "every"), ForS: rapid.Float64Range(0.1, 1).Draw(t, "burst for"), Times: rapid.Float64Range(0, 10).Draw(t, "times")}
		}
		f := &File{Seed: rapid.Uint64().Draw(t, "seed"), Phases: []Phase{{ForS: 1}, p}}
		plan := f.plan()
		want := 0.0
		for x := 0.0005; x < p.ForS; x += 0.001 {
			want += 0.001 * p.at(Poll, x)
			if p.at(Poll, x) > p.top(Poll)+1e-9 {
				t.Fatalf("at %g: %g is above %g", x, p.at(Poll, x), p.top(Poll))
			}
		}
		if n := float64(len(plan)); math.Abs(n-want) > 6*math.Sqrt(want)+5 {
			t.Fatalf("%g calls, want about %g", n, want)
		}
		for i, d := range plan {
			if d.at < units.Second || d.at > units.Seconds(1+p.ForS) || i > 0 && d.at < plan[i-1].at {
				t.Fatalf("call %d is due at %v", i, d.at)
			}
		}
		if !reflect.DeepEqual(plan, f.plan()) {
			t.Fatal("the same seed gives another plan")
		}
	})
}

// TestMistakes has each mistake of a file told with line and column.
func TestMistakes(t *testing.T) {
	phase := "[[phase]]\nname = \"p\"\nfor_s = 1\n"
	for _, c := range []struct{ text, want string }{
		{head1 + "[[phase]]\nname = \"p\"\nfro_s = 1\n", "l.toml:9:1: unknown key"},
		{head1 + "[[phase]]\nname = \"p\"\n", "l.toml:7:3: phase[0].for_s: want 0.1 to 86400"},
		{head1 + phase + "rate = {sing = 1}\n", "l.toml:10:1: phase[0].rate: there are no rates of \"sing\""},
		{head1 + phase + "rate = {poll = -1}\n", "l.toml:10:1: phase[0].rate: poll: want 0 to"},
		{head1 + phase + "rate = {follow = 1}\n", "there are no rates of \"follow\""},
		{head1 + phase + "burst = {every_s = 1, for_s = 2, times = 3}\n", "l.toml:10:1: phase[0].burst"},
		{head1 + "[[phase]]\nname = \"p\"\nfor_s = 86400\nrate = {poll = 99999}\n", "calls are more than"},
		{"name = \"l\"\n" + phase + "rate = {submit = 1}\n", "job: missing"},
		{"name = \"l\"\n[[job]]\nname = \"j\"\nteam = \"t\"\n" + phase, "l.toml:2:3: job[0].tasks: want 1 to"},
		{"name = \"l\"\nin_flight = 0\n" + phase, "l.toml:2:1: in_flight"},
		{phase, "name: missing"},
		{head1 + phase + "rate = {poll = 1}\n", ""},
	} {
		_, err := Parse("l.toml", []byte(c.text))
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q\ngives %v\nwant %s", c.text, err, c.want)
		}
	}
}
