package cancellations

import (
	"log/slog"
	"strings"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
)

// Host is what Learn needs of its controller.
type Host interface {
	// Job returns a job that is known, or nil.
	Job(id string) *jobs.Job
	// Version is that of a key in the copy of the state service's keys, and Learn takes a newer one.
	Version(key string) uint64
	ApplyCancellation(record store.Event)
}

// Apply has the copy of the state service's keys take the cancellations that another controller has
// listed. An owner that the state service does not serve learns of them in no other way, while
// others go on confirming them to users: its tasks stop with the next heartbeats. Apply reports
// whether all were understood; where one was not, nothing that the list says of its being whole
// counts.
func Apply(host Host, log *slog.Logger, from string, list []store.Event) bool {
	for _, record := range list {
		if !applyOne(host, log, from, record) {
			return false
		}
	}
	return true
}

// applyOne takes one and reports whether it is a cancellation. A job that is not known here yet is so
// from now on, as cancelled: its acceptance may come later, with a watch that was held up.
func applyOne(host Host, log *slog.Logger, from string, record store.Event) bool {
	id, isJob := strings.CutPrefix(record.Key, keys.JobPrefix)
	decoded, err := jobs.DecodeRecord(record.Value)
	if !isJob || !jobs.ValidID(id) || err != nil || decoded.Status != jobs.Cancelled || record.Stamp == 0 {
		log.Warn("invalid cancellation from another controller", "controller", from, "key", record.Key)
		return false
	}
	if job := host.Job(id); job != nil && job.Record.Status == jobs.Done {
		log.Warn("another controller lists a done job as cancelled", "controller", from, "job", id)
		return true
	}
	if host.Version(record.Key) < record.Stamp {
		log.Info("cancellation learnt from another controller", "controller", from, "job", id)
		host.ApplyCancellation(record)
	}
	return true
}
