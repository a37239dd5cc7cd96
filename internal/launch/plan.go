// Package launch runs a whole deployment on this machine: the emulated neighbours
// and the controllers as processes of their own on loopback, the links between
// them, the users, and a checker that holds the rules against what happens.
package launch

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"shalestage.example/shalestage/internal/scenario"
)

// Roles of the emulator's processes.
const (
	RoleState   = "state"
	RoleCloud   = "cloud" // with the machines' workers
	RoleBalance = "balancer"

	workerPrefix = "worker-" // of roles that run one machine's worker each
)

func isWorker(role string) bool { return strings.HasPrefix(role, workerPrefix) }

// workerRoles returns the roles that run one machine's worker each.
func (p *Plan) workerRoles() (out []string) {
	for i := range len(p.Direct) {
		out = append(out, workerPrefix+strconv.Itoa(i))
	}
	return out
}

// Plan says where everything listens. It is written to a file that every process
// of the deployment reads.
type Plan struct {
	Scenario string `json:"scenario"` // file with the deployment
	Data     string `json:"data"`     // directory in which the state service keeps its data; "": nowhere
	Seed     uint64 `json:"seed"`

	Front   string            `json:"front"`   // load balancer, for users
	Control string            `json:"control"` // of the deployment as a whole
	Roles   map[string]string `json:"roles"`   // control addresses of the emulator's processes
	// Direct is where the workers with a process of their own take direct commands, by role.
	Direct map[string]string `json:"direct,omitempty"`

	// The services listen for each controller apart, and every connection passes a
	// link of the launching process: first the real address, then the link's.
	State map[string]Through `json:"state"`
	Cloud map[string]Through `json:"cloud"`
	// Controllers: their users' address as it is, as the balancer reaches it, and as
	// the workers of each zone do; and their inner address as each peer reaches it.
	Listen   map[string]Through           `json:"listen"`
	Workers  map[string]map[string]string `json:"workers"` // by zone and controller
	Internal map[string]string            `json:"internal"`
	Peers    map[string]map[string]string `json:"peers"` // by controller that asks and controller asked
}

// Through is an address and that of the link before it.
type Through struct {
	Real string `json:"real"`
	Link string `json:"link"`
}

// Ports of processes.
const (
	firstPort = 10_000
	ports     = 20_000
)

// newPlan reserves addresses on a host for every process of a deployment. The
// listeners of links, and that of the control address, are returned open.
func newPlan(s *scenario.Scenario, host, front string, workers int) (*Plan, map[string]net.Listener, error) {
	p := &Plan{Seed: s.Seed, Roles: map[string]string{}, State: map[string]Through{}, Cloud: map[string]Through{}, Listen: map[string]Through{},
		Workers: map[string]map[string]string{}, Internal: map[string]string{}, Peers: map[string]map[string]string{}}
	open := map[string]net.Listener{}
	var taken []net.Listener // held until all are chosen, so that none is chosen twice
	var failed error
	listen := func(addr string) net.Listener {
		l, err := net.Listen("tcp4", addr)
		if err != nil && failed == nil {
			failed = err
		}
		return l
	}
	reserve := func(addr string) string {
		l := listen(addr)
		if l == nil {
			return ""
		}
		taken = append(taken, l)
		return l.Addr().String()
	}
	// A process listens only some time after its port was chosen, and again when it
	// comes back: its port is below those that systems give to connections.
	free := func() string {
		for range 1000 {
			if l, err := net.Listen("tcp4", net.JoinHostPort(host, strconv.Itoa(firstPort+rand.IntN(ports)))); err == nil {
				taken = append(taken, l)
				return l.Addr().String()
			}
		}
		failed = errors.New("no free port")
		return ""
	}
	any := net.JoinHostPort(host, "0")
	link := func() string {
		l := listen(any)
		if l == nil {
			return ""
		}
		open[l.Addr().String()] = l
		return l.Addr().String()
	}
	if front == "" {
		p.Front = free()
	} else {
		p.Front = reserve(front)
	}
	p.Control = link()
	for _, r := range []string{RoleState, RoleCloud, RoleBalance} {
		p.Roles[r] = free()
	}
	p.Direct = map[string]string{}
	for i := range workers {
		role := workerPrefix + strconv.Itoa(i)
		p.Roles[role], p.Direct[role] = free(), free()
	}
	for _, n := range s.Nodes() {
		p.State[n] = Through{free(), link()}
		p.Cloud[n] = Through{free(), link()}
		p.Listen[n] = Through{free(), link()}
		p.Internal[n] = free()
	}
	for _, z := range s.Controllers.Zones {
		p.Workers[z] = map[string]string{}
		for _, n := range s.Nodes() {
			p.Workers[z][n] = link()
		}
	}
	for _, a := range s.Nodes() {
		p.Peers[a] = map[string]string{}
		for _, b := range s.Nodes() {
			if a != b {
				p.Peers[a][b] = link()
			}
		}
	}
	for _, l := range taken {
		_ = l.Close() // reserved no longer
	}
	if failed != nil {
		for _, l := range open {
			_ = l.Close() // not used
		}
		return nil, nil, fmt.Errorf("cannot listen: %w", failed)
	}
	return p, open, nil
}

// write stores a plan, or settings, for the processes that read it.
func write(file string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return err
	}
	next := file + ".next"
	if err := os.WriteFile(next, append(b, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(next, file)
}

// ReadPlan reads a plan.
func ReadPlan(file string) (*Plan, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var p Plan
	if err := json.Unmarshal(b, &p); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &p, nil
}
