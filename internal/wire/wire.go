// Package wire holds the JSON bodies of every outside interface, and is the
// only place that knows the protocol's own names for things.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// Paths of the interfaces.
const (
	JobsPath   = "/work"
	ReadyPath  = "/ready"
	ReportPath = "/hello"
	TypesPath  = "/machine_types"
	// CommandsPath is the worker's own.
	CommandsPath = "/commands"
	HostsPath    = "/hosts"
	ReturnPath   = "/hosts/return"
	KeysPath     = "/keys"
	CommitPath   = "/commit"
	HoldsPath    = "/holds"
	WatchPath    = "/watch"
)

// MaxBody bounds a request's body.
const MaxBody = 64 << 10

// maxAmount bounds amounts and durations, far above any that can occur, so
// that sums over a job's tasks cannot overflow.
const maxAmount = 1e7

type submission struct {
	ID         *string   `json:"name_id"`
	Class      *string   `json:"jobline"`
	Team       *string   `json:"crew"`
	Shape      *string   `json:"shape"`
	Urgency    *string   `json:"urgency"`
	Tasks      *int64    `json:"cues"`
	Cores      *float64  `json:"cores"`
	Cards      *float64  `json:"cards"`
	MemoryGB   *float64  `json:"memory_gb"`
	Image      *string   `json:"reel"`
	ImageGB    *float64  `json:"image_gb"`
	Types      *[]string `json:"rigs"`
	Zone       *string   `json:"hall"`
	OneZone    *bool     `json:"same_place"`
	Spread     *bool     `json:"apart"`
	Spot       *bool     `json:"standby"`
	Estimate   *float64  `json:"runtime_s"`
	Checkpoint *float64  `json:"bookmark_s"`
	Save       *float64  `json:"stow_s"`
	Deadline   *float64  `json:"curtain_s"`
	Awaits     []*string `json:"awaits"`
}

var priorities = map[string]jobs.Priority{
	"prod": jobs.Production, "urgent": jobs.High, "standard": jobs.Normal, "best_effort": jobs.Low,
}

// SubmissionID returns the job id of a submission whose other fields may be
// anything, or "" when it has no usable one.
func SubmissionID(body []byte) string {
	var v struct {
		ID any `json:"name_id"`
	}
	if json.Unmarshal(body, &v) != nil {
		return ""
	}
	id, _ := v.ID.(string)
	if !jobs.ValidID(id) {
		return ""
	}
	return id
}

// isObject reports whether a body is one JSON object.
func isObject(body []byte) bool {
	t := bytes.TrimLeft(body, " \t\r\n")
	return len(t) > 0 && t[0] == '{'
}

func amount(name string, v *float64) (float64, error) {
	if v == nil {
		return 0, fmt.Errorf("%s: missing", name)
	}
	if math.IsNaN(*v) || *v < 0 || *v > maxAmount {
		return 0, fmt.Errorf("%s: out of range", name)
	}
	return *v, nil
}

func text(name string, v *string) error {
	if v == nil || *v == "" || len(*v) > 200 {
		return fmt.Errorf("%s: missing, empty or too long", name)
	}
	return nil
}

// DecodeSubmission reads and checks a submission.
func DecodeSubmission(body []byte) (string, *jobs.Spec, error) {
	var s submission
	if !isObject(body) {
		return "", nil, errors.New("not an object")
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return "", nil, err
	}
	if s.ID == nil || !jobs.ValidID(*s.ID) {
		return "", nil, errors.New("name_id: missing or wrongly formed")
	}
	spec := &jobs.Spec{}
	for _, read := range []func(*jobs.Spec) error{s.readNames, s.readKind, s.readAmounts, s.readDeadline, s.readPlaces} {
		if err := read(spec); err != nil {
			return "", nil, err
		}
	}
	if b, _ := json.Marshal(spec); len(b) > maxDescription {
		return "", nil, errors.New("description too long")
	}
	if err := s.readAwaits(spec); err != nil {
		return "", nil, err
	}
	return *s.ID, spec, nil
}

const (
	// maxDescription bounds a description without the jobs that it awaits, in bytes as stored.
	maxDescription = 6 << 10
	// maxTypes bounds the machine types that a job may name.
	maxTypes = 64
)

// readNames reads the class, the team and the image.
func (s *submission) readNames(spec *jobs.Spec) error {
	for _, f := range []struct {
		name string
		from *string
		to   *string
	}{{"jobline", s.Class, &spec.Class}, {"crew", s.Team, &spec.Team}, {"reel", s.Image, &spec.Image}} {
		if err := text(f.name, f.from); err != nil {
			return err
		}
		*f.to = *f.from
	}
	return nil
}

// readKind reads whether it is a service, its priority and how many tasks it has.
func (s *submission) readKind(spec *jobs.Spec) error {
	switch {
	case s.Shape == nil:
		return errors.New("shape: missing")
	case *s.Shape == "daemon":
		spec.Service = true
	case *s.Shape != "sweep":
		return errors.New("shape: unknown")
	}
	if s.Urgency == nil {
		return errors.New("urgency: missing")
	}
	p, ok := priorities[*s.Urgency]
	if !ok {
		return errors.New("urgency: unknown")
	}
	spec.Priority = p
	if s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > jobs.MaxTasks {
		return errors.New("cues: missing or out of range")
	}
	spec.Tasks = int(*s.Tasks)
	return nil
}

// readAmounts reads what a task takes, and its times.
func (s *submission) readAmounts(spec *jobs.Spec) error {
	for _, f := range []struct {
		name string
		from *float64
		to   func(float64)
	}{
		{"cores", s.Cores, func(v float64) { spec.Demand[binpack.CPU] = units.Milli(v) }},
		{"cards", s.Cards, func(v float64) { spec.Demand[binpack.GPU] = units.Milli(v) }},
		{"memory_gb", s.MemoryGB, func(v float64) { spec.Demand[binpack.Memory] = units.Milli(v) }},
		{"image_gb", s.ImageGB, func(v float64) { spec.ImageMB = units.Milli(v) }},
		{"runtime_s", s.Estimate, func(v float64) { spec.Estimate = units.Seconds(v) }},
		{"bookmark_s", s.Checkpoint, func(v float64) { spec.Checkpoint = units.Seconds(v) }},
		{"stow_s", s.Save, func(v float64) { spec.Save = units.Seconds(v) }},
	} {
		v, err := amount(f.name, f.from)
		if err != nil {
			return err
		}
		f.to(v)
	}
	return nil
}

// readDeadline reads the deadline, if there is one.
func (s *submission) readDeadline(spec *jobs.Spec) error {
	if s.Deadline == nil {
		return nil
	}
	v, err := amount("curtain_s", s.Deadline)
	if err != nil {
		return err
	}
	spec.Deadline = max(units.Seconds(v), 1)
	return nil
}

// readPlaces reads on which machines and in which zones tasks may run.
func (s *submission) readPlaces(spec *jobs.Spec) error {
	if s.OneZone == nil || s.Spread == nil || s.Spot == nil {
		return errors.New("same_place, apart or standby: missing")
	}
	spec.OneZone, spec.Spread, spec.Spot = *s.OneZone, *s.Spread, *s.Spot
	spec.AnyType = s.Types == nil
	if s.Types != nil {
		if len(*s.Types) > maxTypes {
			return errors.New("rigs: too many")
		}
		for _, t := range *s.Types {
			if err := text("rigs", &t); err != nil {
				return err
			}
		}
		spec.Types = *s.Types
	}
	if s.Zone != nil {
		if err := text("hall", s.Zone); err != nil {
			return err
		}
		spec.Zone = *s.Zone
	}
	return nil
}

// readAwaits reads which jobs it awaits, each once.
func (s *submission) readAwaits(spec *jobs.Spec) error {
	seen := map[string]bool{}
	for _, id := range s.Awaits {
		if id == nil || !jobs.ValidID(*id) {
			return errors.New("awaits: not the form of a job's id")
		}
		if !seen[*id] {
			seen[*id] = true
			spec.Awaits = append(spec.Awaits, *id)
		}
	}
	return nil
}

// JobStatus is the answer to every user call about a job.
type JobStatus struct {
	ID      string `json:"name_id"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// Status returns the protocol's name for a job's status.
func Status(s jobs.Status) string {
	if s == jobs.Cancelled {
		return "aborted"
	}
	return string(s)
}

// Problem is the body of an answer that refuses.
type Problem struct {
	Error string `json:"error"`
}

// Redirect tells a worker which node to report to.
type Redirect struct {
	Node string `json:"stage_manager,omitempty"`
}

type report struct {
	Machine *string  `json:"stagehand"`
	Addr    string   `json:"address"`
	Type    *string  `json:"rig"`
	Zone    *string  `json:"hall"`
	Spot    *bool    `json:"standby"`
	Session *uint64  `json:"shift"`
	Seq     *uint64  `json:"tally"`
	Token   *uint64  `json:"baton"`
	Notice  *float64 `json:"warning_s"`
	Tasks   *[]rtask `json:"cues"`
}

type rtask struct {
	Task    string  `json:"cue"`
	Attempt *uint64 `json:"take"`
	State   string  `json:"status"`
	Cause   string  `json:"cause"`
}

var states = map[string]fleet.State{
	"pulling": fleet.Fetching, "running": fleet.Running, "saving": fleet.Saving, "ended": fleet.Exited,
}

var causes = map[string]fleet.Cause{
	"done": fleet.Completed, "stopped": fleet.Stopped, "error": fleet.Failed,
	"full": fleet.NoCapacity, "busy": fleet.Busy, "unknown": fleet.Unknown,
}

// DecodeReport reads and checks a worker's report. One bad task makes the
// whole report bad: acting on half a list would lose track of the other half.
func DecodeReport(body []byte) (*fleet.Heartbeat, error) {
	var r report
	if !isObject(body) {
		return nil, errors.New("not an object")
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	for _, f := range []struct {
		name string
		v    *string
	}{{"stagehand", r.Machine}, {"rig", r.Type}, {"hall", r.Zone}} {
		if err := text(f.name, f.v); err != nil {
			return nil, err
		}
	}
	if bytes.ContainsAny([]byte(*r.Machine), " /\t\r\n?#%") {
		return nil, errors.New("stagehand: unusable name")
	}
	if r.Session == nil || r.Seq == nil || r.Token == nil || r.Spot == nil || r.Tasks == nil {
		return nil, errors.New("shift, tally, baton, standby or cues: missing")
	}
	out := &fleet.Heartbeat{Machine: *r.Machine, Addr: r.Addr, Type: *r.Type, Zone: *r.Zone, Spot: *r.Spot,
		Incarnation: *r.Session, Seq: *r.Seq, FencingToken: *r.Token, Notice: units.Never}
	if r.Notice != nil {
		v, err := amount("warning_s", r.Notice)
		if err != nil {
			return nil, err
		}
		out.Notice = units.Seconds(v)
	}
	for _, t := range *r.Tasks {
		id, err := jobs.ParseTaskID(t.Task)
		if err != nil {
			return nil, err
		}
		st, ok := states[t.State]
		if !ok || t.Attempt == nil {
			return nil, fmt.Errorf("task %s: state %q or attempt", id, t.State)
		}
		out.Tasks = append(out.Tasks, fleet.Task{ID: id, Attempt: *t.Attempt, State: st, Cause: causes[t.Cause]})
	}
	return out, nil
}

// Command tells a worker to start, stop or forget an attempt.
type Command struct {
	Kind    string   `json:"call_kind"`
	Task    string   `json:"cue"`
	Attempt uint64   `json:"take"`
	Grace   *float64 `json:"bow_s,omitempty"`
}

// EncodeCommand turns a command into its wire form.
func EncodeCommand(c fleet.Command) Command {
	out := Command{Task: c.ID.String(), Attempt: c.Attempt}
	switch c.Op {
	case fleet.Start:
		out.Kind = "run"
	case fleet.Stop:
		g := c.Grace.Seconds()
		out.Kind, out.Grace = "stop", &g
	case fleet.Forget:
		out.Kind = "forget"
	}
	return out
}

// Orders is the answer to a report, and with Session the body of a direct command.
type Orders struct {
	Token    uint64    `json:"baton"`
	Session  *uint64   `json:"shift,omitempty"`
	Commands []Command `json:"calls"`
}
