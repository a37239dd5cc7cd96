package wire

import (
	"encoding/json"
	"errors"
	"fmt"

	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

// What users, workers and the outside services say and read: the other ends of the
// interfaces, for clients and for the emulator.

func nameOf[K, V comparable](m map[K]V, v V) K {
	for k, x := range m {
		if x == v {
			return k
		}
	}
	var none K
	return none
}

// EncodeSubmission writes a submission.
func EncodeSubmission(id string, s *jobs.Spec) ([]byte, error) {
	num := func(milli int64) *float64 { v := float64(milli) / 1000; return &v }
	sec := func(m units.Microseconds) *float64 { v := m.Seconds(); return &v }
	shape, urgency, tasks := "sweep", nameOf(priorities, s.Priority), int64(s.Tasks)
	if s.Service {
		shape = "daemon"
	}
	out := submission{ID: &id, Class: &s.Class, Team: &s.Team, Shape: &shape, Urgency: &urgency, Tasks: &tasks,
		Cores: num(s.Demand[0]), Cards: num(s.Demand[1]), MemoryGB: num(s.Demand[2]), Image: &s.Image, ImageGB: num(s.ImageMB),
		OneZone: &s.OneZone, Spread: &s.Spread, Spot: &s.Spot, Estimate: sec(s.Estimate), Checkpoint: sec(s.Checkpoint), Save: sec(s.Save)}
	if !s.AnyType {
		out.Types = &s.Types
	}
	if s.Zone != "" {
		out.Zone = &s.Zone
	}
	if s.Deadline > 0 {
		out.Deadline = sec(s.Deadline)
	}
	for _, a := range s.Awaits {
		out.Awaits = append(out.Awaits, &a)
	}
	return json.Marshal(out)
}

// DecodeJobStatus reads the answer to a user's call.
func DecodeJobStatus(body []byte) (JobStatus, jobs.Status, error) {
	var s JobStatus
	if err := json.Unmarshal(body, &s); err != nil {
		return s, "", err
	}
	st := jobs.Status(s.Status)
	if s.Status == Status(jobs.Cancelled) {
		st = jobs.Cancelled
	}
	switch st {
	case jobs.Pending, jobs.Running, jobs.Done, jobs.Cancelled:
		return s, st, nil
	}
	return s, "", fmt.Errorf("status %q", s.Status)
}

// MachineReport is a worker's report.
type MachineReport struct {
	Machine string         `json:"stagehand"`
	Addr    string         `json:"address"`
	Type    string         `json:"rig"`
	Zone    string         `json:"hall"`
	Spot    bool           `json:"standby"`
	Session uint64         `json:"shift"`
	Seq     uint64         `json:"tally"`
	Token   uint64         `json:"baton"`
	Notice  *float64       `json:"warning_s"`
	Tasks   []ReportedTask `json:"cues"`
}

// ReportedTask is an attempt in a report.
type ReportedTask struct {
	Task    string `json:"cue"`
	Attempt uint64 `json:"take"`
	State   string `json:"status"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"saved,omitempty"`
}

// EncodeReport writes a report; saved names the stopped tasks whose progress was saved.
func EncodeReport(r *fleet.Heartbeat, saved map[jobs.TaskID]bool) MachineReport {
	out := MachineReport{Machine: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Session: r.Incarnation, Seq: r.Seq, Token: r.FencingToken, Tasks: []ReportedTask{}}
	if r.Notice != units.Never {
		v := r.Notice.Seconds()
		out.Notice = &v
	}
	for _, t := range r.Tasks {
		rt := ReportedTask{Task: t.ID.String(), Attempt: t.Attempt, State: nameOf(states, t.State), Saved: saved[t.ID]}
		if t.State == fleet.Exited {
			rt.Cause = nameOf(causes, t.Cause)
		}
		out.Tasks = append(out.Tasks, rt)
	}
	return out
}

// ReceivedOrders is an answer to a report, or the body of a direct command.
type ReceivedOrders struct {
	Node     string  // of a redirect
	Token    *uint64 // nil: none
	Session  *uint64 // of a direct command
	Commands []fleet.Command
}

// DecodeOrders reads an answer to a report, whatever its status, or a direct command.
func DecodeOrders(body []byte) (ReceivedOrders, error) {
	var b struct {
		Redirect
		Token    *uint64   `json:"baton"`
		Session  *uint64   `json:"shift"`
		Commands []Command `json:"calls"`
	}
	if !isObject(body) {
		return ReceivedOrders{}, errors.New("not an object")
	}
	if err := json.Unmarshal(body, &b); err != nil {
		return ReceivedOrders{}, err
	}
	out := ReceivedOrders{Node: b.Redirect.Node, Token: b.Token, Session: b.Session}
	for _, c := range b.Commands {
		id, err := jobs.ParseTaskID(c.Task)
		if err != nil {
			return ReceivedOrders{}, err
		}
		cmd := fleet.Command{ID: id, Attempt: c.Attempt}
		switch c.Kind {
		case "run":
			cmd.Op = fleet.Start
		case "stop":
			cmd.Op = fleet.Stop
			if c.Grace != nil {
				v, err := amount("bow_s", c.Grace)
				if err != nil {
					return ReceivedOrders{}, err
				}
				cmd.Grace = units.Seconds(v)
			}
		case "forget":
			cmd.Op = fleet.Forget
		default:
			return ReceivedOrders{}, fmt.Errorf("command %q", c.Kind)
		}
		out.Commands = append(out.Commands, cmd)
	}
	return out, nil
}

// NoCapacity is the error of a rental for which there is no machine; Trouble is
// that of a cloud that is out of order.
const (
	NoCapacity = "no capacity"
	Trouble    = "trouble"
)

// Entry answers the read of one key.
type Entry struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"data"`
	Stamp uint64          `json:"stamp"`
	Lease uint64          `json:"pass,omitempty"`
}

// Revision is the body of an answer that tells no more.
type Revision struct {
	Revision uint64 `json:"ledger_rev"`
}

// ProblemText returns what an answer that refuses says, or "".
func ProblemText(body []byte) string {
	var p Problem
	if json.Unmarshal(body, &p) != nil {
		return ""
	}
	return p.Error
}
