// Package guard names checks of the core that tests leave out one at a time, to see that
// the rules of the protocol break without them. Nothing in the settings can leave one out.
package guard

// Guard is a check that is left out.
type Guard int

// None leaves nothing out, as every deployment does.
const None Guard = iota

// Checks of what machines report.
const (
	ReportToken     Guard = iota + 1 // a report tells what is on a machine only under its holder's token
	ReportOrder                      // a report that is older than the last one changes nothing
	VoidAttempts                     // attempts that ended with a lease are dropped from later reports
	ReturnedMachine                  // a machine that the cloud calls gone is not taken in again
	DirectAnswer                     // an answer to a direct request counts only before anything was started
)

// Checks of what may still run.
const (
	Unaccounted   Guard = iota + 101 // machines of earlier holders are unknown until they report
	ZoneOfJob                        // tasks of one job share a zone, or are spread
	CloseAgain                       // a job whose tasks are all stored as done is closed by a next holder too
	FollowerKnows                    // a start waits until the follower knows of it
)

// Checks of authority and of freshness.
const (
	Authority     Guard = iota + 201 // a holder answers only while its seat surely stands
	RenewalSent                      // a renewal counts from when it was sent
	PromiseAsked                     // a promise counts from when it was asked for
	PromiseRecord                    // a promise is given only for a seat whose record is there
	PermitPromise                    // no permit while a promise runs
	Majority                         // a seat is over only by permit of a majority
	FreshRead                        // users are answered only after a read that began after the question
)
