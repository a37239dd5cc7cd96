package peering

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core/units"
)

// MaxPeers bounds the controllers that one controller is connected with.
const MaxPeers = 32

const (
	// StatusInterval is the time between two statuses of a controller.
	StatusInterval units.Microseconds = 300_000
	// AliveTimeout is how long a controller counts as alive after its last status: a few intervals.
	AliveTimeout = 1200 * units.Second / 1000
	// ServedTimeout is how long the state service counts as serving a controller after its last answer.
	ServedTimeout = 1 * units.Second
)

// Config is what stays the same for a directory's life.
type Config struct {
	Node  string   // this controller
	Peers []string // the others
	Log   *slog.Logger
}

// Directory is what a controller knows of the others. Use NewDirectory.
type Directory struct {
	cfg            Config
	names          []string
	peers          map[string]*peer
	releases       map[string]int             // as last sent or stored
	olderReleaseAt map[int]units.Microseconds // by release: when another controller was last not known to run it or a later one
}

// peer is one other controller.
type peer struct {
	status       PeerStatus
	receivedAt   units.Microseconds // when; 0: never
	unresponsive bool               // as last logged
	rollbackMark units.Microseconds // its mark of the last time that the state service went back
}

// NewDirectory returns a directory that has heard of nobody yet.
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

// ReceiveStatus takes a controller's status.
func (d *Directory) ReceiveStatus(now units.Microseconds, node string, status PeerStatus) {
	if known := d.peers[node]; known != nil {
		known.status, known.receivedAt = status, now
	}
}

// Status returns the last status of a controller; the zero value before there is any.
func (d *Directory) Status(node string) PeerStatus {
	if known := d.peers[node]; known != nil {
		return known.status
	}
	return PeerStatus{}
}

// Alive reports whether a controller has sent a status lately.
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

// AnyMemoryFull reports whether a controller that is alive has no memory for more jobs.
func (d *Directory) AnyMemoryFull(now units.Microseconds) bool {
	for _, known := range d.peers {
		if known.alive(now) && known.status.Full {
			return true
		}
	}
	return false
}

// MostRecentlyServed names the controller, of those that are alive and usable, that the state service has
// served last; "": it has served none lately.
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
			d.cfg.Log.Info("peer", "controller", node, "unresponsive", known.unresponsive)
		}
	}
}

// RollbackReported takes a controller's mark of when it last noticed that the state service went
// back, and reports whether that is news. Each controller has its own mark, as two may have noticed
// two different times.
func (d *Directory) RollbackReported(node string, mark units.Microseconds) bool {
	known := d.peers[node]
	if known == nil || mark == known.rollbackMark {
		return false
	}
	known.rollbackMark = mark
	return true
}
