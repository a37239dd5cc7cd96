//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
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
	"6": forgottenNeed,
	"7": borrowed,
	"8": neverRuns,
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

// borrowed lets one team's services take all machines that the cloud has, more than is guaranteed to the team,
// before another team submits its only job, a small service within its own guarantee.
func borrowed(s *stand, trouble bool) error {
	d := audioruta()
	if trouble {
		d.capacity[cloudprovider.Pool{Type: "condor-32", Zone: quito}] = 15
		for pool := range d.capacity {
			if pool.Spot {
				d.capacity[pool] = 0
			}
		}
	}
	if err := s.launch(d); err != nil {
		return err
	}
	for i := range 4 {
		lent := &job{id: fmt.Sprintf("wk-%06d", 1+i), class: "kiosk", team: "equipo-sierra", urgency: "standard", daemon: true, tasks: 15, cores: 8, memory: 16}
		if err := s.users.submit(lent); err != nil {
			return err
		}
		if err := s.await(40*time.Second, "all replicas of "+lent.id+" run", func() bool { _, n := s.begunOf(lent.id); return n == lent.tasks }); err != nil {
			return err
		}
	}
	owed := &job{id: "wk-000005", class: "kiosk", team: "equipo-costa", urgency: "standard", daemon: true, tasks: 1, cores: 8, memory: 16}
	if err := s.users.submit(owed); err != nil {
		return err
	}
	accepted := s.since()
	for s.since() < accepted+75*time.Second {
		time.Sleep(5 * time.Second)
		s.users.poll(nil, owed.id)
		if begun, _ := s.begunOf(owed.id); begun > 0 {
			return nil
		}
	}
	return broken("%s, all that its team has and 8 of the 320 CPUs guaranteed to it, has waited 75 s for a team that uses 480 CPUs, 160 more than its guarantee", owed.id)
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

// forgottenNeed cancels a job that many others need, and crashes all controllers once the job is archived and
// while the cancellations that follow from its own are being stored.
func forgottenNeed(s *stand, trouble bool) error {
	const needing, shown, aborted = 2200, 60, "aborted"
	d := audioruta()
	d.leaseS, d.cancelS = 6, 10
	d.tuning = map[string]any{"keep_done": 100, "pack_settle_s": 1}
	if err := s.launch(d); err != nil {
		return err
	}
	needed := &job{id: "wk-000001", class: "bundle-pack", team: "equipo-costa", urgency: "standard", tasks: 1, cores: 4, memory: 16, estimate: 600, run: 600 * time.Second}
	if err := s.users.submit(needed); err != nil {
		return err
	}
	s.submitNeeding(needed.id, needing)
	s.rec.add("%d jobs that need %s are accepted", needing, needed.id)
	if status, err := s.users.abort(needed.id, false); err != nil || status != aborted {
		return fmt.Errorf("%s: %q %v", needed.id, status, err)
	}
	told := map[string]bool{}
	for i := needing - shown; i < needing; i++ {
		if a := s.users.poll(nil, needingID(i)); a.status == aborted {
			told[needingID(i)] = true
		}
	}
	s.rec.add("the users of %d of them were told that theirs is aborted too", len(told))
	if len(told) == 0 {
		return fmt.Errorf("nobody was told")
	}
	if err := s.await(40*time.Second, needed.id+" is archived", func() bool { return !s.stored("shalestage/job/" + needed.id) }); err != nil {
		return err
	}
	if trouble {
		for _, n := range s.nodes {
			n.kill()
			s.rec.add("%s is killed", n.name)
		}
		time.Sleep(3 * time.Second)
		for _, n := range s.nodes {
			s.startController(n)
		}
	}
	if err := s.await(20*time.Second, "all controllers are ready", func() bool {
		return s.nodes[0].ready() && s.nodes[1].ready() && s.nodes[2].ready()
	}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var back []string
	for i := needing - shown; i < needing; i++ {
		id := needingID(i)
		if a := s.users.poll(nil, id); told[id] && a.code == http.StatusOK && a.status != aborted {
			back = append(back, id)
		}
	}
	if len(back) == 0 {
		return nil
	}
	time.Sleep(15 * time.Second)
	for _, n := range s.nodes { // what the last of them is called now; the case does not depend on it
		s.users.poll(n, back[len(back)-1])
	}
	return broken("%d of %d jobs that were called aborted, among them %s, are called something else", len(back), len(told), back[0])
}

func needingID(i int) string { return fmt.Sprintf("wk-%06d", 10_000+i) }

// submitNeeding submits jobs that need another one.
func (s *stand) submitNeeding(needed string, count int) {
	const atOnce = 48
	var wg sync.WaitGroup
	for worker := range atOnce {
		wg.Go(func() {
			for i := worker; i < count; i += atOnce {
				j := &job{id: needingID(i), class: "handset-publish", team: "equipo-costa", urgency: "standard", tasks: 1, cores: 1, memory: 6,
					estimate: 1, run: time.Second, quiet: true, awaits: []string{needed}}
				if err := s.users.submit(j); err != nil {
					s.rec.add("%v", err)
				}
			}
		})
	}
	wg.Wait()
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
