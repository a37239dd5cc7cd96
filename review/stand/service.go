package main

import (
	"fmt"
	"time"
)

// serviceLost lets all controllers crash while all machines stop with all that is on them, among them those of a
// service.
func serviceLost(s *Site) error {
	places := s.Watch()
	service := &Job{ID: "wk-000001", Tasks: 4, Cores: 26, MemoryGB: 60, Image: "img-1", ImageGB: 0.2, Service: true, Team: "equipo-sierra"}
	batch := &Job{ID: "wk-000002", Tasks: 3, Cores: 26, MemoryGB: 60, Image: "img-1", ImageGB: 0.2, Run: 4 * time.Second, Estimate: 60 * time.Second, Curtain: 70 * time.Second, Team: "equipo-sierra"}
	for _, job := range []*Job{service, batch} {
		if err := s.Submit(job, "standard"); err != nil {
			return err
		}
	}
	if !s.Until(25*time.Second, func() bool { return places.Count(service.ID) == service.Tasks }) {
		return fmt.Errorf("the service does not start")
	}
	if !s.Until(20*time.Second, func() bool { return batch.DoneCount() == batch.Tasks }) {
		return fmt.Errorf("the batch is not done")
	}
	time.Sleep(2 * time.Second)
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
		s.Ask(s.Nodes[0], "GET", "/work/"+service.ID, nil, 2*time.Second)
		s.Record.Printf("checker  %d of %d replicas are on machines", places.Count(service.ID), service.Tasks)
	}
	if n := places.Count(service.ID); n < service.Tasks {
		s.Broken("an accepted job does not run: %d of %d replicas are on machines %.0f s after the controllers are back", n, service.Tasks, s.Record.Now()-back)
	}
	return nil
}
