package store

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "shalestage.example/shalestage/internal/fixedseed"
)

// watchResponse is the response to a watch. It may arrive much later.
type watchResponse struct {
	after, upTo uint64
	events      []Event
}

// replicaModel is a service with five keys, a replica of it, and the responses in transit between them.
type replicaModel struct {
	log             []Event
	serviceVersions map[string]uint64 // version of each key that exists
	applied         map[string]uint64
	replica         *Replica
	responses       []watchResponse // in transit
	page            string          // key of the next page of the listing in progress; "": none
	pageRead        bool            // the page was read and is in transit
	items           []Event         // contents of the page in transit
}

func newReplicaModel(t *rapid.T) *replicaModel {
	model := &replicaModel{serviceVersions: map[string]uint64{}, applied: map[string]uint64{}}
	model.replica = NewReplica(func(event Event) {
		if event.Stamp < model.applied[event.Key] {
			t.Fatalf("the version of %s went back from %d to %d", event.Key, model.applied[event.Key], event.Stamp)
		}
		model.applied[event.Key] = event.Stamp
	})
	return model
}

func (m *replicaModel) revision() uint64 { return uint64(len(m.log)) }

func (m *replicaModel) change(t *rapid.T) {
	key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
	event := Event{Key: key, Stamp: m.revision() + 1}
	if m.serviceVersions[key] == 0 || rapid.Bool().Draw(t, "put") {
		event.Value = json.RawMessage("1")
		m.serviceVersions[key] = event.Stamp
	} else {
		delete(m.serviceVersions, key)
	}
	m.log = append(m.log, event)
	if event.Value != nil && rapid.Bool().Draw(t, "own") {
		m.replica.Apply(event) // a write of this controller completes before the watch delivers it
	}
}

func (m *replicaModel) watch(*rapid.T) {
	m.responses = append(m.responses, watchResponse{m.replica.Revision, m.revision(), m.log[m.replica.Revision:]})
}

func (m *replicaModel) responseArrives(t *rapid.T) {
	if len(m.responses) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.responses)-1).Draw(t, "which")
	response := m.responses[i]
	m.responses = append(m.responses[:i:i], m.responses[i+1:]...)
	m.replica.ApplyChanges(response.after, response.upTo, response.events)
}

func (m *replicaModel) list(t *rapid.T) {
	if m.page != "" {
		t.Skip()
	}
	m.replica.BeginListing(m.revision())
	m.page = "0"
}

// readPage reads a page of one key, which may arrive late.
func (m *replicaModel) readPage(t *rapid.T) {
	if m.page == "" || m.pageRead {
		t.Skip()
	}
	m.items = nil
	if version := m.serviceVersions[m.page]; version != 0 {
		m.items = []Event{{Key: m.page, Value: json.RawMessage("1"), Stamp: version}}
	}
	m.pageRead = true
}

func (m *replicaModel) pageArrives(t *rapid.T) {
	if !m.pageRead {
		t.Skip()
	}
	m.pageRead = false
	m.replica.ApplyPage(m.items)
	if m.page = string(m.page[0] + 1); m.page == "5" {
		m.page = ""
		m.replica.EndListing()
	}
}

func (m *replicaModel) check(t *rapid.T) {
	if m.replica.Revision != m.revision() || m.page != "" {
		return
	}
	for i := range 5 {
		if key := fmt.Sprint(i); m.replica.Version(key) != m.serviceVersions[key] {
			t.Fatalf("key %s: version %d in the replica, %d in the service", key, m.replica.Version(key), m.serviceVersions[key])
		}
	}
}

// TestReplicaConverges guards against a replica that misses a change or returns to an older version of a key.
// The listings and watches that feed it overlap, arrive late and repeat changes.
func TestReplicaConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newReplicaModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"change":    model.change,
			"watch":     model.watch,
			"arrive":    model.responseArrives,
			"list":      model.list,
			"read page": model.readPage,
			"page":      model.pageArrives,
			"":          model.check,
		})
	})
}
