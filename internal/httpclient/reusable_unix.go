//go:build unix

package httpclient

import "golang.org/x/sys/unix"

// hasNothingToRead reports whether an open non-blocking socket has neither bytes
// nor an end to be read. A byte that is there is consumed, so the connection must
// not be used after false.
func hasNothingToRead(fd uintptr) bool {
	var buffer [1]byte
	for {
		_, err := unix.Read(int(fd), buffer[:])
		if err != unix.EINTR {
			return err == unix.EAGAIN || err == unix.EWOULDBLOCK
		}
	}
}
