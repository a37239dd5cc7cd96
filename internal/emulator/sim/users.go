package sim

import (
	"slices"

	"shalestage.example/shalestage/internal/core/binpack"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
	"shalestage.example/shalestage/internal/emulator/machine"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/scenario"
)

const (
	// longToGo is how much longer a job runs that is cancelled by CancelNow, where there are any.
	longToGo = 20 * second
	// mostHanging bounds how many machines of cancelled jobs stand still.
	mostHanging = 8
	// handover is how long after a grant a cancellation counts as told while work changes hands.
	handover = 3 * second
)

// userTroubles are what users do beyond their usual ways.
type userTroubles struct {
	endUntil units.Microseconds // until when jobs are cancelled as they end
	endShare float64            // of those that do
	granted  units.Microseconds // when a block was last granted or released
}

// runningJob is a job that runs, and how much longer its longest task on a machine takes.
type runningJob struct {
	job      *user.Job
	left     units.Microseconds
	machines []*cloudprovider.Machine
}

// runningJobs lists the jobs that run and whose users have not cancelled them.
func (w *World) runningJobs() []*runningJob {
	byID := map[string]*runningJob{}
	var out []*runningJob
	for _, m := range w.Site.Cloud.Alive() {
		k := w.Site.Worker(m.Name)
		if k == nil {
			continue
		}
		for _, t := range k.RemainingTimes(w.now) {
			j := w.Crowd.Job(t.Task.Job)
			if j == nil || !j.Accepted || j.Final != "" {
				continue
			}
			r := byID[j.ID]
			if r == nil {
				r = &runningJob{job: j}
				byID[j.ID] = r
				out = append(out, r)
			}
			r.left = max(r.left, t.Time)
			r.machines = append(r.machines, m)
		}
	}
	return out
}

// cancelNow lets users cancel running jobs at nearly the same time, and some of their
// machines stand still.
func (w *World) cancelNow(f scenario.Fault) {
	all := w.runningJobs()
	w.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b *runningJob) int {
		return boolOrder(a.left < longToGo) - boolOrder(b.left < longToGo)
	})
	all = all[:min(len(all), max(f.Count, 1))]
	var submitted []*user.Job
	hanging := map[string]bool{}
	for _, r := range all {
		submitted = append(submitted, r.job)
		for _, m := range r.machines {
			if f.HangS > 0 && len(hanging) < mostHanging && !hanging[m.Name] {
				hanging[m.Name] = true
				w.Site.Hang(w.now, m, w.now+units.Seconds(f.HangS))
			}
		}
	}
	w.takeSite()
	w.Crowd.CancelSoon(w.now, submitted)
}

// boolOrder puts what is not so first.
func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// oddRequests lets users send requests that make no sense, or none any more, until a time.
func (w *World) oddRequests(until units.Microseconds) {
	if w.now >= until {
		return
	}
	if w.Crowd.OddRequest(w.now) {
		w.happened(scenario.OddRequest)
	}
	w.takeCrowd()
	w.after(w.Crowd.OddPause(), func() { w.oddRequests(until) })
}

// began notes that a task is on a machine.
func (w *World) began(m check.Machine, id jobs.TaskID) {
	before := w.Check.StartsCancelled()
	w.Check.TaskStarted(w.now, m, id)
	if w.Check.StartsCancelled() > before {
		w.happened(scenario.StartCancelled)
	}
}

// ended notes that a task of a job has completed: with the last one the job has ended.
func (w *World) ended(id string) {
	if w.now >= w.users.endUntil && !w.Crowd.LooksClosely(w.now) {
		return
	}
	j := w.Crowd.Job(id)
	if j == nil || !j.Done() {
		return
	}
	w.Crowd.Ended(w.now, j)
	if w.now < w.users.endUntil && w.chance(w.users.endShare) {
		w.happened(scenario.CancelledAtEnd)
		w.Crowd.CancelAtEnd(w.now, j)
	}
}

// cancelTold notes what goes on while a user is told that a job is cancelled.
func (w *World) cancelTold(id string) {
	if w.Check.Running(id) > 0 {
		w.happened(scenario.CancelRunning)
		if w.unreached(id) {
			w.happened(scenario.CancelUnreached)
		}
	}
	if w.Check.AtLimit(id) {
		w.happened(scenario.CancelAtLimit)
	}
	if w.now-w.users.granted < handover || w.Holder(0) == nil {
		w.happened(scenario.CancelInHandover)
	}
	if w.refusedAlone() {
		w.happened(scenario.CancelAlone)
	}
}

// refusedAlone reports whether the state service serves some controllers and refuses others.
func (w *World) refusedAlone() bool {
	refused := 0
	for _, n := range w.Nodes {
		if w.State.IsClientRefused(w.now, n.Name) {
			refused++
		}
	}
	return refused > 0 && refused < len(w.Nodes)
}

// unreached reports whether a task of a job is on a machine that stands still, does not hear,
// or reaches no controller.
func (w *World) unreached(id string) bool {
	for _, m := range w.Site.Cloud.Alive() {
		k := w.Site.Worker(m.Name)
		if k == nil || !slices.ContainsFunc(k.RemainingTimes(w.now), func(t machine.Remaining) bool { return t.Task.Job == id }) {
			continue
		}
		cut := true
		for _, n := range w.Nodes {
			cut = cut && w.net.open(scenario.ZoneParty(m.Zone), n.Name) != carried
		}
		if cut || k.Hung(w.now) || k.InboundCut(w.now) {
			return true
		}
	}
	return false
}

// lookForWaiting shows the checker the room on machines, again and again.
func (w *World) lookForWaiting() {
	w.after(check.WaitingCheckEvery, func() {
		if w.Check.FaultsOver(w.now) {
			w.Check.CheckWaiting(w.now, w.rooms())
		}
		w.lookForWaiting()
	})
}

// unusable is the room on a machine that cannot be used.
var unusable = binpack.Vec{-1, -1, -1}

// rooms lists the machines that are up, with the room that they have.
func (w *World) rooms() (out []check.AvailableMachine) {
	for _, m := range w.Site.Cloud.Alive() {
		k := w.Site.Worker(m.Name)
		if k == nil {
			continue
		}
		r := check.AvailableMachine{Machine: machineOf(m)}
		if r.Free, r.Tasks = k.FreeCapacity(); k.Hung(w.now) || k.InboundCut(w.now) || k.Unreliable() {
			r.Free = unusable
		}
		out = append(out, r)
	}
	return out
}
