package core

import (
	"errors"
	"net/http"

	"shalestage.example/shalestage/internal/core/admission"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Teams, their limits and the objectives may change at run time. Package configuration keeps the versions,
// and this file connects it to the rest of the core.

const configPrefix = keys.ConfigPrefix

// MaxOverQuotaBytes bounds the bytes that a status spends on teams above their quota
// allocation in a shard. It is half of a frame between controllers, as a controller
// that cannot send its status loses its authority. It holds 481 teams with names of
// the maximum length. Beyond it the shard's quota use is reported as unknown.
const MaxOverQuotaBytes = 32 << 10

// Bodies of replies about the configuration.
type (
	// ConfigContent is the configuration in force.
	ConfigContent struct {
		Version uint64
		Content configuration.Content
	}
	// ConfigStored is the version in which a change was stored.
	ConfigStored struct{ Version uint64 }
	// ConfigRefused says why a change was not made. Err is a *configuration.Invalid,
	// *configuration.Conflict or *configuration.Unavailable.
	ConfigRefused struct{ Err error }
	// ConfigHistory lists the last versions, latest first.
	ConfigHistory []configuration.HistoryEntry
	// ConfigStatus is the rollout status of a version.
	ConfigStatus = configuration.Status
)

// configurationHost implements configuration.Host: it gives the configuration access to this controller.
type configurationHost struct{ *Core }

// Store implements configuration.Host.
func (c configurationHost) Store(w *store.Write) bool { return c.queues[UserQueue].Add(w) }

// KeyVersion implements configuration.Host.
func (c configurationHost) KeyVersion(key string) uint64 { return c.cache.Version(key) }

// ReadFresh implements configuration.Host.
func (c configurationHost) ReadFresh(f func(ok bool)) { c.readFresh(f) }

// CacheCurrent implements configuration.Host.
func (c configurationHost) CacheCurrent() bool { return c.cache.Loaded() && !c.cache.Recovering() }

// HasUnfinishedJobs implements configuration.Host.
func (c configurationHost) HasUnfinishedJobs(team string) bool {
	for job := range c.jobs.Active() {
		if job.Spec().Team == team {
			return true
		}
	}
	return false
}

// Adopted implements configuration.Host.
func (c configurationHost) Adopted(content configuration.Content) { c.reconfigure(content) }

// Respond implements configuration.Host.
func (c configurationHost) Respond(request uint64, answer configuration.Result) {
	reply := Reply{Request: RequestID(request), Code: http.StatusOK, Body: ConfigStored{answer.Version}}
	var missed *configuration.Conflict
	var invalid *configuration.Invalid
	switch {
	case answer.Err == nil:
	case errors.As(answer.Err, &missed):
		reply.Code, reply.Body = http.StatusConflict, ConfigRefused{answer.Err}
	case errors.As(answer.Err, &invalid):
		reply.Code, reply.Body = http.StatusUnprocessableEntity, ConfigRefused{answer.Err}
	default:
		reply.Code, reply.Body, reply.RetryAfter = http.StatusServiceUnavailable, ConfigRefused{answer.Err}, admission.RetryAfter
	}
	c.emit(reply)
}

// reconfigure puts teams and objectives into force. Removed teams are kept only for
// the limits of their remaining jobs.
func (c *Core) reconfigure(content configuration.Content) {
	c.teams = make(map[string]*Team, len(content.Teams))
	c.cfg.Teams = nil
	for i := range content.Teams {
		team := &content.Teams[i]
		c.teams[team.Name] = team
		if team.Removed == 0 {
			c.cfg.Teams = append(c.cfg.Teams, *team)
		}
	}
	c.cfg.Objectives = content.Objectives
	for _, shard := range c.owned {
		shard.demand.SetObjectives(content.Objectives)
		shard.scheduler.Reconfigured()
	}
}

// Configure requests a change of the configuration. It is refused while any known controller runs a release
// without support for such changes, as that controller would keep using its settings file.
func (c *Core) Configure(now units.Microseconds, req RequestID, r configuration.Request) {
	c.advance(now)
	if olderPeer := c.peers.OlderThan(peering.ReleaseConfig); olderPeer != "" {
		c.emit(Reply{Request: req, Code: http.StatusServiceUnavailable, RetryAfter: admission.LongRetryAfter,
			Body: ConfigRefused{&configuration.Unavailable{Reason: "controller " + olderPeer + " still runs an older release, which goes by its settings file"}}})
		return
	}
	c.config.Change(c.now, c.wall, uint64(req), r)
}

// ConfigContent answers with the configuration in force here, after a read that began after the request.
func (c *Core) ConfigContent(now units.Microseconds, req RequestID) {
	c.readConfig(now, req, func() any { return ConfigContent{c.config.Version(), c.config.Content()} })
}

// ConfigHistory answers with the last versions of the configuration.
func (c *Core) ConfigHistory(now units.Microseconds, req RequestID) {
	c.readConfig(now, req, func() any { return ConfigHistory(c.config.History()) })
}

// readConfig answers a request with body's result, after a fresh read.
func (c *Core) readConfig(now units.Microseconds, req RequestID, body func() any) {
	c.advance(now)
	c.readFresh(func(ok bool) {
		if !ok || c.config.Behind() {
			c.emit(Reply{Request: req, Code: http.StatusServiceUnavailable, RetryAfter: admission.RetryAfter,
				Body: ConfigRefused{&configuration.Unavailable{Reason: "the present configuration cannot be read"}}})
			return
		}
		c.emit(Reply{Request: req, Code: http.StatusOK, Body: body()})
	})
}

// ConfigStatus answers with the rollout status of a version; 0 means the version in force here.
func (c *Core) ConfigStatus(now units.Microseconds, req RequestID, version uint64) {
	c.advance(now)
	c.emit(Reply{Request: req, Code: http.StatusOK, Body: c.config.Status(c.now, version, func(node string) bool { return !c.peers.Alive(c.now, node) })})
}

// receiveConfigStatus handles what another controller's status says about the configuration.
func (c *Core) receiveConfigStatus(from string, status PeerStatus) {
	c.config.ApplyPeerStatus(c.now, from, status.Config, status.ConfigKnown)
	if c.config.ObserveVersion(status.ConfigKnown) {
		c.readFresh(nil)
	}
	if !c.config.LimitsReduced() || !c.configComplete() {
		return
	}
	for _, shardStatus := range status.Blocks {
		if shardStatus.Use >= 0 && c.shardRecords.Assignment(shardStatus.Block).Node == from {
			c.config.SetOverQuota(shardStatus.Block, status.Config, shardStatus.Over)
		}
	}
	c.config.SetShards(c.shardRecords.Shards())
}

// configComplete reports whether the watch cache shows everything that was stored before the configuration in
// force, including which controller owned which shard then.
func (c *Core) configComplete() bool {
	return c.cache.Loaded() && !c.cache.Recovering() && c.cache.Revision >= c.cache.Version(configuration.HeadKey)
}

// addConfigStatus adds to a status which version is in force here, and which teams are
// above their quota allocation in each shard.
func (c *Core) addConfigStatus(status *PeerStatus) {
	if !c.config.HasStoredVersion() {
		return
	}
	status.Config, status.ConfigKnown = c.config.Version(), c.config.KnownVersion()
	complete := c.config.LimitsReduced() && c.configComplete()
	bytesLeft := MaxOverQuotaBytes
	for i := range status.Blocks {
		shardStatus := &status.Blocks[i]
		if shardStatus.Use < 0 {
			continue
		}
		over := c.owned[shardStatus.Block].quota.TeamsOverAllocation()
		if complete {
			c.config.SetOverQuota(shardStatus.Block, status.Config, over)
		}
		for _, name := range over {
			bytesLeft -= len(name) + len("    ")
		}
		if bytesLeft < 0 {
			shardStatus.Use = -1 // unknown
			continue
		}
		shardStatus.Over = over
	}
	if complete {
		c.config.SetShards(c.shardRecords.Shards())
	}
}

// mayAcceptJobs reports whether this controller's configuration is current enough to accept jobs: no later
// version is known, and the watch cache is recent.
func (c *Core) mayAcceptJobs() bool {
	return !c.config.HasStoredVersion() || !c.config.Behind() && c.now-c.cache.AsOf() < c.cancellationGrace()
}
