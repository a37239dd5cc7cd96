//go:build review

// Command stand2 runs the cases of review/4 to review/8. It starts the controllers as processes of their
// own, with the command of the deploy file, and is itself the state service, the cloud with its workers, and
// the users. The state service and the cloud are the project's own models, served over HTTP.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusKept    = 0
	statusBroken  = 1
	statusCannot  = 2
	maxRunTime    = 118 * time.Second
	recordFile    = "record.txt"
	programOfUnit = "target/shalestage"
)

// errBroken says that a case has seen the rule broken.
var errBroken = errors.New("the rule was broken")

func broken(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(statusCannot)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays one case, writes its record into the folder and returns the exit status.
func run(name, folder string) int {
	runtime.LockOSThread() // the controllers end with the thread that started them
	rec, err := newRecord(filepath.Join(folder, recordFile))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusCannot
	}
	defer rec.close()
	s, err := newStand(rec)
	if err != nil {
		rec.add("cannot run: %v", err)
		return statusCannot
	}
	defer s.stop()
	ended := make(chan error, 1)
	go func() { ended <- cases[name](s, os.Getenv("TROUBLE") != "0") }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	for {
		select {
		case start := <-s.starts:
			start()
			continue
		case err = <-ended:
		case <-stop:
			err = errors.New("interrupted")
		case <-time.After(time.Until(rec.begin.Add(maxRunTime))):
			err = errors.New("not over in time")
		}
		break
	}
	switch {
	case err == nil:
		rec.add("the rule held")
		return statusKept
	case errors.Is(err, errBroken):
		rec.add("%v", err)
		return statusBroken
	}
	rec.add("cannot run: %v", err)
	return statusCannot
}
