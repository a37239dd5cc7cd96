package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"shalestage.example/shalestage/internal/backup"
	"shalestage.example/shalestage/internal/cloud"
	"shalestage.example/shalestage/internal/state"
)

// stateFlags say which state service, and how hard it may be asked.
type stateFlags struct {
	State string  `required:"" placeholder:"HOST:PORT" help:"Address of the state service."`
	Rate  float64 `default:"10" help:"Requests a second at most."`
	Quiet bool    `short:"q" help:"Do not tell the progress."`
}

func (f *stateFlags) client() (*state.Client, backup.Options) {
	o := backup.Options{Rate: f.Rate, Release: version}
	if !f.Quiet {
		o.Progressf = func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
	}
	// The pace is the options' to keep: the client's own budget stays out of the way.
	return state.New(f.State, 10*f.Rate+100, 10*f.Rate+100, slog.New(slog.DiscardHandler)), o
}

type backupCmd struct {
	stateFlags
	Out    string `short:"o" required:"" placeholder:"FILE" help:"Where to write it."`
	Resume bool   `help:"Go on where an earlier backup into the same file was cut short."`
}

// Help implements kong's long help.
func (*backupCmd) Help() string {
	return "All that the service keeps, as of one moment, while it goes on. Exit status: 0 saved, 1 not, 2 unusable input."
}

// Run saves.
func (o *backupCmd) Run() error {
	flags := os.O_RDWR | os.O_CREATE | os.O_EXCL
	if o.Resume {
		flags = os.O_RDWR
	}
	f, err := os.OpenFile(o.Out, flags, 0o600)
	if err != nil {
		return unusable(err)
	}
	defer f.Close()
	var from *backup.Progress
	if o.Resume {
		if from, err = backup.Resume(f); err != nil {
			return unusable(fmt.Errorf("%s: %w", o.Out, err))
		}
		end := int64(0)
		if from != nil {
			end = from.Offset
		}
		if err := errors.Join(f.Truncate(end), seek(f, end)); err != nil {
			return exit{exitFailed, err}
		}
	}
	c, opt := o.client()
	ctx, stop := interruptible()
	defer stop()
	foot, err := backup.Save(ctx, c, f, from, opt)
	if err := errors.Join(err, f.Sync()); err != nil {
		return exit{exitFailed, fmt.Errorf("%s: %w", o.Out, err)}
	}
	fmt.Printf("%s: %d keys and changes, as of revision %d\n", o.Out, foot.Lines, foot.Revision)
	return nil
}

func seek(f *os.File, to int64) error {
	_, err := f.Seek(to, io.SeekStart)
	return err
}

type verifyCmd struct {
	File string `arg:"" help:"A backup."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// Help implements kong's long help.
func (*verifyCmd) Help() string {
	return "Reads a backup through: every checksum and record, and that it is whole. Exit status: 0 it is, 1 it is not, 2 unusable input."
}

// Run reads a backup.
func (o *verifyCmd) Run() error {
	f, err := os.Open(o.File)
	if err != nil {
		return unusable(err)
	}
	defer f.Close()
	s, err := backup.Verify(f)
	if err != nil {
		return exit{exitFailed, fmt.Errorf("%s: %w", o.File, err)}
	}
	if o.JSON {
		return printJSON(s)
	}
	fmt.Printf("%s: whole; begun %s by release %s, as of revision %d, %d bytes\n", o.File, s.StartedAt, s.Release, s.Footer.Revision, s.Bytes)
	printKeys(s.Lines)
	return nil
}

type restoreCmd struct {
	stateFlags
	File  string `arg:"" help:"A backup."`
	Force bool   `help:"Remove what the state service holds first."`
	Ops   int    `default:"12" help:"Changes of one transaction: the state service's limit."`
	Above uint64 `help:"Let terms begin above this one; by default by the age of the backup."`
}

// Help implements kong's long help.
func (*restoreCmd) Help() string {
	return "Puts a backup into a state service that holds nothing. No controller may run meanwhile. Exit status: 0 restored, 1 not, 2 unusable input."
}

// Run restores.
func (o *restoreCmd) Run() error {
	if o.Ops < 3 {
		return unusable(errors.New("--ops: want 3 or more"))
	}
	f, err := os.Open(o.File)
	if err != nil {
		return unusable(err)
	}
	defer f.Close()
	// Nothing is written of a backup that is not whole.
	if _, err := backup.Verify(f); err != nil {
		return exit{exitFailed, fmt.Errorf("%s: %w", o.File, err)}
	}
	if err := seek(f, 0); err != nil {
		return exit{exitFailed, err}
	}
	c, opt := o.client()
	ctx, stop := interruptible()
	defer stop()
	done, err := backup.Restore(ctx, c, f, backup.RestoreOptions{Options: opt, Force: o.Force, TxnOps: o.Ops, MinTerm: o.Above})
	if err != nil {
		return exit{exitFailed, fmt.Errorf("%s: %w", o.State, err)}
	}
	fmt.Printf("%s: %d keys written; leaders' terms begin above %d\n", o.State, done.Keys, done.Term)
	return nil
}

type auditCmd struct {
	State string        `xor:"what" required:"" placeholder:"HOST:PORT" help:"Look at a state service that runs."`
	File  string        `xor:"what" required:"" placeholder:"FILE" help:"Look at a backup."`
	Cloud string        `placeholder:"HOST:PORT" help:"Hold machines against this cloud's list too."`
	Lag   time.Duration `default:"30s" help:"By how much that list may lag: what is found is looked at again after this."`
	Rate  float64       `default:"10" help:"Requests a second at most."`
	Fix   bool          `help:"Clear what is safe to clear in the state service."`
	Ops   int           `default:"3" help:"Changes of one transaction: the state service's limit."`
	JSON  bool          `name:"json" help:"Print JSON."`
}

// Help implements kong's long help.
func (*auditCmd) Help() string {
	return "Exit status: 0 all is as it should be, or was cleared; 1 it is not, 2 unusable input."
}

// Run looks.
func (o *auditCmd) Run() error {
	var rep backup.AuditResult
	var err error
	cleared := 0
	if o.File != "" {
		if o.Fix || o.Cloud != "" {
			return unusable(errors.New("--fix and --cloud are for a state service"))
		}
		rep, err = backup.AuditFile(func() (io.ReadCloser, error) { return os.Open(o.File) })
	} else {
		f := stateFlags{State: o.State, Rate: o.Rate, Quiet: true}
		c, opt := f.client()
		ctx, stop := interruptible()
		defer stop()
		var hosts backup.HostLister
		if o.Cloud != "" {
			hosts = cloud.New(o.Cloud, 1, slog.New(slog.DiscardHandler))
		}
		if rep, err = backup.AuditLive(ctx, c, hosts, o.Lag, opt); err == nil && o.Fix {
			cleared, err = backup.Fix(ctx, c, rep.Findings, max(o.Ops, 1), opt)
		}
	}
	if err != nil {
		return exit{exitFailed, err}
	}
	if o.JSON {
		if err := printJSON(rep); err != nil {
			return err
		}
	} else {
		printKeys(rep.Keys)
		fmt.Printf("%d packed jobs\n", rep.ArchivedJobs)
		for _, f := range rep.Findings {
			note := ""
			if f.Fix && !o.Fix {
				note = " (--fix clears it)"
			}
			fmt.Printf("%s: %s: %s%s\n", f.Kind, f.Key, f.Text, note)
		}
	}
	if left := len(rep.Findings) - cleared; left > 0 {
		return exit{exitFailed, fmt.Errorf("%d findings are left", left)}
	}
	return nil
}

// printKeys tells how many keys there are.
func printKeys(keys map[string]int) {
	t := newTable(os.Stdout, "folder", "keys")
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		t.AppendRow(table.Row{k, keys[k]})
	}
	t.Render()
}
