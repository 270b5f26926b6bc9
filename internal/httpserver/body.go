package httpserver

import (
	"io"
	"net/http"
	"time"
)

const (
	// defaultBodyTimeout bounds the reading of a body if its handler sets no deadline.
	defaultBodyTimeout = 30 * time.Second
	// unreadBodyTimeout bounds the time in which net/http reads the rest of a body after the
	// handler has ended, so that the connection can be kept.
	unreadBodyTimeout = 500 * time.Millisecond
)

// handlerOf wraps a handler so that a body that it does not read has a deadline.
func handlerOf(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := ConnOf(r)
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		if c.wasEvicted() {
			// The client sees a closed connection, so the request must not run.
			panic(http.ErrAbortHandler)
		}
		if r.ContentLength != 0 {
			body := &endDetector{ReadCloser: r.Body}
			r.Body = body
			_ = c.SetReadDeadline(time.Now().Add(defaultBodyTimeout))
			defer func() {
				if !body.ended {
					_ = c.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
				}
			}()
		}
		handler.ServeHTTP(w, r)
	})
}

// endDetector records whether a body was read to its end.
type endDetector struct {
	io.ReadCloser
	ended bool
}

// Read reads a part of the body.
func (d *endDetector) Read(p []byte) (int, error) {
	n, err := d.ReadCloser.Read(p)
	d.ended = d.ended || err == io.EOF
	return n, err
}
