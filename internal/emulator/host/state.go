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
	loop    *loop
	kv      *kv.Service
	disk    *Disk // nil: nothing outlives the process
	latency time.Duration
	slow    atomic.Int64 // microseconds that every answer takes longer
	watches map[uint64]chan kv.WatchResponse
	next    uint64
	answers atomic.Uint64
	log     *slog.Logger

	// misfortunes of transactions, until when
	late, unanswered atomic.Int64
	share            atomic.Uint64 // of the transactions on which these fall, as the bits of a float
}

// NewState returns a state service. What disk holds is read first.
func NewState(l kv.Limits, latency time.Duration, disk *Disk, rng *rand.Rand, log *slog.Logger, failed func(error)) (*State, error) {
	s := &State{kv: kv.New(l, rng), disk: disk, latency: latency, watches: map[uint64]chan kv.WatchResponse{}, log: log}
	s.loop = newLoop(s.kv, s.settle, failed)
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

// Run serves until the context ends.
func (s *State) Run(ctx context.Context) { s.loop.run(ctx) }

// settle stores what has changed, then hands watches their answers.
func (s *State) settle(units.Microseconds) error {
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

// Serve answers one client's requests on a listener.
func (s *State) Serve(l net.Listener, client string) error { return server(s.Handler(client)).Serve(l) }

// Do runs a function on the model, for faults by command.
func (s *State) Do(f func(now units.Microseconds, m *kv.Service)) {
	s.loop.do(context.Background(), func(now units.Microseconds) { f(now, s.kv) })
}

// SetExtraLatency makes every answer take longer by d.
func (s *State) SetExtraLatency(d time.Duration) { s.slow.Store(d.Microseconds()) }

// InjectTxnFaults lets a share of transactions be applied late until one time, and be applied
// without an answer until another.
func (s *State) InjectTxnFaults(late, unanswered time.Duration, share float64) {
	s.share.Store(math.Float64bits(share))
	s.late.Store(int64(s.loop.now()) + late.Microseconds())
	s.unanswered.Store(int64(s.loop.now()) + unanswered.Microseconds())
}

// falls reports whether a misfortune that lasts until a time falls on a transaction now.
func (s *State) falls(until *atomic.Int64) bool {
	return int64(s.loop.now()) < until.Load() && rand.Float64() < math.Float64frombits(s.share.Load())
}

// lateBy draws how late a transaction is carried out that gets no answer.
func (s *State) lateBy() time.Duration {
	return time.Duration((2 + 10*rand.Float64()) * float64(time.Second))
}

// Responses returns how many requests were answered.
func (s *State) Responses() uint64 { return s.answers.Load() }

// pause is the time that the service takes.
func (s *State) pause() {
	s.answers.Add(1)
	if d := s.latency + time.Duration(s.slow.Load())*time.Microsecond; d > 0 {
		time.Sleep(time.Duration(float64(d) * (0.6 + 0.8*rand.Float64())))
	}
}

// Handler serves one client, by whose name it can be refused.
func (s *State) Handler(client string) http.Handler {
	r := chi.NewRouter()
	r.Get(wire.KeysPath+"/*", func(w http.ResponseWriter, req *http.Request) {
		key, err := url.PathUnescape(strings.TrimPrefix(req.URL.EscapedPath(), wire.KeysPath+"/"))
		if err != nil || !kv.ValidKey(key) {
			problem(w, http.StatusBadRequest, "key")
			return
		}
		var it kv.Item
		var rev uint64
		var code int
		if !s.loop.do(req.Context(), func(now units.Microseconds) { it, rev, code = s.kv.Get(now, client, key) }) {
			return
		}
		s.pause()
		if code == http.StatusOK {
			answer(w, code, wire.Entry{Key: it.Key, Value: it.Value, Version: it.Version, Lease: it.Lease})
			return
		}
		refuse(w, code, rev)
	})
	r.Get(wire.KeysPath, func(w http.ResponseWriter, req *http.Request) {
		q := req.URL.Query()
		page, err := strconv.Atoi(q.Get("page"))
		if q.Get("page") == "" {
			page, err = 0, nil
		}
		if err != nil {
			page = -1 // malformed, but counted
		}
		var l kv.Listing
		if !s.loop.do(req.Context(), func(now units.Microseconds) { l = s.kv.List(now, client, q.Get("starts"), q.Get("after"), page) }) {
			return
		}
		s.pause()
		if l.Code != http.StatusOK {
			refuse(w, l.Code, 0)
			return
		}
		out := wire.Listing{Items: make([]wire.Item, 0, len(l.Items)), More: l.More, Revision: l.Rev}
		for _, it := range l.Items {
			out.Items = append(out.Items, wire.Item{Key: it.Key, Value: it.Value, Version: it.Version})
		}
		answer(w, http.StatusOK, out)
	})
	r.Post(wire.CommitPath, func(w http.ResponseWriter, req *http.Request) { s.commit(w, req, client) })
	r.Post(wire.LeasesPath, func(w http.ResponseWriter, req *http.Request) {
		var b wire.LeaseRequest
		if !read(w, req, &b) {
			return
		}
		var id uint64
		var code int
		if !s.loop.do(req.Context(), func(now units.Microseconds) {
			id, code = s.kv.OpenLease(now, client, units.Microseconds(b.TTLMillis)*1000)
		}) {
			return
		}
		s.pause()
		if code != http.StatusOK {
			refuse(w, code, 0)
			return
		}
		answer(w, code, wire.Lease{ID: id})
	})
	r.Post(wire.LeasesPath+"/{id}/extend", func(w http.ResponseWriter, req *http.Request) { s.lease(w, req, client, (*kv.Service).RenewLease) })
	r.Delete(wire.LeasesPath+"/{id}", func(w http.ResponseWriter, req *http.Request) { s.lease(w, req, client, (*kv.Service).CloseLease) })
	r.Get(wire.WatchPath, func(w http.ResponseWriter, req *http.Request) { s.watch(w, req, client) })
	return r
}

func (s *State) lease(w http.ResponseWriter, req *http.Request, client string, f func(*kv.Service, units.Microseconds, string, uint64) int) {
	id, err := strconv.ParseUint(chi.URLParam(req, "id"), 10, 64)
	if err != nil {
		problem(w, http.StatusBadRequest, "lease")
		return
	}
	var code int
	if !s.loop.do(req.Context(), func(now units.Microseconds) { code = f(s.kv, now, client, id) }) {
		return
	}
	s.pause()
	if code != http.StatusOK {
		refuse(w, code, 0)
		return
	}
	answer(w, code, wire.Lease{ID: id})
}

func (s *State) commit(w http.ResponseWriter, req *http.Request, client string) {
	var b wire.Commit
	if !read(w, req, &b) {
		return
	}
	var t kv.Txn
	for _, g := range b.If {
		t.Guards = append(t.Guards, kv.Guard{Key: g.Key, Version: g.Version})
	}
	for _, c := range b.Then {
		if (c.Put == "") == (c.Delete == "") || c.Put != "" && c.Value == nil {
			problem(w, http.StatusBadRequest, "change")
			return
		}
		t.Changes = append(t.Changes, kv.Change{Key: c.Put + c.Delete, Value: c.Value, Lease: c.Lease})
	}
	if s.falls(&s.late) {
		time.AfterFunc(s.lateBy(), func() {
			s.loop.tell(context.Background(), func(now units.Microseconds) { s.kv.Commit(now, client, t) })
		})
		<-req.Context().Done()
		return
	}
	var res kv.Result
	if !s.loop.do(req.Context(), func(now units.Microseconds) { res = s.kv.Commit(now, client, t) }) {
		return
	}
	if s.falls(&s.unanswered) {
		<-req.Context().Done()
		return
	}
	s.pause()
	switch {
	case res.NoLease:
		problem(w, res.Code, wire.NoSuchLease)
	case res.Code == http.StatusOK || res.Code == http.StatusConflict:
		answer(w, res.Code, wire.CommitResult{Revision: res.Rev, Failed: res.Failed})
	default:
		refuse(w, res.Code, res.Rev)
	}
}

func (s *State) watch(w http.ResponseWriter, req *http.Request, client string) {
	q := req.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait := int64(0)
	if v := q.Get("wait_ms"); v != "" && err == nil {
		wait, err = strconv.ParseInt(v, 10, 64)
	}
	if err != nil || wait < 0 {
		problem(w, http.StatusBadRequest, "after or wait_ms")
		return
	}
	ch := make(chan kv.WatchResponse, 1)
	var id uint64
	if !s.loop.do(req.Context(), func(now units.Microseconds) {
		s.next++
		id = s.next
		s.watches[id] = ch
		s.kv.Watch(now, id, client, q.Get("starts"), after, units.Microseconds(wait)*1000)
	}) {
		return
	}
	select {
	case c := <-ch:
		s.pause()
		if c.Code != http.StatusOK {
			refuse(w, c.Code, 0)
			return
		}
		out := wire.Changes{Revision: c.Rev, Events: make([]wire.Event, 0, len(c.Events))}
		for _, e := range c.Events {
			if e.Value != nil {
				out.Events = append(out.Events, wire.Event{Put: e.Key, Value: e.Value, Version: e.Version})
			} else {
				out.Events = append(out.Events, wire.Event{Delete: e.Key, Version: e.Version})
			}
		}
		answer(w, http.StatusOK, out)
	case <-req.Context().Done():
		s.loop.tell(context.Background(), func(units.Microseconds) {
			delete(s.watches, id)
			s.kv.CloseWatch(id)
		})
	}
}

func refuse(w http.ResponseWriter, code int, rev uint64) {
	switch code {
	case http.StatusNotFound:
		answer(w, code, wire.Revision{Revision: rev})
	default:
		problem(w, code, strings.ToLower(http.StatusText(code)))
	}
}
