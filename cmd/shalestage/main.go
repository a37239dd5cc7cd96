// Command shalestage is the cluster scheduler: a controller, and the commands that
// start a whole deployment, submit jobs to it and rehearse failures.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"shalestage.example/shalestage/internal/explore/authority"
	"shalestage.example/shalestage/internal/explore/cancelling"
	"shalestage.example/shalestage/internal/explore/following"
	"shalestage.example/shalestage/internal/explore/renewal"
)

const version = "0.10.0"

// Exit statuses. Those of status tell a job's state to scripts.
const (
	exitFailed    = 1 // the service refused, a rule was broken, or jobs are not over
	exitUnusable  = 2 // unusable input: a file, an argument, a port
	exitNotOver   = 3
	exitCancelled = 4
	exitNoSuchJob = 5
)

// exit is an error with a status of its own.
type exit struct {
	code int
	err  error // nil: nothing to say
}

func (e exit) Error() string {
	if e.err == nil {
		return fmt.Sprintf("exit status %d", e.code)
	}
	return e.err.Error()
}

func unusable(err error) error { return exit{exitUnusable, err} }

type commands struct {
	Serve      serveCmd         `cmd:"" default:"withargs" help:"Run a controller (what --config FILE alone does)."`
	Up         upCmd            `cmd:"" help:"Start a whole deployment on this machine and run a workload on it."`
	Submit     submitCmd        `cmd:"" help:"Submit the jobs of a file."`
	Status     statusCmd        `cmd:"" help:"Tell the state of jobs."`
	Cancel     cancelCmd        `cmd:"" help:"Cancel jobs."`
	Jobs       jobsCmd          `cmd:"" help:"List the jobs that were submitted from here."`
	Fault      faultCmd         `cmd:"" help:"Let something go wrong in a running deployment."`
	Rehearse   rehearseCmd      `cmd:"" help:"Play scenarios from a seed and check every rule."`
	Load       loadCmd          `cmd:"" help:"Ask a deployment at set rates, and tell how it bears them."`
	Scale      scaleCmd         `cmd:"" help:"Run regions of real controllers at a share of a target size, and tell what they reach and spend."`
	Explore    exploreCmd       `cmd:"" help:"Look for two holders of a block in all orders of what can happen."`
	Experiment experimentCmd    `cmd:"" help:"Play settings against each other and tell what is more than noise."`
	Backup     backupCmd        `cmd:"" help:"Save what the state service keeps, while it goes on."`
	Verify     verifyCmd        `cmd:"" help:"Read a backup through."`
	Restore    restoreCmd       `cmd:"" help:"Put a backup into an empty state service."`
	Audit      auditCmd         `cmd:"" help:"Look for what should not be in the state service, or in a backup."`
	Zone       zoneCmd          `cmd:"" help:"Tell the controllers what is known of a zone that is lost."`
	Config     configCmd        `cmd:"" help:"Read and change teams, limits and objectives while the service runs."`
	Emulate    emulateCmd       `cmd:"" hidden:"" help:"Run one of the emulator's processes."`
	Version    kong.VersionFlag `help:"Print the version and stop."`
}

// model returns what the command line is read into. A controller, which is started
// with flags alone, does not set up what only the other commands need.
func model(args []string) any {
	if len(args) > 0 && (strings.HasPrefix(args[0], "--config") || args[0] == "--check") {
		return &struct {
			Serve serveCmd `cmd:"" default:"withargs"`
		}{}
	}
	return &commands{}
}

func main() {
	k := kong.Must(model(os.Args[1:]), kong.Name("shalestage"),
		kong.Description("The shalestage cluster scheduler. LOG_LEVEL sets a controller's log level: error, info or debug."),
		kong.Vars{"version": version, "faults": fmt.Sprint(authority.Mutations, following.Mutations, cancelling.Mutations, renewal.Mutations)}, kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	ctx, err := k.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "shalestage: %v; --help lists the commands\n", err)
		os.Exit(exitUnusable)
	}
	if err := ctx.Run(); err != nil {
		var e exit
		if !errors.As(err, &e) {
			e = exit{exitFailed, err}
		}
		if e.err != nil {
			fmt.Fprintf(os.Stderr, "shalestage: %v\n", e.err)
		}
		os.Exit(e.code)
	}
}
