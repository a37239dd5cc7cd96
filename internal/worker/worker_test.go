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

// TestProbe probes a worker of the protocol's form: it takes a fencing token with its own
// incarnation, and tells its incarnation where another is named. Nothing is sent without authority, and
// nothing but an address is called.
func TestProbe(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		calls++
		var b struct {
			Baton, Shift *uint64
			Calls        []any
		}
		if err := json.NewDecoder(req.Body).Decode(&b); err != nil || req.URL.Path != "/commands" || b.Baton == nil || b.Shift == nil || b.Calls == nil || len(b.Calls) != 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		baton := "7"
		if *b.Shift != 3 || *b.Baton < 7 {
			w.WriteHeader(http.StatusConflict)
		} else {
			baton = "9"
		}
		_, _ = w.Write([]byte(`{"stagehand":"n-1","rig":"g","hall":"a","standby":false,"shift":3,"tally":8,"baton":` + baton + `,"cues":[]}`)) // a client that ended shows in its outcome
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	client := New(slog.New(slog.DiscardHandler))
	yes := func() bool { return true }
	if o, r := client.Probe(t.Context(), addr, 9, 1, yes); o != store.Failed || r == nil || r.Incarnation != 3 {
		t.Errorf("other incarnation: %v %+v", o, r)
	}
	if o, r := client.Probe(t.Context(), addr, 9, 3, yes); o != store.OK || r == nil || r.FencingToken != 9 || r.Seq != 8 {
		t.Errorf("own incarnation: %v %+v", o, r)
	}
	before := calls
	if o, _ := client.Probe(t.Context(), addr, 9, 3, func() bool { return false }); o != store.Refused || calls != before {
		t.Errorf("without authority: %v", o)
	}
	if o, _ := client.Probe(t.Context(), "no/where", 9, 3, yes); o != store.Refused {
		t.Errorf("no address: %v", o)
	}
}
