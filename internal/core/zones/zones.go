// Package zones maintains a controller's view of each zone: whether it is serving, suspect, lost or
// recovering, since when and on what evidence. Scale-out, failure detection and scheduling all use this
// view, and no other package decides what it means that a zone's machines send no heartbeats.
//
// The package does no I/O and reads no clock, and keeps a few numbers for each zone. Silence is measured
// in time during which this process was awake: a paused process has received nothing, which says nothing
// about zones.
package zones

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/units"
)

// State is the state of a zone.
type State int

// States of a zone. A lost zone is recovering once any of its machines or controllers responds, and is
// serving again once it has been responsive for long enough.
const (
	Serving    State = iota
	Suspect          // silent for longer than chance explains
	Lost             // silent for so long that its work must be done in other zones
	Recovering       // responsive again but not trusted yet
)

// States lists all states.
var States = []State{Serving, Suspect, Lost, Recovering}

// String returns the name of a state as operators see it.
func (s State) String() string { return [...]string{"serving", "doubt", "lost", "back"}[s] }

// Override is an operator's statement about the future of a zone, which takes precedence over the
// evidence.
type Override string

// Overrides. Their values are stored. Without an override the evidence decides.
const (
	NoOverride        Override = ""
	OverrideReturning Override = "returns" // the zone will be back: its machines are kept
	OverrideLost      Override = "gone"    // the zone will not be back: its machines are deprovisioned
)

// Overrides lists the overrides that an operator may set.
var Overrides = []Override{OverrideReturning, OverrideLost}

// Status is the message that controllers exchange about a zone that is not serving. It is encoded under
// the names of its fields.
type Status struct {
	Zone  string
	State int
	For   units.Microseconds // time in the state
	Times int                // number of recent losses of the zone
}

// Count is the number of a zone's machines that an owner of shards knows to be up, and of those the
// number that have sent a heartbeat recently.
type Count struct{ Up, Responsive int }

// Config holds the settings of a View.
type Config struct {
	Zones             []string
	Home              string // this controller's own zone
	HeartbeatInterval units.Microseconds
	Log               *slog.Logger
}

const (
	// suspectAfterControllersSilent is the silence of a zone's machines after which the zone is suspect
	// if all its controllers are unresponsive too. If they are not, or there are none, each machine must
	// have had time for a heartbeat: machines that were scaled out together, or that were cut off
	// together by a network partition, send their heartbeats all at once and nothing in between.
	suspectAfterControllersSilent = 2 * units.Second
	// responsiveShare is the share of the other zones' machines that must be responsive for the silence of a
	// zone to count. If none is, the cause is rather that no machine can reach this controller.
	responsiveShare = 0.5
	// minTrustDelay is the time for which a lost zone must be responsive before it is trusted again. Each
	// further loss within lossCountResetAfter doubles it, up to maxTrustDelay.
	minTrustDelay       = 4 * units.Second
	maxTrustDelay       = 64 * units.Second
	lossCountResetAfter = 300 * units.Second
	// recoveringScaleOutLimit is the number of machines that may be scaled out at once into a recovering
	// zone. After probeMachineAfter, a single machine may be scaled out into a suspect or lost zone in
	// which nothing is left that could become responsive again.
	recoveringScaleOutLimit = 5
	probeMachineAfter       = 60 * units.Second
	// maxAwakePerTick is the most that one tick adds to the time awake.
	maxAwakePerTick = units.Second / 10
)

// zone is the view of one zone.
type zone struct {
	state             State
	since             units.Microseconds // time at which the state began
	lastHeartbeatAt   units.Microseconds // time awake at the last heartbeat of one of the zone's machines
	unreachableSince  units.Microseconds // start of the present silence; a lost zone has been lost since then
	timesLost         int
	lostAt            units.Microseconds // time at which the zone was last lost
	recoveredAt       units.Microseconds // time at which it last became responsive again; 0 if it was never unresponsive
	count             Count
	controllers       int                // number of other controllers in the zone
	controllerAliveAt units.Microseconds // time at which one of them was last alive
	controllersAlive  int                // number of them that are alive
	override          Override
}

// View is a controller's view of all zones. Use New to create one.
type View struct {
	cfg        Config
	zones      map[string]*zone
	names      []string
	now        units.Microseconds
	awake      units.Microseconds
	acquiredAt units.Microseconds // time awake at which a shard was last acquired
}

// New returns a View in which all zones are serving.
func New(cfg Config) *View {
	v := &View{cfg: cfg, zones: map[string]*zone{}}
	for _, z := range cfg.Zones {
		if v.zones[z] == nil {
			v.zones[z] = &zone{}
			v.names = append(v.names, z)
		}
	}
	slices.Sort(v.names)
	return v
}

// Tick advances the clock to now.
func (v *View) Tick(now units.Microseconds) {
	v.awake += min(now-v.now, maxAwakePerTick)
	v.now = now
}

// HeartbeatReceived records that a machine of a zone has sent this controller a heartbeat.
func (v *View) HeartbeatReceived(name string) {
	if z := v.zones[name]; z != nil {
		z.lastHeartbeatAt = v.awake
		if !z.reachable() {
			v.setState(name, z, Recovering, "a machine sends heartbeats")
		}
	}
}

// ShardAcquired records that this controller has acquired a shard. Until the shard's machines have found
// it, their silence is no evidence.
func (v *View) ShardAcquired() {
	v.acquiredAt = v.awake
	for _, z := range v.zones {
		z.count = Count{}
	}
}

// SetControllers records the number of a zone's controllers other than this one, and how many of them are
// alive.
func (v *View) SetControllers(name string, all, alive int) {
	z := v.zones[name]
	if z == nil {
		return
	}
	if alive > z.controllersAlive && !z.reachable() {
		v.setState(name, z, Recovering, "a controller is alive")
	}
	if alive > 0 {
		z.controllerAliveAt = v.now
	}
	z.controllers, z.controllersAlive = all, alive
}

// silentFor returns the time awake since a machine of a zone last sent a heartbeat.
func (v *View) silentFor(z *zone) units.Microseconds {
	return v.awake - max(z.lastHeartbeatAt, v.acquiredAt)
}

// reachable reports whether a zone is serving or recovering.
func (z *zone) reachable() bool { return z.state == Serving || z.state == Recovering }

// controllersUnresponsive reports whether a zone has other controllers and none of them is alive.
func (z *zone) controllersUnresponsive() bool { return z.controllers > 0 && z.controllersAlive == 0 }

// hasNothingToRecover reports whether nothing is left in a zone that could become responsive again: no
// machine is up there, and its controllers are not unresponsive. Then only a new machine can show that
// the zone works. Controllers that were alive all the time are no evidence.
func (z *zone) hasNothingToRecover() bool { return z.count.Up == 0 && !z.controllersUnresponsive() }

// silenceBounds returns the silence after which a zone is suspect, and the silence after which it is lost
// and its work is done in other zones. For a shorter network partition it costs less to wait.
func (v *View) silenceBounds(z *zone) (suspect, lost units.Microseconds) {
	if z.controllersUnresponsive() {
		return suspectAfterControllersSilent, v.cfg.HeartbeatInterval + units.Second
	}
	return v.cfg.HeartbeatInterval + units.Second, 3*v.cfg.HeartbeatInterval/2 + units.Second
}

// Update records an owner's counts of its machines by zone, and updates the state of every zone. It is
// called a few times a second.
func (v *View) Update(counts map[string]Count) {
	for name, zone := range v.zones {
		zone.count = counts[name]
	}
	for _, name := range v.names {
		zone := v.zones[name]
		suspect, lost := v.silenceBounds(zone)
		switch zone.state {
		case Serving, Recovering:
			if zone.count.Up > 0 && v.silentFor(zone) > suspect && v.othersResponsive(name) {
				zone.unreachableSince = v.now - v.silentFor(zone)
				if zone.controllersUnresponsive() {
					// The zone's controllers became silent before this controller acquired its shards.
					zone.unreachableSince = min(zone.unreachableSince, zone.controllerAliveAt)
				}
				v.setState(name, zone, Suspect, "none of its machines sends heartbeats, others do")
			} else if zone.state == Recovering && v.now-zone.since >= v.trustDelay(zone) {
				v.setState(name, zone, Serving, "it has been responsive for long enough")
			}
		case Suspect:
			if v.silentFor(zone) > lost && v.othersResponsive(name) {
				if v.now-zone.lostAt > lossCountResetAfter {
					zone.timesLost = 0
				}
				zone.timesLost++
				zone.lostAt = v.now
				v.setState(name, zone, Lost, fmt.Sprintf("no heartbeat for %.0f s; %d of its %d other controllers are alive", v.silentFor(zone).Seconds(), zone.controllersAlive, zone.controllers))
			}
		}
	}
}

// othersResponsive reports whether enough machines of other zones are responsive for the silence of one
// zone to be evidence against that zone.
func (v *View) othersResponsive(name string) bool {
	if v.machinesUpElsewhere(name) == 0 { // no machine elsewhere to compare with: the controllers decide
		return v.zones[name].controllersUnresponsive() && v.otherControllersAlive(name)
	}
	up, responsive := 0, 0
	for other, z := range v.zones {
		if other != name && z.reachable() {
			up += z.count.Up
			responsive += z.count.Responsive
		}
	}
	return responsive > 0 && float64(responsive) >= responsiveShare*float64(up)
}

// machinesUpElsewhere returns the number of machines that are up in other zones, whatever the states of
// those zones.
func (v *View) machinesUpElsewhere(name string) int {
	n := 0
	for other, z := range v.zones {
		if other != name {
			n += z.count.Up
		}
	}
	return n
}

// otherControllersAlive reports whether a controller of another zone is alive. It also reports true if there
// is none other than this controller, whose own reachability the caller must assess.
func (v *View) otherControllersAlive(name string) bool {
	all, alive := 0, 0
	for other, z := range v.zones {
		if other != name {
			all += z.controllers
			alive += z.controllersAlive
		}
	}
	return alive > 0 || all == 0
}

// trustDelay returns the time for which a recovering zone must be responsive before it is trusted again.
func (v *View) trustDelay(z *zone) units.Microseconds {
	return min(minTrustDelay<<max(z.timesLost-1, 0), maxTrustDelay)
}

func (v *View) setState(name string, z *zone, s State, why string) {
	v.cfg.Log.Warn("zone state changed", "zone", name, "state", s.String(), "was", z.state.String(), "for_s", (v.now - z.since).Seconds(),
		"why", why, "up", z.count.Up, "times_lost", z.timesLost)
	if s == Recovering {
		z.recoveredAt = v.now
	}
	z.state, z.since = s, v.now
}

// ApplyPeerStatuses applies the statuses that an owner of shards reports of zones that are not serving.
// It is for controllers without machines; a controller that has machines relies on their heartbeats.
func (v *View) ApplyPeerStatuses(list []Status) {
	received := map[string]Status{}
	for _, status := range list {
		received[status.Zone] = status
	}
	for _, name := range v.names {
		zone, status := v.zones[name], received[name]
		if name == v.cfg.Home || status.State < 0 || status.State > int(Recovering) {
			continue // this controller knows its own zone better than any other does
		}
		if State(status.State) != zone.state {
			v.setState(name, zone, State(status.State), "reported by an owner of shards")
		}
		zone.since, zone.timesLost = min(zone.since, v.now-status.For), max(zone.timesLost, status.Times)
		if !zone.reachable() {
			zone.unreachableSince = zone.since
		}
	}
}

// Statuses returns the statuses of the zones that are not serving, to be sent to other controllers.
func (v *View) Statuses() (out []Status) {
	for _, n := range v.names {
		if z := v.zones[n]; z.state != Serving {
			out = append(out, Status{Zone: n, State: int(z.state), For: v.now - z.since, Times: z.timesLost})
		}
	}
	return out
}

// ValidateOverride returns an error if the zone is not one of names, or the override is not a known one.
func ValidateOverride(names []string, name string, override Override) error {
	if !slices.Contains(names, name) {
		return fmt.Errorf("no zone %q; there are %s", name, strings.Join(names, ", "))
	}
	if override != NoOverride && !slices.Contains(Overrides, override) {
		return fmt.Errorf("zone %s: %q is none of %v", name, override, Overrides)
	}
	return nil
}

// SetOverride sets an operator's override of a zone; NoOverride removes it. The error for a zone that
// does not exist lists those that do.
func (v *View) SetOverride(name string, override Override) error {
	if err := ValidateOverride(v.names, name, override); err != nil {
		return err
	}
	z := v.zones[name]
	if z.override != override {
		v.cfg.Log.Warn("operator override changed", "zone", name, "override", string(override))
	}
	z.override = override
	return nil
}

// State returns a zone's state. A zone that is not configured counts as serving.
func (v *View) State(name string) State {
	if z := v.zones[name]; z != nil {
		return z.state
	}
	return Serving
}

// Reachable reports whether work in a zone can be expected to go on.
func (v *View) Reachable(name string) bool {
	z := v.zones[name]
	return z == nil || z.reachable()
}

// AllZonesUnreachable reports whether every zone with machines that are up is unreachable, and there is
// such a zone. This explains why no machine sends heartbeats; otherwise it is this controller that no
// machine can reach.
func (v *View) AllZonesUnreachable() bool {
	anyUp := false
	for _, z := range v.zones {
		if z.count.Up > 0 {
			anyUp = true
			if z.reachable() {
				return false
			}
		}
	}
	return anyUp
}

// Lost reports whether a zone's work is to be done in other zones.
func (v *View) Lost(name string) bool { return v.State(name) == Lost || v.DeclaredLost(name) }

// DeclaredLost reports whether an operator has stated that a zone will not be back: nothing more may
// start there, and machines without tasks are deprovisioned.
func (v *View) DeclaredLost(name string) bool { return v.overrideOf(name) == OverrideLost }

func (v *View) overrideOf(name string) Override {
	if z := v.zones[name]; z != nil {
		return z.override
	}
	return NoOverride
}

// KeepMachines reports whether the unresponsive machines of a lost zone should be kept, though the cloud
// charges for them meanwhile. An operator's override decides; without one the time for which the zone has
// been unresponsive does.
//
// Keeping machines costs their price for every second. Deprovisioning them costs a new scale-out once the
// zone is back. A controller that keeps them until it has spent that much, from when nothing can run on
// them any more, pays at most twice what it would have paid if it had known the length of the partition.
// most is the time after which machines are not kept any more.
func (v *View) KeepMachines(name string, most units.Microseconds) bool {
	z := v.zones[name]
	switch {
	case z == nil || z.reachable():
		return true
	case z.override == OverrideReturning:
		return true
	case z.override == OverrideLost:
		return false
	}
	return v.now-z.unreachableSince < most
}

// DeclaredReturning reports whether an operator has stated that a zone will be back.
func (v *View) DeclaredReturning(name string) bool { return v.overrideOf(name) == OverrideReturning }

// ScaleOutLimit returns the number of machines that may be scaled out into a zone at present; -1 means no
// limit.
func (v *View) ScaleOutLimit(name string) int {
	switch z := v.zones[name]; {
	case z == nil:
		return -1
	case z.override == OverrideLost:
		return 0
	case z.state == Suspect || z.state == Lost:
		if z.hasNothingToRecover() && v.now-z.since >= probeMachineAfter {
			return 1
		}
		return 0
	case z.state == Recovering:
		return recoveringScaleOutLimit // in steps, until the zone has proved stable
	}
	return -1
}

// StateAge returns the time for which a zone has been in its state, or units.MaxTime for a zone that is not
// configured.
func (v *View) StateAge(name string) units.Microseconds {
	if z := v.zones[name]; z != nil {
		return v.now - z.since
	}
	return units.MaxTime
}

// SinceRecovery returns the time since a zone last became responsive again, or units.MaxTime if it was
// never unresponsive.
func (v *View) SinceRecovery(name string) units.Microseconds {
	if z := v.zones[name]; z != nil && z.recoveredAt > 0 {
		return v.now - z.recoveredAt
	}
	return units.MaxTime
}

// ZoneStats is the view of a zone as shown to operators.
type ZoneStats struct {
	Zone             string
	State            State
	For              units.Microseconds
	Up, Responsive   int
	Times            int
	Override         Override
	Controllers      int // other controllers in the zone
	ControllersAlive int
}

// Stats returns the statistics of all zones, ordered by name.
func (v *View) Stats() (out []ZoneStats) {
	for _, n := range v.names {
		z := v.zones[n]
		out = append(out, ZoneStats{n, z.state, v.now - z.since, z.count.Up, z.count.Responsive, z.timesLost, z.override, z.controllers, z.controllersAlive})
	}
	return out
}
