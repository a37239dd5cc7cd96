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

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/gate"
	"shalestage.example/shalestage/internal/wire"
)

// Node is what the interface asks of the controller. Every call returns an
// answer, whatever happens.
type Node interface {
	Submit(ctx context.Context, id string, spec *jobs.Spec, bad string) core.Reply
	Query(ctx context.Context, id string) core.Reply
	Cancel(ctx context.Context, id string) core.Reply
	Heartbeat(ctx context.Context, heartbeat *fleet.Heartbeat) core.Reply
	Ready(ctx context.Context) bool
	Stats(ctx context.Context) (core.Stats, bool)
}

// Handler serves the interface; more are further figures.
func Handler(n Node, log *slog.Logger, more ...prometheus.Collector) http.Handler {
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
		bad := ""
		if err != nil {
			bad = err.Error()
			if id = wire.SubmissionID(body); id == "" {
				refuse(w, bad)
				return
			}
		}
		write(w, n.Submit(req.Context(), id, spec, bad))
	})
	r.Get(wire.JobsPath+"/{id}", func(w http.ResponseWriter, req *http.Request) {
		byID(w, req, n.Query)
	})
	r.Post(wire.JobsPath+"/{id}/abort", func(w http.ResponseWriter, req *http.Request) {
		byID(w, req, n.Cancel)
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
	r.Method(http.MethodGet, metricsPath, metrics(n, more...))
	return r
}

// logRequests logs every request but workers' reports with its outcome.
func logRequests(log *slog.Logger) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			began := time.Now()
			ww := middleware.NewWrapResponseWriter(w, req.ProtoMajor)
			next.ServeHTTP(ww, req)
			if req.URL.Path != wire.HeartbeatPath {
				log.Debug("request", "method", req.Method, "path", req.URL.Path, "code", ww.Status(), "took", time.Since(began))
			}
		})
	}
}

func byID(w http.ResponseWriter, req *http.Request, f func(context.Context, string) core.Reply) {
	id := chi.URLParam(req, "id")
	if !jobs.ValidID(id) {
		write(w, core.Reply{Code: http.StatusNotFound, Body: core.Problem{Text: "no such job"}})
		return
	}
	write(w, f(req.Context(), id))
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
	switch b := r.Body.(type) {
	case core.JobAnswer:
		s := wire.JobStatus{ID: b.ID, Status: wire.Status(b.Status)}
		if b.Counts {
			s.Done, s.Running = &b.Done, &b.Running
		}
		body = s
	case core.HeartbeatResponse:
		o := wire.Orders{FencingToken: b.FencingToken, Commands: []wire.Command{}}
		for _, c := range b.Commands {
			o.Commands = append(o.Commands, wire.EncodeCommand(c))
		}
		body = o
	case core.Redirect:
		body = wire.Redirect{Node: b.Node}
	case core.Problem:
		body = wire.Problem{Error: b.Text}
	default:
		body = struct{}{}
	}
	out, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(out)))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Code)
	_, _ = w.Write(out) // the client may be gone
}

// kindOf tells who sends a request.
func kindOf(r *http.Request) gate.Kind {
	switch r.URL.Path {
	case wire.HeartbeatPath:
		return gate.Machine
	case wire.ReadyPath, metricsPath:
		return gate.Probe
	}
	return gate.User
}

// Serve answers requests on a listener. Slow, half-open and idle clients lose
// their connection; of maxConns, users may hold a part, see package gate.
func Serve(l net.Listener, n Node, maxConns int, idle units.Microseconds, log *slog.Logger) error {
	g := gate.New(l, maxConns)
	s := &http.Server{
		Handler:           Handler(n, log, g),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      15 * time.Second,
		IdleTimeout:       time.Duration(idle) * time.Microsecond,
		MaxHeaderBytes:    16 << 10,
	}
	g.Protect(s, kindOf)
	return s.Serve(g)
}
