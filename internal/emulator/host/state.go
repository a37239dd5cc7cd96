package host

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/wire"
)

// State serves the state service over HTTP.
type State struct {
	loop         *loop
	kv           *kv.Service
	disk         *Disk // nil: data is in memory only
	latency      time.Duration
	extraLatency atomic.Int64 // microseconds, added to the latency of each response
	watches      map[uint64]chan kv.WatchResponse
	lastWatchID  uint64
	responses    atomic.Uint64
	log          *slog.Logger

	// Injected faults of transactions: the times at which they end, in microseconds of the loop's clock.
	lateUntil, unansweredUntil atomic.Int64
	faultShare                 atomic.Uint64 // share of the transactions that they affect, as the bits of a float64
}

// NewState returns a state service with the data of disk, which may be nil. onError is called if a write to the
// disk fails; the service then stops.
func NewState(l kv.Limits, latency time.Duration, disk *Disk, rng *rand.Rand, log *slog.Logger, onError func(error)) (*State, error) {
	s := &State{kv: kv.New(l, rng), disk: disk, latency: latency, watches: map[uint64]chan kv.WatchResponse{}, log: log}
	s.loop = newLoop(s.kv, s.flush, onError)
	if disk != nil {
		rev, lastLease, items, leases, err := disk.Read()
		if err != nil {
			return nil, err
		}
		s.kv.Restore(0, rev, lastLease, items, leases)
		s.kv.TrackChanges()
	}
	return s, nil
}

// Run drives the model until the context ends.
func (s *State) Run(ctx context.Context) { s.loop.run(ctx) }

// flush stores the changes on disk, then passes the responses to the watches.
func (s *State) flush(units.Microseconds) error {
	if s.disk != nil {
		if err := s.disk.Write(s.kv); err != nil {
			return err
		}
	}
	for _, c := range s.kv.Drain() {
		if ch := s.watches[c.ID]; ch != nil {
			delete(s.watches, c.ID)
			ch <- c
		}
	}
	return nil
}

// Serve serves one client's requests on a listener.
func (s *State) Serve(l net.Listener, client string) error {
	return newServer(s.Handler(client)).Serve(l)
}

// Do runs f on the model and waits until its effects are processed.
func (s *State) Do(f func(now units.Microseconds, m *kv.Service)) {
	s.loop.do(context.Background(), func(now units.Microseconds) { f(now, s.kv) })
}

// SetExtraLatency adds d to the latency of each response.
func (s *State) SetExtraLatency(d time.Duration) { s.extraLatency.Store(d.Microseconds()) }

// InjectTxnFaults injects faults into a share of the transactions from now on: for the duration late, they are
// applied late and get no response; for the duration unanswered, they are applied at once and get no response.
func (s *State) InjectTxnFaults(late, unanswered time.Duration, share float64) {
	s.faultShare.Store(math.Float64bits(share))
	s.lateUntil.Store(int64(s.loop.now()) + late.Microseconds())
	s.unansweredUntil.Store(int64(s.loop.now()) + unanswered.Microseconds())
}

// faultApplies draws whether a fault that lasts until the given time affects a transaction now.
func (s *State) faultApplies(until *atomic.Int64) bool {
	return int64(s.loop.now()) < until.Load() && rand.Float64() < math.Float64frombits(s.faultShare.Load())
}

// drawDelay draws the delay of a transaction that is applied late: 2 to 12 s.
func (s *State) drawDelay() time.Duration {
	return time.Duration((2 + 10*rand.Float64()) * float64(time.Second))
}

// Responses returns the number of responses.
func (s *State) Responses() uint64 { return s.responses.Load() }

// simulateLatency counts a response and sleeps for its latency: 60% to 140% of the configured and the extra
// latency together.
func (s *State) simulateLatency() {
	s.responses.Add(1)
	if d := s.latency + time.Duration(s.extraLatency.Load())*time.Microsecond; d > 0 {
		time.Sleep(time.Duration(float64(d) * (0.6 + 0.8*rand.Float64())))
	}
}

// Handler returns the handler for one client. The name identifies the client when its requests are refused.
func (s *State) Handler(client string) http.Handler {
	r := chi.NewRouter()
	r.Get(wire.KeysPath+"/*", func(w http.ResponseWriter, req *http.Request) {
		key, err := url.PathUnescape(strings.TrimPrefix(req.URL.EscapedPath(), wire.KeysPath+"/"))
		if err != nil || !kv.ValidKey(key) {
			writeProblem(w, http.StatusBadRequest, "key")
			return
		}
		var it kv.Item
		var rev uint64
		var code int
		if !s.loop.do(req.Context(), func(now units.Microseconds) { it, rev, code = s.kv.Get(now, client, key) }) {
			return
		}
		s.simulateLatency()
		if code == http.StatusOK {
			writeJSON(w, code, wire.Entry{Key: it.Key, Value: it.Value, Version: it.Version, Lease: it.Lease})
			return
		}
		writeRefusal(w, code, rev)
	})
	r.Get(wire.KeysPath, func(w http.ResponseWriter, req *http.Request) {
		q := req.URL.Query()
		page, err := strconv.Atoi(q.Get("page"))
		if q.Get("page") == "" {
			page, err = 0, nil
		}
		if err != nil {
			page = -1 // the model refuses it, and counts it against the rate limit
		}
		var l kv.Listing
		if !s.loop.do(req.Context(), func(now units.Microseconds) { l = s.kv.List(now, client, q.Get("starts"), q.Get("after"), page) }) {
			return
		}
		s.simulateLatency()
		if l.Code != http.StatusOK {
			writeRefusal(w, l.Code, 0)
			return
		}
		out := wire.Listing{Items: make([]wire.Item, 0, len(l.Items)), More: l.More, Revision: l.Rev}
		for _, it := range l.Items {
			out.Items = append(out.Items, wire.Item{Key: it.Key, Value: it.Value, Version: it.Version})
		}
		writeJSON(w, http.StatusOK, out)
	})
	r.Post(wire.CommitPath, func(w http.ResponseWriter, req *http.Request) { s.commit(w, req, client) })
	r.Post(wire.LeasesPath, func(w http.ResponseWriter, req *http.Request) {
		var b wire.LeaseRequest
		if !readJSON(w, req, &b) {
			return
		}
		var id uint64
		var code int
		if !s.loop.do(req.Context(), func(now units.Microseconds) {
			id, code = s.kv.OpenLease(now, client, units.Microseconds(b.TTLMillis)*1000)
		}) {
			return
		}
		s.simulateLatency()
		if code != http.StatusOK {
			writeRefusal(w, code, 0)
			return
		}
		writeJSON(w, code, wire.Lease{ID: id})
	})
	r.Post(wire.LeasesPath+"/{id}/extend", func(w http.ResponseWriter, req *http.Request) { s.lease(w, req, client, (*kv.Service).RenewLease) })
	r.Delete(wire.LeasesPath+"/{id}", func(w http.ResponseWriter, req *http.Request) { s.lease(w, req, client, (*kv.Service).CloseLease) })
	r.Get(wire.WatchPath, func(w http.ResponseWriter, req *http.Request) { s.watch(w, req, client) })
	return r
}

func (s *State) lease(w http.ResponseWriter, req *http.Request, client string, f func(*kv.Service, units.Microseconds, string, uint64) int) {
	id, err := strconv.ParseUint(chi.URLParam(req, "id"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "lease")
		return
	}
	var code int
	if !s.loop.do(req.Context(), func(now units.Microseconds) { code = f(s.kv, now, client, id) }) {
		return
	}
	s.simulateLatency()
	if code != http.StatusOK {
		writeRefusal(w, code, 0)
		return
	}
	writeJSON(w, code, wire.Lease{ID: id})
}

func (s *State) commit(w http.ResponseWriter, req *http.Request, client string) {
	var b wire.CommitRequest
	if !readJSON(w, req, &b) {
		return
	}
	var t kv.Txn
	for _, g := range b.If {
		t.Guards = append(t.Guards, kv.Guard{Key: g.Key, Version: g.Version})
	}
	for _, c := range b.Then {
		if (c.Put == "") == (c.Delete == "") || c.Put != "" && c.Value == nil {
			writeProblem(w, http.StatusBadRequest, "change")
			return
		}
		t.Changes = append(t.Changes, kv.Change{Key: c.Put + c.Delete, Value: c.Value, Lease: c.Lease})
	}
	if s.faultApplies(&s.lateUntil) {
		time.AfterFunc(s.drawDelay(), func() {
			s.loop.enqueue(context.Background(), func(now units.Microseconds) { s.kv.Commit(now, client, t) })
		})
		<-req.Context().Done()
		return
	}
	var res kv.Result
	if !s.loop.do(req.Context(), func(now units.Microseconds) { res = s.kv.Commit(now, client, t) }) {
		return
	}
	if s.faultApplies(&s.unansweredUntil) {
		<-req.Context().Done()
		return
	}
	s.simulateLatency()
	switch {
	case res.NoLease:
		writeProblem(w, res.Code, wire.NoSuchLease)
	case res.Code == http.StatusOK || res.Code == http.StatusConflict:
		writeJSON(w, res.Code, wire.CommitResult{Revision: res.Rev, Failed: res.Failed})
	default:
		writeRefusal(w, res.Code, res.Rev)
	}
}

func (s *State) watch(w http.ResponseWriter, req *http.Request, client string) {
	query := req.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait := int64(0)
	if v := query.Get("wait_ms"); v != "" && err == nil {
		wait, err = strconv.ParseInt(v, 10, 64)
	}
	if err != nil || wait < 0 {
		writeProblem(w, http.StatusBadRequest, "after or wait_ms")
		return
	}
	ch := make(chan kv.WatchResponse, 1)
	var id uint64
	if !s.loop.do(req.Context(), func(now units.Microseconds) {
		s.lastWatchID++
		id = s.lastWatchID
		s.watches[id] = ch
		s.kv.Watch(now, id, client, query.Get("starts"), after, units.Microseconds(wait)*1000)
	}) {
		return
	}
	select {
	case c := <-ch:
		s.simulateLatency()
		if c.Code != http.StatusOK {
			writeRefusal(w, c.Code, 0)
			return
		}
		out := wire.WatchResponse{Revision: c.Rev, Events: make([]wire.Event, 0, len(c.Events))}
		for _, e := range c.Events {
			if e.Value != nil {
				out.Events = append(out.Events, wire.Event{Put: e.Key, Value: e.Value, Version: e.Version})
			} else {
				out.Events = append(out.Events, wire.Event{Delete: e.Key, Version: e.Version})
			}
		}
		writeJSON(w, http.StatusOK, out)
	case <-req.Context().Done():
		s.loop.enqueue(context.Background(), func(units.Microseconds) {
			delete(s.watches, id)
			s.kv.CloseWatch(id)
		})
	}
}

func writeRefusal(w http.ResponseWriter, code int, rev uint64) {
	switch code {
	case http.StatusNotFound:
		writeJSON(w, code, wire.Revision{Revision: rev})
	default:
		writeProblem(w, code, strings.ToLower(http.StatusText(code)))
	}
}
