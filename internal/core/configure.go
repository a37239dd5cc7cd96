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

// Teams, their limits and the objectives may change while the service runs: package
// configuration keeps the versions, and this file connects it with the rest of the core.

const configPrefix = keys.ConfigPrefix

// MaxOverQuotaBytes bounds the bytes that a status spends on teams above their share of a shard: half of a
// frame between controllers, as without statuses a controller loses its authority. It holds 481
// teams with names of the greatest length. Beyond it the shard's use counts as not known.
const MaxOverQuotaBytes = 32 << 10

// Bodies of replies about the configuration.
type (
	// ConfigContent is the configuration in force.
	ConfigContent struct {
		Version uint64
		Content configuration.Content
	}
	// ConfigStored says which version holds a change.
	ConfigStored struct{ Version uint64 }
	// ConfigRefused says why a change was not made: *configuration.Invalid,
	// *configuration.Conflict or *configuration.Unavailable.
	ConfigRefused struct{ Err error }
	// ConfigHistory is a list of the last versions, the latest first.
	ConfigHistory []configuration.HistoryEntry
	// ConfigStatus tells how far a version has come.
	ConfigStatus = configuration.Status
)

// configurationHost is what this controller does for its configuration.
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
	for j := range c.jobs.Active() {
		if j.Spec().Team == team {
			return true
		}
	}
	return false
}

// Adopted implements configuration.Host.
func (c configurationHost) Adopted(content configuration.Content) { c.reconfigure(content) }

// Respond implements configuration.Host.
func (c configurationHost) Respond(request uint64, a configuration.Result) {
	r := Reply{Request: RequestID(request), Code: http.StatusOK, Body: ConfigStored{a.Version}}
	var missed *configuration.Conflict
	var invalid *configuration.Invalid
	switch {
	case a.Err == nil:
	case errors.As(a.Err, &missed):
		r.Code, r.Body = http.StatusConflict, ConfigRefused{a.Err}
	case errors.As(a.Err, &invalid):
		r.Code, r.Body = http.StatusUnprocessableEntity, ConfigRefused{a.Err}
	default:
		r.Code, r.Body, r.RetryAfter = http.StatusServiceUnavailable, ConfigRefused{a.Err}, admission.RetryAfter
	}
	c.emit(r)
}

// reconfigure puts teams and objectives in force. Removed teams are known for the limits of
// their jobs, and count nowhere else.
func (c *Core) reconfigure(content configuration.Content) {
	c.teams = make(map[string]*Team, len(content.Teams))
	c.cfg.Teams = nil
	for i := range content.Teams {
		t := &content.Teams[i]
		c.teams[t.Name] = t
		if t.Removed == 0 {
			c.cfg.Teams = append(c.cfg.Teams, *t)
		}
	}
	c.cfg.Objectives = content.Objectives
	for _, shard := range c.owned {
		shard.demand.SetObjectives(content.Objectives)
		shard.scheduler.Reconfigured()
	}
}

// Configure asks for a change of the configuration. While a controller of a release that
// does not know of such changes is known, none is made: it would go by its settings file.
func (c *Core) Configure(now units.Microseconds, req RequestID, r configuration.Request) {
	c.advance(now)
	if olderPeer := c.peers.OlderThan(peering.ReleaseConfig); olderPeer != "" {
		c.emit(Reply{Request: req, Code: http.StatusServiceUnavailable, RetryAfter: admission.LongRetryAfter,
			Body: ConfigRefused{&configuration.Unavailable{Reason: "controller " + olderPeer + " still runs an older release, which goes by its settings file"}}})
		return
	}
	c.config.Change(c.now, c.wall, uint64(req), r)
}

// ConfigContent answers with the configuration in force here, as new as the request.
func (c *Core) ConfigContent(now units.Microseconds, req RequestID) {
	c.readConfig(now, req, func() any { return ConfigContent{c.config.Version(), c.config.Content()} })
}

// ConfigHistory answers with the last versions.
func (c *Core) ConfigHistory(now units.Microseconds, req RequestID) {
	c.readConfig(now, req, func() any { return ConfigHistory(c.config.History()) })
}

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

// ConfigStatus answers how far a version has come; 0: the one in force here.
func (c *Core) ConfigStatus(now units.Microseconds, req RequestID, version uint64) {
	c.advance(now)
	c.emit(Reply{Request: req, Code: http.StatusOK, Body: c.config.Status(c.now, version, func(node string) bool { return !c.peers.Alive(c.now, node) })})
}

// receiveConfigStatus takes what another controller's status says of the configuration.
func (c *Core) receiveConfigStatus(from string, status PeerStatus) {
	c.config.ApplyPeerStatus(c.now, from, status.Config, status.ConfigKnown)
	if c.config.ObserveVersion(status.ConfigKnown) {
		c.readFresh(nil)
	}
	if !c.config.LimitsReduced() || !c.configComplete() {
		return
	}
	for _, b := range status.Blocks {
		if b.Use >= 0 && c.shardRecords.Assignment(b.Block).Node == from {
			c.config.SetOverQuota(b.Block, status.Config, b.Over)
		}
	}
	c.config.SetShards(c.shardRecords.Shards())
}

// configComplete reports whether the copy shows all that was stored before the configuration
// in force: who owned which shard then.
func (c *Core) configComplete() bool {
	return c.cache.Loaded() && !c.cache.Recovering() && c.cache.Revision >= c.cache.Version(configuration.HeadKey)
}

// addConfigStatus adds to a status which version is in force here, and which teams are above
// their allocation in a shard.
func (c *Core) addConfigStatus(status *PeerStatus) {
	if !c.config.HasStoredVersion() {
		return
	}
	status.Config, status.ConfigKnown = c.config.Version(), c.config.KnownVersion()
	complete := c.config.LimitsReduced() && c.configComplete()
	room := MaxOverQuotaBytes
	for i := range status.Blocks {
		b := &status.Blocks[i]
		if b.Use < 0 {
			continue
		}
		over := c.owned[b.Block].quota.TeamsOverAllocation()
		if complete {
			c.config.SetOverQuota(b.Block, status.Config, over)
		}
		for _, name := range over {
			room -= len(name) + len("    ")
		}
		if room < 0 {
			b.Use = -1 // as if it were not known
			continue
		}
		b.Over = over
	}
	if complete {
		c.config.SetShards(c.shardRecords.Shards())
	}
}

// mayAccept reports whether this controller surely knows the configuration well enough to
// accept jobs: it knows of no later one, and its copy is recent.
func (c *Core) mayAccept() bool {
	return !c.config.HasStoredVersion() || !c.config.Behind() && c.now-c.cache.AsOf() < c.extension()
}
