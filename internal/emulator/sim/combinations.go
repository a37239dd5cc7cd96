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

// combinations notes which faults come about together, for scenario.CountedEvents. It draws
// nothing and changes nothing of a play.
type faultCombinations struct {
	allDownSince    units.Microseconds            // since when no controller has run; 0: one runs
	exitedAt        map[string]units.Microseconds // when each controller last ended
	owners          map[int]shardOwners           // who was granted each block
	everOwners      map[string]bool               // controllers that were ever granted a block
	ownerChanges    int                           // of the holder of any block
	smallJobs       map[string]smallJob           // jobs of two or three tasks of which some have ended
	refusals        map[string]refusal            // controllers that the state service refuses alone
	reportedCancels int                           // cancellations told
	storedTxns      map[string]int                // transactions of each controller that were stored
	newestHeartbeat map[string]heartbeatNumber    // last report of each machine that has arrived anywhere
	lastHeartbeatAt map[string]units.Microseconds // when a report last arrived at each controller
}

// blockHolders are the controllers that were granted a block, and the last of them.
type shardOwners struct {
	seen map[string]bool
	last string
}

// fewTasks is a job of two or three tasks: which of them have ended, and the count of
// changes of holders at the first end.
type smallJob struct {
	completedMask uint8
	ownerChanges  int
}

// refusal is a controller that holds or leads and is refused.
type refusal struct {
	until           units.Microseconds
	reportedCancels int // told before
}

// messageNumber orders a machine's messages.
type heartbeatNumber struct{ incarnation, seq uint64 }

const (
	// heldFor is how long an answer or a command is under way at least that was held up.
	heldThreshold = second
	// atOnce is how soon a controller is back at most that returns at once.
	quickReturnWindow = second
	// reachedLately is how long ago a report reached a controller at most that workers reach.
	recentHeartbeatWindow = 4 * second
)

func newFaultCombinations() faultCombinations {
	return faultCombinations{exitedAt: map[string]units.Microseconds{}, owners: map[int]shardOwners{}, everOwners: map[string]bool{},
		smallJobs: map[string]smallJob{}, refusals: map[string]refusal{}, storedTxns: map[string]int{},
		newestHeartbeat: map[string]heartbeatNumber{}, lastHeartbeatAt: map[string]units.Microseconds{}}
}

// nodeEnds notes that a controller's process is about to end.
func (w *World) recordNodeExit(n *Node) {
	combinations := &w.combinations
	combinations.exitedAt[n.Name] = w.now
	if n.core.Owns(n.steadyClock(), 0) && w.anyWorkerUnreachable(n) {
		w.recordEvent(scenario.HolderEndedUnheard)
	}
	for _, other := range w.Nodes {
		if other != n && other.incarnation != 0 {
			return
		}
	}
	combinations.allDownSince = w.now
	w.recordEvent(scenario.AllEnded)
}

// anyOutOfReach reports whether tasks run on a machine that hangs, hears nothing, or is cut
// off from a controller.
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

// nodeStarts notes that a controller's process begins again.
func (w *World) recordNodeStart(n *Node) {
	combinations := &w.combinations
	if n.lastIncarnation == 0 {
		return
	}
	if w.now-combinations.exitedAt[n.Name] <= quickReturnWindow {
		w.recordEvent(scenario.ReturnedAtOnce)
	}
	if combinations.allDownSince != 0 && w.now-combinations.allDownSince > units.Seconds(w.Scenario.Workers.LeaseS) {
		w.recordEvent(scenario.AllAway)
	}
	combinations.allDownSince = 0
}

// blockStored notes who holds a block from now on.
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
		w.recordEvent(scenario.HandedBack)
	}
	owners.seen[assignment.Node], owners.last = true, assignment.Node
	combinations.owners[number] = owners
}

// taskEnded notes that a task is no longer on its machine.
func (w *World) recordTaskEnd(end site.Ended) {
	combinations := &w.combinations
	job := w.Site.Book[end.Task.Job]
	if job == nil {
		return
	}
	bound := job.Spec.OneZone || job.Spec.Zone != "" || job.Spec.Spread
	if !end.Completed && bound && (end.Machine.DiedAt != 0 || end.Machine.DeletedAt != 0) {
		w.recordEvent(scenario.BoundTaskLost)
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

// faultComes notes a fault that is about to come.
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

// nodesRefused are the controllers that hold or lead, of those that a refusal means by name.
func (w *World) refusedOwnersAndLeaders(fault scenario.Fault) []*Node {
	if fault.Node == "holder" || fault.Node == "leader" {
		return w.nodesOf(fault.Node)
	}
	return nil
}

// zoneWorks reports whether a zone has a controller that runs and a machine with tasks.
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

// cancelToldPastCut counts a cancellation that was told, also where a holder can neither know of it
// nor be told.
func (w *World) recordCancelPastCut() {
	w.combinations.reportedCancels++
	w.recordEvent(scenario.CancelTold)
	for _, n := range w.Nodes {
		if w.isolatedOwner(n) {
			w.recordEvent(scenario.CancelPastCut)
			return
		}
	}
}

// isolatedHolder reports whether a controller that was granted a block reaches neither the
// state service nor another controller, while workers and users reach it.
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

// reportArrives notes a report that arrives at a controller.
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

// answerArrives notes an answer with commands that reaches its machine, by when it was sent.
func (w *World) recordHeldResponse(sent units.Microseconds, reply core.Reply) {
	if response, ok := reply.Body.(core.HeartbeatResponse); ok && len(response.Commands) > 0 && w.now-sent >= heldThreshold {
		w.recordEvent(scenario.HeldAnswer)
	}
}

// requestArrives notes a direct request that reaches its machine, by when it was sent.
func (w *World) recordHeldRequest(sent units.Microseconds) {
	if w.now-sent >= heldThreshold {
		w.recordEvent(scenario.HeldRequest)
	}
}

// lateWrite notes a transaction that is carried out late, by how many of its controller had
// been stored when it was sent.
func (w *World) recordLateWrite(n *Node, before int) {
	if w.combinations.storedTxns[n.Name] > before {
		w.recordEvent(scenario.LateWrite)
	}
}
