package wire

import (
	"encoding/json"
	"fmt"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// This file implements the other side of the interfaces, for clients and for the emulator: what users, workers
// and the external services send and receive.

// nameOf returns the key of a value in a map whose values are unique, or the zero key if there is none.
func nameOf[K, V comparable](m map[K]V, v V) K {
	for k, x := range m {
		if x == v {
			return k
		}
	}
	var none K
	return none
}

// EncodeSubmission returns the body that submits a job.
func EncodeSubmission(id string, spec *jobs.Spec) ([]byte, error) {
	fromMilli := func(milli int64) *float64 { v := float64(milli) / 1000; return &v }
	inSeconds := func(m units.Microseconds) *float64 { v := m.Seconds(); return &v }
	shape, urgency, tasks := "sweep", nameOf(priorities, spec.Priority), int64(spec.Tasks)
	if spec.Service {
		shape = "daemon"
	}
	encoded := submission{ID: &id, Class: &spec.Class, Team: &spec.Team, Shape: &shape, Urgency: &urgency, Tasks: &tasks,
		Cores: fromMilli(spec.Demand[0]), GPUs: fromMilli(spec.Demand[1]), MemoryGB: fromMilli(spec.Demand[2]), Image: &spec.Image, ImageGB: fromMilli(spec.ImageMB),
		OneZone: &spec.OneZone, Spread: &spec.Spread, Spot: &spec.Spot, Estimate: inSeconds(spec.Estimate), Checkpoint: inSeconds(spec.Checkpoint), Save: inSeconds(spec.Save)}
	if !spec.AnyType {
		encoded.Types = &spec.Types
	}
	if spec.Zone != "" {
		encoded.Zone = &spec.Zone
	}
	if spec.Deadline > 0 {
		encoded.Deadline = inSeconds(spec.Deadline)
	}
	for _, a := range spec.Awaits {
		encoded.Dependencies = append(encoded.Dependencies, &a)
	}
	return json.Marshal(encoded)
}

// DecodeJobStatus decodes the response to a user request. An unknown status is an error.
func DecodeJobStatus(body []byte) (JobStatus, jobs.Status, error) {
	var response JobStatus
	if err := json.Unmarshal(body, &response); err != nil {
		return response, "", err
	}
	status := jobs.Status(response.Status)
	if response.Status == StatusName(jobs.Cancelled) {
		status = jobs.Cancelled
	}
	switch status {
	case jobs.Pending, jobs.Running, jobs.Done, jobs.Cancelled:
		return response, status, nil
	}
	return response, "", fmt.Errorf("status %q", response.Status)
}

// HeartbeatBody is the body of a worker's heartbeat.
type HeartbeatBody struct {
	Machine      string          `json:"stagehand"`
	Addr         string          `json:"address"`
	Type         string          `json:"rig"`
	Zone         string          `json:"hall"`
	Spot         bool            `json:"standby"`
	Incarnation  uint64          `json:"shift"`
	Seq          uint64          `json:"tally"`
	FencingToken uint64          `json:"baton"`
	ReclaimIn    *float64        `json:"warning_s"`
	Tasks        []HeartbeatTask `json:"cues"`
}

// HeartbeatTask is an attempt at a task as reported in a heartbeat.
type HeartbeatTask struct {
	Task         string `json:"cue"`
	Attempt      uint64 `json:"take"`
	State        string `json:"status"`
	Cause        string `json:"cause,omitempty"`
	Checkpointed bool   `json:"saved,omitempty"`
}

// EncodeHeartbeat returns the body of a heartbeat. checkpointed contains the stopped tasks whose progress was
// saved.
func EncodeHeartbeat(heartbeat *fleet.Heartbeat, checkpointed map[jobs.TaskID]bool) HeartbeatBody {
	out := HeartbeatBody{Machine: heartbeat.Machine, Addr: heartbeat.Addr, Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot,
		Incarnation: heartbeat.Incarnation, Seq: heartbeat.Seq, FencingToken: heartbeat.FencingToken, Tasks: []HeartbeatTask{}}
	if heartbeat.ReclaimIn != units.MaxTime {
		v := heartbeat.ReclaimIn.Seconds()
		out.ReclaimIn = &v
	}
	for _, t := range heartbeat.Tasks {
		rt := HeartbeatTask{Task: t.ID.String(), Attempt: t.Attempt, State: nameOf(taskStates, t.State), Checkpointed: checkpointed[t.ID]}
		if t.State == fleet.Exited {
			rt.Cause = nameOf(exitCauses, t.Cause)
		}
		out.Tasks = append(out.Tasks, rt)
	}
	return out
}

// ReceivedCommandList is a decoded response to a heartbeat or a decoded direct request to a worker.
type ReceivedCommandList struct {
	Node         string  // set by a redirect
	FencingToken *uint64 // nil if there is none
	Incarnation  *uint64 // set by a direct request
	Commands     []fleet.Command
}

// DecodeCommandList decodes the response to a heartbeat, for any status code, or a direct request to a worker.
func DecodeCommandList(body []byte) (ReceivedCommandList, error) {
	var received struct {
		Redirect
		FencingToken *uint64   `json:"baton"`
		Incarnation  *uint64   `json:"shift"`
		Commands     []Command `json:"calls"`
	}
	if !isObject(body) {
		return ReceivedCommandList{}, errNotObject
	}
	if err := json.Unmarshal(body, &received); err != nil {
		return ReceivedCommandList{}, err
	}
	commands := ReceivedCommandList{Node: received.Node, FencingToken: received.FencingToken, Incarnation: received.Incarnation}
	for _, command := range received.Commands {
		id, err := jobs.ParseTaskID(command.Task)
		if err != nil {
			return ReceivedCommandList{}, err
		}
		decoded := fleet.Command{ID: id, Attempt: command.Attempt}
		switch command.Kind {
		case "run":
			decoded.Op = fleet.Start
		case "stop":
			decoded.Op = fleet.Stop
			if command.Grace != nil {
				v, err := checkAmount("bow_s", command.Grace)
				if err != nil {
					return ReceivedCommandList{}, err
				}
				decoded.Grace = units.Seconds(v)
			}
		case "forget":
			decoded.Op = fleet.Forget
		default:
			return ReceivedCommandList{}, fmt.Errorf("command %q", command.Kind)
		}
		commands.Commands = append(commands.Commands, decoded)
	}
	return commands, nil
}

// Error texts of the cloud: NoCapacity means that it has no machines of the requested kind, Unavailable that
// the cloud itself fails.
const (
	NoCapacity  = "no capacity"
	Unavailable = "trouble"
)

// Entry is the body of the response to a read of one key.
type Entry struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"pass,omitempty"`
}

// Revision is the body of a response that contains only the revision of the state service.
type Revision struct {
	Revision uint64 `json:"ledger_rev"`
}

// ProblemText returns the error text of an error response, or "" if there is none.
func ProblemText(body []byte) string {
	var p Problem
	if json.Unmarshal(body, &p) != nil {
		return ""
	}
	return p.Error
}
