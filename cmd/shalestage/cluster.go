package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"golang.org/x/term"
)

// Where the commands keep what they know of a running deployment, in the working
// directory.
const (
	clusterDir  = ".shalestage"
	clusterFile = "cluster.json"
	jobsFile    = "jobs.jsonl"
)

// cluster is a deployment that "up" has started.
type cluster struct {
	Front   string `json:"front"`   // where users' requests go
	Control string `json:"control"` // where descriptions and faults go
	Dir     string `json:"dir"`     // with logs
}

// target is whom a command talks to.
type target struct {
	To string `placeholder:"IP:PORT" help:"A controller or load balancer; by default the deployment that \"up\" has started from this directory."`
}

// resolve returns the addresses; control is "" for a deployment that "up" has not
// started.
func (t target) resolve() (cluster, error) {
	if t.To != "" {
		if _, _, err := net.SplitHostPort(t.To); err != nil {
			return cluster{}, unusable(fmt.Errorf("--to: %w", err))
		}
		return cluster{Front: t.To}, nil
	}
	b, err := os.ReadFile(filepath.Join(clusterDir, clusterFile))
	if errors.Is(err, os.ErrNotExist) {
		return cluster{}, unusable(errors.New("no deployment was started from this directory: run \"shalestage up --keep\", or name an address with --to"))
	}
	var c cluster
	if err == nil {
		err = json.Unmarshal(b, &c)
	}
	if err != nil {
		return cluster{}, unusable(err)
	}
	return c, nil
}

func (c cluster) save() error {
	b, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(clusterDir, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(clusterDir, clusterFile), append(b, '\n'), 0o644)
}

// submitted is a job that was submitted from here.
type submitted struct {
	ID   string    `json:"id"`
	Name string    `json:"name"`
	To   string    `json:"to"`
	At   time.Time `json:"at"`
}

func remember(s submitted) error {
	if err := os.MkdirAll(clusterDir, 0o755); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(clusterDir, jobsFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	b, err := json.Marshal(s)
	if err == nil {
		_, err = f.Write(append(b, '\n'))
	}
	return errors.Join(err, f.Close())
}

// remembered returns the last n jobs that were submitted from here to an address.
func remembered(to string, n int) ([]submitted, error) {
	f, err := os.Open(filepath.Join(clusterDir, jobsFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []submitted
	sc := bufio.NewScanner(f)
	for sc.Scan() {
		var s submitted
		if json.Unmarshal(sc.Bytes(), &s) == nil && s.To == to {
			out = append(out, s)
		}
	}
	return out[max(0, len(out)-n):], sc.Err()
}

// isTerminal reports whether output goes to a person who sees it change.
func isTerminal(f *os.File) bool { return term.IsTerminal(int(f.Fd())) }

// newTable returns a table in the one style that all commands use.
func newTable(w io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.Style().Options.DrawBorder = false
	t.Style().Options.SeparateColumns = false
	t.AppendHeader(table.Row(header))
	return t
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
