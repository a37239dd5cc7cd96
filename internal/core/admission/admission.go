// Package admission takes users' requests: submissions, queries and cancellations of jobs. A
// request goes forward from step to step, each of which may wait for an answer from outside:
//
//   - a submission is resolved against the archive (resolve), judged (judge, refusal), made into a
//     record (accept), stored (store), and answered;
//   - a query is answered by what is known, if that is final or as new as the query;
//   - a cancellation is stored, and then answered.
//
// Nothing is confirmed before it is stored, and no answer is older than the request. A
// controller that the state service does not serve forwards requests to one that it does. Whether a
// request is served or refused, and with which HTTP status, is in answers.go.
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

// RequestID names a request that waits for an answer.
type RequestID uint64

// Kind is what a user wants. Its values are sent between controllers.
type Kind int

// Kinds of requests.
const (
	Submit Kind = iota
	Query
	Cancel
)

// Request is a user's request as another controller can serve it too.
type Request struct {
	ID        RequestID
	Kind      Kind
	Job       string
	Spec      *jobs.Spec // of a submission; nil: malformed
	Malformed string     // why
}

// Archive is what a controller knows of archived jobs.
type Archive interface {
	// On reports whether jobs are archived.
	On() bool
	// Mark returns the archive's mark and the version of its key.
	Mark() (archive.Mark, uint64)
	// Known returns how an archived job ended, if that is at hand.
	Known(id string) (archive.Answer, bool)
	// Find looks that up; done may be called before it returns.
	Find(id string, urgent bool, done func(archive.Verdict, archive.Answer))
}

// Host is what admission needs of its controller. Callbacks may be called before the method that
// takes them returns, or later; each is called once.
type Host interface {
	// Answer and Refuse end a request.
	Answer(request RequestID, accepted bool, answer JobAnswer)
	Refuse(request RequestID, refusal *Refusal)
	// ShouldForward reports whether another controller can serve the request now, and this one, as the
	// state service has not answered it for a while, can't.
	ShouldForward(request RequestID) bool
	// Forward gives a request to a controller that the state service serves, or refuses it.
	Forward(r Request)

	// Job returns a job whose record is not archived, or nil.
	Job(id string) *jobs.Job
	// OwnsShard reports whether this controller knows what runs of a shard's jobs.
	OwnsShard(shard int) bool
	Archive() Archive
	// ReadFresh tells whether the copy of the state service's keys has become newer than this call.
	ReadFresh(done func(ok bool))
	// Revision is the one up to which the copy is complete, and Version that of a key in it.
	Revision() uint64
	Version(key string) uint64
	// Queue has a change by a user stored, and reports whether the queue had room for it.
	Queue(w *store.Write) bool

	WallClock() units.Microseconds
	// TeamLimit returns a team's quota in thousandths, where 0 means none; false: no such team.
	TeamLimit(team string) (binpack.Vec, bool)
	// TypesKnown reports whether any machine type is known, and Placeable whether a task runs on any.
	TypesKnown() bool
	Placeable(spec *jobs.Spec) bool
	// PeerMemoryFull reports whether another controller that is alive has no memory for more jobs.
	PeerMemoryFull() bool
	// ConfigurationCurrent reports whether the configuration is known well enough to accept by it.
	ConfigurationCurrent() bool
	// LeastLoadedShard is where a new job should go.
	LeastLoadedShard() int
	// OlderPeer names a controller whose release cannot work with jobs that have dependencies or are
	// stored in chunks; "": none.
	OlderPeer() string
}

// Config is what stays the same for the handler's life.
type Config struct {
	ValueMax int // bytes that one value of the state service takes
	TxnOps   int // changes that one transaction takes
	// SkippedGuard is a check that is left out; only tests set it.
	SkippedGuard guard.Guard
	Log          *slog.Logger
}

// Handler serves users' requests. Use New.
type Handler struct {
	cfg        Config
	host       Host
	memoryFull bool // this process's memory is nearly full
}

// New returns a handler.
func New(cfg Config, host Host) *Handler { return &Handler{cfg: cfg, host: host} }

// SetMemoryFull says whether this process's memory is nearly full.
func (h *Handler) SetMemoryFull(full bool, knownJobs int) {
	if full != h.memoryFull {
		h.memoryFull = full
		h.cfg.Log.Warn("memory", "nearly_full", full, "jobs", knownJobs)
	}
}

// MemoryFull reports whether this process's memory is nearly full.
func (h *Handler) MemoryFull() bool { return h.memoryFull }

// AnyMemoryFull reports whether a controller that is alive has no memory for more jobs. Every
// controller keeps every job's record, and the owner of its shard more than that: a job that
// one accepts fills the memory of all.
func (h *Handler) AnyMemoryFull() bool { return h.memoryFull || h.host.PeerMemoryFull() }
