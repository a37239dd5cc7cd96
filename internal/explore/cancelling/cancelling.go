// Package cancelling is a model in which two controllers confirm cancellations to users while a third, the
// shard owner, answers workers. It runs the service's own code that tracks which cancellations the owner
// knows (package cancellations). The owner's reads of the state service, its requests to the peers and their
// responses may be delayed, lost or reordered. Writes of the peers may get no response, and the peers may
// crash and lose their memory. Model checking shows whether the owner can still answer workers without
// knowing of a cancellation that was confirmed too long ago.
package cancelling

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"shalestage.example/shalestage/internal/core/cancellations"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/explore"
)

// Mutation is a bug that is added on purpose, to show that the search finds it.
type Mutation string

// Mutations. Each removes one condition that safety depends on.
const (
	None                 Mutation = ""
	RenewalAsRead        Mutation = "renewal"     // a lease renewal counts as a read of the keys
	CompleteAfterRestart Mutation = "forgetful"   // a controller reports its list as complete right after its start, before it has read the keys
	CountFromResponse    Mutation = "from-answer" // a list counts from its arrival, not from the sending of its request
	ClaimOwnWrite        Mutation = "ahead"       // a controller that stored a cancellation claims to know all up to its revision
	ClaimLatestListed    Mutation = "latest"      // the owner claims to know all up to the latest cancellation in a list
	SinglePeer           Mutation = "one"         // a response of one controller counts as those of all
	TruncatedAsComplete  Mutation = "cut"         // a truncated list counts as complete
	TrimmedAsComplete    Mutation = "dropped"     // a list whose beginning is no longer kept counts as complete
)

// Mutations lists all mutations.
var Mutations = []Mutation{RenewalAsRead, CompleteAfterRestart, CountFromResponse, ClaimOwnWrite, ClaimLatestListed, SinglePeer, TruncatedAsComplete, TrimmedAsComplete}

// Options configure the model and bound its actions.
type Options struct {
	Mutation Mutation
	Jobs     int // maximum number of cancellations
	Mail     int // maximum number of messages in flight
	Crashes  int // maximum number of crashes of the controllers that confirm cancellations
}

const (
	controllerCount = 3
	second          = units.Second
	// extension is how long the owner may answer workers after the time up to which it knows all cancellations.
	extension = second
	startTime = 10 * second
)

// clockRates are the rates of the controllers' clocks. The owner's clock is slow, which is the worst case.
var clockRates = [controllerCount]float64{0.9995, 1.0005, 1.0005}

// Action is one step of the model. The meaning of A depends on the kind.
type Action struct {
	Kind actionKind
	A    int8
}

type actionKind int8

const (
	advanceTime       actionKind = iota // one second passes
	storeCancellation                   // A stores a cancellation and confirms it to the user
	storeUnanswered                     // a cancellation is stored, but its writer gets no response
	readKeys                            // A reads all keys and may confirm the cancellations that it finds
	sendRead                            // the owner sends a read
	sendRequest                         // the owner requests the cancellations that it lacks from A
	renewLease                          // the owner's lease is renewed
	crash                               // A crashes and restarts
	deliver                             // message A is delivered
	lose                                // message A is lost
)

type message struct {
	kind     actionKind // sendRead or sendRequest, or their responses: readKeys, storeCancellation
	from     int8       // the peer that sends or receives it
	sent     units.Microseconds
	revision uint64
	update   cancellations.Update
}

type process struct {
	tracker   *cancellations.Tracker
	clockRate float64
	revision  uint64          // revision up to which its watch cache is complete
	firstRead uint64          // revision of the first complete read
	loaded    bool            // it has read the keys at least once
	known     map[uint64]bool // cancellations, by revision
}

// World is the state of the model.
type World struct {
	o            Options
	now          units.Microseconds
	revision     uint64
	stored       []uint64                      // revisions of the cancellations
	confirmed    map[uint64]units.Microseconds // time of the first confirmation of each to a user
	nodes        [controllerCount]*process
	lastReadSent units.Microseconds // send time of the owner's last answered read
	messages     []message
	crashes      int
}

// New returns a world without cancellations, in which all controllers have read the keys.
func New(o Options) *World {
	w := &World{o: o, now: startTime, revision: 1, confirmed: map[uint64]units.Microseconds{}}
	for i := range w.nodes {
		w.nodes[i] = w.newProcess(i)
		w.nodes[i].loaded, w.nodes[i].revision, w.nodes[i].firstRead = true, w.revision, w.revision
	}
	w.lastReadSent = w.localTime(0)
	return w
}

func (w *World) newProcess(i int) *process {
	cfg := cancellations.Config{Peers: controllerCount - 1, Kept: 2, Listed: 1}
	if w.o.Mutation == TrimmedAsComplete {
		cfg.Kept = 1
	}
	if w.o.Mutation == SinglePeer {
		cfg.Peers = 1
	}
	return &process{tracker: cancellations.New(cfg), clockRate: clockRates[i], known: map[uint64]bool{}}
}

func (w *World) localTime(i int) units.Microseconds {
	return units.Microseconds(float64(w.now) * clockRates[i])
}

func event(revision uint64) store.Event {
	return store.Event{Key: fmt.Sprintf("j%d", revision), Value: []byte("{}"), Stamp: revision}
}

func (p *process) observe(revision uint64) {
	if !p.known[revision] {
		p.known[revision] = true
		if revision > p.revision {
			p.tracker.Record(event(revision))
		}
	}
}

// advanceCache brings a controller's watch cache up to a revision.
func (w *World) advanceCache(p *process, revision uint64) {
	if !p.loaded {
		p.loaded, p.firstRead, p.revision = true, revision, revision
	}
	for _, s := range w.stored {
		if s <= revision {
			p.observe(s)
		}
	}
	p.revision = max(p.revision, revision)
}

func (w *World) confirm(revision uint64) {
	if _, ok := w.confirmed[revision]; !ok {
		w.confirmed[revision] = w.now
	}
}

// Actions implements explore.World.
func (w *World) Actions() []Action {
	out := []Action{{Kind: advanceTime}}
	for i := int8(1); i < controllerCount; i++ {
		p := w.nodes[i]
		if len(w.stored) < w.o.Jobs && p.loaded {
			out = append(out, Action{storeCancellation, i})
		}
		if !p.loaded || p.revision < w.revision {
			out = append(out, Action{readKeys, i})
		}
		if len(w.messages) < w.o.Mail {
			out = append(out, Action{sendRequest, i})
		}
		if w.crashes < w.o.Crashes {
			out = append(out, Action{crash, i})
		}
	}
	if len(w.stored) < w.o.Jobs {
		out = append(out, Action{Kind: storeUnanswered})
	}
	if len(w.messages) < w.o.Mail {
		out = append(out, Action{Kind: sendRead})
	}
	if w.o.Mutation == RenewalAsRead {
		out = append(out, Action{Kind: renewLease})
	}
	for k := range w.messages {
		out = append(out, Action{deliver, int8(k)}, Action{lose, int8(k)})
	}
	return out
}

// Apply implements explore.World.
func (w *World) Apply(action Action) {
	owner := w.nodes[0]
	switch action.Kind {
	case advanceTime:
		w.now += second
	case storeCancellation, storeUnanswered:
		w.revision++
		w.stored = append(w.stored, w.revision)
		if action.Kind == storeCancellation {
			w.nodes[action.A].observe(w.revision)
			w.confirm(w.revision)
		}
	case readKeys:
		p := w.nodes[action.A]
		w.advanceCache(p, w.revision)
		for revision := range p.known {
			w.confirm(revision)
		}
	case sendRead:
		w.messages = append(w.messages, message{kind: sendRead, sent: w.localTime(0)})
	case sendRequest:
		w.messages = append(w.messages, message{kind: sendRequest, from: action.A, sent: w.localTime(0), revision: owner.tracker.KnownRevision(owner.revision)})
	case renewLease:
		w.lastReadSent = w.localTime(0)
	case crash:
		w.crashes++
		w.nodes[action.A] = w.newProcess(int(action.A))
	case lose:
		w.messages = slices.Delete(w.messages, int(action.A), int(action.A)+1)
	case deliver:
		l := w.messages[action.A]
		w.messages = slices.Delete(w.messages, int(action.A), int(action.A)+1)
		w.deliver(l)
	}
}

func (w *World) deliver(received message) {
	owner, peer := w.nodes[0], w.nodes[received.from]
	switch received.kind {
	case sendRead:
		received.kind, received.revision = readKeys, w.revision
		w.messages = append(w.messages, received)
	case readKeys:
		w.advanceCache(owner, received.revision)
		w.lastReadSent = max(w.lastReadSent, received.sent)
	case sendRequest:
		firstRead, revision, loaded := peer.firstRead, peer.revision, peer.loaded
		if w.o.Mutation == CompleteAfterRestart {
			firstRead, loaded = 0, true
		}
		if w.o.Mutation == ClaimOwnWrite {
			for s := range peer.known {
				revision = max(revision, s)
			}
		}
		received.kind, received.update = storeCancellation, peer.tracker.UpdateFor(w.localTime(int(received.from)), received.revision, firstRead, revision, loaded)
		received.update.Whole = received.update.Whole || w.o.Mutation == TrimmedAsComplete && peer.loaded
		w.messages = append(w.messages, received)
	case storeCancellation:
		for _, e := range received.update.List {
			owner.observe(e.Stamp)
			if w.o.Mutation == ClaimLatestListed {
				received.update.Upto = max(received.update.Upto, e.Stamp)
			}
		}
		sent := received.sent
		if w.o.Mutation == CountFromResponse {
			sent = w.localTime(0)
		}
		received.update.Whole = received.update.Whole || w.o.Mutation == TruncatedAsComplete
		owner.tracker.Receive(w.localTime(0), fmt.Sprint(received.from), sent, received.update, owner.revision)
	}
}

func (w *World) answersUntil() units.Microseconds {
	return w.nodes[0].tracker.KnownUntil(w.localTime(0), w.lastReadSent) + units.MinWithDrift(extension)
}

// Violation implements explore.World.
func (w *World) Violation() string {
	if w.localTime(0) >= w.answersUntil() {
		return ""
	}
	for _, revision := range w.stored {
		if at, ok := w.confirmed[revision]; ok && w.now >= at+extension && !w.nodes[0].known[revision] {
			return fmt.Sprintf("the owner answers workers without knowing of a cancellation that was confirmed %.0f s ago", (w.now - at).Seconds())
		}
	}
	return ""
}

// State implements explore.World.
func (w *World) State() string {
	var b strings.Builder
	ago := func(t units.Microseconds) units.Microseconds { return min(w.localTime(0)-t, extension+second) }
	fmt.Fprintf(&b, "%d %v %d|", w.revision, w.stored, w.crashes)
	for _, s := range w.stored {
		if at, ok := w.confirmed[s]; ok {
			fmt.Fprint(&b, min(w.now-at, extension), " ")
		}
	}
	fmt.Fprintf(&b, "%d|", ago(w.lastReadSent))
	for i, p := range w.nodes {
		fmt.Fprintf(&b, "%d %d %v %v %s|", p.revision, p.firstRead, p.loaded, p.known, p.tracker.Describe(w.localTime(i), extension+second))
	}
	described := make([]string, len(w.messages))
	for i, l := range w.messages {
		described[i] = fmt.Sprint(l.kind, l.from, ago(l.sent), l.revision, l.update)
	}
	slices.Sort(described)
	fmt.Fprint(&b, described)
	return b.String()
}

// FormatTrace replays a trace and describes it, one line per action.
func FormatTrace(o Options, trace []Action) []string {
	w := New(o)
	var out []string
	for _, m := range trace {
		who := string(rune('a' + m.A))
		text := [...]string{"a second passes", who + " stores a cancellation and confirms it to its user", "a cancellation is stored, and its writer gets no response",
			who + " reads the keys and confirms the cancellations that it finds", "a sends a read", "a requests cancellations from " + who, "a's lease is renewed", who + " crashes and restarts", "", ""}[m.Kind]
		if m.Kind == deliver || m.Kind == lose {
			l := w.messages[m.A]
			from := string(rune('a' + l.from))
			text = map[actionKind]string{sendRead: "a's read", readKeys: "the response to a's read", sendRequest: "a's request to " + from, storeCancellation: from + "'s response"}[l.kind] +
				map[actionKind]string{deliver: " is delivered", lose: " is lost"}[m.Kind]
		}
		w.Apply(m)
		out = append(out, fmt.Sprintf("%4.0f s  %-50s stored: %v; a knows %v, answers for %.1f s", (w.now-startTime).Seconds(), text, w.stored,
			slices.Sorted(maps.Keys(w.nodes[0].known)), cmp.Or(max(0, w.answersUntil()-w.localTime(0)).Seconds(), 0)))
	}
	return out
}

var _ explore.World[Action] = (*World)(nil)
