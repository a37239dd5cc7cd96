package liveness

import "shalestage.example/shalestage/internal/core/fleet"

// NewestHeartbeats knows the newest heartbeat that has reached this controller from each stored machine. Only a
// newer one shows that the machine's worker reaches this controller now: the network may deliver an old one
// minutes late, when the machine is long deleted.
type NewestHeartbeats map[string]heartbeatPosition

// heartbeatPosition orders the heartbeats of a machine.
type heartbeatPosition struct {
	incarnation, seq uint64
}

func (p heartbeatPosition) newerThan(other heartbeatPosition) bool {
	return p.incarnation > other.incarnation || p.incarnation == other.incarnation && p.seq > other.seq
}

// Record records a heartbeat and reports whether it is newer than all others of its machine.
func (n NewestHeartbeats) Record(heartbeat *fleet.Heartbeat) (newer bool) {
	position := heartbeatPosition{heartbeat.Incarnation, heartbeat.Seq}
	newer = position.newerThan(n[heartbeat.Machine])
	if newer {
		n[heartbeat.Machine] = position
	}
	return newer
}

// Forget removes a machine that is not stored any more.
func (n NewestHeartbeats) Forget(machine string) { delete(n, machine) }
