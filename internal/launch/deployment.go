package launch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/host"
	"shalestage.example/shalestage/internal/emulator/link"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/emulator/work"
	"shalestage.example/shalestage/internal/scenario"
)

// Options say how a deployment is launched.
type Options struct {
	Scenario string // file
	Dir      string // for plan, settings and logs; "": a new one
	Data     string // in which the state service keeps its data; "": nowhere
	Host     string // address to listen on; 127.0.0.1 by default
	Front    string // address for users; "": any port

	// WorkerProcesses is how many machines have their worker in a process of its own;
	// all others share the cloud's process.
	WorkerProcesses int
	// Observer is told what the checker is told, as it comes; nil: nobody is.
	Observer Observer
}

// Observer is told what happens in a deployment. It is called from several goroutines.
type Observer interface {
	// Began and Ended say that a task is on a machine, and that it no longer is.
	Began(at units.Microseconds, m check.Machine, id jobs.TaskID)
	Ended(at units.Microseconds, m check.Machine, id jobs.TaskID, completed bool)
	// User tells what a user did or was told: an effect of user.Users other than Call.
	User(at units.Microseconds, e any)
}

// Deployment is a running deployment.
type Deployment struct {
	Plan *Plan
	Dir  string

	s       *scenario.Scenario
	opt     Options
	procs   map[string]*process
	links   map[string]*link.Link // by their name: from, a dash and an arrow, to
	opened  []net.Listener
	users   *host.Users
	guests  []*host.Users // users who reach the balancer by a way of their own
	facts   merger
	mu      sync.Mutex // of the checker
	checker *check.Checker
	cancel  context.CancelFunc
	ctx     context.Context
	earlier []*work.Job // of an earlier run of the same data
	First   int         // number of the first job of this run
	Fatal   chan error
	rng     *rand.Rand
}

// linkName names the link by which one party reaches another.
func linkName(from, to string) string { return from + "->" + to }

// Start launches a deployment and returns once its processes are started.
func Start(opt Options) (*Deployment, error) {
	s, err := scenario.Load(opt.Scenario)
	if err != nil {
		return nil, err
	}
	if opt.Host == "" {
		opt.Host = "127.0.0.1"
	}
	if opt.Dir == "" {
		if opt.Dir, err = os.MkdirTemp("", "shalestage-"); err != nil {
			return nil, err
		}
	}
	if opt.Dir, err = filepath.Abs(opt.Dir); err != nil {
		return nil, err
	}
	d := &Deployment{Dir: opt.Dir, s: s, opt: opt, procs: map[string]*process{}, links: map[string]*link.Link{}, checker: check.New(s.Check()),
		Fatal: make(chan error, 8), rng: rand.New(rand.NewPCG(s.Seed, 21))}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if err := d.start(); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	if err := d.readEarlier(); err != nil {
		return err
	}
	p, open, err := newPlan(d.s, d.opt.Host, d.opt.Front, d.opt.WorkerProcesses)
	if err != nil {
		return err
	}
	d.Plan = p
	if p.Scenario, err = filepath.Abs(d.opt.Scenario); err != nil {
		return err
	}
	if d.opt.Data != "" {
		if p.Data, err = filepath.Abs(d.opt.Data); err != nil {
			return err
		}
	}
	d.openLinks(open)
	planFile := filepath.Join(d.Dir, "plan.json")
	if err := write(planFile, p); err != nil {
		return err
	}
	spawn := newSpawner()
	add := func(name string, restart time.Duration, args ...string) *process {
		pr := &process{name: name, args: args, logFile: filepath.Join(d.Dir, name+".log"), restart: restart, spawn: spawn}
		d.procs[name] = pr
		return pr
	}
	workers := p.workerRoles()
	for _, role := range slices.Concat(workers, []string{RoleState, RoleCloud, RoleBalance}) {
		pr := add(role, 200*time.Millisecond, "emulate", role, "--plan", planFile)
		if role != RoleState && role != RoleBalance {
			pr.facts = d.heardFact
		}
		if err := pr.start(d.gone); err != nil {
			return err
		}
	}
	for _, role := range slices.Concat(workers, []string{RoleState, RoleCloud}) {
		if err := d.alive(role); err != nil {
			return err
		}
	}
	for i, n := range d.s.Nodes() {
		file := filepath.Join(d.Dir, n+".json")
		set := d.s.Settings(i, scenario.Addrs{Listen: p.Listen[n].Real, Internal: p.Internal[n], State: p.State[n].Link, Cloud: p.Cloud[n].Link, Peers: p.Peers[n]})
		if err := write(file, set); err != nil {
			return err
		}
		if err := add(n, seconds(d.s.Controllers.RestartS), "--config", file).start(d.gone); err != nil {
			return err
		}
	}
	return nil
}

// readEarlier takes up the jobs of an earlier run of the same data.
func (d *Deployment) readEarlier() error {
	if d.opt.Data == "" {
		return nil
	}
	// The directory is opened once here: what is wrong with it is told at once.
	disk, err := host.OpenDisk(d.opt.Data)
	if err != nil {
		return err
	}
	if err := disk.Close(); err != nil {
		return err
	}
	b, err := openBook(filepath.Join(d.opt.Data, bookFile))
	if err != nil {
		return err
	}
	d.First = b.next()
	at := units.Microseconds(time.Now().UnixMicro())
	for _, j := range b.jobs {
		d.earlier = append(d.earlier, j)
		d.checker.AcceptedEarlier(at, j.ID, j.Spec, j.Finished)
	}
	return nil
}

// openLinks puts a link between every two parties.
func (d *Deployment) openLinks(open map[string]net.Listener) {
	p := d.Plan
	add := func(name, at, to string) {
		l := link.New(to)
		d.links[name] = l
		d.opened = append(d.opened, open[at])
		go func() { _ = l.Serve(open[at]) }() // ends with the deployment
	}
	for _, n := range d.s.Nodes() {
		add(linkName(n, scenario.PartyState), p.State[n].Link, p.State[n].Real)
		add(linkName(n, scenario.PartyCloud), p.Cloud[n].Link, p.Cloud[n].Real)
		add(linkName(scenario.PartyUsers, n), p.Listen[n].Link, p.Listen[n].Real)
		for z, nodes := range p.Workers {
			add(linkName(scenario.ZoneParty(z), n), nodes[n], p.Listen[n].Real)
		}
		for o, at := range p.Peers[n] {
			add(linkName(n, o), at, p.Internal[o])
		}
	}
	control := chi.NewRouter()
	control.Put("/jobs", d.takeUpload)
	faults(control, d.Fault)
	control.Get("/alive", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	go func() { _ = http.Serve(open[p.Control], control) }() // ends with the deployment
	d.opened = append(d.opened, open[p.Control])
}

// gone is told of a process that has ended though nobody wanted it to. It is started
// again. One that says why it cannot go on, and a state service whose data went with
// it, end the deployment.
func (d *Deployment) gone(p *process, err error) {
	d.note("%s has ended by itself: %v", p.name, err)
	var exit *exec.ExitError
	if p.name == RoleCloud { // with all that was on its machines
		d.facts.add(d.now(), d.checker.AllMachinesLost)
	}
	byItself := err == nil || errors.As(err, &exit) && exit.Exited()
	switch {
	case p.name == RoleState && d.opt.Data == "":
		d.fail(errors.New("the state service has ended, and its data with it; --data keeps it on disk"))
	case isWorker(p.name): // the cloud goes on listing a machine that nobody runs
		d.fail(fmt.Errorf("%s has ended: %s", p.name, p.lastLine()))
	case byItself && slices.Contains([]string{RoleState, RoleCloud, RoleBalance}, p.name):
		d.fail(fmt.Errorf("%s has ended: %s", p.name, p.lastLine()))
	}
}

func (d *Deployment) fail(err error) {
	select {
	case d.Fatal <- err:
	default: // it has failed already
	}
}

func (d *Deployment) now() units.Microseconds { return units.Microseconds(time.Now().UnixMicro()) }

func (d *Deployment) note(format string, args ...any) {
	d.facts.add(d.now(), func(at units.Microseconds) { d.checker.Note(at, format, args...) })
}

func (d *Deployment) heardFact(f fact) {
	id, err := jobs.ParseTaskID(f.Task)
	if err != nil {
		return
	}
	if o := d.opt.Observer; o != nil && f.Began {
		o.Began(f.At, f.Machine, id)
	} else if o != nil {
		o.Ended(f.At, f.Machine, id, f.Completed)
	}
	d.facts.add(f.At, func(at units.Microseconds) {
		if f.Began {
			d.checker.TaskStarted(at, f.Machine, id)
		} else {
			d.checker.TaskEnded(at, f.Machine, id, f.Completed)
		}
	})
}

func (d *Deployment) heardUser(e any) {
	if o := d.opt.Observer; o != nil {
		o.User(d.now(), e)
	}
	d.facts.add(d.now(), func(at units.Microseconds) { user.RecordEffect(d.checker, at, e) })
}

// checkUpTo hands the checker what must have come by now.
func (d *Deployment) checkUpTo(before units.Microseconds) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.facts.flush(before)
}

var (
	controlClient = &http.Client{Timeout: 10 * time.Second}
	// Figures are asked for again and again: late ones are of no use.
	figuresClient = &http.Client{Timeout: 2 * time.Second}
)

// await waits until something is so. It fails when the deployment does, or, with what
// late says, after a time.
func (d *Deployment) await(within time.Duration, so func() bool, late func() error) error {
	for until := time.Now().Add(within); !so(); time.Sleep(20 * time.Millisecond) {
		select {
		case err := <-d.Fatal:
			return err
		default:
		}
		if time.Now().After(until) {
			return late()
		}
	}
	return nil
}

// alive waits until a process answers at its control address.
func (d *Deployment) alive(role string) error {
	return d.await(15*time.Second, func() bool {
		resp, err := controlClient.Get("http://" + d.Plan.Roles[role] + "/alive")
		if err == nil {
			_ = resp.Body.Close() // of no interest
		}
		return err == nil
	}, func() error { return fmt.Errorf("%s does not answer: %s", role, d.procs[role].lastLine()) })
}

// WaitServing waits until the balancer finds every controller healthy and one holds
// the machines.
func (d *Deployment) WaitServing(within time.Duration) error {
	return d.await(within, func() bool {
		var f FrontFigures
		return d.figures(RoleBalance, &f) == nil && f.Healthy == len(d.s.Nodes()) && d.find("holder") != ""
	}, func() error {
		return fmt.Errorf("the controllers do not serve after %v; logs are in %s", within, d.Dir)
	})
}

func (d *Deployment) figures(role string, into any) error {
	resp, err := figuresClient.Get("http://" + d.Plan.Roles[role] + "/figures")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(io.LimitReader(resp.Body, maxControl)).Decode(into)
}

// Figures returns what the cloud tells of itself.
func (d *Deployment) Figures() (Figures, error) {
	var f Figures
	err := d.figures(RoleCloud, &f)
	return f, err
}

// post sends a body to a process's control address.
func post(method, addr, path string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1000))
		return errors.New(strings.TrimSpace(string(text)))
	}
	return nil
}

// Upload makes a job's description known to the workers of a deployment, by its
// control address.
func Upload(control string, j *user.Job) error {
	return post(http.MethodPut, control, "/jobs", upload{ID: j.ID, Spec: j.Spec, Run: j.Run, Vary: j.RunVariation, Broken: j.FailsAlways})
}

// SendFault does a fault in a running deployment, by its control address.
func SendFault(control string, f scenario.Fault) error {
	return post(http.MethodPost, control, "/fault", f)
}

// takeUpload passes a description on to the workers, and tells the checker of a
// job that somebody else submits.
func (d *Deployment) takeUpload(w http.ResponseWriter, r *http.Request) {
	var u upload
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControl)).Decode(&u); err != nil || u.Spec == nil || !jobs.ValidID(u.ID) {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	if err := post(http.MethodPut, d.Plan.Roles[RoleCloud], "/jobs", u); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	d.facts.add(d.now(), func(at units.Microseconds) {
		// Somebody else's job: when its user asks to cancel it is not seen here.
		d.checker.Submitting(at, u.ID, u.Spec)
		d.checker.CancelRequested(at, u.ID)
	})
}

// Run lets users go about the scenario's jobs; faults of the file come at their times.
func (d *Deployment) Run() []*user.Job {
	s := d.s
	crowd := user.New(s.UserOptions(), rand.New(rand.NewPCG(s.Seed, 14)))
	jobs := s.Plan(d.First, rand.New(rand.NewPCG(s.Seed, 15)))
	for _, j := range d.earlier {
		crowd.Adopt(0, &user.Job{Job: j})
	}
	d.users = host.NewUsers(d.ctx, crowd, d.Plan.Front, d.heardUser)
	for _, j := range jobs {
		crowd.Add(j)
	}
	d.describe(jobs)
	go d.users.Run()
	for _, f := range s.Faults {
		if f.Kind == scenario.Surge {
			continue // in the jobs' times already
		}
		time.AfterFunc(seconds(f.AtS), func() {
			if d.ctx.Err() == nil {
				if err := d.Fault(f); err != nil {
					d.note("fault %s: %v", f, err)
				}
			}
		})
	}
	return jobs
}

// describe makes the descriptions of jobs known to the workers.
func (d *Deployment) describe(jobs []*user.Job) {
	for _, j := range jobs {
		if err := post(http.MethodPut, d.Plan.Roles[RoleCloud], "/jobs", upload{ID: j.ID, Spec: j.Spec, Run: j.Run, Vary: j.RunVariation, Broken: j.FailsAlways}); err != nil {
			d.note("a description could not be uploaded: %v", err)
		}
	}
}

// RunGuests lets further users go about jobs of their own. They reach the load balancer
// by an address that the caller has put before it. Their jobs' numbers must not be those
// of others.
func (d *Deployment) RunGuests(front string, seed uint64, jobs []*user.Job) {
	crowd := user.New(d.s.UserOptions(), rand.New(rand.NewPCG(seed, 16)))
	u := host.NewUsers(d.ctx, crowd, front, d.heardUser)
	for _, j := range jobs {
		crowd.Add(j)
	}
	d.guests = append(d.guests, u)
	d.describe(jobs)
	go u.Run()
}

// Progress is how far a run has come.
type Progress struct {
	Jobs, Left int
	Figures
	Broken []check.Violation
}

// Progress returns how far the run has come.
func (d *Deployment) Progress() Progress {
	var p Progress
	for _, u := range append([]*host.Users{d.users}, d.guests...) {
		if u == nil {
			continue // Run has not been called
		}
		u.Do(func(_ units.Microseconds, c *user.Users) {
			p.Jobs, p.Left = p.Jobs+len(c.Jobs()), p.Left+c.Unfinished()
		})
	}
	p.Figures, _ = d.Figures() // zero while the cloud's process is away
	d.checkUpTo(d.now() - units.Microseconds(settleTime.Microseconds()))
	d.mu.Lock()
	p.Broken = slices.Clone(d.checker.Violations())
	d.mu.Unlock()
	return p
}

// Finish waits until what has happened is checked, and returns the broken rules
// and how many tasks were started.
func (d *Deployment) Finish(over bool) ([]check.Violation, int) {
	time.Sleep(2 * settleTime)
	d.checkUpTo(d.now())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checker.Finish(d.now(), over)
	return d.checker.Violations(), d.checker.Starts()
}

// FirstBegan returns when a task of a job was first on a machine, 0 if none was.
func (d *Deployment) FirstBegan(id string) units.Microseconds {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.checker.FirstStart(id)
}

// Restarts returns how often each controller was started beyond the first time.
func (d *Deployment) Restarts() int {
	n := 0
	for _, name := range d.s.Nodes() {
		if p := d.procs[name]; p != nil {
			p.mu.Lock()
			n += p.starts - 1
			p.mu.Unlock()
		}
	}
	return n
}

// Stop ends every process and waits until they have ended.
func (d *Deployment) Stop() {
	d.cancel()
	var wg sync.WaitGroup
	for _, p := range d.procs {
		wg.Go(p.stop)
	}
	wg.Wait()
	for _, l := range d.opened {
		_ = l.Close() // nothing to lose
	}
	for _, l := range d.links {
		l.Close()
	}
}

var (
	leading = regexp.MustCompile(`(?m)^shalestage_leading 1$`)
	holding = regexp.MustCompile(`(?m)^shalestage_block_tasks\{`)
)

// find returns the controller that a fault means: by name, or the one that leads
// or holds machines; "" where there is none.
func (d *Deployment) find(node string) string {
	nodes := d.s.Nodes()
	var what *regexp.Regexp
	switch node {
	case "holder":
		what = holding
	case "leader":
		what = leading
	case "", "any":
		return nodes[d.rng.IntN(len(nodes))]
	default:
		return node
	}
	for _, n := range nodes {
		c := http.Client{Timeout: time.Second}
		resp, err := c.Get("http://" + d.Plan.Listen[n].Real + "/metrics")
		if err != nil {
			continue
		}
		b, _ := io.ReadAll(io.LimitReader(resp.Body, maxControl))
		_ = resp.Body.Close() // read
		if what.Match(b) {
			return n
		}
	}
	return ""
}

// Fault does a fault now.
func (d *Deployment) Fault(f scenario.Fault) error {
	if field, err := f.Check(len(d.s.Nodes())); err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	d.note("fault: %s", f)
	switch f.Kind {
	case scenario.Cut:
		return d.cut(f)
	case scenario.ZoneApart, scenario.ZoneLost:
		d.apart(f)
		return nil
	case scenario.PollStorm:
		if d.users == nil {
			return errors.New("there are no users yet")
		}
		d.users.Do(func(_ units.Microseconds, c *user.Users) { c.SetPollFactor(f.Times) })
		time.AfterFunc(seconds(f.ForS), func() { d.users.Do(func(_ units.Microseconds, c *user.Users) { c.SetPollFactor(1) }) })
		return nil
	case scenario.Surge, scenario.ClockJump, scenario.LateReports, scenario.RepeatedRequests, scenario.CancelNow, scenario.CancelAtEnd, scenario.OddRequests, scenario.CloseLooks,
		scenario.ConfigSet:
		return fmt.Errorf("%s is for rehearsals in simulated time", f.Kind)
	case scenario.StateRefuse:
		if f.Node = d.find(f.Node); f.Node == "" {
			return errors.New("there is no such controller now")
		}
	}
	switch {
	case strings.HasPrefix(f.Kind, "state_"):
		return post(http.MethodPost, d.Plan.Roles[RoleState], "/fault", f)
	case strings.HasPrefix(f.Kind, "controller_"):
		return d.controllerFault(f)
	}
	return post(http.MethodPost, d.Plan.Roles[RoleCloud], "/fault", f)
}

func (d *Deployment) controllerFault(f scenario.Fault) error {
	if f.Kind == scenario.ControllerRoll {
		for i, n := range d.s.Nodes() {
			time.AfterFunc(time.Duration(i)*seconds(f.EveryS), d.procs[n].kill)
		}
		return nil
	}
	names := d.s.Nodes()
	if f.Node != "all" {
		n := d.find(f.Node)
		if n == "" {
			return errors.New("there is no such controller now")
		}
		names = []string{n}
	}
	for _, n := range names {
		p := d.procs[n]
		switch f.Kind {
		case scenario.ControllerCrash:
			p.kill()
		case scenario.ControllerRetire:
			p.retire()
		case scenario.ControllerFreeze:
			p.signal(syscall.SIGSTOP)
			time.AfterFunc(seconds(f.ForS), func() { p.signal(syscall.SIGCONT) })
		case scenario.ControllerSlow:
			go d.slowDown(p, f)
		}
	}
	return nil
}

// slowDown lets a process run a part of the time.
func (d *Deployment) slowDown(p *process, f scenario.Fault) {
	const run = 5 * time.Millisecond
	for until := time.Now().Add(seconds(f.ForS)); time.Now().Before(until) && d.ctx.Err() == nil; {
		p.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(float64(run) * (f.Times - 1)))
		p.signal(syscall.SIGCONT)
		time.Sleep(run)
	}
}

var modes = map[string]link.Mode{"": link.Hold, "hold": link.Hold, "drop": link.Drop, "reset": link.Reset, "delay": link.Delay, "trickle": link.Trickle}

func (d *Deployment) cut(f scenario.Fault) error {
	a := d.find(f.Between[0])
	if a == "" {
		return errors.New("there is no such controller now")
	}
	t := link.Impairment{Mode: modes[f.Mode], Until: time.Now().Add(seconds(f.ForS)), Interval: seconds(f.DelayMS / 1000)}
	// there is the way from the controller to the other party.
	there, back := f.Direction != "back", f.Direction != "there"
	out := func(to string) {
		if l := d.links[linkName(a, to)]; l != nil {
			l.SetImpairment(t, there, back)
		}
	}
	in := func(from string) {
		if l := d.links[linkName(from, a)]; l != nil {
			l.SetImpairment(t, back, there)
		}
	}
	switch b := f.Between[1]; b {
	case scenario.PartyState, scenario.PartyCloud:
		out(b)
	case scenario.PartyUsers:
		in(b)
	case scenario.PartyWorkers:
		for _, z := range d.s.Controllers.Zones {
			in(scenario.ZoneParty(z))
		}
	case scenario.PartyPeers:
		for _, n := range d.s.Nodes() {
			out(n)
			in(n)
		}
	default:
		out(b)
		in(b)
	}
	return nil
}

// apart cuts a zone off.
func (d *Deployment) apart(f scenario.Fault) {
	t := link.Impairment{Mode: modes[f.Mode], Until: time.Now().Add(seconds(f.ForS))}
	for _, p := range d.s.PartitionedPairs(f.Zone, f.Kind == scenario.ZoneLost) {
		for _, name := range []string{linkName(p[0], p[1]), linkName(p[1], p[0])} {
			if l := d.links[name]; l != nil {
				l.SetImpairment(t, true, true)
			}
		}
	}
}

// Kill ends a process with no warning: a role or a controller by name. It comes back.
func (d *Deployment) Kill(name string) error {
	p := d.procs[name]
	if p == nil {
		return fmt.Errorf("there is no process %q", name)
	}
	d.note("%s is killed", name)
	if name == RoleCloud {
		d.facts.add(d.now(), d.checker.AllMachinesLost)
	}
	p.kill()
	return nil
}
