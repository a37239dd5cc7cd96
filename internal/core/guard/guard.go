// Package guard names the checks of the core that tests disable one at a
// time, to verify that the protocol's invariants break without them
// (TestRemovedGuardsDetected in internal/rehearse). No setting can disable them.
package guard

// Guard is a check to disable.
type Guard int

// None disables no check. It is the value in every deployment.
const None Guard = iota

// Checks of what machines' heartbeats and probes say.
const (
	HeartbeatToken       Guard = iota + 1 // a heartbeat's task list counts only under its owner's fencing token
	HeartbeatOrder                        // a heartbeat that is older than the last one has no effect
	ExpiredAttempts                       // attempts that ended with a lease are dropped from later heartbeats
	DeprovisionedMachine                  // a machine whose deletion the cloud has confirmed is not registered again
	ProbeAnswer                           // the answer to a probe counts only before any task was started
	OvertakenLease                        // a response to a heartbeat that a probe's answer overtook is accounted as a lease renewal
	InactiveTasks                         // a response to an unconfirmed heartbeat stops the tasks of finished jobs
)

// Checks of what may still run.
const (
	UnreconciledMachines  Guard = iota + 101 // tasks on machines of earlier owners are unknown until they are reconciled
	ZoneConstraints                          // a job's tasks share a zone or are spread over zones, as its spec demands
	CompleteAfterFailover                    // the next owner completes a job whose tasks are all stored as done
	StandbyAcknowledged                      // a start command is sent only after the standby has acknowledged it
)

// Checks of authority and of freshness.
const (
	Authority          Guard = iota + 201 // an owner answers only while its membership is certain to be valid
	RenewalSendTime                       // a lease renewal counts from the time when it was sent
	PeerLeaseSendTime                     // a peer lease counts from the time when it was requested
	MemberRecord                          // a peer lease is granted only to a member whose record exists
	VoteAfterPeerLease                    // no takeover vote is given while a peer lease is valid
	TakeoverMajority                      // a membership is declared over only by the votes of a majority
	FreshRead                             // users are answered only from a read that began after the request
	AnswerOrigin                          // an answer to a forwarded request counts only for the process, the controller and the job of that request
)
