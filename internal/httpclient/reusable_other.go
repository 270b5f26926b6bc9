//go:build !unix

package httpclient

// hasNothingToRead can't be told on this system, so no connection is reused.
func hasNothingToRead(uintptr) bool { return false }
