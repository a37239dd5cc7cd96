package wire

import (
	"encoding/json"
	"fmt"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// What users, workers and the outside services send and read: the other ends of the
// interfaces, for clients and for the emulator.

// nameOf returns the key of a value in a map that has each value once, or the zero key.
func nameOf[K, V comparable](m map[K]V, v V) K {
	for k, x := range m {
		if x == v {
			return k
		}
	}
	var none K
	return none
}

// EncodeSubmission returns the body of a submission.
func EncodeSubmission(id string, spec *jobs.Spec) ([]byte, error) {
	fromMilli := func(milli int64) *float64 { v := float64(milli) / 1000; return &v }
	inSeconds := func(m units.Microseconds) *float64 { v := m.Seconds(); return &v }
	shape, urgency, tasks := "sweep", nameOf(priorities, spec.Priority), int64(spec.Tasks)
	if spec.Service {
		shape = "daemon"
	}
	encoded := submission{ID: &id, Class: &spec.Class, Team: &spec.Team, Shape: &shape, Urgency: &urgency, Tasks: &tasks,
		Cores: fromMilli(spec.Demand[0]), Cards: fromMilli(spec.Demand[1]), MemoryGB: fromMilli(spec.Demand[2]), Image: &spec.Image, ImageGB: fromMilli(spec.ImageMB),
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

// DecodeJobStatus reads the answer to a user's call; a status that is unknown here is an error.
func DecodeJobStatus(body []byte) (JobStatus, jobs.Status, error) {
	var answer JobStatus
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, "", err
	}
	status := jobs.Status(answer.Status)
	if answer.Status == Status(jobs.Cancelled) {
		status = jobs.Cancelled
	}
	switch status {
	case jobs.Pending, jobs.Running, jobs.Done, jobs.Cancelled:
		return answer, status, nil
	}
	return answer, "", fmt.Errorf("status %q", answer.Status)
}

// HeartbeatBody is a worker's heartbeat with its status.
type HeartbeatBody struct {
	Machine      string          `json:"stagehand"`
	Addr         string          `json:"address"`
	Type         string          `json:"rig"`
	Zone         string          `json:"hall"`
	Spot         bool            `json:"standby"`
	Incarnation  uint64          `json:"shift"`
	Seq          uint64          `json:"tally"`
	FencingToken uint64          `json:"baton"`
	Notice       *float64        `json:"warning_s"`
	Tasks        []HeartbeatTask `json:"cues"`
}

// HeartbeatTask is an attempt at a task in a heartbeat.
type HeartbeatTask struct {
	Task         string `json:"cue"`
	Attempt      uint64 `json:"take"`
	State        string `json:"status"`
	Cause        string `json:"cause,omitempty"`
	Checkpointed bool   `json:"saved,omitempty"`
}

// EncodeHeartbeat returns the body of a heartbeat; checkpointed names the stopped tasks whose
// progress was saved.
func EncodeHeartbeat(heartbeat *fleet.Heartbeat, checkpointed map[jobs.TaskID]bool) HeartbeatBody {
	out := HeartbeatBody{Machine: heartbeat.Machine, Addr: heartbeat.Addr, Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot,
		Incarnation: heartbeat.Incarnation, Seq: heartbeat.Seq, FencingToken: heartbeat.FencingToken, Tasks: []HeartbeatTask{}}
	if heartbeat.ReclaimIn != units.MaxTime {
		v := heartbeat.ReclaimIn.Seconds()
		out.Notice = &v
	}
	for _, t := range heartbeat.Tasks {
		rt := HeartbeatTask{Task: t.ID.String(), Attempt: t.Attempt, State: nameOf(states, t.State), Checkpointed: checkpointed[t.ID]}
		if t.State == fleet.Exited {
			rt.Cause = nameOf(causes, t.Cause)
		}
		out.Tasks = append(out.Tasks, rt)
	}
	return out
}

// ReceivedOrders is an answer to a heartbeat, or the body of a direct command.
type ReceivedOrders struct {
	Node         string  // of a redirect
	FencingToken *uint64 // nil: none
	Incarnation  *uint64 // of a direct command
	Commands     []fleet.Command
}

// DecodeOrders reads an answer to a heartbeat, whatever its status, or a direct command.
func DecodeOrders(body []byte) (ReceivedOrders, error) {
	var received struct {
		Redirect
		FencingToken *uint64   `json:"baton"`
		Incarnation  *uint64   `json:"shift"`
		Commands     []Command `json:"calls"`
	}
	if !isObject(body) {
		return ReceivedOrders{}, errNotObject
	}
	if err := json.Unmarshal(body, &received); err != nil {
		return ReceivedOrders{}, err
	}
	orders := ReceivedOrders{Node: received.Node, FencingToken: received.FencingToken, Incarnation: received.Incarnation}
	for _, command := range received.Commands {
		id, err := jobs.ParseTaskID(command.Task)
		if err != nil {
			return ReceivedOrders{}, err
		}
		decoded := fleet.Command{ID: id, Attempt: command.Attempt}
		switch command.Kind {
		case "run":
			decoded.Op = fleet.Start
		case "stop":
			decoded.Op = fleet.Stop
			if command.Grace != nil {
				v, err := amount("bow_s", command.Grace)
				if err != nil {
					return ReceivedOrders{}, err
				}
				decoded.Grace = units.Seconds(v)
			}
		case "forget":
			decoded.Op = fleet.Forget
		default:
			return ReceivedOrders{}, fmt.Errorf("command %q", command.Kind)
		}
		orders.Commands = append(orders.Commands, decoded)
	}
	return orders, nil
}

// NoCapacity is the error of a request for machines of which there is none; Unavailable is
// that of a cloud that is out of order.
const (
	NoCapacity  = "no capacity"
	Unavailable = "trouble"
)

// Entry answers the read of one key.
type Entry struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"pass,omitempty"`
}

// Revision is the body of an answer that tells no more.
type Revision struct {
	Revision uint64 `json:"ledger_rev"`
}

// ProblemText returns the reason in the body of an answer that refuses, or "".
func ProblemText(body []byte) string {
	var p Problem
	if json.Unmarshal(body, &p) != nil {
		return ""
	}
	return p.Error
}
