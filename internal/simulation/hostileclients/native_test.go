//go:build processtest

package hostileclients

import (
	"bufio"
	"fmt"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// nativeMemoryMb is the memory of a daemon of the native interface.
	nativeMemoryMb = 256
	// nativeClients each send a body of nativeChunks large chunks, just short of the 16 MiB
	// that a router allows.
	nativeClients = 40
	nativeChunks  = 16<<20/chunkBytes - 1
	portNative    = 7200
)

// checkNative starts one daemon of the native interface and checks that it stays within its
// memory and answers an ordinary request while the clients keep their connections open.
func checkNative(t *testing.T, program, method, path string) {
	c := qt.New(t)
	ip := newNetwork() + "1"
	arguments := []string{
		"--site", "s", "--name", program, "--zone", "z", "--address", ip + ":7100", "--http", fmt.Sprintf("%s:%d", ip, portNative),
		"--seeds", ip + ":7101", "--platform", ip + ":7102",
	}
	if program == "controller" {
		arguments = append(arguments, "--data", filepath.Join(t.TempDir(), "data"))
	}
	d := startDaemon(t, "native-"+program, ip, program, arguments...)
	s := &site{http: &http.Client{Timeout: 25 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	counters := func() error { return s.get("http://" + addressOf(d, portNative) + "/counters") }
	c.Assert(eventually(startTimeout, counters), qt.IsNil)
	w := watchDaemon(d)
	sendAll(t, addressOf(d, portNative), nativeClients, func(client *bufio.Writer, _ int) error {
		if _, err := fmt.Fprintf(client, "%s %s HTTP/1.1\r\nHost: n\r\nIf-Match: \"0\"\r\n%s\r\n\r\n", method, path, chunkedLine); err != nil {
			return err
		}
		return repeat(nativeChunks, func(int) error { return writeChunk(client, chunkData) })
	})
	c.Check(eventually(ordinaryTimeout, counters), qt.IsNil)
	w.check(c, nativeMemoryMb<<20, openFiles)
}

func TestNativeRequestsInChunksThatStopShort(t *testing.T) {
	checkNative(t, "router", http.MethodPost, "/services/move")
}

func TestNativeDescriptionsInChunksThatStopShort(t *testing.T) {
	checkNative(t, "controller", http.MethodPut, "/description")
}
