package launch

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one process of a deployment. It is started again when it ends.
type process struct {
	name    string
	args    []string
	logFile string
	restart time.Duration
	facts   func(fact)
	spawn   *spawner

	mu      sync.Mutex
	cmd     *exec.Cmd
	stdin   io.Closer
	stopped bool
	killed  bool // on purpose: no news
	ended   chan error
	starts  int
}

// spawner starts processes on one thread that lives as long as this process: some
// systems end a process with the thread that has started it.
type spawner struct{ do chan func() }

func newSpawner() *spawner {
	s := &spawner{make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range s.do {
			f()
		}
	}()
	return s
}

func (s *spawner) start(c *exec.Cmd) error {
	done := make(chan error, 1)
	s.do <- func() { done <- c.Start() }
	return <-done
}

// start starts the process. gone is told when it ends although nobody wanted it to.
func (p *process) start(gone func(p *process, err error)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(self, p.args...)
	c.Stderr = log
	c.SysProcAttr = ownGroup()
	in, err := c.StdinPipe()
	if err != nil {
		return err
	}
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.spawn.start(c); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	p.cmd, p.stdin, p.killed = c, in, false
	p.starts++
	go p.watch(c, out, gone)
	return nil
}

func (p *process) watch(c *exec.Cmd, out io.Reader, gone func(p *process, err error)) {
	sc := bufio.NewScanner(out)
	for sc.Scan() {
		var f fact
		if p.facts != nil && json.Unmarshal(sc.Bytes(), &f) == nil {
			p.facts(f)
		}
	}
	err := c.Wait()
	p.mu.Lock()
	stopped, killed := p.stopped, p.killed
	if p.ended != nil {
		close(p.ended)
		p.ended = nil
	}
	p.mu.Unlock()
	if stopped {
		return
	}
	if !killed {
		gone(p, err)
	}
	time.Sleep(p.restart)
	if err := p.start(gone); err != nil {
		gone(p, err)
	}
}

// kill ends the process with no warning; it comes back.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && !p.stopped {
		p.killed = true
		_ = p.cmd.Process.Kill() // it may have ended by itself
	}
}

// retire tells the process to end. It takes its time for that, and comes back.
func (p *process) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && !p.stopped {
		p.killed = true
		_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended by itself
	}
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended by itself
	}
}

// stop ends the process for good and waits until it has.
func (p *process) stop() {
	p.mu.Lock()
	if p.cmd == nil || p.stopped {
		p.stopped = true
		p.mu.Unlock()
		return
	}
	p.stopped = true
	ended := make(chan error)
	p.ended = ended
	_ = p.stdin.Close()                       // roles end by this,
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // and none stands still
	_ = p.cmd.Process.Kill()                  // controllers keep nothing and end at once
	p.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
	}
}

// lastLine returns the last line of the process's log, for telling why it ended.
func (p *process) lastLine() string {
	b, err := os.ReadFile(p.logFile)
	if err != nil {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(b[max(0, len(b)-4096):])), "\n")
	return filepath.Base(p.logFile) + ": " + lines[len(lines)-1]
}
