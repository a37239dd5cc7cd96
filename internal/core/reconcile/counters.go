package reconcile

import "shalestage.example/shalestage/internal/core/fleet"

// Counters count what a controller has answered to heartbeats and probes since it started, in all shards
// that it owned.
type Counters struct {
	Admitted     [statusCount]uint64     // heartbeats by HeartbeatStatus
	Refused      [admissionCount]uint64  // heartbeats by Admission
	Stops        [stopReasonCount]uint64 // Stop commands by StopReason
	ProbeAnswers uint64                  // probe answers that reconciled a machine
}

// StopReason is the reason why a heartbeat response stops a task.
type StopReason int

// Reasons for stopping a task.
const (
	JobFinished   StopReason = iota // its job is done or cancelled
	NotThisShard                    // its job is unknown, another shard's, or has fewer tasks
	RunsElsewhere                   // it has finished, or was started on another machine
	LeaseExpired                    // it counts as ended since a lease of the machine expired
	stopReasonCount
)

// StopReasons lists all reasons for stopping a task.
var StopReasons = []StopReason{JobFinished, NotThisShard, RunsElsewhere, LeaseExpired}

// String returns the reason as logs and metrics show it.
func (r StopReason) String() string {
	return [...]string{"job_finished", "not_this_shard", "runs_elsewhere", "lease_expired"}[r]
}

// dueStop is a task that a machine must stop.
type dueStop struct {
	task   fleet.Task
	reason StopReason
}
