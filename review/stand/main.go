// Command stand plays the cases of the review: it starts the project's controllers as processes of their own,
// with stand-ins for the state service, the cloud, the machines and the users, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held      = 0
	ruleBroke = 1
	cannotRun = 2
)

// aCase plays a case. The error says why it could not run.
type aCase func(s *Site) error

func main() {
	name := flag.String("case", "", "case to play")
	dir := flag.String("dir", "", "temporary folder")
	recordFile := flag.String("record", "", "record file")
	run := flag.String("run", "", "program and arguments that start a controller")
	limit := flag.Duration("limit", 114*time.Second, "time after which the case is given up")
	flag.Parse()
	os.Exit(play(*name, *dir, *recordFile, *run, *limit))
}

func play(name, dir, recordFile, run string, limit time.Duration) int {
	settings, body := cases(name)
	if body == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return cannotRun
	}
	record, err := NewRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	s, err := NewSite(dir, strings.Fields(run), record, settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	s.Trouble = os.Getenv("TROUBLE") != "0"
	record.Printf("case     %s, with the disruption: %v", name, s.Trouble)
	result := make(chan error, 1)
	go func() {
		err := s.StartAll()
		if err == nil {
			err = body(s)
		}
		result <- err
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
		s.Stop()
		record.Printf("verdict  interrupted")
		return cannotRun
	case err = <-result:
	case <-time.After(limit):
		err = fmt.Errorf("not over within %v", limit)
	}
	s.Stop()
	return verdict(s, err)
}

func verdict(s *Site, err error) int {
	switch {
	case s.BrokenCount() > 0:
		s.Record.Printf("verdict  the rule was broken, %d times", s.BrokenCount())
		fmt.Println("broken:", s.broken[0])
		return ruleBroke
	case err != nil:
		s.Record.Printf("verdict  the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return cannotRun
	}
	s.Record.Printf("verdict  the rule held")
	fmt.Println("held")
	return held
}
