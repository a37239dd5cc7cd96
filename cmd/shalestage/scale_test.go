package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"shalestage.example/shalestage/internal/scalerun"
)

// smallRun is two regions with a few workers each, for as long as it takes to see all kinds
// of faults.
const smallRun = `
name = "small"
worker_processes = 1
boot_s = 0.5
[target]
workers = 12
tasks = 36
starts_per_s = 12
teams = 3
regions = 2
zones = 4
[load]
batch_tasks = 6
urgent_tasks = 2
urgent_share = 0.3
urgent_run_s = 1
urgent_within = 1.9
batch_within = 5
service_share = 0.1
cancel_share = 0.1
abroad_share = 0.5
[worker_budget]
cpu = 0.049
memory_mb = 32
kilobytes_per_s = 21
[time]
fill_s = 6
hold_s = 3
drain_s = 150
[controllers]
count = 3
restart_s = 0.5
[users]
poll_s = 1
[[fault]]
kind = "regions"
for_s = 4
[[fault]]
kind = "controller"
for_s = 3
[[fault]]
kind = "rack"
region = 1
machines = 1
for_s = 1
[[fault]]
kind = "zone"
region = 1
for_s = 2
`

// scaleData is what the test reads of a run's data.
type scaleData struct {
	Over         bool                        `json:"all_over"`
	Phases       []scalerun.Phase            `json:"phases"`
	FaultsFailed []string                    `json:"faults_failed"`
	Regions      []scalerun.RegionResult     `json:"regions"`
	All          []scalerun.Counts           `json:"all"`
	Crossed      []uint64                    `json:"crossed_bytes"`
	Connections  []scalerun.Connections      `json:"connections"`
	Workers      []scalerun.WorkerUse        `json:"workers_hold"`
	Roles        map[string]scalerun.RoleUse `json:"roles_hold"`
}

// TestScale runs two regions of real processes through all kinds of faults. It is judged by
// counts: how fast a machine is decides whether the target is reached, and is not judged.
func TestScale(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "small.toml"), []byte(smallRun), 0o644); err != nil {
		t.Fatal(err)
	}
	code, out := command(t, dir, "scale", "small.toml", "--size", "1")
	if code != 0 && code != exitMissed {
		t.Fatalf("exit status %d: %s", code, out)
	}
	b, err := os.ReadFile(filepath.Join(dir, "small", "scale.json"))
	if err != nil {
		t.Fatal(err)
	}
	var d scaleData
	if err := json.Unmarshal(b, &d); err != nil {
		t.Fatal(err)
	}
	if !d.Over || len(d.FaultsFailed) > 0 || len(d.Regions) != 2 {
		t.Errorf("all over %v, faults not done %v, %d regions", d.Over, d.FaultsFailed, len(d.Regions))
	}
	submitted, accepted, restarts := 0, 0, 0
	for _, r := range d.Regions {
		restarts += r.Restarts
		if len(r.Broken) > 0 || r.Starts == 0 {
			t.Errorf("%s: %d starts, broken: %v", r.Name, r.Starts, r.Broken)
		}
	}
	for i, c := range d.All {
		submitted, accepted = submitted+c.Submitted, accepted+c.Accepted
		parted := d.Phases[i].Fault != nil && d.Phases[i].Fault.Kind == scalerun.FaultRegions
		if parted && (d.Crossed[i] != 0 || c.Abroad.OK != 0 || c.Home.OK == 0) {
			t.Errorf("while the regions were parted %d bytes crossed, %d calls abroad and %d at home were answered", d.Crossed[i], c.Abroad.OK, c.Home.OK)
		}
		if i == 0 && (d.Crossed[i] == 0 || c.Abroad.OK == 0) {
			t.Errorf("before the regions were parted %d bytes crossed and %d calls abroad were answered", d.Crossed[i], c.Abroad.OK)
		}
	}
	if submitted == 0 || accepted == 0 || accepted > submitted || restarts != 1 {
		t.Errorf("%d jobs submitted, %d accepted, %d controllers restarted", submitted, accepted, restarts)
	}
	for _, c := range d.Connections {
		if c.Looked == 0 || c.Between != 0 {
			t.Errorf("after %s %d of %d connections were between regions", c.Phase, c.Between, c.Looked)
		}
	}
	if len(d.Connections) != len(d.Phases) || len(d.Workers) != 2 {
		t.Errorf("connections of %d phases of %d, figures of %d workers", len(d.Connections), len(d.Phases), len(d.Workers))
	}
	if n := d.Roles["controller"].Processes; n != 6 {
		t.Errorf("%d controllers were seen", n)
	}
	page, err := os.ReadFile(filepath.Join(dir, "small", "report.html"))
	if err != nil || !strings.Contains(string(page), "<svg") {
		t.Errorf("the report has no plots: %v", err)
	}
}

// TestScaleInterrupted interrupts a run once its first region is up: it ends all that it
// started and reports as far as it came. A file with a mistake starts nothing.
func TestScaleInterrupted(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	dir := t.TempDir()
	for name, text := range map[string]string{"small.toml": smallRun, "wrong.toml": strings.Replace(smallRun, "teams = 3", "teams = -3", 1)} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if code, out := command(t, dir, "scale", "wrong.toml"); code != exitUnusable || !strings.Contains(out, "wrong.toml:9:1: target.teams: want 1 to") {
		t.Errorf("a mistake in a file: exit status %d, %s", code, out)
	}
	if code, out := command(t, dir, "scale", "small.toml", "--size", "3"); code != exitUnusable || !strings.Contains(out, "--size") {
		t.Errorf("a size beyond the target: exit status %d, %s", code, out)
	}
	var out bytes.Buffer
	c := exec.Command(os.Args[0], "scale", "small.toml", "--size", "1")
	c.Dir, c.Stdout, c.Stderr = dir, &out, &out
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	mine := func() int { return processesOf(t, filepath.Join(dir, "small")) }
	until(t, "processes of a region", func() bool { return mine() >= 7 })
	if err := c.Process.Signal(os.Interrupt); err != nil {
		t.Fatal(err)
	}
	_ = c.Wait() // its status is looked at
	if code := c.ProcessState.ExitCode(); code != exitFailed || !strings.Contains(out.String(), "interrupted") {
		t.Errorf("exit status %d: %s", code, out.String())
	}
	if n := mine(); n != 0 {
		t.Errorf("%d processes are left", n)
	}
	b, err := os.ReadFile(filepath.Join(dir, "small", "scale.json"))
	if err != nil || !strings.Contains(string(b), `"stopped": "interrupted"`) {
		t.Errorf("the report does not say that the run was interrupted: %v", err)
	}
}

// processesOf counts the processes that were started with a file in a directory.
func processesOf(t *testing.T, dir string) (n int) {
	t.Helper()
	files, err := filepath.Glob("/proc/[0-9]*/cmdline")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		b, _ := os.ReadFile(f) // one that has ended meanwhile
		if bytes.Contains(b, []byte(dir)) {
			n++
		}
	}
	return n
}
