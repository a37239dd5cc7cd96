package jobs

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/units"
)

// Status is a job's status, as stored and as shown to users.
type Status string

// A job is Pending or Running until it becomes Done or Cancelled, which are final.
const (
	Pending   Status = "pending"
	Running   Status = "running"
	Done      Status = "done"
	Cancelled Status = "cancelled"
)

// Final reports whether a job with this status can no longer change.
func (s Status) Final() bool { return s == Done || s == Cancelled }

// Priority orders jobs; a higher value is scheduled first.
type Priority int

// Priorities, lowest first.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// MaxTasks is the maximum number of tasks of one job.
const MaxTasks = 100_000

// Spec is what a user submitted, as stored in the job's record.
type Spec struct {
	Class      string             `json:"class"`
	Team       string             `json:"team"`
	Service    bool               `json:"service,omitempty"`
	Priority   Priority           `json:"priority"`
	Tasks      int                `json:"tasks"`
	Demand     binpack.Vec        `json:"demand"`
	Types      []string           `json:"types,omitempty"`
	AnyType    bool               `json:"any_type,omitempty"`
	Zone       string             `json:"zone,omitempty"`
	OneZone    bool               `json:"one_zone,omitempty"`
	Spread     bool               `json:"spread,omitempty"`
	Spot       bool               `json:"spot,omitempty"`
	Image      string             `json:"image"`
	ImageMB    int64              `json:"image_mb"`
	Estimate   units.Microseconds `json:"estimate"`
	Checkpoint units.Microseconds `json:"checkpoint,omitempty"`
	Save       units.Microseconds `json:"save,omitempty"`
	Deadline   units.Microseconds `json:"deadline,omitempty"` // from submission; 0: none
	Awaits     []string           `json:"awaits,omitempty"`   // jobs that must be done before any task starts
}

// Valid reports whether a spec that was decoded from stored or received data can be used.
func (s *Spec) Valid() bool {
	for _, v := range s.Demand {
		if v < 0 {
			return false
		}
	}
	for _, id := range s.Awaits {
		if !ValidID(id) {
			return false
		}
	}
	return s.Tasks >= 1 && s.Tasks <= MaxTasks && s.Estimate >= 0 && s.Deadline >= 0 && s.Save >= 0 && s.Checkpoint >= 0 &&
		s.Priority >= Low && s.Priority <= Production
}

// AllowsType reports whether the job's tasks may run on a machine type.
func (s *Spec) AllowsType(name string) bool {
	return s.AnyType || slices.Contains(s.Types, name)
}

// Allows reports whether the job's tasks may run on a kind of
// machine, regardless of where its other tasks run.
func (s *Spec) Allows(typ, zone string, spot bool) bool {
	return (!spot || s.Spot) && (s.Zone == "" || s.Zone == zone) && s.AllowsType(typ)
}

// ZoneAllows reports whether one more task may be placed in a zone,
// given where the job's other tasks may be running.
func (j *Job) ZoneAllows(zone string) bool {
	s := j.Spec()
	if !s.OneZone && !s.Spread {
		return true
	}
	if s.OneZone && j.zones[zone] < len(j.places) {
		return false
	}
	return j.ZoneRoom(zone) > 0
}

// ZoneRoom returns how many more tasks may be placed in a zone that
// the job may use, if its tasks are to be spread over zones.
func (j *Job) ZoneRoom(zone string) int {
	s := j.Spec()
	if !s.Spread {
		return s.Tasks
	}
	return (s.Tasks+1)/2 - j.zones[zone]
}

var idFormat = regexp.MustCompile(`^wk-(\d{6}|[1-9]\d{6,17})$`)

// ValidID reports whether a job ID has the required format.
func ValidID(id string) bool { return idFormat.MatchString(id) }

// TaskID identifies one task of a job.
type TaskID struct {
	Job  string
	Task int
}

func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Task) }

// ParseTaskID parses a task ID of the form JOB/N.
func ParseTaskID(s string) (TaskID, error) {
	job, num, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	if !ok || err != nil || n < 0 || n >= MaxTasks || !ValidID(job) || strconv.Itoa(n) != num {
		return TaskID{}, fmt.Errorf("task id %q", s)
	}
	return TaskID{job, n}, nil
}
