package store

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/units"
)

// revision is what a transaction made: the number of each value, 0: removed.
type revision map[string]int

// stored returns a value as it is sent, or as a service may give it back.
func stored(n int, rewritten bool) json.RawMessage {
	if rewritten {
		return json.RawMessage(fmt.Sprintf(`{ "b": [true], "a": %d }`, n))
	}
	return json.RawMessage(fmt.Sprintf(`{"a":%d,"b":[true]}`, n))
}

// lostAnswers is a queue, a service that carries out its transactions at any time or never,
// and others who write the same and nearly the same.
type lostAnswers struct {
	t        *rapid.T
	queue    WriteQueue
	now      units.Microseconds
	log      []revision // the first made revision 1
	versions map[string]uint64
	observed int    // revisions that the queue was shown
	current  *Txn   // nil: none is under way
	from     int    // revisions that were observed when it was sent
	doubted  bool   // the service went back meanwhile
	old      []*Txn // those that are not under way any more and may still come
	told     map[int]int
	added    int
}

func (m *lostAnswers) commit(r revision) {
	m.log = append(m.log, r)
	for k, v := range r {
		if m.versions[k] = uint64(len(m.log)); v == 0 {
			delete(m.versions, k)
		}
	}
}

// made returns what a transaction makes.
func made(t *Txn) revision {
	r := revision{}
	for _, c := range t.Changes {
		var v struct{ A int }
		if c.Value != nil && json.Unmarshal(c.Value, &v) != nil {
			panic("unreadable value")
		}
		r[c.Key] = v.A
	}
	return r
}

// carryOut carries out a transaction if its guards hold.
func (m *lostAnswers) carryOut(t *Txn) {
	for _, g := range t.Guards {
		if m.versions[g.Key] != g.Version {
			return
		}
	}
	m.commit(made(t))
}

// proven is the first revision that the queue was shown and that proves the transaction
// under way; 0: none.
func (m *lostAnswers) proven() int {
	puts := false
	for _, c := range m.current.Changes {
		if c.Lease != 0 {
			return 0
		}
		puts = puts || c.Value != nil
	}
	for i := m.from; i < m.observed && puts && !m.doubted; i++ {
		if maps.Equal(m.log[i], made(m.current)) {
			return i + 1
		}
	}
	return 0
}

func (m *lostAnswers) add() {
	id := m.added
	w := &Write{Deferred: rapid.Bool().Draw(m.t, "late")}
	for range rapid.IntRange(1, 2).Draw(m.t, "changes") {
		k := fmt.Sprint(rapid.IntRange(0, 2).Draw(m.t, "key"))
		c := Change{Key: k}
		if v := rapid.IntRange(0, 2).Draw(m.t, "value"); v > 0 {
			c.Value = stored(v, false)
		}
		if c.Value != nil && rapid.IntRange(0, 9).Draw(m.t, "leased") == 0 {
			c.Lease = 7
		}
		w.Changes = append(w.Changes, c)
		w.Guards = append(w.Guards, Guard{k, m.versions[k]})
	}
	if len(w.Changes) == 2 && w.Changes[0].Key == w.Changes[1].Key {
		w.Changes, w.Guards = w.Changes[:1], w.Guards[:1]
	}
	w.Done = func(o Outcome, rev uint64) {
		m.told[id]++
		if o != OK {
			return
		}
		if rev == 0 || int(rev) > len(m.log) {
			m.t.Fatalf("told revision %d of %d", rev, len(m.log))
		}
		for k, v := range made(&Txn{Changes: w.Changes}) {
			if got, ok := m.log[rev-1][k]; !ok || got != v {
				m.t.Fatalf("told that revision %d stored %d at %s, which it did not", rev, v, k)
			}
		}
	}
	if m.queue.Add(w) {
		m.added++
	}
}

func (m *lostAnswers) over() {
	m.old = append(m.old, m.current)
	m.current = nil
}

// conclude lets much time pass, and checks that the transaction under way ends if and only
// if what was shown proves that it was carried out.
func (m *lostAnswers) conclude() {
	if m.queue.Conclude(m.current.sent) != nil {
		m.t.Fatal("concluded before the answer can be late")
	}
	m.now += 100 * units.Second
	rev, t := m.proven(), m.queue.Conclude(m.now)
	if (rev != 0) != (t != nil) {
		m.t.Fatalf("proven by revision %d, concluded: %v", rev, t != nil)
	}
	if t != nil {
		m.over()
	}
}

// watch shows the lane further revisions, and some once more.
func (m *lostAnswers) watch(t *rapid.T) {
	begin := rapid.IntRange(0, m.observed).Draw(t, "again_from")
	upto := rapid.IntRange(m.observed, len(m.log)).Draw(t, "upto")
	rewritten := rapid.Bool().Draw(t, "rewritten")
	var events []Event
	for i := begin; i < upto; i++ {
		for k, v := range m.log[i] {
			e := Event{Key: k, Stamp: uint64(i + 1)}
			if v > 0 {
				e.Value = stored(v, rewritten)
			}
			events = append(events, e)
		}
	}
	m.observed = upto
	m.queue.Observe(events)
}

func (m *lostAnswers) underWay(t *rapid.T) *Txn {
	if m.current == nil {
		t.Skip()
	}
	return m.current
}

func (m *lostAnswers) send(t *rapid.T) {
	if m.current != nil {
		t.Skip()
	}
	m.t = t
	m.add()
	m.now += units.Second
	if m.current = m.queue.Next(m.now); m.current == nil {
		t.Skip()
	}
	m.current.Known = uint64(m.observed)
	m.from, m.doubted = m.observed, false
}

func (m *lostAnswers) carriedOutLate(t *rapid.T) {
	if len(m.old) == 0 {
		t.Skip()
	}
	m.carryOut(rapid.SampledFrom(m.old).Draw(t, "which"))
}

// anotherWrites has somebody else store the same, or something nearly the same.
func (m *lostAnswers) anotherWrites(t *rapid.T) {
	m.t = t
	written := made(m.underWay(t))
	key := rapid.SampledFrom(m.current.Changes).Draw(t, "of").Key
	switch rapid.IntRange(0, 3).Draw(t, "what") {
	case 0:
		written[key] = (written[key] + 1) % 3
	case 1:
		delete(written, key)
	case 2:
		written["other"] = 1
	} // else the same
	if len(written) > 0 {
		m.commit(written)
	}
	if rapid.Bool().Draw(t, "shown") {
		m.watch(t)
		m.conclude()
	}
}

func (m *lostAnswers) answer(t *rapid.T) {
	txn := m.underWay(t)
	if !m.queue.UnderWay(txn) {
		t.Fatal("not under way")
	}
	before := len(m.log)
	outcome := rapid.SampledFrom([]Outcome{OK, Refused, Failed, Unknown, TooLarge}).Draw(t, "outcome")
	var failed []string
	if outcome == OK {
		if m.carryOut(txn); len(m.log) == before {
			outcome, failed = Failed, []string{txn.Guards[0].Key}
		}
	}
	m.queue.Finish(m.now, outcome, uint64(len(m.log)), failed)
	m.over()
}

func (m *lostAnswers) lateAnswer(t *rapid.T) {
	if len(m.old) == 0 {
		t.Skip()
	}
	if m.queue.UnderWay(rapid.SampledFrom(m.old).Draw(t, "which")) {
		t.Fatal("an answer to a transaction that is over would end the one under way")
	}
}

func (m *lostAnswers) check(t *rapid.T) {
	count := 0
	for id, times := range m.told {
		if times != 1 {
			t.Fatalf("write %d told %d times", id, times)
		}
		count++
	}
	if count+m.queue.Len() != m.added {
		t.Fatalf("%d told and %d waiting of %d", count, m.queue.Len(), m.added)
	}
}

// TestLostAnswers has transactions carried out at once, late and never, whose answers come
// or are lost, while others write the same values, one value that differs, or one more or
// less key. A transaction is ended early exactly when a revision that was shown since it
// was sent has all of its changes and no others; whoever is told that a write is stored can
// find it at that revision; and each is told once.
func TestLostAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &lostAnswers{t: t, queue: WriteQueue{MaxOps: 4, MaxBytes: 4000, MaxQueue: 20, Rate: 1e6}, versions: map[string]uint64{}, told: map[int]int{}}
		t.Repeat(map[string]func(*rapid.T){
			"add":              func(t *rapid.T) { model.t = t; model.add() },
			"send":             model.send,
			"carried out":      func(t *rapid.T) { model.carryOut(model.underWay(t)) },
			"carried out late": model.carriedOutLate,
			"another writes":   model.anotherWrites,
			"watch":            model.watch,
			"wait":             func(t *rapid.T) { model.t = t; model.underWay(t); model.conclude() },
			"went back": func(t *rapid.T) {
				model.underWay(t)
				model.queue.SuspectRollback()
				model.doubted = true
			},
			"answer":      model.answer,
			"late answer": model.lateAnswer,
			"":            model.check,
		})
	})
}

// TestReadsForLateAnswers counts the reads that a transaction without an answer causes: a
// few, soon where answers are quick, and none before its time is up where all are slow.
func TestReadsForLateAnswers(t *testing.T) {
	for _, test := range []struct {
		usual units.Microseconds
		first units.Microseconds // at which the first read is due at the latest
		reads int                // within a second
	}{{2_000, 60_000, 3}, {10_000, 100_000, 3}, {400_000, units.MaxTime, 0}} {
		queue := &WriteQueue{MaxOps: 4, MaxBytes: 4000, MaxQueue: 20, Rate: 100}
		now := units.Second
		send := func() {
			queue.Add(&Write{Changes: []Change{{Key: "k", Value: json.RawMessage("1")}}, Done: func(Outcome, uint64) {}})
			if queue.Next(now) == nil {
				t.Fatal("nothing is sent")
			}
		}
		for range 50 {
			now += units.Second
			send()
			now += test.usual
			queue.Finish(now, OK, 1, nil)
		}
		send()
		reads, first := 0, units.MaxTime
		for d := units.Microseconds(0); d < units.Second; d += 5_000 {
			if queue.ReadDue(now + d) {
				reads++
				first = min(first, d)
			}
		}
		if reads != test.reads || first > test.first {
			t.Errorf("answers take %v us: %d reads, the first after %v us", test.usual, reads, first)
		}
	}
}
