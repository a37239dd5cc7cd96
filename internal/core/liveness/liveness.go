package liveness

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/provisioner"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/core/zones"
)

// Host is the shard whose machines are watched.
type Host interface {
	// Machines are those of the shard, by name.
	Machines() map[string]*fleet.Machine
	// Unreconciled are those of them on which tasks of earlier owners may run.
	Unreconciled() map[string]bool
	// ProbesExhausted reports whether each unreconciled machine has been probed as often as any is,
	// in vain.
	ProbesExhausted() bool
	// LeaseExpired says that a machine's lease has expired: nothing runs there any more. It may
	// remove the machine from Machines, and must not call the Detector.
	LeaseExpired(machine *fleet.Machine)
}

// Config says which machines are unresponsive.
type Config struct {
	HeartbeatInterval units.Microseconds
	OwnedSince        units.Microseconds // when the shard was acquired
	Zones             []string
	Log               *slog.Logger
}

// Detector is the failure detection of a shard's machines. It owns what is suspected of zones; the
// machines are their shard's.
type Detector struct {
	cfg         Config
	host        Host
	provisioner *provisioner.Provisioner
	zones       *zones.View
	// suspectAt is when most machines of a zone were last unresponsive, so that rather this node
	// than they may be unreachable.
	suspectAt map[string]units.Microseconds
}

// New returns the Detector of a shard that was just acquired. Machines that are given up go to the
// Provisioner.
func New(cfg Config, host Host, machineProvisioner *provisioner.Provisioner, view *zones.View) *Detector {
	return &Detector{cfg: cfg, host: host, provisioner: machineProvisioner, zones: view, suspectAt: map[string]units.Microseconds{}}
}

const (
	// responsiveWeight is how many unresponsive machines one responsive machine outweighs.
	responsiveWeight = 4
	// noticeGrace is how long after its notice a machine may still send heartbeats.
	noticeGrace = units.Second / 2
	// probeGrace is how long, beside the time of a heartbeat, unreconciled machines have to answer.
	probeGrace = units.Second
)

// timeout is how long a machine may be without a heartbeat before it is unresponsive.
func (d *Detector) timeout() units.Microseconds { return 2*d.cfg.HeartbeatInterval + 2*units.Second }

func byName(a, b *fleet.Machine) int { return strings.Compare(a.Name, b.Name) }

// survey is what one look at all machines has found.
type survey struct {
	expired      []*fleet.Machine // leases
	unresponsive []*fleet.Machine
	responsive   map[string]int // machines, by zone
	zones        map[string]zones.Count
}

// Sweep looks at all machines, a few times a second, and acts on those that are unresponsive.
func (d *Detector) Sweep(now units.Microseconds) {
	seen := d.survey(now)
	d.zones.Update(seen.zones)
	slices.SortFunc(seen.expired, byName)
	slices.SortFunc(seen.unresponsive, byName)
	for _, machine := range seen.expired {
		d.host.LeaseExpired(machine)
	}
	d.releaseUnlisted()
	d.releaseLastUnreconciled(now)
	if d.provisioner.Ready(now) {
		d.releaseUnresponsive(now, seen)
		d.provisioner.Flush()
	}
}

// survey looks at all machines.
func (d *Detector) survey(now units.Microseconds) survey {
	seen := survey{responsive: map[string]int{}, zones: map[string]zones.Count{}}
	timeout, deadline := d.timeout(), HeartbeatDeadline(d.cfg.HeartbeatInterval)
	for _, machine := range d.host.Machines() {
		zone := machine.Record.Zone
		responsive := machine.LastSeen != 0 && now-machine.LastSeen < deadline
		if (machine.LeaseEnd != 0 || machine.Lost) && !machine.Deprovisioning && machine.Notice == units.MaxTime {
			count := seen.zones[zone]
			count.Up++
			if responsive {
				count.Responsive++
			}
			seen.zones[zone] = count
		}
		switch {
		case machine.LeaseEnd == 0:
		case now >= machine.LeaseEnd:
			seen.expired = append(seen.expired, machine)
		case machine.Deprovisioning:
		case machine.Notice != units.MaxTime:
			if now > machine.Notice+noticeGrace {
				seen.unresponsive = append(seen.unresponsive, machine)
			}
		case responsive:
			seen.responsive[zone]++
		case now-max(machine.LastSeen, d.cfg.OwnedSince) > timeout:
			seen.unresponsive = append(seen.unresponsive, machine)
		}
	}
	return seen
}

// releaseLastUnreconciled gives up the last few unreconciled machines that do not answer. All work
// accepted earlier waits for them. Most likely they are deleted: what they may run is worth less
// than what waits.
func (d *Detector) releaseLastUnreconciled(now units.Microseconds) {
	machines, unreconciled := d.host.Machines(), d.host.Unreconciled()
	if len(unreconciled) == 0 || len(unreconciled) > provisioner.FewOf(len(machines)) {
		return
	}
	timedOut := now-d.cfg.OwnedSince > HeartbeatDeadline(d.cfg.HeartbeatInterval)+probeGrace
	if !timedOut && !d.host.ProbesExhausted() {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(unreconciled)) {
		if machine := machines[name]; machine != nil && !machine.Deprovisioning && machine.LastSeen == 0 {
			d.cfg.Log.Warn("machine unresponsive since the shard was acquired", "machine", name)
			d.provisioner.Release(machine)
		}
	}
}

// releaseUnlisted gives up the machines of earlier owners that the cloud does not list any more and
// that have sent no heartbeat. Without an address they cannot be probed, and there may be many:
// while the state service is away, an owner cannot store which it deprovisions. Were a list to lack
// most machines, the list would be at fault (TestMachineThatIsGoneIsNotWaitedFor).
func (d *Detector) releaseUnlisted() {
	var unlisted []*fleet.Machine
	machines := d.host.Machines()
	for _, name := range slices.Sorted(maps.Keys(d.host.Unreconciled())) {
		if machine := machines[name]; machine != nil && machine.Unlisted && !machine.Deprovisioning && machine.LastSeen == 0 {
			unlisted = append(unlisted, machine)
		}
	}
	if len(unlisted) == 0 || 2*len(unlisted) > len(machines) {
		return
	}
	d.cfg.Log.Warn("unreconciled machines are not on the cloud's list", "machines", len(unlisted))
	for _, machine := range unlisted {
		d.provisioner.Release(machine)
	}
}

// releaseUnresponsive gives up machines: once the cloud has said that they are deleted their tasks
// may start elsewhere, long before their lease would have expired. A machine whose notice has
// expired is expected to be deleted. Any other is given up only while enough machines of its zone
// are responsive: otherwise it is more likely this node that cannot be reached. They need not be
// most: when the greater part of a zone's spot machines was reclaimed while controllers were down,
// work accepted earlier waited for the leases of the deleted ones (TestSilentZone).
func (d *Detector) releaseUnresponsive(now units.Microseconds, seen survey) {
	count := map[string]int{} // unresponsive without notice, by zone
	for _, machine := range seen.unresponsive {
		if machine.Notice == units.MaxTime {
			count[machine.Record.Zone]++
		}
	}
	outweighed := func(zone string) bool { return responsiveWeight*seen.responsive[zone] > count[zone] }
	for _, zone := range d.cfg.Zones {
		// After a network partition the first machines that respond again do not speak against those
		// that are about to: the zone must have been responsive for a while.
		if !outweighed(zone) {
			d.suspectAt[zone] = now
		}
	}
	timeout := d.timeout()
	for _, machine := range seen.unresponsive {
		zone, reclaimed := machine.Record.Zone, machine.Notice != units.MaxTime
		if reclaimed || outweighed(zone) && now-d.suspectAt[zone] > timeout {
			d.cfg.Log.Warn("machine unresponsive", "machine", machine.Name, "tasks", len(machine.Tasks), "notice", reclaimed)
			d.provisioner.Release(machine)
		}
	}
}
