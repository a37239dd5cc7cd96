// Package wire defines the JSON bodies of all external interfaces: users, workers, the state service and
// the cloud. The protocol's own field names appear only here, in struct tags; the Go fields have the names
// that the rest of the code uses.
//
// Decoding validates its input and returns the core's types. Durations on the wire are in seconds and sizes
// in gigabytes; decoding converts amounts to thousandths and times to microseconds.
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

// Paths of the HTTP interfaces.
const (
	JobsPath      = "/work"
	ReadyPath     = "/ready"
	HeartbeatPath = "/hello"
	TypesPath     = "/machine_types"
	// CommandsPath is served by workers.
	CommandsPath = "/commands"
	HostsPath    = "/hosts"
	ReturnPath   = "/hosts/return"
	KeysPath     = "/keys"
	CommitPath   = "/commit"
	LeasesPath   = "/holds"
	WatchPath    = "/watch"
)

// MaxBody is the maximum size of a request body in bytes.
const MaxBody = 64 << 10

// maxAmount is the largest amount or duration that is accepted. It is far above any that occurs in practice,
// and low enough that sums over a job's tasks cannot overflow.
const maxAmount = 1e7

// submission is a job as submitted by a user. Fields that are missing are nil.
type submission struct {
	ID           *string   `json:"name_id"`
	Class        *string   `json:"jobline"`
	Team         *string   `json:"crew"`
	Shape        *string   `json:"shape"`
	Urgency      *string   `json:"urgency"`
	Tasks        *int64    `json:"cues"`
	Cores        *float64  `json:"cores"`
	GPUs         *float64  `json:"cards"`
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

// SubmissionID returns the job ID of a submission without validating the other fields. It returns "" if there
// is no valid ID.
func SubmissionID(body []byte) string {
	var v struct {
		ID any `json:"name_id"`
	}
	if json.Unmarshal(body, &v) != nil {
		return ""
	}
	id, _ := v.ID.(string) // "" is not a valid ID
	if !jobs.ValidID(id) {
		return ""
	}
	return id
}

// FieldError reports an invalid field of a body. Field is its name on the wire.
type FieldError struct {
	Field, Reason string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// errNotObject is returned for a body that is not a JSON object, whether or not it is valid JSON.
var errNotObject = errors.New("not an object")

// isObject reports whether a body starts like a JSON object.
func isObject(body []byte) bool {
	t := bytes.TrimLeft(body, " \t\r\n")
	return len(t) > 0 && t[0] == '{'
}

// checkAmount returns a required number between 0 and maxAmount. NaN and infinities are out of range.
func checkAmount(name string, value *float64) (float64, error) {
	if value == nil {
		return 0, &FieldError{name, "missing"}
	}
	if math.IsNaN(*value) || *value < 0 || *value > maxAmount {
		return 0, &FieldError{name, "out of range"}
	}
	return *value, nil
}

// checkText validates a required string of 1 to 200 bytes.
func checkText(name string, value *string) error {
	if value == nil || *value == "" || len(*value) > 200 {
		return &FieldError{name, "missing, empty or too long"}
	}
	return nil
}

// DecodeSubmission decodes and validates a submission. It returns the job's ID and spec. Errors that concern
// a single field have type *FieldError.
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
	for _, read := range []func(*jobs.Spec) error{received.readNames, received.readKind, received.readAmounts, received.readDeadline, received.readPlacement} {
		if err := read(spec); err != nil {
			return "", nil, err
		}
	}
	if encoded, err := json.Marshal(spec); err != nil {
		return "", nil, fmt.Errorf("description: %w", err)
	} else if len(encoded) > maxSpecBytes {
		return "", nil, errors.New("description too long")
	}
	if err := received.readDependencies(spec); err != nil {
		return "", nil, err
	}
	return *received.ID, spec, nil
}

const (
	// maxSpecBytes is the maximum size of a stored job spec in bytes, without its dependencies.
	maxSpecBytes = 6 << 10
	// maxTypes is the maximum number of machine types that a job may name.
	maxTypes = 64
)

// readNames decodes the class, the team and the image.
func (s *submission) readNames(spec *jobs.Spec) error {
	for _, field := range []struct {
		name string
		from *string
		to   *string
	}{{"jobline", s.Class, &spec.Class}, {"crew", s.Team, &spec.Team}, {"reel", s.Image, &spec.Image}} {
		if err := checkText(field.name, field.from); err != nil {
			return err
		}
		*field.to = *field.from
	}
	return nil
}

// readKind decodes whether the job is a service, its priority and its number of tasks.
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

// readAmounts decodes the resource demand of a task, the image size and the durations of a task.
func (s *submission) readAmounts(spec *jobs.Spec) error {
	for _, field := range []struct {
		name string
		from *float64
		to   func(float64)
	}{
		{"cores", s.Cores, func(value float64) { spec.Demand[binpack.CPU] = units.Milli(value) }},
		{"cards", s.GPUs, func(value float64) { spec.Demand[binpack.GPU] = units.Milli(value) }},
		{"memory_gb", s.MemoryGB, func(value float64) { spec.Demand[binpack.Memory] = units.Milli(value) }},
		{"image_gb", s.ImageGB, func(value float64) { spec.ImageMB = units.Milli(value) }},
		{"runtime_s", s.Estimate, func(value float64) { spec.Estimate = units.Seconds(value) }},
		{"bookmark_s", s.Checkpoint, func(value float64) { spec.Checkpoint = units.Seconds(value) }},
		{"stow_s", s.Save, func(value float64) { spec.Save = units.Seconds(value) }},
	} {
		value, err := checkAmount(field.name, field.from)
		if err != nil {
			return err
		}
		field.to(value)
	}
	return nil
}

// readDeadline decodes the optional deadline.
func (s *submission) readDeadline(spec *jobs.Spec) error {
	if s.Deadline == nil {
		return nil
	}
	v, err := checkAmount("curtain_s", s.Deadline)
	if err != nil {
		return err
	}
	spec.Deadline = max(units.Seconds(v), 1)
	return nil
}

// readPlacement decodes the placement constraints: machine types, zones, spread and spot instances.
func (s *submission) readPlacement(spec *jobs.Spec) error {
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
			if err := checkText("rigs", &t); err != nil {
				return err
			}
		}
		spec.Types = *s.Types
	}
	if s.Zone != nil {
		if err := checkText("hall", s.Zone); err != nil {
			return err
		}
		spec.Zone = *s.Zone
	}
	return nil
}

// readDependencies decodes the jobs that this job depends on and removes duplicates.
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

// JobStatus is the body of the response to every user request about a job.
type JobStatus struct {
	ID      string `json:"name_id"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
}

// StatusName returns the protocol's name of a job status.
func StatusName(s jobs.Status) string {
	if s == jobs.Cancelled {
		return "aborted"
	}
	return string(s)
}

// Problem is the body of an error response.
type Problem struct {
	Error string `json:"error"`
}

// Redirect is the body that names the controller to which a worker should send its heartbeats.
type Redirect struct {
	Node string `json:"stage_manager,omitempty"`
}

// receivedHeartbeat is a heartbeat before validation. Pointers to fields that are missing are nil.
type receivedHeartbeat struct {
	Machine      *string         `json:"stagehand"`
	Addr         string          `json:"address"`
	Type         *string         `json:"rig"`
	Zone         *string         `json:"hall"`
	Spot         *bool           `json:"standby"`
	Incarnation  *uint64         `json:"shift"`
	Seq          *uint64         `json:"tally"`
	FencingToken *uint64         `json:"baton"`
	ReclaimIn    *float64        `json:"warning_s"`
	Tasks        *[]receivedTask `json:"cues"`
}

type receivedTask struct {
	Task    string  `json:"cue"`
	Attempt *uint64 `json:"take"`
	State   string  `json:"status"`
	Cause   string  `json:"cause"`
}

var taskStates = map[string]fleet.State{
	"pulling": fleet.Fetching, "running": fleet.Running, "saving": fleet.Saving, "ended": fleet.Exited,
}

var exitCauses = map[string]fleet.Cause{
	"done": fleet.Completed, "stopped": fleet.Stopped, "error": fleet.Failed,
	"full": fleet.NoCapacity, "busy": fleet.Busy, "unknown": fleet.Unknown,
}

// DecodeHeartbeat decodes and validates a worker's heartbeat. A single invalid task makes the whole heartbeat
// invalid, because acting on an incomplete list would lose track of the missing tasks.
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
		if err := checkText(f.name, f.from); err != nil {
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
	if received.ReclaimIn != nil {
		v, err := checkAmount("warning_s", received.ReclaimIn)
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
		state, ok := taskStates[t.State]
		if !ok || t.Attempt == nil {
			return nil, fmt.Errorf("task %s: state %q or attempt", id, t.State)
		}
		heartbeat.Tasks = append(heartbeat.Tasks, fleet.Task{ID: id, Attempt: *t.Attempt, State: state, Cause: exitCauses[t.Cause]})
	}
	return heartbeat, nil
}

// Command instructs a worker to start, stop or forget an attempt.
type Command struct {
	Kind    string   `json:"call_kind"`
	Task    string   `json:"cue"`
	Attempt uint64   `json:"take"`
	Grace   *float64 `json:"bow_s,omitempty"`
}

// EncodeCommand converts a command to its wire format.
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

// CommandList is the body of the response to a heartbeat. With Incarnation it is the body of a request that
// a controller sends to a worker directly.
type CommandList struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  *uint64   `json:"shift,omitempty"`
	Commands     []Command `json:"calls"`
}
