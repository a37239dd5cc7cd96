package core

// release numbers tell what a controller understands. It is stored with its seat
// and told with its status; those before it told none.
const (
	release             = 8
	releaseDependencies = 3 // understands jobs that await others
	releaseArchive      = 4 // finds packed jobs
	releaseChunks       = 5 // guards the first part of a description
	releaseTransfers    = 5 // takes pictures of blocks that are handed on

	releaseReplicates    = 6 // follows holders
	releaseCancellations = 7 // takes cancellations from others
	releaseConfig        = 8 // goes by the stored configuration
)

// noteOlderReleases keeps for how long all controllers have run certain releases.
func (c *Core) noteOlderReleases() {
	for _, r := range []int{releaseArchive, releaseChunks} {
		for _, n := range c.peers.names {
			if c.releases[n] < r {
				c.olderReleaseAt[r] = c.now
			}
		}
	}
}

// allRunSince reports whether every controller has run a release or a later one for so
// long that nothing that an older one sent is expected any more.
func (c *Core) allRunSince(release int) bool {
	return c.now-c.olderReleaseAt[release] >= c.cfg.ArchiveSettleTime
}

// olderPeer returns a controller that is known to run a release before this one. It
// would take a job that awaits others for one that may start.
func (c *Core) olderPeer() string {
	for _, n := range c.peers.names {
		if r, known := c.releases[n]; known && r < releaseDependencies {
			return n
		}
	}
	return ""
}

// noteRelease notes which release a controller runs.
func (c *Core) noteRelease(node string, r int) {
	if node == c.cfg.Node {
		return
	}
	if old, known := c.releases[node]; !known || old != r {
		c.log.Info("release of a controller", "controller", node, "release", r)
		c.releases[node] = r
	}
}
