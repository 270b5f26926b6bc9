//go:build unix

package httpclient

import "golang.org/x/sys/unix"

// nothingToRead says whether an open socket, which never blocks, has neither
// bytes nor an end to be read. A byte that is there is lost by it.
func nothingToRead(fd uintptr) bool {
	var one [1]byte
	for {
		_, err := unix.Read(int(fd), one[:])
		if err != unix.EINTR {
			return err == unix.EAGAIN || err == unix.EWOULDBLOCK
		}
	}
}
