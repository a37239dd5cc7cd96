// Package wire holds the JSON bodies of every outside interface. It is the only place that
// knows the protocol's own names for things: struct tags hold them, the fields beside them
// have the names that the rest of the code uses.
//
// Decoding checks what it reads and returns the core's types; amounts become thousandths and
// times microseconds. Durations on the wire are seconds, sizes gigabytes.
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
	JobsPath      = "/work"
	ReadyPath     = "/ready"
	HeartbeatPath = "/hello"
	TypesPath     = "/machine_types"
	// CommandsPath is the worker's own.
	CommandsPath = "/commands"
	HostsPath    = "/hosts"
	ReturnPath   = "/hosts/return"
	KeysPath     = "/keys"
	CommitPath   = "/commit"
	LeasesPath   = "/holds"
	WatchPath    = "/watch"
)

// MaxBody bounds a request's body, in bytes.
const MaxBody = 64 << 10

// maxAmount bounds amounts and durations, far above any that can occur, so
// that sums over a job's tasks cannot overflow.
const maxAmount = 1e7

// submission is a job as users submit it; nil: missing.
type submission struct {
	ID           *string   `json:"name_id"`
	Class        *string   `json:"jobline"`
	Team         *string   `json:"crew"`
	Shape        *string   `json:"shape"`
	Urgency      *string   `json:"urgency"`
	Tasks        *int64    `json:"cues"`
	Cores        *float64  `json:"cores"`
	Cards        *float64  `json:"cards"`
	MemoryGB     *float64  `json:"memory_gb"`
	Image        *string   `json:"reel"`
	ImageGB      *float64  `json:"image_gb"`
	Types        *[]string `json:"rigs"`
	Zone         *string   `json:"hall"`
	OneZone      *bool     `json:"same_place"`
	Spread       *bool     `json:"apart"`
	Spot         *bool     `json:"standby"`
	Estimate     *float64  `json:"runtime_s"`
	Checkpoint   *float64  `json:"bookmark_s"`
	Save         *float64  `json:"stow_s"`
	Deadline     *float64  `json:"curtain_s"`
	Dependencies []*string `json:"awaits"`
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
	id, _ := v.ID.(string) // "" is no usable id
	if !jobs.ValidID(id) {
		return ""
	}
	return id
}

// FieldError says which field of a body is wrong, by its name on the wire, and why.
type FieldError struct {
	Field, Reason string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// errNotObject is returned for a body that is not a JSON object, valid JSON or not.
var errNotObject = errors.New("not an object")

// isObject reports whether a body begins as a JSON object does.
func isObject(body []byte) bool {
	t := bytes.TrimLeft(body, " \t\r\n")
	return len(t) > 0 && t[0] == '{'
}

// amount checks a number that must be there and in range; NaN and infinities are out of it.
func amount(name string, value *float64) (float64, error) {
	if value == nil {
		return 0, &FieldError{name, "missing"}
	}
	if math.IsNaN(*value) || *value < 0 || *value > maxAmount {
		return 0, &FieldError{name, "out of range"}
	}
	return *value, nil
}

// text checks a string that must be there, of 1 to 200 bytes.
func text(name string, value *string) error {
	if value == nil || *value == "" || len(*value) > 200 {
		return &FieldError{name, "missing, empty or too long"}
	}
	return nil
}

// DecodeSubmission reads and checks a submission and returns the job's id. Errors about one
// field are of type *FieldError.
func DecodeSubmission(body []byte) (string, *jobs.Spec, error) {
	var received submission
	if !isObject(body) {
		return "", nil, errNotObject
	}
	if err := json.Unmarshal(body, &received); err != nil {
		return "", nil, err
	}
	if received.ID == nil || !jobs.ValidID(*received.ID) {
		return "", nil, &FieldError{"name_id", "missing or wrongly formed"}
	}
	spec := &jobs.Spec{}
	for _, read := range []func(*jobs.Spec) error{received.readNames, received.readKind, received.readAmounts, received.readDeadline, received.readPlaces} {
		if err := read(spec); err != nil {
			return "", nil, err
		}
	}
	if encoded, err := json.Marshal(spec); err != nil {
		return "", nil, fmt.Errorf("description: %w", err)
	} else if len(encoded) > maxDescription {
		return "", nil, errors.New("description too long")
	}
	if err := received.readDependencies(spec); err != nil {
		return "", nil, err
	}
	return *received.ID, spec, nil
}

const (
	// maxDescription bounds a description without its dependencies, in bytes as stored.
	maxDescription = 6 << 10
	// maxTypes bounds the machine types that a job may name.
	maxTypes = 64
)

// readNames reads the class, the team and the image.
func (s *submission) readNames(spec *jobs.Spec) error {
	for _, field := range []struct {
		name string
		from *string
		to   *string
	}{{"jobline", s.Class, &spec.Class}, {"crew", s.Team, &spec.Team}, {"reel", s.Image, &spec.Image}} {
		if err := text(field.name, field.from); err != nil {
			return err
		}
		*field.to = *field.from
	}
	return nil
}

// readKind reads whether it is a service, its priority and how many tasks it has.
func (s *submission) readKind(spec *jobs.Spec) error {
	switch {
	case s.Shape == nil:
		return &FieldError{"shape", "missing"}
	case *s.Shape == "daemon":
		spec.Service = true
	case *s.Shape != "sweep":
		return &FieldError{"shape", "unknown"}
	}
	if s.Urgency == nil {
		return &FieldError{"urgency", "missing"}
	}
	p, ok := priorities[*s.Urgency]
	if !ok {
		return &FieldError{"urgency", "unknown"}
	}
	spec.Priority = p
	if s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > jobs.MaxTasks {
		return &FieldError{"cues", "missing or out of range"}
	}
	spec.Tasks = int(*s.Tasks)
	return nil
}

// readAmounts reads what a task takes, and its times.
func (s *submission) readAmounts(spec *jobs.Spec) error {
	for _, field := range []struct {
		name string
		from *float64
		to   func(float64)
	}{
		{"cores", s.Cores, func(value float64) { spec.Demand[binpack.CPU] = units.Milli(value) }},
		{"cards", s.Cards, func(value float64) { spec.Demand[binpack.GPU] = units.Milli(value) }},
		{"memory_gb", s.MemoryGB, func(value float64) { spec.Demand[binpack.Memory] = units.Milli(value) }},
		{"image_gb", s.ImageGB, func(value float64) { spec.ImageMB = units.Milli(value) }},
		{"runtime_s", s.Estimate, func(value float64) { spec.Estimate = units.Seconds(value) }},
		{"bookmark_s", s.Checkpoint, func(value float64) { spec.Checkpoint = units.Seconds(value) }},
		{"stow_s", s.Save, func(value float64) { spec.Save = units.Seconds(value) }},
	} {
		value, err := amount(field.name, field.from)
		if err != nil {
			return err
		}
		field.to(value)
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
		return &FieldError{"same_place, apart or standby", "missing"}
	}
	spec.OneZone, spec.Spread, spec.Spot = *s.OneZone, *s.Spread, *s.Spot
	spec.AnyType = s.Types == nil
	if s.Types != nil {
		if len(*s.Types) > maxTypes {
			return &FieldError{"rigs", "too many"}
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

// readDependencies reads which jobs it awaits, each once.
func (s *submission) readDependencies(spec *jobs.Spec) error {
	seen := map[string]bool{}
	for _, id := range s.Dependencies {
		if id == nil || !jobs.ValidID(*id) {
			return &FieldError{"awaits", "not the form of a job's id"}
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

// Redirect tells a worker which node takes its heartbeats.
type Redirect struct {
	Node string `json:"stage_manager,omitempty"`
}

// receivedHeartbeat is a heartbeat before it is checked; nil: missing.
type receivedHeartbeat struct {
	Machine      *string         `json:"stagehand"`
	Addr         string          `json:"address"`
	Type         *string         `json:"rig"`
	Zone         *string         `json:"hall"`
	Spot         *bool           `json:"standby"`
	Incarnation  *uint64         `json:"shift"`
	Seq          *uint64         `json:"tally"`
	FencingToken *uint64         `json:"baton"`
	Notice       *float64        `json:"warning_s"`
	Tasks        *[]receivedTask `json:"cues"`
}

type receivedTask struct {
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

// DecodeHeartbeat reads and checks a worker's heartbeat with its status. One bad task makes
// the whole heartbeat bad: acting on half a list would lose track of the other half.
func DecodeHeartbeat(body []byte) (*fleet.Heartbeat, error) {
	var received receivedHeartbeat
	if !isObject(body) {
		return nil, errNotObject
	}
	if err := json.Unmarshal(body, &received); err != nil {
		return nil, err
	}
	for _, f := range []struct {
		name string
		from *string
	}{{"stagehand", received.Machine}, {"rig", received.Type}, {"hall", received.Zone}} {
		if err := text(f.name, f.from); err != nil {
			return nil, err
		}
	}
	if bytes.ContainsAny([]byte(*received.Machine), " /\t\r\n?#%") {
		return nil, &FieldError{"stagehand", "unusable name"}
	}
	if received.Incarnation == nil || received.Seq == nil || received.FencingToken == nil || received.Spot == nil || received.Tasks == nil {
		return nil, &FieldError{"shift, tally, baton, standby or cues", "missing"}
	}
	heartbeat := &fleet.Heartbeat{Machine: *received.Machine, Addr: received.Addr, Type: *received.Type, Zone: *received.Zone, Spot: *received.Spot,
		Incarnation: *received.Incarnation, Seq: *received.Seq, FencingToken: *received.FencingToken, ReclaimIn: units.MaxTime}
	if received.Notice != nil {
		v, err := amount("warning_s", received.Notice)
		if err != nil {
			return nil, err
		}
		heartbeat.ReclaimIn = units.Seconds(v)
	}
	for _, t := range *received.Tasks {
		id, err := jobs.ParseTaskID(t.Task)
		if err != nil {
			return nil, err
		}
		state, ok := states[t.State]
		if !ok || t.Attempt == nil {
			return nil, fmt.Errorf("task %s: state %q or attempt", id, t.State)
		}
		heartbeat.Tasks = append(heartbeat.Tasks, fleet.Task{ID: id, Attempt: *t.Attempt, State: state, Cause: causes[t.Cause]})
	}
	return heartbeat, nil
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

// Orders is the answer to a heartbeat, and with Incarnation the body of a direct command.
type Orders struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  *uint64   `json:"shift,omitempty"`
	Commands     []Command `json:"calls"`
}
