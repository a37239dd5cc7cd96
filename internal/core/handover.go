package core

import (
	"net/http"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/follow"
	"shalestage.example/shalestage/internal/core/unit"
	"shalestage.example/shalestage/internal/core/watch"
)

// A holder that gives a block up while its seat stands hands on its picture: what may run on
// each machine that is accounted for. It answers no worker any more from before the picture
// is drawn, so that nothing is missing in it. The next holder uses it only where the block's
// record says that it follows on that grant, with none between: then it need not wait until
// every machine has reported, and tasks start with a machine's first report. What is not in
// the picture, or whose part of it was lost on the way, is unaccounted for as ever.

type (
	// PeerPicture is a part of a holder's picture of a block.
	PeerPicture struct {
		Block    int
		Token    uint64 // under which it was drawn
		Machines []MachinePicture
		Done     []TasksDone // and are not stored as done yet
	}
	// TasksDone and MachinePicture are parts of a picture.
	TasksDone      = follow.TasksDone
	MachinePicture = follow.MachinePicture
)

const (
	// PictureTasks bounds one part, which must fit into a frame between controllers.
	PictureTasks = 400
	// maxPicture bounds the machines that are remembered of a picture.
	maxPicture = 1 << 16
)

// picture is what was handed on for a block.
type picture struct {
	token    uint64
	machines map[string]MachinePicture
	done     []TasksDone
	whole    bool // on machines that are not in it, nothing can be
}

// handOn sends the picture of a block that is being given up to all that can use it: who
// gets the block is the leader's to decide.
func (c *Core) handOn(bl *block) {
	if !bl.ready || len(bl.unaccounted) > 0 {
		return
	}
	var to []string
	for _, n := range c.peers.names {
		if c.releases[n] >= releaseHands && c.alive(c.peers.views[n]) {
			to = append(to, n)
		}
	}
	part := PeerPicture{Block: bl.n, Token: bl.token}
	size := 0
	send := func() {
		for _, n := range to {
			c.emit(SendPeer{n, part})
		}
		part.Machines, part.Done, size = nil, nil, 0
	}
	for _, id := range sortedKeys(bl.active) {
		// The rest would be done once more: machines show what has ended only with their
		// next report.
		for tasks := unstored(bl.active[id]); len(tasks) > 0; {
			if size >= PictureTasks {
				send()
			}
			n := min(len(tasks), PictureTasks-size)
			part.Done, size = append(part.Done, TasksDone{Job: id, Tasks: tasks[:n:n]}), size+n
			tasks = tasks[n:]
		}
	}
	for _, name := range sortedKeys(bl.machines) {
		m := bl.machines[name]
		// One that has just come up has not shown the token yet; as all that earlier holders
		// left is accounted for, nothing can be on it, unless nobody knows who rented it.
		if m.Leaving || m.Lost || !m.Record.Up || !m.Accounted && isStray(m.Group) {
			continue
		}
		p := drawMachine(m)
		if size > 0 && size+len(p.Tasks)+4 > PictureTasks {
			send()
		}
		part.Machines, size = append(part.Machines, p), size+len(p.Tasks)+4
	}
	send()
}

// handed takes a part of a picture.
func (c *Core) handed(m PeerPicture) {
	if m.Block < 0 || m.Block >= maxBlocks {
		return
	}
	p := c.pictures[m.Block]
	if p == nil || p.token < m.Token {
		p = &picture{token: m.Token, machines: map[string]MachinePicture{}}
		c.pictures[m.Block] = p
	}
	if p.token != m.Token || len(p.machines)+len(m.Machines)+len(p.done)+len(m.Done) > maxPicture {
		return
	}
	p.done = append(p.done, m.Done...)
	for _, x := range m.Machines {
		p.machines[x.Name] = x
	}
}

// takePicture returns what was handed on with the grant of a block, and forgets it.
func (c *Core) takePicture(bl *block) *picture {
	p := c.pictures[bl.n]
	delete(c.pictures, bl.n)
	if f := c.takeFollowed(bl); f != nil {
		return f
	}
	if from := c.blocks[bl.n].From; p == nil || from == 0 || p.token != from {
		return &picture{}
	}
	return p
}

// covers reports whether nothing can be on machines of a group that the picture does not
// show. On one that nobody is known to have rented, anybody may have started anything.
func (p *picture) covers(group string) bool { return p.whole && !isStray(group) }

// believe takes in a whole picture, and returns of how many machines it tells.
func (c *Core) believe(bl *block, p *picture) int {
	n := 0
	for _, name := range sortedKeys(bl.machines) {
		m := bl.machines[name]
		if x, ok := p.machines[name]; m.Record.Up && (ok || p.covers(m.Group)) {
			c.adopt(bl, m, x)
			n++
		}
	}
	for _, d := range p.done {
		for _, t := range d.Tasks {
			if j := bl.active[d.Job]; j != nil && t >= 0 && t < j.Record.Tasks && !j.IsFinished(t) {
				c.finished(bl, j, t)
			}
		}
	}
	return n
}

// adopt takes in what may be on a machine by the last holder's word.
func (c *Core) adopt(bl *block, m *fleet.Machine, p MachinePicture) {
	m.Accounted, m.Handed = true, true
	m.Addr, m.Session, m.Seq = p.Addr, p.Session, p.Seq
	for _, t := range p.Tasks {
		if t.State != fleet.Exited {
			c.onBoard(bl, m, t) // what should stop is told when it reports
		}
	}
}

// retireWithin is how long a controller that ends on purpose may take to hand on what it
// holds.
const retireWithin = 3 * unit.Second

// Retire has this controller give up all that it holds, as its process is about to end on
// purpose. Users' requests are still answered, and workers sent on.
func (c *Core) Retire(now unit.Micros) {
	c.at(now)
	if c.retiring == 0 {
		c.retiring = max(c.now, 1)
		c.log.Info("retiring", "blocks", len(c.held))
	}
	for _, k := range sortedBlocks(c.held) {
		c.release(c.held[k], "this controller is about to end")
	}
}

// Retired reports whether the process of a controller that retires may end: everything is
// another's, and each worker has had the time to report once more and be sent on. One that
// finds nobody here tries the next controller a second later.
func (c *Core) Retired(now unit.Micros) bool {
	c.at(now)
	switch {
	case c.retiring == 0:
		return false
	case len(c.held) > 0:
		c.emptied = 0
		return now-c.retiring > retireWithin
	case c.emptied == 0:
		c.emptied = c.now
	}
	return !c.reach.Any() || now-c.emptied > watch.NextReport(c.cfg.ReportEvery)
}

// Leave gives up the seat, so that nobody waits for its lease to end. The process ends.
func (c *Core) Leave(now unit.Micros) {
	c.at(now)
	if c.seats.ID() != 0 {
		c.emit(CloseLease{ID: c.seats.Pass()})
	}
}

// sendOn answers the reports that wait while a block is given up: by the block's next
// holder, once that is known.
func (c *Core) sendOn(bl *block) {
	to := c.holderOf(bl.n)
	for _, h := range bl.held {
		if to == "" {
			c.reply(h.req, http.StatusServiceUnavailable, Problem{"no authority at present"})
		} else {
			c.reply(h.req, http.StatusMisdirectedRequest, Redirect{to})
		}
	}
	bl.held = nil
}
