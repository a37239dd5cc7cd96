package store

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/units"
	_ "shalestage.example/shalestage/internal/fixedseed"
)

// A replica fed by listings and watches that overlap, come late and repeat
// always shows each key as it is at the replica's revision or later, and never
// goes back.
func TestReplicaFollows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []Event
		truth := map[string]uint64{}
		seen := map[string]uint64{}
		r := NewReplica(func(e Event) {
			if e.Stamp < seen[e.Key] {
				t.Fatalf("%s went back from %d to %d", e.Key, seen[e.Key], e.Stamp)
			}
			seen[e.Key] = e.Stamp
		})
		type answer struct {
			after, rev uint64
			events     []Event
		}
		var late []answer
		page, came, items := "", false, []Event(nil) // of the listing under way
		rev := func() uint64 { return uint64(len(log)) }
		ask := func() answer { return answer{r.Revision, rev(), log[r.Revision:]} }
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				k := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
				e := Event{Key: k, Stamp: rev() + 1}
				if truth[k] == 0 || rapid.Bool().Draw(t, "put") {
					e.Value = json.RawMessage("1")
					truth[k] = e.Stamp
				} else {
					delete(truth, k)
				}
				log = append(log, e)
				if e.Value != nil && rapid.Bool().Draw(t, "own") {
					r.Learn(e) // the outcome of an own write comes before the watch
				}
			},
			"watch": func(t *rapid.T) { late = append(late, ask()) },
			"arrive": func(t *rapid.T) {
				if len(late) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(late)-1).Draw(t, "which")
				a := late[i]
				late = append(late[:i:i], late[i+1:]...)
				r.Advance(a.after, a.rev, a.events)
			},
			"list": func(t *rapid.T) {
				if page != "" {
					t.Skip()
				}
				r.Begin(rev())
				page = "0"
			},
			"read page": func(t *rapid.T) { // one key each; it may come late
				if page == "" || came {
					t.Skip()
				}
				items = nil
				if s := truth[page]; s != 0 {
					items = []Event{{Key: page, Value: json.RawMessage("1"), Stamp: s}}
				}
				came = true
			},
			"page": func(t *rapid.T) {
				if !came {
					t.Skip()
				}
				came = false
				r.Page(items)
				if page = string(page[0] + 1); page == "5" {
					page = ""
					r.End()
				}
			},
			"": func(t *rapid.T) {
				if r.Revision != rev() || page != "" {
					return
				}
				for i := range 5 {
					if k := fmt.Sprint(i); r.Version(k) != truth[k] {
						t.Fatalf("key %s: version %d, truth %d", k, r.Version(k), truth[k])
					}
				}
			},
		})
	})
}

// Each write gets exactly one outcome, in whatever way transactions end, and
// no transaction goes over the limits.
func TestLaneOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &WriteQueue{MaxOps: 4, MaxBytes: 4000, MaxQueue: 20, Rate: 50}
		told := map[int]int{}
		added := 0
		var now = int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				id := added
				w := &Write{Deferred: rapid.Bool().Draw(t, "late"), First: rapid.Bool().Draw(t, "first"), Done: func(Outcome, uint64) { told[id]++ }}
				for range rapid.IntRange(1, 3).Draw(t, "changes") {
					k := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))
					w.Changes = append(w.Changes, Change{Key: k, Value: json.RawMessage("1")})
					w.Guards = append(w.Guards, Guard{Key: k})
				}
				if l.Add(w) {
					added++
				}
			},
			"go": func(t *rapid.T) {
				now += int64(rapid.IntRange(0, 400_000).Draw(t, "dt"))
				txn := l.Next(micros(now))
				if txn == nil {
					t.Skip()
				}
				if len(txn.writes) > 1 && len(txn.Changes) > l.MaxOps || len(txn.Guards) > 4*max(l.MaxOps, 3) {
					t.Fatalf("%d changes, %d guards", len(txn.Changes), len(txn.Guards))
				}
				if l.Next(micros(now)) != nil {
					t.Fatal("two transactions under way")
				}
				var failed []string
				o := Outcome(rapid.IntRange(int(OK), int(TooLarge)).Draw(t, "outcome"))
				if o == Failed {
					failed = []string{txn.Guards[0].Key}
				}
				l.Finish(micros(now), o, 1, failed)
			},
			"": func(t *rapid.T) {
				n := 0
				for id, k := range told {
					if k != 1 {
						t.Fatalf("write %d told %d times", id, k)
					}
					n++
				}
				if n+l.Len() != added {
					t.Fatalf("%d told and %d waiting of %d", n, l.Len(), added)
				}
			},
		})
	})
}

func micros(v int64) units.Microseconds { return units.Microseconds(v) }
