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
type combinations struct {
	allDown  units.Microseconds            // since when no controller has run; 0: one runs
	endedAt  map[string]units.Microseconds // when each controller last ended
	holders  map[int]blockHolders          // who was granted each block
	granted  map[string]bool               // controllers that were ever granted a block
	changes  int                           // of the holder of any block
	fewTasks map[string]fewTasks           // jobs of two or three tasks of which some have ended
	refused  map[string]refusal            // controllers that the state service refuses alone
	cancels  int                           // cancellations told
	stored   map[string]int                // transactions of each controller that were stored
	newest   map[string]messageNumber      // last report of each machine that has arrived anywhere
	heardAt  map[string]units.Microseconds // when a report last arrived at each controller
}

// blockHolders are the controllers that were granted a block, and the last of them.
type blockHolders struct {
	seen map[string]bool
	last string
}

// fewTasks is a job of two or three tasks: which of them have ended, and the count of
// changes of holders at the first end.
type fewTasks struct {
	ended   uint8
	changes int
}

// refusal is a controller that holds or leads and is refused.
type refusal struct {
	until   units.Microseconds
	cancels int // told before
}

// messageNumber orders a machine's messages.
type messageNumber struct{ session, seq uint64 }

const (
	// heldFor is how long an answer or a command is under way at least that was held up.
	heldFor = second
	// atOnce is how soon a controller is back at most that returns at once.
	atOnce = second
	// reachedLately is how long ago a report reached a controller at most that workers reach.
	reachedLately = 4 * second
)

func newCombinations() combinations {
	return combinations{endedAt: map[string]units.Microseconds{}, holders: map[int]blockHolders{}, granted: map[string]bool{},
		fewTasks: map[string]fewTasks{}, refused: map[string]refusal{}, stored: map[string]int{},
		newest: map[string]messageNumber{}, heardAt: map[string]units.Microseconds{}}
}

// nodeEnds notes that a controller's process is about to end.
func (w *World) nodeEnds(n *Node) {
	c := &w.combined
	c.endedAt[n.Name] = w.now
	if n.core.Owns(n.local(), 0) && w.anyOutOfReach(n) {
		w.happened(scenario.OwnerEndedWorkerUnreachable)
	}
	for _, o := range w.Nodes {
		if o != n && o.life != 0 {
			return
		}
	}
	c.allDown = w.now
	w.happened(scenario.AllEnded)
}

// anyOutOfReach reports whether tasks run on a machine that hangs, hears nothing, or is cut
// off from a controller.
func (w *World) anyOutOfReach(n *Node) bool {
	for _, m := range w.Site.Cloud.Alive() {
		k := w.Site.Worker(m.Name)
		if k == nil || k.Running() == 0 {
			continue
		}
		if k.Hung(w.now) || k.InboundCut(w.now) || w.net.open(scenario.ZoneParty(m.Zone), n.Name) != carried {
			return true
		}
	}
	return false
}

// nodeStarts notes that a controller's process begins again.
func (w *World) nodeStarts(n *Node) {
	c := &w.combined
	if n.lives == 0 {
		return
	}
	if w.now-c.endedAt[n.Name] <= atOnce {
		w.happened(scenario.ReturnedAtOnce)
	}
	if c.allDown != 0 && w.now-c.allDown > units.Seconds(w.S.Workers.LeaseS) {
		w.happened(scenario.RestartAfterLeaseExpiry)
	}
	c.allDown = 0
}

// blockStored notes who holds a block from now on.
func (w *World) blockStored(ch kv.Change) {
	c := &w.combined
	number, err := strconv.Atoi(strings.TrimPrefix(ch.Key, "shalestage/block/"))
	if err != nil || ch.Value == nil {
		return
	}
	b, err := authority.DecodeAssignment(ch.Value)
	if err != nil || b.Node == "" {
		return
	}
	c.granted[b.Node] = true
	c.changes++
	before := c.holders[number]
	if before.seen == nil {
		before.seen = map[string]bool{}
	}
	if before.seen[b.Node] && before.last != b.Node {
		w.happened(scenario.ShardReturned)
	}
	before.seen[b.Node], before.last = true, b.Node
	c.holders[number] = before
}

// taskEnded notes that a task is no longer on its machine.
func (w *World) taskEnded(e site.Ended) {
	c := &w.combined
	j := w.Site.Book[e.Task.Job]
	if j == nil {
		return
	}
	bound := j.Spec.OneZone || j.Spec.Zone != "" || j.Spec.Spread
	if !e.Completed && bound && (e.Machine.DiedAt != 0 || e.Machine.DeletedAt != 0) {
		w.happened(scenario.ZoneBoundTaskLost)
	}
	if n := j.Spec.Tasks; !e.Completed || j.Spec.Service || n < 2 || n > 3 {
		return
	}
	f, known := c.fewTasks[e.Task.Job]
	if !known {
		f.changes = c.changes
	}
	bit := uint8(1) << e.Task.Task
	if known && f.ended&bit == 0 && c.changes > f.changes {
		w.happened(scenario.EndAfterChange)
	}
	f.ended |= bit
	c.fewTasks[e.Task.Job] = f
}

// faultComes notes a fault that is about to come.
func (w *World) faultComes(f scenario.Fault) {
	c := &w.combined
	switch f.Kind {
	case scenario.StateRefuse:
		for _, n := range w.nodesRefused(f) {
			c.refused[n.Name] = refusal{w.now + units.Seconds(f.ForS), c.cancels}
		}
	case scenario.StateOutage:
		for _, r := range c.refused {
			if w.now <= r.until && c.cancels > r.cancels && f.ForS > w.S.Workers.CancelS {
				w.happened(scenario.OutageAfterRefusal)
				return
			}
		}
	case scenario.ZoneLost, scenario.ZoneApart:
		if f.ForS > w.S.Workers.LeaseS && w.zoneWorks(f.Zone) {
			w.happened(scenario.ZoneCutOff)
		}
	}
}

// nodesRefused are the controllers that hold or lead, of those that a refusal means by name.
func (w *World) nodesRefused(f scenario.Fault) []*Node {
	if f.Node == "holder" || f.Node == "leader" {
		return w.nodesOf(f.Node)
	}
	return nil
}

// zoneWorks reports whether a zone has a controller that runs and a machine with tasks.
func (w *World) zoneWorks(zone string) bool {
	runs := false
	for _, n := range w.Nodes {
		runs = runs || n.zone == zone && n.life != 0
	}
	if !runs {
		return false
	}
	for _, m := range w.Site.Cloud.Alive() {
		if k := w.Site.Worker(m.Name); m.Zone == zone && k != nil && k.Running() > 0 {
			return true
		}
	}
	return false
}

// cancelToldPastCut counts a cancellation that was told, also where a holder can neither know of it
// nor be told.
func (w *World) cancelToldPastCut() {
	w.combined.cancels++
	w.happened(scenario.CancelReported)
	for _, n := range w.Nodes {
		if w.isolatedHolder(n) {
			w.happened(scenario.CancelPastCut)
			return
		}
	}
}

// isolatedHolder reports whether a controller that was granted a block reaches neither the
// state service nor another controller, while workers and users reach it.
func (w *World) isolatedHolder(n *Node) bool {
	c := &w.combined
	if n.life == 0 || !c.granted[n.Name] || w.net.open(n.Name, scenario.PartyState) == carried ||
		w.net.open("users", n.Name) != carried || w.now-c.heardAt[n.Name] > reachedLately {
		return false
	}
	for _, o := range w.Nodes {
		if o != n && w.net.open(n.Name, o.Name) == carried {
			return false
		}
	}
	return true
}

// reportArrives notes a report that arrives at a controller.
func (w *World) reportArrives(n *Node, r *fleet.Heartbeat) {
	c := &w.combined
	c.heardAt[n.Name] = w.now
	last, now := c.newest[r.Machine], messageNumber{r.Incarnation, r.Seq}
	if now.session < last.session {
		w.happened(scenario.OldSessionReport)
	}
	if now.session < last.session || now.session == last.session && now.seq < last.seq {
		w.happened(scenario.OldReport)
		return
	}
	c.newest[r.Machine] = now
}

// answerArrives notes an answer with commands that reaches its machine, by when it was sent.
func (w *World) answerArrives(sent units.Microseconds, r core.Reply) {
	if o, ok := r.Body.(core.HeartbeatResponse); ok && len(o.Commands) > 0 && w.now-sent >= heldFor {
		w.happened(scenario.HeldAnswer)
	}
}

// requestArrives notes a direct request that reaches its machine, by when it was sent.
func (w *World) requestArrives(sent units.Microseconds) {
	if w.now-sent >= heldFor {
		w.happened(scenario.HeldRequest)
	}
}

// lateWrite notes a transaction that is carried out late, by how many of its controller had
// been stored when it was sent.
func (w *World) lateWrite(n *Node, before int) {
	if w.combined.stored[n.Name] > before {
		w.happened(scenario.LateWrite)
	}
}
