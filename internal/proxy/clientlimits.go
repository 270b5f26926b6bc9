package proxy

import (
	"net/http"
	"time"

	"myrtlewinch/internal/config"
	"myrtlewinch/internal/httpserver"
)

const (
	// Limits of client connections if the configuration sets none.
	defaultIdle        = 20 * time.Second
	defaultHeadTimeout = 5 * time.Second
	defaultHeadBytes   = 64 << 10
	// headBytesCeiling is the maximum size of a request's head, whatever the configuration
	// states.
	headBytesCeiling = 256 << 10
	// timeoutSlack is added to the timeouts of the configuration. The router may receive
	// a new configuration later than the clients, and a request may be in transit.
	timeoutSlack = 2 * time.Second
	// maxTimeout limits the timeouts of a configuration to values that a timer can
	// represent.
	maxTimeout = 24 * time.Hour
)

// clientLimits are the timeouts and the header size limit of a client's connection.
type clientLimits struct {
	httpserver.Limits
	// headBytes is the largest size of a request's head.
	headBytes int64
}

// clientLimitsOf returns the limits of a configuration, which may be nil.
func clientLimitsOf(configuration *config.Configuration) clientLimits {
	limits := clientLimits{httpserver.Limits{IdleTimeout: defaultIdle, HeadTimeout: defaultHeadTimeout}, defaultHeadBytes}
	if configuration == nil {
		return limits
	}
	if ms := configuration.Limits.IdleTimeoutMs; ms > 0 {
		limits.IdleTimeout = timeoutOf(ms)
	}
	if ms := configuration.Limits.HeaderTimeoutMs; ms > 0 {
		limits.HeadTimeout = timeoutOf(ms)
	}
	if bytes := configuration.Limits.MaxHeaderBytes; bytes > 0 {
		limits.headBytes = min(bytes, headBytesCeiling)
	}
	return limits
}

// timeoutOf converts a timeout of the configuration and adds timeoutSlack.
func timeoutOf(ms int64) time.Duration {
	return time.Duration(min(ms, maxTimeout.Milliseconds()))*time.Millisecond + timeoutSlack
}

// headBytes returns the size of a request's line and headers. Headers that net/http has
// removed are not counted, so it is never more than the client sent.
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
