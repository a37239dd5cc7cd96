package sim

import (
	"encoding/json"
	"net/http"
	"strings"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/scenario"
)

const (
	// operatorWait is how long an operator waits for an answer, operatorRetry until the next
	// try, and operatorLook between two looks whether a change is confirmed.
	operatorWait  = 5 * second
	operatorRetry = second
	operatorLook  = second / 20
)

// ConfigChange is what became of an operator's change of the configuration.
type ConfigChange struct {
	Asked     units.Microseconds
	Stored    units.Microseconds // when its operator was told; 0: never
	Confirmed units.Microseconds // when the operator was told; 0: never
	Version   uint64
	Refused   int // tries that were refused or not answered
}

// configSet does an operator's changes of a team. The last one is tried until it is stored;
// one before that is refused is left.
func (w *World) configSet(f scenario.Fault) {
	count := max(f.Count, 1)
	for i := range count {
		last := i == count-1
		change := configuration.TeamChange{Name: f.Team, Remove: f.Remove && last}
		cpus := units.MilliDown(f.CPUsMax)
		if !last {
			cpus = max(1000, int64(float64(cpus)*(0.5+w.rng.Float64())))
		}
		none := int64(0)
		if !change.Remove {
			change.LimitCPU, change.GuaranteeCPU = &cpus, &none
		}
		w.after(units.Seconds(f.EveryS)*units.Microseconds(i), func() {
			x := &ConfigChange{Asked: w.now}
			w.Changes = append(w.Changes, x)
			w.configure(f.Node, configuration.Request{By: "operator", Teams: []configuration.TeamChange{change}}, x, last)
		})
	}
}

// configure asks a controller for a change, and others again while it fails.
func (w *World) configure(node string, r configuration.Request, x *ConfigChange, again bool) {
	answered := false
	retry := func() {
		if answered {
			return
		}
		answered = true
		x.Refused++
		if again {
			w.after(operatorRetry, func() { w.configure("any", r, x, true) })
		}
	}
	w.after(operatorWait, retry) // also where the process ends meanwhile
	for _, n := range w.nodesOf(node) {
		n.ask(func(req core.RequestID) { n.core.Configure(n.local(), req, r) }, 0, func(reply core.Reply) {
			s, ok := reply.Body.(core.ConfigStored)
			switch {
			case answered:
			case ok && reply.Code == http.StatusOK:
				answered = true
				x.Stored, x.Version = w.now, s.Version
				w.Check.Note(w.now, "the operator is told that the change is in version %d", s.Version)
				w.confirm(x)
			case reply.Code == http.StatusUnprocessableEntity:
				answered = true // as to remove a team that is removed
				x.Refused++
			default:
				retry()
			}
		})
	}
}

// confirm asks one controller after another whether a change is confirmed.
func (w *World) confirm(x *ConfigChange) {
	if x.Confirmed != 0 {
		return
	}
	n := w.Nodes[w.rng.IntN(len(w.Nodes))]
	n.ask(func(req core.RequestID) { n.core.ConfigStatus(n.local(), req, x.Version) }, 0, func(reply core.Reply) {
		if s, ok := reply.Body.(core.ConfigStatus); ok && s.Confirmed && x.Confirmed == 0 {
			x.Confirmed = w.now
			w.Check.ConfigConfirmed(w.now, x.Version)
		}
	})
	w.after(operatorLook, func() { w.confirm(x) })
}

// configured tells the checker of a version that a transaction has stored.
func (w *World) configured(t kv.Txn) {
	stored := false
	for _, c := range t.Changes {
		stored = stored || c.Key == configuration.HeadKey && c.Value != nil
	}
	if !stored {
		return
	}
	records := map[string]json.RawMessage{}
	w.State.Each(func(it kv.Item) {
		if strings.HasPrefix(it.Key, configuration.Prefix) {
			records[it.Key] = it.Value
		}
	})
	version, content := configuration.ReadStored(func(key string) json.RawMessage { return records[key] })
	if version == 0 {
		w.Check.RecordViolation(w.now, check.Lost, "a version of the configuration is stored without all of its records")
		return
	}
	var l check.Limits
	for _, t := range content.Teams {
		l.Teams = append(l.Teams, check.Team{Name: t.Name, Limit: t.Limit})
		if t.Removed != 0 {
			l.Removed = append(l.Removed, t.Name)
		}
	}
	w.Check.ConfigStored(w.now, version, l)
}

// ordered tells the checker which tasks a controller has decided to start.
func (w *World) ordered(r core.Reply) {
	o, ok := r.Body.(core.HeartbeatResponse)
	if !ok {
		return
	}
	for _, c := range o.Commands {
		if c.Op == fleet.Start {
			w.Check.StartOrdered(w.now, c.ID)
		}
	}
}
