//go:build processtest

package hostileclients

import (
	"bufio"
	"encoding/binary"
	"io"
	"net/rpc"
	"testing"

	"myrtlewinch/internal/protocol"
	"myrtlewinch/internal/transport"
)

// maxFrameBytes is the largest frame between daemons, peerFrameBlocks of chunkBytes are just
// short of it.
const (
	maxFrameBytes   = 8 << 20
	peerFrameBlocks = maxFrameBytes/chunkBytes - 1
)

// The two roles whose port for other daemons the tests connect to.
var peerRoles = []struct {
	name    string
	address func(s *site) string
}{
	{"router", func(s *site) string { return addressOf(s.router, portRouterPeers) }},
	{"controller", func(s *site) string { return addressOf(s.controllers[0], portPeers) }},
}

// checkPeers is checkRouter for the ports for other daemons.
func checkPeers(t *testing.T, count int, send func(client *bufio.Writer) error) {
	for _, role := range peerRoles {
		t.Run(role.name, func(t *testing.T) {
			s := startSite(t)
			checkSite(t, s, role.address(s), count, func(_ *site, client *bufio.Writer, _ int) error { return send(client) })
		})
	}
}

func TestPeerConnectionsThatSendNothing(t *testing.T) {
	checkPeers(t, silentClients, func(*bufio.Writer) error { return nil })
}

// The frame has one message, whose length is written as a byte count and the bytes.
func TestPeerFramesThatStopShort(t *testing.T) {
	checkPeers(t, bodyClients, func(client *bufio.Writer) error {
		head := binary.BigEndian.AppendUint32(nil, maxFrameBytes)
		head = append(head, 0xfc)
		head = binary.BigEndian.AppendUint32(head, maxFrameBytes-5)
		if _, err := client.Write(head); err != nil {
			return err
		}
		return repeat(peerFrameBlocks, func(int) error { _, err := client.Write(chunkData); return err })
	})
}

func TestPeerFramesWithoutMessage(t *testing.T) {
	checkPeers(t, headClients, func(client *bufio.Writer) error {
		return repeat(stoppedChunks, func(int) error { _, err := client.Write(chunkData); return err })
	})
}

// frameWriter passes the frames of a codec on to a client.
type frameWriter struct {
	io.Writer
	io.Reader
}

func (frameWriter) Close() error { return nil }

// The messages are valid, but their sender does not read the acknowledgements.
func TestPeerAcknowledgementsThatNobodyReads(t *testing.T) {
	const frames = 60_000
	checkPeers(t, bodyClients, func(client *bufio.Writer) error {
		codec := transport.NewClientCodec(frameWriter{Writer: client})
		return repeat(frames, func(number int) error {
			return codec.WriteRequest(&rpc.Request{ServiceMethod: "Door.Take", Seq: uint64(number)}, []protocol.Envelope{})
		})
	})
}
