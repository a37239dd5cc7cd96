package store

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"shalestage.example/shalestage/internal/core/units"
)

// revision is the changes of one revision: the number in each value by key, 0 if the key was deleted.
type revision map[string]int

// encodedValue returns the value for n as it is sent, or in another formatting in which a service may return
// it.
func encodedValue(n int, rewritten bool) json.RawMessage {
	if rewritten {
		return json.RawMessage(fmt.Sprintf(`{ "b": [true], "a": %d }`, n))
	}
	return json.RawMessage(fmt.Sprintf(`{"a":%d,"b":[true]}`, n))
}

// inDoubtModel is a queue, a service that commits its transactions at any time or never, and other clients
// that write the same or almost the same changes.
type inDoubtModel struct {
	t                 *rapid.T
	queue             WriteQueue
	now               units.Microseconds
	log               []revision // log[0] is revision 1
	versions          map[string]uint64
	observed          int         // number of revisions passed to Observe
	current           *Txn        // in flight; nil: none
	observedWhenSent  int         // value of observed when current was sent
	rollbackSuspected bool        // the service may have been rolled back since
	retired           []*Txn      // transactions no longer in flight that may still be committed
	doneCalls         map[int]int // calls of Done, by write
	added             int
}

func (m *inDoubtModel) commit(r revision) {
	m.log = append(m.log, r)
	for k, v := range r {
		if m.versions[k] = uint64(len(m.log)); v == 0 {
			delete(m.versions, k)
		}
	}
}

// changesOf returns the changes that a transaction makes.
func changesOf(t *Txn) revision {
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

// commitIfGuardsHold commits a transaction if its guards hold.
func (m *inDoubtModel) commitIfGuardsHold(t *Txn) {
	for _, g := range t.Guards {
		if m.versions[g.Key] != g.Version {
			return
		}
	}
	m.commit(changesOf(t))
}

// provenRevision returns the first revision passed to the queue that proves that the transaction
// in flight was committed, or 0.
func (m *inDoubtModel) provenRevision() int {
	puts := false
	for _, c := range m.current.Changes {
		if c.Lease != 0 {
			return 0
		}
		puts = puts || c.Value != nil
	}
	for i := m.observedWhenSent; i < m.observed && puts && !m.rollbackSuspected; i++ {
		if maps.Equal(m.log[i], changesOf(m.current)) {
			return i + 1
		}
	}
	return 0
}

func (m *inDoubtModel) add() {
	id := m.added
	w := &Write{Deferred: rapid.Bool().Draw(m.t, "late")}
	for range rapid.IntRange(1, 2).Draw(m.t, "changes") {
		k := fmt.Sprint(rapid.IntRange(0, 2).Draw(m.t, "key"))
		c := Change{Key: k}
		if v := rapid.IntRange(0, 2).Draw(m.t, "value"); v > 0 {
			c.Value = encodedValue(v, false)
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
		m.doneCalls[id]++
		if o != OK {
			return
		}
		if rev == 0 || int(rev) > len(m.log) {
			m.t.Fatalf("Done was called with revision %d of %d", rev, len(m.log))
		}
		for k, v := range changesOf(&Txn{Changes: w.Changes}) {
			if got, ok := m.log[rev-1][k]; !ok || got != v {
				m.t.Fatalf("Done was called with revision %d, which did not store %d at %s", rev, v, k)
			}
		}
	}
	if m.queue.Add(w) {
		m.added++
	}
}

func (m *inDoubtModel) retireCurrent() {
	m.retired = append(m.retired, m.current)
	m.current = nil
}

// checkFinishProven advances the time by more than any latency. It checks that the transaction in flight then
// completes if and only if the observed revisions prove that it was committed.
func (m *inDoubtModel) checkFinishProven() {
	if m.queue.FinishProven(m.current.sentAt) != nil {
		m.t.Fatal("completed before its response can be late")
	}
	m.now += 100 * units.Second
	rev, t := m.provenRevision(), m.queue.FinishProven(m.now)
	if (rev != 0) != (t != nil) {
		m.t.Fatalf("proven by revision %d, completed: %v", rev, t != nil)
	}
	if t != nil {
		m.retireCurrent()
	}
}

// watch passes further revisions to the queue, and may repeat earlier ones.
func (m *inDoubtModel) watch(t *rapid.T) {
	begin := rapid.IntRange(0, m.observed).Draw(t, "again_from")
	upto := rapid.IntRange(m.observed, len(m.log)).Draw(t, "upto")
	rewritten := rapid.Bool().Draw(t, "rewritten")
	var events []Event
	for i := begin; i < upto; i++ {
		for k, v := range m.log[i] {
			e := Event{Key: k, Stamp: uint64(i + 1)}
			if v > 0 {
				e.Value = encodedValue(v, rewritten)
			}
			events = append(events, e)
		}
	}
	m.observed = upto
	m.queue.Observe(events)
}

func (m *inDoubtModel) inFlight(t *rapid.T) *Txn {
	if m.current == nil {
		t.Skip()
	}
	return m.current
}

func (m *inDoubtModel) send(t *rapid.T) {
	if m.current != nil {
		t.Skip()
	}
	m.t = t
	m.add()
	m.now += units.Second
	if m.current = m.queue.Next(m.now); m.current == nil {
		t.Skip()
	}
	m.current.KnownRevision = uint64(m.observed)
	m.observedWhenSent, m.rollbackSuspected = m.observed, false
}

func (m *inDoubtModel) commitLate(t *rapid.T) {
	if len(m.retired) == 0 {
		t.Skip()
	}
	m.commitIfGuardsHold(rapid.SampledFrom(m.retired).Draw(t, "which"))
}

// writeByOther lets another client write the same changes, or almost the same.
func (m *inDoubtModel) writeByOther(t *rapid.T) {
	m.t = t
	written := changesOf(m.inFlight(t))
	key := rapid.SampledFrom(m.current.Changes).Draw(t, "of").Key
	switch rapid.IntRange(0, 3).Draw(t, "what") {
	case 0:
		written[key] = (written[key] + 1) % 3
	case 1:
		delete(written, key)
	case 2:
		written["other"] = 1
	} // otherwise the same changes
	if len(written) > 0 {
		m.commit(written)
	}
	if rapid.Bool().Draw(t, "shown") {
		m.watch(t)
		m.checkFinishProven()
	}
}

func (m *inDoubtModel) answer(t *rapid.T) {
	txn := m.inFlight(t)
	if !m.queue.InFlight(txn) {
		t.Fatal("the transaction is not in flight")
	}
	before := len(m.log)
	outcome := rapid.SampledFrom([]Outcome{OK, Refused, Failed, Unknown, TooLarge}).Draw(t, "outcome")
	var failed []string
	if outcome == OK {
		if m.commitIfGuardsHold(txn); len(m.log) == before {
			outcome, failed = Failed, []string{txn.Guards[0].Key}
		}
	}
	m.queue.Finish(m.now, outcome, uint64(len(m.log)), failed)
	m.retireCurrent()
}

func (m *inDoubtModel) lateAnswer(t *rapid.T) {
	if len(m.retired) == 0 {
		t.Skip()
	}
	if m.queue.InFlight(rapid.SampledFrom(m.retired).Draw(t, "which")) {
		t.Fatal("a response to a completed transaction would complete the one in flight")
	}
}

func (m *inDoubtModel) check(t *rapid.T) {
	count := 0
	for id, times := range m.doneCalls {
		if times != 1 {
			t.Fatalf("Done of write %d was called %d times", id, times)
		}
		count++
	}
	if count+m.queue.Len() != m.added {
		t.Fatalf("%d completed and %d queued of %d", count, m.queue.Len(), m.added)
	}
}

// TestInDoubtTransactions guards against a write that is reported stored without being stored, and
// against one that completes twice or never. Transactions are committed at once, late or never, and
// their responses arrive or are lost, while other clients write the same values, one different value, or
// one key more or less. A transaction completes early exactly if a revision observed since it was sent
// has all of its changes and no others. A write that completes with OK is stored at the reported
// revision. Each write completes once.
func TestInDoubtTransactions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &inDoubtModel{t: t, queue: WriteQueue{MaxOps: 4, MaxBytes: 4000, MaxQueue: 20, Rate: 1e6}, versions: map[string]uint64{}, doneCalls: map[int]int{}}
		t.Repeat(map[string]func(*rapid.T){
			"add":              func(t *rapid.T) { model.t = t; model.add() },
			"send":             model.send,
			"carried out":      func(t *rapid.T) { model.commitIfGuardsHold(model.inFlight(t)) },
			"carried out late": model.commitLate,
			"another writes":   model.writeByOther,
			"watch":            model.watch,
			"wait":             func(t *rapid.T) { model.t = t; model.inFlight(t); model.checkFinishProven() },
			"went back": func(t *rapid.T) {
				model.inFlight(t)
				model.queue.SuspectRollback()
				model.rollbackSuspected = true
			},
			"answer":      model.answer,
			"late answer": model.lateAnswer,
			"":            model.check,
		})
	})
}

// TestReadsForLateResponses guards against too many or too late reads for a transaction without a response:
// there are at most three, soon if responses are usually fast, and none within a second if all are slow.
func TestReadsForLateResponses(t *testing.T) {
	for _, test := range []struct {
		usual units.Microseconds
		first units.Microseconds // latest time of the first read
		reads int                // within a second
	}{{2_000, 60_000, 3}, {10_000, 100_000, 3}, {400_000, units.MaxTime, 0}} {
		queue := &WriteQueue{MaxOps: 4, MaxBytes: 4000, MaxQueue: 20, Rate: 100}
		now := units.Second
		send := func() {
			queue.Add(&Write{Changes: []Change{{Key: "k", Value: json.RawMessage("1")}}, Done: func(Outcome, uint64) {}})
			if queue.Next(now) == nil {
				t.Fatal("no transaction is due")
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
			t.Errorf("responses take %v us: %d reads, the first after %v us", test.usual, reads, first)
		}
	}
}
