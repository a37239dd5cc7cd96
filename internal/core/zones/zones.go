// Package zones keeps one picture of each zone: whether it serves, is in doubt, is lost, or
// is coming back, by what evidence and since when. Whoever rents, watches machines or places
// work asks it, and nobody else decides what the silence of a zone means.
//
// It is pure, and its memory is a few figures for each zone. Time is counted while this
// process is awake: a process that stood still has heard nobody, which says nothing of zones.
package zones

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/units"
)

// State of a zone.
type State int

// States. A zone that was lost is coming back once any of its machines or controllers is
// heard, and serves again once it has been heard for long enough.
const (
	Serving State = iota
	Doubt         // nothing is heard from it, for longer than chance explains
	Lost          // and for so long that its work must be done elsewhere
	Back          // heard again, and not yet trusted
)

// States lists all.
var States = []State{Serving, Doubt, Lost, Back}

// String names a state for people.
func (s State) String() string { return [...]string{"serving", "doubt", "lost", "back"}[s] }

// Override is what an operator knows of a zone.
type Override string

// Words. Without one the picture goes by its evidence.
const (
	NoOverride        Override = ""
	OverrideReturning Override = "returns" // it will be back: its machines are kept
	OverrideLost      Override = "gone"    // it will not: its machines are returned
)

// Overrides lists what an operator may say.
var Overrides = []Override{OverrideReturning, OverrideLost}

// Status is what controllers tell each other of a zone that does not serve.
type Status struct {
	Zone  string
	State int
	For   units.Microseconds // since the state began
	Times int                // how often the zone was lost lately
}

// Count is what a holder sees of a zone's machines: those that are up, as far as is known,
// and of them those that have reported lately.
type Count struct{ Up, Heard int }

// Config says which zones there are.
type Config struct {
	Zones             []string
	Home              string // this controller's zone
	HeartbeatInterval units.Microseconds
	Log               *slog.Logger
}

const (
	// muteQuiet is the silence of a zone's machines that counts where all its controllers are
	// silent too. Where they are heard, or there are none, each machine must have had the time
	// to report: those that were rented together, or that came back from a cut, report all at
	// once, and say nothing in between.
	muteQuiet = 2 * units.Second
	// enough is the share of the other zones' machines that must be heard: where nobody is,
	// it is this controller that is deaf.
	enough = 0.5
	// A zone that was lost is trusted once it has been heard for calm; each further loss
	// within forget doubles that, up to longestCalm.
	calm        = 4 * units.Second
	longestCalm = 64 * units.Second
	forget      = 300 * units.Second
	// probe is how many machines are rented at once into a zone that is coming back, and
	// probeAfter when one is rented into a zone that is in doubt or lost and in which nothing
	// is left that could be heard again.
	probe      = 5
	probeAfter = 60 * units.Second
	// awakeStep is the most that one tick adds to the time awake.
	awakeStep = units.Second / 10
)

// zone is the picture of one zone.
type zone struct {
	state State
	since units.Microseconds // when the state began
	heard units.Microseconds // time awake when a machine of the zone last reported
	away  units.Microseconds // when the zone was last not heard from: it is lost since then, if it is
	times int
	lost  units.Microseconds // when it was last lost
	again units.Microseconds // when it last came back; 0: never
	count Count
	peers int                // other controllers of the zone
	mute  units.Microseconds // when one of them was last heard
	alive int                // of them, those that are heard
	word  Override
}

// View is what a controller knows of all zones.
type View struct {
	cfg   Config
	zones map[string]*zone
	names []string
	now   units.Microseconds
	awake units.Microseconds
	taken units.Microseconds // time awake when a block was last taken over
}

// New returns a picture in which all zones serve.
func New(cfg Config) *View {
	p := &View{cfg: cfg, zones: map[string]*zone{}}
	for _, z := range cfg.Zones {
		if p.zones[z] == nil {
			p.zones[z] = &zone{}
			p.names = append(p.names, z)
		}
	}
	slices.Sort(p.names)
	return p
}

// Tick lets time pass.
func (p *View) Tick(now units.Microseconds) {
	p.awake += min(now-p.now, awakeStep)
	p.now = now
}

// HeartbeatReceived says that a machine of a zone has reported to this controller.
func (p *View) HeartbeatReceived(name string) {
	if z := p.zones[name]; z != nil {
		z.heard = p.awake
		if !z.reachable() {
			p.set(name, z, Back, "a machine reports")
		}
	}
}

// ShardAcquired says that a block was taken over: whom its machines report to changes, and until
// they have found this controller their silence says nothing.
func (p *View) ShardAcquired() {
	p.taken = p.awake
	for _, z := range p.zones {
		z.count = Count{}
	}
}

// Controllers says how many other controllers a zone has, and how many of them are heard.
func (p *View) Controllers(name string, all, alive int) {
	z := p.zones[name]
	if z == nil {
		return
	}
	if alive > z.alive && !z.reachable() {
		p.set(name, z, Back, "a controller is heard")
	}
	if alive > 0 {
		z.mute = p.now
	}
	z.peers, z.alive = all, alive
}

// quiet is how long a zone has not been heard, in time awake.
func (p *View) quiet(z *zone) units.Microseconds { return p.awake - max(z.heard, p.taken) }

// reachable reports whether a zone is heard.
func (z *zone) reachable() bool { return z.state == Serving || z.state == Back }

// muted reports whether a zone has controllers and none is heard.
func (z *zone) muted() bool { return z.peers > 0 && z.alive == 0 }

// nothingSilent reports whether nothing of a zone is left that could be heard again: no machine
// is up there, and none of its controllers is silent. Then only a new machine can show that
// the zone serves; controllers that were heard all the time show nothing.
func (z *zone) nothingSilent() bool { return z.count.Up == 0 && !z.muted() }

// bounds are the silence of a zone that puts it in doubt, and that after which its work is
// done elsewhere. Shorter cuts cost less when they are waited for.
func (p *View) bounds(z *zone) (doubt, lost units.Microseconds) {
	if z.muted() {
		return muteQuiet, p.cfg.HeartbeatInterval + units.Second
	}
	return p.cfg.HeartbeatInterval + units.Second, 3*p.cfg.HeartbeatInterval/2 + units.Second
}

// Update takes what a holder sees of its machines, a few times a second, and judges.
func (p *View) Update(counts map[string]Count) {
	for n, z := range p.zones {
		z.count = counts[n]
	}
	for _, n := range p.names {
		z := p.zones[n]
		doubt, lost := p.bounds(z)
		switch z.state {
		case Serving, Back:
			if z.count.Up > 0 && p.quiet(z) > doubt && p.othersHeard(n) {
				z.away = p.now - p.quiet(z)
				if z.muted() {
					z.away = min(z.away, z.mute) // its controllers fell silent before this one took over
				}
				p.set(n, z, Doubt, "none of its machines reports, others do")
			} else if z.state == Back && p.now-z.since >= p.calm(z) {
				p.set(n, z, Serving, "it has been heard for long enough")
			}
		case Doubt:
			if p.quiet(z) > lost && p.othersHeard(n) {
				if p.now-z.lost > forget {
					z.times = 0
				}
				z.times++
				z.lost = p.now
				p.set(n, z, Lost, fmt.Sprintf("nothing for %.0f s; %d of its %d other controllers are heard", p.quiet(z).Seconds(), z.alive, z.peers))
			}
		}
	}
}

// othersHeard reports whether this controller hears the machines of other zones well enough
// that the silence of one means something.
func (p *View) othersHeard(name string) bool {
	if p.upElsewhere(name) == 0 { // the controllers tell
		return p.zones[name].muted() && p.othersAlive(name)
	}
	up, heard := 0, 0
	for n, z := range p.zones {
		if n != name && z.reachable() {
			up += z.count.Up
			heard += z.count.Heard
		}
	}
	return heard > 0 && float64(heard) >= enough*float64(up)
}

// upElsewhere counts the machines of the other zones, whatever those are thought to do.
func (p *View) upElsewhere(name string) int {
	n := 0
	for other, z := range p.zones {
		if other != name {
			n += z.count.Up
		}
	}
	return n
}

// othersAlive reports whether controllers of other zones are heard, or there are none but
// this one, which is for its host to judge.
func (p *View) othersAlive(name string) bool {
	all, alive := 0, 0
	for other, z := range p.zones {
		if other != name {
			all += z.peers
			alive += z.alive
		}
	}
	return alive > 0 || all == 0
}

// calm is how long a zone must be heard before it is trusted again.
func (p *View) calm(z *zone) units.Microseconds { return min(calm<<max(z.times-1, 0), longestCalm) }

func (p *View) set(name string, z *zone, s State, why string) {
	p.cfg.Log.Warn("zone", "zone", name, "state", s.String(), "was", z.state.String(), "for_s", (p.now - z.since).Seconds(),
		"why", why, "up", z.count.Up, "times_lost", z.times)
	if s == Back {
		z.again = p.now
	}
	z.state, z.since = s, p.now
}

// PeerView takes what a controller that holds blocks says of the zones that do not serve. One
// that has machines of its own goes by what it hears itself.
func (p *View) PeerView(list []Status) {
	told := map[string]Status{}
	for _, s := range list {
		told[s.Zone] = s
	}
	for _, n := range p.names {
		z, s := p.zones[n], told[n]
		if n == p.cfg.Home || s.State < 0 || s.State > int(Back) {
			continue // it hears its own zone better than anybody else does
		}
		if State(s.State) != z.state {
			p.set(n, z, State(s.State), "the holder says so")
		}
		z.since, z.times = min(z.since, p.now-s.For), max(z.times, s.Times)
		if !z.reachable() {
			z.away = z.since
		}
	}
}

// Report returns what other controllers should know.
func (p *View) Report() (out []Status) {
	for _, n := range p.names {
		if z := p.zones[n]; z.state != Serving {
			out = append(out, Status{Zone: n, State: int(z.state), For: p.now - z.since, Times: z.times})
		}
	}
	return out
}

// Check reports what is wrong with an operator's word about a zone, of those that there are.
func Check(names []string, name string, w Override) error {
	if !slices.Contains(names, name) {
		return fmt.Errorf("no zone %q; there are %s", name, strings.Join(names, ", "))
	}
	if w != NoOverride && !slices.Contains(Overrides, w) {
		return fmt.Errorf("zone %s: %q is none of %v", name, w, Overrides)
	}
	return nil
}

// SetOverride takes an operator's word. A zone that does not exist is an error that names those
// that do.
func (p *View) SetOverride(name string, w Override) error {
	if err := Check(p.names, name, w); err != nil {
		return err
	}
	z := p.zones[name]
	if z.word != w {
		p.cfg.Log.Warn("zone: an operator's word", "zone", name, "word", string(w))
	}
	z.word = w
	return nil
}

// State returns a zone's state; a zone that nobody has configured serves.
func (p *View) State(name string) State {
	if z := p.zones[name]; z != nil {
		return z.state
	}
	return Serving
}

// Reachable reports whether work may be expected to go on in a zone.
func (p *View) Reachable(name string) bool {
	z := p.zones[name]
	return z == nil || z.reachable()
}

// Explains reports whether the silence of all machines is that of zones: each that has any
// is out of reach. Else it is this controller that nobody reaches.
func (p *View) Explains() bool {
	any := false
	for _, z := range p.zones {
		if z.count.Up > 0 {
			any = true
			if z.reachable() {
				return false
			}
		}
	}
	return any
}

// Lost reports whether a zone's work is to be done elsewhere.
func (p *View) Lost(name string) bool { return p.State(name) == Lost || p.DeclaredLost(name) }

// DeclaredLost reports whether an operator has said that a zone will not be back: nothing more is to
// start there, and what is empty goes.
func (p *View) DeclaredLost(name string) bool { return p.word(name) == OverrideLost }

func (p *View) word(name string) Override {
	if z := p.zones[name]; z != nil {
		return z.word
	}
	return NoOverride
}

// Keep reports whether silent machines of a lost zone should be kept, which are charged for
// as long: an operator's word counts, else how long the zone has been away. Each second
// that they are kept costs their price, and to return them costs what it takes to rent
// them anew once the zone is back: whoever keeps them until that much has been spent since
// nothing can run on them any more pays at most twice what it would have cost to know how
// long the cut lasts.
func (p *View) Keep(name string, most units.Microseconds) bool {
	z := p.zones[name]
	switch {
	case z == nil || z.reachable():
		return true
	case z.word == OverrideReturning:
		return true
	case z.word == OverrideLost:
		return false
	}
	return p.now-z.away < most
}

// Returning reports whether an operator has said that a zone will be back.
func (p *View) Returning(name string) bool { return p.word(name) == OverrideReturning }

// Rents says how many machines may be rented into a zone at present; -1: any number.
func (p *View) Rents(name string) int {
	switch z := p.zones[name]; {
	case z == nil:
		return -1
	case z.word == OverrideLost:
		return 0
	case z.state == Doubt || z.state == Lost:
		if z.nothingSilent() && p.now-z.since >= probeAfter {
			return 1
		}
		return 0
	case z.state == Back:
		return probe // in steps, until it has shown that it stays
	}
	return -1
}

// For is how long a zone has been in its state.
func (p *View) For(name string) units.Microseconds {
	if z := p.zones[name]; z != nil {
		return p.now - z.since
	}
	return units.Never
}

// Again is how long ago a zone came back; a zone that always served came back long ago.
func (p *View) Again(name string) units.Microseconds {
	if z := p.zones[name]; z != nil && z.again > 0 {
		return p.now - z.again
	}
	return units.Never
}

// ZoneStats is a zone as people see it.
type ZoneStats struct {
	Zone             string
	State            State
	For              units.Microseconds
	Up, Heard        int
	Times            int
	Word             Override
	Controllers      int // other ones of the zone
	ControllersHeard int
}

// Stats returns all zones by name.
func (p *View) Stats() (out []ZoneStats) {
	for _, n := range p.names {
		z := p.zones[n]
		out = append(out, ZoneStats{n, z.state, p.now - z.since, z.count.Up, z.count.Heard, z.times, z.word, z.peers, z.alive})
	}
	return out
}
