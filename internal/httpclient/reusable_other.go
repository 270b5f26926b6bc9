//go:build !unix

package httpclient

// hasNothingToRead returns false: this system has no such check, so connections are not
// reused.
func hasNothingToRead(uintptr) bool { return false }
