package sim

import (
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/scenario"
)

// link is the direction from one party to another.
type link struct{ from, to string }

// impairment is a fault of a link.
type impairment struct {
	until units.Microseconds
	mode  string             // "hold" (or ""), "drop", "reset", "delay" or "trickle"
	delay units.Microseconds // of each message, or of each byte with "trickle"
}

// messageBytes is the approximate size of a message, for the delay with "trickle".
const messageBytes = 400

// blocks reports whether no message passes the link now.
func (i impairment) blocks(now units.Microseconds) bool {
	return now < i.until && i.mode != "delay" && i.mode != "trickle"
}

// network carries messages between parties: controllers by name, "state",
// "cloud", "users", and "zone Z" for the machines of a zone.
type network struct {
	world *World
	links map[link]impairment
}

// cut impairs a link.
func (n *network) cut(from, to string, i impairment) { n.links[link{from, to}] = i }

// outcome is the fate of a message that is sent.
type outcome int

const (
	delivered outcome = iota // it arrives, perhaps only when the impairment is over
	dropped                  // it is lost, and the sender is not told
	refused                  // it is rejected, and the sender is told
)

// send calls deliver after the delay of the link, unless the message is lost. Held messages arrive when the
// impairment is over, in the order in which they were sent, even if the sender no longer waits for a
// response.
func (n *network) send(from, to string, deliver func()) outcome {
	w := n.world
	current := n.links[link{from, to}]
	if w.now < current.until {
		switch current.mode {
		case "drop":
			return dropped
		case "reset":
			return refused
		case "delay":
			w.schedule(current.delay+w.randomDuration(0.0003, 0.002), deliver)
			return delivered
		case "trickle":
			w.recordEvent(scenario.Trickled)
			w.schedule(min(current.delay*messageBytes, current.until-w.now)+w.randomDuration(0.0003, 0.002), deliver)
			return delivered
		}
		w.schedule(current.until-w.now+units.Second/1000, deliver)
		return delivered
	}
	if w.noise && w.chance(0.0005) { // lost, and delivered by a retransmission
		w.schedule(w.randomDuration(0.2, 0.6), deliver)
		return delivered
	}
	w.schedule(w.randomDuration(0.0003, 0.002), deliver)
	return delivered
}

// connect returns the outcome of opening a connection from one party to another. It needs both directions.
func (n *network) connect(from, to string) outcome {
	for _, direction := range []link{{from, to}, {to, from}} {
		if current := n.links[direction]; current.blocks(n.world.now) {
			if current.mode == "reset" {
				return refused
			}
			return dropped
		}
	}
	return delivered
}

// request sends a request and delivers its response. serve handles the request and calls answer with a
// function that delivers the response. done is called exactly once: with that function, or with nil if no
// response arrived within wait or the connection was refused.
func (n *network) request(from, to string, wait units.Microseconds, serve func(answer func(f func())), done func(f func())) {
	w := n.world
	settled := false
	finish := func(f func()) {
		if !settled {
			settled = true
			done(f)
		}
	}
	w.schedule(wait, func() { finish(nil) })
	sent := n.send(from, to, func() {
		serve(func(f func()) {
			if n.send(to, from, func() { finish(f) }) == refused {
				w.schedule(units.Second/1000, func() { finish(nil) })
			}
		})
	})
	if sent == refused {
		w.schedule(units.Second/1000, func() { finish(nil) })
	}
}
