// Package core decides everything that a controller does. It is pure: events
// and the present time go in by method calls, effects come out of Drain. It
// has no clock, no goroutine and no randomness of its own.
package core

import (
	"log/slog"

	"shalestage.example/shalestage/internal/core/cancellations"
	"shalestage.example/shalestage/internal/core/chunks"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/follow"
	"shalestage.example/shalestage/internal/core/guard"
	"shalestage.example/shalestage/internal/core/lead"
	"shalestage.example/shalestage/internal/core/ledger"
	"shalestage.example/shalestage/internal/core/pack"
	"shalestage.example/shalestage/internal/core/ranking"
	"shalestage.example/shalestage/internal/core/renting"
	"shalestage.example/shalestage/internal/core/replaylog"
	"shalestage.example/shalestage/internal/core/scale"
	"shalestage.example/shalestage/internal/core/seats"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/unit"
	"shalestage.example/shalestage/internal/core/watch"
	"shalestage.example/shalestage/internal/core/watchcache"
	"shalestage.example/shalestage/internal/core/zones"
)

// Team holds a team's guarantee and limit, in thousandths; 0 means none.
type Team = configuration.Team

// Objective is one of the users' aims for a class of jobs.
type Objective = demand.Objective

// Host is a machine on the cloud's list.
type Host = renting.Listed

// TickEvery is how often the outer layers let time pass.
const TickEvery = watch.TickEvery

// Config is what the core is told at its start.
type Config struct {
	Node        string
	Size        int
	Peers       []string
	Zones       []string
	Home        string            // this controller's zone
	PeerZones   map[string]string // of the other controllers, by name
	Teams       []Team
	Objectives  []Objective
	Lease       unit.Micros // a worker's lease
	ReportEvery unit.Micros
	LeaderTTL   unit.Micros
	CancelIn    unit.Micros // cancelled work must be gone after this
	ListLag     unit.Micros
	TxnOps      int     // the least that the state service will ever take
	ValueKB     float64 // decides what the keys of finished tasks mean
	ValueMax    int     // bytes; the least that the state service will ever take
	StateRate   float64
	WriteRate   float64
	// What the rates are once the state service has refused something as too much.
	NextStateRate, NextWriteRate float64
	CloudRate                    float64
	Pack                         pack.Params
	Scale                        scale.Params
	// BlockMachines is the number of machines beyond which several blocks share the work.
	BlockMachines int
	RoundShare    float64 // share of a job's time that renting counts on for tasks one after the other
	// KeepDone is how many jobs that are over are kept in memory before the oldest are
	// packed (0: all), and PackSettle for how long every controller must have run a
	// release that can read packed ones before the first is.
	KeepDone   int
	PackSettle unit.Micros
	Log        *slog.Logger
	// LeftOut is a check that is left out; only tests set it.
	LeftOut guard.Guard
}

// ReqID names a request that waits for an answer.
type ReqID uint64

// Effect is something for the outer layers to do.
type Effect any

// Effects. Each request to an outside service is answered by the method named
// in its comment, exactly once, whatever happens.
type (
	// Reply answers a user's or a worker's request.
	Reply struct {
		Req  ReqID
		Code int
		Body any // JobAnswer, Orders, Redirect or Problem
		// RetryAfter tells a user when to come back; 0: not said.
		RetryAfter unit.Micros
	}
	// List and Watch read the state service's keys (OnList, OnChanges).
	List  = watchcache.List
	Watch = watchcache.Watch
	// Commit sends a transaction (OnCommit).
	Commit struct {
		Lane LaneID
		Txn  *store.Txn
	}
	// Abandon gives up waiting for a transaction's answer; the Commit is still answered.
	Abandon struct{ Txn *store.Txn }
	// OpenLease asks for the lease of a controller's registration (OnLease).
	OpenLease = seats.OpenLease
	// RenewLease extends it (OnRenew).
	RenewLease = seats.RenewLease
	// CloseLease ends it; no answer.
	CloseLease = seats.CloseLease
	// FetchTypes reads the price list (OnTypes).
	FetchTypes struct{}
	// RentHosts rents machines (OnRent).
	RentHosts = renting.RentHosts
	// ReturnHosts gives machines back (OnReturn).
	ReturnHosts = renting.ReturnHosts
	// ListHosts reads a page of the machine list (OnHosts).
	ListHosts = renting.ListHosts
	// CloudShare sets this node's part of the cloud's request budget; no answer.
	CloudShare struct{ Part float64 }
)

// Bodies of replies.
type (
	// JobAnswer tells a job's state. Counts are given to polls only.
	JobAnswer struct {
		ID            string
		Status        ledger.Status
		Counts        bool
		Done, Running int
	}
	// Orders answers a report.
	Orders struct {
		Token    uint64
		Commands []fleet.Command
	}
	// Redirect sends a worker to another node, if Node is known.
	Redirect struct{ Node string }
	// Problem says why a request was refused.
	Problem struct{ Text string }
)

// LaneID tells the transaction lanes apart.
type LaneID int

// Lanes: users' changes, those of the leader and holders, and the packing of old jobs
// do not wait for each other.
const (
	UserLane LaneID = iota
	LeaderLane
	PackLane // what nobody waits for
	lanes
)

// Core is one controller's whole state.
type Core struct {
	cfg    Config
	log    *slog.Logger
	now    unit.Micros // steady
	wall   unit.Micros // time of day
	out    []Effect
	teams  map[string]*Team
	config *configuration.Book // teams and objectives as they are in force
	mirror *watchcache.Mirror  // the copy of the state service's keys
	lanes  [lanes]*store.Lane

	jobs   map[string]*ledger.Job // those that are not packed
	active map[string]*ledger.Job // those that are not final
	begun  ranking.Order          // those of them that await no others
	graph  ledger.Graph           // which of them wait for which
	parts  *chunks.Shelf          // descriptions that are stored in parts
	untidy map[string]bool        // jobs that are over and of which something is to be cleaned up in the state service
	flowAt unit.Micros            // when aims next pass back along the graph
	types  map[string]*fleet.Type
	claim  lead.Claim // of the present leader; Node "" if none
	term   lead.Term
	blocks map[int]granted
	shares map[int]shared
	groups map[string]fleet.Group // stored machines, by key
	where  map[string]int         // block of each stored machine
	layout ledger.Layout          // of records of finished tasks
	load   []load                 // unfinished work of each block
	loadAt unit.Micros

	old       oldJobs
	memory    *replaylog.Memory   // what may have to be written again
	cancels   *cancellations.Book // which cancellations are known, and up to when all are
	seats     *seats.Seats
	releases  map[string]int      // of the other controllers, as last heard or read
	mixedAt   map[int]unit.Micros // by release: when another controller was last not known to run it or a later one
	leader    *leader             // nil unless this node leads
	claiming  bool
	held      map[int]*block        // blocks that this node holds
	pictures  map[int]*picture      // of blocks, as their last holders have handed them on
	follows   map[int]follow.Record // who follows the holder of each block, as stored
	sink      *follow.Sink          // what this node knows of the starts of holders that it follows
	emptied   unit.Micros           // since when nothing is held by it then
	retiring  unit.Micros           // since when this node's process is about to end on purpose; 0: it is not
	reach     watch.Reach           // whether workers reach this node
	zones     *zones.Picture
	full      bool // this process's memory is nearly full
	typesAt   unit.Micros
	cloudPart float64
	peers     peersState
}

// New returns a controller's core that has seen nothing yet.
func New(cfg Config) *Core {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	c := &Core{cfg: cfg, log: cfg.Log, teams: map[string]*Team{}, jobs: map[string]*ledger.Job{}, active: map[string]*ledger.Job{},
		types: map[string]*fleet.Type{}, blocks: map[int]granted{}, shares: map[int]shared{},
		groups: map[string]fleet.Group{}, where: map[string]int{},
		parts: chunks.New(), untidy: map[string]bool{}, releases: map[string]int{}, mixedAt: map[int]unit.Micros{}, pictures: map[int]*picture{},
		follows: map[int]follow.Record{}, sink: follow.NewSink(),
		held: map[int]*block{}, load: make([]load, cfg.Size), layout: ledger.Layout{Chunk: ledger.ChunkTasks(cfg.ValueKB)}}
	if c.cfg.ValueMax == 0 {
		c.cfg.ValueMax = int(cfg.ValueKB * 1024)
	}
	c.layout.Split = ledger.ChunkTasks(float64(c.cfg.ValueMax)/1024) < c.layout.Chunk
	for i := range cfg.Teams {
		c.teams[cfg.Teams[i].Name] = &cfg.Teams[i]
	}
	c.mirror = watchcache.New(watchcache.Config{Size: cfg.Size, Rate: cfg.StateRate, NextRate: cfg.NextStateRate, Fresh: min(freshFor, c.extension()/4), Log: cfg.Log}, copied{c})
	c.old = newOldJobs()
	c.seats = seats.New(seats.Config{Node: cfg.Node, Size: cfg.Size, Release: release, TTL: cfg.LeaderTTL, Extend: c.extension(), Short: min(c.extension(), shortFor*cfg.LeaderTTL), Log: cfg.Log, LeftOut: cfg.LeftOut}, standing{c})
	c.memory = replaylog.New(recallBytes)
	c.cancels = cancellations.New(cancellations.Config{Peers: len(cfg.Peers)})
	c.peers = newPeers(cfg.Peers)
	c.config = configuration.New(configuration.Config{Node: cfg.Node, Initial: configuration.Content{Teams: cfg.Teams, Objectives: cfg.Objectives},
		Peers: cfg.Peers, ValueMax: c.cfg.ValueMax, TxnOps: cfg.TxnOps, Bound: c.extension() + unit.Second, Log: cfg.Log}, configured{c})
	c.zones = zones.New(zones.Config{Zones: cfg.Zones, Home: cfg.Home, ReportEvery: cfg.ReportEvery, Log: cfg.Log})
	c.reach = watch.NewReach(cfg.ReportEvery, c.leaseBound())
	for i := range c.lanes {
		c.lanes[i] = &store.Lane{MaxOps: cfg.TxnOps, MaxBytes: store.TxnBytes, MaxQueue: 256}
	}
	c.lanes[LeaderLane].MaxQueue = 1 << 16 // bounded by jobs and machines
	c.lanes[PackLane].MaxQueue = 1
	c.setRates()
	return c
}

// Drain returns the effects since the last call.
func (c *Core) Drain() []Effect {
	c.pump()
	out := c.out
	c.out = nil
	return out
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

// pump sends what is due: transactions and reads of the state service.
func (c *Core) pump() {
	c.concludeCommits()
	for _, k := range sortedBlocks(c.held) {
		bl := c.held[k]
		if !c.Holds(c.now, k) {
			continue
		}
		if c.reorderDue(bl) || c.now >= bl.heldAt {
			bl.heldAt = c.now + unit.Second/20
			c.answerHeld(bl)
		}
		bl.follow.Tick(c.now, len(bl.unaccounted) == 0)
		c.lateWrites(bl)
	}
	for id, l := range c.lanes {
		if t := l.Next(c.now); t != nil {
			t.Known = c.mirror.Seen()
			c.emit(Commit{LaneID(id), t})
		}
	}
	c.mirror.Pump(c.now)
	c.pumpOld()
}

// keeps reports whether a check is made: all are, but for the one that a test leaves out.
func (c *Core) keeps(g guard.Guard) bool { return c.cfg.LeftOut != g }

// at moves time on; time never goes back.
func (c *Core) at(now unit.Micros) { c.now = max(c.now, now) }

// Tick lets time pass. wall is the time of day.
func (c *Core) Tick(now, wall unit.Micros) {
	c.at(now)
	c.reach.Tick(c.now)
	c.zones.Tick(c.now)
	c.wall = wall
	c.mirror.Tick(c.now, wall)
	c.tickPeers()
	c.seats.Tick(c.now)
	c.tickLead()
	c.config.Tick(c.now, c.wall, c.leader != nil)
	c.tickTypes()
	c.tickOld()
	for _, k := range sortedBlocks(c.held) {
		if bl := c.held[k]; bl != nil {
			c.tickBlock(bl)
		}
	}
}

// Keys of the state service.
const (
	root         = "shalestage/"
	jobPrefix    = root + "job/"
	partPrefix   = chunks.Prefix      // of a description that does not fit one value; listed after the jobs
	donePrefix   = root + "progress/" // JOB/CHUNK; listed after the jobs and their parts
	machPrefix   = root + "machine/"
	typePrefix   = root + "type/"
	seatPrefix   = seats.Prefix
	blockPrefix  = root + "block/"
	sharePrefix  = root + "share/"
	leadKeyFirst = root + "leader"
	termKey      = root + "term"
)

// Root is the prefix of every key that the service uses.
const Root = root
