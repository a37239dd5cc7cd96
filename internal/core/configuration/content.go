// Package configuration keeps what operators may change while the service runs: teams with
// their guarantees and limits, and the objectives of classes of jobs. A version of it is
// stored as a head record that names immutable chunks by their content, so that a version
// is adopted as a whole or not at all. The settings file is version 0.
//
// The package owns its state: the version in force on this controller, what is known of
// newer ones, the queue of requested changes, and which controllers go by which version. It
// does no input or output: records and the time go in by method calls, writes and replies
// come out by its Host. Versions in force only rise. docs/design.md, "Configuration that
// changes while the service runs", says why it is safe.
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

// Bounds of a configuration.
const (
	MaxTeams      = 1024 // removed ones that still have jobs included
	MaxObjectives = 256
	MaxNameBytes       = 64  // bytes of a team's or class's name
	maxAmount     = 1e9 // CPUs or GPUs
)

// Team holds a team's guarantee and limit, in thousandths; 0 means none.
type Team struct {
	Name      string
	Guarantee binpack.Vec
	Limit     binpack.Vec
	// Removed is the time of day at which the team was removed; 0: it was not. Its known
	// jobs go on under its last limit, and it is given no new ones.
	Removed units.Microseconds
}

// Objective is one of the users' aims for a class of jobs.
type Objective = demand.Objective

// Content is a whole configuration. Teams are sorted by name.
type Content struct {
	Teams      []Team
	Objectives []Objective
}

// Invalid says why a configuration is refused.
type Invalid struct{ Field, Reason string }

func (e *Invalid) Error() string { return e.Field + ": " + e.Reason }

func invalid(field, format string, args ...any) error {
	return &Invalid{field, fmt.Sprintf(format, args...)}
}

func byName(t Team, name string) int { return strings.Compare(t.Name, name) }

// Find returns the place of a team among the sorted teams, and whether it is there.
func (c Content) Find(name string) (int, bool) {
	return slices.BinarySearchFunc(c.Teams, name, byName)
}

// sorted returns the content with its teams by name, sharing nothing with the original.
func (c Content) sorted() Content {
	out := Content{Teams: slices.Clone(c.Teams), Objectives: slices.Clone(c.Objectives)}
	slices.SortFunc(out.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (c Content) equal(o Content) bool {
	return slices.Equal(c.Teams, o.Teams) && slices.Equal(c.Objectives, o.Objectives)
}

// Check reports the first field that cannot be used, as an *Invalid.
func (c Content) Check() error {
	if len(c.Teams) > MaxTeams {
		return invalid("teams", "want at most %d, removed ones that still have jobs included, got %d", MaxTeams, len(c.Teams))
	}
	serving := 0
	for i, t := range c.Teams {
		field := fmt.Sprintf("teams[%s]", t.Name)
		if err := checkName(field+".name", t.Name); err != nil {
			return err
		}
		if i > 0 && c.Teams[i-1].Name == t.Name {
			return invalid(field+".name", "is given twice")
		}
		if t.Removed == 0 {
			serving++
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
	if serving == 0 {
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

// TeamChange changes some amounts of a team, which is made if it is not there. Amounts that
// are nil stay as they are.
type TeamChange struct {
	Name                       string
	GuaranteeCPU, GuaranteeGPU *int64 // thousandths
	LimitCPU, LimitGPU         *int64
	Remove                     bool
}

// with returns the content after a change of one team at a time of day.
func (c Content) with(change TeamChange, wall units.Microseconds) (Content, error) {
	i, there := c.Find(change.Name)
	if change.Remove {
		if !there || c.Teams[i].Removed != 0 {
			return c, invalid("teams["+change.Name+"]", "there is no such team")
		}
		changed := Content{Teams: slices.Clone(c.Teams), Objectives: c.Objectives}
		changed.Teams[i].Guarantee, changed.Teams[i].Removed = binpack.Vec{}, max(wall, 1)
		return changed, nil
	}
	changed := Content{Teams: slices.Clone(c.Teams), Objectives: c.Objectives}
	if !there {
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

// replaced returns the content after all of it was given anew. Teams that are missing there
// are removed.
func (c Content) replaced(whole Content, wall units.Microseconds) Content {
	out := whole.sorted()
	for _, t := range c.Teams {
		if i, there := out.Find(t.Name); !there {
			if t.Removed == 0 {
				t.Guarantee, t.Removed = binpack.Vec{}, max(wall, 1)
			}
			out.Teams = slices.Insert(out.Teams, i, t)
		}
	}
	return out
}

// forgetAfter is how long a removed team is kept at least. Until then no controller can
// still go by a version in which it was there, and all that such a one accepted is known.
const forgetAfter = 3600 * units.Second

// tidied returns the content without the removed teams that have no unfinished jobs.
func (c Content) tidied(wall units.Microseconds, busy func(team string) bool) Content {
	if !slices.ContainsFunc(c.Teams, func(t Team) bool { return t.Removed != 0 }) {
		return c
	}
	out := Content{Objectives: c.Objectives}
	for _, t := range c.Teams {
		if t.Removed == 0 || wall-t.Removed < forgetAfter || busy(t.Name) {
			out.Teams = append(out.Teams, t)
		}
	}
	return out
}

// below reports whether a limit allows less than another of any resource; 0 is no limit.
func below(limit, than binpack.Vec) bool {
	for i := range limit {
		if limit[i] != 0 && (than[i] == 0 || limit[i] < than[i]) {
			return true
		}
	}
	return false
}

// fallen returns the teams with a limit that may have been higher before: where the content
// before is not the version just before (known is false), all that have a limit.
func fallen(before, now Content, known bool) []string {
	var out []string
	for _, t := range now.Teams {
		i, there := before.Find(t.Name)
		if t.Limit != (binpack.Vec{}) && (!known || there && below(t.Limit, before.Teams[i].Limit)) {
			out = append(out, t.Name)
		}
	}
	return out
}
