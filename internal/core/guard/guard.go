// Package guard names checks of the core that tests leave out one at a time, to see that the rules
// of the protocol break without them (TestPlantedMistakes in internal/rehearse). Nothing in the
// settings can leave one out.
package guard

// Guard is a check that is left out.
type Guard int

// None leaves nothing out, as every deployment does.
const None Guard = iota

// Checks of what machines' heartbeats and probes say.
const (
	HeartbeatToken       Guard = iota + 1 // a heartbeat tells what is on a machine only under its owner's fencing token
	HeartbeatOrder                        // a heartbeat that is older than the last one changes nothing
	ExpiredAttempts                       // attempts that ended with a lease are dropped from later heartbeats
	DeprovisionedMachine                  // a machine that the cloud has confirmed as returned is not taken in again
	ProbeAnswer                           // the answer to a probe counts only before anything was started
)

// Checks of what may still run.
const (
	UnreconciledMachines  Guard = iota + 101 // what runs on earlier owners' machines is unknown until they are reconciled
	ZoneConstraints                          // tasks of one job share a zone, or are spread
	CompleteAfterFailover                    // a job whose tasks are all stored as done is completed by a next owner too
	StandbyAcknowledged                      // a start waits until the standby knows of it
)

// Checks of authority and of freshness.
const (
	Authority          Guard = iota + 201 // an owner answers only while its membership surely stands
	RenewalSendTime                       // a renewal of a lease counts from when it was sent
	PeerLeaseSendTime                     // a peer lease counts from when it was asked for
	MemberRecord                          // a peer lease is granted only to a member whose record is there
	VoteAfterPeerLease                    // no takeover vote while a peer lease runs
	TakeoverMajority                      // a membership is over only by the votes of a majority
	FreshRead                             // users are answered only after a read that began after the request
)
