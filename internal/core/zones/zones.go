// Package zones keeps one view of each zone: whether it serves, is in doubt, is lost, or is
// returning, by what evidence and since when. Whoever scales out, detects failures of machines or
// places work asks it, and nobody else decides what the silence of a zone means.
//
// The package is pure, and its memory is a few figures for each zone. Time is counted while this
// process is awake: a process that stood still has received nothing, which says nothing of zones.
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

// States. A zone that was lost is returning once any of its machines or controllers is
// responsive, and serves again once it has been so for long enough.
const (
	Serving State = iota
	Doubt         // unresponsive for longer than chance explains
	Lost          // and for so long that its work must be done elsewhere
	Back          // responsive again, and not yet trusted
)

// States lists all.
var States = []State{Serving, Doubt, Lost, Back}

// String names a state for people.
func (s State) String() string { return [...]string{"serving", "doubt", "lost", "back"}[s] }

// Override is an operator's statement about a zone.
type Override string

// Overrides; their texts are stored. Without one the view goes by its evidence.
const (
	NoOverride        Override = ""
	OverrideReturning Override = "returns" // it will be back: its machines are kept
	OverrideLost      Override = "gone"    // it will not: its machines are returned
)

// Overrides lists what an operator may state.
var Overrides = []Override{OverrideReturning, OverrideLost}

// Status is what controllers send each other of a zone that does not serve. The names of its fields
// are sent too.
type Status struct {
	Zone  string
	State int
	For   units.Microseconds // since the state began
	Times int                // how often the zone was lost lately
}

// Count is what an owner of shards sees of a zone's machines: those that are up, as far as is known,
// and of them those that have sent a heartbeat lately.
type Count struct{ Up, Responsive int }

// Config says which zones there are.
type Config struct {
	Zones             []string
	Home              string // this controller's zone
	HeartbeatInterval units.Microseconds
	Log               *slog.Logger
}

const (
	// controllersSilentFor is the silence of a zone's machines that counts where all its controllers
	// are unresponsive too. Where they are not, or there are none, each machine must have had the time
	// for a heartbeat: those that were scaled out together, or that came back from a cut, send theirs
	// all at once, and nothing in between.
	controllersSilentFor = 2 * units.Second
	// responsiveShare is the share of the other zones' machines that must be responsive: where none
	// is, it is this controller that no machine reaches.
	responsiveShare = 0.5
	// A zone that was lost is trusted once it has been responsive for trustAfter; each further loss
	// within forgetLossAfter doubles that, up to longestTrustAfter.
	trustAfter        = 4 * units.Second
	longestTrustAfter = 64 * units.Second
	forgetLossAfter   = 300 * units.Second
	// returningScaleOut is how many machines are scaled out at once into a zone that is returning,
	// and probeMachineAfter when one is into a zone that is in doubt or lost and in which nothing
	// remains that could become responsive again.
	returningScaleOut = 5
	probeMachineAfter = 60 * units.Second
	// awakeStep is the most that one tick adds to the time awake.
	awakeStep = units.Second / 10
)

// zone is what is known of one zone.
type zone struct {
	state            State
	since            units.Microseconds // when the state began
	lastHeartbeatAt  units.Microseconds // time awake at the last heartbeat of a machine of the zone
	unreachableSince units.Microseconds // since when the zone is unresponsive: lost since then, if it is
	times            int
	lostAt           units.Microseconds // when it was last lost
	returnedAt       units.Microseconds // when it last came back; 0: never
	count            Count
	peers            int                // other controllers of the zone
	lastControllerAt units.Microseconds // when one of them was last alive
	alive            int                // of them, those that are alive
	override         Override
}

// View is what a controller knows of all zones. Use New.
type View struct {
	cfg        Config
	zones      map[string]*zone
	names      []string
	now        units.Microseconds
	awake      units.Microseconds
	acquiredAt units.Microseconds // time awake when a shard was last acquired
}

// New returns a view in which all zones serve.
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

// HeartbeatReceived says that a machine of a zone has sent this controller a heartbeat.
func (p *View) HeartbeatReceived(name string) {
	if z := p.zones[name]; z != nil {
		z.lastHeartbeatAt = p.awake
		if !z.reachable() {
			p.set(name, z, Back, "a machine sends heartbeats")
		}
	}
}

// ShardAcquired says that this controller has acquired a shard: until the shard's machines have found
// it, their silence says nothing.
func (p *View) ShardAcquired() {
	p.acquiredAt = p.awake
	for _, z := range p.zones {
		z.count = Count{}
	}
}

// Controllers says how many other controllers a zone has, and how many of them are alive.
func (p *View) Controllers(name string, all, alive int) {
	z := p.zones[name]
	if z == nil {
		return
	}
	if alive > z.alive && !z.reachable() {
		p.set(name, z, Back, "a controller is alive")
	}
	if alive > 0 {
		z.lastControllerAt = p.now
	}
	z.peers, z.alive = all, alive
}

// silentFor is how long no machine of a zone has sent a heartbeat, in time awake.
func (p *View) silentFor(z *zone) units.Microseconds {
	return p.awake - max(z.lastHeartbeatAt, p.acquiredAt)
}

// reachable reports whether a zone is responsive.
func (z *zone) reachable() bool { return z.state == Serving || z.state == Back }

// controllersUnresponsive reports whether a zone has controllers and none is alive.
func (z *zone) controllersUnresponsive() bool { return z.peers > 0 && z.alive == 0 }

// nothingToReturn reports whether nothing of a zone remains that could become responsive again: no
// machine is up there, and none of its controllers is unresponsive. Then only a new machine can show
// that the zone serves; controllers that were alive all the time show nothing.
func (z *zone) nothingToReturn() bool { return z.count.Up == 0 && !z.controllersUnresponsive() }

// bounds are the silence of a zone that puts it in doubt, and that after which its work is
// done elsewhere. Shorter cuts cost less when they are waited for.
func (p *View) bounds(z *zone) (doubt, lost units.Microseconds) {
	if z.controllersUnresponsive() {
		return controllersSilentFor, p.cfg.HeartbeatInterval + units.Second
	}
	return p.cfg.HeartbeatInterval + units.Second, 3*p.cfg.HeartbeatInterval/2 + units.Second
}

// Update takes what an owner sees of its machines, a few times a second, and judges.
func (p *View) Update(counts map[string]Count) {
	for name, zone := range p.zones {
		zone.count = counts[name]
	}
	for _, name := range p.names {
		zone := p.zones[name]
		doubt, lost := p.bounds(zone)
		switch zone.state {
		case Serving, Back:
			if zone.count.Up > 0 && p.silentFor(zone) > doubt && p.othersResponsive(name) {
				zone.unreachableSince = p.now - p.silentFor(zone)
				if zone.controllersUnresponsive() {
					zone.unreachableSince = min(zone.unreachableSince, zone.lastControllerAt) // its controllers fell silent before this one took over
				}
				p.set(name, zone, Doubt, "none of its machines sends heartbeats, others do")
			} else if zone.state == Back && p.now-zone.since >= p.trustedAfter(zone) {
				p.set(name, zone, Serving, "it has been responsive for long enough")
			}
		case Doubt:
			if p.silentFor(zone) > lost && p.othersResponsive(name) {
				if p.now-zone.lostAt > forgetLossAfter {
					zone.times = 0
				}
				zone.times++
				zone.lostAt = p.now
				p.set(name, zone, Lost, fmt.Sprintf("nothing for %.0f s; %d of its %d other controllers are alive", p.silentFor(zone).Seconds(), zone.alive, zone.peers))
			}
		}
	}
}

// othersResponsive reports whether enough machines of other zones are responsive that the silence of
// one zone means something.
func (p *View) othersResponsive(name string) bool {
	if p.upElsewhere(name) == 0 { // the controllers tell
		return p.zones[name].controllersUnresponsive() && p.othersAlive(name)
	}
	up, responsive := 0, 0
	for other, z := range p.zones {
		if other != name && z.reachable() {
			up += z.count.Up
			responsive += z.count.Responsive
		}
	}
	return responsive > 0 && float64(responsive) >= responsiveShare*float64(up)
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

// othersAlive reports whether controllers of other zones are alive, or there are none but
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

// trustedAfter is how long a zone must be responsive before it is trusted again.
func (p *View) trustedAfter(z *zone) units.Microseconds {
	return min(trustAfter<<max(z.times-1, 0), longestTrustAfter)
}

func (p *View) set(name string, z *zone, s State, why string) {
	p.cfg.Log.Warn("zone", "zone", name, "state", s.String(), "was", z.state.String(), "for_s", (p.now - z.since).Seconds(),
		"why", why, "up", z.count.Up, "times_lost", z.times)
	if s == Back {
		z.returnedAt = p.now
	}
	z.state, z.since = s, p.now
}

// ReceivePeerView takes what an owner of shards says of the zones that do not serve. A controller that
// has machines of its own goes by their heartbeats.
func (p *View) ReceivePeerView(list []Status) {
	received := map[string]Status{}
	for _, status := range list {
		received[status.Zone] = status
	}
	for _, name := range p.names {
		zone, status := p.zones[name], received[name]
		if name == p.cfg.Home || status.State < 0 || status.State > int(Back) {
			continue // it knows its own zone better than anybody else does
		}
		if State(status.State) != zone.state {
			p.set(name, zone, State(status.State), "an owner of shards says so")
		}
		zone.since, zone.times = min(zone.since, p.now-status.For), max(zone.times, status.Times)
		if !zone.reachable() {
			zone.unreachableSince = zone.since
		}
	}
}

// Statuses returns what other controllers should know.
func (p *View) Statuses() (out []Status) {
	for _, n := range p.names {
		if z := p.zones[n]; z.state != Serving {
			out = append(out, Status{Zone: n, State: int(z.state), For: p.now - z.since, Times: z.times})
		}
	}
	return out
}

// Check reports what is wrong with an override of a zone, of those that there are.
func Check(names []string, name string, w Override) error {
	if !slices.Contains(names, name) {
		return fmt.Errorf("no zone %q; there are %s", name, strings.Join(names, ", "))
	}
	if w != NoOverride && !slices.Contains(Overrides, w) {
		return fmt.Errorf("zone %s: %q is none of %v", name, w, Overrides)
	}
	return nil
}

// SetOverride takes an operator's override. A zone that does not exist is an error that names those
// that do.
func (p *View) SetOverride(name string, w Override) error {
	if err := Check(p.names, name, w); err != nil {
		return err
	}
	z := p.zones[name]
	if z.override != w {
		p.cfg.Log.Warn("operator override", "zone", name, "override", string(w))
	}
	z.override = w
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

// ExplainsSilence reports whether the silence of all machines is that of zones: each that has any
// is out of reach. Else it is this controller that no machine reaches.
func (p *View) ExplainsSilence() bool {
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

// DeclaredLost reports whether an operator has stated that a zone will not be back: nothing more is to
// start there, and empty machines are deprovisioned.
func (p *View) DeclaredLost(name string) bool { return p.overrideOf(name) == OverrideLost }

func (p *View) overrideOf(name string) Override {
	if z := p.zones[name]; z != nil {
		return z.override
	}
	return NoOverride
}

// Keep reports whether unresponsive machines of a lost zone should be kept, which are charged for
// as long: an operator's override counts, else how long the zone has been unresponsive. Each second
// that they are kept costs their price, and to deprovision them costs what it takes to scale out
// anew once the zone is back: whoever keeps them until that much has been spent since nothing can run
// on them any more pays at most twice what it would have cost to know how long the cut lasts.
func (p *View) Keep(name string, most units.Microseconds) bool {
	z := p.zones[name]
	switch {
	case z == nil || z.reachable():
		return true
	case z.override == OverrideReturning:
		return true
	case z.override == OverrideLost:
		return false
	}
	return p.now-z.unreachableSince < most
}

// Returning reports whether an operator has stated that a zone will be back.
func (p *View) Returning(name string) bool { return p.overrideOf(name) == OverrideReturning }

// ScaleOutLimit is how many machines may be scaled out into a zone at present; -1: any number.
func (p *View) ScaleOutLimit(name string) int {
	switch z := p.zones[name]; {
	case z == nil:
		return -1
	case z.override == OverrideLost:
		return 0
	case z.state == Doubt || z.state == Lost:
		if z.nothingToReturn() && p.now-z.since >= probeMachineAfter {
			return 1
		}
		return 0
	case z.state == Back:
		return returningScaleOut // in steps, until it has shown that it stays
	}
	return -1
}

// For is how long a zone has been in its state.
func (p *View) For(name string) units.Microseconds {
	if z := p.zones[name]; z != nil {
		return p.now - z.since
	}
	return units.MaxTime
}

// ReturnedFor is how long ago a zone came back; a zone that always served came back long ago.
func (p *View) ReturnedFor(name string) units.Microseconds {
	if z := p.zones[name]; z != nil && z.returnedAt > 0 {
		return p.now - z.returnedAt
	}
	return units.MaxTime
}

// ZoneStats is a zone as people see it.
type ZoneStats struct {
	Zone             string
	State            State
	For              units.Microseconds
	Up, Responsive   int
	Times            int
	Override         Override
	Controllers      int // other ones of the zone
	ControllersAlive int
}

// Stats returns all zones by name.
func (p *View) Stats() (out []ZoneStats) {
	for _, n := range p.names {
		z := p.zones[n]
		out = append(out, ZoneStats{n, z.state, p.now - z.since, z.count.Up, z.count.Responsive, z.times, z.override, z.peers, z.alive})
	}
	return out
}
