package dataplane

import (
	"context"
	"net/http"
	"time"

	"myrtlewinch/internal/process"
	"myrtlewinch/internal/protocol"
)

// statusTimeout limits how long QueryStatus waits for the state machine.
const statusTimeout = 2 * time.Second

// QueryStatus queries the state machine of a process for its status with the input
// that query returns. It returns false if there was no reply within statusTimeout.
func QueryStatus(r *http.Request, runtime *process.Runtime, query func(id uint64) protocol.Input) (protocol.Reply, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	return runtime.Call(ctx, query)
}
