package core

import (
	"shalestage.example/shalestage/internal/core/fleet"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// retrySame is how long a job that failed on a machine is tried elsewhere only.
	retrySame = 30 * units.Second
	// longestBackoff bounds the pause between two trials of a job that fails everywhere.
	longestBackoff = 60 * units.Second
	// maxReplaced bounds the machines that are given up for one job alone.
	maxReplaced = 3
)

// taskFailed weighs who is to blame for a failed task. A job that has worked
// elsewhere speaks against the machine, and so do two jobs that have failed on
// no other. A job that has only ever failed, on several machines, speaks against
// itself and for them. While it is open who is to blame, the job goes on with a
// few tasks, on other machines. Where there is no other and it fails there once
// more, the machine is given up so that the job is tried on another; for a job
// that fails everywhere only one on which nothing ever worked, and few of them.
func (c *Core) taskFailed(shard *ownedShard, m *fleet.Machine, j *jobs.Job, a fleet.Attempt) {
	again := j.Errors[m.Name] > 0 && a.Started > m.FailedAt
	m.FailedAt = c.now
	c.log.Debug("task failed", "job", j.ID, "machine", m.Name)
	if j.Worked {
		c.quarantine(shard, m)
		return
	}
	known := j.FailsEverywhere()
	j.Errors[m.Name]++
	if again && (!known || !m.Proven && j.Replaced < maxReplaced) {
		j.Replaced++
		m.Quarantined = true // what speaks against the job stays
		c.log.Warn("machine fails a job again", "machine", m.Name, "job", j.ID)
	}
	if j.FailsEverywhere() {
		j.NotBefore = c.now + min(units.Second<<min(len(j.Errors), 6), longestBackoff)
		if !known {
			c.log.Warn("job fails everywhere", "job", j.ID, "class", j.Spec().Class, "team", j.Spec().Team)
			c.storeVerdict(shard, j)
		}
		return
	}
	if m.Failed == nil {
		m.Failed = map[string]bool{}
	}
	m.Failed[j.ID] = true
	open := 0
	for id := range m.Failed {
		if x := c.jobs.Get(id); x != nil && x.Active() && !x.Worked && !x.FailsEverywhere() {
			open++
		}
	}
	if open > 1 {
		c.quarantine(shard, m)
	}
}

// quarantine has nothing more start on a machine. What failed there says nothing
// against the jobs any more.
func (c *Core) quarantine(shard *ownedShard, m *fleet.Machine) {
	if m.Quarantined {
		return
	}
	m.Quarantined = true
	c.log.Warn("machine fails its tasks", "machine", m.Name)
	for _, j := range shard.active {
		if j.Errors[m.Name] == 0 {
			continue
		}
		delete(j.Errors, m.Name)
		if j.Failing && len(j.Errors) < 2 {
			j.Failing = false
			c.storeVerdict(shard, j)
		}
		if !j.FailsEverywhere() {
			j.NotBefore = min(j.NotBefore, c.now)
			shard.newWork = true
		}
	}
}

// exonerate notes that a suspect job works: the machines on which it failed are
// to blame, unless something has worked there since.
func (c *Core) exonerate(shard *ownedShard, j *jobs.Job) {
	for _, name := range sortedKeys(j.Errors) {
		if m := shard.machines[name]; m != nil && m.Failed[j.ID] {
			c.quarantine(shard, m)
		}
	}
	j.NotBefore = min(j.NotBefore, c.now)
	shard.newWork = true
}

// storeVerdict has it stored with the job's finished tasks that it fails
// everywhere: the next holder need not find out by hundreds of tasks.
func (c *Core) storeVerdict(shard *ownedShard, j *jobs.Job) {
	j.MarkDirty(0)
	shard.writer.StoreProgress(j)
}

// trials is how many tasks of a suspect job may start on a machine.
func (c *Core) trials(m *fleet.Machine, j *jobs.Job) int {
	if j.Errors[m.Name] > 0 && c.now-m.FailedAt < retrySame {
		return 0
	}
	return j.Trials()
}
