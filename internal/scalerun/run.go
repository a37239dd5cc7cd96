package scalerun

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/launch"
	"shalestage.example/shalestage/internal/scenario"
)

// Times of a run.
const (
	serveWithin = time.Minute // until a region serves
	sampleEvery = time.Second
)

// ErrInterrupted says that somebody has ended the run.
var ErrInterrupted = errors.New("interrupted")

// region is a deployment with what is seen of it.
type region struct {
	name string
	d    *launch.Deployment
	seen *observer
}

// run is a run under way.
type run struct {
	*Sized
	ctx     context.Context
	dir     string
	host    Host
	regions []*region
	ways    *ways
	tell    func(Sample)
	result  *Result
}

// Run starts everything, goes through the phases, ends everything and returns how it went.
// The result of a run that could not go on is returned with the error, as far as it came.
// Files of the deployments go into a directory; tell hears of each sample.
func (s *Sized) Run(ctx context.Context, dir string, tell func(Sample)) (*Result, error) {
	host, err := readHost()
	if err != nil {
		return nil, err
	}
	need := s.need()
	if err := need.fits(host); err != nil {
		return nil, err
	}
	// What users, links and checkers keep is bounded; it is rather collected than held.
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	r := &run{Sized: s, ctx: ctx, dir: dir, host: host, tell: tell,
		result: &Result{Name: s.Name, About: s.About, Size: s.Size, Want: s.Want, Budget: s.Budget, UrgentWithinS: s.Load.UrgentWithin,
			Phases: s.phases, Host: host, Need: need, Began: time.Now().UTC()}}
	defer r.stop()
	err = r.start()
	if err == nil {
		err = r.play()
	}
	if len(r.regions) > 0 {
		r.look(PhaseDrain)
		r.finish(err == nil)
	}
	if err != nil {
		r.result.Stopped = err.Error()
	}
	return r.result, err
}

// start starts the regions one after another: their ports are chosen free.
func (r *run) start() error {
	var fronts []string
	for i := range r.Want.Regions {
		if r.ctx.Err() != nil {
			return ErrInterrupted
		}
		s, err := r.Region(i)
		if err != nil {
			return err
		}
		text, err := toml.Marshal(s)
		if err != nil {
			return err
		}
		dir := filepath.Join(r.dir, s.Name)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		file := filepath.Join(dir, "scenario.toml")
		if err := os.WriteFile(file, text, 0o644); err != nil {
			return err
		}
		seen := newObserver(len(r.phases))
		d, err := launch.Start(launch.Options{Scenario: file, Dir: dir, WorkerProcesses: r.WorkerProcesses, Observer: seen})
		if err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
		r.regions = append(r.regions, &region{s.Name, d, seen})
		fronts = append(fronts, d.Plan.Front)
		if err := r.serving(d); errors.Is(err, ErrInterrupted) {
			return err
		} else if err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	r.result.ServedAfterS = time.Since(r.result.Began).Seconds()
	w, at, err := openWays(fronts)
	if err != nil {
		return err
	}
	r.ways = w
	r.submit(at)
	return nil
}

// serving waits until a region serves, or somebody ends the run.
func (r *run) serving(d *launch.Deployment) error {
	served := make(chan error, 1)
	go func() { served <- d.WaitServing(serveWithin) }()
	select {
	case err := <-served:
		return err
	case <-r.ctx.Done():
		return ErrInterrupted
	}
}

// submit lets the users of all regions begin, those at home and those abroad.
func (r *run) submit(at map[[2]int]string) {
	var all sync.WaitGroup
	for to, reg := range r.regions {
		all.Go(func() {
			reg.d.Run()
			for from := range r.regions {
				if jobs := r.Abroad(from, to); len(jobs) > 0 {
					reg.d.RunGuests(at[[2]int{from, to}], r.Seed+uint64(from), jobs)
				}
			}
		})
	}
	all.Wait()
}

// play goes through the phases. It fails when a region does, the run takes too much of the
// machine, or somebody ends it.
func (r *run) play() error {
	samples := newSampler(len(r.regions))
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	now := -1
	for {
		at := time.Since(samples.began).Seconds()
		for next := now + 1; next < len(r.phases) && at >= r.phases[next].FromS; next++ {
			now = next
			r.enter(now)
		}
		last := now == len(r.phases)-1
		if last && at >= r.phases[now].ToS {
			return nil // not all is over, which the result says
		}
		select {
		case <-r.ctx.Done():
			return ErrInterrupted
		case <-ticker.C:
		}
		if err := r.failed(); err != nil {
			return err
		}
		s := samples.sample(r.phases[now].Name, r.regions)
		r.result.add(s)
		r.tell(s)
		if err := exceeded(r.host, s.MemoryMB, s.Processes); err != nil {
			return err
		}
		if last && s.sum().Left == 0 {
			r.result.Over = true
			return nil
		}
	}
}

// failed returns why a region could not go on.
func (r *run) failed() error {
	for _, reg := range r.regions {
		select {
		case err := <-reg.d.Fatal:
			return fmt.Errorf("%s: %w", reg.name, err)
		default:
		}
	}
	return nil
}

// enter begins a phase, with its fault if it has one.
func (r *run) enter(phase int) {
	if phase > 0 {
		r.look(r.phases[phase-1].Name)
	}
	f := r.phases[phase].Fault
	parts := f != nil && f.Kind == FaultRegions
	if parts {
		r.ways.part() // before what crosses is counted for this phase
	}
	r.result.cross(r.ways.bytes())
	if !parts {
		r.ways.join()
	}
	for _, reg := range r.regions {
		reg.seen.enter(phase)
	}
	if f == nil || parts {
		return
	}
	if err := r.regions[f.Region].d.Fault(r.faultOf(*f)); err != nil {
		r.result.FaultsFailed = append(r.result.FaultsFailed, fmt.Sprintf("%s: %v", r.phases[phase].Name, err))
	}
}

// faultOf returns a fault as a region's deployment takes it.
func (r *run) faultOf(f Fault) scenario.Fault {
	zones := r.zones(f.Region)
	switch f.Kind {
	case FaultController:
		return scenario.Fault{Kind: scenario.ControllerCrash, Node: "holder"}
	case FaultRack:
		return scenario.Fault{Kind: scenario.MachineStop, Zone: zones[0], Count: max(1, int(math.Round(float64(f.Machines)*r.Size)))}
	default:
		return scenario.Fault{Kind: scenario.ZoneLost, Zone: zones[len(zones)-1], ForS: f.ForS}
	}
}

// finish takes the last facts up and looks at the whole.
func (r *run) finish(whole bool) {
	if r.ways != nil {
		r.result.cross(r.ways.bytes())
	}
	for i, reg := range r.regions {
		out := RegionResult{Name: reg.name, Restarts: reg.d.Restarts()}
		var broken []check.Violation
		if whole {
			broken, out.Starts = reg.d.Finish(r.result.Over)
		} else {
			broken = reg.d.Progress().Broken
			_, out.Starts, _ = reg.seen.state()
		}
		for _, b := range broken {
			out.Broken = append(out.Broken, BrokenRule{b.Rule, b.Text, b.History})
		}
		for p, c := range reg.seen.counts {
			out.Phases = append(out.Phases, c)
			if i == 0 {
				r.result.All = append(r.result.All, newCounts())
			}
			r.result.All[p].merge(c)
		}
		r.result.Regions = append(r.result.Regions, out)
	}
}

// stop ends every process and waits until they have ended.
func (r *run) stop() {
	var all sync.WaitGroup
	for _, reg := range r.regions {
		all.Go(reg.d.Stop)
	}
	all.Wait()
	if r.ways != nil {
		r.ways.close()
	}
}
