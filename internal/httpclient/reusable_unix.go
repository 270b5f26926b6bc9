//go:build unix

package httpclient

import "golang.org/x/sys/unix"

// hasNothingToRead reports whether a read from a non-blocking socket finds neither bytes,
// the end of the stream nor an error. It may consume a byte, so the connection must not be
// used if it returns false.
func hasNothingToRead(fd uintptr) bool {
	var buffer [1]byte
	for {
		_, err := unix.Read(int(fd), buffer[:])
		if err != unix.EINTR {
			return err == unix.EAGAIN || err == unix.EWOULDBLOCK
		}
	}
}
