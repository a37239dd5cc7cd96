package config

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"shalestage.example/shalestage/internal/core"
	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/configuration"
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/units"
)

// This file defines the documents by which operators read and change teams and objectives while the service
// runs. Teams and objectives have the form of the settings file's sections of the same names.

// Paths on a controller's internal address.
const (
	ConfigPath        = "/config"
	ConfigSetPath     = "/config/set"
	ConfigHistoryPath = "/config/history"
	ConfigStatusPath  = "/config/status"
)

// MaxDocumentBytes is the maximum size of a document.
const MaxDocumentBytes = 1 << 20

// Document is a complete configuration.
type Document struct {
	By         string      `json:"by,omitempty"` // the author of a change
	Version    *uint64     `json:"version"`      // read: its version; written: the version that it was made for
	Teams      []Team      `json:"teams"`
	Objectives []Objective `json:"objectives"`
	Removed    []string    `json:"removed,omitempty"` // teams that accept no new jobs; ignored in requests
}

// TeamPatch changes some amounts of a team. Amounts that are missing stay unchanged.
type TeamPatch struct {
	Name    string   `json:"name"`
	CPUs    *float64 `json:"cpus,omitempty"`
	CPUsMax *float64 `json:"cpus_max,omitempty"`
	GPUs    *float64 `json:"gpus,omitempty"`
	GPUsMax *float64 `json:"gpus_max,omitempty"`
	Remove  bool     `json:"remove,omitempty"`
}

// Patch changes some teams.
type Patch struct {
	By      string      `json:"by,omitempty"`
	Version *uint64     `json:"version,omitempty"` // the version that it was made for; nil: any
	Teams   []TeamPatch `json:"teams"`
}

// Stored is the response to a change that was stored.
type Stored struct {
	Version uint64 `json:"version"`
}

// Refusal is the response to a change that was not stored, or possibly not.
type Refusal struct {
	Error   string  `json:"error"`
	Field   string  `json:"field,omitempty"`   // the invalid one
	Version *uint64 `json:"version,omitempty"` // on a conflict: the version that it was made for
	Current *uint64 `json:"current,omitempty"` // on a conflict: the current version
	Unknown bool    `json:"unknown,omitempty"` // in doubt: it may have been stored, or may still be; read the configuration again
}

// HistoryEntry describes a version in the history.
type HistoryEntry struct {
	Version uint64    `json:"version"`
	At      time.Time `json:"at"`
	By      string    `json:"by"`
	Summary string    `json:"what"`
}

// ControllerStatus says which version a controller has in force.
type ControllerStatus struct {
	Node         string `json:"controller"`
	Version      uint64 `json:"version"`
	KnownVersion uint64 `json:"known"` // latest version that it knows of; it starts no tasks while that is later than Version
	Unresponsive bool   `json:"silent,omitempty"`
	Confirmed    bool   `json:"done"` // no longer starts tasks under a version before the requested one
}

// Status is the progress of a version's rollout to the controllers.
type Status struct {
	Version     uint64             `json:"version"`
	Current     uint64             `json:"current"`
	Confirmed   bool               `json:"confirmed"`
	Waiting     int                `json:"waiting"` // changes that wait to be stored
	Controllers []ControllerStatus `json:"controllers"`
}

// Unconfirmed returns the names of the controllers for which the version is not confirmed yet.
func (s Status) Unconfirmed() []string {
	var out []string
	for _, c := range s.Controllers {
		if !c.Confirmed {
			out = append(out, c.Node)
		}
	}
	return out
}

// amount converts a number of CPUs or GPUs into thousandths, and checks its range.
func amount(field string, v float64) (int64, error) {
	if !(v >= 0 && v < 1e9) {
		return 0, &configuration.Invalid{Field: field, Reason: fmt.Sprintf("want 0 to 1e9, got %g", v)}
	}
	return units.MilliDown(v), nil
}

// Request returns the change that a patch asks for, or a *configuration.Invalid that names the invalid field.
func (p Patch) Request() (configuration.Request, error) {
	request := configuration.Request{By: p.By, Base: p.Version}
	for _, t := range p.Teams {
		change := configuration.TeamChange{Name: t.Name, Remove: t.Remove}
		for _, field := range []struct {
			name string
			from *float64
			to   **int64
		}{{"cpus", t.CPUs, &change.GuaranteeCPU}, {"cpus_max", t.CPUsMax, &change.LimitCPU}, {"gpus", t.GPUs, &change.GuaranteeGPU}, {"gpus_max", t.GPUsMax, &change.LimitGPU}} {
			if field.from == nil {
				continue
			}
			v, err := amount("teams["+t.Name+"]."+field.name, *field.from)
			if err != nil {
				return request, err
			}
			*field.to = &v
		}
		request.Teams = append(request.Teams, change)
	}
	return request, nil
}

// Request returns the replacement that a document asks for, or a *configuration.Invalid that names the invalid
// field.
func (d Document) Request() (configuration.Request, error) {
	request := configuration.Request{By: d.By, Base: d.Version, Replacement: &configuration.Content{}}
	for _, t := range d.Teams {
		for name, v := range map[string]float64{"cpus": t.CPUs, "cpus_max": t.CPUsMax, "gpus": t.GPUs, "gpus_max": t.GPUsMax} {
			if _, err := amount("teams["+t.Name+"]."+name, v); err != nil {
				return request, err
			}
		}
		request.Replacement.Teams = append(request.Replacement.Teams, coreTeam(t))
	}
	for i, o := range d.Objectives {
		if !(o.WithinS >= 0 && o.WithinS <= 1e9) {
			return request, &configuration.Invalid{Field: fmt.Sprintf("objectives[%d].within_s", i), Reason: fmt.Sprintf("want 0 to 1e9, got %g", o.WithinS)}
		}
		request.Replacement.Objectives = append(request.Replacement.Objectives, coreObjective(o))
	}
	return request, nil
}

func coreTeam(t Team) core.Team {
	return core.Team{Name: t.Name,
		Guarantee: binpack.Vec{units.MilliDown(t.CPUs), units.MilliDown(t.GPUs)},
		Limit:     binpack.Vec{units.MilliDown(t.CPUsMax), units.MilliDown(t.GPUsMax)}}
}

func coreObjective(o Objective) core.Objective {
	return core.Objective{Kind: demand.ObjectiveKind(o.Kind), Class: o.Class, Within: units.Seconds(o.WithinS), Times: o.Times, Share: o.Share}
}

// NewDocument returns the document for a version and its content.
func NewDocument(version uint64, content configuration.Content) Document {
	document := Document{Version: &version, Teams: []Team{}, Objectives: []Objective{}}
	for _, t := range content.Teams {
		if t.Removed != 0 {
			document.Removed = append(document.Removed, t.Name)
			continue
		}
		fromMilli := func(milli int64) float64 { return float64(milli) / 1000 }
		document.Teams = append(document.Teams, Team{Name: t.Name, CPUs: fromMilli(t.Guarantee[binpack.CPU]), CPUsMax: fromMilli(t.Limit[binpack.CPU]),
			GPUs: fromMilli(t.Guarantee[binpack.GPU]), GPUsMax: fromMilli(t.Limit[binpack.GPU])})
	}
	slices.SortFunc(document.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	for _, o := range content.Objectives {
		document.Objectives = append(document.Objectives, Objective{Kind: string(o.Kind), Class: o.Class, WithinS: o.Within.Seconds(), Share: o.Share, Times: o.Times})
	}
	return document
}

// NewStatus returns the JSON form of a status.
func NewStatus(s core.ConfigStatus) Status {
	out := Status{Version: s.Version, Current: s.Current, Confirmed: s.Confirmed, Waiting: s.Waiting}
	for _, c := range s.Controllers {
		out.Controllers = append(out.Controllers, ControllerStatus(c))
	}
	return out
}

// NewHistory returns the JSON form of a history.
func NewHistory(list core.ConfigHistory) []HistoryEntry {
	out := []HistoryEntry{}
	for _, e := range list {
		out = append(out, HistoryEntry{Version: e.Version, At: time.UnixMicro(int64(e.At)).UTC(), By: e.By, Summary: e.Summary})
	}
	return out
}
