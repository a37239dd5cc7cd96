// Package host runs the emulator's models in real time: HTTP servers for the state service, the cloud and the
// workers, a TCP proxy for the load balancer, and clients for the users. One goroutine owns each model.
package host

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/wire"
)

// model is an emulator model that a loop drives. Next returns the time at which Advance must be called.
type model interface {
	Next() units.Microseconds
	Advance(now units.Microseconds)
}

// loop owns a model. All other goroutines access the model by functions that they pass to the loop. After each
// batch of functions, flush processes their effects; if it fails, onError is called and the loop ends.
type loop struct {
	model   model
	start   time.Time
	inbox   chan request
	flush   func(now units.Microseconds) error
	onError func(error)
}

type request struct {
	run  func(now units.Microseconds)
	done chan struct{}
}

const (
	inboxSize = 4096 // requests; senders block when it is full
	batchSize = 512  // maximum number of requests per flush
)

func newLoop(m model, flush func(now units.Microseconds) error, onError func(error)) *loop {
	return &loop{model: m, start: time.Now(), inbox: make(chan request, inboxSize), flush: flush, onError: onError}
}

func (l *loop) now() units.Microseconds {
	return units.Microseconds(time.Since(l.start).Microseconds())
}

// run drives the model until the context ends.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := max(l.model.Next()-l.now(), 0)
		timer.Reset(time.Duration(min(wait, 3600*units.Second)) * time.Microsecond)
		var batch []request
		select {
		case <-ctx.Done():
			return
		case r := <-l.inbox:
			batch = append(batch, r)
		case <-timer.C:
		}
		now := l.now()
		l.model.Advance(now)
		for i := 0; i < len(batch); i++ {
			batch[i].run(now)
			if len(batch) < batchSize {
				select {
				case r := <-l.inbox:
					batch = append(batch, r)
				default:
				}
			}
		}
		// No response may be sent before the effects that it promises have been flushed, e.g. stored on disk.
		if err := l.flush(l.now()); err != nil {
			l.onError(err)
			return
		}
		for _, r := range batch {
			close(r.done)
		}
	}
}

// do runs a function on the model's goroutine and waits until its effects have been flushed. It returns false if
// the context ended first.
func (l *loop) do(ctx context.Context, f func(now units.Microseconds)) bool {
	r := request{f, make(chan struct{})}
	select {
	case l.inbox <- r:
	case <-ctx.Done():
		return false
	}
	select {
	case <-r.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// enqueue runs a function on the model's goroutine without waiting for it.
func (l *loop) enqueue(ctx context.Context, f func(now units.Microseconds)) {
	select {
	case l.inbox <- request{f, make(chan struct{})}:
	case <-ctx.Done():
	}
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, code int, body any) {
	out, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	w.WriteHeader(code)
	_, _ = w.Write(out) // fails only if the client has disconnected
}

// writeProblem writes a response with a status code and a reason.
func writeProblem(w http.ResponseWriter, code int, why string) {
	writeJSON(w, code, wire.Problem{Error: why})
}

// maxBody limits bodies, in bytes. It exceeds the largest request of the protocol, a transaction of 64 KiB of
// keys and values with the JSON around them.
const maxBody = 1 << 20

// readJSON decodes the JSON body of a request. On failure, it responds with 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(b, into)
	}
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "malformed")
		return false
	}
	return true
}

// newServer returns an HTTP server with timeouts and a bound on the size of headers.
func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10}
}
