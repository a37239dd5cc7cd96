package peering

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core/units"
)

// MaxPeers limits the number of other controllers to which a controller is connected.
const MaxPeers = 32

const (
	// StatusInterval is the time between two statuses that a controller sends.
	StatusInterval units.Microseconds = 300_000
	// AliveTimeout is the time after its last status for
	// which a controller counts as alive: four intervals.
	AliveTimeout = 1200 * units.Second / 1000
	// ServedTimeout is the time after its last answer for
	// which the state service counts as serving a controller.
	ServedTimeout = 1 * units.Second
)

// Config is the fixed configuration of a Directory.
type Config struct {
	Node  string   // this controller
	Peers []string // the others
	Log   *slog.Logger
}

// Directory keeps the last status and the release of every other controller. Use NewDirectory.
type Directory struct {
	cfg            Config
	names          []string
	peers          map[string]*peer
	releases       map[string]int             // as last sent or stored, by controller
	olderReleaseAt map[int]units.Microseconds // by release: last time at which some peer was not known to run it or a later one
}

// peer is one other controller.
type peer struct {
	status       PeerStatus
	receivedAt   units.Microseconds // time of the last status; 0: none received yet
	unresponsive bool               // as last logged
	rollbackMark units.Microseconds // last value of PeerStatus.Back that was handled
}

// NewDirectory returns a directory that has received no status yet.
func NewDirectory(cfg Config) *Directory {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	d := &Directory{cfg: cfg, names: cfg.Peers, peers: map[string]*peer{}, releases: map[string]int{}, olderReleaseAt: map[int]units.Microseconds{}}
	for _, node := range cfg.Peers {
		d.peers[node] = &peer{}
	}
	return d
}

// Names returns the other controllers.
func (d *Directory) Names() []string { return d.names }

// IsPeer reports whether a controller is one of the others.
func (d *Directory) IsPeer(node string) bool { return d.peers[node] != nil }

// ReceiveStatus stores a controller's status.
func (d *Directory) ReceiveStatus(now units.Microseconds, node string, status PeerStatus) {
	if known := d.peers[node]; known != nil {
		known.status, known.receivedAt = status, now
	}
}

// Status returns the last status of a controller, or the zero value if none was received.
func (d *Directory) Status(node string) PeerStatus {
	if known := d.peers[node]; known != nil {
		return known.status
	}
	return PeerStatus{}
}

// RedirectedFor returns the time since a controller last redirected a worker of a shard; units.MaxTime if its
// last status lists no such redirect.
func (d *Directory) RedirectedFor(now units.Microseconds, node string, shard int) units.Microseconds {
	known := d.peers[node]
	if known == nil {
		return units.MaxTime
	}
	for _, redirect := range known.status.Redirected {
		if redirect.Block == shard && redirect.Ago >= 0 {
			return redirect.Ago + now - known.receivedAt
		}
	}
	return units.MaxTime
}

// Alive reports whether the last status of a controller is younger than AliveTimeout.
func (d *Directory) Alive(now units.Microseconds, node string) bool {
	known := d.peers[node]
	return known != nil && known.alive(now)
}

func (p *peer) alive(now units.Microseconds) bool {
	return p.receivedAt != 0 && now-p.receivedAt < AliveTimeout
}

// AnyAlive reports whether any of the others is alive.
func (d *Directory) AnyAlive(now units.Microseconds) bool {
	for _, known := range d.peers {
		if known.alive(now) {
			return true
		}
	}
	return false
}

// AnyMemoryFull reports whether any live controller has no memory for more jobs.
func (d *Directory) AnyMemoryFull(now units.Microseconds) bool {
	for _, known := range d.peers {
		if known.alive(now) && known.status.Full {
			return true
		}
	}
	return false
}

// MostRecentlyServed returns the live and usable controller that the state service
// has served most recently, or "" if it has served none of them within ServedTimeout.
func (d *Directory) MostRecentlyServed(now units.Microseconds, usable func(node string) bool) string {
	best, bestAge := "", ServedTimeout
	for _, node := range d.names {
		known := d.peers[node]
		if known.alive(now) && known.status.StateAge < bestAge && usable(node) {
			best, bestAge = node, known.status.StateAge
		}
	}
	return best
}

// LogChanges logs which controllers have become unresponsive, or responsive again.
func (d *Directory) LogChanges(now units.Microseconds) {
	for _, node := range d.names {
		known := d.peers[node]
		if known.receivedAt != 0 && known.alive(now) == known.unresponsive {
			known.unresponsive = !known.unresponsive
			d.cfg.Log.Info("peer responsiveness changed", "controller", node, "unresponsive", known.unresponsive)
		}
	}
}

// RollbackReported handles a controller's mark of when it last noticed a
// rollback of the state service, and reports whether the mark is new. Marks are
// kept by controller, as two controllers may notice two different rollbacks.
func (d *Directory) RollbackReported(node string, mark units.Microseconds) bool {
	known := d.peers[node]
	if known == nil || mark == known.rollbackMark {
		return false
	}
	known.rollbackMark = mark
	return true
}
