package store

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "shalestage.example/shalestage/internal/fixedseed"
)

// watchAnswer is what a service answered to a watch; it may arrive much later.
type watchAnswer struct {
	after, upTo uint64
	events      []Event
}

// replicaModel is a service with five keys, a replica of it, and what is on the way between them.
type replicaModel struct {
	log      []Event
	truth    map[string]uint64 // version of each key that exists
	applied  map[string]uint64
	replica  *Replica
	answers  []watchAnswer // on the way
	page     string        // the key that the listing under way shows next; "": none is
	pageRead bool          // it was read, and is on the way
	items    []Event       // that it shows
}

func newReplicaModel(t *rapid.T) *replicaModel {
	model := &replicaModel{truth: map[string]uint64{}, applied: map[string]uint64{}}
	model.replica = NewReplica(func(event Event) {
		if event.Stamp < model.applied[event.Key] {
			t.Fatalf("%s went back from %d to %d", event.Key, model.applied[event.Key], event.Stamp)
		}
		model.applied[event.Key] = event.Stamp
	})
	return model
}

func (m *replicaModel) revision() uint64 { return uint64(len(m.log)) }

func (m *replicaModel) change(t *rapid.T) {
	key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
	event := Event{Key: key, Stamp: m.revision() + 1}
	if m.truth[key] == 0 || rapid.Bool().Draw(t, "put") {
		event.Value = json.RawMessage("1")
		m.truth[key] = event.Stamp
	} else {
		delete(m.truth, key)
	}
	m.log = append(m.log, event)
	if event.Value != nil && rapid.Bool().Draw(t, "own") {
		m.replica.Learn(event) // the outcome of an own write comes before the watch
	}
}

func (m *replicaModel) watch(*rapid.T) {
	m.answers = append(m.answers, watchAnswer{m.replica.Revision, m.revision(), m.log[m.replica.Revision:]})
}

func (m *replicaModel) arrive(t *rapid.T) {
	if len(m.answers) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.answers)-1).Draw(t, "which")
	answer := m.answers[i]
	m.answers = append(m.answers[:i:i], m.answers[i+1:]...)
	m.replica.Advance(answer.after, answer.upTo, answer.events)
}

func (m *replicaModel) list(t *rapid.T) {
	if m.page != "" {
		t.Skip()
	}
	m.replica.Begin(m.revision())
	m.page = "0"
}

// readPage reads a page of one key; it may come late.
func (m *replicaModel) readPage(t *rapid.T) {
	if m.page == "" || m.pageRead {
		t.Skip()
	}
	m.items = nil
	if version := m.truth[m.page]; version != 0 {
		m.items = []Event{{Key: m.page, Value: json.RawMessage("1"), Stamp: version}}
	}
	m.pageRead = true
}

func (m *replicaModel) pageArrives(t *rapid.T) {
	if !m.pageRead {
		t.Skip()
	}
	m.pageRead = false
	m.replica.Page(m.items)
	if m.page = string(m.page[0] + 1); m.page == "5" {
		m.page = ""
		m.replica.End()
	}
}

func (m *replicaModel) check(t *rapid.T) {
	if m.replica.Revision != m.revision() || m.page != "" {
		return
	}
	for i := range 5 {
		if key := fmt.Sprint(i); m.replica.Version(key) != m.truth[key] {
			t.Fatalf("key %s: version %d, truth %d", key, m.replica.Version(key), m.truth[key])
		}
	}
}

// A replica fed by listings and watches that overlap, come late and repeat
// always shows each key as it is at the replica's revision or later, and never
// goes back.
func TestReplicaFollows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newReplicaModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"change":    model.change,
			"watch":     model.watch,
			"arrive":    model.arrive,
			"list":      model.list,
			"read page": model.readPage,
			"page":      model.pageArrives,
			"":          model.check,
		})
	})
}
