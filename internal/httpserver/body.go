package httpserver

import "net/http"

// handlerOf wraps a handler so that it gets no request of a connection that was evicted.
func handlerOf(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := ConnOf(r); c != nil && c.wasEvicted() {
			// The client sees a closed connection, so the request must not run.
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}
