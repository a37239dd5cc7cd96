// Package admission serves users' requests: submissions, queries and cancellations of jobs. A
// request passes through steps, each of which may wait for an asynchronous answer:
//
//   - for a submission, the job and its dependencies are looked up in the archive (resolve); then it is
//     answered or refused, or its job is accepted (answerOrAdmit, validate), encoded as a record (accept)
//     and stored (store) before the answer;
//   - a query is answered from memory if the known state is final or at least as new as the query;
//   - a cancellation is stored and then answered.
//
// Nothing is confirmed to the user before it is stored, and no answer is older than its request. A
// controller that cannot reach the state service forwards requests to one that can. The file
// answers.go decides whether a request is served or refused, and with which HTTP status.
package admission

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core/archive"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// RequestID identifies a pending request.
type RequestID uint64

// Kind is the operation that a user requests. Its values are sent between controllers.
type Kind int

// Kinds of requests.
const (
	Submit Kind = iota
	Query
	Cancel
)

// Request is a user's request in a form that can be forwarded to another controller.
type Request struct {
	ID        RequestID
	Kind      Kind
	Job       string
	Spec      *jobs.Spec // of a submission; nil if the body was malformed
	Malformed string     // why the body was malformed
}

// Archive looks up archived jobs.
type Archive interface {
	// Enabled reports whether archiving is enabled.
	Enabled() bool
	// Mark returns the archive's mark and the version of the key that holds it.
	Mark() (archive.Mark, uint64)
	// CachedSummary returns how an archived job ended, if that is already in memory.
	CachedSummary(id string) (archive.Summary, bool)
	// Lookup looks up how an archived job ended. It may call done before it returns.
	Lookup(id string, urgent bool, done func(archive.LookupResult, archive.Summary))
}

// Host is what admission needs from its controller. A callback may be called before the
// method that takes it returns, or later; each callback is called exactly once.
type Host interface {
	// Answer and Refuse complete a request.
	Answer(request RequestID, accepted bool, answer JobAnswer)
	Refuse(request RequestID, refusal *Refusal)
	// ShouldForward reports whether this controller has had no answer from the state service for
	// a while, so that it cannot serve the request, and another controller can.
	ShouldForward(request RequestID) bool
	// Forward sends a request to a controller that can reach the state
	// service, or refuses it if there is none.
	Forward(r Request)

	// Job returns a job whose record is not archived, or nil.
	Job(id string) *jobs.Job
	// OwnsShard reports whether this controller owns the shard, and so knows which of its tasks run.
	OwnsShard(shard int) bool
	Archive() Archive
	// ReadFresh calls done once the watch cache is at least as new as
	// this call; ok is false if the read failed.
	ReadFresh(done func(ok bool))
	// Revision returns the revision up to which the watch cache is
	// complete, and Version the version of a key in it.
	Revision() uint64
	Version(key string) uint64
	// Queue queues a write for a user's request, and reports whether the queue had room for it.
	Queue(w *store.Write) bool

	WallClock() units.Microseconds
	// TeamLimit returns a team's quota in thousandths, where 0 means no
	// limit; false if there is no such team.
	TeamLimit(team string) (binpack.Vec, bool)
	// TypesKnown reports whether any machine type is known, and
	// Placeable whether a task of the job fits any allowed type.
	TypesKnown() bool
	Placeable(spec *jobs.Spec) bool
	// PeerMemoryFull reports whether the memory of another live controller is nearly full.
	PeerMemoryFull() bool
	// ConfigurationCurrent reports whether the known configuration is recent enough to accept jobs by it.
	ConfigurationCurrent() bool
	// LeastLoadedShard returns the shard that a new job is assigned to.
	LeastLoadedShard() int
	// OlderPeer returns the name of a controller whose release does not support jobs that
	// have dependencies or are stored in chunks, or "" if there is none.
	OlderPeer() string
}

// Config holds the handler's fixed settings.
type Config struct {
	ValueMax int // maximum size of a value in the state service, in bytes
	TxnOps   int // maximum number of changes in one transaction
	// SkippedGuard is a safety check that is skipped. Only tests set it.
	SkippedGuard guard.Guard
	Log          *slog.Logger
}

// Handler serves users' requests. Use New to create one.
type Handler struct {
	cfg        Config
	host       Host
	memoryFull bool // this process's memory is nearly full
}

// New returns a handler that reaches its controller through host.
func New(cfg Config, host Host) *Handler { return &Handler{cfg: cfg, host: host} }

// SetMemoryFull records whether this process's memory is nearly full.
func (h *Handler) SetMemoryFull(full bool, knownJobs int) {
	if full != h.memoryFull {
		h.memoryFull = full
		h.cfg.Log.Warn("memory pressure changed", "nearly_full", full, "jobs", knownJobs)
	}
}

// MemoryFull reports whether this process's memory is nearly full.
func (h *Handler) MemoryFull() bool { return h.memoryFull }

// AnyMemoryFull reports whether the memory of any live controller is nearly full. Every
// controller keeps every job's record, and the owner of the job's shard keeps more than
// that, so a job that one controller accepts uses memory on all of them.
func (h *Handler) AnyMemoryFull() bool { return h.memoryFull || h.host.PeerMemoryFull() }
