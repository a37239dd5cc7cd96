package sim

import (
	"strconv"
	"strings"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/emulator/site"
	"shalestage.example/shalestage/internal/scenario"
)

// faultCombinations tracks which faults coincide, for scenario.CountedEvents. It only observes: it draws no
// random numbers and does not change the run.
type faultCombinations struct {
	allDownSince    units.Microseconds            // since when no controller runs; 0 if one does
	exitedAt        map[string]units.Microseconds // last exit of each controller
	owners          map[int]shardOwners           // owners of each shard so far
	everOwners      map[string]bool               // controllers that have ever been assigned a shard
	ownerChanges    int                           // number of shard assignments to a controller so far
	smallJobs       map[string]smallJob           // jobs of two or three tasks of which some have completed
	refusals        map[string]refusal            // shard owners and leaders that the state service refuses
	reportedCancels int                           // cancellations that users were told of so far
	storedTxns      map[string]int                // number of committed transactions of each controller
	newestHeartbeat map[string]heartbeatNumber    // newest heartbeat of each machine that has reached a controller
	lastHeartbeatAt map[string]units.Microseconds // when a heartbeat last reached each controller
}

// shardOwners are the controllers that have been assigned a shard, and the last of them.
type shardOwners struct {
	seen map[string]bool
	last string
}

// smallJob is a job of two or three tasks: a bit mask of the completed ones, and
// faultCombinations.ownerChanges at the first completion.
type smallJob struct {
	completedMask uint8
	ownerChanges  int
}

// refusal is a period in which the state service refuses a shard owner or leader.
type refusal struct {
	until           units.Microseconds
	reportedCancels int // before the refusal
}

// heartbeatNumber orders the heartbeats of a machine.
type heartbeatNumber struct{ incarnation, seq uint64 }

const (
	// heldThreshold is the shortest delay with which a response or direct request counts as held up.
	heldThreshold = second
	// quickReturnWindow is the longest downtime with which a controller counts as back at once.
	quickReturnWindow = second
	// recentHeartbeatWindow is the longest time since the last heartbeat with which a controller counts as
	// reachable by workers.
	recentHeartbeatWindow = 4 * second
)

func newFaultCombinations() faultCombinations {
	return faultCombinations{exitedAt: map[string]units.Microseconds{}, owners: map[int]shardOwners{}, everOwners: map[string]bool{},
		smallJobs: map[string]smallJob{}, refusals: map[string]refusal{}, storedTxns: map[string]int{},
		newestHeartbeat: map[string]heartbeatNumber{}, lastHeartbeatAt: map[string]units.Microseconds{}}
}

// recordNodeExit records that a controller process is about to exit.
func (w *World) recordNodeExit(n *Node) {
	combinations := &w.combinations
	combinations.exitedAt[n.Name] = w.now
	if n.core.Owns(n.steadyClock(), 0) && w.anyWorkerUnreachable(n) {
		w.recordEvent(scenario.OwnerEndedWorkerUnreachable)
	}
	for _, other := range w.Nodes {
		if other != n && other.incarnation != 0 {
			return
		}
	}
	combinations.allDownSince = w.now
	w.recordEvent(scenario.AllEnded)
}

// anyWorkerUnreachable reports whether a machine that runs tasks hangs, receives no messages, or is cut off
// from controller n.
func (w *World) anyWorkerUnreachable(n *Node) bool {
	for _, m := range w.Site.Cloud.Alive() {
		worker := w.Site.Worker(m.Name)
		if worker == nil || worker.Running() == 0 {
			continue
		}
		if worker.Hung(w.now) || worker.InboundCut(w.now) || w.net.connect(scenario.ZoneParty(m.Zone), n.Name) != delivered {
			return true
		}
	}
	return false
}

// recordNodeStart records that a controller process restarts.
func (w *World) recordNodeStart(n *Node) {
	combinations := &w.combinations
	if n.lastIncarnation == 0 {
		return
	}
	if w.now-combinations.exitedAt[n.Name] <= quickReturnWindow {
		w.recordEvent(scenario.ReturnedAtOnce)
	}
	if combinations.allDownSince != 0 && w.now-combinations.allDownSince > units.Seconds(w.Scenario.Workers.LeaseS) {
		w.recordEvent(scenario.RestartAfterLeaseExpiry)
	}
	combinations.allDownSince = 0
}

// recordAssignment records the owner of a shard from a stored assignment.
func (w *World) recordAssignment(change kv.Change) {
	combinations := &w.combinations
	number, err := strconv.Atoi(strings.TrimPrefix(change.Key, "shalestage/block/"))
	if err != nil || change.Value == nil {
		return
	}
	assignment, err := authority.DecodeAssignment(change.Value)
	if err != nil || assignment.Node == "" {
		return
	}
	combinations.everOwners[assignment.Node] = true
	combinations.ownerChanges++
	owners := combinations.owners[number]
	if owners.seen == nil {
		owners.seen = map[string]bool{}
	}
	if owners.seen[assignment.Node] && owners.last != assignment.Node {
		w.recordEvent(scenario.ShardReturned)
	}
	owners.seen[assignment.Node], owners.last = true, assignment.Node
	combinations.owners[number] = owners
}

// recordTaskEnd records that a task is no longer on its machine.
func (w *World) recordTaskEnd(end site.TaskEnded) {
	combinations := &w.combinations
	job := w.Site.Uploads[end.Task.Job]
	if job == nil {
		return
	}
	bound := job.Spec.OneZone || job.Spec.Zone != "" || job.Spec.Spread
	if !end.Completed && bound && (end.Machine.DiedAt != 0 || end.Machine.DeletedAt != 0) {
		w.recordEvent(scenario.ZoneBoundTaskLost)
	}
	if n := job.Spec.Tasks; !end.Completed || job.Spec.Service || n < 2 || n > 3 {
		return
	}
	small, known := combinations.smallJobs[end.Task.Job]
	if !known {
		small.ownerChanges = combinations.ownerChanges
	}
	bit := uint8(1) << end.Task.Task
	if known && small.completedMask&bit == 0 && combinations.ownerChanges > small.ownerChanges {
		w.recordEvent(scenario.EndAfterChange)
	}
	small.completedMask |= bit
	combinations.smallJobs[end.Task.Job] = small
}

// recordFault records a fault that is about to be injected.
func (w *World) recordFault(fault scenario.Fault) {
	combinations := &w.combinations
	switch fault.Kind {
	case scenario.StateRefuse:
		for _, n := range w.refusedOwnersAndLeaders(fault) {
			combinations.refusals[n.Name] = refusal{w.now + units.Seconds(fault.ForS), combinations.reportedCancels}
		}
	case scenario.StateOutage:
		for _, r := range combinations.refusals {
			if w.now <= r.until && combinations.reportedCancels > r.reportedCancels && fault.ForS > w.Scenario.Workers.CancelS {
				w.recordEvent(scenario.OutageAfterRefusal)
				return
			}
		}
	case scenario.ZoneLost, scenario.ZoneApart:
		if fault.ForS > w.Scenario.Workers.LeaseS && w.zoneIsActive(fault.Zone) {
			w.recordEvent(scenario.ZoneCutOff)
		}
	}
}

// refusedOwnersAndLeaders returns the controllers that a refusal selects as shard owner or leader.
func (w *World) refusedOwnersAndLeaders(fault scenario.Fault) []*Node {
	if fault.Node == "holder" || fault.Node == "leader" {
		return w.nodesOf(fault.Node)
	}
	return nil
}

// zoneIsActive reports whether a zone has a running controller and a machine that runs tasks.
func (w *World) zoneIsActive(zone string) bool {
	runs := false
	for _, n := range w.Nodes {
		runs = runs || n.zone == zone && n.incarnation != 0
	}
	if !runs {
		return false
	}
	for _, m := range w.Site.Cloud.Alive() {
		if worker := w.Site.Worker(m.Name); m.Zone == zone && worker != nil && worker.Running() > 0 {
			return true
		}
	}
	return false
}

// recordCancelPastCut records that a user was told of a cancellation. It also records whether a shard owner
// is isolated at that time: such an owner cannot learn of the cancellation.
func (w *World) recordCancelPastCut() {
	w.combinations.reportedCancels++
	w.recordEvent(scenario.CancelReported)
	for _, n := range w.Nodes {
		if w.isolatedOwner(n) {
			w.recordEvent(scenario.CancelPastCut)
			return
		}
	}
}

// isolatedOwner reports whether a controller that has ever been assigned a shard reaches neither the state
// service nor another controller, while workers and users still reach it.
func (w *World) isolatedOwner(n *Node) bool {
	combinations := &w.combinations
	if n.incarnation == 0 || !combinations.everOwners[n.Name] || w.net.connect(n.Name, scenario.PartyState) == delivered ||
		w.net.connect("users", n.Name) != delivered || w.now-combinations.lastHeartbeatAt[n.Name] > recentHeartbeatWindow {
		return false
	}
	for _, other := range w.Nodes {
		if other != n && w.net.connect(n.Name, other.Name) == delivered {
			return false
		}
	}
	return true
}

// recordHeartbeat records a heartbeat that reaches a controller.
func (w *World) recordHeartbeat(n *Node, heartbeat *fleet.Heartbeat) {
	combinations := &w.combinations
	combinations.lastHeartbeatAt[n.Name] = w.now
	last, now := combinations.newestHeartbeat[heartbeat.Machine], heartbeatNumber{heartbeat.Incarnation, heartbeat.Seq}
	if now.incarnation < last.incarnation {
		w.recordEvent(scenario.OldSessionReport)
	}
	if now.incarnation < last.incarnation || now.incarnation == last.incarnation && now.seq < last.seq {
		w.recordEvent(scenario.OldReport)
		return
	}
	combinations.newestHeartbeat[heartbeat.Machine] = now
}

// recordHeldResponse records a response with commands that reaches its machine long after it was sent.
func (w *World) recordHeldResponse(sent units.Microseconds, reply core.Reply) {
	if response, ok := reply.Body.(core.HeartbeatResponse); ok && len(response.Commands) > 0 && w.now-sent >= heldThreshold {
		w.recordEvent(scenario.HeldAnswer)
	}
}

// recordHeldRequest records a direct request that reaches its machine long after it was sent.
func (w *World) recordHeldRequest(sent units.Microseconds) {
	if w.now-sent >= heldThreshold {
		w.recordEvent(scenario.HeldRequest)
	}
}

// recordLateWrite records a transaction that is applied late, after others of its controller. before is the
// number of the controller's transactions that had been committed when it was sent.
func (w *World) recordLateWrite(n *Node, before int) {
	if w.combinations.storedTxns[n.Name] > before {
		w.recordEvent(scenario.LateWrite)
	}
}
