//go:build !linux

package launch

import "syscall"

// ownGroup starts a process in a group of its own, so that an interrupt at the
// terminal reaches the launching process alone.
func ownGroup() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
