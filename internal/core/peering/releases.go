package peering

import "shalestage.example/shalestage/internal/core/units"

// Release is the protocol release of this program. It is stored with the controller's
// membership and sent with its status. Releases before 0.3 sent none, which counts as 0.
const Release = 9

// The first release that supports each feature.
const (
	ReleaseDependencies  = 3 // jobs with DAG dependencies
	ReleaseArchive       = 4 // archived jobs
	ReleaseChunks        = 5 // guard on the first chunk of a job spec
	ReleaseTransfers     = 5 // snapshots of shards that are transferred
	ReleaseReplication   = 6 // acting as the standby of a shard's owner
	ReleaseCancellations = 7 // lists of cancellations from other controllers
	ReleaseConfig        = 8 // the stored configuration
	ReleaseRedirects     = 9 // statuses list the shards of which workers were redirected
)

// trackedReleases are the releases for which AllUpgradedFor can be asked.
var trackedReleases = []int{ReleaseArchive, ReleaseChunks}

// SetRelease records the release that a controller runs, taken from its status or its stored membership.
func (d *Directory) SetRelease(node string, release int) {
	if node == d.cfg.Node {
		return
	}
	if known, ok := d.releases[node]; !ok || known != release {
		d.cfg.Log.Info("controller runs release", "controller", node, "release", release)
		d.releases[node] = release
	}
}

// Release returns the release that a controller is known to run; 0 if it is not known, or before 0.3.
func (d *Directory) Release(node string) int { return d.releases[node] }

// OlderThan returns a controller that is known to run a
// release before the given one, or "" if there is none.
func (d *Directory) OlderThan(release int) string {
	for _, node := range d.names {
		if known, ok := d.releases[node]; ok && known < release {
			return node
		}
	}
	return ""
}

// TrackOlderReleases records, for each tracked release, that a controller
// still runs an older one or an unknown one. It is called with every tick.
func (d *Directory) TrackOlderReleases(now units.Microseconds) {
	for _, release := range trackedReleases {
		for _, node := range d.names {
			if d.releases[node] < release {
				d.olderReleaseAt[release] = now
			}
		}
	}
}

// AllUpgradedFor reports whether all controllers have run the given release, or a later one, for settleTime.
// After that, nothing that an older release sent is expected to arrive any more. The release must be one of
// trackedReleases, that is, ReleaseArchive or ReleaseChunks.
func (d *Directory) AllUpgradedFor(now units.Microseconds, release int, settleTime units.Microseconds) bool {
	return now-d.olderReleaseAt[release] >= settleTime
}
