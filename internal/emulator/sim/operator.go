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
	// operatorTimeout is how long an operator waits for a response, operatorRetryDelay the delay before a
	// retry, and confirmPollInterval the time between two queries whether a change is confirmed.
	operatorTimeout     = 5 * second
	operatorRetryDelay  = second
	confirmPollInterval = second / 20
)

// ConfigChange is an operator's change of the configuration and its progress.
type ConfigChange struct {
	RequestedAt units.Microseconds
	StoredAt    units.Microseconds // when the operator was told that it is stored; 0 if never
	ConfirmedAt units.Microseconds // when the operator was told that no controller uses an older version; 0 if never
	Version     uint64
	FailedTries int // tries that were refused or got no response
}

// changeTeam makes an operator's changes of a team. The last change is retried until it is stored; earlier
// ones are not retried.
func (w *World) changeTeam(fault scenario.Fault) {
	count := max(fault.Count, 1)
	for i := range count {
		last := i == count-1
		teamChange := configuration.TeamChange{Name: fault.Team, Remove: fault.Remove && last}
		cpus := units.MilliDown(fault.CPUsMax)
		if !last {
			cpus = max(1000, int64(float64(cpus)*(0.5+w.rng.Float64())))
		}
		none := int64(0)
		if !teamChange.Remove {
			teamChange.LimitCPU, teamChange.GuaranteeCPU = &cpus, &none
		}
		w.schedule(units.Seconds(fault.EveryS)*units.Microseconds(i), func() {
			change := &ConfigChange{RequestedAt: w.now}
			w.ConfigChanges = append(w.ConfigChanges, change)
			w.requestConfigChange(fault.Node, configuration.Request{By: "operator", Teams: []configuration.TeamChange{teamChange}}, change, last)
		})
	}
}

// requestConfigChange requests a change at the controllers that node selects. If it fails and again is set,
// it is retried at random controllers, but not if it was rejected as invalid.
func (w *World) requestConfigChange(node string, request configuration.Request, change *ConfigChange, again bool) {
	answered := false
	retry := func() {
		if answered {
			return
		}
		answered = true
		change.FailedTries++
		if again {
			w.schedule(operatorRetryDelay, func() { w.requestConfigChange("any", request, change, true) })
		}
	}
	w.schedule(operatorTimeout, retry) // also covers an exit of the process
	for _, n := range w.nodesOf(node) {
		n.request(func(req core.RequestID) { n.core.Configure(n.steadyClock(), req, request) }, 0, func(reply core.Reply) {
			stored, ok := reply.Body.(core.ConfigStored)
			switch {
			case answered:
			case ok && reply.Code == http.StatusOK:
				answered = true
				change.StoredAt, change.Version = w.now, stored.Version
				w.Check.Note(w.now, "the operator is told that the change is in version %d", stored.Version)
				w.pollConfirmation(change)
			case reply.Code == http.StatusUnprocessableEntity:
				answered = true // for example, the team has been removed already
				change.FailedTries++
			default:
				retry()
			}
		})
	}
}

// pollConfirmation asks random controllers whether a change is confirmed, until one says so.
func (w *World) pollConfirmation(change *ConfigChange) {
	if change.ConfirmedAt != 0 {
		return
	}
	n := w.Nodes[w.rng.IntN(len(w.Nodes))]
	n.request(func(req core.RequestID) { n.core.ConfigStatus(n.steadyClock(), req, change.Version) }, 0, func(reply core.Reply) {
		if status, ok := reply.Body.(core.ConfigStatus); ok && status.Confirmed && change.ConfirmedAt == 0 {
			change.ConfirmedAt = w.now
			w.Check.ConfigConfirmed(w.now, change.Version)
		}
	})
	w.schedule(confirmPollInterval, func() { w.pollConfirmation(change) })
}

// reportStoredConfig reports a version of the configuration that a transaction has stored to the checker.
func (w *World) reportStoredConfig(txn kv.Txn) {
	stored := false
	for _, c := range txn.Changes {
		stored = stored || c.Key == configuration.HeadKey && c.Value != nil
	}
	if !stored {
		return
	}
	records := map[string]json.RawMessage{}
	w.State.ForEach(func(it kv.Item) {
		if strings.HasPrefix(it.Key, configuration.Prefix) {
			records[it.Key] = it.Value
		}
	})
	version, content := configuration.ReadStored(func(key string) json.RawMessage { return records[key] })
	if version == 0 {
		w.Check.RecordViolation(w.now, check.Lost, "a version of the configuration is stored without all of its records")
		return
	}
	var limits check.Limits
	for _, team := range content.Teams {
		limits.Teams = append(limits.Teams, check.Team{Name: team.Name, Limit: team.Limit})
		if team.Removed != 0 {
			limits.Removed = append(limits.Removed, team.Name)
		}
	}
	w.Check.ConfigStored(w.now, version, limits)
}

// reportOrderedStarts reports the tasks that a controller has decided to start to the checker.
func (w *World) reportOrderedStarts(reply core.Reply) {
	response, ok := reply.Body.(core.HeartbeatResponse)
	if !ok {
		return
	}
	for _, c := range response.Commands {
		if c.Op == fleet.Start {
			w.Check.StartOrdered(w.now, c.ID)
		}
	}
}
