// Package operatorclient calls the pages of daemons of the own interface, as the
// operators' programs and the tests do.
package operatorclient

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// timeout bounds a call. It is longer than a controller waits for a description
// to be accepted.
const timeout = 20 * time.Second

var client = http.Client{Timeout: timeout}

// Call makes an HTTP call to a daemon and returns what it answered, whatever the
// status is. A base other than "" is the revision that a change is based on.
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
