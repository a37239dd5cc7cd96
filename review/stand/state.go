package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// State is a stand-in of the state service, as the protocol describes it: keys, transactions, leases and
// watches, with both rate limits. It has one listener for each controller, so that one alone can be refused.
type State struct {
	mu       sync.Mutex
	rev      uint64
	keys     map[string]*stateKey
	history  []stateEvent
	trimmed  uint64 // changes up to this revision are no longer in history
	leases   map[uint64]*stateLease
	lastPass uint64
	changed  chan struct{} // closed and replaced with each change
	limits   StateLimits
	requests bucket
	writes   bucket
	refused  map[string]bool // controllers that alone get 503
}

// StateLimits are the limits of the settings.
type StateLimits struct {
	RPS, WriteRPS float64
	ValueKB       float64
	TxnOps        int
}

type stateKey struct {
	value json.RawMessage
	stamp uint64
	pass  uint64
}

type stateLease struct {
	ttl  time.Duration
	ends time.Time
}

type stateEvent struct {
	Write  string          `json:"write,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

// bucket limits a rate, with a burst of one second's worth.
type bucket struct {
	credit float64
	at     time.Time
}

func (b *bucket) take(n, rate float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.credit = rate
	} else {
		b.credit = min(rate, b.credit+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.credit < n {
		return false
	}
	b.credit -= n
	return true
}

// NewState returns an empty state service.
func NewState(limits StateLimits) *State {
	s := &State{keys: map[string]*stateKey{}, leases: map[uint64]*stateLease{}, changed: make(chan struct{}), limits: limits, refused: map[string]bool{}}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.mu.Lock()
			s.endLeases(time.Now())
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *State) endLeases(now time.Time) {
	for pass, lease := range s.leases {
		if now.After(lease.ends.Add(20 * time.Millisecond)) { // up to 100 ms late, never early
			s.endLease(pass)
		}
	}
}

func (s *State) endLease(pass uint64) {
	delete(s.leases, pass)
	var attached []string
	for key, k := range s.keys {
		if k.pass == pass {
			attached = append(attached, key)
		}
	}
	if len(attached) == 0 {
		return
	}
	sort.Strings(attached)
	s.rev++
	for _, key := range attached {
		delete(s.keys, key)
		s.history = append(s.history, stateEvent{Remove: key, Stamp: s.rev})
	}
	s.notify()
}

func (s *State) notify() {
	for len(s.history) > 10_000 {
		s.trimmed = s.history[0].Stamp
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Refuse makes the service refuse one controller alone, or serve it again.
func (s *State) Refuse(client string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[client] = refuse
	close(s.changed)
	s.changed = make(chan struct{})
}

// Serve serves one controller and returns the address.
func (s *State) Serve(client string) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, client) }))
	}()
	return l.Addr().String(), nil
}

func reply(w http.ResponseWriter, code int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(code)
	_, _ = w.Write(encoded)
}

type problem struct {
	Error string `json:"error"`
}

// admit answers requests that are not served. The caller holds the lock.
func (s *State) admit(w http.ResponseWriter, client string) bool {
	switch {
	case s.refused[client]:
		s.mu.Unlock()
		reply(w, 503, problem{"not served"})
	case !s.requests.take(1, s.limits.RPS):
		s.mu.Unlock()
		reply(w, 429, problem{"too many requests"})
	default:
		return true
	}
	return false
}

func (s *State) handle(w http.ResponseWriter, r *http.Request, client string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10+1))
	if err != nil || len(body) > 64<<10 {
		reply(w, 400, problem{"body"})
		return
	}
	path := r.URL.Path
	switch {
	case r.Method == "POST" && path == "/commit":
		s.commit(w, client, body)
	case r.Method == "GET" && path == "/watch":
		s.watch(w, r, client)
	case r.Method == "GET" && path == "/keys":
		s.list(w, r, client)
	case r.Method == "GET" && strings.HasPrefix(path, "/keys/"):
		s.get(w, client, strings.TrimPrefix(path, "/keys/"))
	case strings.HasPrefix(path, "/holds"):
		s.hold(w, r, client, body)
	default:
		reply(w, 404, problem{"path"})
	}
}

func (s *State) get(w http.ResponseWriter, client, key string) {
	s.mu.Lock()
	if !s.admit(w, client) {
		return
	}
	k, rev := s.keys[key], s.rev
	s.mu.Unlock()
	if k == nil {
		reply(w, 404, map[string]uint64{"ledger_rev": rev})
		return
	}
	reply(w, 200, map[string]any{"k": key, "data": k.value, "stamp": k.stamp, "pass": k.pass})
}

func (s *State) list(w http.ResponseWriter, r *http.Request, client string) {
	query := r.URL.Query()
	page := 1000
	if v := query.Get("page"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 {
			reply(w, 400, problem{"page"})
			return
		}
		page = min(page, n)
	}
	s.mu.Lock()
	if !s.admit(w, client) {
		return
	}
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, query.Get("starts")) && key > query.Get("after") {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	type entry struct {
		K     string          `json:"k"`
		Data  json.RawMessage `json:"data"`
		Stamp uint64          `json:"stamp"`
	}
	out := struct {
		Entries   []entry `json:"entries"`
		Truncated bool    `json:"truncated"`
		Rev       uint64  `json:"ledger_rev"`
	}{Entries: []entry{}, Rev: s.rev}
	size := 0
	for _, key := range names {
		k := s.keys[key]
		size += len(key) + len(k.value)
		if len(out.Entries) == page || size > 512<<10 {
			out.Truncated = true
			break
		}
		out.Entries = append(out.Entries, entry{key, k.value, k.stamp})
	}
	s.mu.Unlock()
	reply(w, 200, out)
}

type commitBody struct {
	Guards []struct {
		K     string `json:"k"`
		Stamp uint64 `json:"stamp"`
	} `json:"guards"`
	Apply []struct {
		Write  string          `json:"write"`
		Data   json.RawMessage `json:"data"`
		Pass   uint64          `json:"pass"`
		Remove string          `json:"remove"`
	} `json:"apply"`
}

func (s *State) commit(w http.ResponseWriter, client string, body []byte) {
	code, answer := s.apply(client, body)
	reply(w, code, answer)
}

func (s *State) apply(client string, body []byte) (int, any) {
	var txn commitBody
	if json.Unmarshal(body, &txn) != nil {
		return 400, problem{"malformed"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.refused[client]:
		return 503, problem{"not served"}
	case !s.requests.take(1, s.limits.RPS), !s.writes.take(float64(len(txn.Apply)), s.limits.WriteRPS):
		return 429, problem{"too many requests"}
	case len(txn.Apply) > s.limits.TxnOps || len(txn.Guards) > 4*s.limits.TxnOps:
		return 400, problem{"too many changes"}
	}
	s.endLeases(time.Now())
	for _, change := range txn.Apply {
		switch {
		case (change.Write == "") == (change.Remove == "") || len(change.Data) > int(s.limits.ValueKB*1024):
			return 400, problem{"change"}
		case change.Write != "" && change.Pass != 0 && s.leases[change.Pass] == nil:
			return 400, problem{"no such lease"}
		}
	}
	failed := []string{}
	for _, g := range txn.Guards {
		var stamp uint64
		if k := s.keys[g.K]; k != nil {
			stamp = k.stamp
		}
		if stamp != g.Stamp {
			failed = append(failed, g.K)
		}
	}
	if len(failed) > 0 {
		return 409, map[string]any{"failed": failed, "ledger_rev": s.rev}
	}
	before := len(s.history)
	s.rev++
	for _, change := range txn.Apply {
		if change.Write != "" {
			s.keys[change.Write] = &stateKey{change.Data, s.rev, change.Pass}
			s.history = append(s.history, stateEvent{Write: change.Write, Data: change.Data, Stamp: s.rev})
		} else if s.keys[change.Remove] != nil {
			delete(s.keys, change.Remove)
			s.history = append(s.history, stateEvent{Remove: change.Remove, Stamp: s.rev})
		}
	}
	if len(s.history) == before {
		s.rev-- // nothing has changed
	} else {
		s.notify()
	}
	return 200, map[string]uint64{"ledger_rev": s.rev}
}

func (s *State) hold(w http.ResponseWriter, r *http.Request, client string, body []byte) {
	s.mu.Lock()
	if !s.admit(w, client) {
		return
	}
	defer s.mu.Unlock()
	now := time.Now()
	s.endLeases(now)
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 && r.Method == "POST" {
		var b struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.Unmarshal(body, &b) != nil || b.TTL < 100 || b.TTL > 600_000 {
			reply(w, 400, problem{"ttl_ms"})
			return
		}
		s.lastPass++
		ttl := time.Duration(b.TTL) * time.Millisecond
		s.leases[s.lastPass] = &stateLease{ttl, now.Add(ttl)}
		reply(w, 200, map[string]uint64{"pass": s.lastPass})
		return
	}
	if len(parts) < 2 {
		reply(w, 400, problem{"path"})
		return
	}
	pass, _ := strconv.ParseUint(parts[1], 10, 64)
	lease := s.leases[pass]
	switch {
	case lease == nil:
		reply(w, 404, problem{"no such lease"})
		return
	case r.Method == "DELETE":
		s.endLease(pass)
	default:
		lease.ends = now.Add(lease.ttl)
	}
	reply(w, 200, map[string]uint64{"pass": pass})
}

func (s *State) watch(w http.ResponseWriter, r *http.Request, client string) {
	query, err := url.ParseQuery(r.URL.RawQuery)
	after, err2 := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || err2 != nil {
		reply(w, 400, problem{"after"})
		return
	}
	s.mu.Lock()
	if !s.admit(w, client) {
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for expired := wait == 0; ; {
		if after < s.trimmed {
			s.mu.Unlock()
			reply(w, 410, problem{"too old"})
			return
		}
		events := []stateEvent{}
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Stamp > after })
		for _, e := range s.history[from:] {
			if strings.HasPrefix(e.Write+e.Remove, query.Get("starts")) {
				events = append(events, e)
			}
		}
		served := !s.refused[client] // open watches wait in an outage
		if served && (len(events) > 0 || expired) {
			rev := s.rev
			s.mu.Unlock()
			reply(w, 200, map[string]any{"ledger_rev": rev, "events": events})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
}
