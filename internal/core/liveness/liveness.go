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

// Host is the shard whose machines are monitored.
type Host interface {
	// Machines returns the shard's machines by name.
	Machines() map[string]*fleet.Machine
	// Unreconciled returns the names of the machines that may run unknown tasks of earlier owners.
	Unreconciled() map[string]bool
	// ProbesExhausted reports whether every unreconciled machine has been sent the maximum number of
	// probes without a usable answer.
	ProbesExhausted() bool
	// LeaseExpired is called when a machine's lease has expired: no task runs there any more. It may
	// remove the machine from Machines, and must not call the Detector.
	LeaseExpired(machine *fleet.Machine)
}

// Config holds the settings of a shard's Detector.
type Config struct {
	HeartbeatInterval units.Microseconds
	OwnedSince        units.Microseconds // time at which the shard was acquired
	Zones             []string
	Log               *slog.Logger
}

// Detector is the failure detector of one shard's machines. It owns its suspicions about zones; the
// machines belong to the shard.
type Detector struct {
	cfg         Config
	host        Host
	provisioner *provisioner.Provisioner
	zones       *zones.View
	// suspectAt is the time, by zone, at which too few of the zone's machines were last responsive, so
	// that this controller may be the unreachable one.
	suspectAt map[string]units.Microseconds
}

// New returns the Detector of a shard that was just acquired. It passes machines that it gives up on to
// machineProvisioner, which deprovisions them.
func New(cfg Config, host Host, machineProvisioner *provisioner.Provisioner, view *zones.View) *Detector {
	return &Detector{cfg: cfg, host: host, provisioner: machineProvisioner, zones: view, suspectAt: map[string]units.Microseconds{}}
}

const (
	// responsiveWeight is the number of unresponsive machines that one responsive machine outweighs.
	responsiveWeight = 4
	// noticeGrace is the time after its announced reclaim for which a machine may still send heartbeats.
	noticeGrace = units.Second / 2
	// probeGrace is the time that unreconciled machines have to answer probes, in addition to
	// HeartbeatDeadline.
	probeGrace = units.Second
)

// timeout returns the time without a heartbeat after which a machine is unresponsive.
func (d *Detector) timeout() units.Microseconds { return 2*d.cfg.HeartbeatInterval + 2*units.Second }

func byName(a, b *fleet.Machine) int { return strings.Compare(a.Name, b.Name) }

// scanResult is the result of one scan of all machines.
type scanResult struct {
	expired      []*fleet.Machine // machines whose lease has expired
	unresponsive []*fleet.Machine
	responsive   map[string]int // number of responsive machines by zone
	zones        map[string]zones.Count
}

// Sweep checks all machines, and handles expired leases and unresponsive machines. It is called a few
// times a second.
func (d *Detector) Sweep(now units.Microseconds) {
	result := d.scan(now)
	d.zones.Update(result.zones)
	slices.SortFunc(result.expired, byName)
	slices.SortFunc(result.unresponsive, byName)
	for _, machine := range result.expired {
		d.host.LeaseExpired(machine)
	}
	d.deprovisionUnlisted()
	d.deprovisionLastUnreconciled(now)
	if d.provisioner.Ready(now) {
		d.deprovisionUnresponsive(now, result)
		d.provisioner.Flush()
	}
}

// scan checks the lease and the last heartbeat of every machine.
func (d *Detector) scan(now units.Microseconds) scanResult {
	result := scanResult{responsive: map[string]int{}, zones: map[string]zones.Count{}}
	timeout, deadline := d.timeout(), HeartbeatDeadline(d.cfg.HeartbeatInterval)
	for _, machine := range d.host.Machines() {
		zone := machine.Record.Zone
		responsive := machine.LastSeen != 0 && now-machine.LastSeen < deadline
		if (machine.LeaseEnd != 0 || machine.Lost) && !machine.Deprovisioning && machine.ReclaimAt == units.MaxTime {
			count := result.zones[zone]
			count.Up++
			if responsive {
				count.Responsive++
			}
			result.zones[zone] = count
		}
		switch {
		case machine.LeaseEnd == 0:
		case now >= machine.LeaseEnd:
			result.expired = append(result.expired, machine)
		case machine.Deprovisioning:
		case machine.ReclaimAt != units.MaxTime:
			if now > machine.ReclaimAt+noticeGrace {
				result.unresponsive = append(result.unresponsive, machine)
			}
		case responsive:
			result.responsive[zone]++
		case now-max(machine.LastSeen, d.cfg.OwnedSince) > timeout:
			result.unresponsive = append(result.unresponsive, machine)
		}
	}
	return result
}

// deprovisionLastUnreconciled deprovisions the last few unreconciled machines if they do not answer. All
// work accepted earlier waits for them. Most likely they have been deleted, and the tasks that they may
// still run are worth less than the work that waits.
func (d *Detector) deprovisionLastUnreconciled(now units.Microseconds) {
	machines, unreconciled := d.host.Machines(), d.host.Unreconciled()
	if len(unreconciled) == 0 || len(unreconciled) > provisioner.MaxEarlyDeprovisions(len(machines)) {
		return
	}
	timedOut := now-d.cfg.OwnedSince > HeartbeatDeadline(d.cfg.HeartbeatInterval)+probeGrace
	if !timedOut && !d.host.ProbesExhausted() {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(unreconciled)) {
		if machine := machines[name]; machine != nil && !machine.Deprovisioning && machine.LastSeen == 0 {
			d.cfg.Log.Warn("machine unresponsive since the shard was acquired", "machine", name)
			d.provisioner.Deprovision(machine)
		}
	}
}

// deprovisionUnlisted deprovisions machines of earlier owners that have sent no heartbeat and that the
// cloud no longer lists. Without an address they cannot be probed. There may be many of them, because an
// owner cannot store which machines it deprovisions while the state service is unavailable. If a list
// lacks more than half of the machines, the list is assumed to be at fault
// (TestDeprovisionedMachineIsNotWaitedFor).
func (d *Detector) deprovisionUnlisted() {
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
	d.cfg.Log.Warn("unreconciled machines are missing from the cloud's machine list", "machines", len(unlisted))
	for _, machine := range unlisted {
		d.provisioner.Deprovision(machine)
	}
}

// deprovisionUnresponsive deprovisions unresponsive machines. Once the cloud has confirmed that they are
// deleted, their tasks may start elsewhere, long before their leases would have expired.
//
// A machine that is past its reclaim notice is expected to be deleted. Any other machine is deprovisioned
// only while enough machines of its zone are responsive: otherwise it is more likely that this controller
// is unreachable. Responsive machines need not be the majority. When most of a zone's spot machines were
// reclaimed while the controllers were down, work accepted earlier had to wait for the leases of the
// deleted machines (TestUnresponsiveZone).
func (d *Detector) deprovisionUnresponsive(now units.Microseconds, result scanResult) {
	count := map[string]int{} // unresponsive machines without a reclaim notice, by zone
	for _, machine := range result.unresponsive {
		if machine.ReclaimAt == units.MaxTime {
			count[machine.Record.Zone]++
		}
	}
	enoughResponsive := func(zone string) bool { return responsiveWeight*result.responsive[zone] > count[zone] }
	for _, zone := range d.cfg.Zones {
		// After a network partition, the first machines that respond again are no evidence against those
		// that are about to. So the zone must have been responsive for a while.
		if !enoughResponsive(zone) {
			d.suspectAt[zone] = now
		}
	}
	timeout := d.timeout()
	for _, machine := range result.unresponsive {
		zone, reclaimed := machine.Record.Zone, machine.ReclaimAt != units.MaxTime
		if reclaimed || enoughResponsive(zone) && now-d.suspectAt[zone] > timeout {
			d.cfg.Log.Warn("machine unresponsive", "machine", machine.Name, "tasks", len(machine.Tasks), "notice", reclaimed)
			d.provisioner.Deprovision(machine)
		}
	}
}
