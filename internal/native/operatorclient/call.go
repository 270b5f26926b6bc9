// Package operatorclient is the HTTP client for the daemons of the native interface. It is used
// by the operators' programs and by tests.
package operatorclient

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// timeout is the timeout of a call. It is longer than a controller waits for a description to
// be accepted.
const timeout = 20 * time.Second

var client = http.Client{Timeout: timeout}

// Call sends an HTTP request to a daemon and returns the response's status and body, whatever
// the status is. base is the revision that a change is based on, or "" for other requests.
func Call(method, address, path, base string, body []byte) (status int, text []byte, err error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if base != "" {
		request.Header.Set("If-Match", fmt.Sprintf("%q", base))
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err = io.ReadAll(response.Body)
	return response.StatusCode, text, err
}
