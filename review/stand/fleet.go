package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Job is what users upload of a job for the workers.
type Job struct {
	ID       string
	Tasks    int
	Cores    float64
	MemoryGB float64
	Image    string
	ImageGB  float64
	Run      time.Duration // of each task; 0 for services
	Service  bool
	Bookmark time.Duration
	Stow     time.Duration
	Estimate time.Duration // its user's, if longer than Run
	Curtain  time.Duration // deadline; 0: none
	Team     string

	mu   sync.Mutex
	done map[int]bool // tasks that have completed: their results are kept
}

// Rig is a machine type.
type Rig struct {
	Sku      string   `json:"sku"`
	Cores    float64  `json:"cores"`
	Cards    float64  `json:"cards"`
	MemoryGB float64  `json:"memory_gb"`
	CacheGB  float64  `json:"cache_gb"`
	Fetch    float64  `json:"fetch_gb_per_s"`
	Price    float64  `json:"price"`
	LowPrice float64  `json:"low_price"`
	Startup  float64  `json:"startup_s"`
	Halls    []string `json:"halls"`
}

// Fleet is a stand-in of the cloud with its machines, and of what users upload for them.
type Fleet struct {
	Rigs     []Rig
	Record   *Record
	Nodes    []string          // controllers in the order in which workers try them
	Address  map[string]string // of each controller
	ReportS  float64
	LeaseS   float64
	ListLagS float64
	Capacity int
	Delay    time.Duration // one way between a machine and a controller
	Boot     time.Duration
	// OnStart and OnEnd are told when a task is on a machine, with its image, and when it no longer is.
	OnStart, OnEnd func(w *Worker, cue string)
	// OnAnswer is told of each answer that a worker has got to a report.
	OnAnswer func(w *Worker, code int, node string, tally uint64, sent time.Time, body []byte)

	mu       sync.Mutex
	jobs     map[string]*Job
	machines map[string]*host
	bookings map[string][]string
	last     int
	history  []listing
	rate     bucket
	RPS      float64
}

type host struct {
	name, rig, hall string
	standby         bool
	rented          time.Time
	up              bool
	failed          bool
	worker          *Worker
	address         string
}

type listing struct {
	at    time.Time
	hosts []listed
}

type listed struct {
	Name    string  `json:"name_id"`
	Address string  `json:"address"`
	Rig     string  `json:"rig"`
	Hall    string  `json:"hall"`
	Standby bool    `json:"standby"`
	Status  string  `json:"status"`
	HeldS   float64 `json:"held_s"`
}

// Start begins to serve the cloud's interface and returns its address.
func (f *Fleet) Start() (string, error) {
	f.jobs, f.machines, f.bookings = map[string]*Job{}, map[string]*host{}, map[string][]string{}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(f.handle)) }()
	go func() {
		for range time.Tick(200 * time.Millisecond) {
			f.mu.Lock()
			f.snapshot()
			f.mu.Unlock()
		}
	}()
	return l.Addr().String(), nil
}

func (f *Fleet) snapshot() {
	now := time.Now()
	var hosts []listed
	for _, h := range f.machines {
		status := "starting"
		if h.failed {
			status = "failed"
		} else if h.up {
			status = "running"
		}
		hosts = append(hosts, listed{h.name, h.address, h.rig, h.hall, h.standby, status, now.Sub(h.rented).Seconds()})
	}
	sort.Slice(hosts, func(a, b int) bool { return hosts[a].Name < hosts[b].Name })
	f.history = append(f.history, listing{now, hosts})
	for len(f.history) > 2 && now.Sub(f.history[1].at).Seconds() > 2*f.ListLagS+1 {
		f.history = f.history[1:]
	}
}

// Upload makes a job known to the workers.
func (f *Fleet) Upload(j *Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j.done = map[int]bool{}
	f.jobs[j.ID] = j
}

// Job returns an uploaded job, or nil.
func (f *Fleet) Job(id string) *Job {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobs[id]
}

// Workers returns the workers of all machines that are up, by name.
func (f *Fleet) Workers() []*Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Worker
	for _, h := range f.machines {
		if h.worker != nil {
			out = append(out, h.worker)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

func (f *Fleet) handle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	f.mu.Lock()
	ok := f.rate.takeBurst(f.RPS, 2)
	f.mu.Unlock()
	switch {
	case !ok:
		reply(w, 429, problem{"too many requests"})
	case r.URL.Path == "/machine_types":
		reply(w, 200, map[string]any{"rigs": f.Rigs})
	case r.URL.Path == "/hosts" && r.Method == "POST":
		f.rent(w, body)
	case r.URL.Path == "/hosts/return":
		f.giveBack(w, body)
	case r.URL.Path == "/hosts":
		f.list(w, r)
	default:
		reply(w, 404, problem{"path"})
	}
}

// takeBurst is take for one request, with a burst worth some seconds.
func (b *bucket) takeBurst(rate, seconds float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.credit = rate * seconds
	} else {
		b.credit = min(rate*seconds, b.credit+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

func (f *Fleet) rent(w http.ResponseWriter, body []byte) {
	var b struct {
		Booking, Rig, Hall string
		Standby            bool
		Count              int
	}
	if json.Unmarshal(body, &b) != nil || b.Count < 1 || b.Count > 50 || b.Booking == "" {
		reply(w, 400, problem{"malformed"})
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if names, known := f.bookings[b.Booking]; known {
		reply(w, 200, map[string]any{"stagehands": names})
		return
	}
	names := []string{}
	for range b.Count {
		if len(f.machines) >= f.Capacity {
			break
		}
		f.last++
		h := &host{name: fmt.Sprintf("n-%06d", f.last), rig: b.Rig, hall: b.Hall, standby: b.Standby, rented: time.Now()}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			break
		}
		h.address = l.Addr().String()
		f.machines[h.name] = h
		names = append(names, h.name)
		time.AfterFunc(f.Boot, func() { f.boot(h, l) })
	}
	if len(names) == 0 {
		reply(w, 503, problem{"no capacity"})
		return
	}
	f.bookings[b.Booking] = names
	f.Record.Printf("cloud    rented %v (%s in %s)", names, b.Rig, b.Hall)
	reply(w, 200, map[string]any{"stagehands": names})
}

func (f *Fleet) boot(h *host, l net.Listener) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.machines[h.name] != h {
		_ = l.Close()
		return
	}
	var rig Rig
	for _, r := range f.Rigs {
		if r.Sku == h.rig {
			rig = r
		}
	}
	h.up = true
	h.worker = newWorker(f, h, rig, l)
}

func (f *Fleet) giveBack(w http.ResponseWriter, body []byte) {
	var b struct{ Stagehands []string }
	if json.Unmarshal(body, &b) != nil || len(b.Stagehands) > 100 {
		reply(w, 400, problem{"malformed"})
		return
	}
	f.mu.Lock()
	var gone []*host
	for _, name := range b.Stagehands {
		if h := f.machines[name]; h != nil {
			delete(f.machines, name)
			gone = append(gone, h)
		}
	}
	f.mu.Unlock()
	for _, h := range gone {
		if h.worker != nil {
			h.worker.stop()
		}
		f.Record.Printf("cloud    deleted %s", h.name)
	}
	reply(w, 200, struct{}{})
}

func (f *Fleet) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	page, err := strconv.Atoi(query.Get("page"))
	if err != nil || page > 500 {
		page = 500
	}
	f.mu.Lock()
	var seen []listed
	for _, l := range f.history {
		if time.Since(l.at).Seconds() >= f.ListLagS {
			seen = l.hosts
		}
	}
	f.mu.Unlock()
	out := struct {
		Stagehands []listed `json:"stagehands"`
		Truncated  bool     `json:"truncated"`
	}{Stagehands: []listed{}}
	for _, l := range seen {
		if l.Name <= query.Get("after") {
			continue
		}
		if len(out.Stagehands) == page {
			out.Truncated = true
			break
		}
		out.Stagehands = append(out.Stagehands, l)
	}
	reply(w, 200, out)
}

// Worker is a stand-in of a machine with its worker.
type Worker struct {
	Name, Hall string
	Path       *Path
	fleet      *Fleet
	host       *host
	rig        Rig
	client     *http.Client
	listener   net.Listener

	mu       sync.Mutex
	gone     bool
	hung     bool
	resumed  *sync.Cond
	shift    uint64
	tally    uint64
	baton    uint64
	batonAt  time.Time // when a higher token last counted as a change
	renewed  time.Time // when the last report that got an answer was sent, or the session began
	node     int
	changed  bool
	inFlight bool // a report has no answer yet
	wake     chan struct{}
	tasks    map[string]*task
	refused  []*task // refused attempts of tasks that have another attempt here
	images   map[string]bool
	usedC    float64
	usedM    float64
	// OnCommand, if set, is called when a controller's direct request arrives, also while the machine hangs.
	OnCommand func()
}

type task struct {
	cue    string
	take   uint64
	status string
	why    string
	saved  bool
	job    *Job
	index  int
	on     bool // on the machine, with its image
	began  time.Time
	left   time.Duration // run time left while the machine hangs
	timer  *time.Timer
}

func newWorker(f *Fleet, h *host, rig Rig, l net.Listener) *Worker {
	w := &Worker{Name: h.name, Hall: h.hall, Path: &Path{f.Delay}, fleet: f, host: h, rig: rig, listener: l, shift: 1, renewed: time.Now(),
		node: rand.IntN(len(f.Nodes)), wake: make(chan struct{}, 1), tasks: map[string]*task{}, images: map[string]bool{}, batonAt: time.Now().Add(-time.Hour)}
	w.resumed = sync.NewCond(&w.mu)
	w.client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DialContext: w.Path.Dial, DisableCompression: true, MaxIdleConnsPerHost: 1}}
	server := &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = server.Serve(l) }()
	go w.leaseTimer()
	go w.report()
	f.Record.Printf("machine  %s is up", w.Name)
	return w
}

// stop ends the machine and all that is on it.
func (w *Worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	w.killAll("machine gone")
	_ = w.listener.Close()
	w.resumed.Broadcast()
	w.poke()
}

func (w *Worker) poke() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Worker) killAll(why string) {
	for _, t := range w.tasks {
		w.leave(t, why)
	}
	w.tasks, w.refused = map[string]*task{}, nil
	w.usedC, w.usedM = 0, 0
}

// leave takes a task off the machine.
func (w *Worker) leave(t *task, why string) {
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.on {
		t.on = false
		w.fleet.Record.Printf("task     %s take %d leaves %s: %s", t.cue, t.take, w.Name, why)
		if w.fleet.OnEnd != nil {
			w.fleet.OnEnd(w, t.cue)
		}
	}
}

// leaseTimer ends the session when the lease runs out, also while the machine hangs.
func (w *Worker) leaseTimer() {
	for range time.Tick(10 * time.Millisecond) {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		if time.Since(w.renewed).Seconds() > w.fleet.LeaseS {
			w.fleet.Record.Printf("lease    %s: session %d ends, %d tasks", w.Name, w.shift, len(w.tasks))
			w.killAll("lease ran out")
			w.shift++
			w.renewed = time.Now()
			w.changed = true
			w.poke()
		}
		w.mu.Unlock()
	}
}

// Hang stops the machine, or lets it go on. The lease runs on meanwhile.
func (w *Worker) Hang(hang bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hung == hang || w.gone {
		return
	}
	w.hung = hang
	w.fleet.Record.Printf("trouble  %s hangs: %v", w.Name, hang)
	for _, t := range w.tasks {
		if t.status != "running" || t.timer == nil {
			continue
		}
		if hang {
			t.timer.Stop()
			t.left -= time.Since(t.began)
		} else {
			w.runOn(t)
		}
	}
	w.resumed.Broadcast()
	w.poke()
}

// awake waits while the machine hangs. The caller holds the lock.
func (w *Worker) awake() {
	for w.hung && !w.gone {
		w.resumed.Wait()
	}
}

type reported struct {
	Cue    string `json:"cue"`
	Take   uint64 `json:"take"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
	Saved  bool   `json:"saved,omitempty"`
}

// body returns a report. The caller holds the lock.
func (w *Worker) body() ([]byte, uint64) {
	w.tally++
	cues := []reported{}
	for _, t := range w.refused {
		cues = append(cues, reported{t.cue, t.take, t.status, t.why, false})
	}
	for _, t := range w.tasks {
		cues = append(cues, reported{t.cue, t.take, t.status, t.why, t.saved})
	}
	sort.Slice(cues, func(a, b int) bool { return cues[a].Cue < cues[b].Cue })
	encoded, err := json.Marshal(map[string]any{"stagehand": w.Name, "address": w.host.address, "rig": w.rig.Sku, "hall": w.Hall, "standby": w.host.standby,
		"shift": w.shift, "tally": w.tally, "baton": w.baton, "warning_s": nil, "cues": cues})
	if err != nil {
		panic(err)
	}
	return encoded, w.tally
}

// report sends reports, one at a time.
func (w *Worker) report() {
	next, last := time.Now(), time.Now().Add(-time.Second)
	for {
		w.mu.Lock()
		due := next
		if soon := last.Add(500 * time.Millisecond); w.changed && soon.Before(due) {
			due = soon
		}
		gone := w.gone
		w.mu.Unlock()
		if gone {
			return
		}
		if wait := time.Until(due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-w.wake:
			}
			continue
		}
		w.mu.Lock()
		w.awake()
		if w.gone {
			w.mu.Unlock()
			return
		}
		w.changed = false
		body, tally := w.body()
		sent, shift, node := time.Now(), w.shift, w.fleet.Nodes[w.node]
		w.inFlight = true
		w.mu.Unlock()
		last = sent
		next = sent.Add(time.Duration(w.fleet.ReportS * (0.75 + 0.5*rand.Float64()) * float64(time.Second)))
		code, answer := w.post(node, body)
		w.mu.Lock()
		w.inFlight = false
		w.awake()
		if time.Since(sent) > 4*time.Second {
			code = 0 // it comes too late
		}
		pause := w.handle(node, code, answer, sent, shift, tally)
		w.mu.Unlock()
		if pause >= 0 {
			time.Sleep(pause)
			next = time.Now()
		}
	}
}

func (w *Worker) post(node string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+w.fleet.Address[node]+"/hello", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := w.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, answer
}

type call struct {
	Kind string  `json:"call_kind"`
	Cue  string  `json:"cue"`
	Take uint64  `json:"take"`
	Bow  float64 `json:"bow_s"`
}

// handle takes the answer to a report. It returns the pause before the next report, or -1 for the usual time.
func (w *Worker) handle(node string, code int, answer []byte, sent time.Time, shift, tally uint64) time.Duration {
	if w.fleet.OnAnswer != nil {
		defer w.fleet.OnAnswer(w, code, node, tally, sent, answer)
	}
	switch code {
	case 200:
		var a struct {
			Baton *uint64
			Calls []call
		}
		if json.Unmarshal(answer, &a) != nil || a.Baton == nil || *a.Baton < w.baton || w.shift != shift {
			return -1 // dropped
		}
		w.adopt(*a.Baton)
		if sent.After(w.renewed) {
			w.renewed = sent
		}
		w.execute(a.Calls)
		return -1
	case 421:
		var a struct {
			Manager string `json:"stage_manager"`
		}
		_ = json.Unmarshal(answer, &a)
		for i, name := range w.fleet.Nodes {
			if name == a.Manager && i != w.node {
				w.node = i
				return time.Duration(rand.Int64N(int64(500 * time.Millisecond)))
			}
		}
	}
	w.node = (w.node + 1) % len(w.fleet.Nodes)
	return time.Second
}

func (w *Worker) adopt(baton uint64) {
	if baton > w.baton {
		w.baton = baton
		if time.Since(w.batonAt).Seconds() > w.fleet.LeaseS/2 {
			w.batonAt = time.Now()
			w.changed = true
		}
	}
}

func (w *Worker) execute(calls []call) {
	for _, c := range calls {
		t := w.tasks[c.Cue]
		switch c.Kind {
		case "run":
			w.fleet.Record.Printf("command  %s: run %s take %d", w.Name, c.Cue, c.Take)
			w.run(c, t)
		case "stop":
			w.fleet.Record.Printf("command  %s: stop %s take %d", w.Name, c.Cue, c.Take)
			if t != nil && t.take == c.Take && t.status != "ended" {
				w.end(t, "stopped")
			}
		case "forget":
			w.refused = slices.DeleteFunc(w.refused, func(r *task) bool { return r.cue == c.Cue && r.take == c.Take })
			if t != nil && t.take == c.Take && t.status == "ended" {
				delete(w.tasks, c.Cue)
				w.changed = true
			}
		}
	}
	w.poke()
}

func (w *Worker) run(c call, old *task) {
	if old != nil && old.take == c.Take {
		return
	}
	if old != nil && old.status != "ended" {
		for _, r := range w.refused {
			if r.cue == c.Cue && r.take == c.Take {
				return
			}
		}
		w.fleet.Record.Printf("refused  %s: %s is there with another attempt", w.Name, c.Cue)
		w.refused = append(w.refused, &task{cue: c.Cue, take: c.Take, status: "ended", why: "busy"})
		w.changed = true
		return
	}
	id, number, _ := strings.Cut(c.Cue, "/")
	index, _ := strconv.Atoi(number)
	t := &task{cue: c.Cue, take: c.Take, status: "ended", index: index}
	w.tasks[c.Cue] = t
	w.changed = true
	job := w.fleet.Job(id)
	switch {
	case job == nil || index >= job.Tasks:
		t.why = "unknown"
		return
	case w.usedC+job.Cores > w.rig.Cores+1e-9 || w.usedM+job.MemoryGB > w.rig.MemoryGB+1e-9:
		t.why = "full"
		w.fleet.Record.Printf("refused  %s: no room for %s", w.Name, c.Cue)
		return
	}
	t.job, t.status = job, "pulling"
	w.usedC += job.Cores
	w.usedM += job.MemoryGB
	fetch := time.Duration(0)
	if !w.images[job.Image] {
		fetch = time.Duration(job.ImageGB / w.rig.Fetch * float64(time.Second))
	}
	t.timer = time.AfterFunc(fetch, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.awake()
		if w.tasks[t.cue] != t || t.status != "pulling" {
			return
		}
		w.images[job.Image] = true
		t.status, t.on, t.left = "running", true, job.Run
		w.changed = true
		w.fleet.Record.Printf("task     %s take %d starts on %s", t.cue, t.take, w.Name)
		if w.fleet.OnStart != nil {
			w.fleet.OnStart(w, t.cue)
		}
		job.mu.Lock()
		if job.done[t.index] {
			t.left = 0
		}
		job.mu.Unlock()
		w.runOn(t)
		w.poke()
	})
}

func (w *Worker) runOn(t *task) {
	if t.job.Service {
		return
	}
	t.began = time.Now()
	t.timer = time.AfterFunc(t.left, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.tasks[t.cue] == t && t.status == "running" && !w.hung && !w.gone {
			t.job.mu.Lock()
			t.job.done[t.index] = true
			t.job.mu.Unlock()
			w.end(t, "done")
			w.poke()
		}
	})
}

func (w *Worker) end(t *task, why string) {
	w.leave(t, why)
	if t.job != nil {
		w.usedC -= t.job.Cores
		w.usedM -= t.job.MemoryGB
	}
	t.status, t.why = "ended", why
	w.changed = true
}

// serve answers a controller's direct requests.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(w.Path.Delay)
	w.mu.Lock()
	arrived := w.OnCommand
	w.mu.Unlock()
	if arrived != nil {
		arrived()
	}
	w.mu.Lock()
	if w.hung { // what was due while the machine hung goes before what has arrived
		w.awake()
		w.mu.Unlock()
		time.Sleep(time.Millisecond)
		w.mu.Lock()
	}
	w.awake()
	if w.gone {
		w.mu.Unlock()
		return
	}
	code := 200
	if r.URL.Path == "/commands" {
		var b struct {
			Baton, Shift *uint64
			Calls        []call
		}
		switch {
		case json.Unmarshal(body, &b) != nil || b.Baton == nil || b.Shift == nil:
			w.mu.Unlock()
			reply(rw, 400, problem{"baton or shift"})
			return
		case *b.Baton < w.baton || *b.Shift != w.shift:
			code = 409
		default:
			w.adopt(*b.Baton)
			w.execute(b.Calls)
		}
	}
	answer, tally := w.body()
	w.fleet.Record.Printf("direct   %s answers a controller's %s with %d, tally %d", w.Name, r.URL.Path, code, tally)
	w.mu.Unlock()
	time.Sleep(w.Path.Delay)
	reply(rw, code, json.RawMessage(answer))
}

// InFlight reports whether a report has no answer yet.
func (w *Worker) InFlight() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight
}

// Tasks returns the tasks that are on the machine.
func (w *Worker) Tasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, t := range w.tasks {
		if t.on {
			out = append(out, t.cue)
		}
	}
	sort.Strings(out)
	return out
}

// Die ends a machine with all that is on it. The list shows it as running for about 30 s longer.
func (f *Fleet) Die(w *Worker) {
	f.Record.Printf("trouble  %s stops with all that is on it", w.Name)
	w.stop()
	time.AfterFunc(30*time.Second, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		w.host.failed = true
	})
}

// DoneCount returns how many tasks of a job have completed.
func (j *Job) DoneCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.done)
}
