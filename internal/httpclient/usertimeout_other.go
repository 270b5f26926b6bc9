//go:build !linux

package httpclient

import "syscall"

func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
