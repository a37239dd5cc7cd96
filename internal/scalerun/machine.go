package scalerun

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
)

// Bounds of what a run may take of the machine that it runs on.
const (
	maxMemoryShare = 0.5
	maxProcesses   = 300
)

// What a run is reckoned to take before it starts. The figures are rounded up from
// measured runs, see docs/results.md.
const (
	processMB   = 40.0 // of each process, before it does any work
	perWorkerMB = 0.3  // of each worker, in all processes together
	perTaskMB   = 0.05 // of each task at once, in all processes together
	spareFiles  = 1000
)

// Host is the machine that a run is on.
type Host struct {
	Cores       int     `json:"cores"`
	MemoryMB    float64 `json:"memory_mb"`
	AvailableMB float64 `json:"available_mb"` // when the run began
	Files       int     `json:"files"`        // that one process may have open
}

// readHost looks at the machine.
func readHost() (Host, error) {
	h := Host{Cores: runtime.NumCPU()}
	b, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return h, fmt.Errorf("the machine's memory is not known: %w", err)
	}
	for l := range strings.Lines(string(b)) {
		f := strings.Fields(l)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(f[1], 64) // 0 is refused below
		switch f[0] {
		case "MemTotal:":
			h.MemoryMB = kb / 1024
		case "MemAvailable:":
			h.AvailableMB = kb / 1024
		}
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return h, err
	}
	h.Files = int(min(files.Cur, 1<<30))
	if h.MemoryMB == 0 || h.AvailableMB == 0 {
		return h, fmt.Errorf("the machine's memory is not known")
	}
	return h, nil
}

// TooLarge says that a run does not fit the machine.
type TooLarge struct{ What string }

func (e TooLarge) Error() string { return e.What }

// Need is what a run is reckoned to take.
type Need struct {
	Processes int     `json:"processes"`
	MemoryMB  float64 `json:"memory_mb"`
	Files     int     `json:"files"` // of the process that has the most open
}

// need reckons what a run takes.
func (s *Sized) need() Need {
	regions := s.Want.Regions
	n := Need{Processes: 1 + regions*(3+s.Controllers.Count+s.WorkerProcesses)}
	n.MemoryMB = float64(n.Processes)*processMB + float64(s.Want.Workers)*perWorkerMB + float64(s.Want.Tasks)*perTaskMB
	// Each worker's connection passes a link of the launching process: two sockets there.
	n.Files = 2*s.Want.Workers + spareFiles
	return n
}

// fits says in plain words why a run must not start on a machine.
func (n Need) fits(h Host) error {
	switch {
	case n.Processes > maxProcesses:
		return TooLarge{fmt.Sprintf("%d processes are more than %d: have fewer controllers or worker processes", n.Processes, maxProcesses)}
	case n.MemoryMB > maxMemoryShare*h.MemoryMB:
		return TooLarge{fmt.Sprintf("about %.0f MB would be needed, more than half of the machine's %.0f MB: choose a smaller size", n.MemoryMB, h.MemoryMB)}
	case n.MemoryMB > h.AvailableMB:
		return TooLarge{fmt.Sprintf("about %.0f MB would be needed, and %.0f MB are free now: choose a smaller size, or wait", n.MemoryMB, h.AvailableMB)}
	case n.Files > h.Files:
		return TooLarge{fmt.Sprintf("about %d open files would be needed in one process, and %d are allowed (ulimit -n): choose a smaller size", n.Files, h.Files)}
	}
	return nil
}

// exceeded says in plain words why a run that is under way must stop.
func exceeded(h Host, memoryMB float64, processes int) error {
	switch {
	case memoryMB > maxMemoryShare*h.MemoryMB:
		return TooLarge{fmt.Sprintf("stopped: its processes hold %.0f MB, more than half of the machine's %.0f MB", memoryMB, h.MemoryMB)}
	case processes > maxProcesses:
		return TooLarge{fmt.Sprintf("stopped: it has %d processes, more than %d", processes, maxProcesses)}
	}
	return nil
}

// ticksPerS is the unit of processor times under /proc.
const ticksPerS = 100

// spent is what a process has used.
type spent struct {
	cpuS     float64 // since it began
	memoryMB float64 // now
}

// readSpent reads what a process has used; a process that is gone has nothing.
func readSpent(pid int) (spent, bool) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	b, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return spent{}, false
	}
	// The name, in parentheses, may have spaces in it.
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	const userTime, systemTime, residentPages = 11, 12, 21
	if len(fields) <= residentPages {
		return spent{}, false
	}
	var v [3]float64
	for i, at := range []int{userTime, systemTime, residentPages} {
		if v[i], err = strconv.ParseFloat(fields[at], 64); err != nil {
			return spent{}, false
		}
	}
	return spent{(v[0] + v[1]) / ticksPerS, v[2] * float64(os.Getpagesize()) / (1 << 20)}, true
}

// busyS returns the processor time that the whole machine has spent, in seconds.
func busyS() float64 {
	f, err := os.Open("/proc/stat")
	if err != nil {
		return 0
	}
	defer f.Close()
	sc := bufio.NewScanner(f)
	if !sc.Scan() {
		return 0
	}
	const idle, waits = 4, 5
	sum := 0.0
	for i, v := range strings.Fields(sc.Text()) {
		if i == 0 || i == idle || i == waits || i > 8 { // guests count twice
			continue
		}
		n, _ := strconv.ParseFloat(v, 64) // 0 where the system says nothing
		sum += n
	}
	return sum / ticksPerS
}

// waitedS returns for how many seconds something on the machine has waited for a
// processor; 0 where the system does not say.
func waitedS() float64 {
	b, err := os.ReadFile("/proc/pressure/cpu")
	if err != nil {
		return 0
	}
	for l := range strings.Lines(string(b)) {
		if _, total, ok := strings.Cut(l, "total="); ok && strings.HasPrefix(l, "some ") {
			n, _ := strconv.ParseFloat(strings.TrimSpace(total), 64) // microseconds
			return n / 1e6
		}
	}
	return 0
}
