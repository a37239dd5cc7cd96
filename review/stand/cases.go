package main

import (
	"fmt"
	"sync"
	"time"
)

// cases returns the settings of a case and what it does; nil if there is no such case.
func cases(name string) (Settings, aCase) {
	switch name {
	case "stale-report":
		set := Quito()
		set.Capacity = 11 // the cloud has no more machines of this type
		return set, staleReport
	case "service":
		return Quito(), serviceLost
	case "foreign":
		set := QuitoFleet()
		set.Capacity = 8
		return set, foreignAnswer
	}
	return Settings{}, nil
}

// staleReport lets all controllers crash while nine of eleven machines hang. The machines go on, hang once more
// and go on again, within their leases each time.
func staleReport(s *Site) error {
	places := s.Watch()
	long := &Job{ID: "wk-000001", Tasks: 9, Cores: 26, MemoryGB: 60, Image: "img-1", ImageGB: 0.04, Run: 75 * time.Second, Curtain: 85 * time.Second, Team: "equipo-sierra"}
	short := &Job{ID: "wk-000002", Tasks: 2, Cores: 26, MemoryGB: 60, Image: "img-1", ImageGB: 0.04, Run: 16 * time.Second, Estimate: 40 * time.Second, Team: "equipo-sierra"}
	for _, job := range []*Job{short, long} {
		if err := s.Submit(job, "standard"); err != nil {
			return err
		}
	}
	if !s.Until(30*time.Second, func() bool { return places.Count(long.ID) == 9 && places.Count(short.ID) == 2 }) {
		return fmt.Errorf("the tasks do not start")
	}
	var hanging []*Worker
	for _, w := range s.Fleet.Workers() {
		for _, cue := range w.Tasks() {
			if cue[:len(long.ID)] == long.ID {
				hanging = append(hanging, w)
			}
		}
	}
	if len(hanging) != 9 {
		return fmt.Errorf("%d machines have tasks of the long job", len(hanging))
	}
	time.Sleep(3 * time.Second)
	if s.Trouble {
		crashWhileMachinesHang(s, hanging)
	}
	// The long job's tasks run for 70 s.
	time.Sleep(45 * time.Second)
	return nil
}

func crashWhileMachinesHang(s *Site, hanging []*Worker) {
	owner := hanging[0].reportsTo()
	var mu sync.Mutex
	asked, again := map[*Worker]bool{}, map[*Worker]bool{}
	for _, w := range hanging {
		w.OnCommand = func() {
			mu.Lock()
			defer mu.Unlock()
			if !asked[w] { // the new owner asks the machine what it runs; the machine goes on 0.8 s later
				asked[w] = true
				time.AfterFunc(800*time.Millisecond, func() { w.Hang(false) })
			}
		}
	}
	s.Fleet.OnAnswer = func(w *Worker, code int, node string, tally uint64, sent time.Time, body []byte) {
		mu.Lock()
		defer mu.Unlock()
		if asked[w] && !again[w] && code == 200 {
			again[w] = true
			s.Record.Printf("report   %s: report %d to %s is answered with 200 %s", w.Name, tally, node, body)
			time.AfterFunc(250*time.Millisecond, func() { w.Hang(true) })
			time.AfterFunc(time.Until(sent.Add(time.Duration((s.Fleet.LeaseS-0.2)*float64(time.Second)))), func() { w.Hang(false) })
		}
	}
	for _, w := range hanging {
		s.Until(time.Second, func() bool { return !w.InFlight() })
		w.Hang(true)
	}
	time.Sleep(4 * time.Second)
	for _, n := range s.Nodes {
		n.Kill()
	}
	time.Sleep(2800 * time.Millisecond)
	for _, n := range s.Nodes {
		if n.Name == owner {
			_ = n.Start()
		}
	}
	time.Sleep(600 * time.Millisecond)
	for _, n := range s.Nodes {
		if n.Name != owner {
			_ = n.Start()
		}
	}
}

// reportsTo returns the controller that the worker reports to.
func (w *Worker) reportsTo() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fleet.Nodes[w.node]
}
