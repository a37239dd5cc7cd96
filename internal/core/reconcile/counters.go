package reconcile

// Counters count what a controller has answered to heartbeats and probes since it started, in all shards
// that it owned.
type Counters struct {
	Admitted     [statusCount]uint64     // heartbeats by HeartbeatStatus
	Refused      [admissionCount]uint64  // heartbeats by Admission
	Stops        [stopReasonCount]uint64 // Stop commands by StopReason
	ProbeAnswers uint64                  // probe answers that reconciled a machine
}
