package peering

import "shalestage.example/shalestage/internal/core/units"

// Release is what this program understands. It is stored with the controller's membership and sent
// with its status; releases before 0.3 sent none, which counts as 0.
const Release = 8

// Releases from which on a controller understands something.
const (
	ReleaseDependencies  = 3 // jobs with DAG dependencies
	ReleaseArchive       = 4 // archived jobs
	ReleaseChunks        = 5 // guards the first chunk of a description
	ReleaseTransfers     = 5 // snapshots of shards that are transferred
	ReleaseReplication    = 6 // is a standby of owners
	ReleaseCancellations = 7 // cancellations that other controllers list
	ReleaseConfig        = 8 // the stored configuration
)

// settlingReleases are those for which it counts how long all controllers have run them.
var settlingReleases = []int{ReleaseArchive, ReleaseChunks}

// SetRelease takes which release a controller runs, from its status or its stored membership.
func (d *Directory) SetRelease(node string, release int) {
	if node == d.cfg.Node {
		return
	}
	if known, ok := d.releases[node]; !ok || known != release {
		d.cfg.Log.Info("release of a controller", "controller", node, "release", release)
		d.releases[node] = release
	}
}

// Release returns the release that a controller is known to run; 0: not known, or before 0.3.
func (d *Directory) Release(node string) int { return d.releases[node] }

// OlderThan names a controller that is known to run a release before the given one; "": none.
func (d *Directory) OlderThan(release int) string {
	for _, node := range d.names {
		if known, ok := d.releases[node]; ok && known < release {
			return node
		}
	}
	return ""
}

// TrackOlderReleases keeps since when all controllers run certain releases. It is called with every
// tick.
func (d *Directory) TrackOlderReleases(now units.Microseconds) {
	for _, release := range settlingReleases {
		for _, node := range d.names {
			if d.releases[node] < release {
				d.olderReleaseAt[release] = now
			}
		}
	}
}

// AllUpgradedFor reports whether every controller has run a release, ReleaseArchive or ReleaseChunks, or
// a later one for so long that nothing that an older one sent is expected any more.
func (d *Directory) AllUpgradedFor(now units.Microseconds, release int, settleTime units.Microseconds) bool {
	return now-d.olderReleaseAt[release] >= settleTime
}
