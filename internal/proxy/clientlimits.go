package proxy

import (
	"net/http"
	"time"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/httpserver"
)

const (
	// Limits of clients' connections if the configuration sets none.
	defaultIdle        = 20 * time.Second
	defaultHeadTimeout = 5 * time.Second
	defaultHeadBytes   = 64 << 10
	// headBytesCeiling limits a head whatever the configuration says.
	headBytesCeiling = 256 << 10
	// timeoutSlack is added to the time-outs of the configuration: a new one may
	// arrive here later than at the clients, and a request may be on its way.
	timeoutSlack = 2 * time.Second
	// maxTimeout keeps the numbers of a configuration in the range of a timer.
	maxTimeout = 24 * time.Hour
)

// clientLimits limit what a client's connection may take.
type clientLimits struct {
	httpserver.Limits
	// headBytes is the largest size of a request's head.
	headBytes int64
}

// clientLimitsOf returns the limits of a configuration, which may be nil.
func clientLimitsOf(configuration *config.Configuration) clientLimits {
	limits := clientLimits{httpserver.Limits{Idle: defaultIdle, Head: defaultHeadTimeout}, defaultHeadBytes}
	if configuration == nil {
		return limits
	}
	if ms := configuration.Limits.IdleTimeoutMs; ms > 0 {
		limits.Idle = timeoutOf(ms)
	}
	if ms := configuration.Limits.HeaderTimeoutMs; ms > 0 {
		limits.Head = timeoutOf(ms)
	}
	if bytes := configuration.Limits.MaxHeaderBytes; bytes > 0 {
		limits.headBytes = min(bytes, headBytesCeiling)
	}
	return limits
}

// timeoutOf returns the time-out for a number of a configuration.
func timeoutOf(ms int64) time.Duration {
	return time.Duration(min(ms, maxTimeout.Milliseconds()))*time.Millisecond + timeoutSlack
}

// headBytes returns the size of a request's head. Headers that the standard
// server has removed are not counted, so it is never more than was sent.
func headBytes(r *http.Request) int64 {
	const space, colon, lineEnd = 1, 2, 2
	count := len(r.Method) + space + len(r.RequestURI) + space + len(r.Proto) + lineEnd + lineEnd
	if r.Host != "" {
		count += len("Host") + colon + len(r.Host) + lineEnd
	}
	for name, values := range r.Header {
		for _, value := range values {
			count += len(name) + colon + len(value) + lineEnd
		}
	}
	return int64(count)
}
