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

// TestShowToken asks a worker of the protocol's form: it takes a token with its
// own session, and tells its session where another is named. Nothing is sent
// without authority, and nothing but an address is called.
func TestShowToken(t *testing.T) {
	calls := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
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
		_, _ = w.Write([]byte(`{"stagehand":"n-1","rig":"g","hall":"a","standby":false,"shift":3,"tally":8,"baton":` + baton + `,"cues":[]}`))
	}))
	defer s.Close()
	addr := strings.TrimPrefix(s.URL, "http://")
	c := New(slog.New(slog.DiscardHandler))
	yes := func() bool { return true }
	if o, r := c.ShowToken(addr, 9, 1, yes); o != store.Failed || r == nil || r.Incarnation != 3 {
		t.Errorf("other session: %v %+v", o, r)
	}
	if o, r := c.ShowToken(addr, 9, 3, yes); o != store.OK || r == nil || r.FencingToken != 9 || r.Seq != 8 {
		t.Errorf("own session: %v %+v", o, r)
	}
	before := calls
	if o, _ := c.ShowToken(addr, 9, 3, func() bool { return false }); o != store.Refused || calls != before {
		t.Errorf("without authority: %v", o)
	}
	if o, _ := c.ShowToken("no/where", 9, 3, yes); o != store.Refused {
		t.Errorf("no address: %v", o)
	}
}
