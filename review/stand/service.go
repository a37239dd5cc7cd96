package main

import (
	"fmt"
	"time"
)

// serviceLost lets all controllers crash while all machines stop with all that is on them, among them those of four
// services of one replica each.
func serviceLost(s *Site) error {
	places := s.Watch()
	var services []*Job
	for i := range 4 {
		services = append(services, &Job{ID: fmt.Sprintf("wk-%06d", i+1), Tasks: 1, Cores: 26, MemoryGB: 60, Image: "img-1", ImageGB: 0.04, Service: true, Team: "equipo-sierra"})
	}
	batch := &Job{ID: "wk-000009", Tasks: 3, Cores: 26, MemoryGB: 60, Image: "img-1", ImageGB: 0.04, Run: 4 * time.Second, Estimate: 60 * time.Second, Curtain: 70 * time.Second, Team: "equipo-sierra"}
	for _, job := range append([]*Job{batch}, services...) {
		if err := s.Submit(job, "standard"); err != nil {
			return err
		}
	}
	running := func() (n int) {
		for _, job := range services {
			n += places.Count(job.ID)
		}
		return n
	}
	if !s.Until(30*time.Second, func() bool { return running() == len(services) && batch.DoneCount() == batch.Tasks }) {
		return fmt.Errorf("the services do not start, or the batch does not end")
	}
	time.Sleep(time.Second)
	back := s.Record.Now()
	if s.Trouble {
		for _, n := range s.Nodes {
			n.Kill()
		}
		for _, w := range s.Fleet.Workers() {
			s.Fleet.Die(w)
		}
		time.Sleep(3 * time.Second)
		for _, n := range s.Nodes {
			if err := n.Start(); err != nil {
				return err
			}
		}
		back = s.Record.Now()
	}
	for ; s.Record.Now() < 106; time.Sleep(5 * time.Second) {
		s.Record.Printf("checker  %d of %d services are on machines", running(), len(services))
	}
	for _, job := range services {
		a := s.Ask(s.Nodes[0], "GET", "/work/"+job.ID, nil, 2*time.Second)
		if places.Count(job.ID) == 0 {
			s.Broken("an accepted job does not run: %s, accepted before the trouble, is %s %.0f s after the controllers are back", job.ID, a.Status, s.Record.Now()-back)
		}
	}
	return nil
}
