//go:build !linux

package listener

import "syscall"

// limitReceiveBuffer does nothing where the size of receive buffers is not set.
func limitReceiveBuffer(_, _ string, _ syscall.RawConn) error { return nil }
