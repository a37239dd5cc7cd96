package api

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/reconcile"
	"shalestage.example/shalestage/internal/core/units"
)

// fakeNode returns fixed replies and records the requests.
type fakeNode struct {
	invalid    string
	heartbeats int
}

func (f *fakeNode) Submit(_ context.Context, id string, spec *jobs.Spec, bad string) core.Reply {
	f.invalid = bad
	if spec == nil {
		return core.Reply{Code: 400, Body: core.Problem{Text: bad}}
	}
	return core.Reply{Code: 201, Body: core.JobAnswer{ID: id, Status: jobs.Pending}}
}

func (f *fakeNode) Query(_ context.Context, id string) core.Reply {
	return core.Reply{Code: 200, Body: core.JobAnswer{ID: id, Status: jobs.Running, Counts: true, Done: 3, Running: 0}}
}

func (f *fakeNode) Cancel(_ context.Context, id string) core.Reply {
	return core.Reply{Code: 503, Body: core.Problem{Text: "x"}, RetryAfter: 1500 * units.Second / 1000}
}

func (f *fakeNode) Heartbeat(context.Context, *fleet.Heartbeat) core.Reply {
	f.heartbeats++
	return core.Reply{Code: 421, Body: core.Redirect{}}
}

func (f *fakeNode) Ready(context.Context) bool { return false }

func (f *fakeNode) Stats(context.Context) (core.Stats, bool) {
	heartbeats := reconcile.Counters{}
	heartbeats.Admitted[reconcile.Unconfirmed] = 5
	heartbeats.Stops[reconcile.JobFinished] = 4
	return core.Stats{Member: true, Heartbeats: heartbeats, Shards: []core.ShardStats{{Shard: 2, Waiting: 7, Spot: core.PoolStats{Machines: 5, Booting: 1, Idle: 1}}}}, true
}

func TestHandlerResponses(t *testing.T) {
	const job = `{"name_id":"wk-000412","jobline":"a","crew":"b","shape":"sweep","urgency":"prod","cues":1,"cores":1,"cards":0,
	 "memory_gb":1,"reel":"i","image_gb":1,"same_place":false,"apart":false,"standby":false,"runtime_s":1,"bookmark_s":0,"stow_s":0}`
	node := &fakeNode{}
	handler := Handler(node, slog.New(slog.DiscardHandler))
	for _, test := range []struct {
		method, path, body string
		code               int
		want               string
	}{
		{"POST", "/work", job, 201, `{"name_id":"wk-000412","status":"pending"}`},
		{"POST", "/work", "[]", 400, "error"},
		{"POST", "/work", `{"name_id":"wk-000412"}`, 400, "missing"},
		{"POST", "/work", job + strings.Repeat(" ", 64<<10), 400, "too long"},
		{"GET", "/work/wk-000412", "", 200, `{"name_id":"wk-000412","status":"running","done":3,"running":0}`},
		{"GET", "/work/nonsense", "", 404, "error"},
		{"POST", "/work/wk-000412/abort", "", 503, "error"},
		{"POST", "/hello", "{}", 400, "error"},
		{"GET", "/ready", "", 503, "error"},
		{"GET", "/metrics", "", 200, "shalestage_seated 1"},
		{"GET", "/metrics", "", 200, `shalestage_block_tasks{block="2",state="waiting"} 7`},
		{"GET", "/metrics", "", 200, `shalestage_block_machines{block="2",kind="spot",state="busy"} 3`},
		{"GET", "/metrics", "", 200, `shalestage_heartbeats_admitted_total{status="unconfirmed"} 5`},
		{"GET", "/metrics", "", 200, `shalestage_task_stops_total{reason="job_finished"} 4`},
		{"GET", "/nowhere", "", 404, ""},
		{"DELETE", "/work", "", 405, ""},
	} {
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(test.method, test.path, strings.NewReader(test.body)))
			if w.Code != test.code || !strings.Contains(w.Body.String(), test.want) {
				t.Errorf("%s %s: %d %s, want %d %s", test.method, test.path, w.Code, w.Body, test.code, test.want)
			}
			if w.Code == http.StatusServiceUnavailable && test.method == "POST" && w.Header().Get("Retry-After") != "2" {
				t.Errorf("%s %s: Retry-After %q", test.method, test.path, w.Header().Get("Retry-After"))
			}
		})
	}
	if node.heartbeats != 0 {
		t.Error("a malformed heartbeat reached the controller")
	}
}

// TestLargestHeartbeatResponse encodes the maximum number of commands in a heartbeat response, with the longest
// ids. Workers do not accept lines longer than 64 KiB.
func TestLargestHeartbeatResponse(t *testing.T) {
	id := jobs.TaskID{Job: "wk-123456789012345678", Task: 99_999}
	forget := fleet.Command{Op: fleet.Forget, ID: id, Attempt: 1<<64 - 1, Grace: 12345678}
	stop := fleet.Command{Op: fleet.Stop, ID: id, Attempt: 1<<64 - 1}
	preempt := fleet.Command{Op: fleet.Stop, ID: id, Attempt: 1<<64 - 1, Grace: 12345678}
	start := fleet.Command{Op: fleet.Start, ID: id, Attempt: 1<<64 - 1, Grace: 12345678}
	for name, commands := range map[string][]fleet.Command{
		"forgets, stops and starts": slices.Concat(slices.Repeat([]fleet.Command{forget}, fleet.MaxForgets),
			slices.Repeat([]fleet.Command{preempt}, 2*fleet.MaxStops), slices.Repeat([]fleet.Command{start}, fleet.MaxStarts)),
		"stops of all tasks that a machine reports": slices.Concat(slices.Repeat([]fleet.Command{stop}, fleet.MaxReportedTasks),
			slices.Repeat([]fleet.Command{preempt}, fleet.MaxStops)),
	} {
		w := httptest.NewRecorder()
		writeReply(w, core.Reply{Code: http.StatusOK, Body: core.HeartbeatResponse{FencingToken: 1<<64 - 1, Commands: commands}})
		if n := w.Body.Len(); n > 64<<10 || n < 40<<10 {
			t.Errorf("%s: response of %d bytes", name, n)
		}
	}
}
