package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/units"
)

// fakeConfigNode returns the replies of a controller whose current version is 7, and records the requests.
type fakeConfigNode struct{ requests []configuration.Request }

func (f *fakeConfigNode) Configure(_ context.Context, r configuration.Request) core.Reply {
	f.requests = append(f.requests, r)
	switch {
	case r.By == "late":
		return core.Reply{Code: 503, Body: core.ConfigRefused{Err: &configuration.Unavailable{Reason: "x", Unknown: true}}, RetryAfter: units.Second}
	case r.By == "slow":
		return core.Reply{Code: 503, Body: core.Problem{Text: "busy"}}
	case r.Base != nil && *r.Base != 7:
		return core.Reply{Code: 409, Body: core.ConfigRefused{Err: &configuration.Conflict{Base: *r.Base, Current: 7}}}
	}
	return core.Reply{Code: 200, Body: core.ConfigStored{Version: 8}}
}

func (f *fakeConfigNode) ConfigContent(context.Context) core.Reply {
	return core.Reply{Code: 200, Body: core.ConfigContent{Version: 7, Content: configuration.Content{
		Teams:      []configuration.Team{{Name: "red", Guarantee: binpack.Vec{1500}, Limit: binpack.Vec{2500, 1000}}, {Name: "old", Removed: 1}},
		Objectives: []configuration.Objective{{Kind: "wait", Class: "x", Within: 1500_000, Share: 0.9}}}}}
}

func (f *fakeConfigNode) ConfigHistory(context.Context) core.Reply {
	return core.Reply{Code: 200, Body: core.ConfigHistory{{Version: 7, By: "ann", At: 1_000_000, Summary: "red: new"}}}
}

func (f *fakeConfigNode) ConfigStatus(_ context.Context, version uint64) core.Reply {
	return core.Reply{Code: 200, Body: core.ConfigStatus{Version: version, Controllers: []configuration.ControllerStatus{{Node: "node-0", Version: 6}}}}
}

// TestInternalHandler reads and changes the configuration over HTTP, with valid and invalid requests.
func TestInternalHandler(t *testing.T) {
	node := &fakeConfigNode{}
	handler := InternalHandler(node)
	for _, test := range []struct {
		method, path, body string
		code               int
		want               string
		wantRequests       int
	}{
		{"GET", "/config", "", 200, `{"version":7,"teams":[{"name":"red","cpus":1.5,"cpus_max":2.5,"gpus":0,"gpus_max":1}],"objectives":[{"kind":"wait","class":"x","within_s":1.5,"share":0.9,"times":0}],"removed":["old"]}`, 0},
		{"GET", "/config/history", "", 200, `[{"version":7,"at":"1970-01-01T00:00:01Z","by":"ann","what":"red: new"}]`, 0},
		{"GET", "/config/status?version=7", "", 200, `"version":7,"current":0,"confirmed":false`, 0},
		{"GET", "/config/status?version=x", "", 400, `"field":"version"`, 0},
		{"POST", "/config/set", `{"by":"ann","teams":[{"name":"red","cpus_max":3}]}`, 200, `{"version":8}`, 1},
		{"POST", "/config/set", `{"teams":[{"name":"red","cpu_max":3}]}`, 400, `cpu_max`, 0},
		{"POST", "/config/set", `{"teams":[{"name":"red","cpus_max":"3"}]}`, 400, `"field":"teams`, 0},
		{"POST", "/config/set", `{"teams":[{"name":"red","cpus_max":-3}]}`, 422, `"field":"teams[red].cpus_max"`, 0},
		{"POST", "/config/set", `{"teams":[{"name":"red","cpus_max":1e300}]}`, 422, `"field":"teams[red].cpus_max"`, 0},
		{"POST", "/config/set", `{"version":3,"teams":[{"name":"red","cpus_max":3}]}`, 409, `"version":3,"current":7`, 1},
		{"POST", "/config/set", `{"by":"late","teams":[]}`, 503, `"unknown":true`, 1},
		{"POST", "/config/set", `{"by":"slow","teams":[]}`, 503, `"unknown":true`, 1},
		{"PUT", "/config", `{"version":7,"teams":[{"name":"red"}],"objectives":[]}`, 200, `{"version":8}`, 1},
		{"PUT", "/config", `{"version":7,"teams":[{"name":"red"}],"objectives":[{"kind":"wait","within_s":-1}]}`, 422, `"field":"objectives[0].within_s"`, 0},
		{"PUT", "/config", strings.Repeat(" ", 2<<20), 400, "too long", 0},
		{"GET", "/work/wk-000412", "", 404, "", 0},
	} {
		node.requests = nil
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(test.method, test.path, strings.NewReader(test.body)))
			if w.Code != test.code || !strings.Contains(w.Body.String(), test.want) || len(node.requests) != test.wantRequests {
				t.Errorf("%s %s %.60s: %d %s, %d requests", test.method, test.path, test.body, w.Code, w.Body, len(node.requests))
			}
			if strings.Contains(test.body, "late") && w.Header().Get("Retry-After") != "1" {
				t.Errorf("Retry-After %q", w.Header().Get("Retry-After"))
			}
			if len(node.requests) == 1 && test.code == http.StatusOK && test.method == "POST" {
				if ch := node.requests[0].Teams[0]; ch.Name != "red" || *ch.LimitCPU != 3000 || ch.LimitGPU != nil {
					t.Errorf("requested %+v", ch)
				}
			}
		})
	}
}
