//go:build !unix

package httpclient

// nothingToRead can't be told here, so no connection is used twice.
func nothingToRead(uintptr) bool { return false }
