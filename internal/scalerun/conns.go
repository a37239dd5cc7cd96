package scalerun

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"shalestage.example/shalestage/internal/launch"
)

// Connections are the open connections of all regions' processes at one time.
type Connections struct {
	Phase   string `json:"phase"` // that ends
	Looked  int    `json:"looked"`
	Between int    `json:"between"` // from a process of one region to an address of another
}

// member is a region's processes and the ports on which it can be reached.
type member struct {
	pids  []int
	ports map[string]bool
}

var portOf = regexp.MustCompile(`"[0-9.]+:([0-9]+)"`)

// portsOf returns every port in a plan: those of processes and of the links before them.
func portsOf(p *launch.Plan) map[string]bool {
	out := map[string]bool{}
	b, _ := json.Marshal(p) // plain data: cannot fail
	for _, m := range portOf.FindAllSubmatch(b, -1) {
		out[string(m[1])] = true
	}
	return out
}

// remotePorts returns the remote port of each open connection of this machine, by socket.
func remotePorts() map[string]string {
	out := map[string]string{}
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return out
	}
	const remote, state, socket = 2, 3, 9
	const established = "01"
	for l := range strings.Lines(string(b)) {
		f := strings.Fields(l)
		if len(f) <= socket || f[state] != established {
			continue
		}
		_, hex, _ := strings.Cut(f[remote], ":")
		if port, err := strconv.ParseUint(hex, 16, 16); err == nil {
			out[f[socket]] = strconv.FormatUint(port, 10)
		}
	}
	return out
}

// sockets returns the sockets that a process has open.
func sockets(pid int) (out []string) {
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	files, _ := os.ReadDir(dir) // a process that has just ended has none
	for _, f := range files {
		to, _ := os.Readlink(filepath.Join(dir, f.Name()))
		if s, ok := strings.CutPrefix(to, "socket:["); ok {
			out = append(out, strings.TrimSuffix(s, "]"))
		}
	}
	return out
}

// connections looks at whom the processes of each region are connected with.
func connections(list []member) (c Connections) {
	remote := remotePorts()
	for i, m := range list {
		for _, pid := range m.pids {
			for _, s := range sockets(pid) {
				port, open := remote[s]
				if !open {
					continue
				}
				c.Looked++
				for k, other := range list {
					if k != i && other.ports[port] {
						c.Between++
					}
				}
			}
		}
	}
	return c
}

// look notes the connections at the end of a phase.
func (r *run) look(phase string) {
	var list []member
	for _, reg := range r.regions {
		m := member{ports: portsOf(reg.d.Plan)}
		for _, p := range reg.d.Processes() {
			m.pids = append(m.pids, p.PID)
		}
		list = append(list, m)
	}
	c := connections(list)
	c.Phase = phase
	r.result.Connections = append(r.result.Connections, c)
}
