package process

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// The connections of all kinds leave room for the process's own files, whatever the limit.
func TestConnectionsByOpenFiles(t *testing.T) {
	for _, test := range []struct{ openFiles, web, peers int }{
		{0, defaultMaxConnections, defaultMaxConnections},
		{1, minMaxConnections, minMaxConnections},
		{reservedFiles, minMaxConnections, minMaxConnections},
		{700, 62, 125},
		{4096, 487, 974},
	} {
		qt.Check(t, maxWebConnections(test.openFiles), qt.Equals, test.web)
		qt.Check(t, maxPeerConnections(test.openFiles), qt.Equals, test.peers)
	}
}
