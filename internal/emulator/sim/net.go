package sim

import (
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/scenario"
)

// way is the direction from one party to another.
type link struct{ from, to string }

// trouble is what happens to messages on a way.
type impairment struct {
	until units.Microseconds
	mode  string             // "hold" (or ""), "drop", "reset", "delay" or "trickle"
	delay units.Microseconds // of a message, or of each byte that trickles
}

// messageBytes is about how long a message is that trickles.
const messageBytes = 400

// lost reports whether nothing comes through for now.
func (t impairment) blocks(now units.Microseconds) bool {
	return now < t.until && t.mode != "delay" && t.mode != "trickle"
}

// network carries messages between parties: controllers by name, "state",
// "cloud", "users", and "zone Z" for the machines of a zone.
type network struct {
	world *World
	links map[link]impairment
}

// cut puts a way into trouble until a time.
func (n *network) cut(from, to string, t impairment) { n.links[link{from, to}] = t }

// outcome of a message that is sent.
type outcome int

const (
	delivered outcome = iota // delivered, now or once the trouble is over
	dropped                  // never delivered, and nobody says so
	refused                  // never delivered, and the sender learns it
)

// send delivers a message after some time. Held messages come in the order in
// which they were sent, when the trouble is over, also to those who have given up.
func (n *network) send(from, to string, deliver func()) outcome {
	w := n.world
	impairment := n.links[link{from, to}]
	if w.now < impairment.until {
		switch impairment.mode {
		case "drop":
			return dropped
		case "reset":
			return refused
		case "delay":
			w.schedule(impairment.delay+w.randomDuration(0.0003, 0.002), deliver)
			return delivered
		case "trickle":
			w.recordEvent(scenario.Trickled)
			w.schedule(min(impairment.delay*messageBytes, impairment.until-w.now)+w.randomDuration(0.0003, 0.002), deliver)
			return delivered
		}
		w.schedule(impairment.until-w.now+units.Second/1000, deliver)
		return delivered
	}
	if w.noise && w.chance(0.0005) { // lost, and delivered by a later try
		w.schedule(w.randomDuration(0.2, 0.6), deliver)
		return delivered
	}
	w.schedule(w.randomDuration(0.0003, 0.002), deliver)
	return delivered
}

// open reports whether a new connection from one party to another comes about.
func (n *network) connect(from, to string) outcome {
	for _, d := range []link{{from, to}, {to, from}} {
		if t := n.links[d]; t.blocks(n.world.now) {
			if t.mode == "reset" {
				return refused
			}
			return dropped
		}
	}
	return delivered
}

// request sends a question and brings its answer back. serve gets a function to
// answer with; done is called exactly once: with what the answer does, or with nil
// when none has come in time, or none can come.
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
