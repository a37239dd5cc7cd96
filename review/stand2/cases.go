//go:build review

package main

import (
	"fmt"
	"time"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
	"shalestage.example/shalestage/internal/wire"
)

// cases are the cases by the number of their folder. Each returns nil if the rule held, an errBroken if it
// was broken, and any other error if the case could not run. trouble says whether the disruption happens.
var cases = map[string]func(s *stand, trouble bool) error{
	"4": handedOn,
	"5": afterRefusal,
	"6": neverRuns,
	"7": soldOut,
	"8": behindLimit,
}

const quito = "quito-norte"

// condor is the machine type of the first deployment, with a short boot.
func condor() cloudprovider.MachineType {
	return cloudprovider.MachineType{Name: "condor-32", CPUs: 32, MemoryGB: 256, Price: 2.34, SpotPrice: 0.53, CacheGB: 60, FetchGBs: 0.8,
		Boot: 2 * units.Second, Zones: []string{quito}}
}

// audioruta is the first deployment of the brief, with three controllers and short boots.
func audioruta() *deployment {
	return &deployment{controllers: 3, zones: []string{quito}, reportS: 3, leaseS: 18, cancelS: 43, rps: 200, writeRPS: 80, txnOps: 12, cloudRPS: 5, listLagS: 8,
		types:    []cloudprovider.MachineType{condor()},
		capacity: map[cloudprovider.Pool]int{{Type: "condor-32", Zone: quito}: 24, {Type: "condor-32", Zone: quito, Spot: true}: 24},
		teams: []map[string]any{
			{"name": "equipo-sierra", "cpus": 320.0, "cpus_max": 512.0, "gpus": 0.0, "gpus_max": 0.0},
			{"name": "equipo-costa", "cpus": 320.0, "cpus_max": 1152.0, "gpus": 0.0, "gpus_max": 0.0},
			{"name": "equipo-oriente", "cpus": 576.0, "cpus_max": 1280.0, "gpus": 0.0, "gpus_max": 0.0}},
		objectives: []map[string]any{
			{"kind": "finished", "class": "narration-render", "within_s": 90.0, "share": 0.95},
			{"kind": "finished", "class": "narration-render", "within_s": 200.0, "share": 0.97},
			{"kind": "deadline", "class": "translation-pass", "share": 0.975, "times": 1.0},
			{"kind": "deadline", "class": "translation-pass", "share": 0.98, "times": 1.5},
			{"kind": "guarantee", "within_s": 5.0, "share": 0.9}}}
}

func decode(j *job) (*jobs.Spec, string, error) {
	id, spec, err := wire.DecodeSubmission(j.body())
	if err != nil {
		return nil, "", fmt.Errorf("%s: %w", j.id, err)
	}
	return spec, id, nil
}

// neverRuns leaves a service's replica on each of four machines, with room beside it that is too small for a
// task of the array that is submitted next.
func neverRuns(s *stand, trouble bool) error {
	if err := s.launch(audioruta()); err != nil {
		return err
	}
	wide := &job{id: "wk-000001", class: "kiosk-large", team: "equipo-sierra", urgency: "standard", daemon: true, tasks: 4, cores: 20, memory: 16}
	narrow := &job{id: "wk-000002", class: "kiosk-small", team: "equipo-sierra", urgency: "standard", daemon: true, tasks: 4, cores: 12, memory: 16}
	array := &job{id: "wk-000003", class: "bundle-pack", team: "equipo-sierra", urgency: "standard", tasks: 2, cores: 24, memory: 16, estimate: 5, run: 5 * time.Second}
	for _, j := range []*job{wide, narrow} {
		if err := s.users.submit(j); err != nil {
			return err
		}
		if err := s.await(30*time.Second, "all replicas of "+j.id+" run", func() bool { _, n := s.begunOf(j.id); return n == j.tasks }); err != nil {
			return err
		}
	}
	if trouble {
		if _, err := s.users.abort(wide.id, false); err != nil {
			return err
		}
		if err := s.await(20*time.Second, wide.id+" has left the machines", func() bool { _, n := s.begunOf(wide.id); return n == 0 }); err != nil {
			return err
		}
	}
	if err := s.users.submit(array); err != nil {
		return err
	}
	accepted := s.since()
	for s.since() < accepted+75*time.Second {
		s.users.poll(nil, array.id)
		if begun, _ := s.begunOf(array.id); begun >= array.tasks {
			return nil
		}
		time.Sleep(5 * time.Second)
	}
	if begun, _ := s.begunOf(array.id); begun > 0 {
		return nil
	}
	return broken("no task of %s has begun within 75 s, though the cloud has 20 machines of its type to rent", array.id)
}

// soldOut lets renders wait for ordinary machines, of which the cloud has none, while it has spot machines
// for the translations of the same team.
func soldOut(s *stand, trouble bool) error {
	d := audioruta()
	if trouble {
		d.capacity[cloudprovider.Pool{Type: "condor-32", Zone: quito}] = 0
	}
	if err := s.launch(d); err != nil {
		return err
	}
	var all []*job
	for i := range 8 {
		all = append(all, &job{id: fmt.Sprintf("wk-%06d", 100+i), class: "narration-render", team: "equipo-sierra", urgency: "standard",
			tasks: 63, cores: 4, memory: 16, estimate: 15, run: 15 * time.Second})
	}
	for i := range 6 {
		all = append(all, &job{id: fmt.Sprintf("wk-%06d", 200+i), class: "translation-pass", team: "equipo-sierra", urgency: "standard", spot: true,
			tasks: 6, cores: 8, memory: 47, estimate: 25, run: 25 * time.Second})
	}
	for i, j := range all {
		if i > 0 && j.class != all[i-1].class {
			time.Sleep(2 * time.Second) // the renders come first
		}
		if err := s.users.submit(j); err != nil {
			return err
		}
	}
	accepted := s.since()
	for s.since() < accepted+90*time.Second {
		time.Sleep(5 * time.Second)
		s.users.poll(nil, "wk-000200")
		if begun, _ := s.begunOf("wk-000200"); begun > 0 {
			return nil
		}
	}
	for _, j := range all {
		if begun, _ := s.begunOf(j.id); begun > 0 {
			return nil
		}
	}
	return broken("no task was started for 90 s, though the cloud has 24 spot machines for the translations")
}

// behindLimit lets jobs of a team that is at its limit wait in such numbers that a machine is offered to no
// other team.
func behindLimit(s *stand, trouble bool) error {
	d := audioruta()
	d.types[0].GPUs = 4
	d.teams = []map[string]any{
		{"name": "equipo-sierra", "cpus": 320.0, "cpus_max": 512.0, "gpus": 0.0, "gpus_max": 2.0},
		{"name": "equipo-costa", "cpus": 320.0, "cpus_max": 1152.0, "gpus": 0.0, "gpus_max": 0.0}}
	if err := s.launch(d); err != nil {
		return err
	}
	count := 25
	if trouble {
		count *= 4
	}
	for i := range count {
		j := &job{id: fmt.Sprintf("wk-%06d", 100+i), class: "narration-render", team: "equipo-sierra", urgency: "urgent",
			tasks: 1, cores: 1, cards: 1, memory: 4, estimate: 30, run: 30 * time.Second, quiet: i > 2}
		if err := s.users.submit(j); err != nil {
			return err
		}
	}
	s.rec.add("%d jobs of narration-render are accepted", count)
	pass := &job{id: "wk-000900", class: "translation-pass", team: "equipo-costa", urgency: "standard", tasks: 2, cores: 4, memory: 16, estimate: 5, run: 5 * time.Second}
	if err := s.users.submit(pass); err != nil {
		return err
	}
	accepted := s.since()
	for s.since() < accepted+75*time.Second {
		time.Sleep(5 * time.Second)
		s.users.poll(nil, pass.id)
		if begun, _ := s.begunOf(pass.id); begun > 0 {
			return nil
		}
	}
	return broken("%s, all that its team has and 8 of the 320 CPUs guaranteed to it, has waited 75 s for another team", pass.id)
}

// afterRefusal refuses one controller at the state service for a while. A job ends meanwhile, is moved to the
// archive, and more changes are stored than the service keeps.
func afterRefusal(s *stand, trouble bool) error {
	d := audioruta()
	d.leaseS, d.cancelS, d.rps, d.writeRPS = 6, 20, 3000, 1000
	d.tuning = map[string]any{"keep_done": 100, "pack_settle_s": 1}
	if err := s.launch(d); err != nil {
		return err
	}
	apart, others := s.nodes[2], s.nodes[:2]
	one := &job{id: "wk-000001", class: "bundle-pack", team: "equipo-costa", urgency: "standard", tasks: 1, cores: 4, memory: 16, estimate: 6, run: 6 * time.Second}
	if err := s.users.submit(one); err != nil {
		return err
	}
	if err := s.await(20*time.Second, one.id+" runs", func() bool { _, n := s.begunOf(one.id); return n == 1 }); err != nil {
		return err
	}
	if s.users.poll(apart, one.id).status == "" {
		return fmt.Errorf("%s does not answer", apart.name)
	}
	refusedAt := s.since()
	if trouble {
		s.rec.add("the state service refuses %s", apart.name)
		s.refuse(apart, 120*time.Second)
	}
	if err := s.await(20*time.Second, one.id+" is done for its user", func() bool { return s.users.poll(others[0], one.id).status == "done" }); err != nil {
		return err
	}
	from := s.revision()
	s.flood(others, 5400)
	s.rec.add("5400 jobs were accepted and cancelled, revisions %d to %d", from, s.revision())
	if err := s.await(40*time.Second, one.id+" is archived", func() bool { return !s.stored("shalestage/job/" + one.id) }); err != nil {
		return err
	}
	if trouble {
		s.refuse(apart, 0)
		s.rec.add("the state service serves %s again, after %.1f s", apart.name, (s.since() - refusedAt).Seconds())
	}
	time.Sleep(5 * time.Second)
	for range 3 {
		for _, n := range s.nodes {
			if a := s.users.poll(n, one.id); a.code == 200 && a.status != "done" {
				s.showWaiting(apart, one.id)
				return broken("%s was called done, and %s calls it %s", one.id, n.name, a.status)
			}
		}
		time.Sleep(2 * time.Second)
	}
	return nil
}

// showWaiting records what becomes of a job that needs a done one and is submitted at a controller that
// takes that for unfinished. The case does not depend on it.
func (s *stand) showWaiting(n *controller, needed string) {
	next := &job{id: "wk-000002", class: "handset-publish", team: "equipo-costa", urgency: "standard", tasks: 1, cores: 1, memory: 6, estimate: 1, run: time.Second,
		awaits: []string{needed}}
	if err := s.users.submit(next, n); err != nil {
		s.rec.add("%v", err)
		return
	}
	for range 4 {
		time.Sleep(5 * time.Second)
		for _, other := range s.nodes {
			s.users.poll(other, next.id)
		}
	}
}

// audiorutaFleet is the deployment of the page on a whole fleet, with short boots.
func audiorutaFleet() *deployment {
	d := audioruta()
	d.controllers, d.reportS, d.leaseS, d.cancelS, d.rps, d.writeRPS, d.cloudRPS = 5, 6, 31, 56, 350, 150, 7
	return d
}

// handedOn takes back the only machine, on which an accepted job runs.
func handedOn(s *stand, trouble bool) error {
	if err := s.launch(audiorutaFleet()); err != nil {
		return err
	}
	j := &job{id: "wk-000001", class: "translation-pass", team: "equipo-sierra", urgency: "standard", spot: true, tasks: 4, cores: 8, memory: 47,
		estimate: 60, run: 60 * time.Second}
	if err := s.users.submit(j); err != nil {
		return err
	}
	if err := s.await(25*time.Second, "all tasks of "+j.id+" run", func() bool { _, n := s.begunOf(j.id); return n == j.tasks }); err != nil {
		return err
	}
	before, _ := s.begunOf(j.id)
	if trouble {
		s.takeBack()
	}
	from := s.since()
	for s.since() < from+104*time.Second {
		time.Sleep(3 * time.Second)
		s.recordOwners()
		if s.users.poll(nil, j.id).status == "done" {
			return nil
		}
		if begun, _ := s.begunOf(j.id); begun > before {
			return nil
		}
	}
	return broken("no task of %s has begun again for 104 s, though the cloud has 23 machines to rent", j.id)
}
