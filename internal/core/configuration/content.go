// Package configuration manages the settings that operators may change while the service runs: teams with
// their guarantees and limits, and the objectives of classes of jobs. A version is stored as a head record
// that lists immutable chunks, named by a hash of their content. A controller therefore adopts a version as
// a whole or not at all. The settings file is version 0.
//
// The package owns the version in force on this controller, the newer ones that it knows to exist, the queue
// of requested changes, and which version each controller has in force. It does no input or output: records
// and the time come in by method calls, writes and responses go out through its Host. The version in force
// never decreases. docs/design.md, "Configuration that changes while the service runs", explains why
// this is safe.
package configuration

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/demand"
	"shalestage.example/shalestage/internal/core/units"
)

// Limits of a configuration.
const (
	MaxTeams      = 1024 // including removed teams that still have jobs
	MaxObjectives = 256
	MaxNameBytes  = 64  // of a team's or class's name
	maxAmount     = 1e9 // CPUs or GPUs
)

// Team holds a team's guarantee and limit in thousandths of a CPU or GPU; 0 means none.
type Team struct {
	Name      string
	Guarantee binpack.Vec
	Limit     binpack.Vec
	// Removed is the time of day at which the team was removed, 0 if it was not. Its known jobs
	// continue under its last limit; new ones are not accepted.
	Removed units.Microseconds
}

// Objective is a service-level objective of a class of jobs.
type Objective = demand.Objective

// Content is a complete configuration. Teams are sorted by name.
type Content struct {
	Teams      []Team
	Objectives []Objective
}

// Invalid is the error of a request or configuration that is refused because of one field.
type Invalid struct{ Field, Reason string }

func (e *Invalid) Error() string { return e.Field + ": " + e.Reason }

func invalid(field, format string, args ...any) error {
	return &Invalid{field, fmt.Sprintf(format, args...)}
}

func compareName(t Team, name string) int { return strings.Compare(t.Name, name) }

// Find returns the index of a team, or that at which it would be inserted, and whether it exists.
func (c Content) Find(name string) (int, bool) {
	return slices.BinarySearchFunc(c.Teams, name, compareName)
}

// sorted returns a copy of the content with its teams sorted by name.
func (c Content) sorted() Content {
	out := Content{Teams: slices.Clone(c.Teams), Objectives: slices.Clone(c.Objectives)}
	slices.SortFunc(out.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (c Content) equal(o Content) bool {
	return slices.Equal(c.Teams, o.Teams) && slices.Equal(c.Objectives, o.Objectives)
}

// Check returns an *Invalid for the first field that is not valid.
func (c Content) Check() error {
	if len(c.Teams) > MaxTeams {
		return invalid("teams", "want at most %d, removed ones that still have jobs included, got %d", MaxTeams, len(c.Teams))
	}
	remaining := 0
	for i, t := range c.Teams {
		field := fmt.Sprintf("teams[%s]", t.Name)
		if err := checkName(field+".name", t.Name); err != nil {
			return err
		}
		if i > 0 && c.Teams[i-1].Name == t.Name {
			return invalid(field+".name", "is given twice")
		}
		if t.Removed == 0 {
			remaining++
		}
		for _, r := range []struct {
			name string
			of   int
		}{{"cpus", binpack.CPU}, {"gpus", binpack.GPU}} {
			if err := checkAmounts(field, r.name, t.Guarantee[r.of], t.Limit[r.of]); err != nil {
				return err
			}
		}
	}
	if remaining == 0 {
		return invalid("teams", "at least one is needed")
	}
	return checkObjectives(c.Objectives)
}

func checkAmounts(field, name string, guarantee, limit int64) error {
	for _, a := range []struct {
		name string
		v    int64
	}{{name, guarantee}, {name + "_max", limit}} {
		if a.v < 0 || a.v >= maxAmount*1000 {
			return invalid(field+"."+a.name, "want 0 to %g, got %g", float64(maxAmount), float64(a.v)/1000)
		}
	}
	if limit > 0 && guarantee > limit {
		return invalid(field+"."+name, "the guarantee, %g, is above the limit, %g", float64(guarantee)/1000, float64(limit)/1000)
	}
	return nil
}

func checkName(field, name string) error {
	switch {
	case name == "":
		return invalid(field, "missing")
	case len(name) > MaxNameBytes:
		return invalid(field, "want at most %d bytes, got %d", MaxNameBytes, len(name))
	case !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl):
		return invalid(field, "has characters that cannot be used")
	}
	return nil
}

func checkObjectives(list []Objective) error {
	if len(list) > MaxObjectives {
		return invalid("objectives", "want at most %d, got %d", MaxObjectives, len(list))
	}
	for i, objective := range list {
		field := fmt.Sprintf("objectives[%d]", i)
		if kinds := demand.ObjectiveKinds(); !slices.Contains(kinds, objective.Kind) {
			return invalid(field+".kind", "want one of %v, got %q", kinds, objective.Kind)
		}
		if len(objective.Class) > MaxNameBytes || !utf8.ValidString(objective.Class) {
			return invalid(field+".class", "cannot be used")
		}
		if objective.Within < 0 || objective.Within > units.Seconds(1e9) {
			return invalid(field+".within_s", "want 0 to 1e9, got %g", objective.Within.Seconds())
		}
		if !(objective.Times >= 0 && objective.Times <= 1e6) {
			return invalid(field+".times", "want 0 to 1e6, got %g", objective.Times)
		}
		if math.IsNaN(objective.Share) || objective.Share < 0 || objective.Share > 1 {
			return invalid(field+".share", "want 0 to 1, got %g", objective.Share)
		}
	}
	return nil
}

// TeamChange changes some amounts of a team, which is created if it does not exist. Amounts that are nil
// stay unchanged.
type TeamChange struct {
	Name                       string
	GuaranteeCPU, GuaranteeGPU *int64 // thousandths
	LimitCPU, LimitGPU         *int64
	Remove                     bool
}

// withTeamChange returns the content after a change of one team. wall is the time of day, which becomes the
// time of a removal.
func (c Content) withTeamChange(change TeamChange, wall units.Microseconds) (Content, error) {
	i, exists := c.Find(change.Name)
	if change.Remove {
		if !exists || c.Teams[i].Removed != 0 {
			return c, invalid("teams["+change.Name+"]", "there is no such team")
		}
		changed := Content{Teams: slices.Clone(c.Teams), Objectives: c.Objectives}
		changed.Teams[i].Guarantee, changed.Teams[i].Removed = binpack.Vec{}, max(wall, 1)
		return changed, nil
	}
	changed := Content{Teams: slices.Clone(c.Teams), Objectives: c.Objectives}
	if !exists {
		changed.Teams = slices.Insert(changed.Teams, i, Team{Name: change.Name})
	}
	t := &changed.Teams[i]
	t.Removed = 0
	for _, a := range []struct {
		to   *int64
		from *int64
	}{{&t.Guarantee[binpack.CPU], change.GuaranteeCPU}, {&t.Guarantee[binpack.GPU], change.GuaranteeGPU}, {&t.Limit[binpack.CPU], change.LimitCPU}, {&t.Limit[binpack.GPU], change.LimitGPU}} {
		if a.from != nil {
			*a.to = *a.from
		}
	}
	return changed, nil
}

// replacedBy returns the new content after a replacement of the whole. Teams that are missing from the
// replacement are kept as removed ones.
func (c Content) replacedBy(whole Content, wall units.Microseconds) Content {
	out := whole.sorted()
	for _, t := range c.Teams {
		if i, exists := out.Find(t.Name); !exists {
			if t.Removed == 0 {
				t.Guarantee, t.Removed = binpack.Vec{}, max(wall, 1)
			}
			out.Teams = slices.Insert(out.Teams, i, t)
		}
	}
	return out
}

// removedRetention is the minimum time for which a removed team is kept. Once it has passed, no controller can
// still have a version with the team in force, and all jobs accepted by one that did are known.
const removedRetention = 3600 * units.Second

// pruned returns the content without the teams that were removed more than removedRetention ago and that
// have no unfinished jobs.
func (c Content) pruned(wall units.Microseconds, hasUnfinishedJobs func(team string) bool) Content {
	if !slices.ContainsFunc(c.Teams, func(t Team) bool { return t.Removed != 0 }) {
		return c
	}
	out := Content{Objectives: c.Objectives}
	for _, t := range c.Teams {
		if t.Removed == 0 || wall-t.Removed < removedRetention || hasUnfinishedJobs(t.Name) {
			out.Teams = append(out.Teams, t)
		}
	}
	return out
}

// lowerThan reports whether a limit is lower than another one in any resource; 0 means no limit.
func lowerThan(limit, other binpack.Vec) bool {
	for i := range limit {
		if limit[i] != 0 && (other[i] == 0 || limit[i] < other[i]) {
			return true
		}
	}
	return false
}

// reducedTeams returns the teams whose limit is, or may be, lower than in the preceding version. If before is
// not the content of that version (consecutive is false), these are all teams that have a limit.
func reducedTeams(before, now Content, consecutive bool) []string {
	var out []string
	for _, t := range now.Teams {
		i, exists := before.Find(t.Name)
		if t.Limit != (binpack.Vec{}) && (!consecutive || exists && lowerThan(t.Limit, before.Teams[i].Limit)) {
			out = append(out, t.Name)
		}
	}
	return out
}
