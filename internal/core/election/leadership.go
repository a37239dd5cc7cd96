package election

import (
	"encoding/json"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Leadership is one term of this controller as the leader. Once the election has another leadership or none,
// the state service rejects its writes.
type Leadership struct {
	election    *Election
	term        uint64
	version     uint64 // version of the leader record; guards every write
	assignments uint64 // assignment numbers issued in this term
	writing     bool
	retryAt     units.Microseconds // nothing is planned before this time
}

// Term returns the leader's term.
func (l *Leadership) Term() uint64 { return l.term }

// NextAssignment returns an assignment number that is unique in this term, so that the fencing tokens of a
// shard's assignments only increase.
func (l *Leadership) NextAssignment() (number uint64) {
	l.assignments++
	return l.assignments
}

// Writing reports whether a write is in flight. The leader has only one write in flight, as each depends on
// what the previous one stored.
func (l *Leadership) Writing() bool { return l.writing }

// MayPlan reports whether the leader may plan its next write.
func (l *Leadership) MayPlan(now units.Microseconds) bool { return !l.writing && now >= l.retryAt }

// Guard returns the condition that this controller still leads.
func (l *Leadership) Guard() store.Guard {
	return store.Guard{Key: l.election.Key(), Version: l.version}
}

// Record returns the leader record of this term for a membership.
func (l *Leadership) Record(memberID uint64) authority.LeaderRecord {
	return authority.LeaderRecord{Term: l.term, Node: l.election.cfg.Node, MemberID: memberID}
}

// Write queues changes that only the leader of this term may make.
func (l *Leadership) Write(guards []store.Guard, changes ...store.Change) {
	l.writing = true
	host := l.election.host
	host.Store(&store.Write{
		Guards:  append(guards, l.Guard()),
		Changes: changes,
		Done: func(o store.Outcome, _ uint64) {
			l.writing = false
			if o == store.TooLarge {
				l.retryAt = host.Now() + tooLargeRetryDelay
			}
		},
	})
}

// exclusionLeader is the leader's name in the exclusion record. No controller has this name.
const exclusionLeader = "release-4"

// ExclusionRecord returns the record that is stored at keys.Leader once finished jobs are archived. A
// controller of an older release that starts afterwards takes it for another controller's leadership. Such a
// controller never leads, owns no shards, learns no machine types, never becomes ready and accepts no
// requests. This is intended, as it would not find archived jobs.
func (l *Leadership) ExclusionRecord() authority.LeaderRecord {
	return authority.LeaderRecord{Term: l.term, Node: exclusionLeader}
}

// IsExclusionRecord reports whether a stored leader record is the one that excludes older releases.
func IsExclusionRecord(record []byte) bool {
	var r authority.LeaderRecord
	return json.Unmarshal(record, &r) == nil && r.Node == exclusionLeader
}
