// Package dataplane contains code that the two kinds of routers share: the router of
// the operators' platform (package proxy) and the router of the native interface
// (package native/router).
package dataplane

import (
	"fmt"

	"myrtlewinch/internal/errkind"
	"myrtlewinch/internal/protocol"
)

// Outbox collects the effects of one step of a state machine. Its zero value
// is empty.
type Outbox struct{ protocol.Effects }

// Send adds a message to another daemon.
func (o *Outbox) Send(to protocol.Node, body protocol.Message) {
	o.Sends = append(o.Sends, protocol.Send{To: to.Name, Address: to.Address, Body: body})
}

// SendToAddress adds a message to whichever daemon is at the address.
func (o *Outbox) SendToAddress(address string, body protocol.Message) {
	o.Sends = append(o.Sends, protocol.Send{Address: address, Body: body})
}

// Respond adds the response to the input with this ID.
func (o *Outbox) Respond(id uint64, body protocol.Reply) {
	o.Responses = append(o.Responses, protocol.Response{ID: id, Body: body})
}

// Logf adds a log line.
func (o *Outbox) Logf(format string, args ...any) {
	o.LogLines = append(o.LogLines, fmt.Sprintf(format, args...))
}

// CountError increments the process's counter of an error kind.
func (o *Outbox) CountError(kind errkind.Kind) {
	o.Counts = append(o.Counts, string(kind))
}

// Misaddressed reports whether a message is meant for another site or for a daemon
// with another name, and counts it if so. The address of a daemon may have belonged
// to another one before, so a message may name its receiver.
func (o *Outbox) Misaddressed(e protocol.Envelope, site, name string) bool {
	if e.Site != site {
		o.CountError(errkind.WrongSite)
		return true
	}
	if e.To != "" && e.To != name {
		o.CountError(errkind.WrongDaemon)
		return true
	}
	return false
}
