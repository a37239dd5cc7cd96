// Package api implements the HTTP interfaces of a controller: one for users, workers, health checks and metrics,
// and an internal one for operators.
package api

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/prometheus/client_golang/prometheus"

	"shalestage.example/shalestage/internal/connlimit"
	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/wire"
)

// Node is the controller as the interface needs it. Every call returns a reply, also on errors and timeouts. A
// submission whose spec is nil is invalid for the given reason.
type Node interface {
	Submit(ctx context.Context, id string, spec *jobs.Spec, invalid string) core.Reply
	Query(ctx context.Context, id string) core.Reply
	Cancel(ctx context.Context, id string) core.Reply
	Heartbeat(ctx context.Context, heartbeat *fleet.Heartbeat) core.Reply
	Ready(ctx context.Context) bool
	Stats(ctx context.Context) (core.Stats, bool)
}

// Handler returns the handler of the public interface. Its metrics include those of the given collectors.
func Handler(n Node, log *slog.Logger, collectors ...prometheus.Collector) http.Handler {
	r := chi.NewRouter()
	if log.Enabled(context.Background(), slog.LevelDebug) {
		r.Use(logRequests(log))
	}
	r.Post(wire.JobsPath, func(w http.ResponseWriter, req *http.Request) {
		body, ok := readBody(w, req)
		if !ok {
			return
		}
		id, spec, err := wire.DecodeSubmission(body)
		invalid := ""
		if err != nil {
			invalid = err.Error()
			if id = wire.SubmissionID(body); id == "" {
				writeBadRequest(w, invalid)
				return
			}
		}
		writeReply(w, n.Submit(req.Context(), id, spec, invalid))
	})
	r.Get(wire.JobsPath+"/{id}", func(w http.ResponseWriter, req *http.Request) {
		withJobID(w, req, n.Query)
	})
	r.Post(wire.JobsPath+"/{id}/abort", func(w http.ResponseWriter, req *http.Request) {
		withJobID(w, req, n.Cancel)
	})
	r.Post(wire.HeartbeatPath, func(w http.ResponseWriter, req *http.Request) {
		body, ok := readBody(w, req)
		if !ok {
			return
		}
		heartbeat, err := wire.DecodeHeartbeat(body)
		if err != nil {
			writeBadRequest(w, err.Error())
			return
		}
		writeReply(w, n.Heartbeat(req.Context(), heartbeat))
	})
	r.Get(wire.ReadyPath, func(w http.ResponseWriter, req *http.Request) {
		if !n.Ready(req.Context()) {
			writeReply(w, core.Reply{Code: http.StatusServiceUnavailable, Body: core.Problem{Text: "not ready"}})
			return
		}
		writeReply(w, core.Reply{Code: http.StatusOK})
	})
	r.Method(http.MethodGet, metricsPath, metrics(n, collectors...))
	return r
}

// logRequests logs every request and its outcome, except workers' heartbeats.
func logRequests(log *slog.Logger) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			start := time.Now()
			wrapped := middleware.NewWrapResponseWriter(w, req.ProtoMajor)
			next.ServeHTTP(wrapped, req)
			if req.URL.Path != wire.HeartbeatPath {
				log.Debug("request", "method", req.Method, "path", req.URL.Path, "code", wrapped.Status(), "took", time.Since(start))
			}
		})
	}
}

func withJobID(w http.ResponseWriter, req *http.Request, call func(context.Context, string) core.Reply) {
	id := chi.URLParam(req, "id")
	if !jobs.ValidID(id) {
		writeReply(w, core.Reply{Code: http.StatusNotFound, Body: core.Problem{Text: "no such job"}})
		return
	}
	writeReply(w, call(req.Context(), id))
}

// readBody reads a request's body. If that fails or the body is too long, it responds with 400 and returns false.
func readBody(w http.ResponseWriter, req *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, wire.MaxBody))
	if err != nil {
		writeBadRequest(w, "body cannot be read or is too long")
		return nil, false
	}
	return body, true
}

// writeBadRequest responds with 400 and a reason.
func writeBadRequest(w http.ResponseWriter, reason string) {
	writeReply(w, core.Reply{Code: http.StatusBadRequest, Body: core.Problem{Text: reason}})
}

// writeReply encodes the controller's reply as an HTTP response.
func writeReply(w http.ResponseWriter, r core.Reply) {
	var body any
	switch reply := r.Body.(type) {
	case core.JobAnswer:
		status := wire.JobStatus{ID: reply.ID, Status: wire.StatusName(reply.Status)}
		if reply.Counts {
			status.Done, status.Running = &reply.Done, &reply.Running
		}
		body = status
	case core.HeartbeatResponse:
		orders := wire.CommandList{FencingToken: reply.FencingToken, Commands: []wire.Command{}}
		for _, c := range reply.Commands {
			orders.Commands = append(orders.Commands, wire.EncodeCommand(c))
		}
		body = orders
	case core.Redirect:
		body = wire.Redirect{Node: reply.Node}
	case core.Problem:
		body = wire.Problem{Error: reply.Text}
	default:
		body = struct{}{}
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(encoded)))
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Code)
	_, _ = w.Write(encoded) // fails if the client has disconnected
}

// connKind returns the kind of client that sends a request, by its path.
func connKind(r *http.Request) connlimit.Kind {
	switch r.URL.Path {
	case wire.HeartbeatPath:
		return connlimit.Machine
	case wire.ReadyPath, metricsPath:
		return connlimit.Probe
	}
	return connlimit.User
}

// Serve serves the public interface on a listener until that fails, and returns the error. Connections of slow
// clients, half-open ones and those idle for longer than idle are closed. At most maxConns are open, of which
// users may hold a part (see package connlimit).
func Serve(l net.Listener, n Node, maxConns int, idle units.Microseconds, log *slog.Logger) error {
	limited := connlimit.New(l, maxConns)
	s := &http.Server{
		Handler:           Handler(n, log, limited),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      15 * time.Second,
		IdleTimeout:       time.Duration(idle) * time.Microsecond,
		MaxHeaderBytes:    16 << 10,
	}
	limited.Track(s, connKind)
	return s.Serve(limited)
}
