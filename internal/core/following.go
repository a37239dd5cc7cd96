package core

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/follow"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/lead"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/store"
)

// What controllers tell each other of starts, see package follow.
type (
	// PeerStarts tells a follower what may have been started; PeerKnown answers it.
	PeerStarts = follow.Message
	PeerKnown  = follow.Ack
)

// followed is what a block does for those that follow it.
type followed struct {
	*Core
	bl *block
}

// startAnswer is an answer to a report, with something to start.
type startAnswer struct {
	req    ReqID
	orders Orders
}

// Candidate implements follow.Host. A zone that is lost takes all in it with it: whoever
// follows is in another one, where that can be.
func (f followed) Candidate() string {
	best, bestCost := "", 4
	names := f.everyone()
	at := slices.Index(names, f.cfg.Node)
	for i := range names {
		n := names[(at+i)%len(names)]
		if n == f.cfg.Node || !f.Fit(n) || f.stateAge() > stateFresh {
			continue
		}
		cost := 0
		if z := f.cfg.PeerZones[n]; z == f.cfg.Home {
			cost += 2
		} else if !f.zones.Reachable(z) {
			cost++
		}
		if cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}

// Fit implements follow.Host.
func (f followed) Fit(n string) bool {
	return f.alive(f.peers.views[n]) && f.seats.Of(n) != 0 && f.releases[n] >= releaseFollows && !f.isDeaf(n)
}

// Send implements follow.Host.
func (f followed) Send(to string, m follow.Message) { f.emit(SendPeer{to, m}) }

// Machines implements follow.Host. Tasks may run on one that is being returned until the
// cloud has answered.
func (f followed) Machines() []string {
	var out []string
	for _, name := range sortedKeys(f.bl.machines) {
		if len(f.bl.machines[name].Tasks) > 0 {
			out = append(out, name)
		}
	}
	return out
}

// Draw implements follow.Host. A machine that is not there was returned: nothing is on it.
func (f followed) Draw(name string) follow.MachinePicture {
	if m := f.bl.machines[name]; m != nil {
		return drawMachine(m)
	}
	return follow.MachinePicture{Name: name}
}

func drawMachine(m *fleet.Machine) MachinePicture {
	p := MachinePicture{Name: m.Name, Addr: m.Addr, Session: m.Session, Seq: m.Seq}
	for _, id := range sortedTasks(m.Tasks) {
		p.Tasks = append(p.Tasks, fleet.Task{ID: id, Attempt: m.Tasks[id].Number, State: m.Tasks[id].State})
	}
	return p
}

// Undone implements follow.Host.
func (f followed) Undone() (out []TasksDone) {
	for _, id := range sortedKeys(f.bl.active) {
		if tasks := unstored(f.bl.active[id]); len(tasks) > 0 {
			out = append(out, TasksDone{Job: id, Tasks: tasks})
		}
	}
	return out
}

// unstored are the tasks of a job that are done and not stored as such.
func unstored(j *ledger.Job) (out []int) {
	if j.DirtySince == 0 && !j.AllFinished() {
		return nil // all that is done is stored
	}
	for t := range j.Record.Tasks {
		if j.IsFinished(t) && !j.IsStored(t) {
			out = append(out, t)
		}
	}
	return out
}

// Store implements follow.Host.
func (f followed) Store(r follow.Record, done func(bool)) {
	key := followKey(f.bl.n)
	guards := []store.Guard{{Key: blockKey(f.bl.n), Stamp: f.bl.grant}}
	if r.Node != "" {
		// That nobody follows is written over whatever is there; that somebody does must not
		// come after it.
		guards = append(guards, store.Guard{Key: key, Stamp: f.mirror.Stamp(key)})
	}
	f.lanes[LeaderLane].Add(&store.Write{Guards: guards, Changes: []store.Change{{Key: key, Value: store.Value(r)}}, First: true,
		Done: func(o store.Outcome, _ uint64) {
			if o == store.OK {
				f.log.Info("followed", "block", f.bl.n, "by", r.Node)
			}
			done(o == store.OK)
		}})
}

// Answer implements follow.Host.
func (f followed) Answer(a any, ok bool) {
	x := a.(startAnswer)
	if ok && f.held[f.bl.n] == f.bl && f.Holds(f.now, f.bl.n) {
		f.reply(x.req, http.StatusOK, x.orders)
		return
	}
	f.reply(x.req, http.StatusServiceUnavailable, Problem{"no authority at present"})
}

// giveOrders answers a report. One that starts something waits until whoever follows knows.
func (c *Core) giveOrders(bl *block, m *fleet.Machine, req ReqID, o Orders) {
	starts := slices.ContainsFunc(o.Commands, func(x fleet.Command) bool { return x.Op == fleet.Start })
	if !starts || !c.keeps(guard.FollowerKnows) || !bl.follow.Started(c.now, m.Name, startAnswer{req, o}) {
		c.reply(req, http.StatusOK, o)
	}
}

const followPrefix = root + "follow/"

func followKey(k int) string { return followPrefix + strconv.Itoa(k) }

// learnFollow takes who follows a block. A stream of a holder that has somebody else follow
// it, or nobody, is of no use any more.
func (c *Core) learnFollow(e store.Event) error {
	k, err := blockNumber(e.Key, followPrefix)
	if err != nil {
		return err
	}
	var r follow.Record
	if e.Value != nil {
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return err
		}
	}
	c.follows[k] = r
	return nil
}

// followerOf names who knows all that the last holder of a block has started; "" if nobody
// is stored to.
func (c *Core) followerOf(k int) string {
	if g, r := c.blocks[k], c.follows[k]; r.Token == lead.Token(g.Term, g.Number) {
		return r.Node
	}
	return ""
}

// takeFollowed returns the picture of a block that was followed here up to the end of the
// grant before this one, or nil.
func (c *Core) takeFollowed(bl *block) *picture {
	defer c.sink.Forget(bl.n)
	r := c.follows[bl.n]
	if after := c.blocks[bl.n].After; after == 0 || after != r.Token {
		return nil // somebody else has held it since, or an older release granted it
	}
	machines, done, ok := c.sink.Picture(bl.n, c.cfg.Node, r)
	if !ok {
		return nil
	}
	return &picture{token: r.Token, machines: machines, done: done, whole: true}
}

// takeStarts takes what a holder has started.
func (c *Core) takeStarts(from string, m PeerStarts) {
	if m.Block < 0 || m.Block >= maxBlocks || c.blocks[m.Block].Node != from {
		return
	}
	a := c.sink.Take(m, func(job string, task int) bool {
		j := c.jobs[job]
		return j == nil || !j.Active() || j.IsStored(task)
	})
	c.emit(SendPeer{from, a})
}
