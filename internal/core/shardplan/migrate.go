package shardplan

import (
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/core/keys"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

const (
	// migrationsPerRound bounds the jobs that migrate from a shard in a round.
	migrationsPerRound = 8
	// unevenBy is how much more work for its capacity a shard must have than another before
	// jobs migrate.
	unevenBy = 1.3
)

// OwnedShard is a shard that this controller owns. It stays the same value while the
// controller owns the shard under one assignment.
type OwnedShard interface {
	Number() int
	// Guard is the condition that the shard is still assigned to this controller.
	Guard() store.Guard
	// Owned reports whether the controller still owns it under the same assignment.
	Owned() bool
}

// Migrate gives jobs of a shard of which nothing is placed to the shard that has the least
// work for its capacity. Such a job runs on none of this shard's machines, and on no other's:
// so another owner may start it, once that is stored. ordered are the shard's jobs, those
// that are served first at the beginning: the last ones migrate.
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
		// The order may be from before a job went to another shard: migrated once more from
		// here, under this assignment, it could be running there.
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

// worthMigrating reports whether a shard is closed, or has much more work for its capacity
// than another would have with the job.
func (p *Planner) worthMigrating(from, target int, work float64) bool {
	into := p.loads.byShard[target]
	into.work += work
	closed := p.records.Allocation(from).Fraction < nothing
	return closed || p.loads.relative(p.loads.byShard[from]) >= unevenBy*p.loads.relative(into)
}

// storeMigration stores that a job belongs to another shard. Until the outcome is certain
// the job is neither started here nor is the try given up: a transaction that comes late
// would move a job that runs.
func (p *Planner) storeMigration(owned OwnedShard, job *jobs.Job, target int) {
	job.SetMigrating(true)
	key := keys.Job(job.ID)
	record := job.Record
	record.Shard = target
	// Once the record says otherwise, whoever owns the job's shard now starts anew.
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
