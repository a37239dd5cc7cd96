package sim

import (
	"slices"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/machine"
	"shalestage.example/shalestage/internal/scenario"
)

// requestRepeats is the fault that requests which were carried out are carried out again.
type requestRepeats struct {
	until units.Microseconds
	share float64 // of the requests
}

// repeatLater lets a copy of a request that a controller sent, or that was sent to it, arrive once more: within
// moments, or after up to twice the time that a cancellation has, when its sender or receiver may have been replaced.
func (w *World) repeatLater(n *Node, carryOut func()) {
	if w.now >= w.repeats.until || !w.chance(w.repeats.share) {
		return
	}
	incarnation := n.lastIncarnation
	delay := w.randomDuration(0.01, 1.5)
	if w.chance(0.5) {
		delay = w.randomDuration(1.5, 2*w.Scenario.Workers.CancelS)
	}
	w.schedule(delay, func() {
		w.recordEvent(scenario.RequestRepeated)
		if n.lastIncarnation != incarnation {
			w.recordEvent(scenario.RepeatedAfterRestart)
		}
		carryOut()
	})
}

// sendDirect sends a request with commands to a machine. It returns false if the machine did not respond.
func (n *Node) sendDirect(name string, token, incarnation uint64, commands []fleet.Command) (heartbeat *fleet.Heartbeat, accepted, found bool) {
	w := n.world
	send := func() (heartbeat *fleet.Heartbeat, accepted, found bool) {
		heartbeat, _, accepted, found = w.Site.HandleDirect(w.now, name, token, incarnation, commands)
		w.handleSiteEvents()
		return heartbeat, accepted, found
	}
	heartbeat, accepted, found = send()
	if !found {
		return nil, false, false
	}
	w.repeatLater(n, func() { send() })
	return heartbeat, accepted, true
}

// startCopies is the number of copies of each request of Mutation.DirectStarts, a second apart.
const startCopies = 60

// sendStartsDirectly takes the starts out of a response to a heartbeat and sends them in a request of their own,
// as Mutation.DirectStarts demands.
func (n *Node) sendStartsDirectly(heartbeat *fleet.Heartbeat, response *machine.Response) {
	isStart := func(command fleet.Command) bool { return command.Op == fleet.Start }
	starts := slices.DeleteFunc(slices.Clone(response.Commands), func(command fleet.Command) bool { return !isStart(command) })
	response.Commands = slices.DeleteFunc(slices.Clone(response.Commands), isStart)
	if len(starts) == 0 {
		return
	}
	for copies := range units.Microseconds(startCopies) {
		n.world.schedule(copies*second, func() { n.sendDirect(heartbeat.Machine, response.FencingToken, heartbeat.Incarnation, starts) })
	}
}
