// Package host drives the emulator's models in real time: HTTP servers for the
// state service, the cloud and the workers, a TCP proxy for the load balancer,
// and clients for the users. Each model is owned by one goroutine.
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

// model is what a loop drives.
type model interface {
	Next() units.Microseconds
	Advance(now units.Microseconds)
}

// loop owns a model. What is done to it is handed to the loop as a function;
// after each batch of them, settle takes up the effects.
type loop struct {
	m      model
	began  time.Time
	inbox  chan request
	settle func(now units.Microseconds) error
	failed func(error)
}

type request struct {
	do   func(now units.Microseconds)
	done chan struct{}
}

const (
	inboxSize = 4096
	batchSize = 512 // requests that are settled together
)

func newLoop(m model, settle func(now units.Microseconds) error, failed func(error)) *loop {
	return &loop{m: m, began: time.Now(), inbox: make(chan request, inboxSize), settle: settle, failed: failed}
}

func (l *loop) now() units.Microseconds {
	return units.Microseconds(time.Since(l.began).Microseconds())
}

// run drives the model until the context ends.
func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := max(l.m.Next()-l.now(), 0)
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
		l.m.Advance(now)
		for i := 0; i < len(batch); i++ {
			batch[i].do(now)
			if len(batch) < batchSize {
				select {
				case r := <-l.inbox:
					batch = append(batch, r)
				default:
				}
			}
		}
		// Nobody is answered before what the answer promises is settled.
		if err := l.settle(l.now()); err != nil {
			l.failed(err)
			return
		}
		for _, r := range batch {
			close(r.done)
		}
	}
}

// do runs a function on the model's goroutine and waits until it is settled; it
// reports whether it was, before the context ended.
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

// tell runs a function on the model's goroutine, some time.
func (l *loop) tell(ctx context.Context, f func(now units.Microseconds)) {
	select {
	case l.inbox <- request{f, make(chan struct{})}:
	case <-ctx.Done():
	}
}

// answer writes a JSON answer.
func answer(w http.ResponseWriter, code int, body any) {
	out, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	w.WriteHeader(code)
	_, _ = w.Write(out) // the client may be gone
}

// problem answers with a status and a reason.
func problem(w http.ResponseWriter, code int, why string) { answer(w, code, wire.Problem{Error: why}) }

// maxBody is more than any request that the protocol allows: a transaction's 64 KiB
// of keys and values and the JSON round them.
const maxBody = 1 << 20

// read reads a JSON body of a request, or answers 400.
func read(w http.ResponseWriter, r *http.Request, into any) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(b, into)
	}
	if err != nil {
		problem(w, http.StatusBadRequest, "malformed")
		return false
	}
	return true
}

// server answers HTTP until its listener closes.
func server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10}
}
