package worker

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core/store"
)

// TestProbe checks the outcomes of a probe against a fake worker that implements the protocol: the worker accepts
// a token for its own incarnation and otherwise reports its incarnation. Nothing is sent without authority or to
// an invalid address.
func TestProbe(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		calls++
		var body struct {
			Baton, Shift *uint64
			Calls        []any
		}
		if err := json.NewDecoder(req.Body).Decode(&body); err != nil || req.URL.Path != "/commands" || body.Baton == nil || body.Shift == nil || body.Calls == nil || len(body.Calls) != 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		token := "7"
		if *body.Shift != 3 || *body.Baton < 7 {
			w.WriteHeader(http.StatusConflict)
		} else {
			token = "9"
		}
		_, _ = w.Write([]byte(`{"stagehand":"n-1","rig":"g","hall":"a","standby":false,"shift":3,"tally":8,"baton":` + token + `,"cues":[]}`)) // a client that disconnected fails the check of its outcome
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	client := New(slog.New(slog.DiscardHandler))
	authorized := func() bool { return true }
	if outcome, heartbeat := client.Probe(t.Context(), addr, 9, 1, authorized); outcome != store.Failed || heartbeat == nil || heartbeat.Incarnation != 3 {
		t.Errorf("other incarnation: %v %+v", outcome, heartbeat)
	}
	if outcome, heartbeat := client.Probe(t.Context(), addr, 9, 3, authorized); outcome != store.OK || heartbeat == nil || heartbeat.FencingToken != 9 || heartbeat.Seq != 8 {
		t.Errorf("own incarnation: %v %+v", outcome, heartbeat)
	}
	before := calls
	if outcome, _ := client.Probe(t.Context(), addr, 9, 3, func() bool { return false }); outcome != store.Refused || calls != before {
		t.Errorf("without authority: %v", outcome)
	}
	if outcome, _ := client.Probe(t.Context(), "no/where", 9, 3, authorized); outcome != store.Refused {
		t.Errorf("no address: %v", outcome)
	}
}
