package watch

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/renting"
	"shalestage.example/shalestage/internal/core/unit"
	"shalestage.example/shalestage/internal/core/zones"
)

// Host is the block whose machines are watched.
type Host interface {
	// Machines are those of the block, by name.
	Machines() map[string]*fleet.Machine
	// Doubtful are those of them on which tasks of earlier holders may run.
	Doubtful() map[string]bool
	// Asked reports whether each of the doubtful has been asked as often as any is, in vain.
	Asked() bool
	// Lost says that a machine's lease has run out: nothing runs there any more.
	Lost(m *fleet.Machine)
}

// Config says what silence means.
type Config struct {
	ReportEvery unit.Micros
	Began       unit.Micros // when the block was taken over
	Zones       []string
	Log         *slog.Logger
}

// Watch is the watch over a block's machines.
type Watch struct {
	cfg    Config
	host   Host
	renter *renting.Renter
	zones  *zones.Picture
	deaf   map[string]unit.Micros // when a zone was last silent for the most part
}

// New returns a watch over the machines of a block that was just taken over. What is given
// up goes to the renter.
func New(cfg Config, host Host, renter *renting.Renter, picture *zones.Picture) *Watch {
	return &Watch{cfg: cfg, host: host, renter: renter, zones: picture, deaf: map[string]unit.Micros{}}
}

// patience is how long a machine may be silent.
func (w *Watch) patience() unit.Micros { return 2*w.cfg.ReportEvery + 2*unit.Second }

// heardPart is how many silent machines one that is heard speaks against.
const heardPart = 4

func byName(a, b *fleet.Machine) int { return strings.Compare(a.Name, b.Name) }

// Sweep looks at all machines, a few times a second.
func (w *Watch) Sweep(now unit.Micros) {
	var expired, silent []*fleet.Machine
	heard, counts := map[string]int{}, map[string]zones.Count{}
	machines := w.host.Machines()
	patience, next := w.patience(), NextReport(w.cfg.ReportEvery)
	for _, m := range machines {
		if (m.LeaseEnd != 0 || m.Lost) && !m.Leaving && m.Notice == unit.Never {
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
		case m.Leaving:
		case m.Notice != unit.Never:
			if now > m.Notice+unit.Second/2 {
				silent = append(silent, m)
			}
		case m.LastSeen != 0 && now-m.LastSeen < next:
			heard[m.Record.Zone]++
		case now-max(m.LastSeen, w.cfg.Began) > patience:
			silent = append(silent, m)
		}
	}
	w.zones.Look(counts)
	slices.SortFunc(expired, byName)
	slices.SortFunc(silent, byName)
	for _, m := range expired {
		w.host.Lost(m)
	}
	w.dropUnlisted()
	doubtful := w.host.Doubtful()
	if n := len(doubtful); n > 0 && n <= renting.FewOf(len(machines)) && (now-w.cfg.Began > next+unit.Second || w.host.Asked()) {
		// All work accepted earlier waits for these few. Most likely they are
		// gone: what they may hold is worth less than what waits.
		for _, name := range slices.Sorted(maps.Keys(doubtful)) {
			if m := machines[name]; m != nil && !m.Leaving && m.LastSeen == 0 {
				w.cfg.Log.Warn("machine silent since the block was taken over", "machine", name)
				w.renter.GiveBack(m)
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
func (w *Watch) dropUnlisted() {
	var gone []*fleet.Machine
	machines := w.host.Machines()
	for _, name := range slices.Sorted(maps.Keys(w.host.Doubtful())) {
		if m := machines[name]; m != nil && m.Unlisted && !m.Leaving && m.LastSeen == 0 {
			gone = append(gone, m)
		}
	}
	if len(gone) == 0 || 2*len(gone) > len(machines) {
		return
	}
	w.cfg.Log.Warn("machines are listed no more since the block was taken over", "machines", len(gone))
	for _, m := range gone {
		w.renter.GiveBack(m)
	}
}

// dropSilent gives up machines that have gone silent: once the cloud has said
// that they are gone their tasks may start elsewhere, long before their lease
// would have run out. A machine whose notice has run out is expected to be
// gone. Any other is given up only while enough machines of its zone are heard:
// otherwise it is more likely this node that cannot be reached. They need not be
// most: when the greater part of a zone's spot machines was taken while controllers
// were down, work accepted earlier waited for the leases of the dead ones.
func (w *Watch) dropSilent(now unit.Micros, silent []*fleet.Machine, heard map[string]int) {
	patience := w.patience()
	count := map[string]int{}
	for _, m := range silent {
		if m.Notice == unit.Never {
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
		if m.Notice != unit.Never || heardPart*heard[z] > count[z] && now-w.deaf[z] > patience {
			w.cfg.Log.Warn("machine silent", "machine", m.Name, "tasks", len(m.Tasks), "notice", m.Notice != unit.Never)
			w.renter.GiveBack(m)
		}
	}
}
