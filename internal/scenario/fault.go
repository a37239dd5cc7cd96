package scenario

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Fault is a fault that is injected at a given time or by command.
type Fault struct {
	AtS       float64  `toml:"at_s" json:"at_s,omitempty"`
	Kind      string   `toml:"kind" json:"kind"`
	ForS      float64  `toml:"for_s" json:"for_s,omitempty"`         // duration
	AtToS     float64  `toml:"at_to_s" json:"at_to_s,omitempty"`     // it begins at a random time from AtS to AtToS; 0: at AtS
	ForToS    float64  `toml:"for_to_s" json:"for_to_s,omitempty"`   // it lasts for a random time from ForS to ForToS; 0: for ForS
	Node      string   `toml:"node" json:"node,omitempty"`           // "node-1", "holder", "leader", "any" or "all"
	Count     int      `toml:"count" json:"count,omitempty"`         // number of machines, jobs, lost writes or changes
	Share     float64  `toml:"share" json:"share,omitempty"`         // share of the matching machines (instead of Count), transactions, heartbeats or jobs
	Type      string   `toml:"type" json:"type,omitempty"`           // machine type; empty: any
	Zone      string   `toml:"zone" json:"zone,omitempty"`           // zone of the machines; empty: any
	Between   []string `toml:"between" json:"between,omitempty"`     // two parties of a cut; see PartyState and the others
	Direction string   `toml:"direction" json:"direction,omitempty"` // "both" (default), "there" or "back"
	Mode      string   `toml:"mode" json:"mode,omitempty"`           // mode of a cut: "hold" (default), "drop", "reset", "delay" or "trickle"
	EveryS    float64  `toml:"every_s" json:"every_s,omitempty"`     // interval of a series
	Times     float64  `toml:"times" json:"times,omitempty"`         // factor
	Class     string   `toml:"class" json:"class,omitempty"`         // class of jobs; empty: any
	PerHour   float64  `toml:"per_hour" json:"per_hour,omitempty"`   // mean number of reclaims per spot machine and hour; can exceed 1
	NoticeS   float64  `toml:"notice_s" json:"notice_s,omitempty"`   // notice before machines of a wave are reclaimed
	DelayMS   float64  `toml:"delay_ms" json:"delay_ms,omitempty"`   // delay of slow responses, of delayed segments, of each byte of a trickling link
	RPS       float64  `toml:"rps" json:"rps,omitempty"`             // lowered limits of the state service
	WriteRPS  float64  `toml:"write_rps" json:"write_rps,omitempty"`
	ValueKB   float64  `toml:"value_kb" json:"value_kb,omitempty"`
	TxnOps    int      `toml:"txn_ops" json:"txn_ops,omitempty"`
	HangS     float64  `toml:"hang_s" json:"hang_s,omitempty"`     // how long machines of cancelled jobs hang
	Prefix    string   `toml:"prefix" json:"prefix,omitempty"`     // key prefix of the lost writes
	ForNext   bool     `toml:"for_next" json:"for_next,omitempty"` // copies of heartbeats are kept for the next leader or shard owner
	Team      string   `toml:"team" json:"team,omitempty"`         // team whose limit is changed
	CPUsMax   float64  `toml:"cpus_max" json:"cpus_max,omitempty"` // new limit; 0: none
	Remove    bool     `toml:"remove" json:"remove,omitempty"`     // the team accepts no new jobs from then on
}

// KindHelp describes a kind of fault for users. Needs lists its required fields.
type KindHelp struct {
	Kind  string
	Needs []string
	About string
}

// Kinds of faults.
const (
	ControllerCrash  = "controller_crash"
	ControllerRetire = "controller_retire"
	ControllerRoll   = "controller_roll"
	ControllerFreeze = "controller_freeze"
	ControllerSlow   = "controller_slow"
	ClockJump        = "clock_jump"
	Cut              = "cut"
	StateOutage      = "state_outage"
	StateRefuse      = "state_refuse"
	StateSlow        = "state_slow"
	StateLimits      = "state_limits"
	StateLate        = "state_late"
	StateUnanswered  = "state_unanswered"
	StateLose        = "state_lose"
	CloudDown        = "cloud_down"
	NoCapacity       = "no_capacity"
	MachineStop      = "machine_stop"
	MachineHang      = "machine_hang"
	MachineSick      = "machine_sick"
	MachineSlow      = "machine_slow"
	SpotWave         = "spot_wave"
	SpotRate         = "spot_rate"
	MachineDeaf      = "machine_deaf"
	MachineMute      = "machine_mute"
	LateReports      = "late_reports"
	RepeatedRequests = "repeated_requests"
	QuickBoots       = "quick_boots"
	ZoneApart        = "zone_apart"
	ZoneLost         = "zone_lost"
	Surge            = "surge"
	PollStorm        = "poll_storm"
	CancelNow        = "cancel_now"
	CancelAtEnd      = "cancel_at_end"
	OddRequests      = "odd_requests"
	CloseLooks       = "close_looks"
	ConfigSet        = "config_set"
)

// Kinds lists all kinds of faults.
var Kinds = []KindHelp{
	{ControllerCrash, nil, "a controller's process ends and restarts, after for_s if given"},
	{ControllerRetire, nil, "a controller shuts down gracefully: it hands over its shards, ends and restarts"},
	{ControllerRoll, []string{"every_s"}, "all controllers restart one after the other"},
	{ControllerFreeze, []string{"for_s"}, "a controller's process is paused while its clocks run on"},
	{ControllerSlow, []string{"for_s", "times"}, "a controller's processor is several times slower"},
	{ClockJump, nil, "a controller's wall clock jumps within its error bound"},
	{Cut, []string{"for_s", "between"}, "two parties cannot reach each other, in one direction or both; traffic is held and delivered later, dropped, reset, delayed, or trickles one byte at a time"},
	{StateOutage, []string{"for_s"}, "the state service returns 503 to all controllers"},
	{StateRefuse, []string{"for_s"}, "the state service returns 503 to one controller"},
	{StateSlow, []string{"for_s", "delay_ms"}, "the state service responds slowly"},
	{StateLimits, nil, "the state service lowers its limits permanently"},
	{StateLate, []string{"for_s"}, "transactions, or a share of them, are applied late, after newer ones, and get no response"},
	{StateUnanswered, []string{"for_s"}, "transactions, or a share of them, are applied at once, and their responses are lost"},
	{StateLose, nil, "the state service loses the last acknowledged writes"},
	{CloudDown, []string{"for_s"}, "the cloud's API is unavailable"},
	{NoCapacity, []string{"for_s"}, "the cloud has no machines of a type or in a zone"},
	{MachineStop, nil, "machines stop, and all their tasks are lost"},
	{MachineHang, []string{"for_s"}, "machines hang and resume"},
	{MachineSick, nil, "every task that starts on the machines fails"},
	{MachineSlow, []string{"times"}, "tasks run slower on the machines"},
	{MachineDeaf, []string{"for_s"}, "machines' heartbeats arrive, but neither responses nor commands reach the machines"},
	{MachineMute, []string{"for_s"}, "machines cannot reach any controller; direct commands reach the machines"},
	{LateReports, []string{"for_s", "share"}, "a copy of a share of the machines' heartbeats arrives again, from 2 s to well over a lease later; with for_next it arrives at every controller as a new leader begins"},
	{RepeatedRequests, []string{"for_s", "share"}, "a share of the requests that controllers and users send is carried out again, within moments or up to twice cancel_s later: those to machines, to the state service and to the cloud, those between controllers, and those of users"},
	{QuickBoots, []string{"for_s"}, "machines that are created meanwhile boot within two seconds"},
	{SpotWave, []string{"share"}, "many spot machines are reclaimed at the same time"},
	{SpotRate, []string{"per_hour", "for_s"}, "spot machines are reclaimed at a given rate"},
	{ZoneApart, []string{"zone", "for_s"}, "a zone's machines and controllers cannot reach those of the other zones"},
	{ZoneLost, []string{"zone", "for_s"}, "a zone cannot reach the other zones, the services or the users; the direction there is outbound from the zone"},
	{Surge, []string{"times", "for_s"}, "jobs of a class are submitted several times as often"},
	{ConfigSet, []string{"team"}, "an operator changes a team's CPU limit or removes the team; with count, that many changes are made, every_s apart, and the last is the given one"},
	{PollStorm, []string{"times", "for_s"}, "users poll their jobs many times as often"},
	{CancelNow, nil, "users cancel count running jobs with a long remaining run time within a fifth of a second; with hang_s, up to eight of their machines hang that long"},
	{CancelAtEnd, []string{"share", "for_s"}, "a share of the ending jobs is cancelled at the moment they end"},
	{OddRequests, []string{"for_s"}, "users repeat submissions of unfinished jobs, cancel finished jobs, and submit jobs that fit no machine or lack a field"},
	{CloseLooks, []string{"for_s"}, "users poll all controllers repeatedly within milliseconds, and repeat the submission, right after a job was accepted, ended or confirmed as cancelled; some cancel it at once"},
}

// Parties of a cut, in addition to controllers by name, "holder" (a shard owner), "leader" and "any".
const (
	PartyState   = "state"
	PartyCloud   = "cloud"
	PartyWorkers = "workers"
	PartyPeers   = "peers" // all other controllers
	PartyUsers   = "users"
)

func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.Kind)
	appendField := func(name string, v any, set bool) {
		if set {
			fmt.Fprintf(&b, " %s=%v", name, v)
		}
	}
	appendField("node", f.Node, f.Node != "")
	appendField("between", strings.Join(f.Between, ","), len(f.Between) > 0)
	appendField("direction", f.Direction, f.Direction != "")
	appendField("mode", f.Mode, f.Mode != "")
	appendField("for_s", f.ForS, f.ForS != 0)
	appendField("count", f.Count, f.Count != 0)
	appendField("share", f.Share, f.Share != 0)
	appendField("type", f.Type, f.Type != "")
	appendField("zone", f.Zone, f.Zone != "")
	appendField("times", f.Times, f.Times != 0)
	appendField("every_s", f.EveryS, f.EveryS != 0)
	appendField("delay_ms", f.DelayMS, f.DelayMS != 0)
	appendField("hang_s", f.HangS, f.HangS != 0)
	appendField("for_next", f.ForNext, f.ForNext)
	appendField("team", f.Team, f.Team != "")
	appendField("cpus_max", f.CPUsMax, f.Kind == ConfigSet && !f.Remove)
	appendField("remove", f.Remove, f.Remove)
	return b.String()
}

// Check validates a fault for a deployment of n controllers. It returns the name of the wrong field and an
// error that says what is wrong with it.
func (f Fault) Check(n int) (field string, err error) {
	i := slices.IndexFunc(Kinds, func(k KindHelp) bool { return k.Kind == f.Kind })
	if i < 0 {
		return "kind", fmt.Errorf("there is no kind %q, but %v", f.Kind, kindNames())
	}
	if field, err := f.unexpectedField(); err != nil {
		return field, err
	}
	set := map[string]bool{"for_s": f.ForS > 0, "every_s": f.EveryS > 0, "times": f.Times > 0, "between": len(f.Between) > 0,
		"share": f.Share > 0, "per_hour": f.PerHour > 0, "zone": f.Zone != "", "team": f.Team != "", "delay_ms": f.DelayMS > 0}
	for _, need := range Kinds[i].Needs {
		if !set[need] {
			return need, fmt.Errorf("missing, %s needs it", f.Kind)
		}
	}
	for _, v := range []struct {
		field     string
		v, lo, hi float64
	}{{"at_s", f.AtS, 0, 1e7}, {"for_s", f.ForS, 0, 1e6}, {"at_to_s", f.AtToS, 0, 1e7}, {"for_to_s", f.ForToS, 0, 1e6}, {"count", float64(f.Count), 0, 1e6}, {"share", f.Share, 0, 1}, {"every_s", f.EveryS, 0, 1e6},
		{"times", f.Times, 0, 1e4}, {"per_hour", f.PerHour, 0, 1e6}, {"notice_s", f.NoticeS, 0, 3600}, {"delay_ms", f.DelayMS, 0, 60_000},
		{"cpus_max", f.CPUsMax, 0, 1e6}, {"rps", f.RPS, 0, 1e6}, {"write_rps", f.WriteRPS, 0, 1e6}, {"value_kb", f.ValueKB, 0, 1e6}, {"txn_ops", float64(f.TxnOps), 0, 1e6},
		{"hang_s", f.HangS, 0, 3600}} {
		if !(v.v >= v.lo && v.v <= v.hi) {
			return v.field, fmt.Errorf("want %g to %g, got %g", v.lo, v.hi, v.v)
		}
	}
	if f.AtToS != 0 && f.AtToS < f.AtS {
		return "at_to_s", fmt.Errorf("want at least at_s, %g, got %g", f.AtS, f.AtToS)
	}
	if f.ForToS != 0 && f.ForToS < f.ForS {
		return "for_to_s", fmt.Errorf("want at least for_s, %g, got %g", f.ForS, f.ForToS)
	}
	if !isNodeSelector(f.Node, n) && f.Node != "" && f.Node != "all" {
		return "node", fmt.Errorf("want node-0 to node-%d, holder, leader, any or all, got %q", n-1, f.Node)
	}
	if !slices.Contains([]string{"", "both", "there", "back"}, f.Direction) {
		return "direction", fmt.Errorf("want both, there or back, got %q", f.Direction)
	}
	if !slices.Contains([]string{"", "hold", "drop", "reset", "delay", "trickle"}, f.Mode) {
		return "mode", fmt.Errorf("want hold, drop, reset, delay or trickle, got %q", f.Mode)
	}
	if (f.Mode == "delay" || f.Mode == "trickle") && f.DelayMS == 0 {
		return "delay_ms", fmt.Errorf("missing, the mode %s needs it", f.Mode)
	}
	if f.Kind == Cut {
		if len(f.Between) != 2 || !isNodeSelector(f.Between[0], n) {
			return "between", fmt.Errorf("want a controller and another party, got %v", f.Between)
		}
		if b := f.Between[1]; !isNodeSelector(b, n) && !slices.Contains([]string{PartyState, PartyCloud, PartyWorkers, PartyPeers, PartyUsers}, b) {
			return "between", fmt.Errorf("there is no party %q", b)
		}
	}
	return "", nil
}

// kindNames returns the names of all kinds of faults.
func kindNames() []string {
	var out []string
	for _, k := range Kinds {
		out = append(out, k.Kind)
	}
	return out
}

// machineFields are the fields that select the machines of a fault.
var machineFields = []string{"count", "share", "type", "zone"}

// allowedFields lists the fields that each kind accepts in addition to commonFields.
var allowedFields = map[string][]string{
	ControllerCrash:  {"node", "for_s"},
	ControllerRetire: {"node"},
	ControllerRoll:   {"every_s"},
	ControllerFreeze: {"node", "for_s"},
	ControllerSlow:   {"node", "for_s", "times"},
	ClockJump:        {"node"},
	Cut:              {"for_s", "between", "direction", "mode", "delay_ms"},
	StateOutage:      {"for_s"},
	StateRefuse:      {"node", "for_s"},
	StateSlow:        {"for_s", "delay_ms"},
	StateLimits:      {"rps", "write_rps", "value_kb", "txn_ops"},
	StateLate:        {"for_s", "share"},
	StateUnanswered:  {"for_s", "share"},
	StateLose:        {"count", "prefix"},
	CloudDown:        {"for_s"},
	NoCapacity:       {"for_s", "type", "zone"},
	MachineStop:      machineFields,
	MachineHang:      slices.Concat(machineFields, []string{"for_s"}),
	MachineSick:      machineFields,
	MachineSlow:      slices.Concat(machineFields, []string{"times"}),
	MachineDeaf:      slices.Concat(machineFields, []string{"for_s"}),
	MachineMute:      slices.Concat(machineFields, []string{"for_s"}),
	LateReports:      {"for_s", "share", "for_next"},
	RepeatedRequests: {"for_s", "share"},
	QuickBoots:       {"for_s"},
	SpotWave:         slices.Concat(machineFields, []string{"notice_s"}),
	SpotRate:         {"for_s", "per_hour"},
	ZoneApart:        {"for_s", "zone", "direction", "mode", "delay_ms"},
	ZoneLost:         {"for_s", "zone", "direction", "mode", "delay_ms"},
	Surge:            {"for_s", "times", "class"},
	PollStorm:        {"for_s", "times"},
	CancelNow:        {"count", "hang_s"},
	CancelAtEnd:      {"for_s", "share"},
	OddRequests:      {"for_s"},
	CloseLooks:       {"for_s"},
	ConfigSet:        {"team", "cpus_max", "remove", "count", "every_s"},
}

// commonFields are the fields that every kind accepts. Kinds that accept for_s also accept for_to_s.
var commonFields = []string{"kind", "at_s", "at_to_s"}

// unexpectedField returns a field that is set although the fault's kind does not accept it.
func (f Fault) unexpectedField() (field string, err error) {
	allowed := slices.Concat(allowedFields[f.Kind], commonFields)
	if slices.Contains(allowed, "for_s") {
		allowed = append(allowed, "for_to_s")
	}
	v := reflect.ValueOf(f)
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("toml")
		if !v.Field(i).IsZero() && !slices.Contains(allowed, name) {
			slices.Sort(allowed)
			return name, fmt.Errorf("%s does not take it, but %v", f.Kind, allowed)
		}
	}
	return "", nil
}

func isNodeSelector(name string, n int) bool {
	if slices.Contains([]string{"holder", "leader", "any"}, name) {
		return true
	}
	for i := range n {
		if name == NodeName(i) {
			return true
		}
	}
	return false
}

// ZoneParty returns the name of the party that stands for the machines of a zone.
func ZoneParty(zone string) string { return "zone " + zone }

// PartitionedPairs returns the pairs of parties that cannot reach each other when a zone is cut off; the party
// inside the zone comes first. The pairs are controllers with controllers and controllers with machines. With
// services, the zone's controllers are also cut off from the state service, the cloud and the users.
func (s *Scenario) PartitionedPairs(zone string, services bool) [][2]string {
	var out [][2]string
	zones := s.Controllers.Zones
	zoneOf := func(i int) string { return zones[i%len(zones)] }
	for i, n := range s.Nodes() {
		inside := zoneOf(i) == zone
		for _, z := range zones {
			switch {
			case inside && z != zone:
				out = append(out, [2]string{n, ZoneParty(z)})
			case !inside && z == zone:
				out = append(out, [2]string{ZoneParty(z), n})
			}
		}
		for k := range s.Nodes() {
			if inside && zoneOf(k) != zone {
				out = append(out, [2]string{n, NodeName(k)})
			}
		}
		if inside && services {
			for _, p := range []string{PartyState, PartyCloud, PartyUsers} {
				out = append(out, [2]string{n, p})
			}
		}
	}
	return out
}

// LostWritePrefix returns the prefix of the keys whose writes are lost. The default is the prefix of job
// records.
func (f Fault) LostWritePrefix() string { return cmp.Or(f.Prefix, "shalestage/job/") }

// NodeName returns the name of controller i.
func NodeName(i int) string { return fmt.Sprintf("node-%d", i) }

func (c *checker) checkFaults(s *Scenario) {
	for i, f := range s.Faults {
		if field, err := f.Check(s.Controllers.Count); err != nil {
			c.fail(fmt.Sprintf("fault[%d].%s", i, field), "%v", err)
		}
		if f.Zone != "" && !slices.Contains(s.Controllers.Zones, f.Zone) {
			c.fail(fmt.Sprintf("fault[%d].zone", i), "%q is none of controllers.zones", f.Zone)
		}
		if f.Team != "" && !slices.ContainsFunc(s.Teams, func(t Team) bool { return t.Name == f.Team }) {
			c.fail(fmt.Sprintf("fault[%d].team", i), "%q is none of teams", f.Team)
		}
	}
}
