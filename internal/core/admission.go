package core

import (
	"shalestage.example/shalestage/internal/core/admission"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/peering"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Submit handles the submission of a job. malformed says why the body is invalid, or is empty. It matters
// only if the job is not known: a known job is always answered with its state.
func (c *Core) Submit(now units.Microseconds, req RequestID, id string, spec *jobs.Spec, malformed string) {
	c.advance(now)
	c.admission.Submit(admission.Request{ID: req, Kind: admission.Submit, Job: id, Spec: spec, Malformed: malformed})
}

// Query answers with a job's state.
func (c *Core) Query(now units.Microseconds, req RequestID, id string) {
	c.advance(now)
	c.admission.Query(req, id)
}

// Cancel cancels a job and answers once the cancellation is stored.
func (c *Core) Cancel(now units.Microseconds, req RequestID, id string) {
	c.advance(now)
	c.admission.Cancel(req, id)
}

// SetMemoryFull records whether this process's memory is nearly full.
func (c *Core) SetMemoryFull(full bool) { c.admission.SetMemoryFull(full, c.jobs.Len()) }

// reply answers a request with a status code and a body.
func (c *Core) reply(req RequestID, code int, body any) {
	c.send(Reply{Request: req, Code: code, Body: body})
}

// replyUnavailable refuses a request temporarily and tells the user to retry later.
func (c *Core) replyUnavailable(req RequestID, reason string) {
	admissionHost{c}.Refuse(req, admission.TemporaryRefusal(reason))
}

// admissionHost implements admission.Host: it gives package admission access to this controller.
type admissionHost struct{ *Core }

var _ admission.Host = admissionHost{}

// Answer implements admission.Host.
func (c admissionHost) Answer(req RequestID, accepted bool, answer JobAnswer) {
	c.reply(req, admission.AnswerStatus(accepted), answer)
}

// Refuse implements admission.Host.
func (c admissionHost) Refuse(req RequestID, refusal *admission.Refusal) {
	c.send(Reply{Request: req, Code: refusal.Reason.HTTPStatus(), Body: Problem{refusal.Text}, RetryAfter: refusal.RetryAfter})
}

// ShouldForward implements admission.Host.
func (c admissionHost) ShouldForward(req RequestID) bool { return c.shouldForward(req) }

// Forward implements admission.Host.
func (c admissionHost) Forward(r admission.Request) { c.forward(r) }

// Job implements admission.Host.
func (c admissionHost) Job(id string) *jobs.Job { return c.jobs.Get(id) }

// OwnsShard implements admission.Host.
func (c admissionHost) OwnsShard(shard int) bool { return c.owned[shard] != nil }

// Archive implements admission.Host.
func (c admissionHost) Archive() admission.Archive { return c.archive.Index() }

// ReadFresh implements admission.Host.
func (c admissionHost) ReadFresh(done func(ok bool)) { c.readFresh(done) }

// Revision implements admission.Host.
func (c admissionHost) Revision() uint64 { return c.cache.Revision }

// Version implements admission.Host.
func (c admissionHost) Version(key string) uint64 { return c.cache.Version(key) }

// Queue implements admission.Host.
func (c admissionHost) Queue(w *store.Write) bool { return c.queues[UserQueue].Add(w) }

// WallClock implements admission.Host.
func (c admissionHost) WallClock() units.Microseconds { return c.wall }

// TeamLimit implements admission.Host. It returns false for a team that was removed from the configuration: new
// jobs of the team are refused, while the jobs that it already has keep its limit.
func (c admissionHost) TeamLimit(name string) (binpack.Vec, bool) {
	team := c.teams[name]
	if team == nil || team.Removed != 0 {
		return binpack.Vec{}, false
	}
	return team.Limit, true
}

// TypesKnown implements admission.Host.
func (c admissionHost) TypesKnown() bool { return len(c.types) > 0 }

// Placeable implements admission.Host.
func (c admissionHost) Placeable(spec *jobs.Spec) bool { return len(c.compatibleTypes(spec)) > 0 }

// PeerMemoryFull implements admission.Host.
func (c admissionHost) PeerMemoryFull() bool {
	return c.peers.AnyMemoryFull(c.now)
}

// ConfigurationCurrent implements admission.Host.
func (c admissionHost) ConfigurationCurrent() bool { return c.mayAcceptJobs() }

// LeastLoadedShard implements admission.Host.
func (c admissionHost) LeastLoadedShard() int { return c.planner.NewJobShard(c.now) }

// OlderPeer implements admission.Host.
func (c admissionHost) OlderPeer() string { return c.peers.OlderThan(peering.ReleaseDependencies) }
