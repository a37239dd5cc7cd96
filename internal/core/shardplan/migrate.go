package shardplan

import (
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// migrationsPerRound limits how many jobs migrate from a shard in one round.
	migrationsPerRound = 8
	// imbalanceFactor is the ratio between the relative loads of two shards (see loads.relative) from which
	// jobs migrate.
	imbalanceFactor = 1.3
)

// OwnedShard is a shard that this controller owns. It remains the same value while the controller owns the
// shard under one assignment.
type OwnedShard interface {
	Number() int
	// Guard returns the condition that the shard is still assigned to this controller.
	Guard() store.Guard
	// Owned reports whether the controller still owns the shard under the same assignment.
	Owned() bool
}

// Migrate moves jobs of which nothing is placed from an owned shard to the shard with the least work relative
// to its capacity. Such a job runs on no machine of this shard or of any other, so another owner may start it
// once the migration is stored. ordered holds the shard's jobs, those that are served first at the beginning;
// the last ones migrate.
func (p *Planner) Migrate(now units.Microseconds, owned OwnedShard, ordered []*jobs.Job) {
	p.measure(now)
	from, target := owned.Number(), p.leastLoaded()
	byShard := p.loads.byShard
	if target == from || target >= len(byShard) || from >= len(byShard) {
		return
	}
	migrated := 0
	for i := len(ordered) - 1; i >= 0 && migrated < migrationsPerRound; i-- {
		job := ordered[i]
		// The order may be older than a job's migration to another shard. The job could be running there when
		// it is migrated from here once more, under this assignment.
		if job.Record.Shard != from || !job.Active() || job.Migrating || !job.Migratable() {
			continue
		}
		work := remainingWork(job)
		if !p.worthMigrating(from, target, work) || len(job.Record.Encode()) > p.cfg.ValueMax {
			continue
		}
		migrated++
		byShard[from].work -= work
		byShard[target].work += work
		p.storeMigration(owned, job, target)
	}
}

// worthMigrating reports whether a shard is closed, or has so much more work relative to its capacity than
// the target would have with the job that the job should migrate.
func (p *Planner) worthMigrating(from, target int, work float64) bool {
	into := p.loads.byShard[target]
	into.work += work
	closed := p.records.Allocation(from).Fraction < negligibleFraction
	return closed || p.loads.relative(p.loads.byShard[from]) >= imbalanceFactor*p.loads.relative(into)
}

// storeMigration stores that a job belongs to another shard. While the write is in doubt, the job is not
// started here and the migration is not given up: a delayed transaction would move a job that is running.
func (p *Planner) storeMigration(owned OwnedShard, job *jobs.Job, target int) {
	job.SetMigrating(true)
	key := keys.Job(job.ID)
	record := job.Record
	record.Shard = target
	// If the job's record names another shard, the migration is stored, and the owner of that shard schedules
	// the job from the beginning.
	pending := func() bool { return owned.Owned() && job.Active() && job.Record.Shard == owned.Number() }
	p.host.Store(&store.Write{
		Guards:  []store.Guard{{Key: key, Version: job.Version}, owned.Guard()},
		Changes: []store.Change{{Key: key, Value: record.Encode()}},
		Done: func(o store.Outcome, _ uint64) {
			if o == store.OK || !pending() {
				return
			}
			p.host.ReadFresh(func(bool) {
				switch {
				case !pending():
				case (o == store.Failed || o == store.TooLarge) && job.Version == p.host.Version(key):
					job.SetMigrating(false) // that transaction can never be carried out
				default:
					p.storeMigration(owned, job, target)
				}
			})
		},
	})
}
