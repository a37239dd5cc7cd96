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

// Host is the block whose machines are watched.
type Host interface {
	// Machines are those of the block, by name.
	Machines() map[string]*fleet.Machine
	// Unreconciled are those of them on which tasks of earlier holders may run.
	Unreconciled() map[string]bool
	// ProbesExhausted reports whether each of the doubtful has been asked as often as any is, in vain.
	ProbesExhausted() bool
	// Lost says that a machine's lease has run out: nothing runs there any more.
	Lost(m *fleet.Machine)
}

// Config says what silence means.
type Config struct {
	HeartbeatInterval units.Microseconds
	OwnedSince        units.Microseconds // when the block was taken over
	Zones             []string
	Log               *slog.Logger
}

// Detector is the watch over a block's machines.
type Detector struct {
	cfg    Config
	host   Host
	renter *provisioner.Provisioner
	zones  *zones.View
	deaf   map[string]units.Microseconds // when a zone was last silent for the most part
}

// New returns a watch over the machines of a block that was just taken over. What is given
// up goes to the renter.
func New(cfg Config, host Host, renter *provisioner.Provisioner, picture *zones.View) *Detector {
	return &Detector{cfg: cfg, host: host, renter: renter, zones: picture, deaf: map[string]units.Microseconds{}}
}

// patience is how long a machine may be silent.
func (w *Detector) patience() units.Microseconds { return 2*w.cfg.HeartbeatInterval + 2*units.Second }

// heardPart is how many silent machines one that is heard speaks against.
const heardPart = 4

func byName(a, b *fleet.Machine) int { return strings.Compare(a.Name, b.Name) }

// Sweep looks at all machines, a few times a second.
func (w *Detector) Sweep(now units.Microseconds) {
	var expired, silent []*fleet.Machine
	heard, counts := map[string]int{}, map[string]zones.Count{}
	machines := w.host.Machines()
	patience, next := w.patience(), HeartbeatDeadline(w.cfg.HeartbeatInterval)
	for _, m := range machines {
		if (m.LeaseEnd != 0 || m.Lost) && !m.Deprovisioning && m.Notice == units.Never {
			n := counts[m.Record.Zone]
			n.Up++
			if m.LastSeen != 0 && now-m.LastSeen < next {
				n.Heard++
			}
			counts[m.Record.Zone] = n
		}
		switch {
		case m.LeaseEnd == 0:
		case now >= m.LeaseEnd:
			expired = append(expired, m)
		case m.Deprovisioning:
		case m.Notice != units.Never:
			if now > m.Notice+units.Second/2 {
				silent = append(silent, m)
			}
		case m.LastSeen != 0 && now-m.LastSeen < next:
			heard[m.Record.Zone]++
		case now-max(m.LastSeen, w.cfg.OwnedSince) > patience:
			silent = append(silent, m)
		}
	}
	w.zones.Update(counts)
	slices.SortFunc(expired, byName)
	slices.SortFunc(silent, byName)
	for _, m := range expired {
		w.host.Lost(m)
	}
	w.dropUnlisted()
	doubtful := w.host.Unreconciled()
	if n := len(doubtful); n > 0 && n <= provisioner.FewOf(len(machines)) && (now-w.cfg.OwnedSince > next+units.Second || w.host.ProbesExhausted()) {
		// All work accepted earlier waits for these few. Most likely they are
		// gone: what they may hold is worth less than what waits.
		for _, name := range slices.Sorted(maps.Keys(doubtful)) {
			if m := machines[name]; m != nil && !m.Deprovisioning && m.LastSeen == 0 {
				w.cfg.Log.Warn("machine silent since the block was taken over", "machine", name)
				w.renter.Release(m)
			}
		}
	}
	if w.renter.Ready(now) {
		w.dropSilent(now, silent, heard)
		w.renter.Flush()
	}
}

// dropUnlisted returns the machines of earlier holders that the cloud does not list any
// more and that have not been heard. Without an address they cannot be asked, and there
// may be many: while the state service is away, a holder cannot store which it returns.
// Were a list to lack most machines, the list would be at fault.
func (w *Detector) dropUnlisted() {
	var gone []*fleet.Machine
	machines := w.host.Machines()
	for _, name := range slices.Sorted(maps.Keys(w.host.Unreconciled())) {
		if m := machines[name]; m != nil && m.Unlisted && !m.Deprovisioning && m.LastSeen == 0 {
			gone = append(gone, m)
		}
	}
	if len(gone) == 0 || 2*len(gone) > len(machines) {
		return
	}
	w.cfg.Log.Warn("machines are listed no more since the block was taken over", "machines", len(gone))
	for _, m := range gone {
		w.renter.Release(m)
	}
}

// dropSilent gives up machines that have gone silent: once the cloud has said
// that they are gone their tasks may start elsewhere, long before their lease
// would have run out. A machine whose notice has run out is expected to be
// gone. Any other is given up only while enough machines of its zone are heard:
// otherwise it is more likely this node that cannot be reached. They need not be
// most: when the greater part of a zone's spot machines was taken while controllers
// were down, work accepted earlier waited for the leases of the dead ones.
func (w *Detector) dropSilent(now units.Microseconds, silent []*fleet.Machine, heard map[string]int) {
	patience := w.patience()
	count := map[string]int{}
	for _, m := range silent {
		if m.Notice == units.Never {
			count[m.Record.Zone]++
		}
	}
	for _, z := range w.cfg.Zones {
		// After a cut the first machines heard again do not speak against those
		// that are about to be: the zone must have been heard for a while.
		if heardPart*heard[z] <= count[z] {
			w.deaf[z] = now
		}
	}
	for _, m := range silent {
		z := m.Record.Zone
		if m.Notice != units.Never || heardPart*heard[z] > count[z] && now-w.deaf[z] > patience {
			w.cfg.Log.Warn("machine silent", "machine", m.Name, "tasks", len(m.Tasks), "notice", m.Notice != units.Never)
			w.renter.Release(m)
		}
	}
}
