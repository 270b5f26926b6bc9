//go:build !linux

package outward

import "syscall"

func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
