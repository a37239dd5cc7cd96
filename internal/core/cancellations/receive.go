package cancellations

import (
	"log/slog"
	"strings"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
)

// Host is what Apply needs from its controller.
type Host interface {
	// Job returns a job that is known, or nil.
	Job(id string) *jobs.Job
	// Version returns the version of a key in the watch cache, and
	// ApplyCancellation applies a newer record to the cache.
	Version(key string) uint64
	ApplyCancellation(record store.Event)
}

// Apply applies the cancellations that another controller has listed to the watch cache. A shard's owner
// that cannot reach the state service learns of them in no other way, while other controllers go on
// confirming cancellations to users. The tasks of the cancelled jobs stop with the next heartbeats. Apply
// reports whether all records were valid. It stops at the first invalid one; the caller must then not rely on
// the list being complete.
func Apply(host Host, log *slog.Logger, from string, list []store.Event) bool {
	for _, record := range list {
		if !applyOne(host, log, from, record) {
			return false
		}
	}
	return true
}

// applyOne applies one listed cancellation and reports whether the record is a valid one. A job that is not
// known here is added as cancelled: its acceptance may arrive later, through a delayed watch.
func applyOne(host Host, log *slog.Logger, from string, record store.Event) bool {
	id, isJob := strings.CutPrefix(record.Key, keys.JobPrefix)
	decoded, err := jobs.DecodeRecord(record.Value)
	if !isJob || !jobs.ValidID(id) || err != nil || decoded.Status != jobs.Cancelled || record.Stamp == 0 {
		log.Warn("invalid cancellation in another controller's list", "controller", from, "key", record.Key)
		return false
	}
	if job := host.Job(id); job != nil && job.Record.Status == jobs.Done {
		log.Warn("another controller lists a done job as cancelled", "controller", from, "job", id)
		return true
	}
	if host.Version(record.Key) < record.Stamp {
		log.Info("applying a cancellation listed by another controller", "controller", from, "job", id)
		host.ApplyCancellation(record)
	}
	return true
}
