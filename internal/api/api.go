// Package api is the HTTP interface for users, workers and health checks.
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

// Node is what the interface asks of the controller. Every call returns an
// answer, whatever happens. A submission without a spec is invalid for the given reason.
type Node interface {
	Submit(ctx context.Context, id string, spec *jobs.Spec, invalid string) core.Reply
	Query(ctx context.Context, id string) core.Reply
	Cancel(ctx context.Context, id string) core.Reply
	Heartbeat(ctx context.Context, heartbeat *fleet.Heartbeat) core.Reply
	Ready(ctx context.Context) bool
	Stats(ctx context.Context) (core.Stats, bool)
}

// Handler serves the interface. The metrics hold those of the collectors beside the
// controller's own.
func Handler(n Node, log *slog.Logger, collectors ...prometheus.Collector) http.Handler {
	r := chi.NewRouter()
	if log.Enabled(context.Background(), slog.LevelDebug) {
		r.Use(logRequests(log))
	}
	r.Post(wire.JobsPath, func(w http.ResponseWriter, req *http.Request) {
		body, ok := read(w, req)
		if !ok {
			return
		}
		id, spec, err := wire.DecodeSubmission(body)
		invalid := ""
		if err != nil {
			invalid = err.Error()
			if id = wire.SubmissionID(body); id == "" {
				refuse(w, invalid)
				return
			}
		}
		write(w, n.Submit(req.Context(), id, spec, invalid))
	})
	r.Get(wire.JobsPath+"/{id}", func(w http.ResponseWriter, req *http.Request) {
		withJobID(w, req, n.Query)
	})
	r.Post(wire.JobsPath+"/{id}/abort", func(w http.ResponseWriter, req *http.Request) {
		withJobID(w, req, n.Cancel)
	})
	r.Post(wire.HeartbeatPath, func(w http.ResponseWriter, req *http.Request) {
		body, ok := read(w, req)
		if !ok {
			return
		}
		rep, err := wire.DecodeHeartbeat(body)
		if err != nil {
			refuse(w, err.Error())
			return
		}
		write(w, n.Heartbeat(req.Context(), rep))
	})
	r.Get(wire.ReadyPath, func(w http.ResponseWriter, req *http.Request) {
		if !n.Ready(req.Context()) {
			write(w, core.Reply{Code: http.StatusServiceUnavailable, Body: core.Problem{Text: "not ready"}})
			return
		}
		write(w, core.Reply{Code: http.StatusOK})
	})
	r.Method(http.MethodGet, metricsPath, metrics(n, collectors...))
	return r
}

// logRequests logs every request but workers' reports with its outcome.
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
		write(w, core.Reply{Code: http.StatusNotFound, Body: core.Problem{Text: "no such job"}})
		return
	}
	write(w, call(req.Context(), id))
}

// read takes a request's body. One that is too long is malformed.
func read(w http.ResponseWriter, req *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, wire.MaxBody))
	if err != nil {
		refuse(w, "body cannot be read or is too long")
		return nil, false
	}
	return body, true
}

func refuse(w http.ResponseWriter, why string) {
	write(w, core.Reply{Code: http.StatusBadRequest, Body: core.Problem{Text: why}})
}

func write(w http.ResponseWriter, r core.Reply) {
	var body any
	switch answer := r.Body.(type) {
	case core.JobAnswer:
		status := wire.JobStatus{ID: answer.ID, Status: wire.StatusName(answer.Status)}
		if answer.Counts {
			status.Done, status.Running = &answer.Done, &answer.Running
		}
		body = status
	case core.HeartbeatResponse:
		orders := wire.CommandList{FencingToken: answer.FencingToken, Commands: []wire.Command{}}
		for _, c := range answer.Commands {
			orders.Commands = append(orders.Commands, wire.EncodeCommand(c))
		}
		body = orders
	case core.Redirect:
		body = wire.Redirect{Node: answer.Node}
	case core.Problem:
		body = wire.Problem{Error: answer.Text}
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
	_, _ = w.Write(encoded) // the client may be gone
}

// peerKind tells who sends a request.
func peerKind(r *http.Request) connlimit.Kind {
	switch r.URL.Path {
	case wire.HeartbeatPath:
		return connlimit.Machine
	case wire.ReadyPath, metricsPath:
		return connlimit.Probe
	}
	return connlimit.User
}

// Serve answers requests on a listener. Slow, half-open and idle clients lose
// their connection; of maxConns, users may hold a part, see package connlimit.
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
	limited.Track(s, peerKind)
	return s.Serve(limited)
}
