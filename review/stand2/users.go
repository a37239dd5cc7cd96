//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"shalestage.example/shalestage/internal/wire"
)

// job is a submission in the words of the protocol.
type job struct {
	id, class, team, urgency string
	daemon, spot, samePlace  bool
	tasks                    int
	cores, cards, memory     float64
	estimate                 float64
	run                      time.Duration
	quiet                    bool // its requests are not recorded
	awaits                   []string
}

func (j *job) body() []byte {
	shape := "sweep"
	if j.daemon {
		shape = "daemon"
	}
	fields := map[string]any{"name_id": j.id, "jobline": j.class, "crew": j.team, "shape": shape, "urgency": j.urgency,
		"cues": j.tasks, "cores": j.cores, "cards": j.cards, "memory_gb": j.memory, "reel": "img-07", "image_gb": 0.1, "rigs": nil, "hall": nil,
		"same_place": j.samePlace, "apart": false, "standby": j.spot, "runtime_s": j.estimate, "bookmark_s": 0.0, "stow_s": 0.0, "curtain_s": nil}
	if j.awaits != nil {
		fields["awaits"] = j.awaits
	}
	b, err := json.Marshal(fields)
	if err != nil {
		panic(err) // plain data
	}
	return b
}

// answer is a controller's answer to a user; code 0: there was none.
type answer struct {
	code   int
	status string
	text   string
}

// users are all users. Each request goes to the next controller that is ready, as behind a load balancer
// that spreads connections.
type users struct {
	s      *stand
	client *http.Client
	next   atomic.Uint64
}

func newUsers(s *stand) *users {
	return &users{s: s, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext, MaxIdleConnsPerHost: 64}}}
}

// call sends a request to a controller; nil: to the next one.
func (u *users) call(n *controller, method, path string, body []byte, wait time.Duration, quiet bool) answer {
	if n == nil {
		n = u.s.nodes[u.next.Add(1)%uint64(len(u.s.nodes))]
	}
	req, err := http.NewRequest(method, "http://"+n.listen+path, bytes.NewReader(body))
	if err != nil {
		return answer{text: err.Error()}
	}
	client := *u.client
	client.Timeout = wait
	var a answer
	resp, err := client.Do(req)
	if err != nil {
		a.text = err.Error()
	} else {
		defer func() { _ = resp.Body.Close() }() // read to its end
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
		a.code, a.text = resp.StatusCode, string(b)
		var st struct {
			Status string `json:"status"`
		}
		if json.Unmarshal(b, &st) == nil {
			a.status = st.Status
		}
	}
	if !quiet {
		u.s.rec.add("%s %s at %s: %d %s", method, path, n.name, a.code, a.text)
	}
	return a
}

// submit submits a job as a user does, for up to 60 s. nodes are the controllers that are asked in turn; none: all.
func (u *users) submit(j *job, nodes ...*controller) error {
	spec, id, err := decode(j)
	if err != nil {
		return err
	}
	u.s.upload(id, spec, j.run)
	if !j.quiet {
		u.s.rec.add("submitting %s", j.body())
	}
	for until, k := time.Now().Add(60*time.Second), 0; time.Now().Before(until); k++ {
		a := u.call(pick(nodes, k), http.MethodPost, wire.JobsPath, j.body(), 5*time.Second, j.quiet)
		switch {
		case a.code == http.StatusCreated || a.code == http.StatusOK:
			return nil
		case a.code == http.StatusBadRequest || a.code == http.StatusUnprocessableEntity:
			return fmt.Errorf("%s: %d %s", j.id, a.code, a.text)
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%s was not accepted", j.id)
}

// abort cancels a job as a user does, and returns what the user was told.
func (u *users) abort(id string, quiet bool, nodes ...*controller) (string, error) {
	for until, k := time.Now().Add(60*time.Second), 0; time.Now().Before(until); k++ {
		if a := u.call(pick(nodes, k), http.MethodPost, wire.JobsPath+"/"+id+"/abort", nil, 5*time.Second, quiet); a.code == http.StatusOK {
			return a.status, nil
		}
		time.Sleep(time.Second)
	}
	return "", fmt.Errorf("%s was not cancelled", id)
}

// poll asks for a job's state.
func (u *users) poll(n *controller, id string) answer {
	return u.call(n, http.MethodGet, wire.JobsPath+"/"+id, nil, 2*time.Second, false)
}

func pick(nodes []*controller, k int) *controller {
	if len(nodes) == 0 {
		return nil
	}
	return nodes[k%len(nodes)]
}
