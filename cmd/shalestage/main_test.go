package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"shalestage.example/shalestage/examples"
	"shalestage.example/shalestage/internal/emulator/host"
	"shalestage.example/shalestage/internal/launch"
	"shalestage.example/shalestage/internal/scenario"
)

// TestMain lets the test's program be the program: a deployment starts its
// processes from the file that runs.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && !strings.HasPrefix(os.Args[1], "-test.") {
		main()
		return
	}
	os.Exit(m.Run())
}

// command runs the program in a directory and returns its exit status and output.
func command(t *testing.T, dir string, args ...string) (int, string) {
	t.Helper()
	c := exec.Command(os.Args[0], args...)
	c.Dir = dir
	out, err := c.CombinedOutput()
	if err != nil && c.ProcessState == nil {
		t.Fatal(err)
	}
	return c.ProcessState.ExitCode(), string(out)
}

// brief is the sample with less to do.
func brief(t *testing.T, more string) string {
	t.Helper()
	s := string(examples.Sample)
	s = strings.Replace(s, "count = 5\nevery_s = 3", "count = 2\nevery_s = 1", 1)
	s = strings.Replace(s, "run_s = 40\nat_s = 4\ncancel_after_s = 8", "run_s = 40\nat_s = 1\ncancel_after_s = 6", 1)
	s = strings.Replace(s, "cancel_after_s = 25", "cancel_after_s = 10", 1)
	file := filepath.Join(t.TempDir(), "brief.toml")
	if err := os.WriteFile(file, []byte(s+"\n"+more), 0o644); err != nil {
		t.Fatal(err)
	}
	return file
}

// until waits for a condition, for a generous time.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Minute); !f(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// TestRealProcesses runs a workload on real processes over loopback, while the state
// service and a controller are killed: its data is on disk, so that nothing is lost.
// Then the commands talk to it.
func TestRealProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	d, err := launch.Start(launch.Options{Scenario: brief(t, ""), Dir: t.TempDir(), Data: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	if err := d.WaitServing(2 * time.Minute); err != nil {
		t.Fatal(err)
	}
	d.Run()
	until(t, "tasks run", func() bool { return d.Progress().Running > 0 })
	if err := d.Kill(launch.RoleState); err != nil {
		t.Fatal(err)
	}
	if err := d.Fault(scenario.Fault{Kind: scenario.ControllerCrash, Node: "node-1"}); err != nil {
		t.Fatal(err)
	}
	until(t, "all jobs are over", func() bool { return d.Progress().Left == 0 })
	dir := t.TempDir()
	to := "--to=" + d.Plan.Front
	batch, err := filepath.Abs("../../examples/batch.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
		says string
	}{
		{[]string{"status", to, "wk-000000", "wk-000001"}, exitCancelled, "cancelled"},
		{[]string{"status", to, "--json", "wk-000001"}, 0, `"status": "done"`},
		{[]string{"status", to, "wk-999999"}, exitNoSuchJob, "unknown"},
		{[]string{"cancel", to, "wk-000001"}, 0, "done"},
		{[]string{"cancel", to, "wk-999999"}, exitNoSuchJob, "unknown"},
		{[]string{"status", to, "job-1"}, exitUnusable, "not the form"},
		{[]string{"status", "wk-000001"}, exitUnusable, "no deployment was started from this directory"},
		{[]string{"submit", to, "none.toml"}, exitUnusable, "no such file"},
		{[]string{"submit", to, batch}, 0, "report"},
		{[]string{"jobs", to}, 0, "report"},
		{[]string{"fault", "rain"}, exitUnusable, "no deployment"},
		{[]string{"fault", "rain", "--control", d.Plan.Control}, exitUnusable, "there is no kind"},
		{[]string{"fault", "state_outage", "--for", "10ms", "--control", d.Plan.Control}, 0, ""},
	} {
		if code, out := command(t, dir, c.args...); code != c.code || !strings.Contains(out, c.says) {
			t.Errorf("%v: exit status %d, want %d:\n%s", c.args, code, c.code, out)
		}
	}
	configure(t, d)
	if broken, starts := d.Finish(true); len(broken) > 0 || starts == 0 {
		t.Errorf("%d starts, broken: %v", starts, broken)
	}
}

// outageOverWithin is how long the state service may take to serve a controller after an outage of
// 10 ms on a machine that is busy with other work.
const outageOverWithin = 10 * time.Second

// firstConfiguration returns the configuration of the settings file. The outage that the test has
// asked for may not be over yet: until it is, a controller refuses, and says that in so many words.
// Any other refusal, and one that lasts, fails the test.
func firstConfiguration(t *testing.T, get func() (int, string)) string {
	t.Helper()
	deadline := time.Now().Add(outageOverWithin)
	for {
		code, out := get()
		if code == 0 && strings.Contains(out, `"version": 0`) {
			return out
		}
		if code != exitFailed || !strings.Contains(out, "the present configuration cannot be read") || time.Now().After(deadline) {
			t.Fatalf("get: exit status %d:\n%s", code, out)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// confirmWithin is how long a controller may take to confirm a version that another has confirmed:
// some statuses of the others, on a busy machine.
const confirmWithin = 10 * time.Second

// configure changes the configuration of a running deployment by commands.
func configure(t *testing.T, d *launch.Deployment) {
	t.Helper()
	dir := t.TempDir()
	config := func(node, verb string, args ...string) (int, string) {
		return command(t, dir, append([]string{"config", verb, "--controller", d.Plan.Internal[node]}, args...)...)
	}
	now := firstConfiguration(t, func() (int, string) { return config("node-0", "get") })
	file := filepath.Join(dir, "now.json")
	if err := os.WriteFile(file, []byte(now), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		node, verb string
		args       []string
		code       int
		says       string
	}{
		{"node-0", "set", []string{"extra", "cpus_max=40", "--by", "ann"}, 0, "confirmed"},
		{"node-1", "get", nil, 0, `"cpus_max": 40`},
		{"node-1", "apply", []string{file}, exitFailed, "was made for version 0, and the present one is 1"},
		{"node-1", "set", []string{"extra", "cpus_max=-1"}, exitUnusable, "teams[extra].cpus_max: want 0"},
		{"node-1", "set", []string{"extra", "cores=1"}, exitUnusable, "cores=1"},
		{"node-2", "set", []string{"extra", "--remove", "--by", "ben"}, 0, "confirmed"},
		{"node-0", "history", nil, 0, "extra: removed"},
	} {
		if code, out := config(c.node, c.verb, c.args...); code != c.code || !strings.Contains(out, c.says) {
			t.Errorf("config %s %v: exit status %d, want %d:\n%s", c.verb, c.args, code, c.code, out)
		}
	}
	// Node-2 has confirmed version 2, so every controller goes by it already. Node-0 confirms it
	// for itself, once the others' next statuses, sent every 0.3 s, have told it so.
	confirmed := func() bool {
		code, out := config("node-0", "status")
		if code != 0 || !strings.Contains(out, "version 2 is confirmed: ") {
			t.Fatalf("config status: exit status %d, version 2 is not in force:\n%s", code, out)
		}
		return strings.Contains(out, "version 2 is confirmed: true")
	}
	asked := 1
	for end := time.Now().Add(confirmWithin); !confirmed(); asked++ {
		if time.Now().After(end) {
			t.Fatalf("version 2 is not confirmed on node-0 %v after it was on node-2", confirmWithin)
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("node-0 has confirmed version 2 when asked for the %d. time", asked)
	if !confirmed() {
		t.Error("version 2 is not confirmed any more")
	}
}

// TestRehearseReal plays a scenario with a cut and a controller's end with real
// processes.
func TestRehearseReal(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	file := brief(t, `
[[fault]]
at_s = 4
kind = "cut"
between = ["holder", "state"]
for_s = 6
mode = "reset"

[[fault]]
at_s = 11
kind = "controller_crash"
node = "holder"
`)
	if code, out := command(t, t.TempDir(), "rehearse", "--real", file); code != 0 || !strings.Contains(out, "kept") {
		t.Fatalf("exit status %d:\n%s", code, out)
	}
}

// TestUnusableInput expects one clear line and exit status 2.
func TestUnusableInput(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	locked, newer := t.TempDir(), t.TempDir()
	d, err := host.OpenDisk(locked)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	n, err := host.OpenDisk(newer)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Close(); err != nil {
		t.Fatal(err)
	}
	db, err := bbolt.Open(filepath.Join(newer, "state.db"), 0o644, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket([]byte("meta")).Put([]byte("format"), binary.BigEndian.AppendUint64(nil, 99))
	}); err != nil {
		t.Fatal(err)
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	wrong := brief(t, "[[fault]]\nkind = \"rain\"\n")
	for _, c := range []struct {
		args []string
		says string
	}{
		{[]string{"up", wrong}, wrong + ":"},
		{[]string{"up", "none.toml"}, "no such file"},
		{[]string{"up", "--listen", l.Addr().String()}, "address already in use"},
		{[]string{"up", "--data", locked}, "in use by another process"},
		{[]string{"up", "--data", newer}, "has format 99, this release reads up to 1"},
		{[]string{"rehearse", wrong}, "there is no kind \"rain\""},
		{[]string{"rehearse"}, "expected"},
		{[]string{"nonsense"}, "--help"},
	} {
		code, out := command(t, t.TempDir(), c.args...)
		if code != exitUnusable || !strings.Contains(out, c.says) || strings.Count(strings.TrimSpace(out), "\n") > 0 {
			t.Errorf("%v: exit status %d, want 2 and %q in one line:\n%s", c.args, code, c.says, out)
		}
	}
	if code, out := command(t, t.TempDir(), "--config", "none.json"); code != exitFailed || !strings.Contains(out, "none.json") {
		t.Errorf("a controller without settings: exit status %d:\n%s", code, out)
	}
	if code, out := command(t, t.TempDir(), "--version"); code != 0 || out != fmt.Sprintln(version) {
		t.Errorf("--version: exit status %d: %q", code, out)
	}
}
