package launch

import "syscall"

// ownGroup starts a process in a group of its own, so that an interrupt at the
// terminal reaches the launching process alone, and lets the system end it when
// the thread that started it ends.
func ownGroup() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
