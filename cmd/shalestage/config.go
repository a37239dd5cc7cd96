package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"shalestage.example/shalestage/internal/config"
	"shalestage.example/shalestage/internal/httpjson"
)

type configCmd struct {
	Get     configGetCmd     `cmd:"" help:"Print the configuration in force."`
	Set     configSetCmd     `cmd:"" help:"Change some amounts of a team, or remove it."`
	Apply   configApplyCmd   `cmd:"" help:"Replace teams and objectives by those of a file."`
	History configHistoryCmd `cmd:"" help:"Tell the last versions, who stored them and what changed."`
	Status  configStatusCmd  `cmd:"" help:"Tell by which version each controller goes."`
}

// Help implements kong's long help.
func (*configCmd) Help() string {
	return `Teams, limits and objectives are those of the settings file until the first change.

  shalestage config --controller HOST:PORT set red cpus_max=40      change a limit
  shalestage config --controller HOST:PORT set red --remove         no new jobs for a team
  shalestage config --controller HOST:PORT get > now.json           edit it, and
  shalestage config --controller HOST:PORT apply now.json           store it, if nobody else has changed anything since
  shalestage config --controller HOST:PORT status                   who goes by which version

The address is a controller's internal one. Exit status: 0 done, 1 not (somebody was first,
the service is busy, or not confirmed in time), 2 unusable input.`
}

// controllerFlags say which controller is asked.
type controllerFlags struct {
	Controller string `required:"" placeholder:"HOST:PORT" help:"Internal address of a controller."`
}

// changeFlags are those of commands that change something.
type changeFlags struct {
	controllerFlags
	By   string        `help:"Who changes it, for the history; by default the user's name."`
	Wait time.Duration `default:"60s" help:"How long to wait until all controllers go by it; 0: do not."`
}

func (f *changeFlags) who() string {
	if f.By != "" {
		return f.By
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// configTimeout is longer than a controller takes to answer in any case.
const configTimeout = 10 * time.Second

// ask does one request; an answer other than 200 is an error that says why.
func (f *controllerFlags) ask(method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), configTimeout)
	defer cancel()
	var answer json.RawMessage
	code, err := httpjson.Do(ctx, httpjson.NewClient(1), method, "http://"+f.Controller+path, body, &answer)
	if err != nil {
		return exit{exitFailed, err}
	}
	if code == http.StatusOK {
		return json.Unmarshal(answer, into)
	}
	var r config.Refusal
	if err := json.Unmarshal(answer, &r); err != nil || r.Error == "" {
		return exit{exitFailed, fmt.Errorf("the controller answers %d", code)}
	}
	text := r.Error
	if r.Field != "" {
		text = r.Field + ": " + text
	}
	if r.Unknown {
		text += "; it may have been stored all the same, look at the history"
	}
	if code == http.StatusBadRequest || code == http.StatusUnprocessableEntity {
		return unusable(errors.New(text))
	}
	return exit{exitFailed, errors.New(text)}
}

// confirm waits until a version is confirmed, and tells who lacks it otherwise.
func (f *changeFlags) confirm(version uint64) error {
	fmt.Fprintf(os.Stderr, "stored as version %d\n", version)
	var s config.Status
	for end := time.Now().Add(f.Wait); f.Wait > 0; time.Sleep(200 * time.Millisecond) {
		err := f.ask(http.MethodGet, config.ConfigStatusPath+"?version="+strconv.FormatUint(version, 10), nil, &s)
		switch {
		case err == nil && s.Confirmed:
			fmt.Fprintf(os.Stderr, "confirmed: no controller starts anything by an older one\n")
			return nil
		case time.Now().Before(end):
		case err != nil:
			return err
		default:
			return exit{exitFailed, fmt.Errorf("not confirmed yet: %s", strings.Join(s.Unconfirmed(), ", "))}
		}
	}
	return nil
}

type configGetCmd struct {
	controllerFlags
}

// Run prints the configuration.
func (o *configGetCmd) Run() error {
	var d config.Document
	if err := o.ask(http.MethodGet, config.ConfigPath, nil, &d); err != nil {
		return err
	}
	return printJSON(d)
}

type configSetCmd struct {
	changeFlags
	Team    string            `arg:"" help:"The team; one that there is not is made."`
	Amounts map[string]string `arg:"" optional:"" help:"cpus, cpus_max, gpus or gpus_max with an amount, as in cpus_max=40; 0 is none."`
	Remove  bool              `help:"Take no new jobs of it; known ones go on."`
	Version *uint64           `help:"Change it only if this version is the present one."`
}

// Run changes a team.
func (o *configSetCmd) Run() error {
	t := config.TeamPatch{Name: o.Team, Remove: o.Remove}
	fields := map[string]**float64{"cpus": &t.CPUs, "cpus_max": &t.CPUsMax, "gpus": &t.GPUs, "gpus_max": &t.GPUsMax}
	for name, text := range o.Amounts {
		to := fields[name]
		v, err := strconv.ParseFloat(text, 64)
		if to == nil || err != nil {
			return unusable(fmt.Errorf("%s=%s: want cpus, cpus_max, gpus or gpus_max with a number", name, text))
		}
		*to = &v
	}
	if len(o.Amounts) == 0 && !o.Remove {
		return unusable(errors.New("want an amount or --remove"))
	}
	var s config.Stored
	if err := o.ask(http.MethodPost, config.ConfigSetPath, config.Patch{By: o.who(), Version: o.Version, Teams: []config.TeamPatch{t}}, &s); err != nil {
		return err
	}
	return o.confirm(s.Version)
}

type configApplyCmd struct {
	changeFlags
	File string `arg:"" help:"A document as get prints it; its version is the one that it was made for."`
}

// Run replaces the configuration.
func (o *configApplyCmd) Run() error {
	b, err := os.ReadFile(o.File)
	if err != nil {
		return unusable(err)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var doc config.Document
	if err := d.Decode(&doc); err != nil {
		return unusable(fmt.Errorf("%s: %w", o.File, err))
	}
	doc.By = o.who()
	var s config.Stored
	if err := o.ask(http.MethodPut, config.ConfigPath, doc, &s); err != nil {
		return err
	}
	return o.confirm(s.Version)
}

type configHistoryCmd struct {
	controllerFlags
	JSON bool `help:"Print JSON."`
}

// Run tells the last versions.
func (o *configHistoryCmd) Run() error {
	var list []config.HistoryEntry
	if err := o.ask(http.MethodGet, config.ConfigHistoryPath, nil, &list); err != nil {
		return err
	}
	if o.JSON {
		return printJSON(list)
	}
	t := newTable(os.Stdout, "version", "at", "by", "what")
	for _, e := range list {
		t.AppendRow([]any{e.Version, e.At.Format(time.RFC3339), e.By, e.Summary})
	}
	t.Render()
	return nil
}

type configStatusCmd struct {
	controllerFlags
	Version uint64 `help:"The version in question; by default the one in force at the controller that is asked."`
	JSON    bool   `help:"Print JSON."`
}

// Run tells by which version each controller goes.
func (o *configStatusCmd) Run() error {
	var s config.Status
	if err := o.ask(http.MethodGet, config.ConfigStatusPath+"?version="+strconv.FormatUint(o.Version, 10), nil, &s); err != nil {
		return err
	}
	if o.JSON {
		return printJSON(s)
	}
	t := newTable(os.Stdout, "controller", "version", "knows of", "heard", "done")
	for _, c := range s.Controllers {
		t.AppendRow([]any{c.Node, c.Version, c.KnownVersion, !c.Unresponsive, c.Confirmed})
	}
	t.Render()
	fmt.Printf("version %d is confirmed: %v\n", s.Version, s.Confirmed)
	return nil
}
