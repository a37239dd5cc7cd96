package election

import (
	"encoding/json"

	"shalestage.example/shalestage/internal/core/authority"
	"shalestage.example/shalestage/internal/core/store"
	"shalestage.example/shalestage/internal/core/units"
)

// Leadership is one term of this controller's as the leader. It is of no use once the
// election has another or none: the state service refuses what it writes then.
type Leadership struct {
	election    *Election
	term        uint64
	version     uint64 // of the leader record; guards every write
	assignments uint64 // numbers of assignments that were given in this term
	writing     bool
	retryAt     units.Microseconds // nothing is planned before
}

// Term returns the leader's term.
func (l *Leadership) Term() uint64 { return l.term }

// NextAssignment returns a number that no other assignment of this term has, so that the
// fencing tokens of a shard's assignments only rise.
func (l *Leadership) NextAssignment() (number uint64) {
	l.assignments++
	return l.assignments
}

// Writing reports whether a write is under way. The leader makes one at a time, as each is
// decided by what the last one stored.
func (l *Leadership) Writing() bool { return l.writing }

// MayPlan reports whether the leader may decide what to write next.
func (l *Leadership) MayPlan(now units.Microseconds) bool { return !l.writing && now >= l.retryAt }

// Guard is the condition that this controller still leads.
func (l *Leadership) Guard() store.Guard {
	return store.Guard{Key: l.election.Key(), Version: l.version}
}

// Record is the leader record of this term, for a membership.
func (l *Leadership) Record(memberID uint64) authority.LeaderRecord {
	return authority.LeaderRecord{Term: l.term, Node: l.election.cfg.Node, MemberID: memberID}
}

// Write queues a change that only the leader of this term may make.
func (l *Leadership) Write(guards []store.Guard, changes ...store.Change) {
	l.writing = true
	host := l.election.host
	host.Store(&store.Write{
		Guards:  append(guards, l.Guard()),
		Changes: changes,
		Done: func(o store.Outcome, _ uint64) {
			l.writing = false
			if o == store.TooLarge {
				l.retryAt = host.Now() + tooLargeRetry
			}
		},
	})
}

// excludedNode is the name of the leader that the exclusion record claims. It is no
// controller's.
const excludedNode = "release-4"

// ExclusionRecord is what stands at keys.Leader once finished jobs are archived: a controller
// of an older release that is started afterwards takes it for another's leadership. So it
// never leads, owns nothing and learns no machine types, and it is never ready and accepts
// nothing. It would not find what is archived.
func (l *Leadership) ExclusionRecord() authority.LeaderRecord {
	return authority.LeaderRecord{Term: l.term, Node: excludedNode}
}

// IsExclusionRecord reports whether a leader record is the one that keeps older releases out.
func IsExclusionRecord(record []byte) bool {
	var r authority.LeaderRecord
	return json.Unmarshal(record, &r) == nil && r.Node == excludedNode
}
