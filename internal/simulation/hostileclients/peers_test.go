//go:build processtest

package hostileclients

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net/rpc"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

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

// mapClients each send a few frames with a map.
const mapClients = 4

// The frames have a map that declares far more entries than it has.
func TestPeerFramesOfHugeMaps(t *testing.T) {
	frame := hugeMapFrame(t)
	checkPeers(t, mapClients, func(client *bufio.Writer) error {
		_, err := client.Write(frame)
		return err
	})
}

// declaredEntries is the number of entries that the map declares, as gob writes it. A map of
// that size takes some 300 MB.
var declaredEntries = []byte{0xfd, 0x80, 0x00, 0x00}

// hugeMapFrame returns a valid frame in which the map of a snapshot declares declaredEntries.
func hugeMapFrame(t *testing.T) []byte {
	c := qt.New(t)
	var stream bytes.Buffer
	codec := transport.NewClientCodec(frameWriter{Writer: &stream})
	batch := []protocol.Envelope{{Site: "platform", Body: protocol.Snapshot{Rows: map[string]string{"aa": "bb"}}}}
	c.Assert(codec.WriteRequest(&rpc.Request{ServiceMethod: "Door.Take"}, batch), qt.IsNil)
	frame := stream.Bytes()[4:]
	entry := []byte{1, 2, 'a', 'a', 2, 'b', 'b'}
	at := bytes.Index(frame, entry)
	c.Assert(at > 0, qt.IsTrue)
	c.Assert(bytes.Count(frame, entry), qt.Equals, 1)
	added := len(declaredEntries) - 1
	frame = slices.Replace(slices.Clone(frame), at, at+1, declaredEntries...)
	// The body is the last message. Its length and that of the value in the envelope, which
	// begins with the number of its first field, grow with the map.
	body := lastMessage(frame[:len(frame)-added])
	value := valueLengthOffset(frame[:len(frame)-added], body, at)
	frame[value] += byte(added)
	frame[body] += byte(added)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(frame))), frame...)
}

// lastMessage returns the offset of the last byte of the length of the last gob message.
func lastMessage(frame []byte) int {
	for at := 0; ; {
		length, last := int(frame[at]), at
		if count := -int(int8(frame[at])); count > 0 {
			length = 0
			for _, b := range frame[at+1 : at+1+count] {
				length = length<<8 | int(b)
			}
			last = at + count
		}
		if at = last + 1 + length; at >= len(frame) {
			return last
		}
	}
}

// valueLengthOffset returns the offset of the length of the interface value that contains
// the offset at: the byte that counts what follows up to the end of the value. Behind the
// value are the ends of the envelope and of the list.
func valueLengthOffset(frame []byte, from, at int) int {
	for offset := at - 1; offset > from; offset-- {
		if rest := len(frame) - offset - 1; int(frame[offset]) == rest-1 || int(frame[offset]) == rest {
			return offset
		}
	}
	return from
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
