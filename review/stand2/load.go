//go:build review

package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
	"shalestage.example/shalestage/internal/emulator/kv"
	"shalestage.example/shalestage/internal/emulator/site"
)

// refuse lets the state service answer 503 to one controller for a time; 0: no longer.
func (s *stand) refuse(n *controller, wait time.Duration) {
	s.state.Do(func(now units.Microseconds, m *kv.Service) {
		m.RefuseClient(n.name, now+units.Microseconds(wait.Microseconds()))
	})
}

// takeBack takes back all spot machines at once and without notice.
func (s *stand) takeBack() {
	s.cloud.Do(func(now units.Microseconds, st *site.Site) {
		for _, m := range st.PickMachines(100, func(m *cloudprovider.Machine) bool { return m.Spot }) {
			s.rec.add("the cloud takes %s back", m.Name)
			st.Reclaim(now, m, 0, 1)
		}
	})
}

// recordOwners records which controllers say that they hold the machines, and by which token. No case
// depends on it.
func (s *stand) recordOwners() {
	for _, n := range s.nodes {
		resp, err := probeClient.Get("http://" + n.listen + "/metrics")
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // read to its end
		for line := range strings.SplitSeq(string(text), "\n") {
			if strings.HasPrefix(line, "shalestage_block_token{") || strings.HasPrefix(line, "shalestage_block_held_seconds{") {
				s.rec.add("%s: %s", n.name, line)
			}
		}
	}
}

// revision returns the revision of the state service.
func (s *stand) revision() (rev uint64) {
	s.state.Do(func(_ units.Microseconds, m *kv.Service) { rev = m.Rev() })
	return rev
}

// stored reports whether the state service has a key.
func (s *stand) stored(key string) (found bool) {
	s.state.Do(func(_ units.Microseconds, m *kv.Service) {
		m.ForEach(func(it kv.Item) { found = found || it.Key == key })
	})
	return found
}

// flood submits jobs at some controllers and cancels each at once.
func (s *stand) flood(nodes []*controller, count int) {
	const atOnce = 64
	var wg sync.WaitGroup
	for worker := range atOnce {
		wg.Go(func() {
			for i := worker; i < count; i += atOnce {
				j := &job{id: fmt.Sprintf("wk-%06d", 100_000+i), class: "clip-probes", team: "equipo-oriente", urgency: "best_effort",
					tasks: 1, cores: 32, memory: 200, estimate: 600, run: 600 * time.Second, quiet: true}
				node := nodes[i%len(nodes)]
				if err := s.users.submit(j, node); err != nil {
					s.rec.add("%v", err)
					continue
				}
				if _, err := s.users.abort(j.id, true, node); err != nil {
					s.rec.add("%v", err)
				}
			}
		})
	}
	wg.Wait()
}
