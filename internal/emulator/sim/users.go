package sim

import (
	"slices"

	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
	"shalestage.example/shalestage/internal/emulator/check"
	"shalestage.example/shalestage/internal/emulator/cloudprovider"
	"shalestage.example/shalestage/internal/emulator/machine"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/scenario"
)

const (
	// longRemaining is the remaining run time from which CancelNow prefers a job.
	longRemaining = 20 * second
	// maxHangingMachines bounds the machines of cancelled jobs that hang.
	maxHangingMachines = 8
	// handoverWindow is the time after a shard assignment in which a cancellation counts as reported during a
	// handover.
	handoverWindow = 3 * second
)

// userFaultState is the state of the faults that users cause.
type userFaultState struct {
	cancelAtEndUntil units.Microseconds // jobs that finish until then may be cancelled at that moment
	cancelAtEndShare float64            // share of these jobs that are cancelled
	lastAssignmentAt units.Microseconds // when a shard was last assigned or released
}

// runningJob is a job with tasks on machines, and the remaining run time of the longest of these tasks.
type runningJob struct {
	job       *user.Job
	remaining units.Microseconds
	machines  []*cloudprovider.Machine
}

// runningJobs returns the accepted jobs that have tasks on machines and are not final as far as their users know.
func (w *World) runningJobs() []*runningJob {
	byID := map[string]*runningJob{}
	var out []*runningJob
	for _, m := range w.Site.Cloud.Alive() {
		worker := w.Site.Worker(m.Name)
		if worker == nil {
			continue
		}
		for _, task := range worker.RemainingTimes(w.now) {
			job := w.Users.Job(task.Task.Job)
			if job == nil || !job.Accepted || job.FinalStatus != "" {
				continue
			}
			running := byID[job.ID]
			if running == nil {
				running = &runningJob{job: job}
				byID[job.ID] = running
				out = append(out, running)
			}
			running.remaining = max(running.remaining, task.Time)
			running.machines = append(running.machines, m)
		}
	}
	return out
}

// cancelNow makes users cancel running jobs at nearly the same time, and makes some of the jobs' machines
// hang.
func (w *World) cancelNow(fault scenario.Fault) {
	all := w.runningJobs()
	w.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b *runningJob) int {
		return boolOrder(a.remaining < longRemaining) - boolOrder(b.remaining < longRemaining)
	})
	all = all[:min(len(all), max(fault.Count, 1))]
	var submitted []*user.Job
	hanging := map[string]bool{}
	for _, r := range all {
		submitted = append(submitted, r.job)
		for _, m := range r.machines {
			if fault.HangS > 0 && len(hanging) < maxHangingMachines && !hanging[m.Name] {
				hanging[m.Name] = true
				w.Site.Hang(w.now, m, w.now+units.Seconds(fault.HangS))
			}
		}
	}
	w.handleSiteEvents()
	w.Users.CancelSoon(w.now, submitted)
}

// boolOrder orders false before true.
func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// oddRequests makes users send invalid or outdated requests until the given time.
func (w *World) oddRequests(until units.Microseconds) {
	if w.now >= until {
		return
	}
	if w.Users.SendInvalidRequest(w.now) {
		w.recordEvent(scenario.OddRequest)
	}
	w.handleUserEvents()
	w.schedule(w.Users.DrawInvalidRequestDelay(), func() { w.oddRequests(until) })
}

// recordTaskStart reports the start of a task to the checker.
func (w *World) recordTaskStart(m check.Machine, id jobs.TaskID) {
	before := w.Check.StartsCancelled()
	w.Check.TaskStarted(w.now, m, id)
	if w.Check.StartsCancelled() > before {
		w.recordEvent(scenario.StartCancelled)
	}
}

// recordTaskCompletion records that a task of a job has completed. If all tasks have, the job may be
// cancelled at that moment.
func (w *World) recordTaskCompletion(id string) {
	if w.now >= w.userFaults.cancelAtEndUntil && !w.Users.ProbingReads(w.now) {
		return
	}
	job := w.Users.Job(id)
	if job == nil || !job.Done() {
		return
	}
	w.Users.LastTaskEnded(w.now, job)
	if w.now < w.userFaults.cancelAtEndUntil && w.chance(w.userFaults.cancelAtEndShare) {
		w.recordEvent(scenario.CancelledAtEnd)
		w.Users.CancelAtEnd(w.now, job)
	}
}

// recordReportedCancel records the conditions under which a user is told that a job is cancelled.
func (w *World) recordReportedCancel(id string) {
	if w.Check.Running(id) > 0 {
		w.recordEvent(scenario.CancelRunning)
		if w.jobUnreachable(id) {
			w.recordEvent(scenario.CancelUnreached)
		}
	}
	if w.Check.AtLimit(id) {
		w.recordEvent(scenario.CancelAtLimit)
	}
	if w.now-w.userFaults.lastAssignmentAt < handoverWindow || w.ShardOwner(0) == nil {
		w.recordEvent(scenario.CancelInHandover)
	}
	if w.someNodesRefused() {
		w.recordEvent(scenario.CancelAlone)
	}
}

// someNodesRefused reports whether the state service serves some controllers and refuses others.
func (w *World) someNodesRefused() bool {
	refused := 0
	for _, n := range w.Nodes {
		if w.State.IsClientRefused(w.now, n.Name) {
			refused++
		}
	}
	return refused > 0 && refused < len(w.Nodes)
}

// jobUnreachable reports whether a task of a job is on a machine that hangs, receives no messages, or reaches
// no controller.
func (w *World) jobUnreachable(id string) bool {
	for _, m := range w.Site.Cloud.Alive() {
		worker := w.Site.Worker(m.Name)
		if worker == nil || !slices.ContainsFunc(worker.RemainingTimes(w.now), func(t machine.Remaining) bool { return t.Task.Job == id }) {
			continue
		}
		cut := true
		for _, n := range w.Nodes {
			cut = cut && w.net.connect(scenario.ZoneParty(m.Zone), n.Name) != delivered
		}
		if cut || worker.Hung(w.now) || worker.InboundCut(w.now) {
			return true
		}
	}
	return false
}

// scheduleWaitingCheck reports the free capacity of machines and of the cloud to the checker every check.WaitingCheckEvery,
// once all faults are over.
func (w *World) scheduleWaitingCheck() {
	w.schedule(check.WaitingCheckEvery, func() {
		if w.Check.FaultsOver(w.now) {
			available := w.availableMachines()
			w.Check.CheckWaiting(w.now, available)
			w.Check.CheckProvisioning(w.now, available, w.poolsWithCapacity())
			if w.oneShard() {
				w.Check.CheckNominalQuotas(w.now, available)
			}
		}
		w.scheduleWaitingCheck()
	})
}

// oneShard reports whether the first shard has an owner, and no other shard has one.
func (w *World) oneShard() bool {
	for shard := 1; shard < len(w.Nodes); shard++ {
		if w.ShardOwner(shard) != nil {
			return false
		}
	}
	return w.ShardOwner(0) != nil
}

// poolsWithCapacity returns a machine of each pool in which the cloud has capacity.
func (w *World) poolsWithCapacity() (out []check.Machine) {
	for _, pool := range w.Site.Cloud.PoolsWithCapacity(w.now) {
		out = append(out, check.Machine{Type: pool.Type, Zone: pool.Zone, Spot: pool.Spot})
	}
	return out
}

// availableMachines returns the machines that are up, with their free capacity.
func (w *World) availableMachines() (out []check.AvailableMachine) {
	for _, m := range w.Site.Cloud.Alive() {
		worker := w.Site.Worker(m.Name)
		if worker == nil {
			continue
		}
		available := check.AvailableMachine{Machine: machineOf(m)}
		if available.Free, available.Tasks = worker.FreeCapacity(); worker.Hung(w.now) || worker.InboundCut(w.now) || worker.Unreliable() {
			available.Free = check.Unusable
		}
		out = append(out, available)
	}
	return out
}
