//go:build !linux

package httpclient

import "syscall"

// setUserTimeout does nothing: only keep-alive probes detect an unresponsive host.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
