package introspect

import (
	"fmt"
	"strings"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// JobState is what a controller knows of a job and its shard.
type JobState struct {
	Now   units.Microseconds
	Job   *jobs.Job
	Shard *OwnedShard  // nil: another controller owns it
	Other *RemoteShard // set only if Shard is nil
}

// RemoteShard is what a controller knows of a shard that it does not own.
type RemoteShard struct {
	Assignment any // as stored
	Leader     string
	Membership string // state of this controller's membership
	Cache      string // state of the watch cache
	Writes     int    // number of writes that are queued
}

// OwnedShard is the state of a shard as its owner knows it.
type OwnedShard struct {
	Number       int
	FencingToken uint64
	Allocation   float64 // fraction of every team's limit
	Usage        binpack.Vec
	Releasing    bool
	Unreconciled int
	Provisioning int // number of open requests to the cloud
	CloudReady   bool
	Machines     map[string]*fleet.Machine
}

// Explain describes in a few lines the state of a job and
// why it waits, for operators' logs and for failed tests.
func Explain(state JobState) string {
	var text strings.Builder
	job := state.Job
	fmt.Fprintf(&text, "%s: %s, finished %d of %d, ready %d, placed %d, awaits reconciliation %v, not before %.1f, now %.1f, failed on %d machines",
		job.ID, job.Record.Status, job.Finished(), job.Record.Tasks, job.Ready(), job.Placed(), job.Unreconciled, job.NotBefore.Seconds(), state.Now.Seconds(), len(job.MachineFailures))
	if job.OpenDependencies > 0 {
		fmt.Fprintf(&text, ", waits for %d of %v", job.OpenDependencies, job.Spec().Awaits)
	}
	if job.CancelledBy != "" {
		fmt.Fprintf(&text, ", cancelled with %s", job.CancelledBy)
	}
	if state.Shard == nil {
		other := state.Other
		fmt.Fprintf(&text, "; shard %d assigned as %+v; leader %q; %s; %s; %d writes wait",
			job.Record.Shard, other.Assignment, other.Leader, other.Membership, other.Cache, other.Writes)
		return text.String()
	}
	shard := state.Shard
	if spec := job.Spec(); spec != nil {
		fmt.Fprintf(&text, "; team %s uses %v", spec.Team, shard.Usage)
	}
	fmt.Fprintf(&text, "; shard %d allocation %.2f token %d releasing %v, migrating %v, unreconciled %d, provisioning %d, cloud may be called %v",
		shard.Number, shard.Allocation, shard.FencingToken, shard.Releasing, job.Migrating, shard.Unreconciled, shard.Provisioning, shard.CloudReady)
	for _, name := range sortedKeys(shard.Machines) {
		explainMachine(&text, shard.Machines[name])
	}
	return text.String()
}

func explainMachine(text *strings.Builder, machine *fleet.Machine) {
	record := machine.Record
	fmt.Fprintf(text, "\n  %s %s/%s spot %v: up %v, tasks %d, schedulable %v (reconciled %v stored %v lost %v quarantined %v deprovisioning %v)",
		machine.Name, record.Type, record.Zone, record.Spot, machine.LastSeen != 0, len(machine.Tasks), machine.Schedulable(),
		machine.Reconciled, record.Up, machine.Lost, machine.Quarantined, machine.Deprovisioning)
}
