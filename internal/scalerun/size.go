package scalerun

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/pelletier/go-toml/v2"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/scenario"
)

// What a task of each kind takes of its machine.
const (
	batchCPUs   = 4.0
	batchGB     = 8.0
	smallCPUs   = 1.0 // urgent tasks and replicas of services
	smallGB     = 1.0
	imageCount  = 8
	batchImage  = 0.5 // GB
	urgentImage = 0.1
)

// Classes of jobs.
const (
	ClassBatch   = "batch"
	ClassUrgent  = "urgent"
	ClassService = "service"
	ClassAbroad  = "abroad" // urgent, of a user in another region
)

const machineType = "standard"

const (
	// headroom is how many machines the clouds have, as a multiple of the target's.
	headroom = 1.05
	// filled is the share of the target's machines that the target's tasks take: what is
	// left is for tasks that end and others that begin in their place.
	filled = 0.98
)

// Sized is a file at a size.
type Sized struct {
	*File
	Size   float64
	Want   Target
	phases []Phase
	rngs   func(region int, what uint64) *rand.Rand
}

// Phase is a part of a run.
type Phase struct {
	Name  string  `json:"name"`
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
	Fault *Fault  `json:"fault,omitempty"` // that begins with it
}

// Names of the phases that every run has.
const (
	PhaseFill  = "fill"
	PhaseHold  = "hold"
	PhaseDrain = "drain"
)

// At returns the file at a size: a share of its target.
func (f *File) At(size float64) (*Sized, error) {
	if !inside(size, MinSize, MaxSize) {
		return nil, fmt.Errorf("size: want %g to %g, got %g", MinSize, MaxSize, size)
	}
	part := func(n int) int { return max(1, int(math.Round(float64(n)*size))) }
	t := f.Target
	want := Target{Workers: max(part(t.Workers), t.Zones), Tasks: part(t.Tasks), Teams: max(2, part(t.Teams)), StartsPerS: t.StartsPerS * size, Regions: t.Regions, Zones: t.Zones}
	s := &Sized{File: f, Size: size, Want: want}
	s.rngs = func(region int, what uint64) *rand.Rand {
		return rand.New(rand.NewPCG(f.Seed, uint64(region)<<8|what))
	}
	at := 0.0
	add := func(name string, for_ float64, x *Fault) {
		if for_ > 0 {
			s.phases = append(s.phases, Phase{name, at, at + for_, x})
			at += for_
		}
	}
	add(PhaseFill, f.Time.FillS, nil)
	add(PhaseHold, f.Time.HoldS, nil)
	for i, x := range f.Faults {
		name := fmt.Sprintf("%d %s", i+1, x.Kind)
		add(name, x.ForS, &x)
		add("after "+name, x.SettleS, nil)
	}
	add(PhaseDrain, f.Time.DrainS, nil)
	return s, nil
}

// Phases returns the run's phases, in order; the drain may end earlier.
func (s *Sized) Phases() []Phase { return s.phases }

// submitUntil is when the last job is submitted.
func (s *Sized) submitUntil() float64 { return s.phases[len(s.phases)-1].FromS }

// batchRunS is how long a batch task runs: as long as it takes to hold the target's tasks
// at its starts.
func (f *File) batchRunS() float64 {
	urgent := f.Target.StartsPerS * f.Load.UrgentShare * f.Load.UrgentRunS
	services := float64(f.Target.Tasks) * f.Load.ServiceShare
	return (float64(f.Target.Tasks) - urgent - services) / (f.Target.StartsPerS * (1 - f.Load.UrgentShare))
}

// slots is how many batch tasks a machine holds.
func (f *File) slots() float64 {
	batch := f.batchRunS() * f.Target.StartsPerS * (1 - f.Load.UrgentShare)
	return math.Max(1, math.Ceil(batch/float64(f.Target.Workers)))
}

// replicaCPUs is what a replica of a service takes: what the other tasks leave of the
// machines that are to be filled.
func (f *File) replicaCPUs() float64 {
	t := f.Target
	replicas := float64(t.Tasks) * f.Load.ServiceShare
	urgent := t.StartsPerS * f.Load.UrgentShare * f.Load.UrgentRunS
	batch := float64(t.Tasks) - replicas - urgent
	left := filled*float64(t.Workers)*f.slots()*batchCPUs - batch*batchCPUs - urgent*smallCPUs
	most := f.slots() * batchCPUs / 2
	return math.Round(100*min(max(left/max(replicas, 1), smallCPUs), most)) / 100
}

// batchTasks is how many tasks a batch job has. It falls with the root of the size, so that
// jobs neither come too seldom nor become too small.
func (s *Sized) batchTasks() int {
	return max(2, int(math.Round(float64(s.Load.BatchTasks)*math.Sqrt(s.Size))))
}

// zones returns the zones of a region: the target's are dealt out.
func (s *Sized) zones(region int) (out []string) {
	for z := region; z < s.Want.Zones; z += s.Want.Regions {
		out = append(out, fmt.Sprintf("zone-%d", z))
	}
	return out
}

// part returns a region's part of a number that is dealt out.
func (s *Sized) part(n, region int) int {
	p := n / s.Want.Regions
	if region < n%s.Want.Regions {
		p++
	}
	return p
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

// Region returns the deployment of a region with the jobs of its own users.
func (s *Sized) Region(region int) (*scenario.Scenario, error) {
	c := &scenario.Scenario{Name: fmt.Sprintf("region-%d", region), Seed: s.Seed + uint64(region), DurationS: s.totalS(),
		Controllers: s.Controllers, State: s.State, Cloud: s.Cloud, Workers: s.Workers, Users: s.Users}
	c.Controllers.Zones = s.zones(region)
	slots := s.slots()
	c.Types = []scenario.MachineType{{Name: machineType, CPUs: slots * batchCPUs, MemoryGB: slots * batchGB, Price: 1, SpotPrice: 1, CacheGB: 40, FetchGBs: 1, BootS: s.BootS}}
	workers := s.part(s.Want.Workers, region)
	stock := int(math.Ceil(float64(workers) * headroom))
	for i, z := range c.Controllers.Zones {
		n := stock / len(c.Controllers.Zones)
		if i < stock%len(c.Controllers.Zones) {
			n++
		}
		c.Capacity = append(c.Capacity, scenario.Capacity{Type: machineType, Zone: z, Count: n})
	}
	guarantee := float64(workers) * slots * batchCPUs / float64(s.Want.Teams)
	limit := math.Max(2*guarantee, 2.5*float64(s.batchTasks())*batchCPUs)
	for i := range s.Want.Teams {
		c.Teams = append(c.Teams, scenario.Team{Name: teamName(i), CPUs: math.Round(guarantee), CPUsMax: math.Round(limit)})
	}
	// Without an aim a job has the time of several runs: its tasks would wait for each other.
	const wait, most = "wait", 0.95
	c.Objectives = []scenario.Objective{{Kind: wait, Class: ClassBatch, WithinS: s.Load.BatchWithin, Share: most},
		{Kind: wait, Class: ClassUrgent, WithinS: s.Load.UrgentWithin, Share: most}, {Kind: wait, Class: ClassAbroad, WithinS: s.Load.UrgentWithin, Share: most}}
	c.Jobs = s.jobs(region)
	// The text is what the processes read, and what checks it.
	b, err := toml.Marshal(c)
	if err != nil {
		return nil, err
	}
	return scenario.Parse(c.Name, b, true)
}

// jobs draws the jobs of a region's own users.
func (s *Sized) jobs(region int) (out []scenario.Job) {
	rng := s.rngs(region, 1)
	regions := float64(s.Want.Regions)
	add := func(j scenario.Job) {
		j.Name = fmt.Sprintf("%s-%d", j.Class, len(out))
		out = append(out, j)
	}
	replicas := int(float64(s.Want.Tasks) * s.Load.ServiceShare / regions)
	for i := range s.Want.Teams {
		n := replicas / s.Want.Teams
		if i < replicas%s.Want.Teams {
			n++
		}
		if n > 0 {
			add(scenario.Job{Class: ClassService, Kind: "service", Team: teamName(i), Priority: "production", Tasks: n, CPUs: s.replicaCPUs(), MemoryGB: smallGB,
				Image: ClassService, ImageGB: urgentImage, AtS: rng.Float64() * s.Time.FillS / 4})
		}
	}
	batch, run := s.batchTasks(), s.batchRunS()
	rate := s.Want.StartsPerS * (1 - s.Load.UrgentShare) / float64(batch) / regions
	arrivals(rng, rate, s.submitUntil(), func(at float64) {
		j := scenario.Job{Class: ClassBatch, Team: teamName(rng.IntN(s.Want.Teams)), Tasks: batch, CPUs: batchCPUs, MemoryGB: batchGB,
			Image: fmt.Sprintf("image-%d", rng.IntN(imageCount)), ImageGB: batchImage, RunS: run, Vary: 0.3, AtS: at}
		if rng.Float64() < s.Load.CancelShare {
			j.CancelAfterS = 1 + rng.Float64()*run
		}
		add(j)
	})
	arrivals(rng, s.urgentRate()*(1-s.abroad()), s.submitUntil(), func(at float64) { add(s.urgent(rng, at, ClassUrgent)) })
	return out
}

// urgentRate is how many urgent jobs a second concern a region.
func (s *Sized) urgentRate() float64 {
	return s.Want.StartsPerS * s.Load.UrgentShare / float64(s.Load.UrgentTasks) / float64(s.Want.Regions)
}

func (s *Sized) abroad() float64 {
	if s.Want.Regions < 2 {
		return 0
	}
	return s.Load.AbroadShare
}

func (s *Sized) urgent(rng *rand.Rand, at float64, class string) scenario.Job {
	return scenario.Job{Class: class, Team: teamName(rng.IntN(s.Want.Teams)), Priority: "high", Tasks: s.Load.UrgentTasks, CPUs: smallCPUs, MemoryGB: smallGB,
		Image: ClassUrgent, ImageGB: urgentImage, RunS: s.Load.UrgentRunS, Vary: 0.3, AtS: at}
}

// firstAbroad is the number of the first job that users of other regions submit, and
// abroadPart how many numbers those of one region have.
const (
	firstAbroad = 800_000
	abroadPart  = 10_000
)

// Abroad returns the jobs that users of one region submit to another.
func (s *Sized) Abroad(from, to int) (out []*user.Job) {
	if from == to || s.abroad() == 0 {
		return nil
	}
	rng := s.rngs(to, uint64(2+from))
	rate := s.urgentRate() * s.abroad() / float64(s.Want.Regions-1)
	arrivals(rng, rate, s.submitUntil(), func(at float64) {
		j := s.urgent(rng, at, ClassAbroad)
		id := fmt.Sprintf("wk-%06d", firstAbroad+from*abroadPart+len(out))
		out = append(out, &user.Job{Job: j.Work(id, j.Spec()), At: units.Seconds(at)})
	})
	return out
}

// arrivals draws times at a rate, up to an end: one in each of equal parts of the time, so
// that what comes in a minute is what was asked for.
func arrivals(rng *rand.Rand, rate, until float64, f func(at float64)) {
	for k := 0.0; rate > 0 && k/rate < until; k++ {
		if at := (k + rng.Float64()) / rate; at < until { // of the last part only a piece may be in it
			f(at)
		}
	}
}
