package launch

import "strings"

// ProcessInfo is a process of a deployment while it runs.
type ProcessInfo struct {
	Name string // of the controller or the role
	Role string // "controller", "worker", or a role of the emulator
	PID  int
}

// Processes returns the processes that run now.
func (d *Deployment) Processes() (out []ProcessInfo) {
	for name, p := range d.procs {
		p.mu.Lock()
		if p.cmd != nil && p.cmd.Process != nil && !p.stopped {
			out = append(out, ProcessInfo{Name: name, Role: d.roleOf(name), PID: p.cmd.Process.Pid})
		}
		p.mu.Unlock()
	}
	return out
}

func (d *Deployment) roleOf(name string) string {
	switch {
	case isWorker(name):
		return "worker"
	case d.Plan.Roles[name] != "":
		return name
	}
	return "controller"
}

// Traffic is how many bytes have passed between two kinds of parties since the start.
type Traffic struct{ Workers, Users, State, Cloud, Peers uint64 }

// Traffic returns what has passed the controllers' links, both ways, by the other party.
func (d *Deployment) Traffic() (t Traffic) {
	for name, l := range d.links {
		there, back := l.Bytes()
		from, to, _ := strings.Cut(name, "->")
		n := there + back
		switch {
		case strings.HasPrefix(from, "zone "):
			t.Workers += n
		case from == "users":
			t.Users += n
		case to == "state":
			t.State += n
		case to == "cloud":
			t.Cloud += n
		default:
			t.Peers += n
		}
	}
	return t
}

// WorkerFigures returns what the processes tell that run one worker each, by role.
func (d *Deployment) WorkerFigures() map[string]WorkerFigures {
	out := map[string]WorkerFigures{}
	for _, role := range d.Plan.workerRoles() {
		var f WorkerFigures
		if d.figures(role, &f) == nil {
			out[role] = f
		}
	}
	return out
}

// StateFigures returns what the state service's process tells of itself.
func (d *Deployment) StateFigures() (StateFigures, error) {
	var f StateFigures
	err := d.figures(RoleState, &f)
	return f, err
}
