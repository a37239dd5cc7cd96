package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"time"

	"shalestage.example/shalestage/internal/client"
	"shalestage.example/shalestage/internal/core/jobs"
	"shalestage.example/shalestage/internal/emulator/user"
	"shalestage.example/shalestage/internal/launch"
	"shalestage.example/shalestage/internal/scenario"
)

// How long users wait for an answer.
const (
	submitWithin = 5 * time.Second
	pollWithin   = 2 * time.Second
)

func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt)
}

type submitCmd struct {
	target
	File string `arg:"" help:"File with the jobs (TOML), see examples/batch.toml."`
	JSON bool   `name:"json" help:"Print JSON."`
	Wait bool   `help:"Wait until all jobs are over."`
}

// Run submits each job as soon as those that it awaits are accepted.
func (o *submitCmd) Run() error {
	b, err := os.ReadFile(o.File)
	if err != nil {
		return unusable(err)
	}
	s, err := scenario.Parse(o.File, b, false)
	if err != nil {
		return unusable(err)
	}
	if len(s.Jobs) == 0 {
		return unusable(fmt.Errorf("%s: no [[job]] in it", o.File))
	}
	cl, err := o.resolve()
	if err != nil {
		return err
	}
	ctx, cancel := interruptible()
	defer cancel()
	c := client.New(cl.Front)
	// Ids of a job's form that come from the time of day do not meet again.
	base := time.Now().UnixMicro()
	byName := map[string]string{}
	var rows []jobRow
	for _, j := range s.Jobs {
		spec := j.Spec()
		for _, a := range j.Awaits {
			spec.Awaits = append(spec.Awaits, byName[a])
		}
		for range max(j.Count, 1) {
			id := fmt.Sprintf("wk-%d", base)
			base++
			if byName[j.Name] == "" {
				byName[j.Name] = id
			}
			if cl.Control != "" {
				if err := launch.Upload(cl.Control, &user.Job{Job: j.Work(id, spec)}); err != nil {
					return fmt.Errorf("%s: its description cannot be uploaded: %w", j.Name, err)
				}
			}
			r, err := client.Retry(ctx, submitWithin, func(ctx context.Context) (client.Reply, error) { return c.Submit(ctx, id, spec) })
			if err != nil {
				return fmt.Errorf("%s: %w", j.Name, err)
			}
			if r.Code != http.StatusOK && r.Code != http.StatusCreated {
				return unusable(fmt.Errorf("%s is refused (%d): %s", j.Name, r.Code, r.Error))
			}
			if err := remember(submitted{ID: id, Name: j.Name, To: cl.Front, At: time.Now()}); err != nil {
				return err
			}
			rows = append(rows, jobRow{ID: id, Name: j.Name, Status: r.Status})
		}
	}
	if o.Wait {
		if err := await(ctx, c, rows); err != nil {
			return err
		}
	}
	if err := printRows(rows, o.JSON); err != nil || !o.Wait {
		return err
	}
	return worst(rows)
}

// jobRow is a job as the commands print it.
type jobRow struct {
	ID      string      `json:"id"`
	Name    string      `json:"name,omitempty"`
	Status  jobs.Status `json:"status"` // "unknown" where there is no such job
	Done    int         `json:"done"`
	Running int         `json:"running"`
}

const unknown jobs.Status = "unknown"

func printRows(rows []jobRow, asJSON bool) error {
	if asJSON {
		return printJSON(rows)
	}
	t := newTable(os.Stdout, "job", "name", "status", "done", "running")
	for _, r := range rows {
		t.AppendRow([]any{r.ID, r.Name, r.Status, r.Done, r.Running})
	}
	t.Render()
	return nil
}

// poll fills a row in.
func (r *jobRow) poll(ctx context.Context, c *client.Client) error {
	a, err := client.Retry(ctx, pollWithin, func(ctx context.Context) (client.Reply, error) { return c.Poll(ctx, r.ID) })
	if err != nil {
		return fmt.Errorf("%s: %w", r.ID, err)
	}
	r.take(a)
	return nil
}

func (r *jobRow) take(a client.Reply) {
	r.Status, r.Done, r.Running = a.Status, a.Done, a.Running
	if a.Code == http.StatusNotFound {
		r.Status = unknown
	}
}

// await polls until every job is over or unknown.
func await(ctx context.Context, c *client.Client, rows []jobRow) error {
	for {
		left := false
		for i := range rows {
			if rows[i].Status.Final() || rows[i].Status == unknown {
				continue
			}
			if err := rows[i].poll(ctx, c); err != nil {
				return err
			}
			left = left || !rows[i].Status.Final() && rows[i].Status != unknown
		}
		if !left {
			return nil
		}
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// worst returns the exit status that tells the least welcome state of the jobs.
func worst(rows []jobRow) error {
	code := 0
	for _, r := range rows {
		switch {
		case r.Status == unknown:
			code = max(code, exitNoSuchJob)
		case r.Status == jobs.Cancelled:
			code = max(code, exitCancelled)
		case r.Status != jobs.Done:
			code = max(code, exitNotOver)
		}
	}
	if code == 0 {
		return nil
	}
	return exit{code, nil}
}

// byID are jobs named on the command line.
type byID struct {
	target
	IDs  []string `arg:"" name:"id" help:"Jobs."`
	JSON bool     `name:"json" help:"Print JSON."`
}

func (o byID) open() (*client.Client, []jobRow, error) {
	cl, err := o.resolve()
	if err != nil {
		return nil, nil, err
	}
	known, err := remembered(cl.Front, 1<<20)
	if err != nil {
		return nil, nil, err
	}
	var rows []jobRow
	for _, id := range o.IDs {
		if !jobs.ValidID(id) {
			return nil, nil, unusable(fmt.Errorf("%q is not the form of a job's id", id))
		}
		r := jobRow{ID: id}
		if i := slices.IndexFunc(known, func(s submitted) bool { return s.ID == id }); i >= 0 {
			r.Name = known[i].Name
		}
		rows = append(rows, r)
	}
	return client.New(cl.Front), rows, nil
}

type statusCmd struct {
	byID
	Wait bool `help:"Wait until all jobs are over."`
}

// Help implements kong's long help.
func (*statusCmd) Help() string {
	return "Exit status: 0 all are done, 3 some are not over, 4 some are cancelled, 5 some are unknown, 1 nobody answers, 2 unusable input."
}

// Run tells the state of jobs.
func (o *statusCmd) Run() error {
	c, rows, err := o.open()
	if err != nil {
		return err
	}
	ctx, cancel := interruptible()
	defer cancel()
	if o.Wait {
		err = await(ctx, c, rows)
	} else {
		for i := range rows {
			err = errors.Join(err, rows[i].poll(ctx, c))
		}
	}
	if err != nil {
		return err
	}
	if err := printRows(rows, o.JSON); err != nil {
		return err
	}
	return worst(rows)
}

type cancelCmd struct{ byID }

// Run cancels jobs. One that is done already stays so.
func (o *cancelCmd) Run() error {
	c, rows, err := o.open()
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	missing := false
	for i := range rows {
		r := &rows[i]
		a, err := client.Retry(ctx, submitWithin, func(ctx context.Context) (client.Reply, error) { return c.Cancel(ctx, r.ID) })
		if err != nil {
			return fmt.Errorf("%s: %w", r.ID, err)
		}
		r.take(a)
		missing = missing || r.Status == unknown
	}
	if err := printRows(rows, o.JSON); err != nil {
		return err
	}
	if missing {
		return exit{exitNoSuchJob, nil}
	}
	return nil
}

type jobsCmd struct {
	target
	Last int  `default:"50" help:"How many, the latest ones."`
	JSON bool `name:"json" help:"Print JSON."`
}

// Run lists jobs. The protocol has no listing: what was submitted from this
// directory is remembered in it.
func (o *jobsCmd) Run() error {
	cl, err := o.resolve()
	if err != nil {
		return err
	}
	known, err := remembered(cl.Front, max(o.Last, 1))
	if err != nil {
		return err
	}
	ctx, cancel := interruptible()
	defer cancel()
	c := client.New(cl.Front)
	rows := []jobRow{}
	for _, s := range known {
		r := jobRow{ID: s.ID, Name: s.Name}
		if err := r.poll(ctx, c); err != nil {
			return err
		}
		rows = append(rows, r)
	}
	return printRows(rows, o.JSON)
}
